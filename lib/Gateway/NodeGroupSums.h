//===- lib/Gateway/NodeGroupSums.h - what a group of nodes told, from relays ----===//
///
/// \file
/// Several relays may tell the sums of the same nodes. One of them counts at a
/// time, so that nothing counts twice; the others are followed beside it, so that
/// nothing is lost when one of them takes its place. Pure: time comes in.
//===----------------------------------------------------------------------===//
#pragma once

#include "generated/Peer.pb.h"
#include "pistachioloom/Support.h"

#include <map>
#include <vector>

namespace pistachioloom {

/// Counters by name: of an organisation, or of a service.
using NamedCounts = std::map<std::string, double>;

/// Whether counts that began \p countedMs ago count whole when they are first heard:
/// all of them are of the last seconds.
bool isFresh(std::uint64_t countedMs);

class NodeGroupSums {
public:
    /// Takes what \p source told; \p incarnation changes with its restart.
    /// \returns whether it is the source that counts now.
    bool applySums(const VmId& source, std::uint64_t incarnation, const wire::NodeSums& sums, SteadyTime now);
    /// Forgets sources that are not among \p requested: what they tell no longer grows.
    void keepOnly(const std::vector<VmId>& requested, SteadyTime now);
    /// The newest sums of the source that counts; nullptr if it is silent.
    const wire::NodeSums* current(SteadyTime now) const;
    /// When those sums were heard.
    SteadyTime currentReceivedAt() const;
    /// Nodes of the group that are heard no more, though they were a moment ago.
    std::uint64_t unresponsiveNodes(SteadyTime now) const;
    /// Sources heard lately.
    std::vector<VmId> liveSources(SteadyTime now) const;
    /// What was admitted of each organisation's quota since this group was first
    /// heard; grows on whatever source counts.
    const NamedCounts& admitted() const { return admitted_; }

private:
    struct Source {
        std::uint64_t incarnation_ = 0;
        SteadyTime receivedAt_ {};
        wire::NodeSums sums_;
    };

    bool isLive(const Source& source, SteadyTime now) const;
    void chooseActiveSource(SteadyTime now);

    std::map<VmId, Source> sources_;
    VmId activeSource_;
    std::uint64_t lastNodes_ = 0;
    SteadyTime lastReceivedAt_ {};
    NamedCounts admitted_;
};

} // namespace pistachioloom
