//===- lib/Node/ReplicaStore.cpp - replicas of other nodes' records -------===//
///
/// \file
/// See ReplicaStore.h.
//===----------------------------------------------------------------------===//
#include "ReplicaStore.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr milliseconds ownerTimeout { 500 };
    constexpr milliseconds checkPeriod { 250 };

    wire::Frame ackFrame()
    {
        wire::Frame frame;
        frame.mutable_ack();
        return frame;
    }

} // namespace

struct ReplicaStore::Replica {
    std::mutex mutex_;
    wire::GenerationRecord record_;
    bool hasEnded_ = false;
    /// Set while this node checks whether the owner still has the record; stays set
    /// after a takeover.
    std::atomic<bool> isCheckingOwner_ { false };
    std::atomic<bool> isTakenOver_ { false };
    SteadyTime changedAt_ = steadyNow();
};

ReplicaStore::ReplicaStore(NodeContext& context, GenerationOwner& owner)
    : context_(context)
    , owner_(owner)
    , logger_("replica")
{
}

void ReplicaStore::start()
{
    context_.spawn(checkLoop());
}

ReplicaStore::ReplicaPtr ReplicaStore::find(const std::string& requestId) const
{
    std::lock_guard lock(mutex_);
    auto found = replicas_.find(requestId);
    return found == replicas_.end() ? nullptr : found->second;
}

std::size_t ReplicaStore::size() const
{
    std::lock_guard lock(mutex_);
    return replicas_.size();
}

asio::awaitable<void> ReplicaStore::serveCopy(std::shared_ptr<PeerStream> stream, const wire::RecordCopy& copy)
{
    auto replica = std::make_shared<Replica>();
    replica->record_ = copy.record();
    {
        std::lock_guard lock(mutex_);
        replicas_[copy.record().request_id()] = replica;
    }
    auto acknowledged = co_await stream->send(ackFrame());
    while (acknowledged) {
        auto frame = co_await stream->receive();
        if (!frame && frame.error().code_ == Errc::NotFound) {
            // The owner closed the stream, because the record has moved to another node.
            std::lock_guard lock(mutex_);
            if (auto found = replicas_.find(copy.record().request_id()); found != replicas_.end() && found->second == replica)
                replicas_.erase(found);
            co_return;
        }
        if (!frame)
            break;
        if (replica->isTakenOver_) {
            // The previous owner is responsive again. The reset of the stream makes that
            // owner choose another replica. It stops once an attempt of the new owner
            // supersedes its own.
            stream->cancel();
            co_return;
        }
        if (!frame.value().has_record_progress() || !applyProgress(*replica, frame.value()))
            break;
        acknowledged = co_await stream->send(ackFrame());
        if (replica->hasEnded_)
            co_return;
    }
    if (!replica->hasEnded_ && !replica->isCheckingOwner_.exchange(true))
        context_.spawn(takeOverIfOrphaned(replica));
}

bool ReplicaStore::applyProgress(Replica& replica, const wire::Frame& frame)
{
    const wire::RecordProgress& progress = frame.record_progress();
    std::lock_guard lock(replica.mutex_);
    if (progress.request_id() != replica.record_.request_id())
        return false;
    for (const wire::Token& token : progress.tokens()) {
        if (token.position() != static_cast<std::uint64_t>(replica.record_.tokens_size()))
            return false;
        *replica.record_.add_tokens() = token;
    }
    replica.record_.set_attempt(progress.attempt());
    replica.record_.set_engine(progress.engine());
    replica.changedAt_ = steadyNow();
    if (!progress.is_finished())
        return true;
    replica.hasEnded_ = true;
    replica.record_.set_is_finished(!progress.has_failure());
    if (progress.has_failure())
        *replica.record_.mutable_failure() = progress.failure();
    return true;
}

asio::awaitable<bool> ReplicaStore::ownerHasRecord(std::string owner, std::string requestId)
{
    wire::Frame frame;
    frame.mutable_record_fetch()->set_request_id(requestId);
    VmId ownerVm { owner };
    auto reply = co_await context_.call(ownerVm, frame, ownerTimeout);
    bool hasRecord = reply && reply.value().has_record();
    co_return hasRecord;
}

asio::awaitable<void> ReplicaStore::takeOverIfOrphaned(ReplicaPtr replica)
{
    std::string requestId = replica->record_.request_id();
    std::string owner = replica->record_.owner();
    co_await sleepFor(jitter(context_.settings_.replica_.takeoverGrace_, randomBits()));
    // This node does not take over if a newer copy replaced this one or the owner
    // replies that it has the record.
    bool isStillOwned = co_await ownerHasRecord(owner, requestId);
    if (find(requestId) != replica)
        co_return;
    if (isStillOwned) {
        std::lock_guard lock(replica->mutex_);
        replica->changedAt_ = steadyNow();
        replica->isCheckingOwner_ = false;
        co_return;
    }
    replica->isTakenOver_ = true;
    wire::GenerationRecord record;
    {
        std::lock_guard lock(replica->mutex_);
        record = replica->record_;
    }
    auto sinceChange = std::chrono::duration_cast<milliseconds>(steadyNow() - replica->changedAt_);
    std::uint64_t remaining = record.deadline_ms();
    record.set_deadline_ms(remaining > static_cast<std::uint64_t>(sinceChange.count()) ? remaining - static_cast<std::uint64_t>(sinceChange.count()) : 0);
    logger_.info("Request " + requestId + " was taken over from " + owner + ".");
    context_.metrics_.add(Counter::Takeovers);
    owner_.adopt(std::move(record));
}

wire::Frame ReplicaStore::acceptHandover(const wire::RecordHandover& handover)
{
    {
        std::lock_guard lock(mutex_);
        replicas_.erase(handover.record().request_id());
    }
    owner_.adopt(handover.record());
    return ackFrame();
}

asio::awaitable<void> ReplicaStore::serveFetch(std::shared_ptr<PeerStream> stream, const wire::RecordFetch& fetch)
{
    auto generation = owner_.find(fetch.request_id());
    if (generation && generation->read(0).isMoved_)
        generation = nullptr;
    auto replica = find(fetch.request_id());
    if (!generation && replica && replica->hasEnded_) {
        // A finished replica is served like a generation that this node owns.
        std::lock_guard lock(replica->mutex_);
        generation = std::make_shared<Generation>(replica->record_, context_.executor_);
        generation->markAccepted();
        if (replica->record_.is_finished())
            generation->finish();
        else
            generation->fail(fromWire(replica->record_.failure()));
        generation->setReadableToEnd();
    }
    if (!generation) {
        wire::Frame frame;
        *frame.mutable_failure() = toWire({ Errc::NotFound, "find request", context_.self().value_, "not known here", Ran::Unknown, {} });
        (void)co_await stream->send(frame);
        co_return;
    }
    co_await sendAnswer(stream, generation, fetch.follow());
}

asio::awaitable<void> ReplicaStore::sendAnswer(std::shared_ptr<PeerStream> stream, GenerationPtr generation, bool isFollowing)
{
    auto reader = isFollowing ? generation->addReader() : nullptr;
    wire::Frame head;
    wire::GenerationRecord& summary = *head.mutable_record();
    summary.set_request_id(generation->id());
    summary.set_organisation(generation->organisation());
    summary.set_model(generation->model());
    summary.set_engine(generation->engine());
    summary.set_is_finished(generation->hasEnded());
    auto sent = co_await stream->send(head);
    std::size_t position = 0;
    while (isFollowing && sent) {
        AnswerPart part = co_await generation->next(reader, position);
        wire::Frame frame;
        for (std::string& text : part.tokens_) {
            wire::Token& token = *frame.mutable_tokens()->add_tokens();
            token.set_position(position++);
            token.set_text(std::move(text));
        }
        if (frame.has_tokens())
            sent = co_await stream->send(frame);
        if (!part.isFinished_ && !part.failure_ && !part.isMoved_)
            continue;
        wire::Frame last;
        last.mutable_end()->set_is_complete(part.isFinished_);
        last.mutable_end()->set_is_interrupted(part.isMoved_);
        if (part.failure_)
            *last.mutable_end()->mutable_failure() = toWire(*part.failure_);
        (void)co_await stream->send(last);
        co_return;
    }
}

std::vector<ReplicaStore::ReplicaPtr> ReplicaStore::replicasToCheck() const
{
    std::vector<ReplicaPtr> result;
    std::lock_guard lock(mutex_);
    for (const auto& [id, replica] : replicas_) {
        std::lock_guard inner(replica->mutex_);
        if (!replica->hasEnded_ && !replica->isCheckingOwner_ && steadyNow() - replica->changedAt_ > context_.settings_.replica_.ownerUpdateTimeout_)
            result.push_back(replica);
    }
    return result;
}

void ReplicaStore::removeExpired()
{
    std::lock_guard lock(mutex_);
    std::erase_if(replicas_, [&](const auto& item) {
        std::lock_guard inner(item.second->mutex_);
        milliseconds answerRetention = context_.settings_.caller_.answerRetention_;
        milliseconds retention = item.second->hasEnded_ ? answerRetention : answerRetention + milliseconds(item.second->record_.deadline_ms());
        return steadyNow() - item.second->changedAt_ > retention;
    });
}

// A frozen owner keeps its connections open, so only missing progress shows that it is
// frozen.
asio::awaitable<void> ReplicaStore::checkLoop()
{
    for (;;) {
        co_await sleepFor(checkPeriod);
        removeExpired();
        for (const ReplicaPtr& replica : replicasToCheck()) {
            replica->isCheckingOwner_ = true;
            context_.spawn(takeOverIfOrphaned(replica));
        }
    }
}

} // namespace pistachioloom
