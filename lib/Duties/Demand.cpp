//===- lib/Duties/Demand.cpp - token rates over all nodes -----------------===//
///
/// \file
/// See DemandEstimator.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"

#include <algorithm>

namespace pistachioloom {

// A node's prefill rate is weighted by its number of observed answers, but at most by this.
static constexpr std::uint64_t maxWeight = 200;
// Nodes that have observed fewer answers are left out of the mean prefill rate.
static constexpr std::uint64_t minObservations = 12;

// The mean of the nodes' rates exceeds the rate fitted over all nodes by the noise of the waits,
// by up to a quarter while engines are neither lost nor overloaded.
static constexpr double maxRateRatio = 1.25;

// A rate is computed over at least this time, in seconds: over a shorter one single
// requests would dominate it.
static constexpr double minSpanSeconds = 1;

double PrefillRate::bounded() const
{
    return fitted_ ? std::min(mean_, maxRateRatio * *fitted_) : mean_;
}

double DemandEstimator::rateOf(const std::deque<Reading>& local)
{
    if (local.size() < 2)
        return 0;
    double span = std::chrono::duration<double>(local.back().at_ - local.front().at_).count();
    return (local.back().tokens_ - local.front().tokens_) / std::max(span, minSpanSeconds);
}

void DemandEstimator::recordLocalTokens(const ServiceName& service, TokenCount totalTokens, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    std::deque<Reading>& local = demand_[service].local_;
    local.push_back({ now, static_cast<double>(totalTokens.value_) });
    while (now - local.front().at_ > timing_.window_)
        local.pop_front();
}

double DemandEstimator::localRate(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    auto found = demand_.find(service);
    return found == demand_.end() ? 0 : rateOf(found->second.local_);
}

void DemandEstimator::setSource(const VmId& vm, const ServiceName& service, const ServiceDemand& reported, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    demand_[service].sources_[vm] = { reported, now };
}

void DemandEstimator::forgetSource(const VmId& vm)
{
    std::lock_guard lock(mutex_);
    for (auto& [service, demand] : demand_)
        demand.sources_.erase(vm);
}

double DemandEstimator::meanRate(const Demand& demand, double fallback)
{
    double sum = 0;
    double weights = 0;
    for (const auto& [vm, source] : demand.sources_) {
        const ServiceDemand& reported = source.reportedDemand_;
        if (reported.observations_ < minObservations)
            continue;
        auto weight = static_cast<double>(std::min(reported.observations_, maxWeight));
        sum += weight * reported.prefillPerMs_;
        weights += weight;
    }
    return weights > 0 ? sum / weights : fallback;
}

PrefillRate DemandEstimator::prefillRate(const ServiceName& service, double fallback) const
{
    std::lock_guard lock(mutex_);
    auto found = demand_.find(service);
    if (found == demand_.end())
        return { fallback, std::nullopt };
    // Waits of silent sources count, since the speed of engines does not change with them.
    SpeedMoments all;
    for (const auto& [vm, source] : found->second.sources_)
        all.add(source.reportedDemand_.moments_);
    return { meanRate(found->second, fallback), all.hasRate() ? std::optional(all.prefillPerMs(fallback)) : std::nullopt };
}

void DemandEstimator::sample(SteadyTime now)
{
    std::lock_guard lock(mutex_);
    for (auto& [service, demand] : demand_) {
        double sum = rateOf(demand.local_);
        for (const auto& [vm, source] : demand.sources_) {
            if (now - source.receivedAt_ <= timing_.validity_)
                sum += source.reportedDemand_.tokensPerSecond_;
        }
        // Before the first request the demand is unknown rather than zero.
        if (sum <= 0 && !demand.firstObservedAt_)
            continue;
        if (!demand.firstObservedAt_)
            demand.firstObservedAt_ = now;
        demand.rateSamples_.push_back({ now, sum });
        while (now - demand.rateSamples_.front().at_ > timing_.peakWindow_)
            demand.rateSamples_.pop_front();
    }
}

std::optional<double> DemandEstimator::peakRate(const ServiceName& service, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = demand_.find(service);
    if (found == demand_.end() || !found->second.firstObservedAt_ || now - *found->second.firstObservedAt_ < timing_.window_)
        return std::nullopt;
    double peak = 0;
    for (const Reading& reading : found->second.rateSamples_)
        peak = std::max(peak, reading.tokens_);
    return peak;
}

} // namespace pistachioloom
