//===- unittests/Quarantine/QuarantineTest.cpp - crashes by request --------===//
///
/// \file
/// Tests when a request is quarantined, for how long, what clears it, and that nodes
/// that exchange reports converge.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

static const Attribute request { AttributeKind::Request, { 0xabc } };
static const OrganisationId north { "north" };
static const SteadyTime start = SteadyTime {} + milliseconds(3'600'000);

static QuarantineSettings smallTableSettings()
{
    QuarantineSettings settings;
    settings.capacity_ = 8;
    settings.organisationCapacity_ = 4;
    return settings;
}

static SteadyTime after(std::int64_t ms)
{
    return start + milliseconds(ms);
}

static Attribute requestOf(std::uint64_t key)
{
    return { AttributeKind::Request, { key } };
}

static void crash(QuarantineTable& table, const Attribute& of, std::uint32_t servers, SteadyTime at, const OrganisationId& organisation = north)
{
    for (std::uint32_t i = 0; i < servers; ++i)
        table.noteCrash(of, organisation, { 1000 + i }, at);
}

TEST_CASE("a request is quarantined after three different servers crashed during it", "[quarantine]")
{
    QuarantineTable table({});
    CHECK(table.isEmpty());
    CHECK(table.noteCrash(request, north, { 1 }, start) == 1);
    CHECK(table.noteCrash(request, north, { 1 }, start) == 1);
    CHECK(table.noteCrash(request, north, { 2 }, start) == 2);
    CHECK_FALSE(table.check(request, start));
    CHECK(table.noteCrash(request, north, { 3 }, after(100)) == 3);
    auto quarantine = table.check(request, after(600));
    REQUIRE(quarantine);
    CHECK(quarantine->crashes_ == 3);
    CHECK(quarantine->sinceLastCrash_ == milliseconds(500));
    CHECK_FALSE(table.check(requestOf(0xabd), after(600)));
    CHECK(table.quarantined(after(600)) == 1);
}

TEST_CASE("a quarantine ends, and each further crash doubles its duration", "[quarantine]")
{
    struct Row {
        std::uint32_t crashes_;
        milliseconds length_;
    };
    auto row = GENERATE(values<Row>({ { 3, milliseconds(600'000) }, { 4, milliseconds(1'200'000) }, { 6, milliseconds(4'800'000) }, { 30, milliseconds(24LL * 3600 * 1000) } }));
    QuarantineTable table({});
    crash(table, request, row.crashes_, start);
    CAPTURE(row.crashes_);
    CHECK(table.check(request, start + row.length_ - milliseconds(1)));
    CHECK_FALSE(table.check(request, start + row.length_));
}

TEST_CASE("a request that still crashes servers stays quarantined after any number of crashes", "[quarantine]")
{
    QuarantineTable table({});
    crash(table, request, 40, start);
    SteadyTime later = start + std::chrono::hours(23);
    table.noteCrash(request, north, { 5000 }, later);
    CHECK(table.check(request, later + std::chrono::hours(23)));
}

TEST_CASE("a request that is answered is no longer suspected", "[quarantine]")
{
    QuarantineTable table({});
    crash(table, request, 2, start);
    CHECK(table.noteSound(std::span(&request, 1), after(10)));
    CHECK_FALSE(table.noteSound(std::span(&request, 1), after(10)));
    CHECK(table.noteCrash(request, north, { 9 }, after(20)) == 1);
    // A node that did not receive that the request was answered reports the same crash
    // later.
    QuarantineTable other({});
    crash(other, request, 3, start);
    table.mergeSuspects(other.suspects(start), after(30));
    CHECK(table.activeCrashesOf(request) == 2);
    other.mergeSuspects(table.suspects(after(30)), after(40));
    CHECK(other.activeCrashesOf(request) == 2);
}

TEST_CASE("nodes converge to the same state in any order of the reports", "[quarantine]")
{
    auto seed = GENERATE(range(0, 50));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::vector<std::unique_ptr<QuarantineTable>> tables;
    for (int i = 0; i < 5; ++i)
        tables.push_back(std::make_unique<QuarantineTable>(QuarantineSettings {}));
    for (std::int64_t at = 0; at < 4000; at += 100) {
        QuarantineTable& table = *tables[random() % tables.size()];
        Attribute of = requestOf(1 + random() % 6);
        if (random() % 5)
            table.noteCrash(of, north, { static_cast<std::uint32_t>(random() % 20) }, after(at));
        else
            table.clear(of, after(at));
        // Half of the reports are lost.
        QuarantineTable& from = *tables[random() % tables.size()];
        tables[random() % tables.size()]->mergeSuspects(from.suspectsToReport(after(at), random()), after(at));
    }
    // All nodes receive the reports of all others for four seconds.
    for (std::int64_t at = 4000; at < 8000; at += 200) {
        for (auto& to : tables) {
            for (auto& from : tables)
                to->mergeSuspects(from->suspectsToReport(after(at), random()), after(at));
        }
    }
    for (std::uint64_t of = 1; of <= 6; ++of) {
        CAPTURE(seed, of);
        for (auto& table : tables) {
            bool isSame = table->check(requestOf(of), after(8000)).has_value() == tables[0]->check(requestOf(of), after(8000)).has_value();
            CHECK(isSame);
        }
    }
}

TEST_CASE("a node that starts later receives the quarantined requests", "[quarantine]")
{
    QuarantineTable table({});
    for (std::uint64_t of = 1; of <= 20; ++of)
        crash(table, requestOf(of), 3, start);
    QuarantineTable started({});
    // A new node receives 15 reports within the platform's contact time.
    for (std::uint64_t report = 0; report < 15; ++report)
        started.mergeSuspects(table.suspectsToReport(after(60'000), report * 7919), after(60'000));
    CHECK(started.quarantined(after(60'000)) == 20);
}

TEST_CASE("a flood of suspects of one organisation evicts its own, those with the fewest crashes first", "[quarantine]")
{
    QuarantineTable table(smallTableSettings());
    crash(table, requestOf(1), 3, start);
    crash(table, requestOf(2), 1, start, { "south" });
    for (std::uint64_t of = 100; of < 200; ++of)
        crash(table, requestOf(of), 1, after(10));
    CHECK(table.check(requestOf(1), after(20)));
    CHECK(table.activeCrashesOf(requestOf(2)) == 1);
    CHECK(table.suspects(after(20)).size() <= 8);
}

TEST_CASE("a report is bounded and starts with the most crashes", "[quarantine]")
{
    QuarantineTable table({});
    for (std::uint64_t of = 1; of <= 200; ++of)
        crash(table, requestOf(of), 1, start);
    crash(table, requestOf(500), 2, start);
    auto reported = table.suspectsToReport(after(100), 0);
    CHECK(reported.size() <= 24);
    REQUIRE_FALSE(reported.empty());
    CHECK(reported.front().attribute_ == requestOf(500));
    // Requests with a single crash are reported only shortly after they changed.
    CHECK(table.suspectsToReport(after(5000), 0).size() == 1);
}

TEST_CASE("an expired suspect is not restored by a node that keeps it longer", "[quarantine]")
{
    QuarantineTable table({});
    crash(table, request, 2, start);
    auto reported = table.suspects(start);
    SteadyTime later = start + milliseconds(600'001);
    table.mergeSuspects(reported, later);
    table.noteCrash(requestOf(77), north, { 1 }, later);
    CHECK(table.activeCrashesOf(request) == 0);
    table.mergeSuspects(reported, later);
    CHECK(table.activeCrashesOf(request) == 0);
}

TEST_CASE("an attempt that was cut off counts only once its server is known to have terminated", "[quarantine]")
{
    QuarantineTable table({});
    CrashDetector detector(table);
    CHECK(detector.isIdle());
    auto first = detector.noteCutOff({ { request }, north, { 1 } }, start);
    CHECK_FALSE(first.counted_);
    CHECK(first.needsProbe_);
    CHECK_FALSE(detector.noteCutOff({ { requestOf(0xdef) }, north, { 1 } }, start).needsProbe_);
    CHECK(table.isEmpty());
    CHECK_FALSE(detector.isIdle());
    CHECK_FALSE(detector.noteProbed({ 1 }, std::nullopt, after(200)));
    // The registry removes the server some seconds later.
    CHECK(detector.noteTerminated({ 1 }, after(4000)).size() == 2);
    CHECK(table.activeCrashesOf(request) == 1);
    // An attempt that is found cut off after the server's end counts immediately.
    auto late = detector.noteCutOff({ { requestOf(0x123) }, north, { 1 } }, after(4100));
    REQUIRE(late.counted_);
    CHECK(late.counted_->crashes_.front() == 1);
}

TEST_CASE("an attempt that was cut off does not count if the request was answered elsewhere", "[quarantine]")
{
    QuarantineTable table({});
    CrashDetector detector(table);
    (void)detector.noteCutOff({ { request }, north, { 1 } }, start);
    (void)detector.noteSound(std::span(&request, 1), after(200));
    CHECK(detector.noteTerminated({ 1 }, after(3000)).empty());
    CHECK(table.activeCrashesOf(request) == 0);
}

TEST_CASE("a server's end that is known long after an attempt was cut off does not count", "[quarantine]")
{
    QuarantineTable table({});
    CrashDetector detector(table);
    (void)detector.noteCutOff({ { request }, north, { 1 } }, start);
    CHECK(detector.noteTerminated({ 1 }, after(10'001)).empty());
    CHECK(table.isEmpty());
}

TEST_CASE("a quarantined request is recorded again for each crash, and removed when it is cleared", "[quarantine]")
{
    QuarantineTable table({});
    QuarantineRecordTracker record([&](const Suspect& suspect) { return table.isCondemned(suspect); });
    auto recordChanges = [&](std::size_t expected, bool isDropped) {
        auto changes = record.pendingChanges(table.suspects(start));
        REQUIRE(changes.size() == expected);
        for (const QuarantineRecordTracker::Change& change : changes) {
            CHECK(change.suspect_.attribute_ == request);
            CHECK(change.isDropped_ == isDropped);
            record.noteRecorded(change);
        }
    };
    crash(table, request, 2, start);
    recordChanges(0, false);
    crash(table, request, 3, start);
    recordChanges(1, false);
    recordChanges(0, false);
    crash(table, request, 4, start);
    recordChanges(1, false);
    table.clear(request, start);
    recordChanges(1, true);
    recordChanges(0, true);
}

TEST_CASE("an answer that ended with its connection is sound only if its server was alive afterwards", "[quarantine]")
{
    QuarantineTable table({});
    CrashDetector detector(table);
    crash(table, request, 1, after(-1000));
    const Attribute other = requestOf(0xdef);
    CHECK(detector.noteCutOff({ { request }, north, { 1 } }, start, AttemptEnd::ConnectionClosed).needsProbe_);
    CHECK_FALSE(detector.noteCutOff({ { other }, north, { 1 } }, after(290), AttemptEnd::ConnectionClosed).needsProbe_);
    // The sign of life came before the end of the second answer.
    CHECK(detector.noteProbed({ 1 }, after(100), after(300)));
    CHECK(table.activeCrashesOf(request) == 0);
    CHECK(detector.noteTerminated({ 1 }, after(700)).size() == 1);
    CHECK(table.activeCrashesOf(other) == 1);
    CHECK_FALSE(detector.noteProbed({ 1 }, after(900), after(1000)));
}

TEST_CASE("an attempt that was given up counts only if its server is known to have crashed then", "[quarantine]")
{
    struct Row {
        const char* name_;
        bool hasCutOff_;
        int cutOffAtMs_;
        std::size_t crashes_;
    };
    auto row = GENERATE(values<Row>({ { "no other attempt", false, 0, 0 }, { "another attempt was cut off then", true, 300, 1 }, { "another attempt was cut off later", true, 900, 0 } }));
    CAPTURE(row.name_);
    QuarantineTable table({});
    CrashDetector detector(table);
    CHECK_FALSE(detector.noteCutOff({ { request }, north, { 1 } }, start, AttemptEnd::GivenUp).needsProbe_);
    if (row.hasCutOff_)
        (void)detector.noteCutOff({ { requestOf(0xdef) }, north, { 1 } }, after(row.cutOffAtMs_));
    (void)detector.noteTerminated({ 1 }, after(1000));
    CHECK(table.activeCrashesOf(request) == row.crashes_);
}
