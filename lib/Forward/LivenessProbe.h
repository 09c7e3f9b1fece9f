//===- lib/Forward/LivenessProbe.h - detects terminated backend servers ---===//
///
/// \file
/// A backend server that cuts an answer off has either crashed or lost only that
/// connection. A new connection shows which of the two has happened.
//===----------------------------------------------------------------------===//
#pragma once

#include "AutoResetEvent.h"
#include "pistachioloom/Forward.h"

namespace pistachioloom {

/// Connects to \p backend. If the connection is refused although the data centre counts
/// as reachable, records that the backend server has terminated. After a connection that
/// closed in order, it connects only if the backend server gives no other sign of life.
asio::awaitable<void> probeLiveness(ForwardContext& context, BackendRecord backend, AttemptEnd end);

/// Logs that a crash of \p backend was counted against a request.
void logCrash(ForwardContext& context, const BackendId& backend, const CrashDetector::CountedCrash& counted);

} // namespace pistachioloom
