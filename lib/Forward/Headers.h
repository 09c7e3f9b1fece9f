//===- lib/Forward/Headers.h - lists of HTTP header fields ----------------===//
///
/// \file
/// A list of header fields that keeps order, case and duplicates, and the rules for
/// which fields may be forwarded from one connection to another.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Forward.h"

namespace pistachioloom {

struct HeaderField {
    std::string name_;
    std::string value_;
};

using HeaderFields = std::vector<HeaderField>;

/// Compares two ASCII strings, ignoring case.
bool equalWithoutCase(std::string_view left, std::string_view right);

/// The first value of \p name, or nullptr.
const std::string* findField(const HeaderFields& fields, std::string_view name);

/// Whether the field \p name applies to a single connection only (RFC 9110, 7.6.1).
bool isHopByHop(std::string_view name);

/// The lower-case names that the Connection fields list.
std::vector<std::string> connectionOptions(const HeaderFields& fields);

/// Parses an unsigned decimal number. \returns nullopt for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Parses a number of seconds, with or without a fraction, and rounds it up to
/// milliseconds. Longer times are reduced to one year. \returns nullopt for any other text.
std::optional<milliseconds> parseRetryAfter(std::string_view text);

/// Renders \p delay as a number of seconds with a fraction.
std::string renderRetryAfter(milliseconds delay);

/// Parses a positive decimal number. \returns nullopt for any other text.
std::optional<double> parsePositiveDecimal(std::string_view text);

/// Parses the value "PROMPT,OUTPUT" of a token-count header.
std::optional<std::pair<TokenCount, TokenCount>> parseTokenCounts(std::string_view text);

/// Parses a list "ID:TOKENS,ID:TOKENS". \returns an empty list if it is malformed.
std::vector<PromptPart> parsePromptParts(std::string_view text);

/// Appends "Name: value\r\n".
void appendField(std::string& head, std::string_view name, std::string_view value);

/// Renders the fields Connection and Keep-Alive. They announce a part of \p idle, in full
/// seconds, as the time for which the caller may keep the connection idle before it is
/// used again. If that part is less than one second, no fields are rendered. Without an
/// idle timeout the fields announce that the connection closes.
std::string connectionFields(std::optional<milliseconds> idle);

} // namespace pistachioloom
