//===- lib/Backends/Backends.cpp - records and loads of backend servers ----===//
///
/// \file
/// Loads and outcomes; registration is in Registration.cpp, the choice in Choice.cpp.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>

namespace pistachioloom {

// How much one observation moves a running average.
static constexpr double learningRate = 0.15;
// The reading rate of a service is learnt from some hundred requests.
static constexpr double rateLearning = 0.005;
// How long slots are held differs a hundredfold between requests.
static constexpr double heldLearning = 0.02;
static constexpr std::uint64_t leastObservations = 12;
// A learnt rate may differ from the configured one by this factor at most.
static constexpr double mostOffFallback = 8;
// A first event takes no longer than this beside the prompt, in ms: 15 ms and some
// steps of a batch.
static constexpr double longestFirstEventMs = 150;
static constexpr double leastSlowness = 0.5;
static constexpr double mostSlowness = 8;

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

BackendId backendId(const BackendName& name, BackendStart start)
{
    return { start.value_ ? name.value_ + "@" + std::to_string(start.value_) : name.value_ };
}

BackendKey keyOf(const BackendId& id)
{
    return static_cast<BackendKey>(stableHash(id.value_));
}

BackendBook::BackendBook(DataCentreId own, ChoiceSettings settings)
    : ownDataCentre_(std::move(own))
    , settings_(settings)
{
}

double BackendBook::rateOf(const ServiceName& service) const
{
    auto found = rates_.find(service);
    return found == rates_.end() ? settings_.prefillPerMs_ : found->second.prefillPerMs(settings_.prefillPerMs_);
}

double BackendBook::firstEventMs(const ServiceName& service) const
{
    auto found = rates_.find(service);
    return found == rates_.end() ? settings_.firstEventMs_ : found->second.firstEventMs(rateOf(service), settings_.firstEventMs_);
}

std::map<ServiceName, BackendBook::ServiceView> BackendBook::services() const
{
    std::lock_guard lock(mutex_);
    std::map<ServiceName, ServiceView> views;
    for (const auto& [service, rate] : rates_)
        views[service] = { rate.tokensAsked_, rateOf(service), rate.observations_ };
    return views;
}

void BackendBook::accept(const BackendChoice& choice)
{
    std::lock_guard lock(mutex_);
    rates_[choice.backend_.service_].tokensAsked_ += choice.uncached_.value_;
}

void BackendBook::refuse(const BackendChoice& choice)
{
    std::lock_guard lock(mutex_);
    rates_[choice.backend_.service_].tokensAsked_ += choice.uncached_.value_ / 2;
    auto found = backends_.find(choice.backend_.id_);
    if (found != backends_.end())
        takeBack(found->second, choice.uncached_, false);
}

void BackendBook::refuseWithout(const RequestShape& shape)
{
    std::lock_guard lock(mutex_);
    rates_[shape.service_].tokensAsked_ += shape.promptTokens_.value_ / 2;
}

/// Ends the count of a request that was under way at \p backend.
void BackendBook::takeBack(Backend& backend, TokenCount uncached, bool hasBegun)
{
    if (backend.own_.running_)
        --backend.own_.running_;
    if (!hasBegun)
        backend.own_.queuedTokens_ -= std::min(backend.own_.queuedTokens_, uncached.value_);
}

double BackendBook::began(const BackendChoice& choice, const RequestShape& shape, milliseconds wait)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(choice.backend_.id_);
    if (found == backends_.end())
        return 1;
    Backend& backend = found->second;
    noteReached(backend);
    backend.own_.queuedTokens_ -= std::min(backend.own_.queuedTokens_, choice.uncached_.value_);
    double waited = std::max(1.0, static_cast<double>(wait.count()));
    double estimated = std::max(1.0, static_cast<double>(choice.estimate_.count()) / (shape.isForEngine_ ? slowFactor(backend) : backend.slowness_));
    double observed = std::clamp(waited / estimated, leastSlowness, mostSlowness);
    backend.slowness_ += learningRate * (observed - backend.slowness_);
    std::uint64_t tokens = choice.uncached_.value_;
    // Behind a queue the rate would be that of others' requests, which are known
    // late: what has long been read would count as read by this one. The same holds
    // for the wait for a slot.
    if (shape.isForEngine_ && !choice.queuedAhead_.value_ && choice.running_ < choice.backend_.slots_)
        rates_[shape.service_].observe(static_cast<double>(tokens), waited);
    return waited / estimated;
}

void BackendBook::ServiceRate::observe(double tokens, double waitedMs)
{
    // The first observations count alike.
    double weight = std::max(rateLearning, 1.0 / static_cast<double>(++observations_));
    meanTokens_ += weight * (tokens - meanTokens_);
    meanWait_ += weight * (waitedMs - meanWait_);
    meanSquare_ += weight * (tokens * tokens - meanSquare_);
    meanProduct_ += weight * (tokens * waitedMs - meanProduct_);
}

void BackendBook::ServiceRate::observeHeld(milliseconds held)
{
    auto ms = static_cast<double>(held.count());
    heldMs_ = heldMs_.value_or(ms);
    *heldMs_ += heldLearning * (ms - *heldMs_);
}

double BackendBook::ServiceRate::prefillPerMs(double fallback) const
{
    double variance = meanSquare_ - meanTokens_ * meanTokens_;
    double covariance = meanProduct_ - meanTokens_ * meanWait_;
    if (observations_ < leastObservations || variance <= 0 || covariance <= 0)
        return fallback;
    return std::clamp(variance / covariance, fallback / mostOffFallback, fallback * mostOffFallback);
}

double BackendBook::ServiceRate::firstEventMs(double prefillPerMs, double fallback) const
{
    if (observations_ < leastObservations)
        return fallback;
    return std::clamp(meanWait_ - meanTokens_ / prefillPerMs, 0.0, longestFirstEventMs);
}

void BackendBook::noteReached(const BackendId& id)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found != backends_.end())
        noteReached(found->second);
}

bool BackendBook::isReached(const DataCentreId& dataCentre) const
{
    std::lock_guard lock(mutex_);
    return isReachedLocked(dataCentre);
}

bool BackendBook::isReachedLocked(const DataCentreId& dataCentre) const
{
    auto failed = failedIn_.find(dataCentre);
    return failed == failedIn_.end() || failed->second.size() < settings_.failuresToLose_;
}

std::vector<BackendRecord> BackendBook::unreached() const
{
    std::lock_guard lock(mutex_);
    std::map<DataCentreId, std::vector<const BackendRecord*>> candidates;
    for (const auto& [id, backend] : backends_) {
        if (!isReachedLocked(backend.record_.dataCentre_) && !backend.record_.isLeaving_)
            candidates[backend.record_.dataCentre_].push_back(&backend.record_);
    }
    std::vector<BackendRecord> drawn;
    for (const auto& [dataCentre, records] : candidates)
        drawn.push_back(*records[randomBits() % records.size()]);
    return drawn;
}

void BackendBook::fail(Backend& backend, SteadyTime now)
{
    if (++backend.failures_ < settings_.failuresToEject_)
        return;
    backend.ejection_ = backend.ejection_.count() ? std::min(backend.ejection_ * 2, settings_.longestEjection_) : settings_.firstEjection_;
    backend.ejectedUntil_ = now + backend.ejection_;
}

void BackendBook::end(const BackendId& id, const SendResult& result, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return;
    Backend& backend = found->second;
    takeBack(backend, result.uncached_, result.hasBegun_);
    switch (result.outcome_) {
    case BackendOutcome::Served:
        noteReached(backend);
        rates_[backend.record_.service_].observeHeld(result.streamed_);
        backend.failures_ = 0;
        backend.ejection_ = {};
        backend.failedShare_ -= learningRate * backend.failedShare_;
        return;
    case BackendOutcome::Failed:
        noteReached(backend);
        backend.failedShare_ += learningRate * (1 - backend.failedShare_);
        return;
    case BackendOutcome::Full:
        backend.ejectedUntil_ = std::max(backend.ejectedUntil_, now + settings_.fullPause_);
        return;
    case BackendOutcome::WrongInstance:
        // The record is stale: the address belongs to somebody else now.
        backends_.erase(found);
        return;
    case BackendOutcome::Unreachable:
        failedIn_[backend.record_.dataCentre_].insert(id);
        backend.failures_ = std::max(backend.failures_, settings_.failuresToEject_);
        fail(backend, now);
        return;
    case BackendOutcome::Broken:
        failedIn_[backend.record_.dataCentre_].insert(id);
        backend.failedShare_ += learningRate * (1 - backend.failedShare_);
        fail(backend, now);
        return;
    case BackendOutcome::Abandoned:
        return;
    }
}

std::map<BackendKey, BackendLoad> BackendBook::ownLoads() const
{
    std::lock_guard lock(mutex_);
    std::map<BackendKey, BackendLoad> loads;
    for (const auto& [id, backend] : backends_) {
        if (backend.own_.running_)
            loads[backend.key_] = backend.own_;
    }
    return loads;
}

void BackendBook::setPeerLoads(const VmId& peer, std::map<BackendKey, BackendLoad> loads, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    peers_[peer] = { now, std::move(loads) };
    sumPeerLoads(now);
}

void BackendBook::forgetPeer(const VmId& peer)
{
    std::lock_guard lock(mutex_);
    peers_.erase(peer);
}

void BackendBook::sumPeerLoads(SteadyTime now)
{
    std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.at_ > settings_.peerLoadValidity_; });
    for (auto& [id, backend] : backends_) {
        backend.peers_ = {};
        for (const auto& [peer, told] : peers_) {
            auto found = told.loads_.find(backend.key_);
            if (found == told.loads_.end())
                continue;
            backend.peers_.running_ += found->second.running_;
            backend.peers_.queuedTokens_ += found->second.queuedTokens_;
        }
    }
}

BackendBook::Versions BackendBook::versions(const ServiceName& service, const BackendVersion& target) const
{
    std::lock_guard lock(mutex_);
    Versions versions;
    for (const auto& [id, backend] : backends_) {
        if (backend.record_.service_ != service)
            continue;
        bool isTarget = backend.record_.version_ == target;
        if (!isTarget)
            versions.othersRunning_ += backend.own_.running_ + backend.peers_.running_;
        if (!backend.record_.isLeaving_)
            ++(isTarget ? versions.target_ : versions.others_);
    }
    return versions;
}

BackendBook::Occupancy BackendBook::occupancy(const ServiceName& service) const
{
    std::lock_guard lock(mutex_);
    Occupancy sum;
    for (const auto& [id, backend] : backends_) {
        if (backend.record_.service_ != service || backend.record_.isLeaving_)
            continue;
        sum.taken_ += std::min<std::uint64_t>(backend.record_.slots_, backend.own_.running_ + backend.peers_.running_);
        sum.slots_ += backend.record_.slots_;
        ++sum.backends_;
    }
    return sum;
}

} // namespace pistachioloom
