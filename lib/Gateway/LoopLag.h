//===- lib/Gateway/LoopLag.h - how late an event loop runs -----------------===//
///
/// \file
/// Whatever holds an event loop makes every request on it late, and shows in no
/// request's own steps. A sleeper on the loop sees it.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Telemetry.h"

namespace pistachioloom {

/// How often a sleeper wakes. It sees a stall but for this time of it at most, so one
/// of 200 ms shows as 100 at least. It takes 0.6 ms of processor time a second, 0.5% of
/// what a VM of 0.12 of a core has; half the time would cost twice as much.
constexpr milliseconds loopLagPeriod { 100 };
/// A loop later than this is told of in the log: callers' first bytes are late by as
/// much, and the objectives of urgent routes are some hundred ms.
constexpr milliseconds loopLagLogThreshold { 200 };
/// Least time between two such lines.
constexpr milliseconds minLoopLagLogPeriod { 1000 };

/// Which times late are worth a line in the log.
class LoopLagLogLimiter {
public:
    /// Whether to tell at \p now that the loop was \p lag.
    bool isDue(milliseconds lag, SteadyTime now);

private:
    std::optional<SteadyTime> lastLoggedAt_;
};

/// Observes without end how late the loop that it runs on is, into \p metrics.
asio::awaitable<void> watchLoopLag(Metrics& metrics);

} // namespace pistachioloom
