//===- test/Platform/ScriptedServer.h - server whose bytes a test chooses --===//
///
/// \file
/// A backend server that handles each connection as a test says.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <thread>

namespace pistachioloom::test {

/// Serves on a loopback port until its destruction, on a thread of its own.
class ScriptedServer {
public:
    /// Handles a connection whose first request has arrived, given with its headers. The connection is
    /// closed when the function returns.
    using Script = std::function<asio::awaitable<void>(asio::ip::tcp::socket& socket, const std::string& head)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    Endpoint endpoint() const;

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    Script script_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/// Returns the value of header \p name in \p head, or an empty text.
std::string headerIn(const std::string& head, const std::string& name);

} // namespace pistachioloom::test
