//===- lib/Quarantine/Quarantine.cpp - crashes by request ------------------===//
///
/// \file
/// Implements QuarantineTable of pistachioloom/Quarantine.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <algorithm>

namespace pistachioloom {

// Maximum number of crashes kept for one request, which is enough to double its
// quarantine to more than a day.
static constexpr std::size_t maxCrashesKept = 12;
// How long reports contain a change. This spans several reports, since some may be lost.
static constexpr milliseconds changeReportPeriod { 2000 };
// Maximum numbers of changed and unchanged requests in one report, so that the report
// fits into one packet at about 40 bytes per request.
static constexpr std::size_t maxChangesPerReport = 16;
static constexpr std::size_t maxUnchangedPerReport = 8;
// A request with a single crash is reported only when it has changed: most such crashes
// are cleared soon, and they do not prevent the request from being sent.
static constexpr std::size_t minCrashesToRepeat = 2;

static std::size_t countActive(const std::vector<Crash>& crashes)
{
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [](const Crash& crash) { return !crash.isCleared_; }));
}

std::size_t Suspect::activeCrashes() const
{
    return countActive(crashes_);
}

static SteadyTime lastActiveCrash(const std::vector<Crash>& crashes)
{
    SteadyTime last {};
    for (const Crash& crash : crashes) {
        if (!crash.isCleared_)
            last = std::max(last, crash.at_);
    }
    return last;
}

QuarantineTable::QuarantineTable(QuarantineSettings settings)
    : settings_(settings)
{
}

std::optional<SteadyTime> QuarantineTable::quarantinedUntil(const std::vector<Crash>& crashes) const
{
    std::size_t active = countActive(crashes);
    if (active < settings_.crashesToQuarantine_)
        return std::nullopt;
    milliseconds length = settings_.initialDuration_;
    for (std::size_t i = settings_.crashesToQuarantine_; i < active && length < settings_.maxDuration_; ++i)
        length *= 2;
    return lastActiveCrash(crashes) + std::min(length, settings_.maxDuration_);
}

/// \returns when an entry expires. The time depends on the crashes alone, so that
/// reports between nodes do not extend an entry's life.
SteadyTime QuarantineTable::expiryOf(const std::vector<Crash>& crashes) const
{
    SteadyTime last {};
    for (const Crash& crash : crashes)
        last = std::max(last, crash.at_);
    return std::max(last, quarantinedUntil(crashes).value_or(last)) + settings_.retention_;
}

void QuarantineTable::removeExpired(SteadyTime now)
{
    std::erase_if(entries_, [&](const auto& item) { return now > expiryOf(item.second.crashes_); });
    count_ = entries_.size();
}

/// Evicts a suspect of \p organisation if the organisation has reached its share, or any
/// suspect if the table is full: the one with the fewest active crashes, and among equal
/// ones the one that has not changed for longest.
void QuarantineTable::evictLeastSuspect(std::uint32_t organisation)
{
    auto isOwn = [&](const auto& item) { return item.second.organisation_ == organisation; };
    bool hasReachedShare = static_cast<std::uint64_t>(std::count_if(entries_.begin(), entries_.end(), isOwn)) >= settings_.organisationCapacity_;
    if (!hasReachedShare && entries_.size() < settings_.capacity_)
        return;
    auto leastSuspect = entries_.end();
    auto isLessSuspect = [](const Entry& left, const Entry& right) {
        return std::pair(countActive(left.crashes_), left.changedAt_) < std::pair(countActive(right.crashes_), right.changedAt_);
    };
    for (auto item = entries_.begin(); item != entries_.end(); ++item) {
        bool isEvictable = !hasReachedShare || isOwn(*item);
        if (isEvictable && (leastSuspect == entries_.end() || isLessSuspect(item->second, leastSuspect->second)))
            leastSuspect = item;
    }
    if (leastSuspect != entries_.end())
        entries_.erase(leastSuspect);
}

QuarantineTable::Entry& QuarantineTable::findOrAdd(RequestFingerprint request, std::uint32_t organisation, SteadyTime now)
{
    auto found = entries_.find(request);
    if (found != entries_.end())
        return found->second;
    removeExpired(now);
    evictLeastSuspect(organisation);
    Entry& entry = entries_[request];
    entry.organisation_ = organisation;
    entry.changedAt_ = now;
    count_ = entries_.size();
    return entry;
}

/// \returns whether \p crash changed \p entry, apart from the time of a known crash.
bool QuarantineTable::merge(Entry& entry, const Crash& crash)
{
    auto known = std::find_if(entry.crashes_.begin(), entry.crashes_.end(), [&](const Crash& other) { return other.backend_ == crash.backend_; });
    if (known != entry.crashes_.end()) {
        bool isUpdate = crash.isCleared_ && !known->isCleared_;
        known->isCleared_ |= crash.isCleared_;
        known->at_ = std::min(known->at_, crash.at_);
        return isUpdate;
    }
    if (entry.crashes_.size() < maxCrashesKept) {
        entry.crashes_.push_back(crash);
        return true;
    }
    // The newest crashes are kept, so that a request that still crashes servers stays
    // quarantined.
    Crash& oldest = *std::min_element(entry.crashes_.begin(), entry.crashes_.end(), [](const Crash& left, const Crash& right) { return left.at_ < right.at_; });
    if (crash.at_ <= oldest.at_)
        return false;
    oldest = crash;
    return true;
}

std::size_t QuarantineTable::noteCrash(RequestFingerprint request, const OrganisationId& organisation, BackendIncarnationKey backend, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Entry& entry = findOrAdd(request, static_cast<std::uint32_t>(stableHash(organisation.value_)), now);
    if (merge(entry, { backend, now, false }))
        entry.changedAt_ = now;
    return countActive(entry.crashes_);
}

bool QuarantineTable::clear(RequestFingerprint request, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(request);
    if (found == entries_.end() || !countActive(found->second.crashes_))
        return false;
    for (Crash& crash : found->second.crashes_)
        crash.isCleared_ = true;
    found->second.changedAt_ = now;
    return true;
}

std::optional<Quarantine> QuarantineTable::check(RequestFingerprint request, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(request);
    if (found == entries_.end())
        return std::nullopt;
    auto until = quarantinedUntil(found->second.crashes_);
    if (!until || now >= *until)
        return std::nullopt;
    auto since = std::chrono::duration_cast<milliseconds>(now - lastActiveCrash(found->second.crashes_));
    return Quarantine { countActive(found->second.crashes_), since, std::chrono::duration_cast<milliseconds>(*until - now) };
}

std::size_t QuarantineTable::activeCrashesOf(RequestFingerprint request) const
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(request);
    return found == entries_.end() ? 0 : countActive(found->second.crashes_);
}

std::vector<Suspect> QuarantineTable::suspectsToReport(SteadyTime now, std::uint64_t draw) const
{
    if (isEmpty())
        return {};
    std::lock_guard lock(mutex_);
    std::vector<const Entries::value_type*> changed;
    std::vector<const Entries::value_type*> unchanged;
    for (const auto& item : entries_) {
        if (now - item.second.changedAt_ <= changeReportPeriod)
            changed.push_back(&item);
        else if (countActive(item.second.crashes_) >= minCrashesToRepeat)
            unchanged.push_back(&item);
    }
    auto hasMoreCrashes = [](const auto* left, const auto* right) {
        return std::pair(countActive(left->second.crashes_), left->second.changedAt_) > std::pair(countActive(right->second.crashes_), right->second.changedAt_);
    };
    std::sort(changed.begin(), changed.end(), hasMoreCrashes);
    changed.resize(std::min(changed.size(), maxChangesPerReport));
    if (!unchanged.empty())
        std::rotate(unchanged.begin(), unchanged.begin() + static_cast<std::ptrdiff_t>(draw % unchanged.size()), unchanged.end());
    unchanged.resize(std::min(unchanged.size(), maxUnchangedPerReport));
    changed.insert(changed.end(), unchanged.begin(), unchanged.end());
    std::vector<Suspect> suspects;
    for (const auto* item : changed)
        suspects.push_back({ item->first, item->second.organisation_, item->second.crashes_ });
    return suspects;
}

void QuarantineTable::mergeSuspects(const std::vector<Suspect>& reported, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    for (const Suspect& suspect : reported) {
        // A suspect whose crashes have expired is not added again.
        if (now > expiryOf(suspect.crashes_))
            continue;
        Entry& entry = findOrAdd(suspect.request_, suspect.organisation_, now);
        for (const Crash& crash : suspect.crashes_) {
            if (merge(entry, crash))
                entry.changedAt_ = now;
        }
    }
}

std::vector<Suspect> QuarantineTable::suspects(SteadyTime now) const
{
    std::vector<Suspect> all;
    {
        std::lock_guard lock(mutex_);
        for (const auto& [request, entry] : entries_) {
            if (now <= expiryOf(entry.crashes_))
                all.push_back({ request, entry.organisation_, entry.crashes_ });
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const Suspect& left, const Suspect& right) { return left.activeCrashes() > right.activeCrashes(); });
    return all;
}

std::size_t QuarantineTable::quarantined(SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        auto until = quarantinedUntil(item.second.crashes_);
        return until && now < *until;
    }));
}

} // namespace pistachioloom
