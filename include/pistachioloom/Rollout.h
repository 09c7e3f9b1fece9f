//===- pistachioloom/Rollout.h - staged roll-out of new versions ----------===//
///
/// \file
/// An operator orders that a service's requests move to backend servers of another
/// version, which run concurrently with the old ones. A small share of the requests goes
/// to the new version first, and their answers are compared with those of the old one at
/// the same time on the same route. A version that is worse gets no further requests; a
/// version that has not been worse for long enough gets all requests. This code does no
/// I/O: time and counts are passed in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Backends.h"

#include <functional>

namespace pistachioloom {

/// Increases with each order: the offset of its record plus one.
using RolloutNumber = Quantity<struct RolloutNumberTag>;
/// A route's name, hashed to 32 bits for messages.
using RouteKey = std::uint32_t;

RouteKey routeKeyOf(std::string_view routeName);

struct RolloutOrder {
    RolloutNumber number_ {};
    ServiceName service_;
    BackendVersion target_;
    /// Time from the order to its deadline.
    milliseconds period_ {};

    auto operator<=>(const RolloutOrder&) const = default;
};

enum class RolloutPhase {
    /// A share of the requests goes to the target, and its answers are evaluated.
    Trial,
    /// The target passed its trial, and the remaining requests move to it in steps.
    Shifting,
    /// The target gets no requests any more.
    Reverted,
    /// The target gets all requests, and the other versions have left.
    Complete,
};

std::string_view toString(RolloutPhase phase);
std::optional<RolloutPhase> parseRolloutPhase(std::string_view text);

inline bool isFinal(RolloutPhase phase) { return phase == RolloutPhase::Reverted || phase == RolloutPhase::Complete; }

/// State of an order as the holder of the duties decided it, which all nodes apply.
struct RolloutState {
    RolloutOrder order_;
    RolloutPhase phase_ = RolloutPhase::Trial;
    /// The target's share of the service's requests, 0 to 1.
    double share_ = 0;
    /// Fencing token of the holder that decided the state; 0 before the first decision.
    std::uint64_t term_ = 0;
    /// Number of the holder's decisions on the order under that token.
    std::uint64_t step_ = 0;

    auto operator<=>(const RolloutState&) const = default;
};

/// Whether the state \p left replaces \p right. Newer orders replace older ones. Within one
/// order a final phase replaces others, even if an earlier holder decided it: to revert is
/// always safe, and completion is recorded before it is reported.
bool supersedes(const RolloutState& left, const RolloutState& right);

/// Counts of answers from one group of backend servers on one route.
struct AnswerTally {
    std::uint64_t answers_ = 0;
    /// Failures, corrupt answers, and answers that took several times longer than estimated.
    std::uint64_t bad_ = 0;

    auto operator<=>(const AnswerTally&) const = default;
};

/// Key that stands for all backend servers that do not run the target.
inline constexpr BackendKey stableBackendKey = 0;

/// Counts for one order since it was received, by one node or summed over several.
struct RolloutTally {
    RolloutNumber number_ {};
    /// Requests sent to the service.
    std::uint64_t requests_ = 0;
    /// Those of them that were sent to the target.
    std::uint64_t exposed_ = 0;
    /// Answers by backend server of the target, or stableBackendKey for all other servers,
    /// and by route.
    std::map<std::pair<BackendKey, RouteKey>, AnswerTally> cells_;

    /// Adds the counts of \p other. Counts of an older order are ignored, and those of a
    /// newer order replace the present ones.
    void add(const RolloutTally& other);
    /// Subtracts the counts of \p other, if they are of the same order.
    void remove(const RolloutTally& other);
    /// The increase since \p before; 0 for counts that decreased because a node left.
    RolloutTally since(const RolloutTally& before) const;
};

using RolloutTallies = std::map<ServiceName, RolloutTally>;

struct RolloutSettings {
    /// The target's share of the requests during its trial.
    double trialShare_ = 0.08;
    /// Upper bound on the requests that a bad version may get between its order and its
    /// deadline: `exposedShare_` of the service's requests, plus `exposedExtra_` requests.
    double exposedShare_ = 0.1;
    double exposedExtra_ = 50;
    /// The trial lasts for at least this fraction of the order's period. Then a target that
    /// was not worse gets the remaining requests in steps. The trial takes as long as the
    /// period allows, since a version may degrade late.
    double trialFraction_ = 0.7;
    /// The share of a target that is suspect does not grow before this fraction of the period.
    /// Most suspicions are dispelled, or borne out, in that time.
    double holdFraction_ = 0.8;
    /// An order that is still in its trial after this fraction of the period is reverted.
    /// A later phase then does not wait for requests that run at other versions.
    double decisionFraction_ = 0.9;
    /// After the trial, the target's share of the requests doubles at intervals of this
    /// fraction of the period.
    double shiftStepFraction_ = 0.035;
    /// During a trial a share that the holder of the duties has not reported for this time
    /// counts as 0.
    milliseconds validity_ { 2500 };
    /// Bad answers of a bad version after which it may get requests for `rollbackTime_` at most.
    std::uint64_t toleratedBad_ = 50;
    milliseconds rollbackTime_ { 5000 };
    /// The part of `rollbackTime_` that remains for a decision to reach all nodes, and for their
    /// reports before it.
    milliseconds rollbackMargin_ { 1500 };
    /// Answers of the target that are required on each route with traffic before it may get
    /// the remaining requests.
    std::uint64_t minAnswers_ = 20;
};

/// What the answers so far show of the target.
struct RolloutEvaluation {
    /// Why the target is worse than the other versions; nullopt if that is not shown.
    std::optional<std::string> worse_;
    /// Whether there is some evidence that the target is worse, so that its share must not grow.
    bool isSuspect_ = false;
    /// Whether the answers are evidence that the target is not worse. Answers from times in
    /// which both sides are bad are weak evidence either way.
    bool isSound_ = true;
};

/// Evaluates the answers of the target against those of the other versions. \p tally is
/// cumulative since the order. To be called at regular intervals.
using RolloutEvaluator = std::function<RolloutEvaluation(const RolloutTally& tally, SteadyTime now)>;

/// Makes an evaluator that runs a cumulative sum test (Page, 1954) for each backend server
/// of the target, on each route and on all routes together. The sum is the log likelihood
/// ratio of worse odds of a bad answer against the odds that the other versions have at the
/// same time on the same route, and never falls below 0. The target is worse if most of its
/// backend servers exceed a threshold: a single server that fails is not evidence against its
/// version.
RolloutEvaluator makeSequentialEvaluator();

/// Makes an evaluator that compares the rates of bad answers of the target and of the
/// other versions over the last two seconds, and tolerates a difference of 0.1.
RolloutEvaluator makeThresholdEvaluator();

/// A snapshot of an order's counts and servers, as the holder of the duties knows them.
struct RolloutView {
    RolloutTally tally_;
    /// Backend servers that accept work and run the target.
    std::size_t targetServers_ = 0;
    /// All other backend servers that accept work.
    std::size_t stableServers_ = 0;
    /// Running requests at backend servers that do not run the target.
    std::uint64_t stableRunning_ = 0;
};

/// Controls one order until it is complete or reverted.
class RolloutController {
public:
    /// \p startedAt is when this node received the order. \p state is the state that an
    /// earlier holder decided, from which this one resumes under \p term.
    RolloutController(RolloutSettings settings, RolloutState state, SteadyTime startedAt, std::uint64_t term, RolloutEvaluator evaluator);

    /// Updates the phase and the share. A decision to revert takes effect immediately.
    const RolloutState& adjust(const RolloutView& view, SteadyTime now);
    /// Whether all that remains is to record that the order is complete.
    bool isReadyToComplete() const { return isReadyToComplete_; }
    /// Sets the phase to complete. To be called once the completion is recorded.
    void complete();
    /// Reverts the order unless it is final, for example on an operator's request.
    void revert(std::string why);
    const RolloutState& state() const { return state_; }
    /// The reason for the last decision.
    const std::string& reason() const { return reason_; }
    SteadyTime startedAt() const { return startedAt_; }

private:
    void setState(RolloutPhase phase, double share, std::string reason);
    void adjustTrial(const RolloutView& view, SteadyTime now);
    void adjustShift(const RolloutView& view, SteadyTime now);
    bool hasEvidence(const RolloutTally& tally) const;
    /// Whether the target has given so many bad answers, whatever their cause, that it must be
    /// shown to be sound or get no more requests.
    bool mustBeSound(const RolloutTally& tally, SteadyTime now);
    /// The time at which this fraction of the order's period has passed.
    SteadyTime timeAt(double fractionOfPeriod) const;

    const RolloutSettings settings_;
    RolloutState state_;
    const SteadyTime startedAt_;
    RolloutEvaluator evaluator_;
    std::string reason_;
    /// When the target had given `toleratedBad_` bad answers; the epoch before that.
    SteadyTime badToleratedAt_ {};
    /// When the share of the target last increased.
    SteadyTime shiftedAt_ {};
    /// Since when only backend servers of the target accept work; the epoch if others do.
    SteadyTime targetOnlySince_ {};
    SteadyTime targetOnlySeenAt_ {};
    bool isReadyToComplete_ = false;
    /// Whether the share of the target may grow.
    bool mayGrow_ = false;
};

/// The outcome of an attempt at one backend server, as far as it depends on the version.
struct AttemptOutcome {
    BackendOutcome outcome_ = BackendOutcome::Served;
    /// The answer's status reports a failure of the backend server itself.
    bool isFailure_ = false;
    /// The connection was closed before the answer was complete.
    bool isCutOff_ = false;
    bool hasFirstByte_ = false;
    /// Time to the first byte, or until the attempt was abandoned without one.
    milliseconds waited_ {};
    /// `waited_` as a multiple of the estimate for a backend server of average speed; 1
    /// without a first byte.
    double waitRatio_ = 1;
    /// Estimate of `waited_` for this backend server when it was chosen.
    milliseconds estimate_ {};
    /// Mean time between the events of a stream; 0 if there were fewer than two.
    double eventGapMs_ = 0;
};

/// Whether \p outcome is evidence that its backend server's version is bad; nullopt if it
/// is no evidence either way, such as a cut connection, a crash, a full queue, or a caller
/// that left. \p usualGapMs is the time between events of other versions, 0 if unknown.
std::optional<bool> isBadAnswer(const AttemptOutcome& outcome, double usualGapMs);

/// The answer of one backend server to an attempt on a route.
struct RolloutAnswer {
    BackendVersion version_;
    BackendKey backend_ = 0;
    RouteKey route_ = 0;
    AttemptOutcome outcome_;
};

/// Requests of a service by route.
using RouteRequests = std::map<RouteKey, std::uint64_t>;

/// The target's share of the requests on \p route, such that its share of all requests is
/// \p share. The target gets a higher share of routes with few requests, since a version
/// that is bad only there would be detected late: its requests on each route are
/// proportional to the square root of the route's requests.
double shareOnRoute(double share, RouteKey route, const RouteRequests& requests);

/// A node's view of all orders: assigns requests to versions, and counts the answers.
/// Thread-safe.
class RolloutTracker {
public:
    explicit RolloutTracker(RolloutSettings settings);

    /// Whether no order has been received, so that requests are neither restricted to
    /// versions nor counted.
    bool isEmpty() const { return !orderCount_; }
    /// Applies an operator's order. \returns whether it was new.
    bool applyOrder(const RolloutOrder& order, SteadyTime now);
    /// Applies \p state, which its holder reported at \p reportedAt. \returns whether it
    /// replaced the state known so far.
    bool applyState(const RolloutState& state, SteadyTime reportedAt, SteadyTime now);
    struct ReceivedState {
        RolloutState state_;
        SteadyTime reportedAt_ {};
        /// When this node received the order.
        SteadyTime orderReceivedAt_ {};
    };
    std::vector<ReceivedState> states() const;
    std::optional<RolloutState> find(const ServiceName& service) const;

    enum class SendKind {
        /// The first attempt of a request.
        First,
        /// Retries and requests that move to another server stay with the stable version
        /// until the target gets all requests.
        Subsequent,
    };
    /// The versions that a request of \p service on \p route may be sent to; nullopt for any.
    std::optional<VersionRule> assign(const ServiceName& service, RouteKey route, SendKind send, SteadyTime now);
    /// Whether streams may go on at the software that began them.
    enum class Continuation {
        Allowed,
        /// The target gets no requests for now.
        Paused,
        /// The target was reverted.
        Ended,
    };
    Continuation continuationAt(const ServiceName& service, SoftwareKey software, SteadyTime now) const;
    /// Counts a request that was sent to a backend server of \p service.
    void noteSent(const ServiceName& service, const BackendVersion& version);
    void noteAnswer(const ServiceName& service, const RolloutAnswer& answer);
    /// This node's counts for orders that are not final.
    RolloutTallies tallies() const;
    /// Sets the counts that \p source, a peer or a relay, reports. They replace its
    /// earlier ones.
    void setPeer(const VmId& source, RolloutTallies tallies);
    void forgetPeer(const VmId& source);
    /// The counts for the order of \p service, summed over this node and its peers.
    RolloutTally total(const ServiceName& service) const;

private:
    struct Entry {
        ReceivedState received_;
        RolloutTally tally_;
        /// Mean time between events of other versions, by route.
        std::map<RouteKey, double> usualGapMs_;
        /// Requests by route since the order.
        RouteRequests requestsByRoute_;
        /// Requests on each route that are due to the target and were not sent to it yet.
        /// Fractions accumulate until they make up a request.
        std::map<RouteKey, double> dueToTarget_;
    };

    double trialShare(const Entry& entry, SteadyTime now) const;

    const RolloutSettings settings_;
    mutable std::mutex mutex_;
    std::map<ServiceName, Entry> entries_;
    std::map<VmId, RolloutTallies> peerTallies_;
    /// Size of `entries_`, which is read without the mutex.
    std::atomic<std::size_t> orderCount_ { 0 };
};

} // namespace pistachioloom
