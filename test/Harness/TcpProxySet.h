//===- test/Harness/TcpProxySet.h - proxies that can be partitioned -------===//
///
/// \file
/// Forwards TCP connections and can break them all, so that a test can partition
/// two data centres without a change to the machine's network.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <atomic>
#include <boost/asio.hpp>
#include <set>
#include <thread>

namespace pistachioloom::test {

/// A set of proxies on one thread, such as those from one data centre to the nodes of
/// another.
class TcpProxySet {
public:
    TcpProxySet();
    ~TcpProxySet();
    TcpProxySet(const TcpProxySet&) = delete;
    TcpProxySet& operator=(const TcpProxySet&) = delete;

    /// Listens on a new port and forwards to \p target. \returns the port.
    std::uint16_t add(const Endpoint& target);
    /// Breaks every connection. While \p isPartitioned is set, new connections are
    /// closed as well.
    void setPartitioned(bool isPartitioned);
    /// Delays everything that callers send to a target from now on by \p delay.
    void setDelay(milliseconds delay);

private:
    struct Link;
    asio::awaitable<void> accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor, Endpoint target);
    asio::awaitable<void> forwardBytes(std::shared_ptr<Link> link, bool isToTarget);

    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::set<std::shared_ptr<Link>> links_;
    bool isPartitioned_ = false;
    std::atomic<milliseconds> delay_ {};
    std::thread thread_;
};

} // namespace pistachioloom::test
