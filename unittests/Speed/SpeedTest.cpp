//===- unittests/Speed/SpeedTest.cpp - fits over many nodes ---------------===//
///
/// \file
/// Tests the fit of waits over the observations of all nodes.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Speed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace pistachioloom;

namespace {

constexpr double truePrefillPerMs = 40;

/// Observes \p count requests with prompts from 200 to 30,000 tokens. A third of the waits is
/// multiplied by a random factor of up to \p maxFactor, as when engines are lost.
SpeedMoments observeNode(std::mt19937_64& random, int count, double maxFactor)
{
    std::lognormal_distribution<double> sizes(7.8, 1.0);
    std::uniform_real_distribution<double> factors(1, maxFactor);
    SpeedMoments moments;
    for (int i = 0; i < count; ++i) {
        double tokens = std::clamp(sizes(random), 200.0, 30000.0);
        double wait = 30 + tokens / truePrefillPerMs;
        moments.observe(tokens, random() % 3 ? wait : wait * factors(random));
    }
    return moments;
}

} // namespace

// A mean of the nodes' rates doubled while waits were irregular, so that too few engines were
// ordered just when engines had been lost.
TEST_CASE("irregular waits do not raise the fitted rate", "[speed]")
{
    struct Row {
        int nodes_;
        int observations_;
    };
    auto row = GENERATE(values<Row>({ { 9, 200 }, { 60, 20 }, { 85, 20 }, { 85, 100 }, { 370, 20 }, { 370, 200 } }));
    CAPTURE(row.nodes_, row.observations_);
    std::mt19937_64 random(4);
    SpeedMoments calm;
    SpeedMoments irregular;
    double meanRate = 0;
    for (int node = 0; node < row.nodes_; ++node) {
        calm.add(observeNode(random, row.observations_, 1));
        SpeedMoments own = observeNode(random, row.observations_, 10);
        meanRate += own.prefillPerMs(50) / row.nodes_;
        irregular.add(own);
    }
    CHECK(calm.prefillPerMs(50) == Approx(truePrefillPerMs).epsilon(0.01));
    CHECK(calm.overheadMs(calm.prefillPerMs(50), 10) == Approx(30).margin(2));
    // A third of the waits is 5.5 times as long in the mean, so that engines read at 0.4 of
    // the rate.
    double expected = truePrefillPerMs / (2.0 / 3 + 5.5 / 3);
    CHECK(irregular.prefillPerMs(50) == Approx(expected).epsilon(0.25));
    if (row.observations_ == 20)
        CHECK(meanRate > 1.5 * expected);
}

TEST_CASE("moments can be added in any order and removed again", "[speed]")
{
    std::mt19937_64 random(5);
    SpeedMoments a = observeNode(random, 100, 10);
    SpeedMoments b = observeNode(random, 20, 10);
    SpeedMoments c = observeNode(random, 300, 10);
    SpeedMoments left = a;
    left.add(b);
    left.add(c);
    SpeedMoments right = c;
    right.add(b);
    right.add(a);
    CHECK(left.weight_ == Approx(right.weight_));
    CHECK(left.prefillPerMs(50) == Approx(right.prefillPerMs(50)));
    left.remove(b);
    left.remove(c);
    CHECK(left.prefillPerMs(50) == Approx(a.prefillPerMs(50)));
    left.remove(a);
    CHECK(left.weight_ == 0);
    CHECK(left.prefillPerMs(50) == 50);
}

TEST_CASE("too few observations and senseless ones give the fallback", "[speed]")
{
    struct Row {
        const char* name_;
        int count_;
        double slope_;
    };
    auto row = GENERATE(values<Row>({ { "too few", 11, 0.02 }, { "waits that fall with the tokens", 50, -0.001 }, { "constant waits", 50, 0 } }));
    CAPTURE(row.name_);
    SpeedMoments moments;
    for (int i = 0; i < row.count_; ++i)
        moments.observe(1000 * i, 100 + row.slope_ * 1000 * i);
    CHECK(moments.prefillPerMs(50) == 50);
}
