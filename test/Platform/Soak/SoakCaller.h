//===- test/Platform/Soak/SoakCaller.h - callers that keep their connections ===//
///
/// \file
/// A caller sends one request after the other on a kept connection, until the
/// process at its other end is gone, and notes what came of each.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <random>

namespace pistachioloom::test {

enum class RequestKind {
    /// May run once.
    Unsafe,
    /// May be repeated.
    Safe,
    /// An event stream that may be resumed.
    Draft,
    /// An event stream that may not.
    Ask,
    /// Safe, of an organisation with a small quota.
    Limited,
    /// Crashes each engine that begins to run it. All calls of this kind are attempts at
    /// the same request.
    Crashing,
};

/// Bodies with this text crash the engine that begins to run them.
inline constexpr const char* crashText = "crashes its engine";

/// What came of one request.
struct Call {
    std::string id_;
    RequestKind kind_ = RequestKind::Safe;
    std::string gateway_;
    SteadyTime sentAt_ {};
    SteadyTime endedAt_ {};
    /// 0 if the connection ended before a status line.
    int status_ = 0;
    /// The whole answer came.
    bool isComplete_ = false;
    /// The caller left before the answer.
    bool hasCallerLeft_ = false;
    std::string body_;
    bool hasRetryAfter_ = false;
};

/// What a whole answer to \p call holds; streams have \p events events.
std::string expectedBody(const Call& call, int events);

struct CallerHooks {
    /// The gateway that a new connection goes to: its name and address.
    std::function<std::pair<std::string, Endpoint>(std::mt19937_64&)> pickGateway_;
    std::function<void(Call)> onCall_;
    std::function<bool()> isOver_;
};

/// Sends the request that crashes engines, at a gateway drawn each time, until the run is
/// over.
boost::asio::awaitable<void> runCrashingCaller(std::uint64_t seed, CallerHooks hooks);

/// Sends requests until it is told that the run is over.
boost::asio::awaitable<void> runCaller(std::size_t number, std::uint64_t seed, CallerHooks hooks);

} // namespace pistachioloom::test
