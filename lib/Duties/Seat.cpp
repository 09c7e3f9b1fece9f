//===- lib/Duties/Seat.cpp - who holds the duties --------------------------===//
///
/// \file
/// See DutySeat.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"

#include <algorithm>

namespace pistachioloom {

// A claim at offset 0. Offsets are never used again, also when records expire.
static constexpr DutyToken firstToken { 1 };

DutySeat::DutySeat(VmId self, DutyTiming timing, SteadyTime startedAt)
    : self_(std::move(self))
    , timing_(timing)
    , startedAt_(startedAt)
{
}

void DutySeat::heardHolder(const VmId& holder, DutyToken token, SteadyTime heardAt)
{
    if (token < token_ || token <= released_)
        return;
    if (isHolder_ && token > token_)
        lost(heardAt);
    if (isHolder_)
        return;
    bool isKnown = token == token_ && holder == holder_;
    holderHeardAt_ = isKnown ? std::max(holderHeardAt_, heardAt) : heardAt;
    token_ = token;
    holder_ = holder;
}

void DutySeat::heardReleased(DutyToken token, SteadyTime now)
{
    if (token <= released_)
        return;
    released_ = token;
    if (!isHolder_ && token == token_)
        holderHeardAt_ = now - timing_.holderSilence_;
}

void DutySeat::heardStopping(const VmId& peer, SteadyTime now)
{
    if (!isHolder_ && holder_ == peer)
        heardReleased(token_, now);
}

bool DutySeat::shouldClaim(std::size_t rank, SteadyTime now) const
{
    if (isHolder_)
        return false;
    milliseconds turn = timing_.rankStep_ * static_cast<std::int64_t>(rank);
    if (now - startedAt_ < timing_.firstClaimAfter_ + turn)
        return false;
    return holder_.isEmpty() || now - holderHeardAt_ > timing_.holderSilence_ + turn;
}

void DutySeat::claimed(DutyToken token, SteadyTime now)
{
    isHolder_ = true;
    token_ = token;
    // The log's first record ever: nobody acted before.
    claimedAt_ = token == firstToken ? now - timing_.actAfterClaim_ : now;
    holder_ = self_;
    holderHeardAt_ = now;
}

void DutySeat::lost(SteadyTime now)
{
    isHolder_ = false;
    // Whoever came first is given the time to be heard.
    holder_ = { "unknown" };
    holderHeardAt_ = now;
}

bool DutySeat::mayBegin(SteadyTime now) const
{
    return isHolder_ && now - claimedAt_ >= timing_.actAfterClaim_;
}

bool DutySeat::mayAct(SteadyTime recordedAt, SteadyTime now) const
{
    return mayBegin(now) && now - recordedAt <= timing_.recordValidity_;
}

VmId DutySeat::knownHolder(SteadyTime now) const
{
    if (isHolder_ || now - holderHeardAt_ <= timing_.holderSilence_)
        return holder_;
    return {};
}

} // namespace pistachioloom
