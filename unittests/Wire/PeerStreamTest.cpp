//===- unittests/Wire/PeerStreamTest.cpp - streams between peers -----------===//
///
/// \file
/// Calls, long frames, refusals, wrong credentials and bad input between a
/// pool and a server on loopback.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Wire.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <iostream>
#include <thread>

using namespace pistachioloom;

namespace {

const std::string credential = "a-credential-of-tests";
constexpr milliseconds callTimeout { 10000 };

wire::Frame updateOf(std::size_t size)
{
    wire::Frame frame;
    frame.mutable_catalogue_update()->set_snapshot(std::string(size, 'x'));
    return frame;
}

/// A server that answers every frame of a stream with the same frame.
class EchoServer {
public:
    EchoServer()
        : work_(asio::make_work_guard(io_))
        , server_(
              io_.get_executor(), credential, [this](std::shared_ptr<PeerStream> stream) { return echo(std::move(stream)); },
              [this](const Error& error) { errors_.push_back(describe(error)); std::cerr << describe(error) << std::endl; })
    {
        endpoint_ = { "127.0.0.1", server_.listen({ "127.0.0.1", 0 }).value() };
        thread_ = std::thread([this] { io_.run(); });
    }

    ~EchoServer()
    {
        io_.stop();
        thread_.join();
    }

    PeerServer& server() { return server_; }
    const Endpoint& endpoint() const { return endpoint_; }

    Result<wire::Frame> call(PeerPool& pool, const Endpoint& peer, const wire::Frame& frame)
    {
        std::promise<Result<wire::Frame>> replied;
        auto task = [&]() -> asio::awaitable<void> {
            auto reply = co_await pool.call(peer, frame, callTimeout);
            replied.set_value(std::move(reply));
        };
        asio::co_spawn(asio::make_strand(io_), task, asio::detached);
        return replied.get_future().get();
    }

    asio::io_context io_;
    /// What ended the stream of a catalogue_fetch.
    std::promise<Errc> resetBy_;

private:
    asio::awaitable<void> sendUntilReset(std::shared_ptr<PeerStream> stream)
    {
        for (;;) {
            auto sent = co_await stream->send(updateOf(1));
            if (sent)
                continue;
            resetBy_.set_value(sent.error().code_);
            co_return;
        }
    }

    asio::awaitable<void> echo(std::shared_ptr<PeerStream> stream)
    {
        for (;;) {
            auto frame = co_await stream->receive();
            if (!frame)
                break;
            if (frame.value().has_vm_list_fetch()) {
                stream->refuse();
                co_return;
            }
            if (frame.value().has_catalogue_fetch()) {
                co_await sendUntilReset(std::move(stream));
                co_return;
            }
            (void)co_await stream->send(frame.value());
        }
        stream->finish();
    }

    asio::executor_work_guard<asio::io_context::executor_type> work_;
    PeerServer server_;
    std::vector<std::string> errors_;
    Endpoint endpoint_;
    std::thread thread_;
};

} // namespace

TEST_CASE("a call brings back its own frame, whatever its size")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    auto size = GENERATE(std::size_t { 0 }, std::size_t { 100 }, std::size_t { 70000 }, std::size_t { 300000 }, std::size_t { 3000000 });
    auto reply = echo.call(pool, echo.endpoint(), updateOf(size));
    INFO((reply ? std::string("good") : describe(reply.error())));
    REQUIRE(reply);
    CHECK(reply.value().catalogue_update().snapshot().size() == size);
}

TEST_CASE("a wrong credential is refused as not run")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), "another-credential", {});
    auto reply = echo.call(pool, echo.endpoint(), updateOf(1));
    REQUIRE(!reply);
    CHECK(reply.error().ran_ == Ran::No);
}

TEST_CASE("a refused stream and a draining server tell that nothing ran")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    wire::Frame refused;
    refused.mutable_vm_list_fetch();
    auto reply = echo.call(pool, echo.endpoint(), refused);
    REQUIRE(!reply);
    CHECK(reply.error().ran_ == Ran::No);
    echo.server().refuseNewStreams();
    reply = echo.call(pool, echo.endpoint(), updateOf(1));
    REQUIRE(!reply);
    CHECK(reply.error().ran_ == Ran::No);
}

TEST_CASE("a peer that is not there is an error that nothing ran")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    Endpoint nobody { "127.0.0.1", 1 };
    auto reply = echo.call(pool, nobody, updateOf(1));
    REQUIRE(!reply);
    CHECK(reply.error().ran_ == Ran::No);
}

TEST_CASE("a peer learns whether its work was cancelled or goes on for somebody else")
{
    auto isCancelled = GENERATE(true, false);
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    auto task = [&]() -> asio::awaitable<void> {
        wire::Frame frame;
        frame.mutable_catalogue_fetch();
        auto opened = co_await pool.open(echo.endpoint(), frame, callTimeout);
        auto first = co_await opened.value()->receive();
        if (isCancelled)
            opened.value()->cancel();
        else
            opened.value()->release();
    };
    asio::co_spawn(asio::make_strand(echo.io_), task, asio::detached);
    CHECK(echo.resetBy_.get_future().get() == (isCancelled ? Errc::Cancelled : Errc::Reset));
}

TEST_CASE("a stream to a peer that is frozen is reset, not left to its deadline")
{
    EchoServer echo;
    asio::io_context io;
    KeepAlive keepAlive { milliseconds(20), 3 };
    PeerPool pool(io.get_executor(), credential, {}, keepAlive);
    std::optional<Errc> ended;
    auto task = [&]() -> asio::awaitable<void> {
        auto opened = co_await pool.open(echo.endpoint(), updateOf(1), callTimeout);
        auto first = co_await opened.value()->receive();
        // A silent stream of a peer that is alive stays.
        asio::steady_timer timer(io, milliseconds(300));
        co_await timer.async_wait(asio::use_awaitable);
        auto sent = co_await opened.value()->send(updateOf(2));
        auto second = co_await opened.value()->receive();
        REQUIRE(second);
        echo.io_.stop();
        auto third = co_await opened.value()->receiveWithin(callTimeout);
        ended = third.error().code_;
        pool.stop();
    };
    asio::co_spawn(asio::make_strand(io), task, asio::detached);
    io.run();
    CHECK(ended == Errc::Reset);
}
