//===- lib/Gateway/TransferLimiter.h - concurrent transfers ---------------===//
///
/// \file
/// A configuration of thousands of routes is large, and all nodes fetch it from the few
/// that have it first. Those send it to a few peers at a time, which then send it to
/// others. The class does no I/O and takes the time as a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <optional>

namespace pistachioloom {

/// Maximum number of concurrent transfers of a node, apart from slow ones. 100 KB take 80
/// ms on a link of 10 Mbit/s, so that two transfers delay responses to callers by 160 ms.
inline constexpr std::size_t maxTransfers = 2;
/// Maximum number of concurrent transfers including slow ones, which bounds the memory of
/// those whose peers hang.
inline constexpr std::size_t maxOpenTransfers = 16;
/// A transfer is slow if it takes longer than this and its size at minTransferRate. The
/// link then has capacity for others, or the peer hangs; other peers must not wait for it.
inline constexpr milliseconds transferSlack { 250 };
/// In bytes per millisecond: less than half of a link of 10 Mbit/s.
inline constexpr std::uint64_t minTransferRate = 500;
/// Time after which both sides abort a transfer: twelve times the 160 ms that two
/// transfers of 100 KB take on an idle link of 10 Mbit/s.
inline constexpr milliseconds transferTimeout { 2000 };
/// Time after which a peer retries at a busy node. By then two transfers of 100 KB have
/// ended on a link of 10 Mbit/s (160 ms), and their receivers have reported the new
/// version (every 200 ms).
inline constexpr milliseconds busyRetryDelay { 250 };
/// Minimum time between two log lines on busy answers, which contain their count.
inline constexpr milliseconds busyLogPeriod { 1000 };

using TransferId = Quantity<struct TransferIdTag>;

/// Limits the transfers of a node that has the configuration.
class TransferLimiter {
public:
    /// Starts a transfer of \p size to a peer. Returns nullopt if maxTransfers are running
    /// that are not slow, or maxOpenTransfers, and counts the busy answer that the peer
    /// receives then.
    std::optional<TransferId> begin(ByteCount size, SteadyTime now);
    /// Ends a transfer that the peer has received or cancelled. Has no effect on a
    /// transfer that was aborted after transferTimeout.
    void end(TransferId transfer);
    /// Returns the number of transfers, including slow ones.
    std::size_t activeTransfers() const { return transfers_.size(); }
    /// Returns whether busy answers are to be logged now.
    bool isBusyLogDue(SteadyTime now) const;
    /// Returns the number of busy answers that were not logged yet, and resets it.
    std::uint64_t takeBusyAnswerCount(SteadyTime now);

private:
    struct Transfer {
        SteadyTime startedAt_;
        /// When the transfer becomes slow.
        SteadyTime slowAt_;
    };

    std::map<TransferId, Transfer> transfers_;
    TransferId lastTransfer_ {};
    std::uint64_t busyAnswers_ = 0;
    std::optional<SteadyTime> loggedAt_;
};

} // namespace pistachioloom
