//===- test/AtMostOnceTest.cpp - calls that must run at most once ---------===//
///
/// \file
/// Runs nodes as processes, and kills or freezes the node that coordinates a call, or makes
/// the log fail. The stand-in service counts the executions of each idempotency key.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"
#include "pistachioloom/Ledger.h"

#include <catch2/catch.hpp>
#include <future>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

const std::string body = R"({"tag":"A-17"})";
constexpr std::uint32_t shardCount = 8;

DeploymentOptions serviceOptions()
{
    DeploymentOptions options;
    options.enginesPerDataCentre_ = {};
    options.servicesPerDataCentre_ = 1;
    options.nodesPerDataCentre_ = 2;
    options.nodeSettings_ = "ledger:\n  append_timeout: 500ms\n  append_patience: 1200ms\n";
    return options;
}

ServiceCallResult confirm(const Endpoint& entry, const std::string& key, const std::string& content = body)
{
    return callService(entry, Deployment::apiKey("rede"), "labels/confirm", key, content);
}

std::future<ServiceCallResult> confirmAsync(const Endpoint& entry, const std::string& key)
{
    return std::async(std::launch::async, [=] { return confirm(entry, key); });
}

std::uint64_t executionsOf(Deployment& deployment, const std::string& key)
{
    std::uint64_t sum = 0;
    for (auto& service : deployment.services()) {
        auto state = Deployment::control(service.endpoint_);
        sum += numberField(state.at("executions").as_object(), key.c_str());
    }
    return sum;
}

void controlServices(Deployment& deployment, const boost::json::object& values)
{
    for (auto& service : deployment.services())
        Deployment::control(service.endpoint_, values);
}

/// The two nodes of \p dataCentre: first the coordinator of the calls with \p key, then
/// the other one.
std::vector<VmId> coordinatorsOf(Deployment& deployment, const std::string& dataCentre, const std::string& key)
{
    std::vector<VmId> nodes;
    for (auto& node : deployment.nodes()) {
        if (node.dataCentre_ == dataCentre)
            nodes.push_back({ node.id_ });
    }
    std::uint32_t shard = shardOf(makeCallKey({ "rede" }, { "labels" }, { key }), shardCount);
    return rankByRendezvous("run/" + std::to_string(shard), nodes);
}

bool reportsNotRun(const ServiceCallResult& result)
{
    return result.isAnswered_ && result.error_ && result.error_->ran_ == Ran::No;
}

} // namespace

TEST_CASE("concurrent calls with one key through three data centres run once")
{
    Deployment deployment(serviceOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    controlServices(deployment, { { "delay_ms", 30 } });
    for (int round = 0; round < 10; ++round) {
        std::string key = "order-" + std::to_string(round);
        std::vector<std::future<ServiceCallResult>> calls;
        for (auto& node : deployment.nodes())
            calls.push_back(confirmAsync(node.callers_, key));
        int answered = 0;
        for (auto& call : calls) {
            auto result = call.get();
            answered += result.status_ == 200 ? 1 : 0;
            // The other callers get the answer or learn that the call was started, never
            // that it has not run.
            CHECK_FALSE(reportsNotRun(result));
        }
        CHECK(answered >= 1);
        CHECK(executionsOf(deployment, key) == 1);
        auto repeat = confirm(deployment.nodes()[static_cast<std::size_t>(round) % 6].callers_, key);
        CHECK(repeat.status_ == 200);
        CHECK(repeat.isReplayed_);
    }
    auto reused = confirm(deployment.nodes()[0].callers_, "order-0", "another body");
    CHECK(reused.status_ == 422);
}

TEST_CASE("a call never runs twice when its coordinator is killed before or after dispatch")
{
    Deployment deployment(serviceOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    bool isKilledDuringAppend = GENERATE(true, false);
    std::string key = isKilledDuringAppend ? "killed-in-append" : "killed-in-dispatch";
    auto coordinators = coordinatorsOf(deployment, "caxias-a", key);
    auto& coordinator = deployment.node(coordinators[0].value_);
    auto& other = deployment.node(coordinators[1].value_);
    if (isKilledDuringAppend)
        deployment.controlPlatform({ { "log_delay_ms", 400 } });
    else
        controlServices(deployment, { { "delay_ms", 600 } });
    auto call = confirmAsync(other.callers_, key);
    // The standard catalogue takes six appends. The next one is the intent of the call.
    if (isKilledDuringAppend)
        REQUIRE(waitUntil([&] { return deployment.metric(coordinator, "log_appends_total") > 0 || deployment.metric(other, "log_appends_total") > 6; }));
    else
        REQUIRE(waitUntil([&] { return executionsOf(deployment, key) == 1; }));
    coordinator.process_->kill();
    deployment.controlPlatform({ { "log_delay_ms", 0 } });
    auto result = call.get();
    CHECK(executionsOf(deployment, key) <= 1);
    if (reportsNotRun(result))
        CHECK(executionsOf(deployment, key) == 0);
    controlServices(deployment, { { "delay_ms", 0 } });
    // Repeated calls through all other nodes never add an execution.
    for (auto& node : deployment.nodes()) {
        if (node.id_ != coordinator.id_)
            confirm(node.callers_, key);
    }
    CHECK(executionsOf(deployment, key) <= 1);
}

TEST_CASE("a coordinator that resumes after its takeover does not run the call")
{
    Deployment deployment(serviceOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    std::string key = "frozen";
    auto coordinators = coordinatorsOf(deployment, "caxias-a", key);
    auto& coordinator = deployment.node(coordinators[0].value_);
    auto& other = deployment.node(coordinators[1].value_);
    // The coordinator is frozen while the append of its intent is pending. When it
    // resumes, the append has been answered and all of its other state is stale. The standard
    // catalogue takes six appends, so the seventh is the intent.
    deployment.controlPlatform({ { "log_delay_ms", 400 } });
    auto first = confirmAsync(other.callers_, key);
    REQUIRE(waitUntil([&] { return numberField(deployment.controlPlatform(), "appends") > 6; }));
    coordinator.process_->freeze();
    deployment.controlPlatform({ { "log_delay_ms", 0 } });
    auto elsewhere = confirm(deployment.node("bento-c-1").callers_, key);
    CHECK(executionsOf(deployment, key) <= 1);
    REQUIRE(waitUntil([&] {
        auto state = deployment.query(other, "/nodes");
        for (const auto& line : objectsField(state.as_object(), "nodes")) {
            if (textField(line, "node") == coordinator.id_)
                return textField(line, "state") == "out";
        }
        return false;
    }));
    auto afterTakeover = confirm(other.callers_, key);
    coordinator.process_->resume();
    first.get();
    auto last = confirm(other.callers_, key);
    CHECK(executionsOf(deployment, key) <= 1);
    if (reportsNotRun(last))
        CHECK(executionsOf(deployment, key) == 0);
}

TEST_CASE("faults of the log never lead to a wrong statement about execution")
{
    Deployment deployment(serviceOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    Endpoint entry = deployment.node("caxias-b-1").callers_;

    SECTION("the answer of an append is lost")
    {
        deployment.controlPlatform({ { "lose_append_answers", 1 } });
        auto result = confirm(entry, "lost");
        CHECK(result.status_ == 200);
        CHECK(executionsOf(deployment, "lost") == 1);
        CHECK(confirm(deployment.node("bento-c-1").callers_, "lost").isReplayed_);
        CHECK(executionsOf(deployment, "lost") == 1);
    }
    SECTION("the log is down: the call is rejected, has not run, and runs after the log recovers")
    {
        deployment.controlPlatform({ { "log_down", 1 } });
        auto result = confirm(entry, "down");
        CHECK(result.status_ == 503);
        CHECK(reportsNotRun(result));
        CHECK(result.error_->retryAfter_.count() > 0);
        CHECK(executionsOf(deployment, "down") == 0);
        deployment.controlPlatform({ { "log_down", 0 } });
        REQUIRE(waitUntil([&] { return confirm(entry, "down").status_ == 200; }));
        CHECK(executionsOf(deployment, "down") == 1);
    }
    SECTION("the log trims records that a coordinator has not read")
    {
        CHECK(confirm(entry, "before").status_ == 200);
        std::uint32_t shard = shardOf(makeCallKey({ "rede" }, { "labels" }, { "before" }), shardCount);
        deployment.controlPlatform({ { "trim_stream", "ledger-" + std::to_string(shard) }, { "trim_to", 1 } });
        // The stored outcome remains, and a repeated call is answered from it.
        auto repeat = confirm(deployment.node("bento-c-1").callers_, "before");
        CHECK(repeat.isReplayed_);
        CHECK(executionsOf(deployment, "before") == 1);
    }
}

TEST_CASE("a lost answer of a service is reported as unknown, a rejection as not run")
{
    Deployment deployment(serviceOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    Endpoint entry = deployment.node("caxias-b-1").callers_;

    SECTION("the answer is lost after the call ran: reported as unknown, never repeated")
    {
        controlServices(deployment, { { "lose_answers", 1 } });
        auto result = confirm(entry, "lost-answer");
        CHECK(result.status_ == 409);
        REQUIRE(result.error_);
        CHECK(result.error_->ran_ == Ran::Unknown);
        CHECK(confirm(deployment.node("bento-c-1").callers_, "lost-answer").status_ == 409);
        CHECK(executionsOf(deployment, "lost-answer") == 1);
    }
    SECTION("the call is rejected before it ran: another backend server runs it")
    {
        Deployment::control(deployment.services()[1].endpoint_, { { "leaving", 1 } });
        auto result = confirm(entry, "refused");
        CHECK(result.status_ == 200);
        CHECK(executionsOf(deployment, "refused") == 1);
    }
    SECTION("no backend server is available: not run, and may be repeated")
    {
        controlServices(deployment, { { "leaving", 1 } });
        auto result = confirm(entry, "nobody");
        CHECK(reportsNotRun(result));
        CHECK(executionsOf(deployment, "nobody") == 0);
    }
    SECTION("a repeatable call is repeated when its answer is lost")
    {
        controlServices(deployment, { { "lose_answers", 1 } });
        auto result = callService(entry, Deployment::apiKey("rede"), "records/outfall/7", "", "");
        CHECK(result.status_ == 200);
    }
}
