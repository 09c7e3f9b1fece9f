//===- benchmarks/ConfigurationBenchmark.cpp - configuration costs --------===//
///
/// \file
/// Measures the processor time of each step by which a node processes a new
/// configuration in the platform's format: decode, build, compress and decompress.
/// Also measures how much these steps delay an event loop, both when the loop runs
/// them itself and when a background thread runs them. The machine may be shared, so
/// the minimum is the most reliable figure, and only figures of one run compare.
//===----------------------------------------------------------------------===//
#include "BackgroundExecutor.h"
#include "Percentile.h"
#include "platform/Platform.h"

#include <cstdio>
#include <ctime>

using namespace pistachioloom;

namespace {

constexpr int runs = 25;
// A large organisation's configuration has this size: 780 KB of text.
constexpr int routeCount = 4240;
constexpr int organisationCount = 16;
constexpr ByteCount maxTextSize { 16UL * 1024 * 1024 };

std::string routeText(int index)
{
    const std::string number = std::to_string(index);
    const bool isStream = index % 3 == 0;
    std::string text = R"({"name":"route-)" + number + R"(","hostname":"host-)" + std::to_string(index % organisationCount) + R"(.example","path_prefix":"/v1/part-)" + number + R"(/","type":")";
    text += isStream ? R"(stream","resumable":true,"affinity":true)" : R"(safe")";
    text += R"(,"timeout_ms":5000,"goal_ms":)" + std::to_string(100 + index % 7 * 100) + R"(,"priority":)" + std::to_string(index % 4) + R"(,"attempts":2,)";
    return text + (isStream ? R"("split":[{"service":"engines","wt":90},{"service":"trial","wt":10}]})" : R"("service":"plain"})");
}

std::string configurationText()
{
    std::string text = R"({"version":1,"routes":[)";
    for (int i = 0; i < routeCount; ++i)
        text += (i ? "," : "") + routeText(i);
    text += R"(],"services":[{"name":"plain","max_conns":64},{"name":"engines","max_conns":64,"engine":{"slot_count":8,"kv_tokens":100000,"stride":1,"moves":true}},{"name":"trial","max_conns":64}],"tenants":[)";
    for (int i = 0; i < organisationCount; ++i) {
        const std::string number = std::to_string(i);
        text += (i ? "," : "") + (R"({"name":"organisation-)" + number + R"(","api_keys":["key-)" + number + R"("],"rate_per_s":1000,"burst_max":1000})");
    }
    return text + "]}";
}

double processorMs()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) * 1e-6;
}

/// Prints the minimum and the median processor time of \p step in milliseconds.
/// \p prepare returns its argument, and its time is not counted.
template <typename Prepare, typename Step>
void report(const char* name, Prepare prepare, Step step)
{
    std::vector<double> times;
    for (int i = 0; i < runs; ++i) {
        auto argument = prepare();
        double startedAt = processorMs();
        auto outcome = step(std::move(argument));
        times.push_back(processorMs() - startedAt);
    }
    std::printf("%-10s %8.2f %8.2f\n", name, test::percentile(times, 0), test::percentile(times, 0.5));
}

void processConfiguration(const std::string& text)
{
    auto decoded = platform::decodeConfiguration(text);
    if (decoded)
        RouteTable::build(std::move(decoded.value()));
    compress(text);
}

/// Where the work runs: on the event loop or on a background thread.
enum class ExecutionPlace {
    OnLoop,
    OnThread,
};

asio::awaitable<void> processConfigurationAt(ExecutionPlace place, BackgroundExecutor& background, const std::string& text, bool& isDone)
{
    co_await sleepFor(milliseconds(5));
    std::function<void()> work = [&text] { processConfiguration(text); };
    if (place == ExecutionPlace::OnLoop)
        work();
    else
        co_await background.run(std::move(work));
    isDone = true;
}

/// Raises \p maxLag to the largest delay, in milliseconds, with which a timer of
/// 1 ms fires until \p isDone.
asio::awaitable<void> measureLag(double& maxLag, const bool& isDone)
{
    while (!isDone) {
        auto startedAt = steadyNow();
        co_await sleepFor(milliseconds(1));
        std::chrono::duration<double, std::milli> slept = steadyNow() - startedAt;
        maxLag = std::max(maxLag, slept.count() - 1);
    }
}

void reportLag(const char* name, ExecutionPlace place, const std::string& text)
{
    std::vector<double> maxLags;
    for (int i = 0; i < runs; ++i) {
        asio::io_context io(1);
        BackgroundExecutor background;
        bool isDone = false;
        maxLags.push_back(0);
        asio::co_spawn(io, processConfigurationAt(place, background, text, isDone), asio::detached);
        asio::co_spawn(io, measureLag(maxLags.back(), isDone), asio::detached);
        io.run();
    }
    std::printf("%-12s %8.2f %8.2f\n", name, test::percentile(maxLags, 0), test::percentile(maxLags, 0.5));
}

} // namespace

int main()
{
    const std::string text = configurationText();
    auto decoded = platform::decodeConfiguration(text);
    const std::string compressed = compress(text);
    auto restored = decompress(compressed, maxTextSize);
    if (!decoded || decoded.value().routes_.size() != routeCount || !restored || restored.value() != text) {
        std::printf("the decoded or decompressed configuration differs from its source\n");
        return 1;
    }
    std::printf("%d routes, %zu bytes, %zu compressed; processor time in ms of %d runs, on a machine that may be shared\n", routeCount, text.size(), compressed.size(), runs);
    std::printf("step        minimum   median\n");
    report(
        "decode", [&]() -> const std::string& { return text; }, platform::decodeConfiguration);
    report(
        "build", [&] { return decoded.value(); }, RouteTable::build);
    report(
        "compress", [&]() -> const std::string& { return text; }, [](const std::string& source) { return compress(source); });
    report(
        "decompress", [&]() -> const std::string& { return compressed; }, [](const std::string& bytes) { return decompress(bytes, maxTextSize); });
    // If `taskset -c` restricts the process to one core, the event loop and the background
    // thread share that core.
    std::printf("maximum delay of the event loop meanwhile, in ms\n");
    reportLag("on loop", ExecutionPlace::OnLoop, text);
    reportLag("on thread", ExecutionPlace::OnThread, text);
    return 0;
}
