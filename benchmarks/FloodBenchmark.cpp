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
constexpr double paidPart = 0.5;
constexpr double floodFactor = 10;
/// The p99 of paid first tokens with the flood, against without it.
constexpr double mostGrowth = 1.05;
/// What the machine itself adds when it is this busy.
constexpr double noiseMs = 5;

struct Tally {
    std::vector<double> timeToFirstToken_;
    std::vector<double> whole_;
    std::size_t answered_ = 0;
    std::size_t refused_ = 0;
    std::size_t failed_ = 0;

    void count(const Answer& answer, SteadyTime began)
    {
        if (!answer.isDone_) {
            if (answer.error_ && answer.error_->ran_ != Ran::No)
                std::printf("failed: %s\n", describe(*answer.error_).c_str());
            ++(answer.error_ && answer.error_->ran_ == Ran::No ? refused_ : failed_);
            return;
        }
        ++answered_;
        timeToFirstToken_.push_back(static_cast<double>(answer.timeToFirstToken_.count()));
        whole_.push_back(std::chrono::duration<double, std::milli>(steadyNow() - began).count());
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

asio::awaitable<void> askOnce(Endpoint entry, std::string entryName, std::string prompt, Tally& tally)
{
    SteadyTime began = steadyNow();
    Completion completion { Deployment::apiKey(entryName), "planogram", prompt, tokensPerAnswer };
    Answer answer = co_await streamCompletion(entry, completion);
    tally.count(answer, began);
}

/// Arrivals at \p perSecond, independent of the answers.
asio::awaitable<void> arrive(std::vector<Endpoint> entries, std::string entryName, double perSecond, SteadyTime until, Tally& tally)
{
    auto executor = co_await asio::this_coro::executor;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> gap(perSecond);
    SteadyTimer timer(executor, steadyNow());
    for (std::size_t i = 0; timer.expiry() < until; ++i) {
        timer.expires_at(timer.expiry() + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap(random))));
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(executor, askOnce(entries[i % entries.size()], entryName, entryName + " " + std::to_string(i), tally), asio::detached);
    }
}

struct Outcome {
    Tally paid_;
    Tally trial_;
};

Outcome run(Deployment& deployment, bool hasFlood, milliseconds lasts)
{
    Outcome outcome;
    auto entries = deployment.callerEndpoints();
    SteadyTime until = steadyNow() + lasts;
    asio::io_context paid;
    asio::io_context trials;
    asio::co_spawn(paid, arrive(entries, "rede", paidPart * capacity, until, outcome.paid_), asio::detached);
    if (hasFlood)
        asio::co_spawn(trials, arrive(entries, "visitante", floodFactor * capacity, until, outcome.trial_), asio::detached);
    std::thread flood([&] { trials.run(); });
    paid.run();
    flood.join();
    return outcome;
}

void print(const char* name, const Tally& tally)
{
    std::printf("%-28s | %8zu %8zu %6zu | %8.0f %8.0f %8.0f | %8.0f\n", name, tally.answered_, tally.refused_, tally.failed_, percentile(tally.timeToFirstToken_, 0.5),
        percentile(tally.timeToFirstToken_, 0.95), percentile(tally.timeToFirstToken_, 0.99), percentile(tally.whole_, 0.5));
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
    constexpr milliseconds lasts { 20000 };
    (void)run(deployment, false, warmUp);
    Outcome alone = run(deployment, false, lasts);
    Outcome flooded = run(deployment, true, lasts);
    std::printf("%-28s | %8s %8s %6s | %8s %8s %8s | %8s\n", "", "answered", "refused", "failed", "first50", "first95", "first99", "whole50");
    print("paid alone", alone.paid_);
    print("paid beside the flood", flooded.paid_);
    print("trials", flooded.trial_);
    std::printf("capacity %.0f answers/s, paid %.0f/s, trials %.0f/s\n", capacity, paidPart * capacity, floodFactor * capacity);
    std::printf("trials yielded %.0f times, %.0f tokens were computed again\n", deployment.metricOfAll("trials_yielded_total"), deployment.metricOfAll("tokens_recomputed_total"));
    double before = percentile(alone.paid_.timeToFirstToken_, 0.99);
    double after = percentile(flooded.paid_.timeToFirstToken_, 0.99);
    bool isWithin = after <= before * mostGrowth + noiseMs && !flooded.paid_.refused_ && !flooded.paid_.failed_;
    std::printf("paid first token p99: %.0f ms alone, %.0f ms beside the flood: %s\n", before, after, isWithin ? "within its bound" : "past its bound");
    return isWithin ? 0 : 1;
}
