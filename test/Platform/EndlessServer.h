//===- test/Platform/EndlessServer.h - server that never stops sending ----===//
///
/// \file
/// A server that answers every request with a beginning and then one text again and
/// again, until the other end closes the connection.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"

#include <boost/asio/io_context.hpp>
#include <thread>

namespace pistachioloom::test {

/// What an EndlessServer sends.
struct EndlessAnswer {
    /// "ID" is replaced with the id of the caller's attempt.
    std::string beginning_;
    std::string repeated_;
    /// Time between two repetitions. With 0 they are sent as fast as they are read.
    milliseconds pause_ {};
    /// Whether the answer begins with the connection, before a request. It then has no id.
    bool precedesRequest_ = false;
};

/// Serves on a loopback port until its destruction.
class EndlessServer {
public:
    explicit EndlessServer(EndlessAnswer answer);
    ~EndlessServer();
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    Endpoint endpoint() const;

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    EndlessAnswer answer_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace pistachioloom::test
