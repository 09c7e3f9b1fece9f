//===- lib/Node/CompletionEvent.h - many coroutines wait for one ----------------===//
///
/// \file
/// Lets coroutines wait for something that one of them does for all.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace pistachioloom {

class CompletionEvent {
public:
    explicit CompletionEvent(const asio::any_io_executor& executor)
        : channel_(executor)
    {
    }

    /// Returns once open() was called.
    asio::awaitable<void> wait() { co_await channel_.async_receive(asio::as_tuple(asio::use_awaitable)); }
    void complete() { channel_.close(); }

private:
    asio::experimental::concurrent_channel<void(boost::system::error_code)> channel_;
};

} // namespace pistachioloom
