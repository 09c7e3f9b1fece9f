//===- benchmarks/RelayBenchmark.cpp - what relays cost as a fleet grows ---===//
///
/// \file
/// Bytes and time of reports, digests and summaries at 9, 63 and 370 nodes, of the
/// choice of an engine among 21, 112 and 2,100, and bounds on how a node's part
/// may grow.
//===----------------------------------------------------------------------===//
#include "ReportAggregator.h"
#include "pistachioloom/Backends.h"

#include <algorithm>
#include <cstdio>

using namespace pistachioloom;

namespace {

struct Size {
    int dataCentres_ = 1;
    int nodesOfEach_ = 1;
    int engines_ = 1;
    int organisations_ = 1;
};

struct Figures {
    std::size_t reportBytes_ = 0;
    std::size_t digestBytes_ = 0;
    std::size_t summaryBytes_ = 0;
    double takeReportUs_ = 0;
    double digestUs_ = 0;
    double chooseUs_ = 0;
};

constexpr int samples = 9;
constexpr int enginesInUse = 8;
const SteadyTime start { std::chrono::hours(1) };
bool isWithinBounds = true;

double timeOf(int count, const std::function<void()>& work)
{
    std::vector<double> times;
    for (int sample = 0; sample < samples; ++sample) {
        auto began = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i)
            work();
        std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - began;
        times.push_back(elapsed.count() / count);
    }
    std::sort(times.begin(), times.end());
    return times[samples / 2];
}

BackendId engineId(int index)
{
    return { "engine-" + std::to_string(index) };
}

wire::NodeReport reportOf(int node, const Size& size)
{
    wire::NodeReport report;
    report.set_vm("node-" + std::to_string(node));
    report.set_incarnation(1);
    LoadTable loads;
    for (int i = 0; i < std::min(enginesInUse, size.engines_); ++i)
        loads[keyOf(engineId((node * enginesInUse + i) % size.engines_))] = { 2, 9000 };
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

double chooseTime(int engines)
{
    BackendTable book({ "a" }, ChoiceSettings {});
    for (int i = 0; i < engines; ++i)
        book.put({ engineId(i), { "drafts" }, { "10.0.0.1", 80 }, { "a" }, 24, false, true, { engineId(i).value_ }, {} });
    RequestShape shape;
    shape.service_ = { "drafts" };
    shape.promptTokens_ = { 12000 };
    shape.parts_ = { { "common", { 500 } }, { "subject", { 5000 } }, { "own", { 6500 } } };
    shape.isForEngine_ = true;
    return timeOf(200, [&] {
        auto choice = book.choose(shape, {}, start);
        book.end(choice->backend_.id_, { BackendOutcome::Abandoned, choice->uncached_ }, start);
    });
}

Figures measure(const Size& size)
{
    ReportAggregator book(milliseconds(5000));
    for (int i = 0; i < size.nodesOfEach_; ++i)
        book.applyReport(reportOf(i, size), start);
    // Another data centre's sums hold as many engines as its nodes use.
    for (int dataCentre = 1; dataCentre < size.dataCentres_; ++dataCentre) {
        ReportAggregator other(milliseconds(5000));
        for (int i = 0; i < size.nodesOfEach_; ++i)
            other.applyReport(reportOf(dataCentre * size.nodesOfEach_ + i, size), start);
        wire::RelayReport summary;
        summary.set_vm("relay");
        summary.set_data_centre("dc-" + std::to_string(dataCentre));
        *summary.mutable_sums() = other.summaryFor({ "a" }, start);
        book.applySummary(summary, start);
    }
    Figures figures;
    wire::NodeReport report = reportOf(0, size);
    figures.reportBytes_ = report.ByteSizeLong();
    ReportTotals totals = book.totals(start);
    figures.digestBytes_ = book.digestFor({ "node-0" }, totals, start).ByteSizeLong();
    figures.summaryBytes_ = book.summaryFor({ "dc-1" }, start).ByteSizeLong();
    figures.takeReportUs_ = timeOf(50, [&] { book.applyReport(report, start); });
    figures.digestUs_ = timeOf(20, [&] { (void)book.digestFor({ "node-0" }, totals, start); });
    figures.chooseUs_ = chooseTime(size.engines_);
    return figures;
}

void bound(const char* what, double value, double most)
{
    bool isGood = value <= most;
    isWithinBounds &= isGood;
    std::printf("  bound: %s is %.2f, at most %.2f: %s\n", what, value, most, isGood ? "ok" : "FAILED");
}

} // namespace

int main()
{
    constexpr Size sizes[] = { { 3, 3, 21, 5 }, { 3, 21, 112, 16 }, { 14, 26, 2100, 16 } };
    std::printf("nodes engines | report B digest B summary B | take report us, digest us, choose us\n");
    std::vector<Figures> measured;
    for (const Size& size : sizes) {
        Figures figures = measure(size);
        measured.push_back(figures);
        std::printf("%5d %7d | %8zu %8zu %9zu | %.1f %.1f %.1f\n", size.dataCentres_ * size.nodesOfEach_, size.engines_, figures.reportBytes_, figures.digestBytes_, figures.summaryBytes_, figures.takeReportUs_, figures.digestUs_, figures.chooseUs_);
    }
    // What a node sends must not grow with the fleet; what it hears grows with the
    // engines, by 8 to 10 bytes each.
    bound("report at 370 nodes against 63", static_cast<double>(measured[2].reportBytes_) / static_cast<double>(measured[1].reportBytes_), 1.1);
    bound("bytes of a digest for each engine", static_cast<double>(measured[2].digestBytes_) / sizes[2].engines_, 11);
    bound("digest fits a datagram, parts of 64 KiB", static_cast<double>(measured[2].digestBytes_) / 65536, 0.5);
    return isWithinBounds ? 0 : 1;
}
