//===- lib/Gateway/SourceHealth.h - peers whose streams fail --------------===//
///
/// \file
/// Tracks which peers this node should not fetch from now. The reports of a peer may
/// arrive while its streams fail, so that reports alone do not show that a peer can send
/// what it has. Does no I/O; the time is a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>

namespace pistachioloom {

/// Time for which a peer is avoided after its first failure. It doubles with each further
/// failure, up to maxAvoidance.
inline constexpr milliseconds initialAvoidance { 1000 };
inline constexpr milliseconds maxAvoidance { 8000 };

class SourceHealth {
public:
    /// Notes that \p peer has answered, also if it was busy.
    void noteAnswered(const VmId& peer);
    /// Notes that a stream of \p peer has failed, or was too slow.
    void noteFailed(const VmId& peer, SteadyTime now);
    /// Notes that \p peer asked to be asked again at \p until.
    void markBusy(const VmId& peer, SteadyTime until);

    bool isBusy(const VmId& peer, SteadyTime now) const;
    /// Returns whether \p peer failed so recently that other peers are preferred.
    bool isAvoided(const VmId& peer, SteadyTime now) const;
    /// Returns until when \p peer is avoided; a time in the past if it is not.
    SteadyTime avoidedUntil(const VmId& peer) const;
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry {
        SteadyTime busyUntil_ {};
        SteadyTime avoidedUntil_ {};
        unsigned failures_ = 0;
    };

    /// Removes peers that neither failed nor were busy for long.
    void removeOld(SteadyTime now);

    std::map<VmId, Entry> entries_;
};

} // namespace pistachioloom
