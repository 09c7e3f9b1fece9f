//===- lib/Gateway/Readers.cpp - which nodes read from the platform --------===//
///
/// \file
/// See Readers.h.
//===----------------------------------------------------------------------===//
#include "Readers.h"

#include <algorithm>
#include <map>

namespace pistachioloom {

// What the order of readers is drawn for.
static constexpr std::string_view readersKey = "readers";
// Where so many nodes were turned away the platform is away, rather than they: no other
// one tries, or all nodes of a large fleet would call a platform that is overloaded.
static constexpr std::size_t mostTurnedAway = 6;

static std::vector<VmId> drawReaders(const std::map<VmId, ReaderView>& candidates)
{
    std::vector<VmId> vms;
    for (const auto& entry : candidates)
        vms.push_back(entry.first);
    return rankByRendezvous(readersKey, vms);
}

/// The nodes of \p candidates, best first.
static std::vector<VmId> rankReaders(const std::map<VmId, ReaderView>& candidates)
{
    std::vector<VmId> ranked = drawReaders(candidates);
    std::stable_sort(ranked.begin(), ranked.end(), [&](const VmId& left, const VmId& right) { return candidates.at(left).cores_ > candidates.at(right).cores_; });
    return ranked;
}

/// Whether \p self reads for its data centre. A node of an older version goes by the
/// draw alone, so that the best may not know that it is: then the first drawn reads.
/// Without this a fleet of both versions could be without a reader.
static bool isFirst(const VmId& self, const std::map<VmId, ReaderView>& near)
{
    VmId best = rankReaders(near).front();
    return best == self || (!near.at(best).isReader_ && drawReaders(near).front() == self);
}

bool shouldRead(const ReaderView& self, const std::vector<ReaderView>& peers, std::uint64_t readers)
{
    std::map<VmId, ReaderView> all { { self.vm_, self } };
    std::map<VmId, ReaderView> near = all;
    std::size_t turnedAway = 0;
    std::size_t turnedAwayNear = 0;
    for (const ReaderView& peer : peers) {
        bool isNear = peer.dataCentre_ == self.dataCentre_;
        turnedAway += peer.isPlatformLost_;
        turnedAwayNear += isNear && peer.isPlatformLost_;
        if (peer.isStopping_ || peer.isPlatformLost_)
            continue;
        all[peer.vm_] = peer;
        if (isNear)
            near[peer.vm_] = peer;
    }
    if (turnedAwayNear < mostTurnedAway && isFirst(self.vm_, near))
        return true;
    if (turnedAway >= mostTurnedAway)
        return false;
    std::vector<VmId> ranked = rankReaders(all);
    auto last = ranked.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(ranked.size(), readers));
    return std::find(ranked.begin(), last, self.vm_) != last;
}

bool haveAllReadersLost(const std::vector<ReaderView>& peers)
{
    bool hasLost = false;
    for (const ReaderView& peer : peers) {
        if (peer.isReader_ && !peer.isPlatformLost_)
            return false;
        hasLost |= peer.isPlatformLost_;
    }
    return hasLost;
}

} // namespace pistachioloom
