//===- lib/Backends/Choice.cpp - load balancing over backend servers -------===//
///
/// \file
/// Chooses the backend server with the shortest estimated wait. For engines the estimate
/// follows from the prompt tokens queued ahead and from the request's own tokens that the
/// engine is not likely to have cached, for plain services from the requests in progress.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

// An engine that failed this share of its recent requests is used only if there is no
// other. Services fail up to a seventh of their requests in normal operation.
static constexpr double maxFailedShare = 0.4;

// Penalty in ms for each other request at a backend server that a suspect request may
// crash. It exceeds any wait.
static constexpr double suspectPenaltyMs = 100000;
// Wait at a plain service for each request ahead, in ms, divided among the slots.
static constexpr double plainRequestMs = 20;
// Waits at equally fast engines of one service differ by up to this factor by chance.
// Without the tolerance an engine that merely seems slower would lose the prompts whose
// shared part it has cached.
static constexpr double slownessTolerance = 1.7;
// Minimum number of backend servers used in a version's trial. One or two may have
// problems that are unrelated to the version.
static constexpr std::size_t minTrialBackends = 3;
// Times that reading a shared part again counts in the comparison with an engine that has read it.
// It also delays the other requests at the engine that reads it, and evicts other parts.
static constexpr double rereadWeight = 3;
// Only routes with a longer objective prefer engines that have read the part. Callers of the others
// need each answer as soon as possible.
static constexpr milliseconds minPreferenceObjective { 1000 };
// Maximum number of prompt parts kept for one engine; each takes about 100 bytes.
static constexpr std::size_t maxRememberedParts = 400;

bool BackendTable::isUsable(const Backend& backend, SteadyTime now) const
{
    return backend.isAccepting() && backend.ejectedUntil_ <= now;
}

/// Whether a server takes one more request, by its own latest answer and the loads of all nodes.
bool BackendTable::hasRoom(const Backend& backend)
{
    std::uint64_t slots = backend.record_.slots_;
    return !backend.isFull_ && (!slots || backend.ownLoad_.running_ + backend.peerLoad_.running_ < slots);
}

/// Returns the prompt part that other requests may share, or nullptr if there is none. It
/// is the last part but one, since the last part belongs to the request or its session
/// alone.
static const PromptPart* sharedPart(const RequestShape& shape)
{
    return shape.parts_.size() < 2 ? nullptr : &shape.parts_[shape.parts_.size() - 2];
}

TokenCount BackendTable::uncachedAt(const Backend& backend, const RequestShape& shape, const BackendId& affinityBackend, SteadyTime now) const
{
    const PromptPart* shared = sharedPart(shape);
    if (!shared)
        return shape.promptTokens_;
    auto sent = backend.partSentAt_.find(shared->id_);
    bool wasSent = sent != backend.partSentAt_.end() && now - sent->second < settings_.assumedCacheLifetime_;
    if (!wasSent && backend.record_.id_ != affinityBackend)
        return shape.promptTokens_;
    std::uint64_t cached = 0;
    for (std::size_t i = 0; i + 1 < shape.parts_.size(); ++i)
        cached += shape.parts_[i].tokens_.value_;
    return { shape.promptTokens_.value_ - std::min(shape.promptTokens_.value_, cached) };
}

/// An engine's rank for one prompt part. By weighted rendezvous hashing an engine gets a share of
/// the parts in proportion to its weight; with equal weights the hashes decide.
struct WeightedRank {
    std::uint64_t hash_ = 0;
    double weight_ = 1;

    /// The time of an exponential draw with the rate weight_: the earliest ranks highest.
    double time() const { return -std::log((static_cast<double>(hash_) + 0.5) * 0x1p-64) / weight_; }
    bool isAbove(const WeightedRank& other) const { return weight_ == other.weight_ ? hash_ > other.hash_ : time() < other.time(); }
};

BackendId BackendTable::affinityBackendOf(const RequestShape& shape, const std::vector<Backend*>& candidates) const
{
    const PromptPart* shared = sharedPart(shape);
    if (!shared)
        return {};
    BackendId affinityBackend;
    std::uint64_t part = stableHash(shared->id_);
    WeightedRank best;
    for (const Backend* backend : candidates) {
        WeightedRank rank { mixBits(part ^ backend->hash_), 1 / backend->slowdown_.value_or(1) };
        if (affinityBackend.isEmpty() || rank.isAbove(best)) {
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
        auto sent = backend->partSentAt_.find(shared->id_);
        return backend->record_.id_ == affinityBackend || (sent != backend->partSentAt_.end() && now - sent->second < settings_.assumedCacheLifetime_);
    };
    auto others = std::partition(candidates.begin(), candidates.end(), mayCache);
    auto left = static_cast<std::size_t>(candidates.end() - others);
    std::size_t taken = std::min(settings_.sampleSize_, left);
    for (std::size_t i = 0; i < taken; ++i)
        std::swap(others[static_cast<std::ptrdiff_t>(i)], others[static_cast<std::ptrdiff_t>(i + randomBits() % (left - i))]);
    candidates.erase(others + static_cast<std::ptrdiff_t>(taken), candidates.end());
}

/// The estimate assumes that slots become free at a constant rate, and requests that wait
/// already go first.
double BackendTable::slotWaitMs(const Backend& backend) const
{
    std::uint64_t slots = std::max<std::uint64_t>(1, backend.record_.slots_);
    std::uint64_t running = backend.ownLoad_.running_ + backend.peerLoad_.running_;
    if (running < slots)
        return 0;
    auto estimator = estimators_.find(backend.record_.service_);
    auto fallback = static_cast<double>(settings_.slotHoldTime_.count());
    double held = estimator == estimators_.end() ? fallback : estimator->second.meanSlotHoldMs_.value_or(fallback);
    return static_cast<double>(running + 1 - slots) * held / static_cast<double>(slots);
}

double BackendTable::ownSlowdownFactor(const Backend& backend)
{
    return std::max(1.0, backend.slowness_ / slownessTolerance);
}

/// Returns the factor by which an engine is slower than others, beyond random variation.
double BackendTable::slowdownFactor(const Backend& backend)
{
    return backend.slowdown_.value_or(ownSlowdownFactor(backend));
}

double BackendTable::queueWaitMs(const Backend& backend, const RequestShape& shape) const
{
    double running = backend.ownLoad_.running_ + backend.peerLoad_.running_;
    if (!shape.isForEngine_)
        return plainRequestMs * running / static_cast<double>(std::max<std::uint64_t>(1, backend.record_.slots_)) * backend.slowness_;
    auto queued = static_cast<double>(backend.ownLoad_.queuedTokens_ + backend.peerLoad_.queuedTokens_);
    return (queued / prefillRateOf(shape.service_) + running * settings_.delayPerRunningRequestMs_ + slotWaitMs(backend)) * slowdownFactor(backend);
}

double BackendTable::estimateMs(const Backend& backend, const RequestShape& shape, TokenCount uncached) const
{
    double ahead = queueWaitMs(backend, shape);
    if (!shape.isForEngine_)
        return ahead + plainRequestMs / static_cast<double>(std::max<std::uint64_t>(1, backend.record_.slots_)) * backend.slowness_;
    double own = firstEventOverheadMs(shape.service_) + static_cast<double>(uncached.value_) / prefillRateOf(shape.service_);
    return ahead + own * slowdownFactor(backend);
}

double BackendTable::scoreMs(const Backend& backend, const RequestShape& shape, TokenCount uncached) const
{
    return estimateMs(backend, shape, uncached) + (backend.record_.dataCentre_ == ownDataCentre_ ? 0 : settings_.remotePenaltyMs_);
}

BackendTable::Backend* BackendTable::preferredReader(const RequestShape& shape, const std::vector<Backend*>& candidates, const BackendId& affinityBackend, const Backend& chosen, SteadyTime now) const
{
    if (!shape.isForEngine_ || shape.isSuspect_ || shape.objective_ <= minPreferenceObjective)
        return nullptr;
    auto hasRead = [&](const Backend& backend) { return uncachedAt(backend, shape, affinityBackend, now) < shape.promptTokens_; };
    if (hasRead(chosen))
        return nullptr;
    double maxEstimateMs = static_cast<double>(shape.objective_.count()) / 2;
    Backend* preferred = nullptr;
    double bestScore = 0;
    TokenCount uncached;
    for (Backend* backend : candidates) {
        if (!hasRead(*backend))
            continue;
        TokenCount ofBackend = uncachedAt(*backend, shape, affinityBackend, now);
        double score = scoreMs(*backend, shape, ofBackend);
        if (estimateMs(*backend, shape, ofBackend) > maxEstimateMs || (preferred && score >= bestScore))
            continue;
        preferred = backend;
        bestScore = score;
        uncached = ofBackend;
    }
    if (!preferred)
        return nullptr;
    // The estimate of the chosen engine contains the time for reading the part once.
    auto reread = static_cast<double>(shape.promptTokens_.value_ - uncached.value_);
    double rereadMs = reread / prefillRateOf(shape.service_) * slowdownFactor(chosen);
    return bestScore < scoreMs(chosen, shape, shape.promptTokens_) + (rereadWeight - 1) * rereadMs ? preferred : nullptr;
}

/// Limits a trial to so few backend servers of the target version that each of them gets
/// as much load as a server of another version, since a version may fail only under load.
/// All nodes choose the same servers.
void BackendTable::applyVersionRule(std::vector<Backend*>& candidates, const VersionRule& rule, const ServiceName& service) const
{
    auto isAllowed = [&](const Backend* backend) { return rule.isTarget(backend->record_) == rule.usesTarget_; };
    bool hasAllowed = std::any_of(candidates.begin(), candidates.end(), isAllowed);
    // Leaving servers count, since they may be the last known ones of their version.
    bool hasOthers = std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) { return entry.second.record_.service_ == service && !rule.isTarget(entry.second.record_); });
    if (!hasAllowed && (rule.usesTarget_ || (!hasOthers && rule.mayFallBack_)))
        return;
    std::erase_if(candidates, [&](const Backend* backend) { return !isAllowed(backend); });
    if (!rule.usesTarget_ || rule.share_ >= 1)
        return;
    std::size_t others = 0;
    for (const auto& [id, backend] : backends_)
        others += backend.record_.service_ == service && backend.isAccepting() && !rule.isTarget(backend.record_);
    std::size_t maxTrialBackends = std::max(minTrialBackends, static_cast<std::size_t>(std::ceil(rule.share_ * static_cast<double>(others))));
    if (candidates.size() <= maxTrialBackends)
        return;
    std::sort(candidates.begin(), candidates.end(), [](const Backend* left, const Backend* right) { return mixBits(left->hash_) < mixBits(right->hash_); });
    candidates.resize(maxTrialBackends);
}

std::optional<BackendChoice> BackendTable::choose(const RequestShape& shape, const std::set<BackendId>& excluded, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    updateSpeeds(now);
    std::vector<Backend*> usable;
    std::vector<Backend*> unreachable;
    std::vector<Backend*> degraded;
    for (auto& [id, backend] : backends_) {
        if (backend.record_.service_ != shape.service_ || !backend.isAccepting() || !takesRequests(backend, now) || excluded.contains(id))
            continue;
        if (shape.software_ && backend.software_ != *shape.software_)
            continue;
        if (backend.record_.isReclaimable_ && shape.reclaimedDataCentre_ == backend.record_.dataCentre_)
            continue;
        bool isHealthy = isUsable(backend, now) && backend.failedShare_ < maxFailedShare;
        bool isReachable = isReachableLocked(backend.record_.dataCentre_);
        if (shape.needsRoom_ && (!isHealthy || !isReachable || !hasRoom(backend)))
            continue;
        if (isHealthy && isReachable)
            usable.push_back(&backend);
        else
            (isHealthy ? unreachable : degraded).push_back(&backend);
    }
    if (shape.version_) {
        for (std::vector<Backend*>* group : { &usable, &unreachable, &degraded })
            applyVersionRule(*group, *shape.version_, shape.service_);
    }
    // A degraded server is preferred to a rejection, since it may have recovered.
    if (usable.empty())
        usable = unreachable.empty() ? std::move(degraded) : std::move(unreachable);
    std::vector<Backend*>& candidates = usable;
    if (candidates.empty())
        return std::nullopt;

    BackendChoice choice;
    choice.candidateCount_ = candidates.size();
    BackendId affinityBackend = affinityBackendOf(shape, candidates);
    bool isLarge = candidates.size() > settings_.samplingThreshold_;
    if (isLarge && !shape.isSuspect_)
        reduceToSample(candidates, shape, affinityBackend, now);
    Backend* chosen = nullptr;
    double bestScore = 0;
    double tieCount = 0;
    for (Backend* backend : candidates) {
        double suspectPenalty = shape.isSuspect_ ? suspectPenaltyMs * (backend->ownLoad_.running_ + backend->peerLoad_.running_) : 0;
        double score = suspectPenalty + scoreMs(*backend, shape, uncachedAt(*backend, shape, affinityBackend, now));
        // Of candidates with equal scores a random one is chosen, so that nodes do not
        // all choose the same one.
        bool isTie = chosen && score == bestScore;
        tieCount = isTie ? tieCount + 1 : 1;
        if (chosen && (score > bestScore || (isTie && static_cast<double>(randomBits() >> 11) * 0x1p-53 * tieCount >= 1)))
            continue;
        chosen = backend;
        bestScore = score;
    }
    Backend* preferred = isLarge ? preferredReader(shape, candidates, affinityBackend, *chosen, now) : nullptr;
    chosen = preferred ? preferred : chosen;
    choice.uncachedTokens_ = uncachedAt(*chosen, shape, affinityBackend, now);
    choice.queuedTokensAhead_ = { chosen->ownLoad_.queuedTokens_ + chosen->peerLoad_.queuedTokens_ };
    choice.running_ = chosen->ownLoad_.running_ + chosen->peerLoad_.running_;
    choice.estimate_ = milliseconds(static_cast<std::int64_t>(estimateMs(*chosen, shape, choice.uncachedTokens_)));
    choice.queueWait_ = milliseconds(static_cast<std::int64_t>(queueWaitMs(*chosen, shape)));
    if (chosen->requestLimit_.holds())
        chosen->bucket_.take(now);
    chosen->ownLoad_.running_ += 1;
    chosen->ownLoad_.queuedTokens_ += choice.uncachedTokens_.value_;
    if (const PromptPart* shared = sharedPart(shape)) {
        if (chosen->partSentAt_.size() >= maxRememberedParts)
            std::erase_if(chosen->partSentAt_, [&](const auto& part) { return now - part.second >= settings_.assumedCacheLifetime_; });
        if (chosen->partSentAt_.size() < maxRememberedParts)
            chosen->partSentAt_[shared->id_] = now;
    }
    choice.backend_ = chosen->record_;
    choice.slowdown_ = chosen->slowdown_;
    return choice;
}

} // namespace pistachioloom
