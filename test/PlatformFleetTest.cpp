//===- test/PlatformFleetTest.cpp - a fleet of gateways -------------------===//
///
/// \file
/// Runs gateways as processes. Checks what they know of each other, and what happens to
/// callers and duties when one of them stops or is lost.
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

constexpr milliseconds waitLimit { 15000 };

/// A caller that keeps its connection open.
class KeepAliveCaller {
public:
    explicit KeepAliveCaller(const Endpoint& endpoint)
        : socket_(io_)
    {
        socket_.connect({ boost::asio::ip::make_address(endpoint.host_), endpoint.port_ });
    }

    /// Sends one request. \returns its answer, or nullopt if the connection ended.
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

TEST_CASE("in a large fleet every node learns of all others through relays, also after relays are lost", "[gateway]")
{
    GatewayDeploymentOptions options;
    options.gatewayCount_ = 6;
    options.dataCentreCount_ = 2;
    options.extraSettings_ = [](const std::string&) { return "  gossip:\n    fanout: 1\n"; };
    GatewayDeployment deployment(std::move(options));
    deployment.startStandardServices();
    auto allKnow = [&](std::size_t from, double nodes) {
        return waitUntil([&] {
            auto first = deployment.gateways().begin() + static_cast<std::ptrdiff_t>(from);
            return std::all_of(first, deployment.gateways().end(), [&](const auto& gateway) { return deployment.metric(gateway, "nodes_known_of") == nodes; });
        },
            waitLimit);
    };
    CHECK(allKnow(0, 5));

    // The small organisation may send a burst of one request and 0.5 requests per
    // second. Each node may admit one before it receives the others' reports.
    auto startedAt = steadyNow();
    int admitted = 0;
    for (int round = 0; round < 30; ++round) {
        for (auto& gateway : deployment.gateways()) {
            HttpRequest request = gatewayRequest("GET", "/safe/x", "small-" + std::to_string(round) + gateway.vm_);
            request.headers_["Authorization"] = "Bearer key-small";
            admitted += deployment.call(gateway, request).status_ == 200;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    double seconds = std::chrono::duration<double>(steadyNow() - startedAt).count();
    CHECK(admitted >= 1);
    CHECK(admitted <= 6 + 1 + 0.5 * seconds);

    // Kills one node of each data centre, which may be a relay.
    for (std::size_t i : { 0U, 1U })
        deployment.gateways()[i].process_->kill();
    CHECK(allKnow(2, 3));
    CHECK(deployment.call(deployment.gateways()[2], gatewayRequest("GET", "/safe/x", "after")).status_ == 200);
}

TEST_CASE("keep-alive connections are served during a stop, and closed only after an announcement", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    auto& gateway = deployment.gateways()[0];
    deployment.setBackendFaults({ { "delay_ms", 100 } });
    // Callers that send requests continuously, on connections opened before the stop.
    std::atomic<bool> isStopping { false };
    std::atomic<int> answeredWhileStopping { 0 };
    std::atomic<int> unanswered { 0 };
    std::vector<std::thread> callers;
    for (int number = 0; number < 6; ++number) {
        callers.emplace_back([&, number] {
            KeepAliveCaller caller(gateway.callers_);
            for (int i = 0;; ++i) {
                auto answer = caller.call("k" + std::to_string(number) + "-" + std::to_string(i));
                if (!answer) {
                    ++unanswered;
                    return;
                }
                answeredWhileStopping += isStopping;
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
    CHECK(unanswered == 0);
    CHECK(answeredWhileStopping >= 6);
}

TEST_CASE("a stopping holder of the duties gets a successor while it still drains", "[gateway]")
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
    REQUIRE(waitUntil([&] { return holderOf() < gateways.size(); }, waitLimit));
    std::size_t first = holderOf();
    // A long stream keeps the stopping node running for its full grace period of 3 s.
    deployment.setBackendFaults({ { "events", 1000 } });
    std::thread caller([&] { (void)deployment.call(gateways[first], gatewayRequest("POST", "/ask/stream", "long")); });
    REQUIRE(waitUntil([&] { return deployment.metric(gateways[first], "requests_running") > 0; }, waitLimit));
    gateways[first].process_->signal(SIGTERM);
    auto hasSuccessor = [&] {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            if (i != first && deployment.metric(gateways[i], "duty_token_held") > 0)
                return true;
        }
        return false;
    };
    CHECK(waitUntil(hasSuccessor, milliseconds(2000)));
    CHECK(gateways[first].process_->isRunning());
    caller.join();
}
