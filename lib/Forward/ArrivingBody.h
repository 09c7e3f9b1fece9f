//===- lib/Forward/ArrivingBody.h - memory of a body that arrives ---------===//
///
/// \file
/// Decides how much memory the body of a request takes while it arrives. A stated length is reserved, so
/// that a body for which there is no room is refused before it is sent. A body that arrives too slowly to
/// be complete by its deadline loses the reservation, and takes what has arrived of it only.
//===----------------------------------------------------------------------===//
#pragma once

#include "MemoryShare.h"

#include <memory>
#include <optional>

namespace pistachioloom {

/// The body of a request of which the head has arrived.
class ArrivingBody {
public:
    /// \p stated is the length that the head states; nullopt for chunks. The body has to be complete at
    /// \p deadline.
    ArrivingBody(MemoryShare& memory, std::optional<ByteCount> stated, SteadyTime headAt, SteadyTime deadline);

    /// Records that \p arrived bytes have arrived. \returns false if the body must be given up for lack of
    /// memory.
    bool update(ByteCount arrived, SteadyTime now);
    /// Returns when to call update() next even if nothing arrives.
    SteadyTime checkAt(SteadyTime now) const;
    SteadyTime deadline() const { return deadline_; }

private:
    /// Whether memory is taken for all of the stated length.
    enum class Reservation {
        Wanted,
        Held,
        None,
    };

    bool isOnPace(ByteCount arrived, SteadyTime now) const;

    MemoryShare& memory_;
    std::optional<ByteCount> stated_;
    SteadyTime headAt_;
    SteadyTime deadline_;
    Reservation reservation_;
};

} // namespace pistachioloom
