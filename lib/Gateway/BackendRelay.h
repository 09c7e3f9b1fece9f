//===- lib/Gateway/BackendRelay.h - connections through peers -------------===//
///
/// \file
/// A node that has lost its paths to all backend servers of a service reaches them through
/// peers that have not. A peer opens a connection to a backend server and copies the bytes of
/// both directions; the requesting node still chooses the server and accounts for the request,
/// so that nothing is decided or counted twice. A carried connection is not passed on to a
/// further peer.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayContext.h"
#include "PeerTable.h"

namespace pistachioloom {

/// A peer that may carry a connection.
struct Carrier {
    KnownPeer peer_;
    /// Connections that it carries for this node.
    std::size_t carried_ = 0;
};

/// Returns the order in which \p carriers are tried: the least used first, where one of
/// another data centre counts as more used than a local one. \p draw orders equals.
std::vector<Carrier> rankCarriers(std::vector<Carrier> carriers, const DataCentreId& own, std::uint64_t draw);

class BackendRelay {
public:
    /// Returns the peers that reach a service, as far as this node knows.
    using FindCarriers = std::function<std::vector<KnownPeer>(const ServiceName&)>;

    BackendRelay(GatewayContext& context, PeerPool& peers, FindCarriers findCarriers);

    /// Opens a connection to \p backend through a peer. Errors: NotFound if there is no peer that
    /// reaches the service, otherwise the error of the last peer that was asked.
    asio::awaitable<Result<RelayedConnection>> open(BackendRecord backend, milliseconds timeout);
    /// Returns whether a peer is known that reaches \p service.
    bool hasCarrier(const ServiceName& service) { return !carriersOf(service, steadyNow()).empty(); }
    /// Carries a connection for the peer that sent \p request.
    asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, wire::Frame request);
    /// Returns the number of connections that this node carries for peers.
    std::size_t carriedConnections() const { return carried_; }

private:
    /// Connections that peers carry for this node, by peer. Shared with the connections.
    struct Use {
        std::mutex mutex_;
        std::map<VmId, std::size_t> open_;
        /// Peers that did not answer, and the time until which they are not asked.
        std::map<VmId, SteadyTime> avoidedUntil_;
    };

    std::vector<Carrier> carriersOf(const ServiceName& service, SteadyTime now);
    asio::awaitable<Result<RelayedConnection>> openThrough(KnownPeer peer, BackendRecord backend, milliseconds timeout);
    std::optional<Error> rejectionOf(const std::optional<BackendRecord>& backend) const;

    GatewayContext& context_;
    PeerPool& peers_;
    FindCarriers findCarriers_;
    std::shared_ptr<Use> use_ = std::make_shared<Use>();
    std::atomic<std::size_t> carried_ { 0 };
    const std::size_t maxCarried_;
    Logger logger_ { "relay" };
};

} // namespace pistachioloom
