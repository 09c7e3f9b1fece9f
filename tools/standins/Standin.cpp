//===- tools/standins/Standin.cpp - common code of the stand-ins ----------===//
///
/// \file
/// Implements the functions that all stand-ins use. A stand-in runs on one thread, so
/// its state needs no lock.
//===----------------------------------------------------------------------===//
#include "Standin.h"

#include <csignal>
#include <iostream>

namespace pistachioloom::standin {

int serve(asio::io_context& io, std::uint16_t port, HttpHandler handler)
{
    std::signal(SIGPIPE, SIG_IGN);
    HttpBounds bounds;
    bounds.body_ = { 64UL * 1024 * 1024 };
    HttpServer server(io.get_executor(), bounds, std::move(handler), errorResponse);
    auto bound = server.listen({ "127.0.0.1", port });
    if (!bound) {
        std::cerr << describe(bound.error()) << '\n';
        return 1;
    }
    std::cout << "{\"port\":" << bound.value() << "}" << std::endl;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([](boost::system::error_code, int) { std::_Exit(0); });
    io.run();
    return 0;
}

asio::awaitable<void> reply(HttpExchange& exchange, int status, const boost::json::value& value)
{
    HttpResponse response = jsonResponse(status, boost::json::serialize(value));
    (void)co_await exchange.respond(std::move(response));
}

asio::awaitable<void> pause(milliseconds duration)
{
    SteadyTimer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Controls::Controls(std::map<std::string, std::int64_t> values)
    : values_(std::move(values))
{
}

std::int64_t Controls::operator[](const std::string& name) const
{
    return values_.at(name);
}

void Controls::set(const std::string& name, std::int64_t value)
{
    values_.at(name) = value;
}

void Controls::update(const boost::json::object& body)
{
    for (auto& [name, value] : values_) {
        if (body.contains(name))
            value = static_cast<std::int64_t>(numberField(body, name.c_str()));
    }
}

} // namespace pistachioloom::standin
