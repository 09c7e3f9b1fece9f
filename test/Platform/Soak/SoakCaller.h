//===- test/Platform/Soak/SoakCaller.h - callers of the soak test ---------===//
///
/// \file
/// A caller sends requests one after the other on a persistent connection, opens a new
/// one when it closes, and records the outcome of each request.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <random>

namespace pistachioloom::test {

enum class RequestKind {
    /// May run at most once.
    Unsafe,
    /// May be repeated.
    Safe,
    /// An event stream that may be resumed.
    ResumableStream,
    /// An event stream that may not be resumed.
    UnresumableStream,
    /// A safe request of an organisation with a small quota.
    Limited,
    /// An event stream of that organisation, of a route that leaves the rest of its quota to more
    /// urgent requests.
    Deferrable,
    /// Crashes each engine that starts to run it. All calls of this kind are attempts at
    /// the same request.
    Crashing,
};

/// Requests with this text in the body crash the engine that starts to run them.
inline constexpr const char* crashText = "crashes its engine";

/// One request and its outcome.
struct Call {
    std::string id_;
    RequestKind kind_ = RequestKind::Safe;
    std::string gateway_;
    SteadyTime sentAt_ {};
    SteadyTime endedAt_ {};
    /// 0 if the connection ended before a status line.
    int status_ = 0;
    /// Whether the answer arrived completely.
    bool isComplete_ = false;
    /// Whether the caller closes the connection after a short time. The answer may still be
    /// complete by then.
    bool hasCallerLeft_ = false;
    std::string body_;
    bool hasRetryAfter_ = false;
};

/// The body of a complete answer to \p call; streams have \p events events.
std::string expectedBody(const Call& call, int events);

struct CallerHooks {
    /// Name and address of the gateway for a new connection.
    std::function<std::pair<std::string, Endpoint>(std::mt19937_64&)> pickGateway_;
    std::function<void(Call)> onCall_;
    std::function<bool()> isOver_;
};

/// Sends the request that crashes engines, each time to a random gateway, until the run
/// is over.
boost::asio::awaitable<void> runCrashingCaller(std::uint64_t seed, CallerHooks hooks);

/// Sends requests until the run is over.
boost::asio::awaitable<void> runCaller(std::size_t number, std::uint64_t seed, CallerHooks hooks);

} // namespace pistachioloom::test
