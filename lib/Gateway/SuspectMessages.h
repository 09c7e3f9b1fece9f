//===- lib/Gateway/SuspectMessages.h - messages about suspects ------------===//
///
/// \file
/// Converts the evidence on attributes of requests to messages between nodes, and back.
//===----------------------------------------------------------------------===//
#pragma once

#include "generated/Peer.pb.h"
#include "pistachioloom/Quarantine.h"

namespace pistachioloom {

/// Adds \p suspects to \p message, with the times of their crashes converted to ages at
/// \p now.
void putSuspects(const std::vector<Suspect>& suspects, google::protobuf::RepeatedPtrField<wire::SuspectReport>& message, SteadyTime now);

/// Returns the suspects in \p message. If the arrays of an entry differ in length, all
/// are cut to the shortest.
std::vector<Suspect> suspectsOf(const google::protobuf::RepeatedPtrField<wire::SuspectReport>& message, SteadyTime now);

} // namespace pistachioloom
