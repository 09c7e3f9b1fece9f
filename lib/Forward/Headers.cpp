//===- lib/Forward/Headers.cpp - lists of HTTP header fields --------------===//
///
/// \file
/// See Headers.h.
//===----------------------------------------------------------------------===//
#include "Headers.h"

#include "pistachioloom/Http.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <cmath>

namespace pistachioloom {

bool equalWithoutCase(std::string_view left, std::string_view right)
{
    auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [&](char a, char b) { return lower(a) == lower(b); });
}

const std::string* findField(const HeaderFields& fields, std::string_view name)
{
    for (const HeaderField& field : fields) {
        if (equalWithoutCase(field.name_, name))
            return &field.value_;
    }
    return nullptr;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names { "connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te", "trailer", "upgrade", "expect" };
    return std::any_of(names.begin(), names.end(), [&](std::string_view hop) { return equalWithoutCase(hop, name); });
}

std::vector<std::string> connectionOptions(const HeaderFields& fields)
{
    std::vector<std::string> options;
    for (const HeaderField& field : fields) {
        if (!equalWithoutCase(field.name_, "connection"))
            continue;
        std::vector<std::string> parts;
        boost::split(parts, field.value_, [](char c) { return c == ','; });
        for (std::string& part : parts)
            options.push_back(boost::to_lower_copy(boost::trim_copy(part)));
    }
    return options;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc {} || rest != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Parses a decimal number that is not negative, with or without a fraction.
static std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    bool isNumber = !text.empty() && rest == text.data() + text.size() && !std::isnan(value) && value >= 0;
    if (error == std::errc::result_out_of_range || !isNumber)
        return std::nullopt;
    return value;
}

std::string renderRetryAfter(milliseconds delay)
{
    std::string fraction = std::to_string(1000 + delay.count() % 1000);
    return std::to_string(delay.count() / 1000) + "." + fraction.substr(1);
}

std::optional<double> parsePositiveDecimal(std::string_view text)
{
    auto value = parseDecimal(text);
    return value && *value > 0 && std::isfinite(*value) ? value : std::nullopt;
}

std::optional<milliseconds> parseRetryAfter(std::string_view text)
{
    constexpr double maxSeconds = 365.0 * 24 * 3600;
    auto seconds = parseDecimal(text);
    if (!seconds)
        return std::nullopt;
    return milliseconds(static_cast<std::int64_t>(std::ceil(std::min(*seconds, maxSeconds) * 1000)));
}

std::optional<std::pair<TokenCount, TokenCount>> parseTokenCounts(std::string_view text)
{
    std::size_t comma = text.find(',');
    if (comma == std::string_view::npos)
        return std::nullopt;
    auto prompt = parseNumber(text.substr(0, comma));
    auto output = parseNumber(text.substr(comma + 1));
    if (!prompt || !output)
        return std::nullopt;
    return std::pair { TokenCount { *prompt }, TokenCount { *output } };
}

std::vector<PromptPart> parsePromptParts(std::string_view text)
{
    std::vector<PromptPart> parts;
    while (!text.empty()) {
        std::string_view entry = text.substr(0, text.find(','));
        std::size_t colon = entry.find(':');
        auto tokens = colon == std::string_view::npos ? std::nullopt : parseNumber(entry.substr(colon + 1));
        if (!tokens)
            return {};
        parts.push_back({ std::string(entry.substr(0, colon)), { *tokens } });
        text.remove_prefix(std::min(text.size(), entry.size() + 1));
    }
    return parts;
}

void appendField(std::string& head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

/// Announces at most four fifths of the idle timeout, to allow for network queues and delayed
/// event loops. If a caller sent a request while the close of the connection is in
/// flight, the request would be lost.
std::string connectionFields(std::optional<milliseconds> idle)
{
    std::string fields;
    if (!idle) {
        appendField(fields, "Connection", "close");
        return fields;
    }
    std::string keepAlive = keepAliveValue(*idle);
    if (keepAlive.empty())
        return fields;
    appendField(fields, "Connection", "keep-alive");
    appendField(fields, "Keep-Alive", keepAlive);
    return fields;
}

} // namespace pistachioloom
