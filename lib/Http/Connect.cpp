//===- lib/Http/Connect.cpp - beginning and end of connections -------------===//
///
/// \file
/// Implements connectWithin(), tryConnection() and errorAtEnd().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <netinet/tcp.h>

namespace pistachioloom {

using tcp = asio::ip::tcp;

namespace {

    /// Shared with the handler of the time limit, which may still run when the attempt has ended:
    /// cancelling a timer does not retract a handler that is already queued.
    struct ConnectAttempt {
        explicit ConnectAttempt(const asio::any_io_executor& executor)
            : socket_(executor)
        {
        }

        tcp::socket socket_;
        bool isDone_ = false;
        bool hasExpired_ = false;
    };

} // namespace

asio::awaitable<boost::system::result<std::shared_ptr<tcp::socket>>> connectWithin(Endpoint endpoint, milliseconds timeout)
{
    boost::system::error_code invalid;
    tcp::endpoint address(asio::ip::make_address(endpoint.host_, invalid), endpoint.port_);
    if (invalid)
        co_return invalid;
    auto executor = co_await asio::this_coro::executor;
    auto attempt = std::make_shared<ConnectAttempt>(executor);
    SteadyTimer timer(executor, timeout);
    timer.async_wait([attempt](const boost::system::error_code& cancelled) {
        if (cancelled || attempt->isDone_)
            return;
        attempt->hasExpired_ = true;
        boost::system::error_code ignored;
        attempt->socket_.close(ignored);
    });
    auto [code] = co_await attempt->socket_.async_connect(address, asio::as_tuple(asio::use_awaitable));
    attempt->isDone_ = true;
    timer.cancel();
    if (attempt->hasExpired_)
        co_return boost::system::error_code(asio::error::timed_out);
    if (code)
        co_return code;
    co_return std::make_shared<tcp::socket>(std::move(attempt->socket_));
}

asio::awaitable<boost::system::error_code> tryConnection(Endpoint endpoint, milliseconds timeout)
{
    auto connected = co_await connectWithin(std::move(endpoint), timeout);
    co_return connected ? boost::system::error_code() : connected.error();
}

/// Whether the kernel has ended the connection, after a reset for example. A write then fails at once.
static bool isEnded(tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    return !::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) && info.tcpi_state == TCP_CLOSE;
}

asio::awaitable<boost::system::error_code> errorAtEnd(tcp::socket& socket, const WriteState& write)
{
    // The handler of a write that has received the reset may run after that of the read.
    while (write.isInProgress_ && isEnded(socket))
        co_await sleepFor(milliseconds(1));
    if (!socket.is_open())
        co_return asio::error::operation_aborted;
    // A write receives broken_pipe only if an orderly end had arrived before the reset.
    co_return write.error_ == asio::error::broken_pipe ? boost::system::error_code() : write.error_;
}

} // namespace pistachioloom
