//===- unittests/Forward/OverloadTest.cpp - more callers than a node bears -===//
///
/// \file
/// Most callers connect to one worker, which can process a fraction of their requests. Tests
/// that it answers those that it reads in time, and closes the other connections unread.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Forward.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Processor time of a request, which allows for 100 requests a second.
constexpr milliseconds workPerRequest { 10 };
constexpr milliseconds floodInterval { 2 };
constexpr std::size_t floodConnections = 1000;
constexpr milliseconds calmInterval { 25 };
constexpr std::size_t calmConnections = 60;
// Callers give up a node that has not read their request after a second.
constexpr milliseconds callerPatience { 1000 };

void work(milliseconds duration)
{
    SteadyTime until = steadyNow() + duration;
    while (steadyNow() < until) { }
}

/// A worker without a configuration, which answers each request 503 after workPerRequest.
class BusyWorker {
public:
    BusyWorker()
        : context_ { {}, {}, {}, "secret", backends_, paths_, quotas_, retries_, quarantine_, crashes_, rollouts_, metrics_, {}, {}, {}, {} }
    {
        // The table is asked for once when a request is awaited, and once when it is processed.
        context_.hooks_.table_ = [] {
            work(workPerRequest / 2);
            return nullptr;
        };
        worker_ = std::make_unique<ForwardWorker>(io_, context_);
        port_ = worker_->listen({ "127.0.0.1", 0 }).value();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~BusyWorker()
    {
        io_.stop();
        thread_.join();
    }
    BusyWorker(const BusyWorker&) = delete;
    BusyWorker& operator=(const BusyWorker&) = delete;

    std::uint16_t port() const { return port_; }

private:
    BackendTable backends_ { { "a" }, {} };
    ServicePaths paths_;
    QuotaLimiter quotas_ { steadyNow(), {} };
    ServiceRetryBudget retries_ { {} };
    QuarantineTable quarantine_ { {} };
    CrashDetector crashes_ { quarantine_ };
    RolloutTracker rollouts_ { {} };
    Metrics metrics_;
    ForwardContext context_;
    asio::io_context io_;
    std::unique_ptr<ForwardWorker> worker_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

struct CallResult {
    bool isAnswered_ = false;
    /// From the start of the connection to its end.
    milliseconds took_ {};
};

asio::awaitable<void> call(std::uint16_t port, CallResult& result)
{
    SteadyTime startedAt = steadyNow();
    tcp::socket socket(co_await asio::this_coro::executor);
    auto [connectCode] = co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asTuple);
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    if (!connectCode) {
        auto [writeCode, written] = co_await asio::async_write(socket, asio::buffer(request), asTuple);
        std::string answer;
        auto [readCode, count] = co_await asio::async_read(socket, asio::dynamic_buffer(answer), asTuple);
        result.isAnswered_ = !writeCode && (!readCode || readCode == asio::error::eof) && answer.starts_with("HTTP/1.1 503");
    }
    result.took_ = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
}

std::vector<CallResult> callRepeatedly(std::uint16_t port, std::size_t count, milliseconds interval)
{
    std::vector<CallResult> results(count);
    asio::io_context io;
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> {
            SteadyTime next = steadyNow();
            for (CallResult& result : results) {
                asio::co_spawn(io, call(port, result), asio::detached);
                next += interval;
                SteadyTimer timer(io, next);
                (void)co_await timer.async_wait(asTuple);
            }
        },
        asio::detached);
    io.run();
    return results;
}

std::size_t answered(const std::vector<CallResult>& results)
{
    return static_cast<std::size_t>(std::count_if(results.begin(), results.end(), [](const CallResult& result) { return result.isAnswered_; }));
}

std::size_t answeredWithin(const std::vector<CallResult>& results, milliseconds limit)
{
    return static_cast<std::size_t>(std::count_if(results.begin(), results.end(), [&](const CallResult& result) { return result.isAnswered_ && result.took_ <= limit; }));
}

} // namespace

TEST_CASE("a worker that gets more connections than it can process reads requests that it answers too late", "[forward]")
{
    BusyWorker worker;
    auto before = callRepeatedly(worker.port(), calmConnections, calmInterval);
    CHECK(answeredWithin(before, callerPatience) == before.size());
    auto flood = callRepeatedly(worker.port(), floodConnections, floodInterval);
    // The rule's bound: of the requests that were read, three quarters as many are served.
    CHECK(static_cast<double>(answeredWithin(flood, callerPatience)) >= 0.75 * static_cast<double>(answered(flood)));
    // The node still does most of the work that it can do in this time.
    auto possible = floodConnections * floodInterval / workPerRequest;
    CAPTURE(possible, answered(flood), answeredWithin(flood, callerPatience));
    CHECK(static_cast<double>(answered(flood)) >= 0.5 * static_cast<double>(possible));
    // The others are told soon enough to try another node.
    auto isLate = [](const CallResult& result) { return result.took_ > callerPatience; };
    CHECK(std::count_if(flood.begin(), flood.end(), isLate) <= static_cast<std::ptrdiff_t>(floodConnections / 20));
    auto after = callRepeatedly(worker.port(), calmConnections, calmInterval);
    CHECK(answeredWithin(after, callerPatience) >= after.size() * 9 / 10);
}
