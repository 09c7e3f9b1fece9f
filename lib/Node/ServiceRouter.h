//===- lib/Node/ServiceRouter.h - calls to plain services ------------------===//
///
/// \file
/// The entry's side of service calls: a repeatable one goes to the home of a
/// backend server, one that may not be repeated to the keeper of its key.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackendHome.h"
#include "EngineRouter.h"
#include "RunOnceCoordinator.h"

namespace pistachioloom {

class ServiceRouter {
public:
    ServiceRouter(NodeContext& context, EngineRouter& router);

    /// Calls a service whose calls may be repeated.
    asio::awaitable<wire::Frame> callRepeatable(wire::ServiceCall call);
    /// Asks keepers, one after another, to run the call at most once.
    asio::awaitable<wire::Frame> callOnce(wire::ServiceCall call);
    /// Sends a call to one backend server, trying others only while it is known
    /// not to have run. The keeper dispatches through this.
    asio::awaitable<wire::Frame> dispatch(wire::ServiceCall call);

private:
    asio::awaitable<wire::Frame> dispatchTo(wire::ServiceCall call, VmId backend);
    std::vector<VmId> backendsOf(const std::string& service, const std::string& key) const;
    bool tryRetry();

    NodeContext& context_;
    EngineRouter& router_;
    std::mutex mutex_;
    RetryBudget retries_;
};

} // namespace pistachioloom
