//===- lib/Forward/Worker.cpp - accepts callers ---------------------------===//
///
/// \file
/// Accepts callers and serves their connections on one thread.
//===----------------------------------------------------------------------===//
#include "RequestForwarder.h"

#include <deque>
#include <unordered_set>

namespace pistachioloom {

using tcp = asio::ip::tcp;

namespace {

    // The interval at which kept backend connections that are no longer usable are
    // closed.
    constexpr milliseconds sweepPeriod { 1000 };
    // The pause after a failed accept, for example for lack of file descriptors.
    constexpr milliseconds acceptPause { 20 };
    // The time for which a closing connection waits for the caller's close, so that no reset
    // discards an answer in flight.
    constexpr milliseconds lingerTime { 500 };

} // namespace

struct ForwardWorker::State : std::enable_shared_from_this<ForwardWorker::State> {
    State(asio::io_context& io, ForwardContext& context)
        : io_(io)
        , context_(context)
        , pool_(io.get_executor())
        , acceptor_(io)
        , hasAccepted_(io.get_executor())
        , gate_(context.settings_.accept_)
    {
    }

    asio::awaitable<void> acceptLoop();
    void acceptWaiting();
    asio::awaitable<void> admitLoop();
    void closeUnread(tcp::socket& socket);
    void stopAccepting();
    asio::awaitable<void> serveConnection(std::shared_ptr<CallerConnection> caller);
    asio::awaitable<bool> serveRequests(std::shared_ptr<CallerConnection> caller);
    asio::awaitable<void> answerBadRequest(CallerConnection& caller, const Error& error);
    void logUnanswered(const CallerConnection& caller) const;
    asio::awaitable<void> sweepLoop();
    CallerBounds bounds() const;
    milliseconds timeLimitOf(const RequestReader& request) const;

    asio::io_context& io_;
    ForwardContext& context_;
    ConnectionPool pool_;
    tcp::acceptor acceptor_;
    /// Accepted connections from which nothing has been read yet, oldest first.
    struct AcceptedConnection {
        tcp::socket socket_;
        SteadyTime acceptedAt_ {};
    };
    std::deque<AcceptedConnection> accepted_;
    AutoResetEvent hasAccepted_;
    AcceptGate gate_;
    /// Whether accepted connections stay unread.
    bool stopsAccepting_ = false;
    std::unordered_set<std::shared_ptr<CallerConnection>> callers_;
    Logger logger_ { "forward" };
};

CallerBounds ForwardWorker::State::bounds() const
{
    auto table = context_.hooks_.table_();
    return table ? table->configuration().bounds_ : CallerBounds {};
}

milliseconds ForwardWorker::State::timeLimitOf(const RequestReader& request) const
{
    auto table = context_.hooks_.table_();
    const Route* route = table ? table->findRoute(request.field("Host"), request.path()) : nullptr;
    return pistachioloom::timeLimitOf(route ? *route : Route {}, request.field(context_.names_.deadline_));
}

asio::awaitable<void> ForwardWorker::State::answerBadRequest(CallerConnection& caller, const Error& error)
{
    logger_.info("Bad request: " + describe(error) + " status=" + std::to_string(caller.badStatus()));
    context_.metrics_.add(Counter::RequestsRefused);
    HeaderFields fields;
    fields.push_back({ "Content-Type", "text/plain" });
    if (error.retryAfter_.count())
        fields.push_back({ "Retry-After", renderRetryAfter(error.retryAfter_) });
    caller.discardInput();
    std::string bytes = renderAnswer(caller.badStatus(), fields, error.message_ + "\n", std::nullopt);
    (void)co_await caller.write(std::move(bytes));
}

/// Logs that received bytes are lost with their connection. A request that was not read
/// completely leaves no other trace on the node.
void ForwardWorker::State::logUnanswered(const CallerConnection& caller) const
{
    if (!caller.unansweredBytes().value_)
        return;
    LogLine line("Connection ends with unanswered bytes.");
    line.add("bytes", static_cast<std::int64_t>(caller.unansweredBytes().value_)).add("idle_ms", caller.idleTime().count());
    line.add("caller_left", caller.isDisconnected()).add("peer", caller.peer());
    logger_.warn(line);
}

/// \returns whether an answer to the caller may still be in flight.
asio::awaitable<bool> ForwardWorker::State::serveRequests(std::shared_ptr<CallerConnection> caller)
{
    CountGuard serving(context_.serving_);
    for (;;) {
        auto memory = std::make_unique<MemoryShare>(context_.bodyMemory_, context_.settings_.maxBodyMemory_);
        RequestIntake intake { bounds(), std::move(memory), [this](const RequestReader& reader) { return timeLimitOf(reader); }, context_.arriving_ };
        auto request = co_await caller->next(std::move(intake));
        if (!request)
            co_return false;
        if (!*request) {
            co_await answerBadRequest(*caller, request->error());
            co_return true;
        }
        CountGuard running(context_.running_);
        auto forwarder = std::make_shared<RequestForwarder>(context_, pool_, caller, std::move(request->value()));
        if (!co_await forwarder->run())
            co_return true;
    }
}

/// After an answer the caller's bytes are read until the caller closes, because a reset could
/// overtake the answer. After idle time they are not read: a request that crosses the close in
/// flight must stay unread, so that a reset tells its caller that it has not run.
asio::awaitable<void> ForwardWorker::State::serveConnection(std::shared_ptr<CallerConnection> caller)
{
    if (stopsAccepting_) {
        caller->reset();
        co_return;
    }
    CountGuard counted(context_.connections_);
    callers_.insert(caller);
    caller->start();
    bool mayHaveAnswerInFlight = false;
    try {
        mayHaveAnswerInFlight = co_await serveRequests(caller);
    } catch (const std::exception& error) {
        logger_.error(LogLine("Serving a request failed.").add("why", error.what()).add("peer", caller->peer()));
        caller->reset();
    }
    if (mayHaveAnswerInFlight)
        caller->shutdownSend();
    if (mayHaveAnswerInFlight && !caller->isDisconnected()) {
        SteadyTimer linger(io_, lingerTime);
        (void)co_await linger.async_wait(asTuple);
    }
    logUnanswered(*caller);
    caller->abort();
    callers_.erase(caller);
}

/// Closes a connection from which nothing was read. The reset tells its caller so.
void ForwardWorker::State::closeUnread(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    context_.metrics_.add(Counter::ConnectionsUnread);
}

/// Closes the connections that wait, in the kernel too, and from which nothing was read.
void ForwardWorker::State::stopAccepting()
{
    stopsAccepting_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (AcceptedConnection& connection : std::exchange(accepted_, {}))
        closeUnread(connection.socket_);
}

/// Accepts the connections that wait in the kernel, so that their waiting time is known.
void ForwardWorker::State::acceptWaiting()
{
    for (;;) {
        tcp::socket socket(io_);
        boost::system::error_code code;
        acceptor_.accept(socket, code);
        if (code)
            return;
        accepted_.push_back({ std::move(socket), steadyNow() });
    }
}

asio::awaitable<void> ForwardWorker::State::acceptLoop()
{
    CountGuard accepting(context_.acceptors_);
    for (;;) {
        auto [code, socket] = co_await acceptor_.async_accept(asTuple);
        if (!code && stopsAccepting_)
            closeUnread(socket);
        if (code == asio::error::operation_aborted || stopsAccepting_)
            co_return;
        if (code) {
            logger_.warn("Accept failed: " + code.message() + ".");
            SteadyTimer pause(io_, acceptPause);
            (void)co_await pause.async_wait(asTuple);
            continue;
        }
        accepted_.push_back({ std::move(socket), steadyNow() });
        acceptWaiting();
        hasAccepted_.notify();
    }
}

/// Serves accepted connections, one each time the event loop has come round, so that connections
/// whose requests it cannot process yet stay unread. Those that wait for too long are closed.
asio::awaitable<void> ForwardWorker::State::admitLoop()
{
    for (;;) {
        if (accepted_.empty()) {
            (void)co_await hasAccepted_.waitUntil(SteadyTime::max());
            continue;
        }
        AcceptedConnection next = std::move(accepted_.front());
        accepted_.pop_front();
        SteadyTime now = steadyNow();
        auto delay = std::chrono::duration_cast<milliseconds>(now - next.acceptedAt_);
        gate_.noteDelay(delay, now);
        if (!gate_.admits(now) || context_.connections_ >= context_.settings_.maxCallerConnections_) {
            closeUnread(next.socket_);
            continue;
        }
        asio::co_spawn(io_, serveConnection(std::make_shared<CallerConnection>(std::move(next.socket_))), asio::detached);
        co_await asio::post(io_, asio::use_awaitable);
    }
}

asio::awaitable<void> ForwardWorker::State::sweepLoop()
{
    for (;;) {
        SteadyTimer timer(io_, sweepPeriod);
        (void)co_await timer.async_wait(asTuple);
        pool_.expire(steadyNow());
    }
}

ForwardWorker::ForwardWorker(asio::io_context& io, ForwardContext& context)
    : state_(std::make_shared<State>(io, context))
{
}

ForwardWorker::~ForwardWorker() = default;

Result<std::uint16_t> ForwardWorker::listen(const Endpoint& endpoint)
{
    boost::system::error_code code;
    tcp::endpoint address(asio::ip::make_address(endpoint.host_, code), endpoint.port_);
    tcp::acceptor& acceptor = state_->acceptor_;
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    if (!code)
        acceptor.open(address.protocol(), code);
    if (!code)
        acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        acceptor.set_option(ReusePort(true), code);
    if (!code)
        acceptor.bind(address, code);
    if (!code)
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (!code)
        acceptor.non_blocking(true, code);
    if (code)
        return Error { Errc::Unavailable, "listen for callers", endpoint.toString(), code.message(), Ran::No, {} };
    asio::co_spawn(
        state_->io_, [state = state_] { return state->acceptLoop(); }, asio::detached);
    asio::co_spawn(
        state_->io_, [state = state_] { return state->admitLoop(); }, asio::detached);
    asio::co_spawn(
        state_->io_, [state = state_] { return state->sweepLoop(); }, asio::detached);
    return acceptor.local_endpoint().port();
}

void ForwardWorker::closeIdle()
{
    asio::post(state_->io_, [state = state_] {
        for (const auto& caller : state->callers_) {
            if (caller->hasStayedIdle())
                caller->abort();
        }
    });
}

void ForwardWorker::abortAll()
{
    asio::post(state_->io_, [state = state_] {
        state->stopAccepting();
        for (const auto& caller : state->callers_)
            caller->abortByNode();
    });
}

} // namespace pistachioloom
