//===- lib/Rollout/Answers.cpp - classifies answers as good or bad --------===//
///
/// \file
/// See isBadAnswer().
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

namespace pistachioloom {

// An answer is slow if it takes more than this multiple of its estimate. Estimates are
// often off by half, but an answer several times slower is not chance.
static constexpr double slowRatio = 2.5;
// Delays beyond the estimate up to this one are noise of the network and of the VMs.
static constexpr milliseconds minDelay { 60 };
// Likewise for the time between two events of a stream.
static constexpr double minGapDelayMs = 5;

static bool isSlow(const AttemptOutcome& outcome)
{
    double ratio = outcome.hasFirstByte_ ? outcome.waitRatio_ : static_cast<double>(outcome.waited_.count()) / static_cast<double>(std::max<std::int64_t>(1, outcome.estimate_.count()));
    return ratio > slowRatio && outcome.waited_ > outcome.estimate_ + minDelay;
}

std::optional<bool> isBadAnswer(const AttemptOutcome& outcome, double usualGapMs)
{
    bool hasSlowEvents = usualGapMs > 0 && outcome.eventGapMs_ > slowRatio * usualGapMs + minGapDelayMs;
    switch (outcome.outcome_) {
    case BackendOutcome::Served:
        return outcome.isFailure_ || isSlow(outcome) || hasSlowEvents;
    case BackendOutcome::Failed:
        return true;
    case BackendOutcome::Broken:
        return outcome.isCutOff_ ? std::nullopt : std::optional(true);
    case BackendOutcome::Abandoned:
        // An abandoned attempt is evidence only if the caller waited for long.
        return isSlow(outcome) || hasSlowEvents ? std::optional(true) : std::nullopt;
    case BackendOutcome::Full:
    case BackendOutcome::WrongInstance:
    case BackendOutcome::Unreachable:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace pistachioloom
