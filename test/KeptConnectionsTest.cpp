//===- test/KeptConnectionsTest.cpp - closes of keep-alive connections ----===//
///
/// \file
/// A server closes a keep-alive connection after its idle timeout. A request that is
/// in transit at that moment is lost, and a run-once request cannot be repeated.
//===----------------------------------------------------------------------===//
#include "Harness/TcpProxySet.h"
#include "Platform/GatewayDeployment.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr const char* backendId = "p-1";

/// A caller that keeps its connection open, so that a single worker of the node, with
/// its own connections to backend servers, gets all its requests.
class KeepAliveCaller {
public:
    explicit KeepAliveCaller(const Endpoint& endpoint)
        : socket_(io_)
    {
        socket_.connect({ boost::asio::ip::make_address(endpoint.host_), endpoint.port_ });
    }

    /// Sends a run-once request. \returns its status, or 0 if the connection broke.
    unsigned callOnce(const std::string& id)
    {
        HttpRequest wanted = gatewayRequest("POST", "/once/x", id);
        http::request<http::string_body> request(http::verb::post, wanted.target_, 11, wanted.body_);
        for (const auto& [name, value] : wanted.headers_)
            request.set(name, value);
        request.prepare_payload();
        boost::system::error_code code;
        http::write(socket_, request, code);
        http::response<http::string_body> answer;
        if (!code)
            http::read(socket_, buffer_, answer, code);
        return code ? 0 : answer.result_int();
    }

private:
    boost::asio::io_context io_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

/// Starts the only backend server, which announces \p idleTimeout, behind \p proxy.
void startBackendBehind(GatewayDeployment& deployment, TcpProxySet& proxy, std::chrono::seconds idleTimeout)
{
    deployment.putConfiguration(1);
    json::object wanted { { "id", backendId }, { "service", "plain" }, { "unregistered", 1 }, { "idle_s", idleTimeout.count() } };
    json::object started = deployment.control({ { "backends", json::array { wanted } } });
    auto port = static_cast<std::uint16_t>(numberField(started.at("ports").as_object(), backendId));
    std::string address = "127.0.0.1:" + std::to_string(proxy.add({ "127.0.0.1", port }));
    deployment.registerBackend(backendId, "plain", address, "up");
    REQUIRE(deployment.waitForVersion(1, milliseconds(20000)));
    REQUIRE(deployment.waitForBackends(1));
}

} // namespace

TEST_CASE("a request near the idle timeout of a backend server is not lost when the server closes the connection", "[gateway]")
{
    constexpr std::chrono::seconds idleTimeout { 4 };
    constexpr milliseconds delay { 500 };
    struct Row {
        const char* name_;
        milliseconds pause_;
    };
    auto row = GENERATE(values<Row>({
        { "in time on the open connection", milliseconds(2500) },
        { "sent before the close, would arrive after it", milliseconds(3600) },
        { "after the close", milliseconds(4200) },
    }));
    CAPTURE(row.name_);
    GatewayDeployment deployment(1);
    TcpProxySet proxy;
    startBackendBehind(deployment, proxy, idleTimeout);
    KeepAliveCaller caller(deployment.gateways()[0].callers_);
    REQUIRE(caller.callOnce("first") == 200);
    std::this_thread::sleep_for(row.pause_);
    proxy.setDelay(delay);
    CHECK(caller.callOnce("second") == 200);
    json::array runs { "first", "second" };
    CHECK(deployment.backend(backendId).at("runs").as_array() == runs);
}
