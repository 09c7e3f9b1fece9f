//===- unittests/Fleet/FleetTest.cpp - plans and orders of engines --------===//
///
/// \file
/// Tests plans for a given state, and orders over time as engines register and leave.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const ServiceName service { "s" };
const SteadyTime start { milliseconds(1000000) };

/// Makes a view of up to three data centres from the numbers of on-demand and reclaimable
/// engines in each.
FleetView viewOf(std::vector<std::pair<std::uint64_t, std::uint64_t>> engines, std::optional<double> tokensPerSecond)
{
    FleetView view { service, { 1, 20, milliseconds(4000), 0.2, {} }, {}, tokensPerSecond, 50, 0, 0, true, false };
    const char* names[] = { "a", "b", "c" };
    for (std::size_t i = 0; i < engines.size(); ++i)
        view.dataCentres_.push_back({ { names[i] }, 1, engines[i].first, engines[i].second, 0, 0 });
    return view;
}

std::uint64_t sumOf(const std::vector<FleetOrder>& orders, bool isReclaimable)
{
    std::uint64_t sum = 0;
    for (const FleetOrder& order : orders)
        sum += order.isReclaimable_ == isReclaimable ? order.wanted_ : 0;
    return sum;
}

/// Observes \p view until the registrations count as settled. \returns the time then.
SteadyTime settle(FleetTracker& tracker, const FleetView& view)
{
    tracker.observe(view, start);
    SteadyTime later = start + milliseconds(2000);
    tracker.observe(view, later);
    return later;
}

} // namespace

TEST_CASE("on-demand engines cover the need that reclaimable ones cannot", "[fleet]")
{
    struct Row {
        const char* name_;
        FleetDemand demand_;
        std::vector<std::uint64_t> reclaimable_;
        std::uint64_t onDemand_;
    };
    auto row = GENERATE(values<Row>({
        { "no engine is present yet", { 12, 1, 12, 6, 1 }, { 0, 0, 0 }, 12 },
        { "reclaimable engines suffice without those of the largest data centre", { 12, 1, 12, 6, 1 }, { 6, 6, 6 }, 0 },
        { "the reclaimable engines of one data centre are lost", { 12, 1, 12, 6, 1 }, { 6, 6, 0 }, 6 },
        { "no reclaimable engine is reserved", { 12, 1, 12, 6, 0 }, { 6, 6, 0 }, 1 },
        { "reclaimable engines count towards the lower bound", { 4, 2, 12, 6, 1 }, { 6, 1, 0 }, 3 },
        { "the need exceeds the upper bound", { 100, 1, 12, 6, 0 }, { 0, 0, 0 }, 36 },
        { "no engine is needed, and the lower bound applies", { 0, 2, 12, 0, 0 }, { 0, 0, 0 }, 6 },
    }));
    std::vector<DataCentreFleet> fleets { { { "a" }, 1.2, 0, row.reclaimable_[0] }, { { "b" }, 0.85, 0, row.reclaimable_[1] }, { { "c" }, 1, 0, row.reclaimable_[2] } };
    CAPTURE(row.name_);
    std::uint64_t onDemand = 0;
    for (const FleetOrder& order : planFleet({ "s" }, row.demand_, fleets)) {
        if (order.isReclaimable_) {
            CHECK(order.wanted_ <= row.demand_.reclaimablePerDataCentre_);
            continue;
        }
        onDemand += order.wanted_;
        // The platform's bounds apply to on-demand and reclaimable engines together.
        auto fleet = std::find_if(fleets.begin(), fleets.end(), [&](const DataCentreFleet& known) { return known.dataCentre_ == order.dataCentre_; });
        CHECK(order.wanted_ + fleet->reclaimable_ >= row.demand_.minEngines_);
        CHECK(order.wanted_ <= row.demand_.maxEngines_);
    }
    CHECK(onDemand == row.onDemand_);
}

TEST_CASE("the engines needed follow from token rate, prefill rate and margin", "[fleet]")
{
    CHECK(enginesFor(0, 50, 1) == 0);
    CHECK(enginesFor(50000, 50, 0) == 1);
    CHECK(enginesFor(50001, 50, 0) == 2);
    CHECK(enginesFor(200000, 50, 1) == 6);
    // With 100 busy engines, a tenth as many spare ones suffice; with 4, half as many.
    CHECK(enginesFor(5000000, 50, 1) == 110);
}

TEST_CASE("engines stay in their data centre unless fewer are wanted", "[fleet]")
{
    struct Row {
        const char* name_;
        std::vector<std::pair<std::uint64_t, std::uint64_t>> engines_;
        std::uint64_t needed_;
        std::vector<std::uint64_t> onDemand_;
    };
    auto row = GENERATE(values<Row>({
        // The third data centre had no capacity while reclaimable engines were present.
        { "capacity becomes free elsewhere", { { 9, 0 }, { 9, 0 }, { 1, 0 } }, 27, { 9, 9, 9 } },
        { "a few more are wanted", { { 9, 0 }, { 9, 0 }, { 1, 0 } }, 21, { 9, 9, 3 } },
        { "fewer are wanted, spread evenly", { { 9, 0 }, { 9, 0 }, { 1, 0 } }, 12, { 4, 4, 4 } },
        { "limited by the upper bound", { { 9, 0 }, { 9, 0 }, { 1, 0 } }, 90, { 20, 20, 20 } },
    }));
    CAPTURE(row.name_);
    FleetDemand demand { row.needed_, 1, 20, 10, 1 };
    std::vector<std::uint64_t> onDemand;
    for (const FleetOrder& order : planFleet(service, demand, viewOf(row.engines_, {}).dataCentres_)) {
        if (!order.isReclaimable_)
            onDemand.push_back(order.wanted_);
    }
    CHECK(onDemand == row.onDemand_);
}

TEST_CASE("booting engines are not dismissed in favour of other data centres", "[fleet]")
{
    // 13 of 22 on-demand engines in each of two data centres are booting when the reclaimable
    // engines of a third one are reclaimed, which frees capacity there.
    FleetDemand demand { 45, 1, 40, 10, 1 };
    std::vector<DataCentreFleet> fleets = viewOf({ { 9, 0 }, { 9, 0 }, { 1, 0 } }, {}).dataCentres_;
    fleets[0].onDemandOrdered_ = 22;
    fleets[1].onDemandOrdered_ = 22;
    for (const FleetOrder& order : planFleet(service, demand, fleets)) {
        if (!order.isReclaimable_)
            CHECK(order.wanted_ == (order.dataCentre_.value_ == "c" ? 1 : 22));
    }
    // The tracker takes its own accepted orders into account.
    FleetTracker tracker({});
    FleetView view = viewOf({ { 2, 0 }, { 2, 0 }, { 2, 0 } }, 1000000);
    SteadyTime now = settle(tracker, view);
    tracker.noteOrdered({ service, { "a" }, false, 15 }, true, now);
    for (const FleetOrder& order : tracker.dueOrders(view, now)) {
        if (!order.isReclaimable_)
            CHECK_FALSE(order.dataCentre_.value_ == "a");
    }
}

TEST_CASE("on-demand engines are not ordered before registrations have settled", "[fleet]")
{
    FleetTracker tracker({});
    FleetView view = viewOf({ { 4, 0 }, { 4, 0 }, { 0, 0 } }, {});
    tracker.observe(view, start);
    std::vector<FleetOrder> orders = tracker.dueOrders(view, start);
    CHECK(sumOf(orders, false) == 0);
    CHECK(sumOf(orders, true) == 18);
    SteadyTime later = settle(tracker, view);
    CHECK(sumOf(tracker.dueOrders(view, later), false) == 8);
}

TEST_CASE("engines are dismissed before others are ordered", "[fleet]")
{
    // The platform's upper bound applies to on-demand and reclaimable engines together. With
    // 38 reclaimable and 38 on-demand engines, an order of more reclaimable ones had no
    // effect because it was sent before the on-demand ones were dismissed.
    FleetTracker tracker({});
    FleetView view = viewOf({ { 8, 6 }, { 8, 6 }, { 8, 6 } }, 500000);
    SteadyTime now = settle(tracker, view);
    std::vector<FleetOrder> orders = tracker.dueOrders(view, now);
    REQUIRE(orders.size() >= 2);
    bool hasAdded = false;
    for (const FleetOrder& order : orders) {
        bool isDismissal = order.wanted_ < (order.isReclaimable_ ? 6 : 8);
        CHECK_FALSE((hasAdded && isDismissal));
        hasAdded |= !isDismissal;
    }
    CHECK(hasAdded);
}

TEST_CASE("reclaimable engines are ordered only up to the capacity that on-demand ones leave", "[fleet]")
{
    // An order that ignored on-demand engines which had not registered yet was accepted for
    // 64 reclaimable ones, but only 39 booted, and it was not corrected for 8 s.
    FleetTracker tracker({});
    FleetView view = viewOf({ { 12, 0 }, { 12, 0 }, { 12, 0 } }, {});
    tracker.observe(view, start);
    for (const FleetOrder& order : tracker.dueOrders(view, start)) {
        CHECK(order.isReclaimable_);
        CHECK(order.wanted_ == 20 - 12);
        tracker.noteOrdered(order, true, start);
    }
    // Reclaimable engines that register because of this node's orders do not raise the need.
    view.dataCentres_[0].reclaimable_ = 8;
    SteadyTime now = start + milliseconds(1500);
    tracker.observe(view, now);
    view.tokensPerSecond_ = 100000;
    now += milliseconds(2500);
    std::vector<FleetOrder> orders = tracker.dueOrders(view, now);
    CHECK(std::any_of(orders.begin(), orders.end(), [](const FleetOrder& order) { return !order.isReclaimable_ && order.wanted_ < 12; }));
}

TEST_CASE("on-demand engines are not dismissed while reclaimable ones are being reclaimed", "[fleet]")
{
    FleetTracker tracker({});
    FleetView before = viewOf({ { 8, 14 }, { 8, 14 }, { 8, 14 } }, 500000);
    SteadyTime now = settle(tracker, before);
    FleetView lost = viewOf({ { 8, 0 }, { 8, 14 }, { 8, 14 } }, 500000);
    now += milliseconds(500);
    tracker.observe(lost, now);
    auto dismisses = [](const std::vector<FleetOrder>& orders) {
        return std::any_of(orders.begin(), orders.end(), [](const FleetOrder& order) { return !order.isReclaimable_ && order.wanted_ < 8; });
    };
    CHECK_FALSE(dismisses(tracker.dueOrders(lost, now)));
    now += FleetSettings {}.dismissalCooldown_;
    CHECK(dismisses(tracker.dueOrders(lost, now)));
}

TEST_CASE("a dismissal of reclaimable engines is not mistaken for a reclaim", "[fleet]")
{
    FleetTracker tracker({});
    FleetView before = viewOf({ { 8, 14 }, { 8, 14 }, { 8, 14 } }, 500000);
    SteadyTime now = settle(tracker, before);
    tracker.noteOrdered({ service, { "a" }, true, 2 }, true, now);
    FleetView after = viewOf({ { 8, 2 }, { 8, 14 }, { 8, 14 } }, 500000);
    now += milliseconds(500);
    tracker.observe(after, now);
    std::vector<FleetOrder> orders = tracker.dueOrders(after, now);
    CHECK(std::any_of(orders.begin(), orders.end(), [](const FleetOrder& order) { return !order.isReclaimable_ && order.wanted_ < 8; }));
}

TEST_CASE("accepted and rejected orders are repeated after their intervals", "[fleet]")
{
    struct Row {
        const char* name_;
        bool isAccepted_;
        milliseconds after_;
        bool isRepeated_;
    };
    auto row = GENERATE(values<Row>({
        { "accepted 4 s ago, engines are booting", true, milliseconds(4000), false },
        { "accepted 8 s ago, engines did not register", true, milliseconds(8000), true },
        { "rejected 0.5 s ago", false, milliseconds(500), false },
        { "rejected 2 s ago", false, milliseconds(2000), true },
    }));
    CAPTURE(row.name_);
    FleetTracker tracker({});
    FleetView view = viewOf({ { 8, 0 }, { 8, 0 }, { 8, 0 } }, 500000);
    SteadyTime now = settle(tracker, view);
    for (const FleetOrder& order : tracker.dueOrders(view, now))
        tracker.noteOrdered(order, row.isAccepted_ || !order.isReclaimable_, now);
    CHECK((sumOf(tracker.dueOrders(view, now + row.after_), true) > 0) == row.isRepeated_);
}

TEST_CASE("on-demand engines are ordered when all reclaimable ones are lost, even by a node that never observed an on-demand one", "[fleet]")
{
    struct Row {
        const char* name_;
        std::vector<std::pair<std::uint64_t, std::uint64_t>> before_;
    };
    // The node starts while only reclaimable engines are present, or no engine at all.
    auto row = GENERATE(values<Row>({
        { "reclaimable engines were present", { { 0, 9 }, { 0, 9 }, { 0, 9 } } },
        { "no engine was present", { { 0, 0 }, { 0, 0 }, { 0, 0 } } },
    }));
    CAPTURE(row.name_);
    FleetTracker tracker(FleetSettings {});
    constexpr double busyEngines = 8;
    FleetView before = viewOf(row.before_, busyEngines * 50000);
    SteadyTime now = settle(tracker, before);
    FleetView lost = viewOf({ { 0, 0 }, { 0, 0 }, { 0, 0 } }, busyEngines * 50000);
    now += milliseconds(4000);
    tracker.observe(lost, now);
    CHECK(sumOf(tracker.dueOrders(lost, now), false) >= busyEngines);
}

TEST_CASE("engines are dismissed only if nearly all nodes reported their demand", "[fleet]")
{
    // A node that has just become the holder starts from the need of its predecessor.
    struct Row {
        const char* name_;
        bool isComplete_;
        double tokensPerSecond_;
        bool isDismissed_;
        bool isAdded_;
    };
    auto row = GENERATE(values<Row>({
        { "few nodes reported", false, 15000, false, false },
        { "few nodes reported more than before", false, 5000000, false, true },
        { "all nodes reported, and fewer engines are needed", true, 15000, true, false },
    }));
    CAPTURE(row.name_);
    FleetSettings settings;
    FleetTracker tracker(settings);
    FleetView view = viewOf({ { 0, 18 }, { 0, 18 }, { 0, 18 } }, row.tokensPerSecond_);
    view.bounds_.maxEngines_ = 60;
    view.isComplete_ = row.isComplete_;
    SteadyTime now = settle(tracker, view);
    // For this need, the plan orders as many reclaimable engines in each data centre as are
    // present.
    constexpr std::uint64_t inherited = 25;
    tracker.inheritNeed(service, inherited, now);
    bool isDismissed = false;
    bool isAdded = false;
    for (milliseconds passed {}; passed <= 2 * settings.reclaimableStabilisationWindow_; passed += settings.period_) {
        tracker.observe(view, now + passed);
        for (const FleetOrder& order : tracker.dueOrders(view, now + passed)) {
            isDismissed |= order.isReclaimable_ && order.wanted_ < 18;
            isAdded |= order.isReclaimable_ && order.wanted_ > 18;
        }
    }
    CHECK(isDismissed == row.isDismissed_);
    CHECK(isAdded == row.isAdded_);
}

TEST_CASE("a new holder keeps the need of its predecessor for the stabilisation window", "[fleet]")
{
    FleetSettings settings;
    FleetTracker tracker(settings);
    FleetView view = viewOf({ { 0, 18 }, { 0, 18 }, { 0, 18 } }, 100000);
    SteadyTime now = settle(tracker, view);
    constexpr std::uint64_t inherited = 25;
    tracker.inheritNeed(service, inherited, now);
    auto dismisses = [&](SteadyTime at) {
        std::vector<FleetOrder> orders = tracker.dueOrders(view, at);
        return std::any_of(orders.begin(), orders.end(), [](const FleetOrder& order) { return order.isReclaimable_ && order.wanted_ < 18; });
    };
    CHECK_FALSE(dismisses(now + settings.period_));
    CHECK_FALSE(dismisses(now + settings.reclaimableStabilisationWindow_));
    CHECK(dismisses(now + settings.reclaimableStabilisationWindow_ + settings.period_));
}

TEST_CASE("a new holder does not order reclaimable engines for present ones that are not needed", "[fleet]")
{
    // After a restart of all nodes the first holder took the 228 engines that were present
    // for the need, although only 115 had been needed, and ordered 160 reclaimable ones in
    // each data centre.
    FleetTracker tracker(FleetSettings {});
    FleetView view = viewOf({ { 3, 18 }, { 3, 18 }, { 3, 18 } }, {});
    view.bounds_.maxEngines_ = 60;
    SteadyTime now = settle(tracker, view);
    constexpr std::uint64_t inherited = 25;
    tracker.inheritNeed(service, inherited, now);
    std::vector<FleetOrder> orders = tracker.dueOrders(view, now);
    CHECK(std::none_of(orders.begin(), orders.end(), [](const FleetOrder& order) { return order.isReclaimable_ && order.wanted_ > 18; }));
    CHECK(tracker.needed(service) == inherited);
}

TEST_CASE("engines of a version on trial are dismissed, or counted as serving", "[fleet]")
{
    struct Row {
        const char* name_;
        bool isRollingOut_;
        std::vector<std::pair<std::uint64_t, std::uint64_t>> engines_;
        double tokensPerSecond_;
        /// On-demand engines to order in addition to those of the new version, of which each
        /// data centre has 5.
        std::uint64_t onDemand_;
    };
    const Row rows[] = {
        { "on trial, reclaimable engines suffice", true, { { 3, 6 }, { 3, 6 }, { 3, 6 } }, 200000, 0 },
        { "on trial, all reclaimable engines were lost", true, { { 0, 0 }, { 0, 0 }, { 0, 0 } }, 300000, 10 },
        { "the new version is being removed", false, { { 3, 6 }, { 3, 6 }, { 3, 6 } }, 200000, 0 },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name_);
        FleetTracker tracker({});
        FleetView view = viewOf(row.engines_, row.tokensPerSecond_);
        view.isRollingOut_ = row.isRollingOut_;
        for (DataCentreFleet& fleet : view.dataCentres_)
            fleet.onDemandExcluded_ = 5;
        SteadyTime now = settle(tracker, view);
        std::vector<FleetOrder> orders = tracker.dueOrders(view, now);
        std::uint64_t onDemand = 0;
        for (const FleetOrder& order : orders) {
            if (order.isReclaimable_)
                continue;
            CHECK(order.wanted_ >= 5);
            onDemand += order.wanted_ - 5;
        }
        CHECK(onDemand >= row.onDemand_);
        if (row.isRollingOut_ && !row.onDemand_)
            CHECK(orders.empty());
    }
}
