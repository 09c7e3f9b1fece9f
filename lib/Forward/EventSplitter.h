//===- lib/Forward/EventSplitter.h - whole events of an event stream -------===//
///
/// \file
/// Cuts an event stream at event ends and reads the events' ids, so that only
/// whole events are passed on and a stream can go on after the last of them.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <optional>

namespace pistachioloom {

class EventSplitter {
public:
    /// \p last is the newest event that the caller has, if known.
    explicit EventSplitter(std::optional<std::uint64_t> last)
        : last_(last)
    {
    }

    /// Adds bytes of the stream and \returns the whole events that are new to
    /// the caller. An event older than the last one is left out; an event whose
    /// predecessor is missing makes the stream broken.
    std::string take(std::string_view bytes);
    /// Forgets a part of an event: its stream broke off, and another follows.
    void dropPartial() { partial_.clear(); }
    /// The newest event handed out.
    std::optional<std::uint64_t> last() const { return last_; }
    /// Whether a part of an event is held.
    bool hasPartial() const { return !partial_.empty(); }
    /// Whether an event was missing; nothing is handed out after it.
    bool hasGap() const { return hasGap_; }

private:
    std::string partial_;
    std::optional<std::uint64_t> last_;
    bool hasGap_ = false;
};

} // namespace pistachioloom
