//===- lib/Admission/Admission.cpp - who waits and who is turned away ------===//
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
    // What has begun is not given up: its engine's work would be lost.
    if (!view.isEngineStream_ || view.hasStarted_)
        return std::nullopt;
    if (std::chrono::duration<double, std::milli>(view.queueWait_) <= view.maxQueueWait_ * settings.admittedShare_)
        return std::nullopt;
    // Half of what is admitted: by then there is room for more than the first.
    return std::clamp(view.queueWait_ - view.maxQueueWait_ / 2, settings.minRetryAfter_, settings.maxRetryAfter_);
}

} // namespace pistachioloom
