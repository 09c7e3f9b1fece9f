//===- lib/Gateway/QuarantineEndpoint.h - quarantines for operators -------===//
///
/// \file
/// Lists the requests during which backend servers crashed, and lifts the quarantine of
/// one of them.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

namespace pistachioloom {

/// Returns whether quarantineEndpoint() answers \p request.
bool isForQuarantineEndpoint(const HttpRequest& request);

/// `GET /quarantine` lists all suspected requests. `DELETE /quarantine/REQUEST` lifts a
/// quarantine, on other nodes once they receive a report of it, and requires the nodes'
/// credential.
HttpResponse quarantineEndpoint(GatewayContext& context, const HttpRequest& request);

} // namespace pistachioloom
