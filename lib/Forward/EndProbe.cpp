//===- lib/Forward/EndProbe.cpp - whether a backend server has ended -------===//
///
/// \file
/// See EndProbe.h.
//===----------------------------------------------------------------------===//
#include "EndProbe.h"

#include "pistachioloom/Telemetry.h"

namespace pistachioloom {

using tcp = asio::ip::tcp;

static const Logger& logger()
{
    static const Logger logger("probe");
    return logger;
}

/// \returns the error of a connection to \p address, or none.
static asio::awaitable<boost::system::error_code> tryConnection(tcp::endpoint address, milliseconds patience)
{
    auto executor = co_await asio::this_coro::executor;
    tcp::socket socket(executor);
    asio::steady_timer timer(executor, patience);
    timer.async_wait([&socket](const boost::system::error_code& code) {
        boost::system::error_code ignored;
        if (!code)
            socket.close(ignored);
    });
    auto [code] = co_await socket.async_connect(address, asTuple);
    timer.cancel();
    co_return code;
}

asio::awaitable<void> probeEnd(BackendRecord backend, milliseconds patience, std::string request)
{
    boost::system::error_code code;
    tcp::endpoint address(asio::ip::make_address(backend.endpoint_.host_, code), backend.endpoint_.port_);
    if (!code)
        code = co_await tryConnection(address, patience);
    bool hasEnded = code == asio::error::connection_refused;
    LogLine line(hasEnded ? "Backend server has ended." : "Backend server cut a request off.");
    line.add("backend", backend.id_.value_).add("request", request).add("connection", code ? code.message() : "accepted");
    logger().info(line);
}

} // namespace pistachioloom
