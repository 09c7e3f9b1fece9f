//===- pistachioloom/Gateway.h - a node that forwards transparently --------===//
///
/// \file
/// The daemon's second library: a node that serves transparent requests in front
/// of backend servers which a platform registers. What the platform offers comes
/// in as hooks; what must last is kept there. Nodes tell each other what they see
/// by datagrams, and none is set aside.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Backends.h"
#include "pistachioloom/Duties.h"
#include "pistachioloom/Fleet.h"
#include "pistachioloom/Forward.h"
#include "pistachioloom/Platform.h"
#include "pistachioloom/Yaml.h"

namespace pistachioloom {

/// A change of the list of backend servers.
struct RegistryChange {
    BackendName name_;
    /// nullopt: its registration is gone, or names no backend server to use.
    std::optional<BackendRecord> record_;
    /// Why the registration cannot be used; empty if it can, or is gone.
    std::string invalidReason_;
};

struct RegistryRead {
    /// Where to read on.
    LogOffset next_;
    /// The changes are the whole list; what is not in it is gone.
    bool isComplete_ = false;
    std::vector<RegistryChange> changes_;
};

struct ConfigurationRead {
    LogOffset next_;
    /// The versions read, oldest first, for decodeConfiguration_.
    std::vector<std::string> sources_;
    /// Orders to bring versions in.
    std::vector<RolloutOrder> rollouts_;
};

/// Another node of the system, as it announced itself.
struct AnnouncedNode {
    VmId vm_;
    Endpoint gossip_;
};

/// What outlives all processes of the system: the platform keeps it under its key.
struct StoredNote {
    std::string key_;
    /// Empty: the note is dropped.
    std::string value_;
};

/// The platform, as a gateway uses it. Every call fails with step and peer.
struct GatewayPlatform {
    /// Reads on from \p from, or the newest state without it; waits up to \p wait
    /// for a change. Errc::NotFound: the records are gone, begin anew.
    std::function<asio::awaitable<Result<ConfigurationRead>>(std::optional<LogOffset> from, milliseconds wait)> readConfiguration_;
    std::function<asio::awaitable<Result<RegistryRead>>(std::optional<LogOffset> from)> readRegistry_;
    /// Decodes the source text of a configuration. Called beside the event loops.
    std::function<Result<RouteConfiguration>(const std::string& source)> decodeConfiguration_;
    std::function<asio::awaitable<Result<void>>(AnnouncedNode self)> announce_;
    std::function<asio::awaitable<Result<std::vector<AnnouncedNode>>>()> listAnnounced_;
    std::function<asio::awaitable<Result<std::vector<StoredNote>>>()> readNotes_;
    /// Replaces the note of the same key.
    std::function<asio::awaitable<Result<void>>(StoredNote note)> writeNote_;
    /// The log of duties: reads from \p from to its end.
    std::function<asio::awaitable<Result<LogRead>>(LogOffset from)> readDutyLog_;
    /// Appends \p record if the log ends at \p end; Errc::Conflict if it does
    /// not. An error with `ran_` Unknown: it may yet appear.
    std::function<asio::awaitable<Result<void>>(LogOffset end, std::string record)> appendDutyRecord_;
    std::function<asio::awaitable<Result<void>>(VmId holder, DutyToken token, WindowNumber window, UsageCounts counts)> reportUsage_;
    std::function<asio::awaitable<Result<void>>(VmId holder, DutyToken token, FleetOrder order)> orderFleet_;
    /// Tells the operator where an order stands. Errc::Conflict: a holder with a higher
    /// token has told since. \p call numbers the calls by one token, from 1; one without
    /// an answer is repeated with the same number.
    std::function<asio::awaitable<Result<void>>(DutyToken token, std::uint64_t call, RolloutState state)> reportRollout_;
    /// See ForwardHooks::copyStream_.
    std::function<asio::awaitable<Result<std::string>>(StreamCopy copy)> copyStream_;
    /// See ForwardHooks::dropCopy_.
    std::function<asio::awaitable<Result<void>>(StreamCopy copy, std::string resumeFrom)> dropCopy_;
    ForwardHeaderNames headers_;
};

struct GossipSettings {
    /// How often a node tells its state to the others.
    milliseconds period_ { 200 };
    /// Peers up to which every node tells every other one: 24 of them are 120
    /// datagrams a second. Relays sum the reports of larger fleets.
    std::uint64_t fanout_ = 24;
    /// Nodes of each data centre that sum its reports in a large fleet: one more
    /// than needed, so that nothing is missed when one goes.
    std::uint64_t relays_ = 2;
    /// Silence after which a node counts as not alive.
    milliseconds unresponsiveAfter_ { 1500 };
    /// Silence after which it is forgotten.
    milliseconds forgetAfter_ { 30000 };
};

struct FeedSettings {
    /// The longest wait of one read for a new configuration; bounds how long a
    /// connection that fell silent hides a change.
    milliseconds configurationWait_ { 1000 };
    /// Least time between two reads of the registry, whose entries change with
    /// every heartbeat of every backend server.
    milliseconds registryPeriod_ { 500 };
    /// Pause after a failed read.
    milliseconds retryPause_ { 200 };
    /// After an outage, registrations that are missing are kept for so long:
    /// their owners write them again.
    milliseconds registrationGrace_ { 2200 };
    /// Nodes that read from the platform, beside one in each data centre; the
    /// others learn from them.
    std::uint64_t readers_ = 3;
    /// Silence after which a reader is succeeded: four reports.
    milliseconds readerTimeout_ { 800 };
    /// Silence of the platform after which peers are asked.
    milliseconds askPeersAfter_ { 1200 };
};

struct GatewaySettings {
    VmId vm_;
    DataCentreId dataCentre_;
    std::uint64_t threads_ = 1;
    /// Processor cores of this VM. Where nodes differ, those with most are relays.
    double cores_ = 1;
    Endpoint callers_;
    Endpoint readiness_;
    Endpoint peers_;
    Endpoint gossip_;
    Endpoint metrics_;
    /// Nodes to contact first; only their hosts count, all use one gossip port.
    std::vector<Endpoint> seeds_;
    Endpoint store_;
    /// Where duties are done; port 0 if this deployment has none.
    Endpoint duties_;
    std::string peerCredential_;
    /// Time between the request to stop and the forced end.
    milliseconds grace_ { 8000 };
    /// The balancer sends new connections for so long after readiness is off.
    milliseconds balancerGrace_ { 2500 };
    /// Added to this VM's time of day, where its clock is known to be wrong.
    milliseconds clockOffset_ {};
    milliseconds usageWindow_ { 5000 };
    UsageTiming usageTiming_;
    milliseconds dutyLease_ { 3000 };
    double retryRatio_ = 0.2;
    /// Repeats of all nodes in a window, beside the ratio.
    double retryExtra_ = 0;
    milliseconds retryWindow_ { 10000 };
    GossipSettings gossiping_;
    FeedSettings feed_;
    FleetSettings fleet_;
    ForwardSettings forward_;
    QuarantineSettings quarantine_;
    RolloutSettings rollout_;
    ChoiceSettings choice_;
    LogSettings logs_;
};

/// Whether \p file holds the settings of a gateway; false if it cannot be read.
bool isGatewayFile(const std::string& file);

/// Parses settings; nullopt if \p errors got any.
std::optional<GatewaySettings> parseGatewaySettings(const std::string& text, const std::string& file, InputErrors& errors);

/// Reads and parses a file.
std::optional<GatewaySettings> loadGatewaySettings(const std::string& file, InputErrors& errors);

class Gateway {
public:
    /// \p file is read again on SIGHUP.
    Gateway(GatewaySettings settings, GatewayPlatform platform, std::string file);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Binds the ports and starts. \returns the callers' port.
    Result<std::uint16_t> start();
    /// Works until SIGTERM or SIGINT, then drains within the grace time.
    void run();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace pistachioloom
