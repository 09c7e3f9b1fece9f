//===- test/Harness/DelayProxy.h - a link whose bytes come late --------------===//
///
/// \file
/// A loopback relay that holds back what the server sends, its close included, as a
/// full link does.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <set>
#include <thread>

namespace pistachioloom::test {

/// Relays to one server on a thread of its own.
class DelayProxy {
public:
    explicit DelayProxy(Endpoint server);
    ~DelayProxy();
    DelayProxy(const DelayProxy&) = delete;
    DelayProxy& operator=(const DelayProxy&) = delete;

    Endpoint endpoint() const;
    /// What the server sends from now on arrives so much later.
    void setDelay(milliseconds delay) { delay_ = delay; }

private:
    struct Link;
    asio::awaitable<void> accept();
    static asio::awaitable<void> pumpToServer(std::shared_ptr<Link> link);
    asio::awaitable<void> pumpToCaller(std::shared_ptr<Link> link);

    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    Endpoint server_;
    std::atomic<milliseconds> delay_ { milliseconds(0) };
    std::thread thread_;
};

} // namespace pistachioloom::test
