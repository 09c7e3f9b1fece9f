//===- unittests/Forward/AnswerFailureTest.cpp - answers that cannot be read ===//
///
/// \file
/// Tests that a request is answered if reading the answer of its backend server fails, whatever
/// the failure.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Forward.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds timeout { 800 };
const ServiceName service { "s" };

std::shared_ptr<const RouteTable> makeTable(bool isStream)
{
    Route route;
    route.name_ = "r";
    route.host_ = "h";
    route.pathPrefix_ = "/";
    route.isStream_ = isStream;
    route.timeout_ = timeout;
    route.split_ = { { service, 1 } };
    ServicePolicy policy;
    policy.name_ = service;
    policy.maxConnections_ = 100;
    RouteConfiguration configuration;
    configuration.routes_ = { route };
    configuration.services_ = { policy };
    return RouteTable::build(std::move(configuration));
}

/// Sends \p answer to each request, and closes the connection.
asio::awaitable<void> serve(tcp::acceptor& acceptor, std::string answer)
{
    for (;;) {
        auto [code, socket] = co_await acceptor.async_accept(asTuple);
        if (code)
            co_return;
        std::string request;
        (void)co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
        (void)co_await asio::async_write(socket, asio::buffer(answer), asTuple);
    }
}

/// Sends a request and reads its answer. Closes the connection after the timeout of the route.
asio::awaitable<void> call(std::uint16_t port, std::string& answer, milliseconds& took)
{
    SteadyTime startedAt = steadyNow();
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asio::use_awaitable);
    const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    (void)co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", asTuple);
    took = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
    co_await sleepFor(std::max(milliseconds(0), 2 * timeout - took));
}

} // namespace

// Guards against an exception that leaves a request without an answer, and its connection with a
// hook into freed memory.
TEST_CASE("a request is answered at once if reading its answer fails", "[forward]")
{
    struct Row {
        const char* name_;
        bool isStream_;
        std::string answer_;
        const char* expected_;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\nSeal: s\r\n";
    auto row = GENERATE_COPY(values<Row>({
        { "a sound answer", false, ok + "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 200" },
        { "a length larger than the memory", false, ok + "Content-Length: 800800800800800800\r\n\r\nbody", "HTTP/1.1 502" },
        { "the same of a failure", false, "HTTP/1.1 500 Error\r\nContent-Length: 800800800800800800\r\n\r\nbody", "HTTP/1.1 502" },
        { "the same of a stream", true, ok + "Content-Length: 800800800800800800\r\n\r\ndata: x", "HTTP/1.1 502" },
        { "an exception in a hook", false, ok + "Leaving: 1\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 502" },
    }));
    CAPTURE(row.name_);
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    BackendTable backends { { "a" }, {} };
    BackendRecord backend;
    backend.id_ = { "b" };
    backend.name_ = { "b" };
    backend.service_ = service;
    backend.dataCentre_ = { "a" };
    backend.endpoint_ = { "127.0.0.1", acceptor.local_endpoint().port() };
    (void)backends.put(backend);
    ServicePaths paths;
    QuotaLimiter quotas { steadyNow(), {} };
    ServiceRetryBudget retries { {} };
    QuarantineTable quarantine { {} };
    CrashDetector crashes { quarantine };
    RolloutTracker rollouts { {} };
    Metrics metrics;
    ForwardHeaderNames names;
    names.seal_ = "Seal";
    names.leaving_ = "Leaving";
    ForwardContext context { names, {}, {}, "secret", backends, paths, quotas, retries, quarantine, crashes, rollouts, metrics, {}, {}, {}, {} };
    context.hooks_.table_ = [table = makeTable(row.isStream_)] { return table; };
    context.hooks_.onStatement_ = [](const BackendStatement&) { throw std::runtime_error("failure of a test"); };
    ForwardWorker worker(io, context);
    std::uint16_t port = worker.listen({ "127.0.0.1", 0 }).value();
    asio::co_spawn(io, serve(acceptor, row.answer_), asio::detached);
    std::string answer;
    milliseconds took = milliseconds::max();
    asio::co_spawn(io, call(port, answer, took), [&](const std::exception_ptr&) { io.stop(); });
    io.run_for(std::chrono::seconds(10));
    CAPTURE(answer);
    CHECK(answer.starts_with(row.expected_));
    CHECK(took < timeout);
}
