//===- lib/Backends/Choice.cpp - which backend server takes a request ------===//
///
/// \file
/// The least estimated wait wins. For engines it follows from the prompt tokens
/// queued ahead and those of the request that the engine is not likely to have
/// cached; for plain services from the requests under way.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

// An engine that failed this share of its recent requests is used only when no
// other is there. Services fail up to a seventh of their requests on calm days.
static constexpr double maxFailedShare = 0.4;
/// Spreads the bits of \p value evenly (the finaliser of SplitMix64).
static std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

// What each other request at a backend server that a suspect may crash weighs, in ms:
// more than any wait.
static constexpr double suspectPenaltyMs = 100000;
// A plain service's share of wait for each request before the new one, in ms.
static constexpr double plainRequestMs = 20;
// Engines of one service wait so differently by chance: an engine that seems slower by
// less would lose the prompts whose shared part it has read.
static constexpr double slownessTolerance = 1.7;
// Backend servers that a version on trial has at least: one or two may have troubles of
// their own.
static constexpr std::size_t minTrialBackends = 3;
// Prompt parts remembered for one engine; a part takes about 100 bytes.
static constexpr std::size_t maxRememberedParts = 400;

bool BackendTable::isUsable(const Backend& backend, SteadyTime now) const
{
    return !backend.record_.isLeaving_ && backend.ejectedUntil_ <= now;
}

/// The part that requests share: the last but one, since the last belongs to
/// the request or its session alone.
static const PromptPart* sharedPart(const RequestShape& shape)
{
    return shape.parts_.size() < 2 ? nullptr : &shape.parts_[shape.parts_.size() - 2];
}

TokenCount BackendTable::uncachedAt(const Backend& backend, const RequestShape& shape, const BackendId& affinityBackend, SteadyTime now) const
{
    const PromptPart* shared = sharedPart(shape);
    if (!shared)
        return shape.promptTokens_;
    auto sent = backend.cached_.find(shared->id_);
    bool wasSent = sent != backend.cached_.end() && now - sent->second < settings_.assumedCacheLifetime_;
    if (!wasSent && backend.record_.id_ != affinityBackend)
        return shape.promptTokens_;
    std::uint64_t cached = 0;
    for (std::size_t i = 0; i + 1 < shape.parts_.size(); ++i)
        cached += shape.parts_[i].tokens_.value_;
    return { shape.promptTokens_.value_ - std::min(shape.promptTokens_.value_, cached) };
}

BackendId BackendTable::affinityBackendOf(const RequestShape& shape, const std::vector<Backend*>& candidates) const
{
    const PromptPart* shared = sharedPart(shape);
    if (!shared)
        return {};
    BackendId affinityBackend;
    std::uint64_t part = stableHash(shared->id_);
    std::uint64_t best = 0;
    for (const Backend* backend : candidates) {
        std::uint64_t rank = mixBits(part ^ backend->hash_);
        if (affinityBackend.isEmpty() || rank > best) {
            affinityBackend = backend->record_.id_;
            best = rank;
        }
    }
    return affinityBackend;
}

void BackendTable::reduceToSample(std::vector<Backend*>& candidates, const RequestShape& shape, const BackendId& affinityBackend, SteadyTime now) const
{
    const PromptPart* shared = sharedPart(shape);
    auto mayCache = [&](const Backend* backend) {
        if (!shared)
            return false;
        auto sent = backend->cached_.find(shared->id_);
        return backend->record_.id_ == affinityBackend || (sent != backend->cached_.end() && now - sent->second < settings_.assumedCacheLifetime_);
    };
    auto others = std::partition(candidates.begin(), candidates.end(), mayCache);
    auto left = static_cast<std::size_t>(candidates.end() - others);
    std::size_t taken = std::min(settings_.sampleSize_, left);
    for (std::size_t i = 0; i < taken; ++i)
        std::swap(others[static_cast<std::ptrdiff_t>(i)], others[static_cast<std::ptrdiff_t>(i + randomBits() % (left - i))]);
    candidates.erase(others + static_cast<std::ptrdiff_t>(taken), candidates.end());
}

/// How long a request waits for a slot when all are taken: slots come free at a steady
/// pace, and those that wait already go first.
double BackendTable::slotWaitMs(const Backend& backend) const
{
    std::uint64_t slots = std::max<std::uint64_t>(1, backend.record_.slots_);
    std::uint64_t running = backend.own_.running_ + backend.peers_.running_;
    if (running < slots)
        return 0;
    auto rate = estimators_.find(backend.record_.service_);
    auto fallback = static_cast<double>(settings_.slotHoldTime_.count());
    double held = rate == estimators_.end() ? fallback : rate->second.meanSlotHoldMs_.value_or(fallback);
    return static_cast<double>(running + 1 - slots) * held / static_cast<double>(slots);
}

/// How many times slower than others an engine is, beyond what single waits differ.
double BackendTable::slowdownFactor(const Backend& backend)
{
    return std::max(1.0, backend.slowness_ / slownessTolerance);
}

double BackendTable::queueWaitMs(const Backend& backend, const RequestShape& shape) const
{
    double running = backend.own_.running_ + backend.peers_.running_;
    if (!shape.isForEngine_)
        return plainRequestMs * running / static_cast<double>(std::max<std::uint64_t>(1, backend.record_.slots_)) * backend.slowness_;
    auto queued = static_cast<double>(backend.own_.queuedTokens_ + backend.peers_.queuedTokens_);
    return (queued / prefillRateOf(shape.service_) + running * settings_.delayPerRunningMs_ + slotWaitMs(backend)) * slowdownFactor(backend);
}

double BackendTable::estimateMs(const Backend& backend, const RequestShape& shape, TokenCount uncached) const
{
    double ahead = queueWaitMs(backend, shape);
    if (!shape.isForEngine_)
        return ahead + plainRequestMs / static_cast<double>(std::max<std::uint64_t>(1, backend.record_.slots_)) * backend.slowness_;
    double own = firstEventOverheadMs(shape.service_) + static_cast<double>(uncached.value_) / prefillRateOf(shape.service_);
    return ahead + own * slowdownFactor(backend);
}

/// Of the target's backend servers a trial uses so few that each bears what one of the
/// others does: a version may be bad only under load. All nodes use the same few.
void BackendTable::applyVersionRule(std::vector<Backend*>& candidates, const VersionRule& rule, const ServiceName& service) const
{
    auto isAllowed = [&](const Backend* backend) { return rule.isTarget(backend->record_) == rule.usesTarget_; };
    bool hasAllowed = std::any_of(candidates.begin(), candidates.end(), isAllowed);
    // Leaving ones count: they may be the last of the version that is known.
    bool hasOthers = std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) { return entry.second.record_.service_ == service && !rule.isTarget(entry.second.record_); });
    if (!hasAllowed && (rule.usesTarget_ || (!hasOthers && rule.mayFallBack_)))
        return;
    std::erase_if(candidates, [&](const Backend* backend) { return !isAllowed(backend); });
    if (!rule.usesTarget_ || rule.share_ >= 1)
        return;
    std::size_t others = 0;
    for (const auto& [id, backend] : backends_)
        others += backend.record_.service_ == service && !backend.record_.isLeaving_ && !rule.isTarget(backend.record_);
    std::size_t most = std::max(minTrialBackends, static_cast<std::size_t>(std::ceil(rule.share_ * static_cast<double>(others))));
    if (candidates.size() <= most)
        return;
    std::sort(candidates.begin(), candidates.end(), [](const Backend* left, const Backend* right) { return mixBits(left->hash_) < mixBits(right->hash_); });
    candidates.resize(most);
}

std::optional<BackendChoice> BackendTable::choose(const RequestShape& shape, const std::set<BackendId>& excluded, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    std::vector<Backend*> usable;
    std::vector<Backend*> cutOff;
    std::vector<Backend*> doubtful;
    for (auto& [id, backend] : backends_) {
        if (backend.record_.service_ != shape.service_ || backend.record_.isLeaving_ || backend.pausedUntil_ > now || excluded.contains(id))
            continue;
        if (backend.record_.isReclaimable_ && shape.reclaimedDataCentre_ == backend.record_.dataCentre_)
            continue;
        bool isGood = isUsable(backend, now) && backend.failedShare_ < maxFailedShare;
        if (isGood && isReachableLocked(backend.record_.dataCentre_))
            usable.push_back(&backend);
        else
            (isGood ? cutOff : doubtful).push_back(&backend);
    }
    if (shape.version_) {
        for (std::vector<Backend*>* group : { &usable, &cutOff, &doubtful })
            applyVersionRule(*group, *shape.version_, shape.service_);
    }
    // Better to try a doubtful one than to refuse: its trouble may be over.
    if (usable.empty())
        usable = cutOff.empty() ? std::move(doubtful) : std::move(cutOff);
    std::vector<Backend*>& candidates = usable;
    if (candidates.empty())
        return std::nullopt;

    BackendChoice choice;
    choice.candidates_ = candidates.size();
    BackendId affinityBackend = affinityBackendOf(shape, candidates);
    if (candidates.size() > settings_.samplingThreshold_ && !shape.isSuspect_)
        reduceToSample(candidates, shape, affinityBackend, now);
    Backend* chosen = nullptr;
    double least = 0;
    double ties = 0;
    for (Backend* backend : candidates) {
        TokenCount uncached = uncachedAt(*backend, shape, affinityBackend, now);
        double estimate = estimateMs(*backend, shape, uncached);
        double harmed = shape.isSuspect_ ? suspectPenaltyMs * (backend->own_.running_ + backend->peers_.running_) : 0;
        double weighed = harmed + estimate + (backend->record_.dataCentre_ == ownDataCentre_ ? 0 : settings_.remotePenaltyMs_);
        // Equals are drawn among, or all nodes would pick the same one.
        bool isTie = chosen && weighed == least;
        ties = isTie ? ties + 1 : 1;
        if (chosen && (weighed > least || (isTie && static_cast<double>(randomBits() >> 11) * 0x1p-53 * ties >= 1)))
            continue;
        chosen = backend;
        least = weighed;
        choice.uncached_ = uncached;
        choice.queuedAhead_ = { backend->own_.queuedTokens_ + backend->peers_.queuedTokens_ };
        choice.running_ = backend->own_.running_ + backend->peers_.running_;
        choice.estimate_ = milliseconds(static_cast<std::int64_t>(estimate));
        choice.queueWait_ = milliseconds(static_cast<std::int64_t>(queueWaitMs(*backend, shape)));
    }
    chosen->own_.running_ += 1;
    chosen->own_.queuedTokens_ += choice.uncached_.value_;
    if (const PromptPart* shared = sharedPart(shape)) {
        if (chosen->cached_.size() >= maxRememberedParts)
            std::erase_if(chosen->cached_, [&](const auto& part) { return now - part.second >= settings_.assumedCacheLifetime_; });
        if (chosen->cached_.size() < maxRememberedParts)
            chosen->cached_[shared->id_] = now;
    }
    choice.backend_ = chosen->record_;
    return choice;
}

} // namespace pistachioloom
