//===- test/OddEntriesTest.cpp - odd entries beside those of the servers ----===//
///
/// \file
/// Another system leaves an entry among those of the backend servers that this system cannot use. Gateways
/// that read the list, and those that get it from them, must live on and follow the list.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

constexpr std::size_t gatewayCount = 6;
const std::string soundEntry = R"({"service":"plain","address":"127.0.0.1:1","zone":"a","version":"v1","slot_count":8,"phase":"up","cold_left_ms":0,"call_seq":1})";

struct OddEntry {
    const char* name_;
    const char* topic_;
    std::string key_;
    std::string value_;
};

std::string withField(const std::string& field, const std::string& value)
{
    std::string entry = soundEntry;
    std::size_t at = entry.find("\"" + field + "\":");
    std::size_t end = entry.find_first_of(",}", at);
    return entry.replace(at, end - at, "\"" + field + "\":" + value);
}

std::vector<OddEntry> oddEntries()
{
    const std::string deep = std::string(20000, '[') + std::string(20000, ']');
    return {
        { "empty key", "keyed.servers", "", soundEntry },
        { "key that is not UTF-8", "keyed.servers", "p\xff\xfe", soundEntry },
        { "key with a truncated character", "keyed.servers", "p\xc3", soundEntry },
        { "empty value", "keyed.servers", "odd-1", " " },
        { "deep nesting", "keyed.servers", "odd-2", deep },
        { "deep nesting in a field", "keyed.servers", "odd-3", withField("version", deep) },
        { "number with 400 digits", "keyed.servers", "odd-4", withField("slot_count", std::string(400, '9')) },
        { "port out of range", "keyed.servers", "odd-5", withField("address", "\"127.0.0.1:65536\"") },
        { "port zero", "keyed.servers", "odd-6", withField("address", "\"127.0.0.1:0\"") },
        { "negative number", "keyed.servers", "odd-7", withField("slot_count", "-1") },
        { "node with an empty name", "keyed.nodes", "", "127.0.0.1:9" },
        { "node whose name is not UTF-8", "keyed.nodes", "n\xff", "127.0.0.1:9" },
    };
}

void put(const GatewayDeployment& deployment, const OddEntry& odd)
{
    json::array key;
    for (unsigned char byte : odd.key_)
        key.push_back(byte);
    json::object entry { { "topic", odd.topic_ }, { "key_bytes", key }, { "value", odd.value_ } };
    deployment.control({ { "put", json::array { entry } } });
}

/// Whether each gateway serves, and knows \p servers.
void checkAllFollow(GatewayDeployment& deployment, std::size_t servers)
{
    CHECK(deployment.waitForBackends(servers));
    for (const GatewayDeployment::Gateway& gateway : deployment.gateways()) {
        CAPTURE(gateway.vm_);
        CHECK(gateway.process_->isRunning());
        CHECK(deployment.call(gateway, gatewayRequest("GET", "/safe/x", "after-" + gateway.vm_)).status_ == 200);
    }
}

} // namespace

// Guards against gateways that end, or stop following the list of backend servers, because of one entry
// in it.
TEST_CASE("an odd entry among those of the servers stops the gateways or their list", "[gateway]")
{
    GatewayDeployment deployment({ gatewayCount, 2, {}, {} });
    deployment.startStandardServices();
    std::size_t servers = 4;
    for (const OddEntry& odd : oddEntries()) {
        INFO(odd.name_);
        put(deployment, odd);
        deployment.startBackend("n-" + std::to_string(servers), "plain");
        ++servers;
        checkAllFollow(deployment, servers);
    }
    for (GatewayDeployment::Gateway& gateway : deployment.gateways()) {
        gateway.process_->signal(SIGKILL);
        gateway.process_->wait(milliseconds(5000));
    }
    for (GatewayDeployment::Gateway& gateway : deployment.gateways())
        deployment.restart(gateway);
    CHECK(deployment.waitForVersion(1, milliseconds(20000)));
    checkAllFollow(deployment, servers);
}
