//===- lib/Gateway/QuarantineEndpoint.h - what operators see of suspects -------===//
///
/// \file
/// Lists the requests under which backend servers crashed, and lifts what is held
/// against one of them.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"

namespace pistachioloom {

/// Whether \p request is meant for quarantineEndpoint().
bool isForQuarantineEndpoint(const HttpRequest& request);

/// GET /quarantine lists; DELETE /quarantine/REQUEST lifts, on all nodes within some
/// reports, and asks for the nodes' credential.
HttpResponse quarantineEndpoint(GatewayContext& context, const HttpRequest& request);

} // namespace pistachioloom
