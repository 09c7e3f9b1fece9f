//===- test/RolloutsTest.cpp - new versions of a service, whole processes --===//
///
/// \file
/// An operator orders a version, good or bad; gateways bring it in or revert it, also
/// when the one that leads is killed, all are, or one cannot reach the platform.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

constexpr milliseconds patience { 12000 };
constexpr double period = 8;
// A share that few callers of a test give enough answers with.
constexpr const char* rolloutSettings = "  rollout:\n    trial_share: 0.2\n    exposed_share: 0.25\n    exposed_extra: 20\n";
constexpr std::size_t stable = 4;

GatewayDeploymentOptions fleetOf(std::size_t count, const char* fanout)
{
    GatewayDeploymentOptions options;
    options.count_ = count;
    options.dataCentres_ = 2;
    options.extraSettings_ = [fanout](const std::string&) { return std::string("  gossip:\n    fanout: ") + fanout + "\n" + rolloutSettings; };
    return options;
}

/// Callers that send plain and streaming requests to all gateways until they are ended.
class Callers {
public:
    explicit Callers(GatewayDeployment& deployment)
        : deployment_(deployment)
    {
        for (std::size_t i = 0; i < 6; ++i)
            threads_.emplace_back([this, i] { run(i); });
    }
    ~Callers() { end(); }
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

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

std::size_t runsAt(const GatewayDeployment& deployment, const std::string& id)
{
    return deployment.backend(id).at("runs").as_array().size();
}

std::size_t runsAt(const GatewayDeployment& deployment, const std::vector<std::string>& ids)
{
    std::size_t runs = 0;
    for (const std::string& id : ids)
        runs += runsAt(deployment, id);
    return runs;
}

const std::vector<std::string> newOnes { "n-1", "n-2", "n-3", "n-4" };
const std::vector<std::string> oldOnes { "e-1", "e-2", "e-3", "e-4" };

void startNew(const GatewayDeployment& deployment, const json::object& faults)
{
    for (const std::string& id : newOnes) {
        json::object entry { { "id", id }, { "service", "engines" }, { "version", "v2" }, { "zone", "a" }, { "slot_count", 8 }, { "phase", "up" } };
        deployment.control({ { "backends", json::array { entry } } });
        deployment.backend(id, faults);
    }
}

void order(const GatewayDeployment& deployment, const char* target = "v2")
{
    json::object value { { "service", "engines" }, { "target", target }, { "period_s", period } };
    json::object entry { { "topic", "keyed.op" }, { "key", "rollout/engines" }, { "value", json::serialize(value) } };
    deployment.control({ { "put", json::array { entry } } });
}

/// The phases that the operator was told, in their order.
std::vector<std::string> phases(const GatewayDeployment& deployment)
{
    std::vector<std::string> phases;
    json::object told = deployment.control();
    for (const json::value& record : told.at("statuses").as_array())
        phases.push_back(textField(parseJsonObject(std::string(record.as_object().at("value").as_string())).value_or(json::object {}), "phase"));
    return phases;
}

bool waitForPhase(const GatewayDeployment& deployment, const char* phase)
{
    return waitUntil([&] { auto told = phases(deployment); return !told.empty() && told.back() == phase; }, patience);
}

/// Each verdict once, nothing after it.
void checkOneVerdict(const GatewayDeployment& deployment, const std::string& verdict)
{
    auto told = phases(deployment);
    CAPTURE(told);
    REQUIRE(!told.empty());
    CHECK(told.back() == verdict);
    CHECK(std::count_if(told.begin(), told.end(), [](const std::string& phase) { return phase != "active"; }) == 1);
}

void start(GatewayDeployment& deployment)
{
    deployment.startStandardServices();
    for (const char* id : { "e-3", "e-4" })
        deployment.startBackend(id, "engines");
    if (!deployment.waitForBackends(2 + stable))
        throw std::runtime_error("gateways do not know all backend servers");
    bool hasHolder = waitUntil([&] {
        auto& all = deployment.gateways();
        return std::any_of(all.begin(), all.end(), [&](const auto& gateway) { return deployment.metric(gateway, "duty_token_held") > 0; });
    },
        patience);
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

TEST_CASE("a version is not in use when its period ends, or got its part of all requests from the start", "[gateway]")
{
    const char* fanout = GENERATE("24", "1");
    CAPTURE(fanout);
    GatewayDeployment deployment(fleetOf(4, fanout));
    start(deployment);
    Callers callers(deployment);
    order(deployment);
    startNew(deployment, {});
    REQUIRE(deployment.waitForBackends(2 + stable + newOnes.size()));
    std::this_thread::sleep_for(milliseconds(3500));
    auto ofNew = static_cast<double>(runsAt(deployment, newOnes));
    auto ofOld = static_cast<double>(runsAt(deployment, oldOnes));
    CHECK(ofNew > 0);
    CHECK(ofNew <= 0.25 * (ofNew + ofOld) + 20);
    CHECK(waitForPhase(deployment, "complete"));
    std::size_t before = runsAt(deployment, oldOnes);
    std::size_t newBefore = runsAt(deployment, newOnes);
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(runsAt(deployment, oldOnes) == before);
    CHECK(runsAt(deployment, newOnes) > newBefore);
    checkOneVerdict(deployment, "complete");
    CHECK(phases(deployment).front() == "active");
}

TEST_CASE("a bad version gets requests after its roll-back", "[gateway]")
{
    struct Row {
        const char* what_;
        json::object faults_;
    };
    const std::vector<Row> rows {
        { "failures", { { "fails_one_in", 2 } } },
        { "slow", { { "delay_ms", 400 } } },
        { "wrong bytes", { { "no_seal", 1 } } },
    };
    std::size_t row = GENERATE(0, 1, 2);
    CAPTURE(rows[row].what_);
    GatewayDeployment deployment(fleetOf(4, "1"));
    start(deployment);
    Callers callers(deployment);
    order(deployment);
    startNew(deployment, rows[row].faults_);
    CHECK(waitForPhase(deployment, "reverted"));
    std::this_thread::sleep_for(milliseconds(1000));
    std::size_t after = runsAt(deployment, newOnes);
    CHECK(after > 0);
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(runsAt(deployment, newOnes) == after);
    checkOneVerdict(deployment, "reverted");
}

TEST_CASE("an order has no verdict, or two, when the node that leads it is killed", "[gateway]")
{
    const bool isGood = GENERATE(true, false);
    CAPTURE(isGood);
    GatewayDeployment deployment(fleetOf(4, "24"));
    start(deployment);
    Callers callers(deployment);
    order(deployment);
    startNew(deployment, {});
    REQUIRE(waitForPhase(deployment, "active"));
    auto& led = holder(deployment);
    led.process_->kill();
    (void)led.process_->wait(patience);
    deployment.restart(led);
    if (!isGood) {
        for (const std::string& id : newOnes)
            deployment.backend(id, { { "fails_one_in", 2 } });
    }
    CHECK(waitForPhase(deployment, isGood ? "complete" : "reverted"));
    std::this_thread::sleep_for(milliseconds(1500));
    checkOneVerdict(deployment, isGood ? "complete" : "reverted");
}

TEST_CASE("a verdict is forgotten, or told again, after a stop of all nodes", "[gateway]")
{
    const bool isGood = GENERATE(true, false);
    CAPTURE(isGood);
    const char* verdict = isGood ? "complete" : "reverted";
    const std::vector<std::string>& unused = isGood ? oldOnes : newOnes;
    const std::vector<std::string>& used = isGood ? newOnes : oldOnes;
    GatewayDeployment deployment(fleetOf(3, "24"));
    start(deployment);
    auto callers = std::make_unique<Callers>(deployment);
    order(deployment);
    startNew(deployment, { { "fails_one_in", isGood ? 0 : 2 } });
    REQUIRE(waitForPhase(deployment, verdict));
    callers.reset();
    for (auto& gateway : deployment.gateways()) {
        gateway.process_->kill();
        (void)gateway.process_->wait(patience);
    }
    // The platform stops the old version's servers when an order is complete.
    if (isGood) {
        for (const std::string& id : oldOnes)
            deployment.control({ { "put", json::array { json::object { { "topic", "keyed.servers" }, { "key", id }, { "value", "" } } } } });
    }
    std::size_t before = runsAt(deployment, unused);
    std::size_t usedBefore = runsAt(deployment, used);
    for (auto& gateway : deployment.gateways())
        deployment.restart(gateway);
    for (auto& gateway : deployment.gateways())
        REQUIRE(waitUntil([&] { return deployment.isReady(gateway); }, patience));
    callers = std::make_unique<Callers>(deployment);
    std::this_thread::sleep_for(milliseconds(6000));
    CHECK(runsAt(deployment, unused) == before);
    CHECK(runsAt(deployment, used) > usedBefore);
    checkOneVerdict(deployment, verdict);
}

TEST_CASE("an operator sees an order at any gateway, and ends it at all", "[gateway]")
{
    GatewayDeployment deployment(fleetOf(3, "24"));
    start(deployment);
    Callers callers(deployment);
    order(deployment);
    startNew(deployment, {});
    REQUIRE(waitForPhase(deployment, "active"));
    auto page = [&](const std::string& method, const std::string& target, const std::string& credential) {
        auto answer = callHttpBlocking(deployment.gateways()[1].metrics_, { method, target, { { "authorization", "Bearer " + credential } }, {} }, patience);
        return answer ? answer.value() : HttpResponse { 0, {}, {} };
    };
    auto listed = objectsField(parseJsonObject(page("GET", "/rollouts", "").body_).value_or(json::object {}), "rollouts");
    REQUIRE(listed.size() == 1);
    CHECK(textField(listed[0], "phase") == "trial");
    CHECK(textField(listed[0], "target") == "v2");
    CHECK(page("DELETE", "/rollouts/engines", "wrong").status_ == 401);
    CHECK(page("DELETE", "/rollouts/none", "credential-of-tests").status_ == 404);
    CHECK(page("DELETE", "/rollouts/engines", "credential-of-tests").status_ == 200);
    CHECK(page("DELETE", "/rollouts/engines", "credential-of-tests").status_ == 409);
    CHECK(waitForPhase(deployment, "reverted"));
    std::this_thread::sleep_for(milliseconds(800));
    std::size_t after = runsAt(deployment, newOnes);
    std::this_thread::sleep_for(milliseconds(1000));
    CHECK(runsAt(deployment, newOnes) == after);
    checkOneVerdict(deployment, "reverted");
}
