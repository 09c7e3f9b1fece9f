//===- unittests/Quota/QuotaUnresponsiveTest.cpp - unresponsive peers ------===//
///
/// \file
/// Tests what a limiter charges for unresponsive peers, and what it refunds when they
/// report again.
//===----------------------------------------------------------------------===//
#include "QuotaNodes.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;

TEST_CASE("charges for an unresponsive peer are refunded when it reports again", "[quota]")
{
    // The peer admitted nothing in that time, as after a freeze.
    auto duration = GENERATE(1500, 3000, 9000);
    QuotaLimiter limiter(start);
    SteadyTime now = start + milliseconds(20000);
    limiter.setPeer({ "peer" }, 1, { { north, 50 } }, {}, now, 3);
    REQUIRE_FALSE(limiter.take(north, limit, 1, now));
    SteadyTime later = now + milliseconds(duration);
    CHECK_FALSE(limiter.take(north, limit, 1, later));
    limiter.setPeer({ "peer" }, 1, { { north, 51 } }, {}, later, 3);
    CHECK_FALSE(limiter.take(north, limit, 900, later));
}

TEST_CASE("a peer that reports again is charged what it used", "[quota]")
{
    QuotaLimiter limiter(start);
    SteadyTime now = start + milliseconds(20000);
    limiter.setPeer({ "peer" }, 1, { { north, 50 } }, {}, now, 3);
    REQUIRE_FALSE(limiter.take(north, limit, 1000, now));
    SteadyTime later = now + milliseconds(1500);
    REQUIRE_FALSE(limiter.take(north, limit, 1, later));
    limiter.setPeer({ "peer" }, 1, { { north, 150 } }, {}, later, 3);
    // The tokens that the rate adds in 1.5 s, less those that both nodes used, exceed the
    // burst of 1,000, which limits the level.
    CHECK(limiter.levels()[north] == Approx(1000));
    limiter.setPeer({ "peer" }, 1, { { north, 650 } }, {}, later, 3);
    CHECK(limiter.levels()[north] == Approx(500));
}

TEST_CASE("a thread that was frozen after it read the clock does not set a bucket back", "[quota]")
{
    QuotaLimiter limiter(start);
    SteadyTime before = start + milliseconds(20000);
    SteadyTime after = before + milliseconds(2000);
    REQUIRE_FALSE(limiter.take(north, limit, 1, before));
    CHECK_FALSE(limiter.take(north, limit, 1, after));
    CHECK_FALSE(limiter.take(north, limit, 1, before));
    CHECK(limiter.levels()[north] == Approx(998));
}

TEST_CASE("a node frozen before an organisation's first request admits the request afterwards", "[quota]")
{
    // Its peers reported full buckets just before, and seem unresponsive while it is
    // frozen.
    auto frozen = GENERATE(900, 2200, 6000);
    CAPTURE(frozen);
    QuotaLimiter limiter(start);
    limiter.setNodes(4);
    SteadyTime reportedAt = start + milliseconds(100);
    for (const char* peer : { "1", "2", "3" })
        limiter.setPeer({ peer }, 1, { { north, 5000 } }, { { north, 1000 } }, reportedAt);
    SteadyTime resumedAt = reportedAt + milliseconds(frozen);
    CHECK_FALSE(limiter.take(north, limit, 1, resumedAt));
    // The level includes the tokens that the rate added in that time, less those that the
    // peers used.
    for (const char* peer : { "1", "2", "3" })
        limiter.setPeer({ peer }, 1, { { north, 5000 + 0.25 * frozen } }, {}, resumedAt);
    CHECK_FALSE(limiter.take(north, limit, 1, resumedAt));
}

TEST_CASE("levels reported before a node's first request are not admitted twice", "[quota]")
{
    QuotaLimiter limiter(start);
    SteadyTime reportedAt = start + milliseconds(20000);
    limiter.setPeer({ "peer" }, 1, { { north, 5000 } }, { { north, 10 } }, reportedAt);
    SteadyTime first = reportedAt + milliseconds(200);
    REQUIRE_FALSE(limiter.take(north, limit, 1, first));
    // The reported level, plus the tokens that the rate adds in 200 ms, less this request.
    CHECK(limiter.levels()[north] == Approx(10 + 200 - 1));
}

TEST_CASE("nodes that relays report as unresponsive are charged their shares", "[quota]")
{
    QuotaLimiter limiter(start);
    SteadyTime partitionedAt = start + milliseconds(20000);
    // Five nodes report through relays, and four are partitioned.
    double admitted = 0;
    for (milliseconds t {}; t < milliseconds(8000); t += milliseconds(1)) {
        if (t.count() % 200 == 0) {
            limiter.setPeer({ "others" }, 1, {}, {}, partitionedAt + t, 5);
            limiter.setUnresponsiveNodes(4, 5, partitionedAt + t);
        }
        admitted += limiter.take(north, limit, 1, partitionedAt + t) ? 0 : 1;
    }
    // The upper bound is the burst, plus the shares that six of ten nodes have in the tokens
    // that the rate adds in 8 s, plus a tolerance. The shares of the four others are charged.
    CHECK(admitted <= 1000 + 0.6 * 8000 + 400);
    CHECK(admitted >= 4000);
    limiter.setUnresponsiveNodes(0, 9, partitionedAt + milliseconds(8000));
    CHECK_FALSE(limiter.take(north, limit, 1, partitionedAt + milliseconds(10000)));
}

TEST_CASE("nodes that relays report as recovered are charged only what they used", "[quota]")
{
    struct Row {
        const char* name_;
        double used_;
        std::uint64_t live_;
        double min_;
        double max_;
    };
    // Four of ten nodes are unresponsive for 5 s at a rate of 1,000; the others use their
    // shares.
    auto row = GENERATE(values<Row>({
        { "they used their shares", 4 * 500, 9, 0, 200 },
        { "they used nothing", 0, 9, 900, 1000 },
        { "they used more than the rate", 5500, 9, -3600, -3200 },
        { "they are removed, not recovered", 0, 5, 0, 200 },
    }));
    CAPTURE(row.name_);
    QuotaLimiter limiter(start);
    SteadyTime partitionedAt = start + milliseconds(20000);
    REQUIRE_FALSE(limiter.take(north, limit, 900, partitionedAt));
    milliseconds t {};
    for (; t < milliseconds(5000); t += milliseconds(10)) {
        if (t.count() % 200 == 0) {
            limiter.setPeer({ "others" }, 1, { { north, 0.5 * static_cast<double>(t.count()) } }, {}, partitionedAt + t, 5);
            limiter.setUnresponsiveNodes(4, 5, partitionedAt + t);
        }
        (void)limiter.take(north, limit, 1, partitionedAt + t);
    }
    SteadyTime recoveredAt = partitionedAt + t;
    limiter.setPeer({ "others" }, 1, { { north, 0.5 * static_cast<double>(t.count()) + row.used_ } }, {}, recoveredAt, row.live_);
    limiter.setUnresponsiveNodes(0, row.live_, recoveredAt);
    CHECK(limiter.levels()[north] >= row.min_);
    CHECK(limiter.levels()[north] <= row.max_);
}

TEST_CASE("a node partitioned from its peers uses no more than its share", "[quota]")
{
    Nodes nodes(4, milliseconds(200));
    nodes.flood(start + milliseconds(5000), milliseconds(4000), 1);
    nodes.unresponsive_ = { 0 };
    double admitted = 0;
    SteadyTime partitionedAt = start + milliseconds(9000);
    for (milliseconds t {}; t < milliseconds(8000); t += milliseconds(1))
        admitted += nodes.limiters_[0]->take(north, limit, 1, partitionedAt + t) ? 0 : 1;
    // A quarter of the tokens that the rate adds in 8 s. In the first second without
    // reports, the shares of the other nodes are not charged yet.
    CHECK(admitted <= 2000 + 1000 * 0.75 + 200);
    CHECK(admitted >= 1500);
}
