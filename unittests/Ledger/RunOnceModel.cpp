//===- unittests/Ledger/RunOnceModel.cpp - model of at-most-once execution -===//
///
/// \file
/// Implementation of the model in RunOnceModel.h.
//===----------------------------------------------------------------------===//
#include "RunOnceModel.h"

#include <algorithm>

namespace pistachioloom::test {

namespace {

    const CallKey key { "key" };
    using Step = RunOnceCall::Step;

} // namespace

RunOnceModel::RunOnceModel(std::size_t coordinators, std::size_t callsPerCoordinator, FaultBudget faults)
    : faults_(faults)
    , coordinators_(coordinators)
{
    for (std::size_t coordinator = 0; coordinator < coordinators; ++coordinator) {
        for (std::size_t i = 0; i < callsPerCoordinator; ++i)
            calls_.push_back({ RunOnceCall(key, { "attempt" + std::to_string(calls_.size()) }, "body"), coordinator });
    }
}

void RunOnceModel::addAppendChoices(std::vector<Choice>& choices, std::size_t index) const
{
    choices.push_back({ Choice::Kind::AppendTakesEffect, index });
    if (!faults_.appendFaults_)
        return;
    choices.push_back({ Choice::Kind::AppendFails, index });
    choices.push_back({ Choice::Kind::AppendAnswerLost, index });
    choices.push_back({ Choice::Kind::AppendDelayed, index });
}

std::vector<Choice> RunOnceModel::choices() const
{
    std::vector<Choice> choices;
    for (std::size_t i = 0; i < calls_.size(); ++i) {
        if (!calls_[i].isCoordinatorAlive_)
            continue;
        switch (calls_[i].call_.step()) {
        case Step::AppendIntent:
        case Step::AppendOutcome:
        case Step::AppendRelease:
            addAppendChoices(choices, i);
            break;
        case Step::ReadLog:
            choices.push_back({ Choice::Kind::ReadLog, i });
            if (faults_.readFaults_)
                choices.push_back({ Choice::Kind::ReadFails, i });
            break;
        case Step::Dispatch:
            choices.push_back({ Choice::Kind::ServiceRuns, i });
            if (faults_.serviceFaults_) {
                choices.push_back({ Choice::Kind::ServiceRunsAnswerLost, i });
                choices.push_back({ Choice::Kind::ServiceRejects, i });
            }
            break;
        case Step::Done:
            break;
        }
    }
    for (std::size_t i = 0; i < delayedItems_.size(); ++i)
        choices.push_back({ Choice::Kind::DelayedArrives, i });
    for (std::size_t coordinator = 0; faults_.crashes_ && coordinator < coordinators_; ++coordinator)
        choices.push_back({ Choice::Kind::CoordinatorCrashes, coordinator });
    return choices;
}

LogOffset RunOnceModel::append(const LedgerItem& item)
{
    log_.push_back(item);
    return { log_.size() - 1 };
}

LedgerShard RunOnceModel::readLog() const
{
    LedgerShard shard;
    for (std::size_t i = 0; i < log_.size(); ++i)
        shard.apply({ i }, { log_[i] });
    return shard;
}

void RunOnceModel::finishAppend(Call& call, LogOffset offset)
{
    if (call.call_.step() == Step::AppendIntent)
        call.call_.noteIntentAppended(offset);
    else
        call.call_.noteRecordWritten();
}

void RunOnceModel::failAppend(Call& call)
{
    if (call.call_.step() == Step::AppendIntent)
        call.call_.noteIntentFailed({ Errc::Timeout, "append", {}, {}, Ran::Unknown, {} });
    else
        call.call_.noteRecordWritten();
}

void RunOnceModel::execute(Call& call)
{
    call.hasExecuted_ = true;
    executedAttempts_.push_back(call.call_.item().attempt_);
}

void RunOnceModel::apply(const Choice& choice)
{
    switch (choice.kind_) {
    case Choice::Kind::AppendTakesEffect: {
        Call& call = calls_[choice.index_];
        finishAppend(call, append(call.call_.item()));
        return;
    }
    case Choice::Kind::AppendFails:
        --faults_.appendFaults_;
        failAppend(calls_[choice.index_]);
        return;
    case Choice::Kind::AppendAnswerLost:
        --faults_.appendFaults_;
        append(calls_[choice.index_].call_.item());
        failAppend(calls_[choice.index_]);
        return;
    case Choice::Kind::AppendDelayed:
        --faults_.appendFaults_;
        delayedItems_.push_back(calls_[choice.index_].call_.item());
        failAppend(calls_[choice.index_]);
        return;
    case Choice::Kind::DelayedArrives:
        append(delayedItems_[choice.index_]);
        delayedItems_.erase(delayedItems_.begin() + static_cast<std::ptrdiff_t>(choice.index_));
        return;
    case Choice::Kind::ReadLog:
        calls_[choice.index_].call_.noteLogRead(readLog());
        return;
    case Choice::Kind::ReadFails:
        --faults_.readFaults_;
        calls_[choice.index_].call_.noteLogReadFailed({ Errc::Unavailable, "read", {}, {}, Ran::No, {} });
        return;
    case Choice::Kind::ServiceRuns: {
        Call& call = calls_[choice.index_];
        execute(call);
        call.call_.noteDispatched({ 200, "text", call.call_.item().attempt_.value_ });
        return;
    }
    case Choice::Kind::ServiceRunsAnswerLost:
        --faults_.serviceFaults_;
        execute(calls_[choice.index_]);
        calls_[choice.index_].call_.noteDispatchFailed({ Errc::Reset, "dispatch", {}, {}, Ran::Unknown, {} });
        return;
    case Choice::Kind::ServiceRejects:
        --faults_.serviceFaults_;
        calls_[choice.index_].call_.noteDispatchFailed({ Errc::Leaving, "dispatch", {}, {}, Ran::No, {} });
        return;
    case Choice::Kind::CoordinatorCrashes:
        --faults_.crashes_;
        for (Call& call : calls_)
            call.isCoordinatorAlive_ &= call.coordinator_ != choice.index_;
        return;
    }
}

std::string RunOnceModel::violation() const
{
    if (executedAttempts_.size() > 1)
        return "the call was executed " + std::to_string(executedAttempts_.size()) + " times";
    for (const Call& call : calls_) {
        RunOnceCall::Answer answer = call.call_.answer();
        if (answer == RunOnceCall::Answer::NotRun && call.hasExecuted_)
            return "a call reported as not run was executed";
        bool hasOutcome = answer == RunOnceCall::Answer::Executed || answer == RunOnceCall::Answer::Replayed;
        if (hasOutcome && (executedAttempts_.empty() || call.call_.outcome().body_ != executedAttempts_.front().value_))
            return "the outcome is not that of the only execution";
    }
    return {};
}

bool RunOnceModel::isFinished() const
{
    return choices().empty();
}

bool RunOnceModel::canRunNewCall()
{
    RunOnceCall call(key, { "late" }, "body");
    call.noteIntentAppended(append(call.item()));
    call.noteLogRead(readLog());
    return call.step() == Step::Dispatch;
}

} // namespace pistachioloom::test
