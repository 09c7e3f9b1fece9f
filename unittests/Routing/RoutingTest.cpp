//===- unittests/Routing/RoutingTest.cpp - choice of a model engine --------===//
///
/// \file
/// Tests the ranking of candidates, the sampling and the prompt's blocks.
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
    result.networkLatency_ = isLocal ? milliseconds(0) : milliseconds(5);
    result.pricePerHour_ = price;
    return result;
}

struct RankCase {
    std::string name_;
    std::vector<EngineCandidate> candidates_;
    std::string best_;
};

} // namespace

TEST_CASE("candidates are ranked by latency target, locality, prefix and price")
{
    EngineCandidate sent = candidate("sent", 2, 0);
    sent.sentSinceReport_ = 2;
    auto rankCase = GENERATE_COPY(values<RankCase>({
        { "a free engine before a full top-ranked one", { candidate("full", 0, 0), candidate("free", 1, 1) }, "free" },
        { "the top-ranked engine before others", { candidate("other", 9, 1), candidate("top-ranked", 1, 0) }, "top-ranked" },
        { "a local engine before a remote one", { candidate("remote", 9, 0, false), candidate("local", 1, 1) }, "local" },
        { "a remote engine when the local one misses the target", { candidate("local", 0, 0), candidate("remote", 1, 0, false) }, "remote" },
        { "the cheaper of equal engines", { candidate("expensive", 1, 1, true, 300), candidate("cheap", 1, 2, true, 100) }, "cheap" },
        { "requests sent since the report reduce its free slots", { sent, candidate("other", 1, 1) }, "other" },
    }));
    INFO(rankCase.name_);
    RoutingParameters parameters;
    parameters.prefillTime_ = milliseconds(100);
    parameters.latencyTarget_ = milliseconds(400);
    CHECK(rankEngines(rankCase.candidates_, parameters).front().engine_.value_ == rankCase.best_);
}

TEST_CASE("a sample is bounded, has no duplicates and contains the prefix's top-ranked engines")
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

TEST_CASE("hashes of blocks are equal as long as the prefixes are equal")
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
