//===- lib/Gateway/BackendRelay.cpp - connections through peers -----------===//
///
/// \file
/// See BackendRelay.h.
//===----------------------------------------------------------------------===//
#include "BackendRelay.h"

#include "generated/Peer.pb.h"
#include "pistachioloom/Http.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace pistachioloom {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Connections that a node carries at a time, for each core and at least. A connection takes
    // one stream between the nodes, one socket and a buffer.
    constexpr double maxCarriedPerCore = 400;
    constexpr std::size_t minCarried = 24;
    // Peers that are asked for one connection. More would use up the time of the request.
    constexpr std::size_t maxPeersAsked = 2;
    // A peer that did not answer is not asked again for this time.
    constexpr milliseconds avoidanceTime { 1000 };
    // How many carried connections the network latency to another data centre is worth.
    constexpr std::size_t remoteHandicap = 2;
    // Time of a peer to try the connection, as a part of the time that is left for its answer.
    constexpr int connectDivisor = 2;
    constexpr std::size_t copySize = 16UL * 1024;

    wire::Frame dataFrame(std::string bytes)
    {
        wire::Frame frame;
        frame.mutable_relay_data()->set_bytes(std::move(bytes));
        return frame;
    }

    wire::Frame failureFrame(const Error& error)
    {
        wire::Frame frame;
        *frame.mutable_failure() = toWire(error);
        return frame;
    }

    asio::awaitable<Result<std::string>> receiveBytes(std::shared_ptr<PeerStream> stream)
    {
        auto frame = co_await stream->receive();
        if (!frame)
            co_return frame.error();
        if (!frame.value().has_relay_data())
            co_return Error { Errc::Protocol, "receive relayed bytes", stream->peer(), "unexpected frame", Ran::Unknown, {} };
        co_return std::move(*frame.value().mutable_relay_data()->mutable_bytes());
    }

    asio::awaitable<Result<void>> sendBytes(std::shared_ptr<PeerStream> stream, std::string bytes)
    {
        wire::Frame frame = dataFrame(std::move(bytes));
        co_return co_await stream->send(frame);
    }

    void abortSocket(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    /// A connection to a backend server that is carried for a peer.
    struct CarriedConnection {
        std::shared_ptr<tcp::socket> socket_;
        std::shared_ptr<PeerStream> stream_;
        WriteState write_;
    };

    /// Copies what the backend server sends. An orderly close is passed on as one, since it ends
    /// an answer without a length; a reset is not.
    asio::awaitable<void> copyFromBackend(std::shared_ptr<CarriedConnection> carried)
    {
        std::string buffer(copySize, '\0');
        for (;;) {
            auto [code, count] = co_await carried->socket_->async_read_some(asio::buffer(buffer), asTuple);
            boost::system::error_code error = code;
            if (code == asio::error::eof)
                error = co_await errorAtEnd(*carried->socket_, carried->write_);
            if (code && !error) {
                carried->stream_->finish();
                co_return;
            }
            if (error) {
                carried->stream_->cancel();
                co_return;
            }
            std::string bytes = buffer.substr(0, count);
            auto sent = co_await sendBytes(carried->stream_, std::move(bytes));
            if (!sent) {
                abortSocket(*carried->socket_);
                co_return;
            }
        }
    }

    asio::awaitable<void> copyToBackend(std::shared_ptr<CarriedConnection> carried)
    {
        for (;;) {
            auto bytes = co_await receiveBytes(carried->stream_);
            if (!bytes)
                break;
            // A backend server may answer, and close, without reading the whole request. Its answer
            // may still have to be copied, so the rest of the request is received and discarded.
            if (carried->write_.error_)
                continue;
            carried->write_.isInProgress_ = true;
            auto [code, count] = co_await asio::async_write(*carried->socket_, asio::buffer(bytes.value()), asTuple);
            carried->write_ = { false, code };
        }
        // The requesting node has ended the connection, or the link to it is lost: the backend
        // server must not go on with the request.
        abortSocket(*carried->socket_);
        carried->stream_->cancel();
    }

} // namespace

std::vector<Carrier> rankCarriers(std::vector<Carrier> carriers, const DataCentreId& own, std::uint64_t draw)
{
    auto keyOf = [&](const Carrier& carrier) {
        bool isLocal = carrier.peer_.second.dataCentre_ == own;
        return std::pair(carrier.carried_ + (isLocal ? 0 : remoteHandicap), mixBits(draw ^ stableHash(carrier.peer_.first.value_)));
    };
    std::sort(carriers.begin(), carriers.end(), [&](const Carrier& left, const Carrier& right) { return keyOf(left) < keyOf(right); });
    return carriers;
}

BackendRelay::BackendRelay(GatewayContext& context, PeerPool& peers, FindCarriers findCarriers)
    : context_(context)
    , peers_(peers)
    , findCarriers_(std::move(findCarriers))
    , maxCarried_(std::max(minCarried, static_cast<std::size_t>(context.settings_.cores_ * maxCarriedPerCore)))
{
}

std::vector<Carrier> BackendRelay::carriersOf(const ServiceName& service, SteadyTime now)
{
    std::vector<Carrier> carriers;
    std::vector<KnownPeer> peers = findCarriers_(service);
    std::lock_guard lock(use_->mutex_);
    std::erase_if(use_->avoidedUntil_, [&](const auto& entry) { return entry.second <= now; });
    for (KnownPeer& peer : peers) {
        auto open = use_->open_.find(peer.first);
        if (!use_->avoidedUntil_.contains(peer.first))
            carriers.push_back({ std::move(peer), open == use_->open_.end() ? 0 : open->second });
    }
    return rankCarriers(std::move(carriers), context_.settings_.dataCentre_, randomBits());
}

asio::awaitable<Result<RelayedConnection>> BackendRelay::open(BackendRecord backend, milliseconds timeout)
{
    SteadyTime deadline = steadyNow() + timeout;
    std::vector<Carrier> carriers = carriersOf(backend.service_, steadyNow());
    Error error { Errc::NotFound, "reach backend server through a peer", backend.id_.value_, "no peer reaches the service", Ran::No, {} };
    for (std::size_t i = 0; i < std::min(carriers.size(), maxPeersAsked); ++i) {
        auto left = std::chrono::duration_cast<milliseconds>(deadline - steadyNow());
        if (left <= milliseconds(0))
            break;
        // Time is left for the next peer if this one does not answer.
        milliseconds share = i + 1 < std::min(carriers.size(), maxPeersAsked) ? left / 2 : left;
        KnownPeer peer = carriers[i].peer_;
        auto opened = co_await openThrough(peer, backend, share);
        if (opened)
            co_return opened;
        error = opened.error();
        if (error.code_ != Errc::Overloaded) {
            std::lock_guard lock(use_->mutex_);
            use_->avoidedUntil_[peer.first] = steadyNow() + (error.code_ == Errc::Unavailable ? avoidanceTime / 4 : avoidanceTime);
        }
        logger_.info(LogLine("Peer did not open a connection to a backend server.").add("peer", peer.first.value_).add("backend", backend.id_.value_).add("why", describe(error)));
    }
    co_return error;
}

asio::awaitable<Result<RelayedConnection>> BackendRelay::openThrough(KnownPeer peer, BackendRecord backend, milliseconds timeout)
{
    SteadyTime deadline = steadyNow() + timeout;
    wire::Frame request;
    request.mutable_relay_open()->set_backend(backend.id_.value_);
    request.mutable_relay_open()->set_connect_timeout_ms(static_cast<std::uint64_t>((timeout / connectDivisor).count()));
    auto stream = co_await peers_.open(peer.second.peerEndpoint_, request, timeout);
    if (!stream)
        co_return stream.error();
    auto left = std::chrono::duration_cast<milliseconds>(deadline - steadyNow());
    auto answer = co_await stream.value()->receiveWithin(std::max(left, milliseconds(1)));
    if (!answer)
        co_return answer.error();
    if (answer.value().has_failure())
        co_return fromWire(answer.value().failure());
    if (!answer.value().has_ack()) {
        stream.value()->cancel();
        co_return Error { Errc::Protocol, "reach backend server through a peer", peer.first.value_, "unexpected frame", Ran::No, {} };
    }
    context_.metrics_.add(Counter::ConnectionsRelayed);
    {
        std::lock_guard lock(use_->mutex_);
        ++use_->open_[peer.first];
    }
    // The count ends with the last function that uses the stream.
    std::shared_ptr<PeerStream> counted(stream.value().get(), [owner = stream.value(), use = use_, vm = peer.first](PeerStream*) {
        owner->cancel();
        std::lock_guard lock(use->mutex_);
        if (!--use->open_[vm])
            use->open_.erase(vm);
    });
    RelayedConnection connection { peer.first, [counted] { return receiveBytes(counted); }, [counted](std::string bytes) { return sendBytes(counted, std::move(bytes)); }, [counted] { counted->cancel(); } };
    co_return connection;
}

/// Returns why this node does not connect to \p backend for a peer, if so.
std::optional<Error> BackendRelay::rejectionOf(const std::optional<BackendRecord>& backend) const
{
    const char* step = "carry connection";
    const std::string& self = context_.settings_.vm_.value_;
    if (!backend)
        return Error { Errc::InvalidInput, step, self, "unknown backend server", Ran::No, {} };
    if (!context_.backends_.mayReceive(backend->id_, steadyNow()))
        return Error { Errc::Conflict, step, self, "backend server takes no requests", Ran::No, {} };
    if (context_.paths_.isLost(backend->service_))
        return Error { Errc::Unavailable, step, self, "service is unreachable from here as well", Ran::No, {} };
    if (context_.isStopping_ || carried_ >= maxCarried_)
        return Error { Errc::Overloaded, step, self, "carries enough connections or is stopping", Ran::No, {} };
    return std::nullopt;
}

asio::awaitable<void> BackendRelay::serve(std::shared_ptr<PeerStream> stream, wire::Frame request)
{
    auto backend = context_.backends_.find({ request.relay_open().backend() });
    if (auto rejection = rejectionOf(backend)) {
        wire::Frame failure = failureFrame(*rejection);
        (void)co_await stream->send(failure);
        co_return;
    }
    ++carried_;
    milliseconds timeout = std::min(context_.settings_.forward_.connectTimeout_, milliseconds(static_cast<std::int64_t>(request.relay_open().connect_timeout_ms())));
    auto connected = co_await connectWithin(backend->endpoint_, timeout);
    if (!connected) {
        context_.paths_.noteConnectionFailed(backend->service_);
        wire::Frame failure = failureFrame({ Errc::Unavailable, "connect to backend server", backend->id_.value_, connected.error().message(), Ran::No, {} });
        (void)co_await stream->send(failure);
        --carried_;
        co_return;
    }
    context_.paths_.noteConnected(backend->service_);
    std::shared_ptr<tcp::socket> socket = std::move(*connected);
    boost::system::error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    context_.metrics_.add(Counter::ConnectionsCarried);
    wire::Frame opened;
    opened.mutable_ack();
    auto sent = co_await stream->send(opened);
    if (sent) {
        auto carried = std::make_shared<CarriedConnection>(CarriedConnection { socket, stream, {} });
        asio::co_spawn(socket->get_executor(), copyFromBackend(carried), asio::detached);
        co_await copyToBackend(carried);
    } else
        abortSocket(*socket);
    --carried_;
}

} // namespace pistachioloom
