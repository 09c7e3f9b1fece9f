//===- lib/Quarantine/CrashEvidence.cpp - evidence against attributes ------===//
///
/// \file
/// Decides which of the attributes that requests share is the cause of crashes.
///
/// Each crash is one observation: one of the requests that it cut off may be its cause, by
/// one of its attributes. Each sound answer is an observation for all attributes of its
/// request. An attribute is condemned by the likelihood ratio of both, and then explains its
/// crashes, which no longer count against the other attributes that were present.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace pistachioloom {

namespace {

    // Shares of its requests that an attribute may crash: nearly all of them, or one in three.
    constexpr std::array<double, 2> crashShares { 0.9, 1.0 / 3 };
    // Bounds of the share of other requests that crashes cut off. A node has seen too few
    // requests to tell smaller shares from none.
    constexpr double minBackground = 0.02;
    constexpr double maxBackground = 0.5;
    // Number of sound answers that are assumed in addition to those that were seen.
    constexpr double assumedAnswers = 50;
    // Crashes within this time of each other may have one cause, such as the loss of a host, so
    // that they count as one observation.
    constexpr milliseconds momentLength { 300 };
    // Sound answers this long before a crash still count against its being caused by an
    // attribute: a cause that had appeared earlier would have crashed other servers.
    constexpr milliseconds lookback { 5000 };
    // A crash that was reported later than this is weighed against all sound answers, since
    // their number at its time is not known.
    constexpr milliseconds maxReportDelay { 2000 };
    // Time between two recorded numbers of sound answers.
    constexpr milliseconds markPeriod { 1000 };
    constexpr std::size_t maxMarks = 16;
    // Two crashes of one server this close to each other are the same one.
    constexpr milliseconds sameCrashTolerance { 2000 };
    // Weight of a crash of which this node does not know what else crashed then.
    constexpr double unknownMomentWeight = 0.5;
    // Evidence at which requests with an attribute run apart from others.
    constexpr double evidenceToIsolate = 3;
    constexpr std::size_t crashesToIsolate = 2;
    // Crashes of servers that are kept, over all attributes.
    constexpr std::size_t maxServerCrashes = 1024;
    // Evidence of two attributes that cannot be told apart.
    constexpr double evidenceTolerance = 0.01;

    bool isSameCrash(BackendIncarnationKey left, SteadyTime leftAt, BackendIncarnationKey right, SteadyTime rightAt)
    {
        return left == right && std::chrono::abs(leftAt - rightAt) < sameCrashTolerance;
    }

    bool contains(const std::vector<Crash>& crashes, BackendIncarnationKey backend, SteadyTime at)
    {
        return std::any_of(crashes.begin(), crashes.end(), [&](const Crash& crash) { return isSameCrash(crash.backend_, crash.at_, backend, at); });
    }

    std::vector<Crash> activeCrashes(const std::vector<Crash>& crashes)
    {
        std::vector<Crash> active;
        std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(active), [](const Crash& crash) { return !crash.isCleared_; });
        std::sort(active.begin(), active.end(), [](const Crash& left, const Crash& right) { return left.at_ < right.at_; });
        return active;
    }

} // namespace

double crashEvidence(double crashes, double sound, double background)
{
    double asCause = 0;
    for (double share : crashShares)
        asCause += std::exp(crashes * std::log(share) + sound * std::log(1 - share)) / static_cast<double>(crashShares.size());
    // Many sound answers underflow; the exact value does not matter then.
    double logAsCause = std::log(std::max(asCause, 1e-300));
    return logAsCause - crashes * std::log(background) - sound * std::log(1 - background);
}

void QuarantineTable::addServerCrash(BackendIncarnationKey backend, SteadyTime at, std::uint32_t ownCuts, SteadyTime now)
{
    std::erase_if(serverCrashes_, [&](const ServerCrash& crash) { return now - crash.at_ > settings_.retention_; });
    auto known = std::find_if(serverCrashes_.begin(), serverCrashes_.end(), [&](const ServerCrash& crash) { return isSameCrash(crash.backend_, crash.at_, backend, at); });
    if (known != serverCrashes_.end()) {
        known->at_ = std::min(known->at_, at);
        known->ownCuts_ += ownCuts;
        return;
    }
    if (serverCrashes_.size() >= maxServerCrashes)
        serverCrashes_.pop_front();
    serverCrashes_.push_back({ backend, at, ownCuts });
}

bool QuarantineTable::hasCrashNear(BackendIncarnationKey backend, SteadyTime at, milliseconds tolerance) const
{
    std::lock_guard lock(mutex_);
    return std::any_of(serverCrashes_.begin(), serverCrashes_.end(), [&](const ServerCrash& crash) { return crash.backend_ == backend && std::chrono::abs(crash.at_ - at) <= tolerance; });
}

void QuarantineTable::countRecent(std::span<const Attribute> attributes, SteadyTime now)
{
    if (now - current_.startedAt_ >= lookback) {
        bool isAdjacent = now - current_.startedAt_ < 2 * lookback;
        previous_ = isAdjacent ? std::move(current_) : RecentAnswers { now, 0, {} };
        current_ = { now, 0, {} };
    }
    ++current_.total_;
    for (const Attribute& attribute : attributes) {
        bool isCounted = current_.byKey_.size() < settings_.capacity_ || current_.byKey_.contains(attribute.key_.value_);
        if (attribute.kind_ == AttributeKind::PromptPart && isCounted)
            ++current_.byKey_[attribute.key_.value_];
    }
}

std::uint32_t QuarantineTable::recentSound(Fingerprint key) const
{
    std::uint32_t count = 0;
    for (const RecentAnswers* recent : { &current_, &previous_ }) {
        auto found = recent->byKey_.find(key.value_);
        count += found == recent->byKey_.end() ? 0 : found->second;
    }
    return count;
}

void QuarantineTable::markSound(Entry& entry, SteadyTime now)
{
    if (!entry.soundMarks_.empty() && now - entry.soundMarks_.back().first < markPeriod)
        return;
    entry.soundMarks_.emplace_back(now, entry.suspect_.soundAnswers());
    if (entry.soundMarks_.size() > maxMarks)
        entry.soundMarks_.pop_front();
}

/// \returns whether \p crash changed \p entry, apart from the time of a known crash.
bool QuarantineTable::merge(Entry& entry, Crash crash, SteadyTime now)
{
    std::vector<Crash>& crashes = entry.suspect_.crashes_;
    auto known = std::find_if(crashes.begin(), crashes.end(), [&](const Crash& other) { return isSameCrash(other.backend_, other.at_, crash.backend_, crash.at_); });
    if (known != crashes.end()) {
        bool isUpdate = crash.isCleared_ && !known->isCleared_;
        known->isCleared_ |= crash.isCleared_;
        known->at_ = std::min(known->at_, crash.at_);
        return isUpdate;
    }
    crash.isCleared_ |= crash.at_ <= entry.suspect_.releasedAt_;
    crash.soundBefore_ = 0;
    if (now - crash.at_ <= maxReportDelay) {
        for (const auto& [at, sound] : entry.soundMarks_) {
            if (at <= crash.at_ - lookback)
                crash.soundBefore_ = sound;
        }
    }
    if (crashes.size() < maxCrashesKept) {
        crashes.push_back(crash);
        return true;
    }
    // The newest crashes are kept, so that an attribute that still crashes servers stays
    // quarantined.
    Crash& oldest = *std::min_element(crashes.begin(), crashes.end(), [](const Crash& left, const Crash& right) { return left.at_ < right.at_; });
    if (crash.at_ <= oldest.at_)
        return false;
    oldest = crash;
    return true;
}

double QuarantineTable::backgroundOf(const Entry& entry, const std::vector<Crash>& explained) const
{
    double cuts = 0;
    for (const ServerCrash& crash : serverCrashes_) {
        bool isOther = crash.at_ >= previous_.startedAt_ && !contains(entry.suspect_.crashes_, crash.backend_, crash.at_) && !contains(explained, crash.backend_, crash.at_);
        cuts += isOther ? crash.ownCuts_ : 0;
    }
    double answers = static_cast<double>(current_.total_ + previous_.total_);
    return std::clamp((cuts + 1) / (answers + cuts + assumedAnswers), minBackground, maxBackground);
}

/// Returns the weight of the crashes around \p at: the share of the servers that crashed then
/// with the attribute of \p crashes.
double QuarantineTable::momentWeight(const std::vector<Crash>& crashes, const std::vector<Crash>& explained, SteadyTime at) const
{
    double with = 0;
    double all = 0;
    for (const ServerCrash& crash : serverCrashes_) {
        if (std::chrono::abs(crash.at_ - at) > momentLength || contains(explained, crash.backend_, crash.at_))
            continue;
        ++all;
        with += contains(crashes, crash.backend_, crash.at_);
    }
    return with > 0 ? with / all : unknownMomentWeight;
}

QuarantineTable::Assessment QuarantineTable::assess(const Entry& entry, const std::vector<Crash>& explained, std::size_t minMoments) const
{
    std::vector<Crash> crashes = activeCrashes(entry.suspect_.crashes_);
    std::erase_if(crashes, [&](const Crash& crash) { return contains(explained, crash.backend_, crash.at_); });
    struct Moment {
        SteadyTime at_ {};
        double weight_ = 0;
        std::uint64_t soundBefore_ = 0;
    };
    std::vector<Moment> moments;
    for (const Crash& crash : crashes) {
        if (moments.empty() || crash.at_ - moments.back().at_ > momentLength)
            moments.push_back({ crash.at_, momentWeight(crashes, explained, crash.at_), crash.soundBefore_ });
    }
    Assessment best;
    double background = backgroundOf(entry, explained);
    std::uint64_t sound = entry.suspect_.soundAnswers();
    double weight = 0;
    // The attribute may have begun to crash servers at any of the crashes.
    for (std::size_t i = moments.size(); i-- > 0;) {
        weight += moments[i].weight_;
        if (moments.size() - i < minMoments)
            continue;
        std::uint64_t before = std::min(sound, moments[i].soundBefore_);
        double evidence = crashEvidence(weight, static_cast<double>(sound - before), background);
        if (best.crashes_ == 0 || evidence > best.evidence_)
            best = { evidence, weight, before, background };
    }
    return best;
}

bool QuarantineTable::isSuspected(std::span<const Attribute> attributes) const
{
    std::lock_guard lock(mutex_);
    return std::any_of(attributes.begin(), attributes.end(), [&](const Attribute& attribute) {
        auto found = entries_.find(attribute);
        if (found == entries_.end())
            return false;
        const Entry& entry = found->second;
        if (attribute.kind_ == AttributeKind::Request)
            return entry.suspect_.activeCrashes() >= crashesToIsolate;
        const Assessment& assessment = entry.assessment_;
        std::uint64_t sound = entry.suspect_.soundAnswers();
        return assessment.crashes_ > 0 && crashEvidence(assessment.crashes_, static_cast<double>(sound - std::min(sound, assessment.soundBefore_)), assessment.background_) >= evidenceToIsolate;
    });
}

std::vector<Crash> QuarantineTable::explainedCrashes(SteadyTime now) const
{
    std::vector<Crash> explained;
    for (const auto& [attribute, entry] : entries_) {
        auto until = condemnedUntil(entry.suspect_);
        if (until && now < *until) {
            std::vector<Crash> active = activeCrashes(entry.suspect_.crashes_);
            explained.insert(explained.end(), active.begin(), active.end());
        }
    }
    return explained;
}

std::vector<Condemnation> QuarantineTable::condemn(SteadyTime now)
{
    std::vector<Entry*> candidates;
    for (auto& [attribute, entry] : entries_) {
        if (attribute.kind_ == AttributeKind::PromptPart && entry.suspect_.activeCrashes() >= crashesToIsolate)
            candidates.push_back(&entry);
    }
    std::vector<Condemnation> condemned;
    if (candidates.empty())
        return condemned;
    std::vector<Crash> explained = explainedCrashes(now);
    for (;;) {
        std::vector<std::pair<Entry*, Assessment>> strongest;
        for (Entry* entry : candidates) {
            Assessment assessment = assess(*entry, explained, settings_.crashesToQuarantine_);
            if (assessment.crashes_ == 0 || assessment.evidence_ < settings_.evidenceToQuarantine_ || isCondemnedByEvidence(entry->suspect_))
                continue;
            if (!strongest.empty() && assessment.evidence_ > strongest.front().second.evidence_ + evidenceTolerance)
                strongest.clear();
            if (strongest.empty() || assessment.evidence_ >= strongest.front().second.evidence_ - evidenceTolerance)
                strongest.emplace_back(entry, assessment);
        }
        if (strongest.empty())
            break;
        for (auto& [entry, assessment] : strongest) {
            entry->suspect_.condemnedAt_ = now;
            entry->changedAt_ = now;
            condemned.push_back({ entry->suspect_, assessment.evidence_ });
            std::vector<Crash> active = activeCrashes(entry->suspect_.crashes_);
            explained.insert(explained.end(), active.begin(), active.end());
        }
    }
    for (Entry* entry : candidates)
        entry->assessment_ = assess(*entry, explained, crashesToIsolate);
    return condemned;
}

} // namespace pistachioloom
