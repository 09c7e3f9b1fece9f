//===- pistachioloom/Orders.h - who may order an engine, and when ----------===//
///
/// \file
/// Homes bring their engines to the configuration that the catalogue states.
/// Before an order a home appends a claim to the log; the claim's offset is the
/// order's fencing token, so an engine that compares tokens refuses a home that
/// was replaced without knowing it. For engines that do not, a home waits out
/// whatever the home before it may still send. Claims also queue the loads of
/// one data centre, so that its engines are never all away at once.
///
/// Pure: time is passed in, and a claim's age counts from when it was read.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"

namespace pistachioloom {

using ClaimId = Id<struct ClaimIdTag>;
/// Orders with a smaller token than one that was obeyed are stale.
using FencingToken = Quantity<struct FencingTokenTag>;

/// What an engine says of itself.
struct EngineState {
    EngineConfiguration configuration_;
    bool isLoading_ = false;
};

/// A node's word that it is going to order an engine.
struct EngineClaim {
    ClaimId id_;
    VmId engine_;
    VmId node_;
    /// Loads of one model in one data centre queue behind each other.
    std::string queue_;
    /// The orders are given, or will not be: the claim ends.
    bool isEnd_ = false;
};

std::string encodeClaim(const EngineClaim& claim);
/// nullopt for a record that is no claim; such a record is void for all readers.
std::optional<EngineClaim> decodeClaim(const std::string& record);

/// The claims' stream, applied in log order.
class ClaimTable {
public:
    struct Holder {
        EngineClaim claim_;
        FencingToken token_;
        SteadyTime readAt_;
        /// Place in the queue; kept when the same node claims anew.
        LogOffset queuedAt_;
        /// When we last read a claim of another node that did not end it.
        std::optional<SteadyTime> otherReadAt_;
    };

    void apply(LogOffset offset, const std::string& record, SteadyTime now);
    /// The newest claim on \p engine that has not ended, or nullptr.
    const Holder* find(const VmId& engine) const;
    /// Open claims of the same queue that come before the one on \p engine, of
    /// engines that \p isPresent knows.
    std::size_t ahead(const VmId& engine, const std::function<bool(const VmId&)>& isPresent) const;
    /// Forgets claims read longer than \p mostAge ago: their nodes are gone.
    void forgetOld(milliseconds mostAge, SteadyTime now);
    LogOffset nextOffset() const { return nextOffset_; }

private:
    void applyClaim(LogOffset offset, EngineClaim claim, SteadyTime now);
    void applyEnd(const EngineClaim& claim);

    std::map<VmId, Holder> open_;
    LogOffset nextOffset_;
};

struct OrderTiming {
    /// A claim is acted on for this long after its append began.
    milliseconds claimValidity_ { 5000 };
    /// Longest time a node may be frozen between its last look at the clock and
    /// its order, for engines that ignore fencing tokens.
    milliseconds pauseBound_ { 10000 };
    /// A load that takes longer is ordered anew.
    milliseconds loadPatience_ { 600000 };
};

/// What a home knows when it decides on one engine.
struct OrderSituation {
    VmId self_;
    EngineConfiguration wanted_;
    EngineState state_;
    /// Of the claim table, read up to the log's end; nullptr for none.
    const ClaimTable::Holder* holder_ = nullptr;
    std::size_t ahead_ = 0;
    std::size_t maxLoading_ = 1;
    /// When the append of our claim began.
    SteadyTime claimedAt_;
    /// When our last order was given, if it asked for `wanted_`.
    std::optional<SteadyTime> orderedAt_;
    /// Requests that the engine works on.
    std::uint64_t active_ = 0;
    bool honoursFencing_ = false;
};

enum class OrderStep {
    /// Nothing to do.
    Settled,
    /// Append a claim.
    Claim,
    /// Look again later.
    Wait,
    /// Admit nothing to the engine and look again.
    Drain,
    /// Give the order, with the claim's token.
    Order,
    /// Append the end of our claim.
    End,
};

std::string_view toString(OrderStep step);

OrderStep nextOrderStep(const OrderSituation& situation, const OrderTiming& timing, SteadyTime now);

} // namespace pistachioloom
