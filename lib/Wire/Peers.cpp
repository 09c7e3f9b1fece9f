//===- lib/Wire/Peers.cpp - peer pool and peer server ----------------------===//
///
/// \file
/// Manages outgoing and incoming links, and converts errors to and from messages.
//===----------------------------------------------------------------------===//
#include "PeerLink.h"

#include "generated/Peer.pb.h"
#include <mutex>
#include <set>

namespace pistachioloom {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr milliseconds maxConnectTime { 1000 };

} // namespace

Error fromWire(const wire::Failure& failure)
{
    return { errcFromString(failure.code()), failure.step(), failure.peer(), failure.message(),
        failure.may_have_run() ? Ran::Unknown : Ran::No, milliseconds(failure.retry_after_ms()) };
}

wire::Failure toWire(const Error& error)
{
    wire::Failure failure;
    failure.set_code(std::string(toString(error.code_)));
    failure.set_step(error.step_);
    failure.set_peer(error.peer_);
    failure.set_message(error.message_);
    failure.set_may_have_run(error.ran_ == Ran::Unknown);
    failure.set_retry_after_ms(static_cast<std::uint64_t>(error.retryAfter_.count()));
    return failure;
}

struct PeerPool::State {
    asio::any_io_executor executor_;
    std::string credential_;
    WireErrorHook onError_;
    KeepAlive keepAlive_;
    std::shared_ptr<WireCounters> counters_ = std::make_shared<WireCounters>();
    std::mutex mutex_;
    std::map<Endpoint, std::shared_ptr<PeerLink>> links_;
    bool isStopped_ = false;
};

PeerPool::PeerPool(asio::any_io_executor executor, std::string credential, WireErrorHook onError, KeepAlive keepAlive)
    : state_(std::make_shared<State>())
{
    state_->executor_ = std::move(executor);
    state_->credential_ = std::move(credential);
    state_->onError_ = std::move(onError);
    state_->keepAlive_ = keepAlive;
}

PeerPool::~PeerPool()
{
    stop();
}

void PeerPool::stop()
{
    std::lock_guard lock(state_->mutex_);
    state_->isStopped_ = true;
    for (auto& [endpoint, link] : state_->links_)
        asio::post(link->executor(), [link = link] { link->close("stopped"); });
    state_->links_.clear();
}

ByteCount PeerPool::bytesSent() const { return { state_->counters_->bytesSent_ }; }
ByteCount PeerPool::bytesReceived() const { return { state_->counters_->bytesReceived_ }; }

static std::shared_ptr<PeerLink> findUsableLink(PeerPool::State& state, const Endpoint& peer)
{
    std::lock_guard lock(state.mutex_);
    auto found = state.links_.find(peer);
    if (found == state.links_.end() || !found->second->isUsable())
        return nullptr;
    return found->second;
}

// Two coroutines may connect concurrently. The link that is made later then replaces the
// earlier one in the pool, and both continue to serve their own streams.
static asio::awaitable<Result<std::shared_ptr<PeerLink>>> connectLink(std::shared_ptr<PeerPool::State> state, Endpoint peer, SteadyTime deadline)
{
    auto left = std::chrono::ceil<milliseconds>(deadline - steadyNow());
    auto strand = asio::make_strand(state->executor_);
    auto connecting = connectWithin(peer, std::clamp(left, milliseconds(0), maxConnectTime));
    auto connected = co_await asio::co_spawn(strand, std::move(connecting), asio::use_awaitable);
    if (!connected) {
        bool isInvalid = connected.error() == asio::error::invalid_argument;
        co_return Error { isInvalid ? Errc::InvalidInput : Errc::Unavailable, "connect to peer", peer.toString(), connected.error().message(), Ran::No, {} };
    }
    boost::system::error_code ignored;
    (*connected)->set_option(tcp::no_delay(true), ignored);
    auto link = std::make_shared<PeerLink>(std::move(**connected), PeerLink::Side::Client, state->credential_, peer.toString(),
        state->counters_, nullptr, state->onError_, state->keepAlive_);
    link->start();
    std::lock_guard lock(state->mutex_);
    if (!state->isStopped_)
        state->links_[peer] = link;
    co_return link;
}

asio::awaitable<Result<std::shared_ptr<PeerStream>>> PeerPool::open(Endpoint peer, const wire::Frame& first, milliseconds timeout)
{
    constexpr int maxTries = 2;
    SteadyTime deadline = steadyNow() + timeout;
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        auto link = findUsableLink(*state_, peer);
        if (!link) {
            auto connected = co_await connectLink(state_, peer, deadline);
            if (!connected)
                co_return connected.error();
            link = connected.value();
        }
        auto stream = std::make_shared<LinkStream>(link, link->executor());
        auto sent = co_await stream->send(first);
        if (!sent)
            co_return sent.error();
        // The lambda has a name because GCC 12 destroys the captures of a temporary lambda
        // in a co_await expression twice.
        auto submit = [link, stream]() -> asio::awaitable<bool> { co_return link->submit(stream); };
        bool isSubmitted = co_await asio::co_spawn(link->executor(), submit, asio::use_awaitable);
        if (isSubmitted)
            co_return std::static_pointer_cast<PeerStream>(stream);
        // Removes the link that accepted no stream, so that the next attempt connects
        // again.
        std::lock_guard lock(state_->mutex_);
        if (auto found = state_->links_.find(peer); found != state_->links_.end() && found->second == link)
            state_->links_.erase(found);
    }
    co_return Error { Errc::Unavailable, "open stream", peer.toString(), "the peer takes no streams", Ran::No, {} };
}

asio::awaitable<Result<wire::Frame>> PeerPool::call(Endpoint peer, const wire::Frame& request, milliseconds timeout)
{
    SteadyTime deadline = steadyNow() + timeout;
    auto opened = co_await open(std::move(peer), request, timeout);
    if (!opened)
        co_return opened.error();
    auto stream = opened.value();
    stream->finish();
    auto remaining = std::chrono::duration_cast<milliseconds>(deadline - steadyNow());
    auto reply = co_await stream->receiveWithin(remaining);
    if (!reply)
        co_return reply.error();
    if (reply.value().has_failure())
        co_return fromWire(reply.value().failure());
    co_return std::move(reply.value());
}

struct PeerServer::State {
    asio::any_io_executor executor_;
    std::string credential_;
    PeerStreamHandler handler_;
    WireErrorHook onError_;
    KeepAlive keepAlive_;
    std::shared_ptr<WireCounters> counters_ = std::make_shared<WireCounters>();
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<PeerLink>> links_;
    bool isDraining_ = false;
    bool isStopped_ = false;
};

PeerServer::PeerServer(asio::any_io_executor executor, std::string credential, PeerStreamHandler handler, WireErrorHook onError, KeepAlive keepAlive)
    : state_(std::make_shared<State>())
{
    state_->executor_ = std::move(executor);
    state_->credential_ = std::move(credential);
    state_->handler_ = std::move(handler);
    state_->onError_ = std::move(onError);
    state_->keepAlive_ = keepAlive;
}

PeerServer::~PeerServer()
{
    stop();
}

static void registerLink(PeerServer::State& state, const std::shared_ptr<PeerLink>& link)
{
    std::lock_guard lock(state.mutex_);
    std::erase_if(state.links_, [](const std::weak_ptr<PeerLink>& known) { return known.expired(); });
    state.links_.push_back(link);
    if (state.isDraining_)
        asio::post(link->executor(), [link] { link->refuseNewStreams(); });
}

static asio::awaitable<void> acceptPeers(std::shared_ptr<PeerServer::State> state)
{
    for (;;) {
        auto strand = asio::make_strand(state->executor_);
        auto [code, socket] = co_await state->acceptor_->async_accept(strand, asTuple);
        if (code == asio::error::operation_aborted)
            co_return;
        if (code)
            continue;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto remote = socket.remote_endpoint(ignored);
        std::string peer = remote.address().to_string() + ":" + std::to_string(remote.port());
        auto link = std::make_shared<PeerLink>(std::move(socket), PeerLink::Side::Server, state->credential_, peer,
            state->counters_, state->handler_, state->onError_, state->keepAlive_);
        registerLink(*state, link);
        link->start();
    }
}

Result<std::uint16_t> PeerServer::listen(const Endpoint& endpoint)
{
    auto bound = bindAcceptor(state_->executor_, endpoint, "listen for peers");
    if (!bound)
        return bound.error();
    auto acceptor = std::move(bound.value());
    std::uint16_t port = acceptor->local_endpoint().port();
    state_->acceptor_ = std::move(acceptor);
    asio::co_spawn(state_->acceptor_->get_executor(), acceptPeers(state_), asio::detached);
    return port;
}

ByteCount PeerServer::bytesSent() const { return { state_->counters_->bytesSent_ }; }
ByteCount PeerServer::bytesReceived() const { return { state_->counters_->bytesReceived_ }; }

void PeerServer::refuseNewStreams()
{
    std::lock_guard lock(state_->mutex_);
    state_->isDraining_ = true;
    for (const auto& weak : state_->links_) {
        if (auto link = weak.lock())
            asio::post(link->executor(), [link] { link->refuseNewStreams(); });
    }
}

void PeerServer::stop()
{
    std::lock_guard lock(state_->mutex_);
    if (std::exchange(state_->isStopped_, true))
        return;
    if (state_->acceptor_) {
        asio::post(state_->acceptor_->get_executor(), [state = state_] {
            boost::system::error_code ignored;
            state->acceptor_->close(ignored);
        });
    }
    for (const auto& weak : state_->links_) {
        if (auto link = weak.lock())
            asio::post(link->executor(), [link] { link->close("stopped"); });
    }
}

} // namespace pistachioloom
