//===- lib/Gateway/RequestShares.cpp - shares of a server's request limit -===//
///
/// \file
/// See RequestShares.h.
//===----------------------------------------------------------------------===//
#include "RequestShares.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

namespace {

    // Number of nodes that share the smallest limit. Several are needed since one of them may
    // get no requests.
    constexpr double minHolders = 3;
    // A share admits at once what it allows in this part of a second.
    constexpr double burstSeconds = 0.5;

} // namespace

std::uint64_t slotShare(std::uint64_t slots, const BackendId& backend, const VmId& self, const SharingNodes& nodes)
{
    if (std::find(nodes.live_.begin(), nodes.live_.end(), self) == nodes.live_.end())
        return 0;
    std::size_t sharers = std::max(nodes.known_, nodes.live_.size());
    std::size_t rank = rendezvousRankOf(self, "slots/" + backend.value_, nodes.live_);
    return slots / sharers + (rank < slots % sharers);
}

RequestShare requestShare(double limit, const BackendId& backend, const VmId& self, const SharingNodes& nodes)
{
    if (limit <= 0 || std::find(nodes.live_.begin(), nodes.live_.end(), self) == nodes.live_.end())
        return {};
    auto holders = static_cast<std::size_t>(std::min(static_cast<double>(nodes.live_.size()), std::floor(limit) + minHolders));
    if (rendezvousRankOf(self, "request limit/" + backend.value_, nodes.live_) >= holders)
        return {};
    double part = static_cast<double>(nodes.live_.size()) / static_cast<double>(std::max(nodes.known_, nodes.live_.size()));
    double rate = limit * part / static_cast<double>(holders);
    return { rate, std::max(1.0, rate * burstSeconds) };
}

} // namespace pistachioloom
