//===- lib/Admission/Admission.cpp - admission control for streams ---------===//
///
/// \file
/// See retryAfterIfRejected().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Admission.h"

#include <algorithm>
#include <cassert>

namespace pistachioloom {

static milliseconds longestWait(const AdmissionView& view, const AdmissionSettings& settings)
{
    if (!view.isDeferrable_)
        return view.maxQueueWait_;
    return std::chrono::duration_cast<milliseconds>(view.maxQueueWait_ * settings.deferrableWaitShare_);
}

milliseconds admissionBound(const AdmissionView& view, const AdmissionSettings& settings)
{
    return std::chrono::duration_cast<milliseconds>(longestWait(view, settings) * settings.queueWaitFactor_);
}

std::optional<milliseconds> retryAfterIfRejected(const AdmissionView& view, const AdmissionSettings& settings)
{
    assert(settings.minRetryAfter_ <= settings.maxRetryAfter_ && settings.maxRetryAfter_ <= settings.maxDeferrableRetryAfter_ && "bounds are in order");
    // A started stream is not rejected, since its engine's work would be lost.
    if (!view.isEngineStream_ || view.hasStarted_)
        return std::nullopt;
    milliseconds longest = longestWait(view, settings);
    if (std::chrono::duration<double, std::milli>(view.queueWait_) <= longest * settings.queueWaitFactor_)
        return std::nullopt;
    // Unless the delay is clamped, the estimated wait falls to half of its bound by the
    // retry, so that the engine has capacity for several retries and not only for the
    // first one.
    milliseconds delay = view.queueWait_ - longest / 2;
    if (!view.isDeferrable_)
        return std::clamp(delay, settings.minRetryAfter_, settings.maxRetryAfter_);
    // The lower bound holds for the earlier half of the spread delays as well.
    return spreadReturn(std::clamp(delay, 2 * settings.minRetryAfter_, settings.maxDeferrableRetryAfter_), view.timeLeft_, view.draw_);
}

void AcceptGate::noteDelay(milliseconds delay, SteadyTime now)
{
    if (delay <= settings_.targetDelay_)
        aboveSince_.reset();
    else if (!aboveSince_)
        aboveSince_ = now;
}

bool AcceptGate::admits(SteadyTime now) const
{
    return !aboveSince_ || now - *aboveSince_ < settings_.interval_;
}

} // namespace pistachioloom
