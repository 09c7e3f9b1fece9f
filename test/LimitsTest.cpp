//===- test/LimitsTest.cpp - limits across nodes and data centres ---------===//
///
/// \file
/// An organisation's limits hold over all nodes together, and the full limit can be
/// used from any data centre.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr std::uint64_t maxInProgress = 30;
constexpr std::uint64_t tokensPerSecond = 2000;
// A busy machine may need several rounds of load to reach the full limit, so it is
// enough that one round reaches it. The limit must hold in every round.
constexpr int maxRounds = 4;

std::string limitedCatalogue(const std::string& limits)
{
    return "name: rede\nkind: workload\nowner: rede\nclass: paid\napi_key_sha256: " + sha256Hex(Deployment::apiKey("rede"))
        + "\nmodels: [planogram]\nlimits:\n" + limits + "  queue_bound: 2000\n  deadline: 60s\n---\n"
        + "name: planogram\nkind: engine\nconcurrency: 64\n";
}

DeploymentOptions sixNodeOptions()
{
    DeploymentOptions options;
    options.nodesPerDataCentre_ = 2;
    options.engineArguments_ = { "--decode_us", "5000", "--slots", "64" };
    return options;
}

/// Runs callers at several entry VMs. Each sends its next request as soon as the previous one
/// is answered, or 50 ms after a rejection or failure, until the duration is over.
struct LoadGenerator {
    std::vector<Endpoint> entries_;
    std::size_t callerCount_ = 0;
    std::uint64_t tokensPerRequest_ = 0;
    milliseconds duration_ {};

    struct Outcome {
        std::size_t answered_ = 0;
        std::size_t rejected_ = 0;
        std::size_t failed_ = 0;
        std::uint64_t tokens_ = 0;
    };

    Outcome run() const
    {
        asio::io_context io;
        Outcome outcome;
        SteadyTime deadline = steadyNow() + duration_;
        for (std::size_t i = 0; i < callerCount_; ++i)
            asio::co_spawn(io, caller(entries_[i % entries_.size()], i, deadline, outcome), asio::detached);
        io.run();
        return outcome;
    }

private:
    asio::awaitable<void> caller(Endpoint entry, std::size_t number, SteadyTime deadline, Outcome& outcome) const
    {
        SteadyTimer timer(co_await asio::this_coro::executor);
        while (steadyNow() < deadline) {
            Completion completion { Deployment::apiKey("rede"), "planogram", "crowd " + std::to_string(number), tokensPerRequest_ };
            Answer answer = co_await streamCompletion(entry, completion);
            outcome.tokens_ += answer.tokens_.size();
            if (answer.isDone_) {
                ++outcome.answered_;
                continue;
            }
            ++(answer.status_ == 429 ? outcome.rejected_ : outcome.failed_);
            timer.expires_after(milliseconds(50));
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
};

std::uint64_t inProgress(Deployment& deployment)
{
    std::uint64_t sum = 0;
    for (auto& engine : deployment.engines())
        sum += numberField(Deployment::control(engine.endpoint_), "active");
    return sum;
}

/// Number of requests that all nodes except \p excluded count as in progress. Engines
/// may temporarily work on more, namely on streams whose dispatcher is frozen.
std::uint64_t admitted(Deployment& deployment, const std::string& excluded)
{
    std::uint64_t sum = 0;
    for (auto& node : deployment.nodes()) {
        auto listed = node.id_ == excluded ? boost::json::value {} : deployment.query(node, "/limits");
        for (const auto& line : listed.is_object() ? objectsField(listed.as_object(), "entries") : std::vector<boost::json::object> {})
            sum += numberField(line, "in_progress");
    }
    return sum;
}

} // namespace

TEST_CASE("a limit on requests in progress holds over all data centres and can be used from one")
{
    bool usesOneDataCentre = GENERATE(true, false);
    INFO((usesOneDataCentre ? "from one data centre" : "from all"));
    Deployment deployment(sixNodeOptions());
    deployment.applyCatalogue(limitedCatalogue("  requests_in_progress: " + std::to_string(maxInProgress) + "\n"));
    auto entries = deployment.callerEndpoints();
    if (usesOneDataCentre)
        entries.resize(2);
    LoadGenerator load { entries, 90, 100, milliseconds(8000) };
    std::uint64_t peak = 0;
    for (int round = 0; round < maxRounds && peak < maxInProgress * 9 / 10; ++round) {
        std::atomic<bool> isOver { false };
        std::thread watcher([&] {
            while (!isOver)
                peak = std::max(peak, inProgress(deployment));
        });
        auto outcome = load.run();
        isOver = true;
        watcher.join();
        WARN((usesOneDataCentre ? "from one: " : "from all: ") << peak << " concurrent of " << maxInProgress << ", " << outcome.answered_ << " answered, " << outcome.rejected_ << " rejected");
        CHECK(outcome.failed_ == 0);
    }
    CHECK(peak <= maxInProgress);
    CHECK(peak >= maxInProgress * 9 / 10);
}

TEST_CASE("a limit on tokens per second holds over all nodes and can be used from one data centre")
{
    bool usesOneDataCentre = GENERATE(true, false);
    INFO((usesOneDataCentre ? "from one data centre" : "from all"));
    Deployment deployment(sixNodeOptions());
    deployment.applyCatalogue(limitedCatalogue("  requests_in_progress: 300\n  tokens_per_second: " + std::to_string(tokensPerSecond) + "\n  burst: " + std::to_string(tokensPerSecond) + "\n"));
    auto entries = deployment.callerEndpoints();
    if (usesOneDataCentre)
        entries.resize(2);
    constexpr std::uint64_t seconds = 8;
    LoadGenerator load { entries, 120, 40, milliseconds(seconds * 1000) };
    double rate = 0;
    for (int round = 0; round < maxRounds && rate < 0.85 * tokensPerSecond; ++round) {
        SteadyTime startedAt = steadyNow();
        auto outcome = load.run();
        double elapsed = std::chrono::duration<double>(steadyNow() - startedAt).count();
        rate = static_cast<double>(outcome.tokens_ - std::min(outcome.tokens_, tokensPerSecond)) / elapsed;
        WARN((usesOneDataCentre ? "from one: " : "from all: ") << rate << " tokens per second beyond the burst, of " << tokensPerSecond);
        CHECK(outcome.failed_ == 0);
        // Only entire requests are admitted, so at the end slightly more tokens than the
        // limit allows may be in progress.
        CHECK(rate <= 1.1 * tokensPerSecond);
    }
    CHECK(rate >= 0.85 * tokensPerSecond);
}

TEST_CASE("a limit is exceeded by at most one share when its coordinator is frozen and replaced")
{
    auto options = sixNodeOptions();
    options.nodesPerDataCentre_ = 3;
    Deployment deployment(options);
    deployment.applyCatalogue(limitedCatalogue("  requests_in_progress: " + std::to_string(maxInProgress) + "\n"));
    auto listed = deployment.query(deployment.node("caxias-a-1"), "/limits");
    std::string coordinatorId = textField(objectsField(listed.as_object(), "entries").front(), "keeper");
    auto& coordinator = deployment.node(coordinatorId);
    std::vector<Endpoint> entries;
    for (auto& node : deployment.nodes()) {
        if (node.id_ != coordinatorId)
            entries.push_back(node.callers_);
    }
    LoadGenerator load { entries, 80, 100, milliseconds(14000) };
    std::atomic<bool> isOver { false };
    std::uint64_t peak = 0;
    SteadyTime startedAt = steadyNow();
    std::thread watcher([&] {
        bool isFrozen = false;
        bool isResumed = false;
        while (!isOver) {
            auto sinceStart = steadyNow() - startedAt;
            if (!isFrozen && sinceStart > milliseconds(2000)) {
                coordinator.process_->freeze();
                isFrozen = true;
            }
            if (!isResumed && sinceStart > milliseconds(8000)) {
                coordinator.process_->resume();
                isResumed = true;
            }
            peak = std::max(peak, admitted(deployment, coordinatorId));
        }
    });
    auto outcome = load.run();
    isOver = true;
    watcher.join();
    WARN(peak << " concurrent of " << maxInProgress << ", " << outcome.answered_ << " answered, " << outcome.failed_ << " failed");
    CHECK(peak <= maxInProgress + maxInProgress / 3);
    CHECK(peak >= maxInProgress * 9 / 10);
    CHECK(outcome.answered_ > 200);
}
