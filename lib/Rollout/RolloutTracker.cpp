//===- lib/Rollout/RolloutTracker.cpp - a node's view of roll-outs --------===//
///
/// \file
/// See RolloutTracker, RolloutTally, supersedes() and shareOnRoute().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

// The sum of shares at which one more request is due to the target. Floating-point sums
// are inexact, so it is slightly less than 1.
static constexpr double oneRequest = 1 - 1e-9;
// Weight of one stream in the moving average of the time between events.
static constexpr double gapSmoothing = 0.05;

RouteKey routeKeyOf(std::string_view routeName)
{
    return static_cast<RouteKey>(stableHash(routeName));
}

std::string_view toString(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Trial:
        return "trial";
    case RolloutPhase::Shifting:
        return "shifting";
    case RolloutPhase::Reverted:
        return "reverted";
    case RolloutPhase::Complete:
        return "complete";
    }
    return "unknown";
}

std::optional<RolloutPhase> parseRolloutPhase(std::string_view text)
{
    for (RolloutPhase phase : { RolloutPhase::Trial, RolloutPhase::Shifting, RolloutPhase::Reverted, RolloutPhase::Complete }) {
        if (text == toString(phase))
            return phase;
    }
    return std::nullopt;
}

static int finalityRank(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Trial:
    case RolloutPhase::Shifting:
        return 0;
    case RolloutPhase::Reverted:
        return 1;
    case RolloutPhase::Complete:
        return 2;
    }
    return 0;
}

bool supersedes(const RolloutState& left, const RolloutState& right)
{
    auto rank = [](const RolloutState& state) { return std::tuple(state.order_.number_, finalityRank(state.phase_), state.term_, state.step_); };
    return rank(left) > rank(right);
}

void RolloutTally::add(const RolloutTally& other)
{
    // Counts of an older order do not apply to this one.
    if (other.number_ < number_)
        return;
    if (number_ < other.number_)
        *this = { other.number_, 0, 0, {} };
    requests_ += other.requests_;
    exposed_ += other.exposed_;
    for (const auto& [cell, tally] : other.cells_) {
        cells_[cell].answers_ += tally.answers_;
        cells_[cell].bad_ += tally.bad_;
    }
}

static std::uint64_t difference(std::uint64_t left, std::uint64_t right)
{
    return left - std::min(left, right);
}

void RolloutTally::remove(const RolloutTally& other)
{
    if (other.number_ != number_)
        return;
    requests_ = difference(requests_, other.requests_);
    exposed_ = difference(exposed_, other.exposed_);
    for (const auto& [cell, tally] : other.cells_) {
        auto found = cells_.find(cell);
        if (found == cells_.end())
            continue;
        found->second.answers_ = difference(found->second.answers_, tally.answers_);
        found->second.bad_ = difference(found->second.bad_, tally.bad_);
    }
}

RolloutTally RolloutTally::since(const RolloutTally& before) const
{
    RolloutTally rest = *this;
    rest.remove(before);
    for (auto& [cell, tally] : rest.cells_)
        tally.bad_ = std::min(tally.bad_, tally.answers_);
    return rest;
}

RolloutTracker::RolloutTracker(RolloutSettings settings)
    : settings_(settings)
{
}

bool RolloutTracker::applyOrder(const RolloutOrder& order, SteadyTime now)
{
    return applyState({ order, RolloutPhase::Trial, 0, 0, 0 }, now, now);
}

bool RolloutTracker::applyState(const RolloutState& state, SteadyTime reportedAt, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto [found, isNew] = entries_.try_emplace(state.order_.service_);
    Entry& entry = found->second;
    if (!isNew && entry.received_.state_ == state) {
        entry.received_.reportedAt_ = std::max(entry.received_.reportedAt_, reportedAt);
        return false;
    }
    if (!isNew && !supersedes(state, entry.received_.state_))
        return false;
    bool isSameOrder = !isNew && entry.tally_.number_ == state.order_.number_;
    if (!isSameOrder) {
        entry.tally_ = { state.order_.number_, 0, 0, {} };
        entry.requestsByRoute_.clear();
        entry.dueToTarget_.clear();
    }
    entry.received_ = { state, reportedAt, isSameOrder ? entry.received_.orderReceivedAt_ : now };
    orderCount_ = entries_.size();
    return true;
}

std::vector<RolloutTracker::ReceivedState> RolloutTracker::states() const
{
    std::lock_guard lock(mutex_);
    std::vector<ReceivedState> states;
    for (const auto& [service, entry] : entries_)
        states.push_back(entry.received_);
    return states;
}

std::optional<RolloutState> RolloutTracker::find(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(service);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.received_.state_);
}

double shareOnRoute(double share, RouteKey route, const RouteRequests& requests)
{
    auto found = requests.find(route);
    if (found == requests.end() || !found->second)
        return share;
    double all = 0;
    double roots = 0;
    for (const auto& [key, count] : requests) {
        all += static_cast<double>(count);
        roots += std::sqrt(static_cast<double>(count));
    }
    return std::min(1.0, share * all / (std::sqrt(static_cast<double>(found->second)) * roots));
}

std::optional<VersionRule> RolloutTracker::assign(const ServiceName& service, RouteKey route, SendKind send, SteadyTime now)
{
    if (isEmpty())
        return std::nullopt;
    std::lock_guard lock(mutex_);
    auto found = entries_.find(service);
    if (found == entries_.end())
        return std::nullopt;
    Entry& entry = found->second;
    const RolloutState& state = entry.received_.state_;
    VersionRule rule { state.order_.target_, false, 0, state.phase_ != RolloutPhase::Reverted };
    switch (state.phase_) {
    case RolloutPhase::Complete:
        // Servers of other versions are stopping, and this node may not know it yet.
        rule.usesTarget_ = true;
        rule.share_ = 1;
        return rule;
    case RolloutPhase::Reverted:
        return rule;
    case RolloutPhase::Trial:
        rule.share_ = trialShare(entry, now);
        break;
    case RolloutPhase::Shifting:
        rule.share_ = state.share_;
        break;
    }
    if (send == SendKind::Subsequent) {
        rule.usesTarget_ = rule.share_ >= 1;
        return rule;
    }
    ++entry.requestsByRoute_[route];
    double& due = entry.dueToTarget_[route];
    due += state.phase_ == RolloutPhase::Trial ? shareOnRoute(rule.share_, route, entry.requestsByRoute_) : rule.share_;
    if (due < oneRequest)
        return rule;
    due -= 1;
    rule.usesTarget_ = true;
    return rule;
}

RolloutTracker::Continuation RolloutTracker::continuationAt(const ServiceName& service, SoftwareKey software, SteadyTime now) const
{
    if (isEmpty())
        return Continuation::Allowed;
    std::lock_guard lock(mutex_);
    auto found = entries_.find(service);
    if (found == entries_.end())
        return Continuation::Allowed;
    const RolloutState& state = found->second.received_.state_;
    if (software != softwareKeyOf(service, state.order_.target_))
        return Continuation::Allowed;
    switch (state.phase_) {
    case RolloutPhase::Reverted:
        return Continuation::Ended;
    case RolloutPhase::Trial:
        return trialShare(found->second, now) > 0 ? Continuation::Allowed : Continuation::Paused;
    case RolloutPhase::Shifting:
    case RolloutPhase::Complete:
        break;
    }
    return Continuation::Allowed;
}

/// If the share was not reported for too long, the holder may have failed, or may have decided
/// meanwhile that the target is bad.
double RolloutTracker::trialShare(const Entry& entry, SteadyTime now) const
{
    return now - entry.received_.reportedAt_ > settings_.validity_ ? 0 : entry.received_.state_.share_;
}

void RolloutTracker::noteSent(const ServiceName& service, const BackendVersion& version)
{
    if (isEmpty())
        return;
    std::lock_guard lock(mutex_);
    auto found = entries_.find(service);
    if (found == entries_.end())
        return;
    ++found->second.tally_.requests_;
    found->second.tally_.exposed_ += version == found->second.received_.state_.order_.target_;
}

void RolloutTracker::noteAnswer(const ServiceName& service, const RolloutAnswer& answer)
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(service);
    if (found == entries_.end() || isFinal(found->second.received_.state_.phase_))
        return;
    Entry& entry = found->second;
    bool isOfTarget = answer.version_ == entry.received_.state_.order_.target_;
    double& usualGap = entry.usualGapMs_[answer.route_];
    auto isBad = isBadAnswer(answer.outcome_, usualGap);
    if (!isBad)
        return;
    double gap = answer.outcome_.eventGapMs_;
    if (!isOfTarget && gap > 0)
        usualGap += (gap - usualGap) * (usualGap > 0 ? gapSmoothing : 1);
    AnswerTally& tally = entry.tally_.cells_[{ isOfTarget ? answer.backend_ : stableBackendKey, answer.route_ }];
    ++tally.answers_;
    tally.bad_ += *isBad;
}

RolloutTallies RolloutTracker::tallies() const
{
    RolloutTallies tallies;
    if (isEmpty())
        return tallies;
    std::lock_guard lock(mutex_);
    for (const auto& [service, entry] : entries_) {
        if (!isFinal(entry.received_.state_.phase_))
            tallies[service] = entry.tally_;
    }
    return tallies;
}

void RolloutTracker::setPeer(const VmId& source, RolloutTallies tallies)
{
    if (isEmpty())
        return;
    std::lock_guard lock(mutex_);
    peerTallies_[source] = std::move(tallies);
}

void RolloutTracker::forgetPeer(const VmId& source)
{
    std::lock_guard lock(mutex_);
    peerTallies_.erase(source);
}

RolloutTally RolloutTracker::total(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(service);
    if (found == entries_.end())
        return {};
    RolloutTally total = found->second.tally_;
    for (const auto& [source, tallies] : peerTallies_) {
        auto reported = tallies.find(service);
        if (reported != tallies.end() && reported->second.number_ == total.number_)
            total.add(reported->second);
    }
    return total;
}

} // namespace pistachioloom
