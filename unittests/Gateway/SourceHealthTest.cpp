//===- unittests/Gateway/SourceHealthTest.cpp - peers that failed ---------===//
///
/// \file
/// Peers that are busy or have failed are avoided for a time that grows with failures.
//===----------------------------------------------------------------------===//
#include "SourceHealth.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };
const VmId peer { "peer" };

} // namespace

TEST_CASE("a busy peer is skipped until the time that it gave", "[health]")
{
    constexpr milliseconds pause { 250 };
    SourceHealth health;
    CHECK_FALSE(health.isBusy(peer, start));
    health.markBusy(peer, start + pause);
    CHECK(health.isBusy(peer, start));
    CHECK(health.isBusy(peer, start + pause - milliseconds(1)));
    CHECK_FALSE(health.isBusy(peer, start + pause));
    CHECK_FALSE(health.isBusy({ "other" }, start));
    CHECK_FALSE(health.isAvoided(peer, start));
}

TEST_CASE("a peer that fails repeatedly is avoided for longer each time, up to a limit", "[health]")
{
    SourceHealth health;
    SteadyTime now = start;
    milliseconds expected = initialAvoidance;
    for (int failure = 0; failure < 6; ++failure) {
        health.noteFailed(peer, now);
        CHECK(health.isAvoided(peer, now + expected - milliseconds(1)));
        CHECK_FALSE(health.isAvoided(peer, now + expected));
        now += expected;
        expected = std::min(maxAvoidance, 2 * expected);
    }
    health.noteAnswered(peer);
    health.noteFailed(peer, now);
    CHECK_FALSE(health.isAvoided(peer, now + initialAvoidance));
}

TEST_CASE("a peer that answered is not avoided any more", "[health]")
{
    SourceHealth health;
    health.noteFailed(peer, start);
    health.noteAnswered(peer);
    CHECK_FALSE(health.isAvoided(peer, start));
}

TEST_CASE("peers that failed long ago are forgotten", "[health]")
{
    SourceHealth health;
    for (int i = 0; i < 1000; ++i)
        health.noteFailed({ "peer-" + std::to_string(i) }, start + i * maxAvoidance);
    CHECK(health.size() < 10);
}
