//===- lib/Gateway/RolloutRunner.h - the holder's roll-out duties ---------===//
///
/// \file
/// The holder of the duties controls each roll-out order until it is complete or reverted.
/// It sets the share from the counts of all nodes, reports it to them, and records the
/// final decision in the log of duties before it reports it to the operator.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

namespace pistachioloom::wire {
class DutyRecord;
class RolloutReport;
}

namespace pistachioloom {

/// Controls the roll-out orders while this node holds the duties.
class RolloutRunner {
public:
    struct Hooks {
        /// Returns the token under which this node holds the duties and may act, or 0.
        std::function<DutyToken()> actingToken_;
        /// Appends a record to the log of duties. \returns whether this node still holds
        /// the duties.
        std::function<asio::awaitable<bool>(wire::DutyRecord)> appendRecord_;
    };

    RolloutRunner(GatewayContext& context, Hooks hooks);

    /// Adjusts all orders at regular intervals while this node holds the duties. Runs
    /// concurrently with act(), so that it does not wait for records and reports.
    asio::awaitable<void> adjust();
    /// Records and reports the decisions that are due. \returns whether this node still holds
    /// the duties.
    asio::awaitable<bool> act();
    /// Applies the final decision of any holder in \p record, which was read from the log of
    /// duties or from a note.
    void applyRecord(const wire::RolloutReport& record);

    /// An order as shown to operators.
    struct OrderStatus {
        RolloutState state_;
        std::string reason_;
        RolloutTally tally_;
        BackendTable::VersionCounts versions_;
    };
    /// Thread-safe.
    std::vector<OrderStatus> orderStatuses() const;

private:
    struct Order {
        RolloutController controller_;
        /// Whether the platform has accepted the report that the order is active.
        bool isActiveReported_ = false;
    };

    asio::awaitable<void> readNotes();
    void adjustOrder(const RolloutTracker::ReceivedState& received, SteadyTime now);
    /// Records and reports \p decision. \returns whether this node still holds the duties.
    asio::awaitable<bool> finalise(ServiceName service, RolloutState decision);
    /// Reports \p state to the operator. \returns whether the platform accepted the report.
    asio::awaitable<bool> report(RolloutState state);
    /// Appends \p decision to the log of duties. \returns whether this node still holds the
    /// duties.
    asio::awaitable<bool> recordDecision(RolloutState decision, bool isReported);

    GatewayContext& context_;
    Hooks hooks_;
    /// Orders that this node controls under `token_`; cleared when the token changes.
    std::map<ServiceName, Order> orders_;
    /// The token under which this node last adjusted the orders, or 0.
    DutyToken token_ {};
    /// Number of reports under `token_` that the platform accepted.
    std::uint64_t reportCount_ = 0;
    bool hasReadNotes_ = false;
    /// The newest order of each service whose final decision was reported to the operator.
    std::map<ServiceName, RolloutNumber> reportedOrders_;
    mutable std::mutex reasonsMutex_;
    /// Reason of the last decision on each order.
    std::map<ServiceName, std::string> reasons_;
    Logger logger_ { "rollout" };
};

} // namespace pistachioloom
