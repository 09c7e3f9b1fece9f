//===- lib/Gateway/ReportAggregator.h - aggregated reports ----------------===//
///
/// \file
/// In a large fleet a node does not receive the reports of every other node. It reports
/// to relays of its data centre, which exchange their sums with the relays of other data
/// centres and send each node the sums of all other nodes. The traffic of a node then
/// does not grow with the number of nodes, and the traffic of a relay grows with its data
/// centre. The class does no I/O and takes the time as a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeGroupSums.h"
#include "pistachioloom/Backends.h"
#include "pistachioloom/Duties.h"
#include "pistachioloom/Rollout.h"

#include <optional>
#include <set>

namespace pistachioloom {

/// Maximum payload of a UDP datagram over IPv4.
inline constexpr std::size_t maxDatagramSize = 65507;

using LoadTable = std::map<BackendKey, BackendLoad>;

/// Accumulates the sums of several groups of nodes for a message.
struct ReportTotals {
    struct Demand {
        double tokensPerSecond_ = 0;
        /// Sum of the prefill rates, each multiplied by its number of observations.
        double weightedRate_ = 0;
        std::uint64_t observations_ = 0;
        SpeedMoments moments_;
    };

    /// Adds a group: its current sums, and its counts even if it is unresponsive.
    void add(const NodeGroupSums& group, SteadyTime now);
    /// Subtracts the sums of one node, whose counts are in \p group.
    void remove(const wire::NodeSums& sums, const NodeGroupSums& group);
    wire::NodeSums toMessage() const;

    /// Adds current state: loads, levels, rates, backend servers that are leaving, and
    /// the holder of the duties. \p age is the time since \p sums was received.
    void addCurrent(const wire::NodeSums& sums, milliseconds age);

    /// Adds statements; the latest of each kind counts.
    void addStatements(const wire::NodeSums& sums, milliseconds age);

    void addRollouts(const wire::NodeSums& sums, milliseconds age);

    std::uint64_t nodes_ = 0;
    std::uint64_t unresponsiveNodes_ = 0;
    LoadTable loads_;
    NamedCounts admitted_;
    NamedCounts levels_;
    std::map<std::string, Demand> demand_;
    std::set<std::string> leaving_;
    std::set<std::string> terminated_;
    /// Statements of backend servers, by server and kind.
    std::map<std::pair<std::string, int>, wire::BackendStatement> statements_;
    struct Rollout {
        RolloutState state_;
        /// Time since the holder of the duties reported this state.
        milliseconds age_ {};
    };
    std::map<std::string, Rollout> rollouts_;
    RolloutTallies tallies_;
    std::string holder_;
    DutyToken dutyToken_ {};
    milliseconds holderAge_ {};
    DutyToken releasedToken_ {};
};

class ReportAggregator {
public:
    explicit ReportAggregator(milliseconds usageWindow);

    /// Applies a report of a node of this data centre.
    void applyReport(const wire::NodeReport& report, SteadyTime now);
    /// Applies the sums that a relay of another data centre sent of its nodes.
    void applySummary(const wire::RelayReport& summary, SteadyTime now);
    /// Applies usage of another data centre that was sent apart from its sums.
    void applyUsage(const DataCentreId& dataCentre, const std::map<WindowNumber, UsageCounts>& windows);
    /// Returns the nodes that report to this relay and receive digests.
    std::vector<VmId> receivers(SteadyTime now) const;
    /// Returns the relays of another data centre that sent sums recently.
    std::vector<VmId> relaysOf(const DataCentreId& dataCentre, SteadyTime now) const;
    /// Returns the sums of this data centre's nodes, for a relay of \p receiver. Usage
    /// and roll-out counts are included only for the data centre of the node that holds
    /// the duties and reports usage to the platform.
    wire::NodeSums summaryFor(const DataCentreId& receiver, SteadyTime now) const;
    /// Returns the totals of all data centres, for digestFor().
    ReportTotals totals(SteadyTime now) const;
    /// Returns the sums of all nodes except \p receiver. Usage and roll-out counts are
    /// included only for the node that holds the duties and reports usage to the
    /// platform.
    wire::NodeSums digestFor(const VmId& receiver, const ReportTotals& totals, SteadyTime now) const;

    /// Returns what the totals contain of \p receiver, if it subtracts this itself, so that
    /// the totals are encoded once for all receivers. Returns nullopt if it needs
    /// digestFor(): it is of an older version, or reports usage to the platform.
    std::optional<wire::NodeSums> ownPartOf(const VmId& receiver, SteadyTime now) const;

private:
    struct Node {
        std::uint64_t incarnation_ = 0;
        SteadyTime receivedAt_ {};
        bool takesCommonSums_ = false;
        NodeGroupSums group_;
    };

    ReportTotals ownTotals(SteadyTime now) const;
    void removeUnresponsive(SteadyTime now);

    /// Nodes of this data centre that report to this relay.
    std::map<VmId, Node> nodes_;
    /// Sums of the other data centres.
    std::map<DataCentreId, NodeGroupSums> others_;
    UsageTracker ownUsage_;
    UsageTracker othersUsage_;
    /// What the removed nodes had admitted, by organisation.
    NamedCounts removedNodesAdmitted_;
};

/// Returns the sums of the single node that sent \p report.
wire::NodeSums sumsOf(const wire::NodeReport& report);

/// Removes \p own, as ownPartOf() returned it, from the totals \p sums.
void subtract(wire::NodeSums& sums, const wire::NodeSums& own);

/// Takes the usage windows out of a relay's message that would otherwise be too large. The
/// largest part of a message to the holder of the duties is usage, which grows with the
/// number of organisations. \returns a message for each window.
std::vector<wire::Datagram> separateUsage(wire::Datagram& datagram);

/// Decodes usage windows.
std::map<WindowNumber, UsageCounts> usageOf(const google::protobuf::RepeatedPtrField<wire::UsageWindow>& windows);

/// Decodes loads. The arrays of \p message may differ in length; missing elements count
/// as zero.
LoadTable loadsOf(const wire::BackendLoads& message);

/// Conversion between the means of observed waits and their messages.
SpeedMoments momentsOf(const wire::DemandReport& message);
void putMoments(const SpeedMoments& moments, wire::DemandReport& message);

/// Encodes loads.
void putLoads(const LoadTable& loads, wire::BackendLoads& message);

/// Encodes usage windows.
void putUsage(const std::map<WindowNumber, UsageCounts>& windows, google::protobuf::RepeatedPtrField<wire::UsageWindow>& message);

} // namespace pistachioloom
