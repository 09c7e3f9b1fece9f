//===- test/CallerMemoryTest.cpp - memory that callers can take ------------===//
///
/// \file
/// Callers that keep within all limits of the configuration must not take a gateway beyond the memory of
/// its node, whose process would be killed with all requests that it serves.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = boost::asio::ip::tcp;

namespace {

// Memory of a node.
constexpr std::uint64_t nodeMemory = 260'000'000;
// The longest body that the configuration of the tests allows.
constexpr std::size_t longestBody = 1024UL * 1024;
const std::string patientPath = "/patient/x";

/// Connections of callers to one gateway.
class OpenCallers {
public:
    OpenCallers(const Endpoint& gateway, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            // A gateway closes connections that wait for long to be served.
            if (i % 10 == 0)
                std::this_thread::sleep_for(milliseconds(5));
            sockets_.emplace_back(io_);
            sockets_.back().connect({ boost::asio::ip::make_address(gateway.host_), gateway.port_ });
            sockets_.back().non_blocking(true);
        }
    }

    /// Sends \p bytes on each connection, as far as the gateway takes them within \p limit.
    void send(const std::string& bytes, milliseconds limit)
    {
        std::vector<std::size_t> sent(sockets_.size(), 0);
        SteadyTime until = steadyNow() + limit;
        bool isDone = false;
        while (!isDone && steadyNow() < until) {
            isDone = true;
            for (std::size_t i = 0; i < sockets_.size(); ++i) {
                boost::system::error_code code;
                sent[i] += sockets_[i].write_some(boost::asio::buffer(bytes) + sent[i], code);
                bool isGivenUp = code && code != boost::asio::error::would_block;
                sent[i] = isGivenUp ? bytes.size() : sent[i];
                isDone = isDone && sent[i] == bytes.size();
            }
        }
    }

private:
    boost::asio::io_context io_;
    std::deque<tcp::socket> sockets_;
};

std::string requestHead(const std::string& path, std::size_t length)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-north\r\nX-Pistachioloom-Attempt-Id: u\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// Starts the standard services, with a route whose requests may take long to arrive.
void startServices(GatewayDeployment& deployment)
{
    deployment.startStandardServices();
    deployment.putConfiguration(2, R"(,{"name":"patient","hostname":"h.example","path_prefix":"/patient/","type":"safe","timeout_ms":30000,"goal_ms":100,"priority":2,"service":"plain","attempts":1})");
    REQUIRE(deployment.waitForVersion(2, milliseconds(5000)));
}

void checkGateway(GatewayDeployment& deployment)
{
    GatewayDeployment::Gateway& gateway = deployment.gateways().front();
    // All connections were read from.
    CHECK(deployment.metric(gateway, "connections_unread_total") == 0);
    CHECK(gateway.process_->isRunning());
    std::uint64_t peakMemory = gateway.process_->peakMemory().value_;
    UNSCOPED_INFO("peak memory " << peakMemory);
    CHECK(peakMemory < nodeMemory);
}

} // namespace

// Guards against a gateway that is killed with all that it serves, since many callers send bodies of the
// length that the configuration allows.
TEST_CASE("long bodies of many callers take a gateway beyond its memory", "[gateway]")
{
    GatewayDeployment deployment(1);
    startServices(deployment);
    const GatewayDeployment::Gateway& gateway = deployment.gateways().front();
    OpenCallers callers(gateway.callers_, 600);
    callers.send(requestHead(patientPath, longestBody) + std::string(longestBody - 1, 'x'), milliseconds(20000));
    // The gateway goes on reading what the kernel has.
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(deployment.call(gateway, gatewayRequest("POST", "/once/x", "beside")).status_ == 200);
    checkGateway(deployment);
}

// Guards against the same end by what is small on each connection: heads and bodies of which the last byte
// does not arrive, beside long bodies.
TEST_CASE("short bodies and heads on many connections take a gateway beyond its memory", "[gateway]")
{
    GatewayDeployment deployment(1);
    startServices(deployment);
    const GatewayDeployment::Gateway& gateway = deployment.gateways().front();
    constexpr std::size_t shortBody = 32UL * 1024;
    constexpr std::size_t longHead = 16000;
    OpenCallers longBodies(gateway.callers_, 100);
    OpenCallers shortBodies(gateway.callers_, 900);
    OpenCallers heads(gateway.callers_, 900);
    longBodies.send(requestHead(patientPath, longestBody) + std::string(longestBody - 1, 'x'), milliseconds(3000));
    shortBodies.send(requestHead(patientPath, shortBody) + std::string(shortBody - 1, 'x'), milliseconds(3000));
    heads.send("GET /safe/x HTTP/1.1\r\nX-Filler: " + std::string(longHead, 'x'), milliseconds(3000));
    checkGateway(deployment);
}
