//===- unittests/Forward/InvalidAnswerTest.cpp - bytes that are no answer ---===//
///
/// \file
/// A server in trouble sends bytes that are no answer in the protocol. The caller must get the answer of
/// another server, or 502, and never these bytes nor a promise that its request has not run.
//===----------------------------------------------------------------------===//
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = asio::ip::tcp;

namespace {

const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const std::string fields = "Attempt: a1\r\nSeal: s\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
const std::string whole = "Content-Length: 19\r\n\r\nid: 1\ndata: whole\n\n";
const std::string soundBody = "id: 1\ndata: sound\n\n";
const std::string soundAnswer = ok + "Content-Length: 19\r\n\r\n" + soundBody;

Route routeWith(bool isStream, unsigned attempts)
{
    Route route = routeOfTests();
    route.isStream_ = isStream;
    route.isResumable_ = true;
    route.isIdempotent_ = attempts > 1;
    route.maxAttempts_ = attempts;
    return route;
}

/// Sends \p first as the answer to the first request, and the sound answer to the others.
ServerScript faultyServer(const std::string& first)
{
    return [first](tcp::socket& socket, const ReceivedRequest& received) -> asio::awaitable<bool> {
        std::string bytes = received.total_ == 1 ? first : soundAnswer;
        co_await send(socket, std::move(bytes));
        co_return false;
    };
}

/// Lets a peer carry all connections. The first one receives \p first, and the others the sound answer.
void carryConnections(ForwardContext& context, const std::string& first)
{
    for (int i = 0; i < 2; ++i)
        (void)context.paths_.noteProbed({ "s" }, 1, 0, steadyNow());
    REQUIRE(context.paths_.isLost({ "s" }));
    auto next = std::make_shared<std::string>(first);
    context.hooks_.openRelayed_ = [next](const BackendRecord&, milliseconds) -> asio::awaitable<Result<RelayedConnection>> {
        auto bytes = std::make_shared<std::string>(std::exchange(*next, soundAnswer));
        RelayedConnection connection;
        connection.via_ = { "peer" };
        connection.receive_ = [bytes]() -> asio::awaitable<Result<std::string>> {
            if (bytes->empty())
                co_return Error { Errc::NotFound, "receive", "peer", "closed", Ran::Unknown, {} };
            co_return std::exchange(*bytes, {});
        };
        connection.send_ = [](const std::string&) -> asio::awaitable<Result<void>> { co_return boost::outcome_v2::success(); };
        connection.reset_ = [] {};
        co_return connection;
    };
}

} // namespace

// Guards against bytes that are passed on as an answer although they are none, in a plain answer and in
// the head of a stream, whether the connection is a direct one or a peer carries it.
TEST_CASE("an answer with an invalid head fails its attempt", "[forward]")
{
    struct Row {
        const char* name_;
        std::string answer_;
    };
    auto row = GENERATE_COPY(values<Row>({
        { "status 000", "HTTP/1.1 000 X\r\n" + fields + whole },
        { "status 099", "HTTP/1.1 099 X\r\n" + fields + whole },
        { "status 600", "HTTP/1.1 600 X\r\n" + fields + whole },
        { "status 999", "HTTP/1.1 999 X\r\n" + fields + whole },
        { "status 101", "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" },
        { "an answer after status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + whole },
        { "status 000 without an id", "HTTP/1.1 000 X\r\n" + whole },
        { "status 000 that says not run", "HTTP/1.1 000 X\r\n" + fields + "Not-Run: 1\r\n" + whole },
        { "status 000 after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n" + fields + whole },
        { "blank in a name", ok + "X Odd: b\r\n" + whole },
        { "control byte in a name", ok + "X\x01Odd: b\r\n" + whole },
        { "byte of 0x80 in a name", ok + "X\x80Odd: b\r\n" + whole },
        { "blank before the colon", ok + "X-Odd : b\r\n" + whole },
        { "blank before a name", ok + " X-Odd: b\r\n" + whole },
        { "blank before a length", "HTTP/1.1 500 Error\r\n" + fields + " Content-Length: 4\r\n" + whole },
        { "control byte in a value", ok + "X-Odd: b\x01\r\n" + whole },
        { "different lengths", ok + "Content-Length: 4\r\n" + whole },
        { "length after another encoding", ok + "Transfer-Encoding: gzip\r\n" + whole },
        { "another encoding", ok + "Transfer-Encoding: gzip\r\n\r\nid: 1\ndata: x\n\n" },
        { "no reason", "HTTP/1.1 200\r\n" + fields + whole },
        { "another version", "HTTP/2.0 200 OK\r\n" + fields + whole },
    }));
    bool isStream = GENERATE(false, true);
    bool isCarried = GENERATE(false, true);
    CAPTURE(row.name_, isStream, isCarried);
    SECTION("no attempt is left")
    {
        ScriptedWorker worker(routeWith(isStream, 1), 2, faultyServer(row.answer_));
        if (isCarried)
            carryConnections(worker.context(), row.answer_);
        ScriptedWorker::CallerAnswer answer = worker.call(request);
        CAPTURE(answer.bytes_);
        CHECK(answer.bytes_.starts_with("HTTP/1.1 502 "));
        CHECK(answer.bytes_.find("Odd") == std::string::npos);
        CHECK(worker.count(Counter::Attempts) == 1);
    }
    SECTION("another server answers")
    {
        ScriptedWorker worker(routeWith(isStream, 2), 2, faultyServer(row.answer_));
        if (isCarried)
            carryConnections(worker.context(), row.answer_);
        ScriptedWorker::CallerAnswer answer = worker.call(request);
        CAPTURE(answer.bytes_);
        CHECK(answer.bytes_.starts_with("HTTP/1.1 200 "));
        CHECK(answer.bytes_.find(soundBody) != std::string::npos);
        CHECK(answer.bytes_.find("Odd") == std::string::npos);
        CHECK(worker.count(Counter::Attempts) == 2);
    }
}

// Guards against the same where the connection has served another request, and where a stream is
// resumed after its first event.
TEST_CASE("an invalid head on a kept connection or of a resumed stream fails its attempt", "[forward]")
{
    auto answer = GENERATE_COPY(values<std::string>({
        "HTTP/1.1 000 X\r\n" + fields + whole,
        "HTTP/1.1 600 X\r\n" + fields + whole,
        "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + whole,
        ok + " X-Odd: b\r\n" + whole,
        ok + "X Odd: b\r\n" + whole,
        ok + "Transfer-Encoding: gzip\r\n" + whole,
    }));
    CAPTURE(answer);
    SECTION("kept connection")
    {
        int faulty = 0;
        ScriptedWorker worker(routeWith(false, 2), 1, [&](tcp::socket& socket, const ReceivedRequest& received) -> asio::awaitable<bool> {
            bool isFaulty = received.number_ == 2;
            faulty += isFaulty;
            std::string bytes = isFaulty ? answer : soundAnswer;
            co_await send(socket, std::move(bytes));
            co_return !isFaulty;
        });
        for (int i = 0; i < 2; ++i)
            CHECK(worker.call(request).bytes_.ends_with("\r\n\r\n" + soundBody));
        CHECK(faulty == 1);
        CHECK(worker.requests() == 3);
    }
    SECTION("resumed stream")
    {
        ScriptedWorker worker(routeWith(true, 3), 2, [&](tcp::socket& socket, const ReceivedRequest& received) -> asio::awaitable<bool> {
            std::string bytes = ok + "Transfer-Encoding: chunked\r\n\r\n";
            if (received.total_ == 1)
                bytes += eventChunk(0);
            else if (received.total_ == 2)
                bytes = answer;
            else
                bytes += eventChunk(1) + "0\r\n\r\n";
            co_await send(socket, std::move(bytes));
            co_await sleepFor(milliseconds(20));
            resetSocket(socket);
            co_return false;
        });
        std::string bytes = worker.call(request).bytes_;
        CAPTURE(bytes);
        CHECK(bytes.find("whole") == std::string::npos);
        CHECK(bytes.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(bytes.ends_with(eventChunk(0) + eventChunk(1) + "0\r\n\r\n"));
        CHECK(worker.requests() == 3);
    }
}

// Guards against a promise that a request has not run, which stands after the body of its answer.
TEST_CASE("trailers are not passed on as fields of the head", "[forward]")
{
    auto status = GENERATE(values<std::string>({ "200 OK", "400 Bad Request" }));
    CAPTURE(status);
    ScriptedWorker worker(routeWith(false, 1), 1, faultyServer("HTTP/1.1 " + status + "\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nNot-Run: 1\r\nSeal: other\r\n\r\n"));
    ScriptedWorker::CallerAnswer answer = worker.call(request);
    CAPTURE(answer.bytes_);
    CHECK(answer.bytes_.starts_with("HTTP/1.1 " + status));
    CHECK(answer.bytes_.ends_with("\r\n\r\nbody"));
    CHECK(answer.bytes_.find("Not-Run") == std::string::npos);
    CHECK(answer.bytes_.find("other") == std::string::npos);
}
