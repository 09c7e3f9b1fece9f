//===- unittests/Gateway/ReadersTest.cpp - which nodes read ----------------===//
///
/// \file
/// Every set of nodes has readers, whoever stops, is turned away or falls silent.
//===----------------------------------------------------------------------===//
#include "Readers.h"

#include <catch2/catch.hpp>
#include <set>

using namespace pistachioloom;

namespace {

constexpr std::uint64_t readers = 3;

std::vector<ReaderView> nodes(std::size_t count)
{
    std::vector<ReaderView> nodes;
    for (std::size_t i = 0; i < count; ++i)
        nodes.push_back({ { "node-" + std::to_string(i) }, { std::string(1, static_cast<char>('a' + i % 3)) }, false, false, false });
    return nodes;
}

bool reads(const std::vector<ReaderView>& all, std::size_t index)
{
    std::vector<ReaderView> peers = all;
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
    return shouldRead(all[index].vm_, all[index].dataCentre_, peers, readers);
}

} // namespace

TEST_CASE("few nodes read, and some in every data centre", "[readers]")
{
    auto count = GENERATE(1U, 3U, 9U, 63U);
    auto all = nodes(count);
    std::size_t reading = 0;
    std::set<DataCentreId> places;
    for (std::size_t i = 0; i < count; ++i) {
        if (!reads(all, i))
            continue;
        ++reading;
        places.insert(all[i].dataCentre_);
    }
    CHECK(places.size() == std::min<std::size_t>(3, count));
    CHECK(reading >= std::min<std::size_t>(count, readers));
    CHECK(reading <= readers + 3);
}

TEST_CASE("those that stop or are turned away are succeeded", "[readers]")
{
    auto all = nodes(9);
    std::size_t first = 0;
    while (!reads(all, first))
        ++first;
    bool isStopping = GENERATE(true, false);
    (isStopping ? all[first].isStopping_ : all[first].isPlatformLost_) = true;
    std::size_t reading = 0;
    std::set<DataCentreId> places;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (i == first || !reads(all, i))
            continue;
        ++reading;
        places.insert(all[i].dataCentre_);
    }
    CHECK(places.size() == 3);
    CHECK(reading >= readers);
}

TEST_CASE("one reader that is turned away is no outage", "[readers]")
{
    auto all = nodes(4);
    CHECK_FALSE(haveAllReadersLost(all));
    all[0].isReader_ = all[1].isReader_ = true;
    all[0].isPlatformLost_ = true;
    CHECK_FALSE(haveAllReadersLost(all));
    all[1].isPlatformLost_ = true;
    CHECK(haveAllReadersLost(all));
    CHECK_FALSE(haveAllReadersLost({}));
}
