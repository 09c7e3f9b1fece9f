//===- lib/Http/Probe.cpp - probe of a TCP endpoint ------------------------===//
///
/// \file
/// Implements tryConnection().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>

namespace pistachioloom {

using tcp = asio::ip::tcp;

asio::awaitable<boost::system::error_code> tryConnection(Endpoint endpoint, milliseconds timeout)
{
    boost::system::error_code invalid;
    tcp::endpoint address(asio::ip::make_address(endpoint.host_, invalid), endpoint.port_);
    if (invalid)
        co_return invalid;
    auto executor = co_await asio::this_coro::executor;
    tcp::socket socket(executor);
    SteadyTimer timer(executor, timeout);
    timer.async_wait([&socket](const boost::system::error_code& code) {
        boost::system::error_code ignored;
        if (!code)
            socket.close(ignored);
    });
    auto [code] = co_await socket.async_connect(address, asio::as_tuple(asio::use_awaitable));
    timer.cancel();
    co_return code;
}

} // namespace pistachioloom
