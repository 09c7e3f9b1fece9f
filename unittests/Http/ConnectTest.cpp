//===- unittests/Http/ConnectTest.cpp - time limit of a connection ---------===//
///
/// \file
/// Guards against an expired time limit that acts after its connection attempt has ended, which
/// closed descriptors of others and ended processes by signal 11.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <thread>
#include <unistd.h>

using namespace pistachioloom;
using tcp = asio::ip::tcp;

namespace {

constexpr milliseconds timeLimit { 10 };
constexpr milliseconds loopDelay { 30 };
constexpr int rounds = 20;

Endpoint endpointOf(const tcp::acceptor& acceptor)
{
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/// Runs \p work on \p io. The loop is delayed after the first step, so that the connection and
/// the end of its time limit are both due when it continues.
void runDelayed(asio::io_context& io, asio::awaitable<void> work)
{
    asio::co_spawn(io, std::move(work), asio::detached);
    io.poll_one();
    std::this_thread::sleep_for(loopDelay);
    io.run();
    io.restart();
}

} // namespace

TEST_CASE("a time limit that passes in a delayed event loop closes no descriptor of others", "[http]")
{
    asio::io_context io(1);
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    int closedByOthers = 0;
    for (int i = 0; i < rounds; ++i) {
        int opened = -1;
        auto probe = [&]() -> asio::awaitable<void> {
            (void)co_await tryConnection(endpointOf(acceptor), timeLimit);
            // The lowest free descriptor is that of the probe's socket.
            opened = ::dup(acceptor.native_handle());
        };
        runDelayed(io, probe());
        REQUIRE(opened >= 0);
        closedByOthers += ::fcntl(opened, F_GETFD) < 0;
        ::close(opened);
    }
    CHECK(closedByOthers == 0);
}

TEST_CASE("a connection is made or has timed out, and is not closed after it was made", "[http]")
{
    asio::io_context io(1);
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    for (int i = 0; i < rounds; ++i) {
        boost::system::result<std::shared_ptr<tcp::socket>> connected;
        auto connect = [&]() -> asio::awaitable<void> { connected = co_await connectWithin(endpointOf(acceptor), timeLimit); };
        runDelayed(io, connect());
        // The attempt may count as late, but a socket that was returned stays open.
        if (connected)
            CHECK((*connected)->is_open());
        else
            CHECK(connected.error() == asio::error::timed_out);
    }
}

TEST_CASE("a connection attempt without an answer ends after its time limit", "[http]")
{
    asio::io_context io(1);
    // The queue of a listener that accepts nothing is full after two connections, and the kernel
    // drops further attempts.
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    acceptor.listen(0);
    std::vector<tcp::socket> waiting;
    for (int i = 0; i < 4; ++i) {
        waiting.emplace_back(io);
        waiting.back().async_connect(acceptor.local_endpoint(), [](const boost::system::error_code&) {});
    }
    io.run_for(milliseconds(50));
    io.restart();
    boost::system::error_code outcome;
    auto probe = [&]() -> asio::awaitable<void> { outcome = co_await tryConnection(endpointOf(acceptor), milliseconds(100)); };
    SteadyTime startedAt = steadyNow();
    asio::co_spawn(io, probe(), asio::detached);
    io.run_for(milliseconds(2000));
    CHECK(outcome == asio::error::timed_out);
    CHECK(steadyNow() - startedAt >= milliseconds(100));
}
