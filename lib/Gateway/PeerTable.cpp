//===- lib/Gateway/PeerTable.cpp - nodes that this node knows -------------===//
///
/// \file
/// See PeerTable.h.
//===----------------------------------------------------------------------===//
#include "PeerTable.h"

#include <algorithm>
#include <set>

namespace pistachioloom {

namespace {

    // Maximum age of the last report of a relay candidate. It is much longer than a
    // reporting period because no reports arrive for a while if all relays of a data
    // centre stop simultaneously.
    constexpr milliseconds maxRelayCandidateAge { 10000 };
    // A relay sends its sums in each period of 200 ms. If three in a row are missing, the
    // cause is not a lost datagram.
    constexpr milliseconds relayTimeout { 600 };
    // Time after which an unresponsive relay is tried again.
    constexpr milliseconds relayRetryDelay { 2000 };
    // A node is removed after this many rotations of its introductions without one, since
    // datagrams may be lost.
    constexpr int rotationsToForget = 3;
    // A node that has not reported for this time loses its shares of request limits to others.
    // A limit is judged over 4 s, so that those do not use what it may still have used.
    constexpr milliseconds shareTimeout { 5000 };
    // Share of the known nodes that must report for complete coverage.
    constexpr double completeShare = 0.9;

    std::string relayKey(const DataCentreId& dataCentre)
    {
        return "relays of " + dataCentre.value_;
    }

} // namespace

bool Coverage::isComplete() const
{
    return static_cast<double>(reportedNodes_) >= completeShare * static_cast<double>(knownNodes_);
}

bool Coverage::hasMajority() const
{
    return 2 * reportedNodes_ > knownNodes_;
}

PeerTable::PeerTable(VmId self, DataCentreId ownDataCentre, double cores, GossipSettings settings)
    : self_(std::move(self))
    , ownDataCentre_(std::move(ownDataCentre))
    , cores_(cores)
    , settings_(settings)
{
}

void PeerTable::addKnownPeer(const VmId& vm, const Endpoint& gossip)
{
    if (vm == self_)
        return;
    std::lock_guard lock(mutex_);
    auto [found, isNew] = peers_.try_emplace(vm);
    // What a node reports of itself takes precedence over what others report of it.
    if (isNew || found->second.receivedAt_ == SteadyTime {})
        found->second.gossipEndpoint_ = gossip;
}

PeerTable::ReportKind PeerTable::applyReport(const VmId& vm, Peer peer)
{
    std::lock_guard lock(mutex_);
    Peer& known = peers_[vm];
    bool isSame = known.incarnation_ == peer.incarnation_;
    if (isSame && peer.sequence_ <= known.sequence_)
        return ReportKind::Outdated;
    bool wasUnresponsive = peer.receivedAt_ - known.receivedAt_ > settings_.unresponsiveAfter_;
    known = std::move(peer);
    if (!isSame)
        return ReportKind::Restarted;
    return wasUnresponsive ? ReportKind::Resumed : ReportKind::Regular;
}

void PeerTable::applyRelayedState(const VmId& vm, const Peer& peer)
{
    if (vm == self_)
        return;
    std::lock_guard lock(mutex_);
    Peer& known = peers_[vm];
    if (peer.receivedAt_ <= known.receivedAt_)
        return;
    // The sequence number orders a node's own reports; relays do not report it.
    std::uint64_t sequence = known.incarnation_ == peer.incarnation_ ? known.sequence_ : 0;
    known = peer;
    known.sequence_ = sequence;
}

void PeerTable::noteDigest(const VmId& relay, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    relayRequests_[relay].digestReceivedAt_ = now;
}

milliseconds PeerTable::forgetAfter() const
{
    std::lock_guard lock(mutex_);
    return forgetAfterLocked();
}

milliseconds PeerTable::forgetAfterLocked() const
{
    if (peers_.size() <= settings_.fanout_)
        return settings_.forgetAfter_;
    milliseconds rotation = settings_.period_ * static_cast<std::int64_t>(peers_.size() / introductionsPerPeriod + 1);
    return std::max(settings_.forgetAfter_, rotation * rotationsToForget);
}

std::vector<VmId> PeerTable::removeUnresponsive(SteadyTime now)
{
    std::lock_guard lock(mutex_);
    milliseconds forgetAfter = forgetAfterLocked();
    std::vector<VmId> removed;
    std::erase_if(peers_, [&](const auto& entry) {
        const Peer& peer = entry.second;
        bool hasExpired = peer.receivedAt_ != SteadyTime {} && now - peer.receivedAt_ > forgetAfter;
        if (hasExpired)
            removed.push_back(entry.first);
        return hasExpired;
    });
    for (const VmId& vm : removed)
        relayRequests_.erase(vm);
    return removed;
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

PeerTable::PeerCounts PeerTable::peerCounts() const
{
    std::lock_guard lock(mutex_);
    PeerCounts peerCounts;
    for (const auto& [vm, peer] : peers_)
        ++(peer.receivedAt_ == SteadyTime {} ? peerCounts.advertisedNodes_ : peerCounts.reportedNodes_);
    return peerCounts;
}

std::vector<KnownPeer> PeerTable::reportedWithin(milliseconds maxAge, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    std::vector<KnownPeer> peers;
    for (const auto& [vm, peer] : peers_) {
        if (peer.receivedAt_ != SteadyTime {} && now - peer.receivedAt_ <= maxAge)
            peers.emplace_back(vm, peer);
    }
    return peers;
}

std::vector<KnownPeer> PeerTable::all() const
{
    std::lock_guard lock(mutex_);
    return { peers_.begin(), peers_.end() };
}

std::size_t PeerTable::rankFor(const std::string& key, SteadyTime now) const
{
    std::vector<VmId> candidates { self_ };
    for (const auto& [vm, peer] : reportedWithin(settings_.unresponsiveAfter_, now)) {
        if (!peer.isStopping_)
            candidates.push_back(vm);
    }
    std::vector<VmId> ranked = rankByRendezvous(key, candidates);
    return static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), self_) - ranked.begin());
}

SharingNodes PeerTable::sharingNodes(bool isSelfStopping, SteadyTime now) const
{
    SharingNodes nodes { {}, 0 };
    if (!isSelfStopping)
        nodes.live_.push_back(self_);
    std::lock_guard lock(mutex_);
    nodes.known_ = nodes.live_.size();
    // In a large fleet a node reports to each other one in rotation, so that its silence says
    // nothing until it is removed.
    bool isLarge = peers_.size() > settings_.fanout_;
    for (const auto& [vm, peer] : peers_) {
        if (peer.receivedAt_ == SteadyTime {} || peer.isStopping_)
            continue;
        ++nodes.known_;
        if (isLarge || now - peer.receivedAt_ <= shareTimeout)
            nodes.live_.push_back(vm);
    }
    return nodes;
}

std::vector<OriginNode> PeerTable::originNodes(SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    // In a large fleet the silence of a node says nothing until it is removed.
    bool isLarge = peers_.size() > settings_.fanout_;
    std::vector<OriginNode> nodes;
    for (const auto& [vm, peer] : peers_) {
        bool isLive = peer.receivedAt_ != SteadyTime {} && (isLarge || now - peer.receivedAt_ <= settings_.unresponsiveAfter_);
        if (isLive)
            nodes.push_back({ vm, peer.dataCentre_, peer.gossipEndpoint_ });
    }
    return nodes;
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
        bool isLocal = peer.dataCentre_ == ownDataCentre_ && !peer.isStopping_ && now - peer.receivedAt_ <= maxRelayCandidateAge;
        auto request = relayRequests_.find(vm);
        if (isLocal && (request == relayRequests_.end() || request->second.skippedUntil_ <= now))
            candidates.push_back(vm);
    }
    std::vector<VmId> chosen;
    for (const VmId& vm : rankRelays(ownDataCentre_, candidates)) {
        if (chosen.size() >= settings_.relays_)
            break;
        RelayRequest& request = relayRequests_[vm];
        if (request.requestedSince_ == SteadyTime {})
            request.requestedSince_ = now;
        if (vm != self_ && now - std::max(request.requestedSince_, request.digestReceivedAt_) > relayTimeout) {
            request = { {}, request.digestReceivedAt_, now + relayRetryDelay };
            continue;
        }
        chosen.push_back(vm);
    }
    // The timeout of a node that is no longer chosen starts again when it is chosen
    // again.
    for (auto& [vm, request] : relayRequests_) {
        if (std::find(chosen.begin(), chosen.end(), vm) == chosen.end())
            request.requestedSince_ = {};
    }
    return chosen;
}

std::vector<VmId> PeerTable::likelyRelays(const DataCentreId& dataCentre, std::size_t cursor, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    std::vector<VmId> candidates;
    for (const auto& [vm, peer] : peers_) {
        if (peer.dataCentre_ == dataCentre && now - peer.receivedAt_ <= maxRelayCandidateAge)
            candidates.push_back(vm);
    }
    std::vector<VmId> likely = rankRelays(dataCentre, candidates);
    if (likely.size() <= settings_.relays_)
        return likely;
    // The first settings_.relays_ candidates are always included, since they are the
    // relays as soon as all nodes of the data centre know them. One other candidate is
    // added in rotation, in case those have stopped.
    VmId rotated = likely[settings_.relays_ + cursor % (likely.size() - settings_.relays_)];
    likely.resize(settings_.relays_);
    likely.push_back(rotated);
    return likely;
}

std::vector<DataCentreId> PeerTable::otherDataCentres() const
{
    std::lock_guard lock(mutex_);
    std::set<DataCentreId> found;
    for (const auto& [vm, peer] : peers_) {
        if (!peer.dataCentre_.isEmpty() && peer.dataCentre_ != ownDataCentre_)
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

std::optional<Endpoint> PeerTable::gossipEndpointOf(const VmId& vm) const
{
    std::lock_guard lock(mutex_);
    auto found = peers_.find(vm);
    return found == peers_.end() ? std::nullopt : std::optional(found->second.gossipEndpoint_);
}

std::optional<Peer> PeerTable::find(const VmId& vm) const
{
    std::lock_guard lock(mutex_);
    auto found = peers_.find(vm);
    return found == peers_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace pistachioloom
