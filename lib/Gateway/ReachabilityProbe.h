//===- lib/Gateway/ReachabilityProbe.h - unreachable data centres ---------===//
///
/// \file
/// Connects periodically to a backend server of each unreachable data centre, so that no
/// request of a caller has to find out when the data centre is reachable again, and to several
/// servers of a service that this node may have lost its paths to.
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

    /// Probes data centres until the process ends.
    asio::awaitable<void> run();
    /// Probes services until the process ends.
    asio::awaitable<void> watchServices();

private:
    asio::awaitable<void> probe(BackendRecord backend);
    asio::awaitable<void> probeService(ServiceName service);
    void logChanges(const std::vector<BackendRecord>& unreachableSample);

    GatewayContext& context_;
    std::set<DataCentreId> unreachable_;
    Logger logger_ { "reach" };
};

} // namespace pistachioloom
