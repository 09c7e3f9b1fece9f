//===- test/Harness/PathProxy.cpp - paths from one node to servers --------===//
///
/// \file
/// See PathProxy.h.
//===----------------------------------------------------------------------===//
#include "PathProxy.h"

#include <future>
#include <stdexcept>

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Connections that wait in an accept queue of length 0; further ones are not answered.
    constexpr int queuedConnections = 2;
    constexpr milliseconds hangCheckPeriod { 20 };

    void reset(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

} // namespace

struct PathProxies::Link {
    explicit Link(tcp::socket caller)
        : caller_(std::move(caller))
        , target_(caller_.get_executor())
    {
    }

    tcp::socket caller_;
    tcp::socket target_;
};

std::string_view toString(PathFault fault)
{
    switch (fault) {
    case PathFault::None:
        return "none";
    case PathFault::Hang:
        return "hang";
    case PathFault::Reset:
        return "reset";
    case PathFault::RefuseNew:
        return "refuse new";
    }
    return "unknown";
}

PathProxies::PathProxies()
    : work_(asio::make_work_guard(io_))
    , thread_([this] { io_.run(); })
{
}

PathProxies::~PathProxies()
{
    io_.stop();
    thread_.join();
}

/// Runs \p task on the proxies' thread and waits for its end.
void PathProxies::run(const std::function<void()>& task)
{
    std::promise<void> done;
    asio::post(io_, [&] {
        task();
        done.set_value();
    });
    done.get_future().get();
}

void PathProxies::listen(Path& path, int backlog)
{
    boost::system::error_code ignored;
    path.acceptor_.close(ignored);
    path.queued_.clear();
    path.acceptor_.open(tcp::v4());
    path.acceptor_.set_option(tcp::acceptor::reuse_address(true));
    path.acceptor_.bind({ asio::ip::make_address("127.0.0.1"), path.port_ });
    path.acceptor_.listen(backlog);
    path.port_ = path.acceptor_.local_endpoint().port();
}

std::size_t PathProxies::add()
{
    std::size_t index = paths_.size();
    run([&] {
        paths_.push_back(std::make_unique<Path>(io_));
        listen(*paths_.back(), asio::socket_base::max_listen_connections);
        asio::co_spawn(io_, accept(index), asio::detached);
    });
    return index;
}

void PathProxies::setTarget(std::size_t path, const Endpoint& target)
{
    run([&] { paths_[path]->target_ = target; });
}

void PathProxies::apply(Path& path)
{
    boost::system::error_code ignored;
    switch (fault_) {
    case PathFault::None:
        listen(path, asio::socket_base::max_listen_connections);
        break;
    case PathFault::Hang:
        listen(path, 0);
        for (int i = 0; i < queuedConnections; ++i) {
            path.queued_.emplace_back(io_);
            path.queued_.back().async_connect(path.acceptor_.local_endpoint(), [](const boost::system::error_code&) {});
        }
        break;
    case PathFault::Reset:
    case PathFault::RefuseNew:
        path.acceptor_.close(ignored);
        break;
    }
}

void PathProxies::set(PathFault fault)
{
    run([&] {
        fault_ = fault;
        for (std::size_t i = 0; i < paths_.size(); ++i) {
            apply(*paths_[i]);
            if (fault == PathFault::None)
                asio::co_spawn(io_, accept(i), asio::detached);
        }
        // Connections that hung are reset, as those whose packets were lost for long.
        if (fault == PathFault::RefuseNew || fault == PathFault::Hang)
            return;
        for (const auto& link : links_) {
            reset(link->caller_);
            reset(link->target_);
        }
    });
}

asio::awaitable<void> PathProxies::accept(std::size_t index)
{
    Path& path = *paths_[index];
    for (;;) {
        auto [code, socket] = co_await path.acceptor_.async_accept(asTuple);
        if (code)
            co_return;
        auto link = std::make_shared<Link>(std::move(socket));
        boost::system::error_code invalid;
        tcp::endpoint address(asio::ip::make_address(path.target_.host_, invalid), path.target_.port_);
        auto [connectCode] = co_await link->target_.async_connect(address, asTuple);
        if (connectCode) {
            reset(link->caller_);
            continue;
        }
        links_.insert(link);
        asio::co_spawn(io_, copy(link, true), asio::detached);
        asio::co_spawn(io_, copy(link, false), asio::detached);
    }
}

asio::awaitable<void> PathProxies::copy(std::shared_ptr<Link> link, bool isToTarget)
{
    tcp::socket& from = isToTarget ? link->caller_ : link->target_;
    tcp::socket& to = isToTarget ? link->target_ : link->caller_;
    std::string buffer(64UL * 1024, '\0');
    for (;;) {
        auto [code, count] = co_await from.async_read_some(asio::buffer(buffer), asTuple);
        while (fault_ == PathFault::Hang && from.is_open())
            co_await sleepFor(hangCheckPeriod);
        if (code)
            break;
        auto [writeCode, written] = co_await asio::async_write(to, asio::buffer(buffer, count), asTuple);
        if (writeCode)
            break;
    }
    reset(link->caller_);
    reset(link->target_);
    links_.erase(link);
}

} // namespace pistachioloom::test
