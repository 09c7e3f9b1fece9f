//===- lib/Gateway/NodeGroupSums.h - sums of one group of nodes -----------===//
///
/// \file
/// Several relays may report the sums of the same nodes. One of them, the active source,
/// counts at a time, so that nothing counts twice. The others are tracked at the same
/// time, so that nothing is lost when one of them becomes the active source. The class
/// does no I/O and takes the time as a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "generated/Peer.pb.h"
#include "pistachioloom/Support.h"

#include <map>
#include <vector>

namespace pistachioloom {

/// Counters by name, of an organisation or of a service.
using NamedCounts = std::map<std::string, double>;

/// Returns whether counts that began \p countedMs ago count in full when they are first
/// received, since they cover the last seconds only.
bool areCountsFresh(std::uint64_t countedMs);

class NodeGroupSums {
public:
    /// Applies the sums of \p source, whose \p incarnation changes with its restart.
    /// \returns whether it is the active source now.
    bool applySums(const VmId& source, std::uint64_t incarnation, const wire::NodeSums& sums, SteadyTime now);
    /// Drops sources that are not among \p requested, the relays to which this node
    /// reports; the counts of other relays no longer grow.
    void keepOnly(const std::vector<VmId>& requested, SteadyTime now);
    /// Returns the latest sums of the active source, or nullptr if it is unresponsive.
    const wire::NodeSums* current(SteadyTime now) const;
    /// Returns when the latest sums of the active source were received.
    SteadyTime currentReceivedAt() const;
    /// Returns the number of nodes of the group that became unresponsive recently.
    std::uint64_t unresponsiveNodes(SteadyTime now) const;
    /// Returns the sources that reported recently.
    std::vector<VmId> liveSources(SteadyTime now) const;
    /// Returns what was admitted of each organisation's quota since the first report of
    /// this group. The counts continue to grow when another source becomes active.
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
    /// Number of nodes in the latest sums of the group, and when they were received.
    std::uint64_t lastNodeCount_ = 0;
    SteadyTime lastReceivedAt_ {};
    NamedCounts admitted_;
};

} // namespace pistachioloom
