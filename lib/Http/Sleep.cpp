//===- lib/Http/Sleep.cpp - sleeping in coroutines -------------------------===//
///
/// \file
/// Implements sleepFor().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>

namespace pistachioloom {

asio::awaitable<void> sleepFor(milliseconds duration)
{
    SteadyTimer timer(co_await asio::this_coro::executor, duration);
    (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace pistachioloom
