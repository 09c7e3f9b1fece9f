//===- lib/Gateway/BackgroundExecutor.cpp - work off the event loops ------===//
///
/// \file
/// See BackgroundExecutor.h.
//===----------------------------------------------------------------------===//
#include "BackgroundExecutor.h"

namespace pistachioloom {

static asio::awaitable<void> doWork(std::function<void()> work)
{
    work();
    co_return;
}

BackgroundExecutor::BackgroundExecutor()
    : io_(1)
    , guard_(asio::make_work_guard(io_))
    , thread_([this] {
        RcuThread registered;
        io_.run();
    })
{
}

BackgroundExecutor::~BackgroundExecutor()
{
    io_.stop();
    thread_.join();
}

asio::awaitable<void> BackgroundExecutor::run(std::function<void()> work)
{
    co_await asio::co_spawn(io_, doWork(std::move(work)), asio::use_awaitable);
}

} // namespace pistachioloom
