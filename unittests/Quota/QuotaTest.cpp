//===- unittests/Quota/QuotaTest.cpp - quotas and retries ------------------===//
///
/// \file
/// Tests how much of its quota an organisation gets, and how many retries a service
/// gets, while all nodes are responsive.
//===----------------------------------------------------------------------===//
#include "QuotaNodes.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;

TEST_CASE("an organisation that requests many times its quota gets its quota and little more", "[quota]")
{
    // The users' requirements allow an excess over the quota of a tenth plus 140,000 tokens
    // in 8 s.
    auto count = GENERATE(9U, 26U, 63U);
    auto lag = GENERATE(200, 400);
    auto excess = GENERATE(2.0, 4.0, 7.5);
    CAPTURE(count, lag, excess);
    const QuotaLimit tokens { 700000, 2600000 };
    constexpr double cost = 12000;
    double requestsAtQuota = tokens.ratePerSecond_ / cost;
    DelayedNodes nodes(count, milliseconds(lag));
    nodes.run(start + milliseconds(10000), milliseconds(8000), requestsAtQuota * 0.8, tokens, cost);
    SteadyTime overloadedFrom = start + milliseconds(18000);
    nodes.run(overloadedFrom, milliseconds(12000), requestsAtQuota * excess, tokens, cost);
    CHECK(nodes.maxAdmitted(milliseconds(8000)) <= (8 * tokens.ratePerSecond_ + tokens.burst_) * 1.1 + 140000);
    CHECK(nodes.sumSince(overloadedFrom) >= 0.9 * 12 * tokens.ratePerSecond_);
}

TEST_CASE("an organisation whose callers stay with one node gets its quota there", "[quota]")
{
    // 62 other nodes report, and none of them receives requests of the organisation.
    auto requested = GENERATE(0.9, 3.0);
    CAPTURE(requested);
    const QuotaLimit tokens { 700000, 2600000 };
    constexpr double cost = 12000;
    QuotaLimiter limiter(start);
    std::mt19937_64 random(7);
    SteadyTime begin = start + milliseconds(10000);
    double admitted = 0;
    for (milliseconds t {}; t < milliseconds(20000); t += milliseconds(1)) {
        if (t.count() % 200 == 0)
            limiter.setPeer({ "others" }, 1, {}, {}, begin + t, 62);
        if (std::uniform_real_distribution<>(0, 1)(random) < requested * tokens.ratePerSecond_ / cost / 1000)
            admitted += limiter.take(north, tokens, cost, begin + t) ? 0 : cost;
    }
    double granted = 20 * tokens.ratePerSecond_ * std::min(1.0, requested);
    CHECK(admitted >= 0.93 * granted);
}

TEST_CASE("nodes together admit the rate and little more", "[quota]")
{
    auto count = GENERATE(1U, 3U, 9U);
    Nodes nodes(count, milliseconds(200));
    double admitted = nodes.flood(start + milliseconds(5000), milliseconds(8000), 1);
    // The upper bound is the burst, plus the tokens that the rate adds in 8 s, plus those
    // that each node may use at the complete rate in one report interval of 200 ms.
    CHECK(admitted >= 8000);
    CHECK(admitted <= 9000 + 200.0 * count);
}

TEST_CASE("the cost of a request that did not run is refunded", "[quota]")
{
    QuotaLimiter limiter(start);
    SteadyTime now = start + milliseconds(1000);
    REQUIRE_FALSE(limiter.take(north, limit, 1400, now));
    REQUIRE(limiter.take(north, limit, 1, now));
    limiter.giveBack(north, 1400);
    CHECK_FALSE(limiter.take(north, limit, 1, now));
    CHECK(limiter.admitted()[north] == Approx(1));
}

TEST_CASE("a rejection returns the time after which to retry", "[quota]")
{
    QuotaLimiter limiter(start);
    SteadyTime now = start + milliseconds(1000);
    REQUIRE_FALSE(limiter.take(north, limit, 1500, now));
    auto wait = limiter.take(north, limit, 1, now);
    REQUIRE(wait);
    CHECK(*wait >= milliseconds(500));
    CHECK(*wait <= milliseconds(510));
    CHECK_FALSE(limiter.take(north, limit, 1, now + *wait));
}

TEST_CASE("retries stay within their ratio to the requests", "[quota]")
{
    RetrySettings settings;
    settings.ratio_ = 0.2;
    settings.extraRetries_ = 10;
    settings.usableShare_ = 1;
    ServiceRetryBudget budget(settings);
    const ServiceName service { "s" };
    for (int i = 0; i < 100; ++i)
        budget.countRequest(service, start);
    int taken = 0;
    while (budget.tryRetry(service, start))
        ++taken;
    CHECK(taken == 30);
    CHECK_FALSE(budget.tryRetry({ "other" }, start + milliseconds(20000)) == false);
    // The window has passed, so only the additional retries are left.
    taken = 0;
    while (budget.tryRetry(service, start + milliseconds(10001)))
        ++taken;
    CHECK(taken == 10);
}

TEST_CASE("small requests are not rejected because large ones used up the quota", "[quota]")
{
    // An organisation requests four times its quota with requests of 12,000 tokens, and in
    // addition a twentieth of the quota with small ones.
    const QuotaLimit tokens { 210000, 210000 };
    constexpr double large = 12000;
    constexpr double small = 200;
    constexpr std::uint64_t largeEveryMs = 14;
    constexpr std::uint64_t smallEveryMs = 19;
    QuotaLimiter limiter(start);
    SteadyTime begin = start + milliseconds(10000);
    double admitted = 0;
    int requested = 0;
    int rejected = 0;
    for (std::uint64_t t = 0; t < 20000; ++t) {
        SteadyTime now = begin + milliseconds(t);
        if (t % largeEveryMs == 0)
            admitted += limiter.take(north, tokens, large, now) ? 0 : large;
        if (t % smallEveryMs)
            continue;
        bool isRejected = limiter.take(north, tokens, small, now).has_value();
        ++requested;
        rejected += isRejected;
        admitted += isRejected ? 0 : small;
    }
    CHECK(rejected * 100 <= requested);
    // The sum stays within the quota, since large requests wait for the tokens that the
    // small ones took.
    CHECK(admitted <= 20 * tokens.ratePerSecond_ + tokens.burst_ + large);
    CHECK(admitted >= 0.95 * 20 * tokens.ratePerSecond_);
}
