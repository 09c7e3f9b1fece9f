//===- lib/Forward/EventSplitter.h - splits event streams into events -----===//
///
/// \file
/// Splits an event stream into events and reads their ids, so that only complete
/// events are forwarded and a stream can resume after the last of them.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <optional>

namespace pistachioloom {

/// Splits an event stream, across several connections, into events without duplicates.
class EventSplitter {
public:
    /// \p last is the id of the newest event that the caller has, if known.
    explicit EventSplitter(std::optional<std::uint64_t> last)
        : lastId_(last)
    {
    }

    /// Adds \p bytes of the stream and \returns the complete events that are new to the
    /// caller. Events up to last(), which the caller already has, are left out. An event
    /// whose predecessor is missing sets hasGap().
    std::string feed(std::string_view bytes);
    /// Discards an incomplete event and a gap, because another stream follows that goes on after last().
    void dropPartial();
    /// The id of the newest event that the caller has.
    std::optional<std::uint64_t> last() const { return lastId_; }
    /// Whether an incomplete event is buffered.
    bool hasPartial() const { return !partial_.empty(); }
    /// The size of the incomplete event.
    ByteCount partialSize() const { return { partial_.size() }; }
    /// Whether an event is missing. No events are returned after the gap until
    /// dropPartial().
    bool hasGap() const { return hasGap_; }

private:
    std::string partial_;
    /// Bytes of the incomplete event that do not contain its end.
    std::size_t scanned_ = 0;
    std::optional<std::uint64_t> lastId_;
    bool hasGap_ = false;
};

} // namespace pistachioloom
