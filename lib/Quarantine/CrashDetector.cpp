//===- lib/Quarantine/CrashDetector.cpp - crashes and lost connections -----===//
///
/// \file
/// Implements CrashDetector of pistachioloom/Quarantine.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

namespace pistachioloom {

// Longest time between the cut-off of an attempt and the time at which this node learns
// that the backend server has terminated, in either order. The registry removes a crashed
// backend server after three missed heartbeats, and the nodes learn of the removal a
// second later.
static constexpr milliseconds maxTerminationDelay { 10000 };

void CrashDetector::removeExpired(SteadyTime now)
{
    std::erase_if(pending_, [&](const Pending& pending) { return now - pending.cutOffAt_ > maxTerminationDelay; });
    std::erase_if(terminatedAt_, [&](const auto& terminated) { return now - terminated.second > maxTerminationDelay; });
    pendingCount_ = pending_.size();
}

CrashDetector::CutOffResult CrashDetector::noteCutOff(const CutOff& cutOff, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    removeExpired(now);
    if (terminatedAt_.contains(cutOff.backend_))
        return { CountedRequest { cutOff.request_, table_.noteCrash(cutOff.request_, cutOff.organisation_, cutOff.backend_, now) }, false };
    pending_.push_back({ cutOff, now });
    pendingCount_ = pending_.size();
    return { std::nullopt, runningProbes_.insert(cutOff.backend_).second };
}

void CrashDetector::noteProbed(BackendIncarnationKey backend)
{
    std::lock_guard lock(mutex_);
    runningProbes_.erase(backend);
}

std::vector<CrashDetector::CountedRequest> CrashDetector::noteTerminated(BackendIncarnationKey backend, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    removeExpired(now);
    terminatedAt_.try_emplace(backend, now);
    std::vector<CountedRequest> counted;
    for (const Pending& pending : pending_) {
        if (pending.cutOff_.backend_ == backend)
            counted.push_back({ pending.cutOff_.request_, table_.noteCrash(pending.cutOff_.request_, pending.cutOff_.organisation_, backend, now) });
    }
    std::erase_if(pending_, [&](const Pending& pending) { return pending.cutOff_.backend_ == backend; });
    pendingCount_ = pending_.size();
    return counted;
}

bool CrashDetector::clear(RequestFingerprint request, SteadyTime now)
{
    {
        std::lock_guard lock(mutex_);
        std::erase_if(pending_, [&](const Pending& pending) { return pending.cutOff_.request_ == request; });
        pendingCount_ = pending_.size();
    }
    return table_.clear(request, now);
}

} // namespace pistachioloom
