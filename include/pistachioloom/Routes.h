//===- pistachioloom/Routes.h - route configuration and lookup -------------===//
///
/// \file
/// Holds one version of the operators' configuration for transparent requests: routes by
/// host and path prefix, services, organisations with their credentials, and bounds on
/// callers. A table is immutable once it is built.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace pistachioloom {

/// One of the services among which a route's requests are split.
struct SplitShare {
    ServiceName service_;
    /// The service's share of the route's requests, relative to the sum of all weights.
    double weight_ = 1;
};

/// Properties and destinations of the requests for one host and path prefix.
struct Route {
    std::string name_;
    /// Host name in lower case, without a port.
    std::string host_;
    std::string pathPrefix_;
    /// The answers are event streams.
    bool isStream_ = false;
    /// A request may run more than once.
    bool isIdempotent_ = false;
    /// A stream may resume on another engine after the last delivered event.
    bool isResumable_ = false;
    /// Requests need no credential.
    bool isPublic_ = false;
    /// Requests share prompt parts that engines have in their prefix caches.
    bool hasAffinity_ = false;
    /// Maximum number of attempts for one request, each at another backend server.
    unsigned maxAttempts_ = 1;
    /// Time limit of a request, from its arrival to the end of its answer.
    milliseconds timeout_ { 15000 };
    /// The latency objective for a complete answer or a stream's first event.
    milliseconds objective_ { 1000 };
    /// Longest gap between events of an answer that meets its objective; 0 for no bound.
    milliseconds maxEventGap_ {};
    /// 0 is the most urgent.
    unsigned priority_ = 0;
    std::vector<SplitShare> split_;
    /// Longest estimated wait for an engine at which a request is still admitted. It is
    /// the route's objective, but at most twice the objective of any more urgent route to
    /// the same service, whose requests would wait behind it. Set by RouteTable::build().
    milliseconds maxQueueWait_ {};
    /// Requests leave capacity to more urgent ones while it is short: the priority is higher by
    /// 2 or more than the lowest among the routes to one of the same services. Set by
    /// RouteTable::build().
    bool isDeferrable_ = false;

    /// Whether a request may be sent again after it may have run.
    bool mayRepeat() const { return isStream_ ? isResumable_ : isIdempotent_; }
};

/// Properties that all model engines of a service share.
struct EngineTraits {
    /// Maximum number of requests in one batch.
    std::uint64_t slots_ = 1;
    TokenCount memory_;
    /// Number of tokens in one event of a stream.
    std::uint64_t tokensPerEvent_ = 1;
    /// The KV cache of a running stream can be moved to another engine.
    bool canMoveKvCache_ = false;
};

/// Bounds on the number of engines that are requested for a service in each data centre,
/// and their prices.
struct FleetBounds {
    std::uint64_t minEngines_ = 0;
    std::uint64_t maxEngines_ = 0;
    milliseconds bootTime_ {};
    /// Price of a reclaimable engine relative to an on-demand one.
    double reclaimablePriceRatio_ = 1;
    /// Price of one engine per second in each data centre.
    std::map<DataCentreId, double> prices_;
};

struct ServicePolicy {
    ServiceName name_;
    std::string healthPath_;
    /// Maximum number of connections that one backend server accepts from all nodes.
    std::uint64_t maxConnections_ = 1;
    /// Set if the service's backend servers are model engines.
    std::optional<EngineTraits> engine_;
    std::optional<FleetBounds> fleet_;
};

struct OrganisationPolicy {
    OrganisationId name_;
    std::vector<std::string> credentials_;
    /// Takes precedence over the route's priority.
    std::optional<unsigned> priority_;
    /// The quota counts tokens instead of requests.
    bool countsTokens_ = false;
    /// Number of tokens charged for a request that does not state its token count.
    std::uint64_t defaultTokens_ = 1;
    /// 0 for no limit.
    double ratePerSecond_ = 0;
    double burst_ = 0;
};

/// Bounds on what a caller may send.
struct CallerBounds {
    /// Maximum size of a request's head.
    ByteCount header_ { 16UL * 1024 };
    /// Maximum size of a request's body.
    ByteCount body_ { 4UL * 1024 * 1024 };
    /// Time limit for receiving a request's head.
    milliseconds headerTimeout_ { 5000 };
    /// Time without a request after which a connection is closed.
    milliseconds idleTimeout_ { 15000 };
};

/// One complete version of the configuration, as decoded.
struct RouteConfiguration {
    std::uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::vector<ServicePolicy> services_;
    std::vector<OrganisationPolicy> organisations_;
    /// Whether requests need a credential at all.
    bool needsCredentials_ = false;
    CallerBounds bounds_;
    /// The source text, compressed by compress(), to be forwarded to peers.
    std::string compressedSource_;
};

/// A configuration with its indices. Returned pointers are valid as long as the table
/// exists.
class RouteTable {
public:
    /// Indexes \p configuration.
    static std::shared_ptr<const RouteTable> build(RouteConfiguration configuration);

    const RouteConfiguration& configuration() const { return configuration_; }
    std::uint64_t version() const { return configuration_.version_; }
    /// Returns the route of \p host with the longest prefix of \p path, or nullptr.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// Returns the organisation that holds \p credential, or nullptr.
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

/// Returns the service for a request by weighted random selection. \p draw is a uniformly
/// distributed 64-bit number.
ServiceName pickService(const Route& route, std::uint64_t draw);

/// Lower-cases \p host and drops its port.
std::string canonicalHost(std::string_view host);

} // namespace pistachioloom
