//===- unittests/Forward/EngineReturnTest.cpp - refusals after a loss ------===//
///
/// \file
/// Tests what a worker without engines tells its callers after a loss of engines.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Forward.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
const ServiceName service { "s" };

std::shared_ptr<const RouteTable> tableOf(milliseconds objective, milliseconds timeout)
{
    Route route;
    route.name_ = "r";
    route.host_ = "h";
    route.pathPrefix_ = "/";
    route.isStream_ = true;
    route.objective_ = objective;
    route.timeout_ = timeout;
    route.split_ = { { service, 1 } };
    ServicePolicy policy;
    policy.name_ = service;
    policy.engine_ = EngineTraits {};
    RouteConfiguration configuration;
    configuration.routes_ = { route };
    configuration.services_ = { policy };
    return RouteTable::build(std::move(configuration));
}

asio::awaitable<void> call(std::uint16_t port, std::string& answer)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asio::use_awaitable);
    const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    (void)co_await asio::async_read(socket, asio::dynamic_buffer(answer), asTuple);
}

} // namespace

// Guards against a forecast that is not asked when no engine is left, is asked without a loss, or sends
// callers away for longer than they can wait.
TEST_CASE("a caller is told to return when the engines ordered after a loss are expected", "[forward]")
{
    struct Row {
        const char* name_;
        std::uint64_t enginesBefore_;
        milliseconds objective_;
        milliseconds timeout_;
        /// Bounds of the Retry-After in seconds.
        double min_;
        double max_;
        bool isCounted_;
    };
    // Engines are expected 4.5 s after the loss, less the time that the call takes.
    auto row = GENERATE(values<Row>({
        { "no loss", 0, milliseconds(2500), milliseconds(15000), 0.15, 0.15, false },
        { "a loss", 60, milliseconds(2500), milliseconds(15000), 3, 5, true },
        { "a loss, but too little time", 60, milliseconds(2500), milliseconds(3000), 0.15, 0.15, false },
        { "a loss, but a short objective", 60, milliseconds(1000), milliseconds(15000), 0.15, 0.15, false },
    }));
    CAPTURE(row.name_);
    BackendTable backends { { "a" }, {} };
    ServicePaths paths;
    QuotaLimiter quotas { steadyNow(), {} };
    ServiceRetryBudget retries { {} };
    QuarantineTable quarantine { {} };
    CrashDetector crashes { quarantine };
    RolloutTracker rollouts { {} };
    Metrics metrics;
    ForwardContext context { {}, {}, {}, "secret", backends, paths, quotas, retries, quarantine, crashes, rollouts, metrics, {}, {}, {}, {} };
    context.hooks_.table_ = [table = tableOf(row.objective_, row.timeout_)] { return table; };
    for (std::uint64_t engines : { row.enginesBefore_, std::uint64_t(0) })
        context.engineForecast_.observe(service, { engines, milliseconds(4000), milliseconds(500), 40 }, steadyNow());
    asio::io_context io;
    ForwardWorker worker(io, context);
    std::uint16_t port = worker.listen({ "127.0.0.1", 0 }).value();
    std::string answer;
    asio::co_spawn(io, call(port, answer), [&](const std::exception_ptr&) { io.stop(); });
    io.run_for(std::chrono::seconds(10));
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    constexpr std::string_view field = "\r\nRetry-After: ";
    std::size_t at = answer.find(field);
    REQUIRE(at != std::string::npos);
    double retryAfter = std::stod(answer.substr(at + field.size()));
    CHECK(retryAfter >= row.min_);
    CHECK(retryAfter <= row.max_);
    CHECK(metrics.value(Counter::RefusedUntilEngines) == (row.isCounted_ ? 1 : 0));
}
