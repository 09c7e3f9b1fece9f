//===- pistachioloom/Membership.h - who is there and who is leaving --------===//
///
/// \file
/// The pure part of membership: the platform's VM list (which lags), reclaim
/// notices, and heartbeats between the nodes of one data centre, spread by
/// gossip. It relies on nothing but times passed in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pistachioloom {

/// One line of the platform's VM list.
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
    /// The port of peers for an entry VM, else the one that serves.
    std::uint16_t port_ = 0;
    std::uint16_t operatorPort_ = 0;
    std::uint16_t callerPort_ = 0;
    /// Models of an engine or the name of a service.
    std::vector<std::string> serves_;
    bool isReclaimable_ = false;
    /// Price of an hour in thousandths of the platform's currency.
    std::uint64_t pricePerHour_ = 0;

    bool isBackendServer() const { return kind_ != Kind::Entry; }
    bool doesServe(std::string_view name) const;
};

/// The VM list at one version of the platform's.
struct VmList {
    std::uint64_t version_ = 0;
    std::vector<Vm> vms_;
};

/// Reads the platform's JSON form; nullopt if it is malformed.
std::optional<VmList> parseVmList(const std::string& json);

/// What changed on the list since a version.
struct VmListChanges {
    std::uint64_t version_ = 0;
    /// The version that the changes apply to; 0 for the whole list.
    std::uint64_t base_ = 0;
    /// The platform's JSON of each VM that is new or changed.
    std::vector<std::string> changed_;
    std::vector<VmId> removed_;
    /// Of the list that comes of the changes.
    std::uint64_t hash_ = 0;
};

/// The VM list kept such that a peer who is a little behind is told only what
/// it does not know: each VM and each removal has the version that brought it.
class VmListStore {
public:
    /// Takes the platform's whole list. \returns whether it was newer.
    bool adoptList(const std::string& json);
    /// Takes what a peer told. \returns false if it is not newer, or applies to
    /// another version than ours. If the outcome is not the peer's list (the
    /// platform may give two lists the same version), our version is 0 after it,
    /// so that the whole list is asked for.
    bool adoptChanges(const VmListChanges& changes);
    /// What a peer at \p version does not know.
    VmListChanges changesSince(std::uint64_t version) const;
    VmList list() const;
    /// The same for the same lines, in whatever order they came.
    std::uint64_t hash() const;
    std::uint64_t version() const { return version_; }

private:
    struct StoredVm {
        std::string text_;
        Vm vm_;
        std::uint64_t changedVersion_ = 0;
    };

    void put(const std::string& text, std::uint64_t version);
    void remove(const VmId& vm, std::uint64_t version);
    void forgetOldestVersion();

    std::map<VmId, StoredVm> storedVms_;
    std::map<VmId, std::uint64_t> removed_;
    std::uint64_t version_ = 0;
    /// Versions at which we had the list. Who is at another one may know of a VM
    /// that came and went without our notice, and needs the whole list.
    std::set<std::uint64_t> seenVersions_;
};

/// The load of one model at one home, as others hear of it.
struct ModelLoad {
    std::uint32_t freeSlots_ = 0;
    std::uint32_t queued_ = 0;
    milliseconds wait_ {};
    /// Slots held by trials, which yield to paid work.
    std::uint32_t trialSlots_ = 0;
};

/// What one node says of itself.
struct NodeDigest {
    VmId node_;
    /// Greater after each start of the process.
    std::uint64_t incarnation_ = 0;
    /// Greater with each heartbeat of an incarnation.
    std::uint64_t heartbeat_ = 0;
    bool isLeaving_ = false;
    /// Whether the node itself told us; what follows is passed on by nobody else.
    bool isFirstHand_ = false;
    LogOffset catalogueOffset_;
    std::uint64_t vmListVersion_ = 0;
    std::map<std::string, ModelLoad> loads_;

    bool isNewerThan(const NodeDigest& other) const;
};

/// How long a node may be silent in a data centre of \p nodes before it is
/// suspected: \p base, and a heartbeat for each doubling, which is how the time
/// that gossip needs to reach everyone grows.
milliseconds suspicionTime(milliseconds base, milliseconds heartbeat, std::size_t nodes);

/// Heartbeats of one data centre. A node whose heartbeat does not advance for
/// the suspicion time is taken for dead until it advances again.
class GossipTable {
public:
    GossipTable(VmId self, std::uint64_t incarnation, milliseconds suspectAfter);

    void setSuspicionTime(milliseconds suspectAfter) { suspectAfter_ = suspectAfter; }
    NodeDigest& self() { return self_; }
    const NodeDigest& self() const { return self_; }
    /// Nodes that the VM list names: one never heard of is suspected too, after
    /// the same time.
    void expect(const std::vector<VmId>& nodes, SteadyTime now);
    /// Advances our own heartbeat.
    void advanceHeartbeat() { ++self_.heartbeat_; }
    /// Takes what another node told. \returns whether any of it was news.
    bool merge(const std::vector<NodeDigest>& digests, SteadyTime now);
    /// All that is known, to be told to another node.
    std::vector<NodeDigest> digests(SteadyTime now) const;
    /// Others heard of recently, leaving ones included.
    std::vector<NodeDigest> live(SteadyTime now) const;
    /// Whether \p node was heard of and then fell silent.
    bool isSuspected(const VmId& node, SteadyTime now) const;
    /// Forgets nodes silent for long.
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

/// Which VMs are known to be leaving, whatever the list still says.
class LeavingTable {
public:
    struct Leaving {
        /// When the VM stops, if a notice told.
        std::optional<SteadyTime> stopsAt_;
        SteadyTime markedAt_;
    };

    /// \returns whether this was news.
    bool markLeaving(const VmId& vm, std::optional<SteadyTime> stopsAt, SteadyTime now);
    bool isLeaving(const VmId& vm) const { return leaving_.contains(vm); }
    std::optional<SteadyTime> stopsAt(const VmId& vm) const;
    /// When we first heard that \p vm leaves.
    std::optional<SteadyTime> markedAt(const VmId& vm) const;
    /// Forgets what was marked longer than \p retention ago.
    void forgetOld(milliseconds retention, SteadyTime now);
    const std::map<VmId, Leaving>& all() const { return leaving_; }

private:
    std::map<VmId, Leaving> leaving_;
};

/// The VM list arranged for look-up; rebuilt only when the list changes.
struct VmIndex {
    std::uint64_t version_ = 0;
    std::map<VmId, Vm> vms_;
    /// Backend servers by what they serve.
    std::map<std::string, std::vector<VmId>, std::less<>> serversByName_;
    /// Entry VMs by data centre; its keys are all data centres with any.
    std::map<DataCentreId, std::vector<VmId>> entryVms_;
};

std::shared_ptr<const VmIndex> indexVmList(const VmList& list);

/// What the request path reads: one immutable picture of who serves what.
struct MembershipView {
    std::shared_ptr<const VmIndex> index_ = std::make_shared<const VmIndex>();
    DataCentreId dataCentre_;
    /// Nodes of our own data centre that take roles, sorted; ourselves included
    /// unless we are leaving.
    std::vector<VmId> localNodes_;
    /// Live digests of our own data centre.
    std::map<VmId, NodeDigest> digests_;
    std::set<VmId> leaving_;

    const Vm* find(const VmId& vm) const;
    bool isLeaving(const VmId& vm) const { return leaving_.contains(vm); }
    /// Backend servers that serve \p name and are not leaving, of
    /// \p dataCentre or, if that is empty, of all.
    std::vector<VmId> serversOf(std::string_view name, const DataCentreId& dataCentre) const;
    /// Entry VMs of \p dataCentre that take roles, as far as we know.
    std::vector<VmId> nodesOf(const DataCentreId& dataCentre) const;
    /// Every entry VM that is not leaving, our own data centre's first.
    std::vector<VmId> allNodes() const;
};

/// Where a record lives whose replica is sought.
struct RecordLocation {
    VmId node_;
    DataCentreId dataCentre_;
    RegionId region_;
};

/// Nodes that may keep a replica, best first: another data centre of the same
/// region, since the copy is waited for; then other regions, since a whole data
/// centre may go at once; our own data centre last. A list without regions
/// counts as one region.
std::vector<VmId> rankReplicas(const MembershipView& view, const RecordLocation& location, const std::string& key, const std::set<VmId>& excluded);

/// Puts the sources together. A node takes roles if it is us, or the list has
/// it, gossip does not suspect it and nobody says that it leaves.
MembershipView buildView(std::shared_ptr<const VmIndex> index, const GossipTable& gossip, const LeavingTable& leaving, const DataCentreId& own, SteadyTime now);

} // namespace pistachioloom
