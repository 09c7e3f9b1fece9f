//===- unittests/Duties/DutiesTest.cpp - duty lease, usage and demand -----===//
///
/// \file
/// Tests claims of nodes that freeze or lose each other's reports, usage by window, clock
/// offsets, and demand.
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
    timing.holderTimeout_ = milliseconds(2550);
    timing.actAfterClaim_ = milliseconds(1600);
    timing.recordValidity_ = milliseconds(1000);
    return timing;
}

/// An act on the platform by the holder of the duties.
struct Act {
    std::size_t node_ = 0;
    DutyToken token_;
    SteadyTime at_ {};
};

/// Nodes that share a log. A claim or record is appended only if its node knows the
/// log's current end.
class LeaseSimulation {
public:
    LeaseSimulation(std::uint32_t seed, std::size_t nodes)
        : random_(seed)
    {
        for (std::size_t i = 0; i < nodes; ++i)
            nodes_.push_back({ DutyLease({ std::to_string(i) }, timing(), start), 0, start, start });
    }

    std::vector<Act> simulate(milliseconds duration)
    {
        for (milliseconds t {}; t < duration; t += milliseconds(50))
            step(start + t);
        return acts_;
    }

private:
    struct Participant {
        DutyLease lease_;
        /// The log's end as this node knows it.
        std::uint64_t knownEnd_ = 0;
        SteadyTime frozenUntil_;
        SteadyTime partitionedUntil_;
    };

    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

    void step(SteadyTime now)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (chance(0.004))
                nodes_[i].frozenUntil_ = now + milliseconds(500 + random_() % 6000);
            if (chance(0.004))
                nodes_[i].partitionedUntil_ = now + milliseconds(500 + random_() % 6000);
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
            bool isReceived = other != index && peer.frozenUntil_ <= now && peer.partitionedUntil_ <= now && node.partitionedUntil_ <= now;
            if (isReceived && peer.lease_.isHolder())
                node.lease_.noteHolder({ std::to_string(other) }, peer.lease_.token(), now);
        }
        if (node.lease_.shouldClaim(index, now)) {
            // Another node may append a record after this node has read the log and before
            // it appends its claim.
            node.knownEnd_ = logEnd_;
            if (chance(0.2))
                ++logEnd_;
            if (node.knownEnd_ != logEnd_)
                return node.lease_.release(now);
            node.knownEnd_ = ++logEnd_;
            node.lease_.becomeHolder({ logEnd_ }, now);
            return;
        }
        if (!node.lease_.mayStartActs(now) || !chance(0.3))
            return;
        if (node.knownEnd_ != logEnd_)
            return node.lease_.release(now);
        node.knownEnd_ = ++logEnd_;
        // The node may freeze between its record and the act.
        SteadyTime actAt = now + milliseconds(chance(0.1) ? 5000 : 5);
        if (node.lease_.mayAct(now, actAt))
            acts_.push_back({ index, node.lease_.token(), actAt });
    }

    std::mt19937 random_;
    std::vector<Participant> nodes_;
    std::uint64_t logEnd_ = 0;
    std::vector<Act> acts_;
};

} // namespace

TEST_CASE("acts of two holders never overlap when nodes freeze or lose their connections", "[duties]")
{
    std::size_t holderChanges = 0;
    for (std::uint32_t seed = 0; seed < 400; ++seed) {
        std::vector<Act> acts = LeaseSimulation(seed, 4).simulate(milliseconds(60000));
        std::map<std::size_t, SteadyTime> lastActAt;
        for (std::size_t i = 1; i < acts.size(); ++i) {
            CAPTURE(seed, i);
            REQUIRE(acts[i].token_ >= acts[i - 1].token_);
            bool isSameHolder = acts[i].node_ == acts[i - 1].node_;
            REQUIRE((acts[i].token_ == acts[i - 1].token_) <= isSameHolder);
            holderChanges += !isSameHolder;
            lastActAt[acts[i - 1].node_] = acts[i - 1].at_;
            // A node acts again after another node's act only if more than a lease has passed
            // since its own last act.
            if (!isSameHolder && lastActAt.contains(acts[i].node_))
                REQUIRE(acts[i].at_ - lastActAt[acts[i].node_] > lease);
        }
    }
    // The check is vacuous unless the holder holderChanges often.
    CHECK(holderChanges > 500);
}

TEST_CASE("only the first claim ever may act without waiting for a predecessor", "[duties]")
{
    DutyLease first({ "a" }, timing(), start);
    first.becomeHolder({ 1 }, start);
    CHECK(first.mayStartActs(start));
    DutyLease second({ "b" }, timing(), start);
    second.becomeHolder({ 2 }, start);
    CHECK_FALSE(second.mayStartActs(start));
    CHECK(second.mayStartActs(start + timing().actAfterClaim_));
}

TEST_CASE("the holder's timeout counts from its original report, not from forwarded copies", "[duties]")
{
    DutyTiming timing;
    DutyLease dutyLease({ "b" }, timing, start);
    SteadyTime now = start + milliseconds(20000);
    dutyLease.noteHolder({ "a" }, { 7 }, now);
    // Relays keep forwarding the same report.
    for (int i = 1; i <= 10; ++i)
        dutyLease.noteHolder({ "a" }, { 7 }, now);
    CHECK_FALSE(dutyLease.shouldClaim(0, now + timing.holderTimeout_));
    CHECK(dutyLease.shouldClaim(0, now + timing.holderTimeout_ + milliseconds(1)));
    // An older report that arrives late does not shorten the timeout.
    dutyLease.noteHolder({ "a" }, { 7 }, now + milliseconds(1000));
    dutyLease.noteHolder({ "a" }, { 7 }, now);
    CHECK_FALSE(dutyLease.shouldClaim(0, now + timing.holderTimeout_ + milliseconds(1000)));
}

TEST_CASE("released duties may be claimed immediately, even if old reports of the holder arrive late", "[duties]")
{
    DutyLease dutyLease({ "b" }, {}, start);
    SteadyTime now = start + milliseconds(20000);
    dutyLease.noteHolder({ "a" }, { 7 }, now);
    dutyLease.noteReleased({ 6 }, now);
    CHECK_FALSE(dutyLease.shouldClaim(0, now + milliseconds(1)));
    dutyLease.noteReleased({ 7 }, now);
    CHECK(dutyLease.shouldClaim(0, now + milliseconds(1)));
    dutyLease.noteHolder({ "a" }, { 7 }, now);
    CHECK(dutyLease.shouldClaim(0, now + milliseconds(1)));
    dutyLease.noteHolder({ "c" }, { 9 }, now);
    CHECK_FALSE(dutyLease.shouldClaim(0, now + milliseconds(1)));
    // A late report of an earlier release does not end a newer claim.
    DutyLease holder({ "c" }, {}, start);
    holder.becomeHolder({ 9 }, now);
    holder.noteReleased({ 7 }, now);
    CHECK(holder.isHolder());
}

TEST_CASE("duties may be claimed immediately if their holder stops, but not if another node stops", "[duties]")
{
    DutyLease dutyLease({ "b" }, timing(), start);
    SteadyTime now = start + milliseconds(10000);
    dutyLease.noteHolder({ "a" }, { 7 }, now);
    dutyLease.noteStopping({ "c" }, now);
    CHECK_FALSE(dutyLease.shouldClaim(0, now + milliseconds(100)));
    dutyLease.noteStopping({ "a" }, now);
    CHECK(dutyLease.shouldClaim(0, now + milliseconds(100)));
    // The second candidate waits for the first one.
    CHECK_FALSE(dutyLease.shouldClaim(1, now + milliseconds(100)));
    CHECK(dutyLease.shouldClaim(1, now + milliseconds(500)));
}

TEST_CASE("usage is summed over all nodes, including those that have left", "[duties]")
{
    UsageTracker usage(milliseconds(5000));
    const OrganisationId north { "north" };
    usage.count(north, 12000);
    usage.count(north, 14999);
    usage.count(north, 15000);
    usage.setPeer({ "b" }, 1, { { { 2 }, { { north, 5 } } } });
    usage.setPeer({ "b" }, 1, { { { 2 }, { { north, 6 } } } });
    usage.setPeer({ "b" }, 2, { { { 2 }, { { north, 1 } } } });
    CHECK(usage.sum({ 2 })[north] == 2 + 6 + 1);
    CHECK(usage.sum({ 3 })[north] == 1);
    CHECK(usage.recent().size() == 2);
    usage.forget({ 3 });
    CHECK(usage.sum({ 2 }).empty());
}

TEST_CASE("the time of day is corrected to the median of all clocks", "[duties]")
{
    ClockOffsetEstimator clocks;
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

TEST_CASE("demand is the sum of the nodes' token rates, and its peak is kept for the peak window", "[duties]")
{
    DemandEstimator demand(DemandTiming { milliseconds(4000), milliseconds(5000), milliseconds(3000) });
    const ServiceName service { "s" };
    SteadyTime now = start;
    auto step = [&](std::uint64_t totalTokens, double reportedRate) {
        now += milliseconds(250);
        demand.recordLocalTokens(service, { totalTokens }, now);
        demand.setSource({ "b" }, service, { reportedRate, 50, 100 }, now);
        demand.sample(now);
    };
    // The demand is unknown until a complete window has been observed.
    for (std::uint64_t i = 0; i < 16; ++i) {
        step(250 * i, 500);
        CHECK_FALSE(demand.peakRate(service, now));
    }
    step(4000, 500);
    CHECK(demand.localRate(service) == Approx(1000));
    CHECK(demand.peakRate(service, now) == Approx(1500));
    // The rates of both nodes drop, and the peak is kept for 5 s.
    for (int i = 0; i < 16; ++i)
        step(4000, 100);
    CHECK(demand.localRate(service) == Approx(0));
    CHECK(*demand.peakRate(service, now) > 1400);
    for (int i = 0; i < 20; ++i)
        step(4000, 100);
    CHECK(demand.peakRate(service, now) == Approx(100));
    CHECK_FALSE(demand.peakRate({ "other" }, now));
}

TEST_CASE("a node that reconnects does not report the demand of the time it was disconnected", "[duties]")
{
    DemandEstimator demand;
    const ServiceName service { "s" };
    SteadyTime now = start;
    double highest = 0;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(250);
        demand.recordLocalTokens(service, {}, now);
        // The peer is disconnected for 12 s, while callers request 1,000 tokens a second
        // from it.
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

TEST_CASE("the prefill rate is the weighted mean of the nodes' rates", "[duties]")
{
    DemandEstimator demand;
    const ServiceName service { "s" };
    demand.setSource({ "a" }, service, { 1, 50, 100 }, start);
    demand.setSource({ "b" }, service, { 1, 80, 50 }, start);
    CHECK(demand.prefillRate(service, 10).bounded() == Approx((50 * 100 + 80 * 50) / 150.0));
    CHECK(demand.prefillRate({ "other" }, 10).bounded() == 10);
}

// The mean of the nodes' rates without a bound doubled when engines were lost, and half of the
// engines that were needed were ordered.
TEST_CASE("the reading rate is bounded by the fit over the waits of all nodes")
{
    struct Row {
        const char* name_;
        double meanRate_;
        int observations_;
        double waitPerTokenMs_;
        double boundedRate_;
    };
    auto row = GENERATE(values<Row>({ { "mean near the fit", 45, 100, 0.025, 45 }, { "mean far above the fit", 101, 100, 0.025, 50 }, { "mean below the fit", 30, 100, 0.025, 30 },
        { "too few waits for a fit", 101, 11, 0.025, 101 }, { "waits that fall with the tokens", 101, 100, -0.025, 101 } }));
    CAPTURE(row.name_);
    ServiceDemand reported { 0, row.meanRate_, 100, {} };
    for (int i = 0; i < row.observations_; ++i)
        reported.moments_.observe(1000 * i, 5000 + row.waitPerTokenMs_ * 1000 * i);
    const ServiceName service { "s" };
    DemandEstimator demand;
    demand.setSource({ "b" }, service, reported, start);
    CHECK(demand.prefillRate(service, 30).bounded() == Approx(row.boundedRate_));
}

TEST_CASE("a window's usage is due soon after its end if all nodes have reported their counts", "[duties]")
{
    struct Row {
        const char* name_;
        std::int64_t nowMs_;
        milliseconds reportAge_;
        std::optional<std::uint64_t> due_;
    };
    // Windows of 5 s; window 199 ends at 1,000,000 ms.
    auto row = GENERATE(values<Row>({
        { "500 ms after its end", 1000500, milliseconds(100), 198 },
        { "all nodes have reported since its end", 1001500, milliseconds(200), 199 },
        { "one node last reported before its end", 1001500, milliseconds(1600), 198 },
        { "one node is unresponsive, and the maximum delay has passed", 1005000, milliseconds(9000), 199 },
        { "all nodes have reported, and the next window has ended", 1006500, milliseconds(200), 200 },
        { "the first window has not ended", 3000, milliseconds(0), std::nullopt },
    }));
    CAPTURE(row.name_);
    auto due = dueWindow(row.nowMs_, milliseconds(5000), {}, [&](milliseconds time) { return row.reportAge_ <= time; });
    REQUIRE(due.has_value() == row.due_.has_value());
    if (due)
        CHECK(due->value_ == *row.due_);
}

TEST_CASE("a window's usage is due within 2 s of its end", "[duties]")
{
    // The holder checks every 250 ms, and all nodes report every 200 ms. Counts that are not
    // reported within 2 s are lost if all nodes are terminated then.
    std::set<std::uint64_t> reported;
    for (std::int64_t now = 1000000; now < 1002000; now += 250) {
        if (auto due = dueWindow(now, milliseconds(5000), {}, [](milliseconds time) { return time >= milliseconds(200); }))
            reported.insert(due->value_);
    }
    CHECK(reported.contains(199));
}
