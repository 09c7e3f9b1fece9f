//===- pistachioloom/Quarantine.h - requests that crash backend servers ----===//
///
/// \file
/// Identifies a request across the attempts of its caller, so that what it did to
/// backend servers can be counted by request.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <optional>

namespace pistachioloom {

/// The same for every attempt at one request, on every node: 64 bits that tell
/// nothing of the request to those who do not have the nodes' secret.
using RequestFingerprint = Quantity<struct RequestFingerprintTag>;

/// What makes two attempts the same request.
struct RequestIdentity {
    /// Empty where requests need no credential.
    std::string_view organisation_;
    std::string_view method_;
    std::string_view host_;
    /// Path and query.
    std::string_view target_;
    std::string_view body_;
};

/// \p secret is what all nodes share and callers do not know.
RequestFingerprint fingerprintOf(const RequestIdentity& identity, std::string_view secret);

/// Sixteen hexadecimal digits.
std::string toString(RequestFingerprint fingerprint);

/// Reads what toString() wrote.
std::optional<RequestFingerprint> parseFingerprint(std::string_view text);

} // namespace pistachioloom
