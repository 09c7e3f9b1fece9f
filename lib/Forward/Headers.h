//===- lib/Forward/Headers.h - header fields as they were sent -------------===//
///
/// \file
/// A list of header fields that keeps order, case and repetition, and the rules
/// on what may be passed on between two connections.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Forward.h"

namespace pistachioloom {

struct HeaderField {
    std::string name_;
    std::string value_;
};

using HeaderFields = std::vector<HeaderField>;

/// Compares ASCII without case.
bool equalWithoutCase(std::string_view left, std::string_view right);

/// The first value of \p name, or nullptr.
const std::string* findField(const HeaderFields& fields, std::string_view name);

/// Whether \p name concerns one connection only (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view name);

/// Names listed in the Connection fields.
std::vector<std::string> connectionOptions(const HeaderFields& fields);

/// An unsigned decimal number and nothing else.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Seconds, with a fraction or without, rounded up to milliseconds; nullopt for anything
/// else. Too many to count are a year.
std::optional<milliseconds> parseRetryAfter(std::string_view text);

/// "PROMPT,OUTPUT" of a token-count header.
std::optional<std::pair<TokenCount, TokenCount>> parseTokenCounts(std::string_view text);

/// "ID:TOKENS,ID:TOKENS"; nothing for a malformed list.
std::vector<PromptPart> parsePromptParts(std::string_view text);

/// Appends "Name: value\r\n".
void appendField(std::string& head, std::string_view name, std::string_view value);

/// The header fields that tell the caller how long it may use the connection: a part of
/// \p idle, in whole seconds, or not again without it.
std::string connectionFields(std::optional<milliseconds> idle);

} // namespace pistachioloom
