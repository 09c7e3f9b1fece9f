//===- lib/Forward/CallerConnection.cpp - connection of one caller --------===//
///
/// \file
/// See CallerConnection.h.
//===----------------------------------------------------------------------===//
#include "CallerConnection.h"

namespace pistachioloom {

namespace {

    constexpr std::size_t readSize = 8UL * 1024;
    // The maximum number of bytes that one connection buffers, which is enough for a few
    // pipelined requests.
    constexpr std::size_t maxBuffered = 64UL * 1024;
    // The time limit for the next bytes of a body, after which the caller is assumed to be
    // gone.
    constexpr milliseconds bodyReadTimeout { 10000 };
    // The time limit for reading bytes that the socket already has. It allows for two
    // iterations of an event loop that is delayed by half a second in each.
    constexpr milliseconds pendingReadTimeout { 1000 };

    Error badRequest(const BadRequest& problem, const std::string& peer)
    {
        Errc code = problem.status_ == 413 || problem.status_ == 431 ? Errc::TooLarge : Errc::InvalidInput;
        if (problem.status_ == 503)
            code = Errc::Overloaded;
        return { code, "read request", peer, problem.reason_, Ran::No, {} };
    }

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
    , inputArrived_(socket_.get_executor())
    , inputConsumed_(socket_.get_executor())
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto remote = socket_.remote_endpoint(ignored);
    peer_ = remote.address().to_string() + ":" + std::to_string(remote.port());
}

void CallerConnection::start()
{
    asio::co_spawn(
        socket_.get_executor(), [self = shared_from_this()] { return self->readLoop(); }, asio::detached);
}

asio::awaitable<void> CallerConnection::readLoop()
{
    std::vector<char> chunk(readSize);
    for (;;) {
        if (!socket_.is_open())
            break;
        if (input_.size() >= maxBuffered) {
            (void)co_await inputConsumed_.waitUntil(steadyNow() + bodyReadTimeout);
            continue;
        }
        auto [code, count] = co_await socket_.async_read_some(asio::buffer(chunk), asTuple);
        if (code)
            break;
        if (!discardsInput_)
            input_.append(chunk.data(), count);
        inputArrived_.notify();
    }
    isDisconnected_ = true;
    inputArrived_.notify();
    if (auto hook = std::exchange(disconnectHook_, nullptr))
        hook();
}

void CallerConnection::setDisconnectHook(std::function<void()> hook)
{
    if (isDisconnected_ && hook)
        hook();
    else
        disconnectHook_ = std::move(hook);
}

bool CallerConnection::hasUnread() const
{
    boost::system::error_code code;
    return socket_.available(code) > 0 && !code;
}

/// A delayed event loop may handle the end of the idle time before bytes that arrived in
/// time. Closing the connection then would leave a request without an answer.
asio::awaitable<bool> CallerConnection::waitForRequest(SteadyTime idleUntil)
{
    while (input_.empty()) {
        if (isDisconnected_)
            co_return false;
        if (co_await inputArrived_.waitUntil(idleUntil))
            continue;
        if (!hasUnread())
            co_return !input_.empty();
        bool hasArrived = co_await inputArrived_.waitUntil(steadyNow() + pendingReadTimeout);
        if (!hasArrived)
            co_return !input_.empty();
    }
    co_return true;
}

void CallerConnection::discardInput()
{
    discardsInput_ = true;
    input_.clear();
    inputConsumed_.notify();
}

asio::awaitable<std::optional<Result<CallerRequest>>> CallerConnection::next(CallerBounds bounds, std::unique_ptr<MemoryShare> memory)
{
    isIdle_ = true;
    SteadyTime idleSince = steadyNow();
    bool hasArrived = co_await waitForRequest(idleSince + std::max(bounds.idleTimeout_, announcedIdle_));
    idleTime_ = std::chrono::duration_cast<milliseconds>(steadyNow() - idleSince);
    if (!hasArrived)
        co_return std::nullopt;
    isIdle_ = false;
    co_return co_await readRequest(bounds, std::move(memory));
}

asio::awaitable<std::optional<Result<CallerRequest>>> CallerConnection::readRequest(const CallerBounds& bounds, std::unique_ptr<MemoryShare> memory)
{
    RequestReader reader(bounds, steadyNow());
    SteadyTime headUntil = steadyNow() + bounds.headerTimeout_;
    for (;;) {
        RequestReader::Progress progress = reader.feed(input_);
        inputConsumed_.notify();
        if (progress != RequestReader::Progress::Bad && reader.hasHead() && !memory->resize(reader.bodyMemory())) {
            reader.rejectBody();
            progress = RequestReader::Progress::Bad;
        }
        if (progress == RequestReader::Progress::Done) {
            CallerRequest request = reader.take();
            request.memory_ = std::move(memory);
            co_return request;
        }
        if (progress == RequestReader::Progress::Bad) {
            badStatus_ = reader.problem().status_;
            co_return badRequest(reader.problem(), peer_);
        }
        if (isDisconnected_)
            co_return std::nullopt;
        if (reader.hasHead() && reader.takeContinueExpectation()) {
            std::string interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
            (void)co_await write(std::move(interimAnswer));
        }
        SteadyTime until = reader.hasHead() ? steadyNow() + bodyReadTimeout : headUntil;
        if (co_await inputArrived_.waitUntil(until))
            continue;
        badStatus_ = 408;
        co_return Error { Errc::Timeout, "read request", peer_, "the request did not arrive in time", Ran::No, {} };
    }
}

asio::awaitable<bool> CallerConnection::write(std::string bytes)
{
    if (isDisconnected_)
        co_return false;
    auto [code, count] = co_await asio::async_write(socket_, asio::buffer(bytes), asTuple);
    isDisconnected_ |= static_cast<bool>(code);
    co_return !code;
}

bool CallerConnection::hasStayedIdle()
{
    bool isIdleNow = isIdle();
    return std::exchange(wasIdle_, isIdleNow) && isIdleNow;
}

void CallerConnection::abort()
{
    isDisconnected_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void CallerConnection::abortByNode()
{
    isAbortedByNode_ = !isDisconnected_;
    bool isAnswered = isAbortedByNode_ && endHook_ && endHook_();
    if (!isAnswered)
        abort();
}

void CallerConnection::reset()
{
    setResetOnClose(true);
    abort();
}

void CallerConnection::setResetOnClose(bool isReset)
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

void CallerConnection::shutdownSend()
{
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace pistachioloom
