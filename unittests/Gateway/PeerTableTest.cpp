//===- unittests/Gateway/PeerTableTest.cpp - choice of relays -------------===//
///
/// \file
/// Nodes that know the same peers choose the same relays, and skip relays that become
/// unresponsive.
//===----------------------------------------------------------------------===//
#include "PeerTable.h"

#include <catch2/catch.hpp>
#include <set>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };
constexpr milliseconds period { 200 };
const DataCentreId near { "near" };
const DataCentreId far { "far" };

VmId vmOf(int index)
{
    return { "vm-" + std::to_string(index) };
}

Peer peerAt(const DataCentreId& dataCentre, double cores, SteadyTime receivedAt, std::uint64_t sequence)
{
    Peer peer;
    peer.gossipEndpoint_ = { "10.0.0.1", 7500 };
    peer.dataCentre_ = dataCentre;
    peer.incarnation_ = 1;
    peer.sequence_ = sequence;
    peer.cores_ = cores;
    peer.receivedAt_ = receivedAt;
    return peer;
}

/// Applies reports of all other nodes of \p count nodes to the table of node \p self.
void reportAll(PeerTable& table, int self, int count)
{
    for (int i = 0; i < count; ++i) {
        if (i != self)
            (void)table.applyReport(vmOf(i), peerAt(near, 1, start, 1));
    }
}

} // namespace

TEST_CASE("all nodes of a data centre choose the same relays", "[peers]")
{
    auto count = GENERATE(2, 5, 26);
    std::set<std::vector<VmId>> choices;
    for (int self = 0; self < count; ++self) {
        PeerTable table(vmOf(self), near, 1, {});
        reportAll(table, self, count);
        choices.insert(table.chooseRelays(start));
    }
    CHECK(choices.size() == 1);
    CHECK(choices.begin()->size() == 2);
}

TEST_CASE("nodes with more CPU cores are chosen first", "[peers]")
{
    PeerTable table(vmOf(0), near, 0.25, {});
    reportAll(table, 0, 26);
    (void)table.applyReport(vmOf(40), peerAt(near, 8, start, 1));
    (void)table.applyReport(vmOf(41), peerAt(near, 4, start, 1));
    (void)table.applyReport(vmOf(42), peerAt(far, 64, start, 1));
    CHECK(table.chooseRelays(start) == std::vector<VmId> { vmOf(40), vmOf(41) });
    CHECK(table.likelyRelays(far, 0, start) == std::vector<VmId> { vmOf(42) });
    CHECK(table.otherDataCentres() == std::vector<DataCentreId> { far });
}

TEST_CASE("a relay that sends no sums is skipped, and tried again later", "[peers]")
{
    PeerTable table(vmOf(0), near, 0.1, {});
    (void)table.applyReport(vmOf(1), peerAt(near, 8, start, 1));
    (void)table.applyReport(vmOf(2), peerAt(near, 4, start, 1));
    (void)table.applyReport(vmOf(3), peerAt(near, 2, start, 1));
    SteadyTime now = start;
    for (; now <= start + 3 * period; now += period) {
        CHECK(table.chooseRelays(now) == std::vector<VmId> { vmOf(1), vmOf(2) });
        table.noteDigest(vmOf(2), now);
    }
    CHECK(table.chooseRelays(now) == std::vector<VmId> { vmOf(2), vmOf(3) });
    for (; now <= start + milliseconds(3200); now += period) {
        table.noteDigest(vmOf(2), now);
        table.noteDigest(vmOf(3), now);
        (void)table.chooseRelays(now);
    }
    CHECK(table.chooseRelays(now).front() == vmOf(1));
}

TEST_CASE("relays that all stop at the same time are replaced within a second", "[peers]")
{
    PeerTable table(vmOf(0), near, 0.1, {});
    for (int i = 1; i <= 4; ++i)
        (void)table.applyReport(vmOf(i), peerAt(near, 10 - i, start, 1));
    // Only nodes 3 and 4 still run; no node reports to this one directly.
    SteadyTime now = start;
    std::vector<VmId> chosen;
    for (; now <= start + milliseconds(1000); now += period) {
        chosen = table.chooseRelays(now);
        for (const VmId& vm : chosen) {
            if (vm == vmOf(3) || vm == vmOf(4))
                table.noteDigest(vm, now);
        }
    }
    CHECK(chosen == std::vector<VmId> { vmOf(3), vmOf(4) });
}

TEST_CASE("the state of a node that a relay reports is applied only if it is newer than the node's own report", "[peers]")
{
    PeerTable table(vmOf(0), near, 1, {});
    Peer reported = peerAt(near, 1, start, 5);
    reported.configurationVersion_ = 8;
    CHECK(table.applyReport(vmOf(1), reported) == PeerTable::ReportKind::Restarted);
    Peer relayed = peerAt(near, 1, start - milliseconds(100), 0);
    relayed.configurationVersion_ = 7;
    table.applyRelayedState(vmOf(1), relayed);
    CHECK(table.reportedWithin(milliseconds(1), start).front().second.configurationVersion_ == 8);
    relayed.receivedAt_ = start + milliseconds(100);
    table.applyRelayedState(vmOf(1), relayed);
    CHECK(table.reportedWithin(milliseconds(1), start + milliseconds(100)).front().second.configurationVersion_ == 7);
    // Sequence numbers of direct reports continue where they were.
    CHECK(table.applyReport(vmOf(1), peerAt(near, 1, start + milliseconds(200), 5)) == PeerTable::ReportKind::Outdated);
    CHECK(table.applyReport(vmOf(1), peerAt(near, 1, start + milliseconds(200), 6)) == PeerTable::ReportKind::Regular);
}

TEST_CASE("nodes that are unresponsive for long are removed", "[peers]")
{
    PeerTable table(vmOf(0), near, 1, {});
    table.addKnownPeer(vmOf(9), { "10.0.0.9", 7500 });
    (void)table.applyReport(vmOf(1), peerAt(near, 1, start, 1));
    CHECK(table.removeUnresponsive(start + milliseconds(29000)).empty());
    CHECK(table.removeUnresponsive(start + milliseconds(31000)) == std::vector<VmId> { vmOf(1) });
    // A node that was advertised but never reported stays in the table.
    CHECK(table.size() == 1);
}

TEST_CASE("coverage of a few nodes is distinguished from coverage of all", "[peers]")
{
    struct Row {
        std::uint64_t reportedNodes_;
        std::uint64_t knownNodes_;
        bool isComplete_;
        bool hasMajority_;
    };
    auto row = GENERATE(values<Row>({
        { 1, 1, true, true },
        { 2, 195, false, false },
        { 98, 195, false, true },
        { 156, 195, false, true },
        { 180, 195, true, true },
        { 195, 195, true, true },
        { 1, 2, false, false },
    }));
    CAPTURE(row.reportedNodes_, row.knownNodes_);
    CHECK(Coverage { row.reportedNodes_, row.knownNodes_ }.isComplete() == row.isComplete_);
    CHECK(Coverage { row.reportedNodes_, row.knownNodes_ }.hasMajority() == row.hasMajority_);
}

TEST_CASE("a node is not removed between two of its introductions, whatever the size of the fleet", "[peers]")
{
    auto count = GENERATE(9, 63, 370, 985, 2000);
    CAPTURE(count);
    PeerTable table(vmOf(0), near, 1, {});
    reportAll(table, 0, count);
    // A node introduces itself to every other one once per rotation.
    milliseconds rotation = period * (count / static_cast<int>(introductionsPerPeriod) + 1);
    CHECK(table.removeUnresponsive(start + 2 * rotation).empty());
    CHECK(table.removeUnresponsive(start + 4 * rotation + milliseconds(31000)).size() == static_cast<std::size_t>(count - 1));
}

TEST_CASE("a small fleet's unresponsive nodes hold the origins of streams, or a large fleet's silent ones do not", "[peers]")
{
    for (int count : { 9, 60 }) {
        PeerTable table(vmOf(0), near, 1, GossipSettings {});
        reportAll(table, 0, count);
        table.addKnownPeer({ "advertised" }, { "10.0.0.2", 7500 });
        CHECK(table.originNodes(start).size() == static_cast<std::size_t>(count - 1));
        SteadyTime later = start + GossipSettings {}.unresponsiveAfter_ + period;
        CHECK(table.originNodes(later).size() == static_cast<std::size_t>(count > 24 ? count - 1 : 0));
    }
}
