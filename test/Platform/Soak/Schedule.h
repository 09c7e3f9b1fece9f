//===- test/Platform/Soak/Schedule.h - which faults come when -------------===//
///
/// \file
/// Draws a run's faults from a seed. They come in series and overlap; the same
/// seed gives the same ones.
//===----------------------------------------------------------------------===//
#pragma once

#include "FaultProxy.h"

namespace pistachioloom::test {

enum class FaultKind {
    /// A gateway is killed, and started again after a while.
    Kill,
    /// A gateway is told to stop, and started again after its end.
    Stop,
    /// A gateway is frozen for a while.
    Freeze,
    /// A gateway is told to read its settings again.
    Reload,
    /// All gateways are killed at one moment, and start again.
    KillAll,
    /// A gateway's link to the platform misbehaves.
    PlatformLink,
    /// A backend server's link misbehaves.
    BackendLink,
    /// The platform fails every call.
    PlatformDown,
    /// Records are written whose answers are lost.
    LoseAppends,
    /// A backend server misbehaves: `controlKey_` says how.
    BackendFault,
    /// A backend server leaves, and another one comes.
    Replace,
    /// A reclaimable engine says that it goes, and is gone after a notice; another
    /// one comes.
    Reclaim,
    /// New versions of the configuration, one after the other.
    Configure,
    /// A backend server says in its answers that it leaves; another one comes.
    ReportLeaving,
    /// A backend server turns requests away and asks for a pause.
    RequestPause,
    /// From now on a caller sends a request that crashes each engine that begins to
    /// run it; another engine comes for each.
    CrashEngines,
};

std::string_view toString(FaultKind kind);

struct Fault {
    milliseconds at_ {};
    FaultKind kind_ = FaultKind::Kill;
    /// Which gateway or backend server; taken modulo their number.
    std::size_t target_ = 0;
    milliseconds duration_ {};
    LinkFault link_ = LinkFault::None;
    /// The stand-in's name of a backend server's fault, and its strength.
    std::string controlKey_;
    std::int64_t parameter_ = 0;
};

/// The faults of one run, by time. They end so that each lasts no longer than
/// \p runDuration.
std::vector<Fault> generateFaults(std::uint64_t seed, milliseconds runDuration);

std::string describe(const Fault& fault);

} // namespace pistachioloom::test
