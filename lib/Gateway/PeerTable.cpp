//===- lib/Gateway/PeerTable.cpp - the nodes that this one knows -----------===//
///
/// \file
/// See PeerTable.h.
//===----------------------------------------------------------------------===//
#include "PeerTable.h"

#include <algorithm>
#include <set>

namespace pistachioloom {

namespace {

    // A node that was heard within this time may be chosen as a relay: if all
    // relays of a data centre go at once, nobody is heard for a while.
    constexpr milliseconds relayMemory { 10000 };
    // A relay that was asked tells its sums in each period of 200 ms; three
    // missing ones are no lost datagram.
    constexpr milliseconds relaySilence { 600 };
    // A relay that fell silent is asked again after this time.
    constexpr milliseconds relayAvoided { 2000 };
    // Part of the nodes that are heard when knowledge counts as whole.
    constexpr double wholePart = 0.9;

    std::string relayKey(const DataCentreId& dataCentre)
    {
        return "relays of " + dataCentre.value_;
    }

} // namespace

bool Coverage::isWhole() const
{
    return static_cast<double>(heard_) >= wholePart * static_cast<double>(known_);
}

bool Coverage::hasMost() const
{
    return 2 * heard_ > known_;
}

PeerTable::PeerTable(VmId self, DataCentreId own, double cores, GossipSettings settings)
    : self_(std::move(self))
    , own_(std::move(own))
    , cores_(cores)
    , settings_(settings)
{
}

void PeerTable::addKnown(const VmId& vm, const Endpoint& gossip)
{
    if (vm == self_)
        return;
    std::lock_guard lock(mutex_);
    auto [found, isNew] = peers_.try_emplace(vm);
    // What a node says of itself goes before what others say of it.
    if (isNew || found->second.heardAt_ == SteadyTime {})
        found->second.gossip_ = gossip;
}

PeerTable::Heard PeerTable::take(const VmId& vm, Peer peer)
{
    std::lock_guard lock(mutex_);
    Peer& known = peers_[vm];
    bool isSame = known.incarnation_ == peer.incarnation_;
    if (isSame && peer.sequence_ <= known.sequence_)
        return Heard::Old;
    bool wasSilent = peer.heardAt_ - known.heardAt_ > settings_.unresponsiveAfter_;
    known = std::move(peer);
    if (!isSame)
        return Heard::Restarted;
    return wasSilent ? Heard::AfterSilence : Heard::Again;
}

void PeerTable::takeHearsay(const VmId& vm, const Peer& peer)
{
    if (vm == self_)
        return;
    std::lock_guard lock(mutex_);
    Peer& known = peers_[vm];
    if (peer.heardAt_ <= known.heardAt_)
        return;
    // Its own reports are told apart by number, which a relay does not tell.
    std::uint64_t sequence = known.incarnation_ == peer.incarnation_ ? known.sequence_ : 0;
    known = peer;
    known.sequence_ = sequence;
}

void PeerTable::noteDigest(const VmId& relay, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    asked_[relay].digestAt_ = now;
}

std::vector<VmId> PeerTable::forgetSilent(SteadyTime now)
{
    std::lock_guard lock(mutex_);
    std::vector<VmId> forgotten;
    std::erase_if(peers_, [&](const auto& entry) {
        const Peer& peer = entry.second;
        bool isGone = peer.heardAt_ != SteadyTime {} && now - peer.heardAt_ > settings_.forgetAfter_;
        if (isGone)
            forgotten.push_back(entry.first);
        return isGone;
    });
    for (const VmId& vm : forgotten)
        asked_.erase(vm);
    return forgotten;
}

bool PeerTable::isLarge() const
{
    std::lock_guard lock(mutex_);
    return peers_.size() > settings_.fanout_;
}

std::size_t PeerTable::size() const
{
    std::lock_guard lock(mutex_);
    return peers_.size();
}

PeerTable::Census PeerTable::census() const
{
    std::lock_guard lock(mutex_);
    Census census;
    for (const auto& [vm, peer] : peers_)
        ++(peer.heardAt_ == SteadyTime {} ? census.named_ : census.heard_);
    return census;
}

std::vector<KnownPeer> PeerTable::heardWithin(milliseconds silence, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    std::vector<KnownPeer> heard;
    for (const auto& [vm, peer] : peers_) {
        if (peer.heardAt_ != SteadyTime {} && now - peer.heardAt_ <= silence)
            heard.emplace_back(vm, peer);
    }
    return heard;
}

std::vector<KnownPeer> PeerTable::all() const
{
    std::lock_guard lock(mutex_);
    return { peers_.begin(), peers_.end() };
}

std::size_t PeerTable::rankFor(const std::string& key, SteadyTime now) const
{
    std::vector<VmId> candidates { self_ };
    for (const auto& [vm, peer] : heardWithin(settings_.unresponsiveAfter_, now)) {
        if (!peer.isStopping_)
            candidates.push_back(vm);
    }
    std::vector<VmId> ranked = rankByRendezvous(key, candidates);
    return static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), self_) - ranked.begin());
}

std::vector<VmId> PeerTable::rankRelays(const DataCentreId& dataCentre, const std::vector<VmId>& candidates) const
{
    auto coresOf = [&](const VmId& vm) { return vm == self_ ? cores_ : peers_.at(vm).cores_; };
    std::vector<VmId> ranked = rankByRendezvous(relayKey(dataCentre), candidates);
    std::stable_sort(ranked.begin(), ranked.end(), [&](const VmId& left, const VmId& right) { return coresOf(left) > coresOf(right); });
    return ranked;
}

std::vector<VmId> PeerTable::chooseRelays(SteadyTime now)
{
    std::lock_guard lock(mutex_);
    std::vector<VmId> candidates { self_ };
    for (const auto& [vm, peer] : peers_) {
        bool isNear = peer.dataCentre_ == own_ && !peer.isStopping_ && now - peer.heardAt_ <= relayMemory;
        auto asked = asked_.find(vm);
        if (isNear && (asked == asked_.end() || asked->second.avoidedUntil_ <= now))
            candidates.push_back(vm);
    }
    std::vector<VmId> chosen;
    for (const VmId& vm : rankRelays(own_, candidates)) {
        if (chosen.size() >= settings_.relays_)
            break;
        Asked& asked = asked_[vm];
        if (asked.since_ == SteadyTime {})
            asked.since_ = now;
        if (vm != self_ && now - std::max(asked.since_, asked.digestAt_) > relaySilence) {
            asked = { {}, asked.digestAt_, now + relayAvoided };
            continue;
        }
        chosen.push_back(vm);
    }
    // One that is no longer asked starts anew when it is asked again.
    for (auto& [vm, asked] : asked_) {
        if (std::find(chosen.begin(), chosen.end(), vm) == chosen.end())
            asked.since_ = {};
    }
    return chosen;
}

std::vector<VmId> PeerTable::likelyRelays(const DataCentreId& dataCentre, std::size_t turn, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    std::vector<VmId> candidates;
    for (const auto& [vm, peer] : peers_) {
        if (peer.dataCentre_ == dataCentre && now - peer.heardAt_ <= relayMemory)
            candidates.push_back(vm);
    }
    std::vector<VmId> likely = rankRelays(dataCentre, candidates);
    if (likely.size() <= settings_.relays_)
        return likely;
    // The first ones are asked each time, since they are relays as soon as all there
    // know them; another one in turn, in case these have gone.
    VmId inTurn = likely[settings_.relays_ + turn % (likely.size() - settings_.relays_)];
    likely.resize(settings_.relays_);
    likely.push_back(inTurn);
    return likely;
}

std::vector<DataCentreId> PeerTable::otherDataCentres() const
{
    std::lock_guard lock(mutex_);
    std::set<DataCentreId> found;
    for (const auto& [vm, peer] : peers_) {
        if (!peer.dataCentre_.isEmpty() && peer.dataCentre_ != own_)
            found.insert(peer.dataCentre_);
    }
    return { found.begin(), found.end() };
}

bool PeerTable::isStopping(const VmId& vm) const
{
    std::lock_guard lock(mutex_);
    auto found = peers_.find(vm);
    return found != peers_.end() && found->second.isStopping_;
}

std::optional<Endpoint> PeerTable::gossipOf(const VmId& vm) const
{
    std::lock_guard lock(mutex_);
    auto found = peers_.find(vm);
    return found == peers_.end() ? std::nullopt : std::optional(found->second.gossip_);
}

std::optional<Peer> PeerTable::find(const VmId& vm) const
{
    std::lock_guard lock(mutex_);
    auto found = peers_.find(vm);
    return found == peers_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace pistachioloom
