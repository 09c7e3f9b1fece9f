//===- benchmarks/ControlBenchmark.cpp - control costs of real nodes ------===//
///
/// \file
/// Runs deployments of several sizes without load and measures the processor time,
/// traffic and memory that control costs each node. Then measures how long a
/// catalogue change takes to be in force on every node, how many bytes a change of
/// the VM list costs, and how soon the failure of a node is detected.
//===----------------------------------------------------------------------===//
#include "Harness/Deployment.h"
#include "Percentile.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio.hpp>
#include <cstdio>
#include <fstream>
#include <numeric>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

/// What one node uses while the deployment is idle.
struct Sample {
    double processorPercent_ = 0;
    double bytesSentPerSecond_ = 0;
    double bytesReceivedPerSecond_ = 0;
    double memoryMiB_ = 0;
};

/// Returns what the nodes used over \p duration: the mean and the maximum per node.
std::pair<Sample, Sample> measureIdle(Deployment& deployment, milliseconds duration)
{
    struct Counters {
        double processorTimeUs_;
        double bytesSent_;
        double bytesReceived_;
    };
    std::vector<Counters> before;
    for (auto& node : deployment.nodes())
        before.push_back({ static_cast<double>(node.process_->processorTime().count()), deployment.metric(node, "peer_bytes_sent"), deployment.metric(node, "peer_bytes_received") });
    std::this_thread::sleep_for(duration);
    double seconds = std::chrono::duration<double>(duration).count();
    Sample mean;
    Sample maximum;
    auto count = static_cast<double>(deployment.nodes().size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        auto& node = deployment.nodes()[i];
        Sample sample;
        sample.processorPercent_ = (static_cast<double>(node.process_->processorTime().count()) - before[i].processorTimeUs_) / seconds / 1e4;
        sample.bytesSentPerSecond_ = (deployment.metric(node, "peer_bytes_sent") - before[i].bytesSent_) / seconds;
        sample.bytesReceivedPerSecond_ = (deployment.metric(node, "peer_bytes_received") - before[i].bytesReceived_) / seconds;
        sample.memoryMiB_ = static_cast<double>(node.process_->residentMemory().value_) / 1024 / 1024;
        mean.processorPercent_ += sample.processorPercent_ / count;
        mean.bytesSentPerSecond_ += sample.bytesSentPerSecond_ / count;
        mean.bytesReceivedPerSecond_ += sample.bytesReceivedPerSecond_ / count;
        mean.memoryMiB_ += sample.memoryMiB_ / count;
        maximum.processorPercent_ = std::max(maximum.processorPercent_, sample.processorPercent_);
        maximum.bytesSentPerSecond_ = std::max(maximum.bytesSentPerSecond_, sample.bytesSentPerSecond_);
        maximum.bytesReceivedPerSecond_ = std::max(maximum.bytesReceivedPerSecond_, sample.bytesReceivedPerSecond_);
        maximum.memoryMiB_ = std::max(maximum.memoryMiB_, sample.memoryMiB_);
    }
    return { mean, maximum };
}

std::string workloadName(std::size_t number)
{
    return "org-" + std::to_string(number);
}

/// Keeps one request of each entry in progress at every node, so that their grants
/// are renewed. The engines are so slow that hardly any token is generated.
class ActiveEntries {
public:
    ActiveEntries(Deployment& deployment, std::size_t entries)
    {
        std::string catalogue = "name: planogram\nkind: engine\nconcurrency: 4096\n";
        for (std::size_t i = 0; i < entries; ++i) {
            std::string name = workloadName(i);
            catalogue += "---\nname: " + name + "\nkind: workload\nowner: " + name + "\nclass: paid\napi_key_sha256: " + sha256Hex(Deployment::apiKey(name))
                + "\nmodels: [planogram]\nlimits:\n  requests_in_progress: 6000\n  tokens_per_second: 100000\n  queue_bound: 100\n  deadline: 600s\n";
        }
        deployment.applyCatalogue(catalogue);
        for (auto& node : deployment.nodes()) {
            for (std::size_t i = 0; i < entries; ++i) {
                Completion completion { Deployment::apiKey(workloadName(i)), "planogram", "slow", 100 };
                asio::co_spawn(
                    io_, [](Endpoint entry, Completion request) -> asio::awaitable<void> { (void)co_await streamCompletion(entry, request); }(node.callers_, completion), asio::detached);
            }
        }
        thread_ = std::thread([this] { io_.run(); });
        auto all = static_cast<double>(deployment.nodes().size() * entries);
        waitUntil([&] { return deployment.metricOfAll("generations_running") >= all; });
    }
    ~ActiveEntries()
    {
        io_.stop();
        thread_.join();
    }

private:
    asio::io_context io_;
    std::thread thread_;
};

std::string serviceEntry(int value)
{
    return "name: s\nkind: service\nconcurrency: " + std::to_string(value) + "\nrepeatable: true\n";
}

/// Applies \p count catalogue edits, and returns for each the milliseconds from the
/// command line tool's "accepted" until it is in force on every node.
std::vector<double> measurePropagation(Deployment& deployment, int count)
{
    std::vector<double> times;
    for (int i = 1; i <= count; ++i) {
        std::string file = deployment.directory() + "/s.yaml";
        std::ofstream(file) << serviceEntry(i);
        auto& node = deployment.nodes()[static_cast<std::size_t>(i) % deployment.nodes().size()];
        auto [code, output] = deployment.runTool(node, { "catalogue", "apply", file });
        if (code) {
            std::printf("  a catalogue edit was not accepted: %s\n", output.c_str());
            continue;
        }
        auto startedAt = std::chrono::steady_clock::now();
        deployment.waitForCatalogue(milliseconds(20000));
        times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count());
    }
    return times;
}

/// Puts \p count engines on the VM list, numbered from \p first. No process runs
/// at their addresses.
void putListedEngines(Deployment& deployment, std::size_t first, std::size_t count)
{
    boost::json::array vms;
    for (std::size_t i = first; i < first + count; ++i) {
        vms.push_back(boost::json::object {
            { "id", "listed-" + std::to_string(i) },
            { "kind", "engine" },
            { "data_centre", "elsewhere-" + std::to_string(i % 13) },
            { "host", "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) },
            { "port", 8000 },
            { "serves", boost::json::array { "other" } },
            { "price_class", "reclaimable" },
            { "price_per_hour", 1200 + i % 7 },
        });
    }
    deployment.controlPlatform({ { "put_vms", std::move(vms) } });
}

bool waitForVmList(Deployment& deployment)
{
    auto version = static_cast<double>(numberField(deployment.controlPlatform(), "version"));
    return waitUntil([&] {
        return std::all_of(deployment.nodes().begin(), deployment.nodes().end(), [&](auto& node) { return deployment.metric(node, "vm_list_version") >= version; });
    });
}

double totalBytesSent(Deployment& deployment)
{
    double sum = 0;
    for (auto& node : deployment.nodes())
        sum += deployment.metric(node, "peer_bytes_sent");
    return sum;
}

/// Prints what the change of one VM costs each node when \p listedVms are on the list.
void measureListChanges(Deployment& deployment, std::size_t listedVms, double idlePerSecond)
{
    constexpr int changes = 20;
    putListedEngines(deployment, 0, listedVms);
    waitForVmList(deployment);
    double before = totalBytesSent(deployment);
    std::vector<double> times;
    auto startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < changes; ++i) {
        auto changedAt = std::chrono::steady_clock::now();
        putListedEngines(deployment, listedVms + static_cast<std::size_t>(i), 1);
        waitForVmList(deployment);
        times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - changedAt).count());
    }
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    auto nodes = static_cast<double>(deployment.nodes().size());
    double perChange = ((totalBytesSent(deployment) - before) / nodes - idlePerSecond * seconds) / changes;
    std::printf("       a changed VM of %zu listed: %.0f B sent per node, seen by all after p50 %.0f ms, p99 %.0f ms\n", listedVms, perChange, percentile(times, 0.5), percentile(times, 0.99));
}

/// Kills or freezes a node and returns the milliseconds until every other node of its
/// data centre lists it in state "out".
double measureDetection(Deployment& deployment, bool shouldFreeze)
{
    auto& victim = deployment.nodes().front();
    auto startedAt = std::chrono::steady_clock::now();
    if (shouldFreeze)
        victim.process_->freeze();
    else
        victim.process_->kill();
    waitUntil([&] {
        for (auto& node : deployment.nodes()) {
            if (node.dataCentre_ != victim.dataCentre_ || node.id_ == victim.id_)
                continue;
            auto nodeList = deployment.query(node, "/nodes");
            if (!nodeList.is_object())
                return false;
            for (const auto& line : objectsField(nodeList.as_object(), "nodes")) {
                if (textField(line, "node") == victim.id_ && textField(line, "state") != "out")
                    return false;
            }
        }
        return true;
    });
    double time = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count();
    victim.process_->resume();
    return time;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Measures the control overhead of each node." };
    std::vector<std::size_t> sizes { 3, 9, 26 };
    std::size_t dataCentres = 1;
    int seconds = 10;
    int edits = 20;
    std::size_t listedVms = 2400;
    std::size_t entries = 0;
    app.add_option("--nodes", sizes, "Nodes of each data centre; several sizes may be given");
    app.add_option("--data-centres", dataCentres, "Number of data centres");
    app.add_option("--seconds", seconds, "Length of each measurement in seconds");
    app.add_option("--edits", edits, "Number of catalogue edits at each size");
    app.add_option("--entries", entries, "Number of entries with a request in progress at every node");
    app.add_option("--listed", listedVms, "Number of VMs on the list when one changes");
    CLI11_PARSE(app, argc, argv);
    std::printf("%6s %4s | %9s %9s | %9s %9s %9s | %8s %8s | %9s %9s | %9s\n", "nodes", "dcs", "cpu %", "max", "sent B/s", "recv B/s", "max sent", "MiB", "max", "force p50", "force p99", "detect ms");
    for (std::size_t size : sizes) {
        DeploymentOptions options;
        options.dataCentres_.clear();
        for (std::size_t i = 0; i < dataCentres; ++i)
            options.dataCentres_.push_back("dc-" + std::to_string(i));
        options.nodesPerDataCentre_ = size;
        options.nodeSettings_ = "logs:\n  level: warn\n";
        if (entries)
            options.engineArguments_ = { "--decode_us", "60000000", "--slots", "4096" };
        Deployment deployment(options);
        deployment.applyCatalogue(Deployment::standardCatalogue());
        std::optional<ActiveEntries> active;
        if (entries)
            active.emplace(deployment, entries);
        auto [mean, maximum] = measureIdle(deployment, milliseconds(seconds * 1000));
        auto propagation = measurePropagation(deployment, edits);
        if (listedVms)
            measureListChanges(deployment, listedVms, mean.bytesSentPerSecond_);
        double detection = measureDetection(deployment, false);
        std::printf("%6zu %4zu | %9.2f %9.2f | %9.0f %9.0f %9.0f | %8.1f %8.1f | %9.0f %9.0f | %9.0f\n", size, dataCentres, mean.processorPercent_, maximum.processorPercent_, mean.bytesSentPerSecond_, mean.bytesReceivedPerSecond_, maximum.bytesSentPerSecond_, mean.memoryMiB_, maximum.memoryMiB_, percentile(propagation, 0.5), percentile(propagation, 0.99), detection);
        std::fflush(stdout);
    }
    return 0;
}
