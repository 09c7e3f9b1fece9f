//===- lib/Gateway/LoopLag.h - lag of an event loop -----------------------===//
///
/// \file
/// Work that blocks an event loop delays every request on the loop, and shows in none of
/// the steps of a single request. A periodic timer on the loop measures the delay.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Telemetry.h"

namespace pistachioloom {

/// Period of the timer. The timer misses at most one period of a stall, so that a stall
/// of 200 ms shows as at least 100 ms. The timer takes 0.6 ms of CPU time per second,
/// which is 0.5% of the CPU time of a VM with 0.12 cores; halving the period would double
/// that.
constexpr milliseconds loopLagPeriod { 100 };
/// Lag above which a log line is written. A lag delays the first bytes to callers by the
/// same time, and the latency objectives of urgent routes are some hundred ms.
constexpr milliseconds loopLagLogThreshold { 200 };
/// Minimum time between two log lines about lag.
constexpr milliseconds minLoopLagLogPeriod { 1000 };

/// Decides which measurements of lag are logged.
class LoopLagLogLimiter {
public:
    /// Returns whether a lag of \p lag, measured at \p now, is to be logged.
    bool isDue(milliseconds lag, SteadyTime now);

private:
    std::optional<SteadyTime> lastLoggedAt_;
};

/// Measures the lag of the event loop that it runs on into \p metrics; never returns.
asio::awaitable<void> watchLoopLag(Metrics& metrics);

} // namespace pistachioloom
