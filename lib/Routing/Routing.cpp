//===- lib/Routing/Routing.cpp - estimates and the prefix index ------------===//
///
/// \file
/// See Routing.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Routing.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    constexpr std::size_t blockBytes = 256;
    constexpr std::size_t mostBlocks = 64;

} // namespace

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = 0;
    for (std::size_t begin = 0; begin < prompt.size() && blocks.size() < mostBlocks; begin += blockBytes) {
        hash = stableHash(prompt.substr(begin, blockBytes), hash);
        blocks.push_back(hash);
    }
    return blocks;
}

static milliseconds estimateFirstToken(const EngineCandidate& candidate, const RoutingCost& cost)
{
    // Our own sends since the report have taken free slots already.
    std::uint32_t free = candidate.load_.freeSlots_ > candidate.sentSince_ ? candidate.load_.freeSlots_ - candidate.sentSince_ : 0;
    milliseconds wait = candidate.load_.wait_;
    bool canPreempt = cost.isPaid_ && candidate.load_.freeSlots_ + candidate.load_.trialSlots_ > candidate.sentSince_;
    if (!free && canPreempt)
        wait = cost.yieldTime_;
    else if (!free)
        wait = std::max(wait, cost.serviceTime_ * (1 + candidate.load_.queued_));
    // Only the prefix's favourite is believed to have it cached.
    milliseconds prefill = candidate.prefixRank_ ? cost.prefill_ : cost.prefill_ / 4;
    return wait + prefill + candidate.network_;
}

std::vector<EngineCandidate> rankEngines(std::vector<EngineCandidate> candidates, const RoutingCost& cost)
{
    for (EngineCandidate& candidate : candidates)
        candidate.estimate_ = estimateFirstToken(candidate, cost);
    auto isBetter = [&](const EngineCandidate& left, const EngineCandidate& right) {
        bool leftMeets = left.estimate_ <= cost.latencyTarget_;
        bool rightMeets = right.estimate_ <= cost.latencyTarget_;
        if (leftMeets != rightMeets)
            return leftMeets;
        if (leftMeets && left.isLocal_ != right.isLocal_)
            return left.isLocal_;
        if (leftMeets && left.prefixRank_ != right.prefixRank_ && (!left.prefixRank_ || !right.prefixRank_))
            return !left.prefixRank_;
        if (leftMeets && left.pricePerHour_ != right.pricePerHour_)
            return left.pricePerHour_ < right.pricePerHour_;
        return left.estimate_ < right.estimate_;
    };
    std::stable_sort(candidates.begin(), candidates.end(), isBetter);
    return candidates;
}

std::vector<VmId> sampleEngines(std::uint64_t prefix, const std::vector<VmId>& engines, std::size_t favourites, std::size_t others, const std::function<std::uint64_t()>& draws)
{
    std::vector<VmId> ranked = rankByRendezvous(std::to_string(prefix), engines);
    std::size_t kept = std::min(favourites, ranked.size());
    std::vector<VmId> sample(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept));
    for (std::size_t i = 0; i < others && kept < ranked.size(); ++i, ++kept) {
        std::size_t pick = kept + draws() % (ranked.size() - kept);
        std::swap(ranked[kept], ranked[pick]);
        sample.push_back(ranked[kept]);
    }
    return sample;
}

} // namespace pistachioloom
