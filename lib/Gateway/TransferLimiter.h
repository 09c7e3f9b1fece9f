//===- lib/Gateway/TransferLimiter.h - who is given a configuration now ------===//
///
/// \file
/// A configuration of thousands of routes is long, and all nodes want it from the
/// few that have it first. Those give it to a few peers at a time, which then give
/// it to others. Pure; time comes in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <optional>

namespace pistachioloom {

/// Transfers that a node has under way at most. 100 KB take 80 ms on a link of
/// 10 Mbit/s, so two hold up what callers are sent by 160 ms. With one, a single
/// peer that hangs would keep all others waiting.
inline constexpr std::size_t maxTransfers = 2;
/// A transfer that takes longer is given up, by both sides: twelve times the 160 ms
/// that two of 100 KB take on an idle link of 10 Mbit/s.
inline constexpr milliseconds transferTimeout { 2000 };
/// A node that is busy is asked again after this time: by then two transfers of
/// 100 KB are over on a link of 10 Mbit/s (160 ms), and those that have it have told
/// so (each 200 ms).
inline constexpr milliseconds busyRetryDelay { 250 };
/// Busy answers are logged this often at most, with their count.
inline constexpr milliseconds busyLogPeriod { 1000 };

using TransferId = Quantity<struct TransferIdTag>;

/// The transfers of the node that has the configuration.
class TransferLimiter {
public:
    /// A peer asks. nullopt if it is to ask elsewhere, which is counted.
    std::optional<TransferId> begin(SteadyTime now);
    /// The peer has the whole, or wants it no more. One that was given up is ignored.
    void end(TransferId transfer);
    std::size_t activeTransfers() const { return startTimes_.size(); }
    /// Whether busy answers are to be logged now.
    bool isBusyLogDue(SteadyTime now) const;
    /// Busy answers that were not logged yet; they count as logged now.
    std::uint64_t takeBusyAnswerCount(SteadyTime now);

private:
    std::map<TransferId, SteadyTime> startTimes_;
    TransferId last_ {};
    std::uint64_t busyAnswers_ = 0;
    std::optional<SteadyTime> loggedAt_;
};

/// Peers that were busy or gave nothing: the node that wants the configuration asks
/// others meanwhile.
class BusyPeers {
public:
    void note(const VmId& peer, SteadyTime until);
    bool isBusy(const VmId& peer, SteadyTime now) const;

private:
    std::map<VmId, SteadyTime> busyUntil_;
};

} // namespace pistachioloom
