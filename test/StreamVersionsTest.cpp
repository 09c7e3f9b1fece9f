//===- test/StreamVersionsTest.cpp - streams beside several versions -------===//
///
/// \file
/// Backend servers of several software versions serve one service. What two versions write
/// does not fit together, so that a stream must go on at the version that sent its first
/// event, within one answer and over the attempts of its caller at any gateway. Runs gateways
/// and callers that resume, and breaks streams off in several ways.
//===----------------------------------------------------------------------===//
#include "Harness/PathProxy.h"
#include "Platform/StreamCaller.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

// At most this many streams may hold events of two versions.
constexpr int maxMixed = 2;
constexpr int callerCount = 40;
constexpr std::size_t gatewayCount = 5;
constexpr const char* streamPath = "/draft/stream/x";

std::string versionOf(const std::string& server)
{
    return server.substr(0, server.find('-'));
}

/// Gateways in three data centres, and servers of each version.
class DeploymentOfVersions {
public:
    explicit DeploymentOfVersions(const std::vector<std::string>& versions, int serversOfEach = 3, GatewayDeploymentOptions options = { gatewayCount, 3, {}, {} })
        : deployment_(std::move(options))
    {
        deployment_.putConfiguration(1);
        for (const std::string& version : versions) {
            for (int i = 1; i <= serversOfEach; ++i)
                start(version, i);
        }
        if (!deployment_.waitForVersion(1, milliseconds(20000)) || !deployment_.waitForBackends(servers_.size()))
            throw std::runtime_error("the gateways do not know all servers");
    }

    GatewayDeployment& operator*() { return deployment_; }
    GatewayDeployment* operator->() { return &deployment_; }
    const std::vector<std::string>& servers() const { return servers_; }
    const std::string& randomServer() const { return servers_[randomBits() % servers_.size()]; }
    /// Crashes \p server and starts it again, with the faults that all servers have.
    void restart(const std::string& server)
    {
        deployment_.control({ { "restart", server } });
        deployment_.backend(server, faults_);
    }
    void reclaim(const std::string& server) { deployment_.control({ { "reclaim", server } }); }
    void start(const std::string& version, int number)
    {
        std::string id = version + "-" + std::to_string(number);
        json::object entry { { "id", id }, { "service", "engines" }, { "version", version }, { "zone", std::string(1, static_cast<char>('a' + number % 3)) }, { "slot_count", 32 }, { "phase", "up" } };
        deployment_.control({ { "backends", json::array { entry } } });
        deployment_.backend(id, faults_);
        servers_.push_back(id);
    }

private:
    const json::object faults_ { { "events", 60 }, { "gap_ms", 30 }, { "names_sender", 1 } };
    GatewayDeployment deployment_;
    std::vector<std::string> servers_;
};

void checkStreams(const StreamResults& results)
{
    int started = results.started_;
    int begun = results.begun_;
    int complete = results.complete_;
    int resumed = results.resumed_;
    int wentOn = results.wentOn_;
    int mixed = results.mixed_;
    CAPTURE(started, begun, complete, resumed, wentOn, mixed);
    UNSCOPED_INFO(started << " streams started, " << begun << " begun, " << complete << " complete, " << resumed << " resumed, " << wentOn << " of these went on, " << mixed << " mixed");
    CHECK(mixed <= maxMixed);
    CHECK(results.wrong_ == 0);
    // The share of resumed streams that go on is at least half of the share of new ones that
    // begin.
    if (resumed >= 12)
        CHECK(2.0 * wentOn / resumed >= static_cast<double>(begun) / started);
}

} // namespace

TEST_CASE("a stream goes on at another version after its server crashed", "[gateway]")
{
    DeploymentOfVersions versions({ "v1", "v1.1", "v1.2" });
    StreamCallers callers(*versions, streamPath, callerCount, versionOf);
    for (int i = 0; i < 24; ++i) {
        std::this_thread::sleep_for(milliseconds(250));
        versions.restart(versions.randomServer());
    }
    CHECK(callers.results().complete_ > callerCount);
    checkStreams(callers.results());
}

TEST_CASE("a stream is moved to another version when its server is reclaimed", "[gateway]")
{
    DeploymentOfVersions versions({ "v1", "v1.1" });
    StreamCallers callers(*versions, streamPath, callerCount, versionOf);
    for (int i = 0; i < 12; ++i) {
        std::string server = versions.randomServer();
        versions.reclaim(server);
        std::this_thread::sleep_for(milliseconds(700));
        versions.restart(server);
    }
    CHECK(callers.results().complete_ > callerCount);
    checkStreams(callers.results());
}

TEST_CASE("a stream goes on at another version at the gateway where its caller resumes", "[gateway]")
{
    struct Row {
        const char* name_;
        int signal_;
        std::size_t gateways_;
    };
    auto row = GENERATE(values<Row>({ { "a gateway is killed", SIGKILL, 1 }, { "two gateways are killed", SIGKILL, 2 }, { "a gateway stops", SIGTERM, 1 } }));
    INFO(row.name_);
    DeploymentOfVersions versions({ "v1", "v1.1", "v1.2" });
    {
        StreamCallers callers(*versions, streamPath, callerCount, versionOf);
        auto& gateways = versions->gateways();
        for (std::size_t i = 0; i < 5; ++i) {
            std::this_thread::sleep_for(milliseconds(1200));
            for (std::size_t k = 0; k < row.gateways_; ++k)
                gateways[(i + k) % gateways.size()].process_->signal(row.signal_);
            // The stopping gateway breaks off what runs at the end of its grace time.
            for (std::size_t k = 0; k < row.gateways_; ++k)
                gateways[(i + k) % gateways.size()].process_->wait(milliseconds(6000));
            std::this_thread::sleep_for(milliseconds(500));
            for (std::size_t k = 0; k < row.gateways_; ++k)
                versions->restart(gateways[(i + k) % gateways.size()]);
        }
        std::this_thread::sleep_for(milliseconds(1500));
        checkStreams(callers.results());
        if (row.signal_ == SIGKILL)
            CHECK(callers.results().resumed_ >= 12);
    }
}

// Guards against streams that are joined from two versions, or all refused, since what the nodes
// knew of them ended with all nodes at once.
TEST_CASE("resumed streams are refused or mixed after all gateways were killed", "[gateway]")
{
    struct Row {
        const char* name_;
        std::vector<std::string> versions_;
    };
    auto row = GENERATE(values<Row>({ { "one version", { "v1" } }, { "two versions", { "v1", "v1.1" } } }));
    INFO(row.name_);
    DeploymentOfVersions versions(row.versions_);
    StreamCallers callers(*versions, streamPath, callerCount, versionOf);
    for (int i = 0; i < 3; ++i) {
        std::this_thread::sleep_for(milliseconds(2500));
        for (auto& gateway : versions->gateways())
            gateway.process_->signal(SIGKILL);
        for (auto& gateway : versions->gateways())
            gateway.process_->wait(milliseconds(6000));
        for (auto& gateway : versions->gateways())
            versions->restart(gateway);
    }
    std::this_thread::sleep_for(milliseconds(2500));
    checkStreams(callers.results());
    CHECK(callers.results().resumed_ >= 12);
}

TEST_CASE("a stream whose version is unknown, or no longer served, goes on at any version", "[gateway]")
{
    DeploymentOfVersions versions({ "v1", "v1.1" }, 1);
    const Endpoint gateway = versions->gateways()[0].callers_;
    HttpRequest request = gatewayRequest("POST", streamPath, "second");
    request.headers_["Last-Event-Id"] = "3";
    SECTION("no node knows the attempt")
    {
        request.headers_["Resumes"] = "never-sent";
        StreamAttempt attempt = readStream(gateway, request, milliseconds(5000));
        CHECK(attempt.status_ == 503);
        CHECK(attempt.retryAfter_);
        CHECK(attempt.timeToHead_ < milliseconds(600));
    }
    SECTION("the request names no attempt")
    {
        CHECK(readStream(gateway, request, milliseconds(5000)).status_ == 503);
    }
    SECTION("the attempt is of another organisation")
    {
        HttpRequest first = gatewayRequest("POST", streamPath, "first");
        REQUIRE(readStream(gateway, first, milliseconds(5000)).isComplete_);
        request.headers_["Resumes"] = "first";
        request.headers_["Authorization"] = "Bearer key-small";
        CHECK(readStream(versions->gateways()[1].callers_, request, milliseconds(5000)).status_ == 503);
    }
    SECTION("the last server of the version has left")
    {
        HttpRequest first = gatewayRequest("POST", streamPath, "first");
        StreamAttempt begun = readStream(gateway, first, milliseconds(5000));
        REQUIRE(begun.isComplete_);
        request.headers_["Resumes"] = "first";
        request.headers_["Last-Event-Id"] = "5";
        for (const auto& node : versions->gateways()) {
            StreamAttempt resumed = readStream(node.callers_, request, milliseconds(5000));
            CHECK(resumed.isComplete_);
            CHECK(versionOf(resumed.senders_.front()) == versionOf(begun.senders_.front()));
        }
        versions.reclaim(begun.senders_.front());
        REQUIRE(waitUntil([&] { return readStream(versions->gateways()[2].callers_, request, milliseconds(5000)).status_ == 503; }, milliseconds(3000)));
        StreamAttempt refused = readStream(versions->gateways()[2].callers_, request, milliseconds(5000));
        CHECK(refused.status_ == 503);
        // To come back would be in vain.
        CHECK(!refused.retryAfter_);
        CHECK(readStream(versions->gateways()[2].callers_, gatewayRequest("POST", streamPath, "anew"), milliseconds(5000)).isComplete_);
    }
}

TEST_CASE("a stream breaks off with its connection although the only server of its version still serves", "[gateway]")
{
    DeploymentOfVersions versions({ "v1", "v1.1" }, 1);
    for (const auto& gateway : versions->gateways()) {
        for (const std::string& server : versions.servers())
            versions->backend(server, { { "cut_at", 10 }, { "cut_once", 1 } });
        StreamAttempt attempt = readStream(gateway.callers_, gatewayRequest("POST", streamPath, "on-" + gateway.vm_), milliseconds(6000));
        CHECK(attempt.isComplete_);
        std::set<std::string> senders(attempt.senders_.begin(), attempt.senders_.end());
        CHECK(senders.size() == 1);
    }
}

TEST_CASE("a stream of a reverted version is resumed at the other version, or there again", "[gateway]")
{
    DeploymentOfVersions versions({ "v1", "v1.1" }, 1);
    const Endpoint gateway = versions->gateways()[0].callers_;
    std::string begun;
    for (int i = 0; begun.empty() && i < 40; ++i) {
        std::string id = "trial-" + std::to_string(i);
        StreamAttempt attempt = readStream(gateway, gatewayRequest("POST", streamPath, id), milliseconds(5000));
        if (attempt.isComplete_ && versionOf(attempt.senders_.front()) == "v1.1")
            begun = id;
    }
    REQUIRE(!begun.empty());
    json::object order { { "service", "engines" }, { "target", "v1.1" }, { "period_s", 600 } };
    json::object entry { { "topic", "keyed.op" }, { "key", "rollout/engines" }, { "value", json::serialize(order) } };
    versions->control({ { "put", json::array { entry } } });
    auto isReverted = [&](const GatewayDeployment::Gateway& node) {
        HttpRequest revert { "DELETE", "/rollouts/engines", { { "authorization", "Bearer credential-of-tests" } }, {} };
        auto answer = callHttpBlocking(node.metrics_, revert, milliseconds(2000));
        return answer && answer.value().status_ / 100 == 2;
    };
    REQUIRE(waitUntil([&] { return std::any_of(versions->gateways().begin(), versions->gateways().end(), isReverted); }, milliseconds(15000)));
    std::this_thread::sleep_for(milliseconds(2000));
    HttpRequest request = gatewayRequest("POST", streamPath, "again");
    request.headers_["Last-Event-Id"] = "3";
    request.headers_["Resumes"] = begun;
    for (const auto& node : versions->gateways()) {
        StreamAttempt attempt = readStream(node.callers_, request, milliseconds(5000));
        CHECK(attempt.status_ == 503);
        CHECK(!attempt.retryAfter_);
    }
}

// Guards against a stream that is joined from two versions: it began at a server that the gateway does
// not know yet, which takes the only version that it knows for that of the stream.
TEST_CASE("a gateway out of step resumes a stream of a new version at the version that it knows", "[gateway]")
{
    enum class Fault {
        None,
        CutOff,
        StandsStill,
    };
    auto fault = GENERATE(Fault::None, Fault::CutOff, Fault::StandsStill);
    CAPTURE(fault);
    PathProxies paths;
    std::size_t path = paths.add();
    GatewayDeploymentOptions options;
    options.platformEndpointFor_ = [&](const std::string&, const Endpoint& platform) {
        paths.setTarget(path, platform);
        return paths.endpoint(path);
    };
    DeploymentOfVersions versions({ "v1" }, 1, std::move(options));
    GatewayDeployment::Gateway& gateway = versions->gateways().front();
    // Longer than a stream may last, so that any stream began at the only version.
    std::this_thread::sleep_for(milliseconds(7000));
    if (fault == Fault::CutOff)
        paths.set(PathFault::Hang);
    if (fault == Fault::StandsStill)
        gateway.process_->signal(SIGSTOP);
    if (fault != Fault::None)
        versions.start("v1.1", 1);
    if (fault == Fault::StandsStill) {
        std::this_thread::sleep_for(milliseconds(1500));
        gateway.process_->signal(SIGCONT);
    }
    HttpRequest request = gatewayRequest("POST", streamPath, "again");
    request.headers_["Resumes"] = "begun-elsewhere";
    request.headers_["Last-Event-Id"] = "3";
    StreamAttempt attempt = readStream(gateway.callers_, request, milliseconds(5000));
    CHECK(attempt.status_ == (fault == Fault::None ? 200 : 503));
    CHECK(attempt.timeToHead_ < milliseconds(2500));
    CHECK((fault == Fault::None || attempt.retryAfter_));
}
