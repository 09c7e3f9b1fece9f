//===- test/ConfigurationSourcesTest.cpp - sources that fail --------------===//
///
/// \file
/// Runs gateways as processes, beside nodes that report a new configuration at once and
/// whose streams fail. Every gateway has it in force in time all the same.
//===----------------------------------------------------------------------===//
#include "Platform/ConfigurationTiming.h"
#include "Platform/ReportingPeer.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr std::uint64_t firstVersion = 2;
constexpr std::uint64_t versionCount = 4;
// Time within which the gateways receive the first reports of a node.
constexpr milliseconds firstReportsTime { 500 };

struct SourceFault {
    StreamFault fault_;
    int peers_;
};

} // namespace

TEST_CASE("a configuration is in force in time beside nodes that report it and whose streams fail", "[sources]")
{
    auto row = GENERATE(values<SourceFault>({
        { StreamFault::Refused, 1 },
        { StreamFault::Silent, 1 },
        { StreamFault::Silent, 4 },
        { StreamFault::ConnectDropped, 1 },
        { StreamFault::ConnectDropped, 4 },
        { StreamFault::Slow, 1 },
        { StreamFault::Slow, 4 },
    }));
    INFO(row.peers_ << " nodes, " << toString(row.fault_));
    GatewayDeploymentOptions options;
    options.gatewayCount_ = 8;
    options.dataCentreCount_ = 2;
    GatewayDeployment deployment(options);
    deployment.startStandardServices();
    Endpoint reader = peerEndpointOfReader(deployment);
    std::vector<std::unique_ptr<ReportingPeer>> peers;
    for (int i = 0; i < row.peers_; ++i)
        peers.push_back(std::make_unique<ReportingPeer>(deployment, ReportingPeerOptions { "failing-" + std::to_string(i), "a", 200 + i, row.fault_, reader }));
    std::this_thread::sleep_for(firstReportsTime);
    for (std::uint64_t version = firstVersion; version < firstVersion + versionCount; ++version) {
        deployment.putConfiguration(version, manyRoutes(300));
        std::int64_t acknowledgedMs = wallMs();
        for (const auto& peer : peers)
            peer->reportVersion(version);
        checkInForce(deployment, version, acknowledgedMs);
    }
}
