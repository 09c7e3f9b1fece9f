//===- pistachioloom/Routing.h - choice of an engine -----------------------===//
///
/// \file
/// Pure choice of the engine for a generation by its estimated time to first
/// token. A bounded number of candidates is looked at whatever the size of the
/// fleet: those that the prompt's prefix maps to, and a few at random.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Membership.h"

#include <functional>

namespace pistachioloom {

/// Hash of the first blocks of a prompt: block i's covers blocks 0 to i.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

/// One engine as the entry knows it.
struct EngineCandidate {
    VmId engine_;
    VmId dispatcher_;
    ModelLoad load_;
    /// Requests we sent there since the load was reported.
    std::uint32_t sentSince_ = 0;
    /// Rank of the engine for the prompt's prefix: 0 is its favourite.
    std::size_t prefixRank_ = 0;
    bool isLocal_ = true;
    milliseconds network_ {};
    std::uint64_t pricePerHour_ = 0;
    /// Set by chooseEngine().
    milliseconds estimate_ {};
};

/// What an estimate rests on.
struct RoutingParameters {
    /// Time to prefill the whole prompt on an engine that has none of it.
    milliseconds prefill_ {};
    /// Time until a slot of a full engine becomes free.
    milliseconds serviceTime_ { 500 };
    milliseconds latencyTarget_ { 720 };
    /// Time until a trial has yielded its slot to paid work.
    milliseconds yieldTime_ { 20 };
    bool isPaid_ = true;
};

/// Fills in the estimates and ranks \p candidates: the estimated time to first
/// token first; inside the target the cheaper one.
std::vector<EngineCandidate> rankEngines(std::vector<EngineCandidate> candidates, const RoutingParameters& cost);

/// Picks the engines worth an estimate: the \p topRanked best of the prefix
/// by rendezvous hashing, and \p others at random from \p nextRandom.
std::vector<VmId> sampleEngines(std::uint64_t prefix, const std::vector<VmId>& engines, std::size_t topRanked, std::size_t others, const std::function<std::uint64_t()>& nextRandom);

} // namespace pistachioloom
