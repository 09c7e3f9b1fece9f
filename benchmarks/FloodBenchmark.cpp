//===- benchmarks/FloodBenchmark.cpp - paid work beside a flood of trials --===//
///
/// \file
/// Paid callers arrive at a steady rate, first alone and then while trials ask
/// for ten times what the engines can do. Exits 1 when the flood moves the
/// paid callers' first token past its bound.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"
#include "Percentile.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio.hpp>
#include <cstdio>
#include <random>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr std::uint64_t tokensPerAnswer = 40;
constexpr std::uint64_t microsPerToken = 10000;
constexpr std::uint64_t slotsPerEngine = 4;
constexpr std::size_t engines = 6;
/// Answers a second that the engines can give.
constexpr double capacity = static_cast<double>(engines * slotsPerEngine) * 1e6 / static_cast<double>(tokensPerAnswer * microsPerToken);
constexpr double paidLoad = 0.5;
constexpr double trialLoad = 10;
/// The p99 of paid first tokens with the flood, against without it.
constexpr double maxGrowth = 1.05;
/// What the machine itself adds when it is this busy.
constexpr double noiseMs = 5;

struct AnswerStats {
    std::vector<double> firstToken_;
    std::vector<double> fullAnswer_;
    std::size_t answered_ = 0;
    std::size_t rejected_ = 0;
    std::size_t failed_ = 0;

    void count(const Answer& answer, SteadyTime startedAt)
    {
        if (!answer.isDone_) {
            if (answer.error_ && answer.error_->ran_ != Ran::No)
                std::printf("failed: %s\n", describe(*answer.error_).c_str());
            ++(answer.error_ && answer.error_->ran_ == Ran::No ? rejected_ : failed_);
            return;
        }
        ++answered_;
        firstToken_.push_back(static_cast<double>(answer.firstToken_.count()));
        fullAnswer_.push_back(std::chrono::duration<double, std::milli>(steadyNow() - startedAt).count());
    }
};

std::string catalogue(std::uint64_t paidReserve)
{
    auto workload = [](const std::string& name, const std::string& serviceClass, int queueBound) {
        return "name: " + name + "\nkind: workload\nowner: " + name + "\nclass: " + serviceClass + "\napi_key_sha256: " + sha256Hex(Deployment::apiKey(name))
            + "\nmodels: [planogram]\nlimits:\n  requests_in_progress: 6000\n  queue_bound: " + std::to_string(queueBound) + "\n  deadline: 20s\n---\n";
    };
    return workload("rede", "paid", 50) + workload("visitante", "trial", 8) + "name: planogram\nkind: engine\npaid_reserve: " + std::to_string(paidReserve) + "\nconcurrency: " + std::to_string(slotsPerEngine) + "\n";
}

asio::awaitable<void> sendRequest(Endpoint entry, std::string entryName, std::string prompt, AnswerStats& stats)
{
    SteadyTime startedAt = steadyNow();
    Completion completion { Deployment::apiKey(entryName), "planogram", prompt, tokensPerAnswer };
    Answer answer = co_await streamCompletion(entry, completion);
    stats.count(answer, startedAt);
}

/// Arrivals at \p perSecond, independent of the answers.
asio::awaitable<void> generateArrivals(std::vector<Endpoint> entries, std::string entryName, double perSecond, SteadyTime endTime, AnswerStats& stats)
{
    auto executor = co_await asio::this_coro::executor;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> gap(perSecond);
    SteadyTimer timer(executor, steadyNow());
    for (std::size_t i = 0; timer.expiry() < endTime; ++i) {
        timer.expires_at(timer.expiry() + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap(random))));
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(executor, sendRequest(entries[i % entries.size()], entryName, entryName + " " + std::to_string(i), stats), asio::detached);
    }
}

struct RunResult {
    AnswerStats paid_;
    AnswerStats trial_;
};

RunResult run(Deployment& deployment, bool hasFlood, milliseconds duration)
{
    RunResult result;
    auto entries = deployment.callerEndpoints();
    SteadyTime endTime = steadyNow() + duration;
    asio::io_context paid;
    asio::io_context trials;
    asio::co_spawn(paid, generateArrivals(entries, "rede", paidLoad * capacity, endTime, result.paid_), asio::detached);
    if (hasFlood)
        asio::co_spawn(trials, generateArrivals(entries, "visitante", trialLoad * capacity, endTime, result.trial_), asio::detached);
    std::thread flood([&] { trials.run(); });
    paid.run();
    flood.join();
    return result;
}

void print(const char* name, const AnswerStats& stats)
{
    std::printf("%-28s | %8zu %8zu %6zu | %8.0f %8.0f %8.0f | %8.0f\n", name, stats.answered_, stats.rejected_, stats.failed_, percentile(stats.firstToken_, 0.5),
        percentile(stats.firstToken_, 0.95), percentile(stats.firstToken_, 0.99), percentile(stats.fullAnswer_, 0.5));
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t paidReserve = 1;
    CLI::App app { "Measures paid work beside a flood of trials." };
    app.add_option("--paid-reserve", paidReserve, "Slots of each engine that trials leave to paid work")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    DeploymentOptions options;
    options.nodesPerDataCentre_ = 1;
    options.enginesPerDataCentre_ = { { "planogram", engines / 3 } };
    options.engineArguments_ = { "--decode_us", std::to_string(microsPerToken), "--slots", std::to_string(slotsPerEngine) };
    options.settings_ = "logs:\n  level: error\n";
    Deployment deployment(options);
    deployment.applyCatalogue(catalogue(paidReserve));
    constexpr milliseconds warmUp { 3000 };
    constexpr milliseconds duration { 20000 };
    (void)run(deployment, false, warmUp);
    RunResult baseline = run(deployment, false, duration);
    RunResult flooded = run(deployment, true, duration);
    std::printf("%-28s | %8s %8s %6s | %8s %8s %8s | %8s\n", "", "answered", "refused", "failed", "first50", "first95", "first99", "whole50");
    print("paid alone", baseline.paid_);
    print("paid beside the flood", flooded.paid_);
    print("trials", flooded.trial_);
    std::printf("capacity %.0f answers/s, paid %.0f/s, trials %.0f/s\n", capacity, paidLoad * capacity, trialLoad * capacity);
    std::printf("trials yielded %.0f times, %.0f tokens were computed again\n", deployment.metricOfAll("trials_yielded_total"), deployment.metricOfAll("tokens_recomputed_total"));
    double baselineP99 = percentile(baseline.paid_.firstToken_, 0.99);
    double floodedP99 = percentile(flooded.paid_.firstToken_, 0.99);
    bool isWithin = floodedP99 <= baselineP99 * maxGrowth + noiseMs && !flooded.paid_.rejected_ && !flooded.paid_.failed_;
    std::printf("paid first token p99: %.0f ms alone, %.0f ms beside the flood: %s\n", baselineP99, floodedP99, isWithin ? "within its bound" : "past its bound");
    return isWithin ? 0 : 1;
}
