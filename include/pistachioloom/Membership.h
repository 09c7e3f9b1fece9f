//===- pistachioloom/Membership.h - VM list, gossip and leaving VMs --------===//
///
/// \file
/// The I/O-free part of cluster membership: the platform's VM list (which may
/// be out of date), reclaim notices, and heartbeats that the nodes of one data
/// centre spread by gossip. The current time is always passed in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pistachioloom {

/// One VM of the platform's VM list.
struct Vm {
    enum class Kind {
        Entry,
        ModelEngine,
        Service,
    };
    enum class State {
        Live,
        Leaving,
    };

    VmId id_;
    Kind kind_ = Kind::Entry;
    State state_ = State::Live;
    DataCentreId dataCentre_;
    RegionId region_;
    std::string host_;
    /// Port for peer connections on an entry VM, or the serving port of a
    /// backend server.
    std::uint16_t port_ = 0;
    std::uint16_t operatorPort_ = 0;
    std::uint16_t callerPort_ = 0;
    /// Models of an engine, or the name of a service.
    std::vector<std::string> serves_;
    bool isReclaimable_ = false;
    /// Price per hour in thousandths of the platform's currency unit.
    std::uint64_t pricePerHour_ = 0;

    bool isBackendServer() const { return kind_ != Kind::Entry; }
    bool doesServe(std::string_view name) const;
};

/// The platform's VM list at one version.
struct VmList {
    std::uint64_t version_ = 0;
    std::vector<Vm> vms_;
};

/// Parses the platform's JSON. \returns nullopt if it is malformed; VMs without
/// an id or of an unknown kind are left out.
std::optional<VmList> parseVmList(const std::string& json);

/// Differences between two versions of the VM list.
struct VmListChanges {
    std::uint64_t version_ = 0;
    /// The version that the changes apply to; 0 if they are the full list.
    std::uint64_t base_ = 0;
    /// The platform's JSON for each VM that is new or changed.
    std::vector<std::string> changed_;
    std::vector<VmId> removed_;
    /// Hash of the list after the changes; 0 if it is not known.
    std::uint64_t hash_ = 0;
};

/// Stores the VM list together with the version of each change and removal, so
/// that a peer with a recent version is sent only the differences.
class VmListStore {
public:
    /// Adopts the platform's full list. \returns whether it was newer.
    bool adoptList(const std::string& json);
    /// Applies changes from a peer. \returns false if they are not newer or
    /// apply to a version other than the current one. If the resulting list
    /// differs from the peer's (the platform may issue two lists with the same
    /// version), the version is reset to 0 so that the full list is requested.
    bool adoptChanges(const VmListChanges& changes);
    /// \returns the changes since \p version, or the full list if this store
    /// never held that version.
    VmListChanges changesSince(std::uint64_t version) const;
    VmList list() const;
    /// Hash of all VMs, independent of the order in which they were added.
    std::uint64_t hash() const;
    std::uint64_t version() const { return version_; }

private:
    struct StoredVm {
        /// The platform's JSON of `vm_`.
        std::string json_;
        Vm vm_;
        /// Version of the list in which the VM last changed.
        std::uint64_t changedVersion_ = 0;
    };

    void put(const std::string& text, std::uint64_t version);
    void remove(const VmId& vm, std::uint64_t version);
    void forgetOldestVersion();

    std::map<VmId, StoredVm> storedVms_;
    /// Version of the list in which each VM was removed.
    std::map<VmId, std::uint64_t> removed_;
    std::uint64_t version_ = 0;
    /// Versions that this store has held. A peer at any other version may list
    /// a VM whose addition and removal this store never saw, so it needs the
    /// full list.
    std::set<std::uint64_t> seenVersions_;
};

/// Load of one model on one dispatcher, as gossiped to other nodes.
struct ModelLoad {
    std::uint32_t freeSlots_ = 0;
    std::uint32_t queued_ = 0;
    /// Estimated queueing time of a new trial-class request; 0 if a slot is
    /// free.
    milliseconds wait_ {};
    /// Slots held by requests of the trial class, which paid requests preempt.
    std::uint32_t trialSlots_ = 0;
};

/// The state that one node gossips about itself.
struct NodeDigest {
    VmId node_;
    /// Increases with each start of the process.
    std::uint64_t incarnation_ = 0;
    /// Increases with each heartbeat of an incarnation.
    std::uint64_t heartbeat_ = 0;
    bool isLeaving_ = false;
    /// Whether the digest was received from the node itself. The fields below
    /// are not forwarded by other nodes.
    bool isFirstHand_ = false;
    LogOffset catalogueOffset_;
    std::uint64_t vmListVersion_ = 0;
    std::map<std::string, ModelLoad> loads_;

    bool isNewerThan(const NodeDigest& other) const;
};

/// \returns the time without a heartbeat after which a node is suspected. It is
/// \p base plus one \p heartbeat interval per doubling of \p nodes, the size of
/// the data centre, since gossip reaches all nodes in logarithmic time.
milliseconds suspicionTime(milliseconds base, milliseconds heartbeat, std::size_t nodes);

/// Failure detector for the nodes of one data centre. A node whose heartbeat
/// does not advance for the suspicion time is suspected until it advances
/// again.
class GossipTable {
public:
    GossipTable(VmId self, std::uint64_t incarnation, milliseconds suspectAfter);

    void setSuspicionTime(milliseconds suspectAfter) { suspectAfter_ = suspectAfter; }
    NodeDigest& self() { return self_; }
    const NodeDigest& self() const { return self_; }
    /// Adds the nodes of the VM list. A node that never sends a heartbeat is
    /// suspected when the suspicion time has passed since it was added.
    void expect(const std::vector<VmId>& nodes, SteadyTime now);
    /// Advances this node's own heartbeat.
    void advanceHeartbeat() { ++self_.heartbeat_; }
    /// Merges the digests of another node. \returns whether any of them was
    /// newer.
    bool merge(const std::vector<NodeDigest>& digests, SteadyTime now);
    /// \returns this node's digest and those of the peers that were updated
    /// recently, to be sent to another node.
    std::vector<NodeDigest> digests(SteadyTime now) const;
    /// \returns the digests of the peers that are not suspected, including
    /// those that are leaving.
    std::vector<NodeDigest> live(SteadyTime now) const;
    /// Whether \p node is known but its heartbeat has not advanced in time.
    bool isSuspected(const VmId& node, SteadyTime now) const;
    /// Removes nodes that have been unresponsive for a multiple of the suspicion
    /// time.
    void forgetOld(SteadyTime now);

private:
    struct PeerState {
        NodeDigest digest_;
        SteadyTime updatedAt_;
    };

    NodeDigest self_;
    milliseconds suspectAfter_;
    std::map<VmId, PeerState> peers_;
};

/// VMs that are known to be leaving, even if the VM list still has them as
/// live.
class LeavingTable {
public:
    struct Leaving {
        /// When the VM stops, if a notice stated the time.
        std::optional<SteadyTime> stopsAt_;
        SteadyTime markedAt_;
    };

    /// \returns whether the table changed: \p vm was not marked before, or
    /// \p stopsAt is the first stop time stated for it.
    bool markLeaving(const VmId& vm, std::optional<SteadyTime> stopsAt, SteadyTime now);
    bool isLeaving(const VmId& vm) const { return leaving_.contains(vm); }
    std::optional<SteadyTime> stopsAt(const VmId& vm) const;
    /// When \p vm was first marked as leaving.
    std::optional<SteadyTime> markedAt(const VmId& vm) const;
    /// Removes VMs that were marked more than \p retention ago.
    void forgetOld(milliseconds retention, SteadyTime now);
    const std::map<VmId, Leaving>& all() const { return leaving_; }

private:
    std::map<VmId, Leaving> leaving_;
};

/// The VM list indexed for lookups; rebuilt only when the list changes.
struct VmIndex {
    std::uint64_t version_ = 0;
    std::map<VmId, Vm> vms_;
    /// Maps a model or service to the backend servers that serve it.
    std::map<std::string, std::vector<VmId>, std::less<>> serversByName_;
    /// Maps each data centre that has entry VMs to those VMs.
    std::map<DataCentreId, std::vector<VmId>> entryVms_;
};

std::shared_ptr<const VmIndex> indexVmList(const VmList& list);

/// Immutable view of the cluster that the request path reads.
struct MembershipView {
    std::shared_ptr<const VmIndex> index_ = std::make_shared<const VmIndex>();
    DataCentreId dataCentre_;
    /// Sorted nodes of the own data centre that are eligible for roles such as
    /// dispatcher or coordinator; includes this node unless it is leaving.
    std::vector<VmId> localNodes_;
    /// Digests of the live nodes of the own data centre.
    std::map<VmId, NodeDigest> digests_;
    std::set<VmId> leaving_;

    const Vm* find(const VmId& vm) const;
    bool isLeaving(const VmId& vm) const { return leaving_.contains(vm); }
    /// \returns the backend servers that serve \p name and are not leaving, in
    /// \p dataCentre or, if that is empty, in all data centres.
    std::vector<VmId> serversOf(std::string_view name, const DataCentreId& dataCentre) const;
    /// \returns the entry VMs of \p dataCentre that are eligible for roles. In
    /// a remote data centre these are all that are not known to be leaving.
    std::vector<VmId> nodesOf(const DataCentreId& dataCentre) const;
    /// \returns every entry VM that is not leaving, those of the own data
    /// centre first.
    std::vector<VmId> allNodes() const;
};

/// Where the primary copy of a record is held.
struct RecordLocation {
    VmId node_;
    DataCentreId dataCentre_;
    RegionId region_;
};

/// \returns the candidate nodes for a replica, best first. Other data centres
/// of the same region come first, since the writer waits for the copy; other
/// regions come next, since a data centre may fail completely; the own data
/// centre comes last. VMs without a region count as being in the same region.
std::vector<VmId> rankReplicas(const MembershipView& view, const RecordLocation& location, const std::string& key, const std::set<VmId>& excluded);

/// Combines all sources into a view. A node is eligible for roles if it is not
/// leaving and it is this node, or it is in the VM list and not suspected.
MembershipView buildView(std::shared_ptr<const VmIndex> index, const GossipTable& gossip, const LeavingTable& leaving, const DataCentreId& own, SteadyTime now);

} // namespace pistachioloom
