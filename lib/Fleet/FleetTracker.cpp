//===- lib/Fleet/FleetTracker.cpp - orders of engines over time -----------===//
///
/// \file
/// See FleetTracker.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Fleet.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

// A data centre's reclaimable engines count as reclaimed if less than this fraction of
// those at the previous observation remains: all of them leave together, and the registry
// shows it within two reads.
static constexpr double reclaimedThreshold = 0.5;

std::uint64_t FleetView::onDemand() const
{
    std::uint64_t sum = 0;
    for (const DataCentreFleet& fleet : dataCentres_)
        sum += fleet.onDemand_;
    return sum;
}

std::uint64_t FleetView::reclaimable() const
{
    std::uint64_t sum = 0;
    for (const DataCentreFleet& fleet : dataCentres_)
        sum += fleet.reclaimable_;
    return sum;
}

FleetTracker::FleetTracker(FleetSettings settings)
    : settings_(settings)
{
}

const FleetTracker::LastOrder* FleetTracker::lastOrder(const FleetOrder& order) const
{
    auto found = lastOrders_.find({ order.service_, order.dataCentre_, order.isReclaimable_ });
    return found == lastOrders_.end() ? nullptr : &found->second;
}

void FleetTracker::observe(const FleetView& view, SteadyTime now)
{
    Registrations& known = registrations_[view.service_];
    // Growth of reclaimable engines is ignored: they register later, as they are ordered.
    bool isFirst = view.engines() && !known.hasObservedEngines_;
    if (isFirst || view.onDemand() > known.maxOnDemand_) {
        known.maxOnDemand_ = view.onDemand();
        known.grewAt_ = now;
    }
    known.hasObservedEngines_ |= view.engines() > 0;
    // If requests have arrived for long enough to know their rate and no engine has
    // registered, all engines are lost. Reclaimable engines alone settle the registrations
    // as well: a holder that waited for on-demand ones would order none when all
    // reclaimable ones are reclaimed.
    bool isLost = !known.hasObservedEngines_ && view.tokensPerSecond_;
    known.isSettled_ |= isLost || (known.hasObservedEngines_ && now - known.grewAt_ >= settings_.settleTime_);
    observeReclaims(view, now);
    shortageOf(view.service_).observe(view, now);
}

void FleetTracker::observeReclaims(const FleetView& view, SteadyTime now)
{
    Registrations& known = registrations_[view.service_];
    for (const DataCentreFleet& fleet : view.dataCentres_) {
        std::uint64_t& before = known.reclaimable_[fleet.dataCentre_];
        const LastOrder* ordered = lastOrder({ view.service_, fleet.dataCentre_, true, 0 });
        bool wasDismissed = ordered && ordered->wanted_ <= fleet.reclaimable_;
        auto isBelowThreshold = [&](std::uint64_t engines) { return static_cast<double>(engines) < reclaimedThreshold * static_cast<double>(before); };
        if (isBelowThreshold(fleet.reclaimable_) && !wasDismissed)
            known.reclaimedAt_ = now;
        // The end of a roll-out excludes engines that are still registered.
        if (isBelowThreshold(fleet.reclaimable_ + fleet.reclaimableExcluded_) && !wasDismissed)
            shortageOf(view.service_).noteLoss(fleet, before, now);
        before = fleet.reclaimable_;
    }
}

/// The number of engines at which the running requests occupy at most the fraction
/// \p targetUtilisation of all slots.
static std::uint64_t enginesForSlots(const FleetView& view, double targetUtilisation)
{
    if (!view.slots_ || !view.engines())
        return 0;
    double perEngine = static_cast<double>(view.slots_) / static_cast<double>(view.engines());
    return static_cast<std::uint64_t>(std::ceil(static_cast<double>(view.slotsTaken_) / (perEngine * targetUtilisation)));
}

/// The engines that the service needs now. Before the demand is known the need that was
/// inherited from the previous holder is used, or the highest number of engines present,
/// so that a new holder changes nothing. Sets in \p fleets what a shortage reserves.
FleetDemand FleetTracker::demandOf(const FleetView& view, std::vector<DataCentreFleet>& fleets, SteadyTime now)
{
    std::uint64_t& before = lastNeeds_[view.service_];
    std::uint64_t needed = before;
    // After this node has sent orders, the reclaimable engines present may exceed the need,
    // so only the on-demand ones are counted.
    if (!servicesWithInheritedNeed_.contains(view.service_))
        needed = std::max(before, lastOrders_.empty() ? view.engines() : view.onDemand());
    if (view.tokensPerSecond_)
        needed = std::max(enginesFor(*view.tokensPerSecond_ * (1 + settings_.growth_), view.prefillPerMs_, settings_.margin_), enginesForSlots(view, settings_.targetUtilisation_));
    // Without this bound a node that receives few reports would dismiss engines that the
    // other nodes need.
    if (!view.isComplete_)
        needed = std::max(needed, before);
    // The highest recent need is used, so that engines are not dismissed shortly before
    // they are needed again.
    std::deque<Need>& recent = recentNeeds_[view.service_];
    recent.push_back({ now, needed });
    while (now - recent.front().observedAt_ > settings_.reclaimableStabilisationWindow_)
        recent.pop_front();
    FleetDemand demand { 0, view.bounds_.minEngines_, view.bounds_.maxEngines_, 0, settings_.reserveShare_ };
    std::uint64_t highest = 0;
    for (const Need& need : recent) {
        highest = std::max(highest, need.engines_);
        if (now - need.observedAt_ <= settings_.stabilisationWindow_)
            demand.needed_ = std::max(demand.needed_, need.engines_);
    }
    auto reclaimable = static_cast<std::uint64_t>(std::ceil(static_cast<double>(highest) * settings_.reclaimableShare_));
    std::uint64_t capacity = demand.maxEngines_ - std::min(demand.maxEngines_, demand.minEngines_);
    demand.reclaimablePerDataCentre_ = std::min(capacity, reclaimable);
    CapacityShortage& shortage = shortageOf(view.service_);
    shortage.review(demand, fleets, view.bounds_.bootTime_, now);
    if (shortage.isActive()) {
        // The waits at the few engines that remain say little about their speed, and refused
        // requests show only part of their demand.
        demand.isShort_ = true;
        demand.needed_ = highest;
        for (DataCentreFleet& fleet : fleets)
            fleet.reclaimableReserved_ = shortage.reservedIn(fleet.dataCentre_, demand.maxEngines_);
    }
    before = demand.needed_;
    return demand;
}

bool FleetTracker::isDue(const FleetOrder& order, std::uint64_t present, const Registrations& registrations, SteadyTime now) const
{
    bool isDismissal = order.wanted_ < present;
    // An order that is sent before all engines have registered would dismiss those that
    // have not registered yet.
    // Orders of additional reclaimable engines are exempt: they dismiss nothing, and their
    // engines take their boot time to register.
    if (!registrations.isSettled_ && (!order.isReclaimable_ || order.wanted_ <= present))
        return false;
    if (!order.isReclaimable_ && isDismissal && registrations.reclaimedAt_ && now - *registrations.reclaimedAt_ < settings_.dismissalCooldown_)
        return false;
    const LastOrder* last = lastOrder(order);
    if (!last)
        return true;
    // The rejection means that the platform has no such engines now, so an order of another
    // number would be rejected as well.
    if (!last->isAccepted_ && order.wanted_ > present && now - last->notedAt_ < settings_.rejectedRepeatInterval_)
        return false;
    // An accepted order needs no repetition yet, since its engines take time to boot.
    bool isSame = last->wanted_ == order.wanted_ && last->isAccepted_;
    return !isSame || (present != order.wanted_ && now - last->notedAt_ >= settings_.repeatInterval_);
}

std::vector<DataCentreFleet> FleetTracker::fleetsWithOrders(const FleetView& view) const
{
    std::vector<DataCentreFleet> fleets = view.dataCentres_;
    for (DataCentreFleet& fleet : fleets) {
        const LastOrder* last = lastOrder({ view.service_, fleet.dataCentre_, false, 0 });
        fleet.onDemandOrdered_ = last && last->isAccepted_ ? last->wanted_ - std::min(last->wanted_, fleet.onDemandExcluded_) : 0;
    }
    return fleets;
}

std::vector<FleetOrder> FleetTracker::dueOrders(const FleetView& view, SteadyTime now)
{
    std::vector<DataCentreFleet> fleets = fleetsWithOrders(view);
    FleetDemand demand = demandOf(view, fleets, now);
    // The platform applies its bounds to all engines present, including those of the new
    // version, so an order could make it dismiss some of them.
    if (view.isRollingOut_ && view.engines() >= demand.needed_)
        return {};
    std::vector<FleetOrder> dismissals;
    std::vector<FleetOrder> additions;
    std::map<DataCentreId, const DataCentreFleet*> fleetOf;
    // On-demand engines as ordered: the platform limits reclaimable engines to the capacity
    // that these leave.
    std::map<DataCentreId, std::uint64_t> onDemand;
    for (const DataCentreFleet& fleet : fleets) {
        const LastOrder* last = lastOrder({ view.service_, fleet.dataCentre_, false, 0 });
        onDemand[fleet.dataCentre_] = last && last->isAccepted_ ? fleet.onDemandOrdered_ : fleet.onDemand_;
        fleetOf[fleet.dataCentre_] = &fleet;
    }
    std::vector<FleetOrder> orders = planFleet(view.service_, demand, fleets);
    std::stable_partition(orders.begin(), orders.end(), [](const FleetOrder& order) { return !order.isReclaimable_; });
    for (FleetOrder& order : orders) {
        const DataCentreFleet& fleet = *fleetOf[order.dataCentre_];
        std::uint64_t present = order.isReclaimable_ ? fleet.reclaimable_ : fleet.onDemand_;
        if (order.isReclaimable_)
            order.wanted_ = std::min(order.wanted_, demand.maxEngines_ - std::min(demand.maxEngines_, onDemand[order.dataCentre_]));
        if (view.isRollingOut_ && order.wanted_ < present)
            continue;
        if (!order.isReclaimable_) {
            order.wanted_ += fleet.onDemandExcluded_;
            present += fleet.onDemandExcluded_;
        }
        if (!isDue(order, present, registrations_[view.service_], now))
            continue;
        if (!order.isReclaimable_)
            onDemand[order.dataCentre_] = order.wanted_;
        (order.wanted_ < present ? dismissals : additions).push_back(order);
    }
    dismissals.insert(dismissals.end(), additions.begin(), additions.end());
    return dismissals;
}

void FleetTracker::inheritNeed(const ServiceName& service, std::uint64_t engines, SteadyTime now)
{
    servicesWithInheritedNeed_.insert(service);
    lastNeeds_[service] = engines;
    recentNeeds_[service].push_back({ now, engines });
    shortageOf(service).noteTakeover();
}

void FleetTracker::noteOrdered(const FleetOrder& order, bool isAccepted, SteadyTime now)
{
    lastOrders_[{ order.service_, order.dataCentre_, order.isReclaimable_ }] = { order.wanted_, isAccepted, now };
    if (isAccepted && order.isReclaimable_ && order.wanted_ > registrations_[order.service_].reclaimable_[order.dataCentre_])
        shortageOf(order.service_).noteOrderAccepted(order.dataCentre_);
}

CapacityShortage& FleetTracker::shortageOf(const ServiceName& service)
{
    return shortages_.try_emplace(service, settings_.maxShortage_).first->second;
}

CapacityShortage FleetTracker::shortage(const ServiceName& service) const
{
    auto found = shortages_.find(service);
    return found == shortages_.end() ? CapacityShortage(settings_.maxShortage_) : found->second;
}

std::uint64_t FleetTracker::needed(const ServiceName& service) const
{
    auto found = lastNeeds_.find(service);
    return found == lastNeeds_.end() ? 0 : found->second;
}

} // namespace pistachioloom
