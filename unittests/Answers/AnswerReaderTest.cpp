//===- unittests/Answers/AnswerReaderTest.cpp - answers of faulty servers --===//
///
/// \file
/// Tests that an answer is parsed the same however its bytes are divided, and that bytes without
/// end are given up within the bounds.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Answers.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
namespace asio = boost::asio;
using Progress = AnswerReader::Progress;

namespace {

void append(AnswerReader::Input& input, std::string_view bytes)
{
    input.commit(asio::buffer_copy(input.prepare(bytes.size()), asio::buffer(bytes)));
}

/// Parses until more bytes are needed, or the answer is complete or invalid.
Progress parseAll(AnswerReader& reader, AnswerReader::Input& input)
{
    Progress progress = Progress::Advanced;
    while (progress == Progress::Advanced && !reader.isComplete())
        progress = reader.parse(input);
    return progress;
}

} // namespace

// Guards against a parser that aborts or fails because of where reads end. An answer whose last
// chunk is its only one ends the process if assertions of Boost are enabled and the read ends
// after its first line.
TEST_CASE("an answer does not depend on how its bytes are divided into reads", "[answers]")
{
    struct Row {
        const char* name_;
        std::string bytes_;
        std::string body_;
        std::size_t unparsed_;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\nX-A: b\r\n";
    auto row = GENERATE_COPY(values<Row>({
        { "length", ok + "Content-Length: 5\r\n\r\nhello", "hello", 0 },
        { "chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;e=1\r\nllo\r\n0\r\n\r\n", "hello", 0 },
        { "no chunk but the last", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", 0 },
        { "trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-B: c\r\nX-C: d\r\n\r\n", "", 0 },
        { "interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", "ok", 0 },
        { "bytes after the answer", ok + "Content-Length: 2\r\n\r\nokHTTP", "ok", 4 },
    }));
    auto step = GENERATE(std::size_t(1), std::size_t(2), std::size_t(3), std::size_t(7), std::size_t(1000));
    CAPTURE(row.name_, step);
    AnswerReader reader(AnswerBounds {});
    AnswerReader::Input input;
    for (std::size_t at = 0; at < row.bytes_.size(); at += step) {
        append(input, std::string_view(row.bytes_).substr(at, step));
        REQUIRE(parseAll(reader, input) != Progress::Bad);
    }
    REQUIRE(reader.isComplete());
    CHECK(reader.message().result_int() == 200);
    CHECK(reader.message().body() == row.body_);
    CHECK(input.size() == row.unparsed_);
}

// Guards against bytes that are kept without bound because they never complete what they begin.
TEST_CASE("bytes without end are given up within the bounds", "[answers]")
{
    struct Row {
        const char* name_;
        std::string beginning_;
        std::string repeated_;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto row = GENERATE_COPY(values<Row>({
        { "reason phrase", "HTTP/1.1 200 ", "O" },
        { "fields", "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n" },
        { "one field", "HTTP/1.1 200 OK\r\nX-Filler: ", "x" },
        { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "fields after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "X-Filler: x\r\n" },
        { "size of a chunk", chunked, "0" },
        { "extension of a chunk", chunked + "8;", "x" },
        { "extension of a second chunk", chunked + "2\r\nok\r\n8;", "x" },
        { "extension of the last chunk", chunked + "0;", "x" },
        { "trailers", chunked + "0\r\n", "X-Filler: x\r\n" },
        { "one trailer", chunked + "0\r\nX-Filler: ", "x" },
    }));
    auto readSize = GENERATE(std::size_t(13), std::size_t(4096));
    CAPTURE(row.name_, readSize);
    const AnswerBounds bounds;
    AnswerReader reader(bounds);
    AnswerReader::Input input;
    append(input, row.beginning_);
    std::string repeated;
    while (repeated.size() < readSize)
        repeated += row.repeated_;
    std::size_t received = row.beginning_.size();
    Progress progress = parseAll(reader, input);
    for (; progress == Progress::NeedsMore && received < 1000000; received += repeated.size()) {
        append(input, repeated);
        progress = parseAll(reader, input);
    }
    CHECK(progress == Progress::Bad);
    CHECK(received < bounds.head_.value_ + bounds.framing_.value_ + 2 * repeated.size());
}

// Guards against a body that exceeds its limit in any framing.
TEST_CASE("a body is not read beyond its limit", "[answers]")
{
    struct Row {
        const char* name_;
        std::string head_;
        std::string body_;
        bool isWithin_;
    };
    auto row = GENERATE(values<Row>({
        { "length", "Content-Length: 9", "", false },
        { "length at the limit", "Content-Length: 8", "12345678", true },
        { "chunk", "Transfer-Encoding: chunked", "9\r\n", false },
        { "chunks", "Transfer-Encoding: chunked", "4\r\n1234\r\n5\r\n", false },
        { "chunks at the limit", "Transfer-Encoding: chunked", "4\r\n1234\r\n4\r\n5678\r\n0\r\n\r\n", true },
        { "end of the connection", "X-A: b", "123456789", false },
    }));
    CAPTURE(row.name_);
    AnswerReader reader(AnswerBounds {});
    AnswerReader::Input input;
    append(input, "HTTP/1.1 200 OK\r\n" + row.head_ + "\r\n\r\n");
    while (!reader.hasHead())
        REQUIRE(reader.parse(input) == Progress::Advanced);
    Progress progress = reader.limitBody({ 8 });
    append(input, row.body_);
    if (progress != Progress::Bad)
        progress = parseAll(reader, input);
    CHECK((progress != Progress::Bad) == row.isWithin_);
    CHECK(reader.isComplete() == row.isWithin_);
    if (!row.isWithin_)
        CHECK(reader.error() == boost::beast::http::error::body_limit);
}

// Guards against an answer that breaks off and seems complete.
TEST_CASE("only an answer without a length may end with its connection", "[answers]")
{
    struct Row {
        std::string bytes_;
        bool isComplete_;
    };
    auto row = GENERATE(values<Row>({
        { "", false },
        { "HTTP/1.1 200 OK\r\nX-A", false },
        { "HTTP/1.1 100 Continue\r\n\r\n", false },
        { "HTTP/1.1 200 OK\r\n\r\nbytes", true },
        { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbytes", false },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n", false },
    }));
    CAPTURE(row.bytes_);
    AnswerReader reader(AnswerBounds {});
    AnswerReader::Input input;
    append(input, row.bytes_);
    REQUIRE(parseAll(reader, input) == Progress::NeedsMore);
    CHECK(!reader.finish() == row.isComplete_);
    CHECK(reader.isComplete() == row.isComplete_);
}
