//===- lib/Gateway/LoopLag.cpp - lag of an event loop ---------------------===//
///
/// \file
/// See LoopLag.h.
//===----------------------------------------------------------------------===//
#include "LoopLag.h"

namespace pistachioloom {

bool LoopLagLogLimiter::isDue(milliseconds lag, SteadyTime now)
{
    if (lag <= loopLagLogThreshold || (lastLoggedAt_ && now - *lastLoggedAt_ < minLoopLagLogPeriod))
        return false;
    lastLoggedAt_ = now;
    return true;
}

asio::awaitable<void> watchLoopLag(Metrics& metrics)
{
    const Logger logger("loop");
    LoopLagLogLimiter logLimiter;
    for (;;) {
        SteadyTime dueAt = steadyNow() + loopLagPeriod;
        milliseconds suspendedBefore = suspendedTime();
        co_await sleepFor(loopLagPeriod);
        SteadyTime now = steadyNow();
        auto lag = std::max(now - dueAt, SteadyTime::duration::zero());
        metrics.observe(Histogram::LoopLag, lag);
        auto lagMs = std::chrono::duration_cast<milliseconds>(lag);
        milliseconds suspended = suspendedTime() - suspendedBefore;
        if (suspended > loopLagLogThreshold)
            logger.warn(LogLine("VM was suspended.").add("suspended_ms", suspended.count()));
        if (logLimiter.isDue(lagMs, now))
            logger.warn(LogLine("Event loop is delayed.").add("late_ms", lagMs.count()));
    }
}

} // namespace pistachioloom
