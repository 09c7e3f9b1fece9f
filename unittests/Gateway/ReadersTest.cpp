//===- unittests/Gateway/ReadersTest.cpp - nodes that poll the platform ---===//
///
/// \file
/// Every set of nodes has readers, whichever nodes stop, are rejected by the platform or
/// become unresponsive.
//===----------------------------------------------------------------------===//
#include "Readers.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>

using namespace pistachioloom;

namespace {

constexpr std::uint64_t readers = 3;

std::vector<ReaderState> nodes(std::size_t count)
{
    std::vector<ReaderState> nodes;
    for (std::size_t i = 0; i < count; ++i)
        nodes.push_back({ { "node-" + std::to_string(i) }, { std::string(1, static_cast<char>('a' + i % 3)) }, false, false, false });
    return nodes;
}

/// Returns whether the node at \p index reads from the platform.
bool reads(const std::vector<ReaderState>& all, std::size_t index)
{
    std::vector<ReaderState> peers = all;
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
    return shouldRead(all[index], peers, readers);
}

} // namespace

TEST_CASE("few nodes read, and some in every data centre", "[readers]")
{
    auto count = GENERATE(1U, 3U, 9U, 63U);
    auto all = nodes(count);
    std::size_t reading = 0;
    std::set<DataCentreId> dataCentres;
    for (std::size_t i = 0; i < count; ++i) {
        if (!reads(all, i))
            continue;
        ++reading;
        dataCentres.insert(all[i].dataCentre_);
    }
    CHECK(dataCentres.size() == std::min<std::size_t>(3, count));
    CHECK(reading >= std::min<std::size_t>(count, readers));
    CHECK(reading <= readers + 3);
}

TEST_CASE("readers that stop or are rejected are replaced", "[readers]")
{
    auto all = nodes(9);
    std::size_t first = 0;
    while (!reads(all, first))
        ++first;
    bool isStopping = GENERATE(true, false);
    (isStopping ? all[first].isStopping_ : all[first].isPlatformUnavailable_) = true;
    std::size_t reading = 0;
    std::set<DataCentreId> dataCentres;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (i == first || !reads(all, i))
            continue;
        ++reading;
        dataCentres.insert(all[i].dataCentre_);
    }
    CHECK(dataCentres.size() == 3);
    CHECK(reading >= readers);
}

TEST_CASE("a single rejected reader is no outage", "[readers]")
{
    auto all = nodes(4);
    CHECK_FALSE(haveAllReadersFailed(all));
    all[0].isReader_ = all[1].isReader_ = true;
    all[0].isPlatformUnavailable_ = true;
    CHECK_FALSE(haveAllReadersFailed(all));
    all[1].isPlatformUnavailable_ = true;
    CHECK(haveAllReadersFailed(all));
    CHECK_FALSE(haveAllReadersFailed({}));
}

TEST_CASE("nodes with more CPU cores read first", "[readers]")
{
    auto count = GENERATE(9U, 63U);
    auto all = nodes(count);
    for (ReaderState& node : all)
        node.cores_ = 0.12;
    // The last two nodes of data centre `a`, and one of `b`.
    for (std::size_t large : { count - 3, count - 6, count - 2 })
        all[large].cores_ = 4;
    // The selected nodes read now, and report that they are readers.
    std::vector<bool> willRead;
    for (std::size_t i = 0; i < count; ++i)
        willRead.push_back(reads(all, i));
    for (std::size_t i = 0; i < count; ++i)
        all[i].isReader_ = willRead[i];
    std::set<std::size_t> reading;
    for (std::size_t i = 0; i < count; ++i) {
        if (reads(all, i))
            reading.insert(i);
    }
    for (std::size_t large : { count - 3, count - 6, count - 2 })
        CHECK(reading.contains(large));
    // In addition, the first node of data centre `c`.
    CHECK(reading.size() == readers + 1);
}

TEST_CASE("nodes of equal cores are ordered by rendezvous hashing", "[readers]")
{
    auto cores = GENERATE(0.0, 0.12, 8.0);
    auto all = nodes(26);
    std::vector<VmId> ranked;
    for (ReaderState& node : all) {
        node.cores_ = cores;
        ranked.push_back(node.vm_);
    }
    ranked = rankByRendezvous("readers", ranked);
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (std::find(ranked.begin(), ranked.begin() + readers, all[i].vm_) != ranked.begin() + readers)
            CHECK(reads(all, i));
    }
}

TEST_CASE("every data centre has a reader while some nodes are of a version that ignores cores", "[readers]")
{
    // About this many of the nine nodes are of the newer version, which considers cores.
    auto newer = GENERATE(0U, 1U, 2U, 3U, 5U, 8U);
    auto seed = GENERATE(range(0U, 20U));
    constexpr std::size_t count = 9;
    constexpr int rounds = 6;
    auto all = nodes(count);
    for (std::size_t i = 0; i < count; ++i)
        all[i].cores_ = static_cast<double>(stableHash(all[i].vm_.value_, seed) % 3);
    auto isNewer = [&](std::size_t i) { return stableHash(all[i].vm_.value_ + "version", seed) % count < newer; };
    // Each node receives what all nodes reported in the previous round.
    for (int round = 0; round < rounds; ++round) {
        std::vector<bool> willRead;
        for (std::size_t i = 0; i < count; ++i) {
            auto seen = all;
            if (!isNewer(i)) {
                for (ReaderState& node : seen)
                    node.cores_ = 0;
            }
            willRead.push_back(reads(seen, i));
        }
        std::set<DataCentreId> dataCentres;
        for (std::size_t i = 0; i < count; ++i) {
            all[i].isReader_ = willRead[i];
            if (willRead[i])
                dataCentres.insert(all[i].dataCentre_);
        }
        CHECK(dataCentres.size() == 3);
    }
}

namespace {

/// Simulates rounds in which nodes that read find out whether the platform serves them,
/// and report that to each other. \returns the maximum number of nodes that read in one
/// round.
std::size_t simulateRounds(std::vector<ReaderState>& all, const std::function<bool(std::size_t)>& isServed)
{
    // In each round one node of a data centre may learn that the platform rejects it. The
    // rounds outnumber the rejected nodes of a data centre after which its other nodes do
    // not try.
    constexpr int rounds = 16;
    std::size_t maxReading = 0;
    for (int round = 0; round < rounds; ++round) {
        std::vector<bool> willRead;
        for (std::size_t i = 0; i < all.size(); ++i)
            willRead.push_back(all[i].isPlatformUnavailable_ || reads(all, i));
        for (std::size_t i = 0; i < all.size(); ++i) {
            all[i].isReader_ = willRead[i];
            all[i].isPlatformUnavailable_ = willRead[i] && !isServed(i);
        }
        maxReading = std::max(maxReading, static_cast<std::size_t>(std::count(willRead.begin(), willRead.end(), true)));
    }
    return maxReading;
}

} // namespace

TEST_CASE("an unavailable platform is not called by all nodes in turn", "[readers]")
{
    auto count = GENERATE(9U, 63U, 195U, 370U);
    auto all = nodes(count);
    std::size_t maxReading = simulateRounds(all, [](std::size_t) { return false; });
    // Eight nodes of each of the three data centres, whatever the size of the fleet.
    constexpr std::size_t maxExpected = 24;
    CHECK(maxReading <= maxExpected);
    CHECK(maxReading >= readers);
}

TEST_CASE("readers that the platform serves are found where it rejects many nodes", "[readers]")
{
    auto count = GENERATE(9U, 63U, 195U);
    auto seed = GENERATE(range(0U, 20U));
    auto all = nodes(count);
    // A third of the nodes, selected by hash, are rejected.
    auto isServed = [&](std::size_t i) { return stableHash(all[i].vm_.value_, seed) % 3 != 0; };
    (void)simulateRounds(all, isServed);
    std::size_t served = 0;
    for (std::size_t i = 0; i < count; ++i)
        served += all[i].isReader_ && isServed(i);
    CHECK(served >= 1);
}
