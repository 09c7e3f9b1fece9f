//===- pistachioloom/Duties.h - leader lease and usage accounting ---------===//
///
/// \file
/// Elects the node that performs the duties towards the platform, and keeps the usage
/// and demand counts that the duties need. A claim is a record that is appended to the
/// platform's log only if no other record was appended in between, so the offsets of
/// claims order the holders. The holder appends such a record before every act on the
/// platform, so that a holder that was replaced notices it before it acts. This code
/// does no I/O: time and records are passed in, and decisions are returned.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Speed.h"
#include "pistachioloom/Support.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace pistachioloom {

/// Fencing token of a holder: the offset of its claim plus one, so it increases with
/// each holder.
using DutyToken = Quantity<struct DutyTokenTag>;
/// Index of a usage window, counted from the Unix epoch.
using WindowNumber = Quantity<struct WindowNumberTag>;
/// Requests that started in a window, by organisation.
using UsageCounts = std::map<OrganisationId, std::uint64_t>;

struct DutyTiming {
    /// Other nodes may claim the duties after they have not received a report from the
    /// holder for this time.
    milliseconds holderTimeout_ { 2600 };
    /// A new holder waits this long after its claim, so that acts that its predecessor
    /// started before it could see the claim have ended.
    milliseconds actAfterClaim_ { 1600 };
    /// A holder acts only within this time after it started to append its last record.
    milliseconds recordValidity_ { 1000 };
    /// After its start a node waits this long for a report from a holder before it claims.
    milliseconds firstClaimAfter_ { 1500 };
    /// Additional wait of each candidate over the candidate that is ranked before it.
    milliseconds rankDelay_ { 400 };
};

/// One node's view of the lease on the duties, and its own claim to it.
class DutyLease {
public:
    DutyLease(VmId self, DutyTiming timing, SteadyTime startedAt);

    /// Records that \p holder reported at \p reportedAt that it holds the duties by \p token.
    /// Relays forward such reports with a delay; \p reportedAt must be the time of the
    /// original report, or the takeover from a holder that has failed is delayed.
    void noteHolder(const VmId& holder, DutyToken token, SteadyTime reportedAt);
    /// Records that the holder by \p token released the duties, so that other nodes may
    /// claim them without waiting for the holder's timeout.
    void noteReleased(DutyToken token, SteadyTime now);
    /// Records that a peer is stopping. If it is the holder it does not act any more, and
    /// other nodes may claim the duties without waiting for the holder's timeout.
    void noteStopping(const VmId& peer, SteadyTime now);
    /// Whether this node should claim the duties now. \p rank is its position among the
    /// live candidates, from 0.
    bool shouldClaim(std::size_t rank, SteadyTime now) const;
    /// Makes this node the holder, after its claim was appended to the log.
    void becomeHolder(DutyToken token, SteadyTime now);
    /// Ends this node's term as the holder, or its attempt to claim the duties, because
    /// another node's record was appended first or the outcome of its claim is unknown.
    void release(SteadyTime now);
    bool isHolder() const { return isHolder_; }
    DutyToken token() const { return token_; }
    /// Whether this node may start acts: it is the holder, and the acts of its predecessor
    /// have ended.
    bool mayStartActs(SteadyTime now) const;
    /// Whether an act may still be performed by a record that this node started to append at
    /// \p recordedAt.
    bool mayAct(SteadyTime recordedAt, SteadyTime now) const;
    /// The holder that this node knows of, itself or a peer; empty if there is none.
    VmId knownHolder(SteadyTime now) const;

private:
    VmId self_;
    DutyTiming timing_;
    SteadyTime startedAt_;
    bool isHolder_ = false;
    DutyToken token_ {};
    SteadyTime claimedAt_ {};
    /// This node, the peer that reported itself last as the holder, or "unknown" after this
    /// node's own term or claim has ended; empty if no holder was ever known.
    VmId holder_;
    SteadyTime holderLastSeenAt_ {};
    /// The newest token that was released. Reports of holders with this token or an older
    /// one are ignored.
    DutyToken releasedToken_ {};
};

/// Counts the requests that started in each window, by organisation, for this node and
/// its peers. Thread-safe.
class UsageTracker {
public:
    explicit UsageTracker(milliseconds window);

    /// Counts one request at \p wallMs, in ms since the Unix epoch.
    void count(const OrganisationId& organisation, std::int64_t wallMs);
    /// This node's counts in its newest windows, to be sent to its peers.
    std::map<WindowNumber, UsageCounts> recent() const;
    /// Merges a peer's counts. They never decrease, so the higher of two counts is kept.
    void setPeer(const VmId& vm, std::uint64_t incarnation, const std::map<WindowNumber, UsageCounts>& windows);
    /// Removes all counts of \p vm, which another source, such as a relay, reports from now
    /// on.
    void forgetPeer(const VmId& vm);
    /// The counts of \p window summed over all nodes, including those that have left.
    UsageCounts sum(WindowNumber window) const;
    /// The counts of all windows, summed over all nodes except \p incarnation of \p vm.
    std::map<WindowNumber, UsageCounts> sumsExcluding(const VmId& vm, std::uint64_t incarnation) const;
    WindowNumber windowAt(std::int64_t wallMs) const;
    /// Removes all windows before \p oldest.
    void forget(WindowNumber oldest);
    milliseconds window() const { return window_; }

private:
    /// A node and its incarnation; the VM is empty for this node.
    using Source = std::pair<VmId, std::uint64_t>;

    const milliseconds window_;
    mutable std::mutex mutex_;
    std::map<Source, std::map<WindowNumber, UsageCounts>> sources_;
};

/// Delays after which a window's usage is reported, counted from the window's end.
struct UsageTiming {
    /// Delay if all nodes have reported their counts since the window's end. It covers
    /// three successive reports through relays, at intervals of 200 ms, and clocks that
    /// differ by a few hundred ms. Counts that wait longer are lost if all nodes are
    /// terminated.
    milliseconds minDelay_ { 1500 };
    /// Delay if some nodes have not reported since then. Partitioned nodes may reconnect
    /// in the meantime.
    milliseconds maxDelay_ { 5000 };
};

/// The newest window whose usage is due at \p nowMs, in ms since the Unix epoch; nullopt
/// if no window has ended yet. \p allReportedWithin returns whether all nodes reported
/// their counts within the given time before now.
std::optional<WindowNumber> dueWindow(std::int64_t nowMs, milliseconds window, const UsageTiming& timing, const std::function<bool(milliseconds)>& allReportedWithin);

/// Estimates the offset of this node's clock from the median of all nodes' clocks.
/// Thread-safe.
class ClockOffsetEstimator {
public:
    /// Records that the clock of \p vm was ahead of this node's clock by \p offsetMs.
    void setPeer(const VmId& vm, std::int64_t offsetMs, SteadyTime now);
    /// The correction to add to this node's time of day, in ms: the median of all offsets.
    std::int64_t correctionMs(SteadyTime now) const;

private:
    struct PeerClock {
        std::int64_t offsetMs_ = 0;
        SteadyTime receivedAt_ {};
    };

    mutable std::mutex mutex_;
    std::map<VmId, PeerClock> peers_;
};

struct DemandTiming {
    /// A node's token rate is averaged over this time.
    milliseconds window_ { 4000 };
    /// The peak rate is the highest rate within this time. Engines take seconds to boot, and
    /// demand that has dropped may recover.
    milliseconds peakWindow_ { 5000 };
    /// A report is ignored after this time: its node has failed, and its callers have moved
    /// to other nodes.
    milliseconds validity_ { 3000 };
};

/// Prompt tokens that an engine reads in a millisecond, estimated in two ways.
struct PrefillRate {
    /// Mean of the rates that the nodes fitted, weighted by the answers that each has observed.
    double mean_ = 0;
    /// Rate of one fit over the waits of all nodes; nullopt if they determine none.
    std::optional<double> fitted_;

    /// The mean, bounded by a multiple of the fit: irregular waits raise the mean without limit.
    double bounded() const;
};

/// Demand for a service's engines, as one node or a group of nodes reports it.
struct ServiceDemand {
    double tokensPerSecond_ = 0;
    /// Prompt tokens that an engine reads in a millisecond.
    double prefillPerMs_ = 0;
    /// Number of answers from which `prefillPerMs_` was observed.
    std::uint64_t observations_ = 0;
    /// The observed waits; of weight 0 if the node runs a version that does not report them.
    SpeedMoments moments_ {};
};

/// Estimates the prompt tokens a second that callers of all nodes request from each
/// service. Thread-safe.
///
/// Nodes report rates instead of counts: the counts of nodes that reconnect after a
/// partition would arrive all together and look like a burst.
class DemandEstimator {
public:
    explicit DemandEstimator(DemandTiming timing = {})
        : timing_(timing)
    {
    }

    /// Records that this node has received requests for \p totalTokens prompt tokens
    /// since its start.
    void recordLocalTokens(const ServiceName& service, TokenCount totalTokens, SteadyTime now);
    /// The rate of the requests to this node, in tokens a second.
    double localRate(const ServiceName& service) const;
    /// Sets the demand that \p vm reports. It counts until the next report, or until its
    /// validity has passed.
    void setSource(const VmId& vm, const ServiceName& service, const ServiceDemand& reported, SteadyTime now);
    /// Estimates of the reading rate of \p service; \p fallback if there are too few answers.
    PrefillRate prefillRate(const ServiceName& service, double fallback) const;
    /// Removes the demand of \p vm, which another source, such as a relay, reports from now
    /// on.
    void forgetSource(const VmId& vm);
    /// Samples the sum of rates over all nodes; to be called at regular intervals.
    void sample(SteadyTime now);
    /// The highest rate within DemandTiming::peakWindow_, in tokens a second; nullopt until
    /// DemandTiming::window_ has passed since the first request was observed.
    std::optional<double> peakRate(const ServiceName& service, SteadyTime now) const;

private:
    /// A cumulative number of tokens, or a number of tokens a second, at one time.
    struct Reading {
        SteadyTime at_ {};
        double tokens_ = 0;
    };
    struct Source {
        ServiceDemand reportedDemand_;
        SteadyTime receivedAt_ {};
    };
    struct Demand {
        /// Cumulative tokens requested from this node, sampled over the last
        /// DemandTiming::window_.
        std::deque<Reading> local_;
        std::map<VmId, Source> sources_;
        /// Samples of the tokens a second summed over all nodes, of the last
        /// DemandTiming::peakWindow_.
        std::deque<Reading> rateSamples_;
        /// When demand at any node was first observed.
        std::optional<SteadyTime> firstObservedAt_;
    };

    static double rateOf(const std::deque<Reading>& local);
    static double meanRate(const Demand& demand, double fallback);

    const DemandTiming timing_;
    mutable std::mutex mutex_;
    std::map<ServiceName, Demand> demand_;
};

} // namespace pistachioloom
