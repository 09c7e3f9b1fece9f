//===- unittests/Membership/MembershipTest.cpp - gossip and VM list --------===//
///
/// \file
/// Tests of gossip with injected time, leaving VMs, the VM list, and the view
/// built from them.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Membership.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

constexpr milliseconds suspectAfter { 2500 };
const SteadyTime start {};

Vm entryVm(const std::string& id, const std::string& dataCentre)
{
    Vm vm;
    vm.id_ = { id };
    vm.dataCentre_ = { dataCentre };
    return vm;
}

Vm engineVm(const std::string& id, const std::string& dataCentre)
{
    Vm vm = entryVm(id, dataCentre);
    vm.kind_ = Vm::Kind::ModelEngine;
    vm.serves_ = { "m" };
    return vm;
}

NodeDigest digest(const std::string& node, std::uint64_t incarnation, std::uint64_t heartbeat)
{
    NodeDigest result;
    result.node_ = { node };
    result.incarnation_ = incarnation;
    result.heartbeat_ = heartbeat;
    return result;
}

/// Simulates nodes that gossip in rounds; a round lasts one heartbeat interval.
struct GossipSimulation {
    GossipSimulation(std::size_t count, std::uint64_t seed)
        : generator_(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            tables_.emplace_back(VmId { "n" + std::to_string(i) }, 1, suspicionTime(milliseconds(1500), milliseconds(500), count));
            isPaused_.push_back(false);
        }
    }

    void round(std::size_t fanout)
    {
        now_ += milliseconds(500);
        for (std::size_t i = 0; i < tables_.size(); ++i) {
            if (isPaused_[i])
                continue;
            tables_[i].advanceHeartbeat();
            for (std::size_t k = 0; k < fanout; ++k) {
                std::size_t peer = generator_() % tables_.size();
                if (isPaused_[peer])
                    continue;
                tables_[peer].merge(tables_[i].digests(now_), now_);
                tables_[i].merge(tables_[peer].digests(now_), now_);
            }
        }
    }

    std::vector<GossipTable> tables_;
    std::vector<bool> isPaused_;
    SteadyTime now_ = start;
    std::mt19937_64 generator_;
};

} // namespace

TEST_CASE("a newer heartbeat replaces an older one, and a newer incarnation replaces any heartbeat of an older one")
{
    GossipTable table({ "self" }, 1, suspectAfter);
    CHECK(table.merge({ digest("a", 1, 5) }, start));
    CHECK_FALSE(table.merge({ digest("a", 1, 5) }, start));
    CHECK_FALSE(table.merge({ digest("a", 1, 4) }, start));
    CHECK(table.merge({ digest("a", 2, 1) }, start));
    CHECK_FALSE(table.merge({ digest("a", 1, 99) }, start));
    CHECK_FALSE(table.merge({ digest("self", 9, 9) }, start));
}

TEST_CASE("a node is suspected after the suspicion time and trusted at its next heartbeat")
{
    GossipTable table({ "self" }, 1, suspectAfter);
    table.merge({ digest("a", 1, 1) }, start);
    table.expect({ { "a" }, { "b" }, { "self" } }, start);
    struct Moment {
        int ms_;
        bool isSuspected_;
    };
    auto moment = GENERATE(values<Moment>({ { 0, false }, { 2499, false }, { 2500, true }, { 9000, true } }));
    SteadyTime now = start + milliseconds(moment.ms_);
    CHECK(table.isSuspected({ "a" }, now) == moment.isSuspected_);
    CHECK(table.isSuspected({ "b" }, now) == moment.isSuspected_);
    CHECK_FALSE(table.isSuspected({ "self" }, now));
    table.merge({ digest("a", 1, 2) }, now);
    CHECK_FALSE(table.isSuspected({ "a" }, now));
}

TEST_CASE("gossip detects a stopped node in time and suspects no live one, at any size")
{
    auto count = GENERATE(std::size_t { 3 }, std::size_t { 9 }, std::size_t { 26 }, std::size_t { 52 });
    auto seed = GENERATE(range(0, 5));
    GossipSimulation simulation(count, static_cast<std::uint64_t>(seed));
    for (int i = 0; i < 12; ++i)
        simulation.round(1);
    VmId victim { "n0" };
    for (std::size_t i = 1; i < count; ++i)
        REQUIRE(simulation.tables_[i].live(simulation.now_).size() == count - 1);
    simulation.isPaused_[0] = true;
    bool isKnownToAll = false;
    int rounds = 0;
    for (; !isKnownToAll && rounds < 40; ++rounds) {
        simulation.round(1);
        isKnownToAll = true;
        for (std::size_t i = 1; i < count; ++i) {
            isKnownToAll &= simulation.tables_[i].isSuspected(victim, simulation.now_);
            for (std::size_t other = 1; other < count; ++other)
                REQUIRE_FALSE(simulation.tables_[i].isSuspected({ "n" + std::to_string(other) }, simulation.now_));
        }
    }
    INFO(count << " nodes, " << rounds << " rounds");
    CHECK(isKnownToAll);
    CHECK(rounds <= 16);
}

TEST_CASE("the view excludes suspected and leaving VMs but includes remote ones")
{
    VmList list { 7, { entryVm("self", "a"), entryVm("peer", "a"), entryVm("suspected", "a"), entryVm("leaving", "a"), entryVm("remote", "b"), engineVm("e1", "a"), engineVm("e2", "a"), engineVm("e3", "b") } };
    list.vms_[6].state_ = Vm::State::Leaving;
    GossipTable gossip({ "self" }, 1, suspectAfter);
    gossip.merge({ digest("suspected", 1, 1) }, start);
    SteadyTime now = start + milliseconds(5000);
    NodeDigest leavingNode = digest("leaving", 1, 9);
    leavingNode.isLeaving_ = true;
    gossip.merge({ digest("peer", 1, 9), leavingNode }, now);
    LeavingTable leaving;
    auto view = buildView(indexVmList(list), gossip, leaving, { "a" }, now);
    CHECK(view.localNodes_ == std::vector<VmId> { { "peer" }, { "self" } });
    CHECK(view.nodesOf({ "b" }) == std::vector<VmId> { { "remote" } });
    CHECK(view.serversOf("m", { "a" }) == std::vector<VmId> { { "e1" } });
    CHECK(view.serversOf("m", {}) == std::vector<VmId> { { "e1" }, { "e3" } });
    leaving.markLeaving({ "e1" }, std::nullopt, now);
    gossip.self().isLeaving_ = true;
    view = buildView(indexVmList(list), gossip, leaving, { "a" }, now);
    CHECK(view.serversOf("m", { "a" }).empty());
    CHECK(view.localNodes_ == std::vector<VmId> { { "peer" } });
}

TEST_CASE("a VM is marked as leaving once, and its first stop time is kept")
{
    LeavingTable leaving;
    CHECK(leaving.markLeaving({ "a" }, std::nullopt, start));
    // A first stop time changes the table, although the VM was marked before.
    CHECK(leaving.markLeaving({ "a" }, start + milliseconds(5), start));
    CHECK(leaving.stopsAt({ "a" }) == start + milliseconds(5));
    CHECK_FALSE(leaving.markLeaving({ "a" }, start + milliseconds(99), start));
    CHECK(leaving.stopsAt({ "a" }) == start + milliseconds(5));
    leaving.forgetOld(milliseconds(10), start + milliseconds(11));
    CHECK_FALSE(leaving.isLeaving({ "a" }));
}

TEST_CASE("a malformed VM list is rejected, and malformed VMs are left out")
{
    CHECK_FALSE(parseVmList("{"));
    CHECK_FALSE(parseVmList("[]"));
    CHECK_FALSE(parseVmList("{\"vms\":7}"));
    auto list = parseVmList(R"({"version":3,"vms":[7,{"id":"x"},{"id":"","kind":"entry"},{"id":"e","kind":"engine","port":80,"serves":["m",7]}]})");
    REQUIRE(list);
    REQUIRE(list->vms_.size() == 1);
    CHECK(list->vms_[0].serves_ == std::vector<std::string> { "m" });
}

namespace {

std::string vmJson(int vm, int price)
{
    return R"({"id":"vm-)" + std::to_string(vm) + R"(","kind":"engine","data_centre":"a","host":"10.0.0.1","port":80,"serves":["m"],"price_per_hour":)" + std::to_string(price) + "}";
}

std::map<VmId, std::uint64_t> pricesOf(const VmListStore& store)
{
    std::map<VmId, std::uint64_t> prices;
    for (const Vm& vm : store.list().vms_)
        prices[vm.id_] = vm.pricePerHour_;
    return prices;
}

} // namespace

TEST_CASE("peers that receive only changes reach the platform's list")
{
    std::size_t vmsSent = 0;
    std::size_t vmsListed = 0;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::mt19937_64 generator(seed);
        std::map<int, int> platform;
        VmListStore relay;
        std::vector<VmListStore> peers(3);
        for (std::uint64_t version = 1; version <= 60; ++version) {
            for (std::uint64_t i = 0; i < 1 + generator() % 3; ++i) {
                int vm = static_cast<int>(generator() % 30);
                if (generator() % 3)
                    platform[vm] = static_cast<int>(generator() % 1000);
                else
                    platform.erase(vm);
            }
            // The relay misses versions, and peers receive only some versions,
            // partly with a delay.
            bool isLast = version == 60;
            if (generator() % 3 == 0 && !isLast)
                continue;
            std::string text;
            for (const auto& [vm, price] : platform)
                text += (text.empty() ? "" : ",") + vmJson(vm, price);
            REQUIRE(relay.adoptList("{\"version\":" + std::to_string(version) + ",\"vms\":[" + text + "]}"));
            for (VmListStore& peer : peers) {
                VmListStore& source = generator() % 2 ? relay : peers[generator() % peers.size()];
                std::uint64_t base = generator() % 4 ? peer.version() : peer.version() / 2;
                VmListChanges changes = source.changesSince(base);
                if (generator() % 2 && peer.adoptChanges(changes)) {
                    vmsSent += changes.changed_.size();
                    vmsListed += source.list().vms_.size();
                }
                if (peer.version() == relay.version())
                    REQUIRE(pricesOf(peer) == pricesOf(relay));
            }
        }
        for (VmListStore& peer : peers) {
            peer.adoptChanges(relay.changesSince(peer.version()));
            REQUIRE(pricesOf(peer) == pricesOf(relay));
        }
        REQUIRE(relay.list().vms_.size() == platform.size());
    }
    CHECK(vmsSent < vmsListed / 2);
}

TEST_CASE("changes that are not newer or have another base version are rejected")
{
    VmListStore store;
    CHECK_FALSE(store.adoptChanges({ 5, 3, { vmJson(1, 1) }, {}, 0 }));
    CHECK(store.adoptChanges({ 5, 0, { vmJson(1, 1), vmJson(2, 2), "not a VM" }, {}, 0 }));
    CHECK_FALSE(store.adoptChanges({ 5, 0, {}, {}, 0 }));
    CHECK_FALSE(store.adoptChanges({ 9, 6, {}, {}, 0 }));
    CHECK(store.adoptChanges({ 6, 5, {}, { { "vm-1" } }, 0 }));
    CHECK(store.list().vms_.size() == 1);
    // The store never held version 4, so it does not know what was removed since then.
    CHECK(store.changesSince(4).base_ == 0);
    CHECK(store.changesSince(5).removed_.size() == 1);
}

TEST_CASE("a replica is placed in another data centre, if possible of the same region")
{
    VmList list { 1, {} };
    auto add = [&](const std::string& id, const std::string& dataCentre, const std::string& region) {
        Vm vm;
        vm.id_ = { id };
        vm.dataCentre_ = { dataCentre };
        vm.region_ = { region };
        list.vms_.push_back(vm);
    };
    add("self", "a", "south");
    add("a2", "a", "south");
    add("b1", "b", "south");
    add("b2", "b", "south");
    add("c1", "c", "north");
    MembershipView view;
    view.index_ = indexVmList(list);
    view.dataCentre_ = { "a" };
    view.localNodes_ = { { "a2" }, { "self" } };
    RecordLocation location { { "self" }, { "a" }, { "south" } };
    for (int i = 0; i < 20; ++i) {
        auto ranked = rankReplicas(view, location, "request " + std::to_string(i), {});
        REQUIRE(ranked.size() == 4);
        CHECK(ranked[0].value_.front() == 'b');
        CHECK(ranked[1].value_.front() == 'b');
        CHECK(ranked[2] == VmId { "c1" });
        CHECK(ranked[3] == VmId { "a2" });
    }
    auto ranked = rankReplicas(view, location, "request", { { "b1" }, { "b2" } });
    CHECK(ranked.front() == VmId { "c1" });
}

TEST_CASE("a list that differs under the same version is replaced by the full list")
{
    VmListStore relay;
    VmListStore peer;
    CHECK(relay.adoptChanges({ 5, 0, { vmJson(1, 1), vmJson(2, 2) }, {}, 0 }));
    CHECK(peer.adoptChanges({ 5, 0, { vmJson(1, 1) }, {}, 0 }));
    CHECK(relay.adoptChanges({ 6, 5, {}, {}, 0 }));
    CHECK(peer.adoptChanges(relay.changesSince(5)));
    CHECK(peer.version() == 0);
    CHECK(peer.adoptChanges(relay.changesSince(peer.version())));
    CHECK(peer.version() == 6);
    CHECK(pricesOf(peer) == pricesOf(relay));
}
