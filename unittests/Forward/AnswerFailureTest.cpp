//===- unittests/Forward/AnswerFailureTest.cpp - answers that cannot be read ===//
///
/// \file
/// Tests what a caller is told if the answer of the backend server cannot be read, or is one to
/// another request.
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
asio::awaitable<void> sendRequest(std::uint16_t port, std::string& answer, milliseconds& took)
{
    SteadyTime startedAt = steadyNow();
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asio::use_awaitable);
    const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    (void)co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", asTuple);
    took = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
    co_await sleepFor(std::max(milliseconds(0), 2 * timeout - took));
}

/// A worker with one backend server, which sends the same answer to each request.
class WorkerWithBackend {
public:
    WorkerWithBackend(bool isStream, std::string backendAnswer)
        : acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        BackendRecord backend;
        backend.id_ = { "b" };
        backend.name_ = { "b" };
        backend.service_ = service;
        backend.dataCentre_ = { "a" };
        backend.endpoint_ = { "127.0.0.1", acceptor_.local_endpoint().port() };
        (void)backends_.put(backend);
        context_.names_.attempt_ = "Attempt";
        context_.names_.seal_ = "Seal";
        context_.names_.notRun_ = "Not-Run";
        context_.names_.leaving_ = "Leaving";
        context_.hooks_.table_ = [table = makeTable(isStream)] { return table; };
        asio::co_spawn(io_, serve(acceptor_, std::move(backendAnswer)), asio::detached);
    }

    ForwardHooks& hooks() { return context_.hooks_; }
    const BackendTable& backends() const { return backends_; }

    /// Sends a request. \returns the head of its answer, and the time that it took.
    std::pair<std::string, milliseconds> call()
    {
        ForwardWorker worker(io_, context_);
        std::uint16_t port = worker.listen({ "127.0.0.1", 0 }).value();
        std::string answer;
        milliseconds took = milliseconds::max();
        asio::co_spawn(io_, sendRequest(port, answer, took), [&](const std::exception_ptr&) { io_.stop(); });
        io_.run_for(std::chrono::seconds(10));
        return { answer, took };
    }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
    BackendTable backends_ { { "a" }, {} };
    ServicePaths paths_;
    QuotaLimiter quotas_ { steadyNow(), {} };
    ServiceRetryBudget retries_ { {} };
    QuarantineTable quarantine_ { {} };
    CrashDetector crashes_ { quarantine_ };
    RolloutTracker rollouts_ { {} };
    Metrics metrics_;
    ForwardContext context_ { {}, {}, {}, "secret", backends_, paths_, quotas_, retries_, quarantine_, crashes_, rollouts_, metrics_, {}, {}, {}, {} };
};

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
    const std::string ok = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n";
    auto row = GENERATE_COPY(values<Row>({
        { "a sound answer", false, ok + "Content-Length: 4\r\n\r\nbody", "HTTP/1.1 200" },
        { "a length larger than the memory", false, ok + "Content-Length: 800800800800800800\r\n\r\nbody", "HTTP/1.1 502" },
        { "the same of a failure", false, "HTTP/1.1 500 Error\r\nContent-Length: 800800800800800800\r\n\r\nbody", "HTTP/1.1 502" },
        { "the same of a stream", true, ok + "Content-Length: 800800800800800800\r\n\r\ndata: x", "HTTP/1.1 502" },
        { "an exception in a hook", false, ok + "Leaving: 1\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 502" },
    }));
    CAPTURE(row.name_);
    WorkerWithBackend worker(row.isStream_, row.answer_);
    worker.hooks().onStatement_ = [](const BackendStatement&) { throw std::runtime_error("failure of a test"); };
    auto [answer, took] = worker.call();
    CAPTURE(answer);
    CHECK(answer.starts_with(row.expected_));
    CHECK(took < timeout);
}

// Guards against statements of an answer to another request: that this one has not run, or that the
// server is leaving. The caller would send a request again that is running.
TEST_CASE("only an answer to the request itself says that it has not run", "[forward]")
{
    struct Row {
        const char* name_;
        std::string answer_;
        const char* expected_;
        /// Whether the server may receive further requests.
        bool mayReceive_;
    };
    auto row = GENERATE(values<Row>({
        { "its own 421", "421 Misdirected Request\r\nAttempt: a1\r\nNot-Run: 1", "HTTP/1.1 503", false },
        { "421 to another request", "421 Misdirected Request\r\nAttempt: a0\r\nNot-Run: 1", "HTTP/1.1 502", true },
        { "its own rejection", "503 Service Unavailable\r\nAttempt: a1\r\nNot-Run: 1", "HTTP/1.1 503", true },
        { "rejection of another request", "503 Service Unavailable\r\nAttempt: a0\r\nNot-Run: 1", "HTTP/1.1 502", true },
        { "its own failure that states leaving", "500 Error\r\nAttempt: a1\r\nSeal: s\r\nLeaving: 1", "HTTP/1.1 500", false },
        { "failure of another request that states leaving", "500 Error\r\nAttempt: a0\r\nSeal: s\r\nLeaving: 1", "HTTP/1.1 502", true },
        { "success of another request", "200 OK\r\nAttempt: a0\r\nSeal: s", "HTTP/1.1 502", true },
    }));
    CAPTURE(row.name_);
    WorkerWithBackend worker(false, "HTTP/1.1 " + row.answer_ + "\r\nContent-Length: 0\r\n\r\n");
    worker.hooks().onStatement_ = [](const BackendStatement&) {};
    auto [answer, took] = worker.call();
    CAPTURE(answer);
    CHECK(answer.starts_with(row.expected_));
    CHECK(worker.backends().mayReceive({ "b" }, steadyNow()) == row.mayReceive_);
}
