//===- lib/Node/RunOnceCoordinator.h - keeper of calls that run at most once --------===//
///
/// \file
/// Drives RunOnceCall against the log. A keeper appends the intents that wait
/// for one shard as one record, reads the shard up to it and tells each call.
/// Any number of keepers of one shard, frozen or not, are safe together.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"
#include "pistachioloom/Ledger.h"

#include <mutex>

namespace pistachioloom::wire {
class ServiceCall;
}

namespace pistachioloom {

/// The step named by failures that are a keeper's own answer.
inline constexpr std::string_view runOnceStep = "run once";

class RunOnceCoordinator {
public:
    /// Sends a call to a backend server; the reply is an answer or a failure.
    using DispatchHook = std::function<asio::awaitable<wire::Frame>(wire::ServiceCall call)>;

    RunOnceCoordinator(NodeContext& context, DispatchHook dispatch);
    ~RunOnceCoordinator();
    RunOnceCoordinator(const RunOnceCoordinator&) = delete;
    RunOnceCoordinator& operator=(const RunOnceCoordinator&) = delete;

    /// Runs \p call at most once and gives the frame for the entry.
    asio::awaitable<wire::Frame> runOnce(const wire::ServiceCall& call);
    /// Keys known in all shards.
    std::size_t keyCount() const;
    std::size_t running() const { return running_; }

private:
    struct Shard;
    struct Append;

    std::shared_ptr<Append> enqueue(std::uint32_t shard, const LedgerItem& item, bool needsRead);
    asio::awaitable<void> flushLoop(std::uint32_t index);
    asio::awaitable<Result<LogOffset>> appendRecord(const std::string& stream, const std::string& record);
    asio::awaitable<Result<void>> readUpTo(Shard& shard, const std::string& stream, LogOffset offset);
    asio::awaitable<void> writeIntent(RunOnceCall& run, std::uint32_t shard);
    asio::awaitable<void> dispatch(RunOnceCall& run, const wire::ServiceCall& call, SteadyTime receivedAt);
    asio::awaitable<void> writeFinalRecord(RunOnceCall& run, std::uint32_t shard);
    wire::Frame makeAnswer(const RunOnceCall& run) const;

    NodeContext& context_;
    DispatchHook dispatch_;
    Logger logger_;
    std::vector<std::unique_ptr<Shard>> shards_;
    std::atomic<std::size_t> running_ { 0 };
};

} // namespace pistachioloom
