//===- unittests/Fuzz/FuzzTest.cpp - fuzz tests of the parsers ------------===//
///
/// \file
/// Mutates requests of callers, event streams of engines, records of the platform
/// and datagrams of peers at random, and parses them under the sanitizers. The
/// result must not depend on how the input is split into pieces.
//===----------------------------------------------------------------------===//
#include "EventSplitter.h"
#include "Mutator.h"
#include "ReportAggregator.h"
#include "RequestReader.h"
#include "SuspectMessages.h"
#include "pistachioloom/Answers.h"
#include "platform/Platform.h"
#include "platform/Records.h"

#include <catch2/catch.hpp>
#include <google/protobuf/stubs/logging.h>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

// Takes a few seconds in CI under the sanitizers.
constexpr std::uint64_t defaultRunCount = 30000;
constexpr std::uint64_t defaultSeed = 20261202;

std::uint64_t runCount()
{
    return fuzzSetting("PISTACHIOLOOM_FUZZ_RUNS", defaultRunCount);
}

std::uint64_t seed()
{
    return fuzzSetting("PISTACHIOLOOM_FUZZ_SEED", defaultSeed);
}

struct ParseResult {
    RequestReader::Progress progress_ = RequestReader::Progress::NeedsMore;
    CallerRequest request_;
    int status_ = 0;
    std::string unparsed_;
};

ParseResult parse(const std::vector<std::string>& pieces, const CallerBounds& bounds)
{
    ParseResult parsed;
    RequestReader reader(bounds, SteadyTime {});
    std::string input;
    for (const std::string& piece : pieces) {
        input += piece;
        if (parsed.progress_ == RequestReader::Progress::NeedsMore)
            parsed.progress_ = reader.feed(input);
    }
    if (parsed.progress_ == RequestReader::Progress::Done)
        parsed.request_ = reader.take();
    if (parsed.progress_ == RequestReader::Progress::Bad)
        parsed.status_ = reader.problem().status_;
    parsed.unparsed_ = input;
    return parsed;
}

/// Resets \p splitter to continue after \p last. \returns the events that it outputs for
/// input that arrives in \p pieces.
std::string splitEvents(const std::vector<std::string>& pieces, std::optional<std::uint64_t> last, EventSplitter& splitter)
{
    splitter = EventSplitter(last);
    std::string events;
    for (const std::string& piece : pieces)
        events += splitter.feed(piece);
    return events;
}

/// Parses an answer that arrives in \p pieces. \returns its body, or nullopt if it is invalid or
/// incomplete: invalid bytes may be found only when more have arrived.
std::optional<std::string> parseAnswer(const std::vector<std::string>& pieces)
{
    AnswerReader reader(AnswerBounds {});
    AnswerReader::Input input;
    for (const std::string& piece : pieces) {
        input.commit(boost::asio::buffer_copy(input.prepare(piece.size()), boost::asio::buffer(piece)));
        auto progress = AnswerReader::Progress::Advanced;
        while (progress == AnswerReader::Progress::Advanced && !reader.isComplete())
            progress = reader.parse(input);
        if (progress == AnswerReader::Progress::Bad)
            return std::nullopt;
    }
    if (!reader.isComplete())
        return std::nullopt;
    return std::move(reader.message().body());
}

} // namespace

TEST_CASE("answers are parsed the same however they are split", "[fuzz]")
{
    Mutator mutator(seed(), {
                                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nX: y\r\n z\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\tz\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\nContent-Length: 2\r\n\r\nok",
                                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
                                "HTTP/1.0 500 Error\r\nConnection: close\r\n\r\nuntil the end",
                            });
    for (std::uint64_t run = 0; run < runCount(); ++run) {
        std::string bytes = mutator.next();
        CAPTURE(run, bytes);
        auto unsplit = parseAnswer({ bytes });
        REQUIRE(unsplit == parseAnswer(mutator.splitRandomly(bytes)));
    }
}

TEST_CASE("requests are parsed the same however they are split, within the bounds", "[fuzz]")
{
    Mutator mutator(seed(), {
                                "GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n",
                                "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
                                "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                                "POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
                                "GET / HTTP/1.0\r\nConnection: keep-alive\r\nX: y\r\n\r\nGET /next HTTP/1.1\r\n\r\n",
                            });
    CallerBounds bounds;
    bounds.header_ = { 300 };
    bounds.body_ = { 60 };
    for (std::uint64_t run = 0; run < runCount(); ++run) {
        std::string bytes = mutator.next();
        ParseResult unsplit = parse({ bytes }, bounds);
        ParseResult split = parse(mutator.splitRandomly(bytes), bounds);
        CAPTURE(run, bytes);
        REQUIRE(unsplit.progress_ == split.progress_);
        REQUIRE(unsplit.request_.method_ == split.request_.method_);
        REQUIRE(unsplit.request_.target_ == split.request_.target_);
        REQUIRE(unsplit.request_.body_ == split.request_.body_);
        REQUIRE(unsplit.request_.body_.size() <= bounds.body_.value_);
        if (unsplit.progress_ == RequestReader::Progress::Done)
            REQUIRE(unsplit.unparsed_ == split.unparsed_);
        if (unsplit.progress_ == RequestReader::Progress::Bad)
            REQUIRE(unsplit.status_ / 100 == 4);
    }
}

TEST_CASE("any input of an engine yields only complete events in order", "[fuzz]")
{
    Mutator mutator(seed(), {
                                "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
                                "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
                                "data: without\n\n: comment\n\nid:4\ndata\n\n",
                            });
    for (std::uint64_t run = 0; run < runCount(); ++run) {
        std::string bytes = mutator.next();
        std::optional<std::uint64_t> last;
        if (mutator.randomBelow(2))
            last = mutator.randomBelow(4);
        EventSplitter splitter(last);
        EventSplitter pieceSplitter(last);
        std::string events = splitEvents({ bytes }, last, splitter);
        CAPTURE(run, bytes);
        REQUIRE(events == splitEvents(mutator.splitRandomly(bytes), last, pieceSplitter));
        REQUIRE(splitter.hasGap() == pieceSplitter.hasGap());
        REQUIRE(events.size() <= bytes.size());
        if (last && splitter.last())
            REQUIRE(*splitter.last() >= *last);
    }
}

TEST_CASE("any header value is parsed or ignored", "[fuzz]")
{
    Mutator mutator(seed(), { "12000,480", "a:512,b:4870,c:6610", "close, X-Own", "timeout=5" });
    for (std::uint64_t run = 0; run < runCount(); ++run) {
        std::string text = mutator.next();
        (void)parseTokenCounts(text);
        (void)connectionOptions({ { "Connection", text } });
        (void)parseNumber(text);
        for (const PromptPart& part : parsePromptParts(text))
            REQUIRE(text.find(part.id_) != std::string::npos);
    }
}

TEST_CASE("any input of the platform is decoded or rejected with a reason", "[fuzz]")
{
    std::string log(16, '\0');
    log += platform::frameRecord("record") + platform::frameRecord("") + platform::frameRecord(std::string("\x03key", 4) + "value");
    Mutator mutator(seed(), {
                                log,
                                std::string("\x03key", 4) + "value",
                                R"({"entries":[{"key":"k","value":"dmFsdWU=","offset":3}],"has_more":false,"end":7})",
                                R"({"service":"e","address":"10.0.0.1:80","zone":"a","version":"v1","slot_count":8,"phase":"up","cold_left_ms":0,"call_seq":3,"born":1764720000000,"spot":true})",
                                R"({"version":7,"routes":[{"name":"q","hostname":"H","path_prefix":"/q/","type":"stream","timeout_ms":3000,"goal_ms":500,"priority":0,"service":"e","attempts":1}],"services":[{"name":"e","max_conns":3,"scale":{"min_count":1,"max_count":2,"boot_s":4.0,"zone_prices":{"a":0.85}}}],"limits":{"max_body_bytes":9},"tenants":[{"name":"n","api_keys":["k"],"rate_per_s":1.5}]})",
                            });
    for (std::uint64_t run = 0; run < runCount(); ++run) {
        std::string bytes = mutator.next();
        CAPTURE(run, bytes);
        auto read = platform::decodeLog(bytes, { 5 });
        if (read)
            REQUIRE(read.value().next_.value_ == 5 + read.value().records_.size());
        auto keyed = platform::decodeKeyed(bytes);
        if (keyed)
            REQUIRE(keyed.value().key_.size() < bytes.size());
        auto newest = platform::decodeNewest(bytes);
        auto configuration = platform::decodeConfiguration(bytes);
        auto registration = platform::decodeRegistration({ "b" }, bytes);
        if (!configuration)
            REQUIRE_FALSE(configuration.error().message_.empty());
        if (!registration)
            REQUIRE_FALSE(registration.error().message_.empty());
        // A registration that is accepted has all fields that are needed to send requests.
        if (registration) {
            REQUIRE_FALSE(registration.value().service_.isEmpty());
            REQUIRE_FALSE(registration.value().dataCentre_.isEmpty());
            REQUIRE(registration.value().endpoint_.port_);
            REQUIRE(registration.value().slots_);
        }
        if (configuration)
            (void)RouteTable::build(std::move(configuration.value()));
    }
}

TEST_CASE("any datagram is aggregated or rejected", "[fuzz]")
{
    google::protobuf::LogSilencer silencer;
    wire::Datagram report;
    report.mutable_report()->set_vm("a");
    putLoads({ { 7, { 1, 1000 } } }, *report.mutable_report()->mutable_loads());
    putUsage({ { { 3 }, { { { "north" }, 4 } } } }, *report.mutable_report()->mutable_usage());
    putSuspects({ { { AttributeKind::PromptPart, { 7 } }, 9, { { { 1 }, SteadyTime {}, false }, { { 2 }, SteadyTime {}, true } } } }, *report.mutable_report()->mutable_suspects(), SteadyTime {});
    wire::Datagram relayed;
    relayed.mutable_relayed()->set_vm("r");
    relayed.mutable_relayed()->set_data_centre("far");
    *relayed.mutable_relayed()->mutable_sums() = sumsOf(report.report());
    Mutator mutator(seed(), { report.SerializeAsString(), relayed.SerializeAsString() });
    ReportAggregator aggregator(milliseconds(5000));
    QuarantineTable quarantine({});
    SteadyTime now { std::chrono::hours(1) };
    for (std::uint64_t run = 0; run < runCount(); ++run) {
        std::string bytes = mutator.next();
        now += milliseconds(mutator.randomBelow(400));
        wire::Datagram datagram;
        if (!datagram.ParseFromString(bytes))
            continue;
        if (datagram.has_report()) {
            aggregator.applyReport(datagram.report(), now);
            quarantine.mergeSuspects(suspectsOf(datagram.report().suspects(), now), now);
            REQUIRE(quarantine.suspectsToReport(now, run).size() <= 24);
        }
        if (datagram.has_relayed())
            aggregator.applySummary(datagram.relayed(), now);
        // Everything that was received can be included in a message to another node.
        REQUIRE(aggregator.digestFor({ "a" }, aggregator.totals(now), now).IsInitialized());
    }
}
