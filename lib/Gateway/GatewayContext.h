//===- lib/Gateway/GatewayContext.h - shared state of a gateway -----------===//
///
/// \file
/// State that the parts of a gateway share, and the configuration in force, which only
/// GatewayContext publishes.
//===----------------------------------------------------------------------===//
#pragma once

#include "ConfigurationProgress.h"
#include "pistachioloom/Gateway.h"
#include "pistachioloom/Wire.h"

namespace pistachioloom {

/// Minimum number of nodes among which the extra retries are shared: a node that has just
/// started knows few of the others.
constexpr std::uint64_t minNodesAssumed = 12;
/// Number of nodes among which quotas are shared until all announcements were read. A node
/// that waits 0.2 s for the announcements admits too little in that time; without this
/// value a fleet whose nodes all start together would admit too much.
constexpr std::uint64_t nodesAssumedAtStart = 64;

/// State that the parts of a gateway share.
class GatewayContext {
public:
    GatewayContext(GatewaySettings settings, GatewayPlatform platform);

    /// The configuration in force, or nullptr before the first.
    std::shared_ptr<const RouteTable> table() const;
    /// Publishes the last of \p sources, oldest first, that can be decoded, if it is newer
    /// than the configuration in force. This takes long, so call it outside the event loops.
    void applyConfiguration(const std::vector<std::string>& sources, const std::string& from);
    /// Publishes the compressed configuration that peer \p from sent, if it is newer. This
    /// takes long, so call it outside the event loops.
    void applyCompressed(std::string bytes, const std::string& from);
    /// Milliseconds since the Unix epoch by this node's clock.
    std::int64_t localWallMs() const;
    /// Milliseconds since the Unix epoch by the median of all nodes' clocks.
    std::int64_t agreedWallMs() const;

    const GatewaySettings settings_;
    const GatewayPlatform platform_;
    const std::uint64_t incarnation_;
    Metrics metrics_;
    BackendTable backends_;
    ServicePaths paths_;
    QuotaLimiter quotas_;
    ServiceRetryBudget retries_;
    QuarantineTable quarantine_;
    CrashDetector crashes_;
    RolloutTracker rollouts_;
    UsageTracker usage_;
    ClockOffsetEstimator clocks_;
    DemandEstimator demand_;
    ConfigurationProgress configurationProgress_;
    ForwardContext forward_;
    std::atomic<bool> isStopping_ { false };

private:
    /// A decoded configuration, and facts about it for the log.
    struct DecodedConfiguration {
        RouteConfiguration configuration_;
        std::string from_;
        ByteCount size_;
        milliseconds decodingTime_ {};
    };

    /// Decodes \p source. \returns nullopt if this fails, after logging why.
    std::optional<DecodedConfiguration> decode(const std::string& source, const std::string& from) const;
    bool isNewer(const RouteConfiguration& configuration) const;
    /// Puts a configuration in force unless it is not newer than the current one. Versions
    /// never decrease, also if several threads publish.
    void publish(DecodedConfiguration decoded);

    std::mutex publishMutex_;
    RcuCell<std::shared_ptr<const RouteTable>> table_;
    Logger logger_ { "config" };
};

} // namespace pistachioloom
