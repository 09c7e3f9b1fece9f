//===- test/Platform/Soak/FaultProxy.cpp - proxy that injects faults ------===//
///
/// \file
/// See FaultProxy.h.
//===----------------------------------------------------------------------===//
#include "FaultProxy.h"

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Interval at which a stalled direction checks whether it may forward again.
    constexpr milliseconds stallPollPeriod { 10 };
    constexpr std::size_t bufferSize = 16UL * 1024;

} // namespace

std::string_view toString(LinkFault fault)
{
    switch (fault) {
    case LinkFault::None:
        return "none";
    case LinkFault::Delayed:
        return "delayed";
    case LinkFault::Reset:
        return "reset";
    case LinkFault::Stalled:
        return "stalled";
    case LinkFault::StalledToClient:
        return "stalled_to_client";
    case LinkFault::StalledToServer:
        return "stalled_to_server";
    case LinkFault::Refused:
        return "refused";
    }
    return "unknown";
}

struct FaultProxy::Link {
    explicit Link(tcp::socket client)
        : client_(std::move(client))
        , server_(client_.get_executor())
    {
    }

    /// Closes both sockets. A linger time of zero makes the close a reset.
    void close(bool isReset)
    {
        boost::system::error_code ignored;
        if (isReset) {
            client_.set_option(asio::socket_base::linger(true, 0), ignored);
            server_.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        client_.close(ignored);
        server_.close(ignored);
    }

    tcp::socket client_;
    tcp::socket server_;
    int endedDirections_ = 0;
};

FaultProxy::FaultProxy(asio::io_context& io, Endpoint target)
    : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , port_(acceptor_.local_endpoint().port())
    , target_(std::move(target))
{
    asio::co_spawn(io, accept(), asio::detached);
}

Endpoint FaultProxy::endpoint() const
{
    return { "127.0.0.1", port_ };
}

void FaultProxy::set(LinkFault fault, milliseconds delay)
{
    fault_ = fault;
    delay_ = delay;
    if (fault != LinkFault::Reset && fault != LinkFault::Refused)
        return;
    for (const auto& link : links_)
        link->close(true);
    links_.clear();
    if (fault == LinkFault::Reset)
        fault_ = LinkFault::None;
}

bool FaultProxy::canForward(bool isToServer) const
{
    if (fault_ == LinkFault::Stalled)
        return false;
    return fault_ != (isToServer ? LinkFault::StalledToServer : LinkFault::StalledToClient);
}

asio::awaitable<void> FaultProxy::accept()
{
    for (;;) {
        auto [code, socket] = co_await acceptor_.async_accept(asTuple);
        if (code)
            co_return;
        auto link = std::make_shared<Link>(std::move(socket));
        tcp::endpoint address(asio::ip::make_address(target_.host_), target_.port_);
        auto [connectCode] = co_await link->server_.async_connect(address, asTuple);
        if (connectCode || fault_ == LinkFault::Refused) {
            link->close(true);
            if (connectCode != asio::error::connection_refused)
                continue;
            // The server process has ended, so the proxy stops listening as well. With a
            // mere link fault the server still listens.
            stopListening();
            co_return;
        }
        links_.insert(link);
        asio::co_spawn(acceptor_.get_executor(), forwardBytes(link, true), asio::detached);
        asio::co_spawn(acceptor_.get_executor(), forwardBytes(link, false), asio::detached);
    }
}

/// Refuses connections from now on. The port stays bound, so that no other process gets it.
void FaultProxy::stopListening()
{
    boost::system::error_code ignored;
    tcp::endpoint address = acceptor_.local_endpoint(ignored);
    acceptor_.close(ignored);
    acceptor_.open(address.protocol(), ignored);
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ignored);
    acceptor_.bind(address, ignored);
}

asio::awaitable<void> FaultProxy::forwardBytes(std::shared_ptr<Link> link, bool isToServer)
{
    tcp::socket& from = isToServer ? link->client_ : link->server_;
    tcp::socket& to = isToServer ? link->server_ : link->client_;
    SteadyTimer timer(acceptor_.get_executor());
    std::vector<char> buffer(bufferSize);
    bool isCleanEnd = false;
    for (;;) {
        auto [code, count] = co_await from.async_read_some(asio::buffer(buffer), asTuple);
        isCleanEnd = code == asio::error::eof;
        if (code)
            break;
        if (fault_ == LinkFault::Delayed) {
            timer.expires_after(delay_);
            (void)co_await timer.async_wait(asTuple);
        }
        while (!canForward(isToServer) && to.is_open()) {
            timer.expires_after(stallPollPeriod);
            (void)co_await timer.async_wait(asTuple);
        }
        auto [writeCode, written] = co_await asio::async_write(to, asio::buffer(buffer, count), asTuple);
        if (writeCode)
            break;
    }
    boost::system::error_code ignored;
    if (isCleanEnd)
        to.shutdown(tcp::socket::shutdown_send, ignored);
    // After a half-close the other direction may still carry bytes.
    if (++link->endedDirections_ < 2 && isCleanEnd)
        co_return;
    link->close(!isCleanEnd);
    links_.erase(link);
}

} // namespace pistachioloom::test
