//===- unittests/Ledger/RunOnceModel.h - keepers, a log and a service ------===//
///
/// \file
/// A model in which RunOnceCall's steps are interleaved with every fault of
/// the log, the service and the keepers. It is copied at each choice by the
/// exhaustive exploration and driven by draws in the random one.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Ledger.h"

namespace pistachioloom::test {

/// One thing that may happen next.
struct Choice {
    enum class Kind {
        AppendTakesEffect,
        AppendFails,
        /// The record is in the log, and the keeper does not hear of it.
        AppendAnswerLost,
        /// The keeper hears nothing, and the record comes later or never.
        AppendDelayed,
        DelayedArrives,
        ReadLog,
        ReadFails,
        ServiceRuns,
        ServiceRunsAnswerLost,
        ServiceRejects,
        CoordinatorCrashes,
    };
    Kind kind_;
    std::size_t index_ = 0;
};

/// How many of each fault a run may still have.
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
    /// What is violated, or an empty string.
    std::string violation() const;
    std::size_t executions() const { return executed_.size(); }
    bool isFinished() const;
    /// Whether one more call, with a working log and service, may run.
    bool canRunNewCall();

private:
    struct Call {
        RunOnceCall call_;
        std::size_t coordinator_;
        bool isAlive_ = true;
        bool hasExecuted_ = false;
    };

    void addAppendChoices(std::vector<Choice>& choices, std::size_t index) const;
    void finishAppend(Call& call, LogOffset offset);
    void failAppend(Call& call);
    void execute(Call& call);
    LogOffset append(const LedgerItem& item);
    LedgerShard readLog() const;

    std::vector<LedgerItem> log_;
    std::vector<LedgerItem> delayed_;
    std::vector<Call> calls_;
    std::vector<AttemptId> executed_;
    FaultBudget faults_;
    std::size_t coordinators_;
};

} // namespace pistachioloom::test
