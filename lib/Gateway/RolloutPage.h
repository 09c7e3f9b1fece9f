//===- lib/Gateway/RolloutPage.h - what operators see of roll-outs ---------===//
///
/// \file
/// `GET /rollouts` lists them; `DELETE /rollouts/SERVICE` reverts one, with the nodes'
/// credential.
//===----------------------------------------------------------------------===//
#pragma once

#include "RolloutRunner.h"
#include "pistachioloom/Http.h"

namespace pistachioloom {

bool isForRolloutPage(const HttpRequest& request);
HttpResponse rolloutPage(GatewayContext& context, const RolloutRunner& runner, const HttpRequest& request);

} // namespace pistachioloom
