//===- lib/Gateway/SuspectMessages.h - crashes by request, in messages -----===//
///
/// \file
/// What nodes tell each other of requests under which backend servers crashed.
//===----------------------------------------------------------------------===//
#pragma once

#include "generated/Peer.pb.h"
#include "pistachioloom/Quarantine.h"

namespace pistachioloom {

/// Writes \p suspects into a message; times become ages.
void putSuspects(const std::vector<Suspect>& suspects, google::protobuf::RepeatedPtrField<wire::SuspectReport>& message, SteadyTime now);

/// The suspects of a message, which may have arrays of unequal length: the shorter one
/// counts.
std::vector<Suspect> suspectsOf(const google::protobuf::RepeatedPtrField<wire::SuspectReport>& message, SteadyTime now);

} // namespace pistachioloom
