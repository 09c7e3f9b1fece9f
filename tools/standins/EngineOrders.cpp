//===- tools/standins/EngineOrders.cpp - orders to the engine -------------===//
///
/// \file
/// Checks the fencing tokens of orders, loads configurations, and reports counters.
//===----------------------------------------------------------------------===//
#include "Engine.h"

namespace json = boost::json;

namespace pistachioloom::standin {

asio::awaitable<void> Engine::order(HttpExchange& exchange, json::object body)
{
    ++ordersReceived_;
    // Simulates a network that delays the order.
    if (controls_["order_delay_ms"])
        co_await pause(milliseconds(controls_["order_delay_ms"]));
    std::uint64_t token = numberField(body, "token");
    bool isStale = token < newestFencingToken_;
    if (isStale && controls_["honours_fencing"]) {
        ++staleOrdersRejected_;
        co_return co_await reject(exchange, Errc::Conflict, "take order", "a newer token is known");
    }
    newestFencingToken_ = std::max(newestFencingToken_, token);
    staleOrdersApplied_ += isStale ? 1 : 0;
    ordersAppliedWhileActive_ += activeStreams_ ? 1 : 0;
    ++ordersApplied_;
    body.erase("token");
    asio::co_spawn(io_, load(std::move(body)), asio::detached);
    co_await reply(exchange, 200, json::object {});
}

asio::awaitable<void> Engine::load(json::object configuration)
{
    std::uint64_t loadNumber = ++loadCount_;
    isLoading_ = true;
    co_await pause(milliseconds(controls_["load_ms"]));
    if (loadNumber != loadCount_)
        co_return;
    configuration_ = std::move(configuration);
    isLoading_ = false;
}

asio::awaitable<void> Engine::state(HttpExchange& exchange)
{
    json::object answer = configuration_;
    answer["loading"] = isLoading_;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Engine::control(HttpExchange& exchange)
{
    auto body = parseJsonObject(exchange.request().body_).value_or(json::object {});
    controls_.update(body);
    if (std::uint64_t left = numberField(body, "stop_in_ms")) {
        auto timer = std::make_shared<SteadyTimer>(io_, milliseconds(left));
        timer->async_wait([timer](boost::system::error_code) { std::_Exit(0); });
    }
    co_await reply(exchange, 200, counts());
}

json::object Engine::counts()
{
    json::object answer;
    answer["started"] = startedStreams_;
    answer["started_while_leaving"] = rejectedWhileLeaving_;
    answer["tokens"] = generatedTokens_;
    answer["prefilled"] = prefilledTokens_;
    answer["active"] = activeStreams_;
    answer["most_active"] = maxActiveStreams_;
    answer["cancelled"] = cancelledStreams_;
    answer["version"] = configuration_["version"];
    answer["loading"] = isLoading_ ? 1 : 0;
    answer["orders_received"] = ordersReceived_;
    answer["orders_obeyed"] = ordersApplied_;
    answer["stale_refused"] = staleOrdersRejected_;
    answer["stale_obeyed"] = staleOrdersApplied_;
    answer["obeyed_while_active"] = ordersAppliedWhileActive_;
    answer["started_while_loading"] = rejectedWhileLoading_;
    return answer;
}

} // namespace pistachioloom::standin
