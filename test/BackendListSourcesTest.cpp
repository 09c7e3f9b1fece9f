//===- test/BackendListSourcesTest.cpp - readers that fail ----------------===//
///
/// \file
/// Runs gateways as processes, beside the reader of their data centre, which reports and
/// whose streams fail. Every gateway knows the backend servers all the same.
//===----------------------------------------------------------------------===//
#include "Platform/ReportingPeer.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

/// The users' bound on the time within which a change of a backend server must have taken
/// effect.
constexpr milliseconds maxTimeToKnow { 2000 };
// Time within which the gateways receive the first reports of a node and leave reading to it.
constexpr milliseconds firstReportsTime { 1000 };
constexpr int newServers = 3;

} // namespace

TEST_CASE("a new backend server is known in time beside a reader that reports and whose streams fail", "[readers]")
{
    auto fault = GENERATE(StreamFault::Refused, StreamFault::Silent, StreamFault::ConnectDropped, StreamFault::Slow);
    INFO(toString(fault));
    GatewayDeploymentOptions options;
    options.gatewayCount_ = 8;
    options.dataCentreCount_ = 2;
    GatewayDeployment deployment(options);
    deployment.startStandardServices();
    // Slow streams lead to a gateway of another data centre, so that what arrives is correct.
    Endpoint target { deployment.gateways()[1].callers_.host_, 7003 };
    ReportingPeer reader(deployment, { "reader", "a", 200, fault, target, true, 4 });
    reader.reportVersion(1);
    std::this_thread::sleep_for(firstReportsTime);
    for (int server = 0; server < newServers; ++server) {
        deployment.startBackend("new-" + std::to_string(server), "plain");
        auto startedAt = steadyNow();
        auto expected = static_cast<double>(5 + server);
        CHECK(waitUntil([&] { return std::all_of(deployment.gateways().begin(), deployment.gateways().end(), [&](const auto& gateway) { return deployment.metric(gateway, "backend_servers") == expected; }); }, maxTimeToKnow));
        INFO("known after " << std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt).count() << " ms");
    }
}
