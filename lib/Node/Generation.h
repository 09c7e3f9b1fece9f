//===- lib/Node/Generation.h - an accepted generation and its owner --------===//
///
/// \file
/// A generation belongs to a record, not to a connection. Its owner runs
/// attempts until the answer is whole, copies every token to a replica in
/// another data centre, and lets callers read what the replica acknowledged:
/// nothing a caller has seen can be lost with the owner.
//===----------------------------------------------------------------------===//
#pragma once

#include "EngineRouter.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace pistachioloom::wire {
class GenerationRecord;
class AttemptEnd;
class TokenChunk;
}

namespace pistachioloom {

/// What a reader of an answer gets next.
struct AnswerPart {
    std::vector<std::string> tokens_;
    bool isFinished_ = false;
    /// The answer goes on at another node.
    bool isMoved_ = false;
    std::optional<Error> failure_;
};

/// The state of one generation; all members are thread-safe.
class Generation : public std::enable_shared_from_this<Generation> {
public:
    using Signal = asio::experimental::concurrent_channel<void(boost::system::error_code)>;
    /// Wakes its holder whenever the generation changes.
    using Reader = std::shared_ptr<Signal>;

    Generation(const wire::GenerationRecord& record, asio::any_io_executor executor);
    ~Generation();

    const std::string& id() const { return id_; }
    const std::string& organisation() const { return organisation_; }
    const std::string& entry() const { return entry_; }
    const std::string& model() const { return model_; }

    /// Registers a reader; while one is held the caller counts as connected.
    Reader addReader();
    /// Wakes \p watcher as well, without counting it as a caller.
    void watch(const Reader& watcher);
    /// What may be read from token \p from on, without waiting.
    AnswerPart read(std::size_t from) const;
    /// read(), after waiting for something new.
    asio::awaitable<AnswerPart> next(Reader reader, std::size_t from);
    /// Waits until an engine took the request, or it failed before.
    asio::awaitable<std::optional<Error>> waitAccepted(Reader reader);
    bool hasReaders() const;

    // The owner's side.
    wire::GenerationRecord record() const;
    /// The record to hand over. Until the hand-over is abandoned nothing beyond
    /// it may be read, since the successor may compute other tokens there.
    wire::GenerationRecord beginHandover();
    void abandonHandover();
    std::uint32_t startAttempt();
    void countYield();
    /// Appends what \p chunk brings beyond what is there. \returns an error for
    /// a gap or for the tokens of another attempt.
    Result<std::size_t> append(const wire::TokenChunk& chunk);
    void setEngine(const std::string& engine);
    std::string engine() const;
    void markAccepted();
    bool isAccepted() const;
    void finish();
    void fail(Error error);
    void markMoved();
    bool isMoved() const;
    /// Finished, failed or moved.
    bool isOver() const;
    std::size_t tokenCount() const;
    /// Tokens up to \p count may be read; all of them, if there is no replica.
    void setReadable(std::size_t count);
    void setReadableToEnd();
    void setReplica(const std::string& replica);
    std::string replica() const;
    /// Tokens and state beyond what a replica has.
    struct Progress {
        std::vector<std::string> tokens_;
        std::uint32_t attempt_ = 0;
        /// Finished or failed.
        bool isOver_ = false;
        bool isMoved_ = false;
        std::optional<Error> failure_;
        std::string engine_;
    };
    Progress progressSince(std::size_t from) const;
    SteadyTime deadline() const { return deadline_; }
    SteadyTime lastRead() const;
    SteadyTime changedAt() const;
    SteadyTime began() const { return began_; }
    std::uint64_t maxTokens() const { return maxTokens_; }

private:
    void notify();
    bool isReadableToEnd() const;
    wire::GenerationRecord lockedRecord() const;

    const std::string id_;
    const std::string organisation_;
    const std::string entry_;
    const std::string model_;
    const std::uint64_t maxTokens_;
    const SteadyTime deadline_;
    const SteadyTime began_;
    asio::any_io_executor executor_;
    mutable std::mutex mutex_;
    std::unique_ptr<wire::GenerationRecord> record_;
    std::vector<std::weak_ptr<Signal>> readers_;
    std::vector<std::weak_ptr<Signal>> watchers_;
    mutable SteadyTime lastRead_;
    SteadyTime changedAt_;
    std::size_t readable_ = 0;
    /// Tokens of the record that a successor is being given.
    std::optional<std::size_t> handedOver_;
    /// A replica has acknowledged the record.
    bool isCopied_ = false;
    /// No node takes a replica at present.
    bool isCopyOptional_ = false;
    bool isEndCopied_ = false;
    bool isAccepted_ = false;
    bool isFinished_ = false;
    bool isMoved_ = false;
    std::optional<Error> failure_;
};

using GenerationPtr = std::shared_ptr<Generation>;

/// Runs generations and keeps their answers for a while.
class GenerationOwner {
public:
    using FinishedHook = std::function<void(const std::string& entry, std::uint64_t unusedTokens)>;

    GenerationOwner(NodeContext& context, EngineRouter& router, FinishedHook onFinished);

    void start();
    /// Begins a new generation under a new id.
    GenerationPtr begin(wire::GenerationRecord record);
    /// Takes over a record that another node owned. \returns the one we run
    /// already, if we do.
    GenerationPtr adopt(wire::GenerationRecord record);
    GenerationPtr find(const std::string& requestId) const;
    std::vector<GenerationPtr> all() const;
    std::size_t running() const;
    /// Hands what still runs to successors; readers are told to move.
    asio::awaitable<void> handOver();

private:
    enum class AttemptOutcome {
        Over,
        /// Go on at once: the engine ended the attempt in an orderly way.
        Continue,
        /// Go on after a pause.
        Pause,
        /// This engine did not take the request; another may.
        TryNext,
    };
    enum class Origin {
        /// Admitted here, so its place in the entry's limits is given back here.
        Begun,
        Adopted,
    };
    /// Where the next attempt should go first.
    struct Preference {
        VmId engine_;
        std::string kvHandle_;
        bool attachesToStream_ = false;
        std::set<VmId> excluded_;
    };

    void insert(const GenerationPtr& generation);
    asio::awaitable<void> run(GenerationPtr generation, Preference preference, Origin origin);
    asio::awaitable<AttemptOutcome> attempt(GenerationPtr generation, Preference& preference);
    asio::awaitable<AttemptOutcome> tryEngine(GenerationPtr generation, VmId engine, VmId home, bool mayQueue, Preference& preference, Error& refusal);
    asio::awaitable<AttemptOutcome> takeTokens(GenerationPtr generation, std::shared_ptr<PeerStream> stream, VmId engine, VmId home, Preference& preference);
    AttemptOutcome endAttempt(const GenerationPtr& generation, const wire::AttemptEnd& end, const VmId& engine, Preference& preference);
    asio::awaitable<void> copyLoop(GenerationPtr generation);
    asio::awaitable<bool> copyTo(GenerationPtr generation, VmId replica);
    std::vector<VmId> replicaCandidates(const std::string& requestId, const std::set<VmId>& failed) const;
    asio::awaitable<void> reapLoop();
    asio::awaitable<void> handOverOne(GenerationPtr generation);

    NodeContext& context_;
    EngineRouter& router_;
    FinishedHook onFinished_;
    Logger logger_;
    mutable std::mutex mutex_;
    std::map<std::string, GenerationPtr> generations_;
};

/// Request ids carry hints of the owner and the first replica, so that any node
/// finds the record with one or two questions. The hints are hashes.
std::string makeRequestId(const std::string& uuid, const VmId& owner, const VmId& replica);
/// The VMs among \p nodes that \p requestId hints at, owner first.
std::vector<VmId> hintedNodes(const std::string& requestId, const std::vector<VmId>& nodes);

} // namespace pistachioloom
