//===- test/Platform/EndlessServer.cpp - server that never stops sending --===//
///
/// \file
/// See EndlessServer.h.
//===----------------------------------------------------------------------===//
#include "EndlessServer.h"

#include <boost/algorithm/string.hpp>
#include <boost/asio.hpp>

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

static constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::size_t writeSize = 32UL * 1024;

static std::string attemptIdOf(const std::string& request)
{
    static const std::string name = "X-Pistachioloom-Attempt-Id: ";
    std::size_t at = request.find(name);
    if (at == std::string::npos)
        return {};
    at += name.size();
    return request.substr(at, request.find('\r', at) - at);
}

EndlessServer::EndlessServer(EndlessAnswer answer)
    : answer_(std::move(answer))
    , acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    asio::co_spawn(io_, accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
}

EndlessServer::~EndlessServer()
{
    io_.stop();
    thread_.join();
}

Endpoint EndlessServer::endpoint() const
{
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
}

asio::awaitable<void> EndlessServer::accept()
{
    for (;;) {
        auto [code, socket] = co_await acceptor_.async_accept(asTuple);
        if (code)
            co_return;
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> EndlessServer::serve(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::string request;
    boost::system::error_code readCode;
    std::size_t size = 0;
    if (!answer_.precedesRequest_)
        std::tie(readCode, size) = co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
    if (readCode)
        co_return;
    std::string bytes = boost::replace_all_copy(answer_.beginning_, "ID", attemptIdOf(request));
    auto [beginCode, begun] = co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
    std::string repeated = answer_.repeated_;
    while (!answer_.pause_.count() && repeated.size() + answer_.repeated_.size() <= writeSize)
        repeated += answer_.repeated_;
    for (boost::system::error_code code = beginCode; !code;) {
        std::tie(code, size) = co_await asio::async_write(socket, asio::buffer(repeated), asTuple);
        if (answer_.pause_.count())
            co_await sleepFor(answer_.pause_);
    }
}

} // namespace pistachioloom::test
