//===- lib/Gateway/RolloutEndpoint.h - what operators see of roll-outs ---------===//
///
/// \file
/// `GET /rollouts` lists them; `DELETE /rollouts/SERVICE` reverts one, with the nodes'
/// credential.
//===----------------------------------------------------------------------===//
#pragma once

#include "RolloutRunner.h"
#include "pistachioloom/Http.h"

namespace pistachioloom {

bool isForRolloutEndpoint(const HttpRequest& request);
HttpResponse rolloutEndpoint(GatewayContext& context, const RolloutRunner& runner, const HttpRequest& request);

} // namespace pistachioloom
