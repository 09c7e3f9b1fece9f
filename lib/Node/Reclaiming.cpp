//===- lib/Node/Reclaiming.cpp - streams of engines that leave -------------===//
///
/// \file
/// Carries out the plans of the Reclaim library for the engines whose home we
/// are, and makes room for paid work.
//===----------------------------------------------------------------------===//
#include "BackendHome.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    constexpr milliseconds reclaimPeriod { 50 };
    constexpr milliseconds fallbackPerToken { 20 };

} // namespace

void BackendHome::start()
{
    context_.spawn(reclaimLoop());
}

std::vector<BackendHome::RunningPtr> BackendHome::runningOn(const VmId& engine) const
{
    std::vector<RunningPtr> found;
    std::lock_guard lock(mutex_);
    for (const RunningPtr& running : running_) {
        if (running->engine_ == engine && running->ending_ == Ending::None)
            found.push_back(running);
    }
    return found;
}

asio::awaitable<void> BackendHome::reclaimLoop()
{
    for (;;) {
        std::set<VmId> engines;
        {
            std::lock_guard lock(mutex_);
            for (const RunningPtr& running : running_)
                engines.insert(running->engine_);
        }
        auto view = context_.membership();
        for (const VmId& engine : engines) {
            if (!view->isLeaving(engine))
                continue;
            auto notice = control_.remainingNotice(engine);
            planLeaving(engine, notice.value_or(context_.settings_.membership_.defaultNotice_));
        }
        co_await sleepFor(reclaimPeriod);
    }
}

std::size_t BackendHome::freeElsewhere(const VmId& engine) const
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

void BackendHome::planLeaving(const VmId& engine, milliseconds notice)
{
    std::vector<LeavingStream> streams;
    std::map<RequestId, RunningPtr> byRequest;
    ReclaimCost cost;
    cost.notice_ = notice;
    cost.importSlots_ = freeElsewhere(engine);
    cost.perToken_ = fallbackPerToken;
    for (const RunningPtr& running : runningOn(engine)) {
        std::uint64_t generated = running->generated_;
        std::uint64_t remaining = running->maxTokens_ > generated ? running->maxTokens_ - generated : 0;
        streams.push_back({ { running->requestId_ }, running->class_, running->promptTokens_, generated, remaining });
        byRequest[{ running->requestId_ }] = running;
        // The pace of this engine, from the stream that tells most about it.
        auto elapsed = std::chrono::duration_cast<milliseconds>(steadyNow() - running->began_);
        if (generated)
            cost.perToken_ = std::max(cost.perToken_, elapsed / static_cast<std::int64_t>(generated));
    }
    for (const ReclaimStep& step : planReclaim(streams, cost)) {
        RunningPtr running = byRequest[step.request_];
        if (step.action_ == ReclaimAction::FinishInPlace)
            continue;
        logger_.info("Request " + step.request_.value_ + " leaves engine " + engine.value_ + ": " + std::string(toString(step.action_)) + ".");
        if (step.action_ == ReclaimAction::Recompute) {
            endHere(*running, Ending::Recompute);
            continue;
        }
        running->ending_ = Ending::MoveCache;
        context_.spawn(moveCache(running));
    }
}

asio::awaitable<void> BackendHome::moveCache(RunningPtr running)
{
    auto endpoint = context_.backendEndpoint(running->engine_);
    if (!endpoint) {
        endHere(*running, Ending::Recompute);
        co_return;
    }
    auto handle = co_await context_.engines_.exportCache_(*endpoint, running->requestId_);
    if (!handle) {
        logger_.warn("Cache export failed: " + describe(handle.error()) + ".");
        endHere(*running, Ending::Recompute);
        co_return;
    }
    // The engine ends the stream itself, after the last token before the
    // export, and that event brings the handle to forward().
}

void BackendHome::endHere(Running& running, Ending ending)
{
    running.ending_ = ending;
    running.close_();
}

void BackendHome::preemptTrial(const VmId& engine)
{
    // Who has yielded least often, so that no trial starves; then whoever loses
    // the fewest tokens.
    auto isBetter = [](const Running& left, const Running& right) {
        return std::pair(left.yields_, left.generated_.load()) < std::pair(right.yields_, right.generated_.load());
    };
    RunningPtr chosen;
    for (const RunningPtr& running : runningOn(engine)) {
        if (running->class_ == ServiceClass::Trial && (!chosen || isBetter(*running, *chosen)))
            chosen = running;
    }
    if (!chosen)
        return;
    logger_.info("Trial request " + chosen->requestId_ + " yields engine " + engine.value_ + " to paid work.");
    context_.metrics_.add(Counter::TrialsYielded);
    endHere(*chosen, Ending::Preempted);
}

void BackendHome::passOnStreams()
{
    std::lock_guard lock(mutex_);
    for (const RunningPtr& running : running_) {
        if (running->ending_ == Ending::None)
            endHere(*running, Ending::PassOn);
    }
}

} // namespace pistachioloom
