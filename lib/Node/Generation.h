//===- lib/Node/Generation.h - a generation and its owner -----------------===//
///
/// \file
/// The state of a generation is a record that does not depend on a connection. The
/// node that owns the record runs attempts until the answer is complete, and copies
/// every token to a replica in another data centre. Callers read only tokens that
/// the replica has acknowledged, so a crash of the owner loses none that a caller
/// has received.
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

/// The next part of an answer for a reader.
struct AnswerPart {
    std::vector<std::string> tokens_;
    bool isFinished_ = false;
    /// Another node has the rest of the answer.
    bool isMoved_ = false;
    std::optional<Error> failure_;
};

/// The state of one generation; all members are thread-safe.
class Generation : public std::enable_shared_from_this<Generation> {
public:
    using Signal = asio::experimental::concurrent_channel<void(boost::system::error_code)>;
    /// A signal that is sent whenever the generation changes.
    using Reader = std::shared_ptr<Signal>;

    Generation(const wire::GenerationRecord& record, asio::any_io_executor executor);
    ~Generation();

    const std::string& id() const { return id_; }
    const std::string& organisation() const { return organisation_; }
    const std::string& entry() const { return entry_; }
    const std::string& model() const { return model_; }

    /// Registers a reader. The caller counts as connected while a reader exists.
    Reader addReader();
    /// Registers a signal that does not count as a connected caller.
    void addWatcher(const Reader& watcher);
    /// \returns what may be read from token \p from, without waiting.
    AnswerPart read(std::size_t from) const;
    /// Waits for new tokens or the end, and returns what read() does.
    asio::awaitable<AnswerPart> next(Reader reader, std::size_t from);
    /// Waits until an engine has started the request and a replica has the record or no
    /// node accepts a replica. \returns the failure if the generation fails before that.
    asio::awaitable<std::optional<Error>> waitAccepted(Reader reader);
    bool hasReaders() const;

    // The functions below are called by the owner of the generation.
    wire::GenerationRecord record() const;
    /// \returns the record to hand over. Until cancelHandover() is called, readers get
    /// no tokens beyond this record, since the successor may compute different ones.
    wire::GenerationRecord beginHandover();
    void cancelHandover();
    /// \returns the number of the new attempt.
    std::uint32_t startAttempt();
    void countYield();
    /// Appends the tokens of \p chunk that the record does not have yet. \returns their
    /// number, or an error if there is a gap or the tokens belong to another request
    /// or attempt.
    Result<std::size_t> append(const wire::TokenChunk& chunk);
    void setEngine(const std::string& engine);
    std::string engine() const;
    void markAccepted();
    bool isAccepted() const;
    void finish();
    void fail(Error error);
    void markMoved();
    bool isMoved() const;
    /// \returns whether the generation has finished, failed or moved to another node.
    bool hasEnded() const;
    std::size_t tokenCount() const;
    /// Lets readers read the first \p count tokens, which a replica has acknowledged.
    void setReadable(std::size_t count);
    /// Lets readers read all tokens: to the end if the generation has ended, otherwise
    /// until setReadable() is called again.
    void setReadableToEnd();
    void setReplica(const std::string& replica);
    std::string replica() const;
    /// The tokens that a replica does not have yet, and the state.
    struct Progress {
        std::vector<std::string> tokens_;
        std::uint32_t attempt_ = 0;
        /// The generation has finished or failed.
        bool hasEnded_ = false;
        bool isMoved_ = false;
        std::optional<Error> failure_;
        std::string engine_;
    };
    Progress progressSince(std::size_t from) const;
    SteadyTime deadline() const { return deadline_; }
    /// \returns when read() was last called, directly or by next().
    SteadyTime lastReadAt() const;
    SteadyTime changedAt() const;
    SteadyTime startedAt() const { return startedAt_; }
    std::uint64_t maxTokens() const { return maxTokens_; }

private:
    void notify();
    bool isReadableToEnd() const;
    wire::GenerationRecord recordLocked() const;

    const std::string id_;
    const std::string organisation_;
    const std::string entry_;
    const std::string model_;
    const std::uint64_t maxTokens_;
    const SteadyTime deadline_;
    const SteadyTime startedAt_;
    asio::any_io_executor executor_;
    mutable std::mutex mutex_;
    std::unique_ptr<wire::GenerationRecord> record_;
    std::vector<std::weak_ptr<Signal>> readers_;
    std::vector<std::weak_ptr<Signal>> watchers_;
    mutable SteadyTime lastReadAt_;
    SteadyTime changedAt_;
    std::size_t readableTokens_ = 0;
    /// Number of tokens in the record that is being handed over.
    std::optional<std::size_t> handedOverTokens_;
    /// Whether a replica has acknowledged the record.
    bool isCopied_ = false;
    /// Whether all tokens may be read because no node accepts a replica at present.
    bool isCopyOptional_ = false;
    /// Whether a replica has the end of the answer, or the answer ended while no node
    /// accepted one.
    bool isEndCopied_ = false;
    bool isAccepted_ = false;
    bool isFinished_ = false;
    bool isMoved_ = false;
    std::optional<Error> failure_;
};

using GenerationPtr = std::shared_ptr<Generation>;

/// Runs generations and keeps their answers for a limited time.
class GenerationOwner {
public:
    /// Called when a generation that this node admitted has ended.
    using FinishedHook = std::function<void(const std::string& entry, std::uint64_t unusedTokens)>;

    GenerationOwner(NodeContext& context, EngineRouter& router, FinishedHook onFinished);

    void start();
    /// Starts a generation under a new request id.
    GenerationPtr begin(wire::GenerationRecord record);
    /// Takes over a record that another node owned and continues its generation.
    /// \returns the existing generation if this node runs it already.
    GenerationPtr adopt(wire::GenerationRecord record);
    GenerationPtr find(const std::string& requestId) const;
    std::vector<GenerationPtr> all() const;
    std::size_t running() const;
    /// Hands running generations over to successors. Readers then get a part with
    /// `isMoved_` set.
    asio::awaitable<void> handOver();

private:
    enum class AttemptOutcome {
        Ended,
        /// The attempt ended before the answer was complete. The next one starts without
        /// a delay.
        RetryNow,
        /// The next attempt starts after a delay.
        RetryLater,
        /// This engine rejected the request; another one may accept it.
        TryNext,
    };
    enum class Origin {
        /// This node admitted the request, so it also releases the request's share of
        /// the entry's limits.
        Admitted,
        Adopted,
    };
    /// The engine and the KV cache that the next attempt should use first.
    struct Preference {
        VmId engine_;
        /// Handle of the exported KV cache of all tokens so far. Empty once an attempt has
        /// started.
        std::string kvHandle_;
        bool attachesToStream_ = false;
        /// Engines and dispatchers that failed the request.
        std::set<VmId> excluded_;
    };

    void insert(const GenerationPtr& generation);
    asio::awaitable<void> run(GenerationPtr generation, Preference preference, Origin origin);
    /// Tries the preferred engine, and then the candidates of the router.
    asio::awaitable<AttemptOutcome> attempt(GenerationPtr generation, Preference& preference);
    asio::awaitable<AttemptOutcome> tryEngine(GenerationPtr generation, VmId engine, VmId dispatcher, bool mayQueue, Preference& preference, Error& rejection);
    asio::awaitable<AttemptOutcome> receiveTokens(GenerationPtr generation, std::shared_ptr<PeerStream> stream, VmId engine, VmId dispatcher, Preference& preference);
    AttemptOutcome endAttempt(const GenerationPtr& generation, const wire::AttemptEnd& end, const VmId& engine, Preference& preference);
    /// Maintains a replica of the record until the generation has ended or moved.
    asio::awaitable<void> copyLoop(GenerationPtr generation);
    asio::awaitable<bool> copyTo(GenerationPtr generation, VmId replica);
    std::vector<VmId> replicaCandidates(const std::string& requestId, const std::set<VmId>& failed) const;
    /// Fails generations that their callers abandoned, and removes answers after their
    /// retention.
    asio::awaitable<void> reapLoop();
    asio::awaitable<void> handOverGeneration(GenerationPtr generation);

    NodeContext& context_;
    EngineRouter& router_;
    FinishedHook onFinished_;
    Logger logger_;
    mutable std::mutex mutex_;
    std::map<std::string, GenerationPtr> generations_;
};

/// \returns a request id with hints to the owner and the first replica, so that any
/// node can find the record with one or two queries. The hints are hashes.
std::string makeRequestId(const std::string& uuid, const VmId& owner, const VmId& replica);
/// \returns the VMs among \p nodes to which \p requestId has hints, the owner first.
std::vector<VmId> hintedNodes(const std::string& requestId, const std::vector<VmId>& nodes);

} // namespace pistachioloom
