//===- lib/Gateway/Feed.h - configuration and registry, kept up to date ----===//
///
/// \file
/// Reads what the platform publishes, and what peers know while the platform
/// refuses this node.
//===----------------------------------------------------------------------===//
#pragma once

#include "Background.h"
#include "PeerReports.h"
#include "Readers.h"
#include "TransferLimit.h"

namespace pistachioloom {

/// A peer's answer is awaited for so long; it comes from memory. Of a configuration, so
/// much time passes at most between its parts.
inline constexpr milliseconds peerPatience { 500 };
/// How often a node looks whether it has to ask peers.
inline constexpr milliseconds askPeriod { 150 };

class Feed {
public:
    Feed(asio::io_context& io, GatewayContext& context, PeerReports& reports, PeerPool& peers, Background& background);

    void start();
    /// Whether this node reads from the platform now: the first of its data
    /// centre, or one of the first of all, among nodes that reach the platform.
    bool isReader() const;
    bool isPlatformLost() const { return isRegistryLost_ || isConfigurationLost_; }
    /// Answers a peer that asks for what the platform told this node. A peer that asks
    /// for the configuration while others are being given it is told to come later.
    asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, wire::Frame request);

private:
    asio::awaitable<void> followConfiguration();
    asio::awaitable<void> followRegistry();
    asio::awaitable<void> askForConfiguration();
    asio::awaitable<void> askForBackends();
    asio::awaitable<void> askConfiguration(VmId vm, Peer peer);
    /// The answer of \p peer, which has the configuration or a part of it on its way
    /// for longer than other answers take.
    asio::awaitable<Result<wire::Frame>> fetch(Peer peer, wire::Frame request);
    /// Puts the configuration that peer \p vm gave, compressed, in force.
    asio::awaitable<void> applyConfiguration(std::string bytes, VmId vm);
    wire::Frame answer(const wire::Frame& request);
    bool hasNewerThan(const wire::ConfigurationFetch& fetch) const;
    /// Gives the configuration to a peer. Ends once the peer has the whole of it.
    asio::awaitable<void> handOver(std::shared_ptr<PeerStream> stream, wire::Frame request);
    wire::Frame busyAnswer();
    asio::awaitable<void> askBackends(VmId vm, Peer peer);
    /// Whom to ask for the backend servers, if they are needed.
    std::optional<KnownPeer> backendsSource() const;
    asio::awaitable<std::optional<wire::ConfigurationUpdate>> ask(VmId vm, Peer peer, wire::Frame request);
    void logReachable(const std::string& what, const Error* error) const;
    /// \p source is the platform or the peer that told.
    void apply(const RegistryRead& read, const std::string& source);
    void applyChange(const RegistryChange& change, const std::string& source);
    /// The registration of \p change cannot be used.
    void refuse(const RegistryChange& change, const std::string& source);
    void removeGone(const BackendName& name, const std::string& source);
    void removeMissing(const RegistryRead& whole, const std::string& source);
    void applyDueRemovals();
    /// A peer that has a newer configuration and is not busy, of this data centre if
    /// there is one.
    std::optional<KnownPeer> peerAhead() const;
    bool isRegistryOld() const;
    std::vector<ReaderView> readerViews() const;
    /// A reader whose list of backend servers differs from this node's.
    std::optional<KnownPeer> differingReader() const;
    asio::awaitable<void> waitForTurn(std::string reading, std::optional<LogOffset>& from);

    asio::io_context& io_;
    GatewayContext& context_;
    PeerReports& reports_;
    PeerPool& peers_;
    Background& background_;
    std::atomic<SteadyTime> registryReadAt_ { SteadyTime {} };
    /// When the list in use was read, by this node or a peer.
    SteadyTime listReadAt_ {};
    std::atomic<bool> isRegistryLost_ { false };
    std::atomic<bool> isConfigurationLost_ { false };
    /// Until when registrations that vanish are kept, after an outage.
    SteadyTime graceUntil_ {};
    TransferLimit transfers_;
    BusyPeers busyPeers_;
    std::set<BackendName> missing_;
    /// What was last wrong with registrations that cannot be used.
    std::map<BackendName, std::string> complaints_;
    Logger logger_ { "feed" };
};

} // namespace pistachioloom
