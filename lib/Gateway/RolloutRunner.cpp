//===- lib/Gateway/RolloutRunner.cpp - the holder's part in roll-outs ------===//
///
/// \file
/// See RolloutRunner.h.
//===----------------------------------------------------------------------===//
#include "RolloutRunner.h"

#include "RolloutMessages.h"

namespace pistachioloom {

namespace {

    constexpr milliseconds steerPeriod { 150 };
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
        co_await sleepFor(steerPeriod);
        if (context_.rollouts_.isEmpty())
            continue;
        DutyToken token = hooks_.token_();
        if (token != token_) {
            orders_.clear();
            token_ = token;
            calls_ = 0;
        }
        if (!token.value_)
            continue;
        if (!hasNotes_)
            co_await readNotes();
        if (!hasNotes_ || hooks_.token_() != token_)
            continue;
        SteadyTime now = steadyNow();
        for (const RolloutTracker::ReceivedState& heard : context_.rollouts_.states())
            lead(heard, now);
    }
}

/// What was decided before all nodes stopped, if they did.
asio::awaitable<void> RolloutRunner::readNotes()
{
    auto notes = co_await context_.platform_.readNotes_();
    if (!notes) {
        logger_.warn("Notes cannot be read: " + describe(notes.error()));
        co_return;
    }
    hasNotes_ = true;
    for (const KeptNote& note : notes.value()) {
        wire::RolloutReport record;
        if (!note.key_.starts_with(keyPrefix))
            continue;
        if (record.ParseFromString(note.value_))
            takeRecord(record);
        else
            logger_.warn("Note " + note.key_ + " cannot be read.");
    }
}

void RolloutRunner::takeRecord(const wire::RolloutReport& record)
{
    auto state = fromWire(record);
    if (!state) {
        logger_.warn("Record of a roll-out cannot be read.");
        return;
    }
    if (record.is_told())
        told_[state->order_.service_] = std::max(told_[state->order_.service_], state->order_.number_);
    SteadyTime now = steadyNow();
    if (isFinal(state->phase_) && context_.rollouts_.take(*state, now, now))
        logger_.info(LogLine("Verdict is read.").add("service", state->order_.service_.value_).add("target", state->order_.target_.value_).add("phase", toString(state->phase_)));
}

void RolloutRunner::lead(const RolloutTracker::ReceivedState& heard, SteadyTime now)
{
    const RolloutOrder& order = heard.state_.order_;
    auto found = orders_.find(order.service_);
    if (found != orders_.end()) {
        const RolloutState& led = found->second.pilot_.state();
        bool isNewOrder = led.order_.number_ < order.number_;
        // An operator has ended it, or an earlier holder did.
        bool isEnded = isFinal(heard.state_.phase_) && !isFinal(led.phase_);
        if (isNewOrder || isEnded) {
            orders_.erase(found);
            found = orders_.end();
        }
    }
    if (found == orders_.end())
        found = orders_.emplace(order.service_, Order { RolloutController(context_.settings_.rollout_, heard.state_, heard.orderReceivedAt_, token_.value_, makeSequentialEvaluator()) }).first;
    RolloutController& pilot = found->second.pilot_;
    if (isFinal(pilot.state().phase_))
        return;
    RolloutState before = pilot.state();
    BackendTable::VersionCounts versions = context_.backends_.versions(order.service_, order.target_);
    RolloutView view { context_.rollouts_.total(order.service_), versions.target_, versions.others_, versions.othersRunning_ };
    RolloutState after = pilot.adjust(view, now);
    // Said anew each time: a trial whose holder is silent ends at the other nodes.
    (void)context_.rollouts_.take(after, now, now);
    if (after == before)
        return;
    {
        std::lock_guard lock(reasonsMutex_);
        reasons_[order.service_] = pilot.reason();
    }
    LogLine line("Roll-out moves on.");
    line.add("service", order.service_.value_).add("target", order.target_.value_).add("phase", toString(after.phase_)).add("share", std::to_string(after.share_)).add("why", pilot.reason());
    line.add("requests", static_cast<std::int64_t>(view.tally_.requests_)).add("exposed", static_cast<std::int64_t>(view.tally_.exposed_)).add("target_servers", static_cast<std::int64_t>(view.targetServers_)).add("other_servers", static_cast<std::int64_t>(view.stableServers_));
    line.add("other_running", static_cast<std::int64_t>(view.stableRunning_)).add("since_order_ms", std::chrono::duration_cast<milliseconds>(now - heard.orderReceivedAt_).count());
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
        RolloutState state = found->second.pilot_.state();
        bool isTold = told_[service] == state.order_.number_;
        if (isTold)
            continue;
        if (!isFinal(state.phase_) && !found->second.isActiveTold_) {
            bool isActiveTold = co_await tell(state);
            // It may be gone, or another one, since.
            found = orders_.find(service);
            if (found != orders_.end())
                found->second.isActiveTold_ = isActiveTold;
            continue;
        }
        if (!isFinal(state.phase_) && !found->second.pilot_.isReadyToComplete())
            continue;
        if (!isFinal(state.phase_)) {
            state.phase_ = RolloutPhase::Complete;
            state.share_ = 1;
        }
        bool holdsOn = co_await settle(service, state);
        if (!holdsOn)
            co_return false;
    }
    co_return true;
}

/// \returns whether this node still holds the duties.
asio::awaitable<bool> RolloutRunner::settle(ServiceName service, RolloutState verdict)
{
    bool isRecorded = co_await recordVerdict(verdict, false);
    if (!isRecorded)
        co_return false;
    auto found = orders_.find(service);
    bool isSame = found != orders_.end() && found->second.pilot_.state().order_.number_ == verdict.order_.number_;
    if (isSame && verdict.phase_ == RolloutPhase::Complete) {
        found->second.pilot_.complete();
        SteadyTime now = steadyNow();
        (void)context_.rollouts_.take(found->second.pilot_.state(), now, now);
    }
    bool isTold = co_await tell(verdict);
    if (!isTold)
        co_return true;
    told_[service] = verdict.order_.number_;
    wire::RolloutReport kept = toWire(verdict);
    kept.set_is_told(true);
    KeptNote note { keyPrefix + service.value_, kept.SerializeAsString() };
    auto written = co_await context_.platform_.writeNote_(std::move(note));
    if (!written)
        logger_.warn("Note of a verdict is not written: " + describe(written.error()));
    co_return co_await recordVerdict(verdict, true);
}

asio::awaitable<bool> RolloutRunner::recordVerdict(RolloutState verdict, bool isTold)
{
    wire::DutyRecord record;
    record.set_vm(context_.settings_.vm_.value_);
    record.set_incarnation(context_.incarnation_);
    *record.mutable_rollout() = toWire(verdict);
    record.mutable_rollout()->set_is_told(isTold);
    co_return co_await hooks_.record_(std::move(record));
}

/// \returns whether the platform has it.
asio::awaitable<bool> RolloutRunner::tell(RolloutState state)
{
    DutyToken token = hooks_.token_();
    if (!token.value_ || token != token_)
        co_return false;
    auto told = co_await context_.platform_.reportRollout_(token, calls_ + 1, state);
    LogLine line("Roll-out is reported.");
    line.add("service", state.order_.service_.value_).add("target", state.order_.target_.value_).add("phase", toString(state.phase_)).add("token", static_cast<std::int64_t>(token.value_)).add("error", told ? "" : describe(told.error()));
    logger_.info(line);
    if (!told)
        co_return false;
    if (token == token_)
        ++calls_;
    co_return true;
}

std::vector<RolloutRunner::Shown> RolloutRunner::shown() const
{
    std::vector<Shown> all;
    std::lock_guard lock(reasonsMutex_);
    for (const RolloutTracker::ReceivedState& heard : context_.rollouts_.states()) {
        const RolloutOrder& order = heard.state_.order_;
        auto reason = reasons_.find(order.service_);
        all.push_back({ heard.state_, reason == reasons_.end() ? "" : reason->second, context_.rollouts_.total(order.service_), context_.backends_.versions(order.service_, order.target_) });
    }
    return all;
}

} // namespace pistachioloom
