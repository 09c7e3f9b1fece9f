//===- test/IdleConnectionsTest.cpp - idle connections on delayed links ---===//
///
/// \file
/// A caller sends its next request near the idle timeout of its connection while
/// the link delays the node's bytes.
//===----------------------------------------------------------------------===//
#include "Harness/DelayProxy.h"
#include "Platform/GatewayDeployment.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = boost::asio::ip::tcp;

namespace {

/// A caller that reuses its connection as HTTP/1.1 specifies: until the timeout that
/// the server announced, or until it sees the close.
class KeepAliveCaller {
public:
    explicit KeepAliveCaller(Endpoint server)
        : server_(std::move(server))
    {
    }

    /// Sends one request. \returns the answer, or an empty string if there was none.
    std::string call(const HttpRequest& request)
    {
        if (!mayReuse())
            connect();
        std::string head = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
        for (const auto& [name, value] : request.headers_)
            head += name + ": " + value + "\r\n";
        boost::system::error_code code;
        boost::asio::write(*socket_, boost::asio::buffer(head + "Content-Length: 0\r\n\r\n"), code);
        std::string answer = code ? "" : readAnswer();
        answeredAt_ = steadyNow();
        if (answer.empty())
            socket_.reset();
        return answer;
    }
    int connections() const { return connections_; }

private:
    void connect()
    {
        socket_.emplace(io_);
        socket_->connect({ boost::asio::ip::make_address(server_.host_), server_.port_ });
        ++connections_;
    }

    bool mayReuse()
    {
        if (!socket_ || (announcedTimeout_ && steadyNow() - answeredAt_ >= *announcedTimeout_))
            return false;
        socket_->non_blocking(true);
        char byte = 0;
        boost::system::error_code code;
        socket_->receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, code);
        socket_->non_blocking(false);
        return code == boost::asio::error::would_block;
    }

    std::string readAnswer()
    {
        std::string bytes;
        boost::system::error_code code;
        std::size_t head = boost::asio::read_until(*socket_, boost::asio::dynamic_buffer(bytes), "\r\n\r\n", code);
        if (code)
            return {};
        std::size_t length = headerNumber(bytes, "content-length: ").value_or(0);
        if (bytes.size() < head + length)
            boost::asio::read(*socket_, boost::asio::dynamic_buffer(bytes), boost::asio::transfer_exactly(head + length - bytes.size()), code);
        auto seconds = headerNumber(bytes, "keep-alive: timeout=");
        announcedTimeout_ = seconds ? std::optional(milliseconds(*seconds * 1000)) : std::nullopt;
        return bytes;
    }

    static std::optional<std::size_t> headerNumber(std::string text, const std::string& name)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::size_t at = text.find("\r\n" + name);
        return at == std::string::npos ? std::nullopt : std::optional<std::size_t>(std::stoul(text.substr(at + 2 + name.size())));
    }

    Endpoint server_;
    boost::asio::io_context io_;
    std::optional<tcp::socket> socket_;
    std::optional<milliseconds> announcedTimeout_;
    SteadyTime answeredAt_ {};
    int connections_ = 0;
};

} // namespace

// Guards against lost requests on idle connections. If a node closes one without having
// announced the timeout, the close can be queued behind other bytes on a saturated link. The
// caller still sees an open connection and sends its next request, which the node reads and
// discards; the connection ends without an answer. Observed with a configuration of 4,240
// routes: the node logged "Closed by this node" (reason idle, idle_ms 15000, held 2242) 0.5 s
// after it sent the close.
TEST_CASE("a caller's next request is answered while its link is delayed", "[idle]")
{
    struct Row {
        const char* name_;
        milliseconds delay_;
        milliseconds pause_;
        int connections_;
    };
    // The idle timeout of the deployment is 5 s.
    auto row = GENERATE(values<Row>({
        { "within the announced timeout", milliseconds(600), milliseconds(3700), 1 },
        { "while the close is in transit", milliseconds(600), milliseconds(5200), 2 },
        { "after a close that arrived without delay", milliseconds(0), milliseconds(5200), 2 },
    }));
    CAPTURE(row.name_);
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    DelayProxy link(deployment.gateways()[0].callers_);
    KeepAliveCaller caller(link.endpoint());
    REQUIRE(caller.call(gatewayRequest("GET", "/safe/x", "first")).starts_with("HTTP/1.1 200"));
    link.setDelay(row.delay_);
    std::this_thread::sleep_for(row.pause_);
    CHECK(caller.call(gatewayRequest("GET", "/safe/x", "second")).starts_with("HTTP/1.1 200"));
    CHECK(caller.connections() == row.connections_);
}

TEST_CASE("a lower idle timeout applies only to connections whose callers have received it", "[idle]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    KeepAliveCaller caller(deployment.gateways()[0].callers_);
    // The request is admitted under the timeout of 5 s, which its answer announces.
    deployment.setBackendFaults({ { "delay_ms", 1000 } });
    std::thread operators([&] {
        std::this_thread::sleep_for(milliseconds(300));
        deployment.putConfiguration(2, {}, 2000, milliseconds(1500));
    });
    CHECK(caller.call(gatewayRequest("GET", "/safe/x", "first")).starts_with("HTTP/1.1 200"));
    operators.join();
    REQUIRE(deployment.waitForVersion(2, milliseconds(5000)));
    deployment.setBackendFaults({ { "delay_ms", 0 } });
    std::this_thread::sleep_for(milliseconds(3000));
    CHECK(caller.call(gatewayRequest("GET", "/safe/x", "second")).starts_with("HTTP/1.1 200"));
    CHECK(caller.connections() == 1);
    std::this_thread::sleep_for(milliseconds(2000));
    CHECK(caller.call(gatewayRequest("GET", "/safe/x", "third")).starts_with("HTTP/1.1 200"));
    CHECK(caller.connections() == 2);
}

TEST_CASE("a request that arrives after the idle timeout is not read", "[idle]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    auto& gateway = deployment.gateways()[0];
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({ boost::asio::ip::make_address(gateway.callers_.host_), gateway.callers_.port_ });
    // The wait exceeds the idle timeout of 5 s; the caller ignores the close.
    std::this_thread::sleep_for(milliseconds(5200));
    double accepted = deployment.metric(gateway, "requests_accepted_total");
    boost::system::error_code code;
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n")), code);
    std::this_thread::sleep_for(milliseconds(800));
    CHECK(deployment.metric(gateway, "requests_accepted_total") == accepted);
    std::ifstream log(deployment.logFile(gateway));
    std::string lines((std::istreambuf_iterator<char>(log)), {});
    CHECK(lines.find("Connection ends with unanswered bytes.") == std::string::npos);
}

TEST_CASE("a request that arrived in time is answered by a node that was frozen at the idle timeout", "[idle]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    auto& gateway = deployment.gateways()[0];
    KeepAliveCaller caller(gateway.callers_);
    REQUIRE(caller.call(gatewayRequest("GET", "/safe/x", "first")).starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(milliseconds(3500));
    gateway.process_->freeze();
    std::thread resumer([&] {
        std::this_thread::sleep_for(milliseconds(2500));
        gateway.process_->resume();
    });
    CHECK(caller.call(gatewayRequest("GET", "/safe/x", "second")).starts_with("HTTP/1.1 200"));
    CHECK(caller.connections() == 1);
    resumer.join();
}
