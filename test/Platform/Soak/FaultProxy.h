//===- test/Platform/Soak/FaultProxy.h - connections that misbehave -------===//
///
/// \file
/// A loopback proxy between two of the programs. Its connections can be delayed,
/// reset, silenced, or cut in one direction, while they are open or as they come.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <set>

namespace pistachioloom::test {

enum class LinkFault {
    None,
    /// Bytes come late, in both directions.
    Delayed,
    /// Open connections are reset once; new ones work.
    Reset,
    /// Nothing passes in either direction, and nothing is closed.
    Stalled,
    /// What the server sends does not arrive.
    StalledToClient,
    /// What the client sends does not arrive.
    StalledToServer,
    /// New connections are refused.
    Refused,
};

std::string_view toString(LinkFault fault);

/// One listening address in front of one server. Runs on the io_context it is
/// given; call everything from there.
class FaultProxy {
public:
    FaultProxy(asio::io_context& io, Endpoint target);

    Endpoint endpoint() const;
    /// Applies to open connections and to those that come.
    void set(LinkFault fault, milliseconds delay = milliseconds(0));
    LinkFault fault() const { return fault_; }

private:
    struct Link;
    asio::awaitable<void> accept();
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
