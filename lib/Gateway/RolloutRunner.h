//===- lib/Gateway/RolloutRunner.h - the holder's part in roll-outs --------===//
///
/// \file
/// The holder of the duties leads each order to its verdict: it decides the share from
/// what all nodes count, tells them, and records a verdict in the log of duties before
/// it tells the operator.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

namespace pistachioloom::wire {
class DutyRecord;
class RolloutReport;
}

namespace pistachioloom {

class RolloutRunner {
public:
    struct Hooks {
        /// The token by which this node holds the duties and may act, or 0.
        std::function<DutyToken()> token_;
        /// Appends to the log of duties. \returns whether this node still holds them.
        std::function<asio::awaitable<bool>(wire::DutyRecord)> record_;
    };

    RolloutRunner(GatewayContext& context, Hooks hooks);

    /// Decides at regular times while this node holds the duties. Waits for nobody.
    asio::awaitable<void> adjust();
    /// Records and tells what is due. \returns false if this node holds the duties no more.
    asio::awaitable<bool> act();
    /// A verdict in the log of duties, by any holder.
    void applyRecord(const wire::RolloutReport& record);

    /// What an operator sees of an order.
    struct OrderStatus {
        RolloutState state_;
        std::string reason_;
        RolloutTally tally_;
        BackendTable::VersionCounts versions_;
    };
    std::vector<OrderStatus> orderStatuses() const;

private:
    struct Order {
        RolloutController controller_;
        bool isActiveReported_ = false;
    };

    asio::awaitable<void> readNotes();
    void adjustOrder(const RolloutTracker::ReceivedState& received, SteadyTime now);
    asio::awaitable<bool> finalise(ServiceName service, RolloutState decision);
    asio::awaitable<bool> report(RolloutState state);
    asio::awaitable<bool> recordDecision(RolloutState decision, bool isReported);

    GatewayContext& context_;
    Hooks hooks_;
    /// By the token below; begun anew with each.
    std::map<ServiceName, Order> orders_;
    DutyToken token_ {};
    std::uint64_t reportCount_ = 0;
    bool hasReadNotes_ = false;
    /// Orders whose verdict the operator knows.
    std::map<ServiceName, RolloutNumber> reported_;
    mutable std::mutex reasonsMutex_;
    std::map<ServiceName, std::string> reasons_;
    Logger logger_ { "rollout" };
};

} // namespace pistachioloom
