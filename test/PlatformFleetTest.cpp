//===- test/PlatformFleetTest.cpp - gateways as a fleet, whole processes ---===//
///
/// \file
/// What several gateways know of each other, and what becomes of callers and
/// duties when one of them stops or is lost.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr milliseconds patience { 15000 };

/// A caller that keeps its connection.
class KeptCaller {
public:
    explicit KeptCaller(const Endpoint& endpoint)
        : socket_(io_)
    {
        socket_.connect({ boost::asio::ip::make_address(endpoint.host_), endpoint.port_ });
    }

    /// Sends one request and reads its answer; nullopt if the connection ended.
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> call(const std::string& id)
    {
        namespace http = boost::beast::http;
        http::request<http::empty_body> request(http::verb::get, "/safe/" + id, 11);
        request.set(http::field::host, "h.example");
        request.set(http::field::authorization, "Bearer key-north");
        request.set("X-Pistachioloom-Attempt-Id", id);
        boost::system::error_code code;
        http::write(socket_, request, code);
        http::response<http::string_body> answer;
        if (!code)
            http::read(socket_, buffer_, answer, code);
        return code ? std::nullopt : std::optional(std::move(answer));
    }

private:
    boost::asio::io_context io_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

} // namespace

TEST_CASE("in a large fleet relays tell every node of all others, also after some are lost", "[gateway]")
{
    GatewayDeploymentOptions options;
    options.count_ = 6;
    options.dataCentres_ = 2;
    options.extraSettings_ = [](const std::string&) { return "  gossip:\n    fanout: 1\n"; };
    GatewayDeployment deployment(std::move(options));
    deployment.startStandardServices();
    auto knowsOf = [&](std::size_t from, double nodes) {
        return waitUntil([&] {
            auto first = deployment.gateways().begin() + static_cast<std::ptrdiff_t>(from);
            return std::all_of(first, deployment.gateways().end(), [&](const auto& gateway) { return deployment.metric(gateway, "nodes_known_of") == nodes; });
        },
            patience);
    };
    CHECK(knowsOf(0, 5));

    // The small organisation has one request, and half of one a second. Each node
    // may admit one before it hears of the others.
    auto begin = steadyNow();
    int admitted = 0;
    for (int round = 0; round < 30; ++round) {
        for (auto& gateway : deployment.gateways()) {
            HttpRequest request = gatewayRequest("GET", "/safe/x", "small-" + std::to_string(round) + gateway.vm_);
            request.headers_["Authorization"] = "Bearer key-small";
            admitted += deployment.call(gateway, request).status_ == 200;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    double seconds = std::chrono::duration<double>(steadyNow() - begin).count();
    CHECK(admitted >= 1);
    CHECK(admitted <= 6 + 1 + 0.5 * seconds);

    // One node of each data centre, a relay perhaps.
    for (std::size_t i : { 0U, 1U })
        deployment.gateways()[i].process_->kill();
    CHECK(knowsOf(2, 3));
    CHECK(deployment.call(deployment.gateways()[2], gatewayRequest("GET", "/safe/x", "after")).status_ == 200);
}

TEST_CASE("kept connections are served through a stop, and closed only after saying so", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    auto& gateway = deployment.gateways()[0];
    deployment.setBackendFaults({ { "delay_ms", 100 } });
    // Callers that never stop asking, on connections from before the stop.
    std::atomic<bool> isStopping { false };
    std::atomic<int> answeredInStop { 0 };
    std::atomic<int> lost { 0 };
    std::vector<std::thread> callers;
    for (int number = 0; number < 6; ++number) {
        callers.emplace_back([&, number] {
            KeptCaller caller(gateway.callers_);
            for (int i = 0;; ++i) {
                auto answer = caller.call("k" + std::to_string(number) + "-" + std::to_string(i));
                if (!answer) {
                    ++lost;
                    return;
                }
                answeredInStop += isStopping;
                if (!answer->keep_alive())
                    return;
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(300));
    isStopping = true;
    gateway.process_->signal(SIGTERM);
    CHECK(gateway.process_->wait(milliseconds(4500)) == 0);
    for (std::thread& caller : callers)
        caller.join();
    CHECK(lost == 0);
    CHECK(answeredInStop >= 6);
}

TEST_CASE("a holder of the duties that stops is succeeded while it still drains", "[gateway]")
{
    GatewayDeployment deployment(3);
    deployment.startStandardServices();
    auto& gateways = deployment.gateways();
    auto holderOf = [&]() -> std::size_t {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            if (gateways[i].process_->isRunning() && deployment.metric(gateways[i], "duty_token_held") > 0)
                return i;
        }
        return gateways.size();
    };
    REQUIRE(waitUntil([&] { return holderOf() < gateways.size(); }, patience));
    std::size_t first = holderOf();
    // A long stream holds the stopping node for all of its grace time of 3 s.
    deployment.setBackendFaults({ { "events", 1000 } });
    std::thread caller([&] { (void)deployment.call(gateways[first], gatewayRequest("POST", "/ask/stream", "long")); });
    REQUIRE(waitUntil([&] { return deployment.metric(gateways[first], "requests_running") > 0; }, patience));
    gateways[first].process_->signal(SIGTERM);
    auto isSucceeded = [&] {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            if (i != first && deployment.metric(gateways[i], "duty_token_held") > 0)
                return true;
        }
        return false;
    };
    CHECK(waitUntil(isSucceeded, milliseconds(2000)));
    CHECK(gateways[first].process_->isRunning());
    caller.join();
}
