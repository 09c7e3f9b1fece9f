//===- pistachioloom/Fleet.h - how many engines to order ------------------===//
///
/// \file
/// Plans from the demand and from the registered engines how many engines to order in
/// each data centre: reclaimable engines while they are available, and on-demand ones
/// (which the platform does not reclaim) for the need that reclaimable ones cannot be
/// relied on to cover. This code does no I/O: time and counts are passed in, and orders
/// are returned.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Routes.h"

#include <deque>
#include <set>
#include <tuple>

namespace pistachioloom {

/// An order that sets the number of reclaimable engines, or that of on-demand engines, of
/// one service in one data centre.
struct FleetOrder {
    ServiceName service_;
    DataCentreId dataCentre_;
    bool isReclaimable_ = false;
    std::uint64_t wanted_ = 0;

    auto operator<=>(const FleetOrder&) const = default;
};

struct FleetSettings {
    /// Spare engines in addition to those that the demand keeps busy, as a multiple of
    /// the square root of the number of busy engines. At 1.3, a load that keeps four
    /// engines busy is planned with 6.6 engines, which is a utilisation of 0.6.
    double margin_ = 1.3;
    /// Growth of the demand that is expected while engines boot, as a fraction of the
    /// present demand.
    double growth_ = 0.2;
    /// Fraction of an engine's slots that is planned to be occupied. With all of them
    /// occupied requests would have to wait for a slot.
    double targetUtilisation_ = 0.75;
    /// Reclaimable engines to order in each data centre, as a fraction of the engines
    /// needed in all data centres together.
    double reclaimableShare_ = 0.7;
    /// The plan does not rely on this fraction of the reclaimable engines in the data
    /// centre that has most of them.
    double reserveShare_ = 1;
    /// Interval at which orders are reviewed.
    milliseconds period_ { 500 };
    /// Orders cover the highest need within this time. The demand itself is already a peak
    /// over DemandTiming::peakWindow_.
    milliseconds stabilisationWindow_ { 2000 };
    /// Orders of reclaimable engines cover the highest need within this time. Reclaimable
    /// engines cost a fraction of on-demand ones, and those of one data centre are the
    /// capacity that remains when those of other data centres are reclaimed.
    milliseconds reclaimableStabilisationWindow_ { 15000 };
    /// Only additional reclaimable engines are ordered until this time has passed since
    /// the first engine registered and since the number of on-demand engines last grew.
    /// It covers a heartbeat of 1.2 s and its latency: an order dismisses engines that
    /// have not registered yet.
    milliseconds settleTime_ { 1500 };
    /// On-demand engines are not dismissed for this time after reclaimable ones were
    /// reclaimed: more of those may follow, and an engine that was dismissed takes its
    /// boot time to be replaced.
    milliseconds dismissalCooldown_ { 3000 };
    /// An order is repeated after this time if its engines have not registered.
    milliseconds repeatInterval_ { 8000 };
    /// An order that the platform rejected because it had no engines available is
    /// repeated after this time.
    milliseconds rejectedRepeatInterval_ { 2000 };
    /// A shortage of reclaimable engines ends at the latest when this time has passed since
    /// the last loss; see CapacityShortage. An on-demand engine costs 5.6 times as much as a
    /// reclaimable one, so that 30 s are long enough for most deployments. 0 disables shortages.
    milliseconds maxShortage_ { 0 };
};

/// Engines of one service in one data centre.
struct DataCentreFleet {
    DataCentreId dataCentre_;
    /// Cost of an on-demand engine per second.
    double cost_ = 1;
    /// Engines that accept new work.
    std::uint64_t onDemand_ = 0;
    std::uint64_t reclaimable_ = 0;
    /// On-demand engines of the last order that the platform accepted, whether they have
    /// registered or not; 0 if it accepted none.
    std::uint64_t onDemandOrdered_ = 0;
    /// On-demand engines of a version that may not receive the service's requests. The
    /// platform counts them with the others, but the plan does not.
    std::uint64_t onDemandExcluded_ = 0;
    /// Reclaimable engines of such a version. They do not serve, but were not reclaimed.
    std::uint64_t reclaimableExcluded_ = 0;
    /// Engines by which on-demand ones stay below the upper bound during a shortage, so that
    /// reclaimable ones can return; see CapacityShortage.
    std::uint64_t reclaimableReserved_ = 0;
};

struct FleetDemand {
    /// Engines that the demand needs, including the margin.
    std::uint64_t needed_ = 0;
    /// Bounds in each data centre for on-demand and reclaimable engines together.
    std::uint64_t minEngines_ = 0;
    std::uint64_t maxEngines_ = 0;
    /// Reclaimable engines to order in each data centre.
    std::uint64_t reclaimablePerDataCentre_ = 0;
    /// The plan does not rely on this fraction of the reclaimable engines in the data
    /// centre that has most of them, since they are all reclaimed together.
    double reserveShare_ = 1;
    /// Whether the plan relies on no reclaimable engine; see CapacityShortage.
    bool isShort_ = false;
};

/// Engines needed for \p tokensPerSecond prompt tokens if an engine reads \p prefillPerMs
/// tokens in a millisecond: the engines that this load keeps busy, and \p margin times
/// the square root of their number, since queueing delays vary less with many engines
/// that share the load than with few.
std::uint64_t enginesFor(double tokensPerSecond, double prefillPerMs, double margin);

/// Plans the orders for each data centre: reclaimable engines as wanted, and on-demand
/// ones for the need that would remain uncovered if the data centre with most reclaimable
/// engines lost the reserved fraction of them. Cheaper data centres are filled first.
/// During a shortage on-demand engines are planned for the whole need, and neither they nor
/// reclaimable engines that serve are dismissed.
std::vector<FleetOrder> planFleet(const ServiceName& service, const FleetDemand& demand, const std::vector<DataCentreFleet>& fleets);

/// A snapshot of one service's engines and demand.
struct FleetView {
    ServiceName service_;
    FleetBounds bounds_;
    /// Engines that accept new work, by data centre.
    std::vector<DataCentreFleet> dataCentres_;
    /// Prompt tokens a second that callers request from all nodes; nullopt until they have
    /// been observed for long enough.
    std::optional<double> tokensPerSecond_;
    /// Prompt tokens that an engine reads in a millisecond.
    double prefillPerMs_ = 0;
    /// The estimates from which it was computed, for the log; see PrefillRate.
    double meanPrefillPerMs_ = 0;
    double fittedPrefillPerMs_ = 0;
    /// Slots of all engines.
    std::uint64_t slots_ = 0;
    /// Slots that running requests occupy.
    std::uint64_t slotsTaken_ = 0;
    /// Whether nearly all nodes reported their demand and occupied slots. Reports of only
    /// some nodes give a lower bound on the engines needed, but no upper bound.
    bool isComplete_ = true;
    /// Whether a new version is being rolled out or removed. Engines are then neither
    /// dismissed nor ordered beyond the need, since an order does not specify a version.
    bool isRollingOut_ = false;
    /// Whether the platform can be reached, so that engines can be ordered.
    bool isPlatformAvailable_ = true;

    std::uint64_t onDemand() const;
    std::uint64_t reclaimable() const;
    std::uint64_t engines() const { return onDemand() + reclaimable(); }
};

/// Decides whether the plan of one service may rely on reclaimable engines. A shortage
/// begins when a data centre has lost more than half of its reclaimable engines without an
/// order, if the need exceeds the upper bound of one data centre: those of the other data
/// centres may follow within seconds, and the last data centre could not carry the load. It
/// ends when reclaimable engines have returned to a data centre that lost them, or
/// FleetSettings::maxShortage_ after the last loss. Time for which the platform is
/// unavailable does not count, since nothing can be ordered then. Not thread-safe.
class CapacityShortage {
public:
    /// Reclaimable engines that a data centre lost.
    struct Loss {
        std::uint64_t lost_ = 0;
        /// The fewest reclaimable engines observed since the loss.
        std::uint64_t remaining_ = 0;
        /// Whether the platform has accepted an order of additional reclaimable engines
        /// since the loss, or may have accepted one of an earlier holder of the duties.
        bool mayReturn_ = false;
    };

    explicit CapacityShortage(milliseconds maxDuration);

    /// Records that the reclaimable engines of a data centre fell from \p before to those of
    /// \p fleet. To be called on every node, like observe().
    void noteLoss(const DataCentreFleet& fleet, std::uint64_t before, SteadyTime now);
    /// Records the engines present, and ends a shortage that has reached its maximum length.
    void observe(const FleetView& view, SteadyTime now);
    /// Records that the platform accepted an order of additional reclaimable engines.
    void noteOrderAccepted(const DataCentreId& dataCentre);
    /// Records that this node has taken over the duties. Which orders the earlier holder had
    /// accepted is not known, so registered engines alone show whether they have returned.
    void noteTakeover();
    /// Begins or ends the shortage for \p demand. Engines that boot in \p bootTime and
    /// registered earlier after the last loss were ordered before it.
    void review(const FleetDemand& demand, const std::vector<DataCentreFleet>& fleets, milliseconds bootTime, SteadyTime now);
    bool isActive() const { return isActive_; }
    /// Losses of the current shortage by data centre, or recent ones that began none.
    const std::map<DataCentreId, Loss>& losses() const { return losses_; }
    /// The data centre whose return ended the last shortage; nullopt if its time had passed.
    const std::optional<DataCentreId>& returned() const { return returned_; }
    /// Engines for which on-demand ones leave room in \p dataCentre below \p maxEngines.
    std::uint64_t reservedIn(const DataCentreId& dataCentre, std::uint64_t maxEngines) const;

private:
    bool hasReturned(const DataCentreFleet& fleet, const FleetDemand& demand) const;
    void end(std::optional<DataCentreId> returned);

    milliseconds maxDuration_;
    std::map<DataCentreId, Loss> losses_;
    SteadyTime lastLossAt_ {};
    SteadyTime observedAt_ {};
    /// Time since the last loss for which the platform was unavailable.
    SteadyTime::duration unavailableFor_ {};
    bool isActive_ = false;
    std::optional<DataCentreId> returned_;
};

/// Decides on the orders of all services. Not thread-safe.
class FleetTracker {
public:
    explicit FleetTracker(FleetSettings settings);

    /// Records which engines have registered and left. To be called on every node at
    /// regular intervals, so that a new holder of the duties knows them.
    void observe(const FleetView& view, SteadyTime now);
    /// Orders of one service that are due because the registered engines differ from the
    /// plan. Orders that dismiss engines come first, since the platform's upper bound
    /// applies to on-demand and reclaimable engines together.
    std::vector<FleetOrder> dueOrders(const FleetView& view, SteadyTime now);
    /// Sets the number of engines that the previous holder of the duties found to be
    /// needed; it is used as this node's own last need.
    void inheritNeed(const ServiceName& service, std::uint64_t engines, SteadyTime now);
    /// Records that the platform accepted the order, or rejected it because it has no such
    /// engines now.
    void noteOrdered(const FleetOrder& order, bool isAccepted, SteadyTime now);
    /// Engines that the service needed when dueOrders() was last called for it.
    std::uint64_t needed(const ServiceName& service) const;
    /// The state of the service's shortage of reclaimable engines.
    CapacityShortage shortage(const ServiceName& service) const;

private:
    struct LastOrder {
        std::uint64_t wanted_ = 0;
        bool isAccepted_ = false;
        SteadyTime notedAt_ {};
    };
    /// Registrations of a service's engines as this node has observed them.
    struct Registrations {
        /// The highest number of on-demand engines observed at one time.
        std::uint64_t maxOnDemand_ = 0;
        /// Whether any engine, on-demand or reclaimable, has been observed.
        bool hasObservedEngines_ = false;
        /// When `maxOnDemand_` last increased, or when the first engine was observed.
        SteadyTime grewAt_ {};
        /// Whether all engines that are running are assumed to have registered; see
        /// FleetSettings::settleTime_.
        bool isSettled_ = false;
        /// Reclaimable engines of each data centre at the last observation.
        std::map<DataCentreId, std::uint64_t> reclaimable_;
        /// When a data centre last lost more than half of its reclaimable engines without an
        /// order to dismiss them.
        std::optional<SteadyTime> reclaimedAt_;
    };
    struct Need {
        SteadyTime observedAt_ {};
        std::uint64_t engines_ = 0;
    };

    CapacityShortage& shortageOf(const ServiceName& service);
    std::vector<DataCentreFleet> fleetsWithOrders(const FleetView& view) const;
    void observeReclaims(const FleetView& view, SteadyTime now);
    FleetDemand demandOf(const FleetView& view, std::vector<DataCentreFleet>& fleets, SteadyTime now);
    bool isDue(const FleetOrder& order, std::uint64_t present, const Registrations& registrations, SteadyTime now) const;
    const LastOrder* lastOrder(const FleetOrder& order) const;

    const FleetSettings settings_;
    std::map<ServiceName, Registrations> registrations_;
    /// The last order for each service and data centre, and for reclaimable (true) or
    /// on-demand (false) engines.
    std::map<std::tuple<ServiceName, DataCentreId, bool>, LastOrder> lastOrders_;
    /// Needs of the last FleetSettings::reclaimableStabilisationWindow_.
    std::map<ServiceName, std::deque<Need>> recentNeeds_;
    /// Engines that each service needed at the last review of its orders.
    std::map<ServiceName, std::uint64_t> lastNeeds_;
    /// Services whose need was inherited from the previous holder.
    std::set<ServiceName> servicesWithInheritedNeed_;
    std::map<ServiceName, CapacityShortage> shortages_;
};

} // namespace pistachioloom
