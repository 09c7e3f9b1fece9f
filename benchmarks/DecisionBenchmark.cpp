//===- benchmarks/DecisionBenchmark.cpp - scaling of the decision code ----===//
///
/// \file
/// Measures time and memory of the decision code, which does no input or output, at
/// three sizes or more, and checks bounds on their growth. The bounds are on ratios
/// within one run, so they hold on a busy machine too.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Catalogue.h"
#include "pistachioloom/Ledger.h"
#include "pistachioloom/Limits.h"
#include "pistachioloom/Origins.h"
#include "pistachioloom/Routing.h"

#include "generated/Peer.pb.h"
#include <algorithm>
#include <cstdio>
#include <malloc.h>
#include <random>

using namespace pistachioloom;

namespace {

constexpr int samples = 9;
bool isWithinBounds = true;

/// Returns the time of one call in microseconds: the median over the samples, each of
/// which is the mean of \p count calls.
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

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void checkBound(const char* quantity, double value, double maxValue)
{
    bool hasPassed = value <= maxValue;
    isWithinBounds &= hasPassed;
    std::printf("  bound: %s is %.2f, at most %.2f: %s\n", quantity, value, maxValue, hasPassed ? "ok" : "FAILED");
}

VmList makeList(std::size_t dataCentres, std::size_t nodes, std::size_t engines)
{
    VmList list { 1, {} };
    for (std::size_t d = 0; d < dataCentres; ++d) {
        DataCentreId dataCentre { "data-centre-" + std::to_string(d) };
        for (std::size_t i = 0; i < nodes + engines; ++i) {
            Vm vm;
            vm.id_ = { (i < nodes ? "entry-" : "engine-") + std::to_string(d) + "-" + std::to_string(i) };
            vm.kind_ = i < nodes ? Vm::Kind::Entry : Vm::Kind::ModelEngine;
            vm.dataCentre_ = dataCentre;
            vm.host_ = "10.0.0.1";
            if (i >= nodes)
                vm.serves_ = { "model-" + std::to_string(i % 4) };
            list.vms_.push_back(std::move(vm));
        }
    }
    return list;
}

NodeDigest makeDigest(std::size_t index)
{
    NodeDigest digest;
    digest.node_ = { "entry-0-" + std::to_string(index) };
    digest.incarnation_ = 1764700000000ULL;
    digest.heartbeat_ = 100000 + index;
    digest.catalogueOffset_ = { 50000 };
    digest.vmListVersion_ = 40000;
    for (int model = 0; model < 4; ++model)
        digest.loads_["model-" + std::to_string(model)] = { 17, 3, milliseconds(120) };
    return digest;
}

void benchMembership()
{
    std::printf("\nmembership: nodes of a data centre, engines and data centres of the deployment\n");
    std::printf("%8s %8s %8s %14s %14s %14s %14s %14s\n", "nodes", "engines", "dcs", "merge us", "view us", "index us", "index KiB", "gossip B");
    double smallViewUs = 0;
    double largeViewUs = 0;
    struct Size {
        std::size_t dataCentres_;
        std::size_t nodes_;
        std::size_t engines_;
    };
    for (Size size : { Size { 3, 3, 5 }, Size { 3, 9, 50 }, Size { 14, 26, 150 }, Size { 14, 52, 300 } }) {
        SteadyTime now {};
        GossipTable table({ "entry-0-0" }, 1, milliseconds(2500));
        std::vector<NodeDigest> digests;
        for (std::size_t i = 1; i < size.nodes_; ++i)
            digests.push_back(makeDigest(i));
        double merge = medianTimeUs(200, [&] {
            for (NodeDigest& digest : digests)
                ++digest.heartbeat_;
            table.merge(digests, now);
        });
        VmList list = makeList(size.dataCentres_, size.nodes_, size.engines_);
        std::size_t before = heapBytes();
        auto index = indexVmList(list);
        std::size_t memory = heapBytes() - before;
        double indexing = medianTimeUs(3, [&] { indexVmList(list); });
        LeavingTable leaving;
        double view = medianTimeUs(20, [&] { buildView(index, table, leaving, { "data-centre-0" }, now); });
        wire::Frame frame;
        for (std::size_t i = 0; i < size.nodes_; ++i) {
            NodeDigest digest = makeDigest(i);
            wire::NodeDigest& encoded = *frame.mutable_gossip()->add_digests();
            encoded.set_node_hash(static_cast<std::uint32_t>(stableHash(digest.node_.value_)));
            encoded.set_incarnation(digest.incarnation_);
            encoded.set_heartbeat(digest.heartbeat_);
        }
        NodeDigest self = makeDigest(0);
        frame.mutable_gossip()->set_sender(self.node_.value_);
        frame.mutable_gossip()->set_catalogue_offset(self.catalogueOffset_.value_);
        frame.mutable_gossip()->set_vm_list_version(self.vmListVersion_);
        for (const auto& [model, load] : self.loads_) {
            wire::ModelLoad& encoded = *frame.mutable_gossip()->add_loads();
            encoded.set_model(model);
            encoded.set_free_slots(load.freeSlots_);
            encoded.set_queued(load.queued_);
            encoded.set_wait_ms(120);
        }
        std::printf("%8zu %8zu %8zu %14.1f %14.1f %14.1f %14.1f %14zu\n", size.nodes_, size.engines_ * size.dataCentres_, size.dataCentres_, merge, view, indexing, static_cast<double>(memory) / 1024, frame.ByteSizeLong());
        if (size.nodes_ == 3)
            smallViewUs = view / static_cast<double>(list.vms_.size());
        if (size.nodes_ == 52)
            largeViewUs = view / static_cast<double>(list.vms_.size());
    }
    checkBound("time per VM to build the membership view, 52 nodes relative to 3", largeViewUs / smallViewUs, 3);
}

void benchRouting()
{
    std::printf("\nrouting: one choice among the engines of a data centre that serve the model\n");
    std::printf("%8s %14s %14s %14s\n", "engines", "sample us", "rank us", "together us");
    std::mt19937_64 generator(1);
    double rankSmall = 0;
    double rankLarge = 0;
    for (std::size_t count : { std::size_t { 12 }, std::size_t { 150 }, std::size_t { 2100 } }) {
        std::vector<VmId> engines;
        for (std::size_t i = 0; i < count; ++i)
            engines.push_back({ "engine-0-" + std::to_string(i) });
        std::uint64_t prefix = 0;
        double sample = medianTimeUs(50, [&] { sampleEngines(++prefix, engines, 2, 2, [&] { return generator(); }); });
        std::vector<EngineCandidate> candidates(8);
        double rank = medianTimeUs(2000, [&] { rankEngines(candidates, {}); });
        std::printf("%8zu %14.2f %14.2f %14.2f\n", count, sample, rank, sample + rank);
        (count == 12 ? rankSmall : rankLarge) = rank;
    }
    checkBound("time to rank the sample, 2,100 engines relative to 12", rankLarge / rankSmall, 2);
}

void benchLedger()
{
    std::printf("\nledger: keys held by one shard\n");
    std::printf("%8s %14s %14s %14s\n", "keys", "apply us", "find us", "bytes/key");
    double small = 0;
    double large = 0;
    for (std::size_t count : { std::size_t { 1000 }, std::size_t { 10000 }, std::size_t { 100000 } }) {
        std::size_t before = heapBytes();
        LedgerShard shard;
        std::vector<CallKey> keys;
        for (std::size_t i = 0; i < count; ++i)
            keys.push_back(makeCallKey({ "rede" }, { "labels" }, { "order-" + std::to_string(i) }));
        std::size_t keysOnly = heapBytes() - before;
        auto startedAt = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < count; ++i) {
            LedgerItem intent { LedgerItem::Type::Intent, keys[i], { "b41f0a52-66c5-4be8-9d4d-9f9f3d1d1c11" }, sha256Hex("body"), {} };
            LedgerItem outcome = intent;
            outcome.type_ = LedgerItem::Type::Outcome;
            outcome.outcome_ = { 200, "application/json", std::string(80, 'x') };
            shard.apply({ 2 * i }, { intent });
            shard.apply({ 2 * i + 1 }, { outcome });
        }
        std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - startedAt;
        double bytes = static_cast<double>(heapBytes() - before - keysOnly) / static_cast<double>(count);
        std::size_t next = 0;
        double find = medianTimeUs(5000, [&] { shard.find(keys[next++ % count]); });
        double apply = elapsed.count() / static_cast<double>(2 * count);
        std::printf("%8zu %14.2f %14.2f %14.0f\n", count, apply, find, bytes);
        (count == 1000 ? small : large) = bytes;
    }
    checkBound("bytes per key, 100,000 keys relative to 1,000", large / small, 1.3);
}

std::string entryText(std::size_t index)
{
    return "name: entry-" + std::to_string(index) + "\nkind: workload\nowner: organisation-" + std::to_string(index % 50)
        + "\nclass: paid\napi_key_sha256: " + sha256Hex(std::to_string(index))
        + "\nmodels: [model-1, model-2]\nservices: [labels]\nlimits:\n  requests_in_progress: 100\n  tokens_per_second: 50000\n  latency_target: 720ms\n";
}

void benchCatalogue()
{
    std::printf("\ncatalogue: entries\n");
    std::printf("%8s %14s %14s %14s %14s %14s\n", "entries", "edit us", "publish us", "find key us", "bytes/entry", "snapshot KiB");
    double smallBytes = 0;
    double largeBytes = 0;
    for (std::size_t count : { std::size_t { 10 }, std::size_t { 100 }, std::size_t { 1000 } }) {
        std::size_t before = heapBytes();
        CatalogueState state;
        std::uint64_t offset = 0;
        for (std::size_t i = 0; i < count; ++i)
            state.apply({ offset++ }, encodeEdit({ { makeUuid() }, { "entry-" + std::to_string(i) }, {}, entryText(i) }));
        double bytes = static_cast<double>(heapBytes() - before) / static_cast<double>(count);
        double edit = medianTimeUs(10, [&] {
            auto current = state.view().findEntry({ "entry-1" });
            state.apply({ offset++ }, encodeEdit({ { makeUuid() }, { "entry-1" }, current->version_, entryText(1) }));
        });
        double publish = medianTimeUs(10, [&] { auto copy = std::make_shared<const CatalogueView>(state.view()); });
        double find = medianTimeUs(1000, [&] { state.view().findByApiKey("1"); });
        std::printf("%8zu %14.1f %14.1f %14.2f %14.0f %14.1f\n", count, edit, publish, find, bytes, static_cast<double>(state.encodeSnapshot().size()) / 1024);
        (count == 10 ? smallBytes : largeBytes) = bytes;
    }
    checkBound("bytes per entry, 1,000 entries relative to 10", largeBytes / smallBytes, 1.5);
}

void benchLimits()
{
    std::printf("\nlimits: one grant at its coordinator, by nodes of the data centre\n");
    std::printf("%8s %14s\n", "nodes", "grant us");
    for (std::size_t count : { std::size_t { 3 }, std::size_t { 9 }, std::size_t { 26 }, std::size_t { 52 } }) {
        GrantTable table;
        std::vector<VmId> nodes;
        for (std::size_t i = 0; i < count; ++i)
            nodes.push_back({ "entry-0-" + std::to_string(i) });
        std::size_t next = 0;
        double grant = medianTimeUs(2000, [&] { table.request({ "entry" }, nodes[next++ % count], 100, 2, 6, milliseconds(2000), SteadyTime {}); });
        std::printf("%8zu %14.2f\n", count, grant);
    }
}

/// The choice of a stream's holders, and the memory and messages of its origin.
void benchOrigins()
{
    std::puts("origins of streams");
    double before = 0;
    for (std::size_t count : { 9, 63, 195, 985, 1970 }) {
        std::vector<OriginNode> nodes;
        for (std::size_t i = 0; i < count; ++i)
            nodes.push_back({ { "edge-data-centre-" + std::to_string(i) }, { "data-centre-" + std::to_string(i % 14) }, { "10.0.0.1", 7500 } });
        std::uint64_t stream = 0;
        double time = medianTimeUs(200, [&] { (void)rankOriginNodes({ ++stream }, nodes, OriginSettings {}.holders_); });
        std::printf("  %5zu nodes: holders chosen in %.1f us\n", count, time);
        if (count == 1970)
            checkBound("time at 1,970 nodes against 985", time / before, 3);
        before = time;
    }
    std::size_t heap = heapBytes();
    constexpr std::size_t origins = 20000;
    OriginTable table;
    for (std::size_t i = 0; i < origins; ++i)
        table.add({ mixBits(i) }, { { i }, false }, SteadyTime { milliseconds(static_cast<std::int64_t>(i)) });
    std::printf("  %zu origins: %.0f bytes each\n", origins, static_cast<double>(heapBytes() - heap) / origins);
    wire::Datagram told;
    told.mutable_origin()->set_stream(mixBits(1));
    told.mutable_origin()->set_software(mixBits(2));
    wire::Datagram asked;
    asked.mutable_origin_query()->set_number(mixBits(3));
    asked.mutable_origin_query()->set_stream(mixBits(1));
    wire::Datagram answered;
    answered.mutable_origin_answer()->set_number(mixBits(3));
    *answered.mutable_origin_answer()->mutable_origin() = told.origin();
    std::printf("  messages: told %zu, asked %zu, answered %zu bytes\n", told.ByteSizeLong(), asked.ByteSizeLong(), answered.ByteSizeLong());
}

} // namespace

int main()
{
    benchOrigins();
    benchMembership();
    benchRouting();
    benchLedger();
    benchCatalogue();
    benchLimits();
    return isWithinBounds ? 0 : 1;
}
