//===- lib/Rollout/RolloutPilot.cpp - an order's way to its verdict --------===//
///
/// \file
/// See RolloutPilot.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

#include <algorithm>
#include <set>

namespace pistachioloom {

namespace {

    // All nodes hear of a share within this time: three reports, through relays.
    constexpr milliseconds shareKnown { 800 };
    // Backend servers that do not run the target may be on their way.
    constexpr milliseconds targetOnlyFor { 3000 };
    // Answers on a route without which it has no traffic to judge by.
    constexpr std::uint64_t leastTraffic = 200;

} // namespace

RolloutPilot::RolloutPilot(RolloutSettings settings, RolloutState state, SteadyTime begunAt, std::uint64_t term, RolloutJudge judge)
    : settings_(settings)
    , state_(std::move(state))
    , begunAt_(begunAt)
    , judge_(std::move(judge))
{
    if (isFinal(state_.phase_))
        return;
    state_.term_ = term;
    state_.step_ = 1;
}

SteadyTime RolloutPilot::at(double partOfPeriod) const
{
    return begunAt_ + milliseconds(static_cast<std::int64_t>(partOfPeriod * static_cast<double>(state_.order_.period_.count())));
}

void RolloutPilot::set(RolloutPhase phase, double share, std::string reason)
{
    if (state_.phase_ == phase && state_.share_ == share)
        return;
    state_.phase_ = phase;
    state_.share_ = share;
    ++state_.step_;
    reason_ = std::move(reason);
}

void RolloutPilot::complete()
{
    set(RolloutPhase::Complete, 1, reason_);
}

void RolloutPilot::revert(std::string why)
{
    if (!isFinal(state_.phase_))
        set(RolloutPhase::Reverted, 0, std::move(why));
}

/// Whether the target has answered on each route that others answer on.
bool RolloutPilot::hasEvidence(const RolloutTally& tally) const
{
    std::map<RouteKey, AnswerTally> stable;
    std::map<RouteKey, AnswerTally> target;
    for (const auto& [cell, answers] : tally.cells_)
        (cell.first == stableServers ? stable : target)[cell.second].answers_ += answers.answers_;
    std::uint64_t answers = 0;
    for (const auto& [route, counted] : target)
        answers += counted.answers_;
    return answers >= settings_.leastAnswers_ && std::all_of(stable.begin(), stable.end(), [&](const auto& entry) {
        return entry.second.answers_ < leastTraffic || target[entry.first].answers_ >= settings_.leastAnswers_;
    });
}

const RolloutState& RolloutPilot::steer(const RolloutView& view, SteadyTime now)
{
    if (isFinal(state_.phase_))
        return state_;
    if (auto worse = judge_(view.tally_, now)) {
        revert(*worse);
        return state_;
    }
    // An order for the version that runs already.
    bool isTargetOnly = !view.stableServers_ && view.targetServers_;
    if (!isTargetOnly)
        targetOnlySince_ = SteadyTime {};
    else if (targetOnlySince_ == SteadyTime {})
        targetOnlySince_ = now;
    if (isTargetOnly && now - targetOnlySince_ >= targetOnlyFor) {
        set(RolloutPhase::Shifting, 1, "no other version runs");
        isReadyToComplete_ = true;
        return state_;
    }
    if (state_.phase_ == RolloutPhase::Trial)
        steerTrial(view, now);
    else
        steerShift(view, now);
    return state_;
}

void RolloutPilot::steerTrial(const RolloutView& view, SteadyTime now)
{
    if (now >= at(settings_.verdictPart_))
        return revert("no verdict within the period");
    // Counts of the last reports are on their way.
    double allowed = settings_.exposedShare_ * static_cast<double>(view.tally_.requests_) + settings_.exposedExtra_ / 2;
    bool hasRoom = static_cast<double>(view.tally_.exposed_) < allowed;
    if (!view.targetServers_ || !hasRoom)
        return set(RolloutPhase::Trial, 0, view.targetServers_ ? "exposure is used up" : "no backend server of the target");
    if (now >= at(settings_.trialPart_) && hasEvidence(view.tally_)) {
        shiftedAt_ = now;
        return set(RolloutPhase::Shifting, 2 * settings_.trialShare_, "not worse for the time of the trial");
    }
    set(RolloutPhase::Trial, settings_.trialShare_, "on trial");
}

void RolloutPilot::steerShift(const RolloutView& view, SteadyTime now)
{
    if (state_.share_ < 1 && now - shiftedAt_ >= at(settings_.shiftStep_) - begunAt_) {
        shiftedAt_ = now;
        return set(RolloutPhase::Shifting, std::min(1.0, 2 * state_.share_), "the rest follows");
    }
    if (state_.share_ < 1 || now - shiftedAt_ < shareKnown)
        return;
    // Whatever still runs at the others breaks off when they stop.
    isReadyToComplete_ = !view.stableRunning_ || now >= at(settings_.verdictPart_);
}

} // namespace pistachioloom
