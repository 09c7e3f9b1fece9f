//===- lib/Duties/Usage.cpp - usage counts and clock offsets --------------===//
///
/// \file
/// See UsageTracker and ClockOffsetEstimator.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"

#include <algorithm>
#include <vector>

namespace pistachioloom {

// Number of newest windows sent to peers. A window's usage is reported to the platform
// within two windows of its end.
static constexpr std::size_t reportedWindows = 4;
// An offset that was not reported again within this time is ignored.
static constexpr milliseconds clockValidity { 5000 };
// Source of this node's own counts.
static const VmId ownSource {};
// Windows kept for each source, which is two minutes at 5 s a window. A window's usage is
// due within four windows of its end. Without the bound a node that never reports usage
// would keep all windows forever.
static constexpr std::size_t maxWindowsPerSource = 24;

static void dropOldWindows(std::map<WindowNumber, UsageCounts>& windows)
{
    while (windows.size() > maxWindowsPerSource)
        windows.erase(windows.begin());
}

UsageTracker::UsageTracker(milliseconds window)
    : window_(window)
{
}

WindowNumber UsageTracker::windowAt(std::int64_t wallMs) const
{
    return { static_cast<std::uint64_t>(wallMs / window_.count()) };
}

void UsageTracker::count(const OrganisationId& organisation, std::int64_t wallMs)
{
    std::lock_guard lock(mutex_);
    auto& own = sources_[{ ownSource, 0 }];
    ++own[windowAt(wallMs)][organisation];
    dropOldWindows(own);
}

std::map<WindowNumber, UsageCounts> UsageTracker::recent() const
{
    std::lock_guard lock(mutex_);
    auto own = sources_.find({ ownSource, 0 });
    if (own == sources_.end())
        return {};
    auto first = own->second.end();
    for (std::size_t i = 0; i < reportedWindows && first != own->second.begin(); ++i)
        --first;
    return { first, own->second.end() };
}

void UsageTracker::setPeer(const VmId& vm, std::uint64_t incarnation, const std::map<WindowNumber, UsageCounts>& windows)
{
    std::lock_guard lock(mutex_);
    auto& known = sources_[{ vm, incarnation }];
    for (const auto& [window, counts] : windows) {
        for (const auto& [organisation, count] : counts) {
            std::uint64_t& before = known[window][organisation];
            before = std::max(before, count);
        }
    }
    dropOldWindows(known);
}

void UsageTracker::forgetPeer(const VmId& vm)
{
    std::lock_guard lock(mutex_);
    std::erase_if(sources_, [&](const auto& entry) { return entry.first.first == vm; });
}

UsageCounts UsageTracker::sum(WindowNumber window) const
{
    std::lock_guard lock(mutex_);
    UsageCounts sum;
    for (const auto& [source, windows] : sources_) {
        auto found = windows.find(window);
        if (found == windows.end())
            continue;
        for (const auto& [organisation, count] : found->second)
            sum[organisation] += count;
    }
    return sum;
}

std::map<WindowNumber, UsageCounts> UsageTracker::sumsExcluding(const VmId& vm, std::uint64_t incarnation) const
{
    std::lock_guard lock(mutex_);
    std::map<WindowNumber, UsageCounts> sums;
    for (const auto& [source, windows] : sources_) {
        if (source == Source { vm, incarnation })
            continue;
        for (const auto& [window, counts] : windows) {
            for (const auto& [organisation, count] : counts)
                sums[window][organisation] += count;
        }
    }
    return sums;
}

void UsageTracker::forget(WindowNumber oldest)
{
    std::lock_guard lock(mutex_);
    for (auto& [source, windows] : sources_)
        windows.erase(windows.begin(), windows.lower_bound(oldest));
    std::erase_if(sources_, [](const auto& entry) { return entry.second.empty(); });
}

void ClockOffsetEstimator::setPeer(const VmId& vm, std::int64_t offsetMs, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    peers_[vm] = { offsetMs, now };
}

std::int64_t ClockOffsetEstimator::correctionMs(SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    std::vector<std::int64_t> offsets { 0 };
    for (const auto& [vm, peerClock] : peers_) {
        if (now - peerClock.receivedAt_ <= clockValidity)
            offsets.push_back(peerClock.offsetMs_);
    }
    auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

std::optional<WindowNumber> dueWindow(std::int64_t nowMs, milliseconds window, const UsageTiming& timing, const std::function<bool(milliseconds)>& allReportedWithin)
{
    // A node's report covers only what the node counted until this long before the report
    // was received.
    constexpr milliseconds reportAge { 300 };
    auto newestEnded = [&](milliseconds before) { return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (nowMs - before.count()) / window.count())); };
    std::uint64_t settled = newestEnded(std::min(timing.minDelay_, timing.maxDelay_));
    std::uint64_t overdue = newestEnded(timing.maxDelay_);
    milliseconds sinceEnd { nowMs - static_cast<std::int64_t>(settled) * window.count() };
    bool isComplete = sinceEnd > reportAge && allReportedWithin(sinceEnd - reportAge);
    std::uint64_t ended = isComplete ? settled : overdue;
    // `ended` windows have ended since the Unix epoch, and they are numbered from 0.
    return ended ? std::optional(WindowNumber { ended - 1 }) : std::nullopt;
}

} // namespace pistachioloom
