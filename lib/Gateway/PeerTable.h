//===- lib/Gateway/PeerTable.h - nodes that this node knows ---------------===//
///
/// \file
/// Holds the known nodes and when each reported last, and chooses the relays of a data
/// centre. Every node decides for itself, from the reports that it receives. Thread-safe;
/// the time is a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "RequestShares.h"
#include "pistachioloom/Gateway.h"

namespace pistachioloom {

/// State of a node, as the node or a relay reports it.
struct Peer {
    /// Where the node receives reports as datagrams.
    Endpoint gossipEndpoint_;
    /// Where the node accepts connections of peers.
    Endpoint peerEndpoint_;
    /// Empty until a report arrived.
    DataCentreId dataCentre_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t configurationVersion_ = 0;
    bool isStopping_ = false;
    bool isPlatformUnavailable_ = false;
    bool isReader_ = false;
    std::uint64_t registryFingerprint_ = 0;
    /// CPU cores of its VM.
    double cores_ = 0;
    /// When the latest report of the node arrived here or at the relay that forwarded it;
    /// zero before the first one.
    SteadyTime receivedAt_ {};
    /// Services of which the node reaches no backend server.
    std::set<ServiceName> unreachableServices_ {};
};

using KnownPeer = std::pair<VmId, Peer>;

/// How much of the fleet this node receives reports of. Both numbers include this node.
struct Coverage {
    /// Number of nodes whose reports this node receives, directly or in relays' sums.
    std::uint64_t reportedNodes_ = 1;
    /// Number of nodes that exist as far as this node knows, whether they report or not.
    std::uint64_t knownNodes_ = 1;

    /// Returns whether this node receives reports of nearly all nodes. The others may be
    /// starting or stopped.
    bool isComplete() const;
    /// Returns whether this node receives reports of more than half of the nodes. During
    /// a network partition this is true on one side at most.
    bool hasMajority() const;
};

/// Number of nodes to which a node of a large fleet introduces itself again in each period,
/// in rotation. In a fleet of 370 nodes, each one receives an introduction within 25 s;
/// urgent changes arrive earlier, in digests.
inline constexpr std::size_t introductionsPerPeriod = 3;

class PeerTable {
public:
    enum class ReportKind {
        /// Not newer than the known state.
        Outdated,
        Regular,
        /// The first report after the node was unresponsive.
        Resumed,
        /// The first report of this incarnation.
        Restarted,
    };

    PeerTable(VmId self, DataCentreId ownDataCentre, double cores, GossipSettings settings);

    /// Adds a node of which only the gossip endpoint is known.
    void addKnownPeer(const VmId& vm, const Endpoint& gossip);
    /// Applies a report of \p vm itself; \p peer holds the time of its arrival.
    ReportKind applyReport(const VmId& vm, Peer peer);
    /// Applies the state of \p vm that a relay reported.
    void applyRelayedState(const VmId& vm, const Peer& peer);
    /// Notes that \p relay sent sums to this node.
    void noteDigest(const VmId& relay, SteadyTime now);
    /// Returns the time without a report after which a node is removed. It follows from the
    /// number of nodes: in a large fleet a node introduces itself to all others in rotation.
    milliseconds forgetAfter() const;
    /// Removes nodes that have not reported for forgetAfter(). \returns the removed nodes.
    std::vector<VmId> removeUnresponsive(SteadyTime now);

    /// Returns whether the fleet is too large for every node to report to every other.
    bool isLarge() const;
    std::size_t size() const;
    /// Numbers of nodes that have reported, and of nodes that were only advertised.
    struct PeerCounts {
        std::size_t reportedNodes_ = 0;
        std::size_t advertisedNodes_ = 0;
    };
    PeerCounts peerCounts() const;
    /// Returns the nodes that reported within \p maxAge.
    std::vector<KnownPeer> reportedWithin(milliseconds maxAge, SteadyTime now) const;
    std::vector<KnownPeer> all() const;
    /// Returns this node's rank among live nodes that are not stopping, ordered by
    /// rendezvous hashing of \p key; 0 is the first.
    std::size_t rankFor(const std::string& key, SteadyTime now) const;
    /// Returns the nodes among which the request limits of backend servers are divided.
    /// \p isSelfStopping excludes this node.
    SharingNodes sharingNodes(bool isSelfStopping, SteadyTime now) const;
    /// Returns the other nodes that may hold the origins of streams.
    std::vector<OriginNode> originNodes(SteadyTime now) const;
    /// Returns the relays of this node's data centre; this node may be one of them. A
    /// node that has sent no sums for a while after it was asked to relay is skipped.
    std::vector<VmId> chooseRelays(SteadyTime now);
    /// Returns nodes that may be relays of \p dataCentre: the first candidates in the
    /// order in which the nodes there choose relays, and one of the other candidates,
    /// selected by \p cursor in rotation.
    std::vector<VmId> likelyRelays(const DataCentreId& dataCentre, std::size_t cursor, SteadyTime now) const;
    /// Returns the data centres of known nodes except this node's.
    std::vector<DataCentreId> otherDataCentres() const;
    /// Returns whether a node is known to be stopping.
    bool isStopping(const VmId& vm) const;
    std::optional<Endpoint> gossipEndpointOf(const VmId& vm) const;
    std::optional<Peer> find(const VmId& vm) const;

private:
    milliseconds forgetAfterLocked() const;
    /// Returns the candidates for relays of \p dataCentre, best first: by CPU cores,
    /// since VMs with more cores have faster links, then by rendezvous hashing.
    std::vector<VmId> rankRelays(const DataCentreId& dataCentre, const std::vector<VmId>& candidates) const;

    /// State of the requests to a node to act as a relay.
    struct RelayRequest {
        /// Zero while the node is not chosen as a relay.
        SteadyTime requestedSince_ {};
        SteadyTime digestReceivedAt_ {};
        /// The node sent no sums in time, and is not chosen before this time.
        SteadyTime skippedUntil_ {};
    };

    const VmId self_;
    const DataCentreId ownDataCentre_;
    const double cores_;
    const GossipSettings settings_;
    mutable std::mutex mutex_;
    std::map<VmId, Peer> peers_;
    std::map<VmId, RelayRequest> relayRequests_;
};

} // namespace pistachioloom
