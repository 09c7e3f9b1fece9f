//===- lib/Backends/Backends.cpp - loads and outcomes of backend servers ---===//
///
/// \file
/// Implements the accounting of loads and outcomes. Registration.cpp implements the
/// registration, Choice.cpp the choice.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>

namespace pistachioloom {

// Weight of one observation in a moving average.
static constexpr double learningRate = 0.15;
// Slot hold times differ by a factor of a hundred between requests.
static constexpr double slotHoldLearningRate = 0.02;
static constexpr double minSlowness = 0.5;
static constexpr double maxSlowness = 8;

std::string_view toString(BackendOutcome outcome)
{
    switch (outcome) {
    case BackendOutcome::Served:
        return "served";
    case BackendOutcome::Failed:
        return "failed";
    case BackendOutcome::Full:
        return "full";
    case BackendOutcome::WrongInstance:
        return "wrong_instance";
    case BackendOutcome::Unreachable:
        return "unreachable";
    case BackendOutcome::Broken:
        return "broken";
    case BackendOutcome::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

std::string_view toString(ConditionKind kind)
{
    switch (kind) {
    case ConditionKind::Leaving:
        return "leaving";
    case ConditionKind::Pause:
        return "pause";
    case ConditionKind::RequestLimit:
        return "request_limit";
    case ConditionKind::Brittle:
        return "brittle";
    case ConditionKind::Removed:
        return "removed";
    }
    return "unknown";
}

BackendId backendId(const BackendName& name, BackendStartTime start)
{
    return { start.value_ ? name.value_ + "@" + std::to_string(start.value_) : name.value_ };
}

SoftwareKey softwareKeyOf(const ServiceName& service, const BackendVersion& version)
{
    return { digest64({ service.value_, version.value_ }) };
}

BackendKey keyOf(const BackendId& id)
{
    return static_cast<BackendKey>(stableHash(id.value_));
}

BackendTable::BackendTable(DataCentreId own, ChoiceSettings settings)
    : ownDataCentre_(std::move(own))
    , settings_(settings)
{
}

double BackendTable::prefillRateOf(const ServiceName& service) const
{
    auto found = estimators_.find(service);
    return found == estimators_.end() ? settings_.prefillPerMs_ : found->second.moments_.prefillPerMs(settings_.prefillPerMs_);
}

double BackendTable::firstEventOverheadMs(const ServiceName& service) const
{
    auto found = estimators_.find(service);
    return found == estimators_.end() ? settings_.firstEventOverheadMs_ : found->second.moments_.overheadMs(prefillRateOf(service), settings_.firstEventOverheadMs_);
}

std::map<ServiceName, BackendTable::ServiceStatistics> BackendTable::services() const
{
    std::lock_guard lock(mutex_);
    std::map<ServiceName, ServiceStatistics> statistics;
    for (const auto& [service, estimator] : estimators_)
        statistics[service] = { estimator.tokensRequested_, estimator.moments_.prefillPerMs(settings_.prefillPerMs_), estimator.observations_, estimator.moments_ };
    return statistics;
}

void BackendTable::noteAdmitted(const BackendChoice& choice)
{
    std::lock_guard lock(mutex_);
    estimators_[choice.backend_.service_].tokensRequested_ += choice.uncachedTokens_.value_;
}

void BackendTable::noteRejected(const BackendChoice& choice)
{
    std::lock_guard lock(mutex_);
    estimators_[choice.backend_.service_].tokensRequested_ += choice.uncachedTokens_.value_ / 2;
    withdrawLocked(choice);
}

void BackendTable::withdraw(const BackendChoice& choice)
{
    std::lock_guard lock(mutex_);
    withdrawLocked(choice);
}

void BackendTable::withdrawLocked(const BackendChoice& choice)
{
    auto found = backends_.find(choice.backend_.id_);
    if (found == backends_.end())
        return;
    releaseLoad(found->second, choice.uncachedTokens_, false);
    if (found->second.requestLimit_.holds())
        found->second.bucket_.giveBack();
}

void BackendTable::noteNoBackend(const RequestShape& shape)
{
    std::lock_guard lock(mutex_);
    estimators_[shape.service_].tokensRequested_ += shape.promptTokens_.value_ / 2;
}

/// Removes a request from the load in progress at \p backend.
void BackendTable::releaseLoad(Backend& backend, TokenCount uncached, bool hasFirstByte)
{
    if (backend.ownLoad_.running_)
        --backend.ownLoad_.running_;
    if (!hasFirstByte)
        backend.ownLoad_.queuedTokens_ -= std::min(backend.ownLoad_.queuedTokens_, uncached.value_);
}

double BackendTable::noteFirstByte(const BackendChoice& choice, const RequestShape& shape, milliseconds wait, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(choice.backend_.id_);
    if (found == backends_.end())
        return 1;
    Backend& backend = found->second;
    noteReachable(backend);
    backend.isFull_ = false;
    backend.ownLoad_.queuedTokens_ -= std::min(backend.ownLoad_.queuedTokens_, choice.uncachedTokens_.value_);
    double waited = std::max(1.0, static_cast<double>(wait.count()));
    double estimated = std::max(1.0, static_cast<double>(choice.estimate_.count()) / (shape.isForEngine_ ? choice.slowdown_.value_or(ownSlowdownFactor(backend)) : backend.slowness_));
    double observed = std::clamp(waited / estimated, minSlowness, maxSlowness);
    backend.slowness_ += learningRate * (observed - backend.slowness_);
    if (shape.isForEngine_)
        backend.waits_.observe(waited / estimated, now);
    std::uint64_t tokens = choice.uncachedTokens_.value_;
    // The prefill rate is learnt only from requests that found a free slot and no queued
    // prompt tokens. Loads that peers report arrive with a delay: prompts that the engine
    // has already read would count as read during this wait, and slots that are free
    // again would count as waited for.
    if (shape.isForEngine_ && !choice.queuedTokensAhead_.value_ && choice.running_ < choice.backend_.slots_)
        estimators_[shape.service_].observeWait(static_cast<double>(tokens), waited);
    return waited / estimated;
}

void BackendTable::ServiceEstimator::observeWait(double tokens, double waitedMs)
{
    ++observations_;
    moments_.observe(tokens, waitedMs);
}

void BackendTable::ServiceEstimator::observeSlotHold(milliseconds held)
{
    auto ms = static_cast<double>(held.count());
    meanSlotHoldMs_ = meanSlotHoldMs_.value_or(ms);
    *meanSlotHoldMs_ += slotHoldLearningRate * (ms - *meanSlotHoldMs_);
}

void BackendTable::noteReachable(const BackendId& id)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found != backends_.end())
        noteReachable(found->second);
}

std::uint64_t BackendTable::latestAliveOrder() const
{
    std::lock_guard lock(mutex_);
    return lastAliveOrder_;
}

bool BackendTable::wasAliveSince(const BackendId& id, std::uint64_t order) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found != backends_.end() && found->second.aliveOrder_ > order;
}

bool BackendTable::isReachable(const DataCentreId& dataCentre) const
{
    std::lock_guard lock(mutex_);
    return isReachableLocked(dataCentre);
}

bool BackendTable::isReachableLocked(const DataCentreId& dataCentre) const
{
    auto failed = failedByDataCentre_.find(dataCentre);
    return failed == failedByDataCentre_.end() || failed->second.size() < settings_.unreachableThreshold_;
}

std::vector<BackendRecord> BackendTable::unreachableSample() const
{
    std::lock_guard lock(mutex_);
    std::map<DataCentreId, std::vector<const BackendRecord*>> candidates;
    for (const auto& [id, backend] : backends_) {
        if (!isReachableLocked(backend.record_.dataCentre_) && backend.isAccepting())
            candidates[backend.record_.dataCentre_].push_back(&backend.record_);
    }
    std::vector<BackendRecord> drawn;
    for (const auto& [dataCentre, records] : candidates)
        drawn.push_back(*records[randomBits() % records.size()]);
    return drawn;
}

void BackendTable::forgetFailures(const ServiceName& service, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    for (auto& [id, backend] : backends_) {
        if (backend.record_.service_ != service)
            continue;
        backend.consecutiveFailures_ = 0;
        backend.ejectionTime_ = {};
        backend.ejectedUntil_ = std::min(backend.ejectedUntil_, now);
        for (auto& [dataCentre, failed] : failedByDataCentre_)
            failed.erase(id);
    }
}

std::vector<BackendRecord> BackendTable::sampleOf(const ServiceName& service, std::size_t count) const
{
    using Candidate = std::pair<std::uint64_t, BackendRecord>;
    std::map<DataCentreId, std::vector<Candidate>> byDataCentre;
    {
        std::lock_guard lock(mutex_);
        for (const auto& [id, backend] : backends_) {
            if (backend.record_.service_ == service && backend.isAccepting())
                byDataCentre[backend.record_.dataCentre_].emplace_back(backend.aliveOrder_, backend.record_);
        }
    }
    for (auto& [dataCentre, candidates] : byDataCentre)
        std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) { return left.first < right.first; });
    std::vector<BackendRecord> sample;
    while (sample.size() < count && !byDataCentre.empty()) {
        for (auto next = byDataCentre.begin(); next != byDataCentre.end() && sample.size() < count;) {
            sample.push_back(std::move(next->second.back().second));
            next->second.pop_back();
            next = next->second.empty() ? byDataCentre.erase(next) : std::next(next);
        }
    }
    return sample;
}

void BackendTable::recordFailure(Backend& backend, SteadyTime now)
{
    if (++backend.consecutiveFailures_ < settings_.failuresToEject_)
        return;
    backend.ejectionTime_ = backend.ejectionTime_.count() ? std::min(backend.ejectionTime_ * 2, settings_.maxEjection_) : settings_.initialEjection_;
    backend.ejectedUntil_ = now + backend.ejectionTime_;
}

void BackendTable::end(const BackendId& id, const SendResult& result, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return;
    Backend& backend = found->second;
    releaseLoad(backend, result.uncachedTokens_, result.hasFirstByte_);
    switch (result.outcome_) {
    case BackendOutcome::Served:
        noteReachable(backend);
        estimators_[backend.record_.service_].observeSlotHold(result.streamingTime_);
        backend.consecutiveFailures_ = 0;
        backend.ejectionTime_ = {};
        backend.failedShare_ -= learningRate * backend.failedShare_;
        return;
    case BackendOutcome::Failed:
        noteReachable(backend);
        backend.failedShare_ += learningRate * (1 - backend.failedShare_);
        return;
    case BackendOutcome::Full:
        backend.isFull_ = true;
        backend.ejectedUntil_ = std::max(backend.ejectedUntil_, now + settings_.fullBackoff_);
        return;
    case BackendOutcome::WrongInstance:
        // The record is outdated, since another server has the address.
        erase(found, now);
        return;
    case BackendOutcome::Unreachable:
        backend.aliveOrder_ = 0;
        failedByDataCentre_[backend.record_.dataCentre_].insert(id);
        backend.consecutiveFailures_ = std::max(backend.consecutiveFailures_, settings_.failuresToEject_);
        recordFailure(backend, now);
        return;
    case BackendOutcome::Broken:
        backend.aliveOrder_ = 0;
        failedByDataCentre_[backend.record_.dataCentre_].insert(id);
        backend.failedShare_ += learningRate * (1 - backend.failedShare_);
        recordFailure(backend, now);
        return;
    case BackendOutcome::Abandoned:
        return;
    }
}

std::map<BackendKey, BackendLoad> BackendTable::ownLoads(SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    std::map<BackendKey, BackendLoad> loads;
    for (const auto& [id, backend] : backends_) {
        BackendLoad load = backend.ownLoad_;
        if (settings_.sharesEngineSpeeds_)
            backend.waits_.at(now).putInto(load);
        if (load.running_ || load.waitSamples_)
            loads[backend.key_] = load;
    }
    return loads;
}

void BackendTable::setPeerLoads(const VmId& peer, std::map<BackendKey, BackendLoad> loads, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    peers_[peer] = { now, std::move(loads) };
    sumPeerLoads(now);
}

void BackendTable::forgetPeer(const VmId& peer)
{
    std::lock_guard lock(mutex_);
    peers_.erase(peer);
}

void BackendTable::sumPeerLoads(SteadyTime now)
{
    peerLoadsAt_ = now;
    std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.receivedAt_ > settings_.peerLoadValidity_; });
    for (auto& [id, backend] : backends_) {
        backend.peerLoad_ = {};
        for (const auto& [peer, reported] : peers_) {
            auto found = reported.loads_.find(backend.key_);
            if (found == reported.loads_.end())
                continue;
            backend.peerLoad_.running_ += found->second.running_;
            backend.peerLoad_.queuedTokens_ += found->second.queuedTokens_;
            backend.peerLoad_.waitSamples_ += found->second.waitSamples_;
            backend.peerLoad_.waitRatios_ += found->second.waitRatios_;
        }
    }
}

BackendTable::VersionCounts BackendTable::versions(const ServiceName& service, const BackendVersion& target) const
{
    std::lock_guard lock(mutex_);
    VersionCounts versions;
    for (const auto& [id, backend] : backends_) {
        if (backend.record_.service_ != service)
            continue;
        bool isTarget = backend.record_.version_ == target;
        if (!isTarget)
            versions.othersRunning_ += backend.ownLoad_.running_ + backend.peerLoad_.running_;
        if (backend.isAccepting())
            ++(isTarget ? versions.target_ : versions.others_);
    }
    return versions;
}

BackendTable::Occupancy BackendTable::occupancy(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    Occupancy sum;
    if (peerLoadsAt_ != SteadyTime {})
        sum.peersReportedAt_ = peerLoadsAt_;
    for (const auto& [id, backend] : backends_) {
        if (backend.record_.service_ != service || !backend.isAccepting())
            continue;
        sum.takenSlots_ += std::min<std::uint64_t>(backend.record_.slots_, backend.ownLoad_.running_ + backend.peerLoad_.running_);
        sum.slots_ += backend.record_.slots_;
        ++sum.backends_;
        sum.loadedByPeers_ += backend.peerLoad_.running_ > 0;
    }
    return sum;
}

} // namespace pistachioloom
