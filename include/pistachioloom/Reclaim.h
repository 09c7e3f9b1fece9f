//===- pistachioloom/Reclaim.h - planning for streams of a leaving VM ------===//
///
/// \file
/// Plans what happens to each stream when the reclaim of an engine's VM is
/// announced: it finishes in place, its KV cache moves to another engine, or it
/// continues on another engine by recomputing from its prompt and tokens. The
/// plan recomputes few tokens and prefers paid streams to trial streams. The
/// code is pure.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"

namespace pistachioloom {

/// A stream that the leaving engine generates.
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
    /// Part of the notice that is reserved for messages and unexpected delays.
    milliseconds margin_ { 300 };
    /// Time in which the leaving engine generates one token of a stream.
    milliseconds timePerToken_ { 20 };
    /// Size of the KV cache of one token, and the bandwidth that all exports share.
    ByteCount kvPerToken_ { 128UL * 1024 };
    ByteCount exportPerSecond_ { 1024UL * 1024 * 1024 };
    /// Number of streams that other engines can import.
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
    /// Tokens that another engine recomputes because of this step.
    std::uint64_t recomputedTokens_ = 0;
};

/// \returns a step for each stream, in the order in which the steps should start.
std::vector<ReclaimStep> planReclaim(const std::vector<LeavingStream>& streams, const ReclaimCost& cost);

/// \returns the number of tokens that \p plan recomputes.
std::uint64_t recomputedTokens(const std::vector<ReclaimStep>& plan);

} // namespace pistachioloom
