//===- test/ServerSignalsTest.cpp - what backend servers say of themselves -===//
///
/// \file
/// Word that comes with an answer holds from that answer on, whatever the platform and
/// peers say, and goes no further than to other gateways.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

// No new work reaches a leaving backend server later than this.
constexpr milliseconds drainBound { 2000 };

std::size_t runsAt(const GatewayDeployment& deployment, const std::string& backend)
{
    return deployment.backend(backend).at("runs").as_array().size();
}

/// The other server of the same service.
std::string otherThan(const std::string& backend)
{
    return backend.substr(0, 2) + (backend.back() == '1' ? "2" : "1");
}

/// Requests of the kind of \p path at \p gateway until one ran at \p backend, while the
/// other server of its service is full.
HttpResponse callUntilAt(const GatewayDeployment& deployment, const GatewayDeployment::Gateway& gateway, const std::string& path, const std::string& backend)
{
    deployment.backend(otherThan(backend), { { "full", 1 } });
    for (int i = 0; i < 200; ++i) {
        HttpResponse answer = deployment.call(gateway, gatewayRequest("GET", path, "first-" + std::to_string(i)));
        if (answer.headers_["x-pistachioloom-engine-seal"] == "seal-" + backend)
            return answer;
    }
    throw std::runtime_error("no request reached " + backend);
}

} // namespace

TEST_CASE("an engine that says in an answer that it leaves gets new requests while the platform is away", "[gateway]")
{
    const char* path = GENERATE("/safe/x", "/once/x", "/draft/stream/x", "/ask/stream/x");
    CAPTURE(path);
    const std::string leaving = std::string(path).find("stream") == std::string::npos ? "p-1" : "e-1";
    GatewayDeployment deployment(2);
    deployment.startStandardServices();
    deployment.backend(leaving, { { "says_leaving", 1 } });
    deployment.control({ { "down", 1 } });
    HttpResponse told = callUntilAt(deployment, deployment.gateways()[0], path, leaving);
    deployment.backend(otherThan(leaving), { { "full", 0 } });
    // It is meant for the gateway, not for its caller.
    CHECK(told.headers_.count("server-leaving") == 0);
    std::this_thread::sleep_for(drainBound);
    std::size_t before = runsAt(deployment, leaving);
    for (int i = 0; i < 40; ++i)
        CHECK(deployment.call(deployment.gateways()[i % 2], gatewayRequest("GET", path, "later-" + std::to_string(i))).status_ == 200);
    CHECK(runsAt(deployment, leaving) == before);
    // The platform is back, with a list of before.
    deployment.control({ { "down", 0 } });
    std::this_thread::sleep_for(drainBound);
    for (int i = 0; i < 20; ++i)
        CHECK(deployment.call(deployment.gateways()[i % 2], gatewayRequest("GET", path, "back-" + std::to_string(i))).status_ == 200);
    CHECK(runsAt(deployment, leaving) == before);
}

TEST_CASE("an engine that turns a request away and says that it leaves gets new requests", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    deployment.backend("p-1", { { "says_leaving", 1 }, { "full", 1 } });
    deployment.backend("p-2", { { "full", 1 } });
    auto turnedAway = [&] { return numberField(deployment.backend("p-1"), "turned_away"); };
    for (int i = 0; i < 200 && !turnedAway(); ++i)
        (void)deployment.call(deployment.gateways()[0], gatewayRequest("GET", "/safe/x", "first-" + std::to_string(i)));
    REQUIRE(turnedAway());
    deployment.backend("p-2", { { "full", 0 } });
    std::this_thread::sleep_for(drainBound);
    std::uint64_t before = turnedAway();
    for (int i = 0; i < 40; ++i)
        CHECK(deployment.call(deployment.gateways()[0], gatewayRequest("GET", "/safe/x", "later-" + std::to_string(i))).status_ == 200);
    CHECK(turnedAway() == before);
}

TEST_CASE("an engine that asked for a pause gets requests in it", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    auto& gateway = deployment.gateways()[0];
    constexpr milliseconds pause { 3000 };
    for (const char* id : { "p-1", "p-2" })
        deployment.backend(id, { { "full", 1 }, { "retry_after_ms", pause.count() } });
    auto turnedAway = [&](const char* id) { return numberField(deployment.backend(id), "turned_away"); };
    auto both = [&] { return turnedAway("p-1") + turnedAway("p-2"); };
    for (int i = 0; i < 50 && !(turnedAway("p-1") && turnedAway("p-2")); ++i)
        (void)deployment.call(gateway, gatewayRequest("GET", "/safe/x", "first-" + std::to_string(i)));
    REQUIRE(turnedAway("p-1"));
    REQUIRE(turnedAway("p-2"));
    SteadyTime asked = steadyNow();
    std::uint64_t before = both();
    HttpResponse refused;
    milliseconds told {};
    while (steadyNow() - asked < pause - milliseconds(1000)) {
        refused = deployment.call(gateway, gatewayRequest("GET", "/safe/x", "in-pause"));
        CHECK(refused.status_ == 503);
        told = milliseconds(static_cast<std::int64_t>(std::stod("0" + refused.headers_["retry-after"]) * 1000));
        std::this_thread::sleep_for(milliseconds(100));
    }
    CHECK(both() == before);
    // Some 0.9 s are left: true word of when it is worth to return.
    CHECK(told > milliseconds(300));
    CHECK(told < milliseconds(1500));
    for (const char* id : { "p-1", "p-2" })
        deployment.backend(id, { { "full", 0 } });
    CHECK(waitUntil([&] { return deployment.call(gateway, gatewayRequest("GET", "/safe/x", "after")).status_ == 200; }, 2 * drainBound));
}
