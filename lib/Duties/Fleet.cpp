//===- lib/Duties/Fleet.cpp - how many engines are ordered ------------------===//
///
/// \file
/// See planFleet().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"

#include <algorithm>

namespace pistachioloom {

std::vector<FleetOrder> planFleet(const ServiceName& service, const FleetDemand& demand, const std::vector<FleetPlace>& places)
{
    std::uint64_t reclaimable = 0;
    for (const FleetPlace& place : places)
        reclaimable += std::min(place.reclaimable_, demand.reclaimablePerPlace_);
    std::uint64_t lasting = demand.needed_ - std::min(demand.needed_, reclaimable);

    std::vector<const FleetPlace*> byPrice;
    for (const FleetPlace& place : places)
        byPrice.push_back(&place);
    std::stable_sort(byPrice.begin(), byPrice.end(), [](const FleetPlace* left, const FleetPlace* right) { return left->price_ < right->price_; });

    // One at a time in turn, so that no data centre holds most of them.
    std::map<DataCentreId, std::uint64_t> share;
    std::uint64_t room = demand.most_ - std::min(demand.most_, demand.reclaimablePerPlace_);
    std::uint64_t placed = 0;
    for (std::uint64_t round = 0; round < room; ++round) {
        for (const FleetPlace* place : byPrice) {
            bool isLeast = round < demand.least_;
            if (!isLeast && placed >= lasting)
                continue;
            ++share[place->dataCentre_];
            ++placed;
        }
    }
    std::vector<FleetOrder> orders;
    for (const FleetPlace& place : places) {
        orders.push_back({ service, place.dataCentre_, true, std::min(demand.reclaimablePerPlace_, demand.most_) });
        orders.push_back({ service, place.dataCentre_, false, share[place.dataCentre_] });
    }
    return orders;
}

} // namespace pistachioloom
