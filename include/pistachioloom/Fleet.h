//===- pistachioloom/Fleet.h - how many engines are ordered ----------------===//
///
/// \file
/// From demand and from the engines that are registered follows what to order in
/// each data centre: reclaimable engines while they are to be had, lasting ones for
/// what would be missing without them. Pure: time and counts come in, orders go out.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Routes.h"

#include <deque>
#include <set>
#include <tuple>

namespace pistachioloom {

/// An order of engines for one data centre.
struct FleetOrder {
    ServiceName service_;
    DataCentreId dataCentre_;
    bool isReclaimable_ = false;
    std::uint64_t wanted_ = 0;

    auto operator<=>(const FleetOrder&) const = default;
};

struct FleetSettings {
    /// Engines beyond those that the demand keeps busy, as a multiple of the square
    /// root of that number. 1.3 is 0.6 of the time busy for 4 engines.
    double margin_ = 1.3;
    /// What demand may grow by while engines boot, as a part of it.
    double growth_ = 0.2;
    /// Part of an engine's slots that is planned to be taken: with all of them taken
    /// requests wait for one.
    double targetUtilisation_ = 0.75;
    /// Reclaimable engines wanted in each data centre, as part of those needed
    /// in all.
    double reclaimableShare_ = 0.7;
    /// Part of the largest data centre's reclaimable engines that is not counted on.
    double reserveShare_ = 1;
    /// How often orders are looked at.
    milliseconds period_ { 500 };
    /// The highest need of this time is ordered for, beside the memory of demand.
    milliseconds stabilisationWindow_ { 2000 };
    /// Reclaimable engines are ordered for the highest need of this time: they cost a
    /// fraction of lasting ones, and are what is left when those of other data centres
    /// are taken away.
    milliseconds reclaimableStabilisationWindow_ { 15000 };
    /// No order until no engine has registered for so long, a heartbeat of 1.2 s and
    /// its way: an order dismisses those that have not registered yet.
    milliseconds settleTime_ { 1500 };
    /// Lasting engines are not dismissed for so long after reclaimable ones were taken
    /// away: others may be on their way out, and what is dismissed takes the boot
    /// time to come back.
    milliseconds dismissalCooldown_ { 3000 };
    /// An order is repeated after this time if the engines are not there.
    milliseconds repeatInterval_ { 8000 };
    /// An order that was refused, since no engine was to be had, is repeated
    /// after this time.
    milliseconds rejectedRepeatInterval_ { 2000 };
};

/// Engines of one service in one data centre.
struct DataCentreFleet {
    DataCentreId dataCentre_;
    /// Price of a lasting engine's second there.
    double cost_ = 1;
    /// Engines that take new work.
    std::uint64_t onDemand_ = 0;
    std::uint64_t reclaimable_ = 0;
    /// Lasting engines that are there or on their way, if more were ordered.
    std::uint64_t onDemandOrdered_ = 0;
    /// Lasting engines of a version that may not take the service's requests: the platform
    /// counts them with the others, and the plan does not.
    std::uint64_t onDemandExcluded_ = 0;
};

struct FleetDemand {
    /// Engines that the demand needs, with its margin.
    std::uint64_t needed_ = 0;
    /// Bounds of both kinds together in each data centre.
    std::uint64_t least_ = 0;
    std::uint64_t most_ = 0;
    /// Reclaimable engines to hold in each data centre.
    std::uint64_t reclaimablePerDataCentre_ = 0;
    /// Part of the largest data centre's reclaimable engines that is not counted
    /// on: they go all at once.
    double reserveShare_ = 1;
};

/// Engines that \p tokensPerSecond need when an engine reads \p prefillPerMs: those
/// it would keep busy, and \p margin times the square root of them, since the
/// waits of many engines that share their work vary less than those of few.
std::uint64_t enginesFor(double tokensPerSecond, double prefillPerMs, double margin);

/// What to order in each place: reclaimable engines as wanted, and lasting ones
/// for what would be missing if the data centre with most reclaimable engines
/// lost the reserved part of them; cheapest data centre first.
std::vector<FleetOrder> planFleet(const ServiceName& service, const FleetDemand& demand, const std::vector<DataCentreFleet>& fleets);

/// What is known of one service's engines at a moment.
struct FleetView {
    ServiceName service_;
    FleetBounds bounds_;
    /// Engines that take new work, by data centre.
    std::vector<DataCentreFleet> dataCentres_;
    /// Prompt tokens a second that all nodes are asked for; nullopt until it was seen
    /// for long enough.
    std::optional<double> tokensPerSecond_;
    /// Prompt tokens that an engine reads in a millisecond.
    double prefillPerMs_ = 0;
    /// Slots of all engines, and those that are taken.
    std::uint64_t slots_ = 0;
    std::uint64_t slotsTaken_ = 0;
    /// Demand and slots taken were told by nearly all nodes. What a part of them told
    /// shows that so many engines are needed, but not that no more are.
    bool isComplete_ = true;
    /// A new version is brought in, or goes: nothing is dismissed, and nothing ordered
    /// that is not missing, since an order does not say of which version.
    bool isRollingOut_ = false;

    std::uint64_t onDemand() const;
    std::uint64_t reclaimable() const;
    std::uint64_t engines() const { return onDemand() + reclaimable(); }
};

/// Decides on orders for all services. Not thread-safe.
class FleetTracker {
public:
    explicit FleetTracker(FleetSettings settings);

    /// Notes which engines have come and gone; call it on every node at regular times,
    /// so that a new holder of the duty knows.
    void observe(const FleetView& view, SteadyTime now);
    /// Orders of one service that are not in force yet as far as the registry shows,
    /// those that dismiss engines first: the platform bounds both kinds together.
    std::vector<FleetOrder> dueOrders(const FleetView& view, SteadyTime now);
    /// What another holder of the duty found to be needed; counts as this one's last need.
    void inheritNeed(const ServiceName& service, std::uint64_t engines, SteadyTime now);
    /// The platform took the order, or has no such engines now.
    void noteOrdered(const FleetOrder& order, bool isAccepted, SteadyTime now);
    /// Engines that the service needed when dueOrders() was last called for it.
    std::uint64_t needed(const ServiceName& service) const;

private:
    struct LastOrder {
        std::uint64_t wanted_ = 0;
        bool isAccepted_ = false;
        SteadyTime at_ {};
    };
    /// How a service's engines have come to be known, on any node.
    struct Registrations {
        std::uint64_t maxOnDemand_ = 0;
        /// Engines of either kind were seen.
        bool hasAny_ = false;
        SteadyTime grewAt_ {};
        bool isSettled_ = false;
        /// Reclaimable engines of each data centre when last seen.
        std::map<DataCentreId, std::uint64_t> reclaimable_;
        std::optional<SteadyTime> reclaimedAt_;
    };
    struct Need {
        SteadyTime at_ {};
        std::uint64_t engines_ = 0;
    };

    FleetDemand demandOf(const FleetView& view, SteadyTime now);
    bool isDue(const FleetOrder& order, std::uint64_t present, const Registrations& registrations, SteadyTime now) const;
    const LastOrder* lastOrder(const FleetOrder& order) const;

    const FleetSettings settings_;
    std::map<ServiceName, Registrations> registrations_;
    /// The newest order for each service, data centre and kind.
    std::map<std::tuple<ServiceName, DataCentreId, bool>, LastOrder> ordered_;
    std::map<ServiceName, std::deque<Need>> needs_;
    std::map<ServiceName, std::uint64_t> needed_;
    /// Services whose need was inherited.
    std::set<ServiceName> inherited_;
};

} // namespace pistachioloom
