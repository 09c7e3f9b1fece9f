//===- lib/Node/LimitBook.h - a limit keeper's book on one entry -----------===//
///
/// \file
/// What a keeper has granted, lent and borrowed of one entry's limits.
//===----------------------------------------------------------------------===//
#pragma once

#include "CompletionEvent.h"
#include "LimitKeeper.h"

namespace pistachioloom {

/// Guarded by the keeper's mutex.
struct LimitKeeper::Book {
    SteadyTime since_ = steadyNow();
    GrantTable grants_;
    LoanTable loans_;
    std::optional<TokenBucket> tokens_;
    /// Our own nodes wanted more than there was.
    std::optional<SteadyTime> shortAt_;
    SteadyTime borrowAgainAt_;
    std::map<DataCentreId, SteadyTime> unreachableUntil_;
    std::shared_ptr<CompletionEvent> borrowing_;
    /// Of each keeper that borrows from us.
    std::map<VmId, std::uint64_t> lastSequence_;
};

} // namespace pistachioloom
