//===- pistachioloom/Forward.h - request forwarding -----------------------===//
///
/// \file
/// Forwards a caller's HTTP/1.1 request to one backend server and returns its
/// answer unchanged. The names of the headers that carry ids, deadlines and seals
/// are configurable. Decisions are based on the tables in ForwardContext.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Admission.h"
#include "pistachioloom/Backends.h"
#include "pistachioloom/Origins.h"
#include "pistachioloom/Paths.h"
#include "pistachioloom/Quarantine.h"
#include "pistachioloom/Quota.h"
#include "pistachioloom/Rollout.h"
#include "pistachioloom/Routes.h"
#include "pistachioloom/Telemetry.h"

#include <boost/asio/io_context.hpp>
#include <limits>

namespace pistachioloom {

/// Names of the headers that callers and backend servers use, in the spelling that
/// is sent. Comparisons ignore case.
struct ForwardHeaderNames {
    /// The id of one attempt of a caller. Backend servers echo it.
    std::string attempt_;
    /// The time in milliseconds for which the sender of a request, a caller or this node,
    /// waits for an answer.
    std::string deadline_;
    /// Tells backend servers which organisation a request belongs to.
    std::string organisation_;
    /// The backend server that a request is for. Any other backend server answers 421.
    std::string expectedBackend_;
    /// Proves that an answer comes from the backend server.
    std::string seal_;
    /// Its presence in an answer means that the request did not run.
    std::string notRun_;
    /// A non-empty value other than "0" in an answer means that the backend server is
    /// leaving.
    std::string leaving_;
    /// The requests a second that the backend server takes from all nodes together.
    std::string limit_;
    /// The rejections a second for want of capacity that the backend server bears.
    std::string brittle_;
    /// The number of prompt tokens and the maximum number of output tokens.
    std::string tokenCount_;
    /// The parts of the prompt that other requests may share.
    std::string promptParts_;
    /// The urgency of a request for an engine, from 0 to 9. Engines serve 0 first.
    std::string urgency_;
    /// The id of the last event that the caller has received.
    std::string lastEvent_;
    /// In a request that resumes a stream, the id of the caller's attempt that brought the
    /// stream's first event.
    std::string resumes_;
    /// The location of the KV cache from which a moved stream resumes.
    std::string resumeFrom_;
    /// Headers that only this system sets. They are removed from callers' requests.
    std::vector<std::string> reserved_;
};

/// Settings of request forwarding.
struct ForwardSettings {
    /// The time limit for connecting to a backend server.
    milliseconds connectTimeout_ { 400 };
    /// The time without events after which a resumable stream resumes on another engine.
    milliseconds streamStallTimeout_ { 1400 };
    /// The share of the remaining time after which an idempotent request without
    /// an answer is sent to another backend server.
    double waitLimitShare_ = 0.4;
    AdmissionSettings admission_;
    /// The unused last part of the idle timeout of a kept connection is a fifth of the
    /// timeout, but at least this long.
    milliseconds idleMargin_ { 300 };
    /// The idle timeout of a kept connection whose server does not state one.
    milliseconds defaultIdleTimeout_ { 2000 };
    /// The maximum size of a buffered answer. All answers except event streams are
    /// buffered.
    ByteCount maxAnswerSize_ { 8UL * 1024 * 1024 };
    /// The maximum size of an event of a stream. Events are forwarded when they are complete.
    ByteCount maxEventSize_ { 1024UL * 1024 };
    /// The maximum size of all answers and events together that are being received. Growing
    /// buffers and the copies that are sent to callers take up to four times as much.
    ByteCount maxAnswerMemory_ { 32UL * 1024 * 1024 };
    /// The maximum size of the bodies of all requests together, from the request's head to its answer.
    ByteCount maxBodyMemory_ { 48UL * 1024 * 1024 };
    AcceptSettings accept_;
    /// The maximum number of callers' connections, so that descriptors are left for those to
    /// backend servers and peers.
    std::size_t maxCallerConnections_ = std::numeric_limits<std::size_t>::max();
};

/// Describes a copy of a running stream's KV cache from one engine to another.
struct StreamCopy {
    Endpoint from_;
    Endpoint to_;
    /// The id of the attempt, which identifies the run at the engine.
    std::string attemptId_;
    /// Whether the copy stops the run. Its stream then closes without an end marker.
    bool stopsRun_ = false;
};

/// A connection to a backend server that a peer has opened for this node.
struct RelayedConnection {
    /// The peer.
    VmId via_;
    /// Receives the next bytes. Errors: Errc::NotFound when the server has closed the
    /// connection in order. Any other error may have cut an answer off.
    std::function<asio::awaitable<Result<std::string>>()> receive_;
    std::function<asio::awaitable<Result<void>>(std::string bytes)> send_;
    /// Resets the connection, which ends the other operations.
    std::function<void()> reset_;
};

/// The origin of a stream that a caller resumes.
struct FoundOrigin {
    /// nullopt if no node knows it.
    std::optional<StreamOrigin> origin_;
    /// Who knows it, for logs.
    std::string source_;
};

/// Callbacks from request forwarding into the rest of the node.
struct ForwardHooks {
    /// Called once per request of \p organisation, when the first byte of an answer shows
    /// that it has started to run.
    std::function<void(const OrganisationId& organisation)> onStarted_;
    /// Called when an answer states a condition of its backend server that peers must know.
    std::function<void(const BackendStatement& statement)> onStatement_;
    /// Called when a probe shows that a backend server has terminated without notice.
    std::function<void(const BackendId& backend)> onTerminated_;
    /// Opens a connection to \p backend through a peer, for a service of which this node reaches
    /// no server. Errors: Errc::NotFound if no peer reaches the service either. The request
    /// has not been sent in any case.
    std::function<asio::awaitable<Result<RelayedConnection>>(BackendRecord backend, milliseconds timeout)> openRelayed_;
    /// Returns whether a peer is known that reaches \p service.
    std::function<bool(const ServiceName& service)> hasPeerReaching_ = [](const ServiceName&) { return false; };
    /// Called before the first event of a stream is forwarded. Other nodes must learn of
    /// \p origin.
    std::function<void(StreamKey stream, StreamOrigin origin, OriginStorage storage)> tellOrigin_ = [](StreamKey, const StreamOrigin&, OriginStorage) {};
    /// Finds the origin of a stream that a caller resumes, here or at other nodes.
    std::function<asio::awaitable<FoundOrigin>(StreamKey stream)> findOrigin_ = [](StreamKey) -> asio::awaitable<FoundOrigin> { co_return FoundOrigin { std::nullopt, "unknown" }; };
    /// Returns the time since which this node's list of backend servers has always been current;
    /// nullopt if it is not.
    std::function<std::optional<SteadyTime>()> registryCurrentSince_ = [] { return std::nullopt; };
    /// Waits until this node's list of backend servers is known to have been that of the platform at
    /// \p time or later. \returns false if that takes too long.
    std::function<asio::awaitable<bool>(SteadyTime time)> confirmRegistry_ = [](SteadyTime) -> asio::awaitable<bool> { co_return false; };
    /// \returns the current configuration, or nullptr before the first.
    std::function<std::shared_ptr<const RouteTable>()> table_;
    /// Copies a stream's KV cache. A second copy of the same cache transfers only the
    /// part that was added since.
    /// \returns the value of ForwardHeaderNames::resumeFrom_ for resuming from it. Errors: Ran::No if
    /// the call has not stopped the run, which goes on or had ended. After any other error a call with
    /// StreamCopy::stopsRun_ may have stopped it.
    std::function<asio::awaitable<Result<std::string>>(StreamCopy copy)> copyStream_;
    /// Frees a copy that is not resumed from, identified by the value that copyStream_
    /// returned. A copy that is not freed occupies a slot and memory of its engine until
    /// the platform discards it.
    std::function<asio::awaitable<Result<void>>(StreamCopy copy, std::string resumeFrom)> dropCopy_;
};

/// The state that all workers of a node share.
struct ForwardContext {
    ForwardHeaderNames names_;
    ForwardSettings settings_;
    ForwardHooks hooks_;
    /// See fingerprintOf().
    std::string fingerprintSecret_;
    BackendTable& backends_;
    ServicePaths& paths_;
    QuotaLimiter& quotas_;
    ServiceRetryBudget& retries_;
    QuarantineTable& quarantine_;
    CrashDetector& crashes_;
    RolloutTracker& rollouts_;
    Metrics& metrics_;
    /// Whether connections close after their answer.
    std::atomic<bool> isStopping_ { false };
    /// Whether new requests are rejected, because there may be no time left to serve them.
    std::atomic<bool> rejectsNew_ { false };
    std::atomic<std::size_t> running_ { 0 };
    std::atomic<std::size_t> connections_ { 0 };
    /// The number of workers that accept connections.
    std::atomic<std::size_t> acceptors_ { 0 };
    /// The number of connections from which requests are read, or of which one is not answered yet.
    std::atomic<std::size_t> serving_ { 0 };
    /// The number of nodes that share the connections that a backend server accepts.
    std::atomic<std::uint64_t> nodes_ { 1 };
    /// The number of workers of this node, which divide the node's share among them.
    std::uint64_t workers_ = 1;
    /// Observes the engines of services with scaling.
    EngineForecast engineForecast_ {};
    /// The size of the answers and events that are being received, in bytes.
    std::atomic<std::uint64_t> answerMemory_ { 0 };
    /// The size of the bodies of requests that are being received or served, in bytes.
    std::atomic<std::uint64_t> bodyMemory_ { 0 };
    /// The number of requests of which a part has arrived.
    std::atomic<std::size_t> arriving_ { 0 };
};

/// Counts the termination of \p backend, which the removal of its record or a probe has
/// shown, as a crash against the requests that it cut off.
void noteBackendTerminated(ForwardContext& context, const BackendId& backend);

/// Serves callers on a single-threaded io_context. Workers share an address, and the
/// kernel distributes new connections among them.
class ForwardWorker {
public:
    struct State;

    ForwardWorker(asio::io_context& io, ForwardContext& context);
    ~ForwardWorker();
    ForwardWorker(const ForwardWorker&) = delete;
    ForwardWorker& operator=(const ForwardWorker&) = delete;

    Result<std::uint16_t> listen(const Endpoint& endpoint);
    /// Closes the connections that have no request in progress now and had none at the
    /// previous call. The others close after their answer.
    void closeIdle();
    /// Ends the requests in progress, those without a part of their answer with a failure. Stops
    /// accepting and reading: what was read is answered, and what was not read stays unread, so
    /// that a reset tells its caller so.
    void abortAll();

private:
    std::shared_ptr<State> state_;
};

} // namespace pistachioloom
