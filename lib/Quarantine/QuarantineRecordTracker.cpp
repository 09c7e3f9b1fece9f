//===- lib/Quarantine/QuarantineRecordTracker.cpp - recorded suspects ------===//
///
/// \file
/// Implements QuarantineRecordTracker of pistachioloom/Quarantine.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

namespace pistachioloom {

QuarantineRecordTracker::State QuarantineRecordTracker::stateOf(const Suspect& suspect)
{
    return { suspect.activeCrashes(), suspect.order_ ? suspect.order_->at_ : SteadyTime {} };
}

std::vector<QuarantineRecordTracker::Change> QuarantineRecordTracker::pendingChanges(const std::vector<Suspect>& suspects) const
{
    std::vector<Change> changes;
    std::set<Attribute> toRecord;
    for (const Suspect& suspect : suspects) {
        if (!isCondemned_(suspect))
            continue;
        toRecord.insert(suspect.attribute_);
        auto recorded = recorded_.find(suspect.attribute_);
        if (recorded == recorded_.end() || recorded->second != stateOf(suspect))
            changes.push_back({ suspect, false });
    }
    for (const auto& [attribute, state] : recorded_) {
        if (!toRecord.contains(attribute))
            changes.push_back({ { attribute, 0, {} }, true });
    }
    return changes;
}

void QuarantineRecordTracker::noteRecorded(const Change& change)
{
    if (change.isDropped_)
        recorded_.erase(change.suspect_.attribute_);
    else
        recorded_[change.suspect_.attribute_] = stateOf(change.suspect_);
}

} // namespace pistachioloom
