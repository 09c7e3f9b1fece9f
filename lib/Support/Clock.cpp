//===- lib/Support/Clock.cpp - the clock of ages, leases and deadlines -----===//
///
/// \file
/// Implements BootClock and suspendedTime().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Support.h"

#include <ctime>

namespace pistachioloom {

static std::chrono::nanoseconds read(clockid_t clock)
{
    timespec time {};
    // Fails only for a clock that the kernel lacks. Linux has both since 2.6.39.
    (void)clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

BootClock::time_point BootClock::now() noexcept
{
    return time_point(read(CLOCK_BOOTTIME));
}

milliseconds suspendedTime()
{
    return std::chrono::duration_cast<milliseconds>(read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC));
}

} // namespace pistachioloom
