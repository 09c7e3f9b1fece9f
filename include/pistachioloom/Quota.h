//===- pistachioloom/Quota.h - quotas and retries over all nodes -----------===//
///
/// \file
/// An organisation's quota and the budget of repeats hold over all nodes
/// together. Each node counts what it admitted and hears what the others did;
/// for a node that is silent it assumes an equal share. Pure but for a mutex.
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

struct QuotaSettings {
    /// A node silent for so long is assumed to admit an equal share.
    milliseconds unresponsiveAfter_ { 1000 };
    /// A silent node is forgotten after this time; it has stopped.
    milliseconds forgetAfter_ { 10000 };
    /// Age of what is known of other nodes: one report of 200 ms and its way, or
    /// three through relays.
    milliseconds lag_ { 300 };
    milliseconds relayedLag_ { 600 };
    /// A node admits only its share of the rate for so long after its start, unless
    /// others told that more is left: those that started with it hear of what it
    /// admitted within 1 to 2 s, and all of them would hand out the same rest.
    milliseconds startup_ { 3000 };
    /// It ends after this time, two ways through relays, if all but a few are heard.
    milliseconds minStartup_ { 1200 };
    /// Buckets begin with what comes in in this time: a node is down for longer before
    /// it starts again.
    milliseconds startCredit_ { 400 };
    /// Requests that cost less than this part of their organisation's mean one are
    /// admitted out of a debt, which those that cost more wait for: refusing one of
    /// 12,000 tokens makes room for 60 of 200.
    double smallCostRatio_ = 0.125;
    /// The debt up to which they are admitted, in time of the rate.
    milliseconds maxSmallDebt_ { 100 };
    /// 0 to 1, different on each node, so that nodes which divide the rest of a
    /// quota do not all take their first request at once.
    double phase_ = 0;
};

/// What a node has admitted since its start, by organisation.
using AdmittedCounts = std::map<OrganisationId, double>;

/// Token buckets shared by all nodes. Thread-safe.
///
/// While more is left than all nodes may admit unseen, any node admits. Below that
/// each admits its share of the rate, so that nodes which hear each other
/// late do not all use the same rest. What goes below zero is paid back before more
/// is admitted.
class QuotaLimiter {
public:
    /// \p startedAt is when this node started: buckets begin empty then, so that
    /// nodes that are killed and restarted do not hand out full bursts again.
    explicit QuotaLimiter(SteadyTime startedAt, QuotaSettings settings = {});

    /// Takes \p cost out of the organisation's bucket.
    /// \returns nullopt if admitted, else when to come back.
    std::optional<milliseconds> take(const OrganisationId& organisation, const QuotaLimit& limit, double cost, SteadyTime now);
    /// Gives back what was taken for a request that did not run.
    void giveBack(const OrganisationId& organisation, double cost);

    AdmittedCounts admitted() const;
    /// Levels of the buckets, for a node that has just started.
    std::map<OrganisationId, double> levels() const;
    /// A peer's counts; \p incarnation changes with its restart. The peer may
    /// stand for several \p nodes, whose sum it tells. Its counts began lately if
    /// \p isFresh: then they count whole when first heard, and no levels are taken from
    /// it, since it knows no more than this node.
    void setPeer(const VmId& peer, std::uint64_t incarnation, const AdmittedCounts& counts, const std::map<OrganisationId, double>& levels, SteadyTime now, std::uint64_t nodes = 1, bool isFresh = false);
    /// \p nodes others are cut off, as relays tell, and \p live are heard: each of the
    /// former is assumed to admit an equal share for as long as this is said again. For
    /// those that are heard again, what they did counts instead.
    void setUnresponsiveNodes(std::uint64_t nodes, std::uint64_t live, SteadyTime now);
    /// \p nodes share the quotas as far as known, heard or not.
    void setNodes(std::uint64_t nodes);
    /// Forgets \p peer, whose counts come through another one from now on.
    void forgetPeer(const VmId& peer);

private:
    struct Bucket {
        QuotaLimit limit_;
        double level_ = 0;
        /// When the level that it began with was known. Silent peers are charged from
        /// then on only, as the rate is added from then on: else a node that was frozen
        /// before its first request of an organisation would refuse it.
        SteadyTime initialisedAt_ {};
        SteadyTime filledAt_ {};
        /// What was admitted lately, fading: by this node, and by the others.
        double ownRecent_ = 0;
        double othersRecent_ = 0;
        /// The same over a longer time: how the organisation's requests are spread.
        double ownLong_ = 0;
        double othersLong_ = 0;
        /// Of what was asked for, refused or not.
        double meanCost_ = 0;
        /// This node's share of the rate, while the rest is divided.
        std::optional<double> share_;
        /// What silent peers were charged since they were last heard.
        std::map<VmId, double> charged_;
    };
    struct ReceivedLevel {
        double level_ = 0;
        SteadyTime at_ {};
    };
    struct Peer {
        std::uint64_t incarnation_ = 0;
        SteadyTime receivedAt_ {};
        AdmittedCounts counts_;
        /// All of its counts are taken out of buckets.
        bool isCountedFromStart_ = false;
        std::uint64_t nodes_ = 1;
        /// Until when its share is already charged, while it is silent.
        SteadyTime chargedUntil_ {};
    };

    void fill(Bucket& bucket, SteadyTime now) const;
    void chargeUnresponsive(SteadyTime now);
    void refundCharges(const VmId& peer, double part);
    double nodes() const;
    /// Whether this node has just started, and all others may have too.
    bool isStarting(const Bucket& bucket, SteadyTime now) const;
    /// Whether all but a few nodes are heard, so that their counts tell what is left.
    bool hasReportsFromMost(SteadyTime now) const;
    void begin(Bucket& bucket, const OrganisationId& organisation) const;
    /// This node's part of an organisation's requests: half of it equal, half as
    /// they came, since callers keep to the nodes that they are connected to.
    double shareOf(const Bucket& bucket) const;
    /// The level, or the share, below which a request of \p cost is refused.
    double floorFor(const Bucket& bucket, double cost) const;
    /// Time since the start of this node, and the credit that it began with.
    double secondsCredited(SteadyTime now) const;
    /// What may have been admitted that this node has not heard of.
    double maxUnreported(const Bucket& bucket) const;
    std::optional<milliseconds> takeShare(Bucket& bucket, double cost, SteadyTime now);

    const SteadyTime startedAt_;
    const QuotaSettings settings_;
    mutable std::mutex mutex_;
    std::map<OrganisationId, Bucket> buckets_;
    std::map<VmId, Peer> peers_;
    std::uint64_t nodesKnown_ = 1;
    /// Nodes that relays tell of as heard.
    std::uint64_t liveNodes_ = 0;
    AdmittedCounts admitted_;
    /// Where the next division of a rest begins; see QuotaSettings::phase_.
    double phase_;
    /// Levels heard from a peer before the first own request.
    std::map<OrganisationId, ReceivedLevel> receivedLevels_;
};

struct RetrySettings {
    /// Repeats allowed for each request of a service.
    double ratio_ = 0.2;
    /// Repeats allowed beside in each window, over all nodes.
    double extra_ = 0;
    milliseconds window_ { 10000 };
    /// Nodes that the extra repeats are divided among.
    std::uint64_t nodes_ = 1;
    /// Part of the allowance that is used: a window may hold one node's old and
    /// another's new requests.
    double usableShare_ = 0.7;
};

/// Bounds repeats by what this node was asked itself, so that the bound holds
/// over all nodes without an exchange. Thread-safe.
class ServiceRetryBudget {
public:
    explicit ServiceRetryBudget(RetrySettings settings);

    /// Counts a request of \p service.
    void countRequest(const ServiceName& service, SteadyTime now);
    /// Whether one more repeat is allowed; counts it if so.
    bool take(const ServiceName& service, SteadyTime now);
    /// Sets how many nodes share the extra repeats.
    void setNodes(std::uint64_t nodes);

private:
    struct Window {
        std::deque<SteadyTime> requests_;
        std::deque<SteadyTime> repeats_;
    };

    RetrySettings settings_;
    std::mutex mutex_;
    std::map<ServiceName, Window> windows_;
};

} // namespace pistachioloom
