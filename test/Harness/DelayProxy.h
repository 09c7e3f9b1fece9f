//===- test/Harness/DelayProxy.h - proxy that delays responses ------------===//
///
/// \file
/// A loopback TCP proxy that delays the server's bytes, and the close of its
/// connection, as a saturated link does.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <set>
#include <thread>

namespace pistachioloom::test {

/// Forwards connections to one server on a thread of its own.
class DelayProxy {
public:
    explicit DelayProxy(Endpoint server);
    ~DelayProxy();
    DelayProxy(const DelayProxy&) = delete;
    DelayProxy& operator=(const DelayProxy&) = delete;

    Endpoint endpoint() const;
    /// Delays everything that the server sends from now on by \p delay.
    void setDelay(milliseconds delay) { delay_ = delay; }

private:
    struct Link;
    asio::awaitable<void> accept();
    static asio::awaitable<void> forwardToServer(std::shared_ptr<Link> link);
    asio::awaitable<void> forwardToCaller(std::shared_ptr<Link> link);

    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    Endpoint server_;
    std::atomic<milliseconds> delay_ { milliseconds(0) };
    std::thread thread_;
};

} // namespace pistachioloom::test
