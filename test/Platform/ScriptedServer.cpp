//===- test/Platform/ScriptedServer.cpp - server whose bytes a test chooses -===//
///
/// \file
/// See ScriptedServer.h.
//===----------------------------------------------------------------------===//
#include "ScriptedServer.h"

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

static constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

std::string headerIn(const std::string& head, const std::string& name)
{
    std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    at += name.size() + 4;
    return head.substr(at, head.find('\r', at) - at);
}

ScriptedServer::ScriptedServer(Script script)
    : script_(std::move(script))
    , acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    asio::co_spawn(io_, accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
}

ScriptedServer::~ScriptedServer()
{
    io_.stop();
    thread_.join();
}

Endpoint ScriptedServer::endpoint() const
{
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
}

asio::awaitable<void> ScriptedServer::accept()
{
    for (;;) {
        auto [code, socket] = co_await acceptor_.async_accept(asTuple);
        if (code)
            co_return;
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> ScriptedServer::serve(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::string head;
    auto [code, size] = co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", asTuple);
    // Probes connect and send nothing.
    if (!code)
        co_await script_(socket, head);
}

} // namespace pistachioloom::test
