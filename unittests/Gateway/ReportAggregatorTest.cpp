//===- unittests/Gateway/ReportAggregatorTest.cpp - sums by relays --------===//
///
/// \file
/// The sums that a node receives of all others through relays equal what they reported,
/// whichever relay sends them, and nothing counts twice when relays change.
//===----------------------------------------------------------------------===//
#include "ReportAggregator.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };
constexpr milliseconds window { 5000 };
const std::string organisation = "north";
const std::string service = "drafts";

struct Counts {
    double admitted_ = 0;
    double tokensPerSecond_ = 0;
    std::uint64_t started_ = 0;
    std::uint32_t running_ = 0;
};

wire::NodeReport report(const std::string& vm, const Counts& counts, std::uint64_t incarnation = 1, std::uint64_t duty = 0)
{
    wire::NodeReport report;
    report.set_vm(vm);
    report.set_incarnation(incarnation);
    report.set_duty_token(duty);
    wire::QuotaReport& quota = *report.add_quotas();
    quota.set_organisation(organisation);
    quota.set_admitted(counts.admitted_);
    wire::DemandReport& demand = *report.add_demand();
    demand.set_service(service);
    demand.set_tokens_per_second(counts.tokensPerSecond_);
    demand.set_prefill_per_ms(50);
    demand.set_observations(100);
    putLoads({ { 7, { counts.running_, 1000, 100 * counts.running_, 1300 * counts.running_ } } }, *report.mutable_loads());
    putUsage({ { { 3 }, { { { organisation }, counts.started_ } } } }, *report.mutable_usage());
    return report;
}

wire::RelayReport summaryOf(const std::string& vm, const std::string& dataCentre, const wire::NodeSums& sums, std::uint64_t incarnation = 1)
{
    wire::RelayReport summary;
    summary.set_vm(vm);
    summary.set_data_centre(dataCentre);
    summary.set_incarnation(incarnation);
    *summary.mutable_sums() = sums;
    return summary;
}

double admittedIn(const wire::NodeSums& sums)
{
    double sum = 0;
    for (const wire::QuotaReport& quota : sums.quotas())
        sum += quota.admitted();
    return sum;
}

double demandIn(const wire::NodeSums& sums)
{
    double rate = 0;
    for (const wire::DemandReport& demand : sums.demand())
        rate += demand.tokens_per_second();
    return rate;
}

std::uint64_t usageIn(const wire::NodeSums& sums)
{
    std::uint64_t sum = 0;
    for (const auto& [window, counts] : usageOf(sums.usage())) {
        for (const auto& [organisation, count] : counts)
            sum += count;
    }
    return sum;
}

} // namespace

TEST_CASE("a digest contains what all others reported, but not what its receiver reported", "[relay]")
{
    ReportAggregator aggregator(window);
    for (int round = 0; round < 3; ++round) {
        SteadyTime now = start + round * milliseconds(200);
        double factor = round;
        aggregator.applyReport(report("a", { 10 * factor, 100, 4, 1 }, 1, 5), now);
        aggregator.applyReport(report("b", { 20 * factor, 200, 5, 2 }), now);
        aggregator.applyReport(report("c", { 40 * factor, 400, 6, 3 }), now);
    }
    SteadyTime now = start + milliseconds(400);
    ReportTotals totals = aggregator.totals(now);
    wire::NodeSums digest = aggregator.digestFor({ "a" }, totals, now);
    CHECK(digest.nodes() == 2);
    // What b and c have admitted since their first reports: 40 and 80.
    CHECK(admittedIn(digest) == 120);
    CHECK(loadsOf(digest.loads()).at(7).running_ == 5);
    CHECK(loadsOf(digest.loads()).at(7).queuedTokens_ == 2000);
    CHECK(loadsOf(digest.loads()).at(7).waitSamples_ == 500);
    CHECK(loadsOf(digest.loads()).at(7).waitRatios_ == 6500);
    CHECK(demandIn(digest) == 600);
    // Only the holder of the duties receives usage.
    CHECK(usageIn(digest) == 11);
    CHECK(usageIn(aggregator.digestFor({ "b" }, totals, now)) == 0);
    CHECK(aggregator.digestFor({ "b" }, totals, now).holder() == "a");
    CHECK(aggregator.receivers(now).size() == 3);
}

TEST_CASE("what a node counted stays in the sums after it stops", "[relay]")
{
    ReportAggregator aggregator(window);
    aggregator.applyReport(report("a", {}), start);
    aggregator.applyReport(report("b", {}), start);
    aggregator.applyReport(report("b", { 30, 300, 2, 4 }), start + milliseconds(200));
    SteadyTime later = start + milliseconds(1300);
    aggregator.applyReport(report("a", {}), later);
    wire::NodeSums digest = aggregator.digestFor({ "a" }, aggregator.totals(later), later);
    CHECK(digest.nodes() == 0);
    CHECK(loadsOf(digest.loads()).empty());
    CHECK(admittedIn(digest) == 30);
    // The callers of the stopped node have moved to other nodes.
    CHECK(demandIn(digest) == 0);
    SteadyTime muchLater = start + std::chrono::minutes(3);
    aggregator.applyReport(report("a", {}), muchLater);
    CHECK(admittedIn(aggregator.digestFor({ "a" }, aggregator.totals(muchLater), muchLater)) == 30);
}

TEST_CASE("the counts of a restarted node start from zero and do not reduce the sums", "[relay]")
{
    ReportAggregator aggregator(window);
    aggregator.applyReport(report("a", {}), start);
    aggregator.applyReport(report("b", { 100, 0, 3, 0 }, 1), start);
    aggregator.applyReport(report("b", { 130, 0, 4, 0 }, 1), start + milliseconds(200));
    aggregator.applyReport(report("b", { 2, 0, 1, 0 }, 2), start + milliseconds(400));
    aggregator.applyReport(report("b", { 7, 0, 2, 0 }, 2), start + milliseconds(600));
    aggregator.applyReport(report("a", {}, 1, 9), start + milliseconds(600));
    SteadyTime now = start + milliseconds(600);
    wire::NodeSums digest = aggregator.digestFor({ "a" }, aggregator.totals(now), now);
    CHECK(admittedIn(digest) == 35);
    // The usage of both incarnations counts.
    CHECK(usageIn(digest) == 6);
}

TEST_CASE("a data centre counts once, though two relays report it", "[relay]")
{
    ReportAggregator aggregator(window);
    // The second relay sends the same sums later, and continues after the first stops.
    auto secondLag = GENERATE(0, 100, 200);
    auto stopsAfter = GENERATE(3, 6, 50);
    double last = 0;
    for (int round = 0; round < 40; ++round) {
        SteadyTime now = start + round * milliseconds(200);
        last = round * 10;
        aggregator.applyReport(report("near", {}, 1), now);
        wire::NodeSums sums = sumsOf(report("far", { last, 0, 1, 2 }));
        if (round < stopsAfter)
            aggregator.applySummary(summaryOf("relay-1", "far", sums), now);
        aggregator.applySummary(summaryOf("relay-2", "far", sums), now + milliseconds(secondLag));
    }
    SteadyTime now = start + 39 * milliseconds(200) + milliseconds(200);
    wire::NodeSums digest = aggregator.digestFor({ "near" }, aggregator.totals(now), now);
    CHECK(digest.nodes() == 1);
    CHECK(loadsOf(digest.loads()).at(7).running_ == 2);
    // Only what was admitted between the last sums of the first relay and the change of
    // the active source may be missing: one second without reports, at a rate of 50 a
    // second.
    CHECK(admittedIn(digest) <= last);
    CHECK(admittedIn(digest) >= last - 60);
}

TEST_CASE("unresponsive nodes are reported for as long as they may be cut off", "[relay]")
{
    ReportAggregator aggregator(window);
    aggregator.applyReport(report("near", {}), start);
    aggregator.applyReport(report("gone", {}), start);
    wire::NodeSums sums = sumsOf(report("far", {}));
    sums.set_nodes(20);
    sums.set_silent_nodes(3);
    aggregator.applySummary(summaryOf("relay", "far", sums), start);
    CHECK(aggregator.digestFor({ "near" }, aggregator.totals(start), start).silent_nodes() == 3);
    struct Row {
        milliseconds later_;
        std::uint64_t unresponsive_;
    };
    auto row = GENERATE(values<Row>({ { milliseconds(1500), 21 }, { milliseconds(9000), 21 }, { milliseconds(11000), 0 } }));
    SteadyTime now = start + row.later_;
    aggregator.applyReport(report("near", {}), now);
    CHECK(aggregator.digestFor({ "near" }, aggregator.totals(now), now).silent_nodes() == row.unresponsive_);
}

TEST_CASE("usage is sent only to the data centre that reports it to the platform", "[relay]")
{
    ReportAggregator aggregator(window);
    aggregator.applyReport(report("near", { 0, 0, 8, 0 }), start);
    CHECK(usageIn(aggregator.summaryFor({ "far" }, start)) == 0);
    aggregator.applySummary(summaryOf("relay", "far", sumsOf(report("holder", {}, 1, 12))), start);
    CHECK(usageIn(aggregator.summaryFor({ "far" }, start)) == 8);
    CHECK(usageIn(aggregator.summaryFor({ "third" }, start)) == 0);
}

TEST_CASE("a relay that sums more of the nodes replaces one that sums few", "[relay]")
{
    NodeGroupSums group;
    wire::NodeSums few;
    few.set_nodes(3);
    wire::NodeSums many;
    many.set_nodes(20);
    CHECK(group.applySums({ "few" }, 1, few, start));
    CHECK(group.applySums({ "many" }, 1, many, start));
    CHECK_FALSE(group.applySums({ "few" }, 1, few, start + milliseconds(200)));
    CHECK(group.current(start + milliseconds(200))->nodes() == 20);
    CHECK(group.current(start + milliseconds(1500)) == nullptr);
}

TEST_CASE("the age of the holder's report includes the time that relays take to forward it", "[relays]")
{
    ReportAggregator near(window);
    ReportAggregator far(window);
    wire::NodeReport holder = report("a1", {}, 1, 5);
    near.applyReport(holder, start);
    near.applyReport(report("a2", {}), start);
    SteadyTime reportedAt = start + milliseconds(700);
    wire::NodeSums summary = near.summaryFor({ "b" }, reportedAt);
    CHECK(summary.holder_age_ms() == 700);
    far.applySummary(summaryOf("a-relay", "a", summary), reportedAt);
    far.applyReport(report("b1", {}), reportedAt);
    SteadyTime later = reportedAt + milliseconds(800);
    wire::NodeSums digest = far.digestFor({ "b1" }, far.totals(later), later);
    CHECK(digest.duty_token() == 5);
    CHECK(digest.holder_age_ms() == 1500);
    // The holder released the duties. The released token is reported in a field of its
    // own, since other nodes may still report the holder.
    holder.set_duty_token(0);
    holder.set_released_token(5);
    near.applyReport(holder, reportedAt);
    CHECK(near.summaryFor({ "b" }, reportedAt).duty_token() == 0);
    CHECK(near.summaryFor({ "b" }, reportedAt).released_token() == 5);
}

TEST_CASE("counts of nodes that have just started are reported in full", "[relay]")
{
    struct Row {
        const char* name_;
        std::uint64_t countedMs_;
        double admitted_;
    };
    auto row = GENERATE(values<Row>({ { "just started", 400, 100 }, { "running for long", 60000, 0 }, { "of a version that does not report it", 0, 0 } }));
    CAPTURE(row.name_);
    ReportAggregator near(window);
    ReportAggregator far(window);
    wire::NodeReport first = report("a1", { 100, 0, 0, 0 });
    first.set_counted_ms(row.countedMs_);
    near.applyReport(first, start);
    far.applyReport(report("b1", {}), start);
    wire::NodeSums summary = near.summaryFor({ "b" }, start);
    summary.set_counted_ms(row.countedMs_);
    far.applySummary(summaryOf("a-relay", "a", summary), start);
    CHECK(admittedIn(far.digestFor({ "b1" }, far.totals(start), start)) == row.admitted_);
    // A second relay of the same nodes adds nothing when it reports for the first time.
    far.applySummary(summaryOf("a-other", "a", summary), start + milliseconds(100));
    CHECK(admittedIn(far.digestFor({ "b1" }, far.totals(start), start)) == row.admitted_);
}

TEST_CASE("a node that subtracts its own part from the common sums gets its digest", "[relay]")
{
    ReportAggregator aggregator(window);
    constexpr int nodes = 12;
    for (int round = 0; round < 3; ++round) {
        for (int i = 0; i < nodes; ++i) {
            double factor = round * (i + 1);
            wire::NodeReport sent = report("node-" + std::to_string(i), { 10 * factor, 100.0 + i, 4, static_cast<std::uint32_t>(i) });
            putLoads({ { static_cast<BackendKey>(100 + i), { 2, 500 } } }, *sent.mutable_loads());
            // Nothing runs there any more.
            putLoads({ { static_cast<BackendKey>(200 + i), { 0, 0, 150, 1800 } } }, *sent.mutable_loads());
            sent.set_takes_common_sums(true);
            aggregator.applyReport(sent, start + round * milliseconds(200));
        }
    }
    SteadyTime now = start + milliseconds(400);
    ReportTotals totals = aggregator.totals(now);
    for (int i = 0; i < nodes; ++i) {
        VmId vm { "node-" + std::to_string(i) };
        wire::NodeSums expected = aggregator.digestFor(vm, totals, now);
        wire::NodeSums sums = totals.toMessage();
        auto own = aggregator.ownPartOf(vm, now);
        REQUIRE(own);
        // The parts are encoded separately, and the receiver decodes them as one message.
        wire::Datagram common;
        *common.mutable_relayed()->mutable_sums() = sums;
        wire::Datagram part;
        *part.mutable_relayed()->mutable_own() = *own;
        wire::Datagram received;
        REQUIRE(received.ParseFromString(common.SerializeAsString() + part.SerializeAsString()));
        REQUIRE(received.relayed().has_own());
        subtract(*received.mutable_relayed()->mutable_sums(), received.relayed().own());
        const wire::NodeSums& result = received.relayed().sums();
        CHECK(result.nodes() == expected.nodes());
        CHECK(admittedIn(result) == Approx(admittedIn(expected)));
        CHECK(demandIn(result) == Approx(demandIn(expected)));
        LoadTable loads = loadsOf(result.loads());
        std::erase_if(loads, [](const auto& entry) { return !entry.second.running_ && !entry.second.queuedTokens_ && !entry.second.waitSamples_; });
        LoadTable expectedLoads = loadsOf(expected.loads());
        CHECK(loads.size() == expectedLoads.size());
        for (const auto& [backend, load] : expectedLoads) {
            CHECK(loads[backend].running_ == load.running_);
            CHECK(loads[backend].queuedTokens_ == load.queuedTokens_);
            CHECK(loads[backend].waitSamples_ == load.waitSamples_);
            CHECK(loads[backend].waitRatios_ == load.waitRatios_);
        }
    }
}

TEST_CASE("samples of waits travel with engines at which nothing runs, and cost a few bytes", "[relay]")
{
    struct Row {
        const char* name_;
        std::uint32_t samples_;
        std::uint32_t ratios_;
        double bytes_;
    };
    // A node alone sees an engine about once in 12 s; 85 nodes together see it 105 times in 14.4 s.
    auto row = GENERATE(values<Row>({
        { "no samples", 0, 0, 0 },
        { "report of a node", 120, 1020, 3.1 },
        { "digest of 85 nodes", 10500, 89000, 5.1 },
    }));
    CAPTURE(row.name_);
    constexpr BackendKey engines = 60;
    LoadTable loads;
    LoadTable withSamples;
    for (BackendKey engine = 0; engine < engines; ++engine) {
        loads[engine] = { 5, 9000 };
        withSamples[engine] = { 5, 9000, row.samples_, row.ratios_ };
    }
    withSamples[engines] = { 0, 0, row.samples_, row.ratios_ };
    wire::BackendLoads plain;
    putLoads(loads, plain);
    wire::BackendLoads message;
    putLoads(withSamples, message);
    CHECK(loadsOf(message).size() == engines + (row.samples_ ? 1 : 0));
    CHECK(loadsOf(message)[engines].waitSamples_ == row.samples_);
    CHECK(loadsOf(message)[engines].waitRatios_ == row.ratios_);
    message.mutable_backends()->Truncate(engines);
    message.mutable_running()->Truncate(engines);
    message.mutable_queued_tokens()->Truncate(engines);
    message.mutable_wait_samples()->Truncate(std::min<int>(engines, message.wait_samples_size()));
    message.mutable_wait_ratios()->Truncate(std::min<int>(engines, message.wait_ratios_size()));
    double perEngine = static_cast<double>(message.ByteSizeLong() - plain.ByteSizeLong()) / engines;
    CHECK(perEngine <= row.bytes_ + 0.1);
    CHECK(perEngine >= row.bytes_ - 0.1);
}

TEST_CASE("loads of an earlier version contain no samples of waits", "[relay]")
{
    wire::NodeSums sums;
    putLoads({ { 7, { 5, 1000, 300, 4000 } } }, *sums.mutable_loads());
    wire::NodeSums own;
    putLoads({ { 7, { 2, 400, 100, 1500 } } }, *own.mutable_loads());
    wire::NodeSums& earlier = GENERATE(true, false) ? sums : own;
    earlier.mutable_loads()->clear_wait_samples();
    earlier.mutable_loads()->clear_wait_ratios();
    std::uint32_t samples = loadsOf(sums.loads()).at(7).waitSamples_;
    subtract(sums, own);
    CHECK(loadsOf(sums.loads()).at(7).running_ == 3);
    CHECK(loadsOf(sums.loads()).at(7).waitSamples_ == samples);
}

TEST_CASE("the holder of the duties and nodes of older versions get digests of their own", "[relay]")
{
    ReportAggregator aggregator(window);
    wire::NodeReport holder = report("holder", {}, 1, 5);
    holder.set_takes_common_sums(true);
    aggregator.applyReport(holder, start);
    aggregator.applyReport(report("older", {}), start);
    CHECK_FALSE(aggregator.ownPartOf({ "holder" }, start));
    CHECK_FALSE(aggregator.ownPartOf({ "older" }, start));
    CHECK_FALSE(aggregator.ownPartOf({ "unknown" }, start));
}

TEST_CASE("a message to the holder of the duties fits into datagrams, whatever the number of organisations", "[relay]")
{
    auto organisations = GENERATE(std::uint64_t { 10 }, std::uint64_t { 333 }, std::uint64_t { 700 });
    CAPTURE(organisations);
    constexpr std::uint64_t windows = 6;
    wire::Datagram datagram;
    wire::RelayReport& relayed = *datagram.mutable_relayed();
    relayed.set_vm("relay");
    relayed.set_data_centre("a");
    relayed.set_is_digest(true);
    std::map<WindowNumber, UsageCounts> usage;
    for (std::uint64_t i = 0; i < organisations; ++i) {
        std::string name = "organisation-" + std::to_string(i);
        wire::QuotaReport& quota = *relayed.mutable_sums()->add_quotas();
        quota.set_organisation(name);
        quota.set_admitted(123456.5);
        quota.set_level(654321.5);
        for (std::uint64_t number = 0; number < windows; ++number)
            usage[{ number }][{ name }] = 1000 + i;
    }
    putUsage(usage, *relayed.mutable_sums()->mutable_usage());
    std::vector<wire::Datagram> separate = separateUsage(datagram);
    CHECK((separate.empty() || separate.size() == windows));
    CHECK(datagram.ByteSizeLong() < maxDatagramSize);
    // The receiver has the same windows, in the sums or apart.
    std::map<WindowNumber, UsageCounts> received = usageOf(datagram.relayed().sums().usage());
    for (const wire::Datagram& part : separate) {
        CHECK(part.ByteSizeLong() < maxDatagramSize);
        CHECK(part.relayed().is_digest());
        received.merge(usageOf(part.relayed().usage()));
    }
    CHECK(received == usage);
}
