//===- lib/Gateway/TransferLimiter.cpp - concurrent transfers -------------===//
///
/// \file
/// See TransferLimiter.h.
//===----------------------------------------------------------------------===//
#include "TransferLimiter.h"

#include <algorithm>

namespace pistachioloom {

std::optional<TransferId> TransferLimiter::begin(ByteCount size, SteadyTime now)
{
    std::erase_if(transfers_, [&](const auto& entry) { return now - entry.second.startedAt_ >= transferTimeout; });
    auto running = std::count_if(transfers_.begin(), transfers_.end(), [&](const auto& entry) { return now < entry.second.slowAt_; });
    if (static_cast<std::size_t>(running) >= maxTransfers || transfers_.size() >= maxOpenTransfers) {
        ++busyAnswers_;
        return std::nullopt;
    }
    ++lastTransfer_.value_;
    milliseconds expected = transferSlack + milliseconds(size.value_ / minTransferRate);
    transfers_.emplace(lastTransfer_, Transfer { now, now + expected });
    return lastTransfer_;
}

void TransferLimiter::end(TransferId transfer)
{
    transfers_.erase(transfer);
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
