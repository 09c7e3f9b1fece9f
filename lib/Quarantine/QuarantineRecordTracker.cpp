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
        auto recorded = recorded_.find(suspect.request_);
        if (recorded == recorded_.end() || recorded->second != suspect.activeCrashes())
            changes.push_back({ suspect, false });
    }
    for (const auto& [request, crashes] : recorded_) {
        if (!toRecord.contains(request))
            changes.push_back({ { request, 0, {} }, true });
    }
    return changes;
}

void QuarantineRecordTracker::noteRecorded(const Change& change)
{
    if (change.isDropped_)
        recorded_.erase(change.suspect_.request_);
    else
        recorded_[change.suspect_.request_] = change.suspect_.activeCrashes();
}

} // namespace pistachioloom
