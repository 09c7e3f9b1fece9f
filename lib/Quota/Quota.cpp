//===- lib/Quota/Quota.cpp - shared token buckets and the retry budget -----===//
///
/// \file
/// Implements the quota limiter and the retry budget of pistachioloom/Quota.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quota.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

// Time constant of the decay of recent admissions, in seconds: long enough to include
// requests of 12,000 tokens that arrive once a second at each node.
static constexpr double recentSeconds = 1;
// Time constant, in seconds, for the distribution of requests over nodes.
static constexpr double longSeconds = 10;
// Weight of one request in the mean cost, given some dozens of requests per second.
static constexpr double meanCostWeight = 0.02;
// A node may accumulate the tokens that its share of the rate adds in this time, in seconds.
static constexpr double maxSavedShareSeconds = 0.5;
// Tolerance for the rounding of a bucket that was filled in steps since the start.
static constexpr double startTolerance = 1.01;
// Share of the nodes whose reports a starting node needs to know how much of a quota is
// left. The other nodes admit no more than the tenth by which a quota may be exceeded.
static constexpr double minReportingShare = 0.9;
// A shortage ends when no request was refused for this time.
static constexpr milliseconds shortageGap { 1000 };
// Time in which the sum of refused requests halves, in seconds.
static constexpr double refusedHalfLifeSeconds = 1;
// Steps of the golden ratio distribute phases evenly for any number of steps.
static constexpr double phaseStep = 0.6180339887;

static double secondsOf(SteadyTime::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

QuotaLimiter::QuotaLimiter(SteadyTime startedAt, QuotaSettings settings)
    : startedAt_(startedAt)
    , settings_(settings)
    , phase_(settings.phase_)
{
}

double QuotaLimiter::nodes() const
{
    std::uint64_t nodes = 1;
    for (const auto& [id, peer] : peers_)
        nodes += peer.nodes_;
    return static_cast<double>(std::max(nodes, nodesKnown_));
}

bool QuotaLimiter::hasEnoughReports(SteadyTime now) const
{
    std::uint64_t reporting = 1;
    for (const auto& [id, peer] : peers_)
        reporting += now - peer.receivedAt_ < settings_.unresponsiveAfter_ ? peer.nodes_ : 0;
    return static_cast<double>(reporting) >= minReportingShare * static_cast<double>(nodesKnown_);
}

bool QuotaLimiter::isStarting(const Bucket& bucket, SteadyTime now) const
{
    if (nodesKnown_ < 2 || now - startedAt_ >= settings_.startupTime_)
        return false;
    if (now - startedAt_ >= settings_.minStartupTime_ && hasEnoughReports(now))
        return false;
    // A bucket with more tokens than the rate has added since this node's start got its
    // level from a node that has run for longer.
    return bucket.level_ <= startTolerance * secondsCredited(now) * bucket.limit_.ratePerSecond_;
}

double QuotaLimiter::secondsCredited(SteadyTime now) const
{
    return secondsOf(now - startedAt_ + settings_.startCredit_);
}

void QuotaLimiter::fill(Bucket& bucket, SteadyTime now) const
{
    // A thread that was frozen after it read the clock passes an old time.
    if (now <= bucket.filledAt_)
        return;
    double seconds = secondsOf(now - bucket.filledAt_);
    bucket.level_ = std::min(bucket.limit_.burst_, bucket.level_ + seconds * bucket.limit_.ratePerSecond_);
    bucket.filledAt_ = now;
    double decay = std::exp(-seconds / recentSeconds);
    bucket.ownRecent_ *= decay;
    bucket.othersRecent_ *= decay;
    double longDecay = std::exp(-seconds / longSeconds);
    bucket.ownLong_ *= longDecay;
    bucket.othersLong_ *= longDecay;
    double shareRate = bucket.limit_.ratePerSecond_ * shareOf(bucket);
    if (bucket.shareBalance_)
        bucket.shareBalance_ = std::min(shareRate * maxSavedShareSeconds, *bucket.shareBalance_ + seconds * shareRate);
}

/// Charges the buckets for what unresponsive peers may have admitted since their last
/// reports. fill() separately adds the tokens of the rate for that time.
void QuotaLimiter::chargeUnresponsive(SteadyTime now)
{
    double all = nodes();
    for (auto& [id, peer] : peers_) {
        if (now - peer.receivedAt_ < settings_.unresponsiveAfter_ || now - peer.receivedAt_ > settings_.forgetAfter_)
            continue;
        if (now <= peer.chargedUntil_)
            continue;
        SteadyTime from = std::max(peer.chargedUntil_, peer.receivedAt_);
        peer.chargedUntil_ = now;
        for (auto& [organisation, bucket] : buckets_) {
            double unresponsive = std::max(0.0, secondsOf(now - std::max(from, bucket.initialisedAt_)));
            double charge = unresponsive * bucket.limit_.ratePerSecond_ * static_cast<double>(peer.nodes_) / all;
            bucket.level_ -= charge;
            bucket.chargedByPeer_[id] += charge;
        }
    }
}

double QuotaLimiter::shareOf(const Bucket& bucket) const
{
    // Right after this node's start, no reports of other nodes have arrived yet, and all
    // requests seem to arrive at this node.
    if (bucket.filledAt_ - startedAt_ < settings_.startupTime_)
        return 1 / nodes();
    double all = bucket.ownLong_ + bucket.othersLong_;
    double observedShare = all > 0 ? bucket.ownLong_ / all : 1 / nodes();
    return 0.5 / nodes() + 0.5 * observedShare;
}

double QuotaLimiter::estimateUnreported(const Bucket& bucket) const
{
    bool isRelayed = std::any_of(peers_.begin(), peers_.end(), [](const auto& entry) { return entry.second.nodes_ > 1; });
    double lag = secondsOf(isRelayed ? settings_.relayedLag_ : settings_.lag_);
    // Assumes that other nodes receive requests that they have not reported yet: each as
    // many as this node, until the distribution of the requests is known.
    double others = nodes() - 1;
    double unknown = bucket.limit_.ratePerSecond_ / nodes();
    double ratio = (bucket.othersLong_ + unknown * others) / (bucket.ownLong_ + unknown);
    double estimated = bucket.ownRecent_ * ratio;
    return std::max(bucket.othersRecent_, estimated) / recentSeconds * lag;
}

double QuotaLimiter::floorFor(const Bucket& bucket, double cost) const
{
    bool isSmall = cost < settings_.smallCostRatio_ * bucket.meanCost_;
    return isSmall ? -secondsOf(settings_.maxSmallDebt_) * bucket.limit_.ratePerSecond_ : 0;
}

/// Admits this node's share of the rate while the nodes divide the remainder of a quota.
std::optional<milliseconds> QuotaLimiter::takeShare(Bucket& bucket, double cost, SteadyTime now)
{
    if (!bucket.shareBalance_) {
        // A node that has just started gets its share of the rate since its start.
        double saved = isStarting(bucket, now) ? secondsCredited(now) * bucket.limit_.ratePerSecond_ * shareOf(bucket) : 0;
        bucket.shareBalance_ = saved - phase_ * cost;
        phase_ += phaseStep;
        phase_ -= std::floor(phase_);
    }
    if (*bucket.shareBalance_ >= floorFor(bucket, cost)) {
        *bucket.shareBalance_ -= cost;
        return std::nullopt;
    }
    double wait = -*bucket.shareBalance_ / (bucket.limit_.ratePerSecond_ * shareOf(bucket));
    return milliseconds(static_cast<std::int64_t>(wait * 1000) + 1);
}

/// Initialises a bucket with the level that a peer reported, or else as empty at
/// QuotaSettings::startCredit_ before this node's start.
void QuotaLimiter::initialise(Bucket& bucket, const OrganisationId& organisation) const
{
    auto received = receivedLevels_.find(organisation);
    bucket.initialisedAt_ = received != receivedLevels_.end() ? received->second.receivedAt_ : startedAt_ - settings_.startCredit_;
    bucket.filledAt_ = bucket.initialisedAt_;
    if (received != receivedLevels_.end()) {
        bucket.level_ = received->second.level_;
        return;
    }
    for (const auto& [id, peer] : peers_) {
        auto count = peer.counts_.find(organisation);
        if (peer.isCountedFromStart_ && count != peer.counts_.end())
            bucket.level_ -= count->second;
    }
}

double QuotaLimiter::reserveOf(const QuotaLimit& limit) const
{
    return std::min(secondsOf(settings_.reserve_) * limit.ratePerSecond_, settings_.maxReservedBurst_ * limit.burst_);
}

static milliseconds roundedUp(double seconds)
{
    return milliseconds(static_cast<std::int64_t>(seconds * 1000) + 1);
}

std::optional<milliseconds> QuotaLimiter::waitIfShort(Bucket& bucket, double cost, QuotaClass quotaClass, SteadyTime now)
{
    double rate = bucket.limit_.ratePerSecond_;
    if (bucket.level_ <= floorFor(bucket, cost))
        return roundedUp((1 - bucket.level_) / rate);
    bool hasJustStarted = isStarting(bucket, now);
    double unreported = estimateUnreported(bucket);
    if (quotaClass == QuotaClass::Deferrable && !hasJustStarted) {
        double needed = std::max(unreported, reserveOf(bucket.limit_));
        if (bucket.level_ <= needed)
            return roundedUp((needed + 1 - bucket.level_) / rate);
    }
    if (bucket.level_ <= unreported || hasJustStarted)
        return takeShare(bucket, cost, now);
    bucket.shareBalance_.reset();
    return std::nullopt;
}

QuotaRefusal QuotaLimiter::noteRefusal(Bucket& bucket, double cost, QuotaClass quotaClass, milliseconds retryAfter, SteadyTime now) const
{
    if (now - bucket.refusedAt_ > shortageGap)
        bucket.shortSince_ = now;
    double seconds = std::max(0.0, secondsOf(now - bucket.refusedAt_));
    bucket.refusedCost_ = bucket.refusedCost_ * std::exp2(-seconds / refusedHalfLifeSeconds) + cost;
    bucket.refusedAt_ = std::max(bucket.refusedAt_, now);
    QuotaRefusal refusal { quotaClass, retryAfter, bucket.limit_, cost, bucket.level_, bucket.shareBalance_ };
    refusal.shareRate_ = bucket.limit_.ratePerSecond_ * shareOf(bucket);
    refusal.refusedCost_ = bucket.refusedCost_;
    refusal.shortage_ = std::chrono::duration_cast<milliseconds>(bucket.refusedAt_ - bucket.shortSince_);
    refusal.nodes_ = static_cast<std::uint64_t>(nodes());
    if (peersReportedAt_)
        refusal.peersAge_ = std::chrono::duration_cast<milliseconds>(now - *peersReportedAt_);
    return refusal;
}

std::optional<milliseconds> QuotaLimiter::take(const OrganisationId& organisation, const QuotaLimit& limit, double cost, SteadyTime now)
{
    auto refusal = take(organisation, limit, cost, now, QuotaClass::Normal);
    return refusal ? std::optional(refusal->retryAfter_) : std::nullopt;
}

std::optional<QuotaRefusal> QuotaLimiter::take(const OrganisationId& organisation, const QuotaLimit& limit, double cost, SteadyTime now, QuotaClass quotaClass)
{
    std::lock_guard lock(mutex_);
    if (limit.ratePerSecond_ <= 0) {
        admitted_[organisation] += cost;
        return std::nullopt;
    }
    auto [found, isNew] = buckets_.try_emplace(organisation);
    Bucket& bucket = found->second;
    if (isNew)
        initialise(bucket, organisation);
    bucket.limit_ = limit;
    // Charges come before the rate is added, so that the cap at the burst does not
    // discard tokens that the charges would use.
    chargeUnresponsive(now);
    fill(bucket, now);
    bucket.meanCost_ += meanCostWeight * (cost - bucket.meanCost_);
    if (auto wait = waitIfShort(bucket, cost, quotaClass, now))
        return noteRefusal(bucket, cost, quotaClass, *wait, now);
    bucket.level_ -= cost;
    bucket.ownRecent_ += cost;
    bucket.ownLong_ += cost;
    admitted_[organisation] += cost;
    return std::nullopt;
}

void QuotaLimiter::giveBack(const OrganisationId& organisation, double cost)
{
    std::lock_guard lock(mutex_);
    admitted_[organisation] -= cost;
    auto found = buckets_.find(organisation);
    if (found != buckets_.end())
        found->second.level_ = std::min(found->second.limit_.burst_, found->second.level_ + cost);
}

AdmittedCounts QuotaLimiter::admitted() const
{
    std::lock_guard lock(mutex_);
    return admitted_;
}

std::map<OrganisationId, double> QuotaLimiter::levels() const
{
    std::lock_guard lock(mutex_);
    std::map<OrganisationId, double> levels;
    for (const auto& [organisation, bucket] : buckets_)
        levels[organisation] = bucket.level_;
    return levels;
}

/// Refunds \p part, a share from 0 to 1, of what was charged for \p peer while it was
/// unresponsive.
void QuotaLimiter::refundCharges(const VmId& peer, double part)
{
    for (auto& [organisation, bucket] : buckets_) {
        auto charged = bucket.chargedByPeer_.find(peer);
        if (charged != bucket.chargedByPeer_.end()) {
            bucket.level_ += charged->second * part;
            charged->second *= 1 - part;
        }
        bucket.level_ = std::min(bucket.limit_.burst_, bucket.level_);
    }
}

void QuotaLimiter::setPeer(const VmId& id, std::uint64_t incarnation, const AdmittedCounts& counts, const std::map<OrganisationId, double>& levels, SteadyTime now, std::uint64_t nodes, bool isFresh)
{
    std::lock_guard lock(mutex_);
    Peer& peer = peers_[id];
    peer.nodes_ = nodes;
    bool isFirst = peer.receivedAt_ == SteadyTime {};
    bool hasRestarted = peer.incarnation_ != incarnation;
    if (hasRestarted) {
        peer.counts_.clear();
        peer.isCountedFromStart_ = isFresh;
    }
    for (const auto& [organisation, count] : counts) {
        double before = peer.counts_[organisation];
        peer.counts_[organisation] = count;
        auto bucket = buckets_.find(organisation);
        // The levels that the peer reported already include what it admitted before its
        // first report.
        if (bucket == buckets_.end() || (isFirst && !isFresh))
            continue;
        bucket->second.level_ -= count - before;
        bucket->second.othersRecent_ += std::max(0.0, count - before);
        bucket->second.othersLong_ += std::max(0.0, count - before);
    }
    // The peer's actual counts replace what was charged while it was unresponsive.
    refundCharges(id, 1);
    for (const auto& [organisation, level] : levels) {
        if (!buckets_.contains(organisation) && !peer.isCountedFromStart_)
            receivedLevels_[organisation] = { level, now };
    }
    peer.incarnation_ = incarnation;
    peer.receivedAt_ = now;
    peersReportedAt_ = now;
    std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.receivedAt_ > 2 * settings_.forgetAfter_; });
}

void QuotaLimiter::setUnresponsiveNodes(std::uint64_t nodes, std::uint64_t live, SteadyTime now)
{
    // Stands for all unresponsive nodes in `peers_`.
    static const VmId unresponsiveNodes { "(unresponsive nodes)" };
    std::lock_guard lock(mutex_);
    auto [found, isNew] = peers_.try_emplace(unresponsiveNodes);
    Peer& peer = found->second;
    std::uint64_t before = isNew ? 0 : peer.nodes_;
    // A node that is no longer unresponsive has either recovered or been removed.
    std::uint64_t recovered = std::min(before - std::min(before, nodes), live - std::min(live, liveNodes_));
    liveNodes_ = live;
    if (recovered)
        refundCharges(unresponsiveNodes, static_cast<double>(recovered) / static_cast<double>(before));
    if (!nodes) {
        peers_.erase(found);
        for (auto& [organisation, bucket] : buckets_)
            bucket.chargedByPeer_.erase(unresponsiveNodes);
        return;
    }
    peer.nodes_ = nodes;
    if (isNew)
        peer.chargedUntil_ = now;
    peer.receivedAt_ = now - settings_.unresponsiveAfter_;
}

void QuotaLimiter::setNodes(std::uint64_t nodes)
{
    std::lock_guard lock(mutex_);
    nodesKnown_ = std::max<std::uint64_t>(1, nodes);
}

void QuotaLimiter::forgetPeer(const VmId& peer)
{
    std::lock_guard lock(mutex_);
    peers_.erase(peer);
}

ServiceRetryBudget::ServiceRetryBudget(RetrySettings settings)
    : settings_(settings)
{
}

void ServiceRetryBudget::setNodes(std::uint64_t nodes)
{
    std::lock_guard lock(mutex_);
    settings_.nodes_ = std::max<std::uint64_t>(1, nodes);
}

static void dropOld(std::deque<SteadyTime>& times, SteadyTime before)
{
    while (!times.empty() && times.front() < before)
        times.pop_front();
}

void ServiceRetryBudget::countRequest(const ServiceName& service, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Window& window = windows_[service];
    dropOld(window.requests_, now - settings_.window_);
    window.requests_.push_back(now);
}

bool ServiceRetryBudget::allowsRetryLocked(Window& window, SteadyTime now) const
{
    dropOld(window.requests_, now - settings_.window_);
    dropOld(window.retries_, now - settings_.window_);
    double allowed = settings_.ratio_ * static_cast<double>(window.requests_.size()) + settings_.extraRetries_ / static_cast<double>(settings_.nodes_);
    return static_cast<double>(window.retries_.size()) + 1 <= allowed * settings_.usableShare_;
}

bool ServiceRetryBudget::allowsRetry(const ServiceName& service, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    return allowsRetryLocked(windows_[service], now);
}

bool ServiceRetryBudget::tryRetry(const ServiceName& service, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    Window& window = windows_[service];
    if (!allowsRetryLocked(window, now))
        return false;
    window.retries_.push_back(now);
    return true;
}

} // namespace pistachioloom
