//===- unittests/Paths/PathsTest.cpp - lost paths to services --------------===//
///
/// \file
/// Tests what makes a node probe a service, when the service counts as lost, and how soon
/// both are noticed in simulated cuts.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Paths.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace pistachioloom;

namespace {

const SteadyTime start { milliseconds(1000000) };
const ServiceName service { "s" };
constexpr std::size_t probed = 4;

SteadyTime at(std::int64_t ms) { return start + milliseconds(ms); }

bool isDue(ServicePaths& paths, std::int64_t ms) { return !paths.takeDue(at(ms)).empty(); }

/// Loses \p service in two rounds of probes, the second of which ends at \p ms.
void lose(ServicePaths& paths, std::int64_t ms)
{
    paths.noteConnectionFailed(service);
    paths.noteConnectionFailed(service);
    REQUIRE(isDue(paths, ms - 200));
    CHECK(paths.serversToProbe(service) == 1);
    CHECK_FALSE(paths.noteProbed(service, probed, 0, at(ms - 200)));
    REQUIRE(isDue(paths, ms));
    CHECK(paths.serversToProbe(service) == PathSettings {}.serversPerRound_);
    CHECK(paths.noteProbed(service, probed, 0, at(ms)));
    REQUIRE(paths.isLost(service));
}

} // namespace

TEST_CASE("a service is probed after failed connections in a row, or silence while requests wait", "[paths]")
{
    struct Row {
        const char* name_;
        std::function<void(ServicePaths&)> events_;
        bool isDue_;
    };
    const std::vector<Row> rows {
        { "nothing", [](ServicePaths&) {}, false },
        { "one failure", [](ServicePaths& paths) { paths.noteConnectionFailed(service); }, false },
        { "two failures", [](ServicePaths& paths) { paths.noteConnectionFailed(service); paths.noteConnectionFailed(service); }, true },
        { "a connection between two failures", [](ServicePaths& paths) { paths.noteConnectionFailed(service); paths.noteConnected(service); paths.noteConnectionFailed(service); }, false },
        { "a request that waits", [](ServicePaths& paths) { paths.noteSent(service, start); }, true },
        { "a request that waits for a short time", [](ServicePaths& paths) { paths.noteSent(service, at(200)); }, false },
        { "an answer to another request", [](ServicePaths& paths) { paths.noteSent(service, start); paths.noteSent(service, at(1)); paths.noteAnswered(service, at(1), at(300)); }, false },
        { "a request that ended", [](ServicePaths& paths) { paths.noteSent(service, start); paths.noteEnded(service, start); }, false },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name_);
        ServicePaths paths;
        row.events_(paths);
        CHECK(isDue(paths, 500) == row.isDue_);
        // A round is under way until its result is noted.
        if (row.isDue_)
            CHECK_FALSE(isDue(paths, 600));
    }
}

TEST_CASE("a service is lost after two rounds of probes without an answer, and found with the first answer", "[paths]")
{
    ServicePaths paths;
    lose(paths, 500);
    CHECK(paths.lostServices() == std::vector<ServiceName> { service });
    CHECK(paths.lossCount(service) == 1);
    CHECK_FALSE(isDue(paths, 700));
    REQUIRE(isDue(paths, 750));
    CHECK_FALSE(paths.noteProbed(service, probed, 0, at(950)));
    REQUIRE(isDue(paths, 1200));
    CHECK(paths.noteProbed(service, probed, 1, at(1210)));
    CHECK_FALSE(paths.isLost(service));
    CHECK_FALSE(isDue(paths, 5000));
    // Connections that were open at the loss count as such after it.
    CHECK(paths.lossCount(service) == 1);
}

TEST_CASE("the loss of one service makes the node probe the others", "[paths]")
{
    const ServiceName other { "other" };
    ServicePaths paths;
    paths.noteConnected(other);
    lose(paths, 500);
    CHECK(paths.takeDue(at(510)) == std::vector<ServiceName> { other });
    CHECK_FALSE(paths.noteProbed(other, probed, 1, at(520)));
    CHECK_FALSE(paths.isLost(other));
    CHECK(paths.takeDue(at(2000)) == std::vector<ServiceName> { service });
}

TEST_CASE("one round without an answer, or a service without servers, is no loss", "[paths]")
{
    ServicePaths paths;
    paths.noteSent(service, start);
    REQUIRE(isDue(paths, 500));
    CHECK_FALSE(paths.noteProbed(service, probed, 0, at(700)));
    CHECK_FALSE(paths.isLost(service));
    REQUIRE(isDue(paths, 800));
    CHECK_FALSE(paths.noteProbed(service, probed, 1, at(810)));
    // A slow service is not probed without end.
    CHECK_FALSE(isDue(paths, 1700));
    REQUIRE(isDue(paths, 1900));
    CHECK_FALSE(paths.noteProbed(service, 0, 0, at(1910)));
    CHECK_FALSE(paths.isLost(service));
}

TEST_CASE("a cut is noticed and its end as well in time, whatever the phase of the probes", "[paths]")
{
    // Probes of a path that hangs end after their timeout.
    auto probeMs = GENERATE(0, 200);
    auto cutMs = GENERATE(range(3000, 4100, 130));
    CAPTURE(probeMs, cutMs);
    constexpr std::int64_t cutLengthMs = 5000;
    ServicePaths paths;
    std::int64_t lostAt = -1;
    std::int64_t foundAt = -1;
    std::int64_t probeEndsAt = -1;
    for (std::int64_t now = 0; now < cutMs + cutLengthMs + 3000; now += 10) {
        bool isCut = now >= cutMs && now < cutMs + cutLengthMs;
        if (now % 50 == 0) {
            paths.noteSent(service, at(now));
            if (!isCut)
                paths.noteAnswered(service, at(now), at(now + 5));
        }
        if (probeEndsAt < 0 && now % 50 == 0 && isDue(paths, now))
            probeEndsAt = now + (isCut ? probeMs : 1);
        if (probeEndsAt >= 0 && now >= probeEndsAt) {
            probeEndsAt = -1;
            bool isChanged = paths.noteProbed(service, probed, isCut ? 0 : probed, at(now));
            if (isChanged && paths.isLost(service))
                lostAt = now;
            else if (isChanged)
                foundAt = now;
        }
    }
    CHECK(lostAt >= cutMs);
    CHECK(lostAt <= cutMs + 2000);
    CHECK(foundAt >= cutMs + cutLengthMs);
    CHECK(foundAt <= cutMs + cutLengthMs + 1000);
}
