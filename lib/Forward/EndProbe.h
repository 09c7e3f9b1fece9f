//===- lib/Forward/EndProbe.h - whether a backend server has ended ---------===//
///
/// \file
/// A backend server that cuts an answer off may have crashed, or may have lost just
/// that connection. A new connection tells which.
//===----------------------------------------------------------------------===//
#pragma once

#include "Signal.h"
#include "pistachioloom/Forward.h"

namespace pistachioloom {

/// Connects to \p backend. If that is refused, the backend server has ended.
asio::awaitable<void> probeEnd(ForwardContext& context, BackendRecord backend);

/// A crash of \p backend was counted against a request.
void logCrash(ForwardContext& context, const BackendId& backend, const CrashDetector::CountedRequest& counted);

} // namespace pistachioloom
