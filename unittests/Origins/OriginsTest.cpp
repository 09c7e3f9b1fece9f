//===- unittests/Origins/OriginsTest.cpp - software that began streams -----===//
///
/// \file
/// Tests the table of origins, and simulates fleets in which nodes tell the holders of streams
/// and others ask for them after nodes have gone.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Origins.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <set>

using namespace pistachioloom;

namespace {

const SteadyTime start { milliseconds(1000000) };
const OrganisationId organisation { "north" };
const StreamOrigin v1 { softwareKeyOf({ "s" }, { "v1" }), false };
const StreamOrigin v2 { softwareKeyOf({ "s" }, { "v2" }), false };

StreamKey streamOf(std::size_t number)
{
    return streamKeyOf(organisation, "attempt-" + std::to_string(number));
}

std::vector<OriginNode> fleetOf(std::size_t nodes, std::size_t dataCentres)
{
    std::vector<OriginNode> fleet;
    for (std::size_t i = 0; i < nodes; ++i)
        fleet.push_back({ { "vm-" + std::to_string(i) }, { "dc-" + std::to_string(i % dataCentres) }, { "10.0.0.1", static_cast<std::uint16_t>(i) } });
    return fleet;
}

/// The nodes of \p fleet that \p isKnown selects, except \p self.
std::vector<OriginNode> othersOf(const std::vector<OriginNode>& fleet, const OriginNode& self, const std::function<bool(const OriginNode&)>& isKnown)
{
    std::vector<OriginNode> others;
    for (const OriginNode& node : fleet) {
        if (node.vm_ != self.vm_ && isKnown(node))
            others.push_back(node);
    }
    return others;
}

} // namespace

TEST_CASE("an origin is kept until its lifetime is over, from its last addition on", "[origins]")
{
    OriginTable table({ milliseconds(1000), 100, 3, 6, {}, {} });
    table.add(streamOf(1), v1, start);
    CHECK(table.find(streamOf(1), start + milliseconds(1000)) == v1);
    CHECK_FALSE(table.find(streamOf(1), start + milliseconds(1001)));
    CHECK_FALSE(table.find(streamOf(2), start));
    table.add(streamOf(1), v1, start + milliseconds(900));
    table.add(streamOf(2), v2, start + milliseconds(1500));
    CHECK(table.find(streamOf(1), start + milliseconds(1800)) == v1);
    table.add(streamOf(3), v2, start + milliseconds(2000));
    CHECK(table.size() == 2);
}

TEST_CASE("a flood of streams makes a node exceed its memory, or drops the newest", "[origins]")
{
    OriginTable table({ milliseconds(60000), 100, 3, 6, {}, {} });
    for (std::size_t i = 0; i < 1000; ++i)
        table.add(streamOf(i), v1, start + milliseconds(static_cast<std::int64_t>(i)));
    CHECK(table.size() <= 100);
    CHECK(table.find(streamOf(999), start + milliseconds(1000)));
    CHECK_FALSE(table.find(streamOf(0), start + milliseconds(1000)));
}

TEST_CASE("a stream is resumed although attempts of its id began at two versions", "[origins]")
{
    OriginTable table;
    table.add(streamOf(1), v1, start);
    table.add(streamOf(1), v2, start);
    REQUIRE(table.find(streamOf(1), start));
    CHECK(table.find(streamOf(1), start)->isAmbiguous_);
    table.add(streamOf(1), v1, start);
    CHECK(table.find(streamOf(1), start)->isAmbiguous_);
}

TEST_CASE("another organisation, service or version has the same key", "[origins]")
{
    CHECK(streamKeyOf({ "north" }, "a") != streamKeyOf({ "south" }, "a"));
    CHECK(streamKeyOf({ "north" }, "a") != streamKeyOf({ "north" }, "b"));
    CHECK(streamKeyOf({ "ab" }, "c") != streamKeyOf({ "a" }, "bc"));
    CHECK(softwareKeyOf({ "s" }, { "v1" }) != softwareKeyOf({ "t" }, { "v1" }));
    CHECK(softwareKeyOf({ "s" }, { "v1" }) != softwareKeyOf({ "s" }, { "v1.1" }));
}

TEST_CASE("the holders of a stream share a data centre although there are others", "[origins]")
{
    std::vector<OriginNode> fleet = fleetOf(195, 9);
    for (std::size_t i = 0; i < 200; ++i) {
        std::set<DataCentreId> dataCentres;
        for (const OriginNode& node : rankOriginNodes(streamOf(i), fleet, OriginSettings {}.holders_))
            dataCentres.insert(node.dataCentre_);
        CHECK(dataCentres.size() == OriginSettings {}.holders_);
    }
    CHECK(rankOriginNodes(streamOf(1), fleetOf(4, 1), 3).size() == 3);
    CHECK(rankOriginNodes(streamOf(1), fleetOf(2, 2), 3).size() == 2);
    CHECK(rankOriginNodes(streamOf(1), {}, 3).empty());
}

TEST_CASE("streams whose first node is gone are unknown at the nodes where callers resume", "[origins]")
{
    struct Row {
        std::size_t nodes_;
        std::size_t dataCentres_;
        const char* gone_;
        /// Whether a node is gone, by its number, together with the first node of a stream.
        std::function<bool(std::size_t)> isGone_;
        /// Share of the other nodes that the node where a caller resumes does not know yet.
        double unknownShare_;
        /// Streams that must be found, as a share of those of the first nodes that are gone.
        double wanted_;
    };
    auto oneNode = [](std::size_t number) { return number == 4; };
    auto dataCentreOf = [](std::size_t dataCentres) { return [dataCentres](std::size_t number) { return number % dataCentres == 1; }; };
    auto third = [](std::size_t number) { return number % 3 == 1 || (number * 7919) % 100 < 5; };
    // A stream goes on if any holder is left; half as many as begin must go on.
    auto row = GENERATE_COPY(values<Row>({
        { 9, 3, "one node", oneNode, 0, 1 },
        { 9, 3, "a data centre", dataCentreOf(3), 0, 1 },
        { 9, 3, "more than a third", third, 0.1, 0.5 },
        { 63, 6, "a data centre", dataCentreOf(6), 0, 1 },
        { 63, 6, "more than a third", third, 0.1, 0.5 },
        { 195, 9, "a data centre", dataCentreOf(9), 0, 1 },
        { 195, 9, "more than a third", third, 0.1, 0.5 },
        { 985, 14, "a data centre", dataCentreOf(14), 0, 1 },
        { 985, 14, "more than a third", third, 0.1, 0.5 },
    }));
    CAPTURE(row.nodes_, row.gone_, row.unknownShare_);
    std::mt19937_64 random(row.nodes_);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<OriginNode> fleet = fleetOf(row.nodes_, row.dataCentres_);
    std::vector<std::size_t> gone;
    std::vector<std::size_t> left;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        (row.isGone_(i) ? gone : left).push_back(i);
    const OriginSettings settings;
    std::size_t found = 0;
    std::size_t wrong = 0;
    constexpr std::size_t streams = 600;
    for (std::size_t stream = 0; stream < streams; ++stream) {
        const OriginNode& first = fleet[gone[random() % gone.size()]];
        std::set<VmId> holders;
        auto isKnownToFirst = [&](const OriginNode&) { return uniform(random) >= row.unknownShare_; };
        for (const OriginNode& node : rankOriginNodes(streamOf(stream), othersOf(fleet, first, isKnownToFirst), settings.holders_))
            holders.insert(node.vm_);
        std::size_t resumed = left[random() % left.size()];
        // The nodes that are gone are still believed to be there.
        auto isKnown = [&](const OriginNode&) { return uniform(random) >= row.unknownShare_; };
        bool isFound = holders.contains(fleet[resumed].vm_);
        for (const OriginNode& node : rankOriginNodes(streamOf(stream), othersOf(fleet, fleet[resumed], isKnown), settings.asked_)) {
            auto number = static_cast<std::size_t>(node.gossip_.port_);
            isFound |= !row.isGone_(number) && holders.contains(node.vm_);
        }
        found += isFound;
        wrong += holders.contains(first.vm_);
    }
    CAPTURE(found, gone.size());
    CHECK(wrong == 0);
    CHECK(static_cast<double>(found) >= row.wanted_ * streams);
}

// Guards against a part of the log to which no node, or every node, appends.
TEST_CASE("nodes that know the same fleet choose different recorders", "[origins]")
{
    auto size = GENERATE(std::size_t(1), std::size_t(9), std::size_t(63), std::size_t(985));
    const OriginSettings settings;
    const std::uint32_t parts = size <= 64 ? 1 : settings.logParts_;
    std::vector<OriginNode> fleet = fleetOf(size, 3);
    std::mt19937_64 random(size);
    std::set<std::uint32_t> used;
    for (std::uint32_t part = 0; part < settings.logParts_; ++part) {
        const VmId recorder = fleet[recorderOf(part, fleet)].vm_;
        // Nodes know the others in different orders.
        std::vector<OriginNode> shuffled = fleet;
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        CHECK(shuffled[recorderOf(part, shuffled)].vm_ == recorder);
        // The end of another node changes nothing.
        std::erase_if(shuffled, [&](const OriginNode& node) { return node.vm_ != recorder && random() % 2; });
        CHECK(shuffled[recorderOf(part, shuffled)].vm_ == recorder);
    }
    for (std::size_t i = 0; i < 1000; ++i)
        used.insert(originPartOf(streamOf(i), size, settings));
    CHECK(used.size() == parts);
}
