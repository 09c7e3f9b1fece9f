//===- lib/Backends/Backends.cpp - records and loads of backend servers ----===//
///
/// \file
/// Registration, loads and outcomes; the choice itself is in Choice.cpp.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cassert>

namespace pistachioloom {

// How much one observation moves a running average.
static constexpr double learningRate = 0.15;
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

BackendBook::BackendBook(DataCentreId own, ChoiceSettings settings)
    : ownDataCentre_(std::move(own))
    , settings_(settings)
{
}

void BackendBook::put(const BackendRecord& record)
{
    std::lock_guard lock(mutex_);
    Backend& backend = backends_[record.id_];
    // A leaving backend server never takes new work again under the same id.
    bool isLeaving = backend.record_.isLeaving_ || record.isLeaving_;
    backend.record_ = record;
    backend.record_.isLeaving_ = isLeaving;
}

void BackendBook::remove(const BackendId& id)
{
    std::lock_guard lock(mutex_);
    backends_.erase(id);
}

bool BackendBook::setLeaving(const BackendId& id)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end() || found->second.record_.isLeaving_)
        return false;
    found->second.record_.isLeaving_ = true;
    return true;
}

std::vector<BackendRecord> BackendBook::records() const
{
    std::lock_guard lock(mutex_);
    std::vector<BackendRecord> records;
    for (const auto& [id, backend] : backends_)
        records.push_back(backend.record_);
    return records;
}

std::optional<BackendRecord> BackendBook::find(const BackendId& id) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found == backends_.end() ? std::nullopt : std::optional(found->second.record_);
}

void BackendBook::began(const BackendId& id, const RequestShape& shape, TokenCount uncached, milliseconds wait)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return;
    Backend& backend = found->second;
    double estimated = std::max(1.0, estimateMs(backend, shape, uncached) / backend.slowness_);
    backend.own_.queuedTokens_ -= std::min(backend.own_.queuedTokens_, uncached.value_);
    double observed = std::clamp(static_cast<double>(wait.count()) / estimated, leastSlowness, mostSlowness);
    backend.slowness_ += learningRate * (observed - backend.slowness_);
}

void BackendBook::fail(Backend& backend, SteadyTime now)
{
    if (++backend.failures_ < settings_.failuresToEject_)
        return;
    backend.ejection_ = backend.ejection_.count() ? std::min(backend.ejection_ * 2, settings_.longestEjection_) : settings_.firstEjection_;
    backend.ejectedUntil_ = now + backend.ejection_;
}

void BackendBook::end(const BackendId& id, TokenCount uncached, bool hasBegun, BackendOutcome outcome, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return;
    Backend& backend = found->second;
    if (backend.own_.running_)
        --backend.own_.running_;
    if (!hasBegun)
        backend.own_.queuedTokens_ -= std::min(backend.own_.queuedTokens_, uncached.value_);
    switch (outcome) {
    case BackendOutcome::Served:
        backend.failures_ = 0;
        backend.ejection_ = {};
        backend.failedShare_ -= learningRate * backend.failedShare_;
        return;
    case BackendOutcome::Failed:
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
        backend.failures_ = std::max(backend.failures_, settings_.failuresToEject_);
        fail(backend, now);
        return;
    case BackendOutcome::Broken:
        backend.failedShare_ += learningRate * (1 - backend.failedShare_);
        fail(backend, now);
        return;
    case BackendOutcome::Abandoned:
        return;
    }
}

std::map<BackendId, BackendLoad> BackendBook::ownLoads() const
{
    std::lock_guard lock(mutex_);
    std::map<BackendId, BackendLoad> loads;
    for (const auto& [id, backend] : backends_) {
        if (backend.own_.running_)
            loads[id] = backend.own_;
    }
    return loads;
}

void BackendBook::setPeerLoads(const VmId& peer, std::map<BackendId, BackendLoad> loads, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    peers_[peer] = { now, std::move(loads) };
    sumPeerLoads(now);
}

void BackendBook::sumPeerLoads(SteadyTime now)
{
    for (auto& [id, backend] : backends_)
        backend.peers_ = {};
    for (const auto& [peer, told] : peers_) {
        if (now - told.at_ > settings_.peerLoadValidity_)
            continue;
        for (const auto& [id, load] : told.loads_) {
            auto found = backends_.find(id);
            if (found == backends_.end())
                continue;
            found->second.peers_.running_ += load.running_;
            found->second.peers_.queuedTokens_ += load.queuedTokens_;
        }
    }
}

BackendBook::Occupancy BackendBook::occupancy(const ServiceName& service, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    Occupancy sum;
    for (const auto& [id, backend] : backends_) {
        if (backend.record_.service_ != service || !isUsable(backend, now))
            continue;
        ++sum.backends_;
        sum.slots_ += backend.record_.slots_;
        sum.running_ += backend.own_.running_ + backend.peers_.running_;
        sum.queuedTokens_ += backend.own_.queuedTokens_ + backend.peers_.queuedTokens_;
    }
    return sum;
}

} // namespace pistachioloom
