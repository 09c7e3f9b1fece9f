//===- lib/Forward/ConnectionPool.h - kept backend connections ------------===//
///
/// \file
/// Pools the connections of one worker to backend servers. A connection serves one
/// request at a time and is kept only after a complete, well-framed answer.
//===----------------------------------------------------------------------===//
#pragma once

#include "AutoResetEvent.h"
#include "pistachioloom/Forward.h"
#include "pistachioloom/Http.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace pistachioloom {

/// Computes for how long after the arrival of its last answer a kept connection may be
/// used. \p keepAlive is the server's Keep-Alive header, or empty. The rest of the idle
/// timeout, a fifth and at least ForwardSettings::idleMargin_, allows for network and queueing
/// delays: a request that arrives after the server has closed the connection is lost.
milliseconds usableIdle(std::string_view keepAlive, const ForwardSettings& settings);

/// A connection to a backend server.
/// It is a stream in the sense of Asio: over a socket of its own, or through a peer.
struct BackendConnection : std::enable_shared_from_this<BackendConnection> {
    using executor_type = asio::any_io_executor;
    using IoHandler = std::function<void(const boost::system::error_code&, std::size_t)>;

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

    // NOLINTBEGIN(readability-identifier-naming): Asio requires these names of a stream.
    executor_type get_executor() { return socket_.get_executor(); }

    template <typename Buffers, typename Token>
    auto async_read_some(const Buffers& buffers, Token&& token)
    {
        return asio::async_initiate<Token, void(boost::system::error_code, std::size_t)>(
            [this](auto handler, const Buffers& target) {
                if (relayed_)
                    startRelayedRead(asio::mutable_buffer(*asio::buffer_sequence_begin(target)), sharedHandler(std::move(handler)));
                else
                    socket_.async_read_some(target, std::move(handler));
            },
            token, buffers);
    }

    template <typename Buffers, typename Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        return asio::async_initiate<Token, void(boost::system::error_code, std::size_t)>(
            [this](auto handler, const Buffers& source) {
                if (relayed_)
                    startRelayedWrite(firstBytes(source), sharedHandler(std::move(handler)));
                else
                    socket_.async_write_some(source, std::move(handler));
            },
            token, buffers);
    }
    // NOLINTEND(readability-identifier-naming)

    asio::ip::tcp::socket socket_;
    /// Set for a connection through a peer, whose socket is not open.
    std::optional<RelayedConnection> relayed_;
    /// ServicePaths::lossCount() when the connection was opened.
    std::uint64_t lossCount_ = 0;
    boost::beast::flat_buffer buffer_;
    BackendId backend_;
    /// The time at which the last read that had to wait completed. The last bytes of an
    /// answer arrived then or later, even if a slow caller delayed reading them.
    SteadyTime arrivedAt_ {};
    /// The time after which the connection is not used, as the server may be closing it.
    SteadyTime usableUntil_ {};
    bool isReused_ = false;
    /// The write of the request. If it is still in progress or has failed, the connection cannot be
    /// reused.
    WriteState write_;
    /// The number of connections to the same backend server. This connection is counted
    /// until its destruction.
    std::shared_ptr<std::size_t> openCount_;

private:
    /// Maximum number of bytes in one message to a peer.
    static constexpr std::size_t maxRelayedWrite = 64UL * 1024;

    template <typename Handler>
    static IoHandler sharedHandler(Handler handler)
    {
        auto shared = std::make_shared<Handler>(std::move(handler));
        return [shared](const boost::system::error_code& code, std::size_t count) { std::move (*shared)(code, count); };
    }

    template <typename Buffers>
    static std::string firstBytes(const Buffers& buffers)
    {
        std::string bytes(std::min(asio::buffer_size(buffers), maxRelayedWrite), '\0');
        asio::buffer_copy(asio::buffer(bytes), buffers);
        return bytes;
    }

    void startRelayedRead(asio::mutable_buffer target, IoHandler handler);
    void startRelayedWrite(std::string bytes, IoHandler handler);
    std::size_t takeReceived(asio::mutable_buffer target);
    static asio::awaitable<void> readRelayed(std::shared_ptr<BackendConnection> self, asio::mutable_buffer target, IoHandler handler);
    static asio::awaitable<void> writeRelayed(std::shared_ptr<BackendConnection> self, std::string bytes, IoHandler handler);

    /// Bytes that the peer sent and that have not been read.
    std::string received_;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// Keeps idle connections to backend servers for reuse, and counts the open ones.
class ConnectionPool {
public:
    explicit ConnectionPool(asio::any_io_executor executor)
        : executor_(std::move(executor))
    {
    }

    /// Removes a kept connection that is still open and was opened at \p lossCount from the
    /// pool. \returns nullptr if there is none.
    BackendConnectionPtr take(const BackendId& backend, std::uint64_t lossCount, SteadyTime now);
    /// Creates a connection for \p backend that is not connected yet.
    BackendConnectionPtr make(const BackendId& backend);
    /// The number of connections to \p backend, kept or in use.
    std::size_t openCount(const BackendId& backend) const;
    /// Records that \p backend sent an answer without the id of the request for which it was
    /// received.
    void noteAmbiguous(const BackendId& backend, SteadyTime now);
    /// Whether \p backend did so recently.
    bool isAmbiguous(const BackendId& backend, SteadyTime now) const;
    /// Keeps \p connection for reuse.
    void put(BackendConnectionPtr connection);
    const asio::any_io_executor& executor() const { return executor_; }
    /// Closes the kept connections that are no longer usable at \p now.
    void expire(SteadyTime now);

private:
    asio::any_io_executor executor_;
    std::map<BackendId, std::vector<BackendConnectionPtr>> idle_;
    std::map<BackendId, std::shared_ptr<std::size_t>> openCounts_;
    std::map<BackendId, SteadyTime> ambiguousUntil_;
};

} // namespace pistachioloom
