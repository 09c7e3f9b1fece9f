//===- pistachioloom/Orders.h - orders that configure model engines --------===//
///
/// \file
/// Dispatchers bring their engines to the configuration that the catalogue
/// states. Before an order, a dispatcher appends a claim to the log. The order's
/// fencing token follows from the claim's offset, so an engine that compares
/// tokens rejects a dispatcher that was replaced without knowing it. For engines
/// that ignore tokens, a dispatcher waits until its predecessor can no longer
/// send orders. Claims also order the model loads of one data centre in a queue,
/// so that its engines are never all unavailable simultaneously.
///
/// The code is pure: the caller passes the time in, and the age of a claim
/// counts from when it was read.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"

namespace pistachioloom {

using ClaimId = Id<struct ClaimIdTag>;
/// An order is stale if its token is smaller than that of an order that the
/// engine has already obeyed.
using FencingToken = Quantity<struct FencingTokenTag>;

/// State that an engine reports.
struct EngineState {
    EngineConfiguration configuration_;
    bool isLoading_ = false;
};

/// A node's announcement that it will send orders to an engine.
struct EngineClaim {
    ClaimId id_;
    VmId engine_;
    VmId node_;
    /// Loads of one model in one data centre share a queue.
    std::string queue_;
    /// The claim ends: its orders were sent, or will not be.
    bool isEnd_ = false;
};

std::string encodeClaim(const EngineClaim& claim);
/// \returns nullopt for a record that is not a claim; all readers ignore such a
/// record.
std::optional<EngineClaim> decodeClaim(const std::string& record);

/// The open claims, built by applying the records of the claims' stream in log
/// order.
class ClaimTable {
public:
    struct Holder {
        EngineClaim claim_;
        FencingToken token_;
        SteadyTime readAt_;
        /// Position in the queue; a later claim of the same engine and queue keeps it.
        LogOffset queuedAt_;
        /// When this node last read a claim on the engine by a node other than the
        /// holder, if that node did not end it.
        std::optional<SteadyTime> otherReadAt_;
    };

    void apply(LogOffset offset, const std::string& record, SteadyTime now);
    /// \returns the newest claim on \p engine that has not ended, or nullptr.
    const Holder* find(const VmId& engine) const;
    /// \returns the number of open claims that precede the one on \p engine in the
    /// same queue, counting only engines for which \p isPresent is true.
    std::size_t ahead(const VmId& engine, const std::function<bool(const VmId&)>& isPresent) const;
    /// Removes claims read longer than \p maxAge ago, since their nodes have
    /// stopped.
    void removeOlderThan(milliseconds maxAge, SteadyTime now);
    LogOffset nextOffset() const { return nextOffset_; }

private:
    void applyClaim(LogOffset offset, EngineClaim claim, SteadyTime now);
    void applyEnd(const EngineClaim& claim);

    std::map<VmId, Holder> openClaims_;
    LogOffset nextOffset_;
};

struct OrderTiming {
    /// How long a claim allows orders, counted from the start of its append.
    milliseconds claimValidity_ { 5000 };
    /// Upper bound of the time that a node may be frozen between its last reading
    /// of the clock and its order, for engines that ignore fencing tokens.
    milliseconds maxPause_ { 10000 };
    /// A load that takes longer is ordered again.
    milliseconds loadWaitLimit_ { 600000 };
};

/// What a dispatcher knows when it decides on the next step for one engine.
struct OrderContext {
    VmId self_;
    EngineConfiguration wanted_;
    EngineState state_;
    /// The open claim on the engine, from a claim table that was read up to the
    /// log's end; nullptr if there is none.
    const ClaimTable::Holder* holder_ = nullptr;
    /// Open claims that precede this node's claim in its queue, and how many
    /// engines of one queue may load simultaneously.
    std::size_t claimsAhead_ = 0;
    std::size_t maxLoading_ = 1;
    /// When the append of this node's claim began.
    SteadyTime claimedAt_;
    /// When this node sent its last order, if it was for `wanted_`.
    std::optional<SteadyTime> orderedAt_;
    /// Requests in progress on the engine.
    std::uint64_t activeRequests_ = 0;
    /// Whether the engine rejects orders with stale fencing tokens.
    bool honoursFencing_ = false;
};

enum class OrderStep {
    /// The engine has the wanted configuration, and no claim is open.
    Settled,
    /// Append a claim.
    Claim,
    /// Wait, and decide again later.
    Wait,
    /// Admit no requests to the engine, and decide again later.
    Drain,
    /// Send the order with the claim's token.
    Order,
    /// Append a record that ends this node's claim.
    End,
};

std::string_view toString(OrderStep step);

/// \returns the next step towards the wanted configuration of one engine.
OrderStep nextOrderStep(const OrderContext& context, const OrderTiming& timing, SteadyTime now);

} // namespace pistachioloom
