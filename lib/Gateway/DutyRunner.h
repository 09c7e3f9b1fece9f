//===- lib/Gateway/DutyRunner.h - performs the holder's duties ------------===//
///
/// \file
/// Performs the duties while this node holds them: usage reports, fleet orders, and
/// roll-outs. Each act is recorded in the log of duties first, and is performed only if no
/// other record was appended in between.
//===----------------------------------------------------------------------===//
#pragma once

#include "PeerReports.h"
#include "RolloutRunner.h"

namespace pistachioloom::wire {
class DutyRecord;
}

namespace pistachioloom {

/// Claims the duties when no other node holds them, and performs them.
class DutyRunner {
public:
    DutyRunner(asio::io_context& io, GatewayContext& context);

    /// Starts the coroutines, unless no duties are configured.
    void start(const PeerReports& reports);
    /// Returns the token under which this node holds the duties, or 0.
    DutyToken heldToken() const;
    /// Returns whether this node holds the duties and the reclaimable engines of a service
    /// are short; see CapacityShortage. Thread-safe.
    bool hasShortage() const;
    /// Returns the token to report to peers: heldToken(), or 0 while this node is
    /// stopping.
    DutyToken reportedToken() const;
    /// Records that \p peer is stopping.
    void noteStopping(const VmId& peer);
    /// Returns the last token under which this node held the duties and released them, or
    /// 0.
    DutyToken releasedToken() const;
    /// Records that \p holder reported at \p reportedAt that it holds the duties.
    void noteHolder(const VmId& holder, DutyToken token, SteadyTime reportedAt);
    /// Records that the holder under \p token released the duties.
    void noteReleased(DutyToken token);
    const RolloutRunner& rollouts() const { return rollouts_; }

private:
    /// Outcome of an append to the log of duties.
    enum class AppendResult {
        Appended,
        /// Another record was appended first.
        Superseded,
        /// The record may or may not have been appended; only a later read of the log
        /// shows which.
        Unknown,
    };

    asio::awaitable<void> run();
    asio::awaitable<void> claim();
    asio::awaitable<void> act();
    asio::awaitable<void> reportUsage();
    asio::awaitable<void> orderFleet();
    asio::awaitable<bool> readLog();
    /// Returns the token under which this node may act now, or 0.
    DutyToken actingToken() const;
    /// \returns whether \p record was appended. If it was not, this node has released the
    /// duties.
    asio::awaitable<bool> recordOrRelease(wire::DutyRecord record);
    /// Appends \p record if no record was appended after `logEnd_`.
    asio::awaitable<AppendResult> appendRecord(const wire::DutyRecord& record);
    FleetView viewOf(const ServicePolicy& service, SteadyTime now) const;
    std::vector<FleetView> fleetViews(SteadyTime now) const;
    bool isPlatformUnavailable() const;
    void logShortage(const FleetView& view, const CapacityShortage& before) const;
    std::vector<FleetOrder> dueOrders(SteadyTime now);
    void sampleDemand();
    void releaseDuties(const std::string& why);

    asio::io_context& io_;
    GatewayContext& context_;
    const PeerReports* peerReports_ = nullptr;
    mutable std::mutex mutex_;
    DutyLease lease_;
    DutyToken releasedToken_ {};
    /// The end of the log of duties, as far as this node has read it.
    LogOffset logEnd_;
    /// A record by which a node claims the duties.
    struct Claim {
        VmId vm_;
        DutyToken token_ {};
    };
    /// The newest claim that this node has read.
    Claim newestClaim_;
    /// Usage of each window that a holder has recorded, and may have reported.
    std::map<WindowNumber, UsageCounts> recordedUsage_;
    /// Windows whose usage this node has reported, or which had none.
    std::set<WindowNumber> reportedWindows_;
    /// Number of engines that each service needs, by the newest record of any holder.
    std::map<ServiceName, std::uint64_t> recordedNeeds_;
    FleetTracker fleetTracker_;
    /// Whether any service had a shortage at the last observation.
    std::atomic<bool> isAnyShort_ { false };
    RolloutRunner rollouts_;
    /// When this node last reviewed the orders of engines.
    SteadyTime fleetCheckedAt_ {};
    Logger logger_ { "duties" };
};

} // namespace pistachioloom
