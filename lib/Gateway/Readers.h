//===- lib/Gateway/Readers.h - which nodes read from the platform ----------===//
///
/// \file
/// Reads are priced and bounded, so few nodes read and the others learn from
/// them. Every node decides alone, from what it hears of its peers. Pure.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

namespace pistachioloom {

/// What a peer says of its part in reading.
struct ReaderState {
    VmId vm_;
    DataCentreId dataCentre_;
    bool isStopping_ = false;
    /// Its last read failed.
    bool isPlatformUnavailable_ = false;
    bool isReader_ = false;
    /// Processor cores of its VM.
    double cores_ = 0;
};

/// Whether \p self reads: as the first of its data centre, or one of the first
/// \p readers of all, among nodes that the platform serves. Those with most
/// processor cores come first, since all others ask readers for what they read and
/// the links of larger VMs are wider; then as drawn. Nodes that the platform turned
/// away go on trying, and are succeeded until there are many of them.
bool shouldRead(const ReaderState& self, const std::vector<ReaderState>& peers, std::uint64_t readers);

/// Whether the platform serves none of the readers that are heard. One that is
/// turned away alone says nothing of registrations.
bool haveAllReadersFailed(const std::vector<ReaderState>& peers);

} // namespace pistachioloom
