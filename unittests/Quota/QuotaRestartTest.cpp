//===- unittests/Quota/QuotaRestartTest.cpp - quotas over restarts ---------===//
///
/// \file
/// Tests what nodes admit after a start, alone or all simultaneously.
//===----------------------------------------------------------------------===//
#include "QuotaNodes.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;

TEST_CASE("restarting nodes do not admit full bursts again", "[quota]")
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

TEST_CASE("counts of peers that started with this node apply completely", "[quota]")
{
    bool isFresh = GENERATE(true, false);
    bool isKnown = GENERATE(true, false);
    CAPTURE(isFresh, isKnown);
    QuotaLimiter limiter(start);
    limiter.setNodes(10);
    if (isKnown)
        REQUIRE_FALSE(limiter.take(north, limit, 1, start + milliseconds(100)));
    // The levels of a peer that has run for long apply; those of a peer that has just
    // started do not, since it knows no more than this node.
    limiter.setPeer({ "others" }, 1, { { north, 400 } }, { { north, 100 } }, start + milliseconds(600), 9, isFresh);
    (void)limiter.take(north, limit, 1, start + milliseconds(600));
    // The start credit at a rate of 1,000 per second.
    double credit = static_cast<double>(QuotaSettings {}.startCredit_.count());
    double known = isKnown ? 600 + credit - 1 : 100;
    CHECK(limiter.levels()[north] == Approx((isFresh ? 200 + credit - (isKnown ? 1 : 0) : known) - 1).margin(1));
}

TEST_CASE("nodes that start simultaneously do not each admit the full rate", "[quota]")
{
    auto count = GENERATE(9U, 63U);
    auto excess = GENERATE(1.5, 7.5);
    CAPTURE(count, excess);
    const QuotaLimit tokens { 700000, 2600000 };
    constexpr double cost = 12000;
    // Reports between the nodes take 0.4 s.
    DelayedNodes nodes(count, milliseconds(400));
    nodes.restart(start + milliseconds(20000));
    nodes.run(start + milliseconds(20100), milliseconds(800), excess * tokens.ratePerSecond_ / cost, tokens, cost);
    // The nodes may admit the tokens that the rate adds in the 0.9 s since the restart
    // and the start credit of 0.4 s. The other 0.3 s allow for the one request that each
    // node may admit beyond its share.
    CHECK(nodes.maxAdmitted(milliseconds(8000)) <= (0.9 + 0.4 + 0.3) * tokens.ratePerSecond_);
    // In the next seconds, the nodes receive each other's reports. Beyond the tokens that
    // the rate adds in the 4 s since the restart, an excess of 140,000 tokens and of the
    // tokens of 0.9 s, a tenth of 8 s and of one second, is tolerated.
    nodes.run(start + milliseconds(20900), milliseconds(3100), excess * tokens.ratePerSecond_ / cost, tokens, cost);
    CHECK(nodes.maxAdmitted(milliseconds(8000)) <= (4 + 0.9) * tokens.ratePerSecond_ + 140000);
    // If each of 63 nodes receives one request, a third of them have accumulated enough
    // tokens for it from their shares.
    CHECK(nodes.maxAdmitted(milliseconds(8000)) >= 0.25 * tokens.ratePerSecond_);
}

TEST_CASE("a node without reports from others gets the full quota soon after its start", "[quota]")
{
    QuotaLimiter limiter(start);
    limiter.setNodes(12);
    double admitted = 0;
    for (milliseconds t {}; t < milliseconds(10000); t += milliseconds(1))
        admitted += limiter.take(north, limit, 1, start + t) ? 0 : 1;
    // A twelfth of the rate in the first 3 s, in which other nodes may run without a
    // report yet, and the full rate afterwards.
    CHECK(admitted >= 250 + 7000);
}

TEST_CASE("a quota holds over a crash of all nodes while requests exceed it many times", "[quota]")
{
    auto count = GENERATE(9U, 63U);
    auto excess = GENERATE(2.0, 7.5);
    // A process that crashes is down for at least some hundred milliseconds.
    auto down = GENERATE(400, 1300);
    auto crashes = GENERATE(1, 2);
    CAPTURE(count, excess, down, crashes);
    const QuotaLimit tokens { 700000, 700000 };
    constexpr double cost = 12000;
    const double requested = excess * tokens.ratePerSecond_ / cost;
    DelayedNodes nodes(count, milliseconds(400));
    SteadyTime now = start + milliseconds(10000);
    nodes.run(now, milliseconds(8000), requested, tokens, cost);
    now += milliseconds(8000);
    for (int crash = 0; crash < crashes; ++crash) {
        now += milliseconds(down);
        nodes.restart(now);
        nodes.run(now, milliseconds(3000), requested, tokens, cost);
        now += milliseconds(3000);
    }
    nodes.run(now, milliseconds(4000), requested, tokens, cost);
    CHECK(nodes.maxAdmitted(milliseconds(8000)) <= (8 * tokens.ratePerSecond_ + tokens.burst_) * 1.1 + 140000);
}

TEST_CASE("requests right after a crash of all nodes can use the tokens that the rate added meanwhile", "[quota]")
{
    // Nine or ten nodes are down for 0.5 s and receive requests for half of the quota. A
    // request of 12,000 tokens costs what one node's share of the rate adds in a quarter of a
    // second.
    const QuotaLimit tokens { 420000, 420000 };
    constexpr double cost = 12000;
    SteadyTime now = start + milliseconds(20000);
    double requested = 0;
    double admitted = 0;
    for (std::size_t run = 0; run < 20; ++run) {
        DelayedNodes nodes(9 + run % 2, milliseconds(400));
        nodes.restart(now);
        nodes.run(now, milliseconds(600), 0.5 * tokens.ratePerSecond_ / cost, tokens, cost);
        requested += 0.6 * 0.5 * tokens.ratePerSecond_;
        admitted += nodes.sumSince(now);
    }
    CHECK(admitted >= 0.9 * requested);
}
