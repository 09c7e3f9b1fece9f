//===- benchmarks/FloodBenchmark.cpp - paid latency under trial load ------===//
///
/// \file
/// Paid requests arrive at a constant mean rate, first alone and then together with
/// trial requests at ten times the capacity of the engines. Exits 1 if the trial load
/// raises the p99 time to first token of paid requests past its bound, or if a paid
/// request is rejected or fails.
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
/// Answers per second that the engines can complete.
constexpr double capacity = static_cast<double>(engines * slotsPerEngine) * 1e6 / static_cast<double>(tokensPerAnswer * microsPerToken);
/// Offered load of each class, relative to the capacity.
constexpr double paidLoad = 0.5;
constexpr double trialLoad = 10;
/// Upper bound on the p99 time to first token of paid requests under trial load, as a
/// multiple of the p99 without trial load.
constexpr double maxLatencyRatio = 1.05;
/// Latency in milliseconds that the machine itself may add under this load; the bound is
/// raised by it.
constexpr double noiseMs = 5;

/// Counts and latencies, in milliseconds, of the answers to one class of requests.
struct AnswerStats {
    std::vector<double> timesToFirstTokenMs_;
    std::vector<double> fullAnswerTimesMs_;
    std::size_t answered_ = 0;
    std::size_t rejected_ = 0;
    std::size_t failed_ = 0;

    void add(const Answer& answer, SteadyTime startedAt)
    {
        if (!answer.isDone_) {
            if (answer.error_ && answer.error_->ran_ != Ran::No)
                std::printf("failed: %s\n", describe(*answer.error_).c_str());
            ++(answer.error_ && answer.error_->ran_ == Ran::No ? rejected_ : failed_);
            return;
        }
        ++answered_;
        timesToFirstTokenMs_.push_back(static_cast<double>(answer.timeToFirstToken_.count()));
        fullAnswerTimesMs_.push_back(std::chrono::duration<double, std::milli>(steadyNow() - startedAt).count());
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
    stats.add(answer, startedAt);
}

/// Sends requests as a Poisson process with mean rate \p perSecond, independent of the
/// answers, until \p endTime.
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
    std::printf("%-28s | %8zu %8zu %6zu | %8.0f %8.0f %8.0f | %8.0f\n", name, stats.answered_, stats.rejected_, stats.failed_, percentile(stats.timesToFirstTokenMs_, 0.5),
        percentile(stats.timesToFirstTokenMs_, 0.95), percentile(stats.timesToFirstTokenMs_, 0.99), percentile(stats.fullAnswerTimesMs_, 0.5));
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t paidReserve = 1;
    CLI::App app { "Measures the latency of paid requests under a flood of trial requests." };
    app.add_option("--paid-reserve", paidReserve, "Slots of each engine that are reserved for paid requests")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    DeploymentOptions options;
    options.nodesPerDataCentre_ = 1;
    options.enginesPerDataCentre_ = { { "planogram", engines / 3 } };
    options.engineArguments_ = { "--decode_us", std::to_string(microsPerToken), "--slots", std::to_string(slotsPerEngine) };
    options.nodeSettings_ = "logs:\n  level: error\n";
    Deployment deployment(options);
    deployment.applyCatalogue(catalogue(paidReserve));
    constexpr milliseconds warmUp { 3000 };
    constexpr milliseconds duration { 20000 };
    (void)run(deployment, false, warmUp);
    RunResult baseline = run(deployment, false, duration);
    RunResult flooded = run(deployment, true, duration);
    std::printf("%-28s | %8s %8s %6s | %8s %8s %8s | %8s\n", "", "answered", "rejected", "failed", "ttft p50", "ttft p95", "ttft p99", "all p50");
    print("paid alone", baseline.paid_);
    print("paid under trial load", flooded.paid_);
    print("trials", flooded.trial_);
    std::printf("capacity %.0f answers/s, paid %.0f/s, trials %.0f/s\n", capacity, paidLoad * capacity, trialLoad * capacity);
    std::printf("trials yielded %.0f times, %.0f tokens were computed again\n", deployment.metricOfAll("trials_yielded_total"), deployment.metricOfAll("tokens_recomputed_total"));
    double baselineP99 = percentile(baseline.paid_.timesToFirstTokenMs_, 0.99);
    double floodedP99 = percentile(flooded.paid_.timesToFirstTokenMs_, 0.99);
    bool isWithin = floodedP99 <= baselineP99 * maxLatencyRatio + noiseMs && !flooded.paid_.rejected_ && !flooded.paid_.failed_;
    std::printf("paid time to first token p99: %.0f ms alone, %.0f ms under trial load: %s\n", baselineP99, floodedP99, isWithin ? "within its bound" : "past its bound");
    return isWithin ? 0 : 1;
}
