//===- pistachioloom/Settings.h - settings of a daemon ---------------------===//
///
/// \file
/// What a process is told when it starts: who it is, where it listens, where
/// the platform is. Everything else is in the catalogue.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Orders.h"
#include "pistachioloom/Telemetry.h"
#include "pistachioloom/Yaml.h"

namespace pistachioloom {

struct MembershipSettings {
    milliseconds heartbeat_ { 500 };
    /// Silence after which a node is suspected, plus a heartbeat for each
    /// doubling of the data centre's nodes.
    milliseconds suspectAfter_ { 1500 };
    /// Peers of the data centre told at each heartbeat.
    std::uint64_t fanout_ = 1;
    /// Other data centres that a relay tells at each heartbeat, in turn.
    std::uint64_t relayFanout_ = 3;
    milliseconds vmListPoll_ { 500 };
    /// Assumed for a leaving VM whose notice names no time.
    milliseconds defaultNotice_ { 30000 };
};

struct LedgerSettings {
    /// The same on every node of a deployment.
    std::uint64_t shards_ = 8;
    /// Longest time between intent and dispatch.
    milliseconds dispatchGuard_ { 5000 };
    /// Appends of the whole system; divided among keepers.
    std::uint64_t appendsPerSecond_ = 200;
    milliseconds appendTimeout_ { 1000 };
    /// How long an append without answer is tried again.
    milliseconds appendWaitLimit_ { 2500 };
};

struct CatalogueSettings {
    /// A snapshot is appended when none was seen for this long.
    milliseconds snapshotInterval_ { 3600000 };
    /// How long an edit waits for its own record to come back.
    milliseconds editWaitLimit_ { 3000 };
};

struct CallerSettings {
    HttpBounds bounds_;
    /// A generation whose caller is gone runs on for this long.
    milliseconds reconnectGrace_ { 10000 };
    /// Finished answers are kept for this long.
    milliseconds answerRetention_ { 60000 };
    std::uint64_t maxTokens_ = 8192;
};

struct DrainSettings {
    /// The balancer may send new requests for this long after readiness is off.
    milliseconds balancerGrace_ { 2000 };
    /// A stop without notice waits for running requests this long at most.
    milliseconds timeout_ { 600000 };
    /// Before the VM stops, what still runs is handed over this early.
    milliseconds handoverMargin_ { 1500 };
};

struct ReplicaSettings {
    milliseconds copyTimeout_ { 500 };
    /// Silence of an owner whose connection broke before its replica takes over.
    milliseconds takeoverGrace_ { 1000 };
    /// Silence after which an owner is asked whether it is still there.
    milliseconds ownerTimeout_ { 2000 };
};

struct LimitSettings {
    milliseconds grantValidity_ { 4000 };
    /// Slots asked for beyond those in use.
    std::uint64_t grantAhead_ = 4;
};

struct OrderSettings {
    /// How often an engine that is to change is looked at.
    milliseconds period_ { 500 };
    OrderTiming timing_;
};

struct PeerSettings {
    /// A link that brings nothing for so long is pinged.
    milliseconds keepAlive_ { 1000 };
    /// Silence after which a link is given up, and its streams with it.
    milliseconds deadAfter_ { 3000 };
};

struct Settings {
    VmId vm_;
    DataCentreId dataCentre_;
    RegionId region_;
    Endpoint callers_;
    Endpoint peers_;
    Endpoint operators_;
    Endpoint log_;
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
    std::uint64_t maxSpans_ = 4096;
};

/// Parses settings; nullopt if \p errors got any.
std::optional<Settings> parseSettings(const std::string& text, const std::string& file, InputErrors& errors);

/// Reads and parses a file.
std::optional<Settings> loadSettings(const std::string& file, InputErrors& errors);

/// Parses the section of log settings.
void parseLogSettings(YamlMap map, LogSettings& settings);

/// Reads `IP:PORT`; the host must be an IP number.
std::optional<Endpoint> parseEndpoint(const std::string& text);

} // namespace pistachioloom
