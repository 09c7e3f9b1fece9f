//===- test/Harness/TcpProxySet.h - a connection that can be cut -----------------===//
///
/// \file
/// Forwards TCP connections until it is cut, so a test can part two data
/// centres without touching the machine's network.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <atomic>
#include <boost/asio.hpp>
#include <set>
#include <thread>

namespace pistachioloom::test {

/// Relays from one data centre to nodes of others, all on one thread.
class TcpProxySet {
public:
    TcpProxySet();
    ~TcpProxySet();
    TcpProxySet(const TcpProxySet&) = delete;
    TcpProxySet& operator=(const TcpProxySet&) = delete;

    /// Listens on a port of its own and forwards to \p target. \returns the port.
    std::uint16_t add(const Endpoint& target);
    /// Breaks every connection and takes no new one until healed.
    void setPartitioned(bool isPartitioned);
    /// From now on what goes to a target arrives so much later.
    void setDelay(milliseconds delay);

private:
    struct Link;
    asio::awaitable<void> accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor, Endpoint target);
    asio::awaitable<void> pump(std::shared_ptr<Link> link, bool isToTarget);

    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::set<std::shared_ptr<Link>> links_;
    bool isPartitioned_ = false;
    std::atomic<milliseconds> delay_ {};
    std::thread thread_;
};

} // namespace pistachioloom::test
