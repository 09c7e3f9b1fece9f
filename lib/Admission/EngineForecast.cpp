//===- lib/Admission/EngineForecast.cpp - engines expected after a loss ----===//
///
/// \file
/// See EngineForecast and returnWithEngines().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Admission.h"

#include <algorithm>

namespace pistachioloom {

// Callers of routes with shorter objectives need each answer as soon as possible. They retry as
// early as without a loss, since a shorter queue may still serve them in time.
static constexpr milliseconds minAwaitingObjective { 1000 };

bool EngineForecast::isOver(const Service& service, SteadyTime now) const
{
    bool haveRecovered = static_cast<double>(service.last_.engines_) >= settings_.recoveredShare_ * static_cast<double>(service.loss_->enginesBefore_);
    milliseconds overdue = service.last_.bootTime_ + settings_.overdueAfter_;
    // Single engines that come and go would prolong a loss without end.
    return haveRecovered || now - service.loss_->changedAt_ >= overdue || now - service.loss_->at_ >= 2 * overdue;
}

/// Begins a loss if the engines have decreased by enough within the last boot time.
void EngineForecast::observeLoss(Service& service, SteadyTime now) const
{
    std::uint64_t highest = 0;
    for (const Count& count : service.recent_)
        highest = std::max(highest, count.engines_);
    std::uint64_t engines = service.last_.engines_;
    if (!highest || static_cast<double>(engines) > (1 - settings_.lossShare_) * static_cast<double>(highest))
        return;
    Loss loss = service.loss_.value_or(Loss {});
    loss.at_ = now;
    loss.changedAt_ = now;
    loss.enginesBefore_ = std::max(loss.enginesBefore_, highest);
    service.loss_ = loss;
    // Further decreases are compared with what is left, since single engines that leave during a
    // loss do not delay those that were ordered because of it.
    service.recent_.clear();
}

void EngineForecast::observe(const ServiceName& name, const EngineObservation& observation, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    // Registrations that cannot be read show no loss, neither now nor when the platform is back.
    if (!observation.isPlatformAvailable_ || observation.bootTime_ <= milliseconds(0)) {
        services_.erase(name);
        return;
    }
    Service& service = services_[name];
    bool hasChanged = service.last_.engines_ != observation.engines_;
    service.last_ = observation;
    while (!service.recent_.empty() && now - service.recent_.front().observedAt_ > observation.bootTime_)
        service.recent_.pop_front();
    if (service.loss_ && hasChanged)
        service.loss_->changedAt_ = now;
    if (service.loss_ && isOver(service, now))
        service.loss_.reset();
    observeLoss(service, now);
    service.recent_.push_back({ now, observation.engines_ });
}

void EngineForecast::noteRefused(const ServiceName& name, std::uint64_t tokens)
{
    std::lock_guard lock(mutex_);
    auto found = services_.find(name);
    if (found == services_.end() || !found->second.loss_)
        return;
    found->second.loss_->refusedTokens_ += static_cast<double>(tokens);
}

std::optional<ExpectedEngines> EngineForecast::expected(const ServiceName& name, std::uint64_t nodes, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = services_.find(name);
    if (found == services_.end() || !found->second.loss_ || isOver(found->second, now))
        return std::nullopt;
    const auto& [last, recent, loss] = found->second;
    auto until = std::chrono::duration_cast<milliseconds>(loss->at_ + last.bootTime_ + last.reviewInterval_ - now);
    double tokensPerMs = static_cast<double>(loss->enginesBefore_ - last.engines_) * last.tokensPerMs_;
    // The time is bounded before its conversion, since an unknown rate makes it infinite.
    double spreadMs = tokensPerMs > 0 ? loss->refusedTokens_ * static_cast<double>(nodes) / tokensPerMs : static_cast<double>(settings_.maxSpread_.count());
    spreadMs = std::clamp(spreadMs, static_cast<double>(settings_.minSpread_.count()), static_cast<double>(settings_.maxSpread_.count()));
    return ExpectedEngines { std::max(milliseconds(0), until), milliseconds(static_cast<std::int64_t>(spreadMs)) };
}

std::optional<milliseconds> returnWithEngines(const ExpectedEngines& expected, const ReturnView& view, const AdmissionSettings& settings)
{
    milliseconds longest = view.timeLeft_ / maxPartOfTimeLeft;
    if (view.objective_ <= minAwaitingObjective || longest <= milliseconds(0) || expected.until_ > longest)
        return std::nullopt;
    auto spread = milliseconds(static_cast<std::int64_t>(static_cast<double>(expected.spread_.count()) * view.draw_));
    // Overdue engines may not come, so that the queue decides as well.
    bool isOverdue = expected.until_ <= milliseconds(0);
    milliseconds least = view.isDeferrable_ || isOverdue ? view.retryAfter_ : settings.minRetryAfter_;
    return std::min(std::max(expected.until_ + spread, least), longest);
}

} // namespace pistachioloom
