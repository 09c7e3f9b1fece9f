//===- unittests/Gateway/BackendRelayTest.cpp - choice of carriers ---------===//
///
/// \file
/// Tests which peers are asked to carry connections: local ones first, and without drowning the
/// few that are left of a data centre.
//===----------------------------------------------------------------------===//
#include "BackendRelay.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const DataCentreId own { "a" };

Carrier carrier(const std::string& vm, const std::string& dataCentre)
{
    Peer peer;
    peer.dataCentre_ = { dataCentre };
    return { { { vm }, peer }, 0 };
}

} // namespace

TEST_CASE("carried connections spread over the peers, with a preference for local ones", "[relay]")
{
    struct Row {
        std::size_t local_;
        std::size_t remote_;
        std::size_t connections_;
        std::size_t maxPerLocal_;
        std::size_t maxPerRemote_;
    };
    // With the handicap of 2, a remote peer carries two connections fewer than a local one.
    auto row = GENERATE(values<Row>({ { 2, 6, 4, 2, 0 }, { 1, 6, 30, 6, 4 }, { 0, 8, 40, 0, 5 }, { 3, 0, 30, 10, 0 } }));
    CAPTURE(row.local_, row.remote_);
    std::vector<Carrier> carriers;
    for (std::size_t i = 0; i < row.local_; ++i)
        carriers.push_back(carrier("local-" + std::to_string(i), "a"));
    for (std::size_t i = 0; i < row.remote_; ++i)
        carriers.push_back(carrier("remote-" + std::to_string(i), "b"));
    for (std::size_t i = 0; i < row.connections_; ++i) {
        std::vector<Carrier> ranked = rankCarriers(carriers, own, i);
        REQUIRE(ranked.size() == carriers.size());
        for (Carrier& candidate : carriers)
            candidate.carried_ += candidate.peer_.first == ranked.front().peer_.first;
    }
    for (const Carrier& candidate : carriers) {
        CAPTURE(candidate.peer_.first.value_);
        CHECK(candidate.carried_ <= (candidate.peer_.second.dataCentre_ == own ? row.maxPerLocal_ : row.maxPerRemote_));
    }
}

TEST_CASE("nodes that lose their paths together do not all ask the same peer", "[relay]")
{
    std::vector<Carrier> carriers { carrier("x", "a"), carrier("y", "a"), carrier("z", "a") };
    std::map<VmId, int> first;
    for (std::uint64_t node = 0; node < 300; ++node)
        ++first[rankCarriers(carriers, own, mixBits(node)).front().peer_.first];
    for (const auto& [vm, count] : first)
        CHECK(count > 60);
    CHECK(first.size() == 3);
}
