//===- test/Harness/TcpProxySet.cpp - proxies that can be partitioned -----===//
///
/// \file
/// See TcpProxySet.h.
//===----------------------------------------------------------------------===//
#include "TcpProxySet.h"

#include <future>

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

struct TcpProxySet::Link {
    explicit Link(tcp::socket caller)
        : caller_(std::move(caller))
        , target_(caller_.get_executor())
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        caller_.close(ignored);
        target_.close(ignored);
    }

    tcp::socket caller_;
    tcp::socket target_;
};

TcpProxySet::TcpProxySet()
    : work_(asio::make_work_guard(io_))
    , thread_([this] { io_.run(); })
{
}

TcpProxySet::~TcpProxySet()
{
    io_.stop();
    thread_.join();
}

std::uint16_t TcpProxySet::add(const Endpoint& target)
{
    auto acceptor = std::make_shared<tcp::acceptor>(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(io_, accept(acceptor, target), asio::detached);
    return acceptor->local_endpoint().port();
}

void TcpProxySet::setPartitioned(bool isPartitioned)
{
    std::promise<void> done;
    asio::post(io_, [&] {
        isPartitioned_ = isPartitioned;
        for (const auto& link : links_)
            link->close();
        links_.clear();
        done.set_value();
    });
    done.get_future().get();
}

void TcpProxySet::setDelay(milliseconds delay)
{
    delay_ = delay;
}

asio::awaitable<void> TcpProxySet::accept(std::shared_ptr<tcp::acceptor> acceptor, Endpoint target)
{
    for (;;) {
        auto [code, socket] = co_await acceptor->async_accept(asTuple);
        if (code)
            co_return;
        if (isPartitioned_)
            continue;
        auto link = std::make_shared<Link>(std::move(socket));
        tcp::endpoint address(asio::ip::make_address(target.host_), target.port_);
        auto [connectCode] = co_await link->target_.async_connect(address, asTuple);
        if (connectCode || isPartitioned_) {
            link->close();
            continue;
        }
        links_.insert(link);
        asio::co_spawn(io_, forwardBytes(link, true), asio::detached);
        asio::co_spawn(io_, forwardBytes(link, false), asio::detached);
    }
}

asio::awaitable<void> TcpProxySet::forwardBytes(std::shared_ptr<Link> link, bool isToTarget)
{
    tcp::socket& from = isToTarget ? link->caller_ : link->target_;
    tcp::socket& to = isToTarget ? link->target_ : link->caller_;
    std::vector<char> buffer(64UL * 1024);
    for (;;) {
        auto [code, count] = co_await from.async_read_some(asio::buffer(buffer), asTuple);
        if (code)
            break;
        if (isToTarget && delay_.load() > milliseconds(0))
            co_await sleepFor(delay_.load());
        auto [writeCode, written] = co_await asio::async_write(to, asio::buffer(buffer, count), asTuple);
        if (writeCode)
            break;
    }
    link->close();
    links_.erase(link);
}

} // namespace pistachioloom::test
