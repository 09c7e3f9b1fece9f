//===- lib/Gateway/PeerReports.h - what nodes tell each other --------------===//
///
/// \file
/// A datagram every fraction of a second tells a node's whole state; the next
/// one replaces it, so a lost one costs nothing but time. In a small fleet every
/// node tells every other one. In a large one it tells the relays of its data
/// centre (ReportAggregator.h), and introduces itself to a few others in turn.
//===----------------------------------------------------------------------===//
#pragma once

#include "Discovery.h"
#include "GatewayContext.h"
#include "ReportAggregator.h"

#include <boost/asio.hpp>
#include <deque>

namespace pistachioloom {

class PeerReports {
public:
    /// What other parts hear and tell; set before start().
    struct Hooks {
        /// The token by which this node holds the duties, or 0.
        std::function<DutyToken()> ownToken_;
        /// The token by which this node held them and gave them up, or 0.
        std::function<DutyToken()> releasedToken_;
        /// A peer held the duties at the time given.
        std::function<void(const VmId&, DutyToken, SteadyTime)> onHolder_;
        /// The holder by this token gave up the duties.
        std::function<void(DutyToken)> onReleased_;
        /// A peer began to stop.
        std::function<void(const VmId&)> onStopping_;
        /// Whether this node reads from the platform, and whether that fails.
        std::function<bool()> isReader_;
        std::function<bool()> isPlatformUnavailable_;
    };

    PeerReports(asio::io_context& io, GatewayContext& context, Hooks hooks);

    Result<void> start();
    /// Peers heard within the silence bound.
    std::vector<KnownPeer> live() const;
    /// Peers heard within \p silence.
    std::vector<KnownPeer> reportedWithin(milliseconds silence) const { return table_.reportedWithin(silence, steadyNow()); }
    /// Whether all other nodes that were heard in \p maxSilence told their counts within
    /// \p time; in a large fleet, whether relays miss none.
    bool haveAllReportedWithin(milliseconds time, milliseconds maxSilence) const;
    /// Nodes that this one knows the work of, itself left out.
    std::uint64_t nodesCovered() const;
    /// How much of the fleet's work is told here. Called on the event loop.
    Coverage coverage(SteadyTime now) const;
    /// Whether \p vm said that it is stopping.
    bool isStopping(const VmId& vm) const { return table_.isStopping(vm); }
    /// A node announced elsewhere; it is told of this node from now on.
    void addKnown(const VmId& vm, const Endpoint& gossip);
    /// All announced nodes were added.
    void noteFleetKnown();
    /// Tells peers that a backend server is leaving, for some seconds.
    void noteLeaving(const BackendId& id);
    /// Tells peers that a backend server has ended, for some seconds.
    void noteEnded(const BackendId& id);
    /// This node's place among live nodes in the order for \p key. One that hears less
    /// than half of the others stands behind those that hear more. Called on the event
    /// loop.
    std::size_t rankFor(const std::string& key) const;

private:
    asio::awaitable<void> sendReports();
    asio::awaitable<void> receiveDatagrams();
    /// Time since this node's counts began, in ms.
    std::uint64_t countedMs(SteadyTime now) const;
    void reportToAll();
    void reportToRelays(SteadyTime now);
    void sendSums(SteadyTime now);
    void sendIntroductions(SteadyTime now);
    void send(const wire::Datagram& datagram, const std::vector<Endpoint>& receivers);

    void composeIntroduction(wire::NodeReport& report, AdvertisedPeers amount);
    void composeState(wire::NodeReport& report);
    static void composeMembers(google::protobuf::RepeatedPtrField<wire::MemberEntry>& entries, const std::vector<KnownPeer>& members, SteadyTime now);
    /// Of peers, and of seeds that were not heard yet.
    std::vector<Endpoint> knownAddresses();
    std::vector<Endpoint> unseenSeeds();

    void applyReport(const wire::NodeReport& report, SteadyTime now);
    void applyState(const wire::NodeReport& report, SteadyTime now);
    void applyMembers(const google::protobuf::RepeatedPtrField<wire::MemberEntry>& members, SteadyTime now);
    void applyRelayReport(const wire::RelayReport& report, const Endpoint& sender, SteadyTime now);
    void applyDigest(const VmId& relay, std::uint64_t incarnation, const wire::NodeSums& sums, SteadyTime now);
    void applySuspects(const google::protobuf::RepeatedPtrField<wire::SuspectReport>& suspects, SteadyTime now);
    void applyRollouts(const google::protobuf::RepeatedPtrField<wire::RolloutReport>& reports, const VmId& from, SteadyTime now);
    void applyEnded(const google::protobuf::RepeatedPtrField<std::string>& ended, const VmId& from, SteadyTime now);
    void applyLeaving(const google::protobuf::RepeatedPtrField<std::string>& leaving, const VmId& from);
    void forgetCounts(const VmId& vm);
    void removeUnresponsive(SteadyTime now);
    /// Tells the books how many nodes share what all are granted.
    void setNodeCount(std::uint64_t known, SteadyTime now);

    GatewayContext& context_;
    Hooks hooks_;
    asio::ip::udp::socket socket_;
    PeerTable table_;
    Discovery discovery_;
    /// Whether this node sums the reports of its data centre.
    bool isRelay_ = false;
    ReportAggregator aggregator_;
    /// All other nodes, as relays sum them.
    NodeGroupSums others_;
    VmId activeRelay_;
    std::atomic<std::uint64_t> relayedNodes_ { 0 };
    /// Nodes that fell silent lately, as relays tell.
    std::atomic<std::uint64_t> unresponsiveNodes_ { 0 };
    std::mutex leavingMutex_;
    std::deque<std::pair<SteadyTime, BackendId>> leaving_;
    /// Guarded by the same mutex; each once.
    std::deque<std::pair<SteadyTime, BackendId>> ended_;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> usesRelays_ { false };
    const SteadyTime startedAt_ = steadyNow();
    std::atomic<bool> isFleetKnown_ { false };
    Logger logger_ { "peers" };
};

} // namespace pistachioloom
