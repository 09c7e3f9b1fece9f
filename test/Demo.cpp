//===- test/Demo.cpp - end-to-end demonstration ---------------------------===//
///
/// \file
/// Starts stand-ins and nine daemons in three data centres, publishes a
/// catalogue with pistachioloomctl, and sends a planogram draft, a store manager's
/// question and a price-tag confirmation through different entry VMs.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"

#include <csignal>
#include <iostream>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr milliseconds stopTimeout { 30000 };

void require(bool isSatisfied, const std::string& step, const std::string& peer, const std::string& reason)
{
    if (!isSatisfied)
        throw std::runtime_error("step '" + step + "' with " + peer + ": " + reason);
}

double meanTokenGapMs(const Answer& answer)
{
    double sum = 0;
    for (auto gap : answer.tokenGaps_)
        sum += static_cast<double>(gap.count()) / 1000;
    return answer.tokenGaps_.empty() ? 0 : sum / static_cast<double>(answer.tokenGaps_.size());
}

void showHops(Deployment& deployment, Deployment::NodeProcess& node, const std::string& requestId)
{
    auto [code, output] = deployment.runTool(node, { "trace", requestId });
    require(!code, "trace", node.id_, output);
    std::cout << "  hops:\n"
              << output;
    auto [explained, candidates] = deployment.runTool(node, { "explain", requestId });
    if (!explained)
        std::cout << "  candidates:\n"
                  << candidates;
}

void generate(Deployment& deployment, std::size_t nodeIndex, const std::string& title, const Completion& completion)
{
    auto& node = deployment.nodes()[nodeIndex];
    std::cout << "\n== " << title << " through " << node.id_ << '\n';
    Answer answer = streamCompletionBlocking(node.callers_, completion);
    require(answer.isDone_, title, node.id_, answer.error_ ? describe(*answer.error_) : "incomplete answer");
    require(checkAnswer(answer, completion).empty(), title, node.id_, checkAnswer(answer, completion));
    std::cout << "  answer: " << answer.text().substr(0, 60) << "... (" << answer.tokens_.size() << " tokens)\n";
    std::cout << "  engine " << answer.engine_ << ", first token " << answer.timeToFirstToken_.count() << " ms, between tokens " << meanTokenGapMs(answer) << " ms\n";
    showHops(deployment, node, answer.requestId_);
}

void confirm(Deployment& deployment, std::size_t nodeIndex)
{
    auto& node = deployment.nodes()[nodeIndex];
    std::cout << "\n== price-tag confirmation through " << node.id_ << '\n';
    auto result = callService(node.callers_, Deployment::apiKey("rede"), "labels/confirm", "order-4711", R"({"tag":"A-17"})");
    require(result.status_ == 200, "price-tag confirmation", node.id_, result.error_ ? describe(*result.error_) : "no answer");
    std::cout << "  answer: " << result.body_ << '\n';
    auto secondResult = callService(deployment.nodes()[(nodeIndex + 4) % 9].callers_, Deployment::apiKey("rede"), "labels/confirm", "order-4711", R"({"tag":"A-17"})");
    require(secondResult.isReplayed_ && secondResult.body_ == result.body_, "repeated confirmation", node.id_, "expected the stored answer");
    std::cout << "  repeated elsewhere: the stored answer, not run again\n";
}

void stopAll(Deployment& deployment)
{
    for (auto& node : deployment.nodes())
        node.process_->signal(SIGTERM);
    for (auto& node : deployment.nodes())
        require(!node.process_->wait(stopTimeout), "graceful stop", node.id_, "did not exit with 0");
    std::cout << "\nall " << deployment.nodes().size() << " nodes drained and stopped\n";
}

void run()
{
    DeploymentOptions options;
    options.enginesPerDataCentre_ = { { "planogram", 2 }, { "store", 1 } };
    options.servicesPerDataCentre_ = 1;
    options.nodeSettings_ = "drain:\n  balancer_grace: 200ms\nlogs:\n  level: info\n";
    std::cout << "starting stand-ins and nine nodes in three data centres" << std::endl;
    Deployment deployment(options);
    deployment.applyCatalogue(Deployment::standardCatalogue());
    std::cout << "catalogue is in force on every node\n"
              << deployment.runTool(deployment.nodes().front(), { "catalogue", "list" }).second;
    generate(deployment, 0, "planogram draft", { Deployment::apiKey("rede"), "planogram", "Draft the beverage wall for store 112, 9 shelves.", 200 });
    generate(deployment, 4, "store manager's question", { Deployment::apiKey("rede"), "store", "How many facings for SKU 8812?", 12 });
    confirm(deployment, 8);
    stopAll(deployment);
}

} // namespace

int main()
{
    try {
        run();
    } catch (const std::exception& failure) {
        std::cerr << "demo failed: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
