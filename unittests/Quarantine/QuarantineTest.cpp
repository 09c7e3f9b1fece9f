//===- unittests/Quarantine/QuarantineTest.cpp - crashes by request --------===//
///
/// \file
/// When a request is held, for how long, what clears it, and what nodes that tell each
/// other come to hold.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

static const RequestFingerprint request { 0xabc };
static const OrganisationId north { "north" };
static const SteadyTime start = SteadyTime {} + milliseconds(3'600'000);

static QuarantineSettings smallBook()
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

static void crash(QuarantineBook& book, RequestFingerprint of, std::uint32_t servers, SteadyTime at, const OrganisationId& organisation = north)
{
    for (std::uint32_t i = 0; i < servers; ++i)
        book.noteCrash(of, organisation, { 1000 + i }, at);
}

TEST_CASE("a request is held after three servers crashed under it, counted once each", "[quarantine]")
{
    QuarantineBook book({});
    CHECK(book.isEmpty());
    CHECK(book.noteCrash(request, north, { 1 }, start) == 1);
    CHECK(book.noteCrash(request, north, { 1 }, start) == 1);
    CHECK(book.noteCrash(request, north, { 2 }, start) == 2);
    CHECK_FALSE(book.check(request, start));
    CHECK(book.noteCrash(request, north, { 3 }, after(100)) == 3);
    auto held = book.check(request, after(600));
    REQUIRE(held);
    CHECK(held->crashes_ == 3);
    CHECK(held->sinceLastCrash_ == milliseconds(500));
    CHECK_FALSE(book.check({ 0xabd }, after(600)));
    CHECK(book.quarantined(after(600)) == 1);
}

TEST_CASE("a quarantine ends, and doubles with each crash after it", "[quarantine]")
{
    struct Row {
        std::uint32_t crashes_;
        milliseconds length_;
    };
    auto row = GENERATE(values<Row>({ { 3, milliseconds(600'000) }, { 4, milliseconds(1'200'000) }, { 6, milliseconds(4'800'000) }, { 30, milliseconds(24LL * 3600 * 1000) } }));
    QuarantineBook book({});
    crash(book, request, row.crashes_, start);
    CAPTURE(row.crashes_);
    CHECK(book.check(request, start + row.length_ - milliseconds(1)));
    CHECK_FALSE(book.check(request, start + row.length_));
}

TEST_CASE("a request that still crashes servers stays held however often it did", "[quarantine]")
{
    QuarantineBook book({});
    crash(book, request, 40, start);
    SteadyTime later = start + std::chrono::hours(23);
    book.noteCrash(request, north, { 5000 }, later);
    CHECK(book.check(request, later + std::chrono::hours(23)));
}

TEST_CASE("a request that is served is no longer suspected", "[quarantine]")
{
    QuarantineBook book({});
    crash(book, request, 2, start);
    CHECK(book.clear(request, after(10)));
    CHECK_FALSE(book.clear(request, after(10)));
    CHECK(book.noteCrash(request, north, { 9 }, after(20)) == 1);
    // The same crash, told late by a node that did not hear of the answer.
    QuarantineBook other({});
    crash(other, request, 3, start);
    book.take(other.suspects(start), after(30));
    CHECK(book.crashesOf(request) == 2);
    other.take(book.suspects(after(30)), after(40));
    CHECK(other.crashesOf(request) == 2);
}

TEST_CASE("nodes hold the same whatever the order in which they are told", "[quarantine]")
{
    auto seed = GENERATE(range(0, 50));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::vector<std::unique_ptr<QuarantineBook>> books;
    for (int i = 0; i < 5; ++i)
        books.push_back(std::make_unique<QuarantineBook>(QuarantineSettings {}));
    for (std::int64_t at = 0; at < 4000; at += 100) {
        QuarantineBook& book = *books[random() % books.size()];
        RequestFingerprint of { 1 + random() % 6 };
        if (random() % 5)
            book.noteCrash(of, north, { static_cast<std::uint32_t>(random() % 20) }, after(at));
        else
            book.clear(of, after(at));
        // Half of the reports are lost.
        QuarantineBook& from = *books[random() % books.size()];
        books[random() % books.size()]->take(from.told(after(at), random()), after(at));
    }
    // Everybody hears everybody for a while.
    for (std::int64_t at = 4000; at < 8000; at += 200) {
        for (auto& to : books) {
            for (auto& from : books)
                to->take(from->told(after(at), random()), after(at));
        }
    }
    for (std::uint64_t of = 1; of <= 6; ++of) {
        CAPTURE(seed, of);
        for (auto& book : books) {
            bool isSame = book->check({ of }, after(8000)).has_value() == books[0]->check({ of }, after(8000)).has_value();
            CHECK(isSame);
        }
    }
}

TEST_CASE("a node that starts later is told of what is held", "[quarantine]")
{
    QuarantineBook book({});
    for (std::uint64_t of = 1; of <= 20; ++of)
        crash(book, { of }, 3, start);
    QuarantineBook started({});
    // Reports of the platform's contact time.
    for (std::uint64_t report = 0; report < 15; ++report)
        started.take(book.told(after(60'000), report * 7919), after(60'000));
    CHECK(started.quarantined(after(60'000)) == 20);
}

TEST_CASE("a flood of suspects of one organisation pushes out its own, weakest first", "[quarantine]")
{
    QuarantineBook book(smallBook());
    crash(book, { 1 }, 3, start);
    crash(book, { 2 }, 1, start, { "south" });
    for (std::uint64_t of = 100; of < 200; ++of)
        crash(book, { of }, 1, after(10));
    CHECK(book.check({ 1 }, after(20)));
    CHECK(book.crashesOf({ 2 }) == 1);
    CHECK(book.suspects(after(20)).size() <= 8);
}

TEST_CASE("what is told is bounded, gravest first", "[quarantine]")
{
    QuarantineBook book({});
    for (std::uint64_t of = 1; of <= 200; ++of)
        crash(book, { of }, 1, start);
    crash(book, { 500 }, 2, start);
    auto told = book.told(after(100), 0);
    CHECK(told.size() <= 24);
    REQUIRE_FALSE(told.empty());
    CHECK(told.front().request_.value_ == 500);
    // Single crashes are told while they are new.
    CHECK(book.told(after(5000), 0).size() == 1);
}

TEST_CASE("suspicion is forgotten, and not revived by nodes that remember it longer", "[quarantine]")
{
    QuarantineBook book({});
    crash(book, request, 2, start);
    auto told = book.suspects(start);
    SteadyTime later = start + milliseconds(600'001);
    book.take(told, later);
    book.noteCrash({ 77 }, north, { 1 }, later);
    CHECK(book.crashesOf(request) == 0);
    book.take(told, later);
    CHECK(book.crashesOf(request) == 0);
}

TEST_CASE("an attempt that was cut off counts only once its server is known to have ended", "[quarantine]")
{
    QuarantineBook book({});
    CrashWatch watch(book);
    CHECK(watch.isIdle());
    auto first = watch.noteCutOff({ request, north, { 1 } }, start);
    CHECK_FALSE(first.counted_);
    CHECK(first.needsProbe_);
    CHECK_FALSE(watch.noteCutOff({ { 0xdef }, north, { 1 } }, start).needsProbe_);
    CHECK(book.isEmpty());
    CHECK_FALSE(watch.isIdle());
    watch.noteProbed({ 1 });
    // The registry drops it some seconds later.
    CHECK(watch.noteEnded({ 1 }, after(4000)).size() == 2);
    CHECK(book.crashesOf(request) == 1);
    // One that was read late counts at once.
    auto late = watch.noteCutOff({ { 0x123 }, north, { 1 } }, after(4100));
    REQUIRE(late.counted_);
    CHECK(late.counted_->crashes_ == 1);
}

TEST_CASE("an attempt that was cut off and served elsewhere does not count later", "[quarantine]")
{
    QuarantineBook book({});
    CrashWatch watch(book);
    (void)watch.noteCutOff({ request, north, { 1 } }, start);
    watch.clear(request, after(200));
    CHECK(watch.noteEnded({ 1 }, after(3000)).empty());
    CHECK(book.crashesOf(request) == 0);
}

TEST_CASE("word of an end long after an attempt was cut off does not count", "[quarantine]")
{
    QuarantineBook book({});
    CrashWatch watch(book);
    (void)watch.noteCutOff({ request, north, { 1 } }, start);
    CHECK(watch.noteEnded({ 1 }, after(10'001)).empty());
    CHECK(book.isEmpty());
}

TEST_CASE("a held request is recorded once for each crash, and dropped when nothing is held against it", "[quarantine]")
{
    QuarantineBook book({});
    QuarantineRecord record(3);
    auto take = [&](std::size_t expected, bool isDropped) {
        auto changes = record.due(book.suspects(start));
        REQUIRE(changes.size() == expected);
        for (const QuarantineRecord::Change& change : changes) {
            CHECK(change.suspect_.request_ == request);
            CHECK(change.isDropped_ == isDropped);
            record.noteRecorded(change);
        }
    };
    crash(book, request, 2, start);
    take(0, false);
    crash(book, request, 3, start);
    take(1, false);
    take(0, false);
    crash(book, request, 4, start);
    take(1, false);
    book.clear(request, start);
    take(1, true);
    take(0, true);
}
