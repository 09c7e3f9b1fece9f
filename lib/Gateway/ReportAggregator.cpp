//===- lib/Gateway/ReportAggregator.cpp - aggregated reports --------------===//
///
/// \file
/// See ReportAggregator.h.
//===----------------------------------------------------------------------===//
#include "ReportAggregator.h"

#include "BackendNotices.h"
#include "BackendStatements.h"
#include "RolloutMessages.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

namespace {

    // Time after which a stopped node is removed. Its usage is reported within four
    // windows of 5 s.
    constexpr milliseconds nodeRetention { 60000 };
    // Incarnation under which the usage of another data centre is stored. The relays of
    // that data centre send sums of the same nodes, and UsageTracker keeps the highest of
    // them.
    constexpr std::uint64_t anyIncarnation = 0;

    // Maximum number of usage windows in a message. The third newest window is the next
    // one that is reported to the platform.
    constexpr std::size_t maxReportedWindows = 6;
    // Messages up to this size contain their usage windows. The remainder up to
    // maxDatagramSize is for what the receiver subtracts.
    constexpr std::size_t maxWholeMessage = 48UL * 1024;

    std::map<WindowNumber, UsageCounts> newest(std::map<WindowNumber, UsageCounts> windows)
    {
        while (windows.size() > maxReportedWindows)
            windows.erase(windows.begin());
        return windows;
    }

    /// Adds \p ids, or a random part of them that keeps the message small.
    void putNotices(const std::set<std::string>& ids, google::protobuf::RepeatedPtrField<std::string>& message)
    {
        std::vector<std::string> all(ids.begin(), ids.end());
        std::size_t taken = std::min(all.size(), maxNotices);
        std::size_t first = all.empty() ? 0 : randomBits() % all.size();
        for (std::size_t i = 0; i < taken; ++i)
            message.Add(std::string(all[(first + i) % all.size()]));
    }

    /// Adds \p statements, or a random part of them that keeps the message small.
    void putStatements(const std::map<std::pair<std::string, int>, wire::BackendStatement>& statements, google::protobuf::RepeatedPtrField<wire::BackendStatement>& message)
    {
        std::size_t skipped = statements.size() > maxNotices ? randomBits() % (statements.size() - maxNotices + 1) : 0;
        auto next = std::next(statements.begin(), static_cast<std::ptrdiff_t>(skipped));
        for (std::size_t i = 0; i < maxNotices && next != statements.end(); ++i, ++next)
            *message.Add() = next->second;
    }

    void addCounts(NamedCounts& totals, const NamedCounts& counts, double sign = 1)
    {
        for (const auto& [name, count] : counts)
            totals[name] += sign * count;
    }

} // namespace

std::map<WindowNumber, UsageCounts> usageOf(const google::protobuf::RepeatedPtrField<wire::UsageWindow>& message)
{
    std::map<WindowNumber, UsageCounts> windows;
    for (const wire::UsageWindow& reported : message) {
        UsageCounts& counts = windows[{ reported.number() }];
        for (const auto& [organisation, count] : reported.counts())
            counts[{ organisation }] = count;
    }
    return windows;
}

void putUsage(const std::map<WindowNumber, UsageCounts>& windows, google::protobuf::RepeatedPtrField<wire::UsageWindow>& message)
{
    for (const auto& [window, counts] : windows) {
        wire::UsageWindow& reported = *message.Add();
        reported.set_number(window.value_);
        for (const auto& [organisation, count] : counts)
            (*reported.mutable_counts())[organisation.value_] = count;
    }
}

LoadTable loadsOf(const wire::BackendLoads& message)
{
    LoadTable loads;
    for (int i = 0; i < message.backends_size(); ++i) {
        BackendLoad& load = loads[message.backends(i)];
        load.running_ = i < message.running_size() ? message.running(i) : 0;
        load.queuedTokens_ = i < message.queued_tokens_size() ? message.queued_tokens(i) : 0;
        load.waitSamples_ = i < message.wait_samples_size() ? message.wait_samples(i) : 0;
        load.waitRatios_ = i < message.wait_ratios_size() ? message.wait_ratios(i) : 0;
    }
    return loads;
}

void putLoads(const LoadTable& loads, wire::BackendLoads& message)
{
    bool hasSamples = std::any_of(loads.begin(), loads.end(), [](const auto& entry) { return entry.second.waitSamples_ != 0; });
    for (const auto& [backend, load] : loads) {
        if (!load.running_ && !load.queuedTokens_ && !load.waitSamples_)
            continue;
        message.add_backends(backend);
        message.add_running(load.running_);
        message.add_queued_tokens(load.queuedTokens_);
        if (!hasSamples)
            continue;
        message.add_wait_samples(load.waitSamples_);
        message.add_wait_ratios(load.waitRatios_);
    }
}

SpeedMoments momentsOf(const wire::DemandReport& message)
{
    return { static_cast<double>(message.mean_weight()), message.mean_tokens(), message.mean_wait_ms(), message.mean_squared_tokens(), message.mean_tokens_times_wait() };
}

void putMoments(const SpeedMoments& moments, wire::DemandReport& message)
{
    message.set_mean_weight(static_cast<std::uint64_t>(std::llround(moments.weight_)));
    message.set_mean_tokens(moments.meanTokens_);
    message.set_mean_wait_ms(moments.meanWaitMs_);
    message.set_mean_squared_tokens(moments.meanSquaredTokens_);
    message.set_mean_tokens_times_wait(moments.meanTokensTimesWait_);
}

wire::NodeSums sumsOf(const wire::NodeReport& report)
{
    wire::NodeSums sums;
    sums.set_nodes(1);
    *sums.mutable_loads() = report.loads();
    *sums.mutable_quotas() = report.quotas();
    *sums.mutable_usage() = report.usage();
    *sums.mutable_demand() = report.demand();
    *sums.mutable_leaving() = report.leaving();
    *sums.mutable_ended() = report.ended();
    *sums.mutable_statements() = report.statements();
    *sums.mutable_rollouts() = report.rollouts();
    *sums.mutable_rollout_counts() = report.rollout_counts();
    if (report.duty_token()) {
        sums.set_holder(report.vm());
        sums.set_duty_token(report.duty_token());
    }
    sums.set_released_token(report.released_token());
    sums.set_counted_ms(report.counted_ms());
    return sums;
}

std::vector<wire::Datagram> separateUsage(wire::Datagram& datagram)
{
    std::vector<wire::Datagram> separate;
    wire::RelayReport& report = *datagram.mutable_relayed();
    if (datagram.ByteSizeLong() <= maxWholeMessage)
        return separate;
    for (wire::UsageWindow& window : *report.mutable_sums()->mutable_usage()) {
        wire::RelayReport& part = *separate.emplace_back().mutable_relayed();
        part.set_vm(report.vm());
        part.set_data_centre(report.data_centre());
        part.set_is_digest(report.is_digest());
        part.add_usage()->Swap(&window);
    }
    report.mutable_sums()->clear_usage();
    return separate;
}

void subtract(wire::NodeSums& sums, const wire::NodeSums& own)
{
    sums.set_nodes(sums.nodes() - std::min(sums.nodes(), own.nodes()));
    LoadTable ownLoads = loadsOf(own.loads());
    wire::BackendLoads& loads = *sums.mutable_loads();
    for (int i = 0; i < std::min({ loads.backends_size(), loads.running_size(), loads.queued_tokens_size() }); ++i) {
        auto found = ownLoads.find(loads.backends(i));
        if (found == ownLoads.end())
            continue;
        loads.set_running(i, loads.running(i) - std::min(loads.running(i), found->second.running_));
        loads.set_queued_tokens(i, loads.queued_tokens(i) - std::min<std::uint64_t>(loads.queued_tokens(i), found->second.queuedTokens_));
        if (i >= std::min(loads.wait_samples_size(), loads.wait_ratios_size()))
            continue;
        loads.set_wait_samples(i, loads.wait_samples(i) - std::min(loads.wait_samples(i), found->second.waitSamples_));
        loads.set_wait_ratios(i, loads.wait_ratios(i) - std::min(loads.wait_ratios(i), found->second.waitRatios_));
    }
    NamedCounts admitted;
    for (const wire::QuotaReport& quota : own.quotas())
        admitted[quota.organisation()] = quota.admitted();
    for (wire::QuotaReport& quota : *sums.mutable_quotas()) {
        auto found = admitted.find(quota.organisation());
        if (found != admitted.end())
            quota.set_admitted(quota.admitted() - found->second);
    }
    for (wire::DemandReport& demand : *sums.mutable_demand()) {
        for (const wire::DemandReport& ownDemand : own.demand()) {
            if (ownDemand.service() != demand.service())
                continue;
            demand.set_tokens_per_second(std::max(0.0, demand.tokens_per_second() - ownDemand.tokens_per_second()));
            SpeedMoments moments = momentsOf(demand);
            moments.remove(momentsOf(ownDemand));
            putMoments(moments, demand);
        }
    }
}

void ReportTotals::addCurrent(const wire::NodeSums& sums, milliseconds age)
{
    nodes_ += sums.nodes();
    for (const auto& [backend, load] : loadsOf(sums.loads())) {
        BackendLoad& total = loads_[backend];
        total.running_ += load.running_;
        total.queuedTokens_ += load.queuedTokens_;
        total.waitSamples_ += load.waitSamples_;
        total.waitRatios_ += load.waitRatios_;
    }
    // The lowest level counts: a node that starts must not admit what others have
    // admitted already.
    for (const wire::QuotaReport& quota : sums.quotas()) {
        auto [found, isNew] = levels_.try_emplace(quota.organisation(), quota.level());
        found->second = std::min(found->second, quota.level());
    }
    for (const wire::DemandReport& demand : sums.demand()) {
        Demand& total = demand_[demand.service()];
        total.tokensPerSecond_ += demand.tokens_per_second();
        total.weightedRate_ += demand.prefill_per_ms() * static_cast<double>(demand.observations());
        total.observations_ += demand.observations();
        total.moments_.add(momentsOf(demand));
    }
    leaving_.insert(sums.leaving().begin(), sums.leaving().end());
    terminated_.insert(sums.ended().begin(), sums.ended().end());
    addStatements(sums, age);
    addRollouts(sums, age);
    if (sums.duty_token() > dutyToken_.value_) {
        holder_ = sums.holder();
        dutyToken_ = { sums.duty_token() };
        holderAge_ = age + milliseconds(sums.holder_age_ms());
    }
    releasedToken_ = std::max(releasedToken_, DutyToken { sums.released_token() });
}

void ReportTotals::addStatements(const wire::NodeSums& sums, milliseconds age)
{
    for (const wire::BackendStatement& statement : sums.statements()) {
        wire::BackendStatement aged = statement;
        aged.set_age_ms(statement.age_ms() + static_cast<std::uint64_t>(age.count()));
        if (aged.age_ms() > static_cast<std::uint64_t>(statementLifetime.count()))
            continue;
        auto [found, isNew] = statements_.try_emplace({ statement.backend(), statement.kind() }, aged);
        if (!isNew && aged.age_ms() < found->second.age_ms())
            found->second = aged;
    }
}

void ReportTotals::addRollouts(const wire::NodeSums& sums, milliseconds age)
{
    for (const wire::RolloutReport& report : sums.rollouts()) {
        auto state = fromWire(report);
        if (!state)
            continue;
        milliseconds reportAge = age + milliseconds(static_cast<std::int64_t>(report.age_ms()));
        auto [found, isNew] = rollouts_.try_emplace(report.service(), Rollout { *state, reportAge });
        if (found->second.state_ == *state)
            found->second.age_ = std::min(found->second.age_, reportAge);
        else if (!isNew && supersedes(*state, found->second.state_))
            found->second = { *state, reportAge };
    }
    for (const auto& [service, tally] : talliesOf(sums.rollout_counts()))
        tallies_[service].add(tally);
}

void ReportTotals::add(const NodeGroupSums& group, SteadyTime now)
{
    addCounts(admitted_, group.admitted());
    if (const wire::NodeSums* current = group.current(now))
        addCurrent(*current, std::chrono::duration_cast<milliseconds>(now - group.currentReceivedAt()));
    unresponsiveNodes_ += group.unresponsiveNodes(now);
}

void ReportTotals::remove(const wire::NodeSums& sums, const NodeGroupSums& group)
{
    nodes_ -= std::min(nodes_, sums.nodes());
    for (const auto& [backend, load] : loadsOf(sums.loads())) {
        BackendLoad& total = loads_[backend];
        total.running_ -= std::min(total.running_, load.running_);
        total.queuedTokens_ -= std::min(total.queuedTokens_, load.queuedTokens_);
        total.waitSamples_ -= std::min(total.waitSamples_, load.waitSamples_);
        total.waitRatios_ -= std::min(total.waitRatios_, load.waitRatios_);
    }
    for (const auto& [service, tally] : talliesOf(sums.rollout_counts()))
        tallies_[service].remove(tally);
    addCounts(admitted_, group.admitted(), -1);
    for (const wire::DemandReport& demand : sums.demand()) {
        Demand& total = demand_[demand.service()];
        total.tokensPerSecond_ -= demand.tokens_per_second();
        total.moments_.remove(momentsOf(demand));
    }
}

wire::NodeSums ReportTotals::toMessage() const
{
    wire::NodeSums sums;
    sums.set_nodes(nodes_);
    putLoads(loads_, *sums.mutable_loads());
    NamedCounts admitted = admitted_;
    for (const auto& [organisation, level] : levels_)
        admitted.try_emplace(organisation, 0);
    for (const auto& [organisation, count] : admitted) {
        wire::QuotaReport& reported = *sums.add_quotas();
        reported.set_organisation(organisation);
        reported.set_admitted(count);
        auto level = levels_.find(organisation);
        reported.set_level(level == levels_.end() ? 0 : level->second);
    }
    for (const auto& [service, demand] : demand_) {
        wire::DemandReport& reported = *sums.add_demand();
        reported.set_service(service);
        reported.set_tokens_per_second(std::max(0.0, demand.tokensPerSecond_));
        reported.set_observations(demand.observations_);
        reported.set_prefill_per_ms(demand.observations_ ? demand.weightedRate_ / static_cast<double>(demand.observations_) : 0);
        putMoments(demand.moments_, reported);
    }
    putNotices(leaving_, *sums.mutable_leaving());
    putNotices(terminated_, *sums.mutable_ended());
    putStatements(statements_, *sums.mutable_statements());
    for (const auto& [service, rollout] : rollouts_) {
        wire::RolloutReport& report = *sums.add_rollouts();
        report = toWire(rollout.state_);
        report.set_age_ms(static_cast<std::uint64_t>(rollout.age_.count()));
    }
    putTallies(tallies_, *sums.mutable_rollout_counts());
    sums.set_holder(holder_);
    sums.set_duty_token(dutyToken_.value_);
    sums.set_holder_age_ms(static_cast<std::uint64_t>(holderAge_.count()));
    sums.set_released_token(releasedToken_.value_);
    sums.set_silent_nodes(unresponsiveNodes_);
    return sums;
}

ReportAggregator::ReportAggregator(milliseconds usageWindow)
    : ownUsage_(usageWindow)
    , othersUsage_(usageWindow)
{
}

void ReportAggregator::removeUnresponsive(SteadyTime now)
{
    std::erase_if(nodes_, [&](const auto& entry) {
        const Node& node = entry.second;
        if (now - node.receivedAt_ <= nodeRetention)
            return false;
        // The counts of a removed node stay in the totals, which never decrease.
        addCounts(removedNodesAdmitted_, node.group_.admitted());
        ownUsage_.forgetPeer(entry.first);
        return true;
    });
}

void ReportAggregator::applyReport(const wire::NodeReport& report, SteadyTime now)
{
    removeUnresponsive(now);
    VmId vm { report.vm() };
    Node& node = nodes_[vm];
    node.incarnation_ = report.incarnation();
    node.receivedAt_ = now;
    node.takesCommonSums_ = report.takes_common_sums();
    (void)node.group_.applySums(vm, report.incarnation(), sumsOf(report), now);
    ownUsage_.setPeer(vm, report.incarnation(), usageOf(report.usage()));
}

void ReportAggregator::applySummary(const wire::RelayReport& summary, SteadyTime now)
{
    (void)others_[{ summary.data_centre() }].applySums({ summary.vm() }, summary.incarnation(), summary.sums(), now);
    applyUsage({ summary.data_centre() }, usageOf(summary.sums().usage()));
}

void ReportAggregator::applyUsage(const DataCentreId& dataCentre, const std::map<WindowNumber, UsageCounts>& windows)
{
    othersUsage_.setPeer({ dataCentre.value_ }, anyIncarnation, windows);
}

std::vector<VmId> ReportAggregator::receivers(SteadyTime now) const
{
    std::vector<VmId> receivers;
    for (const auto& [vm, node] : nodes_) {
        if (node.group_.current(now))
            receivers.push_back(vm);
    }
    return receivers;
}

std::vector<VmId> ReportAggregator::relaysOf(const DataCentreId& dataCentre, SteadyTime now) const
{
    auto found = others_.find(dataCentre);
    return found == others_.end() ? std::vector<VmId> {} : found->second.liveSources(now);
}

ReportTotals ReportAggregator::ownTotals(SteadyTime now) const
{
    ReportTotals totals;
    for (const auto& [vm, node] : nodes_)
        totals.add(node.group_, now);
    addCounts(totals.admitted_, removedNodesAdmitted_);
    return totals;
}

wire::NodeSums ReportAggregator::summaryFor(const DataCentreId& receiver, SteadyTime now) const
{
    wire::NodeSums sums = ownTotals(now).toMessage();
    auto found = others_.find(receiver);
    const wire::NodeSums* receiverSums = found == others_.end() ? nullptr : found->second.current(now);
    if (receiverSums && receiverSums->duty_token())
        putUsage(newest(ownUsage_.sumsExcluding({}, anyIncarnation)), *sums.mutable_usage());
    else
        sums.clear_rollout_counts();
    return sums;
}

ReportTotals ReportAggregator::totals(SteadyTime now) const
{
    ReportTotals totals = ownTotals(now);
    for (const auto& [dataCentre, group] : others_)
        totals.add(group, now);
    return totals;
}

wire::NodeSums ReportAggregator::digestFor(const VmId& receiver, const ReportTotals& totals, SteadyTime now) const
{
    auto found = nodes_.find(receiver);
    const wire::NodeSums* receiverSums = found == nodes_.end() ? nullptr : found->second.group_.current(now);
    if (!receiverSums)
        return totals.toMessage();
    ReportTotals rest = totals;
    rest.remove(*receiverSums, found->second.group_);
    wire::NodeSums sums = rest.toMessage();
    if (!receiverSums->duty_token()) {
        sums.clear_rollout_counts();
        return sums;
    }
    std::map<WindowNumber, UsageCounts> usage = ownUsage_.sumsExcluding(receiver, found->second.incarnation_);
    for (const auto& [window, counts] : othersUsage_.sumsExcluding({}, anyIncarnation)) {
        for (const auto& [organisation, count] : counts)
            usage[window][organisation] += count;
    }
    putUsage(newest(std::move(usage)), *sums.mutable_usage());
    return sums;
}

std::optional<wire::NodeSums> ReportAggregator::ownPartOf(const VmId& receiver, SteadyTime now) const
{
    auto found = nodes_.find(receiver);
    if (found == nodes_.end() || !found->second.takesCommonSums_)
        return std::nullopt;
    const wire::NodeSums* sums = found->second.group_.current(now);
    if (!sums || sums->duty_token())
        return std::nullopt;
    wire::NodeSums own;
    own.set_nodes(sums->nodes());
    *own.mutable_loads() = sums->loads();
    *own.mutable_demand() = sums->demand();
    for (const auto& [organisation, count] : found->second.group_.admitted()) {
        wire::QuotaReport& quota = *own.add_quotas();
        quota.set_organisation(organisation);
        quota.set_admitted(count);
    }
    return own;
}

} // namespace pistachioloom
