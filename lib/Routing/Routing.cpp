//===- lib/Routing/Routing.cpp - estimates and ranking of engines ----------===//
///
/// \file
/// Implements the estimates, the ranking and the sampling of candidate engines.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Routing.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    constexpr std::size_t blockBytes = 256;
    constexpr std::size_t maxBlocks = 64;

} // namespace

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = 0;
    for (std::size_t begin = 0; begin < prompt.size() && blocks.size() < maxBlocks; begin += blockBytes) {
        hash = stableHash(prompt.substr(begin, blockBytes), hash);
        blocks.push_back(hash);
    }
    return blocks;
}

static milliseconds estimateFirstToken(const EngineCandidate& candidate, const RoutingParameters& parameters)
{
    // Requests sent by this node since the report already occupy free slots.
    std::uint32_t free = candidate.load_.freeSlots_ > candidate.sentSinceReport_ ? candidate.load_.freeSlots_ - candidate.sentSinceReport_ : 0;
    milliseconds wait = candidate.load_.wait_;
    bool canPreempt = parameters.isPaid_ && candidate.load_.freeSlots_ + candidate.load_.trialSlots_ > candidate.sentSinceReport_;
    if (!free && canPreempt)
        wait = parameters.yieldTime_;
    else if (!free)
        wait = std::max(wait, parameters.serviceTime_ * (1 + candidate.load_.queued_));
    // Only the highest-ranked engine for the prefix is assumed to have it
    // cached, so that a quarter of the prefill time is left.
    milliseconds prefill = candidate.prefixRank_ ? parameters.prefillTime_ : parameters.prefillTime_ / 4;
    return wait + prefill + candidate.networkLatency_;
}

std::vector<EngineCandidate> rankEngines(std::vector<EngineCandidate> candidates, const RoutingParameters& parameters)
{
    for (EngineCandidate& candidate : candidates)
        candidate.estimate_ = estimateFirstToken(candidate, parameters);
    auto isBetter = [&](const EngineCandidate& left, const EngineCandidate& right) {
        bool leftMeetsTarget = left.estimate_ <= parameters.latencyTarget_;
        bool rightMeetsTarget = right.estimate_ <= parameters.latencyTarget_;
        if (leftMeetsTarget != rightMeetsTarget)
            return leftMeetsTarget;
        if (leftMeetsTarget && left.isLocal_ != right.isLocal_)
            return left.isLocal_;
        if (leftMeetsTarget && left.prefixRank_ != right.prefixRank_ && (!left.prefixRank_ || !right.prefixRank_))
            return !left.prefixRank_;
        if (leftMeetsTarget && left.pricePerHour_ != right.pricePerHour_)
            return left.pricePerHour_ < right.pricePerHour_;
        return left.estimate_ < right.estimate_;
    };
    std::stable_sort(candidates.begin(), candidates.end(), isBetter);
    return candidates;
}

std::vector<VmId> sampleEngines(std::uint64_t prefix, const std::vector<VmId>& engines, std::size_t topRanked, std::size_t others, const std::function<std::uint64_t()>& nextRandom)
{
    std::vector<VmId> ranked = rankByRendezvous(std::to_string(prefix), engines);
    std::size_t kept = std::min(topRanked, ranked.size());
    std::vector<VmId> sample(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept));
    for (std::size_t i = 0; i < others && kept < ranked.size(); ++i, ++kept) {
        std::size_t pick = kept + nextRandom() % (ranked.size() - kept);
        std::swap(ranked[kept], ranked[pick]);
        sample.push_back(ranked[kept]);
    }
    return sample;
}

} // namespace pistachioloom
