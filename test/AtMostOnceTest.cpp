//===- test/AtMostOnceTest.cpp - calls that may not be repeated ------------===//
///
/// \file
/// Whole processes, the plain service counting the executions of each key.
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
    options.settings_ = "ledger:\n  append_timeout: 500ms\n  append_patience: 1200ms\n";
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

/// The node of \p dataCentre that keeps \p key, and the other one.
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

TEST_CASE("one key sent at once through three data centres runs once")
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
            // Whoever lost is told that the call was started, never that it was not.
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

TEST_CASE("a keeper killed before or after dispatch never lets a call run twice")
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
    // Repeats through every other node never add an execution.
    for (auto& node : deployment.nodes()) {
        if (node.id_ != coordinator.id_)
            confirm(node.callers_, key);
    }
    CHECK(executionsOf(deployment, key) <= 1);
}

TEST_CASE("a keeper frozen past its take-over does nothing when it wakes")
{
    Deployment deployment(serviceOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    std::string key = "frozen";
    auto coordinators = coordinatorsOf(deployment, "caxias-a", key);
    auto& coordinator = deployment.node(coordinators[0].value_);
    auto& other = deployment.node(coordinators[1].value_);
    // Frozen while its intent is on the way to the log, so it wakes up with the
    // append answered and everything it believed out of date.
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

TEST_CASE("faults of the log refuse truthfully")
{
    Deployment deployment(serviceOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    Endpoint entry = deployment.node("caxias-b-1").callers_;

    SECTION("an append whose answer is lost")
    {
        deployment.controlPlatform({ { "lose_append_answers", 1 } });
        auto result = confirm(entry, "lost");
        CHECK(result.status_ == 200);
        CHECK(executionsOf(deployment, "lost") == 1);
        CHECK(confirm(deployment.node("bento-c-1").callers_, "lost").isReplayed_);
        CHECK(executionsOf(deployment, "lost") == 1);
    }
    SECTION("the log is down: refused at once, not run, and runs once it is back")
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
    SECTION("the log trimmed what a keeper had not read")
    {
        CHECK(confirm(entry, "before").status_ == 200);
        std::uint32_t shard = shardOf(makeCallKey({ "rede" }, { "labels" }, { "before" }), shardCount);
        deployment.controlPlatform({ { "trim_stream", "ledger-" + std::to_string(shard) }, { "trim_to", 1 } });
        // The outcome is still kept, and it alone answers a repeat.
        auto repeat = confirm(deployment.node("bento-c-1").callers_, "before");
        CHECK(repeat.isReplayed_);
        CHECK(executionsOf(deployment, "before") == 1);
    }
}

TEST_CASE("a service's lost answer is unknown, and its refusal is not run")
{
    Deployment deployment(serviceOptions());
    deployment.applyCatalogue(Deployment::standardCatalogue());
    Endpoint entry = deployment.node("caxias-b-1").callers_;

    SECTION("lost after it ran: told unknown, never repeated")
    {
        controlServices(deployment, { { "lose_answers", 1 } });
        auto result = confirm(entry, "lost-answer");
        CHECK(result.status_ == 409);
        REQUIRE(result.error_);
        CHECK(result.error_->ran_ == Ran::Unknown);
        CHECK(confirm(deployment.node("bento-c-1").callers_, "lost-answer").status_ == 409);
        CHECK(executionsOf(deployment, "lost-answer") == 1);
    }
    SECTION("refused before it ran: another backend server runs it")
    {
        Deployment::control(deployment.services()[1].endpoint_, { { "leaving", 1 } });
        auto result = confirm(entry, "refused");
        CHECK(result.status_ == 200);
        CHECK(executionsOf(deployment, "refused") == 1);
    }
    SECTION("no backend server is left: not run, and free for a repeat")
    {
        controlServices(deployment, { { "leaving", 1 } });
        auto result = confirm(entry, "nobody");
        CHECK(reportsNotRun(result));
        CHECK(executionsOf(deployment, "nobody") == 0);
    }
    SECTION("a call that may be repeated is repeated when its answer is lost")
    {
        controlServices(deployment, { { "lose_answers", 1 } });
        auto result = callService(entry, Deployment::apiKey("rede"), "records/outfall/7", "", "");
        CHECK(result.status_ == 200);
    }
}
