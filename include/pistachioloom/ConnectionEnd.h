//===- pistachioloom/ConnectionEnd.h - tells a reset from an orderly end ---===//
///
/// \file
/// The kernel reports a reset of a TCP connection once. If a write receives it, the reads that follow
/// report an orderly end.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

namespace pistachioloom {

/// The write on a connection whose other end may answer before it has read everything.
struct WriteState {
    bool isInProgress_ = false;
    /// Why the write failed, if it did.
    boost::system::error_code error_;
};

/// Returns the error that ended the connection of \p socket when a read reports the end, or no error if
/// the other end closed it in order. Waits for the write if it is about to fail.
asio::awaitable<boost::system::error_code> errorAtEnd(asio::ip::tcp::socket& socket, const WriteState& write);

} // namespace pistachioloom
