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
constexpr std::uint64_t leastNodesAssumed = 12;
/// Nodes that quotas are shared among until the announcements of all were read: a
/// node that waits 0.2 s for them admits too little for once, where a fleet that
/// starts at one moment would admit too much.
constexpr std::uint64_t unknownFleet = 64;

class GatewayContext {
public:
    GatewayContext(GatewaySettings settings, GatewayPlatform platform);

    std::shared_ptr<const RouteTable> table() const;
    /// Publishes \p configuration if it is newer. \returns whether it was.
    bool publish(RouteConfiguration configuration, const std::string& source);
    /// Milliseconds since the start of 1970 by this node's clock.
    std::int64_t ownWallMs() const;
    /// Milliseconds since the start of 1970 as the clocks of all nodes agree.
    std::int64_t agreedWallMs() const;

    const GatewaySettings settings_;
    const GatewayPlatform platform_;
    const std::uint64_t incarnation_;
    Metrics metrics_;
    BackendBook backends_;
    QuotaBook quotas_;
    RetryBudget retries_;
    UsageBook usage_;
    ClockAgreement clocks_;
    DemandBook demand_;
    ForwardContext forward_;
    std::atomic<bool> isStopping_ { false };

private:
    std::mutex publishing_;
    RcuCell<std::shared_ptr<const RouteTable>> table_;
    Logger logger_ { "config" };
};

} // namespace pistachioloom
