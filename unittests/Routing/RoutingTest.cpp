//===- unittests/Routing/RoutingTest.cpp - choice of an engine -------------===//
///
/// \file
/// Ranking of candidates, sampling and the prompt's blocks.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Routing.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

EngineCandidate candidate(const std::string& name, std::uint32_t free, std::size_t rank, bool isLocal = true, std::uint64_t price = 100)
{
    EngineCandidate result;
    result.engine_ = { name };
    result.load_.freeSlots_ = free;
    result.prefixRank_ = rank;
    result.isLocal_ = isLocal;
    result.network_ = isLocal ? milliseconds(0) : milliseconds(5);
    result.pricePerHour_ = price;
    return result;
}

struct RankCase {
    std::string name_;
    std::vector<EngineCandidate> candidates_;
    std::string best_;
};

} // namespace

TEST_CASE("the best candidate meets the target, is local, has the prefix, is cheap")
{
    EngineCandidate sent = candidate("sent", 2, 0);
    sent.sentSince_ = 2;
    auto rankCase = GENERATE_COPY(values<RankCase>({
        { "a free engine before a full favourite", { candidate("full", 0, 0), candidate("free", 1, 1) }, "free" },
        { "the favourite before others", { candidate("other", 9, 1), candidate("favourite", 1, 0) }, "favourite" },
        { "local before remote", { candidate("remote", 9, 0, false), candidate("local", 1, 1) }, "local" },
        { "remote when local misses the target", { candidate("local", 0, 0), candidate("remote", 1, 0, false) }, "remote" },
        { "cheaper among equals", { candidate("dear", 1, 1, true, 300), candidate("cheap", 1, 2, true, 100) }, "cheap" },
        { "what we sent counts against a free report", { sent, candidate("other", 1, 1) }, "other" },
    }));
    INFO(rankCase.name_);
    RoutingParameters cost;
    cost.prefill_ = milliseconds(100);
    cost.latencyTarget_ = milliseconds(400);
    CHECK(rankEngines(rankCase.candidates_, cost).front().engine_.value_ == rankCase.best_);
}

TEST_CASE("a sample is bounded, without doubles, and keeps the prefix's favourites")
{
    std::vector<VmId> engines;
    for (int i = 0; i < 40; ++i)
        engines.push_back({ "e" + std::to_string(i) });
    std::mt19937_64 generator(7);
    for (std::uint64_t prefix = 0; prefix < 200; ++prefix) {
        auto sample = sampleEngines(prefix, engines, 2, 2, [&] { return generator(); });
        REQUIRE(sample.size() == 4);
        REQUIRE(std::set<VmId>(sample.begin(), sample.end()).size() == 4);
        auto again = sampleEngines(prefix, engines, 2, 2, [&] { return generator(); });
        REQUIRE(sample[0] == again[0]);
        REQUIRE(sample[1] == again[1]);
    }
    CHECK(sampleEngines(1, { { "only" } }, 2, 2, [&] { return generator(); }).size() == 1);
    CHECK(sampleEngines(1, {}, 2, 2, [&] { return generator(); }).empty());
}

TEST_CASE("a prompt's blocks share what its prefix shares")
{
    std::string prompt(1000, 'a');
    std::string other = prompt;
    other[600] = 'b';
    auto blocks = prefixBlocks(prompt);
    auto otherBlocks = prefixBlocks(other);
    REQUIRE(blocks.size() == 4);
    CHECK(blocks[1] == otherBlocks[1]);
    CHECK(blocks[2] != otherBlocks[2]);
    CHECK(blocks[3] != otherBlocks[3]);
}
