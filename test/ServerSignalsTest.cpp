//===- test/ServerSignalsTest.cpp - signals in backend servers' answers ---===//
///
/// \file
/// A backend server can signal in an answer that it is leaving or requests a pause. The
/// signal applies from that answer on, whatever the platform and peers report, and is
/// forwarded only to other gateways.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

// No new work reaches a leaving backend server once this time has passed since the answer
// that announced it.
constexpr milliseconds maxNoticeDelay { 2000 };

std::size_t runsOf(const GatewayDeployment& deployment, const std::string& backend)
{
    return deployment.backend(backend).at("runs").as_array().size();
}

/// The other server of the same service.
std::string otherServerOf(const std::string& backend)
{
    return backend.substr(0, 2) + (backend.back() == '1' ? "2" : "1");
}

/// Sends requests for \p path to \p gateway until one has run at \p backend, while the
/// other server of its service is full.
HttpResponse callUntilServedBy(const GatewayDeployment& deployment, const GatewayDeployment::Gateway& gateway, const std::string& path, const std::string& backend)
{
    deployment.backend(otherServerOf(backend), { { "full", 1 } });
    for (int i = 0; i < 200; ++i) {
        HttpResponse answer = deployment.call(gateway, gatewayRequest("GET", path, "first-" + std::to_string(i)));
        if (answer.headers_["x-pistachioloom-engine-seal"] == "seal-" + backend)
            return answer;
    }
    throw std::runtime_error("no request reached " + backend);
}

} // namespace

TEST_CASE("a backend server that announces in an answer that it is leaving gets new requests while the platform is down", "[gateway]")
{
    const char* path = GENERATE("/safe/x", "/once/x", "/draft/stream/x", "/ask/stream/x");
    CAPTURE(path);
    const std::string leaving = std::string(path).find("stream") == std::string::npos ? "p-1" : "e-1";
    GatewayDeployment deployment(2);
    deployment.startStandardServices();
    deployment.backend(leaving, { { "says_leaving", 1 } });
    deployment.control({ { "down", 1 } });
    HttpResponse response = callUntilServedBy(deployment, deployment.gateways()[0], path, leaving);
    deployment.backend(otherServerOf(leaving), { { "full", 0 } });
    // The header is meant for the gateway, not for its caller.
    CHECK(response.headers_.count("server-leaving") == 0);
    std::this_thread::sleep_for(maxNoticeDelay);
    std::size_t before = runsOf(deployment, leaving);
    for (int i = 0; i < 40; ++i)
        CHECK(deployment.call(deployment.gateways()[i % 2], gatewayRequest("GET", path, "later-" + std::to_string(i))).status_ == 200);
    CHECK(runsOf(deployment, leaving) == before);
    // The platform is up again, but its list of backend servers is older than the answer.
    deployment.control({ { "down", 0 } });
    std::this_thread::sleep_for(maxNoticeDelay);
    for (int i = 0; i < 20; ++i)
        CHECK(deployment.call(deployment.gateways()[i % 2], gatewayRequest("GET", path, "back-" + std::to_string(i))).status_ == 200);
    CHECK(runsOf(deployment, leaving) == before);
}

TEST_CASE("a backend server that rejects a request and announces that it is leaving gets new requests", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    deployment.backend("p-1", { { "says_leaving", 1 }, { "full", 1 } });
    deployment.backend("p-2", { { "full", 1 } });
    auto rejectedCount = [&] { return numberField(deployment.backend("p-1"), "turned_away"); };
    for (int i = 0; i < 200 && !rejectedCount(); ++i)
        (void)deployment.call(deployment.gateways()[0], gatewayRequest("GET", "/safe/x", "first-" + std::to_string(i)));
    REQUIRE(rejectedCount());
    deployment.backend("p-2", { { "full", 0 } });
    std::this_thread::sleep_for(maxNoticeDelay);
    std::uint64_t before = rejectedCount();
    for (int i = 0; i < 40; ++i)
        CHECK(deployment.call(deployment.gateways()[0], gatewayRequest("GET", "/safe/x", "later-" + std::to_string(i))).status_ == 200);
    CHECK(rejectedCount() == before);
}

TEST_CASE("a backend server that requested a pause gets requests during it", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    auto& gateway = deployment.gateways()[0];
    constexpr milliseconds pause { 3000 };
    for (const char* id : { "p-1", "p-2" })
        deployment.backend(id, { { "full", 1 }, { "retry_after_ms", pause.count() } });
    auto rejectedCount = [&](const char* id) { return numberField(deployment.backend(id), "turned_away"); };
    auto totalRejected = [&] { return rejectedCount("p-1") + rejectedCount("p-2"); };
    for (int i = 0; i < 50 && !(rejectedCount("p-1") && rejectedCount("p-2")); ++i)
        (void)deployment.call(gateway, gatewayRequest("GET", "/safe/x", "first-" + std::to_string(i)));
    REQUIRE(rejectedCount("p-1"));
    REQUIRE(rejectedCount("p-2"));
    SteadyTime pauseStartedAt = steadyNow();
    std::uint64_t before = totalRejected();
    HttpResponse rejected;
    milliseconds retryAfter {};
    while (steadyNow() - pauseStartedAt < pause - milliseconds(1000)) {
        rejected = deployment.call(gateway, gatewayRequest("GET", "/safe/x", "in-pause"));
        CHECK(rejected.status_ == 503);
        retryAfter = milliseconds(static_cast<std::int64_t>(std::stod("0" + rejected.headers_["retry-after"]) * 1000));
        std::this_thread::sleep_for(milliseconds(100));
    }
    CHECK(totalRejected() == before);
    // About 0.9 s of the pause remain, and Retry-After must state that.
    CHECK(retryAfter > milliseconds(300));
    CHECK(retryAfter < milliseconds(1500));
    for (const char* id : { "p-1", "p-2" })
        deployment.backend(id, { { "full", 0 } });
    CHECK(waitUntil([&] { return deployment.call(gateway, gatewayRequest("GET", "/safe/x", "after")).status_ == 200; }, 2 * maxNoticeDelay));
}
