//===- test/Platform/Soak/Schedule.cpp - random fault schedule ------------===//
///
/// \file
/// See Schedule.h.
//===----------------------------------------------------------------------===//
#include "Schedule.h"

#include <algorithm>
#include <random>

namespace pistachioloom::test {

namespace {

    // All times are in milliseconds. Faults start 0.05 to 0.9 s apart and last 0.1 to 3 s, so
    // that two or three overlap. 3 s is the contact time of the users' platform, within which
    // all gateways must learn what one has observed.
    constexpr std::int64_t minFaultGap = 50;
    constexpr std::int64_t maxFaultGap = 900;
    constexpr std::int64_t minDuration = 100;
    constexpr std::int64_t maxDuration = 3000;
    constexpr std::int64_t maxDelay = 300;
    // Reclaims are 0.5 to 4 s apart, with a notice of 0.5 to 2.5 s; the notice of the
    // users' platform is 1 to 3 s.
    constexpr std::int64_t minReclaimGap = 500;
    constexpr std::int64_t maxReclaimGap = 4000;
    constexpr std::int64_t minNotice = 500;
    constexpr std::int64_t maxNotice = 2500;
    // Reclaims and signals have their own random generators, so that the seeds in
    // seeds.txt still generate the same other faults.
    constexpr std::uint64_t reclaimSeed = 0x5ec1a1;
    constexpr std::uint64_t signalSeed = 0x51610;
    constexpr std::int64_t minSignalGap = 700;
    constexpr std::int64_t maxSignalGap = 3500;
    constexpr std::int64_t maxRequestedPause = 2000;

    struct WeightedKind {
        FaultKind kind_;
        double weight_;
    };

    // KillAll is rare because it masks the effects of other faults.
    constexpr WeightedKind kinds[] = {
        { FaultKind::Kill, 2 },
        { FaultKind::Stop, 2 },
        { FaultKind::Freeze, 2 },
        { FaultKind::Reload, 1 },
        { FaultKind::KillAll, 0.3 },
        { FaultKind::PlatformLink, 3 },
        { FaultKind::BackendLink, 3 },
        { FaultKind::PlatformDown, 1 },
        { FaultKind::LoseAppends, 1 },
        { FaultKind::BackendFault, 3 },
        { FaultKind::Replace, 1 },
        { FaultKind::Configure, 1 },
    };

    constexpr LinkFault linkFaults[] = { LinkFault::Delayed, LinkFault::Reset, LinkFault::Stalled, LinkFault::StalledToClient, LinkFault::StalledToServer, LinkFault::Refused };

    struct BackendFaultKind {
        const char* controlKey_;
        std::int64_t parameter_;
    };

    constexpr BackendFaultKind backendFaults[] = { { "full", 1 }, { "lose_answers", 1 }, { "other_id", 1 }, { "no_seal", 1 }, { "delay_ms", 700 }, { "cut_at", 3 }, { "gap_ms", 300 } };

} // namespace

std::string_view toString(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Kill:
        return "kill";
    case FaultKind::Stop:
        return "stop";
    case FaultKind::Freeze:
        return "freeze";
    case FaultKind::Reload:
        return "reload";
    case FaultKind::KillAll:
        return "kill_all";
    case FaultKind::PlatformLink:
        return "platform_link";
    case FaultKind::BackendLink:
        return "backend_link";
    case FaultKind::PlatformDown:
        return "platform_down";
    case FaultKind::LoseAppends:
        return "lose_appends";
    case FaultKind::BackendFault:
        return "backend_fault";
    case FaultKind::Replace:
        return "replace";
    case FaultKind::Reclaim:
        return "reclaim";
    case FaultKind::Configure:
        return "configure";
    case FaultKind::ReportLeaving:
        return "report_leaving";
    case FaultKind::RequestPause:
        return "request_pause";
    case FaultKind::CrashEngines:
        return "crash_engines";
    }
    return "unknown";
}

static std::vector<Fault> generateReclaims(std::uint64_t seed, milliseconds runDuration)
{
    std::mt19937_64 random(seed ^ reclaimSeed);
    auto randomBetween = [&](std::int64_t min, std::int64_t max) { return std::uniform_int_distribution<std::int64_t>(min, max)(random); };
    std::vector<Fault> faults;
    for (milliseconds at(randomBetween(minReclaimGap, maxReclaimGap)); at < runDuration; at += milliseconds(randomBetween(minReclaimGap, maxReclaimGap))) {
        Fault fault;
        fault.startsAt_ = at;
        fault.kind_ = FaultKind::Reclaim;
        fault.target_ = static_cast<std::size_t>(randomBetween(0, 1000));
        fault.duration_ = milliseconds(randomBetween(minNotice, maxNotice));
        faults.push_back(std::move(fault));
    }
    return faults;
}

/// Generates the faults in which backend servers report that they are leaving or request
/// a pause, and the start of one request that crashes engines.
static std::vector<Fault> generateSignals(std::uint64_t seed, milliseconds runDuration)
{
    std::mt19937_64 random(seed ^ signalSeed);
    auto randomBetween = [&](std::int64_t min, std::int64_t max) { return std::uniform_int_distribution<std::int64_t>(min, max)(random); };
    std::vector<Fault> faults;
    Fault crashes;
    crashes.kind_ = FaultKind::CrashEngines;
    crashes.startsAt_ = milliseconds(randomBetween(0, runDuration.count() / 2));
    faults.push_back(crashes);
    for (milliseconds at(randomBetween(0, maxSignalGap)); at < runDuration; at += milliseconds(randomBetween(minSignalGap, maxSignalGap))) {
        Fault fault;
        fault.startsAt_ = at;
        fault.kind_ = randomBetween(0, 1) ? FaultKind::ReportLeaving : FaultKind::RequestPause;
        fault.target_ = static_cast<std::size_t>(randomBetween(0, 1000));
        fault.duration_ = milliseconds(randomBetween(minDuration, maxDuration));
        fault.parameter_ = randomBetween(maxRequestedPause / 4, maxRequestedPause);
        faults.push_back(std::move(fault));
    }
    return faults;
}

std::vector<Fault> generateFaults(std::uint64_t seed, milliseconds runDuration)
{
    std::mt19937_64 random(seed);
    auto randomBetween = [&](std::int64_t min, std::int64_t max) { return std::uniform_int_distribution<std::int64_t>(min, max)(random); };
    std::vector<double> weights;
    for (const WeightedKind& kind : kinds)
        weights.push_back(kind.weight_);
    std::discrete_distribution<std::size_t> kindDistribution(weights.begin(), weights.end());
    std::vector<Fault> faults;
    for (milliseconds at(randomBetween(minFaultGap, maxFaultGap)); at < runDuration; at += milliseconds(randomBetween(minFaultGap, maxFaultGap))) {
        Fault fault;
        fault.startsAt_ = at;
        fault.kind_ = kinds[kindDistribution(random)].kind_;
        fault.target_ = static_cast<std::size_t>(randomBetween(0, 1000));
        fault.duration_ = std::min(milliseconds(randomBetween(minDuration, maxDuration)), runDuration - at);
        bool isLink = fault.kind_ == FaultKind::PlatformLink || fault.kind_ == FaultKind::BackendLink;
        if (isLink) {
            fault.linkFault_ = linkFaults[static_cast<std::size_t>(randomBetween(0, std::size(linkFaults) - 1))];
            fault.parameter_ = randomBetween(1, maxDelay);
        }
        if (fault.kind_ == FaultKind::BackendFault) {
            const BackendFaultKind& backendFault = backendFaults[static_cast<std::size_t>(randomBetween(0, std::size(backendFaults) - 1))];
            fault.controlKey_ = backendFault.controlKey_;
            fault.parameter_ = backendFault.parameter_;
        }
        if (fault.kind_ == FaultKind::Configure)
            fault.parameter_ = randomBetween(1, 5);
        faults.push_back(std::move(fault));
    }
    for (Fault& fault : generateReclaims(seed, runDuration))
        faults.push_back(std::move(fault));
    for (Fault& fault : generateSignals(seed, runDuration))
        faults.push_back(std::move(fault));
    std::stable_sort(faults.begin(), faults.end(), [](const Fault& left, const Fault& right) { return left.startsAt_ < right.startsAt_; });
    return faults;
}

std::string describe(const Fault& fault)
{
    std::string text = std::to_string(fault.startsAt_.count()) + " ms " + std::string(toString(fault.kind_)) + " of " + std::to_string(fault.target_) + " for " + std::to_string(fault.duration_.count()) + " ms";
    if (fault.linkFault_ != LinkFault::None)
        text += " " + std::string(toString(fault.linkFault_));
    if (!fault.controlKey_.empty())
        text += " " + fault.controlKey_;
    if (fault.parameter_)
        text += "=" + std::to_string(fault.parameter_);
    return text;
}

} // namespace pistachioloom::test
