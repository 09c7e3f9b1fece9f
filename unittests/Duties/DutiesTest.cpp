//===- unittests/Duties/DutiesTest.cpp - who holds duties, and what for ----===//
///
/// \file
/// Races of holders with freezes and lost reports, usage by window, clocks, and
/// orders of engines.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace pistachioloom;

namespace {

const SteadyTime start { milliseconds(1000000) };
constexpr milliseconds lease { 3000 };

DutyTiming timing()
{
    DutyTiming timing;
    timing.holderSilence_ = milliseconds(2550);
    timing.actAfterClaim_ = milliseconds(1600);
    timing.recordValidity_ = milliseconds(1000);
    return timing;
}

struct Act {
    std::size_t node_ = 0;
    DutyToken token_;
    SteadyTime at_ {};
};

/// Nodes over one log: a claim or record is written only at the log's end.
class Race {
public:
    Race(std::uint32_t seed, std::size_t nodes)
        : random_(seed)
    {
        for (std::size_t i = 0; i < nodes; ++i)
            nodes_.push_back({ DutySeat({ std::to_string(i) }, timing(), start), 0, start, start });
    }

    std::vector<Act> play(milliseconds duration)
    {
        for (milliseconds t {}; t < duration; t += milliseconds(50))
            step(start + t);
        return acts_;
    }

private:
    struct Participant {
        DutySeat seat_;
        std::uint64_t end_ = 0;
        SteadyTime frozenUntil_;
        SteadyTime silentUntil_;
    };

    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

    void step(SteadyTime now)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (chance(0.004))
                nodes_[i].frozenUntil_ = now + milliseconds(500 + random_() % 6000);
            if (chance(0.004))
                nodes_[i].silentUntil_ = now + milliseconds(500 + random_() % 6000);
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].frozenUntil_ <= now)
                run(i, now);
        }
    }

    void run(std::size_t index, SteadyTime now)
    {
        Participant& node = nodes_[index];
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            const Participant& peer = nodes_[other];
            bool isHeard = other != index && peer.frozenUntil_ <= now && peer.silentUntil_ <= now && node.silentUntil_ <= now;
            if (isHeard && peer.seat_.isHolder())
                node.seat_.heardHolder({ std::to_string(other) }, peer.seat_.token(), now);
        }
        if (node.seat_.shouldClaim(index, now)) {
            // It reads the log, and another may come first.
            node.end_ = log_;
            if (chance(0.2))
                ++log_;
            if (node.end_ != log_)
                return node.seat_.lost(now);
            node.end_ = ++log_;
            node.seat_.claimed({ log_ }, now);
            return;
        }
        if (!node.seat_.mayBegin(now) || !chance(0.3))
            return;
        if (node.end_ != log_)
            return node.seat_.lost(now);
        node.end_ = ++log_;
        // A freeze may fall between the record and the act.
        SteadyTime actAt = now + milliseconds(chance(0.1) ? 5000 : 5);
        if (node.seat_.mayAct(now, actAt))
            acts_.push_back({ index, node.seat_.token(), actAt });
    }

    std::mt19937 random_;
    std::vector<Participant> nodes_;
    std::uint64_t log_ = 0;
    std::vector<Act> acts_;
};

} // namespace

TEST_CASE("holders never overlap, whatever freezes and falls silent", "[duties]")
{
    std::size_t changes = 0;
    for (std::uint32_t seed = 0; seed < 400; ++seed) {
        std::vector<Act> acts = Race(seed, 4).play(milliseconds(60000));
        std::map<std::size_t, SteadyTime> lastOf;
        for (std::size_t i = 1; i < acts.size(); ++i) {
            CAPTURE(seed, i);
            REQUIRE(acts[i].token_ >= acts[i - 1].token_);
            bool isSameHolder = acts[i].node_ == acts[i - 1].node_;
            REQUIRE((acts[i].token_ == acts[i - 1].token_) <= isSameHolder);
            changes += !isSameHolder;
            lastOf[acts[i - 1].node_] = acts[i - 1].at_;
            // A, B, A within one lease.
            if (!isSameHolder && lastOf.contains(acts[i].node_))
                REQUIRE(acts[i].at_ - lastOf[acts[i].node_] > lease);
        }
    }
    // The races are worth something only if holders change.
    CHECK(changes > 500);
}

TEST_CASE("only who claims first of all begins without waiting for a predecessor", "[duties]")
{
    DutySeat first({ "a" }, timing(), start);
    first.claimed({ 1 }, start);
    CHECK(first.mayBegin(start));
    DutySeat second({ "b" }, timing(), start);
    second.claimed({ 2 }, start);
    CHECK_FALSE(second.mayBegin(start));
    CHECK(second.mayBegin(start + timing().actAfterClaim_));
}

TEST_CASE("a holder is succeeded by the age of what is heard of it", "[duties]")
{
    DutyTiming timing;
    DutySeat seat({ "b" }, timing, start);
    SteadyTime now = start + milliseconds(20000);
    seat.heardHolder({ "a" }, { 7 }, now);
    // Relays go on telling what they heard then.
    for (int i = 1; i <= 10; ++i)
        seat.heardHolder({ "a" }, { 7 }, now);
    CHECK_FALSE(seat.shouldClaim(0, now + timing.holderSilence_));
    CHECK(seat.shouldClaim(0, now + timing.holderSilence_ + milliseconds(1)));
    // Old word that comes late takes nothing back.
    seat.heardHolder({ "a" }, { 7 }, now + milliseconds(1000));
    seat.heardHolder({ "a" }, { 7 }, now);
    CHECK_FALSE(seat.shouldClaim(0, now + timing.holderSilence_ + milliseconds(1000)));
}

TEST_CASE("a holder that gave up is succeeded at once, whatever is heard late", "[duties]")
{
    DutySeat seat({ "b" }, {}, start);
    SteadyTime now = start + milliseconds(20000);
    seat.heardHolder({ "a" }, { 7 }, now);
    seat.heardReleased({ 6 }, now);
    CHECK_FALSE(seat.shouldClaim(0, now + milliseconds(1)));
    seat.heardReleased({ 7 }, now);
    CHECK(seat.shouldClaim(0, now + milliseconds(1)));
    seat.heardHolder({ "a" }, { 7 }, now);
    CHECK(seat.shouldClaim(0, now + milliseconds(1)));
    seat.heardHolder({ "c" }, { 9 }, now);
    CHECK_FALSE(seat.shouldClaim(0, now + milliseconds(1)));
    // A holder is not succeeded by its own word of an earlier time.
    DutySeat holder({ "c" }, {}, start);
    holder.claimed({ 9 }, now);
    holder.heardReleased({ 7 }, now);
    CHECK(holder.isHolder());
}

TEST_CASE("a holder that stops is succeeded at once, any other stop changes nothing", "[duties]")
{
    DutySeat seat({ "b" }, timing(), start);
    SteadyTime now = start + milliseconds(10000);
    seat.heardHolder({ "a" }, { 7 }, now);
    seat.heardStopping({ "c" }, now);
    CHECK_FALSE(seat.shouldClaim(0, now + milliseconds(100)));
    seat.heardStopping({ "a" }, now);
    CHECK(seat.shouldClaim(0, now + milliseconds(100)));
    // The next in the order waits for the first.
    CHECK_FALSE(seat.shouldClaim(1, now + milliseconds(100)));
    CHECK(seat.shouldClaim(1, now + milliseconds(500)));
}

TEST_CASE("usage is summed over nodes, also those that are gone", "[duties]")
{
    UsageBook book(milliseconds(5000));
    const OrganisationId north { "north" };
    book.count(north, 12000);
    book.count(north, 14999);
    book.count(north, 15000);
    book.setPeer({ "b" }, 1, { { { 2 }, { { north, 5 } } } });
    book.setPeer({ "b" }, 1, { { { 2 }, { { north, 6 } } } });
    book.setPeer({ "b" }, 2, { { { 2 }, { { north, 1 } } } });
    CHECK(book.sum({ 2 })[north] == 2 + 6 + 1);
    CHECK(book.sum({ 3 })[north] == 1);
    CHECK(book.recent().size() == 2);
    book.forget({ 3 });
    CHECK(book.sum({ 2 }).empty());
}

TEST_CASE("the time of day is what most clocks say", "[duties]")
{
    ClockAgreement clocks;
    CHECK(clocks.correctionMs(start) == 0);
    clocks.setPeer({ "b" }, 2400, start);
    clocks.setPeer({ "c" }, 2390, start);
    clocks.setPeer({ "d" }, 2410, start);
    CHECK(clocks.correctionMs(start) >= 2390);
    clocks.setPeer({ "b" }, 5, start);
    clocks.setPeer({ "c" }, -5, start);
    CHECK(std::abs(clocks.correctionMs(start)) <= 5);
    CHECK(clocks.correctionMs(start + milliseconds(60000)) == 0);
}

TEST_CASE("demand is the sum of what nodes are asked for a second, and its peak stays a while", "[duties]")
{
    DemandBook demand(DemandTiming { milliseconds(4000), milliseconds(5000), milliseconds(3000) });
    const ServiceName service { "s" };
    SteadyTime now = start;
    auto step = [&](std::uint64_t asked, double told) {
        now += milliseconds(250);
        demand.countOwn(service, { asked }, now);
        demand.setSource({ "b" }, service, { told, 50, 100 }, now);
        demand.sample(now);
    };
    // Nothing is known before a whole window was seen.
    for (std::uint64_t i = 0; i < 16; ++i) {
        step(250 * i, 500);
        CHECK_FALSE(demand.peakRate(service, now));
    }
    step(4000, 500);
    CHECK(demand.ownRate(service) == Approx(1000));
    CHECK(demand.peakRate(service, now) == Approx(1500));
    // Both fall; the peak stays for 5 s.
    for (int i = 0; i < 16; ++i)
        step(4000, 100);
    CHECK(demand.ownRate(service) == Approx(0));
    CHECK(*demand.peakRate(service, now) > 1400);
    for (int i = 0; i < 20; ++i)
        step(4000, 100);
    CHECK(demand.peakRate(service, now) == Approx(100));
    CHECK_FALSE(demand.peakRate({ "other" }, now));
}

TEST_CASE("a node that comes back after a silence brings no demand of that time", "[duties]")
{
    DemandBook demand;
    const ServiceName service { "s" };
    SteadyTime now = start;
    double highest = 0;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(250);
        demand.countOwn(service, {}, now);
        // Silent for 12 s, while it was asked for 1,000 tokens a second.
        if (i < 20 || i >= 68)
            demand.setSource({ "b" }, service, { 1000, 50, 100 }, now);
        demand.sample(now);
        highest = std::max(highest, demand.peakRate(service, now).value_or(0));
        if (i == 60)
            CHECK(demand.peakRate(service, now) == Approx(0));
    }
    CHECK(highest == Approx(1000));
    demand.forgetSource({ "b" });
    now += milliseconds(6000);
    demand.sample(now);
    CHECK(demand.peakRate(service, now) == Approx(0));
}

TEST_CASE("the reading rate is the mean of what nodes learnt", "[duties]")
{
    DemandBook demand;
    const ServiceName service { "s" };
    demand.setSource({ "a" }, service, { 1, 50, 100 }, start);
    demand.setSource({ "b" }, service, { 1, 80, 50 }, start);
    CHECK(demand.prefillPerMs(service, 10) == Approx((50 * 100 + 80 * 50) / 150.0));
    CHECK(demand.prefillPerMs({ "other" }, 10) == 10);
}

TEST_CASE("a window's usage is reported soon after its end if all nodes told their counts", "[duties]")
{
    struct Row {
        const char* name_;
        std::int64_t nowMs_;
        milliseconds toldAgo_;
        std::optional<std::uint64_t> due_;
    };
    // Windows of 5 s; window 199 ends at 1,000,000 ms.
    auto row = GENERATE(values<Row>({
        { "right after its end", 1000500, milliseconds(100), 198 },
        { "all told since", 1001500, milliseconds(200), 199 },
        { "one was last heard before its end", 1001500, milliseconds(1600), 198 },
        { "one is silent, and the time is over", 1005000, milliseconds(9000), 199 },
        { "all told, and the next has ended", 1006500, milliseconds(200), 200 },
        { "the first window is not over", 3000, milliseconds(0), std::nullopt },
    }));
    CAPTURE(row.name_);
    auto due = dueWindow(row.nowMs_, milliseconds(5000), {}, [&](milliseconds time) { return row.toldAgo_ <= time; });
    REQUIRE(due.has_value() == row.due_.has_value());
    if (due)
        CHECK(due->value_ == *row.due_);
}

TEST_CASE("a window that ended 2 s before all nodes are killed is reported before", "[duties]")
{
    // The holder looks each 250 ms, and all nodes report each 200 ms.
    std::set<std::uint64_t> reported;
    for (std::int64_t now = 1000000; now < 1002000; now += 250) {
        if (auto due = dueWindow(now, milliseconds(5000), {}, [](milliseconds time) { return time >= milliseconds(200); }))
            reported.insert(due->value_);
    }
    CHECK(reported.contains(199));
}
