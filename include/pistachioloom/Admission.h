//===- pistachioloom/Admission.h - admission control for streams -----------===//
///
/// \file
/// Decides whether a stream is sent to the engine that was chosen for it or rejected
/// immediately, and after what time its caller may retry. The code does no I/O: time, load
/// and randomness are passed in.
///
/// Admission control protects engines that are asked for more prompt tokens than they can
/// read. A request that misses its latency objective delays the requests queued behind
/// it, so that these miss theirs too. When it is rejected immediately, its caller can
/// retry once an engine has capacity.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Quota.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace pistachioloom {

/// What the admission decision on one request depends on.
struct AdmissionView {
    /// The request is a stream of a model engine. Other requests wait for only a few
    /// milliseconds and are always admitted.
    bool isEngineStream_ = false;
    /// The request has been sent to an engine before, or its caller has received events.
    /// Such a request is always admitted.
    bool hasStarted_ = false;
    /// Estimated time that the request waits at the chosen engine for the requests ahead
    /// of it.
    milliseconds queueWait_ {};
    /// Upper bound of that wait for its route; see Route::maxQueueWait_.
    milliseconds maxQueueWait_ {};
    /// The request leaves room in the queue to more urgent ones; see Route::isDeferrable_.
    bool isDeferrable_ = false;
    /// Time until the request's deadline, and a uniformly distributed number from 0 to 1, which
    /// spread the retries of deferrable requests; see spreadReturn().
    milliseconds timeLeft_ = milliseconds::max();
    double draw_ = 0;
};

struct AdmissionSettings {
    /// Requests are admitted if their wait is at most this multiple of
    /// AdmissionView::maxQueueWait_.
    double queueWaitFactor_ = 1;
    /// Lower bound of the retry delay. A full engine has capacity again after a few
    /// answers.
    milliseconds minRetryAfter_ { 150 };
    /// Upper bound of the retry delay. Callers spend about a third of their time waiting,
    /// and the strictest latency objectives are 400 ms.
    milliseconds maxRetryAfter_ { 800 };
    /// Share of AdmissionView::maxQueueWait_ that a deferrable request may wait for.
    double deferrableWaitShare_ = 0.5;
    /// Upper bound of the retry delay of deferrable requests, whose objectives are longer.
    milliseconds maxDeferrableRetryAfter_ { 5000 };
};

struct AcceptSettings {
    /// Time for which an accepted connection waits unread while the node keeps up.
    milliseconds targetDelay_ { 50 };
    /// Time for which the delay must stay above the target before connections are closed. A
    /// single stall is no overload.
    milliseconds interval_ { 150 };
};

/// Decides whether a node serves a new connection. If most callers connect to one node, it gets
/// more requests than it can process. A connection that is closed before anything is read from
/// it tells its caller that the request has not run, and the caller tries another node at once;
/// a request that was read would wait until it is too late. The decision follows the time for
/// which connections wait unread, as CoDel (RFC 8289) does for packets.
class AcceptGate {
public:
    explicit AcceptGate(AcceptSettings settings = {})
        : settings_(settings)
    {
    }

    /// Notes that a connection waited unread for \p delay until \p now.
    void noteDelay(milliseconds delay, SteadyTime now);
    /// Whether that connection is served.
    bool admits(SteadyTime now) const;

private:
    const AcceptSettings settings_;
    /// Since when the delay has been above the target.
    std::optional<SteadyTime> aboveSince_;
};

/// Returns the delay after which the caller of a rejected request may retry, or nullopt
/// if the request is admitted.
std::optional<milliseconds> retryAfterIfRejected(const AdmissionView& view, const AdmissionSettings& settings);

/// Returns the longest queue wait with which the request is admitted.
milliseconds admissionBound(const AdmissionView& view, const AdmissionSettings& settings);

/// What a node observes of the engines of a service with scaling.
struct EngineObservation {
    /// Registered engines that are not leaving.
    std::uint64_t engines_ = 0;
    /// Time from the order of an engine to its registration; see FleetBounds::bootTime_.
    milliseconds bootTime_ {};
    /// Interval at which orders are reviewed; see FleetSettings::period_.
    milliseconds reviewInterval_ { 500 };
    /// Prompt tokens that an engine reads in a millisecond.
    double tokensPerMs_ = 0;
    /// Whether registrations can be read from the platform.
    bool isPlatformAvailable_ = true;
};

struct EngineForecastSettings {
    /// The fraction of the engines by which their number decreases in a loss, within one boot
    /// time.
    double lossShare_ = 0.5;
    /// A loss is over when this fraction of the engines from before it is registered.
    double recoveredShare_ = 0.75;
    /// A loss is over when the boot time and this time have passed without a change of the number
    /// of engines, or twice as long since the loss: the platform has no others.
    milliseconds overdueAfter_ { 2000 };
    /// Bounds of ExpectedEngines::spread_.
    milliseconds minSpread_ { 500 };
    milliseconds maxSpread_ { 2000 };
};

/// Engines that are expected to register after a loss.
struct ExpectedEngines {
    /// Time until they register; 0 if they are overdue.
    milliseconds until_ {};
    /// Time that they need to read what has been refused since the loss. Returns are spread over
    /// it.
    milliseconds spread_ {};

    bool operator==(const ExpectedEngines&) const = default;
};

/// Forecasts when engines register that are ordered because others were lost, from the
/// registrations that this node observes. Thread-safe.
class EngineForecast {
public:
    explicit EngineForecast(EngineForecastSettings settings = {})
        : settings_(settings)
    {
    }

    /// Records the engines of \p service. To be called at regular intervals, on every node.
    void observe(const ServiceName& service, const EngineObservation& observation, SteadyTime now);
    /// Records that a request for \p tokens prompt tokens was refused because there is no engine or
    /// the queue is too long.
    void noteRefused(const ServiceName& service, std::uint64_t tokens);
    /// \returns the engines that are expected because of a loss; nullopt if there is none. Each of
    /// \p nodes nodes is assumed to have refused as many tokens as this one.
    std::optional<ExpectedEngines> expected(const ServiceName& service, std::uint64_t nodes, SteadyTime now) const;

private:
    struct Count {
        SteadyTime observedAt_ {};
        std::uint64_t engines_ = 0;
    };
    /// A decrease of the engines by EngineForecastSettings::lossShare_ or more.
    struct Loss {
        SteadyTime at_ {};
        std::uint64_t enginesBefore_ = 0;
        /// When the number of engines last changed.
        SteadyTime changedAt_ {};
        /// Tokens refused since the loss. All of their callers may return when engines register.
        double refusedTokens_ = 0;
    };
    struct Service {
        EngineObservation last_;
        /// Observations of the last boot time.
        std::deque<Count> recent_;
        std::optional<Loss> loss_;
    };

    bool isOver(const Service& service, SteadyTime now) const;
    void observeLoss(Service& service, SteadyTime now) const;

    const EngineForecastSettings settings_;
    mutable std::mutex mutex_;
    std::map<ServiceName, Service> services_;
};

/// What the retry delay of a refused request depends on besides the expected engines.
struct ReturnView {
    /// The delay without a forecast.
    milliseconds retryAfter_ {};
    bool isDeferrable_ = false;
    /// Latency objective of the route.
    milliseconds objective_ {};
    /// Time until the request's deadline.
    milliseconds timeLeft_ = milliseconds::max();
    /// A uniformly distributed number from 0 to 1.
    double draw_ = 0;
};

/// \returns the delay after which the caller returns to the \p expected engines: at most a third of
/// the time left. Returns nullopt if the engines are expected later than that, or if the objective
/// is a second or less, so that only a shorter queue can serve the caller in time.
std::optional<milliseconds> returnWithEngines(const ExpectedEngines& expected, const ReturnView& view, const AdmissionSettings& settings = {});

} // namespace pistachioloom
