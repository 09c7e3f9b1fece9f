//===- test/Harness/LateLink.h - a link whose bytes come late --------------===//
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
class LateLink {
public:
    explicit LateLink(Endpoint server);
    ~LateLink();
    LateLink(const LateLink&) = delete;
    LateLink& operator=(const LateLink&) = delete;

    Endpoint endpoint() const;
    /// What the server sends from now on arrives so much later.
    void setLate(milliseconds late) { late_ = late; }

private:
    struct Link;
    asio::awaitable<void> accept();
    static asio::awaitable<void> pumpUp(std::shared_ptr<Link> link);
    asio::awaitable<void> pumpDown(std::shared_ptr<Link> link);

    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    Endpoint server_;
    std::atomic<milliseconds> late_ { milliseconds(0) };
    std::thread thread_;
};

} // namespace pistachioloom::test
