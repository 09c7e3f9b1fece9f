//===- lib/Node/EngineOrders.h - configuration of engines -----------------===//
///
/// \file
/// A dispatcher reads the state of its engines and reconciles each one whose
/// configuration differs from the catalogue's. The Orders library chooses the steps:
/// append a claim to the log, drain the engine, send the order, and end the claim
/// when the engine runs the configuration.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackendDispatcher.h"
#include "pistachioloom/Orders.h"

namespace pistachioloom {

/// Reconciles the configurations of this node's engines with the catalogue.
class EngineOrders {
public:
    EngineOrders(NodeContext& context, BackendDispatcher& dispatcher);

    void start();

    /// State of one of this node's engines.
    struct Status {
        /// Version that the engine ran when its state was last read.
        std::string version_;
        /// Version that the catalogue states.
        std::string wantedVersion_;
        OrderStep step_ = OrderStep::Settled;
    };
    /// \returns nullopt for an engine that has not been reconciled yet or for which the
    /// catalogue states no configuration.
    std::optional<Status> statusOf(const VmId& engine) const;

private:
    /// An engine whose dispatcher this node is.
    struct ManagedEngine {
        EngineConfiguration wanted_;
        SteadyTime claimedAt_;
        /// When the last order was sent, while its claim is open.
        std::optional<SteadyTime> orderedAt_;
        SteadyTime reconciledAt_;
        bool isReconciling_ = false;
        bool wasReconciled_ = false;
        Status status_;
    };

    asio::awaitable<void> loop();
    /// \returns the engines that are due for reconciliation, marked as reconciling.
    std::vector<VmId> takeDueEngines();
    asio::awaitable<void> reconcile(VmId engine);
    /// Reads the state of \p engine and performs the next step towards its wanted
    /// configuration.
    asio::awaitable<void> advance(VmId engine, Endpoint endpoint, std::shared_ptr<const CatalogueEntry> entry);
    /// \returns the next step, and opens or closes the engine's admission accordingly.
    /// Sets \p token to the token of the claim on the engine, if there is one.
    OrderStep decideStep(const VmId& engine, const CatalogueEntry& entry, const EngineState& state, FencingToken& token);
    asio::awaitable<void> performStep(VmId engine, Endpoint endpoint, OrderStep step, FencingToken token, const CatalogueEntry& entry);
    asio::awaitable<void> appendClaim(VmId engine, std::string model, bool isEnd);
    asio::awaitable<void> order(VmId engine, Endpoint endpoint, FencingToken token, EngineConfiguration wanted);
    /// Reads the claims up to the end of the log. \returns whether that succeeded.
    asio::awaitable<bool> readClaims();
    std::shared_ptr<const CatalogueEntry> entryOf(const VmId& engine) const;

    NodeContext& context_;
    BackendDispatcher& dispatcher_;
    Logger logger_;
    mutable std::mutex mutex_;
    ClaimTable claims_;
    std::map<VmId, ManagedEngine> managed_;
};

} // namespace pistachioloom
