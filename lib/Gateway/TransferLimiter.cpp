//===- lib/Gateway/TransferLimiter.cpp - concurrent transfers -------------===//
///
/// \file
/// See TransferLimiter.h.
//===----------------------------------------------------------------------===//
#include "TransferLimiter.h"

namespace pistachioloom {

std::optional<TransferId> TransferLimiter::begin(SteadyTime now)
{
    std::erase_if(startTimes_, [&](const auto& entry) { return now - entry.second >= transferTimeout; });
    if (startTimes_.size() >= maxTransfers) {
        ++busyAnswers_;
        return std::nullopt;
    }
    ++lastTransfer_.value_;
    startTimes_.emplace(lastTransfer_, now);
    return lastTransfer_;
}

void TransferLimiter::end(TransferId transfer)
{
    startTimes_.erase(transfer);
}

bool TransferLimiter::isBusyLogDue(SteadyTime now) const
{
    return busyAnswers_ && (!loggedAt_ || now - *loggedAt_ >= busyLogPeriod);
}

std::uint64_t TransferLimiter::takeBusyAnswerCount(SteadyTime now)
{
    loggedAt_ = now;
    return std::exchange(busyAnswers_, 0);
}

} // namespace pistachioloom
