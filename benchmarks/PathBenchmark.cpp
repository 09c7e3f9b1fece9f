//===- benchmarks/PathBenchmark.cpp - what the path adds -------------------===//
///
/// \file
/// Streams through entry, home and engine stand-in against the stand-in alone,
/// in one run, at several numbers of concurrent streams.
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

struct Timing {
    std::vector<double> timeToFirstToken_;
    std::vector<double> whole_;
    double seconds_ = 0;
    std::size_t failures_ = 0;
};

double sinceMs(SteadyTime began)
{
    return std::chrono::duration<double, std::milli>(steadyNow() - began).count();
}

/// One answer from the stand-in itself; fills in the two times.
asio::awaitable<bool> askEngine(Endpoint engine, std::string id, double& first, double& whole)
{
    SteadyTime began = steadyNow();
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
            first = sinceMs(began);
    }
    whole = sinceMs(began);
    opened.value()->cancel();
    co_return lines == tokensPerAnswer + 1;
}

asio::awaitable<bool> askSystem(Endpoint entry, std::string id, double& first, double& whole)
{
    SteadyTime began = steadyNow();
    Completion completion { Deployment::apiKey("rede"), "planogram", id, tokensPerAnswer };
    Answer answer = co_await streamCompletion(entry, completion);
    first = static_cast<double>(answer.timeToFirstToken_.count());
    whole = sinceMs(began);
    co_return answer.isDone_;
}

using Ask = std::function<asio::awaitable<bool>(std::size_t, double&, double&)>;

Timing run(std::size_t concurrency, std::size_t total, const Ask& ask)
{
    Timing timing;
    timing.timeToFirstToken_.resize(total);
    timing.whole_.resize(total);
    std::atomic<std::size_t> next { 0 };
    std::atomic<std::size_t> failures { 0 };
    asio::io_context io;
    for (std::size_t worker = 0; worker < concurrency; ++worker) {
        auto task = [&]() -> asio::awaitable<void> {
            for (std::size_t i = next++; i < total; i = next++) {
                bool isGood = co_await ask(i, timing.timeToFirstToken_[i], timing.whole_[i]);
                failures += isGood ? 0 : 1;
            }
        };
        asio::co_spawn(asio::make_strand(io), task, asio::detached);
    }
    SteadyTime began = steadyNow();
    std::vector<std::thread> threads;
    for (int i = 0; i < clientThreads; ++i)
        threads.emplace_back([&] { io.run(); });
    for (std::thread& thread : threads)
        thread.join();
    timing.seconds_ = sinceMs(began) / 1000;
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
    options.settings_ = "logs:\n  level: warn\n";
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
        Ask direct = [&](std::size_t i, double& first, double& whole) {
            return askEngine(deployment.engines()[i % 6].endpoint_, "direct-" + std::to_string(concurrency) + "-" + std::to_string(i), first, whole);
        };
        Ask through = [&](std::size_t i, double& first, double& whole) {
            return askSystem(deployment.nodes()[i % 3].callers_, "through-" + std::to_string(concurrency) + "-" + std::to_string(i), first, whole);
        };
        Timing engine = run(concurrency, total, direct);
        Timing system = run(concurrency, total, through);
        double memory = static_cast<double>(deployment.nodes()[0].process_->residentMemory().value_) / 1024 / 1024;
        auto print = [&](const char* name, const Timing& timing, double nodeMemory) {
            std::printf("%8zu %8s | %9.0f %9zu | %9.1f %9.1f | %9.1f %9.1f | %8.1f\n", concurrency, name, static_cast<double>(total) / timing.seconds_, timing.failures_, percentile(timing.timeToFirstToken_, 0.5), percentile(timing.timeToFirstToken_, 0.99), percentile(timing.whole_, 0.5), percentile(timing.whole_, 0.99), nodeMemory);
        };
        print("engine", engine, 0);
        print("system", system, memory);
        double ratio = percentile(system.whole_, 0.5) / percentile(engine.whole_, 0.5);
        // Wide, since everything shares one machine here.
        double most = concurrency < 1000 ? 2 : 6;
        bool isGood = ratio <= most && !system.failures_;
        isWithinBounds &= isGood;
        std::printf("  bound: time of the whole answer, system against engine, is %.2f, at most %.1f: %s\n", ratio, most, isGood ? "ok" : "FAILED");
        std::fflush(stdout);
    }
    return isWithinBounds ? 0 : 1;
}
