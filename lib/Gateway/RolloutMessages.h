//===- lib/Gateway/RolloutMessages.h - messages about roll-outs -----------===//
///
/// \file
/// Converts the states and the counts of operators' roll-out orders to messages between
/// nodes, and back.
//===----------------------------------------------------------------------===//
#pragma once

#include "generated/Peer.pb.h"
#include "pistachioloom/Rollout.h"

namespace pistachioloom {

wire::RolloutReport toWire(const RolloutState& state);
/// \returns nullopt if a field is missing or invalid.
std::optional<RolloutState> fromWire(const wire::RolloutReport& report);

/// Adds \p states to \p message, with the ages of their reports.
void putRollouts(const std::vector<RolloutTracker::ReceivedState>& states, google::protobuf::RepeatedPtrField<wire::RolloutReport>& message, SteadyTime now);

/// Adds \p tallies to \p message.
void putTallies(const RolloutTallies& tallies, google::protobuf::RepeatedPtrField<wire::RolloutCounts>& message);
/// Returns the tallies in \p message. If the arrays of an entry differ in length, all are
/// cut to the shortest.
RolloutTallies talliesOf(const google::protobuf::RepeatedPtrField<wire::RolloutCounts>& message);

} // namespace pistachioloom
