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
constexpr ByteCount size { 100000 };
// Time after which a transfer of this size is slow.
constexpr milliseconds expectedTime = transferSlack + milliseconds(size.value_ / minTransferRate);

/// Starts as many transfers as the limiter permits.
std::vector<TransferId> fill(TransferLimiter& limiter, SteadyTime now)
{
    std::vector<TransferId> transfers;
    while (auto transfer = limiter.begin(size, now))
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
        given += limiter.begin(size, start).has_value();
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

TEST_CASE("a transfer that never ends does not block others once it is slow", "[transfers]")
{
    struct Case {
        milliseconds after_;
        std::size_t free_;
    };
    auto [after, free] = GENERATE(Case { milliseconds(0), 0 }, Case { expectedTime - milliseconds(1), 0 }, Case { expectedTime, maxTransfers }, Case { transferTimeout, maxTransfers });
    TransferLimiter limiter;
    auto first = fill(limiter, start);
    auto second = fill(limiter, start + after);
    CHECK(second.size() == free);
    // The end of a slow or aborted transfer ends none of the later ones.
    if (free) {
        limiter.end(first.front());
        CHECK(fill(limiter, start + after).empty());
    }
}

TEST_CASE("a transfer that never ends is aborted at the timeout", "[transfers]")
{
    TransferLimiter limiter;
    REQUIRE(fill(limiter, start).size() == maxTransfers);
    CHECK(fill(limiter, start + transferTimeout - milliseconds(1)).size() == maxTransfers);
    CHECK(limiter.activeTransfers() == 2 * maxTransfers);
    REQUIRE(limiter.begin(size, start + transferTimeout - milliseconds(1)) == std::nullopt);
    CHECK(fill(limiter, start + transferTimeout).empty());
    CHECK(limiter.activeTransfers() == maxTransfers);
}

TEST_CASE("the number of transfers that never end is bounded", "[transfers]")
{
    TransferLimiter limiter;
    std::size_t most = 0;
    for (milliseconds elapsed {}; elapsed < 10 * transferTimeout; elapsed += milliseconds(50)) {
        (void)limiter.begin({ 100 }, start + elapsed);
        most = std::max(most, limiter.activeTransfers());
    }
    CHECK(most <= maxOpenTransfers);
    CHECK(most > maxTransfers);
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
        CHECK_FALSE(limiter.begin(size, start + milliseconds(i)));
    CHECK_FALSE(limiter.isBusyLogDue(start + busyLogPeriod - milliseconds(1)));
    CHECK(limiter.isBusyLogDue(start + busyLogPeriod));
    CHECK(limiter.takeBusyAnswerCount(start + busyLogPeriod) == 60);
}
