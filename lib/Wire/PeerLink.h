//===- lib/Wire/PeerLink.h - one nghttp2 session over a socket -------------===//
///
/// \file
/// Runs an nghttp2 session, client or server, on the strand of its socket. PeerPool
/// holds the outgoing links; the coroutines and streams of a link keep it alive.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Wire.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <deque>
#include <nghttp2/nghttp2.h>
#include <unordered_map>

namespace pistachioloom {

class PeerLink;

/// Counts the bytes sent and received by all links of one pool or server.
struct WireCounters {
    std::atomic<std::uint64_t> bytesSent_ { 0 };
    std::atomic<std::uint64_t> bytesReceived_ { 0 };
};

/// One stream of a link. Members without a comment are used only on the link's strand.
class LinkStream : public PeerStream, public std::enable_shared_from_this<LinkStream> {
public:
    LinkStream(std::shared_ptr<PeerLink> link, const asio::any_io_executor& executor);

    asio::awaitable<Result<void>> send(const wire::Frame& frame) override;
    asio::awaitable<Result<wire::Frame>> receive() override;
    asio::awaitable<Result<wire::Frame>> receiveWithin(milliseconds timeout) override;
    asio::awaitable<Result<wire::Frame>> receiveWithin(milliseconds idleTimeout, milliseconds totalTimeout) override;
    void finish() override;
    void cancel() override;
    void release() override;
    void refuse() override;
    bool isClosed() const override { return isClosed_; }
    ByteCount bytesReceived() const override { return { bytesReceived_ }; }
    std::string peer() const override;
    std::shared_ptr<PeerStream> shared() override { return shared_from_this(); }

private:
    friend class PeerLink;

    /// Timeouts of one receive(); used on the strand of the receiving coroutine.
    struct ReceiveTimer {
        SteadyTimer timer_;
        milliseconds idleTimeout_;
        SteadyTime startedAt_;
        milliseconds totalTimeout_;
        bool hasExpired_ = false;
        bool isDone_ = false;
    };

    void reset(std::uint32_t errorCode);
    /// Appends the end mark to the received frames.
    void endFrames();
    std::shared_ptr<ReceiveTimer> startReceiveTimer(const asio::any_io_executor& executor, milliseconds idleTimeout, milliseconds totalTimeout);
    /// Cancels the stream if \p receiveTimer has expired, or else schedules the next check.
    void armReceiveTimer(const std::shared_ptr<ReceiveTimer>& receiveTimer);

    std::shared_ptr<PeerLink> link_;
    std::int32_t id_ = -1;
    bool isAuthorised_ = false;
    bool isPathKnown_ = false;
    bool isHandlerStarted_ = false;
    std::string input_;
    // Bytes that were returned to the flow control window before their frame was complete.
    std::size_t returnedEarly_ = 0;
    std::deque<std::string> output_;
    std::size_t outputOffset_ = 0;
    bool isOutputEnded_ = false;
    bool isDeferred_ = false;
    // Used on any strand: the received frames, and one credit for each unsent frame.
    // An error at the end of the frames marks their end, since closing the channel
    // would drop unread frames.
    asio::experimental::concurrent_channel<void(boost::system::error_code, std::string)> receivedFrames_;
    asio::experimental::concurrent_channel<void(boost::system::error_code)> sendCredits_;
    // Used only by the receiving coroutine: receive() has reached the end mark.
    bool hasReachedEnd_ = false;
    // Written on the link's strand, read on any strand.
    std::atomic<bool> isClosed_ { false };
    // Time at which the last bytes were received, and the number of bytes received. Written
    // on the link's strand, read on any.
    std::atomic<SteadyTime> receivedAt_ { SteadyTime {} };
    std::atomic<std::uint64_t> bytesReceived_ { 0 };
    // The reasons for the end of the stream: written before the end mark of the frames and
    // read after it. cancel() also sets isCancelled_, on any strand.
    std::atomic<bool> isRefused_ { false };
    std::atomic<bool> isRemoteClosed_ { false };
    std::atomic<bool> isCancelled_ { false };
    std::atomic<bool> isFailed_ { false };
};

/// One connection with its nghttp2 session. start() is called once; all other members
/// except executor(), isUsable(), receivedAt(), retire(), peer() and reportError() are
/// called on the link's strand.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    enum class Side {
        Client,
        Server,
    };

    PeerLink(asio::ip::tcp::socket socket, Side side, std::string credential, std::string peer,
        std::shared_ptr<WireCounters> counters, PeerStreamHandler handler, WireErrorHook onError, KeepAlive keepAlive);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    void start();
    bool isUsable() const { return isUsable_; }
    /// Returns when bytes were last received; zero before the first.
    SteadyTime receivedAt() const { return receivedAt_; }
    /// Accepts no new streams; the link closes when its open streams have ended. Has no
    /// effect on an incoming link, on which a request of the peer may be on its way.
    void retire();
    const std::string& peer() const { return peer_; }
    asio::any_io_executor executor() { return socket_.get_executor(); }

    /// Submits a request whose body is the output of \p stream.
    /// \returns false if the session accepts no more streams.
    bool submit(const std::shared_ptr<LinkStream>& stream);
    void resumeOutput(LinkStream& stream);
    void resetStream(LinkStream& stream, std::uint32_t errorCode);
    /// Returns \p bytes of a received frame to the stream's flow control window, less
    /// those that were returned before the frame was complete.
    void returnToWindow(LinkStream& stream, std::size_t bytes);
    void refuseNewStreams();
    void close(std::string_view reason);

private:
    friend class LinkStream;

    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame*, void*);
    static int onHeader(nghttp2_session*, const nghttp2_frame*, const std::uint8_t*, std::size_t, const std::uint8_t*, std::size_t, std::uint8_t, void*);
    static int onFrameReceived(nghttp2_session*, const nghttp2_frame*, void*);
    static int onData(nghttp2_session*, std::uint8_t, std::int32_t, const std::uint8_t*, std::size_t, void*);
    static int onStreamClose(nghttp2_session*, std::int32_t, std::uint32_t, void*);
    static ssize_t readOutput(nghttp2_session*, std::int32_t, std::uint8_t*, std::size_t, std::uint32_t*, nghttp2_data_source*, void*);

    void createSession();
    asio::awaitable<void> readLoop();
    asio::awaitable<void> writeLoop();
    asio::awaitable<void> keepAliveLoop();
    /// Starts the write loop unless it is running.
    void startWriting();
    void handleRequestHeaders(std::int32_t streamId);
    void decodeFrames(LinkStream& stream, std::string_view data);
    void endStream(LinkStream& stream, std::uint32_t errorCode);
    void submitAnswer(LinkStream& stream);
    void rejectStream(std::int32_t streamId, int status, const std::string& reason);
    void reportError(std::string_view step, std::string_view reason);
    LinkStream* findStream(std::int32_t streamId);

    asio::ip::tcp::socket socket_;
    Side side_;
    std::string credential_;
    std::string peer_;
    std::shared_ptr<WireCounters> counters_;
    PeerStreamHandler handler_;
    WireErrorHook onError_;
    const KeepAlive keepAlive_;
    SteadyTimer keepAliveTimer_;
    // Consecutive intervals without input while streams were open.
    int idleIntervals_ = 0;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<std::int32_t, std::shared_ptr<LinkStream>> streams_;
    bool isWriting_ = false;
    bool isDraining_ = false;
    std::atomic<bool> isUsable_ { true };
    std::atomic<SteadyTime> receivedAt_ { SteadyTime {} };
};

} // namespace pistachioloom
