//===- test/RolloutsTest.cpp - roll-outs of service versions --------------===//
///
/// \file
/// Runs gateways as processes. An operator orders a good or bad version, and the gateways roll
/// it out or revert it, also when the holder of the duties or all gateways are killed.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

constexpr milliseconds waitLimit { 12000 };
constexpr double periodSeconds = 8;
// Shares of the requests that are large enough for the few callers of a test to produce
// the answers that a decision needs.
constexpr const char* rolloutSettings = "  rollout:\n    trial_share: 0.2\n    exposed_share: 0.25\n    exposed_extra: 20\n";
constexpr std::size_t oldServerCount = 4;

GatewayDeploymentOptions fleetOptions(std::size_t count, const char* fanout)
{
    GatewayDeploymentOptions options;
    options.gatewayCount_ = count;
    options.dataCentreCount_ = 2;
    options.extraSettings_ = [fanout](const std::string&) { return std::string("  gossip:\n    fanout: ") + fanout + "\n" + rolloutSettings; };
    return options;
}

/// Callers that send streaming requests to all gateways until end().
class BackgroundCallers {
public:
    explicit BackgroundCallers(GatewayDeployment& deployment)
        : deployment_(deployment)
    {
        for (std::size_t i = 0; i < 6; ++i)
            threads_.emplace_back([this, i] { run(i); });
    }
    ~BackgroundCallers() { end(); }
    BackgroundCallers(const BackgroundCallers&) = delete;
    BackgroundCallers& operator=(const BackgroundCallers&) = delete;

    void end()
    {
        isOver_ = true;
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
    }

private:
    void run(std::size_t number)
    {
        for (std::size_t i = 0; !isOver_; ++i) {
            auto& gateway = deployment_.gateways()[(number + i) % deployment_.gateways().size()];
            (void)deployment_.call(gateway, gatewayRequest("POST", "/ask/stream/x", "r" + std::to_string(number) + "-" + std::to_string(i)));
        }
    }

    GatewayDeployment& deployment_;
    std::atomic<bool> isOver_ { false };
    std::vector<std::thread> threads_;
};

std::size_t runsOf(const GatewayDeployment& deployment, const std::string& id)
{
    return deployment.backend(id).at("runs").as_array().size();
}

std::size_t runsOf(const GatewayDeployment& deployment, const std::vector<std::string>& ids)
{
    std::size_t runs = 0;
    for (const std::string& id : ids)
        runs += runsOf(deployment, id);
    return runs;
}

const std::vector<std::string> newServers { "n-1", "n-2", "n-3", "n-4" };
const std::vector<std::string> oldServers { "e-1", "e-2", "e-3", "e-4" };

void startNewServers(const GatewayDeployment& deployment, const json::object& faults)
{
    for (const std::string& id : newServers) {
        json::object entry { { "id", id }, { "service", "engines" }, { "version", "v2" }, { "zone", "a" }, { "slot_count", 8 }, { "phase", "up" } };
        deployment.control({ { "backends", json::array { entry } } });
        deployment.backend(id, faults);
    }
}

void orderRollout(const GatewayDeployment& deployment, const char* target = "v2")
{
    json::object value { { "service", "engines" }, { "target", target }, { "period_s", periodSeconds } };
    json::object entry { { "topic", "keyed.op" }, { "key", "rollout/engines" }, { "value", json::serialize(value) } };
    deployment.control({ { "put", json::array { entry } } });
}

/// The phases that were reported to the operator, in order.
std::vector<std::string> phases(const GatewayDeployment& deployment)
{
    std::vector<std::string> phases;
    json::object reported = deployment.control();
    for (const json::value& record : reported.at("statuses").as_array())
        phases.push_back(textField(parseJsonObject(std::string(record.as_object().at("value").as_string())).value_or(json::object {}), "phase"));
    return phases;
}

bool waitForPhase(const GatewayDeployment& deployment, const char* phase)
{
    return waitUntil([&] { auto reported = phases(deployment); return !reported.empty() && reported.back() == phase; }, waitLimit);
}

/// Checks that \p decision is the last report and the only decision.
void checkOneDecision(const GatewayDeployment& deployment, const std::string& decision)
{
    auto reported = phases(deployment);
    CAPTURE(reported);
    REQUIRE(!reported.empty());
    CHECK(reported.back() == decision);
    CHECK(std::count_if(reported.begin(), reported.end(), [](const std::string& phase) { return phase != "active"; }) == 1);
}

void startFleet(GatewayDeployment& deployment)
{
    deployment.startStandardServices();
    for (const char* id : { "e-3", "e-4" })
        deployment.startBackend(id, "engines");
    if (!deployment.waitForBackends(2 + oldServerCount))
        throw std::runtime_error("gateways do not know all backend servers");
    bool hasHolder = waitUntil([&] {
        auto& all = deployment.gateways();
        return std::any_of(all.begin(), all.end(), [&](const auto& gateway) { return deployment.metric(gateway, "duty_token_held") > 0; });
    },
        waitLimit);
    if (!hasHolder)
        throw std::runtime_error("no gateway holds the duties");
}

GatewayDeployment::Gateway& holder(GatewayDeployment& deployment)
{
    for (auto& gateway : deployment.gateways()) {
        if (deployment.metric(gateway, "duty_token_held") > 0)
            return gateway;
    }
    throw std::runtime_error("no gateway holds the duties");
}

} // namespace

TEST_CASE("a good version is not in use when its period ends, or gets its full share of the requests from the start", "[gateway]")
{
    const char* fanout = GENERATE("24", "1");
    CAPTURE(fanout);
    GatewayDeployment deployment(fleetOptions(4, fanout));
    startFleet(deployment);
    BackgroundCallers callers(deployment);
    orderRollout(deployment);
    startNewServers(deployment, {});
    REQUIRE(deployment.waitForBackends(2 + oldServerCount + newServers.size()));
    std::this_thread::sleep_for(milliseconds(3500));
    auto newRuns = static_cast<double>(runsOf(deployment, newServers));
    auto oldRuns = static_cast<double>(runsOf(deployment, oldServers));
    CHECK(newRuns > 0);
    CHECK(newRuns <= 0.25 * (newRuns + oldRuns) + 20);
    CHECK(waitForPhase(deployment, "complete"));
    std::size_t before = runsOf(deployment, oldServers);
    std::size_t newBefore = runsOf(deployment, newServers);
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(runsOf(deployment, oldServers) == before);
    CHECK(runsOf(deployment, newServers) > newBefore);
    checkOneDecision(deployment, "complete");
    CHECK(phases(deployment).front() == "active");
}

TEST_CASE("a bad version gets requests after its roll-back", "[gateway]")
{
    struct Row {
        const char* name_;
        json::object faults_;
    };
    const std::vector<Row> rows {
        { "failures", { { "fails_one_in", 2 } } },
        { "slow answers", { { "delay_ms", 400 } } },
        { "answers without the seal header", { { "no_seal", 1 } } },
    };
    std::size_t row = GENERATE(0, 1, 2);
    CAPTURE(rows[row].name_);
    GatewayDeployment deployment(fleetOptions(4, "1"));
    startFleet(deployment);
    BackgroundCallers callers(deployment);
    orderRollout(deployment);
    startNewServers(deployment, rows[row].faults_);
    CHECK(waitForPhase(deployment, "reverted"));
    std::this_thread::sleep_for(milliseconds(1000));
    std::size_t after = runsOf(deployment, newServers);
    CHECK(after > 0);
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(runsOf(deployment, newServers) == after);
    checkOneDecision(deployment, "reverted");
}

TEST_CASE("a roll-out gets no decision, or two, when the node that controls it is killed", "[gateway]")
{
    const bool isGood = GENERATE(true, false);
    CAPTURE(isGood);
    GatewayDeployment deployment(fleetOptions(4, "24"));
    startFleet(deployment);
    BackgroundCallers callers(deployment);
    orderRollout(deployment);
    startNewServers(deployment, {});
    REQUIRE(waitForPhase(deployment, "active"));
    auto& dutyHolder = holder(deployment);
    dutyHolder.process_->kill();
    (void)dutyHolder.process_->wait(waitLimit);
    deployment.restart(dutyHolder);
    if (!isGood) {
        for (const std::string& id : newServers)
            deployment.backend(id, { { "fails_one_in", 2 } });
    }
    CHECK(waitForPhase(deployment, isGood ? "complete" : "reverted"));
    std::this_thread::sleep_for(milliseconds(1500));
    checkOneDecision(deployment, isGood ? "complete" : "reverted");
}

TEST_CASE("a decision is forgotten, or reported again, after a crash of all nodes", "[gateway]")
{
    const bool isGood = GENERATE(true, false);
    CAPTURE(isGood);
    const char* decision = isGood ? "complete" : "reverted";
    const std::vector<std::string>& unused = isGood ? oldServers : newServers;
    const std::vector<std::string>& used = isGood ? newServers : oldServers;
    GatewayDeployment deployment(fleetOptions(3, "24"));
    startFleet(deployment);
    auto callers = std::make_unique<BackgroundCallers>(deployment);
    orderRollout(deployment);
    startNewServers(deployment, { { "fails_one_in", isGood ? 0 : 2 } });
    REQUIRE(waitForPhase(deployment, decision));
    callers.reset();
    for (auto& gateway : deployment.gateways()) {
        gateway.process_->kill();
        (void)gateway.process_->wait(waitLimit);
    }
    // The platform stops the old version's servers when an order is complete.
    if (isGood) {
        for (const std::string& id : oldServers)
            deployment.control({ { "put", json::array { json::object { { "topic", "keyed.servers" }, { "key", id }, { "value", "" } } } } });
    }
    std::size_t before = runsOf(deployment, unused);
    std::size_t usedBefore = runsOf(deployment, used);
    for (auto& gateway : deployment.gateways())
        deployment.restart(gateway);
    for (auto& gateway : deployment.gateways())
        REQUIRE(waitUntil([&] { return deployment.isReady(gateway); }, waitLimit));
    callers = std::make_unique<BackgroundCallers>(deployment);
    std::this_thread::sleep_for(milliseconds(6000));
    CHECK(runsOf(deployment, unused) == before);
    CHECK(runsOf(deployment, used) > usedBefore);
    checkOneDecision(deployment, decision);
}

TEST_CASE("an operator can see a roll-out at any gateway, and end it at all gateways", "[gateway]")
{
    GatewayDeployment deployment(fleetOptions(3, "24"));
    startFleet(deployment);
    BackgroundCallers callers(deployment);
    orderRollout(deployment);
    startNewServers(deployment, {});
    REQUIRE(waitForPhase(deployment, "active"));
    auto callOperatorEndpoint = [&](const std::string& method, const std::string& target, const std::string& credential) {
        auto answer = callHttpBlocking(deployment.gateways()[1].metrics_, { method, target, { { "authorization", "Bearer " + credential } }, {} }, waitLimit);
        return answer ? answer.value() : HttpResponse { 0, {}, {} };
    };
    auto listed = objectsField(parseJsonObject(callOperatorEndpoint("GET", "/rollouts", "").body_).value_or(json::object {}), "rollouts");
    REQUIRE(listed.size() == 1);
    CHECK(textField(listed[0], "phase") == "trial");
    CHECK(textField(listed[0], "target") == "v2");
    CHECK(callOperatorEndpoint("DELETE", "/rollouts/engines", "wrong").status_ == 401);
    CHECK(callOperatorEndpoint("DELETE", "/rollouts/none", "credential-of-tests").status_ == 404);
    CHECK(callOperatorEndpoint("DELETE", "/rollouts/engines", "credential-of-tests").status_ == 200);
    CHECK(callOperatorEndpoint("DELETE", "/rollouts/engines", "credential-of-tests").status_ == 409);
    CHECK(waitForPhase(deployment, "reverted"));
    std::this_thread::sleep_for(milliseconds(800));
    std::size_t after = runsOf(deployment, newServers);
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(runsOf(deployment, newServers) == after);
    checkOneDecision(deployment, "reverted");
}
