//===- lib/Gateway/BackendNotices.h - backend servers to tell peers about -===//
///
/// \file
/// Backend servers that are leaving or have terminated are told to peers for some seconds,
/// since datagrams may be lost. When an operator or an order removes hundreds of them at
/// once, the size of a message must not grow with their number: each message contains
/// the newest ones and a part of the others, in rotation. The class does no I/O and takes
/// the time as a parameter.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Backends.h"

#include <deque>
#include <set>

namespace pistachioloom {

/// Maximum number of backend servers in one list of a message: 512 ids take 8 KB. Of 3,000
/// servers, each is in one of 12 successive messages, which take 2.4 s.
inline constexpr std::size_t maxNotices = 512;

class BackendNotices {
public:
    /// A backend server is told for \p duration after it was added.
    explicit BackendNotices(milliseconds duration);

    /// Adds \p id unless it is or was present. \returns whether it was added.
    bool add(const BackendId& id, SteadyTime now);
    bool contains(const BackendId& id) const;
    /// Returns the ids for one message, at most maxNotices.
    std::vector<BackendId> select(SteadyTime now);

private:
    const milliseconds duration_;
    /// Ids, oldest first, and when each was added.
    std::deque<std::pair<SteadyTime, BackendId>> added_;
    std::set<BackendId> ids_;
    /// Ids that were told, oldest first, and when each was added.
    std::deque<std::pair<SteadyTime, BackendId>> told_;
    std::set<BackendId> toldIds_;
    /// Position of the first of the older ids in the next message. It differs by node, so
    /// that several nodes that detected the same wave begin with different parts.
    std::size_t cursor_ = randomBits();
};

} // namespace pistachioloom
