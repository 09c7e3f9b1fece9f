//===- unittests/Forward/RefusedReplacementTest.cpp - refused requests -----===//
///
/// \file
/// An attempt is given up for one at another server, which refuses it. The request has time left, and
/// servers may take it.
//===----------------------------------------------------------------------===//
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = asio::ip::tcp;

// Guards against a request that fails with time left, since the server that takes the place of a silent
// one refuses it, which used up the last attempt.
TEST_CASE("a request fails since the server that replaces a silent one refuses it", "[forward]")
{
    bool isStream = GENERATE(false, true);
    auto refusal = GENERATE(values<std::string>({ "", "Retry-After: 0.2\r\n" }));
    CAPTURE(isStream, refusal);
    Route route = routeOfTests();
    route.isStream_ = isStream;
    route.isResumable_ = isStream;
    route.isIdempotent_ = !isStream;
    route.maxAttempts_ = 2;
    route.objective_ = milliseconds(50);
    ScriptedWorker worker(route, 2, [&](tcp::socket& socket, const ReceivedRequest& received) -> asio::awaitable<bool> {
        if (received.total_ == 1) {
            co_await sleepFor(2 * route.timeout_);
            co_return false;
        }
        std::string answer = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + eventChunk(1) + "0\r\n\r\n";
        if (received.total_ == 2)
            answer = "HTTP/1.1 503 Service Unavailable\r\nAttempt: a1\r\nNot-Run: 1\r\n" + refusal + "Content-Length: 0\r\n\r\n";
        co_await send(socket, std::move(answer));
        co_return true;
    });
    ScriptedWorker::CallerAnswer answer = worker.call("GET /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nConnection: close\r\n\r\n");
    CAPTURE(answer.bytes_);
    CHECK(answer.bytes_.starts_with("HTTP/1.1 200"));
    CHECK(worker.requests() == 3);
}

// Guards against a request that is held, or repeated without end, while every server refuses it.
TEST_CASE("a request that all servers refuse after a silent one is given up soon", "[forward]")
{
    Route route = routeOfTests();
    route.isIdempotent_ = true;
    route.maxAttempts_ = 2;
    route.timeout_ = milliseconds(4000);
    ScriptedWorker worker(route, 2, [&](tcp::socket& socket, const ReceivedRequest& received) -> asio::awaitable<bool> {
        if (received.total_ == 1)
            co_await sleepFor(2 * route.timeout_);
        std::string answer = "HTTP/1.1 503 Service Unavailable\r\nAttempt: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        co_await send(socket, std::move(answer));
        co_return true;
    });
    ScriptedWorker::CallerAnswer answer = worker.call("GET /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nConnection: close\r\n\r\n");
    // The silent server may have run it.
    CHECK(answer.bytes_.starts_with("HTTP/1.1 502"));
    CHECK(answer.took_ < route.timeout_);
    CHECK(worker.requests() <= 6);
}
