//===- unittests/Fleet/FleetTest.cpp - how many engines are ordered --------===//
///
/// \file
/// Plans of one moment, and orders over time with the engines that follow them.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const ServiceName service { "s" };
const SteadyTime start { milliseconds(1000000) };

/// Engines in three data centres, as lasting and reclaimable ones in each.
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

/// Lets the book see \p view until all count as registered.
SteadyTime settle(FleetTracker& tracker, const FleetView& view)
{
    tracker.observe(view, start);
    SteadyTime later = start + milliseconds(2000);
    tracker.observe(view, later);
    return later;
}

} // namespace

TEST_CASE("lasting engines stand in for reclaimable ones that are missing", "[fleet]")
{
    struct Row {
        const char* name_;
        FleetDemand demand_;
        std::vector<std::uint64_t> reclaimable_;
        std::uint64_t onDemand_;
    };
    auto row = GENERATE(values<Row>({
        { "none is there yet", { 12, 1, 12, 6, 1 }, { 0, 0, 0 }, 12 },
        { "enough without the largest", { 12, 1, 12, 6, 1 }, { 6, 6, 6 }, 0 },
        { "one data centre lost", { 12, 1, 12, 6, 1 }, { 6, 6, 0 }, 6 },
        { "nothing reserved", { 12, 1, 12, 6, 0 }, { 6, 6, 0 }, 1 },
        { "the least number is held by either kind", { 4, 2, 12, 6, 1 }, { 6, 1, 0 }, 3 },
        { "more than may be ordered", { 100, 1, 12, 6, 0 }, { 0, 0, 0 }, 36 },
        { "nothing needed", { 0, 2, 12, 0, 0 }, { 0, 0, 0 }, 6 },
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
        // The platform bounds both kinds together.
        auto fleet = std::find_if(fleets.begin(), fleets.end(), [&](const DataCentreFleet& known) { return known.dataCentre_ == order.dataCentre_; });
        CHECK(order.wanted_ + fleet->reclaimable_ >= row.demand_.least_);
        CHECK(order.wanted_ <= row.demand_.most_);
    }
    CHECK(onDemand == row.onDemand_);
}

TEST_CASE("engines needed follow from tokens, rate and margin", "[fleet]")
{
    CHECK(enginesFor(0, 50, 1) == 0);
    CHECK(enginesFor(50000, 50, 0) == 1);
    CHECK(enginesFor(50001, 50, 0) == 2);
    CHECK(enginesFor(200000, 50, 1) == 6);
    // A hundred busy engines need a tenth more, where four need half more.
    CHECK(enginesFor(5000000, 50, 1) == 110);
}

TEST_CASE("engines stay where they are while more are wanted", "[fleet]")
{
    struct Row {
        const char* name_;
        std::vector<std::pair<std::uint64_t, std::uint64_t>> engines_;
        std::uint64_t needed_;
        std::vector<std::uint64_t> onDemand_;
    };
    auto row = GENERATE(values<Row>({
        // The third data centre had no room while reclaimable engines were there.
        { "room comes free elsewhere", { { 9, 0 }, { 9, 0 }, { 1, 0 } }, 27, { 9, 9, 9 } },
        { "a few more are wanted", { { 9, 0 }, { 9, 0 }, { 1, 0 } }, 21, { 9, 9, 3 } },
        { "fewer are wanted: evenly", { { 9, 0 }, { 9, 0 }, { 1, 0 } }, 12, { 4, 4, 4 } },
        { "no more than may be there", { { 9, 0 }, { 9, 0 }, { 1, 0 } }, 90, { 20, 20, 20 } },
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

TEST_CASE("engines on their way are not given up for others elsewhere", "[fleet]")
{
    // 13 of 22 lasting engines in two data centres are booting when a third one's
    // reclaimable engines go and there is room.
    FleetDemand demand { 45, 1, 40, 10, 1 };
    std::vector<DataCentreFleet> fleets = viewOf({ { 9, 0 }, { 9, 0 }, { 1, 0 } }, {}).dataCentres_;
    fleets[0].onDemandOrdered_ = 22;
    fleets[1].onDemandOrdered_ = 22;
    for (const FleetOrder& order : planFleet(service, demand, fleets)) {
        if (!order.isReclaimable_)
            CHECK(order.wanted_ == (order.dataCentre_.value_ == "c" ? 1 : 22));
    }
    // The book knows what it ordered.
    FleetTracker tracker({});
    FleetView view = viewOf({ { 2, 0 }, { 2, 0 }, { 2, 0 } }, 1000000);
    SteadyTime now = settle(tracker, view);
    tracker.noteOrdered({ service, { "a" }, false, 15 }, true, now);
    for (const FleetOrder& order : tracker.dueOrders(view, now)) {
        if (!order.isReclaimable_)
            CHECK_FALSE(order.dataCentre_.value_ == "a");
    }
}

TEST_CASE("lasting engines are not ordered before all have registered", "[fleet]")
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
    // The platform bounds both kinds together: 38 reclaimable engines beside 38 lasting
    // ones were not followed by more, though more were ordered before the lasting ones
    // were dismissed.
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

TEST_CASE("no more reclaimable engines are ordered than there is room beside lasting ones", "[fleet]")
{
    // Ordered beside lasting ones that had not registered yet, 64 were taken for an order
    // and 39 came, for 8 s.
    FleetTracker tracker({});
    FleetView view = viewOf({ { 12, 0 }, { 12, 0 }, { 12, 0 } }, {});
    tracker.observe(view, start);
    for (const FleetOrder& order : tracker.dueOrders(view, start)) {
        CHECK(order.isReclaimable_);
        CHECK(order.wanted_ == 20 - 12);
        tracker.noteOrdered(order, true, start);
    }
    // Those that come do not count as engines that were there.
    view.dataCentres_[0].reclaimable_ = 8;
    SteadyTime now = start + milliseconds(1500);
    tracker.observe(view, now);
    view.tokensPerSecond_ = 100000;
    now += milliseconds(2500);
    std::vector<FleetOrder> orders = tracker.dueOrders(view, now);
    CHECK(std::any_of(orders.begin(), orders.end(), [](const FleetOrder& order) { return !order.isReclaimable_ && order.wanted_ < 12; }));
}

TEST_CASE("lasting engines stay while reclaimable ones are being taken away", "[fleet]")
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

TEST_CASE("a dismissal of reclaimable engines is not taken for their loss", "[fleet]")
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

TEST_CASE("orders that were taken or refused are repeated late", "[fleet]")
{
    struct Row {
        const char* name_;
        bool isAccepted_;
        milliseconds after_;
        bool isRepeated_;
    };
    auto row = GENERATE(values<Row>({
        { "taken, on their way", true, milliseconds(4000), false },
        { "taken, and they did not come", true, milliseconds(8000), true },
        { "refused just now", false, milliseconds(500), false },
        { "refused a while ago", false, milliseconds(2000), true },
    }));
    CAPTURE(row.name_);
    FleetTracker tracker({});
    FleetView view = viewOf({ { 8, 0 }, { 8, 0 }, { 8, 0 } }, 500000);
    SteadyTime now = settle(tracker, view);
    for (const FleetOrder& order : tracker.dueOrders(view, now))
        tracker.noteOrdered(order, row.isAccepted_ || !order.isReclaimable_, now);
    CHECK((sumOf(tracker.dueOrders(view, now + row.after_), true) > 0) == row.isRepeated_);
}

TEST_CASE("lasting engines are ordered when all reclaimable ones go, also by a node that saw no lasting one", "[fleet]")
{
    struct Row {
        const char* name_;
        std::vector<std::pair<std::uint64_t, std::uint64_t>> before_;
    };
    // The node starts while there are reclaimable engines only, or none at all.
    auto row = GENERATE(values<Row>({
        { "reclaimable ones were there", { { 0, 9 }, { 0, 9 }, { 0, 9 } } },
        { "none was there", { { 0, 0 }, { 0, 0 }, { 0, 0 } } },
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

TEST_CASE("engines are dismissed on a whole count of demand only", "[fleet]")
{
    // A node that has just become the holder goes on from the need of the one before.
    struct Row {
        const char* name_;
        bool isComplete_;
        double tokensPerSecond_;
        bool isDismissed_;
        bool isAdded_;
    };
    auto row = GENERATE(values<Row>({
        { "few told of it", false, 15000, false, false },
        { "few told of more than before", false, 5000000, false, true },
        { "all told, and less is needed", true, 15000, true, false },
    }));
    CAPTURE(row.name_);
    FleetSettings settings;
    FleetTracker tracker(settings);
    FleetView view = viewOf({ { 0, 18 }, { 0, 18 }, { 0, 18 } }, row.tokensPerSecond_);
    view.bounds_.most_ = 60;
    view.isComplete_ = row.isComplete_;
    SteadyTime now = settle(tracker, view);
    // What this would come to in each data centre is what is there.
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

TEST_CASE("a successor holds on to the need of the holder before it", "[fleet]")
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

TEST_CASE("engines that are there are not ordered again as reclaimable ones by a successor", "[fleet]")
{
    // After a restart of all the first holder counted the 228 engines that were there as
    // its need, of which 115 had been needed, and ordered 160 reclaimable ones in each
    // data centre.
    FleetTracker tracker(FleetSettings {});
    FleetView view = viewOf({ { 3, 18 }, { 3, 18 }, { 3, 18 } }, {});
    view.bounds_.most_ = 60;
    SteadyTime now = settle(tracker, view);
    constexpr std::uint64_t inherited = 25;
    tracker.inheritNeed(service, inherited, now);
    std::vector<FleetOrder> orders = tracker.dueOrders(view, now);
    CHECK(std::none_of(orders.begin(), orders.end(), [](const FleetOrder& order) { return order.isReclaimable_ && order.wanted_ > 18; }));
    CHECK(tracker.needed(service) == inherited);
}

TEST_CASE("engines of a version on trial are dismissed, or counted as those that serve", "[fleet]")
{
    struct Row {
        const char* what_;
        bool isRollingOut_;
        std::vector<std::pair<std::uint64_t, std::uint64_t>> engines_;
        double tokensPerSecond_;
        /// Lasting engines that are ordered beside those of the new version, 5 in each.
        std::uint64_t onDemand_;
    };
    const Row rows[] = {
        { "on trial, reclaimable ones suffice", true, { { 3, 6 }, { 3, 6 }, { 3, 6 } }, 200000, 0 },
        { "on trial, reclaimable ones were lost", true, { { 0, 0 }, { 0, 0 }, { 0, 0 } }, 300000, 10 },
        { "gone", false, { { 3, 6 }, { 3, 6 }, { 3, 6 } }, 200000, 0 },
    };
    for (const Row& row : rows) {
        CAPTURE(row.what_);
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
