//===- test/Platform/Soak/Schedule.cpp - which faults come when -----------===//
///
/// \file
/// See Schedule.h.
//===----------------------------------------------------------------------===//
#include "Schedule.h"

#include <algorithm>
#include <random>

namespace pistachioloom::test {

namespace {

    // Faults begin 0.05 to 0.9 s apart and last 0.1 to 3 s, so that two or three
    // overlap; the contact time of the users' platform is 3 s.
    constexpr std::int64_t leastPause = 50;
    constexpr std::int64_t mostPause = 900;
    constexpr std::int64_t leastLength = 100;
    constexpr std::int64_t mostLength = 3000;
    constexpr std::int64_t longestDelay = 300;
    // Reclaims come this far apart, with a notice of 0.5 to 2.5 s; that of the users'
    // platform is 1 to 3 s.
    constexpr std::int64_t leastReclaimPause = 500;
    constexpr std::int64_t mostReclaimPause = 4000;
    constexpr std::int64_t leastNotice = 500;
    constexpr std::int64_t mostNotice = 2500;
    // They are drawn apart, so that seeds that are kept draw the same other faults.
    constexpr std::uint64_t reclaimSeed = 0x5ec1a1;
    constexpr std::uint64_t signalSeed = 0x51610;
    constexpr std::int64_t leastSignalPause = 700;
    constexpr std::int64_t mostSignalPause = 3500;
    constexpr std::int64_t longestAskedPause = 2000;

    struct Weighted {
        FaultKind kind_;
        double weight_;
    };

    // Killing all at once is rare, or little else would be seen.
    constexpr Weighted kinds[] = {
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

    constexpr LinkFault linkFaults[] = { LinkFault::Delayed, LinkFault::Reset, LinkFault::Silent, LinkFault::DeafUp, LinkFault::DeafDown, LinkFault::Refused };

    struct BackendFaultKind {
        const char* control_;
        std::int64_t strength_;
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
    case FaultKind::SayLeaving:
        return "say_leaving";
    case FaultKind::AskPause:
        return "ask_pause";
    case FaultKind::CrashEngines:
        return "crash_engines";
    }
    return "unknown";
}

static std::vector<Fault> drawReclaims(std::uint64_t seed, milliseconds length)
{
    std::mt19937_64 random(seed ^ reclaimSeed);
    auto draw = [&](std::int64_t least, std::int64_t most) { return std::uniform_int_distribution<std::int64_t>(least, most)(random); };
    std::vector<Fault> faults;
    for (milliseconds at(draw(leastReclaimPause, mostReclaimPause)); at < length; at += milliseconds(draw(leastReclaimPause, mostReclaimPause))) {
        Fault fault;
        fault.at_ = at;
        fault.kind_ = FaultKind::Reclaim;
        fault.target_ = static_cast<std::size_t>(draw(0, 1000));
        fault.for_ = milliseconds(draw(leastNotice, mostNotice));
        faults.push_back(std::move(fault));
    }
    return faults;
}

/// What backend servers say of themselves, and one request that crashes engines.
static std::vector<Fault> drawSignals(std::uint64_t seed, milliseconds length)
{
    std::mt19937_64 random(seed ^ signalSeed);
    auto draw = [&](std::int64_t least, std::int64_t most) { return std::uniform_int_distribution<std::int64_t>(least, most)(random); };
    std::vector<Fault> faults;
    Fault crashes;
    crashes.kind_ = FaultKind::CrashEngines;
    crashes.at_ = milliseconds(draw(0, length.count() / 2));
    faults.push_back(crashes);
    for (milliseconds at(draw(0, mostSignalPause)); at < length; at += milliseconds(draw(leastSignalPause, mostSignalPause))) {
        Fault fault;
        fault.at_ = at;
        fault.kind_ = draw(0, 1) ? FaultKind::SayLeaving : FaultKind::AskPause;
        fault.target_ = static_cast<std::size_t>(draw(0, 1000));
        fault.for_ = milliseconds(draw(leastLength, mostLength));
        fault.strength_ = draw(longestAskedPause / 4, longestAskedPause);
        faults.push_back(std::move(fault));
    }
    return faults;
}

std::vector<Fault> drawFaults(std::uint64_t seed, milliseconds length)
{
    std::mt19937_64 random(seed);
    auto draw = [&](std::int64_t least, std::int64_t most) { return std::uniform_int_distribution<std::int64_t>(least, most)(random); };
    std::vector<double> weights;
    for (const Weighted& kind : kinds)
        weights.push_back(kind.weight_);
    std::discrete_distribution<std::size_t> kindOf(weights.begin(), weights.end());
    std::vector<Fault> faults;
    for (milliseconds at(draw(leastPause, mostPause)); at < length; at += milliseconds(draw(leastPause, mostPause))) {
        Fault fault;
        fault.at_ = at;
        fault.kind_ = kinds[kindOf(random)].kind_;
        fault.target_ = static_cast<std::size_t>(draw(0, 1000));
        fault.for_ = std::min(milliseconds(draw(leastLength, mostLength)), length - at);
        bool isLink = fault.kind_ == FaultKind::PlatformLink || fault.kind_ == FaultKind::BackendLink;
        if (isLink) {
            fault.link_ = linkFaults[static_cast<std::size_t>(draw(0, std::size(linkFaults) - 1))];
            fault.strength_ = draw(1, longestDelay);
        }
        if (fault.kind_ == FaultKind::BackendFault) {
            const BackendFaultKind& chosen = backendFaults[static_cast<std::size_t>(draw(0, std::size(backendFaults) - 1))];
            fault.control_ = chosen.control_;
            fault.strength_ = chosen.strength_;
        }
        if (fault.kind_ == FaultKind::Configure)
            fault.strength_ = draw(1, 5);
        faults.push_back(std::move(fault));
    }
    for (Fault& fault : drawReclaims(seed, length))
        faults.push_back(std::move(fault));
    for (Fault& fault : drawSignals(seed, length))
        faults.push_back(std::move(fault));
    std::stable_sort(faults.begin(), faults.end(), [](const Fault& left, const Fault& right) { return left.at_ < right.at_; });
    return faults;
}

std::string describe(const Fault& fault)
{
    std::string text = std::to_string(fault.at_.count()) + " ms " + std::string(toString(fault.kind_)) + " of " + std::to_string(fault.target_) + " for " + std::to_string(fault.for_.count()) + " ms";
    if (fault.link_ != LinkFault::None)
        text += " " + std::string(toString(fault.link_));
    if (!fault.control_.empty())
        text += " " + fault.control_;
    if (fault.strength_)
        text += "=" + std::to_string(fault.strength_);
    return text;
}

} // namespace pistachioloom::test
