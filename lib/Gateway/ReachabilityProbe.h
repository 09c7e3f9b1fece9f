//===- lib/Gateway/ReachabilityProbe.h - data centres that are not reached --------===//
///
/// \file
/// Connects now and then to a backend server of each data centre that requests
/// do not reach, so that no caller's request has to find out when it is back.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

namespace pistachioloom {

class ReachabilityProbe {
public:
    explicit ReachabilityProbe(GatewayContext& context)
        : context_(context)
    {
    }

    /// Probes until the process ends.
    asio::awaitable<void> run();

private:
    asio::awaitable<void> probe(BackendRecord backend);
    void logChanges(const std::vector<BackendRecord>& unreachableSample);

    GatewayContext& context_;
    std::set<DataCentreId> unreachable_;
    Logger logger_ { "reach" };
};

} // namespace pistachioloom
