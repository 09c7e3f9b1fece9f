//===- pistachioloom/Gateway.h - transparent forwarding gateway node ------===//
///
/// \file
/// A node that forwards requests transparently to backend servers, which register with
/// a platform. The platform is reached through hooks, and stores the state that must
/// outlive the nodes. Nodes report their state to each other in datagrams; any node can
/// take any role.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Backends.h"
#include "pistachioloom/Duties.h"
#include "pistachioloom/Fleet.h"
#include "pistachioloom/Forward.h"
#include "pistachioloom/Platform.h"
#include "pistachioloom/Yaml.h"

namespace pistachioloom {

/// A change of one registration in the list of backend servers.
struct RegistryChange {
    BackendName name_;
    /// nullopt if the registration was removed or is invalid.
    std::optional<BackendRecord> record_;
    /// Why the registration is invalid; empty if it is valid or was removed.
    std::string invalidReason_;
};

/// Result of a read of the registry of backend servers.
struct RegistryRead {
    /// Offset of the next read.
    LogOffset next_;
    /// The changes make up the complete list: backend servers without a change were
    /// removed.
    bool isComplete_ = false;
    std::vector<RegistryChange> changes_;
};

/// Result of a read of the configuration.
struct ConfigurationRead {
    /// Offset of the next read.
    LogOffset next_;
    /// The versions that were read, oldest first, for decodeConfiguration_.
    std::vector<std::string> sources_;
    /// Operators' orders to roll out new versions.
    std::vector<RolloutOrder> rollouts_;
};

/// A node that announced itself on the platform.
struct AnnouncedNode {
    VmId vm_;
    /// Where the node receives the datagrams of other nodes.
    Endpoint gossip_;
};

/// A key-value pair that the platform stores durably, so that it outlives all nodes.
struct StoredNote {
    std::string key_;
    /// An empty value removes the note.
    std::string value_;
};

/// Hooks through which a gateway uses the platform. The errors of all calls name the
/// step and the peer.
struct GatewayPlatform {
    /// Reads the records from \p from on, or the newest state if it is nullopt. Waits up
    /// to \p wait for a change. Errc::NotFound means that the records were removed and
    /// that the caller must read the newest state again.
    std::function<asio::awaitable<Result<ConfigurationRead>>(std::optional<LogOffset> from, milliseconds wait)> readConfiguration_;
    /// Reads the registry of backend servers as readConfiguration_ reads the
    /// configuration, without waiting.
    std::function<asio::awaitable<Result<RegistryRead>>(std::optional<LogOffset> from)> readRegistry_;
    /// Decodes the source text of a configuration. Called outside the event loops.
    std::function<Result<RouteConfiguration>(const std::string& source)> decodeConfiguration_;
    /// Announces this node to the others.
    std::function<asio::awaitable<Result<void>>(AnnouncedNode self)> announce_;
    /// Lists the nodes that have announced themselves.
    std::function<asio::awaitable<Result<std::vector<AnnouncedNode>>>()> listAnnounced_;
    std::function<asio::awaitable<Result<std::vector<StoredNote>>>()> readNotes_;
    /// Replaces the note with the same key.
    std::function<asio::awaitable<Result<void>>(StoredNote note)> writeNote_;
    /// Reads the log of duties from \p from on. The log's end is reached when a read
    /// returns no records.
    std::function<asio::awaitable<Result<LogRead>>(LogOffset from)> readDutyLog_;
    /// Appends \p record if the log of duties ends at \p end, and fails with
    /// Errc::Conflict if it does not. After an error whose `ran_` is Unknown the record
    /// may still appear.
    std::function<asio::awaitable<Result<void>>(LogOffset end, std::string record)> appendDutyRecord_;
    /// Appends \p record to part \p part of the log of origins, see OriginLog.h.
    std::function<asio::awaitable<Result<void>>(std::uint32_t part, std::string record)> appendOrigins_;
    /// Reads the newest records of \p part, at most \p count, that are at \p from or after it.
    std::function<asio::awaitable<Result<LogRead>>(std::uint32_t part, LogOffset from, std::uint64_t count)> readOrigins_;
    /// Reports the usage of \p window, as the holder of the duties by \p token.
    std::function<asio::awaitable<Result<void>>(VmId holder, DutyToken token, WindowNumber window, UsageCounts counts)> reportUsage_;
    /// Orders engines, as the holder of the duties by \p token.
    std::function<asio::awaitable<Result<void>>(VmId holder, DutyToken token, FleetOrder order)> orderFleet_;
    /// Reports the state of a roll-out order to the operator. Errc::Conflict means that a
    /// holder with a higher token has reported since. \p call numbers the calls under one
    /// token from 1; a call without an answer is repeated with the same number.
    std::function<asio::awaitable<Result<void>>(DutyToken token, std::uint64_t call, RolloutState state)> reportRollout_;
    /// See ForwardHooks::copyStream_.
    std::function<asio::awaitable<Result<std::string>>(StreamCopy copy)> copyStream_;
    /// See ForwardHooks::dropCopy_.
    std::function<asio::awaitable<Result<void>>(StreamCopy copy, std::string resumeFrom)> dropCopy_;
    ForwardHeaderNames headers_;
};

struct GossipSettings {
    /// Interval at which a node reports its state to the others.
    milliseconds period_ { 200 };
    /// Number of peers up to which every node reports to every other one: 24 peers take
    /// 120 datagrams a second at a period of 200 ms. In larger fleets relays aggregate the
    /// reports.
    std::uint64_t fanout_ = 24;
    /// Relays of each data centre in a fleet with more than `fanout_` peers: one more than
    /// needed, so that no report is lost when a relay leaves.
    std::uint64_t relays_ = 2;
    /// A node from which no report was received for this time counts as not alive.
    milliseconds unresponsiveAfter_ { 1500 };
    /// A node from which no report was received for this time is removed, and its counts
    /// are forgotten.
    milliseconds forgetAfter_ { 30000 };
};

struct FeedSettings {
    /// Upper bound on the wait of one read for a new configuration. A reader whose
    /// connection has stalled reads again after this time, the timeout of a call and
    /// `retryPause_`, and learns of changes from peers until then.
    milliseconds configurationWait_ { 1000 };
    /// Minimum time between two reads of the registry, whose entries change with each
    /// heartbeat of each backend server.
    milliseconds registryPeriod_ { 500 };
    /// Pause after a failed read.
    milliseconds retryPause_ { 200 };
    /// Registrations that are missing after an outage of the platform are kept for this
    /// time, so that their backend servers can renew them.
    milliseconds registrationGrace_ { 2200 };
    /// Number of nodes that read from the platform in addition to one in each data centre.
    /// All other nodes fetch the configuration and the registry from these readers.
    std::uint64_t readers_ = 3;
    /// A reader from which no report was received for this time, which is four reporting
    /// intervals, is replaced by another node.
    milliseconds readerTimeout_ { 800 };
    /// A reader that has not read the registry from the platform for this time fetches it
    /// from its peers.
    milliseconds askPeersAfter_ { 1200 };
};

struct GatewaySettings {
    VmId vm_;
    DataCentreId dataCentre_;
    std::uint64_t threads_ = 1;
    /// CPU cores of this VM. Nodes with more cores are preferred as relays and as
    /// readers.
    double cores_ = 1;
    /// Where the node accepts connections of callers.
    Endpoint callers_;
    /// Where the node answers the load balancer's readiness probes.
    Endpoint readiness_;
    /// Where the node accepts connections of peers.
    Endpoint peers_;
    /// Where the node receives datagrams of peers.
    Endpoint gossip_;
    /// Where the node serves its metrics and the operators' endpoints.
    Endpoint metrics_;
    /// Nodes to contact first. Only their hosts are used, since all nodes have the same
    /// gossip port.
    std::vector<Endpoint> seeds_;
    /// The platform's store of the configuration, the registry, the announcements of nodes,
    /// the notes, the log of duties and the states of roll-outs.
    Endpoint store_;
    /// The platform's service for usage reports and orders of engines; port 0 if this
    /// deployment has no duties.
    Endpoint duties_;
    /// Credential of the nodes among each other, which operators need for changes as well.
    std::string peerCredential_;
    /// Time between the signal to stop and the forced termination.
    milliseconds grace_ { 8000 };
    /// The load balancer may send new connections for this time after the node stopped
    /// being ready.
    milliseconds balancerGrace_ { 2500 };
    /// Added to this VM's time of day, to correct a clock with a known offset.
    milliseconds clockOffset_ {};
    /// Length of a window of which the usage is reported.
    milliseconds usageWindow_ { 5000 };
    UsageTiming usageTiming_;
    /// Lease on the duties, from which DutyTiming is derived.
    milliseconds dutyLease_ { 3000 };
    /// Retries allowed for each request of a service.
    double retryRatio_ = 0.2;
    /// Retries that all nodes together may send in a `retryWindow_` in addition to those
    /// that `retryRatio_` allows.
    double retryExtra_ = 0;
    milliseconds retryWindow_ { 10000 };
    GossipSettings gossipSettings_;
    FeedSettings feed_;
    FleetSettings fleet_;
    ForwardSettings forward_;
    QuarantineSettings quarantine_;
    RolloutSettings rollout_;
    ChoiceSettings choice_;
    LogSettings logs_;
};

/// Returns whether \p file contains the settings of a gateway; false if it cannot be
/// read.
bool isGatewayFile(const std::string& file);

/// Parses the settings in \p text. \returns nullopt if there were errors, which are added
/// to \p errors.
std::optional<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file, InputErrors& errors);

/// Reads and parses \p file. \returns nullopt on errors, as parseGatewaySettings().
std::optional<GatewaySettings> loadGatewaySettings(const std::string& file, InputErrors& errors);

/// A gateway node.
class Gateway {
public:
    /// \p file contains \p settings; it is read again on SIGHUP.
    Gateway(GatewaySettings settings, GatewayPlatform platform, std::string file);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Binds the ports and starts the node. \returns the port for callers.
    Result<std::uint16_t> start();
    /// Runs until SIGTERM or SIGINT, then drains within the grace time.
    void run();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace pistachioloom
