//===- lib/Forward/AutoResetEvent.h - one coroutine waits, others wake it ----------===//
///
/// \file
/// A wake-up with a time limit for coroutines of one single-threaded io_context.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace asio = boost::asio;

/// Completion token of this library: errors come back as values.
inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

class AutoResetEvent {
public:
    explicit AutoResetEvent(const asio::any_io_executor& executor)
        : timer_(executor)
    {
    }

    /// Waits for notify(); one that came before the call counts.
    /// \returns false if \p until passed first.
    asio::awaitable<bool> waitUntil(SteadyTime until)
    {
        if (!isSet_) {
            timer_.expires_at(until);
            co_await timer_.async_wait(asTuple);
        }
        co_return std::exchange(isSet_, false);
    }

    void notify()
    {
        isSet_ = true;
        timer_.cancel();
    }

private:
    SteadyTimer timer_;
    bool isSet_ = false;
};

} // namespace pistachioloom
