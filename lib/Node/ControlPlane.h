//===- lib/Node/ControlPlane.h - membership and catalogue of a node --------===//
///
/// \file
/// Keeps the pictures of membership and catalogue up to date: gossip inside the
/// data centre, one relay of each data centre towards the platform and the
/// other data centres, and pulls from whichever peer is ahead. Every node runs
/// the same code; two relays at once cost messages and nothing else.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"

#include <mutex>

namespace pistachioloom::wire {
class Gossip;
class CatalogueFetch;
class VmListFetch;
class VmListUpdate;
}

namespace pistachioloom {

class ControlPlane {
public:
    using LoadsHook = std::function<std::map<std::string, ModelLoad>()>;

    ControlPlane(NodeContext& context, LoadsHook loads);

    void start();

    wire::Frame answerGossip(const wire::Gossip& gossip);
    wire::Frame answerCatalogueFetch(const wire::CatalogueFetch& fetch);
    wire::Frame answerVmListFetch(const wire::VmListFetch& fetch);
    /// Takes a list that a peer pushed because ours is older.
    wire::Frame applyVmList(const wire::VmListUpdate& update);

    struct LeavingVm {
        VmId vm_;
        /// Until it stops, if the notice told.
        std::optional<milliseconds> remaining_;
    };

    /// Takes the word of notices or of the VMs themselves, and tells the peers.
    void markLeaving(const std::vector<LeavingVm>& vms);
    /// Time until a leaving VM stops: what its notice told, or else the default
    /// counted from when it was marked. nullopt for a VM that stays.
    std::optional<milliseconds> remainingNotice(const VmId& vm) const;
    /// Tells all peers that this node leaves.
    void announceLeaving();

    /// Appends an edit and reads the log up to it.
    asio::awaitable<Result<EditOutcome>> edit(CatalogueEdit edit);
    std::vector<CatalogueChange> history() const;
    bool isRelay() const;
    /// How long ago the catalogue was last known to be current.
    milliseconds catalogueAge() const;

private:
    asio::awaitable<void> heartbeatLoop();
    asio::awaitable<void> vmListLoop();
    asio::awaitable<void> noticeLoop();
    asio::awaitable<void> catalogueLoop();
    asio::awaitable<void> exchangeGossip(VmId peer);
    asio::awaitable<void> syncCatalogue(VmId peer);
    asio::awaitable<void> syncVmList(VmId peer);
    asio::awaitable<void> pushVmList(VmId peer, std::uint64_t knownVersion);
    asio::awaitable<Result<void>> readCatalogue(milliseconds wait);
    asio::awaitable<void> appendSnapshotIfDue();
    asio::awaitable<Result<LogOffset>> appendEdit(const CatalogueEdit& edit, SteadyTime until);

    void gossipTo(const std::vector<VmId>& peers);
    void gossipEverywhere();
    std::vector<VmId> localPeers() const;
    /// One node of each other data centre.
    std::vector<VmId> remoteContacts() const;
    /// The next few of them, in turn.
    std::vector<VmId> nextContacts();
    wire::Frame makeGossip() const;
    /// \returns whether a VM was newly found to leave.
    bool mergeGossip(const wire::Gossip& gossip);
    void pullUpdates(const wire::Gossip& gossip);
    void applyRecords(const std::vector<std::pair<LogOffset, std::string>>& records);
    /// \p adopt takes it into the store; what is newer is published and told.
    void adoptVmList(const std::function<bool(VmListStore&)>& adopt);
    void adoptVmChanges(const wire::VmListUpdate& update);
    void publishMembership();
    void publishCatalogue();

    NodeContext& context_;
    LoadsHook loads_;
    Logger logger_;
    // Guards what follows; held for short computations only.
    mutable std::mutex mutex_;
    GossipTable gossip_;
    LeavingTable leaving_;
    std::shared_ptr<const VmIndex> vmIndex_ = std::make_shared<const VmIndex>();
    VmListStore vmList_;
    CatalogueState catalogue_;
    SteadyTime snapshotSeenAt_;
    LogOffset snapshotSeen_;
    SteadyTime catalogueCurrentAt_;
    std::size_t nextContact_ = 0;
    bool isVmListReachable_ = true;
    bool isSyncingCatalogue_ = false;
    bool isSyncingVmList_ = false;
    // Keeps publications in the order of the states they show.
    std::mutex publishMutex_;
};

} // namespace pistachioloom
