//===- lib/Node/EventStream.h - answers as server-sent events -------------===//
///
/// \file
/// An event id states which text a caller has: the number of tokens and a hash of
/// their text. A caller that reconnects with an id receives only the tokens that
/// follow if this answer begins with the same text. Otherwise a restart event
/// precedes the complete answer, so that the texts of two attempts never mix.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <optional>

namespace pistachioloom {

/// Identifies the tokens of an answer up to an event.
struct EventId {
    std::size_t tokens_ = 0;
    /// Hash of the text of the first `tokens_` tokens.
    std::uint64_t textHash_ = 0;

    std::string toString() const;
};

/// Parses an event id. \returns nullopt if \p text is not one.
std::optional<EventId> parseEventId(std::string_view text);

/// Turns the tokens of an answer into events and skips those that the caller has.
class EventWriter {
public:
    /// \p resume is the last event id that the caller received, if it reconnects.
    EventWriter(std::string requestId, std::optional<EventId> resume);

    std::string accepted(const std::string& engine);
    /// \returns the events for the next tokens. The first call passes the answer's first
    /// tokens, also when the caller resumes.
    std::string tokens(const std::vector<std::string>& texts);
    std::string done();
    /// \returns the event that refers the caller to `/v1/requests/ID` for the rest of the
    /// answer.
    std::string moved();
    std::string failed(const Error& error);

private:
    /// Ends the check of the caller's text. \returns a restart event and the skipped
    /// tokens, or an empty string if skipped_ is empty because the caller has the same
    /// text.
    std::string finishResume();

    std::string requestId_;
    /// Set until the text of the caller's event id has been checked.
    std::optional<EventId> resume_;
    EventId position_;
    /// Tokens that the caller has if its text is the same; kept until the hash of its
    /// event id is checked.
    std::vector<std::string> skipped_;
};

} // namespace pistachioloom
