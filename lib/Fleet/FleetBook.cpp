//===- lib/Fleet/FleetBook.cpp - orders over time --------------------------===//
///
/// \file
/// See FleetBook.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Fleet.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

// A data centre lost its reclaimable engines if fewer than this part of them is left:
// all of them go at once, and the registry tells of them within two readings.
static constexpr double partLeft = 0.5;

std::uint64_t FleetView::lasting() const
{
    std::uint64_t sum = 0;
    for (const FleetPlace& place : places_)
        sum += place.lasting_;
    return sum;
}

std::uint64_t FleetView::reclaimable() const
{
    std::uint64_t sum = 0;
    for (const FleetPlace& place : places_)
        sum += place.reclaimable_;
    return sum;
}

FleetBook::FleetBook(FleetSettings settings)
    : settings_(settings)
{
}

const FleetBook::LastOrder* FleetBook::lastOrder(const FleetOrder& order) const
{
    auto found = ordered_.find({ order.service_, order.dataCentre_, order.isReclaimable_ });
    return found == ordered_.end() ? nullptr : &found->second;
}

void FleetBook::observe(const FleetView& view, SteadyTime now)
{
    Registrations& known = registrations_[view.service_];
    // Reclaimable ones come later, as they are ordered.
    bool isFirst = view.engines() && !known.hasAny_;
    if (isFirst || view.lasting() > known.mostLasting_) {
        known.mostLasting_ = view.lasting();
        known.grewAt_ = now;
    }
    known.hasAny_ |= view.engines() > 0;
    // Where requests have come for long enough to know their rate and no engine has
    // registered, all are gone. Also reclaimable ones alone are a settled list: a holder
    // that waited for lasting ones would order none when all reclaimable ones go.
    bool areAllGone = !known.hasAny_ && view.tokensPerSecond_;
    known.isSettled_ |= areAllGone || (known.hasAny_ && now - known.grewAt_ >= settings_.settling_);
    for (const FleetPlace& place : view.places_) {
        std::uint64_t& before = known.reclaimable_[place.dataCentre_];
        const LastOrder* ordered = lastOrder({ view.service_, place.dataCentre_, true, 0 });
        bool wasDismissed = ordered && ordered->wanted_ <= place.reclaimable_;
        if (static_cast<double>(place.reclaimable_) < partLeft * static_cast<double>(before) && !wasDismissed)
            known.reclaimedAt_ = now;
        before = place.reclaimable_;
    }
}

/// Engines whose slots hold what is under way, with some to spare.
static std::uint64_t enginesForSlots(const FleetView& view, double slotsUsed)
{
    if (!view.slots_ || !view.engines())
        return 0;
    double perEngine = static_cast<double>(view.slots_) / static_cast<double>(view.engines());
    return static_cast<std::uint64_t>(std::ceil(static_cast<double>(view.slotsTaken_) / (perEngine * slotsUsed)));
}

/// What the service needs now. Before demand is known, the need of the holder before
/// counts, or the most that was there, so that a new holder changes nothing.
FleetDemand FleetBook::demandOf(const FleetView& view, SteadyTime now)
{
    std::uint64_t& before = needed_[view.service_];
    std::uint64_t needed = before;
    // Engines that were ordered here may be more than what is needed.
    if (!inherited_.contains(view.service_))
        needed = std::max(before, ordered_.empty() ? view.engines() : view.lasting());
    if (view.tokensPerSecond_)
        needed = std::max(enginesFor(*view.tokensPerSecond_ * (1 + settings_.growth_), view.prefillPerMs_, settings_.margin_), enginesForSlots(view, settings_.slotsUsed_));
    // A node that hears few others would dismiss the engines of all the rest.
    if (!view.isWhole_)
        needed = std::max(needed, before);
    // The highest need of a while counts, so that engines are not given up in one
    // moment and missed in the next.
    std::deque<Need>& recent = needs_[view.service_];
    recent.push_back({ now, needed });
    while (now - recent.front().at_ > settings_.reclaimableHold_)
        recent.pop_front();
    FleetDemand demand { 0, view.bounds_.minEngines_, view.bounds_.maxEngines_, 0, settings_.reserveShare_ };
    std::uint64_t highest = 0;
    for (const Need& need : recent) {
        highest = std::max(highest, need.engines_);
        if (now - need.at_ <= settings_.hold_)
            demand.needed_ = std::max(demand.needed_, need.engines_);
    }
    auto reclaimable = static_cast<std::uint64_t>(std::ceil(static_cast<double>(highest) * settings_.reclaimableShare_));
    std::uint64_t room = demand.maxEngines_ - std::min(demand.maxEngines_, demand.minEngines_);
    demand.reclaimablePerPlace_ = std::min(room, reclaimable);
    before = demand.needed_;
    return demand;
}

bool FleetBook::isDue(const FleetOrder& order, std::uint64_t present, const Registrations& registrations, SteadyTime now) const
{
    bool isDismissal = order.wanted_ < present;
    // An order given before all have registered would dismiss the others. Reclaimable
    // engines take their boot time to come, and more of them dismiss nothing.
    if (!registrations.isSettled_ && (!order.isReclaimable_ || order.wanted_ <= present))
        return false;
    if (!order.isReclaimable_ && isDismissal && registrations.reclaimedAt_ && now - *registrations.reclaimedAt_ < settings_.caution_)
        return false;
    const LastOrder* last = lastOrder(order);
    if (!last)
        return true;
    // Nobody has engines of this kind now, however many are asked for.
    if (!last->isTaken_ && order.wanted_ > present && now - last->at_ < settings_.refusedRepeat_)
        return false;
    // An order that was taken is in force, though engines take time to come.
    bool isSame = last->wanted_ == order.wanted_ && last->isTaken_;
    return !isSame || (present != order.wanted_ && now - last->at_ >= settings_.repeat_);
}

std::vector<FleetOrder> FleetBook::dueOrders(const FleetView& view, SteadyTime now)
{
    FleetDemand demand = demandOf(view, now);
    // The platform bounds what is ordered by all engines that are there, those of a new
    // version among them, and would dismiss some of them.
    if (view.holdsAll_ && view.engines() >= demand.needed_)
        return {};
    std::vector<FleetOrder> dismissals;
    std::vector<FleetOrder> additions;
    std::vector<FleetPlace> places = view.places_;
    std::map<DataCentreId, const FleetPlace*> placeOf;
    // Lasting engines as ordered, by which the platform bounds the others.
    std::map<DataCentreId, std::uint64_t> lasting;
    for (FleetPlace& place : places) {
        const LastOrder* last = lastOrder({ view.service_, place.dataCentre_, false, 0 });
        bool isOrdered = last && last->isTaken_;
        std::uint64_t ordered = isOrdered ? last->wanted_ - std::min(last->wanted_, place.lastingApart_) : 0;
        place.lastingOrdered_ = ordered;
        lasting[place.dataCentre_] = isOrdered ? ordered : place.lasting_;
        placeOf[place.dataCentre_] = &place;
    }
    std::vector<FleetOrder> orders = planFleet(view.service_, demand, places);
    std::stable_partition(orders.begin(), orders.end(), [](const FleetOrder& order) { return !order.isReclaimable_; });
    for (FleetOrder& order : orders) {
        const FleetPlace& place = *placeOf[order.dataCentre_];
        std::uint64_t present = order.isReclaimable_ ? place.reclaimable_ : place.lasting_;
        if (order.isReclaimable_)
            order.wanted_ = std::min(order.wanted_, demand.maxEngines_ - std::min(demand.maxEngines_, lasting[order.dataCentre_]));
        if (view.holdsAll_ && order.wanted_ < present)
            continue;
        if (!order.isReclaimable_) {
            order.wanted_ += place.lastingApart_;
            present += place.lastingApart_;
        }
        if (!isDue(order, present, registrations_[view.service_], now))
            continue;
        if (!order.isReclaimable_)
            lasting[order.dataCentre_] = order.wanted_;
        (order.wanted_ < present ? dismissals : additions).push_back(order);
    }
    dismissals.insert(dismissals.end(), additions.begin(), additions.end());
    return dismissals;
}

void FleetBook::inheritNeed(const ServiceName& service, std::uint64_t engines, SteadyTime now)
{
    inherited_.insert(service);
    needed_[service] = engines;
    needs_[service].push_back({ now, engines });
}

void FleetBook::noteOrdered(const FleetOrder& order, bool isTaken, SteadyTime now)
{
    ordered_[{ order.service_, order.dataCentre_, order.isReclaimable_ }] = { order.wanted_, isTaken, now };
}

std::uint64_t FleetBook::needed(const ServiceName& service) const
{
    auto found = needed_.find(service);
    return found == needed_.end() ? 0 : found->second;
}

} // namespace pistachioloom
