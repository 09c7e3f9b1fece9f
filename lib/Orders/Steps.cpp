//===- lib/Orders/Steps.cpp - the next step towards a configuration --------===//
///
/// \file
/// One decision: what a home does next about one engine.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Orders.h"

namespace pistachioloom {

std::string_view toString(OrderStep step)
{
    switch (step) {
    case OrderStep::Settled:
        return "settled";
    case OrderStep::Claim:
        return "claim";
    case OrderStep::Wait:
        return "wait";
    case OrderStep::Drain:
        return "drain";
    case OrderStep::Order:
        return "order";
    case OrderStep::End:
        return "end";
    }
    return "unknown";
}

static bool isOwn(const OrderSituation& situation)
{
    return situation.holder_ && situation.holder_->claim_.node_ == situation.self_;
}

static bool hasLapsed(const OrderSituation& situation, const OrderTiming& timing, SteadyTime now)
{
    return now - situation.claimedAt_ >= timing.claimValidity_;
}

// An order of the home before us may arrive until its claim has lapsed and the
// longest freeze has passed. Reading its claim came after its append, so
// counting from the reading waits long enough.
static bool mayOtherStillOrder(const OrderSituation& situation, const OrderTiming& timing, SteadyTime now)
{
    auto otherReadAt = situation.holder_->otherReadAt_;
    if (situation.honoursFencing_ || !otherReadAt)
        return false;
    return now - *otherReadAt < timing.claimValidity_ + timing.pauseBound_;
}

// An engine that does not load soon after its order has not got it.
static bool isOrderTakingEffect(const OrderSituation& situation, const OrderTiming& timing, SteadyTime now)
{
    if (!situation.orderedAt_)
        return false;
    return now - *situation.orderedAt_ < (situation.state_.isLoading_ ? timing.loadPatience_ : timing.claimValidity_);
}

OrderStep nextOrderStep(const OrderSituation& situation, const OrderTiming& timing, SteadyTime now)
{
    bool isReached = situation.state_.configuration_ == situation.wanted_ && !situation.state_.isLoading_;
    if (isReached && !situation.holder_)
        return OrderStep::Settled;
    if (!isOwn(situation)) {
        // Two nodes that both believe to be the home would otherwise claim in turns.
        bool isOthersFresh = situation.holder_ && now - situation.holder_->readAt_ < timing.claimValidity_;
        return isOthersFresh ? OrderStep::Wait : OrderStep::Claim;
    }
    if (isReached)
        return OrderStep::End;
    if (isOrderTakingEffect(situation, timing, now))
        return OrderStep::Wait;
    if (situation.ahead_ >= situation.maxLoading_)
        return OrderStep::Wait;
    if (situation.active_)
        return OrderStep::Drain;
    if (mayOtherStillOrder(situation, timing, now))
        return OrderStep::Drain;
    return hasLapsed(situation, timing, now) ? OrderStep::Claim : OrderStep::Order;
}

} // namespace pistachioloom
