//===- unittests/Forward/ForwardFixture.h - a worker with scripted servers -===//
///
/// \file
/// A forwarding worker and backend servers whose behaviour a test scripts, on one event loop.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Forward.h"

#include <boost/asio.hpp>
#include <deque>

namespace pistachioloom::test {

/// A request that a scripted server received.
struct ReceivedRequest {
    /// The number of the server, from 0.
    int server_ = 0;
    /// The number of the request on its connection, from 1.
    int number_ = 0;
    /// The number of the request at all servers, from 1.
    int total_ = 0;
    std::string head_;

    /// Returns the value of a header, or an empty text.
    std::string field(const std::string& name) const;
};

/// Answers one request. \returns whether the connection is kept.
using ServerScript = std::function<asio::awaitable<bool>(asio::ip::tcp::socket& socket, const ReceivedRequest& request)>;

/// Writes \p bytes. Errors are ignored.
asio::awaitable<void> send(asio::ip::tcp::socket& socket, std::string bytes);
/// Closes \p socket with a reset.
void resetSocket(asio::ip::tcp::socket& socket);
/// Returns one chunk of an answer that holds the event \p id.
std::string eventChunk(int id);

/// A route of the service `s`, for all requests of the host `h`.
Route routeOfTests();

/// A worker, its servers, and callers.
class ScriptedWorker {
public:
    /// The servers are engines if \p engine is set.
    ScriptedWorker(Route route, int serverCount, ServerScript script, std::optional<EngineTraits> engine = std::nullopt);

    ForwardContext& context() { return context_; }
    BackendTable& backends() { return backends_; }
    std::uint64_t count(Counter counter) const { return metrics_.value(counter); }
    int requests() const { return requests_; }
    /// Registers \p server as leaving because it is reclaimed.
    void reclaim(int server);
    /// Refuses further connections to the server at \p endpoint.
    void stopAccepting(const Endpoint& endpoint);
    /// Uses up the retries of the service, except \p count.
    void leaveRetries(int count);

    /// The end of a caller's connection.
    enum class End {
        Open,
        Closed,
        Reset,
    };
    struct CallerAnswer {
        std::string bytes_;
        End end_ = End::Open;
        milliseconds took_ {};
    };

    /// Sends \p request and reads until \p until arrives, the connection ends or \p limit has passed.
    /// Without \p until, reads until the connection ends.
    CallerAnswer call(std::string request, std::string until = {}, milliseconds limit = milliseconds(5000));
    /// Runs the worker and the servers for \p time without a caller.
    void runFor(milliseconds time);
    ForwardWorker& worker() { return worker_; }
    /// The port on which the worker listens for callers.
    std::uint16_t port() const { return port_; }

private:
    asio::awaitable<void> accept(asio::ip::tcp::acceptor& acceptor, int server);
    asio::awaitable<void> serve(asio::ip::tcp::socket socket, int server);

    asio::io_context io_;
    ServerScript script_;
    std::deque<asio::ip::tcp::acceptor> acceptors_;
    int requests_ = 0;
    BackendTable backends_ { { "a" }, {} };
    ServicePaths paths_;
    QuotaLimiter quotas_ { steadyNow(), {} };
    ServiceRetryBudget retries_;
    QuarantineTable quarantine_ { {} };
    CrashDetector crashes_ { quarantine_ };
    RolloutTracker rollouts_ { {} };
    Metrics metrics_;
    ForwardContext context_ { {}, {}, {}, "secret", backends_, paths_, quotas_, retries_, quarantine_, crashes_, rollouts_, metrics_, {}, {}, {}, {} };
    ForwardWorker worker_ { io_, context_ };
    std::uint16_t port_ = 0;
};

} // namespace pistachioloom::test
