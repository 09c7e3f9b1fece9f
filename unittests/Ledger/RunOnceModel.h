//===- unittests/Ledger/RunOnceModel.h - model of at-most-once execution ---===//
///
/// \file
/// A model of coordinators, a log and a service that interleaves the steps of
/// RunOnceCall with faults of each of them. The exhaustive exploration copies
/// the model at each choice; the random one draws the choices.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Ledger.h"

namespace pistachioloom::test {

/// One possible next transition.
struct Choice {
    enum class Kind {
        AppendTakesEffect,
        /// The record is not in the log, and never will be.
        AppendFails,
        /// The record is in the log, but the coordinator receives no response.
        AppendAnswerLost,
        /// The coordinator receives no response, and the record reaches the log
        /// later or never.
        AppendDelayed,
        /// A delayed record reaches the log.
        DelayedArrives,
        ReadLog,
        ReadFails,
        ServiceRuns,
        /// The service executes the call, but its response is lost.
        ServiceRunsAnswerLost,
        /// The service does not execute the call.
        ServiceRejects,
        CoordinatorCrashes,
    };
    Kind kind_;
    /// Index of the call; of the delayed item for DelayedArrives, and of the coordinator
    /// for CoordinatorCrashes.
    std::size_t index_ = 0;
};

/// Remaining number of faults of each kind in a run.
struct FaultBudget {
    int crashes_ = 0;
    int appendFaults_ = 0;
    int readFaults_ = 0;
    int serviceFaults_ = 0;
};

class RunOnceModel {
public:
    RunOnceModel(std::size_t coordinators, std::size_t callsPerCoordinator, FaultBudget faults);

    std::vector<Choice> choices() const;
    void apply(const Choice& choice);
    /// \returns the violated property, or an empty string.
    std::string violation() const;
    std::size_t executions() const { return executedAttempts_.size(); }
    /// Whether no transition is left.
    bool isFinished() const;
    /// Appends the intent of a new call without faults. \returns whether that
    /// call may be dispatched.
    bool canRunNewCall();

private:
    struct Call {
        RunOnceCall call_;
        std::size_t coordinator_;
        bool isCoordinatorAlive_ = true;
        bool hasExecuted_ = false;
    };

    void addAppendChoices(std::vector<Choice>& choices, std::size_t index) const;
    void finishAppend(Call& call, LogOffset offset);
    void failAppend(Call& call);
    void execute(Call& call);
    LogOffset append(const LedgerItem& item);
    LedgerShard readLog() const;

    std::vector<LedgerItem> log_;
    /// Items whose append was delayed and which have not reached the log.
    std::vector<LedgerItem> delayedItems_;
    std::vector<Call> calls_;
    /// Attempts whose call the service executed, in order.
    std::vector<AttemptId> executedAttempts_;
    FaultBudget faults_;
    std::size_t coordinators_;
};

} // namespace pistachioloom::test
