//===- test/OrdersTest.cpp - orders to engines ----------------------------===//
///
/// \file
/// A new version in the catalogue is rolled out to the engines without a lost request,
/// and an order of a replaced dispatcher never undoes a newer one.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <future>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr milliseconds rolloutTimeout { 40000 };

std::string engineEntry(const std::string& version, bool honoursFencing)
{
    return "name: planogram\nkind: engine\nconcurrency: 64\nversion: " + version + "\nhonours_fencing: " + (honoursFencing ? "true" : "false") + "\n";
}

std::string versionOf(const Deployment::Backend& engine)
{
    return textField(Deployment::control(engine.endpoint_), "version");
}

std::uint64_t counterOf(const Deployment::Backend& engine, const char* counter)
{
    return numberField(Deployment::control(engine.endpoint_), counter);
}

} // namespace

TEST_CASE("a new version is rolled out to the engines without a lost request")
{
    DeploymentOptions options;
    options.dataCentres_ = { "caxias-a", "caxias-b" };
    options.nodesPerDataCentre_ = 2;
    options.enginesPerDataCentre_ = { { "planogram", 3 } };
    options.engineArguments_ = { "--decode_us", "2000", "--load_ms", "400" };
    options.nodeSettings_ = "orders:\n  period: 100ms\n";
    Deployment deployment(options);
    deployment.applyCatalogue(Deployment::standardCatalogue());
    std::atomic<bool> isOver { false };
    std::atomic<int> answered { 0 };
    std::atomic<int> failed { 0 };
    std::vector<std::future<void>> callers;
    auto entries = deployment.callerEndpoints();
    for (const Endpoint& entry : entries) {
        callers.push_back(std::async(std::launch::async, [&, entry] {
            Completion completion { Deployment::apiKey("rede"), "planogram", "while engines change", 30 };
            while (!isOver) {
                Answer answer = streamCompletionBlocking(entry, completion);
                bool isCorrect = answer.isDone_ && checkAnswer(answer, completion).empty();
                ++(isCorrect ? answered : failed);
            }
        }));
    }
    REQUIRE(waitUntil([&] { return answered > 10; }));
    deployment.applyCatalogue(engineEntry("v2", true));
    std::map<std::string, std::uint64_t> maxLoading;
    bool isRolledOut = waitUntil([&] {
        std::map<std::string, std::uint64_t> loading;
        bool isEverywhere = true;
        for (const auto& engine : deployment.engines()) {
            auto state = Deployment::control(engine.endpoint_);
            loading[engine.dataCentre_] += numberField(state, "loading");
            isEverywhere &= textField(state, "version") == "v2";
        }
        for (const auto& [dataCentre, count] : loading)
            maxLoading[dataCentre] = std::max(maxLoading[dataCentre], count);
        return isEverywhere;
    },
        rolloutTimeout);
    isOver = true;
    callers.clear();
    CHECK(isRolledOut);
    CHECK(failed == 0);
    for (const auto& [dataCentre, maxCount] : maxLoading)
        CHECK(maxCount == 1);
    for (const auto& engine : deployment.engines()) {
        CHECK(counterOf(engine, "orders_obeyed") == 1);
        CHECK(counterOf(engine, "obeyed_while_active") == 0);
        CHECK(counterOf(engine, "started_while_loading") == 0);
    }
    // After the roll-out every engine accepts work again.
    CHECK(waitUntil([&] {
        std::size_t settled = 0;
        for (auto& node : deployment.nodes()) {
            auto listed = deployment.query(node, "/engines");
            for (const auto& line : objectsField(listed.as_object(), "engines"))
                settled += textField(line, "order") == "settled" && numberField(line, "free_slots") == 64 ? 1 : 0;
        }
        return settled == deployment.engines().size();
    }));
}

TEST_CASE("an order that arrives after its dispatcher was replaced does not undo a newer one")
{
    bool honoursFencing = GENERATE(true, false);
    INFO("engine honours fencing tokens: " << honoursFencing);
    DeploymentOptions options;
    options.dataCentres_ = { "caxias-a" };
    options.nodesPerDataCentre_ = 3;
    options.engineArguments_ = { "--honours_fencing", honoursFencing ? "1" : "0" };
    options.nodeSettings_ = "orders:\n  period: 50ms\n  claim_validity: 500ms\n  pause_bound: 6s\n";
    Deployment deployment(options);
    deployment.applyCatalogue(Deployment::standardCatalogue());
    auto& engine = deployment.engines().front();
    Deployment::NodeProcess* dispatcher = nullptr;
    REQUIRE(waitUntil([&] { return (dispatcher = deployment.dispatcherOf(engine.id_)); }));
    Deployment::control(engine.endpoint_, { { "order_delay_ms", 5500 } });
    deployment.applyCatalogue(engineEntry("v2", honoursFencing));
    REQUIRE(waitUntil([&] { return counterOf(engine, "orders_received") == 1; }));
    dispatcher->process_->kill();
    Deployment::control(engine.endpoint_, { { "order_delay_ms", 0 } });
    auto& other = deployment.nodes()[dispatcher == &deployment.nodes().front() ? 1 : 0];
    std::ofstream(deployment.directory() + "/v3.yaml") << engineEntry("v3", honoursFencing);
    REQUIRE(deployment.runTool(other, { "catalogue", "apply", deployment.directory() + "/v3.yaml" }).first == 0);
    CHECK(waitUntil([&] { return versionOf(engine) == "v3"; }, rolloutTimeout));
    // The delayed order has been either applied or rejected.
    CHECK(waitUntil([&] { return counterOf(engine, "stale_refused") + counterOf(engine, "orders_obeyed") >= 2; }, rolloutTimeout));
    CHECK(waitUntil([&] { return versionOf(engine) == "v3" && !counterOf(engine, "loading"); }));
    CHECK(counterOf(engine, "stale_obeyed") == 0);
    CHECK(counterOf(engine, "stale_refused") == (honoursFencing ? 1 : 0));
}
