//===- lib/Node/RunOnceCoordinator.h - at-most-once calls -----------------===//
///
/// \file
/// Runs each call at most once by performing the steps of its RunOnceCall. A
/// coordinator appends the pending intents of a shard as one record, reads the
/// shard up to that record and passes the result to each call. Any number of
/// coordinators of one shard, frozen or not, are safe together.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"
#include "pistachioloom/Ledger.h"

#include <mutex>

namespace pistachioloom::wire {
class ServiceCall;
}

namespace pistachioloom {

/// The `step_` of errors that a coordinator itself reports. After such an error
/// no other coordinator is tried.
inline constexpr std::string_view runOnceStep = "run once";

/// Coordinates calls that run at most once.
class RunOnceCoordinator {
public:
    /// Sends a call to a backend server. The returned frame holds an answer or a
    /// failure.
    using DispatchHook = std::function<asio::awaitable<wire::Frame>(wire::ServiceCall call)>;

    RunOnceCoordinator(NodeContext& context, DispatchHook dispatch);
    ~RunOnceCoordinator();
    RunOnceCoordinator(const RunOnceCoordinator&) = delete;
    RunOnceCoordinator& operator=(const RunOnceCoordinator&) = delete;

    /// Runs \p call at most once. \returns the frame for the entry VM.
    asio::awaitable<wire::Frame> runOnce(const wire::ServiceCall& call);
    /// Number of keys known in all shards.
    std::size_t keyCount() const;
    /// Number of calls in progress.
    std::size_t running() const { return running_; }

private:
    struct Shard;
    struct Append;

    std::shared_ptr<Append> enqueue(std::uint32_t shard, const LedgerItem& item, bool needsRead);
    /// Appends the pending items of a shard until none is left.
    asio::awaitable<void> flushLoop(std::uint32_t index);
    asio::awaitable<Result<LogOffset>> appendRecord(const std::string& stream, const std::string& record);
    /// Reads the log of \p shard up to and including \p offset.
    asio::awaitable<Result<void>> readUpTo(Shard& shard, const std::string& stream, LogOffset offset);
    asio::awaitable<void> writeIntent(RunOnceCall& run, std::uint32_t shard);
    asio::awaitable<void> dispatch(RunOnceCall& run, const wire::ServiceCall& call, SteadyTime receivedAt);
    /// Appends the outcome or the release of a call.
    asio::awaitable<void> writeFinalRecord(RunOnceCall& run, std::uint32_t shard);
    wire::Frame makeAnswer(const RunOnceCall& run) const;

    NodeContext& context_;
    DispatchHook dispatch_;
    Logger logger_;
    std::vector<std::unique_ptr<Shard>> shards_;
    std::atomic<std::size_t> running_ { 0 };
};

} // namespace pistachioloom
