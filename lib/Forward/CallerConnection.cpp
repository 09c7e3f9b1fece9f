//===- lib/Forward/CallerConnection.cpp - connection of one caller --------===//
///
/// \file
/// See CallerConnection.h.
//===----------------------------------------------------------------------===//
#include "CallerConnection.h"

#include "pistachioloom/Forward.h"

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
    // Another node accepts at once a request that a stopping node rejects.
    constexpr milliseconds stoppingRetryAfter { 10 };
    // The least time after which a request is likely to find room for its body; callers return spread
    // over twice this time.
    constexpr milliseconds bodyRetryAfter { 1000 };

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
        if (!socket_.is_open() || (stopsReading_ && isIdle_ && input_.empty()))
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
        // A request that arrives after an orderly close would leave open whether it was read.
        if (isDisconnected_ && stopsReading_)
            setResetOnClose(true);
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

asio::awaitable<std::optional<Result<CallerRequest>>> CallerConnection::next(RequestIntake intake)
{
    isIdle_ = true;
    SteadyTime idleSince = steadyNow();
    bool hasArrived = co_await waitForRequest(idleSince + std::max(intake.bounds_.idleTimeout_, announcedIdle_));
    idleTime_ = std::chrono::duration_cast<milliseconds>(steadyNow() - idleSince);
    if (!hasArrived)
        co_return std::nullopt;
    isIdle_ = false;
    isReading_ = true;
    CountGuard arriving(intake.arriving_);
    auto request = co_await readRequest(intake);
    isReading_ = false;
    co_return request;
}

Error CallerConnection::badRequest(const RequestReader& reader, const MemoryShare& memory)
{
    const BadRequest& problem = reader.problem();
    badStatus_ = problem.status_;
    Error error { Errc::InvalidInput, "read request", peer_, problem.reason_, Ran::No, {} };
    if (problem.status_ == 413 || problem.status_ == 431)
        error.code_ = Errc::TooLarge;
    if (problem.status_ != 503)
        return error;
    error.code_ = Errc::Overloaded;
    error.step_ += " of " + std::to_string(memory.size().value_) + " bytes, with " + std::to_string(memory.total().value_) + " of " + std::to_string(memory.limit().value_) + " in use";
    error.retryAfter_ = bodyRetryAfter + milliseconds(randomBits() % static_cast<std::uint64_t>(bodyRetryAfter.count()));
    return error;
}

Error CallerConnection::endReading(int status, std::string reason, milliseconds retryAfter)
{
    badStatus_ = status;
    return { status == 408 ? Errc::Timeout : Errc::Unavailable, "read request", peer_, std::move(reason), Ran::No, retryAfter };
}

asio::awaitable<void> CallerConnection::sendContinue(RequestReader& reader)
{
    if (!reader.hasHead() || !reader.takeContinueExpectation())
        co_return;
    std::string interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
    (void)co_await write(std::move(interimAnswer));
}

asio::awaitable<std::optional<Result<CallerRequest>>> CallerConnection::readRequest(RequestIntake& intake)
{
    SteadyTime startedAt = steadyNow();
    SteadyTime arrivedAt = startedAt;
    RequestReader reader(intake.bounds_, startedAt);
    std::optional<ArrivingBody> body;
    for (;;) {
        RequestReader::Progress progress = reader.feed(input_);
        inputConsumed_.notify();
        if (reader.hasHead() && !body)
            body.emplace(*intake.memory_, reader.statedLength(), steadyNow(), startedAt + intake.timeLimit_(reader));
        if (progress != RequestReader::Progress::Bad && body && !body->update(reader.arrivedBody(), steadyNow())) {
            reader.rejectBody();
            progress = RequestReader::Progress::Bad;
        }
        if (progress == RequestReader::Progress::Done) {
            CallerRequest request = reader.take();
            request.memory_ = std::move(intake.memory_);
            co_return request;
        }
        if (progress == RequestReader::Progress::Bad)
            co_return badRequest(reader, *intake.memory_);
        if (isDisconnected_)
            co_return std::nullopt;
        if (isAbortedByNode_ || stopsReading_)
            co_return endReading(503, "this node is stopping", stoppingRetryAfter);
        co_await sendContinue(reader);
        SteadyTime until = body ? std::min(arrivedAt + bodyReadTimeout, body->deadline()) : startedAt + intake.bounds_.headerTimeout_;
        SteadyTime checkAt = body ? body->checkAt(steadyNow()) : SteadyTime::max();
        bool hasArrived = co_await inputArrived_.waitUntil(std::min(until, checkAt));
        if (hasArrived)
            arrivedAt = steadyNow();
        else if (steadyNow() >= until)
            co_return endReading(408, "the request did not arrive in time", {});
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
    // Bytes that were just read are not in the input until the event loop has run, and must be
    // answered.
    if (isIdle_) {
        stopsReading_ = true;
        boost::system::error_code ignored;
        if (input_.empty())
            socket_.cancel(ignored);
        return;
    }
    isAbortedByNode_ = !isDisconnected_;
    bool isAnswered = isAbortedByNode_ && (isReading_ || (endHook_ && endHook_()));
    if (isAnswered && isReading_)
        inputArrived_.notify();
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
