//===- lib/Forward/LivenessProbe.cpp - detects terminated backend servers -===//
///
/// \file
/// See LivenessProbe.h.
//===----------------------------------------------------------------------===//
#include "LivenessProbe.h"

#include "pistachioloom/Telemetry.h"

namespace pistachioloom {

// A terminating process closes its sockets one after the other, its listening socket possibly
// last. A connection may therefore still be accepted, or be reset while it waits to be, after the
// first one breaks, so a second probe follows after this delay.
static constexpr milliseconds reprobeDelay { 150 };
// Other backend servers that are tried before one is taken for terminated. Those that have
// terminated too refuse at once.
static constexpr std::size_t controlProbes = 24;
// Time for a sign of life of a backend server that closed a connection in order.
static constexpr milliseconds closedProbeDelay { 300 };

static const Logger& logger()
{
    static const Logger logger("probe");
    return logger;
}

void logCrash(ForwardContext& context, const BackendId& backend, const CrashDetector::CountedCrash& counted)
{
    context.metrics_.add(Counter::BackendCrashes);
    std::string parts;
    for (std::size_t i = 1; i < counted.attributes_.size(); ++i)
        parts += (i > 1 ? " " : "") + toString(counted.attributes_[i].key_) + ":" + std::to_string(counted.crashes_[i]);
    LogLine line("Backend server crashed while serving a request.");
    line.add("backend", backend.value_).add("request", toString(counted.attributes_.front().key_)).add("crashes", static_cast<std::int64_t>(counted.crashes_.front())).add("prompt_parts", parts);
    logger().info(line);
}

void noteBackendTerminated(ForwardContext& context, const BackendId& backend)
{
    for (const CrashDetector::CountedCrash& counted : context.crashes_.noteTerminated({ keyOf(backend) }, steadyNow()))
        logCrash(context, backend, counted);
}

/// Whether this node can connect to a backend server other than \p backend. Returns true if there
/// is none, since its termination then concerns no other request.
static asio::awaitable<bool> reachesOther(ForwardContext& context, BackendRecord backend)
{
    std::vector<BackendRecord> others = context.backends_.sampleOf(backend.service_, controlProbes + 1);
    std::erase_if(others, [&](const BackendRecord& other) { return other.id_ == backend.id_; });
    SteadyTime deadline = steadyNow() + 2 * context.settings_.connectTimeout_;
    for (const BackendRecord& other : others) {
        if (steadyNow() >= deadline)
            break;
        auto code = co_await tryConnection(other.endpoint_, context.settings_.connectTimeout_);
        if (!code)
            co_return true;
    }
    co_return others.empty();
}

/// Whether \p backend gives no sign of life to other requests soon after the connections that it
/// closed.
static asio::awaitable<bool> isSilent(ForwardContext& context, BackendId backend)
{
    const BackendIncarnationKey key { keyOf(backend) };
    for (;;) {
        SteadyTime since = steadyNow();
        std::uint64_t order = context.backends_.latestAliveOrder();
        co_await sleepFor(closedProbeDelay);
        if (!context.backends_.wasAliveSince(backend, order))
            co_return true;
        if (!context.crashes_.noteProbed(key, since, steadyNow()))
            co_return false;
    }
}

/// Connects to \p backend. \returns whether it must be probed again, since it closed further
/// connections.
static asio::awaitable<bool> probeByConnecting(ForwardContext& context, BackendRecord backend)
{
    const milliseconds waitLimit = context.settings_.connectTimeout_;
    SteadyTime startedAt = steadyNow();
    auto code = co_await tryConnection(backend.endpoint_, waitLimit);
    if (!code || code == asio::error::connection_reset) {
        co_await sleepFor(reprobeDelay);
        startedAt = steadyNow();
        code = co_await tryConnection(backend.endpoint_, waitLimit);
    }
    // Connections are also refused if a network fault isolates the data centre or this node. A
    // server has terminated only if this node reaches another one at the same time.
    bool hasTerminated = code == asio::error::connection_refused && context.backends_.isReachable(backend.dataCentre_);
    if (hasTerminated)
        hasTerminated = co_await reachesOther(context, backend);
    LogLine line(hasTerminated ? "Backend server has terminated." : "Backend server closed a connection during a request.");
    line.add("backend", backend.id_.value_).add("connection", code ? code.message() : "accepted");
    logger().info(line);
    std::optional<SteadyTime> aliveAt;
    if (!code)
        aliveAt = startedAt;
    bool needsProbe = context.crashes_.noteProbed({ keyOf(backend.id_) }, aliveAt, steadyNow());
    if (!hasTerminated)
        co_return needsProbe;
    context.backends_.setTerminated(backend.id_, steadyNow());
    noteBackendTerminated(context, backend.id_);
    if (context.hooks_.onTerminated_)
        context.hooks_.onTerminated_(backend.id_);
    co_return false;
}

asio::awaitable<void> probeLiveness(ForwardContext& context, BackendRecord backend, AttemptEnd end)
{
    bool mayWait = end == AttemptEnd::ConnectionClosed;
    for (;;) {
        if (mayWait) {
            bool silent = co_await isSilent(context, backend.id_);
            if (!silent)
                co_return;
        }
        bool needsProbe = co_await probeByConnecting(context, backend);
        if (!needsProbe)
            co_return;
        mayWait = true;
    }
}

} // namespace pistachioloom
