//===- lib/Forward/AutoResetEvent.h - wake-up for one waiting coroutine ---===//
///
/// \file
/// An event on which one coroutine of a single-threaded io_context waits with a time
/// limit, and which others set.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace asio = boost::asio;

/// The completion token for asynchronous operations. It returns errors as values.
inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// An event that a completed wait resets.
class AutoResetEvent {
public:
    explicit AutoResetEvent(const asio::any_io_executor& executor)
        : timer_(executor)
    {
    }

    /// Waits for notify(). A notification from before the call counts.
    /// \returns false if \p until passes first.
    asio::awaitable<bool> waitUntil(SteadyTime until)
    {
        if (!isSet_) {
            timer_.expires_at(until);
            co_await timer_.async_wait(asTuple);
        }
        co_return std::exchange(isSet_, false);
    }

    /// Sets the event and wakes the waiting coroutine.
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
