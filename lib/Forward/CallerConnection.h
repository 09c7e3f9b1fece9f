//===- lib/Forward/CallerConnection.h - one caller's connection ------------===//
///
/// \file
/// Reads all the time, so that a caller who closes is noticed while a backend
/// server works; what arrives early waits for its turn.
//===----------------------------------------------------------------------===//
#pragma once

#include "RequestReader.h"
#include "AutoResetEvent.h"

namespace pistachioloom {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    explicit CallerConnection(asio::ip::tcp::socket socket);

    /// Starts reading.
    void start();
    /// The next request; a status to answer with if it is bad; nullopt when the
    /// connection is to be closed without an answer.
    asio::awaitable<std::optional<Result<CallerRequest>>> next(CallerBounds bounds);
    /// Writes \p bytes. \returns whether they were taken.
    asio::awaitable<bool> write(std::string bytes);
    /// Called once when the caller closes or breaks.
    void setDisconnectHook(std::function<void()> hook);
    bool isDisconnected() const { return isDisconnected_; }
    /// No request has arrived, or is being read or answered.
    bool isIdle() const { return isIdle_ && input_.empty() && !hasUnread(); }
    /// isIdle() now and when it was called before. Bytes that were just read are nowhere
    /// to be seen until the loop comes to them.
    bool hasStayedIdle();
    /// The caller was told that it may use the connection for a part of \p idle; it stays
    /// open for so long, whatever limit a newer configuration holds.
    void setAnnouncedIdle(milliseconds idle) { announcedIdle_ = idle; }
    /// Bytes that were read and belong to no request that was served.
    ByteCount unansweredBytes() const { return { input_.size() }; }
    /// How long the last wait for a request took.
    milliseconds idleTime() const { return idleTime_; }
    /// Ends the connection at once.
    void abort();
    /// Ends it after what was written.
    void shutdownSend();
    std::string peer() const { return peer_; }

    /// The status of the last bad request.
    int badStatus() const { return badStatus_; }

private:
    asio::awaitable<void> readLoop();
    /// Waits for a request's first bytes. \returns false if the connection is to be closed.
    asio::awaitable<bool> waitForRequest(SteadyTime idleUntil);
    bool hasUnread() const;
    asio::awaitable<std::optional<Result<CallerRequest>>> readRequest(const CallerBounds& bounds);

    asio::ip::tcp::socket socket_;
    std::string input_;
    AutoResetEvent arrived_;
    AutoResetEvent consumed_;
    std::function<void()> disconnectHook_;
    bool isDisconnected_ = false;
    bool isIdle_ = true;
    bool wasIdle_ = false;
    milliseconds idleTime_ {};
    milliseconds announcedIdle_ {};
    int badStatus_ = 0;
    std::string peer_;
};

} // namespace pistachioloom
