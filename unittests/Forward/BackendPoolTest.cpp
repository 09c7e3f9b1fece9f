//===- unittests/Forward/BackendPoolTest.cpp - connections that are counted ===//
///
/// \file
/// Connections count from their making to their end, also while they are kept.
//===----------------------------------------------------------------------===//
#include "BackendPool.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

TEST_CASE("connections to a backend server count until they end", "[forward]")
{
    asio::io_context io;
    BackendPool pool(io.get_executor());
    const BackendId backend { "b" };
    CHECK(pool.openTo(backend) == 0);
    BackendConnectionPtr first = pool.make(backend);
    BackendConnectionPtr second = pool.make(backend);
    CHECK(pool.openTo(backend) == 2);
    CHECK(pool.openTo({ "other" }) == 0);
    pool.put(std::move(first));
    CHECK(pool.openTo(backend) == 2);
    // A kept one that is past its time is closed and counts no more.
    pool.expire(steadyNow());
    CHECK(pool.openTo(backend) == 1);
    second.reset();
    CHECK(pool.openTo(backend) == 0);
    pool.expire(steadyNow());
    BackendConnectionPtr third = pool.make(backend);
    CHECK(pool.openTo(backend) == 1);
}

TEST_CASE("a request that is given up is reset, so that nothing of it comes later", "[forward]")
{
    using tcp = asio::ip::tcp;
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    BackendPool pool(io.get_executor());
    bool isGivenUp = GENERATE(true, false);
    BackendConnectionPtr connection = pool.make({ "b" });
    connection->socket_.connect(acceptor.local_endpoint());
    tcp::socket server = acceptor.accept();
    isGivenUp ? connection->abort() : connection->close();
    char byte = 0;
    boost::system::error_code code;
    (void)server.read_some(asio::buffer(&byte, 1), code);
    CHECK(code == (isGivenUp ? boost::system::error_code(asio::error::connection_reset) : boost::system::error_code(asio::error::eof)));
}
