//===- lib/Gateway/SourceHealth.cpp - peers whose streams fail ------------===//
///
/// \file
/// See SourceHealth.h.
//===----------------------------------------------------------------------===//
#include "SourceHealth.h"

#include <algorithm>

namespace pistachioloom {

// Time after which the failures of a peer are forgotten.
static constexpr milliseconds failureMemory { 4 * maxAvoidance };

void SourceHealth::noteAnswered(const VmId& peer)
{
    auto found = entries_.find(peer);
    if (found == entries_.end())
        return;
    found->second.failures_ = 0;
    found->second.avoidedUntil_ = {};
}

void SourceHealth::noteFailed(const VmId& peer, SteadyTime now)
{
    removeOld(now);
    Entry& entry = entries_[peer];
    milliseconds avoidance = std::min(maxAvoidance, milliseconds(initialAvoidance * (1LL << entry.failures_)));
    if (avoidance < maxAvoidance)
        ++entry.failures_;
    entry.avoidedUntil_ = now + avoidance;
}

void SourceHealth::markBusy(const VmId& peer, SteadyTime until)
{
    entries_[peer].busyUntil_ = until;
}

bool SourceHealth::isBusy(const VmId& peer, SteadyTime now) const
{
    auto found = entries_.find(peer);
    return found != entries_.end() && now < found->second.busyUntil_;
}

bool SourceHealth::isAvoided(const VmId& peer, SteadyTime now) const
{
    return now < avoidedUntil(peer);
}

SteadyTime SourceHealth::avoidedUntil(const VmId& peer) const
{
    auto found = entries_.find(peer);
    return found == entries_.end() ? SteadyTime {} : found->second.avoidedUntil_;
}

void SourceHealth::removeOld(SteadyTime now)
{
    std::erase_if(entries_, [&](const auto& entry) { return now - std::max(entry.second.avoidedUntil_, entry.second.busyUntil_) > failureMemory; });
}

} // namespace pistachioloom
