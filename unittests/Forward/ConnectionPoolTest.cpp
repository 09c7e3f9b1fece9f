//===- unittests/Forward/ConnectionPoolTest.cpp - pooled connections ------===//
///
/// \file
/// Tests the connection count, the usable part of idle timeouts, and the abort of connections.
//===----------------------------------------------------------------------===//
#include "ConnectionPool.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

TEST_CASE("a connection counts from its creation to its destruction, also while it is kept", "[forward]")
{
    asio::io_context io;
    ConnectionPool pool(io.get_executor());
    const BackendId backend { "b" };
    CHECK(pool.openCount(backend) == 0);
    BackendConnectionPtr first = pool.make(backend);
    BackendConnectionPtr second = pool.make(backend);
    CHECK(pool.openCount(backend) == 2);
    CHECK(pool.openCount({ "other" }) == 0);
    pool.put(std::move(first));
    CHECK(pool.openCount(backend) == 2);
    // A kept connection that is no longer usable is closed and no longer counts.
    pool.expire(steadyNow());
    CHECK(pool.openCount(backend) == 1);
    second.reset();
    CHECK(pool.openCount(backend) == 0);
    pool.expire(steadyNow());
    BackendConnectionPtr third = pool.make(backend);
    CHECK(pool.openCount(backend) == 1);
}

TEST_CASE("a kept connection is not used in the last part of its idle timeout", "[forward]")
{
    struct Row {
        const char* keepAlive_;
        std::int64_t usable_;
    };
    // The default idle timeout is 2,000 ms. Its last fifth is not used, and of any timeout at
    // least the last 300 ms.
    auto row = GENERATE(values<Row>({
        { "", 1600 },
        { "timeout=5", 4000 },
        { "timeout=15, max=100", 12000 },
        { "max=100, timeout=15", 12000 },
        { "Timeout = 5", 4000 },
        { "timeout=\"5\"", 4000 },
        { "timeout=2", 1600 },
        { "timeout=1", 700 },
        { "timeout=0", 0 },
        { "max=3", 1600 },
        { "timeout=", 1600 },
        { "timeout=soon", 1600 },
        { "timeout=-1", 1600 },
        { "hard-timeout=9", 1600 },
        { "timeout", 1600 },
        { "timeout=3600", 2880000 },
        { "timeout=18446744073709551615", 2880000 },
        { "timeout=18446744073709551616", 1600 },
    }));
    CAPTURE(row.keepAlive_);
    CHECK(usableIdle(row.keepAlive_, {}) == milliseconds(row.usable_));
}

TEST_CASE("the last part of an idle timeout, which is not used, is at least the idle margin", "[forward]")
{
    struct Row {
        std::int64_t margin_;
        std::int64_t usable_;
    };
    auto row = GENERATE(values<Row>({ { 0, 4000 }, { 1000, 4000 }, { 1001, 3999 }, { 5000, 0 }, { 9000, 0 } }));
    ForwardSettings settings;
    settings.idleMargin_ = milliseconds(row.margin_);
    CAPTURE(row.margin_);
    CHECK(usableIdle("timeout=5", settings) == milliseconds(row.usable_));
}

TEST_CASE("the receive buffer is empty until bytes arrive and after they are read", "[forward]")
{
    using tcp = asio::ip::tcp;
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    ConnectionPool pool(io.get_executor());
    BackendConnectionPtr connection = pool.make({ "b" });
    connection->socket_.connect(acceptor.local_endpoint());
    tcp::socket server = acceptor.accept();
    CHECK(connection->isReceiveBufferEmpty());
    asio::write(server, asio::buffer("ab", 2));
    connection->socket_.wait(tcp::socket::wait_read);
    CHECK_FALSE(connection->isReceiveBufferEmpty());
    char bytes[2];
    REQUIRE(connection->socket_.read_some(asio::buffer(bytes)) == 2);
    CHECK(connection->isReceiveBufferEmpty());
}

TEST_CASE("an aborted connection is reset, so that none of its data arrives later, and a closed one ends with EOF", "[forward]")
{
    using tcp = asio::ip::tcp;
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    ConnectionPool pool(io.get_executor());
    bool isAborted = GENERATE(true, false);
    BackendConnectionPtr connection = pool.make({ "b" });
    connection->socket_.connect(acceptor.local_endpoint());
    tcp::socket server = acceptor.accept();
    isAborted ? connection->abort() : connection->close();
    char byte = 0;
    boost::system::error_code code;
    (void)server.read_some(asio::buffer(&byte, 1), code);
    CHECK(code == (isAborted ? boost::system::error_code(asio::error::connection_reset) : boost::system::error_code(asio::error::eof)));
}
