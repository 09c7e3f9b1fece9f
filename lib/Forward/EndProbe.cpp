//===- lib/Forward/EndProbe.cpp - whether a backend server has ended -------===//
///
/// \file
/// See EndProbe.h.
//===----------------------------------------------------------------------===//
#include "EndProbe.h"

#include "pistachioloom/Telemetry.h"

namespace pistachioloom {

// A process that ends closes its connections one after the other, the one on which it
// listens perhaps last, so that a connection may still be accepted after the first break.
static constexpr milliseconds secondProbe { 150 };

static const Logger& logger()
{
    static const Logger logger("probe");
    return logger;
}

void logCrash(ForwardContext& context, const BackendId& backend, const CrashDetector::CountedRequest& counted)
{
    context.metrics_.add(Counter::BackendCrashes);
    LogLine line("Backend server crashed under a request.");
    line.add("backend", backend.value_).add("request", toString(counted.request_)).add("crashes", static_cast<std::int64_t>(counted.crashes_));
    logger().info(line);
}

void noteBackendEnded(ForwardContext& context, const BackendId& backend)
{
    for (const CrashDetector::CountedRequest& counted : context.crashes_.noteEnded({ keyOf(backend) }, steadyNow()))
        logCrash(context, backend, counted);
}

asio::awaitable<void> probeEnd(ForwardContext& context, BackendRecord backend)
{
    const milliseconds patience = context.settings_.connectTimeout_;
    auto code = co_await tryConnection(backend.endpoint_, patience);
    if (!code) {
        co_await sleepFor(secondProbe);
        code = co_await tryConnection(backend.endpoint_, patience);
    }
    // What cuts a data centre off may refuse connections too.
    bool hasEnded = code == asio::error::connection_refused && context.backends_.isReached(backend.dataCentre_);
    LogLine line(hasEnded ? "Backend server has ended." : "Backend server cut a request off.");
    line.add("backend", backend.id_.value_).add("connection", code ? code.message() : "accepted");
    logger().info(line);
    context.crashes_.noteProbed({ keyOf(backend.id_) });
    if (!hasEnded)
        co_return;
    context.backends_.setEnded(backend.id_, steadyNow());
    noteBackendEnded(context, backend.id_);
    if (context.hooks_.onEnded_)
        context.hooks_.onEnded_(backend.id_);
}

} // namespace pistachioloom
