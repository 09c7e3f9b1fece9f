//===- lib/Admission/Admission.cpp - who waits and who is turned away ------===//
///
/// \file
/// See refuseForWait().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Admission.h"

#include <algorithm>
#include <cassert>

namespace pistachioloom {

std::optional<milliseconds> refuseForWait(const AdmissionView& view, const AdmissionSettings& settings)
{
    assert(settings.shortestReturn_ <= settings.longestReturn_ && "bounds are in order");
    // What has begun is not given up: its engine's work would be lost.
    if (!view.isEngineStream_ || view.hasBegun_)
        return std::nullopt;
    if (std::chrono::duration<double, std::milli>(view.ahead_) <= view.admitted_ * settings.admittedShare_)
        return std::nullopt;
    // Half of what is admitted: by then there is room for more than the first.
    return std::clamp(view.ahead_ - view.admitted_ / 2, settings.shortestReturn_, settings.longestReturn_);
}

} // namespace pistachioloom
