//===- lib/Duties/Demand.cpp - tokens a second over all nodes --------------===//
///
/// \file
/// See DemandBook.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"

#include <algorithm>

namespace pistachioloom {

// Answers beyond which a node's word on the reading rate weighs no more.
static constexpr std::uint64_t mostWeight = 200;
// With fewer answers a node has no say.
static constexpr std::uint64_t leastWeight = 12;

// A rate over less than this, in seconds, would be that of single requests.
static constexpr double shortestSpan = 1;

double DemandBook::rateOf(const std::deque<Reading>& own)
{
    if (own.size() < 2)
        return 0;
    double span = std::chrono::duration<double>(own.back().at_ - own.front().at_).count();
    return (own.back().tokens_ - own.front().tokens_) / std::max(span, shortestSpan);
}

void DemandBook::countOwn(const ServiceName& service, TokenCount asked, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    std::deque<Reading>& own = demand_[service].own_;
    own.push_back({ now, static_cast<double>(asked.value_) });
    while (now - own.front().at_ > timing_.window_)
        own.pop_front();
}

double DemandBook::ownRate(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    auto found = demand_.find(service);
    return found == demand_.end() ? 0 : rateOf(found->second.own_);
}

void DemandBook::setSource(const VmId& vm, const ServiceName& service, const DemandTold& told, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    demand_[service].sources_[vm] = { told, now };
}

void DemandBook::forgetSource(const VmId& vm)
{
    std::lock_guard lock(mutex_);
    for (auto& [service, demand] : demand_)
        demand.sources_.erase(vm);
}

double DemandBook::prefillPerMs(const ServiceName& service, double fallback) const
{
    std::lock_guard lock(mutex_);
    auto found = demand_.find(service);
    if (found == demand_.end())
        return fallback;
    double sum = 0;
    double weights = 0;
    for (const auto& [vm, source] : found->second.sources_) {
        const DemandTold& told = source.told_;
        if (told.observations_ < leastWeight)
            continue;
        auto weight = static_cast<double>(std::min(told.observations_, mostWeight));
        sum += weight * told.prefillPerMs_;
        weights += weight;
    }
    return weights > 0 ? sum / weights : fallback;
}

void DemandBook::sample(SteadyTime now)
{
    std::lock_guard lock(mutex_);
    for (auto& [service, demand] : demand_) {
        double sum = rateOf(demand.own_);
        for (const auto& [vm, source] : demand.sources_) {
            if (now - source.at_ <= timing_.validity_)
                sum += source.told_.tokensPerSecond_;
        }
        // Before the first request there is no demand to speak of, rather than none.
        if (sum <= 0 && !demand.firstAt_)
            continue;
        if (!demand.firstAt_)
            demand.firstAt_ = now;
        demand.rates_.push_back({ now, sum });
        while (now - demand.rates_.front().at_ > timing_.memory_)
            demand.rates_.pop_front();
    }
}

std::optional<double> DemandBook::peakRate(const ServiceName& service, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = demand_.find(service);
    if (found == demand_.end() || !found->second.firstAt_ || now - *found->second.firstAt_ < timing_.window_)
        return std::nullopt;
    double peak = 0;
    for (const Reading& reading : found->second.rates_)
        peak = std::max(peak, reading.tokens_);
    return peak;
}

} // namespace pistachioloom
