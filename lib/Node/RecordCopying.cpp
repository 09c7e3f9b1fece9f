//===- lib/Node/RecordCopying.cpp - replication and handover of records ---===//
///
/// \file
/// Maintains a replica of each record in another data centre, and hands records over
/// to successors when this node leaves.
//===----------------------------------------------------------------------===//
#include "Generation.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr std::size_t maxReplicasTried = 3;
    // Interval between attempts to find a replica if no node accepts one.
    constexpr milliseconds replicaRetryDelay { 1000 };

    wire::Frame progressFrame(const std::string& requestId, const VmId& owner, const Generation::Progress& progress, std::size_t firstPosition)
    {
        wire::Frame frame;
        wire::RecordProgress& message = *frame.mutable_record_progress();
        message.set_request_id(requestId);
        message.set_attempt(progress.attempt_);
        message.set_is_finished(progress.hasEnded_);
        message.set_engine(progress.engine_);
        message.set_owner(owner.value_);
        if (progress.failure_)
            *message.mutable_failure() = toWire(*progress.failure_);
        for (const std::string& text : progress.tokens_) {
            wire::Token& token = *message.add_tokens();
            token.set_position(firstPosition++);
            token.set_text(text);
        }
        return frame;
    }

} // namespace

std::vector<VmId> GenerationOwner::replicaCandidates(const std::string& requestId, const std::set<VmId>& failed) const
{
    RecordLocation location { context_.self(), context_.settings_.dataCentre_, context_.settings_.region_ };
    return rankReplicas(*context_.membership(), location, requestId, failed);
}

asio::awaitable<void> GenerationOwner::copyLoop(GenerationPtr generation)
{
    std::string key = generation->id().substr(0, generation->id().find('.'));
    std::set<VmId> failed;
    for (;;) {
        auto candidates = replicaCandidates(key, failed);
        if (candidates.size() > maxReplicasTried)
            candidates.resize(maxReplicasTried);
        bool isCopyComplete = false;
        for (const VmId& candidate : candidates) {
            isCopyComplete = co_await copyTo(generation, candidate);
            if (isCopyComplete)
                break;
            failed.insert(candidate);
        }
        if (isCopyComplete)
            co_return;
        // No node accepts a replica, so the generation continues without one.
        logger_.warn("Request " + generation->id() + " runs without a replica.");
        generation->setReplica({});
        generation->setReadableToEnd();
        if (generation->hasEnded())
            co_return;
        co_await sleepFor(replicaRetryDelay);
        failed.clear();
    }
}

// Returns true if the replica has the complete record or the generation has moved,
// and false if the replica failed.
asio::awaitable<bool> GenerationOwner::copyTo(GenerationPtr generation, VmId replica)
{
    milliseconds timeout = context_.settings_.replica_.copyTimeout_;
    wire::Frame first;
    *first.mutable_record_copy()->mutable_record() = generation->record();
    first.mutable_record_copy()->mutable_record()->set_replica(replica.value_);
    std::size_t copied = static_cast<std::size_t>(first.record_copy().record().tokens_size());
    auto opened = co_await context_.open(replica, first, timeout);
    if (!opened)
        co_return false;
    auto stream = opened.value();
    auto acknowledged = co_await stream->receiveWithin(timeout);
    if (!acknowledged || !acknowledged.value().has_ack())
        co_return false;
    generation->setReplica(replica.value_);
    generation->setReadable(copied);
    auto reader = std::make_shared<Generation::Signal>(context_.executor_, 1);
    generation->addWatcher(reader);
    for (;;) {
        auto progress = generation->progressSince(copied);
        if (progress.isMoved_) {
            // The new owner makes a replica of its own. The node that holds this
            // replica removes it when the stream ends.
            stream->finish();
            co_return true;
        }
        if (progress.tokens_.empty() && !progress.hasEnded_) {
            co_await reader->async_receive(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        wire::Frame frame = progressFrame(generation->id(), context_.self(), progress, copied);
        copied += progress.tokens_.size();
        SteadyTime sentAt = steadyNow();
        auto sent = co_await stream->send(frame);
        if (!sent)
            co_return false;
        auto reply = co_await stream->receiveWithin(timeout);
        if (!reply || !reply.value().has_ack())
            co_return false;
        context_.metrics_.observe(Histogram::CopyAcknowledged, steadyNow() - sentAt);
        generation->setReadable(copied);
        if (!progress.hasEnded_)
            continue;
        generation->setReadableToEnd();
        stream->finish();
        co_return true;
    }
}

asio::awaitable<void> GenerationOwner::handOverGeneration(GenerationPtr generation)
{
    // The node that holds the replica is tried first, since it has most of the
    // record.
    std::vector<VmId> candidates { { generation->replica() } };
    for (const VmId& node : replicaCandidates(generation->id(), {}))
        candidates.push_back(node);
    if (candidates.size() > maxReplicasTried)
        candidates.resize(maxReplicasTried);
    wire::Frame frame;
    *frame.mutable_record_handover()->mutable_record() = generation->beginHandover();
    for (const VmId& candidate : candidates) {
        if (candidate.isEmpty())
            continue;
        auto reply = co_await context_.call(candidate, frame, context_.settings_.replica_.copyTimeout_);
        if (!reply || !reply.value().has_ack())
            continue;
        context_.metrics_.add(Counter::Handovers);
        logger_.info("Request " + generation->id() + " was handed over to " + candidate.value_ + ".");
        generation->markMoved();
        co_return;
    }
    generation->cancelHandover();
    logger_.error("Request " + generation->id() + " could not be handed over.");
}

asio::awaitable<void> GenerationOwner::handOver()
{
    for (const GenerationPtr& generation : all()) {
        if (!generation->hasEnded())
            co_await handOverGeneration(generation);
    }
}

} // namespace pistachioloom
