//===- lib/Node/Gossiping.cpp - gossip of the control plane ---------------===//
///
/// \file
/// Implements what the control plane exchanges with peers: heartbeats, digests,
/// and pulls of catalogue and VM list from peers with newer versions.
//===----------------------------------------------------------------------===//
#include "ControlPlane.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    constexpr milliseconds gossipTimeout { 1000 };
    constexpr milliseconds syncTimeout { 3000 };
    // Time for which a leaving VM is gossiped; all nodes have received it by
    // then.
    constexpr milliseconds leavingGossipPeriod { 60000 };

    std::uint32_t shortHash(const VmId& vm)
    {
        return static_cast<std::uint32_t>(stableHash(vm.value_));
    }

    void encodeDigest(const NodeDigest& digest, wire::NodeDigest& message)
    {
        message.set_node_hash(shortHash(digest.node_));
        message.set_incarnation(digest.incarnation_);
        message.set_heartbeat(digest.heartbeat_);
        message.set_is_leaving(digest.isLeaving_);
    }

    // VMs of one data centre whose hashes collide cannot be distinguished. With
    // 60 nodes the probability is one in two million. Both VMs then count as
    // alive while either of them is.
    std::vector<NodeDigest> decodeDigests(const wire::Gossip& gossip, const std::vector<VmId>& known)
    {
        std::vector<NodeDigest> digests;
        for (const wire::NodeDigest& message : gossip.digests()) {
            for (const VmId& vm : known) {
                if (shortHash(vm) != message.node_hash())
                    continue;
                NodeDigest digest;
                digest.node_ = vm;
                digest.incarnation_ = message.incarnation();
                digest.heartbeat_ = message.heartbeat();
                digest.isLeaving_ = message.is_leaving();
                digest.isFirstHand_ = vm.value_ == gossip.sender();
                digests.push_back(std::move(digest));
            }
        }
        for (NodeDigest& digest : digests) {
            if (!digest.isFirstHand_)
                continue;
            digest.catalogueOffset_ = { gossip.catalogue_offset() };
            digest.vmListVersion_ = gossip.vm_list_version();
            for (const wire::ModelLoad& load : gossip.loads())
                digest.loads_[load.model()] = { load.free_slots(), load.queued(), milliseconds(load.wait_ms()), load.trials() };
        }
        return digests;
    }

} // namespace

std::vector<VmId> ControlPlane::localPeers() const
{
    auto view = context_.membership();
    std::vector<VmId> peers;
    auto local = view->index_->entryVms_.find(context_.settings_.dataCentre_);
    if (local == view->index_->entryVms_.end())
        return peers;
    for (const VmId& id : local->second) {
        if (id != context_.self())
            peers.push_back(id);
    }
    return peers;
}

std::vector<VmId> ControlPlane::remoteContacts() const
{
    auto view = context_.membership();
    std::vector<VmId> contacts;
    for (const auto& [dataCentre, nodes] : view->index_->entryVms_) {
        if (dataCentre == context_.settings_.dataCentre_ || nodes.empty())
            continue;
        contacts.push_back(nodes[randomBits() % nodes.size()]);
    }
    return contacts;
}

std::vector<VmId> ControlPlane::nextContacts()
{
    std::vector<VmId> contacts = remoteContacts();
    std::size_t maxContacts = context_.settings_.membership_.relayFanout_;
    if (contacts.size() <= maxContacts)
        return contacts;
    std::vector<VmId> chosen;
    for (std::size_t i = 0; i < maxContacts; ++i)
        chosen.push_back(contacts[(nextContact_ + i) % contacts.size()]);
    nextContact_ = (nextContact_ + maxContacts) % contacts.size();
    return chosen;
}

void ControlPlane::gossipTo(const std::vector<VmId>& peers)
{
    for (const VmId& peer : peers)
        context_.spawn(exchangeGossip(peer));
}

void ControlPlane::broadcastGossip()
{
    gossipTo(localPeers());
    if (isRelay())
        gossipTo(remoteContacts());
}

asio::awaitable<void> ControlPlane::heartbeatLoop()
{
    const MembershipSettings& settings = context_.settings_.membership_;
    for (;;) {
        auto loads = loads_();
        {
            std::lock_guard lock(mutex_);
            gossip_.self().loads_ = std::move(loads);
            gossip_.advanceHeartbeat();
            gossip_.forgetOld(steadyNow());
        }
        publishMembership();
        std::vector<VmId> peers = localPeers();
        while (peers.size() > settings.fanout_)
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(randomBits() % peers.size()));
        gossipTo(peers);
        if (isRelay())
            gossipTo(nextContacts());
        co_await sleepFor(settings.heartbeat_);
    }
}

wire::Frame ControlPlane::makeGossip() const
{
    std::lock_guard lock(mutex_);
    wire::Frame frame;
    wire::Gossip& gossip = *frame.mutable_gossip();
    gossip.set_sender(context_.self().value_);
    gossip.set_data_centre(context_.settings_.dataCentre_.value_);
    const NodeDigest& self = gossip_.self();
    gossip.set_catalogue_offset(self.catalogueOffset_.value_);
    gossip.set_vm_list_version(self.vmListVersion_);
    for (const auto& [model, load] : self.loads_) {
        wire::ModelLoad& encoded = *gossip.add_loads();
        encoded.set_model(model);
        encoded.set_free_slots(load.freeSlots_);
        encoded.set_queued(load.queued_);
        encoded.set_wait_ms(static_cast<std::uint32_t>(load.wait_.count()));
        encoded.set_trials(load.trialSlots_);
    }
    for (const NodeDigest& digest : gossip_.digests(steadyNow()))
        encodeDigest(digest, *gossip.add_digests());
    for (const auto& [vm, leaving] : leaving_.all()) {
        if (steadyNow() - leaving.markedAt_ > leavingGossipPeriod)
            continue;
        wire::LeavingVm& encoded = *gossip.add_leaving();
        encoded.set_vm(vm.value_);
        encoded.set_has_deadline(leaving.stopsAt_.has_value());
        if (leaving.stopsAt_) {
            auto remaining = std::chrono::duration_cast<milliseconds>(*leaving.stopsAt_ - steadyNow());
            encoded.set_remaining_ms(static_cast<std::uint64_t>(std::max(milliseconds {}, remaining).count()));
        }
    }
    return frame;
}

asio::awaitable<void> ControlPlane::exchangeGossip(VmId peer)
{
    context_.metrics_.add(Counter::GossipMessages);
    wire::Frame request = makeGossip();
    auto reply = co_await context_.call(peer, request, gossipTimeout);
    if (!reply || !reply.value().has_gossip())
        co_return;
    if (mergeGossip(reply.value().gossip()))
        publishMembership();
    pullUpdates(reply.value().gossip());
    // A peer with an old VM list may not find this node's address in it and then
    // cannot pull the newer list, so this node pushes it.
    std::uint64_t peerVersion = reply.value().gossip().vm_list_version();
    bool isSameDataCentre = reply.value().gossip().data_centre() == context_.settings_.dataCentre_.value_;
    if (isSameDataCentre && peerVersion < context_.membership()->index_->version_)
        co_await pushVmList(peer, peerVersion);
}

asio::awaitable<void> ControlPlane::pushVmList(VmId peer, std::uint64_t knownVersion)
{
    wire::VmListFetch known;
    known.set_known_version(knownVersion);
    wire::Frame update = answerVmListFetch(known);
    (void)co_await context_.call(peer, update, syncTimeout);
}

wire::Frame ControlPlane::applyVmList(const wire::VmListUpdate& update)
{
    adoptVmChanges(update);
    wire::Frame frame;
    frame.mutable_ack();
    return frame;
}

wire::Frame ControlPlane::answerGossip(const wire::Gossip& gossip)
{
    context_.metrics_.add(Counter::GossipMessages);
    if (mergeGossip(gossip))
        publishMembership();
    pullUpdates(gossip);
    return makeGossip();
}

bool ControlPlane::mergeGossip(const wire::Gossip& gossip)
{
    std::lock_guard lock(mutex_);
    bool isLocal = gossip.data_centre() == context_.settings_.dataCentre_.value_;
    bool isUpdate = false;
    auto local = vmIndex_->entryVms_.find(context_.settings_.dataCentre_);
    if (isLocal && local != vmIndex_->entryVms_.end())
        gossip_.merge(decodeDigests(gossip, local->second), steadyNow());
    for (const wire::LeavingVm& leaving : gossip.leaving()) {
        auto stopsAt = leaving.has_deadline() ? std::optional(steadyNow() + milliseconds(leaving.remaining_ms())) : std::nullopt;
        isUpdate |= leaving_.markLeaving({ leaving.vm() }, stopsAt, steadyNow());
    }
    return isUpdate;
}

void ControlPlane::pullUpdates(const wire::Gossip& gossip)
{
    bool needsCatalogue = false;
    bool needsVmList = false;
    {
        std::lock_guard lock(mutex_);
        needsCatalogue = gossip.catalogue_offset() > catalogue_.nextOffset().value_ && !isSyncingCatalogue_;
        // Addresses may differ between data centres, so the list of another
        // data centre is pulled only while the platform's list is unreachable.
        bool isSameDataCentre = gossip.data_centre() == context_.settings_.dataCentre_.value_;
        needsVmList = gossip.vm_list_version() > vmIndex_->version_ && !isSyncingVmList_ && (isSameDataCentre || !isVmListReachable_);
        isSyncingCatalogue_ |= needsCatalogue;
        isSyncingVmList_ |= needsVmList;
    }
    if (needsCatalogue)
        context_.spawn(syncCatalogue({ gossip.sender() }));
    if (needsVmList)
        context_.spawn(syncVmList({ gossip.sender() }));
}

asio::awaitable<void> ControlPlane::syncCatalogue(VmId peer)
{
    wire::Frame request;
    {
        std::lock_guard lock(mutex_);
        request.mutable_catalogue_fetch()->set_from_offset(catalogue_.nextOffset().value_);
    }
    auto reply = co_await context_.call(peer, request, syncTimeout);
    bool hasAdopted = false;
    std::vector<std::pair<LogOffset, std::string>> records;
    if (reply && reply.value().has_catalogue_update()) {
        const wire::CatalogueUpdate& update = reply.value().catalogue_update();
        std::lock_guard lock(mutex_);
        hasAdopted = !update.snapshot().empty() && catalogue_.adoptSnapshot(update.snapshot());
        for (int i = 0; i < std::min(update.records_size(), update.offsets_size()); ++i)
            records.emplace_back(LogOffset { update.offsets(i) }, update.records(i));
    }
    if (hasAdopted) {
        logger_.info("Catalogue snapshot was adopted from peer " + peer.value_ + ".");
        publishCatalogue();
    }
    applyRecords(records);
    std::lock_guard lock(mutex_);
    isSyncingCatalogue_ = false;
}

wire::Frame ControlPlane::answerCatalogueFetch(const wire::CatalogueFetch& fetch)
{
    std::lock_guard lock(mutex_);
    wire::Frame frame;
    wire::CatalogueUpdate& update = *frame.mutable_catalogue_update();
    update.set_next_offset(catalogue_.nextOffset().value_);
    auto records = catalogue_.recordsFrom({ fetch.from_offset() });
    if (!records) {
        update.set_snapshot(catalogue_.encodeSnapshot());
        return frame;
    }
    for (const auto& [offset, record] : *records) {
        update.add_offsets(offset.value_);
        update.add_records(record);
    }
    return frame;
}

asio::awaitable<void> ControlPlane::syncVmList(VmId peer)
{
    wire::Frame request;
    request.mutable_vm_list_fetch()->set_known_version(context_.membership()->index_->version_);
    auto reply = co_await context_.call(peer, request, syncTimeout);
    if (reply && reply.value().has_vm_list_update())
        adoptVmChanges(reply.value().vm_list_update());
    std::lock_guard lock(mutex_);
    isSyncingVmList_ = false;
}

void ControlPlane::adoptVmChanges(const wire::VmListUpdate& update)
{
    VmListChanges changes { update.version(), update.base(), { update.changed().begin(), update.changed().end() }, {}, update.hash() };
    for (const std::string& vm : update.removed())
        changes.removed_.push_back({ vm });
    adoptVmList([&](VmListStore& store) { return store.adoptChanges(changes); });
}

wire::Frame ControlPlane::answerVmListFetch(const wire::VmListFetch& fetch)
{
    std::lock_guard lock(mutex_);
    wire::Frame frame;
    wire::VmListUpdate& update = *frame.mutable_vm_list_update();
    if (vmList_.version() <= fetch.known_version())
        return frame;
    VmListChanges changes = vmList_.changesSince(fetch.known_version());
    update.set_version(changes.version_);
    update.set_base(changes.base_);
    update.set_hash(changes.hash_);
    for (std::string& text : changes.changed_)
        update.add_changed(std::move(text));
    for (const VmId& vm : changes.removed_)
        update.add_removed(vm.value_);
    return frame;
}

} // namespace pistachioloom
