//===- lib/Node/ControlPlane.h - membership and catalogue of a node -------===//
///
/// \file
/// Keeps a node's views of membership and catalogue up to date: gossip inside
/// the data centre, one relay in each data centre that reads the platform and
/// gossips with the other data centres, and pulls from peers with newer state.
/// All nodes run the same code. Two simultaneous relays cause duplicate
/// messages but no errors.
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

/// Maintains the membership and the catalogue of a node.
class ControlPlane {
public:
    /// Returns this node's load by model, which gossip carries.
    using LoadsHook = std::function<std::map<std::string, ModelLoad>()>;

    ControlPlane(NodeContext& context, LoadsHook loads);

    void start();

    wire::Frame answerGossip(const wire::Gossip& gossip);
    wire::Frame answerCatalogueFetch(const wire::CatalogueFetch& fetch);
    wire::Frame answerVmListFetch(const wire::VmListFetch& fetch);
    /// Applies a VM list that a peer pushed because this node's list is older.
    wire::Frame applyVmList(const wire::VmListUpdate& update);

    struct LeavingVm {
        VmId vm_;
        /// Time until the VM stops, if the notice states it.
        std::optional<milliseconds> remaining_;
    };

    /// Marks VMs as leaving, after a reclaim notice or a report of the VM itself.
    /// Gossips the change if the table of leaving VMs changed.
    void markLeaving(const std::vector<LeavingVm>& vms);
    /// Time until a leaving VM stops: from its notice, or otherwise the default
    /// notice counted from the time at which the VM was marked. nullopt for a
    /// VM that is not leaving.
    std::optional<milliseconds> remainingNotice(const VmId& vm) const;
    /// Gossips that this node is leaving, to the peers of broadcastGossip().
    void announceLeaving();

    /// Appends an edit and reads the log up to it. Errors: OutcomeUnknown if
    /// the edit may have been appended but was not read back in time.
    asio::awaitable<Result<EditOutcome>> edit(CatalogueEdit edit);
    std::vector<CatalogueChange> history() const;
    /// Whether this node is the relay of its data centre.
    bool isRelay() const;
    /// Time since the catalogue was last known to be current.
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
    /// Gossips to all nodes of this data centre and, on the relay, to one node
    /// of each other data centre.
    void broadcastGossip();
    std::vector<VmId> localPeers() const;
    /// One node of each other data centre.
    std::vector<VmId> remoteContacts() const;
    /// Picks at most as many of remoteContacts() as the relay fan-out, in
    /// rotation over the data centres.
    std::vector<VmId> nextContacts();
    wire::Frame makeGossip() const;
    /// Merges \p gossip into this node's state. \returns whether this changed the
    /// table of leaving VMs.
    bool mergeGossip(const wire::Gossip& gossip);
    /// Pulls the catalogue and the VM list from the sender of \p gossip where its
    /// versions are newer.
    void pullUpdates(const wire::Gossip& gossip);
    void applyRecords(const std::vector<std::pair<LogOffset, std::string>>& records);
    /// Calls \p adopt on the store. If the list changed, publishes the membership
    /// and, on the relay, gossips the new version.
    void adoptVmList(const std::function<bool(VmListStore&)>& adopt);
    void adoptVmChanges(const wire::VmListUpdate& update);
    void publishMembership();
    void publishCatalogue();

    NodeContext& context_;
    LoadsHook loads_;
    Logger logger_;
    // Guards the members below; held for short computations only.
    mutable std::mutex mutex_;
    GossipTable gossip_;
    LeavingTable leaving_;
    std::shared_ptr<const VmIndex> vmIndex_ = std::make_shared<const VmIndex>();
    VmListStore vmList_;
    CatalogueState catalogue_;
    /// When this node last read a new catalogue snapshot or was due to append
    /// one, and the offset of the latest snapshot that it read.
    SteadyTime lastSnapshotAt_;
    LogOffset lastSnapshotOffset_;
    /// When records were last applied without a gap in the catalogue.
    SteadyTime catalogueCurrentAt_;
    /// Start of the next rotation in nextContacts().
    std::size_t nextContact_ = 0;
    bool isVmListReachable_ = true;
    bool isSyncingCatalogue_ = false;
    bool isSyncingVmList_ = false;
    // Serialises publications, so that an older state never replaces a newer
    // one.
    std::mutex publishMutex_;
};

} // namespace pistachioloom
