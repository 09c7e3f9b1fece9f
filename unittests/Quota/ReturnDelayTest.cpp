//===- unittests/Quota/ReturnDelayTest.cpp - when refused callers return ---===//
///
/// \file
/// Tests the bounds of return delays and their order.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quota.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr milliseconds ampleTime { 60000 };

QuotaRefusal refusalOf(QuotaClass quotaClass, double refusedCost, milliseconds shortage)
{
    QuotaRefusal refusal;
    refusal.class_ = quotaClass;
    refusal.retryAfter_ = milliseconds(123);
    refusal.shareRate_ = 1000;
    refusal.refusedCost_ = refusedCost;
    refusal.shortage_ = shortage;
    return refusal;
}

} // namespace

// Guards against callers that return before the quota can admit them or when they have no time left.
TEST_CASE("a refused caller returns when the quota has served what was refused", "[quota]")
{
    constexpr auto normal = QuotaClass::Normal;
    constexpr auto deferrable = QuotaClass::Deferrable;
    struct Row {
        const char* name_;
        QuotaRefusal refusal_;
        milliseconds timeLeft_;
        /// The range of returns.
        milliseconds earliest_;
        milliseconds latest_;
    };
    auto row = GENERATE(values<Row>({
        { "not deferrable: when one request may be admitted", refusalOf(normal, 2000, milliseconds(2500)), ampleTime, milliseconds(123), milliseconds(123) },
        { "deferrable: upper bound of the time to serve", refusalOf(deferrable, 1e30, milliseconds(0)), ampleTime, milliseconds(2500), milliseconds(5000) },
        { "deferrable: time to serve", refusalOf(deferrable, 4000, milliseconds(100)), ampleTime, milliseconds(2000), milliseconds(4000) },
        { "deferrable: the shortage's length", refusalOf(deferrable, 1000, milliseconds(2500)), ampleTime, milliseconds(1250), milliseconds(2500) },
        { "deferrable: lower bound", refusalOf(deferrable, 10, milliseconds(100)), ampleTime, milliseconds(250), milliseconds(500) },
        { "deferrable: upper bound", refusalOf(deferrable, 1000, milliseconds(9000)), ampleTime, milliseconds(2500), milliseconds(5000) },
        { "cut to a third of the time left", refusalOf(deferrable, 2000, milliseconds(0)), milliseconds(4500), milliseconds(1000), milliseconds(1500) },
        { "little time left", refusalOf(deferrable, 4000, milliseconds(0)), milliseconds(300), milliseconds(100), milliseconds(100) },
        { "no time left", refusalOf(deferrable, 2000, milliseconds(0)), milliseconds(0), milliseconds(0), milliseconds(0) },
    }));
    CAPTURE(row.name_);
    CHECK(returnDelay(row.refusal_, row.timeLeft_, 0) == row.earliest_);
    CHECK(returnDelay(row.refusal_, row.timeLeft_, 1) == row.latest_);
}

// Guards against callers that all return at the same moment.
TEST_CASE("returns are spread evenly over half of the delay", "[quota]")
{
    const QuotaRefusal refusal = refusalOf(QuotaClass::Deferrable, 2000, milliseconds(0));
    CHECK(returnDelay(refusal, ampleTime, 0.25) == milliseconds(1250));
    CHECK(returnDelay(refusal, ampleTime, 0.5) == milliseconds(1500));
}

// Guards against a shortage that never ends, or one that ends between two refusals of a burst.
TEST_CASE("a shortage lasts until a second without a refusal", "[quota]")
{
    const OrganisationId north { "north" };
    const QuotaLimit limit { 1000, 1000 };
    const SteadyTime start { milliseconds(1000000) };
    QuotaLimiter limiter(start);
    auto refuse = [&](int atMs) { return limiter.take(north, limit, 1, start + milliseconds(atMs), QuotaClass::Normal); };
    REQUIRE_FALSE(limiter.take(north, limit, 10000, start + milliseconds(5000)));
    struct Step {
        int atMs_;
        int shortageMs_;
        double refusedCost_;
    };
    for (const Step& step : std::vector<Step> { { 5000, 0, 1 }, { 6000, 1000, 1.5 }, { 7000, 2000, 1.75 }, { 8001, 0, 1.875 } }) {
        CAPTURE(step.atMs_);
        auto refusal = refuse(step.atMs_);
        REQUIRE(refusal);
        CHECK(refusal->shortage_ == milliseconds(step.shortageMs_));
        CHECK(refusal->refusedCost_ == Approx(step.refusedCost_).epsilon(0.01));
    }
}
