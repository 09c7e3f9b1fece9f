//===- lib/Node/BackendDispatcher.h - the home of backend servers ----------------===//
///
/// \file
/// A node is the home of the backend servers that rendezvous hashing gives it.
/// It alone dispatches to them, so their concurrency is exact, and it enforces
/// their leaving. Two nodes that both believe to be a server's home may admit
/// too much between them; the server's own queue then takes the difference.
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

class BackendDispatcher {
public:
    BackendDispatcher(NodeContext& context, ControlPlane& control);

    void start();

    /// Runs one attempt of a generation and streams it to its owner.
    asio::awaitable<void> serveGeneration(std::shared_ptr<PeerStream> owner, const wire::GenerateRequest& request);
    /// Dispatches one call to a plain service.
    asio::awaitable<wire::Frame> callService(const wire::ServiceCall& call);

    /// Load per model of the engines that are ours.
    std::map<std::string, ModelLoad> loads() const;
    /// Generations running through this home.
    std::size_t running() const;
    /// Ends every stream such that its owner attaches through another home.
    void handOverStreams();

    /// Engines whose home we are.
    std::vector<VmId> ownEngines() const;
    /// Requests that \p engine works on through us.
    std::uint64_t active(const VmId& engine) const { return slots_.active(engine); }
    enum class Admission {
        Open,
        /// Nothing new is dispatched; what queues is told to go elsewhere.
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
    /// Why a running stream is to end here.
    enum class EndReason {
        None,
        MoveCache,
        Recompute,
        HandOver,
        Preempted,
    };

    struct RunningStream {
        std::string requestId_;
        VmId engine_;
        /// Trial for whoever may be made to yield.
        ServiceClass class_ = ServiceClass::Paid;
        std::uint32_t yields_ = 0;
        std::uint64_t promptTokens_ = 0;
        std::uint64_t maxTokens_ = 0;
        std::atomic<std::uint64_t> generated_ { 0 };
        std::atomic<EndReason> endReason_ { EndReason::None };
        std::function<void()> close_;
        SteadyTime startedAt_;
    };
    using RunningStreamPtr = std::shared_ptr<RunningStream>;

    static RunningStreamPtr makeRunningStream(const wire::GenerateRequest& request);
    /// Imports the cache that \p request names, then starts or attaches.
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
    std::size_t capacityElsewhere(const VmId& engine) const;
    std::uint64_t paidReserveOf(std::string_view backend) const;
    std::uint64_t concurrencyOf(std::string_view backend) const;
    bool isDispatcherOf(const VmId& server) const;
    bool isAdmissionClosed(const VmId& engine) const;
    std::optional<Error> checkAdmission(const VmId& engine) const;

    NodeContext& context_;
    ControlPlane& control_;
    Logger logger_;
    SlotTable slots_;
    mutable std::mutex mutex_;
    std::vector<RunningStreamPtr> running_;
    std::set<VmId> closedEngines_;
};

/// Tokens that a prompt takes, as far as planning needs to know: one for every
/// four bytes, the usual rule of thumb for text.
std::uint64_t promptTokens(std::string_view prompt);

} // namespace pistachioloom
