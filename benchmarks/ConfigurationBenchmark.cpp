//===- benchmarks/ConfigurationBenchmark.cpp - taking in a configuration ---===//
///
/// \file
/// Processor time of each step that a node takes with a new configuration in the
/// platform's format: decode, build, compress, decompress; and how late an event loop
/// runs that does them itself, or leaves them to a thread beside it. The machine may be
/// shared: the least of the runs says most, and only steps of one run compare.
//===----------------------------------------------------------------------===//
#include "BackgroundExecutor.h"
#include "Percentile.h"
#include "platform/Platform.h"

#include <cstdio>
#include <ctime>

using namespace pistachioloom;

namespace {

constexpr int runs = 25;
// The size of a large organisation's configuration: 780 KB of text.
constexpr int routeCount = 4240;
constexpr int organisationCount = 16;
constexpr ByteCount longestText { 16UL * 1024 * 1024 };

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

/// Prints the times of \p step, whose argument \p prepare makes outside the times.
template <typename Prepare, typename Step>
void report(const char* name, Prepare prepare, Step step)
{
    std::vector<double> times;
    for (int i = 0; i < runs; ++i) {
        auto argument = prepare();
        double began = processorMs();
        auto outcome = step(std::move(argument));
        times.push_back(processorMs() - began);
    }
    std::printf("%-10s %8.2f %8.2f\n", name, test::percentile(times, 0), test::percentile(times, 0.5));
}

void applyConfiguration(const std::string& text)
{
    auto decoded = platform::decodeConfiguration(text);
    if (decoded)
        RouteTable::build(std::move(decoded.value()));
    compress(text);
}

/// Whether the event loop does the work itself.
enum class Place {
    OnLoop,
    BesideLoop,
};

asio::awaitable<void> takeInAt(Place place, BackgroundExecutor& background, const std::string& text, bool& isDone)
{
    co_await sleepFor(milliseconds(5));
    std::function<void()> work = [&text] { applyConfiguration(text); };
    if (place == Place::OnLoop)
        work();
    else
        co_await background.run(std::move(work));
    isDone = true;
}

/// The latest that a sleeper of 1 ms woke meanwhile, in milliseconds.
asio::awaitable<void> watch(double& latest, const bool& isDone)
{
    while (!isDone) {
        auto began = steadyNow();
        co_await sleepFor(milliseconds(1));
        std::chrono::duration<double, std::milli> slept = steadyNow() - began;
        latest = std::max(latest, slept.count() - 1);
    }
}

void reportLag(const char* name, Place place, const std::string& text)
{
    std::vector<double> latest;
    for (int i = 0; i < runs; ++i) {
        asio::io_context io(1);
        BackgroundExecutor background;
        bool isDone = false;
        latest.push_back(0);
        asio::co_spawn(io, takeInAt(place, background, text, isDone), asio::detached);
        asio::co_spawn(io, watch(latest.back(), isDone), asio::detached);
        io.run();
    }
    std::printf("%-12s %8.2f %8.2f\n", name, test::percentile(latest, 0), test::percentile(latest, 0.5));
}

} // namespace

int main()
{
    const std::string text = configurationText();
    auto decoded = platform::decodeConfiguration(text);
    const std::string compressed = compress(text);
    auto restored = decompress(compressed, longestText);
    if (!decoded || decoded.value().routes_.size() != routeCount || !restored || restored.value() != text) {
        std::printf("the steps do not fit each other\n");
        return 1;
    }
    std::printf("%d routes, %zu bytes, %zu compressed; processor time in ms of %d runs, on a machine that may be shared\n", routeCount, text.size(), compressed.size(), runs);
    std::printf("step          least   median\n");
    report(
        "decode", [&]() -> const std::string& { return text; }, platform::decodeConfiguration);
    report(
        "build", [&] { return decoded.value(); }, RouteTable::build);
    report(
        "compress", [&]() -> const std::string& { return text; }, [](const std::string& source) { return compress(source); });
    report(
        "decompress", [&]() -> const std::string& { return compressed; }, [](const std::string& bytes) { return decompress(bytes, longestText); });
    // On one core, by `taskset -c`, loop and thread share it.
    std::printf("how late the event loop runs at most meanwhile, in ms\n");
    reportLag("on loop", Place::OnLoop, text);
    reportLag("beside loop", Place::BesideLoop, text);
    return 0;
}
