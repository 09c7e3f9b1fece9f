//===- unittests/Support/SuspensionTest.cpp - clocks after a suspension ----===//
///
/// \file
/// Tests leases, ages and timers after a suspension of the VM, during which the kernel's
/// boot time clock advances and its monotonic clock stands still. If the product used
/// the monotonic clock, a lease that expired during the suspension would seem valid.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

using namespace pistachioloom;

static std::atomic<std::int64_t> suspendedSeconds { 0 };

/// Replaces the C library's function and simulates suspensions.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (clock == CLOCK_BOOTTIME)
        time->tv_sec += suspendedSeconds;
    return result;
}

static void suspend(std::chrono::seconds length)
{
    suspendedSeconds += length.count();
}

TEST_CASE("a lease that expired while the VM was suspended is used afterwards", "[suspension]")
{
    DutyLease lease({ "node" }, {}, steadyNow());
    SteadyTime recordedAt = steadyNow();
    lease.becomeHolder({ 1 }, recordedAt);
    suspend(std::chrono::seconds(60));
    CHECK_FALSE(lease.mayAct(recordedAt, steadyNow()));
}

TEST_CASE("ages exclude the time of a suspension", "[suspension]")
{
    SteadyTime before = steadyNow();
    milliseconds suspendedBefore = suspendedTime();
    suspend(std::chrono::seconds(7));
    CHECK(steadyNow() - before >= std::chrono::seconds(7));
    milliseconds suspended = suspendedTime() - suspendedBefore;
    CHECK(suspended >= milliseconds(6900));
    CHECK(suspended <= milliseconds(7100));
}

TEST_CASE("a timer that expired during a suspension waits for its full duration afterwards", "[suspension]")
{
    constexpr std::chrono::seconds longDelay { 30 };
    boost::asio::io_context io;
    SteadyTimer timer(io, longDelay);
    bool hasFired = false;
    timer.async_wait([&](const boost::system::error_code& code) { hasFired = !code; });
    // The product's event loops always have a timer that fires soon.
    SteadyTimer shortTimer(io, milliseconds(50));
    shortTimer.async_wait([](const boost::system::error_code&) {});
    suspend(longDelay);
    io.run_for(milliseconds(1000));
    CHECK(hasFired);
}
