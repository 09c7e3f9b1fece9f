//===- lib/Gateway/ReportAggregator.h - reports summed by a data centre's relays --===//
///
/// \file
/// In a large fleet a node does not hear every other one: it reports to relays of
/// its data centre, which exchange their sums with the relays of the others and
/// tell each node the sum of all but itself. What a node sends and hears does not
/// grow with the number of nodes then, and what a relay handles grows with its
/// data centre. Pure: time comes in.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeGroupSums.h"
#include "pistachioloom/Backends.h"
#include "pistachioloom/Duties.h"
#include "pistachioloom/Rollout.h"

#include <set>

namespace pistachioloom {

using LoadTable = std::map<BackendKey, BackendLoad>;

/// Sums of several groups of nodes, on the way to a message.
struct ReportTotals {
    struct Demand {
        double tokensPerSecond_ = 0;
        /// Reading rates times the answers that show them.
        double weightedRate_ = 0;
        std::uint64_t observations_ = 0;
    };

    /// Adds a group: what it told now, and what it counted even if it is silent.
    void add(const NodeGroupSums& group, SteadyTime now);
    /// Takes out what one of the nodes told.
    void remove(const wire::NodeSums& sums, const NodeGroupSums& group);
    wire::NodeSums toMessage() const;

    /// Adds what holds now: loads, levels, rates, what is leaving, the holder. It was
    /// heard \p age ago.
    void addCurrent(const wire::NodeSums& sums, milliseconds age);

    void addRollouts(const wire::NodeSums& sums, milliseconds age);

    std::uint64_t nodes_ = 0;
    std::uint64_t unresponsiveNodes_ = 0;
    LoadTable loads_;
    NamedCounts admitted_;
    NamedCounts levels_;
    std::map<std::string, Demand> demand_;
    std::set<std::string> leaving_;
    std::set<std::string> ended_;
    struct Rollout {
        RolloutState state_;
        /// Since its holder said so.
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

    /// A report of a node of this data centre.
    void applyReport(const wire::NodeReport& report, SteadyTime now);
    /// What a relay of another data centre told of its nodes.
    void applySummary(const wire::RelayReport& summary, SteadyTime now);
    /// Nodes that report here and get digests.
    std::vector<VmId> receivers(SteadyTime now) const;
    /// Relays of another data centre that told of it lately.
    std::vector<VmId> relaysOf(const DataCentreId& dataCentre, SteadyTime now) const;
    /// The sums of this data centre's nodes, for a relay of \p receiver. Usage
    /// is told only to the data centre that has the node which reports it.
    wire::NodeSums summaryFor(const DataCentreId& receiver, SteadyTime now) const;
    /// The totals of all data centres, for digestFor().
    ReportTotals totals(SteadyTime now) const;
    /// The sums of all nodes but \p receiver. Usage is told only to the node that
    /// reports it.
    wire::NodeSums digestFor(const VmId& receiver, const ReportTotals& totals, SteadyTime now) const;

private:
    struct Node {
        std::uint64_t incarnation_ = 0;
        SteadyTime receivedAt_ {};
        NodeGroupSums group_;
    };

    ReportTotals ownTotals(SteadyTime now) const;
    void removeUnresponsive(SteadyTime now);

    std::map<VmId, Node> nodes_;
    std::map<DataCentreId, NodeGroupSums> others_;
    UsageTracker ownUsage_;
    UsageTracker othersUsage_;
    /// Counts of nodes that were forgotten.
    NamedCounts removedNodesAdmitted_;
};

/// What one node told, as the sum over itself.
wire::NodeSums sumsOf(const wire::NodeReport& report);

/// The windows of a message.
std::map<WindowNumber, UsageCounts> usageOf(const google::protobuf::RepeatedPtrField<wire::UsageWindow>& windows);

/// The loads of a message; \p message may have arrays of unequal length, whose
/// missing ends count as zero.
LoadTable loadsOf(const wire::BackendLoads& message);

/// Writes loads into a message.
void putLoads(const LoadTable& loads, wire::BackendLoads& message);

/// Writes windows into a message.
void putUsage(const std::map<WindowNumber, UsageCounts>& windows, google::protobuf::RepeatedPtrField<wire::UsageWindow>& message);

} // namespace pistachioloom
