//===- lib/Node/NodeContext.h - state shared by the parts of a node -------===//
///
/// \file
/// Settings, telemetry, clients of external services, and the views of
/// catalogue and membership, which requests read without a lock.
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

/// Shared by all parts of a node; created before them and destroyed after them.
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
    /// The endpoint at which entry VM \p vm listens for peers; nullopt if the
    /// VM list has no such entry VM.
    std::optional<Endpoint> peerEndpoint(const VmId& vm) const;
    /// The endpoint of backend server \p vm; nullopt if the VM list does not
    /// have it.
    std::optional<Endpoint> backendEndpoint(const VmId& vm) const;
    /// Calls \p vm over the wire protocol. Errors: `ran_` is No if the VM is
    /// not in the VM list.
    asio::awaitable<Result<wire::Frame>> call(VmId vm, const wire::Frame& request, milliseconds timeout);
    /// Opens a stream to \p vm; errors as for call().
    asio::awaitable<Result<std::shared_ptr<PeerStream>>> open(VmId vm, const wire::Frame& request, milliseconds timeout);

    /// Starts \p task on its own strand. The task never runs inside the call of
    /// spawn(), so the caller may hold a lock.
    void spawn(asio::awaitable<void> task) const;

private:
    RcuCell<MembershipPtr> membership_;
    RcuCell<CataloguePtr> catalogue_;
    Logger logger_;
};

/// Makes an Unavailable error for something that this node does not know or
/// cannot reach. Its `ran_` is No.
Error unavailable(std::string step, std::string peer, std::string message);

} // namespace pistachioloom
