//===- lib/Quota/ReturnDelay.cpp - when refused callers return -------------===//
///
/// \file
/// Implements returnDelay() and spreadReturn() of pistachioloom/Quota.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quota.h"

#include <algorithm>

namespace pistachioloom {

milliseconds spreadReturn(milliseconds latest, milliseconds timeLeft, double draw)
{
    milliseconds earliest = latest / 2;
    auto spread = milliseconds(static_cast<std::int64_t>(static_cast<double>((latest - earliest).count()) * draw));
    return std::min(earliest + spread, timeLeft / maxPartOfTimeLeft);
}

milliseconds returnDelay(const QuotaRefusal& refusal, milliseconds timeLeft, double draw, const ReturnDelaySettings& settings)
{
    // Callers of urgent requests would return after their objective: it is shorter than a burst.
    if (refusal.class_ == QuotaClass::Normal)
        return refusal.retryAfter_;
    // The time is bounded before its conversion, since a small share makes it arbitrarily long.
    double secondsToServe = refusal.refusedCost_ / refusal.shareRate_;
    auto toServe = milliseconds(static_cast<std::int64_t>(1000 * std::clamp(secondsToServe, 0.0, std::chrono::duration<double>(settings.max_).count())));
    // A shortage that has lasted for a time ends within the same time in one case of two.
    milliseconds least = std::max(settings.min_, refusal.shortage_);
    return spreadReturn(std::min(std::max(toServe, least), settings.max_), timeLeft, draw);
}

} // namespace pistachioloom
