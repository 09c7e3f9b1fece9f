//===- benchmarks/PathBenchmark.cpp - overhead of the request path --------===//
///
/// \file
/// Compares streams through entry, dispatcher and engine stand-in with streams from
/// the stand-in directly, in one run, at several numbers of concurrent streams.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"
#include "Percentile.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdio>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr std::uint64_t tokensPerAnswer = 20;
constexpr int clientThreads = 2;

/// Times in milliseconds of the answers in one measurement, and its duration in seconds.
struct Timing {
    std::vector<double> timesToFirstTokenMs_;
    std::vector<double> fullAnswerTimesMs_;
    double seconds_ = 0;
    std::size_t failures_ = 0;
};

double elapsedMs(SteadyTime startedAt)
{
    return std::chrono::duration<double, std::milli>(steadyNow() - startedAt).count();
}

/// Requests one answer from the stand-in directly and sets both times. Returns whether
/// the answer is complete.
asio::awaitable<bool> callEngine(Endpoint engine, std::string id, double& firstTokenMs, double& fullAnswerMs)
{
    SteadyTime startedAt = steadyNow();
    boost::json::object body;
    body["request"] = id;
    body["attempt"] = 1;
    body["prompt"] = id;
    body["prefix"] = boost::json::array {};
    body["max_tokens"] = tokensPerAnswer;
    HttpRequest request { "POST", "/v1/generate", {}, boost::json::serialize(body) };
    auto opened = co_await openHttp(engine, std::move(request), milliseconds(20000));
    if (!opened)
        co_return false;
    std::size_t lines = 0;
    for (;;) {
        auto line = co_await opened.value()->readLine(milliseconds(20000));
        if (!line)
            co_return false;
        if (!line.value())
            break;
        if (!lines++)
            firstTokenMs = elapsedMs(startedAt);
    }
    fullAnswerMs = elapsedMs(startedAt);
    opened.value()->cancel();
    co_return lines == tokensPerAnswer + 1;
}

asio::awaitable<bool> callSystem(Endpoint entry, std::string id, double& firstTokenMs, double& fullAnswerMs)
{
    SteadyTime startedAt = steadyNow();
    Completion completion { Deployment::apiKey("rede"), "planogram", id, tokensPerAnswer };
    Answer answer = co_await streamCompletion(entry, completion);
    firstTokenMs = static_cast<double>(answer.timeToFirstToken_.count());
    fullAnswerMs = elapsedMs(startedAt);
    co_return answer.isDone_;
}

using Call = std::function<asio::awaitable<bool>(std::size_t, double&, double&)>;

Timing run(std::size_t concurrency, std::size_t total, const Call& call)
{
    Timing timing;
    timing.timesToFirstTokenMs_.resize(total);
    timing.fullAnswerTimesMs_.resize(total);
    std::atomic<std::size_t> next { 0 };
    std::atomic<std::size_t> failures { 0 };
    asio::io_context io;
    for (std::size_t worker = 0; worker < concurrency; ++worker) {
        auto task = [&]() -> asio::awaitable<void> {
            for (std::size_t i = next++; i < total; i = next++) {
                bool hasSucceeded = co_await call(i, timing.timesToFirstTokenMs_[i], timing.fullAnswerTimesMs_[i]);
                failures += hasSucceeded ? 0 : 1;
            }
        };
        asio::co_spawn(asio::make_strand(io), task, asio::detached);
    }
    SteadyTime startedAt = steadyNow();
    std::vector<std::thread> threads;
    for (int i = 0; i < clientThreads; ++i)
        threads.emplace_back([&] { io.run(); });
    for (std::thread& thread : threads)
        thread.join();
    timing.seconds_ = elapsedMs(startedAt) / 1000;
    timing.failures_ = failures;
    return timing;
}

} // namespace

int main()
{
    DeploymentOptions options;
    options.nodesPerDataCentre_ = 1;
    options.enginesPerDataCentre_ = { { "planogram", 2 } };
    options.engineArguments_ = { "--decode_us", "5000", "--slots", "2000", "--prefill_us", "0" };
    options.nodeSettings_ = "logs:\n  level: warn\n";
    Deployment deployment(options);
    std::string catalogue = Deployment::standardCatalogue();
    std::string from = "name: planogram\nkind: engine\nconcurrency: 64";
    catalogue.replace(catalogue.find(from), from.size(), "name: planogram\nkind: engine\nconcurrency: 2000");
    deployment.applyCatalogue(catalogue);

    std::printf("answers of %lu tokens, 5 ms a token; three nodes and six engines on one machine\n", static_cast<unsigned long>(tokensPerAnswer));
    std::printf("%8s %8s | %9s %9s | %9s %9s | %9s %9s | %8s\n", "streams", "", "req/s", "failed", "ttft p50", "ttft p99", "all p50", "all p99", "MiB/node");
    bool isWithinBounds = true;
    for (std::size_t concurrency : { std::size_t { 1 }, std::size_t { 64 }, std::size_t { 1000 } }) {
        std::size_t total = std::max<std::size_t>(30, concurrency * 4);
        Call direct = [&](std::size_t i, double& firstTokenMs, double& fullAnswerMs) {
            return callEngine(deployment.engines()[i % 6].endpoint_, "direct-" + std::to_string(concurrency) + "-" + std::to_string(i), firstTokenMs, fullAnswerMs);
        };
        Call viaSystem = [&](std::size_t i, double& firstTokenMs, double& fullAnswerMs) {
            return callSystem(deployment.nodes()[i % 3].callers_, "through-" + std::to_string(concurrency) + "-" + std::to_string(i), firstTokenMs, fullAnswerMs);
        };
        Timing engine = run(concurrency, total, direct);
        Timing system = run(concurrency, total, viaSystem);
        double memory = static_cast<double>(deployment.nodes()[0].process_->residentMemory().value_) / 1024 / 1024;
        auto print = [&](const char* name, const Timing& timing, double nodeMemory) {
            std::printf("%8zu %8s | %9.0f %9zu | %9.1f %9.1f | %9.1f %9.1f | %8.1f\n", concurrency, name, static_cast<double>(total) / timing.seconds_, timing.failures_, percentile(timing.timesToFirstTokenMs_, 0.5), percentile(timing.timesToFirstTokenMs_, 0.99), percentile(timing.fullAnswerTimesMs_, 0.5), percentile(timing.fullAnswerTimesMs_, 0.99), nodeMemory);
        };
        print("engine", engine, 0);
        print("system", system, memory);
        double ratio = percentile(system.fullAnswerTimesMs_, 0.5) / percentile(engine.fullAnswerTimesMs_, 0.5);
        // The bounds are wide because clients, nodes and engines share one machine.
        double maxRatio = concurrency < 1000 ? 2 : 6;
        bool hasSucceeded = ratio <= maxRatio && !system.failures_;
        isWithinBounds &= hasSucceeded;
        std::printf("  bound: time of the whole answer, system against engine, is %.2f, at most %.1f: %s\n", ratio, maxRatio, hasSucceeded ? "ok" : "FAILED");
        std::fflush(stdout);
    }
    return isWithinBounds ? 0 : 1;
}
