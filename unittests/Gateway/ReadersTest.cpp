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

TEST_CASE("the number of nodes that call a platform which rejects all does not grow with the fleet", "[readers]")
{
    auto count = GENERATE(60U, 250U, 500U);
    CAPTURE(count);
    auto all = nodes(count);
    // In each round every node sees the states that the others reported after the last one.
    std::set<std::size_t> calling;
    for (int round = 0; round < 12; ++round) {
        std::set<std::size_t> selected;
        for (std::size_t i = 0; i < count; ++i) {
            if (reads(all, i))
                selected.insert(i);
        }
        for (std::size_t i = 0; i < count; ++i) {
            all[i].isReader_ = selected.contains(i);
            all[i].isPlatformUnavailable_ = selected.contains(i);
        }
        calling.insert(selected.begin(), selected.end());
    }
    constexpr std::size_t dataCentres = 3;
    constexpr std::size_t failedReaders = 6;
    CHECK(calling.size() <= dataCentres * (failedReaders + 1) + failedReaders + readers);
}

TEST_CASE("pauses between failed reads grow up to a limit and differ", "[readers]")
{
    ReadBackoff backoff(milliseconds(200));
    std::set<milliseconds> pauses;
    milliseconds longest {};
    for (std::uint64_t draw = 0; draw < 64; ++draw) {
        milliseconds pause = backoff.nextPause(mixBits(draw));
        pauses.insert(pause);
        longest = std::max(longest, pause);
    }
    CHECK(pauses.size() > 32);
    CHECK(longest > milliseconds(1000));
    CHECK(longest <= milliseconds(1500));
    backoff.noteSuccess();
    CHECK(backoff.nextPause(0) <= milliseconds(300));
}

namespace {

/// Simulates the start of all nodes before a platform that transfers slowly. A node that has
/// the configuration gives it to others, as ConfigurationTransfer does.
class StartBeforeSlowPlatform {
public:
    struct Outcome {
        std::size_t calls_ = 0;
        milliseconds allServeAfter_ {};
    };

    StartBeforeSlowPlatform(std::size_t nodes, double bytesPerMs, bool waitsForTurn)
        : bytesPerMs_(bytesPerMs)
        , waitsForTurn_(waitsForTurn)
        , nodes_(nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            nodes_[i].phase_ = static_cast<double>(mixBits(i) >> 11) * 0x1p-53;
            nodes_[i].rank_ = static_cast<double>(mixBits(nodes + i) >> 11) * 0x1p-53;
        }
    }

    Outcome run()
    {
        Outcome outcome;
        for (milliseconds now {}; now < limit; now += step) {
            std::size_t serving = 0;
            for (Node& node : nodes_) {
                if (node.isServing_) {
                    ++serving;
                    continue;
                }
                outcome.calls_ += tryRead(node, now);
            }
            if (serving == nodes_.size())
                break;
            outcome.allServeAfter_ = now + step;
            if (now.count() % transferTime.count() == 0)
                spread(serving);
        }
        return outcome;
    }

private:
    static constexpr milliseconds step { 50 };
    static constexpr milliseconds limit { 30000 };
    static constexpr milliseconds callTimeout { 800 };
    static constexpr milliseconds transferTime { 250 };
    static constexpr double readBytes = 1e6;
    static constexpr double dataCentres = 5;
    /// Nodes that a starting node knows after its first period, and hears of in each later
    /// one.
    static constexpr std::size_t knownPerPeriod = 60;

    struct Node {
        double phase_ = 0;
        /// Rank among all nodes as a fraction, 0 for the first.
        double rank_ = 0;
        bool isServing_ = false;
        milliseconds busyUntil_ {};
        ReadBackoff backoff_ { milliseconds(200) };
    };

    /// \returns the number of calls to the platform.
    std::size_t tryRead(Node& node, milliseconds now)
    {
        std::size_t known = std::min(nodes_.size(), knownPerPeriod * static_cast<std::size_t>(now / milliseconds(200)));
        // A node that knows few others is the first among them by chance.
        bool isFirst = node.rank_ * static_cast<double>(known) < dataCentres;
        bool isSelected = !waitsForTurn_ || (isFirst && isStartTurn({ now, false, known > 0, known + 1, node.phase_ }, firstReadInterval));
        if (!isSelected || now < node.busyUntil_)
            return 0;
        // The platform transfers the answers one after the other.
        double start = std::max(static_cast<double>(now.count()), platformBusyUntil_);
        platformBusyUntil_ = start + readBytes / bytesPerMs_;
        bool isInTime = platformBusyUntil_ <= static_cast<double>((now + callTimeout).count());
        node.isServing_ = isInTime;
        node.busyUntil_ = now + callTimeout + node.backoff_.nextPause(randomBits());
        return 1;
    }

    /// Every node that has the configuration gives it to two others.
    void spread(std::size_t serving)
    {
        std::size_t given = 0;
        for (Node& node : nodes_) {
            if (given == 2 * serving)
                return;
            given += !std::exchange(node.isServing_, true);
        }
    }

    const double bytesPerMs_;
    const bool waitsForTurn_;
    std::vector<Node> nodes_;
    double platformBusyUntil_ = 0;
};

} // namespace

TEST_CASE("a start of all nodes does not overload a platform at a tenth of its bandwidth", "[readers]")
{
    auto count = GENERATE(std::size_t { 100 }, std::size_t { 1000 }, std::size_t { 2000 });
    CAPTURE(count);
    constexpr double slowBytesPerMs = 50000;
    constexpr milliseconds recoverTime { 18000 };
    StartBeforeSlowPlatform::Outcome outcome = StartBeforeSlowPlatform(count, slowBytesPerMs, true).run();
    CHECK(outcome.allServeAfter_ < recoverTime);
    CHECK(outcome.calls_ <= 500);
    // Without turns nearly all nodes call the platform.
    CHECK(StartBeforeSlowPlatform(count, slowBytesPerMs, false).run().calls_ >= count);
}

TEST_CASE("first calls of starting nodes", "[readers]")
{
    struct Case {
        const char* name_;
        ColdStart state_;
        bool isTurn_;
    };
    auto expected = GENERATE(values<Case>({
        { "a seed", { milliseconds(0), true, false, 1, 0.9 }, true },
        { "a node without reports", { milliseconds(900), false, false, 1, 0 }, false },
        { "a node whose peers have stopped", { milliseconds(1000), false, false, 1, 0 }, true },
        { "the first reports are awaited", { milliseconds(250), false, true, 9, 0 }, false },
        { "a small fleet", { milliseconds(300), false, true, 24, 0.99 }, true },
        { "a large fleet, early turn", { milliseconds(400), false, true, 1000, 0.01 }, true },
        { "a large fleet, late turn", { milliseconds(4000), false, true, 1000, 0.5 }, false },
        { "a large fleet, late turn has come", { milliseconds(5300), false, true, 1000, 0.5 }, true },
    }));
    CAPTURE(expected.name_);
    CHECK(isStartTurn(expected.state_, firstReadInterval) == expected.isTurn_);
}
