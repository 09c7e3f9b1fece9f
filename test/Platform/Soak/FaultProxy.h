//===- test/Platform/Soak/FaultProxy.h - proxy that injects faults --------===//
///
/// \file
/// A loopback TCP proxy between two processes. It can delay, reset or stall
/// connections, in both directions or in one, and both open and new ones.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <set>

namespace pistachioloom::test {

enum class LinkFault {
    None,
    /// Bytes are delayed in both directions.
    Delayed,
    /// Open connections are reset once; new ones work.
    Reset,
    /// Bytes are held back in both directions, and no connection is closed.
    Stalled,
    /// Bytes from the server are held back.
    StalledToClient,
    /// Bytes from the client are held back.
    StalledToServer,
    /// Open connections are reset, and new ones are reset once they are accepted.
    Refused,
};

std::string_view toString(LinkFault fault);

/// Listens on one address and forwards connections to one server. All functions must
/// be called on the thread that runs the io_context passed to the constructor.
class FaultProxy {
public:
    FaultProxy(asio::io_context& io, Endpoint target);

    Endpoint endpoint() const;
    /// Applies \p fault to open and new connections.
    void set(LinkFault fault, milliseconds delay = milliseconds(0));
    LinkFault fault() const { return fault_; }

private:
    struct Link;
    asio::awaitable<void> accept();
    void stopListening();
    asio::awaitable<void> forwardBytes(std::shared_ptr<Link> link, bool isToServer);
    bool canForward(bool isToServer) const;

    asio::ip::tcp::acceptor acceptor_;
    const std::uint16_t port_;
    Endpoint target_;
    std::set<std::shared_ptr<Link>> links_;
    LinkFault fault_ = LinkFault::None;
    milliseconds delay_ {};
};

} // namespace pistachioloom::test
