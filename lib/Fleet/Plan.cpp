//===- lib/Fleet/Plan.cpp - engines needed, and where to order them -------===//
///
/// \file
/// See enginesFor() and planFleet().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Fleet.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pistachioloom {

std::uint64_t enginesFor(double tokensPerSecond, double prefillPerMs, double margin)
{
    assert(prefillPerMs > 0 && margin >= 0 && "the prefill rate must be positive and the margin must not be negative");
    double busy = tokensPerSecond / (prefillPerMs * 1000);
    return static_cast<std::uint64_t>(std::ceil(busy + margin * std::sqrt(busy)));
}

/// Capacity of a data centre that on-demand engines leave to reclaimable ones.
static std::uint64_t reservedIn(const DataCentreFleet& fleet, const FleetDemand& demand)
{
    // Only reclaimable engines that are present use up capacity. Those that are merely
    // wanted do not, since they may not be available.
    if (!demand.isShort_)
        return std::min(fleet.reclaimable_, demand.reclaimablePerDataCentre_);
    return std::min(demand.maxEngines_, std::max(fleet.reclaimable_, fleet.reclaimableReserved_));
}

std::vector<FleetOrder> planFleet(const ServiceName& service, const FleetDemand& demand, const std::vector<DataCentreFleet>& fleets)
{
    std::uint64_t reclaimable = 0;
    std::uint64_t largest = 0;
    for (const DataCentreFleet& fleet : fleets) {
        std::uint64_t counted = std::min(fleet.reclaimable_, demand.reclaimablePerDataCentre_);
        reclaimable += counted;
        largest = std::max(largest, counted);
    }
    std::uint64_t reliable = reclaimable - static_cast<std::uint64_t>(std::ceil(static_cast<double>(largest) * demand.reserveShare_));
    if (demand.isShort_)
        reliable = 0;
    std::uint64_t onDemand = demand.needed_ - std::min(demand.needed_, reliable);

    std::vector<const DataCentreFleet*> byCost;
    for (const DataCentreFleet& fleet : fleets)
        byCost.push_back(&fleet);
    std::stable_sort(byCost.begin(), byCost.end(), [](const DataCentreFleet* left, const DataCentreFleet* right) { return left->cost_ < right->cost_; });

    // Engines that are present or booting stay where they are unless fewer are wanted: an
    // engine that is replaced in another data centre is missing for its boot time.
    std::map<DataCentreId, std::uint64_t> share;
    std::uint64_t assigned = 0;
    std::uint64_t present = 0;
    // Reclaimable engines that are present count towards the lower bound, since on-demand
    // ones cost several times as much.
    auto minOnDemand = [&](const DataCentreFleet& fleet) { return demand.minEngines_ - std::min(demand.minEngines_, fleet.reclaimable_); };
    auto expected = [&](const DataCentreFleet& fleet) { return std::max({ fleet.onDemand_, fleet.onDemandOrdered_, minOnDemand(fleet) }); };
    for (const DataCentreFleet& fleet : fleets)
        present += expected(fleet);
    // During a shortage no on-demand engine is dismissed, apart from booting ones whose
    // capacity reclaimable engines have taken.
    bool keepsAll = demand.isShort_ || present <= onDemand;
    for (const DataCentreFleet& fleet : fleets) {
        std::uint64_t capacity = demand.isShort_ ? std::max(fleet.onDemand_, demand.maxEngines_ - reservedIn(fleet, demand)) : demand.maxEngines_;
        std::uint64_t kept = std::min({ keepsAll ? expected(fleet) : minOnDemand(fleet), capacity, demand.maxEngines_ });
        share[fleet.dataCentre_] = kept;
        assigned += kept;
    }
    // The remaining engines are assigned one at a time to the data centre with fewest
    // on-demand engines, so that no data centre holds most of them.
    for (std::uint64_t level = 0; level < demand.maxEngines_; ++level) {
        for (const DataCentreFleet* fleet : byCost) {
            bool hasCapacity = level + reservedIn(*fleet, demand) < demand.maxEngines_;
            if (share[fleet->dataCentre_] != level || assigned >= onDemand || !hasCapacity)
                continue;
            ++share[fleet->dataCentre_];
            ++assigned;
        }
    }
    std::vector<FleetOrder> orders;
    for (const DataCentreFleet& fleet : fleets) {
        std::uint64_t wanted = share[fleet.dataCentre_];
        // During a shortage a lower need dismisses no reclaimable engine that serves, since
        // on-demand ones would take its place.
        std::uint64_t reclaimables = std::max(demand.reclaimablePerDataCentre_, demand.isShort_ ? fleet.reclaimable_ : 0);
        orders.push_back({ service, fleet.dataCentre_, true, std::min(reclaimables, demand.maxEngines_ - wanted) });
        orders.push_back({ service, fleet.dataCentre_, false, wanted });
    }
    return orders;
}

} // namespace pistachioloom
