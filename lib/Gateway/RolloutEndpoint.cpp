//===- lib/Gateway/RolloutEndpoint.cpp - roll-outs for operators ----------===//
///
/// \file
/// See RolloutEndpoint.h.
//===----------------------------------------------------------------------===//
#include "RolloutEndpoint.h"

#include "pistachioloom/Json.h"

namespace pistachioloom {

namespace json = boost::json;

static constexpr std::string_view endpointPath = "/rollouts";

static json::object sideOf(std::size_t servers, const AnswerTally& answers)
{
    return { { "servers", servers }, { "answers", answers.answers_ }, { "bad", answers.bad_ } };
}

static json::object rowOf(const RolloutRunner::OrderStatus& status)
{
    AnswerTally target;
    AnswerTally others;
    for (const auto& [cell, counted] : status.tally_.cells_) {
        AnswerTally& side = cell.first == stableBackendKey ? others : target;
        side.answers_ += counted.answers_;
        side.bad_ += counted.bad_;
    }
    const RolloutState& state = status.state_;
    json::object row { { "service", state.order_.service_.value_ }, { "target", state.order_.target_.value_ }, { "order", state.order_.number_.value_ }, { "phase", std::string(toString(state.phase_)) }, { "share", state.share_ }, { "why", status.reason_ } };
    row["requests"] = status.tally_.requests_;
    row["exposed"] = status.tally_.exposed_;
    row["target_side"] = sideOf(status.versions_.target_, target);
    row["other_side"] = sideOf(status.versions_.others_, others);
    return row;
}

static HttpResponse list(const RolloutRunner& runner)
{
    json::array rows;
    for (const RolloutRunner::OrderStatus& status : runner.orderStatuses())
        rows.push_back(rowOf(status));
    json::object body { { "rollouts", rows } };
    return jsonResponse(200, json::serialize(body));
}

/// Reverts the order of the service in the path. This node reports the state to all other
/// nodes, and the holder of the duties reports it to the operator.
static HttpResponse revert(GatewayContext& context, const HttpRequest& request)
{
    const std::string step = "revert roll-out";
    if (!equalInConstantTime(request.header("authorization"), "Bearer " + context.settings_.peerCredential_))
        return errorResponse(Error { Errc::Unauthorised, step, {}, "expected the nodes' credential", Ran::No, {} });
    ServiceName service { std::string(request.path().substr(std::min(request.path().size(), endpointPath.size() + 1))) };
    auto state = context.rollouts_.find(service);
    if (!state)
        return errorResponse(Error { Errc::NotFound, step, {}, "no order for service '" + service.value_ + "'", Ran::No, {} });
    if (isFinal(state->phase_))
        return errorResponse(Error { Errc::Conflict, step, {}, "the order is " + std::string(toString(state->phase_)) + " already", Ran::No, {} });
    state->phase_ = RolloutPhase::Reverted;
    state->share_ = 0;
    SteadyTime now = steadyNow();
    (void)context.rollouts_.applyState(*state, now, now);
    Logger("rollout").info(LogLine("Roll-out is reverted by an operator.").add("service", service.value_).add("target", state->order_.target_.value_));
    return jsonResponse(200, "{}");
}

bool isForRolloutEndpoint(const HttpRequest& request)
{
    return request.path() == endpointPath || request.path().starts_with(std::string(endpointPath) + "/");
}

HttpResponse rolloutEndpoint(GatewayContext& context, const RolloutRunner& runner, const HttpRequest& request)
{
    if (request.method_ == "GET" && request.path() == endpointPath)
        return list(runner);
    if (request.method_ == "DELETE")
        return revert(context, request);
    return errorResponse(Error { Errc::MethodNotAllowed, "roll-out page", {}, "expected GET or DELETE, found " + request.method_, Ran::No, {} });
}

} // namespace pistachioloom
