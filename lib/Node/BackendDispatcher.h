//===- lib/Node/BackendDispatcher.h - dispatcher of backend servers -------===//
///
/// \file
/// Rendezvous hashing assigns each backend server to one node, its dispatcher.
/// Only the dispatcher sends requests to the server, so it enforces the server's
/// concurrency limit exactly. It also moves streams off a server that is leaving. Two
/// nodes that both consider themselves the dispatcher may together exceed the limit;
/// the server's own queue then holds the excess.
//===----------------------------------------------------------------------===//
#pragma once

#include "ControlPlane.h"
#include "SlotTable.h"
#include "pistachioloom/Reclaim.h"

namespace pistachioloom::wire {
class GenerateRequest;
class ServiceCall;
class AttemptEnd;
}

namespace pistachioloom {

/// Dispatches generations and service calls to the backend servers that are
/// assigned to this node.
class BackendDispatcher {
public:
    BackendDispatcher(NodeContext& context, ControlPlane& control);

    void start();

    /// Runs one attempt of a generation and streams its tokens to \p owner. Failures
    /// are sent to the owner.
    asio::awaitable<void> serveGeneration(std::shared_ptr<PeerStream> owner, const wire::GenerateRequest& request);
    /// Dispatches one call to a service that is not a model engine. \returns the
    /// answer or a failure.
    asio::awaitable<wire::Frame> callService(const wire::ServiceCall& call);

    /// \returns the load of this node's engines by model: the sums of their slots and
    /// queue lengths, and the shortest wait.
    std::map<std::string, ModelLoad> loads() const;
    /// \returns the number of generations that run through this dispatcher.
    std::size_t running() const;
    /// Ends every stream in a way that lets its owner attach to the engine through
    /// another dispatcher.
    void handOverStreams();

    /// \returns the engines whose dispatcher this node is.
    std::vector<VmId> ownEngines() const;
    /// \returns the number of requests that \p engine runs for this dispatcher.
    std::uint64_t active(const VmId& engine) const { return slots_.active(engine); }
    enum class Admission {
        Open,
        /// Nothing new is dispatched. Queued requests are rejected, so that they
        /// retry on another engine.
        Closed,
    };
    void setAdmission(const VmId& engine, Admission admission);

    struct EngineLoad {
        VmId engine_;
        std::uint64_t active_ = 0;
        ModelLoad load_;
    };
    std::vector<EngineLoad> engineLoads() const;

private:
    /// Why this dispatcher ends a running stream.
    enum class EndReason {
        None,
        /// The KV cache of the stream moves to another engine.
        MoveCache,
        /// Another engine computes the KV cache again.
        Recompute,
        /// This node stops; the owner attaches to the engine through another
        /// dispatcher.
        HandOver,
        /// A trial request yields its slot to a paid one.
        Preempted,
    };

    struct RunningStream {
        std::string requestId_;
        VmId engine_;
        /// Trial if the stream has to yield its slot to a paid request on demand.
        ServiceClass class_ = ServiceClass::Paid;
        /// How often the request has yielded its slot.
        std::uint32_t yields_ = 0;
        std::uint64_t promptTokens_ = 0;
        std::uint64_t maxTokens_ = 0;
        std::atomic<std::uint64_t> generatedTokens_ { 0 };
        std::atomic<EndReason> endReason_ { EndReason::None };
        /// Closes the stream from the engine.
        std::function<void()> close_;
        SteadyTime startedAt_;
    };
    using RunningStreamPtr = std::shared_ptr<RunningStream>;

    static RunningStreamPtr makeRunningStream(const wire::GenerateRequest& request);
    /// Imports the KV cache that \p request names, if any, and then starts the
    /// generation or attaches to it.
    asio::awaitable<Result<EngineStream>> openAtEngine(Endpoint endpoint, EngineRequest request);
    asio::awaitable<Result<Slot>> acquireSlot(const wire::GenerateRequest& request);
    asio::awaitable<void> forward(std::shared_ptr<PeerStream> owner, const wire::GenerateRequest& request, EngineStream stream, RunningStreamPtr running);
    static void describeEnd(const RunningStream& running, wire::AttemptEnd& end);
    asio::awaitable<void> cancelAtEngine(VmId engine, std::string requestId, std::uint32_t attempt);
    asio::awaitable<void> reclaimLoop();
    void reclaimEngine(const VmId& engine, milliseconds notice);
    asio::awaitable<void> moveCache(RunningStreamPtr running);
    void endStream(RunningStream& running, EndReason reason);
    void preemptTrial(const VmId& engine);
    std::vector<RunningStreamPtr> streamsOn(const VmId& engine) const;
    /// \returns the number of requests that other engines of the same models can run.
    std::size_t capacityElsewhere(const VmId& engine) const;
    /// \returns the slots per server of \p backend that are reserved for paid
    /// requests.
    std::uint64_t paidReserveOf(std::string_view backend) const;
    std::uint64_t concurrencyOf(std::string_view backend) const;
    bool isDispatcherOf(const VmId& server) const;
    bool isAdmissionClosed(const VmId& engine) const;
    /// \returns why \p engine admits no requests, or nullopt if it does.
    std::optional<Error> checkAdmission(const VmId& engine) const;

    NodeContext& context_;
    ControlPlane& control_;
    Logger logger_;
    SlotTable slots_;
    mutable std::mutex mutex_;
    std::vector<RunningStreamPtr> running_;
    /// Engines to which nothing is dispatched at present; see Admission.
    std::set<VmId> closedEngines_;
};

/// Estimates the number of tokens of \p prompt at four bytes per token, the usual
/// rule of thumb for text. The estimate is only used for scheduling.
std::uint64_t promptTokens(std::string_view prompt);

} // namespace pistachioloom
