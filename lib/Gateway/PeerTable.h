//===- lib/Gateway/PeerTable.h - the nodes that this one knows -------------===//
///
/// \file
/// Who is there, who was heard when, and which nodes of a data centre sum its
/// reports. Every node decides alone, from what it hears. Thread-safe; time comes
/// in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Gateway.h"

namespace pistachioloom {

/// What a node says of itself, or what is said of it.
struct Peer {
    Endpoint gossip_;
    Endpoint peers_;
    /// Empty until it was heard.
    DataCentreId dataCentre_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t configurationVersion_ = 0;
    bool isStopping_ = false;
    bool isPlatformUnavailable_ = false;
    bool isReader_ = false;
    std::uint64_t registryFingerprint_ = 0;
    /// Processor cores of its VM.
    double cores_ = 0;
    SteadyTime receivedAt_ {};
};

using KnownPeer = std::pair<VmId, Peer>;

/// How much of the fleet a node's knowledge covers, itself included.
struct Coverage {
    /// Nodes whose work is told here now.
    std::uint64_t reported_ = 1;
    /// Nodes that are there as far as this one knows.
    std::uint64_t known_ = 1;

    /// Nearly all are heard; the rest may be starting or gone.
    bool isComplete() const;
    /// More than half of them are heard: at most one part of a fleet that is cut in
    /// several has them.
    bool hasMajority() const;
};

class PeerTable {
public:
    enum class ReportKind {
        /// Older than what is known.
        Outdated,
        Regular,
        /// For the first time, or after a silence.
        AfterSilence,
        /// Since its restart.
        Restarted,
    };

    PeerTable(VmId self, DataCentreId own, double cores, GossipSettings settings);

    /// A node that was named; nothing else is known of it.
    void addKnown(const VmId& vm, const Endpoint& gossip);
    /// A node told of itself; \p peer holds when.
    ReportKind applyReport(const VmId& vm, Peer peer);
    /// A relay told of a node.
    void applyRelayedState(const VmId& vm, const Peer& peer);
    /// A relay told sums, to this node or to its data centre.
    void noteDigest(const VmId& relay, SteadyTime now);
    /// Drops nodes that were silent for too long. \returns them.
    std::vector<VmId> removeUnresponsive(SteadyTime now);

    /// Whether the fleet is too large for everyone to hear everyone.
    bool isLarge() const;
    std::size_t size() const;
    /// Nodes that were heard and not forgotten, and those that were only named.
    struct Census {
        std::size_t reported_ = 0;
        std::size_t advertised_ = 0;
    };
    Census census() const;
    /// Nodes heard within \p silence.
    std::vector<KnownPeer> reportedWithin(milliseconds silence, SteadyTime now) const;
    std::vector<KnownPeer> all() const;
    /// This node's place among live nodes in the order for \p key.
    std::size_t rankFor(const std::string& key, SteadyTime now) const;
    /// The nodes of this one's data centre that sum its reports, itself perhaps.
    /// One that has told nothing for a while after it was asked is passed over.
    std::vector<VmId> chooseRelays(SteadyTime now);
    /// Nodes of a data centre that may be relays there: the first in the order in
    /// which its own nodes choose, and one of the others, which \p cursor moves along.
    std::vector<VmId> likelyRelays(const DataCentreId& dataCentre, std::size_t cursor, SteadyTime now) const;
    /// Data centres of known nodes but the own one.
    std::vector<DataCentreId> otherDataCentres() const;
    /// Whether a node is known to be stopping.
    bool isStopping(const VmId& vm) const;
    std::optional<Endpoint> gossipEndpointOf(const VmId& vm) const;
    std::optional<Peer> find(const VmId& vm) const;

private:
    /// Candidates for relays of \p dataCentre, best first: those with most
    /// processor cores, whose links are the widest, then as drawn.
    std::vector<VmId> rankRelays(const DataCentreId& dataCentre, const std::vector<VmId>& candidates) const;

    /// What has come of asking a node to be a relay.
    struct RelayRequest {
        SteadyTime requestedSince_ {};
        SteadyTime digestReceivedAt_ {};
        SteadyTime skippedUntil_ {};
    };

    const VmId self_;
    const DataCentreId own_;
    const double cores_;
    const GossipSettings settings_;
    mutable std::mutex mutex_;
    std::map<VmId, Peer> peers_;
    std::map<VmId, RelayRequest> relayRequests_;
};

} // namespace pistachioloom
