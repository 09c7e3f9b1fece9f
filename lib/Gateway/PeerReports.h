//===- lib/Gateway/PeerReports.h - what nodes tell each other --------------===//
///
/// \file
/// A datagram every fraction of a second tells a node's whole state; the next
/// one replaces it, so a lost one costs nothing but time. Larger fleets take
/// turns, so that a node sends a bounded number of datagrams.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

#include <boost/asio.hpp>
#include <deque>

namespace pistachioloom::wire {
class NodeReport;
}

namespace pistachioloom {

class PeerReports {
public:
    /// What other parts hear and tell; set before start().
    struct Hooks {
        /// The token by which this node holds the duties, or 0.
        std::function<DutyToken()> ownToken_;
        std::function<void(const VmId&, DutyToken)> onHolder_;
        /// Whether this node reads from the platform, and whether that fails.
        std::function<bool()> isReader_;
        std::function<bool()> isPlatformLost_;
    };

    struct Peer {
        Endpoint gossip_;
        Endpoint peers_;
        DataCentreId dataCentre_;
        std::uint64_t incarnation_ = 0;
        std::uint64_t sequence_ = 0;
        std::uint64_t configurationVersion_ = 0;
        bool isStopping_ = false;
        bool isPlatformLost_ = false;
        bool isReader_ = false;
        std::uint64_t registryFingerprint_ = 0;
        SteadyTime heardAt_ {};
    };

    PeerReports(asio::io_context& io, GatewayContext& context, Hooks hooks);

    Result<void> start();
    /// Peers heard within the silence bound.
    std::vector<std::pair<VmId, Peer>> live() const;
    /// Peers heard within \p silence.
    std::vector<std::pair<VmId, Peer>> heardWithin(milliseconds silence) const;
    /// A node announced elsewhere; it is told of this node from now on.
    void addKnown(const VmId& vm, const Endpoint& gossip);
    /// Tells peers that a backend server is leaving, for some seconds.
    void noteLeaving(const BackendId& id);
    /// This node's place among live nodes in the order for \p key.
    std::size_t rankFor(const std::string& key) const;

private:
    asio::awaitable<void> tell();
    asio::awaitable<void> hear();
    std::string compose(bool isReader);
    void take(const wire::NodeReport& report, SteadyTime now);
    void takeUsage(const wire::NodeReport& report);
    std::vector<Endpoint> targets();
    void forgetSilent(SteadyTime now);

    GatewayContext& context_;
    Hooks hooks_;
    asio::ip::udp::socket socket_;
    mutable std::mutex mutex_;
    std::map<VmId, Peer> peers_;
    std::deque<std::pair<SteadyTime, BackendId>> leaving_;
    std::uint64_t sequence_ = 0;
    std::size_t turn_ = 0;
    Logger logger_ { "peers" };
};

} // namespace pistachioloom
