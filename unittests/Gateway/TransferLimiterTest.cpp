//===- unittests/Gateway/TransferLimiterTest.cpp - who is given it now -------===//
///
/// \file
/// Few transfers at once, none of them for good, and busy answers counted.
//===----------------------------------------------------------------------===//
#include "TransferLimiter.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };

/// Begins as many as may be.
std::vector<TransferId> fill(TransferLimiter& limiter, SteadyTime now)
{
    std::vector<TransferId> transfers;
    while (auto transfer = limiter.begin(now))
        transfers.push_back(*transfer);
    return transfers;
}

} // namespace

TEST_CASE("a storm of peers is given the configuration a few at a time", "[transfers]")
{
    TransferLimiter limiter;
    auto peerCount = GENERATE(1U, 2U, 3U, 62U);
    std::size_t given = 0;
    for (std::size_t i = 0; i < peerCount; ++i)
        given += limiter.begin(start).has_value();
    CHECK(given == std::min<std::size_t>(peerCount, maxTransfers));
    CHECK(limiter.activeTransfers() == given);
}

TEST_CASE("a transfer that ends makes room for one more", "[transfers]")
{
    TransferLimiter limiter;
    auto transfers = fill(limiter, start);
    REQUIRE(transfers.size() == maxTransfers);
    auto ended = GENERATE(0U, 1U);
    limiter.end(transfers[ended]);
    CHECK(fill(limiter, start).size() == 1);
    // Ended twice, it makes no room twice.
    limiter.end(transfers[ended]);
    CHECK(fill(limiter, start).empty());
}

TEST_CASE("a transfer that never ends keeps its place for a while only", "[transfers]")
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
    // The end of one that was given up ends none of the later ones.
    if (free) {
        limiter.end(first.front());
        CHECK(fill(limiter, start + after).empty());
    }
}

TEST_CASE("busy answers are logged once in a while, with their count", "[transfers]")
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

TEST_CASE("a busy peer is passed over until the time it told", "[transfers]")
{
    const VmId busy { "busy" };
    BusyPeers peers;
    CHECK_FALSE(peers.isBusy(busy, start));
    peers.note(busy, start + busyRetryDelay);
    CHECK(peers.isBusy(busy, start));
    CHECK(peers.isBusy(busy, start + busyRetryDelay - milliseconds(1)));
    CHECK_FALSE(peers.isBusy(busy, start + busyRetryDelay));
    CHECK_FALSE(peers.isBusy({ "other" }, start));
}
