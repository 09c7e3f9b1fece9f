//===- lib/Gateway/QuarantineEndpoint.h - quarantines for operators -------===//
///
/// \file
/// Lists the attributes of requests during which backend servers crashed, and orders or lifts
/// the quarantine of one of them.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

namespace pistachioloom {

/// Returns whether quarantineEndpoint() answers \p request.
bool isForQuarantineEndpoint(const HttpRequest& request);

/// `GET /quarantine` lists all suspected requests and prompt parts. `POST /quarantine` with
/// `service`, `prompt_part` and `for_ms`, or with `request` and `for_ms`, orders a quarantine.
/// `DELETE /quarantine/FINGERPRINT` lifts one. Both apply on other nodes once they receive a
/// report, and require the nodes' credential.
HttpResponse quarantineEndpoint(GatewayContext& context, const HttpRequest& request);

} // namespace pistachioloom
