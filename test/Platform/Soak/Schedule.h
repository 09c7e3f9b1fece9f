//===- test/Platform/Soak/Schedule.h - random fault schedule --------------===//
///
/// \file
/// Generates the faults of a run from a seed. Faults follow one another and overlap;
/// the same seed generates the same faults.
//===----------------------------------------------------------------------===//
#pragma once

#include "FaultProxy.h"

namespace pistachioloom::test {

enum class FaultKind {
    /// A gateway is killed, and restarted after a while.
    Kill,
    /// A gateway is stopped with a signal, and restarted after its end.
    Stop,
    /// A gateway is frozen for a while.
    Freeze,
    /// A gateway is signalled to reload its settings.
    Reload,
    /// All gateways are killed simultaneously, and restarted.
    KillAll,
    /// The link from a gateway to the platform has a LinkFault.
    PlatformLink,
    /// The link to a backend server has a LinkFault.
    BackendLink,
    /// The platform fails every call.
    PlatformDown,
    /// The platform appends records but loses the answers.
    LoseAppends,
    /// A backend server has the fault named by `controlKey_`.
    BackendFault,
    /// A backend server drains, and another one replaces it.
    Replace,
    /// A reclaimable engine drains and is removed after a notice period; another one
    /// replaces it.
    Reclaim,
    /// Several new versions of the configuration are published in turn.
    Configure,
    /// A backend server reports in its answers that it is leaving; another one replaces
    /// it.
    ReportLeaving,
    /// A backend server rejects requests and asks for a pause with Retry-After.
    RequestPause,
    /// From now on a caller sends a request that crashes each engine that starts to run
    /// it; each crashed engine is replaced.
    CrashEngines,
};

std::string_view toString(FaultKind kind);

/// One fault of the schedule.
struct Fault {
    /// Time from the start of the run to the start of the fault.
    milliseconds startsAt_ {};
    FaultKind kind_ = FaultKind::Kill;
    /// Index of the gateway or backend server, modulo their number.
    std::size_t target_ = 0;
    milliseconds duration_ {};
    LinkFault linkFault_ = LinkFault::None;
    /// Key in a body to the stand-in's control endpoint that sets a fault of a backend
    /// server.
    std::string controlKey_;
    /// Value for `controlKey_`, a delay or pause in milliseconds, or the number of
    /// versions, depending on `kind_`.
    std::int64_t parameter_ = 0;
};

/// The faults of one run, ordered by time. Each starts within \p runDuration, and all but
/// reclaims and signals of backend servers end within it.
std::vector<Fault> generateFaults(std::uint64_t seed, milliseconds runDuration);

std::string describe(const Fault& fault);

} // namespace pistachioloom::test
