//===- lib/Forward/ArrivingBody.cpp - memory of a body that arrives -------===//
///
/// \file
/// See ArrivingBody.h.
//===----------------------------------------------------------------------===//
#include "ArrivingBody.h"

#include <algorithm>

namespace pistachioloom {

// Time for which a body is not judged by its pace, which varies at first.
static constexpr milliseconds paceGrace { 1000 };
// Interval at which the pace of a body of which nothing arrives is judged.
static constexpr milliseconds paceCheckPeriod { 250 };

ArrivingBody::ArrivingBody(MemoryShare& memory, std::optional<ByteCount> stated, SteadyTime headAt, SteadyTime deadline)
    : memory_(memory)
    , stated_(stated)
    , headAt_(headAt)
    , deadline_(deadline)
    , reservation_(stated ? Reservation::Wanted : Reservation::None)
{
}

/// Whether the body is complete by its deadline if the rest arrives at the rate until now.
bool ArrivingBody::isOnPace(ByteCount arrived, SteadyTime now) const
{
    std::chrono::duration<double> elapsed = now - headAt_;
    std::chrono::duration<double> allowed = deadline_ - headAt_;
    return static_cast<double>(arrived.value_) * allowed.count() >= static_cast<double>(stated_->value_) * elapsed.count();
}

bool ArrivingBody::update(ByteCount arrived, SteadyTime now)
{
    if (reservation_ == Reservation::Wanted) {
        reservation_ = Reservation::Held;
        return memory_.reserve(*stated_);
    }
    if (reservation_ == Reservation::Held && now - headAt_ > paceGrace && !isOnPace(arrived, now))
        reservation_ = Reservation::None;
    return reservation_ == Reservation::Held || memory_.resize(arrived);
}

SteadyTime ArrivingBody::checkAt(SteadyTime now) const
{
    return reservation_ == Reservation::Held ? std::max(headAt_ + paceGrace, now) + paceCheckPeriod : SteadyTime::max();
}

} // namespace pistachioloom
