//===- test/Platform/ConfigurationTiming.cpp - when versions are in force -===//
///
/// \file
/// See ConfigurationTiming.h.
//===----------------------------------------------------------------------===//
#include "ConfigurationTiming.h"

#include "pistachioloom/Json.h"

#include <catch2/catch.hpp>
#include <fstream>

namespace pistachioloom::test {

// Time after which a version that is not in force yet counts as missing.
static constexpr milliseconds missingTime { 8000 };
// The port for streams of the gateways of a deployment.
static constexpr std::uint16_t peersPort = 7003;

std::int64_t wallMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string manyRoutes(std::size_t count)
{
    std::string routes;
    for (std::size_t i = 0; i < count; ++i) {
        std::string name = sha256Hex(std::to_string(i)).substr(0, 32);
        routes += ",\n{\"name\":\"" + name + R"(","hostname":"h.example","path_prefix":"/)" + name
            + R"(/","type":"safe","timeout_ms":2000,"goal_ms":100,"priority":2,"service":"plain","attempts":2})";
    }
    return routes;
}

std::vector<boost::json::object> logLinesWith(const GatewayDeployment& deployment, const GatewayDeployment::Gateway& gateway, const std::string& sentence)
{
    std::vector<boost::json::object> lines;
    std::ifstream file(deployment.logFile(gateway));
    for (std::string line; std::getline(file, line);) {
        auto object = parseJsonObject(line);
        if (object && line.find(sentence) != std::string::npos)
            lines.push_back(std::move(*object));
    }
    return lines;
}

boost::json::object inForceLine(const GatewayDeployment& deployment, const GatewayDeployment::Gateway& gateway, std::uint64_t version)
{
    for (auto& line : logLinesWith(deployment, gateway, "Configuration is in force.")) {
        if (std::stoull(textField(line, "configuration")) >= version)
            return line;
    }
    return {};
}

void checkInForce(const GatewayDeployment& deployment, std::uint64_t version, std::int64_t acknowledgedMs)
{
    REQUIRE(deployment.waitForVersion(version, missingTime));
    for (const auto& gateway : deployment.gateways()) {
        auto line = inForceLine(deployment, gateway, version);
        INFO(gateway.vm_ << ", version " << version << ": " << boost::json::serialize(line));
        CHECK(static_cast<std::int64_t>(numberField(line, "time_ms")) - acknowledgedMs <= maxTimeToForce.count());
    }
}

Endpoint peerEndpointOfReader(const GatewayDeployment& deployment)
{
    for (const auto& gateway : deployment.gateways()) {
        std::size_t stopped = logLinesWith(deployment, gateway, "Other nodes read from the platform.").size();
        std::size_t started = logLinesWith(deployment, gateway, "This node reads from the platform.").size();
        if (stopped <= started)
            return { gateway.callers_.host_, peersPort };
    }
    throw std::runtime_error("no gateway reads from the platform");
}

} // namespace pistachioloom::test
