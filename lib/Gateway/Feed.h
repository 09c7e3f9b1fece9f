//===- lib/Gateway/Feed.h - configuration and registry, kept up to date ----===//
///
/// \file
/// Reads what the platform publishes, and what peers know while the platform
/// refuses this node.
//===----------------------------------------------------------------------===//
#pragma once

#include "PeerReports.h"

namespace pistachioloom {

class Feed {
public:
    Feed(asio::io_context& io, GatewayContext& context, PeerReports& reports, PeerPool& peers);

    void start();
    /// Answers a peer that asks for what the platform told this node.
    wire::Frame answer(const wire::Frame& request) const;

private:
    asio::awaitable<void> followConfiguration();
    asio::awaitable<void> followRegistry();
    asio::awaitable<void> askPeers();
    asio::awaitable<void> askPeer(VmId vm, PeerReports::Peer peer);
    void logReachable(const std::string& what, const Error* error) const;
    void apply(const RegistryRead& read);
    void applyChange(const RegistryChange& change);
    void removeMissing(const RegistryRead& whole);
    void applyDueRemovals();
    bool isConfigurationBehind() const;

    asio::io_context& io_;
    GatewayContext& context_;
    PeerReports& reports_;
    PeerPool& peers_;
    std::atomic<SteadyTime> registryReadAt_ { SteadyTime {} };
    std::atomic<SteadyTime> configurationReadAt_ { SteadyTime {} };
    /// Until when registrations that vanish are kept, after an outage.
    SteadyTime graceUntil_ {};
    std::set<BackendId> missing_;
    Logger logger_ { "feed" };
};

} // namespace pistachioloom
