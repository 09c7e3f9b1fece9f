//===- lib/Quarantine/CrashDetector.cpp - crashes and lost connections -----===//
///
/// \file
/// Implements CrashDetector of pistachioloom/Quarantine.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <algorithm>

namespace pistachioloom {

// Longest time between the cut-off of an attempt and the time at which this node learns
// that the backend server has terminated, in either order. The registry removes a crashed
// backend server after three missed heartbeats, and the nodes learn of the removal a
// second later.
static constexpr milliseconds maxTerminationDelay { 10000 };
// An attempt whose end was not the backend server's counts if the crash is known to have
// happened within this time of it.
static constexpr milliseconds givenUpTolerance { 500 };

void CrashDetector::removeExpired(SteadyTime now)
{
    std::erase_if(pending_, [&](const Pending& pending) { return now - pending.endedAt_ > maxTerminationDelay; });
    std::erase_if(terminatedAt_, [&](const auto& terminated) { return now - terminated.second > maxTerminationDelay; });
    pendingCount_ = pending_.size();
    terminatedCount_ = terminatedAt_.size();
}

CrashDetector::CountedCrash CrashDetector::count(const CutOff& cutOff, SteadyTime at, SteadyTime now)
{
    return { cutOff.attributes_, table_.noteCrash(cutOff.attributes_, cutOff.organisation_, cutOff.backend_, at, now) };
}

CrashDetector::CutOffResult CrashDetector::noteCutOff(const CutOff& cutOff, SteadyTime now, AttemptEnd end)
{
    std::lock_guard lock(mutex_);
    removeExpired(now);
    if (terminatedAt_.contains(cutOff.backend_) && end != AttemptEnd::GivenUp)
        return { count(cutOff, now, now), false };
    pending_.push_back({ cutOff, now, end });
    pendingCount_ = pending_.size();
    return { std::nullopt, cutOff.mayProbe_ && end != AttemptEnd::GivenUp && runningProbes_.insert(cutOff.backend_).second };
}

bool CrashDetector::noteProbed(BackendIncarnationKey backend, std::optional<SteadyTime> aliveAt, SteadyTime now)
{
    std::vector<Pending> complete;
    bool needsProbe = false;
    {
        std::lock_guard lock(mutex_);
        removeExpired(now);
        auto isClosed = [&](const Pending& pending) { return pending.cutOff_.backend_ == backend && pending.end_ == AttemptEnd::ConnectionClosed; };
        auto isComplete = [&](const Pending& pending) { return isClosed(pending) && pending.endedAt_ < *aliveAt; };
        if (aliveAt) {
            std::copy_if(pending_.begin(), pending_.end(), std::back_inserter(complete), isComplete);
            std::erase_if(pending_, isComplete);
            needsProbe = std::any_of(pending_.begin(), pending_.end(), isClosed);
        }
        pendingCount_ = pending_.size();
        if (!needsProbe)
            runningProbes_.erase(backend);
    }
    for (const Pending& pending : complete)
        (void)noteSound(pending.cutOff_.attributes_, now);
    return needsProbe;
}

/// Whether \p pending was cut off by the crash of its backend server, which has terminated.
bool CrashDetector::isLikelyCrash(const Pending& pending) const
{
    if (pending.end_ != AttemptEnd::GivenUp)
        return true;
    bool hasCutOff = std::any_of(pending_.begin(), pending_.end(), [&](const Pending& other) {
        return other.end_ == AttemptEnd::CutOff && other.cutOff_.backend_ == pending.cutOff_.backend_ && std::chrono::abs(other.endedAt_ - pending.endedAt_) <= givenUpTolerance;
    });
    return hasCutOff || table_.hasCrashNear(pending.cutOff_.backend_, pending.endedAt_, givenUpTolerance);
}

std::vector<CrashDetector::CountedCrash> CrashDetector::noteTerminated(BackendIncarnationKey backend, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    removeExpired(now);
    terminatedAt_.try_emplace(backend, now);
    terminatedCount_ = terminatedAt_.size();
    std::vector<Pending> cutOff;
    std::copy_if(pending_.begin(), pending_.end(), std::back_inserter(cutOff), [&](const Pending& pending) { return pending.cutOff_.backend_ == backend && isLikelyCrash(pending); });
    std::erase_if(pending_, [&](const Pending& pending) { return pending.cutOff_.backend_ == backend; });
    pendingCount_ = pending_.size();
    std::vector<CountedCrash> counted;
    for (const Pending& pending : cutOff)
        counted.push_back(count(pending.cutOff_, pending.endedAt_, now));
    return counted;
}

void CrashDetector::noteAlive(BackendIncarnationKey backend)
{
    if (!terminatedCount_)
        return;
    std::lock_guard lock(mutex_);
    terminatedAt_.erase(backend);
    terminatedCount_ = terminatedAt_.size();
}

void CrashDetector::forgetRequest(const Attribute& request)
{
    std::lock_guard lock(mutex_);
    std::erase_if(pending_, [&](const Pending& pending) { return !pending.cutOff_.attributes_.empty() && pending.cutOff_.attributes_.front() == request; });
    pendingCount_ = pending_.size();
}

bool CrashDetector::noteSound(std::span<const Attribute> attributes, SteadyTime now)
{
    if (pendingCount_ && !attributes.empty() && attributes.front().kind_ == AttributeKind::Request)
        forgetRequest(attributes.front());
    return table_.noteSound(attributes, now);
}

bool CrashDetector::clear(const Attribute& attribute, SteadyTime now)
{
    forgetRequest(attribute);
    return table_.clear(attribute, now);
}

} // namespace pistachioloom
