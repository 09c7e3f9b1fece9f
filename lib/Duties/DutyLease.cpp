//===- lib/Duties/DutyLease.cpp - claims and loss of the duties -----------===//
///
/// \file
/// See DutyLease.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"

#include <algorithm>

namespace pistachioloom {

// Token of a claim at offset 0. Offsets are never reused, even when records expire.
static constexpr DutyToken firstToken { 1 };

DutyLease::DutyLease(VmId self, DutyTiming timing, SteadyTime startedAt)
    : self_(std::move(self))
    , timing_(timing)
    , startedAt_(startedAt)
{
}

void DutyLease::noteHolder(const VmId& holder, DutyToken token, SteadyTime reportedAt)
{
    if (token < token_ || token <= releasedToken_)
        return;
    if (isHolder_ && token > token_)
        release(reportedAt);
    if (isHolder_)
        return;
    bool isKnown = token == token_ && holder == holder_;
    holderLastSeenAt_ = isKnown ? std::max(holderLastSeenAt_, reportedAt) : reportedAt;
    token_ = token;
    holder_ = holder;
}

void DutyLease::noteReleased(DutyToken token, SteadyTime now)
{
    if (token <= releasedToken_)
        return;
    releasedToken_ = token;
    if (!isHolder_ && token == token_)
        holderLastSeenAt_ = now - timing_.holderTimeout_;
}

void DutyLease::noteStopping(const VmId& peer, SteadyTime now)
{
    if (!isHolder_ && holder_ == peer)
        noteReleased(token_, now);
}

bool DutyLease::shouldClaim(std::size_t rank, SteadyTime now) const
{
    if (isHolder_)
        return false;
    milliseconds rankDelay = timing_.rankDelay_ * static_cast<std::int64_t>(rank);
    if (now - startedAt_ < timing_.firstClaimAfter_ + rankDelay)
        return false;
    return holder_.isEmpty() || now - holderLastSeenAt_ > timing_.holderTimeout_ + rankDelay;
}

void DutyLease::becomeHolder(DutyToken token, SteadyTime now)
{
    isHolder_ = true;
    token_ = token;
    // With the first token this claim is the first record that the log ever held, so there
    // is no predecessor to wait for.
    claimedAt_ = token == firstToken ? now - timing_.actAfterClaim_ : now;
    holder_ = self_;
    holderLastSeenAt_ = now;
}

void DutyLease::release(SteadyTime now)
{
    isHolder_ = false;
    // The node whose record came first gets the usual timeout to report itself.
    holder_ = { "unknown" };
    holderLastSeenAt_ = now;
}

bool DutyLease::mayStartActs(SteadyTime now) const
{
    return isHolder_ && now - claimedAt_ >= timing_.actAfterClaim_;
}

bool DutyLease::mayAct(SteadyTime recordedAt, SteadyTime now) const
{
    return mayStartActs(now) && now - recordedAt <= timing_.recordValidity_;
}

VmId DutyLease::knownHolder(SteadyTime now) const
{
    if (isHolder_ || now - holderLastSeenAt_ <= timing_.holderTimeout_)
        return holder_;
    return {};
}

} // namespace pistachioloom
