//===- unittests/Gateway/LoopLagTest.cpp - lag of an event loop -----------===//
///
/// \file
/// A blocked loop shows in the histogram, and log lines about it are limited.
//===----------------------------------------------------------------------===//
#include "LoopLag.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace pistachioloom;

/// Returns the value of \p name in Prometheus' text format.
static double valueOf(const Metrics& metrics, const std::string& name)
{
    const std::string page = metrics.render({});
    const std::string key = "\npistachioloom_" + name + " ";
    std::size_t at = page.find(key);
    REQUIRE(at != std::string::npos);
    return std::stod(page.substr(at + key.size()));
}

TEST_CASE("the measured lag of a blocked loop is at least the blocked time less one period", "[looplag]")
{
    asio::io_context io(1);
    Metrics metrics;
    constexpr milliseconds blockedTime { 400 };
    asio::co_spawn(io, watchLoopLag(metrics), asio::detached);
    asio::post(io, [&] { std::this_thread::sleep_for(blockedTime); });
    io.run_for(blockedTime + 3 * loopLagPeriod);
    CHECK(valueOf(metrics, "loop_lag_seconds_count") >= 1);
    CHECK(valueOf(metrics, "loop_lag_seconds_sum") >= std::chrono::duration<double>(blockedTime - loopLagPeriod).count());
}

TEST_CASE("lag is logged above the threshold only, and once per period at most", "[looplag]")
{
    struct Row {
        int atMs_;
        int lagMs_;
        bool isDue_;
    };
    const Row rows[] = {
        { 0, 0, false },
        { 100, 200, false },
        { 200, 201, true },
        { 700, 900, false },
        { 1199, 201, false },
        { 1200, 201, true },
        { 1300, 5000, false },
        { 9000, 200, false },
        { 9001, 201, true },
    };
    LoopLagLogLimiter logLimiter;
    for (const Row& row : rows) {
        CAPTURE(row.atMs_, row.lagMs_);
        CHECK(logLimiter.isDue(milliseconds(row.lagMs_), SteadyTime(milliseconds(row.atMs_))) == row.isDue_);
    }
}
