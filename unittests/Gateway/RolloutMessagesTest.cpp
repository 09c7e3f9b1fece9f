//===- unittests/Gateway/RolloutMessagesTest.cpp - roll-out messages ------===//
///
/// \file
/// Tests that a node reads the same states and counts of orders that another node sent,
/// also through relays.
//===----------------------------------------------------------------------===//
#include "RolloutMessages.h"
#include "ReportAggregator.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const SteadyTime now { std::chrono::hours(1) };
const ServiceName service { "s" };
const RolloutState state { { { 7 }, service, { "v2" }, milliseconds(12000) }, RolloutPhase::Trial, 0.08, 3, 4 };

wire::NodeReport reportOf(const std::string& vm, std::uint64_t answers, std::uint64_t dutyToken)
{
    wire::NodeReport report;
    report.set_vm(vm);
    report.set_incarnation(1);
    report.set_duty_token(dutyToken);
    putRollouts({ { state, now - milliseconds(300), now } }, *report.mutable_rollouts(), now);
    putTallies({ { service, { { 7 }, 2 * answers, answers, { { { 5, 6 }, { answers, 1 } } } } } }, *report.mutable_rollout_counts());
    return report;
}

} // namespace

TEST_CASE("states and counts of orders are read as they were sent", "[gateway]")
{
    CHECK(fromWire(toWire(state)) == state);
    google::protobuf::RepeatedPtrField<wire::RolloutCounts> message;
    RolloutTally tally { { 7 }, 100, 8, { { { stableBackendKey, 6 }, { 92, 2 } }, { { 5, 6 }, { 8, 3 } } } };
    putTallies({ { service, tally } }, message);
    RolloutTallies read = talliesOf(message);
    REQUIRE(read.contains(service));
    CHECK(read[service].cells_ == tally.cells_);
    CHECK(read[service].exposed_ == 8);
}

TEST_CASE("reports of orders with missing or invalid fields are rejected or clamped", "[gateway]")
{
    struct Row {
        const char* name_;
        std::function<void(wire::RolloutReport&)> change_;
    };
    const Row rows[] = {
        { "no order", [](wire::RolloutReport& report) { report.set_number(0); } },
        { "no service", [](wire::RolloutReport& report) { report.clear_service(); } },
        { "no target", [](wire::RolloutReport& report) { report.clear_target(); } },
        { "unknown phase", [](wire::RolloutReport& report) { report.set_phase("paused"); } },
        { "share is not a number", [](wire::RolloutReport& report) { report.set_share(std::numeric_limits<double>::quiet_NaN()); } },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name_);
        wire::RolloutReport report = toWire(state);
        row.change_(report);
        CHECK_FALSE(fromWire(report));
    }
    wire::RolloutReport report = toWire(state);
    report.set_share(7);
    CHECK(fromWire(report)->share_ == 1);
    google::protobuf::RepeatedPtrField<wire::RolloutCounts> message;
    wire::RolloutCounts& counts = *message.Add();
    counts.set_service("s");
    counts.add_backends(1);
    counts.add_routes(2);
    counts.add_answers(3);
    CHECK(talliesOf(message)[service].cells_.empty());
}

TEST_CASE("relays send counts of orders only to the holder of the duties, and states to all nodes", "[gateway]")
{
    ReportAggregator aggregator(milliseconds(5000));
    aggregator.applyReport(reportOf("holder", 10, 9), now);
    aggregator.applyReport(reportOf("other", 20, 0), now);
    aggregator.applyReport(reportOf("third", 30, 0), now);
    wire::NodeSums toHolder = aggregator.digestFor({ "holder" }, aggregator.totals(now), now);
    CHECK(talliesOf(toHolder.rollout_counts())[service].exposed_ == 50);
    CHECK(talliesOf(toHolder.rollout_counts())[service].cells_[{ 5, 6 }].answers_ == 50);
    wire::NodeSums toOther = aggregator.digestFor({ "other" }, aggregator.totals(now), now);
    CHECK(toOther.rollout_counts().empty());
    REQUIRE(toOther.rollouts_size() == 1);
    CHECK(fromWire(toOther.rollouts(0)) == state);
    // The age is the time since the holder's report, also in a relay's digest.
    CHECK(toOther.rollouts(0).age_ms() >= 300);
    CHECK(aggregator.summaryFor({ "elsewhere" }, now).rollout_counts().empty());
}
