//===- lib/Gateway/RequestShares.h - shares of a server's request limit ---===//
///
/// \file
/// A backend server may limit the requests that it takes from all nodes together. The limit
/// is divided without messages: all nodes choose alike, by rendezvous hashing, which of them
/// may send to the server. A small limit belongs to few nodes, since each of them may send a
/// request at any time. The functions are pure.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Backends.h"

namespace pistachioloom {

/// The nodes among which a limit is divided, as one of them knows them.
struct SharingNodes {
    /// Nodes that are live and not stopping, including this one unless it is stopping.
    std::vector<VmId> live_;
    /// Number of nodes that are not stopping, including those that do not report. The parts of
    /// a partitioned fleet use no more than their part of the limit.
    std::size_t known_ = 1;
};

/// Returns the share that \p self has of \p limit requests a second at \p backend. In any 4 s
/// the shares of all nodes admit at most 4 * limit and one burst, which is at most limit + 3.
RequestShare requestShare(double limit, const BackendId& backend, const VmId& self, const SharingNodes& nodes);

/// Returns how many of \p slots at \p backend \p self may take. The shares of all nodes add up
/// to \p slots.
std::uint64_t slotShare(std::uint64_t slots, const BackendId& backend, const VmId& self, const SharingNodes& nodes);

} // namespace pistachioloom
