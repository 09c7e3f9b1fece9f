//===- test/EndlessAnswersTest.cpp - servers that never stop sending -------===//
///
/// \file
/// A faulty backend server sends bytes that are no answer, without end, until the gateway
/// closes the connection. Runs a gateway as a process. Its memory must stay below that of a
/// node, its callers must be answered in time, and it must not end.
//===----------------------------------------------------------------------===//
#include "Platform/EndlessServer.h"
#include "Platform/GatewayDeployment.h"

#include <array>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

// Memory of a node.
constexpr std::uint64_t nodeMemory = 260'000'000;
// The timeouts of the routes in GatewayDeployment.
constexpr milliseconds timeout { 2000 };
constexpr milliseconds streamTimeout { 3000 };
// A final answer may be later than the timeout by this.
constexpr milliseconds answerMargin { 500 };
constexpr std::size_t usualCallerCount = 8;
constexpr std::size_t manyCallers = 96;
const std::string wholeBody = "ok";

const std::string seal = "X-Pistachioloom-Engine-Seal: s\r\nX-Pistachioloom-Attempt-Id: ID\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n" + seal;
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string events = ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
// One chunk of 19 bytes that is a complete event.
const std::string firstEvent = "13\r\nid: 1\ndata: first\n\n\r\n";
// An address that refuses connections.
constexpr const char* closedAddress = "127.0.0.1:1";

struct BackendSpec {
    const char* id_;
    const char* service_;
};
constexpr std::array backends { BackendSpec { "p-1", "plain" }, BackendSpec { "p-2", "plain" }, BackendSpec { "e-1", "engines" }, BackendSpec { "e-2", "engines" } };

/// When a caller must be answered at the latest.
enum class Answered {
    /// Before the timeout, since the bytes can no longer become an answer.
    BeforeTimeout,
    /// Soon after the timeout: the bytes may still become an answer.
    AtTimeout,
};

struct Row {
    const char* name_;
    EndlessAnswer answer_;
    Answered answered_;
};

struct CallResult {
    /// 0 if the answer is incomplete.
    int status_ = 0;
    std::string body_;
    milliseconds took_ {};
};

/// With \p bodySize greater than 0 the request is a POST with a body.
CallResult timedCall(const GatewayDeployment& deployment, const std::string& path, const std::string& id, std::size_t bodySize = 0)
{
    HttpRequest request = gatewayRequest(bodySize ? "POST" : "GET", path, id);
    request.body_ = std::string(bodySize, 'x');
    SteadyTime startedAt = steadyNow();
    HttpResponse answer = deployment.call(deployment.gateways()[0], request);
    return { answer.status_, answer.body_, std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt) };
}

/// How the first gateway reaches the backend servers.
enum class Reached {
    Directly,
    ThroughPeer,
};

/// Gateways whose backend servers, two of each service, send one endless answer.
class EndlessDeployment {
public:
    explicit EndlessDeployment(const EndlessAnswer& answer, Reached reached = Reached::Directly)
        : servers_ { EndlessServer(answer), EndlessServer(answer), EndlessServer(answer), EndlessServer(answer) }
        , deployment_(reached == Reached::Directly ? GatewayDeploymentOptions {} : optionsWithViews(2))
    {
        if (reached == Reached::ThroughPeer)
            deployment_.setView(deployment_.gateways()[0], { { "p-1", closedAddress }, { "p-2", closedAddress }, { "e-1", closedAddress }, { "e-2", closedAddress } });
        deployment_.putConfiguration(1);
        for (std::size_t i = 0; i < servers_.size(); ++i)
            deployment_.registerBackend(backends[i].id_, backends[i].service_, servers_[i].endpoint().toString(), "up");
        REQUIRE(deployment_.waitForVersion(1, milliseconds(20000)));
        REQUIRE(deployment_.waitForBackends(servers_.size()));
    }

    GatewayDeployment& deployment() { return deployment_; }

    /// Calls \p path of the first gateway from several callers at once. Each must get one of
    /// \p statuses within \p limit, while all gateways stay within the memory of a node.
    void checkCalls(const std::string& path, const std::vector<int>& statuses, milliseconds limit, std::size_t callerCount = usualCallerCount, std::size_t bodySize = 0)
    {
        std::vector<CallResult> results(callerCount);
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < results.size(); ++i)
            callers.emplace_back([&, i] { results[i] = timedCall(deployment_, path, "c" + std::to_string(i), bodySize); });
        for (std::thread& caller : callers)
            caller.join();
        CAPTURE(path, statuses);
        for (const CallResult& result : results) {
            CAPTURE(result.status_);
            CHECK(std::count(statuses.begin(), statuses.end(), result.status_));
            CHECK(result.took_ < limit);
            if (result.status_ == 200)
                CHECK(result.body_ == wholeBody);
        }
        for (GatewayDeployment::Gateway& gateway : deployment_.gateways()) {
            CHECK(gateway.process_->peakMemory().value_ < nodeMemory);
            CHECK(gateway.process_->isRunning());
        }
    }

private:
    std::array<EndlessServer, backends.size()> servers_;
    GatewayDeployment deployment_;
};

} // namespace

// Guards against an answer of a plain service that is read without bound, until the deadline or
// until the memory of the node is used up.
TEST_CASE("an answer without end from a plain service fails in time and in bounded memory", "[gateway]")
{
    auto row = GENERATE(values<Row>({
        { "no HTTP", { "", "garbage " }, Answered::BeforeTimeout },
        { "reason phrase", { "HTTP/1.1 200 ", "O" }, Answered::BeforeTimeout },
        { "fields", { ok, "X-Filler: x\r\n" }, Answered::BeforeTimeout },
        { "one field", { ok + "X-Filler: ", "x" }, Answered::BeforeTimeout },
        { "interim answers", { "", "HTTP/1.1 100 Continue\r\n\r\n" }, Answered::BeforeTimeout },
        { "interim answers with fields", { "", "HTTP/1.1 103 Early Hints\r\nX-Filler: x\r\n\r\n" }, Answered::BeforeTimeout },
        { "body with a length", { ok + "Content-Length: 800800800800800800\r\n\r\n", "x" }, Answered::BeforeTimeout },
        { "body without a length", { ok + "\r\n", "x" }, Answered::BeforeTimeout },
        { "chunks", { chunked, "8\r\nxxxxxxxx\r\n" }, Answered::BeforeTimeout },
        { "one chunk", { chunked + "fffffffffffffff\r\n", "x" }, Answered::BeforeTimeout },
        { "size of a chunk", { chunked, "0" }, Answered::BeforeTimeout },
        { "extension of a chunk", { chunked + "8;", "x" }, Answered::BeforeTimeout },
        { "extension of the last chunk", { chunked + "0;", "x" }, Answered::BeforeTimeout },
        { "trailers", { chunked + "0\r\n", "X-Filler: x\r\n" }, Answered::BeforeTimeout },
        { "one trailer", { chunked + "0\r\nX-Filler: ", "x" }, Answered::BeforeTimeout },
        { "failure", { "HTTP/1.1 500 Internal Server Error\r\n" + seal + "\r\n", "x" }, Answered::BeforeTimeout },
    }));
    CAPTURE(row.name_);
    EndlessDeployment endless(row.answer_);
    for (const char* path : { "/once/x", "/safe/x" })
        endless.checkCalls(path, { 502 }, timeout);
}

// Guards against a stream that is read without bound: an event that never ends, and framing that
// never ends before or after an event.
TEST_CASE("a stream without end from an engine ends in time and in bounded memory", "[gateway]")
{
    auto row = GENERATE(values<Row>({
        { "head", { ok, "X-Filler: x\r\n" }, Answered::BeforeTimeout },
        { "interim answers", { "", "HTTP/1.1 100 Continue\r\n\r\n" }, Answered::BeforeTimeout },
        { "first event", { events + "fffffffffffffff\r\n", "x" }, Answered::BeforeTimeout },
        { "lines of the first event", { events, "8\r\ndata: x\n\r\n" }, Answered::BeforeTimeout },
        { "first event without framing", { ok + "\r\n", "x" }, Answered::BeforeTimeout },
        { "second event", { events + firstEvent + "fffffffffffffff\r\n", "x" }, Answered::BeforeTimeout },
        { "extension of the first chunk", { events + "8;", "x" }, Answered::BeforeTimeout },
        { "extension after an event", { events + firstEvent + "8;", "x" }, Answered::BeforeTimeout },
        { "trailers after an event", { events + firstEvent + "0\r\n", "X-Filler: x\r\n" }, Answered::BeforeTimeout },
        { "the same event", { events + firstEvent, firstEvent }, Answered::AtTimeout },
        { "events without an id", { events, "9\r\ndata: x\n\n\r\n" }, Answered::AtTimeout },
    }));
    CAPTURE(row.name_);
    EndlessDeployment endless(row.answer_);
    milliseconds limit = row.answered_ == Answered::BeforeTimeout ? streamTimeout : streamTimeout + answerMargin;
    for (const char* path : { "/ask/x", "/draft/x" })
        endless.checkCalls(path, { 502, 0 }, limit);
}

// Guards against answers and events that are each within their limit, and together use up the
// memory of the node.
TEST_CASE("answers without end to many callers at once stay in bounded memory", "[gateway]")
{
    struct ManyRow {
        const char* path_;
        EndlessAnswer answer_;
        milliseconds limit_;
    };
    auto row = GENERATE(values<ManyRow>({
        { "/once/x", { ok + "\r\n", "x" }, timeout + answerMargin },
        { "/ask/x", { events + "fffffffffffffff\r\n", "x" }, streamTimeout + answerMargin },
    }));
    EndlessDeployment endless(row.answer_);
    // Engines that have enough requests get no more.
    endless.checkCalls(row.path_, { 502, 503 }, row.limit_, manyCallers);
}

// Guards against bytes after a complete answer that are kept, or taken for the next answer. A request
// that was sent before these bytes arrived fails, since its server may have run it.
TEST_CASE("bytes without end after an answer do not reach the next caller", "[gateway]")
{
    auto extra = GENERATE(values<std::string>({ "x", "HTTP/1.1 200 OK\r\nX-Pistachioloom-Engine-Seal: s\r\nContent-Length: 5\r\n\r\nextra", "HTTP/1.1 100 Continue\r\n\r\n" }));
    CAPTURE(extra);
    EndlessDeployment endless({ ok + "Content-Length: " + std::to_string(wholeBody.size()) + "\r\n\r\n" + wholeBody, extra });
    for (int round = 0; round < 3; ++round)
        endless.checkCalls("/once/x", { 200, 502 }, timeout);
}

// Guards against bytes that pile up at a gateway that carries another one's connection.
TEST_CASE("an answer without end that arrives through a peer fails in time and in bounded memory", "[gateway]")
{
    auto row = GENERATE(values<Row>({
        { "fields", { ok, "X-Filler: x\r\n" }, Answered::BeforeTimeout },
        { "body without a length", { ok + "\r\n", "x" }, Answered::BeforeTimeout },
        { "extension of a chunk", { chunked + "8;", "x" }, Answered::BeforeTimeout },
        { "trailers", { chunked + "0\r\n", "X-Filler: x\r\n" }, Answered::BeforeTimeout },
    }));
    CAPTURE(row.name_);
    EndlessDeployment endless(row.answer_, Reached::ThroughPeer);
    GatewayDeployment& deployment = endless.deployment();
    const GatewayDeployment::Gateway& gateway = deployment.gateways()[0];
    REQUIRE(waitUntil([&] {
        (void)timedCall(deployment, "/once/x", "probe");
        return deployment.metric(gateway, "connections_relayed_total") > 0;
    }));
    endless.checkCalls("/once/x", { 502 }, timeout);
    CHECK(deployment.metric(gateway, "connections_relayed_total") > usualCallerCount);
}

// Guards against bytes of a stream that pile up at a gateway that carries another one's connection.
TEST_CASE("a stream without end that arrives through a peer ends in time and in bounded memory", "[gateway]")
{
    auto row = GENERATE(values<Row>({
        { "first event", { events + "fffffffffffffff\r\n", "x" }, Answered::BeforeTimeout },
        { "extension after an event", { events + firstEvent + "8;", "x" }, Answered::BeforeTimeout },
        { "the same event", { events + firstEvent, firstEvent }, Answered::AtTimeout },
    }));
    CAPTURE(row.name_);
    EndlessDeployment endless(row.answer_, Reached::ThroughPeer);
    GatewayDeployment& deployment = endless.deployment();
    const GatewayDeployment::Gateway& gateway = deployment.gateways()[0];
    REQUIRE(waitUntil([&] {
        (void)timedCall(deployment, "/ask/x", "probe");
        return deployment.metric(gateway, "connections_relayed_total") > 0;
    }));
    endless.checkCalls("/ask/x", { 502, 0 }, row.answered_ == Answered::BeforeTimeout ? streamTimeout : streamTimeout + answerMargin);
    CHECK(deployment.metric(gateway, "connections_relayed_total") > usualCallerCount);
}

// Guards against bytes that are read without bound, or taken for an answer, although the request has not
// been written completely or not at all.
TEST_CASE("bytes without end before or during the request fail in time and in bounded memory", "[gateway]")
{
    constexpr std::size_t longBody = 1'000'000;
    struct WriteRow {
        const char* name_;
        EndlessAnswer answer_;
        std::size_t bodySize_;
    };
    auto row = GENERATE(values<WriteRow>({
        { "no HTTP before the request", { "", "garbage ", {}, true }, 0 },
        { "an answer before the request", { "HTTP/1.1 200 OK\r\nX-Pistachioloom-Engine-Seal: s\r\n\r\n", "x", {}, true }, 0 },
        { "fields during an upload that is not read", { ok, "X-Filler: x\r\n" }, longBody },
        { "body during an upload that is not read", { ok + "\r\n", "x" }, longBody },
        { "interim answers during an upload that is not read", { "", "HTTP/1.1 100 Continue\r\n\r\n" }, longBody },
    }));
    CAPTURE(row.name_);
    EndlessDeployment endless(row.answer_);
    for (const char* path : { "/once/x", "/safe/x" })
        endless.checkCalls(path, { 502 }, timeout, usualCallerCount, row.bodySize_);
}

// Guards against a request that is held beyond its timeout, because bytes keep coming at a pace at which no
// limit of size is reached.
TEST_CASE("bytes without end at a slow pace fail at the timeout", "[gateway]")
{
    constexpr milliseconds pause { 20 };
    struct SlowRow {
        const char* path_;
        EndlessAnswer answer_;
    };
    auto row = GENERATE_COPY(values<SlowRow>({
        { "/once/x", { ok, "X-Filler: x\r\n", pause } },
        { "/safe/x", { ok + "\r\n", "x", pause } },
        { "/once/x", { chunked + "8;", "x", pause } },
        { "/safe/x", { chunked + "0\r\nX-Filler: ", "x", pause } },
    }));
    EndlessDeployment endless(row.answer_);
    endless.checkCalls(row.path_, { 502, 504 }, timeout + answerMargin);
}

// Guards against answers of the platform that are read without bound: a node makes several calls at a time,
// and makes them again as soon as they fail.
TEST_CASE("answers without end from the platform stay in bounded memory", "[gateway]")
{
    constexpr milliseconds runTime { 2000 };
    const std::string plainOk = "HTTP/1.1 200 OK\r\n";
    struct PlatformRow {
        const char* name_;
        EndlessAnswer answer_;
    };
    auto row = GENERATE_COPY(values<PlatformRow>({
        { "fields", { plainOk, "X-Filler: x\r\n" } },
        { "body without a length", { plainOk + "\r\n", "x" } },
        { "chunks", { plainOk + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n" } },
        { "trailers", { plainOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n" } },
    }));
    CAPTURE(row.name_);
    EndlessServer platform(row.answer_);
    GatewayDeploymentOptions options;
    options.platformEndpointFor_ = [&](const std::string&, const Endpoint&) { return platform.endpoint(); };
    GatewayDeployment deployment(options);
    std::this_thread::sleep_for(runTime);
    GatewayDeployment::Gateway& gateway = deployment.gateways()[0];
    CHECK(gateway.process_->isRunning());
    CHECK(gateway.process_->peakMemory().value_ < nodeMemory);
    CHECK_FALSE(deployment.isReady(gateway));
}
