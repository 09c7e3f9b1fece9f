//===- test/CrashingRequestsTest.cpp - requests that crash their servers ---===//
///
/// \file
/// One request crashes each backend server that begins to run it and comes again at
/// every gateway; other requests are served beside it.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

// The platform's contact time: what one gateway has seen is known to all after it.
constexpr milliseconds contactTime { 3000 };
constexpr std::size_t repeatsAllowed = 3;
constexpr std::size_t crashesTolerated = 3;
constexpr milliseconds repeatPause { 250 };
constexpr milliseconds longestSeries { 20000 };
constexpr milliseconds longestRefusal { 200 };

GatewayDeploymentOptions fleetOf(std::size_t count, const char* fanout)
{
    GatewayDeploymentOptions options;
    options.count_ = count;
    options.dataCentres_ = 2;
    options.extraSettings_ = [fanout](const std::string&) { return std::string("  gossip:\n    fanout: ") + fanout + "\n"; };
    return options;
}

/// Eight engines, more than may crash in the time in which one starts; each that a request
/// of crashing() reaches ends, and another starts.
void startCrashable(GatewayDeployment& deployment)
{
    deployment.startStandardServices();
    for (const char* id : { "e-3", "e-4", "e-5", "e-6", "e-7", "e-8" })
        deployment.startBackend(id, "engines");
    deployment.control({ { "crash_text", "crashing body" }, { "restart_ms", 1000 } });
    if (!deployment.waitForBackends(10))
        throw std::runtime_error("gateways do not know all backend servers");
}

/// The same request each time, but for the id of the attempt.
HttpRequest crashing(const std::string& id)
{
    HttpRequest request = gatewayRequest("POST", "/ask/stream/crash", id);
    request.body_ = "crashing body";
    return request;
}

std::vector<std::int64_t> crashTimes(const GatewayDeployment& deployment)
{
    std::vector<std::int64_t> times;
    json::object told = deployment.control();
    for (const json::value& crash : told.at("crashes").as_array())
        times.push_back(static_cast<std::int64_t>(numberField(crash.as_object(), "at_ms")));
    return times;
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(steadyNow().time_since_epoch()).count();
}

} // namespace

TEST_CASE("a request that crashed three backend servers is sent to others again and again", "[gateway]")
{
    const char* fanout = GENERATE("24", "1");
    CAPTURE(fanout);
    GatewayDeployment deployment(fleetOf(4, fanout));
    startCrashable(deployment);
    std::int64_t begin = nowMs();
    std::size_t served = 0;
    std::size_t others = 0;
    HttpResponse last;
    milliseconds lastTook {};
    for (std::size_t i = 0; nowMs() - begin < longestSeries.count(); ++i) {
        auto times = crashTimes(deployment);
        if (times.size() >= crashesTolerated && nowMs() > times[crashesTolerated - 1] + 2 * contactTime.count())
            break;
        auto& gateway = deployment.gateways()[i % 4];
        SteadyTime sentAt = steadyNow();
        last = deployment.call(gateway, crashing("crash-" + std::to_string(i)));
        lastTook = std::chrono::duration_cast<milliseconds>(steadyNow() - sentAt);
        HttpRequest other = gatewayRequest("POST", "/draft/stream/other", "other-" + std::to_string(i));
        served += deployment.call(gateway, other).status_ == 200;
        ++others;
        std::this_thread::sleep_for(repeatPause);
    }
    auto times = crashTimes(deployment);
    REQUIRE(times.size() >= crashesTolerated);
    auto isLate = [&](std::int64_t at) { return at > times[crashesTolerated - 1] + contactTime.count(); };
    CHECK(static_cast<std::size_t>(std::count_if(times.begin(), times.end(), isLate)) <= repeatsAllowed);
    // Final, at once, and no promise that the request has not run.
    CHECK(last.status_ == 502);
    CHECK(lastTook < longestRefusal);
    CHECK(served == others);
}

TEST_CASE("an operator sees a request in quarantine at any gateway, and lifts it at all", "[gateway]")
{
    GatewayDeployment deployment(fleetOf(3, "24"));
    startCrashable(deployment);
    auto isHeldAt = [&](const GatewayDeployment::Gateway& gateway, double held) {
        return waitUntil([&] { return deployment.metric(gateway, "requests_in_quarantine") == held; }, contactTime);
    };
    // Each crash follows the one before: what was sent at one time may crash more.
    for (int i = 0; i < 3; ++i)
        (void)deployment.call(deployment.gateways()[0], crashing("crash-" + std::to_string(i)));
    for (auto& gateway : deployment.gateways())
        CHECK(isHeldAt(gateway, 1));
    auto page = [&](const std::string& method, const std::string& target, const std::string& credential) {
        auto answer = callHttpBlocking(deployment.gateways()[1].metrics_, { method, target, { { "authorization", "Bearer " + credential } }, {} }, contactTime);
        return answer ? answer.value() : HttpResponse { 0, {}, {} };
    };
    HttpResponse shown = page("GET", "/quarantine", "");
    CAPTURE(shown.status_, shown.body_);
    json::object listed = parseJsonObject(shown.body_).value_or(json::object {});
    auto rows = objectsField(listed, "requests");
    REQUIRE(rows.size() == 1);
    CHECK(numberField(rows[0], "crashes") == 3);
    std::string target = "/quarantine/" + textField(rows[0], "request");
    CHECK(page("DELETE", target, "wrong").status_ == 401);
    CHECK(page("DELETE", "/quarantine/none", "credential-of-tests").status_ == 400);
    CHECK(page("DELETE", target, "credential-of-tests").status_ == 200);
    CHECK(page("DELETE", target, "credential-of-tests").status_ == 404);
    for (auto& gateway : deployment.gateways())
        CHECK(isHeldAt(gateway, 0));
    deployment.control({ { "crash_text", "" } });
    CHECK(waitUntil([&] { return deployment.call(deployment.gateways()[2], crashing("mended")).status_ == 200; }, contactTime));
}

TEST_CASE("a stop of all gateways at one moment forgets which request crashed three backend servers", "[gateway]")
{
    const char* fanout = GENERATE("24", "1");
    CAPTURE(fanout);
    GatewayDeployment deployment(fleetOf(3, fanout));
    startCrashable(deployment);
    for (int i = 0; i < 3; ++i)
        (void)deployment.call(deployment.gateways()[0], crashing("crash-" + std::to_string(i)));
    REQUIRE(crashTimes(deployment).size() == crashesTolerated);
    std::this_thread::sleep_for(contactTime);
    for (auto& gateway : deployment.gateways()) {
        gateway.process_->kill();
        (void)gateway.process_->wait(contactTime);
    }
    for (auto& gateway : deployment.gateways())
        deployment.restart(gateway);
    for (auto& gateway : deployment.gateways())
        REQUIRE(waitUntil([&] { return deployment.isReady(gateway); }, milliseconds(10000)));
    std::this_thread::sleep_for(contactTime);
    for (auto& gateway : deployment.gateways())
        CHECK(deployment.call(gateway, crashing("crash-again")).status_ == 502);
    CHECK(crashTimes(deployment).size() == crashesTolerated);
}

TEST_CASE("a gateway sends requests to a backend server that crashed under another one's", "[gateway]")
{
    const char* fanout = GENERATE("24", "1");
    CAPTURE(fanout);
    GatewayDeployment deployment(fleetOf(3, fanout));
    startCrashable(deployment);
    // Its registration stays for long: only the gateways' own word keeps requests away.
    deployment.control({ { "restart_ms", 8000 } });
    (void)deployment.call(deployment.gateways()[0], crashing("crash-0"));
    REQUIRE(crashTimes(deployment).size() == 1);
    std::this_thread::sleep_for(milliseconds(1200));
    double before = deployment.metric(deployment.gateways()[1], "retries_total") + deployment.metric(deployment.gateways()[2], "retries_total");
    for (std::size_t i = 0; i < 60; ++i)
        CHECK(deployment.call(deployment.gateways()[1 + i % 2], gatewayRequest("POST", "/draft/stream/other", "other-" + std::to_string(i))).status_ == 200);
    double after = deployment.metric(deployment.gateways()[1], "retries_total") + deployment.metric(deployment.gateways()[2], "retries_total");
    CHECK(after == before);
}

TEST_CASE("a gateway that starts after the crashes does not send the request again", "[gateway]")
{
    GatewayDeployment deployment(fleetOf(3, "24"));
    startCrashable(deployment);
    for (int i = 0; i < 3; ++i)
        (void)deployment.call(deployment.gateways()[0], crashing("crash-" + std::to_string(i)));
    REQUIRE(crashTimes(deployment).size() == crashesTolerated);
    auto& restarted = deployment.gateways()[2];
    restarted.process_->kill();
    (void)restarted.process_->wait(contactTime);
    // What was told when it was new is told no more by then.
    std::this_thread::sleep_for(contactTime);
    deployment.restart(restarted);
    REQUIRE(waitUntil([&] { return deployment.isReady(restarted); }, milliseconds(10000)));
    std::this_thread::sleep_for(contactTime);
    CHECK(deployment.call(restarted, crashing("crash-again")).status_ == 502);
    CHECK(crashTimes(deployment).size() == crashesTolerated);
}
