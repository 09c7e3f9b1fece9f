//===- lib/Node/ReplicaStore.h - copies of other nodes' records ------------===//
///
/// \file
/// Holds replicas of generations that other nodes own, and takes one over when
/// its owner is gone. A take-over of a record whose owner still lives (a cut)
/// costs a second computation; each caller still reads one lineage of tokens.
//===----------------------------------------------------------------------===//
#pragma once

#include "Generation.h"

namespace pistachioloom::wire {
class RecordCopy;
class RecordFetch;
class RecordHandover;
}

namespace pistachioloom {

class ReplicaStore {
public:
    ReplicaStore(NodeContext& context, GenerationOwner& owner);

    void start();
    /// Takes a copy and its progress until the owner ends the stream.
    asio::awaitable<void> serveCopy(std::shared_ptr<PeerStream> stream, const wire::RecordCopy& copy);
    /// Sends the answer of a record that we own or hold finished.
    asio::awaitable<void> serveFetch(std::shared_ptr<PeerStream> stream, const wire::RecordFetch& fetch);
    wire::Frame acceptHandover(const wire::RecordHandover& handover);
    std::size_t size() const;

private:
    struct Replica;
    using ReplicaPtr = std::shared_ptr<Replica>;

    ReplicaPtr find(const std::string& requestId) const;
    bool applyProgress(Replica& replica, const wire::Frame& frame);
    asio::awaitable<void> takeOverIfOrphaned(ReplicaPtr replica);
    asio::awaitable<bool> ownerHasRecord(std::string owner, std::string requestId);
    asio::awaitable<void> sendAnswer(std::shared_ptr<PeerStream> stream, GenerationPtr generation, bool isFollowing);
    asio::awaitable<void> checkLoop();
    std::vector<ReplicaPtr> replicasToCheck() const;
    void removeExpired();

    NodeContext& context_;
    GenerationOwner& owner_;
    Logger logger_;
    mutable std::mutex mutex_;
    std::map<std::string, ReplicaPtr> replicas_;
};

} // namespace pistachioloom
