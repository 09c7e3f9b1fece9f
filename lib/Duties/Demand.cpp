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

void DemandBook::setSource(const VmId& vm, std::uint64_t incarnation, const ServiceName& service, const DemandTold& told)
{
    std::lock_guard lock(mutex_);
    Source& source = sources_[{ service, vm }];
    std::uint64_t before = source.incarnation_ == incarnation ? source.told_.asked_.value_ : 0;
    if (told.asked_.value_ > before)
        totals_[service] += static_cast<double>(told.asked_.value_ - before);
    source = { incarnation, told };
}

void DemandBook::forgetSource(const VmId& vm)
{
    std::lock_guard lock(mutex_);
    std::erase_if(sources_, [&](const auto& entry) { return entry.first.second == vm; });
}

double DemandBook::prefillPerMs(const ServiceName& service, double fallback) const
{
    std::lock_guard lock(mutex_);
    double sum = 0;
    double weights = 0;
    for (auto entry = sources_.lower_bound({ service, {} }); entry != sources_.end() && entry->first.first == service; ++entry) {
        const DemandTold& told = entry->second.told_;
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
    for (const auto& [service, total] : totals_) {
        // Before the first request there is no demand to speak of, rather than none.
        if (total <= 0)
            continue;
        std::vector<Reading>& readings = readings_[service];
        readings.push_back({ now, total });
        std::erase_if(readings, [&](const Reading& reading) { return now - reading.at_ > timing_.memory_ + timing_.window_; });
    }
}

std::optional<double> DemandBook::peakRate(const ServiceName& service, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = readings_.find(service);
    if (found == readings_.end())
        return std::nullopt;
    std::optional<double> peak;
    const std::vector<Reading>& readings = found->second;
    std::size_t begin = 0;
    for (const Reading& end : readings) {
        while (end.at_ - readings[begin + 1].at_ >= timing_.window_)
            ++begin;
        auto span = std::chrono::duration<double>(end.at_ - readings[begin].at_).count();
        if (end.at_ - readings[begin].at_ < timing_.window_ || now - end.at_ > timing_.memory_)
            continue;
        peak = std::max(peak.value_or(0), (end.tokens_ - readings[begin].tokens_) / span);
    }
    return peak;
}

} // namespace pistachioloom
