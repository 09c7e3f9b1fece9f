//===- test/PartitionsTest.cpp - partitioned data centres -----------------------===//
///
/// \file
/// Checks what a data centre still serves while it is partitioned from the others,
/// from the platform, or from both, and that nothing runs twice after the partition
/// heals. Each row of the table in docs/OPERATIONS.md is a case here.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"

#include <catch2/catch.hpp>
#include <future>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr milliseconds answerTimeout { 40000 };

enum class Partition {
    FromOthers,
    FromPlatform,
    FromBoth,
};

struct Row {
    std::string name_;
    Partition partition_;
    bool canRunOnce_;
    bool canEdit_;
};

void setPartitioned(Deployment& deployment, Partition partition, bool isPartitioned)
{
    if (partition != Partition::FromPlatform)
        deployment.partitionDataCentre("bento-c", isPartitioned);
    if (partition == Partition::FromOthers)
        return;
    boost::json::array names;
    if (isPartitioned)
        names.emplace_back("bento-c");
    deployment.controlPlatform({ { "cut_data_centres", names } });
}

} // namespace

TEST_CASE("a partitioned data centre serves what it can and rejects the rest with a correct reason")
{
    auto row = GENERATE(values<Row>({
        { "from the other data centres", Partition::FromOthers, true, true },
        { "from the platform", Partition::FromPlatform, false, false },
        { "from both", Partition::FromBoth, false, false },
    }));
    INFO(row.name_);
    DeploymentOptions options;
    options.nodesPerDataCentre_ = 2;
    options.servicesPerDataCentre_ = 1;
    options.hasProxies_ = true;
    options.engineArguments_ = { "--decode_us", "4000" };
    options.nodeSettings_ = "replica:\n  takeover_grace: 400ms\n  owner_silence: 800ms\nledger:\n  append_timeout: 300ms\n  append_patience: 600ms\n";
    Deployment deployment(options);
    deployment.applyCatalogue(Deployment::standardCatalogue());
    auto& inside = deployment.node("bento-c-1");
    auto& outside = deployment.node("caxias-a-1");

    // Streamed answers that run during the partition, owned by nodes inside and outside the
    // partitioned data centre.
    std::vector<Completion> completions;
    std::vector<std::future<Answer>> streams;
    for (int i = 0; i < 6; ++i) {
        completions.push_back({ Deployment::apiKey("rede"), "planogram", "across " + std::to_string(i), 700 });
        std::vector<Endpoint> entries { i % 2 ? inside.callers_ : outside.callers_ };
        streams.push_back(std::async(std::launch::async, [=] { return streamToEndBlocking(entries, completions.back(), answerTimeout); }));
    }
    REQUIRE(waitUntil([&] { return deployment.metricOfAll("tokens_delivered_total") > 60; }));
    setPartitioned(deployment, row.partition_, true);

    Completion question { Deployment::apiKey("rede"), "planogram", "while partitioned", 20 };
    for (auto* node : { &inside, &outside }) {
        Answer answer = streamCompletionBlocking(node->callers_, question);
        INFO(node->id_ << (answer.error_ ? ": " + describe(*answer.error_) : std::string()));
        CHECK(answer.isDone_);
        CHECK(checkAnswer(answer, question) == "");
        auto lookup = callService(node->callers_, Deployment::apiKey("rede"), "records/outfall/3", "", "");
        CHECK(lookup.status_ == 200);
    }
    auto order = callService(inside.callers_, Deployment::apiKey("rede"), "labels/order", "cut-order", "{}");
    INFO("order: " << order.body_);
    if (row.canRunOnce_) {
        CHECK(order.status_ == 200);
    } else {
        CHECK(order.status_ == 503);
        REQUIRE(order.error_);
        CHECK(order.error_->ran_ == Ran::No);
        CHECK(order.error_->retryAfter_.count() > 0);
    }
    CHECK(callService(outside.callers_, Deployment::apiKey("rede"), "labels/order", "cut-order", "{}").status_ == 200);
    auto edited = deployment.runTool(inside, { "catalogue", "remove", "store" });
    CHECK((edited.first == 0) == row.canEdit_);

    setPartitioned(deployment, row.partition_, false);
    for (std::size_t i = 0; i < streams.size(); ++i) {
        Answer answer = streams[i].get();
        INFO("stream " << i << (answer.error_ ? ": " + describe(*answer.error_) : std::string()));
        CHECK(answer.isDone_);
        CHECK(checkAnswer(answer, completions[i]) == "");
    }
    // After the partition heals, the outcome of the service call is known everywhere, and
    // the call has run once.
    CHECK(waitUntil([&] { return callService(inside.callers_, Deployment::apiKey("rede"), "labels/order", "cut-order", "{}").status_ == 200; }));
    std::uint64_t executions = 0;
    for (auto& service : deployment.services())
        executions += numberField(Deployment::control(service.endpoint_).at("executions").as_object(), "cut-order");
    CHECK(executions == 1);
}
