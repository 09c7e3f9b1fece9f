//===- test/Harness/Relay.cpp - a connection that can be cut ---------------===//
///
/// \file
/// See Relay.h.
//===----------------------------------------------------------------------===//
#include "Relay.h"

#include <future>

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto tokenOf = asio::as_tuple(asio::use_awaitable);

} // namespace

struct RelaySet::Link {
    explicit Link(tcp::socket near)
        : near_(std::move(near))
        , far_(near_.get_executor())
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        near_.close(ignored);
        far_.close(ignored);
    }

    tcp::socket near_;
    tcp::socket far_;
};

RelaySet::RelaySet()
    : work_(asio::make_work_guard(io_))
    , thread_([this] { io_.run(); })
{
}

RelaySet::~RelaySet()
{
    io_.stop();
    thread_.join();
}

std::uint16_t RelaySet::add(const Endpoint& target)
{
    auto acceptor = std::make_shared<tcp::acceptor>(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(io_, accept(acceptor, target), asio::detached);
    return acceptor->local_endpoint().port();
}

void RelaySet::setCut(bool isCut)
{
    std::promise<void> done;
    asio::post(io_, [&] {
        isCut_ = isCut;
        for (const auto& link : links_)
            link->close();
        links_.clear();
        done.set_value();
    });
    done.get_future().get();
}

void RelaySet::setDelay(milliseconds delay)
{
    delay_ = delay;
}

asio::awaitable<void> RelaySet::accept(std::shared_ptr<tcp::acceptor> acceptor, Endpoint target)
{
    for (;;) {
        auto [code, socket] = co_await acceptor->async_accept(tokenOf);
        if (code)
            co_return;
        if (isCut_)
            continue;
        auto link = std::make_shared<Link>(std::move(socket));
        tcp::endpoint address(asio::ip::make_address(target.host_), target.port_);
        auto [connectCode] = co_await link->far_.async_connect(address, tokenOf);
        if (connectCode || isCut_) {
            link->close();
            continue;
        }
        links_.insert(link);
        asio::co_spawn(io_, pump(link, true), asio::detached);
        asio::co_spawn(io_, pump(link, false), asio::detached);
    }
}

asio::awaitable<void> RelaySet::pump(std::shared_ptr<Link> link, bool isUpward)
{
    tcp::socket& from = isUpward ? link->near_ : link->far_;
    tcp::socket& to = isUpward ? link->far_ : link->near_;
    std::vector<char> buffer(64UL * 1024);
    for (;;) {
        auto [code, count] = co_await from.async_read_some(asio::buffer(buffer), tokenOf);
        if (code)
            break;
        if (isUpward && delay_.load() > milliseconds(0))
            co_await sleepFor(delay_.load());
        auto [writeCode, written] = co_await asio::async_write(to, asio::buffer(buffer, count), tokenOf);
        if (writeCode)
            break;
    }
    link->close();
    links_.erase(link);
}

} // namespace pistachioloom::test
