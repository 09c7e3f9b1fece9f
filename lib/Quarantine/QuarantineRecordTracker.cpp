//===- lib/Quarantine/QuarantineRecordTracker.cpp - recorded suspects ------===//
///
/// \file
/// Implements QuarantineRecordTracker of pistachioloom/Quarantine.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

namespace pistachioloom {

std::vector<QuarantineRecordTracker::Change> QuarantineRecordTracker::pendingChanges(const std::vector<Suspect>& suspects) const
{
    std::vector<Change> changes;
    std::set<RequestFingerprint> toRecord;
    for (const Suspect& suspect : suspects) {
        if (suspect.activeCrashes() < crashesToQuarantine_)
            continue;
        toRecord.insert(suspect.request_);
        auto recorded = recordedCrashes_.find(suspect.request_);
        if (recorded == recordedCrashes_.end() || recorded->second != suspect.activeCrashes())
            changes.push_back({ suspect, false });
    }
    for (const auto& [request, crashes] : recordedCrashes_) {
        if (!toRecord.contains(request))
            changes.push_back({ { request, 0, {} }, true });
    }
    return changes;
}

void QuarantineRecordTracker::noteRecorded(const Change& change)
{
    if (change.isDropped_)
        recordedCrashes_.erase(change.suspect_.request_);
    else
        recordedCrashes_[change.suspect_.request_] = change.suspect_.activeCrashes();
}

} // namespace pistachioloom
