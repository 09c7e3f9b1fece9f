//===- lib/Node/EngineOrders.h - bringing engines to their configuration ---===//
///
/// \file
/// A home reads the state of its engines and, where the catalogue states
/// another configuration, does what the Orders library says: claim in the log,
/// let the engine run empty, order, and end the claim when it is there.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackendDispatcher.h"
#include "pistachioloom/Orders.h"

namespace pistachioloom {

class EngineOrders {
public:
    EngineOrders(NodeContext& context, BackendDispatcher& dispatcher);

    void start();

    /// What is known of an engine of ours.
    struct Status {
        std::string version_;
        std::string wanted_;
        OrderStep step_ = OrderStep::Settled;
    };
    /// Empty for an engine that the catalogue leaves as it is.
    std::optional<Status> statusOf(const VmId& engine) const;

private:
    /// One engine whose home we are.
    struct ManagedEngine {
        EngineConfiguration wanted_;
        SteadyTime claimedAt_;
        std::optional<SteadyTime> orderedAt_;
        SteadyTime reconciledAt_;
        bool isReconciling_ = false;
        bool wasReconciled_ = false;
        Status status_;
    };

    asio::awaitable<void> loop();
    /// Engines whose turn it is, marked as being visited.
    std::vector<VmId> takeDueEngines();
    asio::awaitable<void> reconcile(VmId engine);
    asio::awaitable<void> advance(VmId engine, Endpoint endpoint, std::shared_ptr<const CatalogueEntry> entry);
    OrderStep decideStep(const VmId& engine, const CatalogueEntry& entry, const EngineState& state, FencingToken& token);
    asio::awaitable<void> performStep(VmId engine, Endpoint endpoint, OrderStep step, FencingToken token, const CatalogueEntry& entry);
    asio::awaitable<void> appendClaim(VmId engine, std::string model, bool isEnd);
    asio::awaitable<void> order(VmId engine, Endpoint endpoint, FencingToken token, EngineConfiguration wanted);
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
