//===- lib/Support/Error.cpp - names and categories of errors --------------===//
///
/// \file
/// Maps Errc to std::error_code and to the identifiers in error bodies.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Support.h"

#include <array>

namespace pistachioloom {

namespace {

    struct ErrcName {
        Errc code_;
        std::string_view name_;
    };

    constexpr std::array errcNames {
        ErrcName { Errc::InvalidInput, "invalid_input" },
        ErrcName { Errc::Unauthorised, "unauthorised" },
        ErrcName { Errc::Forbidden, "forbidden" },
        ErrcName { Errc::NotFound, "not_found" },
        ErrcName { Errc::MethodNotAllowed, "method_not_allowed" },
        ErrcName { Errc::TooLarge, "too_large" },
        ErrcName { Errc::Conflict, "conflict" },
        ErrcName { Errc::KeyReused, "key_reused" },
        ErrcName { Errc::OutcomeUnknown, "outcome_unknown" },
        ErrcName { Errc::LimitReached, "limit_reached" },
        ErrcName { Errc::Overloaded, "overloaded" },
        ErrcName { Errc::Leaving, "leaving" },
        ErrcName { Errc::Unavailable, "unavailable" },
        ErrcName { Errc::Timeout, "timeout" },
        ErrcName { Errc::Reset, "reset" },
        ErrcName { Errc::Cancelled, "cancelled" },
        ErrcName { Errc::Protocol, "protocol" },
        ErrcName { Errc::Internal, "internal" },
    };

    class ErrcCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "pistachioloom"; }
        std::string message(int value) const override { return std::string(toString(static_cast<Errc>(value))); }
    };

} // namespace

std::error_code make_error_code(Errc code)
{
    static const ErrcCategory category;
    return { static_cast<int>(code), category };
}

std::string_view toString(Errc code)
{
    for (const ErrcName& entry : errcNames) {
        if (entry.code_ == code)
            return entry.name_;
    }
    return "internal";
}

Errc errcFromString(std::string_view name)
{
    for (const ErrcName& entry : errcNames) {
        if (entry.name_ == name)
            return entry.code_;
    }
    return Errc::Internal;
}

std::string_view toString(Ran ran)
{
    return ran == Ran::No ? "no" : "unknown";
}

std::string describe(const Error& error)
{
    std::string line(toString(error.code_));
    line += " at " + error.step_;
    if (!error.peer_.empty())
        line += " with " + error.peer_;
    if (!error.message_.empty())
        line += ": " + error.message_;
    return line;
}

} // namespace pistachioloom
