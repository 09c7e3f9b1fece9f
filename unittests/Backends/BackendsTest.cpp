//===- unittests/Backends/BackendsTest.cpp - the choice among backends -----===//
///
/// \file
/// Loads, caches, failures and departures, each with the choice that it changes.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const SteadyTime start { milliseconds(1000000) };
const ServiceName service { "s" };

BackendRecord record(const std::string& id, const std::string& dataCentre = "a")
{
    return { { id }, service, { "10.0.0.1", 80 }, { dataCentre }, 4, false, false, { id }, {} };
}

/// The start of \p name at \p startMs.
BackendRecord startOf(const std::string& name, std::uint64_t startMs)
{
    BackendRecord started = record(name);
    started.start_ = { startMs };
    started.id_ = backendId(started.name_, started.start_);
    return started;
}

RequestShape engineRequest(std::uint64_t tokens, std::vector<PromptPart> parts = {})
{
    RequestShape shape;
    shape.service_ = service;
    shape.promptTokens_ = { tokens };
    shape.parts_ = std::move(parts);
    shape.isForEngine_ = true;
    return shape;
}

RequestShape plainRequest()
{
    RequestShape shape;
    shape.service_ = service;
    return shape;
}

std::string chosen(BackendBook& book, const RequestShape& shape, const std::set<BackendId>& excluded = {}, SteadyTime now = start)
{
    auto choice = book.choose(shape, excluded, now);
    return choice ? choice->backend_.id_.value_ : "";
}

} // namespace

TEST_CASE("work goes where fewer prompt tokens are queued", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    // Slots enough for all: only tokens decide.
    for (const char* id : { "x", "y" }) {
        BackendRecord roomy = record(id);
        roomy.slots_ = 24;
        book.put(roomy);
    }
    book.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 3, 9000 } } }, start);
    CHECK(chosen(book, engineRequest(1000)) == "y");
    // Own sends count at once: y has 1,000 queued now, x has 9,000.
    for (int i = 0; i < 7; ++i)
        CHECK(chosen(book, engineRequest(1000)) == "y");
    // A peer that fell silent says nothing of the present.
    SteadyTime later = start + milliseconds(5000);
    book.setPeerLoads({ "other" }, {}, later);
    CHECK(chosen(book, engineRequest(1000), {}, later) == "x");
}

TEST_CASE("a shared part goes to the engine that has it, until that one is busy", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    for (const char* id : { "v", "w", "x", "y" })
        book.put(record(id));
    RequestShape shape = engineRequest(12000, { { "common", { 500 } }, { "subject", { 10000 } }, { "own", { 1500 } } });
    auto first = book.choose(shape, {}, start);
    REQUIRE(first);
    CHECK(first->uncached_.value_ == 1500);
    for (int i = 0; i < 3; ++i)
        CHECK(chosen(book, shape) == first->backend_.id_.value_);
    book.setPeerLoads({ "peer" }, { { keyOf(first->backend_.id_), { 10, 60000 } } }, start);
    CHECK(chosen(book, shape) != first->backend_.id_.value_);
}

TEST_CASE("tokens that are refused count half as demand, and are queued nowhere", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    auto refused = book.choose(engineRequest(1000), {}, start);
    REQUIRE(refused);
    CHECK(book.services()[service].tokensAsked_ == 0);
    book.refuse(*refused);
    CHECK(book.services()[service].tokensAsked_ == 500);
    CHECK(book.ownLoads().empty());
    auto sent = book.choose(engineRequest(1000), {}, start);
    REQUIRE(sent);
    CHECK(sent->queuedAhead_.value_ == 0);
    book.accept(*sent);
    CHECK(book.services()[service].tokensAsked_ == 1500);
    CHECK(book.ownLoads().size() == 1);
}

TEST_CASE("where all slots are taken, a request waits for one", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    book.put(record("y"));
    // Four slots: x has room, though more prompt tokens are queued there than at y.
    book.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 3, 5000 } }, { keyOf({ "y" }), { 12, 0 } } }, start);
    auto choice = book.choose(engineRequest(1000), {}, start);
    REQUIRE(choice);
    CHECK(choice->backend_.id_.value_ == "x");
    CHECK(choice->running_ == 3);
    book.remove({ "x" }, start);
    // Nine are before it, and four slots are held for 500 ms each until it is known better.
    choice = book.choose(engineRequest(1000), {}, start);
    REQUIRE(choice);
    CHECK(choice->ahead_ >= milliseconds(9 * 500 / 4));
    for (int i = 0; i < 400; ++i)
        book.end({ "y" }, { BackendOutcome::Served, {}, true, milliseconds(100) }, start);
    choice = book.choose(engineRequest(1000), {}, start);
    REQUIRE(choice);
    CHECK(choice->ahead_ >= milliseconds(9 * 100 / 4));
    CHECK(choice->ahead_ < milliseconds(400));
}

TEST_CASE("leaving, gone and excluded ones take nothing", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    for (const char* id : { "w", "x", "y" })
        book.put(record(id));
    CHECK(book.setLeaving({ "w" }, start));
    CHECK_FALSE(book.setLeaving({ "w" }, start));
    book.remove({ "x" }, start);
    CHECK(chosen(book, plainRequest()) == "y");
    CHECK(chosen(book, plainRequest(), { { "y" } }).empty());
    // An old record does not call it back.
    book.put(record("w"));
    CHECK(chosen(book, plainRequest(), { { "y" } }).empty());
}

TEST_CASE("what failed is passed over for a while and tried again", "[backends]")
{
    struct Row {
        BackendOutcome outcome_;
        int times_;
        milliseconds passedOver_;
    };
    auto row = GENERATE(values<Row>({
        { BackendOutcome::Broken, 1, milliseconds(0) },
        { BackendOutcome::Broken, 2, milliseconds(500) },
        { BackendOutcome::Broken, 3, milliseconds(1000) },
        { BackendOutcome::Unreachable, 1, milliseconds(500) },
        { BackendOutcome::Full, 1, milliseconds(100) },
        { BackendOutcome::Abandoned, 3, milliseconds(0) },
    }));
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    book.put(record("y", "far"));
    for (int i = 0; i < row.times_; ++i)
        book.end({ "x" }, { row.outcome_ }, start);
    CAPTURE(toString(row.outcome_), row.times_);
    if (row.passedOver_.count())
        CHECK(chosen(book, plainRequest(), {}, start + row.passedOver_ - milliseconds(1)) == "y");
    book.end({ "y" }, { BackendOutcome::Served }, start);
    CHECK(chosen(book, plainRequest(), {}, start + row.passedOver_) == "x");
}

TEST_CASE("a doubtful one is better than none", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    book.end({ "x" }, { BackendOutcome::Unreachable }, start);
    CHECK(chosen(book, plainRequest()) == "x");
}

TEST_CASE("a stale record is dropped when another has its address", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    book.end({ "x" }, { BackendOutcome::WrongInstance }, start);
    CHECK_FALSE(book.find({ "x" }));
}

TEST_CASE("an engine that fails most of its requests is left out", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    book.put(record("y", "far"));
    for (int i = 0; i < 10; ++i)
        book.end({ "x" }, { i % 4 ? BackendOutcome::Failed : BackendOutcome::Served, {}, true }, start);
    CHECK(chosen(book, plainRequest()) == "y");
}

TEST_CASE("the reading rate is learnt beside a fixed part of each wait", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    for (int i = 0; i < 200; ++i) {
        RequestShape shape = engineRequest(1000 + 97 * static_cast<std::uint64_t>(i % 50));
        auto choice = book.choose(shape, {}, start);
        REQUIRE(choice);
        double wait = 31 + static_cast<double>(shape.promptTokens_.value_) / 112;
        book.began(*choice, shape, milliseconds(static_cast<std::int64_t>(wait)));
        book.end({ "x" }, { BackendOutcome::Served, choice->uncached_, true }, start);
    }
    CHECK(book.services()[service].prefillPerMs_ == Approx(112).epsilon(0.1));
    CHECK(book.services()[service].observations_ == 200);
}

TEST_CASE("nodes that know the same late loads do not all send to one engine", "[backends]")
{
    // Forty engines are busy alike, but for one.
    constexpr int nodes = 20;
    int atIdle = 0;
    for (int node = 0; node < nodes; ++node) {
        BackendBook book({ "a" }, ChoiceSettings {});
        std::map<BackendKey, BackendLoad> loads;
        for (int i = 0; i < 40; ++i) {
            std::string id = "e" + std::to_string(i);
            book.put(record(id));
            loads[keyOf({ id })] = { 2, i ? 9000U : 0U };
        }
        book.setPeerLoads({ "peer" }, loads, start);
        atIdle += chosen(book, engineRequest(1000)) == "e0";
    }
    // A tenth of samples hold it; more than 12 of 20 come once in ten million runs.
    CHECK(atIdle <= 12);
}

TEST_CASE("an estimate tells the wait for those ahead from the own prompt's", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    book.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 0, 10000 } } }, start);
    auto choice = book.choose(engineRequest(5000), {}, start);
    REQUIRE(choice);
    CHECK(choice->ahead_ == milliseconds(200));
    // 15,000 tokens at 50 a millisecond, and the first event.
    CHECK(choice->estimate_ == milliseconds(330));
}

TEST_CASE("an engine that has a part keeps its requests though all take a while to begin", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    for (const char* id : { "v", "w", "x", "y" })
        book.put(record(id));
    RequestShape shape = engineRequest(3000, { { "subject", { 2000 } }, { "own", { 1000 } } });
    // Some wait behind others that this node has not heard of.
    auto waits = GENERATE(values<std::vector<int>>({ { 65 }, { 40, 40, 110 }, { 50, 160, 50 } }));
    std::string home = chosen(book, shape);
    book.end({ home }, { BackendOutcome::Abandoned, { 1000 }, false, {} }, start);
    for (int i = 0; i < 30; ++i) {
        SteadyTime now = start + milliseconds(100 * i);
        auto choice = book.choose(shape, {}, now);
        REQUIRE(choice);
        CHECK(choice->backend_.id_.value_ == home);
        book.began(*choice, shape, milliseconds(waits[static_cast<std::size_t>(i) % waits.size()]));
        book.end(choice->backend_.id_, { BackendOutcome::Served, choice->uncached_, true, {} }, now);
    }
}

TEST_CASE("a data centre whose backend servers all fail is left alone until one is reached", "[backends]")
{
    auto outcome = GENERATE(BackendOutcome::Unreachable, BackendOutcome::Broken);
    BackendBook book({ "a" }, ChoiceSettings {});
    for (const char* id : { "b1", "b2", "b3", "b4" })
        book.put(record(id, "b"));
    book.put(record("a1", "a"));
    auto failAt = [&](const std::string& id) { book.end({ id }, { outcome, {}, false, {} }, start); };
    // One that fails again and again says nothing of the others.
    for (int i = 0; i < 5; ++i)
        failAt("b1");
    failAt("b2");
    CHECK(book.unreached().empty());
    failAt("b3");
    REQUIRE(book.unreached().size() == 1);
    CHECK(book.unreached().front().dataCentre_.value_ == "b");
    // Even where the near one has much to do.
    book.setPeerLoads({ "peer" }, { { keyOf({ "a1" }), { 3, 50000 } } }, start);
    SteadyTime later = start + milliseconds(100);
    for (int i = 0; i < 8; ++i)
        CHECK(chosen(book, engineRequest(1000), {}, later) == "a1");
    // Where there is no other it is tried, rather than refused.
    CHECK_FALSE(chosen(book, engineRequest(1000), { { "a1" } }, later).empty());
    book.noteReached(BackendId { "b4" });
    CHECK(book.unreached().empty());
    CHECK(chosen(book, engineRequest(1000), {}, later) != "a1");
    // An answer, also a failure, shows that the way is there.
    failAt("b1");
    failAt("b2");
    book.end({ "b4" }, { BackendOutcome::Failed, {}, false, {} }, later);
    failAt("b3");
    CHECK(book.unreached().empty());
}

TEST_CASE("a stream does not move to engines that are taken away with its own", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    BackendRecord first = record("first", "a");
    first.isReclaimable_ = true;
    BackendRecord second = record("second", "a");
    second.isReclaimable_ = true;
    book.put(first);
    book.put(second);
    CHECK_FALSE(book.isDeparting(first.id_));
    first.isLeaving_ = true;
    book.put(first);
    CHECK(book.isDeparting(first.id_));
    RequestShape moved = engineRequest(0);
    moved.reclaimed_ = { "a" };
    CHECK(chosen(book, engineRequest(0)) == "second");
    CHECK(chosen(book, moved).empty());
    book.put(record("lasting", "a"));
    CHECK(chosen(book, moved) == "lasting");
    BackendRecord elsewhere = record("elsewhere", "b");
    elsewhere.isReclaimable_ = true;
    book.put(elsewhere);
    CHECK(chosen(book, moved, { { "lasting" } }) == "elsewhere");
    // An engine that only leaves serves on for as long as its streams last.
    BackendRecord leaving = record("lasting", "a");
    leaving.isLeaving_ = true;
    book.put(leaving);
    CHECK_FALSE(book.isDeparting(leaving.id_));
}

TEST_CASE("a backend server that starts anew under its name is believed nothing of before", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    BackendRecord before = startOf("x", 1000);
    BackendRecord after = startOf("x", 2000);
    CHECK(book.put(before) == BackendBook::Registered::New);
    RequestShape shape = engineRequest(12000, { { "common", { 500 } }, { "subject", { 10000 } }, { "own", { 1500 } } });
    auto running = book.choose(shape, {}, start);
    REQUIRE(running);
    book.setPeerLoads({ "peer" }, { { keyOf(before.id_), { 9, 90000 } } }, start);
    // Two failures in a row eject it.
    for (int i = 0; i < 2; ++i) {
        auto failed = book.choose(plainRequest(), {}, start);
        REQUIRE(failed);
        book.end(failed->backend_.id_, { BackendOutcome::Broken, failed->uncached_, false, {} }, start);
    }
    CHECK(book.put(after) == BackendBook::Registered::Restarted);
    CHECK(book.records().size() == 1);
    // What peers tell is of the start before, too.
    book.setPeerLoads({ "peer" }, { { keyOf(before.id_), { 9, 90000 } } }, start);
    auto choice = book.choose(shape, {}, start);
    REQUIRE(choice);
    CHECK(choice->backend_.start_ == after.start_);
    CHECK(choice->running_ == 0);
    CHECK(choice->queuedAhead_.value_ == 0);
    // The request that ran at the start before ends there.
    book.end(running->backend_.id_, { BackendOutcome::Served, running->uncached_, true, {} }, start);
    CHECK(book.ownLoads().at(keyOf(after.id_)).running_ == 1);
}

TEST_CASE("late word of an earlier start changes nothing", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    BackendRecord before = startOf("x", 1000);
    BackendRecord after = startOf("x", 2000);
    auto isThere = [&] {
        auto newest = book.findNewest({ "x" });
        return newest && newest->id_ == after.id_ && !newest->isLeaving_;
    };
    book.put(before);
    book.put(after);
    BackendRecord leaving = before;
    leaving.isLeaving_ = true;
    CHECK(book.put(leaving) == BackendBook::Registered::Outdated);
    CHECK(isThere());
    CHECK_FALSE(book.setLeaving(before.id_, start));
    CHECK(isThere());
    book.remove(before.id_, start);
    CHECK(isThere());
    // Also once the newer one is gone.
    book.remove(after.id_, start);
    CHECK(book.put(before) == BackendBook::Registered::Outdated);
    CHECK(book.records().empty());
    // One that left is back with its next start only.
    book.put(startOf("x", 2000));
    CHECK(book.setLeaving(after.id_, start));
    CHECK(book.put(after) == BackendBook::Registered::Again);
    CHECK_FALSE(isThere());
    CHECK(book.put(startOf("x", 3000)) == BackendBook::Registered::Restarted);
    CHECK_FALSE(book.findNewest({ "x" })->isLeaving_);
}

TEST_CASE("names that are gone are remembered within a bound", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    constexpr int manyNames = 5000;
    for (int i = 0; i < manyNames; ++i) {
        BackendRecord gone = startOf("n" + std::to_string(i), 2000);
        book.put(gone);
        book.remove(gone.id_, start);
    }
    CHECK(book.put(startOf("n0", 1000)) == BackendBook::Registered::New);
    CHECK(book.put(startOf("n4999", 1000)) == BackendBook::Registered::Outdated);
}

TEST_CASE("a request that may crash its server goes where the fewest others run", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    for (const char* id : { "x", "y", "z" })
        book.put(record(id));
    // The least wait is at x, the fewest requests run at y.
    book.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 3, 0 } }, { keyOf({ "y" }), { 1, 20000 } }, { keyOf({ "z" }), { 2, 0 } } }, start);
    RequestShape suspect = engineRequest(1000);
    CHECK(chosen(book, suspect) != "y");
    suspect.isSuspect_ = true;
    CHECK(chosen(book, suspect) == "y");
}

TEST_CASE("a server that said it leaves stays so when its record comes again", "[backends]")
{
    struct Row {
        const char* name_;
        bool isKnownFirst_;
        bool isRemoved_;
    };
    auto row = GENERATE(values<Row>({ { "told again", true, false }, { "gone and back in a list of before", true, true }, { "heard of before its registration", false, false } }));
    CAPTURE(row.name_);
    BackendBook book({ "a" }, ChoiceSettings {});
    if (row.isKnownFirst_)
        book.put(record("x"));
    CHECK(book.setLeaving({ "x" }, start) == row.isKnownFirst_);
    if (row.isRemoved_)
        book.remove({ "x" }, start);
    book.put(record("x"));
    CHECK(chosen(book, plainRequest()).empty());
    CHECK_FALSE(book.mayReceive({ "x" }, start));
    // Another start of the same name has said nothing.
    book.put(startOf("x", 77));
    CHECK(chosen(book, plainRequest()) == "x@77");
    CHECK(book.mayReceive({ "x@77" }, start));
}

TEST_CASE("a server that asked for a pause is left alone until its end, also where there is no other", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    book.put(record("x"));
    book.put(record("y"));
    auto at = [](std::int64_t ms) { return start + milliseconds(ms); };
    book.setPause({ "x" }, milliseconds(2000), start);
    // A shorter one later does not cut it.
    book.setPause({ "x" }, milliseconds(100), at(10));
    for (int i = 0; i < 10; ++i)
        CHECK(chosen(book, plainRequest(), {}, at(20)) == "y");
    CHECK_FALSE(book.pauseOf(service, at(20)));
    CHECK_FALSE(book.mayReceive({ "x" }, at(20)));
    book.setPause({ "y" }, milliseconds(500), at(20));
    CHECK(chosen(book, plainRequest(), {}, at(20)).empty());
    CHECK(book.pauseOf(service, at(20)) == milliseconds(500));
    CHECK(chosen(book, plainRequest(), {}, at(520)) == "y");
    CHECK(chosen(book, plainRequest(), { { "y" } }, at(2000)) == "x");
    // Nonsense is bounded.
    book.setPause({ "x" }, std::chrono::hours(10000), at(2000));
    CHECK(chosen(book, plainRequest(), { { "y" } }, at(2000) + std::chrono::hours(1)) == "x");
    // Another start has asked for nothing.
    book.setPause({ "x" }, milliseconds(5000), at(4'000'000));
    book.put(startOf("x", 77));
    CHECK(chosen(book, plainRequest(), { { "y" }, { "x" } }, at(4'000'000)) == "x@77");
}

TEST_CASE("what is asked of a service without backend servers is demand", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    REQUIRE_FALSE(book.choose(engineRequest(1000), {}, start));
    book.refuseWithout(engineRequest(1000));
    CHECK(book.services().at(service).tokensAsked_ == 500);
}

TEST_CASE("a backend server that has ended is passed over while others are there", "[backends]")
{
    BackendBook book({ "a" }, ChoiceSettings {});
    for (const char* id : { "x", "y" })
        book.put(record(id));
    book.setEnded({ "x" }, start);
    for (int i = 0; i < 20; ++i)
        CHECK(chosen(book, plainRequest()) == "y");
    // It is the last resort, should the word have been wrong.
    CHECK(chosen(book, plainRequest(), { { "y" } }) == "x");
    book.setEnded({ "unknown" }, start);
}

TEST_CASE("a request reaches a version that it may not be sent to", "[backends]")
{
    struct Row {
        const char* what_;
        std::size_t stable_;
        std::size_t target_;
        VersionRule rule_;
        /// Backend servers that get any of many requests, and whether of the target.
        std::size_t used_;
        bool isTarget_;
    };
    const BackendVersion v2 { "v2" };
    const Row rows[] = {
        { "the others", 6, 6, { v2, false, 0.1, true }, 6, false },
        { "the target on trial, three at least", 6, 6, { v2, true, 0.1, true }, 3, true },
        { "the target on trial, as many as bear the load of others", 20, 20, { v2, true, 0.3, true }, 6, true },
        { "all to the target", 6, 6, { v2, true, 1, true }, 6, true },
        { "no target there", 6, 0, { v2, true, 0.1, true }, 6, false },
        { "no other there", 0, 6, { v2, false, 0, true }, 6, true },
        { "no other there, reverted", 0, 6, { v2, false, 0, false }, 0, false },
    };
    for (const Row& row : rows) {
        CAPTURE(row.what_);
        BackendBook book({ "a" }, ChoiceSettings {});
        for (std::size_t i = 0; i < row.stable_ + row.target_; ++i) {
            BackendRecord added = record("x-" + std::to_string(i));
            added.version_ = { i < row.stable_ ? "v1" : "v2" };
            book.put(added);
        }
        RequestShape shape = plainRequest();
        shape.version_ = row.rule_;
        std::set<BackendId> used;
        for (int i = 0; i < 200; ++i) {
            auto choice = book.choose(shape, {}, start);
            if (!choice)
                continue;
            CHECK((choice->backend_.version_ == v2) == row.isTarget_);
            used.insert(choice->backend_.id_);
        }
        CHECK(used.size() == row.used_);
    }
    BackendBook book({ "a" }, ChoiceSettings {});
    BackendRecord other = record("x");
    other.version_ = { "v1" };
    book.put(other);
    (void)book.choose(plainRequest(), {}, start);
    BackendBook::Versions versions = book.versions(service, v2);
    CHECK(versions.others_ == 1);
    CHECK(versions.othersRunning_ == 1);
    CHECK(versions.target_ == 0);
}
