//===- lib/Node/OperatorApi.h - HTTP interface for operators --------------===//
///
/// \file
/// Serves pistachioloomctl: catalogue, nodes, engines, requests, limits,
/// traces, and the request to drain. See docs/OPERATIONS.md.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackendDispatcher.h"
#include "CallerApi.h"
#include "EngineOrders.h"

namespace pistachioloom {

/// Handles the requests of operators.
class OperatorApi {
public:
    /// Called to drain the node. The duration is the time until the node has
    /// to stop; nullopt means the drain timeout of the settings.
    using DrainHook = std::function<void(std::optional<milliseconds>)>;

    OperatorApi(NodeContext& context, ControlPlane& control, BackendDispatcher& dispatcher, EngineOrders& orders, GenerationOwner& owner, LimitClient& limits, EngineRouter& router, DrainHook drain, CallerApi::GaugesHook gauges);

    asio::awaitable<void> handle(HttpExchange& exchange);

private:
    asio::awaitable<Result<HttpResponse>> route(const HttpRequest& request);
    asio::awaitable<Result<HttpResponse>> editEntry(const HttpRequest& request, const std::string& name);
    HttpResponse listCatalogue() const;
    Result<HttpResponse> getEntry(const std::string& name) const;
    HttpResponse listHistory() const;
    HttpResponse listNodes() const;
    HttpResponse listEngines() const;
    HttpResponse listRequests() const;
    HttpResponse listLimits() const;

    NodeContext& context_;
    ControlPlane& control_;
    BackendDispatcher& dispatcher_;
    EngineOrders& orders_;
    GenerationOwner& owner_;
    LimitClient& limits_;
    EngineRouter& router_;
    DrainHook drain_;
    CallerApi::GaugesHook gauges_;
};

} // namespace pistachioloom
