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

/// The nodes of \p cores, best first.
static std::vector<VmId> rankReaders(const std::map<VmId, double>& cores)
{
    std::vector<VmId> candidates;
    for (const auto& entry : cores)
        candidates.push_back(entry.first);
    std::vector<VmId> ranked = rankByRendezvous(readersKey, candidates);
    std::stable_sort(ranked.begin(), ranked.end(), [&](const VmId& left, const VmId& right) { return cores.at(left) > cores.at(right); });
    return ranked;
}

bool shouldRead(const ReaderView& self, const std::vector<ReaderView>& peers, std::uint64_t readers)
{
    std::map<VmId, double> all { { self.vm_, self.cores_ } };
    std::map<VmId, double> near = all;
    for (const ReaderView& peer : peers) {
        if (peer.isStopping_ || peer.isPlatformLost_)
            continue;
        all[peer.vm_] = peer.cores_;
        if (peer.dataCentre_ == self.dataCentre_)
            near[peer.vm_] = peer.cores_;
    }
    if (rankReaders(near).front() == self.vm_)
        return true;
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
