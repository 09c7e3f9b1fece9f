//===- lib/Gateway/RolloutMessages.h - roll-outs, in messages --------------===//
///
/// \file
/// What nodes tell each other of operators' orders, and what they counted for them.
//===----------------------------------------------------------------------===//
#pragma once

#include "generated/Peer.pb.h"
#include "pistachioloom/Rollout.h"

namespace pistachioloom {

wire::RolloutReport toWire(const RolloutState& state);
/// nullopt if a field is missing or odd.
std::optional<RolloutState> fromWire(const wire::RolloutReport& report);

void putRollouts(const std::vector<RolloutTracker::ReceivedState>& states, google::protobuf::RepeatedPtrField<wire::RolloutReport>& message, SteadyTime now);

void putTallies(const RolloutTallies& tallies, google::protobuf::RepeatedPtrField<wire::RolloutCounts>& message);
/// The tallies of a message, which may have arrays of unequal length: the shortest one
/// counts.
RolloutTallies talliesOf(const google::protobuf::RepeatedPtrField<wire::RolloutCounts>& message);

} // namespace pistachioloom
