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

// A node that starts hears of its first peers within a reporting period of 200 ms.
static constexpr milliseconds firstReportsTime { 300 };
// A node that hears of no peer within this time reads even if it is no seed: the seeds may
// have stopped.
static constexpr milliseconds maxWaitForPeers { 1000 };
// Number of nodes that need not spread their first calls.
static constexpr std::size_t unspreadNodes = 24;
// Upper bound of the mean pause after failures. It is short against the time within which
// nodes have to know a change after an outage of the platform.
static constexpr milliseconds maxReadPause { 1000 };

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

milliseconds spreadDelay(std::size_t nodes, double phase, milliseconds interval)
{
    std::size_t spread = nodes - std::min(nodes, unspreadNodes);
    return milliseconds(static_cast<std::int64_t>(phase * static_cast<double>(interval.count()) * static_cast<double>(spread)));
}

bool isStartTurn(const ColdStart& state, milliseconds interval)
{
    if (state.isFirstContact_)
        return true;
    if (state.uptime_ < (state.hasPeers_ ? firstReportsTime : maxWaitForPeers))
        return false;
    return state.uptime_ >= firstReportsTime + spreadDelay(state.knownNodes_, state.phase_, interval);
}

ReadBackoff::ReadBackoff(milliseconds initial)
    : initial_(initial)
{
}

milliseconds ReadBackoff::nextPause(std::uint64_t draw)
{
    milliseconds mean = std::min(maxReadPause, milliseconds(initial_ * (1LL << failures_)));
    if (mean < maxReadPause)
        ++failures_;
    return jitter(mean, draw);
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
