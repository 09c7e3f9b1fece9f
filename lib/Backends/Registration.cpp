//===- lib/Backends/Registration.cpp - which backend servers there are -----===//
///
/// \file
/// Records of backend servers, and what they say of themselves: that they leave, or
/// want to be left alone for a while.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cassert>

namespace pistachioloom {

// Names whose newest start is remembered after they are gone: some minutes' worth at
// 2,100 backend servers, 100 bytes each.
static constexpr std::size_t mostGoneNames = 1024;
// A backend server that leaves is gone within a minute.
static constexpr milliseconds leavingMemory { 60000 };

BackendBook::Registered BackendBook::put(const BackendRecord& record)
{
    assert(!record.name_.isEmpty() && "a backend server registers by a name");
    std::lock_guard lock(mutex_);
    BackendStart& newest = newestStarts_.try_emplace(record.name_, record.start_).first->second;
    if (record.start_ < newest)
        return Registered::Outdated;
    bool isRestart = newest < record.start_ && backends_.contains(backendId(record.name_, newest));
    if (isRestart)
        forget(backendId(record.name_, newest));
    newest = record.start_;
    bool isNew = !backends_.contains(record.id_);
    Backend& backend = backends_[record.id_];
    // A leaving backend server never takes new work again under the same id.
    bool isLeaving = backend.record_.isLeaving_ || record.isLeaving_ || goneLeaving_.contains(record.id_);
    backend.record_ = record;
    backend.hash_ = stableHash(record.id_.value_);
    backend.key_ = keyOf(record.id_);
    backend.record_.isLeaving_ = isLeaving;
    if (isRestart)
        return Registered::Restarted;
    return isNew ? Registered::New : Registered::Again;
}

/// What is believed of \p id ends with it.
void BackendBook::forget(const BackendId& id)
{
    for (auto& [dataCentre, failed] : failedIn_)
        failed.erase(id);
    backends_.erase(id);
}

void BackendBook::rememberLeaving(const BackendId& id, SteadyTime now)
{
    std::erase_if(goneLeaving_, [&](const auto& gone) { return now - gone.second > leavingMemory; });
    if (goneLeaving_.size() < mostGoneNames)
        goneLeaving_.try_emplace(id, now);
}

void BackendBook::remove(const BackendId& id, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return;
    if (found->second.record_.isLeaving_)
        rememberLeaving(id, now);
    goneNames_.push_back(found->second.record_.name_);
    backends_.erase(found);
    if (goneNames_.size() <= mostGoneNames)
        return;
    BackendName oldest = goneNames_.front();
    goneNames_.pop_front();
    auto newest = newestStarts_.find(oldest);
    if (newest != newestStarts_.end() && !backends_.contains(backendId(oldest, newest->second)))
        newestStarts_.erase(newest);
}

bool BackendBook::setLeaving(const BackendId& id, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        rememberLeaving(id, now);
    if (found == backends_.end() || found->second.record_.isLeaving_)
        return false;
    found->second.record_.isLeaving_ = true;
    return true;
}

void BackendBook::setEnded(const BackendId& id, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found != backends_.end())
        found->second.ejectedUntil_ = std::max(found->second.ejectedUntil_, now + settings_.longestEjection_);
}

void BackendBook::setPause(const BackendId& id, milliseconds pause, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found != backends_.end())
        found->second.pausedUntil_ = std::max(found->second.pausedUntil_, now + std::min(pause, settings_.longestPause_));
}

std::optional<milliseconds> BackendBook::pauseOf(const ServiceName& service, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    std::optional<SteadyTime> first;
    for (const auto& [id, backend] : backends_) {
        if (backend.record_.service_ != service || backend.record_.isLeaving_)
            continue;
        if (backend.pausedUntil_ <= now)
            return std::nullopt;
        first = std::min(first.value_or(backend.pausedUntil_), backend.pausedUntil_);
    }
    if (!first)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(*first - now);
}

bool BackendBook::mayReceive(const BackendId& id, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found != backends_.end() && !found->second.record_.isLeaving_ && found->second.pausedUntil_ <= now;
}

std::vector<BackendRecord> BackendBook::records() const
{
    std::lock_guard lock(mutex_);
    std::vector<BackendRecord> records;
    for (const auto& [id, backend] : backends_)
        records.push_back(backend.record_);
    return records;
}

std::uint64_t BackendBook::fingerprint() const
{
    std::lock_guard lock(mutex_);
    std::uint64_t hash = 0;
    for (const auto& [id, backend] : backends_)
        hash = stableHash(id.value_ + (backend.record_.isLeaving_ ? "-" : "+"), hash);
    return hash;
}

std::optional<BackendRecord> BackendBook::find(const BackendId& id) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found == backends_.end() ? std::nullopt : std::optional(found->second.record_);
}

std::optional<BackendRecord> BackendBook::findNewest(const BackendName& name) const
{
    std::lock_guard lock(mutex_);
    auto newest = newestStarts_.find(name);
    if (newest == newestStarts_.end())
        return std::nullopt;
    auto found = backends_.find(backendId(name, newest->second));
    return found == backends_.end() ? std::nullopt : std::optional(found->second.record_);
}

bool BackendBook::isDeparting(const BackendId& id) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found != backends_.end() && found->second.record_.isLeaving_ && found->second.record_.isReclaimable_;
}

} // namespace pistachioloom
