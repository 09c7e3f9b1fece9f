//===- lib/Gateway/RolloutEndpoint.h - roll-outs for operators ------------===//
///
/// \file
/// Lists the roll-out orders, and reverts one of them.
//===----------------------------------------------------------------------===//
#pragma once

#include "RolloutRunner.h"
#include "pistachioloom/Http.h"

namespace pistachioloom {

/// Returns whether rolloutEndpoint() answers \p request.
bool isForRolloutEndpoint(const HttpRequest& request);

/// `GET /rollouts` lists all orders. `DELETE /rollouts/SERVICE` reverts the order of a
/// service, and requires the nodes' credential.
HttpResponse rolloutEndpoint(GatewayContext& context, const RolloutRunner& runner, const HttpRequest& request);

} // namespace pistachioloom
