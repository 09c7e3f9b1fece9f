//===- test/Platform/Soak/FaultProxy.cpp - connections that misbehave -----===//
///
/// \file
/// See FaultProxy.h.
//===----------------------------------------------------------------------===//
#include "FaultProxy.h"

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // A connection whose bytes are held back looks this often whether they pass.
    constexpr milliseconds heldPeriod { 10 };
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
    case LinkFault::Silent:
        return "silent";
    case LinkFault::DeafUp:
        return "deaf_up";
    case LinkFault::DeafDown:
        return "deaf_down";
    case LinkFault::Refused:
        return "refused";
    }
    return "unknown";
}

struct FaultProxy::Link {
    explicit Link(tcp::socket near)
        : near_(std::move(near))
        , far_(near_.get_executor())
    {
    }

    /// A lingering time of zero makes the close a reset.
    void close(bool isReset)
    {
        boost::system::error_code ignored;
        if (isReset) {
            near_.set_option(asio::socket_base::linger(true, 0), ignored);
            far_.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        near_.close(ignored);
        far_.close(ignored);
    }

    tcp::socket near_;
    tcp::socket far_;
    int ended_ = 0;
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

bool FaultProxy::passes(bool isUpward) const
{
    if (fault_ == LinkFault::Silent)
        return false;
    return fault_ != (isUpward ? LinkFault::DeafDown : LinkFault::DeafUp);
}

asio::awaitable<void> FaultProxy::accept()
{
    for (;;) {
        auto [code, socket] = co_await acceptor_.async_accept(asTuple);
        if (code)
            co_return;
        auto link = std::make_shared<Link>(std::move(socket));
        tcp::endpoint address(asio::ip::make_address(target_.host_), target_.port_);
        auto [connectCode] = co_await link->far_.async_connect(address, asTuple);
        if (connectCode || fault_ == LinkFault::Refused) {
            link->close(true);
            if (connectCode != asio::error::connection_refused)
                continue;
            // Nobody listens where a process has ended, unlike behind a link that is cut.
            boost::system::error_code ignored;
            acceptor_.close(ignored);
            co_return;
        }
        links_.insert(link);
        asio::co_spawn(acceptor_.get_executor(), pump(link, true), asio::detached);
        asio::co_spawn(acceptor_.get_executor(), pump(link, false), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Link> link, bool isUpward)
{
    tcp::socket& from = isUpward ? link->near_ : link->far_;
    tcp::socket& to = isUpward ? link->far_ : link->near_;
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
        while (!passes(isUpward) && to.is_open()) {
            timer.expires_after(heldPeriod);
            (void)co_await timer.async_wait(asTuple);
        }
        auto [writeCode, written] = co_await asio::async_write(to, asio::buffer(buffer, count), asTuple);
        if (writeCode)
            break;
    }
    boost::system::error_code ignored;
    if (isCleanEnd)
        to.shutdown(tcp::socket::shutdown_send, ignored);
    // The other direction may still have bytes after a half-close.
    if (++link->ended_ < 2 && isCleanEnd)
        co_return;
    link->close(!isCleanEnd);
    links_.erase(link);
}

} // namespace pistachioloom::test
