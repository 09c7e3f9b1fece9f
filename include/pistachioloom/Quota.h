//===- pistachioloom/Quota.h - quotas and retries over all nodes -----------===//
///
/// \file
/// An organisation's quota and the retry budget hold over all nodes together.
/// Each node counts what it admits and receives the counts of the others; it
/// assumes that an unresponsive node admits an equal share. The code is pure
/// except for a mutex.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace pistachioloom {

/// An organisation's rate and burst, in requests or tokens.
struct QuotaLimit {
    /// 0 for no limit.
    double ratePerSecond_ = 0;
    double burst_ = 0;
};

/// What a request may use while its organisation's quota is short.
enum class QuotaClass {
    Normal,
    /// Leaves a reserve of the quota to other requests; see Route::isDeferrable_.
    Deferrable,
};

/// Why a request was refused because of its organisation's quota, for its log line and its
/// retry delay. Amounts are in requests or tokens.
struct QuotaRefusal {
    QuotaClass class_ = QuotaClass::Normal;
    /// The time after which the quota may admit one request.
    milliseconds retryAfter_ {};
    QuotaLimit limit_;
    double cost_ = 0;
    /// The bucket's level. It is negative while more was admitted than the quota allows.
    double level_ = 0;
    /// Unused tokens of this node's share of the rate, set while the nodes divide the remainder.
    std::optional<double> shareBalance_;
    /// This node's share of the rate, per second.
    double shareRate_ = 0;
    /// The sum of what this node refused to the organisation; it halves every second.
    double refusedCost_ = 0;
    /// How long the quota has been short: since the first of the refusals at this node that
    /// followed each other within a second.
    milliseconds shortage_ {};
    /// Nodes that share the quota.
    std::uint64_t nodes_ = 1;
    /// Age of the newest counts of another node; nullopt if there are none.
    std::optional<milliseconds> peersAge_ {};
};

struct QuotaSettings {
    /// A node is unresponsive after this time without a report. It is then assumed to
    /// admit an equal share.
    milliseconds unresponsiveAfter_ { 1000 };
    /// An unresponsive node is assumed to have stopped after this time.
    milliseconds forgetAfter_ { 10000 };
    /// Age of the counts of other nodes. It is one report interval of 200 ms and the
    /// transfer for direct reports (lag_), and three report intervals and transfers for
    /// reports through relays (relayedLag_).
    milliseconds lag_ { 300 };
    milliseconds relayedLag_ { 600 };
    /// How long a node admits only its share of the rate after its start, unless other
    /// nodes reported that more is left. Nodes that start simultaneously receive each
    /// other's counts only after 1 to 2 s, and each of them would admit requests from
    /// the same remainder until then.
    milliseconds startupTime_ { 3000 };
    /// Startup time if nearly all nodes report: twice the lag through relays.
    milliseconds minStartupTime_ { 1200 };
    /// Buckets start with the tokens that the rate adds in this time, since a restarting
    /// node was down for longer than this.
    milliseconds startCredit_ { 400 };
    /// Requests that cost less than this ratio of their organisation's mean cost may
    /// drive the level below zero. Requests that cost more wait until it has recovered:
    /// rejecting a request of 12,000 tokens leaves capacity for 60 requests of 200 tokens.
    double smallCostRatio_ = 0.125;
    /// How far small requests may drive the level below zero: by the tokens that the rate
    /// adds in this time.
    milliseconds maxSmallDebt_ { 100 };
    /// Deferrable requests leave what the rate adds in this time, but at most the given share
    /// of the burst, since the level would rarely exceed the reserve of a small burst. Counts of
    /// other nodes are as old as this.
    milliseconds reserve_ { 300 };
    double maxReservedBurst_ = 0.3;
    /// Share, from 0 to 1, of the first request's cost by which this node's share balance
    /// is reduced when nodes begin to divide the remainder of a quota. It differs between
    /// nodes, so that they do not all admit their first request simultaneously.
    double phase_ = 0;
};

struct ReturnDelaySettings {
    /// Bounds of the time after which callers of deferrable requests return.
    milliseconds min_ { 500 };
    milliseconds max_ { 5000 };
};

/// Callers wait for at most this part of the time that they have left.
constexpr std::int64_t maxPartOfTimeLeft = 3;

/// Spreads the returns of refused callers evenly between half of \p latest and all of it, so that
/// they do not all return at the same moment. \p draw is uniformly distributed from 0 to 1. The
/// result is at most a third of \p timeLeft, the time until the request's deadline.
milliseconds spreadReturn(milliseconds latest, milliseconds timeLeft, double draw);

/// \returns the time after which a caller that was refused because of a quota is told to return.
/// For a deferrable request this is when this node's share of the rate has served what the node
/// refused recently (see spreadReturn() for \p timeLeft and \p draw), for others when the quota may
/// admit one request.
milliseconds returnDelay(const QuotaRefusal& refusal, milliseconds timeLeft, double draw, const ReturnDelaySettings& settings = {});

/// What a node has admitted since its start, by organisation.
using AdmittedCounts = std::map<OrganisationId, double>;

/// Token buckets shared by all nodes. Thread-safe.
///
/// While the level of a bucket exceeds what other nodes may have admitted but not yet
/// reported, each node admits all requests. Below that, each node admits its share of the
/// rate, so that nodes with delayed reports do not all use the same remainder. A negative
/// level must refill before more requests are admitted. Deferrable requests are refused while
/// the nodes divide the remainder, and as long as only a reserve is left. A node that has just
/// started divides the rate among both classes.
class QuotaLimiter {
public:
    /// \p startedAt is when this node started. Buckets start without their burst, so
    /// that nodes that crash and restart do not admit full bursts again.
    explicit QuotaLimiter(SteadyTime startedAt, QuotaSettings settings = {});

    /// Takes \p cost out of the organisation's bucket.
    /// \returns nullopt if the request is admitted, else the time after which to retry.
    std::optional<milliseconds> take(const OrganisationId& organisation, const QuotaLimit& limit, double cost, SteadyTime now);
    /// Does the same for a request of class \p quotaClass. \returns nullopt if the request is
    /// admitted, else why not.
    std::optional<QuotaRefusal> take(const OrganisationId& organisation, const QuotaLimit& limit, double cost, SteadyTime now, QuotaClass quotaClass);
    /// Refunds the tokens that were taken for a request that did not run.
    void giveBack(const OrganisationId& organisation, double cost);

    /// \returns what this node has admitted since its start.
    AdmittedCounts admitted() const;
    /// \returns the levels of the buckets, for a node that has just started.
    std::map<OrganisationId, double> levels() const;
    /// Applies a peer's counts. \p incarnation changes when the peer restarts. The
    /// counts may be the sum of several \p nodes. If \p isFresh, the peer started
    /// recently: its counts apply completely on the first report, and its levels are
    /// ignored, since it knows no more than this node.
    void setPeer(const VmId& peer, std::uint64_t incarnation, const AdmittedCounts& counts, const std::map<OrganisationId, double>& levels, SteadyTime now, std::uint64_t nodes = 1, bool isFresh = false);
    /// Sets how many \p nodes are unresponsive and how many are \p live, as relays
    /// report. Each unresponsive node is assumed to admit an equal share while the relays
    /// repeat this. For nodes that report again, their actual counts replace the
    /// assumption.
    void setUnresponsiveNodes(std::uint64_t nodes, std::uint64_t live, SteadyTime now);
    /// Sets the number of known nodes that share the quotas, responsive or not.
    void setNodes(std::uint64_t nodes);
    /// Removes \p peer, whose counts arrive through another peer from now on.
    void forgetPeer(const VmId& peer);

private:
    struct Bucket {
        QuotaLimit limit_;
        double level_ = 0;
        /// Time of the initial level. The rate is added from then on, so unresponsive
        /// peers are charged only from then on, too. Otherwise, a node that was frozen
        /// before an organisation's first request would reject it.
        SteadyTime initialisedAt_ {};
        SteadyTime filledAt_ {};
        /// Recent admissions of this node and of the others, with exponential decay.
        double ownRecent_ = 0;
        double othersRecent_ = 0;
        /// The same over a longer time, to estimate how the organisation's requests
        /// are distributed over nodes.
        double ownLong_ = 0;
        double othersLong_ = 0;
        /// Mean cost of all requests, admitted or rejected.
        double meanCost_ = 0;
        /// Unused tokens of this node's share of the rate, set while the nodes divide the
        /// remainder of the quota.
        std::optional<double> shareBalance_;
        /// See QuotaRefusal::refusedCost_.
        double refusedCost_ = 0;
        SteadyTime refusedAt_ {};
        /// The first refusal of the current shortage.
        SteadyTime shortSince_ {};
        /// Tokens charged for unresponsive peers since their last reports.
        std::map<VmId, double> chargedByPeer_;
    };
    struct ReceivedLevel {
        double level_ = 0;
        SteadyTime receivedAt_ {};
    };
    struct Peer {
        std::uint64_t incarnation_ = 0;
        SteadyTime receivedAt_ {};
        AdmittedCounts counts_;
        /// Whether the buckets include all of its counts since its start.
        bool isCountedFromStart_ = false;
        std::uint64_t nodes_ = 1;
        /// The time up to which the buckets are already charged for this peer while it is
        /// unresponsive.
        SteadyTime chargedUntil_ {};
    };

    void fill(Bucket& bucket, SteadyTime now) const;
    void chargeUnresponsive(SteadyTime now);
    void refundCharges(const VmId& peer, double part);
    double nodes() const;
    /// Whether this node has just started and the others may have, too.
    bool isStarting(const Bucket& bucket, SteadyTime now) const;
    /// Whether nearly all nodes report, so that their counts show how much of each quota
    /// is left.
    bool hasEnoughReports(SteadyTime now) const;
    void initialise(Bucket& bucket, const OrganisationId& organisation) const;
    /// \returns this node's share of an organisation's requests: the mean of an equal
    /// share and the observed share, since callers stay with the nodes that they are
    /// connected to.
    double shareOf(const Bucket& bucket) const;
    /// \returns the bucket's level, or its share balance, below which a request that
    /// costs \p cost is rejected.
    double floorFor(const Bucket& bucket, double cost) const;
    /// \returns the seconds since this node's start, plus its start credit.
    double secondsCredited(SteadyTime now) const;
    /// \returns an estimate of what other nodes have admitted but not reported yet.
    double estimateUnreported(const Bucket& bucket) const;
    std::optional<milliseconds> takeShare(Bucket& bucket, double cost, SteadyTime now);
    /// \returns the level that a deferrable request leaves to others.
    double reserveOf(const QuotaLimit& limit) const;
    /// \returns the time after which to retry if the bucket does not admit a request, which
    /// is not charged yet.
    std::optional<milliseconds> waitIfShort(Bucket& bucket, double cost, QuotaClass quotaClass, SteadyTime now);
    /// Records the refusal of a request.
    QuotaRefusal noteRefusal(Bucket& bucket, double cost, QuotaClass quotaClass, milliseconds retryAfter, SteadyTime now) const;

    const SteadyTime startedAt_;
    const QuotaSettings settings_;
    mutable std::mutex mutex_;
    std::map<OrganisationId, Bucket> buckets_;
    std::map<VmId, Peer> peers_;
    /// When the newest counts of another node arrived.
    std::optional<SteadyTime> peersReportedAt_;
    std::uint64_t nodesKnown_ = 1;
    /// Nodes that relays report as live.
    std::uint64_t liveNodes_ = 0;
    AdmittedCounts admitted_;
    /// Phase of the next division of a remainder; see QuotaSettings::phase_.
    double phase_;
    /// Levels received from a peer before this node's first request.
    std::map<OrganisationId, ReceivedLevel> receivedLevels_;
};

struct RetrySettings {
    /// Retries allowed for each request of a service.
    double ratio_ = 0.2;
    /// Additional retries allowed in each window, over all nodes.
    double extraRetries_ = 0;
    milliseconds window_ { 10000 };
    /// Nodes that share the additional retries.
    std::uint64_t nodes_ = 1;
    /// Share of the allowance that is used, since a window may contain one node's old
    /// requests and another's new requests.
    double usableShare_ = 0.7;
};

/// Limits the retries of each service to a ratio of the requests that this node
/// received itself, so that the limit holds over all nodes without an exchange.
/// Thread-safe.
class ServiceRetryBudget {
public:
    explicit ServiceRetryBudget(RetrySettings settings);

    /// Counts a request of \p service.
    void countRequest(const ServiceName& service, SteadyTime now);
    /// \returns whether one more retry is allowed.
    bool allowsRetry(const ServiceName& service, SteadyTime now);
    /// \returns whether one more retry is allowed, and counts it if so.
    bool tryRetry(const ServiceName& service, SteadyTime now);
    /// Sets how many nodes share the additional retries.
    void setNodes(std::uint64_t nodes);

private:
    struct Window {
        std::deque<SteadyTime> requests_;
        std::deque<SteadyTime> retries_;
    };

    bool allowsRetryLocked(Window& window, SteadyTime now) const;

    RetrySettings settings_;
    std::mutex mutex_;
    std::map<ServiceName, Window> windows_;
};

} // namespace pistachioloom
