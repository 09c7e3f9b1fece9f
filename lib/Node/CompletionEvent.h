//===- lib/Node/CompletionEvent.h - one-time event for coroutines ---------===//
///
/// \file
/// Lets coroutines wait for an operation that one of them performs for all.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace pistachioloom {

/// An event that completes once and wakes all coroutines that wait for it.
class CompletionEvent {
public:
    explicit CompletionEvent(const asio::any_io_executor& executor)
        : channel_(executor)
    {
    }

    /// Returns after complete() was called.
    asio::awaitable<void> wait() { co_await channel_.async_receive(asio::as_tuple(asio::use_awaitable)); }
    void complete() { channel_.close(); }

private:
    asio::experimental::concurrent_channel<void(boost::system::error_code)> channel_;
};

} // namespace pistachioloom
