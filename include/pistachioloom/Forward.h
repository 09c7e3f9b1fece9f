//===- pistachioloom/Forward.h - transparent requests, caller to backend ---===//
///
/// \file
/// The straight path: a caller's HTTP/1.1 request goes to one backend server and
/// its answer comes back unchanged. The header names that carry ids, deadlines
/// and seals are told from outside; decisions come from the books it is given.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Admission.h"
#include "pistachioloom/Backends.h"
#include "pistachioloom/Quarantine.h"
#include "pistachioloom/Quota.h"
#include "pistachioloom/Rollout.h"
#include "pistachioloom/Routes.h"
#include "pistachioloom/Telemetry.h"

#include <boost/asio/io_context.hpp>

namespace pistachioloom {

/// The headers that callers and backend servers use. All in the spelling that
/// is sent; they are compared without case.
struct ForwardHeaderNames {
    /// The id of one attempt of a caller; echoed by backend servers.
    std::string attempt_;
    /// Milliseconds that the caller, or this node, will wait.
    std::string deadline_;
    /// Names the organisation to backend servers.
    std::string organisation_;
    /// The backend server that is meant; any other answers 421.
    std::string expectedBackend_;
    /// Proves that an answer is the backend server's.
    std::string seal_;
    /// An answer with it says that the request did not run.
    std::string notRun_;
    /// An answer with it says that its backend server is leaving.
    std::string leaving_;
    /// Prompt tokens and most output tokens.
    std::string tokenCount_;
    /// Shared parts of the prompt.
    std::string promptParts_;
    /// 0 to 9 for engines, 0 first.
    std::string urgency_;
    /// The last event that the caller has.
    std::string lastEvent_;
    /// Where the KV cache lies that a moved stream goes on from.
    std::string resumeFrom_;
    /// Headers that only this system sets; dropped from what callers send.
    std::vector<std::string> reserved_;
};

/// Figures of the path; all are settings.
struct ForwardSettings {
    /// Time for a connection to a backend server.
    milliseconds connectTimeout_ { 400 };
    /// Silence in a running stream after which a resumable one goes on elsewhere.
    milliseconds streamSilence_ { 1400 };
    /// Part of the remaining time after which an idempotent request without
    /// an answer is given to another backend server.
    double patienceShare_ = 0.4;
    AdmissionSettings admission_;
    /// A kept connection is not used in the last fifth of its idle time, and not in
    /// the last so much of a short one.
    milliseconds idleMargin_ { 300 };
    /// Idle time of a kept connection whose server states none.
    milliseconds defaultIdle_ { 2000 };
    /// Bytes that are held for one answer of a plain service.
    ByteCount longestAnswer_ { 8UL * 1024 * 1024 };
};

/// A copy of a running stream's KV cache, from one engine to another.
struct StreamCopy {
    Endpoint from_;
    Endpoint to_;
    /// The id of the attempt, as the engine knows the run.
    std::string run_;
    /// The run stops, and its stream closes without an end; without it, it goes on.
    bool isLast_ = false;
};

/// What the forwarding of requests tells the rest of the node.
struct ForwardHooks {
    /// A request of \p organisation began to run.
    std::function<void(const OrganisationId& organisation)> onBegan_;
    /// A backend server said in an answer that it is leaving, and that was news.
    std::function<void(const BackendId& backend)> onLeaving_;
    /// A backend server was found to have ended without a word.
    std::function<void(const BackendId& backend)> onEnded_;
    /// The current configuration, or nullptr before the first.
    std::function<std::shared_ptr<const RouteTable>()> table_;
    /// Copies a stream's KV cache; a second copy of the same holds only what is new.
    /// \returns the value of ForwardHeaderNames::resumeFrom_ for going on from it.
    std::function<asio::awaitable<Result<std::string>>(StreamCopy copy)> copyStream_;
    /// Frees a copy that nobody goes on from, by what copyStream_ returned. Else it
    /// takes a slot and memory of its engine until the platform forgets it.
    std::function<asio::awaitable<Result<void>>(StreamCopy copy, std::string resumeFrom)> dropCopy_;
};

/// What all workers of a node share.
struct ForwardContext {
    ForwardHeaderNames names_;
    ForwardSettings settings_;
    ForwardHooks hooks_;
    /// See fingerprintOf().
    std::string fingerprintSecret_;
    BackendBook& backends_;
    QuotaBook& quotas_;
    RetryBudget& retries_;
    QuarantineBook& quarantine_;
    CrashWatch& crashes_;
    RolloutTracker& rollouts_;
    Metrics& metrics_;
    /// Connections close after their answer.
    std::atomic<bool> isStopping_ { false };
    /// New requests are refused: there may be no time left for them.
    std::atomic<bool> refusesNew_ { false };
    std::atomic<std::size_t> running_ { 0 };
    std::atomic<std::size_t> connections_ { 0 };
    /// Nodes that share what backend servers accept.
    std::atomic<std::uint64_t> nodes_ { 1 };
    /// Workers of this node, which share its part.
    std::uint64_t workers_ = 1;
};

/// Counts the end of a backend server, known by its record, against the requests that it
/// cut off.
void noteBackendEnded(ForwardContext& context, const BackendId& backend);

/// Serves callers on one io_context of one thread. Workers share an address;
/// the kernel spreads new connections over them.
class ForwardWorker {
public:
    struct State;

    ForwardWorker(asio::io_context& io, ForwardContext& context);
    ~ForwardWorker();
    ForwardWorker(const ForwardWorker&) = delete;
    ForwardWorker& operator=(const ForwardWorker&) = delete;

    Result<std::uint16_t> listen(const Endpoint& endpoint);
    /// Closes connections on which no request is under way, now and at the call before;
    /// the others close after their answer.
    void closeIdle();
    /// Breaks off what still runs.
    void abortAll();

private:
    std::shared_ptr<State> state_;
};

} // namespace pistachioloom
