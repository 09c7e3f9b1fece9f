//===- lib/Backends/Registration.cpp - registration of backend servers -----===//
///
/// \file
/// Implements the records of backend servers and the conditions that the servers state: that
/// they leave, ask for a pause without requests, or limit the requests a second.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cassert>

namespace pistachioloom {

// Number of removed backend servers whose newest start time is kept. With 2,100 backend
// servers this number covers the removals of some minutes. Each start time takes 100
// bytes.
static constexpr std::size_t maxRemovedNames = 1024;
// Time for which a removed server is remembered as leaving. A leaving backend server
// terminates within a minute.
static constexpr milliseconds leavingRetention { 60000 };

// Time for which the software of a removed server is remembered. No stream runs for longer.
static constexpr milliseconds removedSoftwareRetention { 600000 };

BackendTable::PutResult BackendTable::put(const BackendRecord& record)
{
    assert(!record.name_.isEmpty() && "a registered backend server has a name");
    std::lock_guard lock(mutex_);
    BackendStartTime& newest = newestStarts_.try_emplace(record.name_, record.startTime_).first->second;
    if (record.startTime_ < newest)
        return PutResult::Outdated;
    bool isRestart = newest < record.startTime_ && backends_.contains(backendId(record.name_, newest));
    if (isRestart)
        forget(backendId(record.name_, newest));
    newest = record.startTime_;
    bool isNew = !backends_.contains(record.id_);
    Backend& backend = backends_[record.id_];
    if (isNew)
        backend.aliveOrder_ = ++lastAliveOrder_;
    SoftwareKey software = softwareKeyOf(record.service_, record.version_);
    if (!isNew && backend.software_ != software)
        rememberSoftware(backend, std::nullopt);
    backend.software_ = software;
    // A leaving backend server never takes new requests again under the same id.
    bool isLeaving = backend.record_.isLeaving_ || record.isLeaving_ || removedLeaving_.contains(record.id_);
    backend.record_ = record;
    backend.isUnlisted_ = false;
    backend.hash_ = stableHash(record.id_.value_);
    backend.nameHash_ = stableHash(record.name_.value_);
    fingerprint_.reset();
    backend.key_ = keyOf(record.id_);
    backend.record_.isLeaving_ = isLeaving;
    if (isRestart)
        return PutResult::Restarted;
    return isNew ? PutResult::New : PutResult::Updated;
}

/// Discards everything learnt about \p id.
void BackendTable::forget(const BackendId& id)
{
    for (auto& [dataCentre, failed] : failedByDataCentre_)
        failed.erase(id);
    auto found = backends_.find(id);
    if (found != backends_.end())
        erase(found, std::nullopt);
}

void BackendTable::erase(std::map<BackendId, Backend>::iterator backend, std::optional<SteadyTime> removedAt)
{
    rememberSoftware(backend->second, removedAt);
    backends_.erase(backend);
    fingerprint_.reset();
}

void BackendTable::rememberSoftware(const Backend& backend, std::optional<SteadyTime> removedAt)
{
    removedSoftware_[backend.record_.service_][backend.software_] = removedAt;
}

void BackendTable::rememberLeaving(const BackendId& id, SteadyTime now)
{
    std::erase_if(removedLeaving_, [&](const auto& removed) { return now - removed.second > leavingRetention; });
    if (removedLeaving_.size() < maxRemovedNames)
        removedLeaving_.try_emplace(id, now);
}

void BackendTable::remove(const BackendId& id, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return;
    if (found->second.record_.isLeaving_)
        rememberLeaving(id, now);
    removedNames_.push_back(found->second.record_.name_);
    erase(found, now);
    if (removedNames_.size() <= maxRemovedNames)
        return;
    BackendName oldest = removedNames_.front();
    removedNames_.pop_front();
    auto newest = newestStarts_.find(oldest);
    if (newest != newestStarts_.end() && !backends_.contains(backendId(oldest, newest->second)))
        newestStarts_.erase(newest);
}

bool BackendTable::setLeaving(const BackendId& id, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        rememberLeaving(id, now);
    if (found == backends_.end() || found->second.record_.isLeaving_)
        return false;
    found->second.record_.isLeaving_ = true;
    fingerprint_.reset();
    return true;
}

/// A list that was read later than that shows by itself whether the server is registered.
bool BackendTable::setRemoved(const BackendId& id, SteadyTime removedAt)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end() || (removedAt <= listReadAt_ && !found->second.isUnlisted_))
        return false;
    bool wasAccepting = found->second.isAccepting();
    found->second.removedAt_ = std::max(found->second.removedAt_, removedAt);
    fingerprint_.reset();
    return wasAccepting;
}

void BackendTable::noteListRead(SteadyTime readAt)
{
    std::lock_guard lock(mutex_);
    listReadAt_ = std::max(listReadAt_, readAt);
    for (auto& [id, backend] : backends_) {
        if (backend.removedAt_ == SteadyTime {} || backend.removedAt_ > readAt || backend.isUnlisted_)
            continue;
        backend.removedAt_ = {};
        fingerprint_.reset();
    }
}

void BackendTable::setUnlisted(const BackendId& id)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found != backends_.end())
        found->second.isUnlisted_ = true;
}

bool BackendTable::isUnlisted(const BackendId& id) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found != backends_.end() && found->second.isUnlisted_;
}

bool BackendTable::isRemoved(const BackendId& id) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found != backends_.end() && found->second.removedAt_ != SteadyTime {};
}

void BackendTable::setTerminated(const BackendId& id, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return;
    found->second.aliveOrder_ = 0;
    found->second.ejectedUntil_ = std::max(found->second.ejectedUntil_, now + settings_.maxEjection_);
}

void BackendTable::setPause(const BackendId& id, milliseconds pause, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return;
    pause = std::min(pause, settings_.maxPause_);
    // Nodes that return to a brittle server at the same time would fill it again.
    if (found->second.maxRejections_.holds())
        pause += milliseconds(static_cast<std::int64_t>(randomBits() % static_cast<std::uint64_t>(pause.count() / 2 + 1)));
    found->second.pausedUntil_ = std::max(found->second.pausedUntil_, now + pause);
}

bool BackendTable::applyNumber(Backend& backend, ConditionKind kind, double value, SteadyTime statedAt)
{
    Backend::StatedNumber& number = backend.numberOf(kind);
    if (statedAt <= number.statedAt_)
        return false;
    number.statedAt_ = statedAt;
    bool isChanged = number.value_ != value;
    // A server that states a limit anew has no requests of the time before to its credit.
    if (kind == ConditionKind::RequestLimit && !number.holds())
        backend.bucket_ = {};
    if (kind == ConditionKind::Brittle && !number.holds())
        backend.slotShare_ = 1;
    number.value_ = value;
    return isChanged;
}

/// Answers on different connections overtake each other: only a request that was sent after the
/// number was stated shows that it does not hold any more.
void BackendTable::applyStatedNumber(Backend& backend, ConditionKind kind, const std::optional<double>& stated, SteadyTime sentAt, SteadyTime now, std::vector<BackendStatement>& statements)
{
    const Backend::StatedNumber& number = backend.numberOf(kind);
    bool hasEnded = !stated && number.holds() && sentAt > number.statedAt_;
    if (!stated && !hasEnded)
        return;
    applyNumber(backend, kind, stated.value_or(0), now);
    statements.push_back({ backend.record_.id_, kind, stated.value_or(0), now });
}

std::vector<BackendStatement> BackendTable::applyAnswer(const BackendId& id, const StatedConditions& stated, SteadyTime sentAt, SteadyTime now)
{
    std::vector<BackendStatement> statements;
    if (stated.isLeaving_ && setLeaving(id, now))
        statements.push_back({ id, ConditionKind::Leaving, 0, now });
    std::optional<milliseconds> pause = stated.pause_;
    if (!pause && stated.maxRejections_ && stated.isFull_)
        pause = settings_.brittlePause_;
    if (pause) {
        setPause(id, *pause, now);
        statements.push_back({ id, ConditionKind::Pause, static_cast<double>(pause->count()), now });
    }
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found == backends_.end())
        return statements;
    applyStatedNumber(found->second, ConditionKind::RequestLimit, stated.requestLimit_, sentAt, now, statements);
    applyStatedNumber(found->second, ConditionKind::Brittle, stated.maxRejections_, sentAt, now, statements);
    return statements;
}

bool BackendTable::applyStatement(const BackendStatement& statement, SteadyTime now)
{
    switch (statement.kind_) {
    case ConditionKind::Leaving:
        return setLeaving(statement.backend_, now);
    case ConditionKind::Pause: {
        auto pause = milliseconds(static_cast<std::int64_t>(std::min(statement.value_, static_cast<double>(settings_.maxPause_.count()))));
        bool isNew = mayReceive(statement.backend_, now) && statement.statedAt_ + pause > now;
        setPause(statement.backend_, pause, statement.statedAt_);
        return isNew;
    }
    case ConditionKind::Removed:
        return setRemoved(statement.backend_, statement.statedAt_);
    case ConditionKind::RequestLimit:
    case ConditionKind::Brittle:
        break;
    }
    std::lock_guard lock(mutex_);
    auto found = backends_.find(statement.backend_);
    return found != backends_.end() && applyNumber(found->second, statement.kind_, statement.value_, statement.statedAt_);
}

std::vector<std::pair<BackendId, std::uint64_t>> BackendTable::brittleSlots() const
{
    std::lock_guard lock(mutex_);
    std::vector<std::pair<BackendId, std::uint64_t>> brittle;
    for (const auto& [id, backend] : backends_) {
        auto slots = static_cast<std::uint64_t>(settings_.brittleFill_ * static_cast<double>(backend.record_.slots_));
        if (backend.maxRejections_.holds())
            brittle.emplace_back(id, std::max<std::uint64_t>(1, slots));
    }
    return brittle;
}

void BackendTable::setSlotShare(const BackendId& id, std::uint64_t slots)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found != backends_.end())
        found->second.slotShare_ = slots;
}

bool BackendTable::takesRequests(const Backend& backend, SteadyTime now) const
{
    if (backend.pausedUntil_ > now || (backend.requestLimit_.holds() && !backend.bucket_.canTake(now)))
        return false;
    return !backend.maxRejections_.holds() || backend.ownLoad_.running_ < backend.slotShare_;
}

std::vector<std::pair<BackendId, double>> BackendTable::requestLimits() const
{
    std::lock_guard lock(mutex_);
    std::vector<std::pair<BackendId, double>> limits;
    for (const auto& [id, backend] : backends_) {
        if (backend.requestLimit_.holds())
            limits.emplace_back(id, backend.requestLimit_.value_);
    }
    return limits;
}

void BackendTable::setRequestShare(const BackendId& id, RequestShare share, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    if (found != backends_.end())
        found->second.bucket_.setShare(share, now);
}

std::optional<ServiceName> BackendTable::serviceServing(SoftwareKey software) const
{
    std::lock_guard lock(mutex_);
    auto found = std::find_if(backends_.begin(), backends_.end(), [&](const auto& entry) { return entry.second.software_ == software && entry.second.isAccepting(); });
    return found == backends_.end() ? std::nullopt : std::optional(found->second.record_.service_);
}

std::optional<SoftwareKey> BackendTable::soleSoftware(const ServiceName& service, SteadyTime since, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    std::set<SoftwareKey> present;
    for (const auto& [id, backend] : backends_) {
        if (backend.record_.service_ == service)
            present.insert(backend.software_);
    }
    auto removed = removedSoftware_.find(service);
    if (removed != removedSoftware_.end()) {
        for (auto& [software, removedAt] : removed->second) {
            removedAt = removedAt.value_or(now);
            if (*removedAt >= since)
                present.insert(software);
        }
        std::erase_if(removed->second, [&](const auto& entry) { return now - *entry.second > removedSoftwareRetention; });
    }
    return present.size() == 1 ? std::optional(*present.begin()) : std::nullopt;
}

std::optional<milliseconds> BackendTable::timeUntilUsable(const ServiceName& service, const std::optional<SoftwareKey>& software, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    std::optional<milliseconds> first;
    for (const auto& [id, backend] : backends_) {
        bool isCandidate = backend.record_.service_ == service && backend.isAccepting() && (!software || backend.software_ == *software);
        if (!isCandidate)
            continue;
        if (takesRequests(backend, now))
            return std::nullopt;
        milliseconds wait = std::chrono::ceil<milliseconds>(std::max(SteadyTime::duration(0), backend.pausedUntil_ - now));
        // Without a share of its own, the node tells the caller when any node may send again.
        if (backend.requestLimit_.holds())
            wait = std::max(wait, backend.bucket_.timeUntilNext(now).value_or(milliseconds(static_cast<std::int64_t>(1000 / backend.requestLimit_.value_))));
        first = std::min(first.value_or(wait), wait);
    }
    return first;
}

bool BackendTable::mayReceive(const BackendId& id, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found != backends_.end() && found->second.isAccepting() && found->second.pausedUntil_ <= now;
}

std::vector<BackendRecord> BackendTable::records() const
{
    std::lock_guard lock(mutex_);
    std::vector<BackendRecord> records;
    for (const auto& [id, backend] : backends_)
        records.push_back(backend.record_);
    return records;
}

std::uint64_t BackendTable::fingerprint() const
{
    std::lock_guard lock(mutex_);
    if (fingerprint_)
        return *fingerprint_;
    std::uint64_t hash = 0;
    for (const auto& [id, backend] : backends_)
        hash = stableHash(id.value_ + (backend.isAccepting() ? "+" : "-"), hash);
    fingerprint_ = hash;
    return hash;
}

std::vector<std::uint64_t> BackendTable::bucketFingerprints(std::size_t buckets) const
{
    assert(buckets && "the number of groups is positive");
    std::lock_guard lock(mutex_);
    std::vector<std::uint64_t> fingerprints(buckets);
    // A sum does not depend on the order. Mixing keeps the hashes of a leaving and of another
    // server from cancelling out.
    for (const auto& [id, backend] : backends_)
        fingerprints[backend.nameHash_ % buckets] += mixBits(backend.hash_ + !backend.isAccepting());
    return fingerprints;
}

std::vector<BackendRecord> BackendTable::recordsIn(const std::vector<bool>& isIncluded) const
{
    std::lock_guard lock(mutex_);
    std::vector<BackendRecord> records;
    for (const auto& [id, backend] : backends_) {
        if (isIncluded[backend.nameHash_ % isIncluded.size()])
            records.push_back(backend.record_);
    }
    return records;
}

std::size_t BackendTable::size() const
{
    std::lock_guard lock(mutex_);
    return backends_.size();
}

std::optional<BackendRecord> BackendTable::find(const BackendId& id) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found == backends_.end() ? std::nullopt : std::optional(found->second.record_);
}

std::optional<BackendRecord> BackendTable::findNewest(const BackendName& name) const
{
    std::lock_guard lock(mutex_);
    auto newest = newestStarts_.find(name);
    if (newest == newestStarts_.end())
        return std::nullopt;
    auto found = backends_.find(backendId(name, newest->second));
    return found == backends_.end() ? std::nullopt : std::optional(found->second.record_);
}

bool BackendTable::isBeingReclaimed(const BackendId& id) const
{
    std::lock_guard lock(mutex_);
    auto found = backends_.find(id);
    return found != backends_.end() && found->second.record_.isLeaving_ && found->second.record_.isReclaimable_;
}

} // namespace pistachioloom
