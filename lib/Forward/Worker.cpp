//===- lib/Forward/Worker.cpp - accepts callers ----------------------------===//
///
/// \file
/// One worker serves its connections on one thread.
//===----------------------------------------------------------------------===//
#include "RequestForwarder.h"

#include <unordered_set>

namespace pistachioloom {

using tcp = asio::ip::tcp;

namespace {

    // Kept connections past their time are closed this often.
    constexpr milliseconds sweepPeriod { 1000 };
    // After a failed accept (no descriptors left) there is a pause.
    constexpr milliseconds acceptPause { 20 };
    // A closing connection waits so long for the caller's close, so that an
    // answer on its way is not reset.
    constexpr milliseconds lingerTime { 500 };

} // namespace

struct ForwardWorker::State : std::enable_shared_from_this<ForwardWorker::State> {
    State(asio::io_context& io, ForwardContext& context)
        : io_(io)
        , context_(context)
        , pool_(io.get_executor())
        , acceptor_(io)
    {
    }

    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serveConnection(std::shared_ptr<CallerConnection> caller);
    asio::awaitable<bool> serveRequests(std::shared_ptr<CallerConnection> caller);
    asio::awaitable<void> answerBadRequest(CallerConnection& caller, const Error& error);
    void logUnanswered(const CallerConnection& caller) const;
    asio::awaitable<void> sweepLoop();
    CallerBounds bounds() const;

    asio::io_context& io_;
    ForwardContext& context_;
    ConnectionPool pool_;
    tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<CallerConnection>> callers_;
    Logger logger_ { "forward" };
};

CallerBounds ForwardWorker::State::bounds() const
{
    auto table = context_.hooks_.table_();
    return table ? table->configuration().bounds_ : CallerBounds {};
}

asio::awaitable<void> ForwardWorker::State::answerBadRequest(CallerConnection& caller, const Error& error)
{
    logger_.info("Bad request: " + describe(error) + " status=" + std::to_string(caller.badStatus()));
    context_.metrics_.add(Counter::RequestsRefused);
    HeaderFields fields;
    fields.push_back({ "Content-Type", "text/plain" });
    std::string bytes = renderAnswer(caller.badStatus(), fields, error.message_ + "\n", std::nullopt);
    (void)co_await caller.write(std::move(bytes));
}

/// What a caller sent is lost with its connection: without this line such a request
/// leaves no trace on the node, since its course never began.
void ForwardWorker::State::logUnanswered(const CallerConnection& caller) const
{
    if (!caller.unansweredBytes().value_)
        return;
    LogLine line("Connection ends with unanswered bytes.");
    line.add("bytes", static_cast<std::int64_t>(caller.unansweredBytes().value_)).add("idle_ms", caller.idleTime().count());
    line.add("caller_left", caller.isDisconnected()).add("peer", caller.peer());
    logger_.warn(line);
}

/// \returns whether an answer may still be on its way to the caller.
asio::awaitable<bool> ForwardWorker::State::serveRequests(std::shared_ptr<CallerConnection> caller)
{
    for (;;) {
        auto request = co_await caller->next(bounds());
        if (!request)
            co_return false;
        if (!*request) {
            co_await answerBadRequest(*caller, request->error());
            co_return true;
        }
        CountGuard running(context_.running_);
        auto forwarding = std::make_shared<RequestForwarder>(context_, pool_, caller, std::move(request->value()));
        if (!co_await forwarding->run())
            co_return true;
    }
}

/// After an answer the caller's bytes are read until it has closed, or a reset could
/// overtake the answer. After idle time they are not: a request that crosses the close
/// must stay unread, which tells its caller that it has not run.
asio::awaitable<void> ForwardWorker::State::serveConnection(std::shared_ptr<CallerConnection> caller)
{
    CountGuard counted(context_.connections_);
    callers_.insert(caller);
    caller->start();
    bool mayHaveAnswerInFlight = co_await serveRequests(caller);
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

asio::awaitable<void> ForwardWorker::State::acceptLoop()
{
    for (;;) {
        auto [code, socket] = co_await acceptor_.async_accept(asTuple);
        if (code == asio::error::operation_aborted)
            co_return;
        if (code) {
            logger_.warn("Accept failed: " + code.message() + ".");
            SteadyTimer pause(io_, acceptPause);
            (void)co_await pause.async_wait(asTuple);
            continue;
        }
        asio::co_spawn(io_, serveConnection(std::make_shared<CallerConnection>(std::move(socket))), asio::detached);
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
    if (code)
        return Error { Errc::Unavailable, "listen for callers", endpoint.toString(), code.message(), Ran::No, {} };
    asio::co_spawn(
        state_->io_, [state = state_] { return state->acceptLoop(); }, asio::detached);
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
        for (const auto& caller : state->callers_)
            caller->abort();
    });
}

} // namespace pistachioloom
