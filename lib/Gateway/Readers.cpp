//===- lib/Gateway/Readers.cpp - which nodes read from the platform --------===//
///
/// \file
/// See Readers.h.
//===----------------------------------------------------------------------===//
#include "Readers.h"

#include <algorithm>

namespace pistachioloom {

// What the order of readers is drawn for.
static constexpr std::string_view readersKey = "readers";

bool shouldRead(const VmId& self, const DataCentreId& dataCentre, const std::vector<ReaderView>& peers, std::uint64_t readers)
{
    std::vector<VmId> all { self };
    std::vector<VmId> near { self };
    for (const ReaderView& peer : peers) {
        if (peer.isStopping_ || peer.isPlatformLost_)
            continue;
        all.push_back(peer.vm_);
        if (peer.dataCentre_ == dataCentre)
            near.push_back(peer.vm_);
    }
    if (pickByRendezvous(readersKey, near) == self)
        return true;
    std::vector<VmId> ranked = rankByRendezvous(readersKey, all);
    auto last = ranked.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(ranked.size(), readers));
    return std::find(ranked.begin(), last, self) != last;
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
