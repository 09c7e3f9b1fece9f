//===- test/CutAnswersTest.cpp - answers cut short on their way ------------===//
///
/// \file
/// Answers end early because a backend server closes its connection, the gateway that carries the
/// connection ends, or the caller's gateway ends. Runs gateways as processes. No caller may take what
/// arrived for a whole answer.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"
#include "Platform/ScriptedServer.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// An address that refuses connections.
constexpr const char* closedAddress = "127.0.0.1:1";
constexpr milliseconds hold { 6000 };
// Fills the sockets and the flow control windows on the way, so that the request is still being written
// when its answer arrives. Below the default limit of a body.
constexpr std::size_t uploadSize = 4UL * 1000 * 1000;
constexpr std::size_t readSize = 64UL * 1024;

/// How a server ends its connection after a part of the request and a part of the answer.
enum class ServerEnd {
    Reset,
    /// A reset after a pause.
    ResetLater,
    /// The rest of the request is read.
    CloseAfterRequest,
    /// The rest of the request is answered by a reset, which arrives after the end of the answer.
    CloseWithoutReading,
    /// As above, after a pause.
    CloseWithoutReadingLater,
};

/// Closes \p socket with a reset. Only an explicit close does, since the destructor of a socket ignores
/// the option.
void resetSocket(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool isOrderly(ServerEnd end)
{
    return end != ServerEnd::Reset && end != ServerEnd::ResetLater;
}

asio::awaitable<void> endConnection(tcp::socket& socket, ServerEnd end)
{
    boost::system::error_code ignored;
    if (isOrderly(end))
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (end == ServerEnd::ResetLater || end == ServerEnd::CloseWithoutReadingLater)
        co_await sleepFor(milliseconds(5));
    std::string rest(readSize, '\0');
    for (bool isOpen = end == ServerEnd::CloseAfterRequest; isOpen;) {
        auto [code, count] = co_await socket.async_read_some(asio::buffer(rest), asTuple);
        isOpen = !code;
    }
    resetSocket(socket);
}

std::string okHead(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nX-Pistachioloom-Engine-Seal: s\r\nX-Pistachioloom-Attempt-Id: " + headerIn(request, "X-Pistachioloom-Attempt-Id") + "\r\n";
}

/// Gateways in front of a scripted server of the service \p service. The first gateway reaches it
/// through the second one, if there are two.
class ScriptedDeployment {
public:
    ScriptedDeployment(std::size_t gatewayCount, const std::string& service, ScriptedServer::Script script)
        : server_(std::move(script))
        , deployment_(gatewayCount == 1 ? GatewayDeploymentOptions {} : optionsWithViews(gatewayCount))
    {
        if (gatewayCount > 1)
            deployment_.setView(deployment_.gateways()[0], { { "b-1", closedAddress } });
        deployment_.putConfiguration(1);
        deployment_.registerBackend("b-1", service, server_.endpoint().toString(), "up");
        REQUIRE(deployment_.waitForVersion(1, milliseconds(20000)));
        REQUIRE(deployment_.waitForBackends(1));
    }

    GatewayDeployment& operator*() { return deployment_; }
    GatewayDeployment* operator->() { return &deployment_; }

    /// Calls the first gateway until it reaches the server through the second one.
    void waitForRelay(const std::string& path)
    {
        REQUIRE(waitUntil([&] {
            (void)deployment_.call(deployment_.gateways()[0], gatewayRequest("GET", path, "probe"));
            return deployment_.metric(deployment_.gateways()[0], "connections_relayed_total") > 0;
        }));
    }

private:
    ScriptedServer server_;
    GatewayDeployment deployment_;
};

/// Sends an HTTP/1.0 request and reads until the connection ends. Calls \p onBytes when the first bytes
/// arrive. \returns how the connection ended.
boost::system::error_code readWithHttp10(const Endpoint& gateway, const std::string& path, const std::function<void()>& onBytes)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({ asio::ip::make_address(gateway.host_), gateway.port_ });
    std::string request = "POST " + path + " HTTP/1.0\r\nHost: h.example\r\nAuthorization: Bearer key-north\r\nX-Pistachioloom-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    std::string answer;
    boost::system::error_code code;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\n\n", code);
    REQUIRE(!code);
    onBytes();
    while (!code)
        asio::read(socket, asio::dynamic_buffer(answer), asio::transfer_at_least(1), code);
    return code;
}

} // namespace

// Guards against a head that is cut short, and taken for an answer with an empty or short body.
TEST_CASE("an answer that its server cuts short is delivered as whole through a peer", "[gateway]")
{
    bool isReset = GENERATE(false, true);
    CAPTURE(isReset);
    std::atomic<std::size_t> size { 0 };
    std::atomic<std::size_t> fullSize { 1000 };
    ScriptedDeployment deployment(2, "plain", [&](tcp::socket& socket, const std::string& request) -> asio::awaitable<void> {
        std::string bytes = okHead(request) + "Content-Length: 4\r\n\r\nbody";
        fullSize = bytes.size();
        bytes.resize(std::min(bytes.size(), size.load()));
        (void)co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        if (isReset)
            resetSocket(socket);
    });
    deployment.waitForRelay("/once/x");
    for (; size < fullSize; size += 3) {
        HttpResponse answer = deployment->call(deployment->gateways()[0], gatewayRequest("GET", "/once/x", "a" + std::to_string(size)));
        CAPTURE(size.load(), answer.body_);
        CHECK((answer.status_ == 502 || answer.status_ == 503));
    }
    const std::size_t calls = fullSize / 3;
    CHECK(deployment->metric(deployment->gateways()[0], "connections_relayed_total") >= static_cast<double>(calls));
}

// Guards against an answer that is reset and passes for the whole one, and against one that is whole and
// gets lost, because writing the request fails at the gateway that carries the connection.
TEST_CASE("an answer that ends during the upload is taken for another one through a peer", "[gateway]")
{
    constexpr int repetitions = 40;
    auto path = GENERATE(values<std::string>({ "/once/x", "/draft/x" }));
    std::atomic<ServerEnd> end { ServerEnd::Reset };
    ScriptedDeployment deployment(2, path == "/draft/x" ? "engines" : "plain", [&](tcp::socket& socket, const std::string& request) -> asio::awaitable<void> {
        if (headerIn(request, "X-Pistachioloom-Attempt-Id") == "probe")
            co_return;
        std::string bytes = okHead(request) + "\r\nid: 1\ndata: first\n\n";
        (void)co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        co_await endConnection(socket, end);
    });
    deployment.waitForRelay(path);
    for (ServerEnd tested : { ServerEnd::Reset, ServerEnd::ResetLater, ServerEnd::CloseAfterRequest, ServerEnd::CloseWithoutReading, ServerEnd::CloseWithoutReadingLater }) {
        end = tested;
        int complete = 0;
        std::string latest;
        for (int i = 0; i < repetitions; ++i) {
            HttpRequest request = gatewayRequest("POST", path, "a" + std::to_string(i));
            request.body_ = std::string(uploadSize, 'u');
            HttpResponse answer = deployment->call(deployment->gateways()[0], request);
            complete += answer.status_ == 200 && answer.body_ == "id: 1\ndata: first\n\n";
            latest = std::to_string(answer.status_) + " " + answer.body_;
        }
        CAPTURE(path, tested, latest);
        CHECK(complete == (isOrderly(tested) ? repetitions : 0));
    }
}

// Guards against an answer without a length that ends with the gateway that carries its connection, as if
// the server had ended it.
TEST_CASE("an answer without a length is whole when the gateway that carries it ends", "[gateway]")
{
    struct Row {
        const char* path_;
        int signal_;
    };
    auto row = GENERATE(values<Row>({ { "/once/x", SIGKILL }, { "/draft/x", SIGKILL }, { "/draft/x", SIGTERM } }));
    CAPTURE(row.path_, row.signal_);
    bool isStream = std::string(row.path_) == "/draft/x";
    std::atomic<int> sent { 0 };
    ScriptedDeployment deployment(2, isStream ? "engines" : "plain", [&](tcp::socket& socket, const std::string& request) -> asio::awaitable<void> {
        if (headerIn(request, "X-Pistachioloom-Attempt-Id") == "probe")
            co_return;
        std::string bytes = okHead(request) + "\r\nid: 1\ndata: first\n\n";
        (void)co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        ++sent;
        co_await sleepFor(hold);
    });
    deployment.waitForRelay(row.path_);
    std::thread killer([&] {
        (void)waitUntil([&] { return sent > 0; });
        std::this_thread::sleep_for(milliseconds(100));
        deployment->gateways()[1].process_->signal(row.signal_);
    });
    HttpResponse answer = deployment->call(deployment->gateways()[0], gatewayRequest("POST", row.path_, "a1"));
    killer.join();
    CAPTURE(answer.status_, answer.body_);
    CHECK(sent > 0);
    // Status 0 stands for an incomplete answer.
    CHECK(answer.status_ != 200);
}

// Guards against a stream that looks whole to a caller of HTTP/1.0 because its gateway was killed.
TEST_CASE("a stream of an HTTP 1.0 caller is whole when its gateway is killed", "[gateway]")
{
    ScriptedDeployment deployment(1, "engines", [](tcp::socket& socket, const std::string& request) -> asio::awaitable<void> {
        std::string bytes = okHead(request) + "Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: first\n\n\r\n";
        (void)co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        co_await sleepFor(hold);
    });
    const GatewayDeployment::Gateway& gateway = deployment->gateways()[0];
    auto end = readWithHttp10(gateway.callers_, "/draft/x", [&] { gateway.process_->signal(SIGKILL); });
    CHECK(end == asio::error::connection_reset);
}
