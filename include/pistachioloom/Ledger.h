//===- pistachioloom/Ledger.h - at-most-once execution by log order --------===//
///
/// \file
/// The I/O-free part of at-most-once execution. An intent is appended to the
/// key's shard of the log before the call is dispatched. The attempt with the
/// first intent in log order holds the key and dispatches the call; every other
/// attempt reads from the log that the key is held. Safety does not depend on leases or
/// clocks: a coordinator that was frozen while another attempt got the key finds
/// that attempt's intent ahead of its own and does not dispatch.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace pistachioloom {

/// Identifies a call by organisation, service and the caller's idempotency key.
/// It is a digest, so that keys have a constant size in records and in memory.
using CallKey = Id<struct CallKeyTag>;

CallKey makeCallKey(const OrganisationId& organisation, const ServiceName& service, const IdempotencyKey& key);
/// \returns the index of the log shard that orders the records of \p key.
std::uint32_t shardOf(const CallKey& key, std::uint32_t shards);

/// The response of a call that was executed.
struct CallOutcome {
    std::uint32_t status_ = 0;
    std::string contentType_;
    std::string body_;
};

/// One item of a shard's log.
struct LedgerItem {
    enum class Type {
        /// The attempt dispatches the call if this is the first intent.
        Intent,
        /// The attempt executed the call with this outcome.
        Outcome,
        /// The attempt has not executed the call and never will; if it holds
        /// the key, the key becomes free.
        Release,
    };
    Type type_ = Type::Intent;
    CallKey key_;
    AttemptId attempt_;
    std::string bodyHash_;
    CallOutcome outcome_;
};

/// Encodes a batch of items as one record of the log.
std::string encodeLedgerRecord(const std::vector<LedgerItem>& items);
/// Decodes a record; malformed items are left out.
std::vector<LedgerItem> decodeLedgerRecord(const std::string& record);

/// State of one key, derived from the log.
struct CallState {
    /// The attempt that holds the key; empty if none does.
    AttemptId holder_;
    /// Hash of the request body of the holder's call.
    std::string bodyHash_;
    std::optional<CallOutcome> outcome_;
    /// Released attempts. An intent of a released attempt that is appended
    /// later has no effect.
    std::vector<AttemptId> released_;
    /// Offset of the newest record of this key.
    LogOffset lastOffset_;
};

/// The calls of one shard, built by applying its records in log order.
class LedgerShard {
public:
    /// Applies a record. A record below nextOffset() is ignored.
    void apply(LogOffset offset, const std::vector<LedgerItem>& items);
    /// Removes the keys whose records were all trimmed from the log, which now
    /// starts at \p first.
    void trim(LogOffset first);
    /// \returns nullptr if no attempt holds \p key.
    const CallState* find(const CallKey& key) const;
    LogOffset nextOffset() const { return nextOffset_; }
    std::size_t size() const { return calls_.size(); }

private:
    std::unordered_map<CallKey, CallState> calls_;
    /// The keys in each record, by the record's offset.
    std::map<std::uint64_t, std::vector<CallKey>> byOffset_;
    LogOffset nextOffset_;
};

/// State machine of one call at its coordinator, from intent to answer. The
/// driver performs the action that step() names and reports its result. It must
/// dispatch the call only in the step Dispatch.
class RunOnceCall {
public:
    enum class Step {
        AppendIntent,
        /// Read the shard up to and including intentOffset().
        ReadLog,
        Dispatch,
        AppendOutcome,
        AppendRelease,
        Done,
    };
    enum class Answer {
        None,
        /// This attempt executed the call; see outcome().
        Executed,
        /// An earlier attempt executed the call and stored outcome().
        Replayed,
        /// Another attempt holds the key; its outcome is not known.
        StartedElsewhere,
        /// The key was already used with a different request body.
        KeyReused,
        /// The call was not executed; see failure().
        NotRun,
        /// The call was dispatched, but its response was lost.
        OutcomeUnknown,
    };

    RunOnceCall(CallKey key, AttemptId attempt, std::string bodyHash);

    Step step() const { return step_; }
    Answer answer() const { return answer_; }
    const CallOutcome& outcome() const { return outcome_; }
    const Error& failure() const { return failure_; }
    LogOffset intentOffset() const { return intentOffset_; }
    /// The item to append in the current step.
    LedgerItem item() const;

    /// The intent is in the log at \p offset.
    void noteIntentAppended(LogOffset offset);
    /// The append failed, though the intent may still reach the log. The
    /// attempt is released.
    void noteIntentFailed(Error error);
    /// \p shard must have been read past intentOffset().
    void noteLogRead(const LedgerShard& shard);
    void noteLogReadFailed(Error error);
    /// Too much time has passed since the intent was appended, so the call is
    /// not dispatched.
    void noteIntentExpired();
    void noteDispatched(CallOutcome outcome);
    /// The dispatch failed. `ran_` of \p error states whether the call may have been
    /// executed nevertheless.
    void noteDispatchFailed(Error error);
    /// The outcome or release was appended, or its append failed; the answer is
    /// final in either case.
    void noteRecordWritten();

private:
    void release(Error error);

    CallKey key_;
    AttemptId attempt_;
    std::string bodyHash_;
    Step step_ = Step::AppendIntent;
    Answer answer_ = Answer::None;
    CallOutcome outcome_;
    Error failure_;
    LogOffset intentOffset_;
};

std::string_view toString(RunOnceCall::Answer answer);

} // namespace pistachioloom
