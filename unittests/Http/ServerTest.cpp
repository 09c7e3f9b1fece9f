//===- unittests/Http/ServerTest.cpp - closes that are announced -----------===//
///
/// \file
/// What answers say of the connection that they come on.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
using tcp = asio::ip::tcp;

TEST_CASE("four fifths of the idle time are announced, in whole seconds", "[http]")
{
    struct Row {
        std::int64_t idle_;
        const char* value_;
    };
    auto row = GENERATE(values<Row>({
        { 0, "" },
        { 1249, "" },
        { 1250, "timeout=1" },
        { 5000, "timeout=4" },
        { 15000, "timeout=12" },
        { 60000, "timeout=48" },
        { 3600000, "timeout=2880" },
    }));
    CAPTURE(row.idle_);
    CHECK(keepAliveValue(milliseconds(row.idle_)) == row.value_);
}

namespace {

/// The head of the answer to \p request; the server handles nothing else.
std::string fetchHead(HttpBounds bounds, const HttpHandler& handler, const std::string& request)
{
    asio::io_context io;
    HttpServer server(io.get_executor(), bounds, handler, errorResponse);
    std::uint16_t port = server.listen({ "127.0.0.1", 0 }).value();
    std::string head;
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> {
            tcp::socket socket(io);
            co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
            std::size_t length = co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", asio::use_awaitable);
            head.resize(length);
            server.stopAccepting();
        },
        asio::detached);
    io.run();
    return head;
}

asio::awaitable<void> answerWhole(HttpExchange& exchange)
{
    HttpResponse response { 200, {}, "whole" };
    (void)co_await exchange.respond(std::move(response));
}

asio::awaitable<void> answerStream(HttpExchange& exchange)
{
    HttpResponse head { 200, {}, {} };
    (void)co_await exchange.beginStream(std::move(head));
    (void)co_await exchange.endStream();
}

asio::awaitable<void> answerWithOwnKeepAlive(HttpExchange& exchange)
{
    HttpResponse response { 200, { { "Keep-Alive", "timeout=2" } }, "whole" };
    (void)co_await exchange.respond(std::move(response));
}

} // namespace

TEST_CASE("answers on kept connections announce the idle time, the others the close", "[http]")
{
    struct Row {
        const char* name_;
        HttpHandler handler_;
        std::int64_t idle_;
        const char* connection_;
        const char* keepAlive_;
    };
    const std::string closes = "Connection: close\r\n";
    auto row = GENERATE(values<Row>({
        { "whole", answerWhole, 5000, "", "timeout=4" },
        { "stream", answerStream, 5000, "", "timeout=4" },
        { "too short to be told", answerWhole, 1000, "", "" },
        { "the handler's own", answerWithOwnKeepAlive, 5000, "", "timeout=2" },
        { "the caller closes", answerWhole, 5000, "close", "" },
        { "the caller closes after a stream", answerStream, 5000, "close", "" },
        { "no word of a connection that closes", answerWithOwnKeepAlive, 5000, "close", "" },
    }));
    CAPTURE(row.name_);
    HttpBounds bounds;
    bounds.idle_ = milliseconds(row.idle_);
    std::string connection = row.connection_;
    std::string request = "GET / HTTP/1.1\r\nHost: h\r\n" + (connection.empty() ? "" : "Connection: " + connection + "\r\n") + "\r\n";
    std::string head = fetchHead(bounds, row.handler_, request);
    CAPTURE(head);
    std::string keepAlive = row.keepAlive_;
    CHECK((head.find(closes) != std::string::npos) == !connection.empty());
    CHECK((head.find("Keep-Alive: ") != std::string::npos) == !keepAlive.empty());
    if (!keepAlive.empty()) {
        CHECK(head.find("Keep-Alive: " + keepAlive + "\r\n") != std::string::npos);
        CHECK(head.find("Connection: keep-alive\r\n") != std::string::npos);
    }
}

TEST_CASE("a server that stops announces the close with the answer under way", "[http]")
{
    asio::io_context io;
    HttpServer* running = nullptr;
    auto stopAndAnswer = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        running->stopAccepting();
        co_await answerWhole(exchange);
    };
    HttpServer server(io.get_executor(), {}, stopAndAnswer, errorResponse);
    running = &server;
    Endpoint endpoint { "127.0.0.1", server.listen({ "127.0.0.1", 0 }).value() };
    HttpHeaders headers;
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> {
            HttpRequest request { "GET", "/", {}, {} };
            auto answer = co_await callHttp(endpoint, std::move(request), milliseconds(5000));
            if (answer)
                headers = answer.value().headers_;
        },
        asio::detached);
    io.run();
    CHECK(headers["connection"] == "close");
    CHECK_FALSE(headers.contains("keep-alive"));
}
