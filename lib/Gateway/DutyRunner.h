//===- lib/Gateway/DutyRunner.h - usage reports and fleet orders -----------===//
///
/// \file
/// Drives the duties when this node holds them: records each act in the log of
/// duties before it, and acts only if that record was the next one.
//===----------------------------------------------------------------------===//
#pragma once

#include "PeerReports.h"
#include "RolloutRunner.h"

namespace pistachioloom::wire {
class DutyRecord;
}

namespace pistachioloom {

class DutyRunner {
public:
    DutyRunner(asio::io_context& io, GatewayContext& context);

    void start(const PeerReports& reports);
    /// The token by which this node holds the duties, or 0.
    DutyToken heldToken() const;
    /// The token to tell peers: a stopping node holds no duties any more.
    DutyToken reportedToken() const;
    void noteStopping(const VmId& peer);
    /// The token by which this node held the duties and gave them up, or 0.
    DutyToken releasedToken() const;
    void noteHolder(const VmId& holder, DutyToken token, SteadyTime reportedAt);
    void noteReleased(DutyToken token);
    const RolloutRunner& rollouts() const { return rollouts_; }

private:
    enum class Recorded {
        Yes,
        /// Another record came first.
        Superseded,
        /// It may or may not be there; ask again.
        Unknown,
    };

    asio::awaitable<void> run();
    asio::awaitable<void> claim();
    asio::awaitable<void> act();
    asio::awaitable<void> reportUsage();
    asio::awaitable<void> orderFleet();
    asio::awaitable<bool> readLog();
    /// The token by which this node may act now, or 0.
    DutyToken actingToken() const;
    asio::awaitable<bool> recordOrResign(wire::DutyRecord record);
    asio::awaitable<Recorded> record(const wire::DutyRecord& record);
    FleetView viewOf(const ServicePolicy& service, SteadyTime now) const;
    std::vector<FleetView> fleetViews(SteadyTime now) const;
    std::vector<FleetOrder> dueOrders(SteadyTime now);
    void sampleDemand();
    void resign(const std::string& why);

    asio::io_context& io_;
    GatewayContext& context_;
    const PeerReports* reports_ = nullptr;
    mutable std::mutex mutex_;
    DutyLease lease_;
    DutyToken releasedToken_ {};
    /// The end of the log as far as this node has read it.
    LogOffset end_;
    /// A node's word that it holds the duties.
    struct Claim {
        VmId vm_;
        DutyToken token_ {};
    };
    /// The newest claim that was read.
    Claim newestClaim_;
    /// What was or may have been reported, by any holder.
    std::map<WindowNumber, UsageCounts> recorded_;
    std::set<WindowNumber> reported_;
    /// The newest need of each service in the log, of any holder.
    std::map<ServiceName, std::uint64_t> recordedNeeds_;
    FleetTracker fleet_;
    RolloutRunner rollouts_;
    SteadyTime fleetCheckedAt_ {};
    Logger logger_ { "duties" };
};

} // namespace pistachioloom
