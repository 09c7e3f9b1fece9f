//===- lib/Forward/ConnectionPool.h - kept backend connections ------------===//
///
/// \file
/// Pools the connections of one worker to backend servers. A connection serves one
/// request at a time and is kept only after a complete, well-framed answer.
//===----------------------------------------------------------------------===//
#pragma once

#include "AutoResetEvent.h"
#include "pistachioloom/Forward.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace pistachioloom {

/// Computes for how long after the arrival of its last answer a kept connection may be
/// used. \p keepAlive is the server's Keep-Alive header, or empty. The rest of the idle
/// timeout, a fifth and at least ForwardSettings::idleMargin_, allows for network and queueing
/// delays: a request that arrives after the server has closed the connection is lost.
milliseconds usableIdle(std::string_view keepAlive, const ForwardSettings& settings);

/// A connection to a backend server.
struct BackendConnection {
    BackendConnection(const asio::any_io_executor& executor, std::shared_ptr<std::size_t> open);
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    BackendConnection& operator=(const BackendConnection&) = delete;

    /// Closes the socket, which ends all operations on it. Repeated calls are safe.
    void close();
    /// Resets the connection of an aborted request. After an orderly close the kernel
    /// keeps sending data that a broken link had delayed: backend servers received
    /// requests up to 3.3 s after their callers had disconnected.
    void abort();

    /// Whether no received bytes are unread. If so, a read that starts now has to wait,
    /// and its bytes arrive at the time at which it completes.
    bool isReceiveBufferEmpty() const;

    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    BackendId backend_;
    /// The time at which the last read that had to wait completed. The last bytes of an
    /// answer arrived then or later, even if a slow caller delayed reading them.
    SteadyTime arrivedAt_ {};
    /// The time after which the connection is not used, as the server may be closing it.
    SteadyTime usableUntil_ {};
    bool isReused_ = false;
    /// Whether the write of the request is still in progress or has failed. In both cases
    /// the connection cannot be reused.
    bool isWriting_ = false;
    /// The number of connections to the same backend server. This connection is counted
    /// until its destruction.
    std::shared_ptr<std::size_t> openCount_;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// Keeps idle connections to backend servers for reuse, and counts the open ones.
class ConnectionPool {
public:
    explicit ConnectionPool(asio::any_io_executor executor)
        : executor_(std::move(executor))
    {
    }

    /// Removes a kept connection that is still open from the pool.
    /// \returns nullptr if there is none.
    BackendConnectionPtr take(const BackendId& backend, SteadyTime now);
    /// Creates a connection for \p backend that is not connected yet.
    BackendConnectionPtr make(const BackendId& backend);
    /// The number of connections to \p backend, kept or in use.
    std::size_t openCount(const BackendId& backend) const;
    /// Keeps \p connection for reuse.
    void put(BackendConnectionPtr connection);
    const asio::any_io_executor& executor() const { return executor_; }
    /// Closes the kept connections that are no longer usable at \p now.
    void expire(SteadyTime now);

private:
    asio::any_io_executor executor_;
    std::map<BackendId, std::vector<BackendConnectionPtr>> idle_;
    std::map<BackendId, std::shared_ptr<std::size_t>> openCounts_;
};

} // namespace pistachioloom
