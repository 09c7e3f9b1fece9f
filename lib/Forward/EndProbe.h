//===- lib/Forward/EndProbe.h - whether a backend server has ended ---------===//
///
/// \file
/// A backend server that cuts an answer off may have crashed, or may have lost just
/// that connection. A new connection tells which.
//===----------------------------------------------------------------------===//
#pragma once

#include "Signal.h"
#include "pistachioloom/Backends.h"

namespace pistachioloom {

/// Connects to \p backend, which cut off an attempt at \p request, and logs what came
/// of it.
asio::awaitable<void> probeEnd(BackendRecord backend, milliseconds patience, std::string request);

} // namespace pistachioloom
