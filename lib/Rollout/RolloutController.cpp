//===- lib/Rollout/RolloutController.cpp - decisions on one order ---------===//
///
/// \file
/// See RolloutController.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

#include <algorithm>
#include <set>

namespace pistachioloom {

namespace {

    // All nodes receive a new share within this time, which covers three reports through
    // relays.
    constexpr milliseconds sharePropagation { 800 };
    // The order is complete once only backend servers of the target have been registered for
    // this time. Before that, servers of other versions may be about to register.
    constexpr milliseconds minTargetOnlyTime { 3000 };
    // Answers of the other versions on a route from which on the target needs evidence on
    // it. Other routes have too little traffic.
    constexpr std::uint64_t minRouteAnswers = 200;

} // namespace

RolloutController::RolloutController(RolloutSettings settings, RolloutState state, SteadyTime startedAt, std::uint64_t term, RolloutEvaluator evaluator)
    : settings_(settings)
    , state_(std::move(state))
    , startedAt_(startedAt)
    , evaluator_(std::move(evaluator))
{
    if (isFinal(state_.phase_))
        return;
    state_.term_ = term;
    state_.step_ = 1;
}

SteadyTime RolloutController::timeAt(double fractionOfPeriod) const
{
    return startedAt_ + milliseconds(static_cast<std::int64_t>(fractionOfPeriod * static_cast<double>(state_.order_.period_.count())));
}

void RolloutController::setState(RolloutPhase phase, double share, std::string reason)
{
    if (state_.phase_ == phase && state_.share_ == share)
        return;
    state_.phase_ = phase;
    state_.share_ = share;
    ++state_.step_;
    reason_ = std::move(reason);
}

void RolloutController::complete()
{
    setState(RolloutPhase::Complete, 1, reason_);
}

void RolloutController::revert(std::string why)
{
    if (!isFinal(state_.phase_))
        setState(RolloutPhase::Reverted, 0, std::move(why));
}

/// Whether the target has enough answers in total, and on each route with traffic.
bool RolloutController::hasEvidence(const RolloutTally& tally) const
{
    std::map<RouteKey, AnswerTally> stable;
    std::map<RouteKey, AnswerTally> target;
    for (const auto& [cell, answers] : tally.cells_)
        (cell.first == stableBackendKey ? stable : target)[cell.second].answers_ += answers.answers_;
    std::uint64_t answers = 0;
    for (const auto& [route, counted] : target)
        answers += counted.answers_;
    return answers >= settings_.minAnswers_ && std::all_of(stable.begin(), stable.end(), [&](const auto& entry) {
        return entry.second.answers_ < minRouteAnswers || target[entry.first].answers_ >= settings_.minAnswers_;
    });
}

bool RolloutController::mustBeSound(const RolloutTally& tally, SteadyTime now)
{
    std::uint64_t bad = 0;
    for (const auto& [cell, answers] : tally.cells_)
        bad += cell.first == stableBackendKey ? 0 : answers.bad_;
    if (bad < settings_.toleratedBad_)
        return false;
    if (badToleratedAt_ == SteadyTime {})
        badToleratedAt_ = now;
    return now - badToleratedAt_ >= settings_.rollbackTime_ - settings_.rollbackMargin_;
}

const RolloutState& RolloutController::adjust(const RolloutView& view, SteadyTime now)
{
    if (isFinal(state_.phase_))
        return state_;
    RolloutEvaluation evaluation = evaluator_(view.tally_, now);
    if (evaluation.worse_) {
        revert(*evaluation.worse_);
        return state_;
    }
    if (mustBeSound(view.tally_, now) && !evaluation.isSound_) {
        revert("many bad answers, and not shown to be sound");
        return state_;
    }
    mayGrow_ = !evaluation.isSuspect_ || now >= timeAt(settings_.holdFraction_);
    // An order for a version needs no trial if no backend server of another version runs.
    bool isTargetOnly = !view.stableServers_ && view.targetServers_;
    if (!isTargetOnly)
        targetOnlySince_ = SteadyTime {};
    else if (targetOnlySince_ == SteadyTime {})
        targetOnlySince_ = now;
    if (isTargetOnly && now - targetOnlySince_ >= minTargetOnlyTime) {
        setState(RolloutPhase::Shifting, 1, "no other version runs");
        isReadyToComplete_ = true;
        return state_;
    }
    if (state_.phase_ == RolloutPhase::Trial)
        adjustTrial(view, now);
    else
        adjustShift(view, now);
    return state_;
}

void RolloutController::adjustTrial(const RolloutView& view, SteadyTime now)
{
    if (now >= timeAt(settings_.decisionFraction_))
        return revert("no verdict within the period");
    // The other half of `exposedExtra_` allows for requests to the target that nodes have
    // not reported yet.
    double allowed = settings_.exposedShare_ * static_cast<double>(view.tally_.requests_) + settings_.exposedExtra_ / 2;
    bool isWithinExposure = static_cast<double>(view.tally_.exposed_) < allowed;
    if (!view.targetServers_ || !isWithinExposure)
        return setState(RolloutPhase::Trial, 0, view.targetServers_ ? "exposure is used up" : "no backend server of the target");
    if (now >= timeAt(settings_.trialFraction_) && mayGrow_ && hasEvidence(view.tally_)) {
        shiftedAt_ = now;
        return setState(RolloutPhase::Shifting, 2 * settings_.trialShare_, "not worse for the time of the trial");
    }
    setState(RolloutPhase::Trial, settings_.trialShare_, "on trial");
}

void RolloutController::adjustShift(const RolloutView& view, SteadyTime now)
{
    if (state_.share_ < 1 && mayGrow_ && now - shiftedAt_ >= timeAt(settings_.shiftStepFraction_) - startedAt_) {
        shiftedAt_ = now;
        return setState(RolloutPhase::Shifting, std::min(1.0, 2 * state_.share_), "the rest follows");
    }
    if (state_.share_ < 1 || now - shiftedAt_ < sharePropagation)
        return;
    // Backend servers of other versions stop once the order is complete, which aborts the
    // requests that still run there.
    isReadyToComplete_ = !view.stableRunning_ || now >= timeAt(settings_.decisionFraction_);
}

} // namespace pistachioloom
