//===- lib/Gateway/NodeGroupSums.cpp - sums of one group of nodes ---------===//
///
/// \file
/// See NodeGroupSums.h.
//===----------------------------------------------------------------------===//
#include "NodeGroupSums.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    // A source is unresponsive after five missing reports in a row. A lost datagram or a
    // slow VM causes one or two.
    constexpr milliseconds sourceTimeout { 1000 };
    // Other nodes receive the reports of a node within this time after its start, which
    // is also the maximum time for which quotas are divided equally after a start.
    constexpr milliseconds maxFreshCountAge { 3000 };
    // A group that is unresponsive for longer has stopped, rather than being cut off.
    constexpr milliseconds unresponsiveRetention { 10000 };
    // A source replaces the active one if its sums contain more than this many times the
    // nodes of the active source, which then receives the reports of only a part of the
    // nodes.
    constexpr double replacementRatio = 1.25;

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

bool areCountsFresh(std::uint64_t countedMs)
{
    // Zero means that a node of an earlier version did not report the time.
    return countedMs && milliseconds(countedMs) <= maxFreshCountAge;
}

bool NodeGroupSums::isLive(const Source& source, SteadyTime now) const
{
    return now - source.receivedAt_ <= sourceTimeout;
}

void NodeGroupSums::chooseActiveSource(SteadyTime now)
{
    auto active = sources_.find(activeSource_);
    bool hasActiveSource = active != sources_.end() && isLive(active->second, now);
    double bound = hasActiveSource ? replacementRatio * static_cast<double>(active->second.sums_.nodes()) : -1;
    for (const auto& [vm, source] : sources_) {
        auto nodes = static_cast<double>(source.sums_.nodes());
        if (!isLive(source, now) || nodes <= bound)
            continue;
        activeSource_ = vm;
        bound = nodes;
    }
}

bool NodeGroupSums::applySums(const VmId& vm, std::uint64_t incarnation, const wire::NodeSums& sums, SteadyTime now)
{
    std::erase_if(sources_, [&](const auto& entry) { return !isLive(entry.second, now) && entry.first != vm; });
    Source& source = sources_[vm];
    // At the first report of a source there are no earlier counts of it to compare with.
    bool isSameIncarnation = source.receivedAt_ != SteadyTime {} && source.incarnation_ == incarnation;
    // The counts since a node's start are new if no source of the group has reported
    // before, or if the active source is the same node before its restart.
    bool countsFromStart = areCountsFresh(sums.counted_ms()) && (lastReceivedAt_ == SteadyTime {} || (source.receivedAt_ != SteadyTime {} && activeSource_ == vm));
    Source before = std::move(source);
    source = { incarnation, now, sums };
    chooseActiveSource(now);
    if (activeSource_ != vm)
        return false;
    lastNodeCount_ = sums.nodes();
    lastReceivedAt_ = now;
    if (isSameIncarnation)
        addGrowth(admitted_, admittedOf(before.sums_), admittedOf(sums));
    else if (countsFromStart)
        addGrowth(admitted_, {}, admittedOf(sums));
    return true;
}

void NodeGroupSums::keepOnly(const std::vector<VmId>& requested, SteadyTime now)
{
    std::erase_if(sources_, [&](const auto& entry) { return std::find(requested.begin(), requested.end(), entry.first) == requested.end(); });
    chooseActiveSource(now);
}

const wire::NodeSums* NodeGroupSums::current(SteadyTime now) const
{
    auto active = sources_.find(activeSource_);
    if (active == sources_.end() || !isLive(active->second, now))
        return nullptr;
    return &active->second.sums_;
}

SteadyTime NodeGroupSums::currentReceivedAt() const
{
    auto active = sources_.find(activeSource_);
    return active == sources_.end() ? SteadyTime {} : active->second.receivedAt_;
}

std::uint64_t NodeGroupSums::unresponsiveNodes(SteadyTime now) const
{
    if (const wire::NodeSums* sums = current(now))
        return sums->silent_nodes();
    return now - lastReceivedAt_ <= unresponsiveRetention ? lastNodeCount_ : 0;
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
