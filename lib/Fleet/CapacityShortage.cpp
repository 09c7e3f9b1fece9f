//===- lib/Fleet/CapacityShortage.cpp - lost reclaimable engines ----------===//
///
/// \file
/// See CapacityShortage.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Fleet.h"

#include <algorithm>

namespace pistachioloom {

// On-demand engines leave this fraction of the upper bound free in a data centre that lost
// its reclaimable engines. If they took all of it, none could be ordered there, and their
// return would not be noticed.
static constexpr std::uint64_t returnDivisor = 16;

CapacityShortage::CapacityShortage(milliseconds maxDuration)
    : maxDuration_(maxDuration)
{
}

void CapacityShortage::noteLoss(const DataCentreFleet& fleet, std::uint64_t before, SteadyTime now)
{
    if (!maxDuration_.count())
        return;
    Loss& loss = losses_[fleet.dataCentre_];
    loss.lost_ += before - fleet.reclaimable_;
    loss.remaining_ = fleet.reclaimable_;
    loss.mayReturn_ = false;
    lastLossAt_ = now;
    unavailableFor_ = {};
}

void CapacityShortage::observe(const FleetView& view, SteadyTime now)
{
    for (const DataCentreFleet& fleet : view.dataCentres_) {
        auto found = losses_.find(fleet.dataCentre_);
        if (found != losses_.end())
            found->second.remaining_ = std::min(found->second.remaining_, fleet.reclaimable_);
    }
    if (!view.isPlatformAvailable_)
        unavailableFor_ += now - std::max(observedAt_, lastLossAt_);
    observedAt_ = now;
    bool isOver = now - lastLossAt_ - unavailableFor_ >= maxDuration_;
    if (!losses_.empty() && view.isPlatformAvailable_ && isOver)
        end(std::nullopt);
}

void CapacityShortage::noteOrderAccepted(const DataCentreId& dataCentre)
{
    auto found = losses_.find(dataCentre);
    if (found != losses_.end())
        found->second.mayReturn_ = true;
}

void CapacityShortage::noteTakeover()
{
    for (auto& [dataCentre, loss] : losses_)
        loss.mayReturn_ = true;
}

void CapacityShortage::review(const FleetDemand& demand, const std::vector<DataCentreFleet>& fleets, milliseconds bootTime, SteadyTime now)
{
    auto returned = std::find_if(fleets.begin(), fleets.end(), [&](const DataCentreFleet& fleet) { return hasReturned(fleet, demand); });
    if (returned != fleets.end() && now - lastLossAt_ >= bootTime)
        end(returned->dataCentre_);
    isActive_ |= !losses_.empty() && demand.needed_ > demand.maxEngines_;
}

std::uint64_t CapacityShortage::reservedIn(const DataCentreId& dataCentre, std::uint64_t maxEngines) const
{
    auto found = losses_.find(dataCentre);
    return found == losses_.end() ? 0 : found->second.remaining_ + (maxEngines + returnDivisor - 1) / returnDivisor;
}

bool CapacityShortage::hasReturned(const DataCentreFleet& fleet, const FleetDemand& demand) const
{
    auto found = losses_.find(fleet.dataCentre_);
    if (found == losses_.end() || !found->second.mayReturn_ || fleet.reclaimable_ <= found->second.remaining_)
        return false;
    std::uint64_t onDemand = std::max(fleet.onDemand_, fleet.onDemandOrdered_);
    std::uint64_t wanted = std::min(demand.reclaimablePerDataCentre_, demand.maxEngines_ - std::min(demand.maxEngines_, onDemand));
    return 2 * fleet.reclaimable_ >= wanted;
}

void CapacityShortage::end(std::optional<DataCentreId> returned)
{
    losses_.clear();
    isActive_ = false;
    returned_ = std::move(returned);
}

} // namespace pistachioloom
