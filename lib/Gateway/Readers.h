//===- lib/Gateway/Readers.h - nodes that poll the platform ---------------===//
///
/// \file
/// Reads from the platform are charged and limited, so that few nodes read and the others
/// fetch from them what they read. Every node decides for itself whether it reads, from
/// the reports of its peers. The functions do no I/O.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

namespace pistachioloom {

/// What a node reports of itself as a reader.
struct ReaderState {
    VmId vm_;
    DataCentreId dataCentre_;
    bool isStopping_ = false;
    /// Its last read from the platform failed.
    bool isPlatformUnavailable_ = false;
    bool isReader_ = false;
    /// CPU cores of its VM.
    double cores_ = 0;
};

/// Returns whether \p self reads: as the first node of its data centre, or as one of the
/// first \p readers nodes of all, among the nodes that the platform serves. Nodes with
/// more CPU cores come first, since all other nodes fetch from readers and larger VMs
/// have faster links; rendezvous hashing orders nodes of equal cores. Nodes that the
/// platform rejects continue to try, and others read in addition until many nodes are
/// rejected.
bool shouldRead(const ReaderState& self, const std::vector<ReaderState>& peers, std::uint64_t readers);

/// Returns whether the platform serves none of the known readers. A single rejected
/// reader does not show that registrations are affected.
bool haveAllReadersFailed(const std::vector<ReaderState>& peers);

} // namespace pistachioloom
