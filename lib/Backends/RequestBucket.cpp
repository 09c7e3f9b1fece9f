//===- lib/Backends/RequestBucket.cpp - part of a request limit ------------===//
///
/// \file
/// Implements RequestBucket.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

double RequestBucket::creditAt(SteadyTime now) const
{
    double seconds = std::max(0.0, std::chrono::duration<double>(now - updatedAt_).count());
    return std::min(share_.burst_, credit_ + share_.rate_ * seconds);
}

void RequestBucket::setShare(RequestShare share, SteadyTime now)
{
    if (share == share_)
        return;
    credit_ = std::min(creditAt(now), share.burst_);
    updatedAt_ = now;
    share_ = share;
}

bool RequestBucket::canTake(SteadyTime now) const
{
    return creditAt(now) >= 1;
}

void RequestBucket::take(SteadyTime now)
{
    credit_ = creditAt(now) - 1;
    updatedAt_ = now;
}

void RequestBucket::giveBack()
{
    credit_ = std::min(share_.burst_, credit_ + 1);
}

std::optional<milliseconds> RequestBucket::timeUntilNext(SteadyTime now) const
{
    if (share_.rate_ <= 0)
        return std::nullopt;
    double seconds = std::max(0.0, (1 - creditAt(now)) / share_.rate_);
    return milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

} // namespace pistachioloom
