//===- unittests/Http/ServerTest.cpp - announced connection closes ---------===//
///
/// \file
/// Tests the response headers that announce whether and when the connection closes. A
/// close that is not announced may coincide with the caller's next request, which is
/// then lost.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
using tcp = asio::ip::tcp;

TEST_CASE("the Keep-Alive header announces four fifths of the idle time in whole seconds", "[http]")
{
    struct Row {
        std::int64_t idleTimeout_;
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
    CAPTURE(row.idleTimeout_);
    CHECK(keepAliveValue(milliseconds(row.idleTimeout_)) == row.value_);
}

namespace {

constexpr milliseconds pauseBetweenPieces { 20 };

/// Starts a server, sends it a request in \p pieces and returns the head of the response.
std::string fetchHead(HttpBounds bounds, const HttpHandler& handler, const std::vector<std::string>& pieces)
{
    asio::io_context io;
    HttpServer server(io.get_executor(), bounds, handler, errorResponse);
    std::uint16_t port = server.listen({ "127.0.0.1", 0 }).value();
    std::string head;
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> {
            tcp::socket socket(io);
            co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asio::use_awaitable);
            socket.set_option(tcp::no_delay(true));
            for (const std::string& piece : pieces) {
                if (&piece != &pieces.front())
                    co_await sleepFor(pauseBetweenPieces);
                // The server may close the connection before all pieces are sent.
                (void)co_await asio::async_write(socket, asio::buffer(piece), asio::as_tuple(asio::use_awaitable));
            }
            auto [code, length] = co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", asio::as_tuple(asio::use_awaitable));
            head.resize(length);
            server.stopAccepting();
        },
        asio::detached);
    io.run();
    return head;
}

asio::awaitable<void> answerComplete(HttpExchange& exchange)
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

TEST_CASE("responses announce the idle time of a persistent connection, or its close", "[http]")
{
    struct Row {
        const char* name_;
        HttpHandler handler_;
        std::int64_t idleTimeout_;
        const char* connection_;
        const char* keepAlive_;
    };
    const std::string closes = "Connection: close\r\n";
    auto row = GENERATE(values<Row>({
        { "a complete response", answerComplete, 5000, "", "timeout=4" },
        { "a streamed response", answerStream, 5000, "", "timeout=4" },
        { "an idle time below the header's resolution", answerComplete, 1000, "", "" },
        { "a Keep-Alive header set by the handler", answerWithOwnKeepAlive, 5000, "", "timeout=2" },
        { "the caller asks for a close", answerComplete, 5000, "close", "" },
        { "the caller asks for a close after a stream", answerStream, 5000, "close", "" },
        { "the handler's Keep-Alive header is removed before a close", answerWithOwnKeepAlive, 5000, "close", "" },
    }));
    CAPTURE(row.name_);
    HttpBounds bounds;
    bounds.idleTimeout_ = milliseconds(row.idleTimeout_);
    std::string connection = row.connection_;
    std::string request = "GET / HTTP/1.1\r\nHost: h\r\n" + (connection.empty() ? "" : "Connection: " + connection + "\r\n") + "\r\n";
    std::string head = fetchHead(bounds, row.handler_, { request });
    CAPTURE(head);
    std::string keepAlive = row.keepAlive_;
    CHECK((head.find(closes) != std::string::npos) == !connection.empty());
    CHECK((head.find("Keep-Alive: ") != std::string::npos) == !keepAlive.empty());
    if (!keepAlive.empty()) {
        CHECK(head.find("Keep-Alive: " + keepAlive + "\r\n") != std::string::npos);
        CHECK(head.find("Connection: keep-alive\r\n") != std::string::npos);
    }
}

// Guards against a request that ends the process because of where reads end.
TEST_CASE("a request may arrive in pieces of any size", "[http]")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto pieces = GENERATE_COPY(values<std::vector<std::string>>({
        { head, "0\r\n", "\r", "\n" },
        { head, "0", "\r\n\r\n" },
        { head, "2\r\nab\r\n0\r", "\n", "\r\n" },
    }));
    CHECK(fetchHead({}, answerComplete, pieces).starts_with("HTTP/1.1 200"));
}

// Guards against a chunk whose first line is kept without bound while it does not end.
TEST_CASE("a chunk extension is limited", "[http]")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8;";
    CHECK_FALSE(fetchHead({}, answerComplete, { head, std::string(1000000, 'x'), "\r\nabcdefgh\r\n0\r\n\r\n" }).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a stopping server announces the close in the response in progress", "[http]")
{
    asio::io_context io;
    HttpServer* running = nullptr;
    auto stopAndAnswer = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        running->stopAccepting();
        co_await answerComplete(exchange);
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
