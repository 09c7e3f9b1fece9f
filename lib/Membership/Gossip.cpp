//===- lib/Membership/Gossip.cpp - heartbeats spread by gossip -------------===//
///
/// \file
/// Merging of digests, failure detection, and the view that combines all
/// sources.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Membership.h"

#include <algorithm>
#include <bit>

namespace pistachioloom {

namespace {

    // The digest of an unresponsive node is no longer forwarded after this many
    // suspicion times.
    constexpr int forwardingFactor = 2;
    // An unresponsive node is removed after this many suspicion times.
    constexpr int retentionFactor = 20;

} // namespace

bool NodeDigest::isNewerThan(const NodeDigest& other) const
{
    return std::pair(incarnation_, heartbeat_) > std::pair(other.incarnation_, other.heartbeat_);
}

GossipTable::GossipTable(VmId self, std::uint64_t incarnation, milliseconds suspectAfter)
    : suspectAfter_(suspectAfter)
{
    self_.node_ = std::move(self);
    self_.incarnation_ = incarnation;
}

milliseconds suspicionTime(milliseconds base, milliseconds heartbeat, std::size_t nodes)
{
    return base + heartbeat * static_cast<int>(std::bit_width(nodes));
}

bool GossipTable::merge(const std::vector<NodeDigest>& digests, SteadyTime now)
{
    bool isUpdate = false;
    for (const NodeDigest& digest : digests) {
        if (digest.node_ == self_.node_)
            continue;
        auto found = peers_.find(digest.node_);
        if (found != peers_.end() && !digest.isNewerThan(found->second.digest_))
            continue;
        NodeDigest merged = digest;
        if (!digest.isFirstHand_ && found != peers_.end()) {
            merged.catalogueOffset_ = found->second.digest_.catalogueOffset_;
            merged.vmListVersion_ = found->second.digest_.vmListVersion_;
            merged.loads_ = found->second.digest_.loads_;
        }
        peers_[digest.node_] = { std::move(merged), now };
        isUpdate = true;
    }
    return isUpdate;
}

void GossipTable::expect(const std::vector<VmId>& nodes, SteadyTime now)
{
    for (const VmId& node : nodes) {
        if (node == self_.node_ || peers_.contains(node))
            continue;
        NodeDigest unseen;
        unseen.node_ = node;
        peers_[node] = { unseen, now };
    }
}

std::vector<NodeDigest> GossipTable::digests(SteadyTime now) const
{
    std::vector<NodeDigest> known { self_ };
    for (const auto& [node, peer] : peers_) {
        bool wasReceived = peer.digest_.incarnation_;
        if (wasReceived && now - peer.updatedAt_ < suspectAfter_ * forwardingFactor)
            known.push_back(peer.digest_);
    }
    return known;
}

std::vector<NodeDigest> GossipTable::live(SteadyTime now) const
{
    std::vector<NodeDigest> known;
    for (const auto& [node, peer] : peers_) {
        bool wasReceived = peer.digest_.incarnation_;
        if (wasReceived && now - peer.updatedAt_ < suspectAfter_)
            known.push_back(peer.digest_);
    }
    return known;
}

bool GossipTable::isSuspected(const VmId& node, SteadyTime now) const
{
    auto found = peers_.find(node);
    return found != peers_.end() && now - found->second.updatedAt_ >= suspectAfter_;
}

void GossipTable::forgetOld(SteadyTime now)
{
    std::erase_if(peers_, [&](const auto& item) { return now - item.second.updatedAt_ > suspectAfter_ * retentionFactor; });
}

const Vm* MembershipView::find(const VmId& vm) const
{
    auto found = index_->vms_.find(vm);
    return found == index_->vms_.end() ? nullptr : &found->second;
}

std::vector<VmId> MembershipView::serversOf(std::string_view name, const DataCentreId& dataCentre) const
{
    std::vector<VmId> servers;
    auto found = index_->serversByName_.find(name);
    if (found == index_->serversByName_.end())
        return servers;
    for (const VmId& id : found->second) {
        if (isLeaving(id) || (!dataCentre.isEmpty() && find(id)->dataCentre_ != dataCentre))
            continue;
        servers.push_back(id);
    }
    return servers;
}

std::vector<VmId> MembershipView::nodesOf(const DataCentreId& dataCentre) const
{
    if (dataCentre == dataCentre_)
        return localNodes_;
    std::vector<VmId> nodes;
    auto found = index_->entryVms_.find(dataCentre);
    if (found == index_->entryVms_.end())
        return nodes;
    for (const VmId& id : found->second) {
        if (!isLeaving(id))
            nodes.push_back(id);
    }
    return nodes;
}

std::vector<VmId> MembershipView::allNodes() const
{
    std::vector<VmId> nodes = localNodes_;
    for (const auto& [dataCentre, vms] : index_->entryVms_) {
        if (dataCentre == dataCentre_)
            continue;
        for (const VmId& id : vms) {
            if (!isLeaving(id))
                nodes.push_back(id);
        }
    }
    return nodes;
}

std::vector<VmId> rankReplicas(const MembershipView& view, const RecordLocation& location, const std::string& key, const std::set<VmId>& excluded)
{
    std::vector<VmId> sameRegion;
    std::vector<VmId> otherRegions;
    std::vector<VmId> sameDataCentre;
    for (const VmId& node : view.allNodes()) {
        const Vm* vm = view.find(node);
        if (!vm || node == location.node_ || excluded.contains(node))
            continue;
        bool isSameRegion = vm->region_.isEmpty() || location.region_.isEmpty() || vm->region_ == location.region_;
        if (vm->dataCentre_ == location.dataCentre_)
            sameDataCentre.push_back(node);
        else
            (isSameRegion ? sameRegion : otherRegions).push_back(node);
    }
    std::vector<VmId> ranked;
    for (const auto* group : { &sameRegion, &otherRegions, &sameDataCentre }) {
        std::vector<VmId> rankedGroup = rankByRendezvous(key, *group);
        ranked.insert(ranked.end(), rankedGroup.begin(), rankedGroup.end());
    }
    return ranked;
}

MembershipView buildView(std::shared_ptr<const VmIndex> index, const GossipTable& gossip, const LeavingTable& leaving, const DataCentreId& own, SteadyTime now)
{
    MembershipView view;
    view.index_ = std::move(index);
    view.dataCentre_ = own;
    const NodeDigest& self = gossip.self();
    for (NodeDigest& digest : gossip.live(now)) {
        if (digest.isLeaving_)
            view.leaving_.insert(digest.node_);
        view.digests_[digest.node_] = std::move(digest);
    }
    view.digests_[self.node_] = self;
    for (const auto& [id, vm] : view.index_->vms_) {
        if (vm.state_ == Vm::State::Leaving)
            view.leaving_.insert(id);
    }
    for (const auto& [id, marked] : leaving.all())
        view.leaving_.insert(id);
    if (self.isLeaving_)
        view.leaving_.insert(self.node_);
    else
        view.localNodes_.push_back(self.node_);
    auto local = view.index_->entryVms_.find(own);
    if (local != view.index_->entryVms_.end()) {
        for (const VmId& id : local->second) {
            if (id != self.node_ && !view.isLeaving(id) && !gossip.isSuspected(id, now))
                view.localNodes_.push_back(id);
        }
    }
    std::sort(view.localNodes_.begin(), view.localNodes_.end());
    return view;
}

} // namespace pistachioloom
