//===- unittests/Fleet/CapacityShortageTest.cpp - replays of losses -------===//
///
/// \file
/// Replays days on which data centres lose all their reclaimable engines one after another.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Fleet.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const ServiceName service { "s" };
const SteadyTime start { milliseconds(1000000) };
constexpr milliseconds step { 250 };
constexpr milliseconds bootTime { 4000 };
constexpr std::uint64_t maxEngines = 40;
// Engines that the load keeps busy, including the expected growth, for these needs.
constexpr double busyForNeed70 = 59.9;
constexpr double busyForNeed44 = 36.1;
constexpr double busyForNeed32 = 25.4;

/// Engines of one kind in one data centre of the platform.
struct Engines {
    std::uint64_t serving_ = 0;
    /// When each booting engine registers.
    std::vector<SteadyTime> booting_;

    std::uint64_t all() const { return serving_ + booting_.size(); }
    void set(std::uint64_t wanted, SteadyTime now)
    {
        if (wanted >= serving_) {
            booting_.resize(wanted - serving_, now + bootTime);
            return;
        }
        booting_.clear();
        serving_ = wanted;
    }
    void boot(SteadyTime now)
    {
        serving_ += std::erase_if(booting_, [&](SteadyTime at) { return at <= now; });
    }
};

struct Loss {
    std::size_t dataCentre_ = 0;
    milliseconds at_ {};
};

struct Day {
    double busyEngines_ = busyForNeed70;
    std::vector<Loss> losses_;
    /// Until then the platform rejects orders of additional reclaimable engines.
    milliseconds rejectedUntil_ {};
    /// When another node takes over the duties, if this is within the day.
    milliseconds takeoverAt_ { 1000000 };
    /// Factor by which the reading rate is overestimated after the first loss.
    double rateError_ = 1;
};

/// One observation of a replay.
struct Moment {
    milliseconds at_ {};
    std::uint64_t onDemand_ = 0;
    std::uint64_t reclaimable_ = 0;
    bool isShort_ = false;

    std::uint64_t engines() const { return onDemand_ + reclaimable_; }
};

/// Replays a day that begins with 39 reclaimable engines in each of three data centres.
class Replay {
public:
    Replay(Day day, FleetSettings settings)
        : day_(std::move(day))
        , trackers_ { FleetTracker(settings), FleetTracker(settings) }
    {
        for (auto& [onDemand, reclaimable] : engines_)
            reclaimable.serving_ = 39;
        for (const char* name : { "a", "b", "c" })
            view_.dataCentres_.push_back({ { name }, 1, 0, 39, 0, 0 });
        view_.tokensPerSecond_ = day_.busyEngines_ * view_.prefillPerMs_ * 1000 / (1 + settings.growth_);
        for (milliseconds at { -3000 }; at <= milliseconds(60000); at += step)
            run(at);
    }

    const std::vector<Moment>& moments() const { return moments_; }
    const std::vector<FleetOrder>& orders() const { return orders_; }
    std::uint64_t leastEngines(milliseconds from, milliseconds until) const
    {
        std::uint64_t least = ~std::uint64_t { 0 };
        for (const Moment& moment : moments_)
            least = moment.at_ >= from && moment.at_ <= until ? std::min(least, moment.engines()) : least;
        return least;
    }

private:
    void run(milliseconds at)
    {
        now_ = start + at;
        for (const Loss& loss : day_.losses_) {
            if (loss.at_ == at)
                engines_[loss.dataCentre_][1] = {};
        }
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            for (Engines& engines : engines_[i])
                engines.boot(now_);
            view_.dataCentres_[i].onDemand_ = engines_[i][0].serving_;
            view_.dataCentres_[i].reclaimable_ = engines_[i][1].serving_;
        }
        view_.prefillPerMs_ = at >= milliseconds(0) ? prefillPerMs * day_.rateError_ : prefillPerMs;
        // Every node observes, and only the holder orders.
        for (FleetTracker& tracker : trackers_)
            tracker.observe(view_, now_);
        if (at == day_.takeoverAt_)
            trackers_[1].inheritNeed(service, trackers_[0].needed(service), now_);
        FleetTracker& holder = trackers_[at >= day_.takeoverAt_];
        if (at.count() % FleetSettings {}.period_.count() == 0) {
            for (const FleetOrder& order : holder.dueOrders(view_, now_))
                send(order, holder);
        }
        moments_.push_back({ at, view_.onDemand(), view_.reclaimable(), holder.shortage(service).isActive() });
    }

    void send(const FleetOrder& order, FleetTracker& holder)
    {
        auto& [onDemand, reclaimable] = engines_[static_cast<std::size_t>(order.dataCentre_.value_[0] - 'a')];
        Engines& engines = order.isReclaimable_ ? reclaimable : onDemand;
        if (holder.shortage(service).isActive()) {
            CHECK(order.wanted_ >= engines.serving_);
            CHECK((order.isReclaimable_ || order.wanted_ + reclaimable.serving_ <= maxEngines));
        }
        bool isRejected = order.isReclaimable_ && order.wanted_ > engines.all() && now_ < start + day_.rejectedUntil_;
        std::uint64_t others = order.isReclaimable_ ? onDemand.all() : reclaimable.serving_;
        if (!isRejected)
            engines.set(std::min(order.wanted_, maxEngines - others), now_);
        holder.noteOrdered(order, !isRejected, now_);
        orders_.push_back(order);
    }

    static constexpr double prefillPerMs = 50;
    Day day_;
    FleetTracker trackers_[2];
    SteadyTime now_ {};
    FleetView view_ { service, { 1, maxEngines, bootTime, 0.18, {} }, {}, {}, prefillPerMs, 0, 0, true, false };
    /// On-demand and reclaimable engines of each data centre.
    std::array<std::array<Engines, 2>, 3> engines_;
    std::vector<Moment> moments_;
    std::vector<FleetOrder> orders_;
};

constexpr milliseconds maxShortage { 30000 };

FleetSettings withShortages()
{
    FleetSettings settings;
    settings.maxShortage_ = maxShortage;
    return settings;
}

FleetSettings withoutShortages()
{
    return {};
}

const std::vector<Loss> allLost { { 0, milliseconds(0) }, { 1, milliseconds(2750) }, { 2, milliseconds(6000) } };

} // namespace

TEST_CASE("orders are the same as without shortages where one data centre can carry the need", "[fleet]")
{
    auto day = GENERATE(values<Day>({
        { busyForNeed32, allLost, milliseconds(20000) },
        { busyForNeed32, allLost, milliseconds(20000), milliseconds(4000) },
        { busyForNeed32, { allLost[0] }, milliseconds(8000) },
        // No engine is lost.
        { busyForNeed70, {} },
    }));
    Replay replay(day, withShortages());
    CHECK(replay.orders() == Replay(day, withoutShortages()).orders());
    CHECK(std::none_of(replay.moments().begin(), replay.moments().end(), [](const Moment& moment) { return moment.isShort_; }));
}

TEST_CASE("on-demand engines are ordered for the whole need when all data centres lose their reclaimable ones", "[fleet]")
{
    struct Row {
        const char* name_;
        Day day_;
        /// The fewest engines once those booted that were ordered after the first loss.
        std::uint64_t withoutShortages_;
        std::uint64_t withShortages_;
    };
    auto row = GENERATE(values<Row>({
        { "the need is known", { busyForNeed70, allLost, milliseconds(20000) }, 31, 39 },
        // Waits at the few engines that remained doubled the estimated rate, and the need fell.
        { "the reading rate is overestimated", { busyForNeed70, allLost, milliseconds(20000), milliseconds(1000000), 2 }, 1, 39 },
        { "another node takes over the duties", { busyForNeed70, allLost, milliseconds(20000), milliseconds(4000) }, 31, 39 },
    }));
    CAPTURE(row.name_);
    Replay replay(row.day_, withShortages());
    CHECK(Replay(row.day_, withoutShortages()).leastEngines(bootTime + 2 * step, milliseconds(20000)) == row.withoutShortages_);
    CHECK(replay.leastEngines(bootTime + 2 * step, milliseconds(20000)) == row.withShortages_);
    // The last loss is at 6 s; engines that are ordered then have booted by 10.5 s.
    CHECK(replay.leastEngines(milliseconds(10500), milliseconds(20000)) >= 70);
    for (const Moment& moment : replay.moments()) {
        if (moment.at_ >= milliseconds(0) && moment.at_ <= milliseconds(20000))
            CHECK(moment.isShort_);
    }
    CHECK_FALSE(replay.moments().back().isShort_);
}

TEST_CASE("on-demand engines are dismissed soon after reclaimable ones have returned", "[fleet]")
{
    // Without room for reclaimable engines, a data centre full of on-demand ones could never
    // show their return.
    struct Row {
        double busyEngines_;
        std::uint64_t onDemandDuring_;
        std::uint64_t onDemandAfter10s_;
    };
    auto row = GENERATE(values<Row>({ { busyForNeed44, 44, 0 }, { busyForNeed70, 39, 6 } }));
    Replay replay({ row.busyEngines_, { allLost[0] }, milliseconds(8000) }, withShortages());
    const std::vector<Moment>& moments = replay.moments();
    auto lost = std::find_if(moments.begin(), moments.end(), [](const Moment& moment) { return moment.at_ == milliseconds(0); });
    auto returned = std::find_if(lost, moments.end(), [&](const Moment& moment) { return moment.reclaimable_ > lost->reclaimable_; });
    REQUIRE(returned != moments.end());
    CHECK(std::prev(returned)->isShort_);
    CHECK(std::prev(returned)->onDemand_ == row.onDemandDuring_);
    CHECK_FALSE(returned->isShort_);
    CHECK((returned + milliseconds(10000) / step)->onDemand_ <= row.onDemandAfter10s_);
    CHECK((returned + milliseconds(15000) / step)->onDemand_ == 0);
}

TEST_CASE("a shortage ends 30 s after the last loss, apart from time without the platform", "[fleet]")
{
    struct Row {
        const char* name_;
        milliseconds unavailableUntil_;
        milliseconds end_;
    };
    auto row = GENERATE(values<Row>({
        { "the platform is available", milliseconds(0), milliseconds(30000) },
        { "the platform is unavailable for 40 s", milliseconds(40000), milliseconds(70000) },
    }));
    CAPTURE(row.name_);
    CapacityShortage shortage(maxShortage);
    FleetView view { service, {}, { { { "a" }, 1, 0, 0 } }, {}, 50, 0, 0, true, false };
    shortage.noteLoss(view.dataCentres_[0], 39, start);
    shortage.review({ 70, 1, maxEngines, 39, 1 }, view.dataCentres_, bootTime, start);
    CHECK(shortage.losses().at({ "a" }).lost_ == 39);
    for (milliseconds at { 0 }; at <= row.end_; at += step) {
        CHECK(shortage.isActive());
        view.isPlatformAvailable_ = at > row.unavailableUntil_ || row.unavailableUntil_ == milliseconds(0);
        shortage.observe(view, start + at);
    }
    CHECK_FALSE(shortage.isActive());
    CHECK(shortage.losses().empty());
}

TEST_CASE("only additional reclaimable engines that were ordered after the loss end a shortage", "[fleet]")
{
    struct Row {
        const char* name_;
        bool isAccepted_;
        bool isTakeover_;
        std::uint64_t returned_;
        milliseconds after_;
        bool isActive_;
    };
    auto row = GENERATE(values<Row>({
        { "half of the wanted engines", true, false, 20, bootTime, false },
        { "fewer than half", true, false, 19, bootTime, true },
        { "before a boot time has passed", true, false, 20, bootTime - step, true },
        { "ordered before the loss", false, false, 20, bootTime, true },
        { "orders of the earlier holder are not known", false, true, 20, bootTime, false },
        { "no engine returned to a new holder", false, true, 0, bootTime, true },
    }));
    CAPTURE(row.name_);
    CapacityShortage shortage(maxShortage);
    std::vector<DataCentreFleet> fleets { { { "a" }, 1, 0, 0 }, { { "b" }, 1, 0, 39 } };
    FleetDemand demand { 70, 1, maxEngines, 39, 1 };
    shortage.noteLoss(fleets[0], 39, start);
    shortage.review(demand, fleets, bootTime, start);
    if (row.isAccepted_)
        shortage.noteOrderAccepted({ "a" });
    if (row.isTakeover_)
        shortage.noteTakeover();
    fleets[0].reclaimable_ = row.returned_;
    shortage.review(demand, fleets, bootTime, start + row.after_);
    CHECK(shortage.isActive() == row.isActive_);
    CHECK((shortage.returned() == DataCentreId { "a" }) == !row.isActive_);
}

TEST_CASE("engines that a roll-out excludes or an order dismisses begin no shortage", "[fleet]")
{
    struct Row {
        const char* name_;
        std::uint64_t excluded_;
        std::uint64_t ordered_;
        bool isShort_;
    };
    auto row = GENERATE(values<Row>({
        { "lost", 0, 39, true },
        { "excluded", 37, 39, false },
        { "dismissed", 0, 2, false },
    }));
    CAPTURE(row.name_);
    FleetTracker tracker(withShortages());
    FleetView view { service, { 1, maxEngines, bootTime, 0.18, {} }, { { { "a" }, 1, 0, 39 } }, busyForNeed70 * 50000, 50, 0, 0, true, false };
    tracker.observe(view, start);
    tracker.noteOrdered({ service, { "a" }, true, row.ordered_ }, true, start);
    view.dataCentres_[0].reclaimable_ = 2;
    view.dataCentres_[0].reclaimableExcluded_ = row.excluded_;
    tracker.observe(view, start + step);
    tracker.dueOrders(view, start + step);
    CHECK(tracker.shortage(service).isActive() == row.isShort_);
}

TEST_CASE("a new holder begins no shortage after engines that its predecessor ordered have returned", "[fleet]")
{
    FleetTracker tracker(withShortages());
    FleetView view { service, { 1, maxEngines, bootTime, 0.18, {} }, { { { "a" }, 1, 0, 39 } }, busyForNeed70 * 50000, 50, 0, 0, true, false };
    SteadyTime now = start;
    for (std::uint64_t reclaimable : { 39, 0, 20 }) {
        view.dataCentres_[0].reclaimable_ = reclaimable;
        tracker.observe(view, now);
        now += bootTime;
    }
    tracker.inheritNeed(service, 70, now);
    tracker.dueOrders(view, now);
    CHECK_FALSE(tracker.shortage(service).isActive());
}

TEST_CASE("a lower need dismisses no engine that serves while a shortage lasts", "[fleet]")
{
    // On-demand engines would take the place of the dismissed reclaimable ones.
    Replay replay({ busyForNeed70, { allLost[0] }, milliseconds(40000), milliseconds(1000000), 2 }, withShortages());
    CHECK(replay.leastEngines(milliseconds(0), milliseconds(29500)) == 78);
    CHECK(replay.leastEngines(bootTime + 2 * step, milliseconds(29500)) == 78 + 39);
}
