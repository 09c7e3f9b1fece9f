//===- lib/Gateway/GatewayContext.h - what the parts of a gateway share ----===//
///
/// \file
/// The books and the published configuration, with one place that publishes.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Gateway.h"
#include "pistachioloom/Wire.h"

namespace pistachioloom {

/// Nodes that share the extra repeats at least: one that has just started knows
/// few of the others.
constexpr std::uint64_t minNodesAssumed = 12;
/// Nodes that quotas are shared among until the announcements of all were read: a
/// node that waits 0.2 s for them admits too little for once, where a fleet that
/// starts at one moment would admit too much.
constexpr std::uint64_t nodesAssumedAtStart = 64;

class GatewayContext {
public:
    GatewayContext(GatewaySettings settings, GatewayPlatform platform);

    std::shared_ptr<const RouteTable> table() const;
    /// Publishes the last of \p sources, oldest first, that can be decoded, if it is
    /// newer. It takes long and belongs beside the event loops, as does the next one.
    void applySources(const std::vector<std::string>& sources, const std::string& from);
    /// Publishes what peer \p from passed on if it is newer.
    void applyCompressed(std::string bytes, const std::string& from);
    /// Milliseconds since the start of 1970 by this node's clock.
    std::int64_t localWallMs() const;
    /// Milliseconds since the start of 1970 as the clocks of all nodes agree.
    std::int64_t agreedWallMs() const;

    const GatewaySettings settings_;
    const GatewayPlatform platform_;
    const std::uint64_t incarnation_;
    Metrics metrics_;
    BackendTable backends_;
    QuotaLimiter quotas_;
    ServiceRetryBudget retries_;
    QuarantineTable quarantine_;
    CrashDetector crashes_;
    RolloutTracker rollouts_;
    UsageTracker usage_;
    ClockOffsetEstimator clocks_;
    DemandEstimator demand_;
    ForwardContext forward_;
    std::atomic<bool> isStopping_ { false };

private:
    /// A configuration that was decoded, and what the log tells of it.
    struct DecodedConfiguration {
        RouteConfiguration configuration_;
        std::string from_;
        ByteCount size_;
        milliseconds decodingTime_ {};
    };

    /// Logs why if \p source cannot be decoded.
    std::optional<DecodedConfiguration> decode(const std::string& source, const std::string& from) const;
    bool isNewer(const RouteConfiguration& configuration) const;
    /// Versions only rise: it locks, compares, and leaves out what is not newer.
    void publish(DecodedConfiguration decoded);

    std::mutex publishMutex_;
    RcuCell<std::shared_ptr<const RouteTable>> table_;
    Logger logger_ { "config" };
};

} // namespace pistachioloom
