//===- lib/Node/LimitTable.h - limits of one entry ------------------------===//
///
/// \file
/// What a limit coordinator has granted, lent and borrowed of one entry's
/// limits.
//===----------------------------------------------------------------------===//
#pragma once

#include "CompletionEvent.h"
#include "LimitCoordinator.h"

namespace pistachioloom {

/// Grants, loans and tokens of one entry. Guarded by the coordinator's mutex.
struct LimitCoordinator::LimitTable {
    SteadyTime createdAt_ = steadyNow();
    GrantTable grants_;
    LoanTable loans_;
    std::optional<TokenBucket> tokens_;
    /// When a node of this data centre last needed more slots than were
    /// available.
    std::optional<SteadyTime> shortageAt_;
    /// No loan is requested for a shortage before this time.
    SteadyTime nextBorrowAt_;
    std::map<DataCentreId, SteadyTime> unreachableUntil_;
    /// Set while this coordinator sends loan requests for the entry.
    std::shared_ptr<CompletionEvent> borrowing_;
    /// Sequence number of the newest loan request of each borrowing
    /// coordinator.
    std::map<VmId, std::uint64_t> lastSequence_;
};

} // namespace pistachioloom
