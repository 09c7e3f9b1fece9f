//===- lib/Gateway/ReportMessages.cpp - contents of the datagrams ---------===//
///
/// \file
/// Composes the reports and digests of PeerReports.
//===----------------------------------------------------------------------===//
#include "PeerReports.h"

#include "RolloutMessages.h"
#include "SuspectMessages.h"

#include <set>

namespace pistachioloom {

// Unreachable services in one report. A node refuses to carry connections to further ones.
static constexpr std::size_t maxUnreachableServices = 64;

/// Composes the part of a report that any node may receive: the identity of this node, and
/// changes that concern all nodes and whose size is bounded.
void PeerReports::composeIntroduction(wire::NodeReport& report, AdvertisedPeers amount)
{
    const GatewaySettings& settings = context_.settings_;
    SteadyTime now = steadyNow();
    report.set_vm(settings.vm_.value_);
    report.set_data_centre(settings.dataCentre_.value_);
    report.set_incarnation(context_.incarnation_);
    report.set_sequence(++sequence_);
    report.set_address(settings.gossip_.toString());
    report.set_peers_address(settings.peers_.toString());
    auto table = context_.table();
    report.set_configuration_version(table ? table->version() : 0);
    report.set_wall_ms(context_.localWallMs());
    report.set_duty_token(hooks_.ownToken_().value_);
    report.set_released_token(hooks_.releasedToken_().value_);
    report.set_counted_ms(countedMs(now));
    report.set_is_stopping(context_.isStopping_);
    report.set_is_platform_lost(hooks_.isPlatformUnavailable_());
    report.set_is_reader(hooks_.isReader_());
    report.set_cores(settings.cores_);
    for (const ServiceName& service : context_.paths_.lostServices()) {
        if (static_cast<std::size_t>(report.unreachable_services_size()) < maxUnreachableServices)
            report.add_unreachable_services(service.value_);
    }
    report.set_registry_fingerprint(context_.backends_.fingerprint());
    putSuspects(context_.quarantine_.suspectsToReport(now, randomBits()), *report.mutable_suspects(), now);
    putRollouts(context_.rollouts_.states(), *report.mutable_rollouts(), now);
    addKnownNodes(report, discovery_.peersToAdvertise(amount, sequence_, now));
}

void PeerReports::addKnownNodes(wire::NodeReport& report, const std::vector<KnownPeer>& peers)
{
    for (const auto& [vm, peer] : peers) {
        wire::KnownNode& entry = *report.add_nodes();
        entry.set_vm(vm.value_);
        entry.set_address(peer.gossipEndpoint_.toString());
    }
}

void PeerReports::composeNotices(wire::NodeReport& report)
{
    SteadyTime now = steadyNow();
    std::lock_guard lock(leavingMutex_);
    for (const BackendId& id : leaving_.select(now))
        report.add_leaving(id.value_);
    for (const BackendId& id : terminated_.select(now))
        report.add_ended(id.value_);
    putStatements(statements_.select(now), *report.mutable_statements(), now);
}

/// Composes the loads, counts and demand of this node.
void PeerReports::composeState(wire::NodeReport& report)
{
    putLoads(context_.backends_.ownLoads(steadyNow()), *report.mutable_loads());
    auto levels = context_.quotas_.levels();
    for (const auto& [organisation, admitted] : context_.quotas_.admitted()) {
        wire::QuotaReport& reported = *report.add_quotas();
        reported.set_organisation(organisation.value_);
        reported.set_admitted(admitted);
        reported.set_level(levels[organisation]);
    }
    putUsage(context_.usage_.recent(), *report.mutable_usage());
    putTallies(context_.rollouts_.tallies(), *report.mutable_rollout_counts());
    for (const auto& [service, view] : context_.backends_.services()) {
        wire::DemandReport& reported = *report.add_demand();
        reported.set_service(service.value_);
        reported.set_tokens_per_second(context_.demand_.localRate(service));
        reported.set_prefill_per_ms(view.prefillPerMs_);
        reported.set_observations(view.observations_);
        putMoments(view.moments_, reported);
    }
}

void PeerReports::composeMembers(google::protobuf::RepeatedPtrField<wire::MemberEntry>& entries, const std::vector<KnownPeer>& members, SteadyTime now)
{
    for (const auto& [vm, peer] : members) {
        wire::MemberEntry& entry = *entries.Add();
        entry.set_vm(vm.value_);
        entry.set_data_centre(peer.dataCentre_.value_);
        entry.set_address(peer.gossipEndpoint_.toString());
        entry.set_peers_address(peer.peerEndpoint_.toString());
        entry.set_incarnation(peer.incarnation_);
        entry.set_configuration_version(peer.configurationVersion_);
        entry.set_is_stopping(peer.isStopping_);
        entry.set_is_platform_lost(peer.isPlatformUnavailable_);
        entry.set_is_reader(peer.isReader_);
        entry.set_cores(peer.cores_);
        for (const ServiceName& service : peer.unreachableServices_)
            entry.add_unreachable_services(service.value_);
        entry.set_registry_fingerprint(peer.registryFingerprint_);
        entry.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - peer.receivedAt_).count())));
    }
}

/// Returns the addresses of all known nodes, and of seeds until they report.
std::vector<Endpoint> PeerReports::knownAddresses()
{
    std::vector<Endpoint> all = unseenSeeds();
    for (const auto& [vm, peer] : table_.all())
        all.push_back(peer.gossipEndpoint_);
    return all;
}

std::vector<Endpoint> PeerReports::unseenSeeds()
{
    std::set<std::string> hosts { context_.settings_.gossip_.host_ };
    for (const auto& [vm, peer] : table_.all())
        hosts.insert(peer.gossipEndpoint_.host_);
    std::vector<Endpoint> unseen;
    for (const Endpoint& seed : context_.settings_.seeds_) {
        if (!hosts.contains(seed.host_))
            unseen.push_back({ seed.host_, context_.settings_.gossip_.port_ });
    }
    return unseen;
}

} // namespace pistachioloom
