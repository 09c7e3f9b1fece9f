//===- unittests/Gateway/BackendNoticesTest.cpp - waves of leaving servers ===//
///
/// \file
/// Load pattern: hundreds or thousands of backend servers leave at once. Every node must
/// know within seconds, and the messages that say so must not grow with the wave.
//===----------------------------------------------------------------------===//
#include "BackendNotices.h"
#include "BackendStatements.h"
#include "ReportAggregator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };
constexpr milliseconds period { 200 };
constexpr milliseconds duration { 10000 };

BackendId idOf(std::size_t index)
{
    return { "i-0123456789-" + std::to_string(index) };
}

} // namespace

TEST_CASE("a wave of leaving backend servers is told in messages of bounded size", "[notices]")
{
    auto leaving = GENERATE(std::size_t { 3 }, std::size_t { 512 }, std::size_t { 2000 }, std::size_t { 6000 });
    CAPTURE(leaving);
    BackendNotices notices(duration);
    for (std::size_t i = 0; i < leaving; ++i)
        CHECK(notices.add(idOf(i), start));
    CHECK_FALSE(notices.add(idOf(0), start));
    ReportAggregator relay(milliseconds(5000));
    std::set<std::string> received;
    std::size_t maxSize = 0;
    // The node that detected it reports to a relay, which reports to all other nodes.
    for (SteadyTime now = start; now - start <= duration; now += period) {
        wire::NodeReport report;
        report.set_vm("reader");
        report.set_incarnation(1);
        for (const BackendId& id : notices.select(now))
            report.add_leaving(id.value_);
        maxSize = std::max(maxSize, report.ByteSizeLong());
        relay.applyReport(report, now);
        wire::NodeSums digest = relay.totals(now).toMessage();
        maxSize = std::max(maxSize, digest.ByteSizeLong());
        received.insert(digest.leaving().begin(), digest.leaving().end());
    }
    CHECK(received.size() == leaving);
    CHECK(maxSize < maxDatagramSize / 4);
    CHECK(notices.select(start + duration + period).empty());
    CHECK_FALSE(notices.contains(idOf(0)));
}

// Guards against a notice that nodes go on telling each other, so that a server that has come back is left
// out for good.
TEST_CASE("nodes repeat each other's notices without end", "[notices]")
{
    std::vector<BackendNotices> nodes(3, BackendNotices(duration));
    CHECK(nodes[0].add(idOf(0), start));
    SteadyTime lastTold {};
    for (SteadyTime now = start; now - start <= 10 * duration; now += period) {
        for (std::size_t sender = 0; sender < nodes.size(); ++sender) {
            for (const BackendId& id : nodes[sender].select(now)) {
                lastTold = now;
                nodes[(sender + 1) % nodes.size()].add(id, now + period / 2);
            }
        }
    }
    CHECK(lastTold - start <= 2 * duration);
}

TEST_CASE("the latest statement of a backend server reaches all nodes, in messages of bounded size", "[notices]")
{
    auto servers = GENERATE(std::size_t { 2 }, std::size_t { 2000 });
    CAPTURE(servers);
    BackendStatements told;
    for (std::size_t i = 0; i < servers; ++i)
        CHECK(told.add({ idOf(i), ConditionKind::RequestLimit, 2, start }));
    // Late word of an earlier state, the end of the limit, and a repetition of it.
    CHECK_FALSE(told.add({ idOf(0), ConditionKind::RequestLimit, 9, start - period }));
    CHECK(told.add({ idOf(0), ConditionKind::RequestLimit, 0, start + period }));
    CHECK_FALSE(told.add({ idOf(0), ConditionKind::RequestLimit, 0, start + 2 * period }));
    BackendStatements other;
    CHECK(other.add({ idOf(0), ConditionKind::RequestLimit, 2, start }));
    ReportAggregator relay(milliseconds(5000));
    std::map<BackendId, double> received;
    std::size_t maxSize = 0;
    for (SteadyTime now = start + 2 * period; now - start <= statementLifetime; now += period) {
        for (auto* node : { &told, &other }) {
            wire::NodeReport report;
            report.set_vm(node == &told ? "told" : "other");
            report.set_incarnation(1);
            putStatements(node->select(now), *report.mutable_statements(), now);
            maxSize = std::max(maxSize, report.ByteSizeLong());
            relay.applyReport(report, now);
        }
        wire::NodeSums digest = relay.totals(now).toMessage();
        maxSize = std::max(maxSize, digest.ByteSizeLong());
        for (const BackendStatement& statement : statementsOf(digest.statements(), now))
            received[statement.backend_] = statement.value_;
    }
    CHECK(received.size() == servers);
    CHECK(maxSize < maxDatagramSize / 2);
    CHECK(told.select(start + statementLifetime + 3 * period).empty());
    if (servers == 2)
        CHECK(received[idOf(0)] == 0);
    CHECK(received[idOf(1)] == 2);
}

TEST_CASE("the newest leaving backend servers are in every message", "[notices]")
{
    BackendNotices notices(duration);
    for (std::size_t i = 0; i < 3000; ++i)
        notices.add(idOf(i), start);
    notices.add({ "newest" }, start + period);
    for (int message = 0; message < 100; ++message) {
        std::vector<BackendId> selected = notices.select(start + 2 * period);
        CHECK(selected.size() == maxNotices);
        CHECK(std::find(selected.begin(), selected.end(), BackendId { "newest" }) != selected.end());
        CHECK(std::set<BackendId>(selected.begin(), selected.end()).size() == selected.size());
    }
}
