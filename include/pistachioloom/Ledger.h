//===- pistachioloom/Ledger.h - at-most-once by log order ------------------===//
///
/// \file
/// The pure part of running a call at most once. An intent is appended to the
/// key's shard of the log before the call is dispatched; the first intent in
/// log order runs and every other one is told so. No lease or clock guards
/// safety: a keeper that was frozen finds its intent second and does nothing.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace pistachioloom {

/// Names a call: organisation, service and the caller's idempotency key.
/// A digest, so that records and state have a constant size.
using CallKey = Id<struct CallKeyTag>;

CallKey makeCallKey(const OrganisationId& organisation, const ServiceName& service, const IdempotencyKey& key);
/// The shard of the log that orders \p key.
std::uint32_t shardOf(const CallKey& key, std::uint32_t shards);

/// The answer of a call that ran.
struct CallOutcome {
    std::uint32_t status_ = 0;
    std::string contentType_;
    std::string body_;
};

/// One line of a shard's stream.
struct LedgerItem {
    enum class Type {
        /// The attempt will run the call if it is first.
        Intent,
        /// The attempt ran the call and this came of it.
        Outcome,
        /// The attempt holds the call and has not run it and never will.
        Release,
    };
    Type type_ = Type::Intent;
    CallKey key_;
    AttemptId attempt_;
    std::string bodyHash_;
    CallOutcome outcome_;
};

/// A batch of items is one record of the log.
std::string encodeLedgerRecord(const std::vector<LedgerItem>& items);
std::vector<LedgerItem> decodeLedgerRecord(const std::string& record);

/// What the log says of one key.
struct CallState {
    AttemptId holder_;
    std::string bodyHash_;
    std::optional<CallOutcome> outcome_;
    /// Attempts that gave up; an intent of theirs that arrives late is void.
    std::vector<AttemptId> released_;
    LogOffset lastOffset_;
};

/// One shard, applied in log order.
class LedgerShard {
public:
    /// Applies a record; offsets below nextOffset() are ignored.
    void apply(LogOffset offset, const std::vector<LedgerItem>& items);
    /// Drops what the log no longer keeps: records below \p first are gone.
    void trim(LogOffset first);
    /// \returns nullptr for a key that is free.
    const CallState* find(const CallKey& key) const;
    LogOffset nextOffset() const { return nextOffset_; }
    std::size_t size() const { return calls_.size(); }

private:
    std::unordered_map<CallKey, CallState> calls_;
    std::map<std::uint64_t, std::vector<CallKey>> byOffset_;
    LogOffset nextOffset_;
};

/// One call at its keeper, from intent to answer. The driver does what step()
/// names and reports how it went; it never dispatches on any other word.
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
        /// outcome() came of this attempt.
        Executed,
        /// outcome() is what an earlier attempt stored.
        Replayed,
        /// Another attempt holds the call; its outcome is not known.
        StartedElsewhere,
        /// The key was used before with another body.
        KeyReused,
        /// Nothing was run; failure() says why.
        NotRun,
        /// The call was dispatched and its answer lost.
        OutcomeUnknown,
    };

    RunOnceCall(CallKey key, AttemptId attempt, std::string bodyHash);

    Step step() const { return step_; }
    Answer answer() const { return answer_; }
    const CallOutcome& outcome() const { return outcome_; }
    const Error& failure() const { return failure_; }
    LogOffset intentOffset() const { return intentOffset_; }
    /// The item that the current append step writes.
    LedgerItem item() const;

    void intentAppended(LogOffset offset);
    /// The intent may or may not reach the log; this attempt gives up.
    void intentFailed(Error error);
    /// The shard now covers intentOffset().
    void logRead(const LedgerShard& shard);
    void logReadFailed(Error error);
    /// Too much time passed since the intent for a dispatch to be wise.
    void intentExpired();
    void dispatched(CallOutcome outcome);
    /// `ran_` of \p error tells whether the call may have run.
    void dispatchFailed(Error error);
    /// The outcome or release was appended, or cannot be: the answer stands.
    void recordWritten();

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
