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

const char* toString(StopState state)
{
    switch (state) {
    case StopState::NotOrdered:
        return "not_ordered";
    case StopState::Ordered:
        return "ordered";
    case StopState::Stopped:
        return "stopped";
    case StopState::NotStopped:
        return "not_stopped";
    case StopState::Unknown:
        return "unknown";
    }
    return "";
}

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
    if (!context_.retries_.tryRetry(shape_.service_, steadyNow())) {
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
    StreamCopy& copy = move->copy_;
    copy = { from.endpoint_, to.backend_.endpoint_, attemptId_, false };
    auto copied = co_await context_.hooks_.copyStream_(copy);
    std::string copyHandle = copied ? copied.value() : "";
    if (copied && !move->isCancelled_) {
        copy.stopsRun_ = true;
        move->stop_ = StopState::Ordered;
        move->stopOrderedAt_ = steadyNow();
        context_.metrics_.add(Counter::StreamStopsOrdered);
        logger().info(LogLine("Engine is told to stop a stream.").add("id", attemptId_).add("from", from.id_.value_).add("last_event", static_cast<std::int64_t>(eventSplitter_.last().value_or(0))));
        copied = co_await context_.hooks_.copyStream_(copy);
        if (copied)
            move->stop_ = StopState::Stopped;
        else
            move->stop_ = copied.error().ran_ == Ran::No ? StopState::NotStopped : StopState::Unknown;
    }
    bool isMoved = move->stop_ == StopState::Stopped && !move->isCancelled_;
    LogLine line(isMoved ? "Stream moved to another engine." : "Stream was not moved.");
    line.add("id", attemptId_).add("from", from.id_.value_).add("to", to.backend_.id_.value_).add("stop", toString(move->stop_)).add("cancelled", move->isCancelled_);
    line.add("took_ms", std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt).count()).add("error", copied ? "" : describe(copied.error()));
    logger().info(line);
    move->isDone_ = true;
    if (isMoved) {
        context_.metrics_.add(Counter::StreamsMoved);
        move->resumeFrom_ = std::move(copied.value());
        move->target_ = std::move(to);
        move->done_.notify();
        co_return;
    }
    releaseTarget(to);
    move->done_.notify();
    if (!copyHandle.empty())
        co_await dropCopy(copy, std::move(copyHandle));
}

asio::awaitable<void> RequestForwarder::dropCopy(StreamCopy copy, std::string resumeFrom)
{
    auto self = shared_from_this();
    auto dropped = co_await context_.hooks_.dropCopy_(std::move(copy), std::move(resumeFrom));
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
    auto to = std::exchange(move_->target_, std::nullopt);
    if (!to)
        return;
    releaseTarget(*to);
    asio::co_spawn(pool_.executor(), dropCopy(move_->copy_, std::move(move_->resumeFrom_)), asio::detached);
}

/// Whether the engine of the current attempt may have stopped its run for the move.
bool RequestForwarder::mayHaveStoppedRun() const
{
    return move_ && move_->stop_ != StopState::NotOrdered && move_->stop_ != StopState::NotStopped;
}

/// Waits until the move has ended, for a limited time that begins with the first call.
asio::awaitable<void> RequestForwarder::waitForMove()
{
    // The stream has ended, so that its silence needs no replacement.
    waitDeadline_ = SteadyTime::max();
    pathCheckAt_ = SteadyTime::max();
    if (!move_ || move_->isDone_)
        co_return;
    if (move_->waitEndsAt_ == SteadyTime {})
        move_->waitEndsAt_ = steadyNow() + moveWaitLimit;
    (void)co_await move_->done_.waitUntil(move_->waitEndsAt_);
}

/// Waits for the move of a stream that has ended. An engine that is told to stop a run closes its connection,
/// which ends an answer without a length. Only its answer to that call tells whether the run had ended before.
/// \returns whether the stream may have been stopped.
asio::awaitable<bool> RequestForwarder::awaitStopForMove(const Attempt& attempt)
{
    if (!attempt.endsWithConnection_ || !mayHaveStoppedRun())
        co_return false;
    co_await waitForMove();
    co_return mayHaveStoppedRun();
}

/// Handles a stream that broke off, either because it was stopped for a move or because
/// its engine was lost.
asio::awaitable<SendOutcome> RequestForwarder::handleStreamBreak(Attempt& attempt, const boost::system::error_code& code)
{
    attempt.detail_ = "events:" + code.message();
    bool isEnding = stopReason_ == StopReason::CallerDisconnected || stopReason_ == StopReason::DeadlineExceeded;
    if (!isEnding)
        co_await waitForMove();
    // Without the copy the stream runs anew at the next engine, which counts as an attempt.
    bool mayResume = move_ && (move_->target_ || (mayHaveStoppedRun() && sendCount_ < route_->maxAttempts_));
    if (isEnding || !mayResume) {
        cancelMove();
        co_return SendOutcome::Lost;
    }
    attempt.detail_ = move_->target_ ? "moved" : "stopped";
    move_->isUsed_ = true;
    co_return SendOutcome::Moved;
}

/// Ends the move of the previous attempt. \returns the engine that has received this stream's KV
/// cache, if any.
std::optional<BackendChoice> RequestForwarder::takeMoveTarget()
{
    if (!move_)
        return std::nullopt;
    if (!move_->isUsed_ || !move_->target_) {
        cancelMove();
        // The stream may have to move again.
        move_.reset();
        return std::nullopt;
    }
    std::shared_ptr<Move> move = std::exchange(move_, nullptr);
    resumeFrom_ = std::move(move->resumeFrom_);
    // The send to the previous engine does not count against the maximum number of attempts, as
    // the request counts as the same run.
    sendCount_ -= std::min(sendCount_, 1U);
    return std::move(move->target_);
}

} // namespace pistachioloom
