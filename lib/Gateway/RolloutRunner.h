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
    void takeRecord(const wire::RolloutReport& record);

    /// What an operator sees of an order.
    struct Shown {
        RolloutState state_;
        std::string reason_;
        RolloutTally tally_;
        BackendTable::VersionCounts versions_;
    };
    std::vector<Shown> shown() const;

private:
    struct Order {
        RolloutController pilot_;
        bool isActiveTold_ = false;
    };

    asio::awaitable<void> readNotes();
    void lead(const RolloutTracker::ReceivedState& heard, SteadyTime now);
    asio::awaitable<bool> settle(ServiceName service, RolloutState verdict);
    asio::awaitable<bool> tell(RolloutState state);
    asio::awaitable<bool> recordVerdict(RolloutState verdict, bool isTold);

    GatewayContext& context_;
    Hooks hooks_;
    /// By the token below; begun anew with each.
    std::map<ServiceName, Order> orders_;
    DutyToken token_ {};
    std::uint64_t calls_ = 0;
    bool hasNotes_ = false;
    /// Orders whose verdict the operator knows.
    std::map<ServiceName, RolloutNumber> told_;
    mutable std::mutex reasonsMutex_;
    std::map<ServiceName, std::string> reasons_;
    Logger logger_ { "rollout" };
};

} // namespace pistachioloom
