//===- lib/Forward/Moving.cpp - streams leave engines that are taken away --===//
///
/// \file
/// A running stream whose engine will be gone within seconds goes on at another one
/// with its KV cache. The cache is copied while the stream runs; then the stream is
/// stopped, what came since is copied, and the same request goes on there.
//===----------------------------------------------------------------------===//
#include "Forwarding.h"

namespace pistachioloom {

namespace {

    // How long a broken stream waits for the end of its move: two copies.
    constexpr milliseconds movePatience { 1000 };

    const Logger& logger()
    {
        static const Logger logger("move");
        return logger;
    }

} // namespace

/// A stream whose engine is taken away would break off, and its prompt be read again.
bool Forwarding::shouldMove(const Attempt& attempt) const
{
    if (move_ || !route_->mayRepeat() || !events_.last() || !context_.hooks_.copyStream_)
        return false;
    const ServicePolicy* service = table_->findService(shape_.service_);
    if (!service || !service->engine_ || !service->engine_->canMove_)
        return false;
    return context_.backends_.isDeparting(attempt.choice_.backend_.id_);
}

void Forwarding::startMove(const Attempt& attempt)
{
    move_ = std::make_shared<Move>(pool_.executor());
    move_->isOver_ = true;
    const BackendRecord& from = attempt.choice_.backend_;
    // Nothing is left to read there but what the copy lacks.
    RequestShape shape = shape_;
    shape.promptTokens_ = {};
    shape.parts_.clear();
    shape.reclaimed_ = from.dataCentre_;
    shape.version_ = context_.rollouts_.assign(shape.service_, routeKeyOf(route_->name_), RolloutTracker::SendKind::Subsequent, steadyNow());
    auto to = context_.backends_.choose(shape, excluded_, steadyNow());
    if (!to)
        return;
    // It arrives as a repeat does.
    if (!context_.retries_.take(shape_.service_, steadyNow())) {
        giveUpTarget(*to);
        return;
    }
    move_->isOver_ = false;
    asio::co_spawn(pool_.executor(), move(from, std::move(*to)), asio::detached);
}

asio::awaitable<void> Forwarding::move(BackendRecord from, BackendChoice to)
{
    auto self = shared_from_this();
    std::shared_ptr<Move> move = move_;
    SteadyTime startedAt = steadyNow();
    StreamCopy copy { from.endpoint_, to.backend_.endpoint_, id_, false };
    auto copied = co_await context_.hooks_.copyStream_(copy);
    std::string unused = copied ? copied.value() : "";
    if (copied && !move->isDropped_) {
        copy.isLast_ = true;
        copied = co_await context_.hooks_.copyStream_(copy);
    }
    bool isMoved = copied && copy.isLast_;
    LogLine line(isMoved ? "Stream is moved." : "Stream is not moved.");
    line.add("id", id_).add("from", from.id_.value_).add("to", to.backend_.id_.value_).add("last_event", static_cast<std::int64_t>(events_.last().value_or(0)));
    line.add("took_ms", std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt).count()).add("error", copied ? "" : describe(copied.error()));
    logger().info(line);
    move->isOver_ = true;
    if (isMoved && !move->isDropped_) {
        move->resumeFrom_ = std::move(copied.value());
        move->to_ = std::move(to);
        move->done_.notify();
        co_return;
    }
    giveUpTarget(to);
    move->done_.notify();
    if (unused.empty())
        co_return;
    auto dropped = co_await context_.hooks_.dropCopy_(std::move(copy), std::move(unused));
    if (!dropped)
        logger().info(LogLine("Copy is not freed.").add("id", id_).add("error", describe(dropped.error())));
}

/// The stream does not go on at \p to, where it is counted as under way.
void Forwarding::giveUpTarget(const BackendChoice& to)
{
    context_.backends_.end(to.backend_.id_, { BackendOutcome::Abandoned, to.uncached_, false, {} }, steadyNow());
}

/// A move that comes too late changes nothing any more.
void Forwarding::dropMove()
{
    if (!move_)
        return;
    move_->isDropped_ = true;
    if (auto to = std::exchange(move_->to_, std::nullopt))
        giveUpTarget(*to);
}

/// A stream broke off: either it was stopped to be moved, or its engine is lost.
asio::awaitable<SendEnd> Forwarding::afterBreak(Attempt& attempt, const boost::system::error_code& code)
{
    attempt.detail_ = "events:" + code.message();
    bool isWorthwhile = move_ && stopped_ != StopReason::CallerGone && stopped_ != StopReason::TimeOver;
    if (isWorthwhile && !move_->isOver_)
        (void)co_await move_->done_.waitUntil(steadyNow() + movePatience);
    if (!isWorthwhile || !move_->to_) {
        dropMove();
        co_return SendEnd::Lost;
    }
    attempt.detail_ = "moved";
    co_return SendEnd::Moved;
}

/// The engine that has this stream's KV cache, once.
std::optional<BackendChoice> Forwarding::takeMoveTarget()
{
    if (!move_ || !move_->to_)
        return std::nullopt;
    std::optional<BackendChoice> to = std::exchange(move_->to_, std::nullopt);
    resumeFrom_ = std::move(move_->resumeFrom_);
    // It may have to move again. The engine before ends, so it counts no more.
    move_.reset();
    sends_ -= std::min(sends_, 1U);
    return to;
}

} // namespace pistachioloom
