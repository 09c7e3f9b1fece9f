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
std::vector<TransferId> fill(TransferLimiter& limit, SteadyTime now)
{
    std::vector<TransferId> begun;
    while (auto transfer = limit.begin(now))
        begun.push_back(*transfer);
    return begun;
}

} // namespace

TEST_CASE("a storm of peers is given the configuration a few at a time", "[transfers]")
{
    TransferLimiter limit;
    auto askers = GENERATE(1U, 2U, 3U, 62U);
    std::size_t given = 0;
    for (std::size_t i = 0; i < askers; ++i)
        given += limit.begin(start).has_value();
    CHECK(given == std::min<std::size_t>(askers, maxTransfers));
    CHECK(limit.activeTransfers() == given);
}

TEST_CASE("a transfer that ends makes room for one more", "[transfers]")
{
    TransferLimiter limit;
    auto begun = fill(limit, start);
    REQUIRE(begun.size() == maxTransfers);
    auto ended = GENERATE(0U, 1U);
    limit.end(begun[ended]);
    CHECK(fill(limit, start).size() == 1);
    // Ended twice, it makes no room twice.
    limit.end(begun[ended]);
    CHECK(fill(limit, start).empty());
}

TEST_CASE("a transfer that never ends keeps its place for a while only", "[transfers]")
{
    struct Case {
        milliseconds after_;
        std::size_t free_;
    };
    auto [after, free] = GENERATE(Case { milliseconds(0), 0 }, Case { transferTimeout - milliseconds(1), 0 }, Case { transferTimeout, maxTransfers });
    TransferLimiter limit;
    auto first = fill(limit, start);
    auto second = fill(limit, start + after);
    CHECK(second.size() == free);
    // The end of one that was given up ends none of the later ones.
    if (free) {
        limit.end(first.front());
        CHECK(fill(limit, start + after).empty());
    }
}

TEST_CASE("busy answers are logged once in a while, with their count", "[transfers]")
{
    TransferLimiter limit;
    CHECK_FALSE(limit.isBusyLogDue(start));
    (void)fill(limit, start);
    CHECK(limit.isBusyLogDue(start));
    CHECK(limit.takeBusyAnswerCount(start) == 1);
    CHECK_FALSE(limit.isBusyLogDue(start + busyLogPeriod));
    for (int i = 0; i < 60; ++i)
        CHECK_FALSE(limit.begin(start + milliseconds(i)));
    CHECK_FALSE(limit.isBusyLogDue(start + busyLogPeriod - milliseconds(1)));
    CHECK(limit.isBusyLogDue(start + busyLogPeriod));
    CHECK(limit.takeBusyAnswerCount(start + busyLogPeriod) == 60);
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
