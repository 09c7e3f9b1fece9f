//===- pistachioloom/Settings.h - settings of a daemon --------------------===//
///
/// \file
/// Declares the settings that a process reads at its start: its identity, the
/// addresses it listens on and those of the platform. All other configuration is
/// in the catalogue.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Orders.h"
#include "pistachioloom/Telemetry.h"
#include "pistachioloom/Yaml.h"

namespace pistachioloom {

/// Settings of the gossip protocol and of polling the VM list.
struct MembershipSettings {
    /// Time between two heartbeats.
    milliseconds heartbeat_ { 500 };
    /// Time without a heartbeat after which a node is suspected. One heartbeat
    /// interval is added for each doubling of the data centre's number of nodes.
    milliseconds suspectAfter_ { 1500 };
    /// The number of peers in the same data centre that receive each heartbeat.
    std::uint64_t fanout_ = 1;
    /// The number of other data centres to which a relay sends each heartbeat, in
    /// rotation.
    std::uint64_t relayFanout_ = 3;
    /// Time between two polls of the VM list.
    milliseconds vmListPollInterval_ { 500 };
    /// The time until a leaving VM stops, if its notice states none.
    milliseconds defaultNotice_ { 30000 };
};

/// Settings of the run-once ledger.
struct LedgerSettings {
    /// The number of shards, which must be the same on every node of a deployment.
    std::uint64_t shards_ = 8;
    /// The maximum time from the receipt of a call to its dispatch, which includes appending
    /// the intent. After this time the call is not dispatched.
    milliseconds maxDispatchDelay_ { 5000 };
    /// The maximum number of appends per second of the whole system, divided among the
    /// run-once coordinators.
    std::uint64_t appendsPerSecond_ = 200;
    /// Time limit of one append.
    milliseconds appendTimeout_ { 1000 };
    /// The time during which an append that failed is repeated.
    milliseconds appendWaitLimit_ { 2500 };
};

/// Settings of the catalogue.
struct CatalogueSettings {
    /// The time without a snapshot after which a node appends one.
    milliseconds snapshotInterval_ { 3600000 };
    /// The maximum time that an edit waits until its own record is read from the log.
    milliseconds editWaitLimit_ { 3000 };
};

/// Settings of the callers' interface.
struct CallerSettings {
    HttpBounds bounds_;
    /// The time for which a generation continues after its caller has disconnected.
    milliseconds reconnectGrace_ { 10000 };
    /// The time for which finished answers are retained.
    milliseconds answerRetention_ { 60000 };
    /// The maximum number of tokens that a request may ask for.
    std::uint64_t maxTokens_ = 8192;
};

/// Settings of a node's shutdown.
struct DrainSettings {
    /// The time during which the load balancer may send new requests after readiness is
    /// off.
    milliseconds balancerGrace_ { 2000 };
    /// The maximum time that a stop without a reclaim notice waits for running requests.
    milliseconds timeout_ { 600000 };
    /// How long before the VM stops the requests that still run are handed over.
    milliseconds handoverMargin_ { 1500 };
};

/// Settings of the replicas that nodes keep of the state of running generations.
struct ReplicaSettings {
    /// Time limit of sending a generation's record to a replica.
    milliseconds copyTimeout_ { 500 };
    /// The mean time after a break of the owner's connection before its replica asks the
    /// owner for the record, and takes over unless the owner still has it.
    milliseconds takeoverGrace_ { 1000 };
    /// The time without an update after which a replica probes the owner.
    milliseconds ownerUpdateTimeout_ { 2000 };
};

/// Settings of the grants by which nodes share the limits of an entry.
struct LimitSettings {
    /// The time for which a grant is valid.
    milliseconds grantValidity_ { 4000 };
    /// The number of slots, each for one request in progress, that a node asks for in
    /// addition to those for its running and waiting requests.
    std::uint64_t grantReserve_ = 4;
};

/// Settings of the orders by which nodes change the configuration of model engines.
struct OrderSettings {
    /// Time between two checks of an engine whose configuration is to change.
    milliseconds period_ { 500 };
    OrderTiming timing_;
};

/// Settings of the links to other nodes.
struct PeerSettings {
    /// The time without received data after which a link is pinged.
    milliseconds keepAlive_ { 1000 };
    /// The time without received data after which a link is closed together with its
    /// streams.
    milliseconds closeIdleAfter_ { 3000 };
};

/// All settings of a node.
struct Settings {
    VmId vm_;
    DataCentreId dataCentre_;
    RegionId region_;
    /// Address to listen on for callers.
    Endpoint callers_;
    /// Address to listen on for other nodes.
    Endpoint peers_;
    /// Address to listen on for operators.
    Endpoint operators_;
    /// Address of the platform's log.
    Endpoint log_;
    /// Address of the platform's VM list.
    Endpoint vmList_;
    std::string peerCredential_;
    std::string operatorCredential_;
    std::uint64_t threads_ = 2;
    MembershipSettings membership_;
    LedgerSettings ledger_;
    CatalogueSettings catalogue_;
    CallerSettings caller_;
    DrainSettings drain_;
    ReplicaSettings replica_;
    LimitSettings limits_;
    OrderSettings orders_;
    PeerSettings peerLinks_;
    LogSettings logs_;
    /// The number of trace spans kept in memory.
    std::uint64_t maxSpans_ = 4096;
};

/// Parses settings. \returns nullopt if it added any errors to \p errors.
std::optional<Settings> parseSettings(const std::string& text, const std::string& file, InputErrors& errors);

/// Reads and parses a file. \returns nullopt if it added any errors to \p errors.
std::optional<Settings> loadSettings(const std::string& file, InputErrors& errors);

/// Parses the settings of the process's own log output. Errors are added to those of
/// \p map.
void parseLogSettings(YamlMap map, LogSettings& settings);

/// Parses `IP:PORT`. \returns nullopt for any other text, including a host name.
std::optional<Endpoint> parseEndpoint(const std::string& text);

} // namespace pistachioloom
