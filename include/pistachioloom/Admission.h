//===- pistachioloom/Admission.h - admission control for streams -----------===//
///
/// \file
/// Decides whether a stream is sent to the engine that was chosen for it or rejected
/// immediately, and after what time its caller may retry. The decision is a pure
/// function of its arguments.
///
/// Admission control protects engines that are asked for more prompt tokens than they can
/// read. A request that misses its latency objective delays the requests queued behind
/// it, so that these miss theirs too. When it is rejected immediately, its caller can
/// retry once an engine has capacity.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Quota.h"

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

} // namespace pistachioloom
