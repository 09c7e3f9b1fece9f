//===- pistachioloom/Wire.h - streams between the system's own processes ---===//
///
/// \file
/// A peer connection is one nghttp2 session; each exchange is one stream that
/// carries length-prefixed protobuf Frames both ways. A failed stream says
/// whether the peer can have seen it, since only then may it be retried.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

namespace pistachioloom::wire {
class Frame;
class Failure;
}

namespace pistachioloom {

/// The version of the frames, part of the request path.
inline constexpr std::string_view wirePath = "/pistachioloom/1";
/// The longest frame that is read; a longer one resets its stream.
inline constexpr ByteCount maxFrameSize { 8UL * 1024 * 1024 };

/// One exchange with a peer. All members may be used from any strand, but
/// send() and receive() by one coroutine each at a time.
class PeerStream {
public:
    virtual ~PeerStream() = default;

    /// Queues \p frame; completes once fewer than a few frames are unsent.
    virtual asio::awaitable<Result<void>> send(const wire::Frame& frame) = 0;
    /// The next frame. Errors: Reset with `ran_` telling whether the peer
    /// refused the stream unseen; Cancelled after cancel(); NotFound when the
    /// peer ended its side.
    virtual asio::awaitable<Result<wire::Frame>> receive() = 0;
    /// receive() that resets the stream when \p timeout passes first.
    virtual asio::awaitable<Result<wire::Frame>> receiveWithin(milliseconds timeout) = 0;
    /// receive() of a long frame: resets the stream when no byte comes for \p idleTimeout,
    /// or the frame is not whole after \p totalTimeout.
    virtual asio::awaitable<Result<wire::Frame>> receiveWithin(milliseconds idleTimeout, milliseconds totalTimeout) = 0;
    /// Ends our side after what was sent.
    virtual void finish() = 0;
    /// Resets the stream: the work is not wanted any more. The peer's send()
    /// fails with Cancelled.
    virtual void cancel() = 0;
    /// Resets the stream, but the work goes on for somebody else. The peer's
    /// send() fails with Reset.
    virtual void release() = 0;
    /// Resets the stream and tells the peer that nothing was done.
    virtual void refuse() = 0;
    /// Whether either side reset it, or the link is gone.
    virtual bool isClosed() const = 0;
    virtual std::string peer() const = 0;
    /// A pointer that keeps the stream.
    virtual std::shared_ptr<PeerStream> shared() = 0;
};

using PeerStreamHandler = std::function<asio::awaitable<void>(std::shared_ptr<PeerStream>)>;
/// Told of input that closed a stream or connection.
using WireErrorHook = std::function<void(const Error&)>;

/// How a peer that is frozen or cut off is noticed: a link with streams that
/// brings nothing is pinged, and closed when it stays silent.
struct KeepAlive {
    milliseconds interval_ { 1000 };
    /// Silent intervals in a row before the link is closed.
    int maxIdleIntervals_ = 3;
};

/// Accepts peers that know the credential.
class PeerServer {
public:
    struct State;

    PeerServer(asio::any_io_executor executor, std::string credential, PeerStreamHandler handler, WireErrorHook onError, KeepAlive keepAlive = {});
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    Result<std::uint16_t> listen(const Endpoint& endpoint);
    /// Sends GOAWAY on every connection: new streams are refused as not run,
    /// those in progress go on.
    void refuseNewStreams();
    /// Bytes written and read on all connections since the start.
    ByteCount bytesSent() const;
    ByteCount bytesReceived() const;
    /// Closes everything.
    void stop();

private:
    std::shared_ptr<State> state_;
};

/// Outgoing connections, one per peer, opened when first needed.
class PeerPool {
public:
    struct State;

    PeerPool(asio::any_io_executor executor, std::string credential, WireErrorHook onError, KeepAlive keepAlive = {});
    ~PeerPool();
    PeerPool(const PeerPool&) = delete;
    PeerPool& operator=(const PeerPool&) = delete;

    /// Opens a stream and sends \p first on it. An error has `ran_` No.
    asio::awaitable<Result<std::shared_ptr<PeerStream>>> open(Endpoint peer, const wire::Frame& first, milliseconds timeout);
    /// One frame there, one frame back; a Failure frame comes back as Error.
    asio::awaitable<Result<wire::Frame>> call(Endpoint peer, const wire::Frame& request, milliseconds timeout);
    /// Bytes written and read on all connections since the start.
    ByteCount bytesSent() const;
    ByteCount bytesReceived() const;
    void stop();

private:
    std::shared_ptr<State> state_;
};

Error fromWire(const wire::Failure& failure);
wire::Failure toWire(const Error& error);

} // namespace pistachioloom
