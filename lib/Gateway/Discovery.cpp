//===- lib/Gateway/Discovery.cpp - how nodes find each other --------------===//
///
/// \file
/// See Discovery.h.
//===----------------------------------------------------------------------===//
#include "Discovery.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    // Maximum number of nodes that have not reported yet to which this node introduces
    // itself in a period. Each of 200 such nodes receives an introduction within 1.7 s.
    constexpr std::size_t firstIntroductionsPerPeriod = 24;
    // Maximum number of answers, of 2 to 4 KB each, that this node sends in a period. A
    // seed that hundreds of nodes contact when all start simultaneously uses a third of a
    // link of 20 Mbit/s for its answers.
    constexpr std::size_t answersPerPeriod = 48;
    // Number of referrals that this node sends in a period while more nodes wait than it
    // can answer, the nodes that receive each of them, and the nodes that each advertises.
    // With answers only, 1,000 nodes that know three seeds wait up to 4.2 s, since the seeds
    // answer the same 48 nodes in a period. 160 referrals of 150 bytes use 1 Mbit/s.
    constexpr std::size_t referralsPerPeriod = 20;
    constexpr std::size_t receiversPerReferral = 8;
    constexpr std::size_t peersPerReferral = 2;
    static_assert(referralsPerPeriod * peersPerReferral <= answersPerPeriod, "each answered node is advertised in one referral at most");
    // Number of nodes of its own data centre that a digest advertises in rotation: 26
    // nodes are advertised within seven periods, 1.4 s.
    constexpr std::size_t membersPerDigest = 4;
    // Maximum numbers of nodes that a report advertises: manyPeers in a small fleet and
    // in answers to new nodes, fewPeers in the reports that nodes of a large fleet send
    // in each period.
    constexpr std::size_t manyPeers = 24;
    constexpr std::size_t fewPeers = 3;

} // namespace

Discovery::Discovery(const PeerTable& table, const VmId& self, DataCentreId ownDataCentre, GossipSettings settings)
    : table_(table)
    , ownDataCentre_(std::move(ownDataCentre))
    , settings_(settings)
    , receiverCursor_(stableHash(self.value_))
    , unseenCursor_(receiverCursor_)
{
}

void Discovery::queueAnswer(const VmId& vm)
{
    if (std::none_of(unanswered_.begin(), unanswered_.end(), [&](const UnansweredNode& node) { return node.vm_ == vm; }))
        unanswered_.push_back({ vm });
}

std::vector<KnownPeer> Discovery::takeUnanswered()
{
    std::vector<KnownPeer> answered;
    for (std::size_t i = 0; i < answersPerPeriod && !unanswered_.empty(); ++i) {
        if (auto peer = table_.find(unanswered_.front().vm_))
            answered.emplace_back(unanswered_.front().vm_, *peer);
        unanswered_.pop_front();
    }
    return answered;
}

std::vector<Discovery::Referral> Discovery::referUnanswered(const std::vector<KnownPeer>& answered)
{
    std::vector<Referral> referrals;
    std::size_t referredPeers = 0;
    for (UnansweredNode& node : unanswered_) {
        if (node.isReferred_)
            continue;
        auto address = table_.gossipEndpointOf(node.vm_);
        if (!address)
            continue;
        if (referrals.empty() || referrals.back().receivers_.size() == receiversPerReferral) {
            if (referrals.size() == referralsPerPeriod || referredPeers + peersPerReferral > answered.size())
                break;
            auto first = answered.begin() + static_cast<std::ptrdiff_t>(referredPeers);
            referrals.push_back({ {}, { first, first + peersPerReferral } });
            referredPeers += peersPerReferral;
        }
        referrals.back().receivers_.push_back(*address);
        node.isReferred_ = true;
    }
    return referrals;
}

std::vector<Endpoint> Discovery::nextUnseen(const std::vector<KnownPeer>& peers)
{
    std::vector<Endpoint> unseen;
    for (const auto& [vm, peer] : peers) {
        if (peer.receivedAt_ == SteadyTime {})
            unseen.push_back(peer.gossipEndpoint_);
    }
    std::vector<Endpoint> next;
    for (std::size_t i = 0; i < std::min(firstIntroductionsPerPeriod, unseen.size()); ++i)
        next.push_back(unseen[unseenCursor_++ % unseen.size()]);
    return next;
}

Discovery::Receivers Discovery::receivers(const std::vector<Endpoint>& unseenSeeds)
{
    std::vector<KnownPeer> peers = table_.all();
    std::vector<KnownPeer> answered = takeUnanswered();
    Receivers receivers { nextUnseen(peers), {}, referUnanswered(answered) };
    for (const auto& [vm, peer] : answered)
        receivers.answered_.push_back(peer.gossipEndpoint_);
    std::vector<Endpoint> all = unseenSeeds;
    for (const auto& [vm, peer] : peers)
        all.push_back(peer.gossipEndpoint_);
    for (std::size_t i = 0; i < std::min(introductionsPerPeriod, all.size()); ++i)
        receivers.introduced_.push_back(all[receiverCursor_++ % all.size()]);
    return receivers;
}

void Discovery::addRelays(const DataCentreId& dataCentre, std::vector<KnownPeer>& relays, SteadyTime now) const
{
    for (const VmId& vm : table_.likelyRelays(dataCentre, digestCount_, now)) {
        if (auto peer = table_.find(vm))
            relays.emplace_back(vm, *peer);
    }
}

std::vector<KnownPeer> Discovery::relaysToAdvertise(SteadyTime now) const
{
    std::vector<KnownPeer> relays;
    addRelays(ownDataCentre_, relays, now);
    for (const DataCentreId& dataCentre : table_.otherDataCentres())
        addRelays(dataCentre, relays, now);
    return relays;
}

std::vector<KnownPeer> Discovery::membersToAdvertise(SteadyTime now)
{
    // Readers are advertised in every other digest, since a reader is replaced only after
    // four reporting periods without a report.
    bool advertisesReaders = ++digestCount_ % 2;
    std::vector<KnownPeer> advertised;
    addRelays(ownDataCentre_, advertised, now);
    auto isAdvertised = [&](const VmId& vm) { return std::any_of(advertised.begin(), advertised.end(), [&](const KnownPeer& known) { return known.first == vm; }); };
    std::vector<KnownPeer> others;
    for (const KnownPeer& known : table_.reportedWithin(settings_.unresponsiveAfter_, now)) {
        if (isAdvertised(known.first))
            continue;
        if (known.second.isReader_ && advertisesReaders)
            advertised.push_back(known);
        else if (!known.second.isReader_ && known.second.dataCentre_ == ownDataCentre_)
            others.push_back(known);
    }
    for (std::size_t i = 0; i < std::min(membersPerDigest, others.size()); ++i)
        advertised.push_back(others[memberCursor_++ % others.size()]);
    return advertised;
}

std::vector<KnownPeer> Discovery::peersToAdvertise(AdvertisedPeers amount, std::size_t cursor, SteadyTime now) const
{
    std::vector<KnownPeer> known = table_.reportedWithin(settings_.unresponsiveAfter_, now);
    std::size_t count = std::min(amount == AdvertisedPeers::Few ? fewPeers : manyPeers, known.size());
    std::vector<KnownPeer> advertised;
    for (std::size_t i = 0; i < count; ++i)
        advertised.push_back(known[(cursor + i) % known.size()]);
    return advertised;
}

std::set<VmId> Discovery::summaryReceivers(const DataCentreId& dataCentre, const std::vector<VmId>& reporting, SteadyTime now) const
{
    std::vector<VmId> likely = table_.likelyRelays(dataCentre, digestCount_, now);
    // While no relay of the data centre is known to send sums, likelyRelays() also adds
    // another candidate in rotation.
    if (!reporting.empty())
        likely.resize(std::min<std::size_t>(likely.size(), settings_.relays_));
    std::set<VmId> receivers(reporting.begin(), reporting.end());
    receivers.insert(likely.begin(), likely.end());
    return receivers;
}

} // namespace pistachioloom
