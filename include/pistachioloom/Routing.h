//===- pistachioloom/Routing.h - choice of a model engine ------------------===//
///
/// \file
/// Chooses the engine for a generation by its estimated time to first token. The number
/// of candidates is bounded regardless of the fleet's size: those that the prompt's prefix
/// maps to, and a few random ones. All functions are pure.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Membership.h"

#include <functional>

namespace pistachioloom {

/// Returns hashes of the first blocks of \p prompt. Hash i covers blocks 0 to i.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

/// One engine as the entry VM knows it.
struct EngineCandidate {
    VmId engine_;
    VmId dispatcher_;
    ModelLoad load_;
    /// Requests that this node sent to the engine since the load was reported.
    std::uint32_t sentSinceReport_ = 0;
    /// Rank of the engine for the prompt's prefix by rendezvous hashing; 0 is the highest.
    std::size_t prefixRank_ = 0;
    bool isLocal_ = true;
    milliseconds networkLatency_ {};
    std::uint64_t pricePerHour_ = 0;
    /// Estimated time to first token; set by rankEngines().
    milliseconds estimate_ {};
};

/// Parameters of the estimated time to first token.
struct RoutingParameters {
    /// Time to prefill the complete prompt on an engine that has none of it cached.
    milliseconds prefillTime_ {};
    /// Time until a slot of a full engine becomes free.
    milliseconds serviceTime_ { 500 };
    milliseconds latencyTarget_ { 720 };
    /// Time until a trial request has yielded its slot to a paid one.
    milliseconds yieldTime_ { 20 };
    bool isPaid_ = true;
};

/// Sets the estimates of \p candidates and returns them with the best first. Candidates
/// that meet the latency target precede the others. Candidates that meet it are ordered
/// by locality, then by whether they rank highest for the prefix, by price and by
/// estimate. The others are ordered by estimate only.
std::vector<EngineCandidate> rankEngines(std::vector<EngineCandidate> candidates, const RoutingParameters& parameters);

/// Returns the candidates among \p engines, without duplicates: the \p topRanked highest
/// ones for \p prefix by rendezvous hashing, and \p others random ones by numbers from
/// \p nextRandom.
std::vector<VmId> sampleEngines(std::uint64_t prefix, const std::vector<VmId>& engines, std::size_t topRanked, std::size_t others, const std::function<std::uint64_t()>& nextRandom);

} // namespace pistachioloom
