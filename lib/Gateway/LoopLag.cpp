//===- lib/Gateway/LoopLag.cpp - how late an event loop runs ---------------===//
///
/// \file
/// See LoopLag.h.
//===----------------------------------------------------------------------===//
#include "LoopLag.h"

namespace pistachioloom {

bool LoopLagLogLimiter::isDue(milliseconds late, SteadyTime now)
{
    if (late <= loopLagLogThreshold || (last_ && now - *last_ < minLoopLagLogPeriod))
        return false;
    last_ = now;
    return true;
}

asio::awaitable<void> watchLoopLag(Metrics& metrics)
{
    const Logger logger("loop");
    LoopLagLogLimiter lines;
    for (;;) {
        SteadyTime dueAt = steadyNow() + loopLagPeriod;
        milliseconds suspendedBefore = suspendedTime();
        co_await sleepFor(loopLagPeriod);
        SteadyTime now = steadyNow();
        auto late = std::max(now - dueAt, SteadyTime::duration::zero());
        metrics.observe(Histogram::LoopLag, late);
        auto lateMs = std::chrono::duration_cast<milliseconds>(late);
        milliseconds suspended = suspendedTime() - suspendedBefore;
        if (suspended > loopLagLogThreshold)
            logger.warn(LogLine("VM was suspended.").add("suspended_ms", suspended.count()));
        if (lines.isDue(lateMs, now))
            logger.warn(LogLine("Event loop is late.").add("late_ms", lateMs.count()));
    }
}

} // namespace pistachioloom
