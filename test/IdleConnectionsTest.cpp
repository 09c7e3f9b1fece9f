//===- test/IdleConnectionsTest.cpp - kept connections of callers, late -----===//
///
/// \file
/// A caller's next request and the end of its connection's idle time, while the
/// link between them is late.
//===----------------------------------------------------------------------===//
#include "Harness/LateLink.h"
#include "Platform/GatewayDeployment.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = boost::asio::ip::tcp;

namespace {

/// A caller that keeps its connection as HTTP/1.1 asks: until the time that the
/// server announced, or until it sees the end.
class KeepingCaller {
public:
    explicit KeepingCaller(Endpoint server)
        : server_(std::move(server))
    {
    }

    /// Sends one request and returns the answer; empty if there was none.
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
        if (!socket_ || (announced_ && steadyNow() - answeredAt_ >= *announced_))
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
        std::size_t length = numberAfter(bytes, "content-length: ").value_or(0);
        if (bytes.size() < head + length)
            boost::asio::read(*socket_, boost::asio::dynamic_buffer(bytes), boost::asio::transfer_exactly(head + length - bytes.size()), code);
        auto seconds = numberAfter(bytes, "keep-alive: timeout=");
        announced_ = seconds ? std::optional(milliseconds(*seconds * 1000)) : std::nullopt;
        return bytes;
    }

    static std::optional<std::size_t> numberAfter(std::string text, const std::string& name)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::size_t at = text.find("\r\n" + name);
        return at == std::string::npos ? std::nullopt : std::optional<std::size_t>(std::stoul(text.substr(at + 2 + name.size())));
    }

    Endpoint server_;
    boost::asio::io_context io_;
    std::optional<tcp::socket> socket_;
    std::optional<milliseconds> announced_;
    SteadyTime answeredAt_ {};
    int connections_ = 0;
};

} // namespace

// A node closed callers' connections at the end of their idle time and said nothing
// before. Its close waited behind other bytes in a full link, so a caller whose connection
// still looked open sent its next request; the node read it, and threw it away. In the logs
// of a run with a configuration of 4,240 routes: "Closed by this node", reason idle, idle_ms
// 15000, held 2242, 0.5 s after the close was sent; the caller saw the connection end
// without an answer.
TEST_CASE("a caller's next request is answered while its link is late", "[idle]")
{
    struct Row {
        const char* name_;
        milliseconds late_;
        milliseconds idle_;
        int connections_;
    };
    // The idle limit of the deployment is 5 s.
    auto row = GENERATE(values<Row>({
        { "within the time that may be used", milliseconds(600), milliseconds(3700), 1 },
        { "while the close is on its way", milliseconds(600), milliseconds(5200), 2 },
        { "after a close that came in time", milliseconds(0), milliseconds(5200), 2 },
    }));
    CAPTURE(row.name_);
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    LateLink link(deployment.gateways()[0].callers_);
    KeepingCaller caller(link.endpoint());
    REQUIRE(caller.call(gatewayRequest("GET", "/safe/x", "first")).starts_with("HTTP/1.1 200"));
    link.setLate(row.late_);
    std::this_thread::sleep_for(row.idle_);
    CHECK(caller.call(gatewayRequest("GET", "/safe/x", "second")).starts_with("HTTP/1.1 200"));
    CHECK(caller.connections() == row.connections_);
}

TEST_CASE("a lower idle limit holds for connections whose callers were told of it", "[idle]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    KeepingCaller caller(deployment.gateways()[0].callers_);
    // The request is admitted under the limit of 5 s, and its answer announces that.
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

TEST_CASE("a request that comes after the end of the idle time stays unread", "[idle]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    auto& gateway = deployment.gateways()[0];
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({ boost::asio::ip::make_address(gateway.callers_.host_), gateway.callers_.port_ });
    // The idle limit of 5 s; a caller that takes no heed of closes.
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

TEST_CASE("a request that came in time is answered by a node that was frozen at the idle limit", "[idle]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    auto& gateway = deployment.gateways()[0];
    KeepingCaller caller(gateway.callers_);
    REQUIRE(caller.call(gatewayRequest("GET", "/safe/x", "first")).starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(milliseconds(3500));
    gateway.process_->freeze();
    std::thread waker([&] {
        std::this_thread::sleep_for(milliseconds(2500));
        gateway.process_->resume();
    });
    CHECK(caller.call(gatewayRequest("GET", "/safe/x", "second")).starts_with("HTTP/1.1 200"));
    CHECK(caller.connections() == 1);
    waker.join();
}
