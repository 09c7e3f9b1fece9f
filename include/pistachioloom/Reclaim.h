//===- pistachioloom/Reclaim.h - what to do with streams of a leaving VM ---===//
///
/// \file
/// Pure planning for an announced reclaim of an engine's VM: finish in place,
/// move the KV cache, or go on elsewhere from prompt and tokens. Fewest
/// recomputed tokens, paid streams first; trial streams yield.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"

namespace pistachioloom {

/// One generation on the leaving engine.
struct LeavingStream {
    RequestId request_;
    ServiceClass class_ = ServiceClass::Paid;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t generatedTokens_ = 0;
    std::uint64_t remainingTokens_ = 0;
};

struct ReclaimCost {
    /// Time left until the VM stops.
    milliseconds notice_ {};
    /// Kept back for messages and the unforeseen.
    milliseconds margin_ { 300 };
    milliseconds perToken_ { 20 };
    /// KV cache of one token, and the bandwidth all exports share.
    ByteCount kvPerToken_ { 128UL * 1024 };
    ByteCount exportPerSecond_ { 1024UL * 1024 * 1024 };
    /// Streams that targets can import.
    std::size_t importSlots_ = 0;
};

enum class ReclaimAction {
    FinishInPlace,
    MoveCache,
    Recompute,
};

std::string_view toString(ReclaimAction action);

struct ReclaimStep {
    RequestId request_;
    ReclaimAction action_ = ReclaimAction::Recompute;
    /// Tokens computed again because of this step.
    std::uint64_t recomputedTokens_ = 0;
};

/// Plans every stream, in the order in which the steps should start.
std::vector<ReclaimStep> planReclaim(const std::vector<LeavingStream>& streams, const ReclaimCost& cost);

/// Tokens that \p plan computes again.
std::uint64_t recomputedTokens(const std::vector<ReclaimStep>& plan);

} // namespace pistachioloom
