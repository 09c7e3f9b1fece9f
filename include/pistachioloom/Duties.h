//===- pistachioloom/Duties.h - work that one node at a time does ----------===//
///
/// \file
/// Who holds the duties towards the platform, and what is counted for them. A claim
/// is a record of the platform's log, written only if nothing came in between, so its
/// offset orders the holders; every act is preceded by such a record, so that a holder
/// that was succeeded finds out before it acts. Pure: time and records come in,
/// decisions go out.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace pistachioloom {

/// Grows with each holder: the offset of its claim plus one.
using DutyToken = Quantity<struct DutyTokenTag>;
/// Windows are counted from the start of 1970.
using WindowNumber = Quantity<struct WindowNumberTag>;
using UsageCounts = std::map<OrganisationId, std::uint64_t>;

struct DutyTiming {
    /// Silence after which a holder is succeeded.
    milliseconds holderTimeout_ { 2600 };
    /// A new holder waits so long after its claim, so that what its predecessor
    /// began before it could see the claim is over.
    milliseconds actAfterClaim_ { 1600 };
    /// A holder acts only within this time after its last record was begun.
    milliseconds recordValidity_ { 1000 };
    /// Nodes wait so long for a holder to be heard after their start.
    milliseconds firstClaimAfter_ { 1500 };
    /// What each place in the order of candidates waits longer than the one before.
    milliseconds rankDelay_ { 400 };
};

/// One node's part in who holds the duties.
class DutyLease {
public:
    DutyLease(VmId self, DutyTiming timing, SteadyTime startedAt);

    /// A peer said at \p reportedAt that it holds the duties by \p token. Relays pass this
    /// on late; taken for new, it would delay the successor of a holder that is gone.
    void noteHolder(const VmId& holder, DutyToken token, SteadyTime reportedAt);
    /// The holder by \p token gave up the duties, and is succeeded without waiting for
    /// its silence.
    void noteReleased(DutyToken token, SteadyTime now);
    /// A peer said that it is stopping: if it is the holder it acts no more, and is
    /// succeeded without waiting for its silence.
    void noteStopping(const VmId& peer, SteadyTime now);
    /// Whether to claim now. \p rank is this node's place among live candidates.
    bool shouldClaim(std::size_t rank, SteadyTime now) const;
    /// A claim of this node was written.
    void becomeHolder(DutyToken token, SteadyTime now);
    /// A record of this node could not be written because another came first,
    /// or its claim is unsure.
    void stepDown(SteadyTime now);
    bool isHolder() const { return isHolder_; }
    DutyToken token() const { return token_; }
    /// Whether acts may begin: it holds, and its predecessor has ended.
    bool mayBegin(SteadyTime now) const;
    /// Whether an act is still covered by a record begun at \p recordedAt.
    bool mayAct(SteadyTime recordedAt, SteadyTime now) const;
    /// The holder this node knows of, itself or a peer; empty if none.
    VmId knownHolder(SteadyTime now) const;

private:
    VmId self_;
    DutyTiming timing_;
    SteadyTime startedAt_;
    bool isHolder_ = false;
    DutyToken token_ {};
    SteadyTime claimedAt_ {};
    VmId holder_;
    SteadyTime holderLastSeenAt_ {};
    /// What is heard late of holders up to this one is no news.
    DutyToken releasedToken_ {};
};

/// Counts of requests that began, by window, of this node and its peers.
/// Thread-safe.
class UsageTracker {
public:
    explicit UsageTracker(milliseconds window);

    /// Counts one request at \p wallTime, in ms since the start of 1970.
    void count(const OrganisationId& organisation, std::int64_t wallMs);
    /// This node's newest windows, for its peers.
    std::map<WindowNumber, UsageCounts> recent() const;
    /// A peer's counts. They only grow, so the higher of two stays.
    void setPeer(const VmId& vm, std::uint64_t incarnation, const std::map<WindowNumber, UsageCounts>& windows);
    /// Forgets all counts of \p vm, which come through another source from now on.
    void forgetPeer(const VmId& vm);
    /// The sum over all nodes, also those that are gone.
    UsageCounts sum(WindowNumber window) const;
    /// All windows, summed over all nodes but one start of one peer.
    std::map<WindowNumber, UsageCounts> sumsExcluding(const VmId& vm, std::uint64_t incarnation) const;
    WindowNumber windowAt(std::int64_t wallMs) const;
    /// Forgets windows before \p oldest.
    void forget(WindowNumber oldest);
    milliseconds window() const { return window_; }

private:
    using Source = std::pair<VmId, std::uint64_t>;

    const milliseconds window_;
    mutable std::mutex mutex_;
    std::map<Source, std::map<WindowNumber, UsageCounts>> sources_;
};

/// When a window's usage is reported after its end.
struct UsageTiming {
    /// If all nodes told their counts since: reports of 200 ms, three in a row through
    /// relays, and clocks that differ by some hundred ms. Counts that wait longer are
    /// lost with the nodes if all are killed.
    milliseconds settled_ { 1500 };
    /// Else: nodes that are cut off may come back by then.
    milliseconds longest_ { 5000 };
};

/// The newest window to report at \p nowMs, in ms since the start of 1970.
/// \p allReportedWithin says whether all nodes told their counts in the time given.
std::optional<WindowNumber> dueWindow(std::int64_t nowMs, milliseconds window, const UsageTiming& timing, const std::function<bool(milliseconds)>& allReportedWithin);

/// What the clocks of the nodes agree on. Thread-safe.
class ClockOffsetEstimator {
public:
    /// A peer's clock was ahead of this node's by \p offset.
    void setPeer(const VmId& vm, std::int64_t offsetMs, SteadyTime now);
    /// What to add to this node's time of day: the median of all clocks.
    std::int64_t correctionMs(SteadyTime now) const;

private:
    struct PeerClock {
        std::int64_t offsetMs_ = 0;
        SteadyTime at_ {};
    };

    mutable std::mutex mutex_;
    std::map<VmId, PeerClock> peers_;
};

struct DemandTiming {
    /// A node's rate is taken over this time.
    milliseconds window_ { 4000 };
    /// The highest rate of this time counts: engines take seconds to boot, and
    /// demand that fell may come back.
    milliseconds peakWindow_ { 5000 };
    /// A node that is silent for longer has gone, and its callers to other nodes.
    milliseconds validity_ { 3000 };
};

/// What one node, or several, tell of the requests to a service's engines.
struct ServiceDemand {
    double tokensPerSecond_ = 0;
    /// What an engine reads in a millisecond, and the answers that show it.
    double prefillPerMs_ = 0;
    std::uint64_t observations_ = 0;
};

/// Prompt tokens that all nodes are asked for of each service in a second.
/// Thread-safe.
///
/// Nodes tell rates and not counts: counts of nodes that come back after a cut would
/// arrive at once and look like a burst.
class DemandEstimator {
public:
    explicit DemandEstimator(DemandTiming timing = {})
        : timing_(timing)
    {
    }

    /// This node was asked for \p totalTokens tokens since its start.
    void recordLocalTokens(const ServiceName& service, TokenCount totalTokens, SteadyTime now);
    /// This node's tokens in a second.
    double localRate(const ServiceName& service) const;
    /// What \p vm tells; it counts until told anew, or for the validity.
    void setSource(const VmId& vm, const ServiceName& service, const ServiceDemand& reported, SteadyTime now);
    /// What an engine reads in a millisecond: the mean over nodes, weighted by
    /// what each has seen.
    double prefillPerMs(const ServiceName& service, double fallback) const;
    /// Forgets \p vm, which is told of through another source from now on.
    void forgetSource(const VmId& vm);
    /// Takes a reading over all nodes; call it at regular times.
    void sample(SteadyTime now);
    /// The highest rate of the memory, in tokens a second; nullopt until a whole
    /// window was seen.
    std::optional<double> peakRate(const ServiceName& service, SteadyTime now) const;

private:
    struct Reading {
        SteadyTime at_ {};
        double tokens_ = 0;
    };
    struct Source {
        ServiceDemand reported_;
        SteadyTime at_ {};
    };
    struct Demand {
        /// Tokens that this node was asked for, over the last window.
        std::deque<Reading> local_;
        std::map<VmId, Source> sources_;
        /// Tokens a second of all nodes.
        std::deque<Reading> rates_;
        /// When the first request was seen anywhere.
        std::optional<SteadyTime> firstAt_;
    };

    static double rateOf(const std::deque<Reading>& local);

    const DemandTiming timing_;
    mutable std::mutex mutex_;
    std::map<ServiceName, Demand> demand_;
};

} // namespace pistachioloom
