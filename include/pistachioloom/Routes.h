//===- pistachioloom/Routes.h - which request goes to which service --------===//
///
/// \file
/// One version of the operators' configuration for transparent requests: routes
/// by host and path prefix, services, organisations with their credentials, and
/// bounds on callers. Pure: a table is built once, then only read.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace pistachioloom {

/// One of the services that share a route.
struct SplitShare {
    ServiceName service_;
    /// Its part of the route's requests, against the sum of all weights.
    double weight_ = 1;
};

/// What requests of one host and path prefix are, and where they go.
struct Route {
    std::string name_;
    /// Lower case, without a port.
    std::string host_;
    std::string pathPrefix_;
    /// Answers are event streams.
    bool isStream_ = false;
    /// A request may run more than once.
    bool isIdempotent_ = false;
    /// A stream may go on at another engine after the last delivered event.
    bool isResumable_ = false;
    /// No credential is asked for.
    bool isPublic_ = false;
    /// Requests share prompt parts that engines cache.
    bool hasAffinity_ = false;
    /// Backend servers that one request may be sent to, at most.
    unsigned maxAttempts_ = 1;
    /// The longest time a request is kept waiting.
    milliseconds timeout_ { 15000 };
    /// The latency objective: whole answers, or a stream's first event.
    milliseconds objective_ { 1000 };
    /// The longest pause between events of an answer on time; 0 for none.
    milliseconds maxEventGap_ {};
    /// 0 is the most urgent.
    unsigned priority_ = 0;
    std::vector<SplitShare> split_;
    /// The wait for an engine by which its admission is bounded: the objective, but
    /// no more than twice that of more urgent routes to the same service, which
    /// would wait behind it. Set by RouteTable::build().
    milliseconds maxQueueWait_ {};

    /// Whether a request may be sent again after it may have run.
    bool mayRepeat() const { return isStream_ ? isResumable_ : isIdempotent_; }
};

/// What is known of all model engines of a service.
struct EngineTraits {
    /// Requests in one batch.
    std::uint64_t slots_ = 1;
    TokenCount memory_;
    /// Tokens in one event of a stream.
    std::uint64_t tokensPerEvent_ = 1;
    /// A running stream's KV cache can be moved to another engine.
    bool canMoveKvCache_ = false;
};

/// How many engines of a service may be ordered in each data centre.
struct FleetBounds {
    std::uint64_t minEngines_ = 0;
    std::uint64_t maxEngines_ = 0;
    milliseconds bootTime_ {};
    /// Price of a reclaimable engine against a lasting one.
    double reclaimablePriceRatio_ = 1;
    /// Price of an engine's second in each data centre.
    std::map<DataCentreId, double> prices_;
};

struct ServicePolicy {
    ServiceName name_;
    std::string healthPath_;
    /// Connections that one backend server accepts from all nodes together.
    std::uint64_t maxConnections_ = 1;
    /// Set if the service's backend servers are model engines.
    std::optional<EngineTraits> engine_;
    std::optional<FleetBounds> fleet_;
};

struct OrganisationPolicy {
    OrganisationId name_;
    std::vector<std::string> credentials_;
    /// Goes before the route's priority.
    std::optional<unsigned> priority_;
    /// The quota counts tokens, not requests.
    bool countsTokens_ = false;
    /// What a request without a token count counts as.
    std::uint64_t defaultTokens_ = 1;
    /// 0 for no limit.
    double ratePerSecond_ = 0;
    double burst_ = 0;
};

/// Bounds on what a caller may send.
struct CallerBounds {
    ByteCount header_ { 16UL * 1024 };
    ByteCount body_ { 4UL * 1024 * 1024 };
    /// Time for a request's head.
    milliseconds headerTimeout_ { 5000 };
    milliseconds idleTimeout_ { 15000 };
};

/// One whole version, as decoded.
struct RouteConfiguration {
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::vector<ServicePolicy> services_;
    std::vector<OrganisationPolicy> organisations_;
    /// Whether requests need a credential at all.
    bool needsCredentials_ = false;
    CallerBounds bounds_;
    /// The text that it was decoded from as compress() makes it, passed on to peers.
    std::string compressedSource_;
};

/// A configuration with its indices. The pointers handed out live as long as
/// the table.
class RouteTable {
public:
    /// Indexes \p configuration.
    static std::shared_ptr<const RouteTable> build(RouteConfiguration configuration);

    const RouteConfiguration& configuration() const { return configuration_; }
    std::uint64_t version() const { return configuration_.version_; }
    /// The route of \p host with the longest prefix of \p path, or nullptr.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// The organisation that holds \p credential, or nullptr.
    const OrganisationPolicy* findOrganisation(const std::string& credential) const;
    const OrganisationPolicy* findOrganisation(const OrganisationId& name) const;
    const ServicePolicy* findService(const ServiceName& name) const;

private:
    RouteConfiguration configuration_;
    /// Routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route*>> byHost_;
    std::unordered_map<std::string, const OrganisationPolicy*> byCredential_;
    std::map<ServiceName, const ServicePolicy*> services_;
};

/// The service that a request with \p draw (uniform over 64 bits) goes to.
ServiceName pickService(const Route& route, std::uint64_t draw);

/// Lower-cases \p host and drops its port.
std::string canonicalHost(std::string_view host);

} // namespace pistachioloom
