//===- lib/Gateway/ConfigurationProgress.cpp - delay of new versions ------===//
///
/// \file
/// See ConfigurationProgress.h.
//===----------------------------------------------------------------------===//
#include "ConfigurationProgress.h"

#include <algorithm>

namespace pistachioloom {

// Attempts that a log line names, and newer versions that are remembered.
static constexpr std::size_t maxNamedAttempts = 8;
static constexpr std::size_t maxVersions = 64;

void ConfigurationProgress::noteReported(const VmId& vm, std::uint64_t version, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    if (version <= inForce_)
        return;
    newer_.try_emplace(version, Report { vm, now });
    // The oldest report decides how late this node is, and the newest version is what it has
    // to reach.
    if (newer_.size() > maxVersions)
        newer_.erase(std::prev(newer_.end(), 2));
}

void ConfigurationProgress::noteAttempt(const std::string& source, const std::string& outcome, milliseconds duration)
{
    std::lock_guard lock(mutex_);
    ++attemptCount_;
    if (attempts_.size() == maxNamedAttempts)
        attempts_.erase(attempts_.begin());
    attempts_.push_back(source + " " + outcome + " after " + std::to_string(duration.count()) + " ms");
}

ConfigurationProgress::Summary ConfigurationProgress::noteInForce(std::uint64_t version, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Summary summary = summaryOf(version, now);
    inForce_ = std::max(inForce_, version);
    newer_.erase(newer_.begin(), newer_.upper_bound(inForce_));
    attempts_.clear();
    attemptCount_ = 0;
    return summary;
}

std::uint64_t ConfigurationProgress::newestKnown() const
{
    std::lock_guard lock(mutex_);
    return newer_.empty() ? inForce_ : newer_.rbegin()->first;
}

milliseconds ConfigurationProgress::behindFor(SteadyTime now) const
{
    return pending(now).reportedFor_.value_or(milliseconds(0));
}

ConfigurationProgress::Summary ConfigurationProgress::pending(SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    return summaryOf(inForce_ + 1, now);
}

ConfigurationProgress::Summary ConfigurationProgress::summaryOf(std::uint64_t version, SteadyTime now) const
{
    Summary summary;
    const Report* first = nullptr;
    // A report of a newer version shows that this one exists.
    for (auto entry = newer_.lower_bound(version); entry != newer_.end(); ++entry) {
        if (!first || entry->second.receivedAt_ < first->receivedAt_)
            first = &entry->second;
    }
    if (first) {
        summary.reportedFor_ = std::chrono::duration_cast<milliseconds>(now - first->receivedAt_);
        summary.reportedBy_ = first->vm_;
    }
    summary.attempts_ = attemptCount_;
    for (const std::string& attempt : attempts_)
        summary.attemptsText_ += (summary.attemptsText_.empty() ? "" : ", ") + attempt;
    return summary;
}

} // namespace pistachioloom
