//===- test/Harness/DelayProxy.cpp - proxy that delays responses ----------===//
///
/// \file
/// See DelayProxy.h.
//===----------------------------------------------------------------------===//
#include "DelayProxy.h"

#include <array>

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t bufferSize = 16UL * 1024;

} // namespace

struct DelayProxy::Link {
    explicit Link(tcp::socket caller)
        : caller_(std::move(caller))
        , server_(caller_.get_executor())
    {
    }

    tcp::socket caller_;
    tcp::socket server_;
};

DelayProxy::DelayProxy(Endpoint server)
    : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , server_(std::move(server))
{
    asio::co_spawn(io_, accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
}

DelayProxy::~DelayProxy()
{
    io_.stop();
    thread_.join();
}

Endpoint DelayProxy::endpoint() const
{
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
}

asio::awaitable<void> DelayProxy::accept()
{
    for (;;) {
        auto [code, socket] = co_await acceptor_.async_accept(asTuple);
        if (code)
            co_return;
        auto link = std::make_shared<Link>(std::move(socket));
        tcp::endpoint address(asio::ip::make_address(server_.host_), server_.port_);
        auto [connectCode] = co_await link->server_.async_connect(address, asTuple);
        if (connectCode)
            continue;
        asio::co_spawn(io_, forwardToServer(link), asio::detached);
        asio::co_spawn(io_, forwardToCaller(link), asio::detached);
    }
}

asio::awaitable<void> DelayProxy::forwardToServer(std::shared_ptr<Link> link)
{
    std::array<char, bufferSize> buffer {};
    for (;;) {
        auto [code, count] = co_await link->caller_.async_read_some(asio::buffer(buffer), asTuple);
        if (code)
            break;
        auto [writeCode, written] = co_await asio::async_write(link->server_, asio::buffer(buffer, count), asTuple);
        if (writeCode)
            break;
    }
    boost::system::error_code ignored;
    link->server_.shutdown(tcp::socket::shutdown_send, ignored);
}

/// Delays the end of the server's stream as much as its bytes.
asio::awaitable<void> DelayProxy::forwardToCaller(std::shared_ptr<Link> link)
{
    std::array<char, bufferSize> buffer {};
    SteadyTimer timer(io_);
    for (;;) {
        auto [code, count] = co_await link->server_.async_read_some(asio::buffer(buffer), asTuple);
        timer.expires_after(delay_.load());
        (void)co_await timer.async_wait(asTuple);
        if (code)
            break;
        auto [writeCode, written] = co_await asio::async_write(link->caller_, asio::buffer(buffer, count), asTuple);
        if (writeCode)
            break;
    }
    boost::system::error_code ignored;
    link->caller_.close(ignored);
}

} // namespace pistachioloom::test
