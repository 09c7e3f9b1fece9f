//===- lib/Gateway/NodeGroupSums.cpp - what a group of nodes told, from relays --===//
///
/// \file
/// See NodeGroupSums.h.
//===----------------------------------------------------------------------===//
#include "NodeGroupSums.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    // Five reports in a row are missing: a lost datagram or a slow VM loses one
    // or two.
    constexpr milliseconds sourceSilence { 1000 };
    // Within this time of a node's start others hear of it: as long as quotas are
    // divided after a start at most.
    constexpr milliseconds freshCounts { 3000 };
    // A group that is silent for longer has stopped, rather than been cut off.
    constexpr milliseconds silenceCounted { 10000 };
    // A source that sums so many times the nodes of the one that counts takes its
    // place: that one hears only a part of them.
    constexpr double moreNodes = 1.25;

    NamedCounts admittedOf(const wire::NodeSums& sums)
    {
        NamedCounts counts;
        for (const wire::QuotaReport& quota : sums.quotas())
            counts[quota.organisation()] = quota.admitted();
        return counts;
    }

    void addGrowth(NamedCounts& totals, const NamedCounts& before, const NamedCounts& after)
    {
        for (const auto& [name, count] : after) {
            auto found = before.find(name);
            totals[name] += count - (found == before.end() ? 0 : found->second);
        }
    }

} // namespace

bool isFresh(std::uint64_t countedMs)
{
    // Not told: a node of an earlier version.
    return countedMs && milliseconds(countedMs) <= freshCounts;
}

bool NodeGroupSums::isLive(const Source& source, SteadyTime now) const
{
    return now - source.receivedAt_ <= sourceSilence;
}

void NodeGroupSums::chooseCounting(SteadyTime now)
{
    auto counting = sources_.find(counting_);
    bool hasOne = counting != sources_.end() && isLive(counting->second, now);
    double bound = hasOne ? moreNodes * static_cast<double>(counting->second.sums_.nodes()) : -1;
    for (const auto& [vm, source] : sources_) {
        auto nodes = static_cast<double>(source.sums_.nodes());
        if (!isLive(source, now) || nodes <= bound)
            continue;
        counting_ = vm;
        bound = nodes;
    }
}

bool NodeGroupSums::take(const VmId& vm, std::uint64_t incarnation, const wire::NodeSums& sums, SteadyTime now)
{
    std::erase_if(sources_, [&](const auto& entry) { return !isLive(entry.second, now) && entry.first != vm; });
    Source& source = sources_[vm];
    // The counts of a source that has just been heard cannot be compared yet.
    bool isFollowed = source.receivedAt_ != SteadyTime {} && source.incarnation_ == incarnation;
    // What a node counted since its start is new where none of its group was heard
    // before, or the node itself as it was before its restart.
    bool isNew = isFresh(sums.counted_ms()) && (lastReceivedAt_ == SteadyTime {} || (source.receivedAt_ != SteadyTime {} && counting_ == vm));
    Source before = std::move(source);
    source = { incarnation, now, sums };
    chooseCounting(now);
    if (counting_ != vm)
        return false;
    lastNodes_ = sums.nodes();
    lastReceivedAt_ = now;
    if (isFollowed)
        addGrowth(admitted_, admittedOf(before.sums_), admittedOf(sums));
    else if (isNew)
        addGrowth(admitted_, {}, admittedOf(sums));
    return true;
}

void NodeGroupSums::keepOnly(const std::vector<VmId>& asked, SteadyTime now)
{
    std::erase_if(sources_, [&](const auto& entry) { return std::find(asked.begin(), asked.end(), entry.first) == asked.end(); });
    chooseCounting(now);
}

const wire::NodeSums* NodeGroupSums::current(SteadyTime now) const
{
    auto counting = sources_.find(counting_);
    if (counting == sources_.end() || !isLive(counting->second, now))
        return nullptr;
    return &counting->second.sums_;
}

SteadyTime NodeGroupSums::currentReceivedAt() const
{
    auto counting = sources_.find(counting_);
    return counting == sources_.end() ? SteadyTime {} : counting->second.receivedAt_;
}

std::uint64_t NodeGroupSums::unresponsiveNodes(SteadyTime now) const
{
    if (const wire::NodeSums* sums = current(now))
        return sums->silent_nodes();
    return now - lastReceivedAt_ <= silenceCounted ? lastNodes_ : 0;
}

std::vector<VmId> NodeGroupSums::liveSources(SteadyTime now) const
{
    std::vector<VmId> live;
    for (const auto& [vm, source] : sources_) {
        if (isLive(source, now))
            live.push_back(vm);
    }
    return live;
}

} // namespace pistachioloom
