//===- pistachioloom/Rollout.h - new versions of a service, brought in -----===//
///
/// \file
/// An operator orders that a service's requests go to backend servers of another
/// version, which run beside the old ones. A small share of the requests goes there
/// first, and what becomes of them is compared with what becomes of the others at the
/// same time on the same route. A version that is worse gets nothing more; one that has
/// not been worse for long enough gets all. Pure: time and counts come in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Backends.h"

#include <functional>

namespace pistachioloom {

/// Rises with each order: the offset of its record plus one.
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
    /// A share of the requests goes to the target, and is judged.
    Trial,
    /// The target was judged good; the rest follows.
    Shifting,
    /// The target gets nothing any more.
    Reverted,
    /// The target gets all; the others are gone.
    Complete,
};

std::string_view toString(RolloutPhase phase);
std::optional<RolloutPhase> parseRolloutPhase(std::string_view text);

inline bool isFinal(RolloutPhase phase) { return phase == RolloutPhase::Reverted || phase == RolloutPhase::Complete; }

/// What all nodes do about an order, as the holder of the duties decided.
struct RolloutState {
    RolloutOrder order_;
    RolloutPhase phase_ = RolloutPhase::Trial;
    /// The target's part of the service's requests, 0 to 1.
    double share_ = 0;
    /// The holder's fencing token, and its decisions by that token.
    std::uint64_t term_ = 0;
    std::uint64_t step_ = 0;

    auto operator<=>(const RolloutState&) const = default;
};

/// Whether \p left replaces \p right. Newer orders do; of one order a verdict does, also
/// by an earlier holder: to revert is always safe, and completion is recorded before it
/// is told.
bool supersedes(const RolloutState& left, const RolloutState& right);

/// Answers of one kind.
struct AnswerTally {
    std::uint64_t answers_ = 0;
    /// Failures, wrong bytes, and answers that came several times later than expected.
    std::uint64_t bad_ = 0;

    auto operator<=>(const AnswerTally&) const = default;
};

/// Stands for all backend servers that are not of the target.
inline constexpr BackendKey stableBackendKey = 0;

/// What one node, or several, have counted since they heard of an order.
struct RolloutTally {
    RolloutNumber number_ {};
    /// Requests sent to the service, and those of them sent to the target.
    std::uint64_t requests_ = 0;
    std::uint64_t exposed_ = 0;
    /// By backend server of the target, or stableBackendKey, and by route.
    std::map<std::pair<BackendKey, RouteKey>, AnswerTally> cells_;

    void add(const RolloutTally& other);
    /// Takes out what \p other holds.
    void remove(const RolloutTally& other);
    /// What was counted since \p before; nothing where counts fell because a node left.
    RolloutTally since(const RolloutTally& before) const;
};

using RolloutTallies = std::map<ServiceName, RolloutTally>;

struct RolloutSettings {
    /// The target's part of the requests during its trial.
    double trialShare_ = 0.08;
    /// The most of the service's requests that a bad version may get from its order to
    /// its deadline, as a part of them, and beside it.
    double exposedShare_ = 0.1;
    double exposedExtra_ = 50;
    /// Part of the period after which a target that was not worse gets the rest. A
    /// version may turn bad late, so it is on trial as long as time allows.
    double trialFraction_ = 0.7;
    /// Part of the period at whose end there is a verdict.
    double decisionFraction_ = 0.9;
    /// While the rest follows, the share doubles after each such part of the period.
    double shiftStepFraction_ = 0.035;
    /// A share that was not heard of again for so long counts as 0 during a trial.
    milliseconds validity_ { 2500 };
    /// Answers of the target on each route that has traffic, before it may get the rest.
    std::uint64_t minAnswers_ = 20;
};

/// Says why the target is worse than the others, or nothing. \p tally is cumulative;
/// called at regular times.
using RolloutEvaluator = std::function<std::optional<std::string>(const RolloutTally& tally, SteadyTime now)>;

/// A cumulative sum test (Page, 1954) of each backend server of the target on each route:
/// the log likelihood ratio of a higher part of bad answers against the part that the
/// others have at the same time, which may only rise from 0. Worse is a target most of
/// whose backend servers show it: one that fails alone has troubles of its own.
RolloutEvaluator makeSequentialEvaluator();

/// Compares parts of bad answers over the last two seconds with a fixed difference.
RolloutEvaluator makeThresholdEvaluator();

/// What the holder of the duties knows of an order at a moment.
struct RolloutView {
    RolloutTally tally_;
    /// Backend servers that take work, of the target and not.
    std::size_t targetServers_ = 0;
    std::size_t stableServers_ = 0;
    /// Requests under way at those that are not of the target.
    std::uint64_t stableRunning_ = 0;
};

/// Leads one order to its verdict.
class RolloutController {
public:
    /// \p startedAt is when the order was first acted on; \p state goes on from what an
    /// earlier holder decided.
    RolloutController(RolloutSettings settings, RolloutState state, SteadyTime startedAt, std::uint64_t term, RolloutEvaluator evaluator);

    /// Decides. A verdict to revert holds at once.
    const RolloutState& adjust(const RolloutView& view, SteadyTime now);
    /// Set if nothing is left but to record that the order is complete.
    bool isReadyToComplete() const { return isReadyToComplete_; }
    /// Completion is recorded.
    void complete();
    /// An operator ends the order.
    void revert(std::string why);
    const RolloutState& state() const { return state_; }
    /// Why the last decision was taken.
    const std::string& reason() const { return reason_; }
    SteadyTime startedAt() const { return startedAt_; }

private:
    void set(RolloutPhase phase, double share, std::string reason);
    void adjustTrial(const RolloutView& view, SteadyTime now);
    void adjustShift(const RolloutView& view, SteadyTime now);
    bool hasEvidence(const RolloutTally& tally) const;
    SteadyTime at(double fractionOfPeriod) const;

    const RolloutSettings settings_;
    RolloutState state_;
    const SteadyTime startedAt_;
    RolloutEvaluator evaluator_;
    std::string reason_;
    SteadyTime shiftedAt_ {};
    SteadyTime targetOnlySince_ {};
    SteadyTime targetOnlySeenAt_ {};
    bool isReadyToComplete_ = false;
};

/// How an attempt at one backend server went, as far as it tells of its version.
struct AttemptOutcome {
    BackendOutcome outcome_ = BackendOutcome::Served;
    /// The answer's status was a failure of the backend server's own.
    bool isFailure_ = false;
    /// The connection ended before the answer did.
    bool isCutOff_ = false;
    bool hasBegun_ = false;
    /// Time to the first byte, or until nobody waited any more; as a multiple of the
    /// estimate for a backend server of usual speed; and that estimate.
    milliseconds waited_ {};
    double waitRatio_ = 1;
    milliseconds estimate_ {};
    /// Between events of a stream; 0 where there were fewer than two.
    double eventGapMs_ = 0;
};

/// Whether \p outcome speaks against its backend server's version; nullopt where it
/// speaks neither for nor against it: a cut link, a crash, a full queue, a caller that
/// left. \p usualGapMs is between events of other versions, 0 if not known.
std::optional<bool> isBadAnswer(const AttemptOutcome& outcome, double usualGapMs);

/// An attempt at one backend server.
struct RolloutAnswer {
    BackendVersion version_;
    BackendKey backend_ = 0;
    RouteKey route_ = 0;
    AttemptOutcome outcome_;
};

/// Requests of a service by route.
using RouteRequests = std::map<RouteKey, std::uint64_t>;

/// The target's part of the requests on \p route, so that it gets \p share of all: more
/// where requests are few, since a version that is bad there alone would be found late.
/// Parts are as the roots of the routes' requests.
double shareOnRoute(double share, RouteKey route, const RouteRequests& requests);

/// A node's part in all orders: whom requests go to, and what comes of them.
/// Thread-safe.
class RolloutTracker {
public:
    explicit RolloutTracker(RolloutSettings settings);

    /// Whether there is no order, so that nothing is restricted or counted.
    bool isEmpty() const { return !count_; }
    /// An operator's order was read. \returns whether it was news.
    bool applyOrder(const RolloutOrder& order, SteadyTime now);
    /// \p state was told by its holder at \p reportedAt. \returns whether it replaced another.
    bool take(const RolloutState& state, SteadyTime reportedAt, SteadyTime now);
    struct ReceivedState {
        RolloutState state_;
        SteadyTime reportedAt_ {};
        /// When this node heard of the order.
        SteadyTime orderReceivedAt_ {};
    };
    std::vector<ReceivedState> states() const;
    std::optional<RolloutState> find(const ServiceName& service) const;

    enum class SendKind {
        First,
        /// Repeats and moves stay with the version that is known.
        Subsequent,
    };
    /// Which versions a request of \p service on \p route may be sent to; nullopt for any.
    std::optional<VersionRule> assign(const ServiceName& service, RouteKey route, SendKind send, SteadyTime now);
    /// A request was sent to a backend server of \p service.
    void noteSent(const ServiceName& service, const BackendVersion& version);
    void noteAnswer(const ServiceName& service, const RolloutAnswer& answer);
    /// What this node has counted of orders without a verdict.
    RolloutTallies tallies() const;
    /// What other nodes have counted; \p source replaces what it told before.
    void setPeer(const VmId& source, RolloutTallies tallies);
    void forgetPeer(const VmId& source);
    /// The sum over all nodes.
    RolloutTally total(const ServiceName& service) const;

private:
    struct Entry {
        ReceivedState received_;
        RolloutTally tally_;
        /// Mean time between events of other versions, by route.
        std::map<RouteKey, double> usualGapMs_;
        /// Since the order.
        RouteRequests requests_;
        /// Requests due to the target on each route: those of a share add up to whole ones.
        std::map<RouteKey, double> due_;
    };

    const RolloutSettings settings_;
    mutable std::mutex mutex_;
    std::map<ServiceName, Entry> entries_;
    std::map<VmId, RolloutTallies> peers_;
    std::atomic<std::size_t> count_ { 0 };
};

} // namespace pistachioloom
