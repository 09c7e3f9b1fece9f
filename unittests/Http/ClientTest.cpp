//===- unittests/Http/ClientTest.cpp - bounds of a call -------------------===//
///
/// \file
/// A call ends in bounded time if the body of the answer trickles, and waits for a large
/// body that arrives at a sufficient rate.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
using tcp = asio::ip::tcp;

namespace {

constexpr milliseconds timeout { 300 };
constexpr milliseconds slack { 300 };
constexpr milliseconds pause { 20 };

/// Answers one connection with a body of \p chunks chunks of \p chunkSize bytes, with a
/// pause after each.
asio::awaitable<void> answerSlowly(std::shared_ptr<tcp::acceptor> acceptor, std::size_t chunks, std::size_t chunkSize)
{
    auto socket = co_await acceptor->async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(chunks * chunkSize) + "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
    std::string chunk(chunkSize, 'x');
    for (std::size_t i = 0; i < chunks; ++i) {
        auto [code, count] = co_await asio::async_write(socket, asio::buffer(chunk), asio::as_tuple(asio::use_awaitable));
        if (code)
            co_return;
        co_await sleepFor(pause);
    }
}

} // namespace

TEST_CASE("a call ends in bounded time if the body trickles", "[http]")
{
    struct Row {
        std::size_t chunks_;
        std::size_t chunkSize_;
        bool isReceived_;
    };
    auto row = GENERATE(values<Row>({
        { 1, 100, true },
        { 200, 1, false },
        { 200, 400, false },
        { 50, 4 * minBodyRate * 20, true },
    }));
    CAPTURE(row.chunks_, row.chunkSize_);
    asio::io_context io;
    auto acceptor = std::make_shared<tcp::acceptor>(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Endpoint server { "127.0.0.1", acceptor->local_endpoint().port() };
    asio::co_spawn(io, answerSlowly(acceptor, row.chunks_, row.chunkSize_), asio::detached);
    std::optional<Result<HttpResponse>> response;
    milliseconds elapsed {};
    auto call = [&]() -> asio::awaitable<void> {
        SteadyTime startedAt = steadyNow();
        HttpRequest request { "GET", "/", {}, {} };
        response = co_await callHttp(server, std::move(request), timeout);
        elapsed = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
    };
    asio::co_spawn(io, call, asio::detached);
    io.run();
    REQUIRE(response);
    REQUIRE(response->has_value() == row.isReceived_);
    if (row.isReceived_) {
        CHECK(response->value().body_.size() == row.chunks_ * row.chunkSize_);
        return;
    }
    CHECK(response->error().code_ == Errc::Timeout);
    // A third of the rate that is accepted allows half of the time again.
    CHECK(elapsed <= timeout + timeout / 2 + slack);
}
