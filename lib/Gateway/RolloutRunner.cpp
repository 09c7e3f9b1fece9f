//===- lib/Gateway/RolloutRunner.cpp - the holder's roll-out duties -------===//
///
/// \file
/// See RolloutRunner.h.
//===----------------------------------------------------------------------===//
#include "RolloutRunner.h"

#include "RolloutMessages.h"

namespace pistachioloom {

namespace {

    // Interval at which the orders are adjusted.
    constexpr milliseconds adjustPeriod { 150 };
    const std::string keyPrefix = "rollout/";

} // namespace

RolloutRunner::RolloutRunner(GatewayContext& context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
{
}

asio::awaitable<void> RolloutRunner::adjust()
{
    for (;;) {
        co_await sleepFor(adjustPeriod);
        if (context_.rollouts_.isEmpty())
            continue;
        DutyToken token = hooks_.actingToken_();
        if (token != token_) {
            orders_.clear();
            token_ = token;
            reportCount_ = 0;
        }
        if (!token.value_)
            continue;
        if (!hasReadNotes_)
            co_await readNotes();
        if (!hasReadNotes_ || hooks_.actingToken_() != token_)
            continue;
        SteadyTime now = steadyNow();
        for (const RolloutTracker::ReceivedState& received : context_.rollouts_.states())
            adjustOrder(received, now);
    }
}

/// Reads the final decisions that the platform stores, since no peer reports them after a
/// stop of all nodes.
asio::awaitable<void> RolloutRunner::readNotes()
{
    auto notes = co_await context_.platform_.readNotes_();
    if (!notes) {
        logger_.warn("Notes of roll-outs cannot be read: " + describe(notes.error()));
        co_return;
    }
    hasReadNotes_ = true;
    for (const StoredNote& note : notes.value()) {
        wire::RolloutReport record;
        if (!note.key_.starts_with(keyPrefix))
            continue;
        if (record.ParseFromString(note.value_))
            applyRecord(record);
        else
            logger_.warn("Note " + note.key_ + " cannot be parsed.");
    }
}

void RolloutRunner::applyRecord(const wire::RolloutReport& record)
{
    auto state = fromWire(record);
    if (!state) {
        logger_.warn("A record of a roll-out is invalid and is ignored.");
        return;
    }
    if (record.is_told())
        reportedOrders_[state->order_.service_] = std::max(reportedOrders_[state->order_.service_], state->order_.number_);
    SteadyTime now = steadyNow();
    if (isFinal(state->phase_) && context_.rollouts_.applyState(*state, now, now))
        logger_.info(LogLine("Decision on a roll-out is read.").add("service", state->order_.service_.value_).add("target", state->order_.target_.value_).add("phase", toString(state->phase_)));
}

void RolloutRunner::adjustOrder(const RolloutTracker::ReceivedState& received, SteadyTime now)
{
    const RolloutOrder& order = received.state_.order_;
    auto found = orders_.find(order.service_);
    if (found != orders_.end()) {
        const RolloutState& current = found->second.controller_.state();
        bool isNewOrder = current.order_.number_ < order.number_;
        // An operator or an earlier holder has ended the order.
        bool isEnded = isFinal(received.state_.phase_) && !isFinal(current.phase_);
        if (isNewOrder || isEnded) {
            orders_.erase(found);
            found = orders_.end();
        }
    }
    if (found == orders_.end())
        found = orders_.emplace(order.service_, Order { RolloutController(context_.settings_.rollout_, received.state_, received.orderReceivedAt_, token_.value_, makeSequentialEvaluator()) }).first;
    RolloutController& controller = found->second.controller_;
    if (isFinal(controller.state().phase_))
        return;
    RolloutState before = controller.state();
    BackendTable::VersionCounts versions = context_.backends_.versions(order.service_, order.target_);
    RolloutView view { context_.rollouts_.total(order.service_), versions.target_, versions.others_, versions.othersRunning_ };
    RolloutState after = controller.adjust(view, now);
    // The state is reported again in each period: other nodes end a trial whose holder
    // has become unresponsive.
    (void)context_.rollouts_.applyState(after, now, now);
    if (after == before)
        return;
    {
        std::lock_guard lock(reasonsMutex_);
        reasons_[order.service_] = controller.reason();
    }
    LogLine line("Roll-out has changed.");
    line.add("service", order.service_.value_).add("target", order.target_.value_).add("phase", toString(after.phase_)).add("share", std::to_string(after.share_)).add("why", controller.reason());
    line.add("requests", static_cast<std::int64_t>(view.tally_.requests_)).add("exposed", static_cast<std::int64_t>(view.tally_.exposed_)).add("target_servers", static_cast<std::int64_t>(view.targetServers_)).add("other_servers", static_cast<std::int64_t>(view.stableServers_));
    line.add("other_running", static_cast<std::int64_t>(view.stableRunning_)).add("since_order_ms", std::chrono::duration_cast<milliseconds>(now - received.orderReceivedAt_).count());
    logger_.info(line);
}

asio::awaitable<bool> RolloutRunner::act()
{
    std::vector<ServiceName> services;
    for (const auto& [service, order] : orders_)
        services.push_back(service);
    for (const ServiceName& service : services) {
        auto found = orders_.find(service);
        if (found == orders_.end())
            continue;
        RolloutState state = found->second.controller_.state();
        bool isReported = reportedOrders_[service] == state.order_.number_;
        if (isReported)
            continue;
        if (!isFinal(state.phase_) && !found->second.isActiveReported_) {
            bool isActiveReported = co_await report(state);
            // The order may have been removed or replaced in the meantime.
            found = orders_.find(service);
            if (found != orders_.end())
                found->second.isActiveReported_ = isActiveReported;
            continue;
        }
        if (!isFinal(state.phase_) && !found->second.controller_.isReadyToComplete())
            continue;
        if (!isFinal(state.phase_)) {
            state.phase_ = RolloutPhase::Complete;
            state.share_ = 1;
        }
        bool isStillHolder = co_await finalise(service, state);
        if (!isStillHolder)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> RolloutRunner::finalise(ServiceName service, RolloutState decision)
{
    bool isRecorded = co_await recordDecision(decision, false);
    if (!isRecorded)
        co_return false;
    auto found = orders_.find(service);
    bool isSame = found != orders_.end() && found->second.controller_.state().order_.number_ == decision.order_.number_;
    if (isSame && decision.phase_ == RolloutPhase::Complete) {
        found->second.controller_.complete();
        SteadyTime now = steadyNow();
        (void)context_.rollouts_.applyState(found->second.controller_.state(), now, now);
    }
    bool isReported = co_await report(decision);
    if (!isReported)
        co_return true;
    reportedOrders_[service] = decision.order_.number_;
    wire::RolloutReport stored = toWire(decision);
    stored.set_is_told(true);
    StoredNote note { keyPrefix + service.value_, stored.SerializeAsString() };
    auto written = co_await context_.platform_.writeNote_(std::move(note));
    if (!written)
        logger_.warn("Note of a decision cannot be written: " + describe(written.error()));
    co_return co_await recordDecision(decision, true);
}

asio::awaitable<bool> RolloutRunner::recordDecision(RolloutState decision, bool isReported)
{
    wire::DutyRecord record;
    record.set_vm(context_.settings_.vm_.value_);
    record.set_incarnation(context_.incarnation_);
    *record.mutable_rollout() = toWire(decision);
    record.mutable_rollout()->set_is_told(isReported);
    co_return co_await hooks_.appendRecord_(std::move(record));
}

asio::awaitable<bool> RolloutRunner::report(RolloutState state)
{
    DutyToken token = hooks_.actingToken_();
    if (!token.value_ || token != token_)
        co_return false;
    auto sent = co_await context_.platform_.reportRollout_(token, reportCount_ + 1, state);
    LogLine line("Roll-out is reported.");
    line.add("service", state.order_.service_.value_).add("target", state.order_.target_.value_).add("phase", toString(state.phase_)).add("token", static_cast<std::int64_t>(token.value_)).add("error", sent ? "" : describe(sent.error()));
    logger_.info(line);
    if (!sent)
        co_return false;
    if (token == token_)
        ++reportCount_;
    co_return true;
}

std::vector<RolloutRunner::OrderStatus> RolloutRunner::orderStatuses() const
{
    std::vector<OrderStatus> all;
    std::lock_guard lock(reasonsMutex_);
    for (const RolloutTracker::ReceivedState& received : context_.rollouts_.states()) {
        const RolloutOrder& order = received.state_.order_;
        auto reason = reasons_.find(order.service_);
        all.push_back({ received.state_, reason == reasons_.end() ? "" : reason->second, context_.rollouts_.total(order.service_), context_.backends_.versions(order.service_, order.target_) });
    }
    return all;
}

} // namespace pistachioloom
