//===- lib/Gateway/Discovery.cpp - how nodes come to know each other ------===//
///
/// \file
/// See Discovery.h.
//===----------------------------------------------------------------------===//
#include "Discovery.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    // Nodes that hear of this one again in a period: each of 370 within 25 s, and what
    // presses comes by digests.
    constexpr std::size_t introductions = 3;
    // Nodes never heard before that are told of this one in a period: each of 200
    // within 1.7 s.
    constexpr std::size_t firstIntroductions = 24;
    // Nodes answered in a period, 2 to 4 KB each: a seed that hundreds of nodes turn to
    // when all start at once fills a third of a link of 20 Mbit/s with them.
    constexpr std::size_t answers = 48;
    // Members of the own data centre that a digest tells of, in turn: 26 of them
    // are told of within seven periods, 1.4 s.
    constexpr std::size_t membersNamed = 4;
    // Nodes named in a report: many in a small fleet and to a node that is new, few in
    // what a large fleet sends each period.
    constexpr std::size_t manyNames = 24;
    constexpr std::size_t fewNames = 3;

} // namespace

Discovery::Discovery(const PeerTable& table, const VmId& self, DataCentreId own, GossipSettings settings)
    : table_(table)
    , own_(std::move(own))
    , settings_(settings)
    , receiverTurn_(stableHash(self.value_))
    , unheardTurn_(receiverTurn_)
{
}

void Discovery::noteNew(const VmId& vm)
{
    if (std::find(unanswered_.begin(), unanswered_.end(), vm) == unanswered_.end())
        unanswered_.push_back(vm);
}

std::vector<Endpoint> Discovery::takeUnanswered()
{
    std::vector<Endpoint> receivers;
    for (std::size_t i = 0; i < answers && !unanswered_.empty(); ++i) {
        if (auto address = table_.gossipOf(unanswered_.front()))
            receivers.push_back(*address);
        unanswered_.pop_front();
    }
    return receivers;
}

std::vector<Endpoint> Discovery::nextUnheard(const std::vector<KnownPeer>& peers)
{
    std::vector<Endpoint> unheard;
    for (const auto& [vm, peer] : peers) {
        if (peer.heardAt_ == SteadyTime {})
            unheard.push_back(peer.gossip_);
    }
    std::vector<Endpoint> next;
    for (std::size_t i = 0; i < std::min(firstIntroductions, unheard.size()); ++i)
        next.push_back(unheard[unheardTurn_++ % unheard.size()]);
    return next;
}

Discovery::Receivers Discovery::receivers(const std::vector<Endpoint>& unheardSeeds)
{
    std::vector<KnownPeer> peers = table_.all();
    Receivers receivers { nextUnheard(peers), takeUnanswered() };
    std::vector<Endpoint> all = unheardSeeds;
    for (const auto& [vm, peer] : peers)
        all.push_back(peer.gossip_);
    for (std::size_t i = 0; i < std::min(introductions, all.size()); ++i)
        receivers.introduced_.push_back(all[receiverTurn_++ % all.size()]);
    return receivers;
}

void Discovery::addRelays(const DataCentreId& dataCentre, std::vector<KnownPeer>& relays, SteadyTime now) const
{
    for (const VmId& vm : table_.likelyRelays(dataCentre, digestTurn_, now)) {
        if (auto peer = table_.find(vm))
            relays.emplace_back(vm, *peer);
    }
}

std::vector<KnownPeer> Discovery::relaysToName(SteadyTime now) const
{
    std::vector<KnownPeer> relays;
    addRelays(own_, relays, now);
    for (const DataCentreId& dataCentre : table_.otherDataCentres())
        addRelays(dataCentre, relays, now);
    return relays;
}

std::vector<KnownPeer> Discovery::membersToName(SteadyTime now)
{
    // Readers are named in every other digest: their silence bound is four.
    bool namesReaders = ++digestTurn_ % 2;
    std::vector<KnownPeer> named;
    addRelays(own_, named, now);
    auto isNamed = [&](const VmId& vm) { return std::any_of(named.begin(), named.end(), [&](const KnownPeer& known) { return known.first == vm; }); };
    std::vector<KnownPeer> others;
    for (const KnownPeer& known : table_.heardWithin(settings_.unresponsiveAfter_, now)) {
        if (isNamed(known.first))
            continue;
        if (known.second.isReader_ && namesReaders)
            named.push_back(known);
        else if (!known.second.isReader_ && known.second.dataCentre_ == own_)
            others.push_back(known);
    }
    for (std::size_t i = 0; i < std::min(membersNamed, others.size()); ++i)
        named.push_back(others[memberTurn_++ % others.size()]);
    return named;
}

std::vector<KnownPeer> Discovery::peersToName(NamesTold names, std::size_t turn, SteadyTime now) const
{
    std::vector<KnownPeer> known = table_.heardWithin(settings_.unresponsiveAfter_, now);
    std::size_t count = std::min(names == NamesTold::Few ? fewNames : manyNames, known.size());
    std::vector<KnownPeer> named;
    for (std::size_t i = 0; i < count; ++i)
        named.push_back(known[(turn + i) % known.size()]);
    return named;
}

std::set<VmId> Discovery::summaryReceivers(const DataCentreId& dataCentre, const std::vector<VmId>& telling, SteadyTime now) const
{
    std::vector<VmId> likely = table_.likelyRelays(dataCentre, digestTurn_, now);
    // Others are tried in turn only while no relay is known.
    if (!telling.empty())
        likely.resize(std::min<std::size_t>(likely.size(), settings_.relays_));
    std::set<VmId> receivers(telling.begin(), telling.end());
    receivers.insert(likely.begin(), likely.end());
    return receivers;
}

} // namespace pistachioloom
