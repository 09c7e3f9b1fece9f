//===- lib/Fleet/Plan.cpp - engines of one moment -------------------------===//
///
/// \file
/// See planFleet().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Fleet.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pistachioloom {

std::uint64_t enginesFor(double tokensPerSecond, double prefillPerMs, double margin)
{
    assert(prefillPerMs > 0 && margin >= 0 && "rates are positive");
    double busy = tokensPerSecond / (prefillPerMs * 1000);
    return static_cast<std::uint64_t>(std::ceil(busy + margin * std::sqrt(busy)));
}

std::vector<FleetOrder> planFleet(const ServiceName& service, const FleetDemand& demand, const std::vector<FleetPlace>& places)
{
    std::uint64_t reclaimable = 0;
    std::uint64_t largest = 0;
    for (const FleetPlace& place : places) {
        std::uint64_t counted = std::min(place.reclaimable_, demand.reclaimablePerPlace_);
        reclaimable += counted;
        largest = std::max(largest, counted);
    }
    std::uint64_t safe = reclaimable - static_cast<std::uint64_t>(std::ceil(static_cast<double>(largest) * demand.reserveShare_));
    std::uint64_t lasting = demand.needed_ - std::min(demand.needed_, safe);

    std::vector<const FleetPlace*> byPrice;
    for (const FleetPlace& place : places)
        byPrice.push_back(&place);
    std::stable_sort(byPrice.begin(), byPrice.end(), [](const FleetPlace* left, const FleetPlace* right) { return left->price_ < right->price_; });

    // Engines that are there, or on their way, stay while more are wanted than there are:
    // one that moves to another data centre is missing for its boot time.
    std::map<DataCentreId, std::uint64_t> share;
    std::uint64_t placed = 0;
    std::uint64_t present = 0;
    // Reclaimable engines that are there count towards the least number, too. Lasting
    // ones for it cost several times as much.
    auto floorOf = [&](const FleetPlace& place) { return demand.minEngines_ - std::min(demand.minEngines_, place.reclaimable_); };
    auto expected = [&](const FleetPlace& place) { return std::max({ place.lasting_, place.lastingOrdered_, floorOf(place) }); };
    for (const FleetPlace& place : places)
        present += expected(place);
    for (const FleetPlace& place : places) {
        std::uint64_t kept = std::min(present <= lasting ? expected(place) : floorOf(place), demand.maxEngines_);
        share[place.dataCentre_] = kept;
        placed += kept;
    }
    // The others one at a time where fewest are, so that no data centre holds most.
    for (std::uint64_t level = 0; level < demand.maxEngines_; ++level) {
        for (const FleetPlace* place : byPrice) {
            // What is there of the other kind takes room, what is only wanted
            // does not: it may not be to be had.
            bool hasRoom = level + std::min(place->reclaimable_, demand.reclaimablePerPlace_) < demand.maxEngines_;
            if (share[place->dataCentre_] != level || placed >= lasting || !hasRoom)
                continue;
            ++share[place->dataCentre_];
            ++placed;
        }
    }
    std::vector<FleetOrder> orders;
    for (const FleetPlace& place : places) {
        std::uint64_t wanted = share[place.dataCentre_];
        orders.push_back({ service, place.dataCentre_, true, std::min(demand.reclaimablePerPlace_, demand.maxEngines_ - wanted) });
        orders.push_back({ service, place.dataCentre_, false, wanted });
    }
    return orders;
}

} // namespace pistachioloom
