//===- lib/Node/LimitTable.h - a limit keeper's book on one entry -----------===//
///
/// \file
/// What a keeper has granted, lent and borrowed of one entry's limits.
//===----------------------------------------------------------------------===//
#pragma once

#include "LimitCoordinator.h"
#include "SharedWait.h"

namespace pistachioloom {

/// Guarded by the keeper's mutex.
struct LimitCoordinator::LimitTable {
    SteadyTime createdAt_ = steadyNow();
    GrantTable grants_;
    LoanTable loans_;
    std::optional<TokenBucket> tokens_;
    /// Our own nodes wanted more than there was.
    std::optional<SteadyTime> shortageAt_;
    SteadyTime nextBorrowAt_;
    std::map<DataCentreId, SteadyTime> unreachableUntil_;
    std::shared_ptr<SharedWait> borrowing_;
    /// Of each keeper that borrows from us.
    std::map<VmId, std::uint64_t> lastSequence_;
};

} // namespace pistachioloom
