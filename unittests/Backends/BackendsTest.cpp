//===- unittests/Backends/BackendsTest.cpp - choice of backend servers -----===//
///
/// \file
/// Tests how loads, caches, failures and departures change the choice of a backend server.
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

/// Returns a record of the incarnation of \p name that started at \p startMs.
BackendRecord recordWithStart(const std::string& name, std::uint64_t startMs)
{
    BackendRecord started = record(name);
    started.startTime_ = { startMs };
    started.id_ = backendId(started.name_, started.startTime_);
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

std::string chosen(BackendTable& table, const RequestShape& shape, const std::set<BackendId>& excluded = {}, SteadyTime now = start)
{
    auto choice = table.choose(shape, excluded, now);
    return choice ? choice->backend_.id_.value_ : "";
}

} // namespace

TEST_CASE("requests go to the engine with fewer queued prompt tokens", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    // There are enough slots for all requests, so that only tokens matter.
    for (const char* id : { "x", "y" }) {
        BackendRecord backend = record(id);
        backend.slots_ = 24;
        table.put(backend);
    }
    table.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 3, 9000 } } }, start);
    CHECK(chosen(table, engineRequest(1000)) == "y");
    // The node's own requests count immediately: y has 1,000 tokens queued, x has 9,000.
    for (int i = 0; i < 7; ++i)
        CHECK(chosen(table, engineRequest(1000)) == "y");
    // The loads of an unresponsive peer expire.
    SteadyTime later = start + milliseconds(5000);
    table.setPeerLoads({ "other" }, {}, later);
    CHECK(chosen(table, engineRequest(1000), {}, later) == "x");
}

TEST_CASE("requests with a shared part go to the engine that has it cached, until it is busy", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (const char* id : { "v", "w", "x", "y" })
        table.put(record(id));
    RequestShape shape = engineRequest(12000, { { "common", { 500 } }, { "subject", { 10000 } }, { "own", { 1500 } } });
    auto first = table.choose(shape, {}, start);
    REQUIRE(first);
    CHECK(first->uncachedTokens_.value_ == 1500);
    for (int i = 0; i < 3; ++i)
        CHECK(chosen(table, shape) == first->backend_.id_.value_);
    table.setPeerLoads({ "peer" }, { { keyOf(first->backend_.id_), { 10, 60000 } } }, start);
    CHECK(chosen(table, shape) != first->backend_.id_.value_);
}

TEST_CASE("half of the tokens of rejected requests count as demand, and none as queued", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    auto rejected = table.choose(engineRequest(1000), {}, start);
    REQUIRE(rejected);
    CHECK(table.services()[service].tokensRequested_ == 0);
    table.noteRejected(*rejected);
    CHECK(table.services()[service].tokensRequested_ == 500);
    CHECK(table.ownLoads(start).empty());
    auto sent = table.choose(engineRequest(1000), {}, start);
    REQUIRE(sent);
    CHECK(sent->queuedTokensAhead_.value_ == 0);
    table.noteAdmitted(*sent);
    CHECK(table.services()[service].tokensRequested_ == 1500);
    CHECK(table.ownLoads(start).size() == 1);
}

TEST_CASE("the wait for a slot counts when all slots are taken", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    table.put(record("y"));
    // Of four slots x has one free, although more prompt tokens are queued there than at y.
    table.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 3, 5000 } }, { keyOf({ "y" }), { 12, 0 } } }, start);
    auto choice = table.choose(engineRequest(1000), {}, start);
    REQUIRE(choice);
    CHECK(choice->backend_.id_.value_ == "x");
    CHECK(choice->running_ == 3);
    table.remove({ "x" }, start);
    // Nine requests are ahead of it. Until the mean is learnt, each request is assumed to
    // hold one of the four slots for 500 ms.
    choice = table.choose(engineRequest(1000), {}, start);
    REQUIRE(choice);
    CHECK(choice->queueWait_ >= milliseconds(9 * 500 / 4));
    for (int i = 0; i < 400; ++i)
        table.end({ "y" }, { BackendOutcome::Served, {}, true, milliseconds(100) }, start);
    choice = table.choose(engineRequest(1000), {}, start);
    REQUIRE(choice);
    CHECK(choice->queueWait_ >= milliseconds(9 * 100 / 4));
    CHECK(choice->queueWait_ < milliseconds(400));
}

TEST_CASE("leaving, removed and excluded backend servers are not chosen", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (const char* id : { "w", "x", "y" })
        table.put(record(id));
    CHECK(table.setLeaving({ "w" }, start));
    CHECK_FALSE(table.setLeaving({ "w" }, start));
    table.remove({ "x" }, start);
    CHECK(chosen(table, plainRequest()) == "y");
    CHECK(chosen(table, plainRequest(), { { "y" } }).empty());
    // An earlier record does not revert the leaving state.
    table.put(record("w"));
    CHECK(chosen(table, plainRequest(), { { "y" } }).empty());
}

TEST_CASE("a failed backend server is ejected for a time and then chosen again", "[backends]")
{
    struct Row {
        BackendOutcome outcome_;
        int times_;
        milliseconds skippedFor_;
    };
    auto row = GENERATE(values<Row>({
        { BackendOutcome::Broken, 1, milliseconds(0) },
        { BackendOutcome::Broken, 2, milliseconds(500) },
        { BackendOutcome::Broken, 3, milliseconds(1000) },
        { BackendOutcome::Unreachable, 1, milliseconds(500) },
        { BackendOutcome::Full, 1, milliseconds(100) },
        { BackendOutcome::Abandoned, 3, milliseconds(0) },
    }));
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    table.put(record("y", "far"));
    for (int i = 0; i < row.times_; ++i)
        table.end({ "x" }, { row.outcome_ }, start);
    CAPTURE(toString(row.outcome_), row.times_);
    if (row.skippedFor_.count())
        CHECK(chosen(table, plainRequest(), {}, start + row.skippedFor_ - milliseconds(1)) == "y");
    table.end({ "y" }, { BackendOutcome::Served }, start);
    CHECK(chosen(table, plainRequest(), {}, start + row.skippedFor_) == "x");
}

TEST_CASE("a degraded backend server is chosen if there is no other", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    table.end({ "x" }, { BackendOutcome::Unreachable }, start);
    CHECK(chosen(table, plainRequest()) == "x");
}

TEST_CASE("an outdated record is removed when another server has its address", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    table.end({ "x" }, { BackendOutcome::WrongInstance }, start);
    CHECK_FALSE(table.find({ "x" }));
}

TEST_CASE("an engine that fails most of its requests is not chosen", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    table.put(record("y", "far"));
    for (int i = 0; i < 10; ++i)
        table.end({ "x" }, { i % 4 ? BackendOutcome::Failed : BackendOutcome::Served, {}, true }, start);
    CHECK(chosen(table, plainRequest()) == "y");
}

TEST_CASE("the prefill rate is learnt separately from a constant part of each wait", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    for (int i = 0; i < 200; ++i) {
        RequestShape shape = engineRequest(1000 + 97 * static_cast<std::uint64_t>(i % 50));
        auto choice = table.choose(shape, {}, start);
        REQUIRE(choice);
        double wait = 31 + static_cast<double>(shape.promptTokens_.value_) / 112;
        table.noteFirstByte(*choice, shape, milliseconds(static_cast<std::int64_t>(wait)), start);
        table.end({ "x" }, { BackendOutcome::Served, choice->uncachedTokens_, true }, start);
    }
    CHECK(table.services()[service].prefillPerMs_ == Approx(112).epsilon(0.1));
    CHECK(table.services()[service].observations_ == 200);
}

TEST_CASE("nodes with the same delayed loads do not all choose the same engine", "[backends]")
{
    // Of forty engines one is idle and the others are equally busy.
    constexpr int nodes = 20;
    int atIdle = 0;
    for (int node = 0; node < nodes; ++node) {
        BackendTable table({ "a" }, ChoiceSettings {});
        std::map<BackendKey, BackendLoad> loads;
        for (int i = 0; i < 40; ++i) {
            std::string id = "e" + std::to_string(i);
            table.put(record(id));
            loads[keyOf({ id })] = { 2, i ? 9000U : 0U };
        }
        table.setPeerLoads({ "peer" }, loads, start);
        atIdle += chosen(table, engineRequest(1000)) == "e0";
    }
    // A tenth of the samples contain the idle engine. More than 12 of 20 do so with a
    // probability of one in ten million.
    CHECK(atIdle <= 12);
}

TEST_CASE("an estimate separates the queueing delay from the time for the request's own prompt", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    table.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 0, 10000 } } }, start);
    auto choice = table.choose(engineRequest(5000), {}, start);
    REQUIRE(choice);
    CHECK(choice->queueWait_ == milliseconds(200));
    // The estimate is for 15,000 tokens at 50 per millisecond and the first event.
    CHECK(choice->estimate_ == milliseconds(330));
}

TEST_CASE("requests with a shared part stay at the engine that caches it although first events take time", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (const char* id : { "v", "w", "x", "y" })
        table.put(record(id));
    RequestShape shape = engineRequest(3000, { { "subject", { 2000 } }, { "own", { 1000 } } });
    // Some requests wait behind others whose load this node has not received.
    auto waits = GENERATE(values<std::vector<int>>({ { 65 }, { 40, 40, 110 }, { 50, 160, 50 } }));
    std::string affinityBackend = chosen(table, shape);
    table.end({ affinityBackend }, { BackendOutcome::Abandoned, { 1000 }, false, {} }, start);
    for (int i = 0; i < 30; ++i) {
        SteadyTime now = start + milliseconds(100 * i);
        auto choice = table.choose(shape, {}, now);
        REQUIRE(choice);
        CHECK(choice->backend_.id_.value_ == affinityBackend);
        table.noteFirstByte(*choice, shape, milliseconds(waits[static_cast<std::size_t>(i) % waits.size()]), now);
        table.end(choice->backend_.id_, { BackendOutcome::Served, choice->uncachedTokens_, true, {} }, now);
    }
}

TEST_CASE("a data centre whose backend servers all fail is avoided until one is reachable", "[backends]")
{
    auto outcome = GENERATE(BackendOutcome::Unreachable, BackendOutcome::Broken);
    BackendTable table({ "a" }, ChoiceSettings {});
    for (const char* id : { "b1", "b2", "b3", "b4" })
        table.put(record(id, "b"));
    table.put(record("a1", "a"));
    auto failAt = [&](const std::string& id) { table.end({ id }, { outcome, {}, false, {} }, start); };
    // Repeated failures of one server do not count for the others.
    for (int i = 0; i < 5; ++i)
        failAt("b1");
    failAt("b2");
    CHECK(table.unreachableSample().empty());
    failAt("b3");
    REQUIRE(table.unreachableSample().size() == 1);
    CHECK(table.unreachableSample().front().dataCentre_.value_ == "b");
    // The data centre is avoided even if the local server is busy.
    table.setPeerLoads({ "peer" }, { { keyOf({ "a1" }), { 3, 50000 } } }, start);
    SteadyTime later = start + milliseconds(100);
    for (int i = 0; i < 8; ++i)
        CHECK(chosen(table, engineRequest(1000), {}, later) == "a1");
    // It is used if there is no other server.
    CHECK_FALSE(chosen(table, engineRequest(1000), { { "a1" } }, later).empty());
    table.noteReachable(BackendId { "b4" });
    CHECK(table.unreachableSample().empty());
    CHECK(chosen(table, engineRequest(1000), {}, later) != "a1");
    // Any answer shows that the data centre is reachable, even an error.
    failAt("b1");
    failAt("b2");
    table.end({ "b4" }, { BackendOutcome::Failed, {}, false, {} }, later);
    failAt("b3");
    CHECK(table.unreachableSample().empty());
}

TEST_CASE("a stream does not move to engines that are reclaimed together with its own", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    BackendRecord first = record("first", "a");
    first.isReclaimable_ = true;
    BackendRecord second = record("second", "a");
    second.isReclaimable_ = true;
    table.put(first);
    table.put(second);
    CHECK_FALSE(table.isBeingReclaimed(first.id_));
    first.isLeaving_ = true;
    table.put(first);
    CHECK(table.isBeingReclaimed(first.id_));
    RequestShape moved = engineRequest(0);
    moved.reclaimedDataCentre_ = { "a" };
    CHECK(chosen(table, engineRequest(0)) == "second");
    CHECK(chosen(table, moved).empty());
    table.put(record("on-demand", "a"));
    CHECK(chosen(table, moved) == "on-demand");
    BackendRecord elsewhere = record("elsewhere", "b");
    elsewhere.isReclaimable_ = true;
    table.put(elsewhere);
    CHECK(chosen(table, moved, { { "on-demand" } }) == "elsewhere");
    // A leaving engine that is not reclaimable serves its streams to their end.
    BackendRecord leaving = record("on-demand", "a");
    leaving.isLeaving_ = true;
    table.put(leaving);
    CHECK_FALSE(table.isBeingReclaimed(leaving.id_));
}

TEST_CASE("what was learnt about a backend server is discarded when it restarts under its name", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    BackendRecord before = recordWithStart("x", 1000);
    BackendRecord after = recordWithStart("x", 2000);
    CHECK(table.put(before) == BackendTable::PutResult::New);
    RequestShape shape = engineRequest(12000, { { "common", { 500 } }, { "subject", { 10000 } }, { "own", { 1500 } } });
    auto running = table.choose(shape, {}, start);
    REQUIRE(running);
    table.setPeerLoads({ "peer" }, { { keyOf(before.id_), { 9, 90000 } } }, start);
    // Two consecutive failures eject it.
    for (int i = 0; i < 2; ++i) {
        auto failed = table.choose(plainRequest(), {}, start);
        REQUIRE(failed);
        table.end(failed->backend_.id_, { BackendOutcome::Broken, failed->uncachedTokens_, false, {} }, start);
    }
    CHECK(table.put(after) == BackendTable::PutResult::Restarted);
    CHECK(table.records().size() == 1);
    // The loads that peers report also belong to the earlier incarnation.
    table.setPeerLoads({ "peer" }, { { keyOf(before.id_), { 9, 90000 } } }, start);
    auto choice = table.choose(shape, {}, start);
    REQUIRE(choice);
    CHECK(choice->backend_.startTime_ == after.startTime_);
    CHECK(choice->running_ == 0);
    CHECK(choice->queuedTokensAhead_.value_ == 0);
    // The end of a request at the earlier incarnation does not change the new one's load.
    table.end(running->backend_.id_, { BackendOutcome::Served, running->uncachedTokens_, true, {} }, start);
    CHECK(table.ownLoads(start).at(keyOf(after.id_)).running_ == 1);
}

TEST_CASE("delayed reports about an earlier incarnation change nothing", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    BackendRecord before = recordWithStart("x", 1000);
    BackendRecord after = recordWithStart("x", 2000);
    auto isNewestAndStaying = [&] {
        auto newest = table.findNewest({ "x" });
        return newest && newest->id_ == after.id_ && !newest->isLeaving_;
    };
    table.put(before);
    table.put(after);
    BackendRecord leaving = before;
    leaving.isLeaving_ = true;
    CHECK(table.put(leaving) == BackendTable::PutResult::Outdated);
    CHECK(isNewestAndStaying());
    CHECK_FALSE(table.setLeaving(before.id_, start));
    CHECK(isNewestAndStaying());
    table.remove(before.id_, start);
    CHECK(isNewestAndStaying());
    // They are also ignored after the newer incarnation is removed.
    table.remove(after.id_, start);
    CHECK(table.put(before) == BackendTable::PutResult::Outdated);
    CHECK(table.records().empty());
    // A leaving server is chosen again only after it has restarted.
    table.put(recordWithStart("x", 2000));
    CHECK(table.setLeaving(after.id_, start));
    CHECK(table.put(after) == BackendTable::PutResult::Updated);
    CHECK_FALSE(isNewestAndStaying());
    CHECK(table.put(recordWithStart("x", 3000)) == BackendTable::PutResult::Restarted);
    CHECK_FALSE(table.findNewest({ "x" })->isLeaving_);
}

TEST_CASE("names of removed servers are kept up to a bound", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    constexpr int manyNames = 5000;
    for (int i = 0; i < manyNames; ++i) {
        BackendRecord removed = recordWithStart("n" + std::to_string(i), 2000);
        table.put(removed);
        table.remove(removed.id_, start);
    }
    CHECK(table.put(recordWithStart("n0", 1000)) == BackendTable::PutResult::New);
    CHECK(table.put(recordWithStart("n4999", 1000)) == BackendTable::PutResult::Outdated);
}

// Guards against a running attempt that is given up for a server that other nodes have filled.
TEST_CASE("a server whose slots are taken by other nodes counts as one with room", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    RequestShape replacement = engineRequest(1000);
    replacement.needsRoom_ = true;
    table.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 4, 0 } } }, start);
    CHECK(chosen(table, replacement).empty());
    CHECK(chosen(table, engineRequest(1000)) == "x");
    table.end({ "x" }, { BackendOutcome::Abandoned, { 1000 }, false, {} }, start);
    table.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 3, 0 } } }, start);
    CHECK(chosen(table, replacement) == "x");
    // This node has taken the last slot.
    CHECK(chosen(table, replacement).empty());
}

TEST_CASE("a request that may crash its server goes to the one with the fewest other requests", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (const char* id : { "x", "y", "z" })
        table.put(record(id));
    // The wait is shortest at x, and the fewest requests run at y.
    table.setPeerLoads({ "peer" }, { { keyOf({ "x" }), { 3, 0 } }, { keyOf({ "y" }), { 1, 20000 } }, { keyOf({ "z" }), { 2, 0 } } }, start);
    RequestShape suspect = engineRequest(1000);
    CHECK(chosen(table, suspect) != "y");
    suspect.isSuspect_ = true;
    CHECK(chosen(table, suspect) == "y");
}

TEST_CASE("a server that reported that it leaves stays leaving when its record is received again", "[backends]")
{
    struct Row {
        const char* name_;
        bool isKnownFirst_;
        bool isRemoved_;
    };
    auto row = GENERATE(values<Row>({ { "the record is repeated", true, false }, { "the server is removed and an earlier list has it", true, true }, { "the report precedes the registration", false, false } }));
    CAPTURE(row.name_);
    BackendTable table({ "a" }, ChoiceSettings {});
    if (row.isKnownFirst_)
        table.put(record("x"));
    CHECK(table.setLeaving({ "x" }, start) == row.isKnownFirst_);
    if (row.isRemoved_)
        table.remove({ "x" }, start);
    table.put(record("x"));
    CHECK(chosen(table, plainRequest()).empty());
    CHECK_FALSE(table.mayReceive({ "x" }, start));
    // The report does not apply to another incarnation of the same name.
    table.put(recordWithStart("x", 77));
    CHECK(chosen(table, plainRequest()) == "x@77");
    CHECK(table.mayReceive({ "x@77" }, start));
}

TEST_CASE("a server that asked for a pause is not chosen before its end, even if there is no other", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    table.put(record("y"));
    auto at = [](std::int64_t ms) { return start + milliseconds(ms); };
    table.setPause({ "x" }, milliseconds(2000), start);
    // A shorter pause later does not shorten the first one.
    table.setPause({ "x" }, milliseconds(100), at(10));
    for (int i = 0; i < 10; ++i)
        CHECK(chosen(table, plainRequest(), {}, at(20)) == "y");
    CHECK_FALSE(table.timeUntilUsable(service, std::nullopt, at(20)));
    CHECK_FALSE(table.mayReceive({ "x" }, at(20)));
    table.setPause({ "y" }, milliseconds(500), at(20));
    CHECK(chosen(table, plainRequest(), {}, at(20)).empty());
    CHECK(table.timeUntilUsable(service, std::nullopt, at(20)) == milliseconds(500));
    CHECK(chosen(table, plainRequest(), {}, at(520)) == "y");
    CHECK(chosen(table, plainRequest(), { { "y" } }, at(2000)) == "x");
    // Excessive pauses are bounded.
    table.setPause({ "x" }, std::chrono::hours(10000), at(2000));
    CHECK(chosen(table, plainRequest(), { { "y" } }, at(2000) + std::chrono::hours(1)) == "x");
    // The pause does not apply to another incarnation.
    table.setPause({ "x" }, milliseconds(5000), at(4'000'000));
    table.put(recordWithStart("x", 77));
    CHECK(chosen(table, plainRequest(), { { "y" }, { "x" } }, at(4'000'000)) == "x@77");
}

TEST_CASE("a server with a request limit is chosen within this node's share only, even if there is no other", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    auto at = [](std::int64_t ms) { return start + milliseconds(ms); };
    StatedConditions limited { false, {}, 2.0 };
    REQUIRE(table.applyAnswer({ "x" }, limited, start, at(10)).size() == 1);
    CHECK(table.requestLimits() == std::vector<std::pair<BackendId, double>> { { { "x" }, 2.0 } });
    // Nothing is sent before the share is known.
    CHECK(chosen(table, plainRequest(), {}, at(20)).empty());
    CHECK(table.timeUntilUsable(service, std::nullopt, at(20)) == milliseconds(500));
    table.setRequestShare({ "x" }, { 1, 1 }, at(20));
    CHECK(table.timeUntilUsable(service, std::nullopt, at(20)) == milliseconds(1000));
    CHECK(chosen(table, plainRequest(), {}, at(1000)).empty());
    CHECK(chosen(table, plainRequest(), {}, at(1020)) == "x");
    CHECK(chosen(table, plainRequest(), {}, at(1030)).empty());
    // A request that is rejected after the choice leaves its part to another one.
    auto choice = table.choose(plainRequest(), {}, at(2020));
    REQUIRE(choice);
    table.noteRejected(*choice);
    CHECK(chosen(table, plainRequest(), {}, at(2030)) == "x");
}

TEST_CASE("a request limit ends with the answer to a later request that does not state it", "[backends]")
{
    struct Row {
        const char* name_;
        std::int64_t sentAtMs_;
        bool isToldByPeer_;
        bool hasEnded_;
    };
    auto row = GENERATE(values<Row>({ { "sent before the limit was stated", 90, false, false }, { "sent after it", 110, false, true }, { "sent before a peer was told again", 110, true, false }, { "sent after a peer was told", 160, true, true } }));
    CAPTURE(row.name_);
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    auto at = [](std::int64_t ms) { return start + milliseconds(ms); };
    (void)table.applyAnswer({ "x" }, { false, {}, 2.0 }, at(50), at(100));
    if (row.isToldByPeer_)
        CHECK_FALSE(table.applyStatement({ { "x" }, ConditionKind::RequestLimit, 2.0, at(150) }, at(170)));
    auto statements = table.applyAnswer({ "x" }, {}, at(row.sentAtMs_), at(200));
    CHECK(statements.size() == row.hasEnded_);
    CHECK(table.requestLimits().empty() == row.hasEnded_);
    // Late word of the limit does not bring it back.
    CHECK_FALSE(table.applyStatement({ { "x" }, ConditionKind::RequestLimit, 2.0, at(90) }, at(210)));
    CHECK(table.requestLimits().empty() == row.hasEnded_);
    CHECK(chosen(table, plainRequest(), {}, at(220)) == (row.hasEnded_ ? "x" : ""));
}

// Guards against a server that is never used again, since its registration lapsed while it was cut off from
// the platform, and other nodes were told that it leaves.
TEST_CASE("a server whose registration lapsed and came back stays out of use", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    auto at = [](std::int64_t ms) { return start + milliseconds(ms); };
    BackendStatement removed { { "x" }, ConditionKind::Removed, 0, at(100) };
    auto before = table.fingerprint();
    CHECK(table.applyStatement(removed, at(150)));
    CHECK_FALSE(table.applyStatement(removed, at(160)));
    CHECK(chosen(table, plainRequest(), {}, at(200)).empty());
    CHECK_FALSE(table.mayReceive({ "x" }, at(200)));
    CHECK(table.fingerprint() != before);
    SECTION("a later list contains it")
    {
        table.put(record("x"));
        CHECK(chosen(table, plainRequest(), {}, at(200)).empty());
        // A list that was read before the removal shows nothing.
        table.noteListRead(at(90));
        CHECK(chosen(table, plainRequest(), {}, at(200)).empty());
        table.noteListRead(at(300));
        CHECK(chosen(table, plainRequest(), {}, at(300)) == "x");
        CHECK(table.fingerprint() == before);
        // Late word of the removal, which other nodes repeat.
        CHECK_FALSE(table.applyStatement(removed, at(400)));
        CHECK(chosen(table, plainRequest(), {}, at(400)) == "x");
    }
    SECTION("this node finds the removal and the new registration itself")
    {
        table.remove({ "x" }, at(200));
        table.put(record("x"));
        table.noteListRead(at(300));
        CHECK_FALSE(table.applyStatement(removed, at(400)));
        CHECK(chosen(table, plainRequest(), {}, at(400)) == "x");
    }
    SECTION("this node keeps it although the list does not contain it")
    {
        table.setUnlisted({ "x" });
        table.noteListRead(at(300));
        CHECK(chosen(table, plainRequest(), {}, at(300)).empty());
        table.put(record("x"));
        table.noteListRead(at(400));
        CHECK(chosen(table, plainRequest(), {}, at(400)) == "x");
        // Of a server that it keeps, the node takes word of an earlier removal too.
        table.setUnlisted({ "x" });
        CHECK(table.applyStatement(removed, at(500)));
        CHECK(chosen(table, plainRequest(), {}, at(500)).empty());
    }
    SECTION("it announced that it leaves")
    {
        table.setLeaving({ "x" }, at(200));
        table.put(record("x"));
        table.noteListRead(at(300));
        CHECK(chosen(table, plainRequest(), {}, at(300)).empty());
    }
}

TEST_CASE("a pause that a server asked of another node binds this one", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    table.put(record("x"));
    auto at = [](std::int64_t ms) { return start + milliseconds(ms); };
    BackendStatement pause { { "x" }, ConditionKind::Pause, 1000, start };
    CHECK(table.applyStatement(pause, at(300)));
    CHECK_FALSE(table.applyStatement(pause, at(500)));
    CHECK(table.timeUntilUsable(service, std::nullopt, at(300)) == milliseconds(700));
    CHECK(chosen(table, plainRequest(), {}, at(900)).empty());
    CHECK(chosen(table, plainRequest(), {}, at(1000)) == "x");
}

TEST_CASE("a brittle server is not filled, and left alone after it rejected a request", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    BackendRecord brittle = record("x");
    brittle.slots_ = 16;
    table.put(brittle);
    auto at = [](std::int64_t ms) { return start + milliseconds(ms); };
    StatedConditions stated { false, {}, {}, 2.0 };
    REQUIRE(table.applyAnswer({ "x" }, stated, start, at(1)).size() == 1);
    CHECK(table.brittleSlots() == std::vector<std::pair<BackendId, std::uint64_t>> { { { "x" }, 14 } });
    // One request until the share is known.
    CHECK(chosen(table, plainRequest(), {}, at(2)) == "x");
    CHECK(chosen(table, plainRequest(), {}, at(2)).empty());
    table.setSlotShare({ "x" }, 2);
    CHECK(chosen(table, plainRequest(), {}, at(2)) == "x");
    CHECK(chosen(table, plainRequest(), {}, at(2)).empty());
    table.end({ "x" }, { BackendOutcome::Served, {}, false, {} }, at(3));
    CHECK(chosen(table, plainRequest(), {}, at(8)) == "x");
    table.end({ "x" }, { BackendOutcome::Served, {}, false, {} }, at(9));
    stated.isFull_ = true;
    CHECK(table.applyAnswer({ "x" }, stated, at(9), at(10)).size() == 2);
    CHECK(chosen(table, plainRequest(), {}, at(509)).empty());
    CHECK(chosen(table, plainRequest(), {}, at(760)) == "x");
    // Without the statement the server is filled as any other.
    CHECK(table.applyAnswer({ "x" }, {}, at(761), at(770)).size() == 1);
    for (int i = 0; i < 10; ++i)
        CHECK(chosen(table, plainRequest(), {}, at(771)) == "x");
}

TEST_CASE("servers that are long dead are probed instead of those that answered last", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (int i = 0; i < 30; ++i)
        table.put(record("dead-" + std::to_string(i)));
    table.put(record("answered"));
    table.put(record("remote-dead", "b"));
    table.put(record("remote", "b"));
    table.put(record("leaving"));
    table.setLeaving({ "leaving" }, start);
    table.noteReachable({ "remote" });
    table.noteReachable({ "answered" });
    // A record that is repeated says nothing new; the first one of a server does.
    table.put(record("dead-7"));
    table.put(record("new"));
    std::set<std::string> sampled;
    for (const BackendRecord& sample : table.sampleOf(service, 4))
        sampled.insert(sample.id_.value_);
    CHECK(sampled == std::set<std::string> { "answered", "new", "remote", "remote-dead" });
    // A server that crashed after it answered is none of those that are alive.
    table.noteReachable({ "dead-1" });
    table.end({ "dead-1" }, { BackendOutcome::Broken, {}, false, {} }, start);
    table.noteReachable({ "dead-2" });
    table.setTerminated({ "dead-2" }, start);
    for (const BackendRecord& sample : table.sampleOf(service, 4))
        CHECK(sampled.contains(sample.id_.value_));
    CHECK(table.sampleOf(service, 100).size() == 34);
}

TEST_CASE("requests for a service without backend servers count as demand", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    REQUIRE_FALSE(table.choose(engineRequest(1000), {}, start));
    table.noteNoBackend(engineRequest(1000));
    CHECK(table.services().at(service).tokensRequested_ == 500);
}

TEST_CASE("a terminated backend server is not chosen while there are others", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (const char* id : { "x", "y" })
        table.put(record(id));
    table.setTerminated({ "x" }, start);
    for (int i = 0; i < 20; ++i)
        CHECK(chosen(table, plainRequest()) == "y");
    // It is used as the last resort, in case the report was wrong.
    CHECK(chosen(table, plainRequest(), { { "y" } }) == "x");
    table.setTerminated({ "unknown" }, start);
}

TEST_CASE("a request is sent to a version that the rule does not allow", "[backends]")
{
    struct Row {
        const char* name_;
        std::size_t otherServers_;
        std::size_t targetServers_;
        VersionRule rule_;
        /// Number of backend servers that get any of many requests.
        std::size_t expectedServers_;
        /// Whether these servers have the target version.
        bool isTarget_;
    };
    const BackendVersion v2 { "v2" };
    const Row rows[] = {
        { "requests for other versions", 6, 6, { v2, false, 0.1, true }, 6, false },
        { "the target on trial, with at least three servers", 6, 6, { v2, true, 0.1, true }, 3, true },
        { "the target on trial, with as much load per server as the other versions", 20, 20, { v2, true, 0.3, true }, 6, true },
        { "all requests to the target", 6, 6, { v2, true, 1, true }, 6, true },
        { "no server of the target", 6, 0, { v2, true, 0.1, true }, 6, false },
        { "no server of another version", 0, 6, { v2, false, 0, true }, 6, true },
        { "no server of another version, and no fallback to the target", 0, 6, { v2, false, 0, false }, 0, false },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name_);
        BackendTable table({ "a" }, ChoiceSettings {});
        for (std::size_t i = 0; i < row.otherServers_ + row.targetServers_; ++i) {
            BackendRecord added = record("x-" + std::to_string(i));
            added.version_ = { i < row.otherServers_ ? "v1" : "v2" };
            table.put(added);
        }
        RequestShape shape = plainRequest();
        shape.version_ = row.rule_;
        std::set<BackendId> used;
        for (int i = 0; i < 200; ++i) {
            auto choice = table.choose(shape, {}, start);
            if (!choice)
                continue;
            CHECK((choice->backend_.version_ == v2) == row.isTarget_);
            used.insert(choice->backend_.id_);
        }
        CHECK(used.size() == row.expectedServers_);
    }
    BackendTable table({ "a" }, ChoiceSettings {});
    BackendRecord other = record("x");
    other.version_ = { "v1" };
    table.put(other);
    (void)table.choose(plainRequest(), {}, start);
    BackendTable::VersionCounts versions = table.versions(service, v2);
    CHECK(versions.others_ == 1);
    CHECK(versions.othersRunning_ == 1);
    CHECK(versions.target_ == 0);
}

TEST_CASE("a stream that has begun goes to a server with other software", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (const char* id : { "x", "y" }) {
        BackendRecord registered = record(id);
        registered.version_ = { std::string("v-") + id };
        table.put(registered);
    }
    RequestShape shape = plainRequest();
    shape.software_ = softwareKeyOf(service, { "v-x" });
    for (int i = 0; i < 20; ++i)
        CHECK(chosen(table, shape) == "x");
    CHECK(table.serviceServing(*shape.software_) == service);
    // Not even if its server is excluded, ejected, paused or leaving.
    CHECK(chosen(table, shape, { { "x" } }).empty());
    table.setPause({ "x" }, milliseconds(500), start);
    CHECK(chosen(table, shape).empty());
    CHECK(table.timeUntilUsable(service, shape.software_, start) == milliseconds(500));
    CHECK_FALSE(table.timeUntilUsable(service, std::nullopt, start));
    table.setLeaving({ "x" }, start);
    CHECK(chosen(table, shape, {}, start + milliseconds(600)).empty());
    CHECK_FALSE(table.serviceServing(*shape.software_));
}

TEST_CASE("software is taken for the only one although another served a short time ago", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    auto at = [](std::int64_t ms) { return start + milliseconds(ms); };
    BackendRecord old = record("x");
    old.version_ = { "v1" };
    const SoftwareKey v1 = softwareKeyOf(service, { "v1" });
    const SoftwareKey v2 = softwareKeyOf(service, { "v2" });
    CHECK_FALSE(table.soleSoftware(service, at(0), at(0)));
    table.put(old);
    CHECK(table.soleSoftware(service, at(0), at(100)) == v1);
    BackendRecord next = record("y");
    next.version_ = { "v2" };
    table.put(next);
    CHECK_FALSE(table.soleSoftware(service, at(0), at(200)));
    // A leaving server may still have begun streams.
    table.setLeaving({ "x" }, at(300));
    CHECK_FALSE(table.soleSoftware(service, at(300), at(300)));
    table.remove({ "x" }, at(400));
    CHECK_FALSE(table.soleSoftware(service, at(400), at(500)));
    CHECK(table.soleSoftware(service, at(401), at(500)) == v2);
    // A server that starts again with other software, under its name or even under its id.
    BackendRecord other = record("y");
    other.version_ = { "v3" };
    table.put(other);
    CHECK_FALSE(table.soleSoftware(service, at(600), at(600)));
    CHECK(table.soleSoftware(service, at(601), at(700)) == softwareKeyOf(service, { "v3" }));
    BackendRecord named = recordWithStart("z", 1);
    named.version_ = { "v3" };
    table.put(named);
    named = recordWithStart("z", 2);
    named.version_ = { "v4" };
    table.put(named);
    table.remove({ "y" }, at(800));
    CHECK_FALSE(table.soleSoftware(service, at(800), at(900)));
    CHECK(table.soleSoftware(service, at(801), at(1000)) == softwareKeyOf(service, { "v4" }));
}

TEST_CASE("software whose last server was replaced at its address is forgotten at once", "[backends]")
{
    BackendTable table({ "a" }, ChoiceSettings {});
    for (const char* id : { "x", "y" }) {
        BackendRecord registered = record(id);
        registered.version_ = { std::string("v-") + id };
        table.put(registered);
    }
    table.end({ "x" }, { BackendOutcome::WrongInstance }, start + milliseconds(100));
    CHECK_FALSE(table.soleSoftware(service, start + milliseconds(100), start + milliseconds(200)));
    CHECK(table.soleSoftware(service, start + milliseconds(101), start + milliseconds(200)) == softwareKeyOf(service, { "v-y" }));
}
