//===- test/Platform/ConfigurationTiming.h - when versions are in force ---===//
///
/// \file
/// Finds in the logs of gateways when each version of the configuration came into force,
/// and checks the time.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayDeployment.h"

#include <boost/json.hpp>

namespace pistachioloom::test {

/// The users' bound on the time from the acknowledgement of a version until it is in force
/// on every node that has no fault itself.
inline constexpr milliseconds maxTimeToForce { 2000 };

/// Milliseconds since the Unix epoch.
std::int64_t wallMs();

/// \p count routes with hashes as names, so that the configuration is large even when
/// compressed. For GatewayDeployment::putConfiguration().
std::string manyRoutes(std::size_t count);

/// The lines of the log of \p gateway that contain \p sentence.
std::vector<boost::json::object> logLinesWith(const GatewayDeployment& deployment, const GatewayDeployment::Gateway& gateway, const std::string& sentence);

/// The log line by which \p gateway first put \p version or a newer one in force, or an
/// empty object.
boost::json::object inForceLine(const GatewayDeployment& deployment, const GatewayDeployment::Gateway& gateway, std::uint64_t version);

/// Checks that all gateways put \p version, acknowledged at \p acknowledgedMs, in force
/// within maxTimeToForce.
void checkInForce(const GatewayDeployment& deployment, std::uint64_t version, std::int64_t acknowledgedMs);

/// Where a gateway that reads the configuration from the platform accepts streams of peers.
/// \throws std::runtime_error if there is none.
Endpoint peerEndpointOfReader(const GatewayDeployment& deployment);

} // namespace pistachioloom::test
