//===- unittests/Support/SuspensionTest.cpp - time across a suspension -----===//
///
/// \file
/// The kernel's clocks as they are after a suspension of the VM: the one since boot has
/// gone on, the monotonic one has not.
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

/// Takes the place of the C library's.
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

TEST_CASE("a lease that ran out while the VM was suspended is acted on after it", "[suspension]")
{
    DutyLease lease({ "node" }, {}, steadyNow());
    SteadyTime recordedAt = steadyNow();
    lease.becomeHolder({ 1 }, recordedAt);
    suspend(std::chrono::seconds(60));
    CHECK_FALSE(lease.mayAct(recordedAt, steadyNow()));
}

TEST_CASE("time in which the VM was suspended is left out of ages", "[suspension]")
{
    SteadyTime before = steadyNow();
    milliseconds suspendedBefore = suspendedTime();
    suspend(std::chrono::seconds(7));
    CHECK(steadyNow() - before >= std::chrono::seconds(7));
    milliseconds suspended = suspendedTime() - suspendedBefore;
    CHECK(suspended >= milliseconds(6900));
    CHECK(suspended <= milliseconds(7100));
}

TEST_CASE("a timer that was due in a suspension waits for its whole time after it", "[suspension]")
{
    constexpr std::chrono::seconds longDelay { 30 };
    boost::asio::io_context io;
    SteadyTimer timer(io, longDelay);
    bool hasFired = false;
    timer.async_wait([&](const boost::system::error_code& code) { hasFired = !code; });
    // Loops of the product have a timer that is never far off.
    SteadyTimer shortTimer(io, milliseconds(50));
    shortTimer.async_wait([](const boost::system::error_code&) {});
    suspend(longDelay);
    io.run_for(milliseconds(1000));
    CHECK(hasFired);
}
