//===- lib/Admission/Admission.cpp - admission control for streams ---------===//
///
/// \file
/// See retryAfterIfRejected().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Admission.h"

#include <algorithm>
#include <cassert>

namespace pistachioloom {

std::optional<milliseconds> retryAfterIfRejected(const AdmissionView& view, const AdmissionSettings& settings)
{
    assert(settings.minRetryAfter_ <= settings.maxRetryAfter_ && "bounds are in order");
    // A started stream is not rejected, since its engine's work would be lost.
    if (!view.isEngineStream_ || view.hasStarted_)
        return std::nullopt;
    if (std::chrono::duration<double, std::milli>(view.queueWait_) <= view.maxQueueWait_ * settings.queueWaitFactor_)
        return std::nullopt;
    // Unless the delay is clamped, the estimated wait falls to half of its bound by the
    // retry, so that the engine has capacity for several retries and not only for the
    // first one.
    return std::clamp(view.queueWait_ - view.maxQueueWait_ / 2, settings.minRetryAfter_, settings.maxRetryAfter_);
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
