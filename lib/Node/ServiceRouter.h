//===- lib/Node/ServiceRouter.h - calls to plain services -----------------===//
///
/// \file
/// Sends service calls from the entry VM: a repeatable call to the dispatcher
/// of a backend server, any other call to the coordinator of its key.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackendDispatcher.h"
#include "EngineRouter.h"
#include "RunOnceCoordinator.h"

namespace pistachioloom {

/// Sends service calls to dispatchers and coordinators.
class ServiceRouter {
public:
    ServiceRouter(NodeContext& context, EngineRouter& router);

    /// Calls a service whose calls may be repeated.
    asio::awaitable<wire::Frame> callRepeatable(wire::ServiceCall call);
    /// Sends the call to coordinators, one after another, to run it at most
    /// once.
    asio::awaitable<wire::Frame> callOnce(wire::ServiceCall call);
    /// Sends a call to a backend server, and to others only while the call is
    /// known not to have run. Coordinators dispatch calls through this
    /// function.
    asio::awaitable<wire::Frame> dispatch(wire::ServiceCall call);

private:
    asio::awaitable<wire::Frame> dispatchTo(wire::ServiceCall call, VmId backend);
    /// Backend servers of \p service, ranked by \p key, those of this data
    /// centre first.
    std::vector<VmId> backendsOf(const std::string& service, const std::string& key) const;
    bool tryRetry();

    NodeContext& context_;
    EngineRouter& router_;
    std::mutex mutex_;
    RetryBudget retries_;
};

} // namespace pistachioloom
