//===- lib/Gateway/Discovery.h - how nodes come to know each other --------===//
///
/// \file
/// In a large fleet no node tells all others of itself at once. This decides whom a
/// node introduces itself to in each period, and which nodes it names to others, so
/// that all know the relays of their data centre soon after a start. Pure: time comes
/// in, receivers and names go out.
//===----------------------------------------------------------------------===//
#pragma once

#include "PeerTable.h"

#include <deque>
#include <set>

namespace pistachioloom {

/// How many other nodes a report names.
enum class AdvertisedPeers {
    Few,
    Many,
};

class Discovery {
public:
    /// \p table outlives it.
    Discovery(const PeerTable& table, const VmId& self, DataCentreId own, GossipSettings settings);

    /// \p vm is to be answered: it was heard for the first time since its start or
    /// this node's, or took this node for a relay. It then knows this node and the
    /// relays here.
    void queueAnswer(const VmId& vm);
    struct Receivers {
        /// They are told of this node.
        std::vector<Endpoint> introduced_;
        /// They are told of it and of relaysToAdvertise().
        std::vector<Endpoint> answered_;
    };
    /// Whom to tell of this node in this period. \p unseenSeeds were given by the
    /// settings and not heard yet.
    Receivers receivers(const std::vector<Endpoint>& unseenSeeds);
    /// The relays of all data centres, as far as this node knows: a node that is new
    /// finds its own among them, whomever it asks.
    std::vector<KnownPeer> relaysToAdvertise(SteadyTime now) const;
    /// Nodes to name in a digest: all that read from the platform, the relays of this
    /// data centre, and others of it in turn. Who asks a node that is no relay learns
    /// from its answer which ones are.
    std::vector<KnownPeer> membersToAdvertise(SteadyTime now);
    /// Nodes to name in a report, in turn as \p cursor grows, so that nodes which know
    /// different ones find each other.
    std::vector<KnownPeer> peersToAdvertise(AdvertisedPeers amount, std::size_t cursor, SteadyTime now) const;
    /// Whom a relay tells its sums in \p dataCentre. \p reporting told theirs lately:
    /// they are relays there, or were a moment ago.
    std::set<VmId> summaryReceivers(const DataCentreId& dataCentre, const std::vector<VmId>& reporting, SteadyTime now) const;

private:
    void addRelays(const DataCentreId& dataCentre, std::vector<KnownPeer>& relays, SteadyTime now) const;
    std::vector<Endpoint> takeUnanswered();
    std::vector<Endpoint> nextUnseen(const std::vector<KnownPeer>& peers);

    const PeerTable& table_;
    const DataCentreId own_;
    const GossipSettings settings_;
    /// Each node once; in a small fleet nobody is answered.
    std::deque<VmId> unanswered_;
    /// Where this node begins in lists that are alike on all nodes: if all began with
    /// the same nodes, the last ones were heard by nobody for long.
    std::size_t receiverCursor_;
    std::size_t unseenCursor_;
    std::size_t memberCursor_ = 0;
    std::size_t digestCount_ = 0;
};

} // namespace pistachioloom
