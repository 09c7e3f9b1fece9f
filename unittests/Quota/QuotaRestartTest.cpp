//===- unittests/Quota/QuotaRestartTest.cpp - quotas over starts ----------===//
///
/// \file
/// What nodes admit that start, alone or all at once.
//===----------------------------------------------------------------------===//
#include "QuotaNodes.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;

TEST_CASE("restarting nodes do not hand out full bursts again", "[quota]")
{
    Nodes nodes(9, milliseconds(200));
    nodes.flood(start + milliseconds(5000), milliseconds(4000), 1);
    SteadyTime restart = start + milliseconds(9000);
    for (std::size_t i = 0; i < nodes.limiters_.size(); ++i) {
        nodes.limiters_[i] = std::make_unique<QuotaLimiter>(restart);
        nodes.incarnations_[i] = 2;
    }
    double admitted = nodes.flood(restart + milliseconds(100), milliseconds(2000), 1);
    CHECK(admitted <= 2.1 * 1000 + 1000 + 200.0 * 9);
}

TEST_CASE("what peers admitted that started with this node counts whole", "[quota]")
{
    bool isFresh = GENERATE(true, false);
    bool isKnown = GENERATE(true, false);
    CAPTURE(isFresh, isKnown);
    QuotaLimiter limiter(start);
    limiter.setNodes(10);
    if (isKnown)
        REQUIRE_FALSE(limiter.take(north, limit, 1, start + milliseconds(100)));
    // A peer that has run for long tells what is left; one that has not knows no more.
    limiter.setPeer({ "others" }, 1, { { north, 400 } }, { { north, 100 } }, start + milliseconds(600), 9, isFresh);
    (void)limiter.take(north, limit, 1, start + milliseconds(600));
    // What comes in at 1,000 a second since the node was last up.
    double credit = static_cast<double>(QuotaSettings {}.startCredit_.count());
    double known = isKnown ? 600 + credit - 1 : 100;
    CHECK(limiter.levels()[north] == Approx((isFresh ? 200 + credit - (isKnown ? 1 : 0) : known) - 1).margin(1));
}

TEST_CASE("nodes that all start at once do not each hand out the whole rate", "[quota]")
{
    auto count = GENERATE(9U, 63U);
    auto excess = GENERATE(1.5, 7.5);
    CAPTURE(count, excess);
    const QuotaLimit tokens { 700000, 2600000 };
    constexpr double cost = 12000;
    // They hear each other 0.4 s late.
    DelayedNodes nodes(count, milliseconds(400));
    nodes.restart(start + milliseconds(20000));
    nodes.run(start + milliseconds(20100), milliseconds(800), excess * tokens.ratePerSecond_ / cost, tokens, cost);
    // Each may begin one request more than its share holds, beside the credit of the start.
    CHECK(nodes.maxAdmitted(milliseconds(8000)) <= (0.9 + 0.4 + 0.3) * tokens.ratePerSecond_);
    // Over the next seconds they hear each other: a tenth of 8 s and a second is tolerated.
    nodes.run(start + milliseconds(20900), milliseconds(3100), excess * tokens.ratePerSecond_ / cost, tokens, cost);
    CHECK(nodes.maxAdmitted(milliseconds(8000)) <= (4 + 0.9) * tokens.ratePerSecond_ + 140000);
    // Where each of 63 nodes is asked once, a third finds its share saved up.
    CHECK(nodes.maxAdmitted(milliseconds(8000)) >= 0.25 * tokens.ratePerSecond_);
}

TEST_CASE("a node that is alone gets the whole quota soon after its start", "[quota]")
{
    QuotaLimiter limiter(start);
    limiter.setNodes(12);
    double admitted = 0;
    for (milliseconds t {}; t < milliseconds(10000); t += milliseconds(1))
        admitted += limiter.take(north, limit, 1, start + t) ? 0 : 1;
    // A twelfth of the first 3 s, in which others may be there unheard, and the rest whole.
    CHECK(admitted >= 250 + 7000);
}

TEST_CASE("a quota holds over a kill of all nodes while it is asked for many times", "[quota]")
{
    auto count = GENERATE(9U, 63U);
    auto excess = GENERATE(2.0, 7.5);
    // A process that is killed is down for some hundred milliseconds at least.
    auto down = GENERATE(400, 1300);
    auto kills = GENERATE(1, 2);
    CAPTURE(count, excess, down, kills);
    const QuotaLimit tokens { 700000, 700000 };
    constexpr double cost = 12000;
    const double asked = excess * tokens.ratePerSecond_ / cost;
    DelayedNodes nodes(count, milliseconds(400));
    SteadyTime now = start + milliseconds(10000);
    nodes.run(now, milliseconds(8000), asked, tokens, cost);
    now += milliseconds(8000);
    for (int kill = 0; kill < kills; ++kill) {
        now += milliseconds(down);
        nodes.restart(now);
        nodes.run(now, milliseconds(3000), asked, tokens, cost);
        now += milliseconds(3000);
    }
    nodes.run(now, milliseconds(4000), asked, tokens, cost);
    CHECK(nodes.maxAdmitted(milliseconds(8000)) <= (8 * tokens.ratePerSecond_ + tokens.burst_) * 1.1 + 140000);
}

TEST_CASE("requests right after a kill of all nodes find what came in meanwhile", "[quota]")
{
    // Nine nodes are down for 0.5 s, and are asked for half of the quota; a request
    // of 12,000 tokens is a quarter of a second of one node's share.
    const QuotaLimit tokens { 420000, 420000 };
    constexpr double cost = 12000;
    SteadyTime now = start + milliseconds(20000);
    double asked = 0;
    double admitted = 0;
    for (std::size_t run = 0; run < 20; ++run) {
        DelayedNodes nodes(9 + run % 2, milliseconds(400));
        nodes.restart(now);
        nodes.run(now, milliseconds(600), 0.5 * tokens.ratePerSecond_ / cost, tokens, cost);
        asked += 0.6 * 0.5 * tokens.ratePerSecond_;
        admitted += nodes.sumSince(now);
    }
    CHECK(admitted >= 0.9 * asked);
}
