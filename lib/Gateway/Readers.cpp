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
static constexpr std::size_t maxFailedReaders = 6;

static std::vector<VmId> rankByHash(const std::map<VmId, ReaderState>& candidates)
{
    std::vector<VmId> vms;
    for (const auto& entry : candidates)
        vms.push_back(entry.first);
    return rankByRendezvous(readersKey, vms);
}

/// The nodes of \p candidates, best first.
static std::vector<VmId> rankReaders(const std::map<VmId, ReaderState>& candidates)
{
    std::vector<VmId> ranked = rankByHash(candidates);
    std::stable_sort(ranked.begin(), ranked.end(), [&](const VmId& left, const VmId& right) { return candidates.at(left).cores_ > candidates.at(right).cores_; });
    return ranked;
}

/// Whether \p self reads for its data centre. A node of an older version goes by the
/// draw alone, so that the best may not know that it is: then the first drawn reads.
/// Without this a fleet of both versions could be without a reader.
static bool isDataCentreReader(const VmId& self, const std::map<VmId, ReaderState>& local)
{
    VmId best = rankReaders(local).front();
    return best == self || (!local.at(best).isReader_ && rankByHash(local).front() == self);
}

bool shouldRead(const ReaderState& self, const std::vector<ReaderState>& peers, std::uint64_t readers)
{
    std::map<VmId, ReaderState> all { { self.vm_, self } };
    std::map<VmId, ReaderState> local = all;
    std::size_t failed = 0;
    std::size_t failedLocal = 0;
    for (const ReaderState& peer : peers) {
        bool isLocal = peer.dataCentre_ == self.dataCentre_;
        failed += peer.isPlatformUnavailable_;
        failedLocal += isLocal && peer.isPlatformUnavailable_;
        if (peer.isStopping_ || peer.isPlatformUnavailable_)
            continue;
        all[peer.vm_] = peer;
        if (isLocal)
            local[peer.vm_] = peer;
    }
    if (failedLocal < maxFailedReaders && isDataCentreReader(self.vm_, local))
        return true;
    if (failed >= maxFailedReaders)
        return false;
    std::vector<VmId> ranked = rankReaders(all);
    auto last = ranked.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(ranked.size(), readers));
    return std::find(ranked.begin(), last, self.vm_) != last;
}

bool haveAllReadersFailed(const std::vector<ReaderState>& peers)
{
    bool hasFailed = false;
    for (const ReaderState& peer : peers) {
        if (peer.isReader_ && !peer.isPlatformUnavailable_)
            return false;
        hasFailed |= peer.isPlatformUnavailable_;
    }
    return hasFailed;
}

} // namespace pistachioloom
