//===- pistachioloom/Wire.h - streams between the system's processes -------===//
///
/// \file
/// A peer connection is one nghttp2 session; each exchange is one stream that
/// carries length-prefixed protobuf Frames in both directions. The error of a
/// failed stream states whether the peer may have processed it, since only a stream
/// that the peer has not processed may be retried.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

namespace pistachioloom::wire {
class Frame;
class Failure;
}

namespace pistachioloom {

/// The request path of all streams, which contains the version of the frames.
inline constexpr std::string_view wirePath = "/pistachioloom/1";
/// The maximum size of a received frame; a larger frame resets its stream.
inline constexpr ByteCount maxFrameSize { 8UL * 1024 * 1024 };

/// One exchange with a peer. All members may be called from any strand, but send() and
/// receive() each by only one coroutine at a time.
class PeerStream {
public:
    virtual ~PeerStream() = default;

    /// Queues \p frame. Completes when the send queue has capacity, which provides
    /// backpressure.
    virtual asio::awaitable<Result<void>> send(const wire::Frame& frame) = 0;
    /// Receives the next frame. Errors: Reset, with `ran_` No if the peer refused the
    /// stream without processing it; Cancelled after cancel() on either side;
    /// NotFound when the peer has closed its side; Protocol if the frame is invalid.
    virtual asio::awaitable<Result<wire::Frame>> receive() = 0;
    /// Like receive(), but cancels the stream after \p timeout with the error Timeout.
    virtual asio::awaitable<Result<wire::Frame>> receiveWithin(milliseconds timeout) = 0;
    /// Like receive(), for large frames: cancels the stream with the error Timeout when
    /// no byte arrives for \p idleTimeout, or the frame is incomplete after \p totalTimeout.
    virtual asio::awaitable<Result<wire::Frame>> receiveWithin(milliseconds idleTimeout, milliseconds totalTimeout) = 0;
    /// Closes the local side after the queued frames.
    virtual void finish() = 0;
    /// Resets the stream because the result is no longer needed. The peer's send() fails
    /// with Cancelled.
    virtual void cancel() = 0;
    /// Resets the stream while another node still needs the result. The peer's send()
    /// fails with Reset.
    virtual void release() = 0;
    /// Resets the stream with REFUSED_STREAM, so that the peer knows that it was not
    /// processed.
    virtual void refuse() = 0;
    /// Whether either side has reset the stream, or the connection is closed.
    virtual bool isClosed() const = 0;
    /// Returns the bytes of frames that have arrived, including those of an incomplete
    /// frame.
    virtual ByteCount bytesReceived() const = 0;
    virtual std::string peer() const = 0;
    /// Returns a shared pointer to this stream.
    virtual std::shared_ptr<PeerStream> shared() = 0;
};

using PeerStreamHandler = std::function<asio::awaitable<void>(std::shared_ptr<PeerStream>)>;
/// Called when invalid input or a failure closes a stream or a connection.
using WireErrorHook = std::function<void(const Error&)>;

/// Detects a frozen or unreachable peer. A connection with open streams that receives
/// nothing for an interval is pinged, and closed if it still receives nothing.
struct KeepAlive {
    milliseconds interval_ { 1000 };
    /// Number of consecutive intervals without input after which the connection closes.
    int maxIdleIntervals_ = 3;
};

/// Accepts connections of peers, and on them the streams with the right credential.
class PeerServer {
public:
    struct State;

    PeerServer(asio::any_io_executor executor, std::string credential, PeerStreamHandler handler, WireErrorHook onError, KeepAlive keepAlive = {});
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    Result<std::uint16_t> listen(const Endpoint& endpoint);
    /// Sends GOAWAY on every connection. New streams are refused without being
    /// processed, and open streams continue.
    void refuseNewStreams();
    /// Returns the bytes written to all connections since the start.
    ByteCount bytesSent() const;
    /// Returns the bytes read from all connections since the start.
    ByteCount bytesReceived() const;
    /// Closes the acceptor and all connections.
    void stop();

private:
    std::shared_ptr<State> state_;
};

/// Outgoing connections, one per peer, each opened on first use.
class PeerPool {
public:
    struct State;

    PeerPool(asio::any_io_executor executor, std::string credential, WireErrorHook onError, KeepAlive keepAlive = {});
    ~PeerPool();
    PeerPool(const PeerPool&) = delete;
    PeerPool& operator=(const PeerPool&) = delete;

    /// Opens a stream and sends \p first on it. Fails after \p timeout, or after 1 s if the
    /// peer has not accepted a connection by then. The `ran_` of an error is No.
    asio::awaitable<Result<std::shared_ptr<PeerStream>>> open(Endpoint peer, const wire::Frame& first, milliseconds timeout);
    /// Sends one frame and receives one frame, within \p timeout in all. A Failure frame is
    /// returned as Error.
    asio::awaitable<Result<wire::Frame>> call(Endpoint peer, const wire::Frame& request, milliseconds timeout);
    /// Returns the bytes written to all connections since the start.
    ByteCount bytesSent() const;
    /// Returns the bytes read from all connections since the start.
    ByteCount bytesReceived() const;
    void stop();

private:
    std::shared_ptr<State> state_;
};

Error fromWire(const wire::Failure& failure);
wire::Failure toWire(const Error& error);

} // namespace pistachioloom
