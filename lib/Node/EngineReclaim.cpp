//===- lib/Node/EngineReclaim.cpp - streams of leaving engines ------------===//
///
/// \file
/// Carries out the plans of the Reclaim library for this dispatcher's engines, and
/// preempts trial requests for paid ones.
//===----------------------------------------------------------------------===//
#include "BackendDispatcher.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    constexpr milliseconds reclaimPeriod { 50 };
    constexpr milliseconds minTimePerToken { 20 };

} // namespace

void BackendDispatcher::start()
{
    context_.spawn(reclaimLoop());
}

std::vector<BackendDispatcher::RunningStreamPtr> BackendDispatcher::streamsOn(const VmId& engine) const
{
    std::vector<RunningStreamPtr> found;
    std::lock_guard lock(mutex_);
    for (const RunningStreamPtr& running : running_) {
        if (running->engine_ == engine && running->endReason_ == EndReason::None)
            found.push_back(running);
    }
    return found;
}

asio::awaitable<void> BackendDispatcher::reclaimLoop()
{
    for (;;) {
        std::set<VmId> engines;
        {
            std::lock_guard lock(mutex_);
            for (const RunningStreamPtr& running : running_)
                engines.insert(running->engine_);
        }
        auto view = context_.membership();
        for (const VmId& engine : engines) {
            if (!view->isLeaving(engine))
                continue;
            auto notice = control_.remainingNotice(engine);
            reclaimEngine(engine, notice.value_or(context_.settings_.membership_.defaultNotice_));
        }
        co_await sleepFor(reclaimPeriod);
    }
}

std::size_t BackendDispatcher::capacityElsewhere(const VmId& engine) const
{
    auto view = context_.membership();
    const Vm* leaving = view->find(engine);
    std::size_t count = 0;
    if (!leaving)
        return count;
    for (const std::string& model : leaving->serves_)
        count += view->serversOf(model, {}).size() * concurrencyOf(model);
    return count;
}

void BackendDispatcher::reclaimEngine(const VmId& engine, milliseconds notice)
{
    std::vector<LeavingStream> streams;
    std::map<RequestId, RunningStreamPtr> byRequest;
    ReclaimCost cost;
    cost.notice_ = notice;
    cost.importSlots_ = capacityElsewhere(engine);
    cost.timePerToken_ = minTimePerToken;
    for (const RunningStreamPtr& running : streamsOn(engine)) {
        std::uint64_t generated = running->generatedTokens_;
        std::uint64_t remaining = running->maxTokens_ > generated ? running->maxTokens_ - generated : 0;
        streams.push_back({ { running->requestId_ }, running->class_, running->promptTokens_, generated, remaining });
        byRequest[{ running->requestId_ }] = running;
        // The slowest stream determines the engine's time per token.
        auto elapsed = std::chrono::duration_cast<milliseconds>(steadyNow() - running->startedAt_);
        if (generated)
            cost.timePerToken_ = std::max(cost.timePerToken_, elapsed / static_cast<std::int64_t>(generated));
    }
    for (const ReclaimStep& step : planReclaim(streams, cost)) {
        RunningStreamPtr running = byRequest[step.request_];
        if (step.action_ == ReclaimAction::FinishInPlace)
            continue;
        logger_.info("Request " + step.request_.value_ + " has to leave engine " + engine.value_ + ": " + std::string(toString(step.action_)) + ".");
        if (step.action_ == ReclaimAction::Recompute) {
            endStream(*running, EndReason::Recompute);
            continue;
        }
        running->endReason_ = EndReason::MoveCache;
        context_.spawn(moveCache(running));
    }
}

asio::awaitable<void> BackendDispatcher::moveCache(RunningStreamPtr running)
{
    auto endpoint = context_.backendEndpoint(running->engine_);
    if (!endpoint) {
        endStream(*running, EndReason::Recompute);
        co_return;
    }
    auto handle = co_await context_.engines_.exportCache_(*endpoint, running->requestId_);
    if (!handle) {
        logger_.warn("KV cache export failed: " + describe(handle.error()) + ".");
        endStream(*running, EndReason::Recompute);
        co_return;
    }
    // The engine ends the stream after the last token that precedes the export.
    // The event of that end passes the handle to forward().
}

void BackendDispatcher::endStream(RunningStream& running, EndReason reason)
{
    running.endReason_ = reason;
    running.close_();
}

void BackendDispatcher::preemptTrial(const VmId& engine)
{
    // Prefers the trial request that has yielded least often, so that none starves,
    // and then the one that loses the fewest tokens.
    auto shouldYieldBefore = [](const RunningStream& left, const RunningStream& right) {
        return std::pair(left.yields_, left.generatedTokens_.load()) < std::pair(right.yields_, right.generatedTokens_.load());
    };
    RunningStreamPtr chosen;
    for (const RunningStreamPtr& running : streamsOn(engine)) {
        if (running->class_ == ServiceClass::Trial && (!chosen || shouldYieldBefore(*running, *chosen)))
            chosen = running;
    }
    if (!chosen)
        return;
    logger_.info("Trial request " + chosen->requestId_ + " yields its slot on engine " + engine.value_ + " to a paid request.");
    context_.metrics_.add(Counter::TrialsYielded);
    endStream(*chosen, EndReason::Preempted);
}

void BackendDispatcher::handOverStreams()
{
    std::lock_guard lock(mutex_);
    for (const RunningStreamPtr& running : running_) {
        if (running->endReason_ == EndReason::None)
            endStream(*running, EndReason::HandOver);
    }
}

} // namespace pistachioloom
