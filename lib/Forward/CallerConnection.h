//===- lib/Forward/CallerConnection.h - connection of one caller ----------===//
///
/// \file
/// Reads from a caller continuously, so that a disconnect is detected while a
/// backend server is working. Pipelined requests are buffered.
//===----------------------------------------------------------------------===//
#pragma once

#include "ArrivingBody.h"
#include "AutoResetEvent.h"
#include "RequestReader.h"

namespace pistachioloom {

/// What applies to the requests of a connection while they arrive.
struct RequestIntake {
    CallerBounds bounds_;
    /// The share of the request's body, which the request keeps.
    std::unique_ptr<MemoryShare> memory_;
    /// Returns the time limit of a request, of which the head is complete, from its arrival to its answer.
    std::function<milliseconds(const RequestReader&)> timeLimit_;
    /// Counts the requests that are arriving.
    std::atomic<std::size_t>& arriving_;
};

/// The connection of one caller.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    explicit CallerConnection(asio::ip::tcp::socket socket);

    /// Starts reading.
    void start();
    /// Waits for the next request.
    /// \returns the request, or an error if the request is invalid (see badStatus()), or
    /// nullopt if the connection is to be closed without an answer.
    asio::awaitable<std::optional<Result<CallerRequest>>> next(RequestIntake intake);
    /// Drops all bytes that are unread or arrive from now on.
    void discardInput();
    /// Writes \p bytes. \returns whether the write succeeded.
    asio::awaitable<bool> write(std::string bytes);
    /// Sets \p hook to be called once when the caller closes the connection or the
    /// connection fails.
    void setDisconnectHook(std::function<void()> hook);
    bool isDisconnected() const { return isDisconnected_; }
    /// Whether no request has arrived, and none is being read or answered.
    bool isIdle() const { return isIdle_ && input_.empty() && !hasUnread(); }
    /// Whether isIdle() holds now and held at the previous call. A single check is not
    /// enough: bytes that were just read are neither in the socket nor in the buffer until
    /// the event loop has run.
    bool hasStayedIdle();
    /// Records that an answer has announced a part of \p idle to the caller. The connection
    /// then stays open for at least \p idle, even if a newer configuration has a lower limit.
    void setAnnouncedIdle(milliseconds idle) { announcedIdle_ = idle; }
    /// The number of bytes that were read but are not part of a request that was served.
    ByteCount unansweredBytes() const { return { input_.size() }; }
    /// The duration of the last wait for a request.
    milliseconds idleTime() const { return idleTime_; }
    /// Closes the connection immediately.
    void abort();
    /// Sets \p hook to be called by abortByNode(). It returns whether it ends the request with an
    /// answer, so that the connection must stay open for it.
    void setEndHook(std::function<bool()> hook) { endHook_ = std::move(hook); }
    /// Ends the request that is arriving or in progress: with an answer if none has begun, or else by
    /// closing the connection. Without a request, stops reading, and then closes the connection.
    void abortByNode();
    bool isAbortedByNode() const { return isAbortedByNode_; }
    /// Resets the connection, so that an answer that ends with it does not seem complete.
    void reset();
    /// Sets whether any close resets the connection from now on, also by the end of the process.
    void setResetOnClose(bool isReset);
    /// Closes the sending direction after the data that was written.
    void shutdownSend();
    std::string peer() const { return peer_; }

    /// The HTTP status for the last invalid request.
    int badStatus() const { return badStatus_; }

private:
    asio::awaitable<void> readLoop();
    /// Waits for the first bytes of a request.
    /// \returns false if the connection is to be closed.
    asio::awaitable<bool> waitForRequest(SteadyTime idleUntil);
    bool hasUnread() const;
    asio::awaitable<std::optional<Result<CallerRequest>>> readRequest(RequestIntake& intake);
    Error badRequest(const RequestReader& reader, const MemoryShare& memory);
    Error endReading(int status, std::string reason, milliseconds retryAfter);
    asio::awaitable<void> sendContinue(RequestReader& reader);

    asio::ip::tcp::socket socket_;
    std::string input_;
    /// Set when bytes are added to the input, or the caller disconnects.
    AutoResetEvent inputArrived_;
    /// Set when bytes are removed from the input.
    AutoResetEvent inputConsumed_;
    std::function<void()> disconnectHook_;
    std::function<bool()> endHook_;
    bool isDisconnected_ = false;
    bool isAbortedByNode_ = false;
    /// Whether no request is read that begins later.
    bool stopsReading_ = false;
    bool discardsInput_ = false;
    /// Whether a part of a request has arrived.
    bool isReading_ = false;
    bool isIdle_ = true;
    /// The result of isIdle() at the previous call of hasStayedIdle().
    bool wasIdle_ = false;
    milliseconds idleTime_ {};
    milliseconds announcedIdle_ {};
    int badStatus_ = 0;
    std::string peer_;
};

} // namespace pistachioloom
