//===- lib/Quarantine/Quarantine.cpp - crashes by attribute ----------------===//
///
/// \file
/// Implements QuarantineTable of pistachioloom/Quarantine.h, apart from the evidence.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <algorithm>

namespace pistachioloom {

// How long reports contain a change. This spans several reports, since some may be lost.
static constexpr milliseconds changeReportPeriod { 2000 };
// Maximum numbers of changed and unchanged attributes in one report, so that the report
// fits into one packet at about 40 bytes per attribute.
static constexpr std::size_t maxChangesPerReport = 16;
static constexpr std::size_t maxUnchangedPerReport = 8;
// An attribute with a single crash is reported only when it has changed: most such crashes
// are cleared soon, and they do not prevent the request from being sent.
static constexpr std::size_t minCrashesToRepeat = 2;
// Number of nodes whose counts of sound answers are kept for one attribute. Those with the
// highest counts are kept, which is enough to clear an attribute.
static constexpr std::size_t maxSoundCounts = 24;
// Crashes later than this after an attribute was condemned show that it still crashes servers:
// requests that were on their way before have ended by then.
static constexpr milliseconds settlingTime { 10000 };
// Time between two requests that try an attribute after its quarantine. Within it the node
// learns whether the backend server crashed.
static constexpr milliseconds trialInterval { 1000 };
// Sound answers after which an attribute that requests share is released.
static constexpr std::uint32_t soundTrialsToRelease = 3;
// A change of a count of sound answers is reported if it grew by this factor.
static constexpr double reportedGrowth = 1.5;

std::size_t Suspect::activeCrashes() const
{
    return static_cast<std::size_t>(std::count_if(crashes_.begin(), crashes_.end(), [](const Crash& crash) { return !crash.isCleared_; }));
}

std::uint64_t Suspect::soundAnswers() const
{
    std::uint64_t sum = 0;
    for (const SoundCount& count : sound_)
        sum += count.count_;
    return sum;
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

static SteadyTime orderEnd(const Suspect& suspect)
{
    bool isInForce = suspect.order_ && suspect.order_->at_ > suspect.releasedAt_;
    return isInForce ? suspect.order_->at_ + suspect.order_->length_ : SteadyTime {};
}

QuarantineTable::QuarantineTable(QuarantineSettings settings, NodeIncarnationKey self)
    : settings_(settings)
    , self_(self)
{
}

bool QuarantineTable::isCondemnedByEvidence(const Suspect& suspect) const
{
    if (suspect.attribute_.kind_ == AttributeKind::Request)
        return suspect.activeCrashes() >= settings_.crashesToQuarantine_;
    return suspect.condemnedAt_ > suspect.releasedAt_;
}

bool QuarantineTable::isCondemned(const Suspect& suspect) const
{
    return isCondemnedByEvidence(suspect) || orderEnd(suspect) != SteadyTime {};
}

/// \returns the end of the quarantine that the evidence caused; nullopt if it caused none.
std::optional<SteadyTime> QuarantineTable::condemnedUntil(const Suspect& suspect) const
{
    if (!isCondemnedByEvidence(suspect))
        return std::nullopt;
    std::size_t further = suspect.activeCrashes() - std::min<std::size_t>(suspect.activeCrashes(), settings_.crashesToQuarantine_);
    if (suspect.attribute_.kind_ == AttributeKind::PromptPart)
        further = static_cast<std::size_t>(std::count_if(suspect.crashes_.begin(), suspect.crashes_.end(), [&](const Crash& crash) { return !crash.isCleared_ && crash.at_ > suspect.condemnedAt_ + settlingTime; }));
    milliseconds length = settings_.initialDuration_;
    for (std::size_t i = 0; i < further && length < settings_.maxDuration_; ++i)
        length *= 2;
    return std::max(lastActiveCrash(suspect.crashes_), suspect.condemnedAt_) + std::min(length, settings_.maxDuration_);
}

/// \returns when an entry expires. The time depends on the reported state alone, so that
/// reports between nodes do not extend an entry's life.
SteadyTime QuarantineTable::expiryOf(const Suspect& suspect) const
{
    // A release is kept as well, so that peers that missed it learn of it.
    SteadyTime last = std::max(orderEnd(suspect), suspect.releasedAt_);
    for (const Crash& crash : suspect.crashes_)
        last = std::max(last, crash.at_);
    return std::max(last, condemnedUntil(suspect).value_or(last)) + settings_.retention_;
}

void QuarantineTable::removeExpired(SteadyTime now)
{
    std::erase_if(entries_, [&](const auto& item) { return now > expiryOf(item.second.suspect_); });
    count_ = entries_.size();
}

/// Evicts a suspect of \p organisation if the organisation has reached its share, or any
/// suspect if the table is full: the one with the fewest active crashes, and among equal
/// ones the one that has not changed for longest.
void QuarantineTable::evictLeastSuspect(std::uint32_t organisation)
{
    auto isOwn = [&](const auto& item) { return item.second.suspect_.organisation_ == organisation; };
    bool hasReachedShare = static_cast<std::uint64_t>(std::count_if(entries_.begin(), entries_.end(), isOwn)) >= settings_.organisationCapacity_;
    if (!hasReachedShare && entries_.size() < settings_.capacity_)
        return;
    auto leastSuspect = entries_.end();
    auto rankOf = [&](const Entry& entry) { return std::tuple(isCondemned(entry.suspect_), entry.suspect_.activeCrashes(), entry.changedAt_); };
    for (auto item = entries_.begin(); item != entries_.end(); ++item) {
        bool isEvictable = !hasReachedShare || isOwn(*item);
        if (isEvictable && (leastSuspect == entries_.end() || rankOf(item->second) < rankOf(leastSuspect->second)))
            leastSuspect = item;
    }
    if (leastSuspect != entries_.end())
        entries_.erase(leastSuspect);
}

QuarantineTable::Entry& QuarantineTable::findOrAdd(const Attribute& attribute, std::uint32_t organisation, SteadyTime now)
{
    auto found = entries_.find(attribute);
    if (found != entries_.end())
        return found->second;
    removeExpired(now);
    evictLeastSuspect(organisation);
    Entry& entry = entries_[attribute];
    entry.suspect_.attribute_ = attribute;
    entry.suspect_.organisation_ = organisation;
    entry.changedAt_ = now;
    entry.isOwnTrial_ = !hasTrialSelection_;
    if (std::uint32_t sound = recentSound(attribute.key_))
        addOwnSound(entry, sound, now);
    count_ = entries_.size();
    return entry;
}

void QuarantineTable::addOwnSound(Entry& entry, std::uint32_t count, SteadyTime now)
{
    markSound(entry, now);
    entry.ownSound_ += count;
    mergeSound(entry, { { self_, entry.ownSound_ } });
    if (entry.ownSound_ >= reportedGrowth * entry.ownSoundReported_) {
        entry.ownSoundReported_ = entry.ownSound_;
        entry.changedAt_ = now;
    }
}

/// \returns whether a count was added or has grown considerably.
bool QuarantineTable::mergeSound(Entry& entry, const std::vector<SoundCount>& reported)
{
    std::vector<SoundCount>& counts = entry.suspect_.sound_;
    bool hasGrown = false;
    for (const SoundCount& count : reported) {
        if (count.node_ == self_)
            entry.ownSound_ = std::max(entry.ownSound_, count.count_);
        auto known = std::find_if(counts.begin(), counts.end(), [&](const SoundCount& other) { return other.node_ == count.node_; });
        if (known == counts.end()) {
            counts.push_back(count);
            hasGrown = true;
            continue;
        }
        hasGrown |= count.count_ >= reportedGrowth * known->count_;
        known->count_ = std::max(known->count_, count.count_);
    }
    if (counts.size() > maxSoundCounts) {
        std::sort(counts.begin(), counts.end(), [](const SoundCount& left, const SoundCount& right) { return std::pair(left.count_, left.node_) > std::pair(right.count_, right.node_); });
        counts.resize(maxSoundCounts);
    }
    return hasGrown;
}

bool QuarantineTable::mergeVerdicts(Entry& entry, const Suspect& reported)
{
    Suspect& own = entry.suspect_;
    bool isChanged = false;
    if (reported.condemnedAt_ > own.condemnedAt_) {
        // Nodes that condemn an attribute by the same evidence do so within seconds.
        isChanged = !isCondemnedByEvidence(own);
        own.condemnedAt_ = reported.condemnedAt_;
    }
    if (reported.releasedAt_ > own.releasedAt_) {
        own.releasedAt_ = reported.releasedAt_;
        for (Crash& crash : own.crashes_)
            crash.isCleared_ |= crash.at_ <= own.releasedAt_;
        isChanged = true;
    }
    if (reported.order_ && (!own.order_ || reported.order_->at_ > own.order_->at_)) {
        // Times of one order that arrive on different paths differ a little.
        isChanged |= !own.order_ || reported.order_->at_ > own.order_->at_ + settlingTime;
        own.order_ = reported.order_;
    }
    return isChanged;
}

std::size_t QuarantineTable::noteCrashLocked(const Attribute& attribute, std::uint32_t organisation, BackendIncarnationKey backend, SteadyTime at, SteadyTime now)
{
    Entry& entry = findOrAdd(attribute, organisation, now);
    if (merge(entry, { backend, at }, now))
        entry.changedAt_ = now;
    return entry.suspect_.activeCrashes();
}

std::size_t QuarantineTable::noteCrash(const Attribute& attribute, const OrganisationId& organisation, BackendIncarnationKey backend, SteadyTime now)
{
    return noteCrash(std::span(&attribute, 1), organisation, backend, now, now).front();
}

std::vector<std::size_t> QuarantineTable::noteCrash(std::span<const Attribute> attributes, const OrganisationId& organisation, BackendIncarnationKey backend, SteadyTime at, SteadyTime now)
{
    std::vector<std::size_t> crashes;
    std::vector<Condemnation> condemned;
    {
        std::lock_guard lock(mutex_);
        addServerCrash(backend, at, 1, now);
        for (const Attribute& attribute : attributes)
            crashes.push_back(noteCrashLocked(attribute, static_cast<std::uint32_t>(stableHash(organisation.value_)), backend, at, now));
        condemned = condemn(now);
    }
    reportCondemned(condemned);
    return crashes;
}

void QuarantineTable::reportCondemned(const std::vector<Condemnation>& condemned) const
{
    if (!onCondemned_)
        return;
    for (const Condemnation& condemnation : condemned)
        onCondemned_(condemnation);
}

bool QuarantineTable::noteSound(std::span<const Attribute> attributes, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    countRecent(attributes, now);
    bool isCleared = false;
    for (const Attribute& attribute : attributes) {
        auto found = entries_.find(attribute);
        if (found == entries_.end())
            continue;
        Entry& entry = found->second;
        if (attribute.kind_ == AttributeKind::Request)
            isCleared |= clearCrashes(entry, now);
        else {
            addOwnSound(entry, 1, now);
            noteSoundTrial(entry, now);
        }
    }
    return isCleared;
}

void QuarantineTable::noteSoundTrial(Entry& entry, SteadyTime now)
{
    auto until = condemnedUntil(entry.suspect_);
    if (!until || now < *until || ++entry.soundTrials_ < soundTrialsToRelease)
        return;
    entry.soundTrials_ = 0;
    entry.suspect_.releasedAt_ = now;
    clearCrashes(entry, now);
    entry.changedAt_ = now;
}

/// \returns whether a crash was active.
bool QuarantineTable::clearCrashes(Entry& entry, SteadyTime now)
{
    if (!entry.suspect_.activeCrashes())
        return false;
    for (Crash& crash : entry.suspect_.crashes_)
        crash.isCleared_ = true;
    entry.changedAt_ = now;
    return true;
}

bool QuarantineTable::clear(const Attribute& attribute, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(attribute);
    if (found == entries_.end())
        return false;
    Entry& entry = found->second;
    bool wasHeld = isCondemned(entry.suspect_);
    wasHeld |= clearCrashes(entry, now);
    if (wasHeld) {
        entry.suspect_.releasedAt_ = now;
        entry.changedAt_ = now;
    }
    return wasHeld;
}

void QuarantineTable::order(const Attribute& attribute, milliseconds length, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Entry& entry = findOrAdd(attribute, 0, now);
    entry.suspect_.order_ = QuarantineOrder { now, length };
    entry.changedAt_ = now;
}

std::optional<AttributeKind> QuarantineTable::kindOf(Fingerprint key) const
{
    std::lock_guard lock(mutex_);
    for (AttributeKind kind : { AttributeKind::Request, AttributeKind::PromptPart }) {
        if (entries_.contains({ kind, key }))
            return kind;
    }
    return std::nullopt;
}

std::optional<Quarantine> QuarantineTable::checkLocked(const Entry& entry, SteadyTime now) const
{
    const Suspect& suspect = entry.suspect_;
    auto condemned = condemnedUntil(suspect);
    SteadyTime until = std::max(orderEnd(suspect), condemned.value_or(SteadyTime {}));
    bool isOnTrial = now >= until && condemned && !entry.isOwnTrial_;
    if (now >= until && !isOnTrial)
        return std::nullopt;
    auto since = std::chrono::duration_cast<milliseconds>(now - lastActiveCrash(suspect.crashes_));
    milliseconds left = isOnTrial ? trialInterval : std::chrono::duration_cast<milliseconds>(until - now);
    return Quarantine { suspect.attribute_, suspect.activeCrashes(), suspect.soundAnswers(), suspect.activeCrashes() ? since : milliseconds(0), left, isOnTrial };
}

std::optional<Quarantine> QuarantineTable::check(const Attribute& attribute, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(attribute);
    return found == entries_.end() ? std::nullopt : checkLocked(found->second, now);
}

std::optional<Quarantine> QuarantineTable::admit(std::span<const Attribute> attributes, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    std::vector<Entry*> trials;
    for (const Attribute& attribute : attributes) {
        auto found = entries_.find(attribute);
        if (found == entries_.end())
            continue;
        if (auto quarantine = checkLocked(found->second, now))
            return quarantine;
        if (!isCondemnedByEvidence(found->second.suspect_))
            continue;
        Entry& entry = found->second;
        if (now - entry.triedAt_ < trialInterval)
            return Quarantine { attribute, entry.suspect_.activeCrashes(), entry.suspect_.soundAnswers(), std::chrono::duration_cast<milliseconds>(now - lastActiveCrash(entry.suspect_.crashes_)), trialInterval, true };
        trials.push_back(&entry);
    }
    for (Entry* entry : trials)
        entry->triedAt_ = now;
    return std::nullopt;
}

void QuarantineTable::selectTrials(const std::function<bool(const Attribute&)>& isOwn)
{
    std::lock_guard lock(mutex_);
    hasTrialSelection_ = true;
    for (auto& [attribute, entry] : entries_)
        entry.isOwnTrial_ = isCondemnedByEvidence(entry.suspect_) && isOwn(attribute);
}

std::size_t QuarantineTable::activeCrashesOf(const Attribute& attribute) const
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(attribute);
    return found == entries_.end() ? 0 : found->second.suspect_.activeCrashes();
}

std::vector<Suspect> QuarantineTable::suspectsToReport(SteadyTime now, std::uint64_t draw) const
{
    if (isEmpty())
        return {};
    std::lock_guard lock(mutex_);
    std::vector<const Entry*> changed;
    std::vector<const Entry*> unchanged;
    for (const auto& [attribute, entry] : entries_) {
        if (now - entry.changedAt_ <= changeReportPeriod)
            changed.push_back(&entry);
        else if (entry.suspect_.activeCrashes() >= minCrashesToRepeat || isCondemned(entry.suspect_))
            unchanged.push_back(&entry);
    }
    auto rankOf = [&](const Entry* entry) { return std::tuple(isCondemned(entry->suspect_), entry->suspect_.activeCrashes(), entry->changedAt_); };
    std::sort(changed.begin(), changed.end(), [&](const Entry* left, const Entry* right) { return rankOf(left) > rankOf(right); });
    changed.resize(std::min(changed.size(), maxChangesPerReport));
    if (!unchanged.empty())
        std::rotate(unchanged.begin(), unchanged.begin() + static_cast<std::ptrdiff_t>(draw % unchanged.size()), unchanged.end());
    unchanged.resize(std::min(unchanged.size(), maxUnchangedPerReport));
    changed.insert(changed.end(), unchanged.begin(), unchanged.end());
    std::vector<Suspect> suspects;
    for (const Entry* entry : changed)
        suspects.push_back(entry->suspect_);
    return suspects;
}

void QuarantineTable::mergeSuspects(const std::vector<Suspect>& reported, SteadyTime now)
{
    std::vector<Condemnation> condemned;
    {
        std::lock_guard lock(mutex_);
        bool hasNewCrash = false;
        for (const Suspect& suspect : reported) {
            // A suspect whose crashes have expired is not added again.
            if (now > expiryOf(suspect))
                continue;
            Entry& entry = findOrAdd(suspect.attribute_, suspect.organisation_, now);
            markSound(entry, now);
            bool isChanged = mergeSound(entry, suspect.sound_);
            for (const Crash& crash : suspect.crashes_) {
                addServerCrash(crash.backend_, crash.at_, 0, now);
                bool isNew = merge(entry, crash, now);
                isChanged |= isNew;
                hasNewCrash |= isNew;
            }
            isChanged |= mergeVerdicts(entry, suspect);
            if (isChanged)
                entry.changedAt_ = now;
        }
        if (hasNewCrash)
            condemned = condemn(now);
    }
    reportCondemned(condemned);
}

std::vector<Suspect> QuarantineTable::suspects(SteadyTime now) const
{
    std::vector<Suspect> all;
    {
        std::lock_guard lock(mutex_);
        for (const auto& [attribute, entry] : entries_) {
            if (now <= expiryOf(entry.suspect_))
                all.push_back(entry.suspect_);
        }
    }
    auto rankOf = [&](const Suspect& suspect) { return std::pair(isCondemned(suspect), suspect.activeCrashes()); };
    std::stable_sort(all.begin(), all.end(), [&](const Suspect& left, const Suspect& right) { return rankOf(left) > rankOf(right); });
    return all;
}

std::size_t QuarantineTable::quarantined(SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) { return checkLocked(item.second, now).has_value(); }));
}

std::size_t QuarantineTable::quarantined(AttributeKind kind, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) { return item.first.kind_ == kind && checkLocked(item.second, now).has_value(); }));
}

} // namespace pistachioloom
