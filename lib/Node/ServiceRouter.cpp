//===- lib/Node/ServiceRouter.cpp - calls to plain services ---------------===//
///
/// \file
/// See ServiceRouter.h.
//===----------------------------------------------------------------------===//
#include "ServiceRouter.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr std::size_t maxBackendsTried = 3;
    constexpr std::size_t maxCoordinatorsTried = 3;
    // The retry budget allows one retry for every five calls, with a burst of
    // ten.
    constexpr double retryRatio = 0.2;
    constexpr double retryReserve = 10;
    // Minimum time to wait for the reply of a coordinator. After that, another
    // coordinator gets the call. This is safe because the log decides which
    // attempt may run.
    constexpr milliseconds coordinatorTimeout { 8000 };
    // Added to the timeout of a call for each hop between nodes.
    constexpr milliseconds hopMargin { 500 };
    constexpr milliseconds serviceRetryAfter { 1000 };

    wire::Frame failureFrame(const Error& error)
    {
        wire::Frame frame;
        *frame.mutable_failure() = toWire(error);
        return frame;
    }

} // namespace

ServiceRouter::ServiceRouter(NodeContext& context, EngineRouter& router)
    : context_(context)
    , router_(router)
    , retries_(retryRatio, retryReserve)
{
}

bool ServiceRouter::tryRetry()
{
    std::lock_guard lock(mutex_);
    bool isAllowed = retries_.tryRetry();
    if (isAllowed)
        context_.metrics_.add(Counter::Retries);
    return isAllowed;
}

std::vector<VmId> ServiceRouter::backendsOf(const std::string& service, const std::string& key) const
{
    auto view = context_.membership();
    std::vector<VmId> local = rankByRendezvous(key, view->serversOf(service, view->dataCentre_));
    for (const VmId& server : rankByRendezvous(key, view->serversOf(service, {}))) {
        if (view->find(server)->dataCentre_ != view->dataCentre_)
            local.push_back(server);
    }
    return local;
}

asio::awaitable<wire::Frame> ServiceRouter::dispatchTo(wire::ServiceCall call, VmId backend)
{
    auto view = context_.membership();
    VmId dispatcher = router_.dispatcherOf(*view, backend, {});
    call.set_backend(backend.value_);
    wire::Frame frame;
    *frame.mutable_call() = call;
    auto reply = co_await context_.call(dispatcher, frame, milliseconds(call.deadline_ms()) + hopMargin);
    if (!reply)
        co_return failureFrame(reply.error());
    co_return std::move(reply.value());
}

asio::awaitable<wire::Frame> ServiceRouter::dispatch(wire::ServiceCall call)
{
    auto backends = backendsOf(call.service(), call.request_id());
    wire::Frame last = failureFrame({ Errc::Unavailable, "choose service", call.service(), "no backend server serves it", Ran::No, serviceRetryAfter });
    for (std::size_t i = 0; i < std::min(backends.size(), maxBackendsTried); ++i) {
        if (i && !tryRetry())
            break;
        last = co_await dispatchTo(call, backends[i]);
        if (!last.has_failure() || last.failure().may_have_run())
            co_return last;
    }
    co_return last;
}

asio::awaitable<wire::Frame> ServiceRouter::callRepeatable(wire::ServiceCall call)
{
    {
        std::lock_guard lock(mutex_);
        retries_.countRequest();
    }
    auto reply = co_await dispatch(call);
    bool shouldRetry = reply.has_failure() && reply.failure().may_have_run() && tryRetry();
    if (shouldRetry)
        reply = co_await dispatch(call);
    co_return reply;
}

asio::awaitable<wire::Frame> ServiceRouter::callOnce(wire::ServiceCall call)
{
    CallKey key = makeCallKey({ call.organisation() }, { call.service() }, { call.idempotency_key() });
    std::uint32_t shard = shardOf(key, static_cast<std::uint32_t>(context_.settings_.ledger_.shards_));
    auto coordinators = rankByRendezvous("run/" + std::to_string(shard), context_.membership()->localNodes_);
    wire::Frame request;
    *request.mutable_run_once() = call;
    wire::Frame last = failureFrame(unavailable("choose keeper", {}, "no node takes the role"));
    bool mayHaveRun = false;
    for (std::size_t i = 0; i < std::min(coordinators.size(), maxCoordinatorsTried); ++i) {
        auto reply = co_await context_.call(coordinators[i], request, std::max(coordinatorTimeout, milliseconds(call.deadline_ms()) + 2 * hopMargin));
        if (reply)
            co_return std::move(reply.value());
        last = failureFrame(reply.error());
        mayHaveRun |= reply.error().ran_ == Ran::Unknown;
        // A coordinator's failure covers only its own attempt. An attempt at an
        // unresponsive coordinator may still run.
        last.mutable_failure()->set_may_have_run(mayHaveRun);
        if (reply.error().step_ == runOnceStep)
            co_return last;
    }
    co_return last;
}

} // namespace pistachioloom
