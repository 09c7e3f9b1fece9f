//===- lib/Node/NodeContext.h - what the parts of a node share -------------===//
///
/// \file
/// Settings, telemetry, outside interfaces, and the pictures of catalogue and
/// membership that requests read without a lock.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"
#include "pistachioloom/Membership.h"
#include "pistachioloom/Platform.h"
#include "pistachioloom/Settings.h"
#include "pistachioloom/Telemetry.h"
#include "pistachioloom/Wire.h"

#include <atomic>

namespace pistachioloom {

using MembershipPtr = std::shared_ptr<const MembershipView>;
using CataloguePtr = std::shared_ptr<const CatalogueView>;

class NodeContext {
public:
    NodeContext(Settings settings, const asio::any_io_executor& executor);

    const Settings settings_;
    const asio::any_io_executor executor_;
    Metrics metrics_;
    Tracer tracer_;
    LogService log_;
    VmListService vmList_;
    EngineService engines_;
    const KeepAlive keepAlive_;
    PeerPool peers_;
    std::atomic<bool> isDraining_ { false };

    MembershipPtr membership() const;
    CataloguePtr catalogue() const;
    void publish(MembershipView view);
    void publish(CatalogueView view);

    const VmId& self() const { return settings_.vm_; }
    /// Where \p vm listens for peers.
    std::optional<Endpoint> peerEndpoint(const VmId& vm) const;
    /// Where a backend server serves.
    std::optional<Endpoint> backendEndpoint(const VmId& vm) const;
    /// Calls \p vm over the wire; an unknown VM is an error with `ran_` No.
    asio::awaitable<Result<wire::Frame>> call(VmId vm, const wire::Frame& request, milliseconds timeout);
    asio::awaitable<Result<std::shared_ptr<PeerStream>>> open(VmId vm, const wire::Frame& request, milliseconds timeout);

    /// Runs \p task on a strand of its own.
    void spawn(asio::awaitable<void> task) const;

private:
    RcuCell<MembershipPtr> membership_;
    RcuCell<CataloguePtr> catalogue_;
    Logger logger_;
};

/// The error for something that this node does not know or cannot reach.
Error unavailable(std::string step, std::string peer, std::string message);

} // namespace pistachioloom
