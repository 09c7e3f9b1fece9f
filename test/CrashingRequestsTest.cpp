//===- test/CrashingRequestsTest.cpp - requests that crash their servers --===//
///
/// \file
/// One request crashes each backend server that starts to run it, and the caller repeats
/// it at every gateway; other requests are still served.
//===----------------------------------------------------------------------===//
#include "Harness/DelayProxy.h"
#include "Platform/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

// The platform's contact time: within it, all gateways learn what one has observed.
constexpr milliseconds propagationTime { 3000 };
// Engines that may still crash later than the propagation time after the request has
// reached the crash threshold.
constexpr std::size_t maxLateCrashes = 3;
constexpr std::size_t crashThreshold = 3;
constexpr milliseconds repeatInterval { 250 };
constexpr milliseconds maxSeriesTime { 20000 };
constexpr milliseconds maxRejectionTime { 200 };

GatewayDeploymentOptions fleetOptions(std::size_t count, const char* fanout)
{
    GatewayDeploymentOptions options;
    options.gatewayCount_ = count;
    options.dataCentreCount_ = 2;
    options.extraSettings_ = [fanout](const std::string&) { return std::string("  gossip:\n    fanout: ") + fanout + "\n"; };
    return options;
}

/// Starts eight engines, more than can crash in the time in which a replacement starts.
/// A request of crashingRequest() crashes the engine that it reaches, and another engine
/// starts in its place 1 s later.
void startCrashableFleet(GatewayDeployment& deployment)
{
    deployment.startStandardServices();
    for (const char* id : { "e-3", "e-4", "e-5", "e-6", "e-7", "e-8" })
        deployment.startBackend(id, "engines");
    deployment.control({ { "crash_text", "crashing body" }, { "restart_ms", 1000 } });
    if (!deployment.waitForBackends(10))
        throw std::runtime_error("gateways do not know all backend servers");
}

/// The request that crashes engines. Only its attempt id, \p id, differs between calls.
HttpRequest crashingRequest(const std::string& id)
{
    HttpRequest request = gatewayRequest("POST", "/ask/stream/crash", id);
    request.body_ = "crashing body";
    return request;
}

std::vector<std::int64_t> crashTimes(const GatewayDeployment& deployment)
{
    std::vector<std::int64_t> times;
    json::object state = deployment.control();
    for (const json::value& crash : state.at("crashes").as_array())
        times.push_back(static_cast<std::int64_t>(numberField(crash.as_object(), "at_ms")));
    return times;
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(steadyNow().time_since_epoch()).count();
}

} // namespace

TEST_CASE("a request that crashed three backend servers is dispatched to others repeatedly", "[gateway]")
{
    const char* fanout = GENERATE("24", "1");
    CAPTURE(fanout);
    GatewayDeployment deployment(fleetOptions(4, fanout));
    startCrashableFleet(deployment);
    std::int64_t startedAt = nowMs();
    std::size_t served = 0;
    std::size_t others = 0;
    HttpResponse last;
    milliseconds lastDuration {};
    for (std::size_t i = 0; nowMs() - startedAt < maxSeriesTime.count(); ++i) {
        auto times = crashTimes(deployment);
        if (times.size() >= crashThreshold && nowMs() > times[crashThreshold - 1] + 2 * propagationTime.count())
            break;
        auto& gateway = deployment.gateways()[i % 4];
        SteadyTime sentAt = steadyNow();
        last = deployment.call(gateway, crashingRequest("crash-" + std::to_string(i)));
        lastDuration = std::chrono::duration_cast<milliseconds>(steadyNow() - sentAt);
        HttpRequest other = gatewayRequest("POST", "/draft/stream/other", "other-" + std::to_string(i));
        served += deployment.call(gateway, other).status_ == 200;
        ++others;
        std::this_thread::sleep_for(repeatInterval);
    }
    auto times = crashTimes(deployment);
    REQUIRE(times.size() >= crashThreshold);
    auto isLate = [&](std::int64_t at) { return at > times[crashThreshold - 1] + propagationTime.count(); };
    CHECK(static_cast<std::size_t>(std::count_if(times.begin(), times.end(), isLate)) <= maxLateCrashes);
    // The rejection is final and immediate, and does not state that the request has not run.
    CHECK(last.status_ == 502);
    CHECK(lastDuration < maxRejectionTime);
    CHECK(served == others);
}

TEST_CASE("an operator can see a quarantined request at any gateway, and release it at all gateways", "[gateway]")
{
    GatewayDeployment deployment(fleetOptions(3, "24"));
    startCrashableFleet(deployment);
    auto hasQuarantined = [&](const GatewayDeployment::Gateway& gateway, double expected) {
        return waitUntil([&] { return deployment.metric(gateway, "requests_in_quarantine") == expected; }, propagationTime);
    };
    // The requests are sent one after the other: concurrent ones could crash more servers.
    for (int i = 0; i < 3; ++i)
        (void)deployment.call(deployment.gateways()[0], crashingRequest("crash-" + std::to_string(i)));
    for (auto& gateway : deployment.gateways())
        CHECK(hasQuarantined(gateway, 1));
    auto callOperatorEndpoint = [&](const std::string& method, const std::string& target, const std::string& credential) {
        auto answer = callHttpBlocking(deployment.gateways()[1].metrics_, { method, target, { { "authorization", "Bearer " + credential } }, {} }, propagationTime);
        return answer ? answer.value() : HttpResponse { 0, {}, {} };
    };
    HttpResponse listResponse = callOperatorEndpoint("GET", "/quarantine", "");
    CAPTURE(listResponse.status_, listResponse.body_);
    json::object listed = parseJsonObject(listResponse.body_).value_or(json::object {});
    auto rows = objectsField(listed, "requests");
    REQUIRE(rows.size() == 1);
    CHECK(numberField(rows[0], "crashes") == 3);
    std::string target = "/quarantine/" + textField(rows[0], "request");
    CHECK(callOperatorEndpoint("DELETE", target, "wrong").status_ == 401);
    CHECK(callOperatorEndpoint("DELETE", "/quarantine/none", "credential-of-tests").status_ == 400);
    CHECK(callOperatorEndpoint("DELETE", target, "credential-of-tests").status_ == 200);
    CHECK(callOperatorEndpoint("DELETE", target, "credential-of-tests").status_ == 404);
    for (auto& gateway : deployment.gateways())
        CHECK(hasQuarantined(gateway, 0));
    deployment.control({ { "crash_text", "" } });
    CHECK(waitUntil([&] { return deployment.call(deployment.gateways()[2], crashingRequest("mended")).status_ == 200; }, propagationTime));
}

TEST_CASE("a simultaneous crash of all gateways loses the quarantine of a request", "[gateway]")
{
    const char* fanout = GENERATE("24", "1");
    CAPTURE(fanout);
    GatewayDeployment deployment(fleetOptions(3, fanout));
    startCrashableFleet(deployment);
    for (int i = 0; i < 3; ++i)
        (void)deployment.call(deployment.gateways()[0], crashingRequest("crash-" + std::to_string(i)));
    REQUIRE(crashTimes(deployment).size() == crashThreshold);
    std::this_thread::sleep_for(propagationTime);
    for (auto& gateway : deployment.gateways()) {
        gateway.process_->kill();
        (void)gateway.process_->wait(propagationTime);
    }
    for (auto& gateway : deployment.gateways())
        deployment.restart(gateway);
    for (auto& gateway : deployment.gateways())
        REQUIRE(waitUntil([&] { return deployment.isReady(gateway); }, milliseconds(10000)));
    std::this_thread::sleep_for(propagationTime);
    for (auto& gateway : deployment.gateways())
        CHECK(deployment.call(gateway, crashingRequest("crash-again")).status_ == 502);
    CHECK(crashTimes(deployment).size() == crashThreshold);
}

TEST_CASE("a gateway sends requests to a backend server that crashed on another gateway's request", "[gateway]")
{
    const char* fanout = GENERATE("24", "1");
    CAPTURE(fanout);
    GatewayDeployment deployment(fleetOptions(3, fanout));
    startCrashableFleet(deployment);
    // The registration remains for a long time, so only reports between gateways
    // prevent requests to the crashed server.
    deployment.control({ { "restart_ms", 8000 } });
    (void)deployment.call(deployment.gateways()[0], crashingRequest("crash-0"));
    REQUIRE(crashTimes(deployment).size() == 1);
    std::this_thread::sleep_for(milliseconds(1200));
    double before = deployment.metric(deployment.gateways()[1], "retries_total") + deployment.metric(deployment.gateways()[2], "retries_total");
    for (std::size_t i = 0; i < 60; ++i)
        CHECK(deployment.call(deployment.gateways()[1 + i % 2], gatewayRequest("POST", "/draft/stream/other", "other-" + std::to_string(i))).status_ == 200);
    double after = deployment.metric(deployment.gateways()[1], "retries_total") + deployment.metric(deployment.gateways()[2], "retries_total");
    CHECK(after == before);
}

TEST_CASE("a gateway that starts after the crashes does not dispatch the quarantined request", "[gateway]")
{
    GatewayDeployment deployment(fleetOptions(3, "24"));
    startCrashableFleet(deployment);
    for (int i = 0; i < 3; ++i)
        (void)deployment.call(deployment.gateways()[0], crashingRequest("crash-" + std::to_string(i)));
    REQUIRE(crashTimes(deployment).size() == crashThreshold);
    auto& restarted = deployment.gateways()[2];
    restarted.process_->kill();
    (void)restarted.process_->wait(propagationTime);
    // After this time the peers no longer send the crash report as an update.
    std::this_thread::sleep_for(propagationTime);
    deployment.restart(restarted);
    REQUIRE(waitUntil([&] { return deployment.isReady(restarted); }, milliseconds(10000)));
    std::this_thread::sleep_for(propagationTime);
    CHECK(deployment.call(restarted, crashingRequest("crash-again")).status_ == 502);
    CHECK(crashTimes(deployment).size() == crashThreshold);
}

TEST_CASE("a crash is not counted if a peer learns of the server's removal first", "[gateway]")
{
    std::unique_ptr<DelayProxy> platformOfFirst;
    GatewayDeploymentOptions options = fleetOptions(3, "24");
    options.platformEndpointFor_ = [&](const std::string& vm, const Endpoint& platform) {
        if (vm != "node-1")
            return platform;
        platformOfFirst = std::make_unique<DelayProxy>(platform);
        return platformOfFirst->endpoint();
    };
    GatewayDeployment deployment(options);
    deployment.startStandardServices();
    deployment.control({ { "crash_text", "crashing body" }, { "restart_ms", 1000 } });
    platformOfFirst->setDelay(milliseconds(800));
    // The other engine is down, so that a refused connection does not prove a crash.
    deployment.control({ { "crash_some", 1 }, { "crash_service", "engines" } });
    (void)deployment.call(deployment.gateways()[0], crashingRequest("crash-0"));
    REQUIRE(crashTimes(deployment).size() == 1);
    CHECK(waitUntil([&] { return deployment.metric(deployment.gateways()[0], "requests_suspected") == 1; }, 2 * propagationTime));
}
