//===- lib/Gateway/Readers.cpp - nodes that poll the platform -------------===//
///
/// \file
/// See Readers.h.
//===----------------------------------------------------------------------===//
#include "Readers.h"

#include <algorithm>
#include <map>

namespace pistachioloom {

// Key of the rendezvous order of readers.
static constexpr std::string_view readersKey = "readers";
// If the platform rejects at least this many nodes, the platform counts as unavailable,
// and the nodes do not count as faulty. No further node reads in that case: otherwise all
// nodes of a large fleet would call an overloaded platform.
static constexpr std::size_t maxFailedReaders = 6;

static std::vector<VmId> rankByHash(const std::map<VmId, ReaderState>& candidates)
{
    std::vector<VmId> vms;
    for (const auto& entry : candidates)
        vms.push_back(entry.first);
    return rankByRendezvous(readersKey, vms);
}

/// Ranks the nodes of \p candidates by CPU cores and then by rendezvous hashing, best
/// first.
static std::vector<VmId> rankReaders(const std::map<VmId, ReaderState>& candidates)
{
    std::vector<VmId> ranked = rankByHash(candidates);
    std::stable_sort(ranked.begin(), ranked.end(), [&](const VmId& left, const VmId& right) { return candidates.at(left).cores_ > candidates.at(right).cores_; });
    return ranked;
}

/// Returns whether \p self reads for its data centre. A node of an older version ranks by
/// rendezvous hashing alone, so that the best node may be such a node and not know that
/// it is the best. While the best node does not report that it reads, the first node by
/// hashing reads. Otherwise a data centre with nodes of both versions could be without a
/// reader.
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
