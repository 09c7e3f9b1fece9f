//===- lib/Gateway/Discovery.h - how nodes find each other ----------------===//
///
/// \file
/// In a large fleet no node introduces itself to all others simultaneously. Discovery
/// selects the nodes to which a node introduces itself in each period, and the nodes
/// that it advertises to others, so that all nodes know the relays of their data centre
/// soon after a start. The class does no I/O and takes the time as a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "PeerTable.h"

#include <deque>
#include <set>

namespace pistachioloom {

/// How many other nodes a report advertises; Discovery.cpp defines the numbers.
enum class AdvertisedPeers {
    Few,
    Many,
};

class Discovery {
public:
    /// \p table must outlive this object.
    Discovery(const PeerTable& table, const VmId& self, DataCentreId ownDataCentre, GossipSettings settings);

    /// Queues an answer to \p vm, which reported for the first time since its start or
    /// the start of this node, or took this node for a relay. The answer introduces
    /// this node to \p vm and advertises the relays that this node knows.
    void queueAnswer(const VmId& vm);
    /// Nodes that wait for an answer, and nodes that can answer them now.
    struct Referral {
        std::vector<Endpoint> receivers_;
        /// Receive an answer of this node in the same period, so that they know the relays
        /// when the receivers introduce themselves to them.
        std::vector<KnownPeer> answered_;
    };
    struct Receivers {
        /// Receive an introduction of this node.
        std::vector<Endpoint> introduced_;
        /// Receive an introduction and relaysToAdvertise().
        std::vector<Endpoint> answered_;
        /// Their receivers receive Referral::answered_ only. An introduction of this node
        /// would make each of them send an answer, and take this node for a relay.
        std::vector<Referral> referrals_ {};
    };
    /// Returns the receivers of introductions in this period. \p unseenSeeds are the
    /// configured seeds that have not reported yet.
    Receivers receivers(const std::vector<Endpoint>& unseenSeeds);
    /// Returns the relays of all data centres that this node knows. A new node finds the
    /// relays of its data centre among them, whichever node it asks.
    std::vector<KnownPeer> relaysToAdvertise(SteadyTime now) const;
    /// Returns the nodes to advertise in a digest: all readers, the relays of this data
    /// centre, and its other nodes in rotation. A node that requests digests from a node
    /// that is no relay learns the relays from its digest.
    std::vector<KnownPeer> membersToAdvertise(SteadyTime now);
    /// Returns the nodes to advertise in a report. They rotate as \p cursor grows, so
    /// that nodes which know different peers find each other.
    std::vector<KnownPeer> peersToAdvertise(AdvertisedPeers amount, std::size_t cursor, SteadyTime now) const;
    /// Returns the nodes in \p dataCentre to which a relay sends its sums. \p reporting
    /// are the nodes of \p dataCentre that sent sums recently: they are relays there, or
    /// were a moment ago.
    std::set<VmId> summaryReceivers(const DataCentreId& dataCentre, const std::vector<VmId>& reporting, SteadyTime now) const;

private:
    struct UnansweredNode {
        VmId vm_;
        bool isReferred_ = false;
    };

    void addRelays(const DataCentreId& dataCentre, std::vector<KnownPeer>& relays, SteadyTime now) const;
    /// Removes the next nodes from the queue of answers, and returns them.
    std::vector<KnownPeer> takeUnanswered();
    /// Refers nodes that remain in the queue of answers to nodes among \p answered. Each
    /// node is referred once, and stays in the queue since a referral may be lost.
    std::vector<Referral> referUnanswered(const std::vector<KnownPeer>& answered);
    /// Returns endpoints of nodes among \p peers that have not reported yet, in rotation.
    std::vector<Endpoint> nextUnseen(const std::vector<KnownPeer>& peers);

    const PeerTable& table_;
    const DataCentreId ownDataCentre_;
    const GossipSettings settings_;
    /// Nodes to which an answer is due, each of them once. They are answered only while
    /// the fleet is large.
    std::deque<UnansweredNode> unanswered_;
    /// Start offsets into lists that are the same on all nodes. They differ by node: if
    /// all nodes began with the same entries, the last ones would receive no introduction
    /// for a long time.
    std::size_t receiverCursor_;
    std::size_t unseenCursor_;
    std::size_t memberCursor_ = 0;
    std::size_t digestCount_ = 0;
};

} // namespace pistachioloom
