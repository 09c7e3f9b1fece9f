//===- lib/Ledger/RunOnceCall.cpp - one call at its coordinator ------------===//
///
/// \file
/// State machine of a call that is executed at most once.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Ledger.h"

#include <cassert>

namespace pistachioloom {

std::string_view toString(RunOnceCall::Answer answer)
{
    switch (answer) {
    case RunOnceCall::Answer::None:
        return "none";
    case RunOnceCall::Answer::Executed:
        return "executed";
    case RunOnceCall::Answer::Replayed:
        return "replayed";
    case RunOnceCall::Answer::StartedElsewhere:
        return "started_elsewhere";
    case RunOnceCall::Answer::KeyReused:
        return "key_reused";
    case RunOnceCall::Answer::NotRun:
        return "not_run";
    case RunOnceCall::Answer::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "none";
}

RunOnceCall::RunOnceCall(CallKey key, AttemptId attempt, std::string bodyHash)
    : key_(std::move(key))
    , attempt_(std::move(attempt))
    , bodyHash_(std::move(bodyHash))
{
}

LedgerItem RunOnceCall::item() const
{
    LedgerItem::Type type = LedgerItem::Type::Intent;
    if (step_ == Step::AppendOutcome)
        type = LedgerItem::Type::Outcome;
    if (step_ == Step::AppendRelease)
        type = LedgerItem::Type::Release;
    return { type, key_, attempt_, bodyHash_, outcome_ };
}

void RunOnceCall::noteIntentAppended(LogOffset offset)
{
    assert(step_ == Step::AppendIntent && "the intent has already been appended");
    intentOffset_ = offset;
    step_ = Step::ReadLog;
}

void RunOnceCall::release(Error error)
{
    failure_ = std::move(error);
    failure_.ran_ = Ran::No;
    answer_ = Answer::NotRun;
    step_ = Step::AppendRelease;
}

void RunOnceCall::noteIntentFailed(Error error)
{
    assert(step_ == Step::AppendIntent && "no intent is being appended");
    release(std::move(error));
}

void RunOnceCall::noteLogReadFailed(Error error)
{
    assert(step_ == Step::ReadLog && "the log is not being read");
    release(std::move(error));
}

void RunOnceCall::noteLogRead(const LedgerShard& shard)
{
    assert(step_ == Step::ReadLog && "the log is read only after the intent is appended");
    assert(shard.nextOffset() > intentOffset_ && "the shard must cover the intent");
    step_ = Step::Done;
    const CallState* state = shard.find(key_);
    if (!state) {
        // The intent was trimmed before it was read.
        release({ Errc::Unavailable, "read ledger", {}, "the log no longer keeps the intent", Ran::No, {} });
        return;
    }
    if (state->holder_ == attempt_) {
        step_ = Step::Dispatch;
        return;
    }
    if (state->bodyHash_ != bodyHash_) {
        answer_ = Answer::KeyReused;
        return;
    }
    if (!state->outcome_) {
        answer_ = Answer::StartedElsewhere;
        return;
    }
    outcome_ = *state->outcome_;
    answer_ = Answer::Replayed;
}

void RunOnceCall::noteIntentExpired()
{
    assert(step_ == Step::Dispatch && "only a call that is ready for dispatch can expire");
    release({ Errc::Timeout, "dispatch", {}, "too long between intent and dispatch", Ran::No, {} });
}

void RunOnceCall::noteDispatched(CallOutcome outcome)
{
    assert(step_ == Step::Dispatch && "the call is not ready for dispatch");
    outcome_ = std::move(outcome);
    answer_ = Answer::Executed;
    step_ = Step::AppendOutcome;
}

void RunOnceCall::noteDispatchFailed(Error error)
{
    assert(step_ == Step::Dispatch && "the call is not being dispatched");
    if (error.ran_ == Ran::No) {
        release(std::move(error));
        return;
    }
    failure_ = std::move(error);
    answer_ = Answer::OutcomeUnknown;
    step_ = Step::Done;
}

void RunOnceCall::noteRecordWritten()
{
    assert((step_ == Step::AppendOutcome || step_ == Step::AppendRelease) && "no outcome or release is being appended");
    step_ = Step::Done;
}

} // namespace pistachioloom
