//===- lib/Quota/Quota.cpp - shared token buckets and the retry budget -----===//
///
/// \file
/// See Quota.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quota.h"

#include <algorithm>

namespace pistachioloom {

static double secondsOf(SteadyTime::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

QuotaBook::QuotaBook(SteadyTime startedAt, QuotaSettings settings)
    : startedAt_(startedAt)
    , settings_(settings)
{
}

void QuotaBook::fill(Bucket& bucket, SteadyTime now) const
{
    bucket.level_ = std::min(bucket.limit_.burst_, bucket.level_ + secondsOf(now - bucket.filledAt_) * bucket.limit_.ratePerSecond_);
    bucket.filledAt_ = now;
}

/// Charges what silent peers may have admitted since they were last heard.
void QuotaBook::chargeSilent(SteadyTime now)
{
    std::uint64_t nodes = 1;
    for (const auto& [id, peer] : peers_)
        nodes += peer.nodes_;
    for (auto& [id, peer] : peers_) {
        if (now - peer.heardAt_ < settings_.silence_ || now - peer.heardAt_ > settings_.forget_)
            continue;
        double silent = secondsOf(now - std::max(peer.chargedUntil_, peer.heardAt_));
        peer.chargedUntil_ = now;
        for (auto& [organisation, bucket] : buckets_)
            bucket.level_ -= silent * bucket.limit_.ratePerSecond_ * static_cast<double>(peer.nodes_) / static_cast<double>(nodes);
    }
}

std::optional<milliseconds> QuotaBook::take(const OrganisationId& organisation, const QuotaLimit& limit, double cost, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    if (limit.ratePerSecond_ <= 0) {
        admitted_[organisation] += cost;
        return std::nullopt;
    }
    auto [found, isNew] = buckets_.try_emplace(organisation);
    Bucket& bucket = found->second;
    if (isNew) {
        auto heard = heardLevels_.find(organisation);
        double filled = std::min(limit.burst_, secondsOf(now - startedAt_) * limit.ratePerSecond_);
        bucket.level_ = heard != heardLevels_.end() ? heard->second : filled;
        bucket.filledAt_ = now;
    }
    bucket.limit_ = limit;
    fill(bucket, now);
    chargeSilent(now);
    if (bucket.level_ <= 0) {
        double wait = (1 - bucket.level_) / limit.ratePerSecond_;
        return milliseconds(static_cast<std::int64_t>(wait * 1000) + 1);
    }
    bucket.level_ -= cost;
    admitted_[organisation] += cost;
    return std::nullopt;
}

void QuotaBook::giveBack(const OrganisationId& organisation, double cost)
{
    std::lock_guard lock(mutex_);
    admitted_[organisation] -= cost;
    auto found = buckets_.find(organisation);
    if (found != buckets_.end())
        found->second.level_ = std::min(found->second.limit_.burst_, found->second.level_ + cost);
}

AdmittedCounts QuotaBook::admitted() const
{
    std::lock_guard lock(mutex_);
    return admitted_;
}

std::map<OrganisationId, double> QuotaBook::levels() const
{
    std::lock_guard lock(mutex_);
    std::map<OrganisationId, double> levels;
    for (const auto& [organisation, bucket] : buckets_)
        levels[organisation] = bucket.level_;
    return levels;
}

void QuotaBook::setPeer(const VmId& id, std::uint64_t incarnation, const AdmittedCounts& counts, const std::map<OrganisationId, double>& levels, SteadyTime now, std::uint64_t nodes)
{
    std::lock_guard lock(mutex_);
    Peer& peer = peers_[id];
    peer.nodes_ = nodes;
    bool isFirst = peer.heardAt_ == SteadyTime {};
    bool hasRestarted = peer.incarnation_ != incarnation;
    if (hasRestarted)
        peer.counts_.clear();
    for (const auto& [organisation, count] : counts) {
        double before = peer.counts_[organisation];
        peer.counts_[organisation] = count;
        auto bucket = buckets_.find(organisation);
        // What it admitted before it was first heard is in the levels it told.
        if (bucket != buckets_.end() && !(isFirst && hasRestarted))
            bucket->second.level_ = std::min(bucket->second.limit_.burst_, bucket->second.level_ - (count - before));
    }
    for (const auto& [organisation, level] : levels) {
        if (!buckets_.contains(organisation))
            heardLevels_[organisation] = level;
    }
    peer.incarnation_ = incarnation;
    peer.heardAt_ = now;
    std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.heardAt_ > 2 * settings_.forget_; });
}

void QuotaBook::forgetPeer(const VmId& peer)
{
    std::lock_guard lock(mutex_);
    peers_.erase(peer);
}

RetryBudget::RetryBudget(RetrySettings settings)
    : settings_(settings)
{
}

void RetryBudget::setNodes(std::uint64_t nodes)
{
    std::lock_guard lock(mutex_);
    settings_.nodes_ = std::max<std::uint64_t>(1, nodes);
}

static void dropOld(std::deque<SteadyTime>& times, SteadyTime before)
{
    while (!times.empty() && times.front() < before)
        times.pop_front();
}

void RetryBudget::countRequest(const ServiceName& service, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Window& window = windows_[service];
    dropOld(window.requests_, now - settings_.window_);
    window.requests_.push_back(now);
}

bool RetryBudget::take(const ServiceName& service, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Window& window = windows_[service];
    dropOld(window.requests_, now - settings_.window_);
    dropOld(window.repeats_, now - settings_.window_);
    double allowed = settings_.ratio_ * static_cast<double>(window.requests_.size()) + settings_.extra_ / static_cast<double>(settings_.nodes_);
    if (static_cast<double>(window.repeats_.size()) + 1 > allowed * settings_.used_)
        return false;
    window.repeats_.push_back(now);
    return true;
}

} // namespace pistachioloom
