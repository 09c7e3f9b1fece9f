//===- lib/Forward/StreamMove.cpp - moves streams off reclaimed engines ---===//
///
/// \file
/// A running stream whose engine will terminate within seconds resumes on another
/// engine with its KV cache. The cache is copied while the stream runs. Then the
/// stream is stopped, the rest of the cache is copied, and the same request resumes
/// on the other engine.
//===----------------------------------------------------------------------===//
#include "RequestForwarder.h"

namespace pistachioloom {

namespace {

    // The time for which a broken stream waits for its move to complete. It is enough for two
    // copies of a KV cache.
    constexpr milliseconds moveWaitLimit { 1000 };

    const Logger& logger()
    {
        static const Logger logger("move");
        return logger;
    }

} // namespace

/// Whether to move the stream. Without a move it would break off when its engine is
/// reclaimed, and another engine would have to process its prompt again.
bool RequestForwarder::shouldMove(const Attempt& attempt) const
{
    if (move_ || !route_->mayRepeat() || !eventSplitter_.last() || !context_.hooks_.copyStream_)
        return false;
    const ServicePolicy* service = table_->findService(shape_.service_);
    if (!service || !service->engine_ || !service->engine_->canMoveKvCache_)
        return false;
    return context_.backends_.isBeingReclaimed(attempt.choice_.backend_.id_);
}

void RequestForwarder::startMove(const Attempt& attempt)
{
    move_ = std::make_shared<Move>(pool_.executor());
    move_->isDone_ = true;
    const BackendRecord& from = attempt.choice_.backend_;
    // The target has the copied KV cache, so it processes only the part that the copy lacks.
    RequestShape shape = shape_;
    shape.promptTokens_ = {};
    shape.parts_.clear();
    shape.reclaimedDataCentre_ = from.dataCentre_;
    auto to = chooseBackend(shape, RolloutTracker::SendKind::Subsequent);
    if (!to)
        return;
    // A moved stream reaches its target as a retry does, so the retry budget applies.
    hasMoveRetry_ = hasMoveRetry_ || context_.retries_.tryRetry(shape_.service_, steadyNow());
    if (!hasMoveRetry_) {
        releaseTarget(*to);
        return;
    }
    move_->isDone_ = false;
    asio::co_spawn(pool_.executor(), move(from, std::move(*to)), asio::detached);
}

asio::awaitable<void> RequestForwarder::move(BackendRecord from, BackendChoice to)
{
    auto self = shared_from_this();
    std::shared_ptr<Move> move = move_;
    SteadyTime startedAt = steadyNow();
    StreamCopy copy { from.endpoint_, to.backend_.endpoint_, attemptId_, false };
    auto copied = co_await context_.hooks_.copyStream_(copy);
    std::string copyHandle = copied ? copied.value() : "";
    if (copied && !move->isCancelled_) {
        copy.stopsRun_ = true;
        move->mayHaveStopped_ = true;
        move->stopOrderedAt_ = steadyNow();
        context_.metrics_.add(Counter::StreamStopsOrdered);
        logger().info(LogLine("Engine is told to stop a stream.").add("id", attemptId_).add("from", from.id_.value_).add("last_event", static_cast<std::int64_t>(eventSplitter_.last().value_or(0))));
        copied = co_await context_.hooks_.copyStream_(copy);
        if (!copied && copied.error().ran_ == Ran::No)
            move->mayHaveStopped_ = false;
    }
    bool isMoved = copied && copy.stopsRun_;
    LogLine line(isMoved ? "Stream moved to another engine." : "Stream was not moved.");
    line.add("id", attemptId_).add("from", from.id_.value_).add("to", to.backend_.id_.value_).add("last_event", static_cast<std::int64_t>(eventSplitter_.last().value_or(0)));
    line.add("took_ms", std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt).count()).add("error", copied ? "" : describe(copied.error()));
    if (move->stopOrderedAt_ != SteadyTime {})
        line.add("stop_took_ms", std::chrono::duration_cast<milliseconds>(steadyNow() - move->stopOrderedAt_).count());
    logger().info(line);
    move->isDone_ = true;
    if (isMoved && !move->isCancelled_) {
        context_.metrics_.add(Counter::StreamsMoved);
        move->resumeFrom_ = std::move(copied.value());
        move->target_ = std::move(to);
        move->done_.notify();
        co_return;
    }
    releaseTarget(to);
    move->done_.notify();
    if (copyHandle.empty())
        co_return;
    auto dropped = co_await context_.hooks_.dropCopy_(std::move(copy), std::move(copyHandle));
    if (!dropped)
        logger().info(LogLine("Failed to free a KV cache copy.").add("id", attemptId_).add("error", describe(dropped.error())));
}

/// Ends the request that is counted as in progress at \p to, because the stream does not
/// resume there.
void RequestForwarder::releaseTarget(const BackendChoice& to)
{
    context_.backends_.end(to.backend_.id_, { BackendOutcome::Abandoned, to.uncachedTokens_, false, {} }, steadyNow());
}

/// Cancels the move. If it completes later, it has no effect.
void RequestForwarder::cancelMove()
{
    if (!move_)
        return;
    move_->isCancelled_ = true;
    if (auto to = std::exchange(move_->target_, std::nullopt))
        releaseTarget(*to);
}

/// Waits until the move has ended, for a limited time.
asio::awaitable<void> RequestForwarder::waitForMove()
{
    if (move_ && !move_->isDone_)
        (void)co_await move_->done_.waitUntil(steadyNow() + moveWaitLimit);
}

/// Whether an answer that has ended may have been stopped for a move. An engine that is told to stop a run
/// closes its connection, which ends an answer without a length. Only its answer to that call tells
/// whether the run had ended before.
asio::awaitable<bool> RequestForwarder::isStoppedForMove(const Attempt& attempt)
{
    if (!attempt.endsWithConnection_ || !move_ || !move_->mayHaveStopped_)
        co_return false;
    co_await waitForMove();
    co_return move_->mayHaveStopped_;
}

/// Handles a stream that broke off, either because it was stopped for a move or because
/// its engine was lost.
asio::awaitable<SendOutcome> RequestForwarder::handleStreamBreak(Attempt& attempt, const boost::system::error_code& code)
{
    attempt.detail_ = "events:" + code.message();
    bool isEnding = stopReason_ == StopReason::CallerDisconnected || stopReason_ == StopReason::DeadlineExceeded;
    if (!isEnding)
        co_await waitForMove();
    if (isEnding || !move_ || (!move_->target_ && !move_->mayHaveStopped_)) {
        cancelMove();
        co_return SendOutcome::Lost;
    }
    attempt.detail_ = move_->target_ ? "moved" : "stopped";
    move_->hasEndedAttempt_ = true;
    co_return SendOutcome::Moved;
}

/// Ends the move of the previous attempt. \returns the engine that has received this stream's KV
/// cache, if any.
std::optional<BackendChoice> RequestForwarder::takeMoveTarget()
{
    // The stream may have to move again.
    std::shared_ptr<Move> move = std::exchange(move_, nullptr);
    if (!move || !move->hasEndedAttempt_)
        return std::nullopt;
    // A copy that completes later is not used.
    move->isCancelled_ = true;
    resumeFrom_ = std::move(move->resumeFrom_);
    hasMoveRetry_ = false;
    // The send to the previous engine does not count against the maximum number of attempts, as
    // that engine is terminating.
    sendCount_ -= std::min(sendCount_, 1U);
    return std::exchange(move->target_, std::nullopt);
}

} // namespace pistachioloom
