//===- lib/Gateway/BackendNotices.h - backend servers to tell peers about -===//
///
/// \file
/// Backend servers that are leaving or have terminated are told to peers for some seconds,
/// since datagrams may be lost. When an operator or an order removes hundreds of them at
/// once, the size of a message must not grow with their number: each message contains
/// the newest ones and a random part of the others. The class does no I/O and takes the
/// time and random numbers as parameters.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Backends.h"

#include <deque>

namespace pistachioloom {

/// Maximum number of backend servers in one list of a message: 512 ids take 8 KB. Each of
/// 3,000 servers is in a message within 6 messages on average.
inline constexpr std::size_t maxNotices = 512;

class BackendNotices {
public:
    /// A backend server is told for \p duration after it was added.
    explicit BackendNotices(milliseconds duration);

    /// Adds \p id unless it is present. \returns whether it was added.
    bool add(const BackendId& id, SteadyTime now);
    bool contains(const BackendId& id) const;
    /// Returns the ids for one message, at most maxNotices.
    std::vector<BackendId> select(SteadyTime now, std::uint64_t random);

private:
    const milliseconds duration_;
    /// Ids, oldest first, and when each was added.
    std::deque<std::pair<SteadyTime, BackendId>> added_;
    std::set<BackendId> ids_;
};

/// Returns the position from which a message takes \p taken of \p available items
/// cyclically, so that each item has the same chance.
inline std::size_t windowStart(std::size_t available, std::size_t taken, std::uint64_t random)
{
    return available <= taken ? 0 : static_cast<std::size_t>(random % available);
}

} // namespace pistachioloom
