//===- lib/Gateway/BackgroundExecutor.h - work beside the event loops --------------===//
///
/// \file
/// One thread for work that takes longer than a caller should wait for: decoding,
/// indexing and compressing a configuration. On an event loop, whatever arrives
/// meanwhile waits for all of it; beside it, for a time slice of the scheduler. Where a
/// quota of processor time bounds the process, both use it up: work beyond what is left
/// of a period's quota holds the loop until the next period.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <thread>

namespace pistachioloom {

/// Runs one piece of work after the other, in the order they were given.
///
/// It must end before the io_contexts whose coroutines it resumes. Its end waits for
/// the work that runs and drops what waits: those coroutines are not resumed.
class BackgroundExecutor {
public:
    BackgroundExecutor();
    ~BackgroundExecutor();
    BackgroundExecutor(const BackgroundExecutor&) = delete;
    BackgroundExecutor& operator=(const BackgroundExecutor&) = delete;

    /// Suspends the calling coroutine, which resumes on its own executor, until \p work
    /// was done on the thread of this object. It may read from RcuCell. Exceptions of
    /// \p work are thrown on in the calling coroutine.
    asio::awaitable<void> run(std::function<void()> work);

private:
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace pistachioloom
