//===- tools/standins/Engine.cpp - a model engine -------------------------===//
///
/// \file
/// Dispatches calls to their handlers and builds rejections.
//===----------------------------------------------------------------------===//
#include "Engine.h"

namespace json = boost::json;

namespace pistachioloom::standin {

asio::awaitable<void> Engine::handle(HttpExchange& exchange)
{
    std::string path = exchange.request().path();
    if (path == "/control")
        co_return co_await control(exchange);
    if (path == "/v1/generate")
        co_return co_await generate(exchange);
    auto body = parseJsonObject(exchange.request().body_).value_or(json::object {});
    if (path == "/v1/state")
        co_return co_await state(exchange);
    if (path == "/v1/order")
        co_return co_await order(exchange, std::move(body));
    if (path == "/v1/cache/export")
        co_return co_await exportCache(exchange, textField(body, "request"));
    if (path == "/v1/cache/import")
        co_return co_await importCache(exchange, textField(body, "handle"));
    if (path == "/v1/cancel")
        co_await cancel(std::move(body));
    json::object load;
    load["active"] = activeStreams_;
    co_await reply(exchange, 200, load);
}

Error Engine::rejection(Errc code, std::string step, std::string reason) const
{
    return { code, std::move(step), name_, std::move(reason), Ran::No, {} };
}

asio::awaitable<void> Engine::reject(HttpExchange& exchange, Errc code, std::string step, std::string reason)
{
    Error error = rejection(code, std::move(step), std::move(reason));
    (void)co_await exchange.respond(errorResponse(error));
}

} // namespace pistachioloom::standin
