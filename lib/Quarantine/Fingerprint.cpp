//===- lib/Quarantine/Fingerprint.cpp - the identity of a request ----------===//
///
/// \file
/// Fingerprints are keyed digests, so callers cannot produce the fingerprint of another
/// caller's request, and a body cannot be guessed from a fingerprint in a log.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <charconv>

namespace pistachioloom {

static constexpr int hexBase = 16;
static constexpr std::size_t fingerprintDigits = 16;

Fingerprint fingerprintOf(const RequestIdentity& identity, std::string_view secret)
{
    return { digest64({ secret, identity.organisation_, identity.method_, identity.host_, identity.target_, identity.body_ }) };
}

Fingerprint fingerprintOf(const ServiceName& service, std::string_view id, std::string_view secret)
{
    return { digest64({ secret, "prompt part", service.value_, id }) };
}

std::string_view toString(AttributeKind kind)
{
    switch (kind) {
    case AttributeKind::Request:
        return "request";
    case AttributeKind::PromptPart:
        return "prompt_part";
    }
    return "unknown";
}

std::string toString(Fingerprint fingerprint)
{
    char digits[fingerprintDigits];
    auto written = std::to_chars(digits, digits + fingerprintDigits, fingerprint.value_, hexBase);
    std::string text(digits, written.ptr);
    return std::string(fingerprintDigits - text.size(), '0') + text;
}

std::optional<Fingerprint> parseFingerprint(std::string_view text)
{
    std::uint64_t value = 0;
    auto read = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
    bool isValid = text.size() == fingerprintDigits && read.ec == std::errc {} && read.ptr == text.data() + text.size();
    return isValid ? std::optional(Fingerprint { value }) : std::nullopt;
}

} // namespace pistachioloom
