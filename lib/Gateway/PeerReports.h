//===- lib/Gateway/PeerReports.h - reports between nodes ------------------===//
///
/// \file
/// Each node sends its complete state in a datagram several times per second. The next
/// datagram replaces it, so that a lost one causes nothing but a delay. In a small fleet
/// every node sends to every other node. In a large one it sends to the relays of its
/// data centre (ReportAggregator.h), and introduces itself to a few other nodes in
/// rotation.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackendNotices.h"
#include "BackendStatements.h"
#include "Discovery.h"
#include "GatewayContext.h"
#include "ReportAggregator.h"

#include <boost/asio.hpp>

namespace pistachioloom {

class PeerReports {
public:
    /// Callbacks into other parts, which supply what is reported and receive what peers
    /// report. Set before start().
    struct Hooks {
        /// Returns the token under which this node holds the duties, or 0.
        std::function<DutyToken()> ownToken_;
        /// Returns the token under which this node held the duties before it released
        /// them, or 0.
        std::function<DutyToken()> releasedToken_;
        /// Called when a report states that a peer held the duties under a token at the
        /// given time.
        std::function<void(const VmId&, DutyToken, SteadyTime)> onHolder_;
        /// Called when a report states that the holder under this token released the
        /// duties.
        std::function<void(DutyToken)> onReleased_;
        /// Called when a peer reports for the first time that it is stopping.
        std::function<void(const VmId&)> onStopping_;
        /// Returns whether this node reads from the platform.
        std::function<bool()> isReader_;
        /// Returns whether this node's reads from the platform fail.
        std::function<bool()> isPlatformUnavailable_;
        /// Called with a datagram that is no report, and its sender.
        std::function<void(const wire::Datagram&, const Endpoint&)> onMessage_;
    };

    PeerReports(asio::io_context& io, GatewayContext& context, Hooks hooks);

    Result<void> start();
    /// Returns the peers that reported within GossipSettings::unresponsiveAfter_.
    std::vector<KnownPeer> live() const;
    /// Returns the peers that reported within \p maxAge.
    std::vector<KnownPeer> reportedWithin(milliseconds maxAge) const { return table_.reportedWithin(maxAge, steadyNow()); }
    /// Returns the live peers that are not stopping and have not reported that they reach no
    /// backend server of \p service.
    std::vector<KnownPeer> peersReaching(const ServiceName& service) const;
    /// Returns whether all other nodes that reported within \p maxAge reported their
    /// counts within \p time. In a large fleet, returns whether the relays' sums cover
    /// nearly all known nodes and no node became unresponsive recently.
    bool haveAllReportedWithin(milliseconds time, milliseconds maxAge) const;
    /// Returns the number of other nodes whose reports this node receives, directly or in
    /// relays' sums.
    std::uint64_t nodesCovered() const;
    /// Returns the number of known nodes, including this one.
    std::size_t nodesKnown() const { return table_.size() + 1; }
    /// Returns how much of the fleet this node receives reports of. Must be called on the
    /// event loop.
    Coverage coverage(SteadyTime now) const;
    /// Returns whether \p vm reported that it is stopping.
    bool isStopping(const VmId& vm) const { return table_.isStopping(vm); }
    /// Returns the other nodes that may hold the origins of streams. Must be called on the event
    /// loop.
    std::vector<OriginNode> originNodes() const { return table_.originNodes(steadyNow()); }
    /// Sends \p datagram to \p receivers. Must be called on the event loop.
    void send(const wire::Datagram& datagram, const std::vector<Endpoint>& receivers);
    /// Adds a node that was announced on the platform or advertised by a peer. This node
    /// introduces itself to the added node from now on.
    void addKnownPeer(const VmId& vm, const Endpoint& gossip);
    /// Notes that all announced nodes were added, so that quotas are divided among the
    /// known nodes only.
    void noteFleetKnown();
    /// Reports to peers for some seconds that a backend server is leaving.
    void noteLeaving(const BackendId& id);
    /// Reports to peers what a backend server stated in an answer to this node.
    void noteStatement(const BackendStatement& statement);
    /// Reports to peers for some seconds that a backend server has terminated.
    void noteTerminated(const BackendId& id);
    /// Returns this node's rank among live nodes, with 0 for the first in the rendezvous
    /// order for \p key. A node that receives reports of at most half of the known nodes
    /// ranks behind nodes that receive more. Must be called on the event loop.
    std::size_t rankFor(const std::string& key) const;

private:
    asio::awaitable<void> sendReports();
    asio::awaitable<void> receiveDatagrams();
    /// Returns the time over which this node has counted, that is, since its start, in
    /// ms.
    std::uint64_t countedMs(SteadyTime now) const;
    void reportToAll();
    void reportToRelays(SteadyTime now);
    void sendSums(SteadyTime now);
    void sendDigests(wire::Datagram& datagram, const std::vector<VmId>& receivers, const std::vector<Suspect>& suspects, SteadyTime now);
    void sendIntroductions(SteadyTime now);
    /// Sends a relay's message, and its usage windows separately if it is too large.
    void sendRelayed(wire::Datagram& datagram, const std::vector<Endpoint>& receivers);
    void sendBytes(const std::string& bytes, const std::vector<Endpoint>& receivers);

    void composeIntroduction(wire::NodeReport& report, AdvertisedPeers amount);
    static void addKnownNodes(wire::NodeReport& report, const std::vector<KnownPeer>& peers);
    /// Adds the backend servers that are leaving or have terminated, as this node detected.
    void composeNotices(wire::NodeReport& report);
    void composeState(wire::NodeReport& report);
    static void composeMembers(google::protobuf::RepeatedPtrField<wire::MemberEntry>& entries, const std::vector<KnownPeer>& members, SteadyTime now);
    /// Returns the addresses of peers, and of seeds that have not reported yet.
    std::vector<Endpoint> knownAddresses();
    std::vector<Endpoint> unseenSeeds();

    void applyReport(const wire::NodeReport& report, SteadyTime now);
    /// Adds the nodes that \p report advertises.
    void applyKnownNodes(const wire::NodeReport& report);
    void applyState(const wire::NodeReport& report, SteadyTime now);
    void applyMembers(const google::protobuf::RepeatedPtrField<wire::MemberEntry>& members, SteadyTime now);
    void applyRelayReport(wire::RelayReport& report, const Endpoint& sender, SteadyTime now);
    void applyUsage(const wire::RelayReport& report);
    void applyDigest(const VmId& relay, std::uint64_t incarnation, const wire::NodeSums& sums, SteadyTime now);
    void applySuspects(const google::protobuf::RepeatedPtrField<wire::SuspectReport>& suspects, SteadyTime now);
    void applyRollouts(const google::protobuf::RepeatedPtrField<wire::RolloutReport>& reports, const VmId& from, SteadyTime now);
    void applyTerminated(const google::protobuf::RepeatedPtrField<std::string>& terminated, const VmId& from, SteadyTime now);
    void logStatement(const BackendStatement& statement, const std::string& from) const;
    void applyStatements(const google::protobuf::RepeatedPtrField<wire::BackendStatement>& statements, const VmId& from, SteadyTime now);
    /// Sets this node's shares of the request limits, and of the slots of brittle servers.
    void shareRequestLimits(SteadyTime now);
    void applyLeaving(const google::protobuf::RepeatedPtrField<std::string>& leaving, const VmId& from);
    void forgetCounts(const VmId& vm);
    void removeUnresponsive(SteadyTime now);
    /// Sets the number of nodes that share the quotas and budgets of the fleet.
    void setNodeCount(std::uint64_t known, SteadyTime now);

    GatewayContext& context_;
    Hooks hooks_;
    asio::ip::udp::socket socket_;
    PeerTable table_;
    Discovery discovery_;
    /// Whether this node aggregates the reports of its data centre.
    bool isRelay_ = false;
    ReportAggregator aggregator_;
    /// The sums of all other nodes, as relays report them.
    NodeGroupSums others_;
    /// The relay whose sums are in use, and the number of nodes in them.
    VmId activeRelay_;
    std::atomic<std::uint64_t> relayedNodes_ { 0 };
    /// Number of nodes that became unresponsive recently, as relays report it.
    std::atomic<std::uint64_t> unresponsiveNodes_ { 0 };
    /// Guards leaving_, terminated_ and statements_.
    std::mutex leavingMutex_;
    BackendNotices leaving_;
    BackendNotices terminated_;
    BackendStatements statements_;
    std::uint64_t sequence_ = 0;
    SteadyTime tooLargeLoggedAt_ {};
    std::atomic<bool> usesRelays_ { false };
    const SteadyTime startedAt_ = steadyNow();
    std::atomic<bool> isFleetKnown_ { false };
    Logger logger_ { "peers" };
};

} // namespace pistachioloom
