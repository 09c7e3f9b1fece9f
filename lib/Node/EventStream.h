//===- lib/Node/EventStream.h - answers as server-sent events --------------===//
///
/// \file
/// The event id names how much of which text a caller has: the count of tokens
/// and a hash of all text up to there. A caller that comes back with an id gets
/// the rest only if this answer begins with the same text; otherwise it is told
/// to start again, so two attempts' texts never mix.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <optional>

namespace pistachioloom {

struct EventId {
    std::size_t tokens_ = 0;
    std::uint64_t textHash_ = 0;

    std::string toString() const;
};

/// Reads an event id; nullopt for anything else.
std::optional<EventId> parseEventId(std::string_view text);

/// Turns an answer's tokens into events, skipping what the caller has.
class EventWriter {
public:
    EventWriter(std::string requestId, std::optional<EventId> resume);

    std::string accepted(const std::string& engine);
    /// Events for the next tokens of the answer, counted from its first.
    std::string tokens(const std::vector<std::string>& texts);
    std::string done();
    /// The answer goes on at `/v1/requests/ID`.
    std::string moved();
    std::string failed(const Error& error);

private:
    std::string flushSkipped();

    std::string requestId_;
    std::optional<EventId> resume_;
    EventId position_;
    /// Tokens that the caller should have, kept until its hash was checked.
    std::vector<std::string> skipped_;
};

} // namespace pistachioloom
