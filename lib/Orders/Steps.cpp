//===- lib/Orders/Steps.cpp - the next step towards a configuration --------===//
///
/// \file
/// Decides the next step of a dispatcher for one engine.
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

static bool isOwn(const OrderContext& context)
{
    return context.holder_ && context.holder_->claim_.node_ == context.self_;
}

static bool hasClaimExpired(const OrderContext& context, const OrderTiming& timing, SteadyTime now)
{
    return now - context.claimedAt_ >= timing.claimValidity_;
}

// An order of the previous dispatcher may arrive until its claim has expired and
// the longest freeze has passed. The claim was read after its append, so a wait
// that counts from the reading is long enough.
static bool mayOtherNodeStillOrder(const OrderContext& context, const OrderTiming& timing, SteadyTime now)
{
    auto otherReadAt = context.holder_->otherReadAt_;
    if (context.honoursFencing_ || !otherReadAt)
        return false;
    return now - *otherReadAt < timing.claimValidity_ + timing.maxPause_;
}

// Whether an order was sent that the engine may still obey. If the engine is
// not loading within the claim's validity after the order, it has not received
// the order.
static bool isOrderTakingEffect(const OrderContext& context, const OrderTiming& timing, SteadyTime now)
{
    if (!context.orderedAt_)
        return false;
    return now - *context.orderedAt_ < (context.state_.isLoading_ ? timing.loadWaitLimit_ : timing.claimValidity_);
}

OrderStep nextOrderStep(const OrderContext& context, const OrderTiming& timing, SteadyTime now)
{
    bool isReached = context.state_.configuration_ == context.wanted_ && !context.state_.isLoading_;
    if (isReached && !context.holder_)
        return OrderStep::Settled;
    if (!isOwn(context)) {
        // A recent claim of another node is respected. Otherwise, two nodes
        // that both assume that they are the dispatcher would claim
        // alternately.
        bool isOtherClaimRecent = context.holder_ && now - context.holder_->readAt_ < timing.claimValidity_;
        return isOtherClaimRecent ? OrderStep::Wait : OrderStep::Claim;
    }
    if (isReached)
        return OrderStep::End;
    if (isOrderTakingEffect(context, timing, now))
        return OrderStep::Wait;
    if (context.claimsAhead_ >= context.maxLoading_)
        return OrderStep::Wait;
    if (context.activeRequests_)
        return OrderStep::Drain;
    if (mayOtherNodeStillOrder(context, timing, now))
        return OrderStep::Drain;
    return hasClaimExpired(context, timing, now) ? OrderStep::Claim : OrderStep::Order;
}

} // namespace pistachioloom
