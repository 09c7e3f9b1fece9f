//===- lib/Node/SharedWait.h - many coroutines wait for one ----------------===//
///
/// \file
/// Lets coroutines wait for something that one of them does for all.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace pistachioloom {

class SharedWait {
public:
    explicit SharedWait(const asio::any_io_executor& executor)
        : channel_(executor)
    {
    }

    /// Returns once open() was called.
    asio::awaitable<void> wait() { co_await channel_.async_receive(asio::as_tuple(asio::use_awaitable)); }
    void open() { channel_.close(); }

private:
    asio::experimental::concurrent_channel<void(boost::system::error_code)> channel_;
};

} // namespace pistachioloom
