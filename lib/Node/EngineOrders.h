//===- lib/Node/EngineOrders.h - bringing engines to their configuration ---===//
///
/// \file
/// A home reads the state of its engines and, where the catalogue states
/// another configuration, does what the Orders library says: claim in the log,
/// let the engine run empty, order, and end the claim when it is there.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackendHome.h"
#include "pistachioloom/Orders.h"

namespace pistachioloom {

class EngineOrders {
public:
    EngineOrders(NodeContext& context, BackendHome& home);

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
    struct Managed {
        EngineConfiguration wanted_;
        SteadyTime claimedAt_;
        std::optional<SteadyTime> orderedAt_;
        SteadyTime visitedAt_;
        bool isVisiting_ = false;
        bool wasVisited_ = false;
        Status status_;
    };

    asio::awaitable<void> loop();
    /// Engines whose turn it is, marked as being visited.
    std::vector<VmId> takeDue();
    asio::awaitable<void> visit(VmId engine);
    asio::awaitable<void> decideAndAct(VmId engine, Endpoint endpoint, std::shared_ptr<const CatalogueEntry> entry);
    OrderStep decide(const VmId& engine, const CatalogueEntry& entry, const EngineState& state, FencingToken& token);
    asio::awaitable<void> act(VmId engine, Endpoint endpoint, OrderStep step, FencingToken token, const CatalogueEntry& entry);
    asio::awaitable<void> appendClaim(VmId engine, std::string model, bool isEnd);
    asio::awaitable<void> order(VmId engine, Endpoint endpoint, FencingToken token, EngineConfiguration wanted);
    asio::awaitable<bool> readClaims();
    std::shared_ptr<const CatalogueEntry> entryOf(const VmId& engine) const;

    NodeContext& context_;
    BackendHome& home_;
    Logger logger_;
    mutable std::mutex mutex_;
    ClaimTable claims_;
    std::map<VmId, Managed> managed_;
};

} // namespace pistachioloom
