//===- unittests/Gateway/TransferLimiterTest.cpp - limited transfers ------===//
///
/// \file
/// The number of concurrent transfers is limited, transfers time out, and busy answers
/// are counted.
//===----------------------------------------------------------------------===//
#include "TransferLimiter.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };

/// Starts as many transfers as the limiter permits.
std::vector<TransferId> fill(TransferLimiter& limiter, SteadyTime now)
{
    std::vector<TransferId> transfers;
    while (auto transfer = limiter.begin(now))
        transfers.push_back(*transfer);
    return transfers;
}

} // namespace

TEST_CASE("many peers receive the configuration a few at a time", "[transfers]")
{
    TransferLimiter limiter;
    auto peerCount = GENERATE(1U, 2U, 3U, 62U);
    std::size_t given = 0;
    for (std::size_t i = 0; i < peerCount; ++i)
        given += limiter.begin(start).has_value();
    CHECK(given == std::min<std::size_t>(peerCount, maxTransfers));
    CHECK(limiter.activeTransfers() == given);
}

TEST_CASE("a transfer that ends permits another one", "[transfers]")
{
    TransferLimiter limiter;
    auto transfers = fill(limiter, start);
    REQUIRE(transfers.size() == maxTransfers);
    auto ended = GENERATE(0U, 1U);
    limiter.end(transfers[ended]);
    CHECK(fill(limiter, start).size() == 1);
    // A transfer that ends twice releases its slot once.
    limiter.end(transfers[ended]);
    CHECK(fill(limiter, start).empty());
}

TEST_CASE("a transfer that never ends is aborted at the timeout", "[transfers]")
{
    struct Case {
        milliseconds after_;
        std::size_t free_;
    };
    auto [after, free] = GENERATE(Case { milliseconds(0), 0 }, Case { transferTimeout - milliseconds(1), 0 }, Case { transferTimeout, maxTransfers });
    TransferLimiter limiter;
    auto first = fill(limiter, start);
    auto second = fill(limiter, start + after);
    CHECK(second.size() == free);
    // The end of an aborted transfer ends none of the later ones.
    if (free) {
        limiter.end(first.front());
        CHECK(fill(limiter, start + after).empty());
    }
}

TEST_CASE("busy answers are logged once per period, with their count", "[transfers]")
{
    TransferLimiter limiter;
    CHECK_FALSE(limiter.isBusyLogDue(start));
    (void)fill(limiter, start);
    CHECK(limiter.isBusyLogDue(start));
    CHECK(limiter.takeBusyAnswerCount(start) == 1);
    CHECK_FALSE(limiter.isBusyLogDue(start + busyLogPeriod));
    for (int i = 0; i < 60; ++i)
        CHECK_FALSE(limiter.begin(start + milliseconds(i)));
    CHECK_FALSE(limiter.isBusyLogDue(start + busyLogPeriod - milliseconds(1)));
    CHECK(limiter.isBusyLogDue(start + busyLogPeriod));
    CHECK(limiter.takeBusyAnswerCount(start + busyLogPeriod) == 60);
}
