//===- lib/Forward/ConnectionPool.h - kept connections to backend servers -----===//
///
/// \file
/// Connections of one worker to backend servers. A connection serves one
/// request at a time and is kept only after a whole, well-framed answer.
//===----------------------------------------------------------------------===//
#pragma once

#include "AutoResetEvent.h"
#include "pistachioloom/Forward.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace pistachioloom {

/// How long a kept connection may be used, from the arrival of its last answer.
/// \p keepAlive is the server's header, or empty. The rest of the idle time, a fifth and
/// no less than ForwardSettings::idleMargin_, is for links and queues that hold up a
/// request: what arrives after the server's close is lost.
milliseconds usableIdle(std::string_view keepAlive, const ForwardSettings& settings);

struct BackendConnection {
    BackendConnection(const asio::any_io_executor& executor, std::shared_ptr<std::size_t> open);
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    BackendConnection& operator=(const BackendConnection&) = delete;

    /// Ends every operation on it; safe to call twice.
    void close();
    /// Resets it, for a request that is given up: after an orderly close the kernel
    /// goes on sending what a cut link held up, and a backend server got requests
    /// 3.3 s after their callers had left.
    void abort();

    /// Whether a read begun now has to wait: what it returns then arrives at its end.
    bool isReceiveBufferEmpty() const;

    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    BackendId backend_;
    /// The end of the last read that had to wait. The last bytes of an answer arrived
    /// then or later, also if they were read much later because the caller was slow.
    SteadyTime arrivedAt_ {};
    /// Not used after this moment: the server may be closing it.
    SteadyTime usableUntil_ {};
    bool isReused_ = false;
    /// An operation that writes the request is still under way.
    bool isWriting_ = false;
    /// Connections to the same backend server; this one counts until it ends.
    std::shared_ptr<std::size_t> openCount_;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

class ConnectionPool {
public:
    explicit ConnectionPool(asio::any_io_executor executor)
        : executor_(std::move(executor))
    {
    }

    /// A kept connection that is still open, or nullptr.
    BackendConnectionPtr take(const BackendId& backend, SteadyTime now);
    /// A closed connection for this server, to be connected by the caller.
    BackendConnectionPtr make(const BackendId& backend);
    /// Connections to \p backend, kept or in use.
    std::size_t openCount(const BackendId& backend) const;
    void put(BackendConnectionPtr connection);
    const asio::any_io_executor& executor() const { return executor_; }
    /// Closes what is past its time.
    void expire(SteadyTime now);

private:
    asio::any_io_executor executor_;
    std::map<BackendId, std::vector<BackendConnectionPtr>> idle_;
    std::map<BackendId, std::shared_ptr<std::size_t>> openCounts_;
};

} // namespace pistachioloom
