//===- lib/Node/ReplicaStore.h - replicas of other nodes' records ---------===//
///
/// \file
/// Holds replicas of generations that other nodes own, and takes one over when its
/// owner is unresponsive. If the owner is still running behind a network partition,
/// the takeover costs a second computation, but no caller reads a mixture of the
/// tokens of both owners.
//===----------------------------------------------------------------------===//
#pragma once

#include "Generation.h"

namespace pistachioloom::wire {
class RecordCopy;
class RecordFetch;
class RecordHandover;
}

namespace pistachioloom {

/// Stores replicas of records and takes over those whose owners are unresponsive.
class ReplicaStore {
public:
    ReplicaStore(NodeContext& context, GenerationOwner& owner);

    void start();
    /// Stores \p copy and applies its progress until the owner ends the stream. If the
    /// stream breaks, checks whether this node has to take over the record.
    asio::awaitable<void> serveCopy(std::shared_ptr<PeerStream> stream, const wire::RecordCopy& copy);
    /// Sends the answer of a record that this node owns or of which it has a finished
    /// replica; otherwise sends NotFound.
    asio::awaitable<void> serveFetch(std::shared_ptr<PeerStream> stream, const wire::RecordFetch& fetch);
    /// Takes over a record that its owner hands over. \returns an acknowledgement.
    wire::Frame acceptHandover(const wire::RecordHandover& handover);
    std::size_t size() const;

private:
    struct Replica;
    using ReplicaPtr = std::shared_ptr<Replica>;

    ReplicaPtr find(const std::string& requestId) const;
    /// \returns false if the progress does not continue the record.
    bool applyProgress(Replica& replica, const wire::Frame& frame);
    /// After a grace time, takes over the record unless the owner replies that it has
    /// it.
    asio::awaitable<void> takeOverIfOrphaned(ReplicaPtr replica);
    asio::awaitable<bool> ownerHasRecord(std::string owner, std::string requestId);
    /// Sends a summary of \p generation and, if \p isFollowing, its tokens until the
    /// end.
    asio::awaitable<void> sendAnswer(std::shared_ptr<PeerStream> stream, GenerationPtr generation, bool isFollowing);
    asio::awaitable<void> checkLoop();
    /// \returns unfinished replicas without progress for the configured time.
    std::vector<ReplicaPtr> replicasToCheck() const;
    void removeExpired();

    NodeContext& context_;
    GenerationOwner& owner_;
    Logger logger_;
    mutable std::mutex mutex_;
    std::map<std::string, ReplicaPtr> replicas_;
};

} // namespace pistachioloom
