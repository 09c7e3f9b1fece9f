//===- tools/standins/ServiceStandin.cpp - a plain service ----------------===//
///
/// \file
/// Counts the executions of each idempotency key. Faults: a slow service, a service that
/// is leaving, and an answer that is lost after the call has run.
//===----------------------------------------------------------------------===//
#include "Standin.h"

#include <CLI/CLI.hpp>

using namespace pistachioloom;
using namespace pistachioloom::standin;
namespace json = boost::json;

namespace {

constexpr int statusUnavailable = 503;

class Service {
public:
    asio::awaitable<void> handle(HttpExchange& exchange);

private:
    asio::awaitable<void> control(HttpExchange& exchange);

    Controls controls_ { {
        { "delay_ms", 0 },
        { "leaving", 0 },
        { "lose_answers", 0 },
    } };
    std::map<std::string, std::int64_t> executions_;
    std::int64_t totalExecutions_ = 0;
    std::int64_t requestsWhileLeaving_ = 0;
};

asio::awaitable<void> Service::control(HttpExchange& exchange)
{
    controls_.update(parseJsonObject(exchange.request().body_).value_or(json::object {}));
    json::object executions;
    for (const auto& [key, count] : executions_)
        executions[key] = count;
    json::object answer;
    answer["total"] = totalExecutions_;
    answer["asked_while_leaving"] = requestsWhileLeaving_;
    answer["executions"] = executions;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Service::handle(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.path() == "/control") {
        co_await control(exchange);
        co_return;
    }
    if (controls_["leaving"]) {
        ++requestsWhileLeaving_;
        HttpResponse rejection = jsonResponse(statusUnavailable, "{}");
        rejection.headers_["x-leaving"] = "true";
        (void)co_await exchange.respond(std::move(rejection));
        co_return;
    }
    std::int64_t count = ++executions_[request.header("idempotency-key")];
    ++totalExecutions_;
    co_await pause(milliseconds(controls_["delay_ms"]));
    if (controls_["lose_answers"] > 0) {
        controls_.set("lose_answers", controls_["lose_answers"] - 1);
        exchange.abort();
        co_return;
    }
    json::object answer;
    answer["path"] = request.target_;
    answer["execution"] = count;
    answer["total"] = totalExecutions_;
    answer["body"] = request.body_;
    co_await reply(exchange, 200, answer);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for a plain service." };
    std::uint16_t port = 0;
    app.add_option("--port", port, "Port to listen on; 0 lets the kernel choose");
    CLI11_PARSE(app, argc, argv);
    asio::io_context io;
    Service service;
    return serve(io, port, [&](HttpExchange& exchange) { return service.handle(exchange); });
}
