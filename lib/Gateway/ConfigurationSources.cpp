//===- lib/Gateway/ConfigurationSources.cpp - where to fetch from ---------===//
///
/// \file
/// See ConfigurationSources.h.
//===----------------------------------------------------------------------===//
#include "ConfigurationSources.h"

#include "Readers.h"

#include <algorithm>

namespace pistachioloom {

// Number of attempts that must have failed, or be slow, before a node reads the platform
// itself. One failure is common, and in a fleet where all nodes are behind for another reason
// none of them may read.
static constexpr std::size_t failuresBeforePlatform = 2;

ConfigurationSources::ConfigurationSources(DataCentreId ownDataCentre, double phase, SourceHealth& health)
    : ownDataCentre_(std::move(ownDataCentre))
    , phase_(phase)
    , health_(health)
{
}

bool ConfigurationSources::isSlow(const Attempt& attempt, SteadyTime now)
{
    auto elapsed = std::chrono::duration_cast<milliseconds>(now - attempt.startedAt_);
    if (elapsed >= maxFetchTime)
        return true;
    return elapsed >= slowFetchTime && attempt.bytes_ < minFetchRate * static_cast<std::uint64_t>(elapsed.count());
}

bool ConfigurationSources::isTried(const VmId& vm) const
{
    return std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) { return attempt.source_.vm_ == vm; });
}

bool ConfigurationSources::isTriedIn(const DataCentreId& dataCentre) const
{
    return std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) { return attempt.source_.dataCentre_ == dataCentre; });
}

/// Prefers peers that have not failed lately, then the own data centre. An attempt beside
/// others prefers a data centre in which none is running, since whatever holds up one node
/// may hold up its neighbours.
std::optional<VmId> ConfigurationSources::choose(const std::vector<ConfigurationSource>& newer, SteadyTime now, std::uint64_t draw) const
{
    std::vector<VmId> best;
    int bestRank = 0;
    const ConfigurationSource* avoided = nullptr;
    for (const ConfigurationSource& source : newer) {
        if (isTried(source.vm_) || health_.isBusy(source.vm_, now))
            continue;
        if (health_.isAvoided(source.vm_, now)) {
            if (!avoided || health_.avoidedUntil(source.vm_) < health_.avoidedUntil(avoided->vm_))
                avoided = &source;
            continue;
        }
        int rank = 1 + (isTriedIn(source.dataCentre_) ? 0 : 2) + (source.dataCentre_ == ownDataCentre_ ? 1 : 0);
        if (rank > bestRank) {
            best.clear();
            bestRank = rank;
        }
        if (rank == bestRank)
            best.push_back(source.vm_);
    }
    if (!best.empty())
        return best[draw % best.size()];
    if (avoided && attempts_.empty())
        return avoided->vm_;
    return std::nullopt;
}

bool ConfigurationSources::isPlatformTurn(const std::vector<ConfigurationSource>& newer, milliseconds behindFor, std::size_t nodes, SteadyTime now) const
{
    if (isReadingPlatform_ || now < nextPlatformRead_)
        return false;
    if (behindFor < platformReadDelay + spreadDelay(nodes, phase_, firstReadInterval))
        return false;
    auto slow = std::count_if(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) { return isSlow(attempt, now); });
    bool isProgressing = static_cast<std::size_t>(slow) < attempts_.size();
    return !isProgressing && (newer.empty() || failures_ + static_cast<std::size_t>(slow) >= std::min(failuresBeforePlatform, newer.size()));
}

FetchDecision ConfigurationSources::next(const std::vector<ConfigurationSource>& newer, milliseconds behindFor, std::size_t nodes, SteadyTime now, std::uint64_t draw) const
{
    FetchDecision decision;
    bool areAllSlow = std::all_of(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) { return isSlow(attempt, now); });
    if (areAllSlow && attempts_.size() < maxFetchAttempts)
        decision.source_ = choose(newer, now, draw);
    decision.readsPlatform_ = isPlatformTurn(newer, behindFor, nodes, now);
    return decision;
}

void ConfigurationSources::noteStarted(const ConfigurationSource& source, SteadyTime now)
{
    attempts_.push_back({ source, now });
}

void ConfigurationSources::noteProgress(const VmId& vm, std::uint64_t bytes)
{
    for (Attempt& attempt : attempts_) {
        if (attempt.source_.vm_ == vm)
            attempt.bytes_ = bytes;
    }
}

void ConfigurationSources::noteEnded(const VmId& vm, FetchOutcome outcome, milliseconds retryAfter, SteadyTime now)
{
    auto found = std::find_if(attempts_.begin(), attempts_.end(), [&](const Attempt& attempt) { return attempt.source_.vm_ == vm; });
    if (found == attempts_.end())
        return;
    bool wasSlow = isSlow(*found, now);
    attempts_.erase(found);
    switch (outcome) {
    case FetchOutcome::Received:
        if (wasSlow)
            health_.noteFailed(vm, now);
        else
            health_.noteAnswered(vm);
        return;
    case FetchOutcome::NothingNewer:
    case FetchOutcome::Busy:
        health_.noteAnswered(vm);
        health_.markBusy(vm, now + retryAfter);
        return;
    case FetchOutcome::Abandoned:
        if (wasSlow)
            health_.noteFailed(vm, now);
        return;
    case FetchOutcome::Failed:
        ++failures_;
        health_.noteFailed(vm, now);
        return;
    }
}

void ConfigurationSources::notePlatformReadStarted()
{
    isReadingPlatform_ = true;
}

void ConfigurationSources::notePlatformReadEnded(milliseconds pause, std::size_t nodes, SteadyTime now)
{
    isReadingPlatform_ = false;
    // With a phase of 1, the delay is the time in which each node reads once.
    nextPlatformRead_ = now + std::max(pause, spreadDelay(nodes, 1, firstReadInterval));
}

} // namespace pistachioloom
