//===- lib/Gateway/BackgroundExecutor.h - work off the event loops --------===//
///
/// \file
/// Runs work that would block an event loop for too long, such as decoding, indexing and
/// compressing a configuration, on a thread of its own. On an event loop, everything that
/// arrives meanwhile waits until the work is done; on its own thread, the work delays the
/// loop by a scheduler time slice at most. Where a CPU quota limits the process, both
/// threads consume it: work that uses up the quota of a period blocks the loop until the
/// next period.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <thread>

namespace pistachioloom {

/// Runs work items one after another, in the order of their submission.
///
/// The executor must be destroyed before the io_contexts whose coroutines it resumes. The
/// destructor waits for the running work item and drops the queued ones, whose coroutines
/// are not resumed.
class BackgroundExecutor {
public:
    BackgroundExecutor();
    ~BackgroundExecutor();
    BackgroundExecutor(const BackgroundExecutor&) = delete;
    BackgroundExecutor& operator=(const BackgroundExecutor&) = delete;

    /// Suspends the calling coroutine until \p work has run on the executor's thread. The
    /// coroutine resumes on its own executor. \p work may read from RcuCell. Exceptions
    /// of \p work are rethrown in the calling coroutine.
    asio::awaitable<void> run(std::function<void()> work);

private:
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace pistachioloom
