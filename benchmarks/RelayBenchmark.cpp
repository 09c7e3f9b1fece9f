//===- benchmarks/RelayBenchmark.cpp - relay costs as the fleet grows -----===//
///
/// \file
/// Measures the size and time of reports, digests and summaries at 9, 63 and 364 nodes,
/// and the time to choose among 21, 112 and 2,100 engines. Checks bounds on how the
/// cost to each node may grow.
//===----------------------------------------------------------------------===//
#include "ReportAggregator.h"
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cstdio>

using namespace pistachioloom;

namespace {

struct Size {
    int dataCentres_ = 1;
    int nodesPerDataCentre_ = 1;
    int engines_ = 1;
    int organisations_ = 1;
};

struct Measurements {
    std::size_t reportBytes_ = 0;
    std::size_t digestBytes_ = 0;
    std::size_t summaryBytes_ = 0;
    double applyReportUs_ = 0;
    double digestUs_ = 0;
    double chooseUs_ = 0;
};

constexpr int samples = 9;
constexpr int usedEnginesPerNode = 8;
const SteadyTime start { std::chrono::hours(1) };
bool isWithinBounds = true;

double medianTimeUs(int count, const std::function<void()>& work)
{
    std::vector<double> times;
    for (int sample = 0; sample < samples; ++sample) {
        auto startedAt = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i)
            work();
        std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - startedAt;
        times.push_back(elapsed.count() / count);
    }
    std::sort(times.begin(), times.end());
    return times[samples / 2];
}

BackendId engineId(int index)
{
    return { "engine-" + std::to_string(index) };
}

wire::NodeReport makeReport(int node, const Size& size)
{
    wire::NodeReport report;
    report.set_vm("node-" + std::to_string(node));
    report.set_incarnation(1);
    LoadTable loads;
    for (int i = 0; i < std::min(usedEnginesPerNode, size.engines_); ++i)
        loads[keyOf(engineId((node * usedEnginesPerNode + i) % size.engines_))] = { 2, 9000 };
    putLoads(loads, *report.mutable_loads());
    for (int i = 0; i < size.organisations_; ++i) {
        wire::QuotaReport& quota = *report.add_quotas();
        quota.set_organisation("organisation-" + std::to_string(i));
        quota.set_admitted(123456);
        quota.set_level(654321);
    }
    wire::DemandReport& demand = *report.add_demand();
    demand.set_service("drafts");
    demand.set_tokens_per_second(100000);
    demand.set_prefill_per_ms(45);
    demand.set_observations(500);
    return report;
}

double measureChoiceUs(int engines)
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (int i = 0; i < engines; ++i)
        table.put({ engineId(i), { "drafts" }, { "10.0.0.1", 80 }, { "a" }, 24, false, true, { engineId(i).value_ }, {} });
    RequestShape shape;
    shape.service_ = { "drafts" };
    shape.promptTokens_ = { 12000 };
    shape.parts_ = { { "common", { 500 } }, { "subject", { 5000 } }, { "own", { 6500 } } };
    shape.isForEngine_ = true;
    return medianTimeUs(200, [&] {
        auto choice = table.choose(shape, {}, start);
        table.end(choice->backend_.id_, { BackendOutcome::Abandoned, choice->uncachedTokens_ }, start);
    });
}

Measurements measure(const Size& size)
{
    ReportAggregator aggregator(milliseconds(5000));
    for (int i = 0; i < size.nodesPerDataCentre_; ++i)
        aggregator.applyReport(makeReport(i, size), start);
    // The sums of another data centre cover as many engines as its nodes use.
    for (int dataCentre = 1; dataCentre < size.dataCentres_; ++dataCentre) {
        ReportAggregator other(milliseconds(5000));
        for (int i = 0; i < size.nodesPerDataCentre_; ++i)
            other.applyReport(makeReport(dataCentre * size.nodesPerDataCentre_ + i, size), start);
        wire::RelayReport summary;
        summary.set_vm("relay");
        summary.set_data_centre("dc-" + std::to_string(dataCentre));
        *summary.mutable_sums() = other.summaryFor({ "a" }, start);
        aggregator.applySummary(summary, start);
    }
    Measurements measurements;
    wire::NodeReport report = makeReport(0, size);
    measurements.reportBytes_ = report.ByteSizeLong();
    ReportTotals totals = aggregator.totals(start);
    measurements.digestBytes_ = aggregator.digestFor({ "node-0" }, totals, start).ByteSizeLong();
    measurements.summaryBytes_ = aggregator.summaryFor({ "dc-1" }, start).ByteSizeLong();
    measurements.applyReportUs_ = medianTimeUs(50, [&] { aggregator.applyReport(report, start); });
    measurements.digestUs_ = medianTimeUs(20, [&] { (void)aggregator.digestFor({ "node-0" }, totals, start); });
    measurements.chooseUs_ = measureChoiceUs(size.engines_);
    return measurements;
}

void checkBound(const char* quantity, double value, double maxValue)
{
    bool hasPassed = value <= maxValue;
    isWithinBounds &= hasPassed;
    std::printf("  bound: %s is %.2f, at most %.2f: %s\n", quantity, value, maxValue, hasPassed ? "ok" : "FAILED");
}

} // namespace

int main()
{
    constexpr Size sizes[] = { { 3, 3, 21, 5 }, { 3, 21, 112, 16 }, { 14, 26, 2100, 16 } };
    std::printf("nodes engines | report B digest B summary B | apply report us, digest us, choose us\n");
    std::vector<Measurements> measured;
    for (const Size& size : sizes) {
        Measurements measurements = measure(size);
        measured.push_back(measurements);
        std::printf("%5d %7d | %8zu %8zu %9zu | %.1f %.1f %.1f\n", size.dataCentres_ * size.nodesPerDataCentre_, size.engines_, measurements.reportBytes_, measurements.digestBytes_, measurements.summaryBytes_, measurements.applyReportUs_, measurements.digestUs_, measurements.chooseUs_);
    }
    // The report that a node sends must not grow with the fleet. The digest that it
    // receives grows by 8 to 10 bytes per engine.
    checkBound("report size, 364 nodes relative to 63", static_cast<double>(measured[2].reportBytes_) / static_cast<double>(measured[1].reportBytes_), 1.1);
    checkBound("bytes of a digest for each engine", static_cast<double>(measured[2].digestBytes_) / sizes[2].engines_, 11);
    checkBound("digest as a fraction of a datagram of 64 KiB", static_cast<double>(measured[2].digestBytes_) / 65536, 0.5);
    return isWithinBounds ? 0 : 1;
}
