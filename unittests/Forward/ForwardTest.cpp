//===- unittests/Forward/ForwardTest.cpp - requests, events, headers ------===//
///
/// \file
/// Tests which requests of callers are rejected, how event streams are split and how
/// header values are parsed.
//===----------------------------------------------------------------------===//
#include "EventSplitter.h"
#include "RequestReader.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using Progress = RequestReader::Progress;

static CallerBounds bounds()
{
    CallerBounds bounds;
    bounds.header_ = { 256 };
    bounds.body_ = { 64 };
    return bounds;
}

TEST_CASE("ambiguous and malformed requests are rejected", "[forward]")
{
    struct Row {
        const char* name_;
        std::string bytes_;
        int status_;
    };
    auto row = GENERATE(values<Row>({
        { "two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400 },
        { "length and chunks", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "chunks and length", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n", 400 },
        { "other encoding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400 },
        { "almost chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n", 400 },
        { "signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nab", 400 },
        { "folded line", "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400 },
        { "bare line feed", "GET / HTTP/1.1\r\nHost: h\nX: a\r\n\r\n", 400 },
        { "only line feeds", "GET / HTTP/1.1\nHost: h\n\n\r", 400 },
        { "blank before colon", "GET / HTTP/1.1\r\nHost: h\r\nX : a\r\n\r\n", 400 },
        { "no host", "GET / HTTP/1.1\r\nX: a\r\n\r\n", 400 },
        { "two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400 },
        { "chunks in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "long head", "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x'), 431 },
        { "long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413 },
        { "long chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + std::string(65, 'x'), 413 },
    }));
    RequestReader reader(bounds(), {});
    std::string input = row.bytes_;
    CAPTURE(row.name_);
    REQUIRE(reader.feed(input) == Progress::Bad);
    CHECK(reader.problem().status_ == row.status_);
}

TEST_CASE("a request does not depend on how its bytes are divided into reads", "[forward]")
{
    const std::string bytes = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Twice: 1\r\nX-Twice: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;e=1\r\ncde\r\n0\r\n\r\nGET ";
    auto step = GENERATE(1, 2, 3, 7, 1000);
    RequestReader reader(bounds(), {});
    std::string input;
    std::string rest;
    for (std::size_t at = 0; at < bytes.size(); at += static_cast<std::size_t>(step)) {
        input += bytes.substr(at, static_cast<std::size_t>(step));
        if (reader.feed(input) == Progress::Done) {
            rest = input + bytes.substr(std::min(bytes.size(), at + static_cast<std::size_t>(step)));
            break;
        }
    }
    CallerRequest request = reader.take();
    CHECK(request.method_ == "POST");
    CHECK(request.target_ == "/a/b?c");
    CHECK(request.path() == "/a/b");
    CHECK(request.body_ == "abcde");
    CHECK(request.isKeepAlive_);
    CHECK(std::count_if(request.fields_.begin(), request.fields_.end(), [](const HeaderField& field) { return field.name_ == "X-Twice"; }) == 2);
    // The remaining bytes belong to the next request.
    CHECK(rest == "GET ");
}

// Guards against a request that ends the process because of where reads end.
TEST_CASE("a request whose last chunk is its only one may arrive in pieces of any size", "[forward]")
{
    const std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    auto step = GENERATE(std::size_t(1), std::size_t(2), std::size_t(3), std::size_t(1000));
    RequestReader reader(bounds(), {});
    std::string input;
    Progress progress = Progress::NeedsMore;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        REQUIRE(progress == Progress::NeedsMore);
        input += bytes.substr(at, step);
        progress = reader.feed(input);
    }
    CHECK(progress == Progress::Done);
    CHECK(reader.take().body_.empty());
}

TEST_CASE("events are returned complete, in order and once", "[forward]")
{
    struct Row {
        const char* name_;
        std::optional<std::uint64_t> last_;
        std::vector<std::string> pieces_;
        std::string expected_;
        bool hasPartial_;
        bool hasGap_;
    };
    auto row = GENERATE(values<Row>({
        { "one piece", {}, { "id: 1\ndata: a\n\n" }, "id: 1\ndata: a\n\n", false, false },
        { "divided", {}, { "id: 1\nda", "ta: a\n", "\nid: 2" }, "id: 1\ndata: a\n\n", true, false },
        { "divided within its end", {}, { "id: 1\r\n", "\r", "\nid: 2\n", "\n" }, "id: 1\r\n\r\nid: 2\n\n", false, false },
        { "both kinds of ends", {}, { "id: 1\r\n\r\n\nid: 2\n\n" }, "id: 1\r\n\r\n\nid: 2\n\n", false, false },
        { "carriage returns", {}, { "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" }, "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", false, false },
        { "duplicate", 2, { "id: 2\ndata: a\n\nid: 3\ndata: b\n\n" }, "id: 3\ndata: b\n\n", false, false },
        { "gap at the start", 2, { "id: 4\ndata: a\n\n" }, "", false, true },
        { "gap later", {}, { "id: 1\n\n", "id: 3\n\n", "id: 4\n\n" }, "id: 1\n\n", true, true },
        { "without ids", {}, { "data: a\n\n: note\n\n" }, "data: a\n\n: note\n\n", false, false },
    }));
    CAPTURE(row.name_);
    EventSplitter splitter(row.last_);
    std::string output;
    for (const std::string& piece : row.pieces_)
        output += splitter.feed(piece);
    CHECK(output == row.expected_);
    CHECK(splitter.hasGap() == row.hasGap_);
    if (!row.hasGap_)
        CHECK(splitter.hasPartial() == row.hasPartial_);
}

// Guards against an event that is searched for its end from its beginning with each read.
TEST_CASE("the time to read an event grows with its size only", "[forward]")
{
    constexpr std::size_t readSize = 1024;
    constexpr std::size_t reads = 32UL * 1024;
    const std::string bytes(readSize, 'x');
    EventSplitter splitter(std::nullopt);
    SteadyTime startedAt = steadyNow();
    for (std::size_t i = 0; i < reads; ++i)
        REQUIRE(splitter.feed(bytes).empty());
    CHECK(splitter.partialSize().value_ == reads * readSize);
    CHECK(splitter.feed("\n\n").size() == reads * readSize + 2);
    CHECK(steadyNow() - startedAt < std::chrono::seconds(5));
}

TEST_CASE("an incomplete event is not joined to the events of another engine", "[forward]")
{
    EventSplitter splitter(std::nullopt);
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: ha") == "id: 1\ndata: a\n\n");
    splitter.dropPartial();
    CHECK(splitter.feed("id: 2\ndata: whole\n\n") == "id: 2\ndata: whole\n\n");
    CHECK(splitter.last() == 2U);
}

TEST_CASE("token counts and prompt parts are parsed completely or not at all", "[forward]")
{
    CHECK(parseTokenCounts("1460,80")->first.value_ == 1460);
    CHECK(parseTokenCounts("1460,80")->second.value_ == 80);
    auto bad = GENERATE("", "1460", "1460,", ",80", "a,b", "1460,80,1", "-1,2");
    CHECK_FALSE(parseTokenCounts(bad));
    auto parts = parsePromptParts("5c1e:800,91bd:410,e440:250");
    REQUIRE(parts.size() == 3);
    CHECK(parts[1].id_ == "91bd");
    CHECK(parts[2].tokens_.value_ == 250);
    CHECK(parsePromptParts("5c1e:800,91bd").empty());
}

TEST_CASE("Retry-After is parsed as seconds with a fraction, and nothing else", "[forward]")
{
    struct Row {
        const char* text_;
        std::optional<milliseconds> pause_;
    };
    auto row = GENERATE(values<Row>({
        { "2", milliseconds(2000) },
        { "0.25", milliseconds(250) },
        { "1.0004", milliseconds(1001) },
        { "0", milliseconds(0) },
        { "99999999999999", std::chrono::hours(365 * 24) },
        { "", std::nullopt },
        { "-1", std::nullopt },
        { "1e3", std::nullopt },
        { "nan", std::nullopt },
        { "soon", std::nullopt },
        { "2 s", std::nullopt },
        { "Thu, 03 Dec 2026 10:00:00 GMT", std::nullopt },
    }));
    CAPTURE(row.text_);
    CHECK(parseRetryAfter(row.text_) == row.pause_);
}

TEST_CASE("a request limit is a positive decimal number", "[forward]")
{
    struct Row {
        const char* text_;
        std::optional<double> limit_;
    };
    auto row = GENERATE(values<Row>({ { "1", 1 }, { "0.25", 0.25 }, { "300.0", 300 }, { "0", {} }, { "-1", {} }, { "", {} }, { "1e3", {} }, { "inf", {} }, { "nan", {} }, { "2 ", {} }, { "some", {} } }));
    CAPTURE(row.text_);
    CHECK(parsePositiveDecimal(row.text_) == row.limit_);
}

TEST_CASE("the idle time announced to callers is shorter than the idle timeout", "[forward]")
{
    struct Row {
        std::optional<milliseconds> idle_;
        const char* fields_;
    };
    auto row = GENERATE(values<Row>({
        { std::nullopt, "Connection: close\r\n" },
        { milliseconds(15000), "Connection: keep-alive\r\nKeep-Alive: timeout=12\r\n" },
        { milliseconds(5000), "Connection: keep-alive\r\nKeep-Alive: timeout=4\r\n" },
        { milliseconds(2000), "Connection: keep-alive\r\nKeep-Alive: timeout=1\r\n" },
        // The header holds full seconds, so it cannot state less than one.
        { milliseconds(1249), "" },
    }));
    CHECK(connectionFields(row.idle_) == row.fields_);
}
