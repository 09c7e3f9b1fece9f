//===- unittests/Http/ClientTest.cpp - bounds of a call -------------------===//
///
/// \file
/// A call ends in bounded time and memory if the body of the answer trickles or the answer never
/// ends, and waits for a large body that arrives at a sufficient rate.
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
constexpr std::size_t writeSize = 16UL * 1024;
// What the sockets of both ends may hold in addition to the bytes that were read.
constexpr std::size_t socketBuffers = 16UL * 1024 * 1024;

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

/// Answers one connection with \p beginning, and then with \p repeated until the caller closes.
asio::awaitable<void> answerWithoutEnd(std::shared_ptr<tcp::acceptor> acceptor, std::string beginning, std::string repeated, std::size_t& sent)
{
    auto socket = co_await acceptor->async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(beginning), asio::use_awaitable);
    while (repeated.size() < writeSize)
        repeated += repeated;
    for (boost::system::error_code code; !code;) {
        std::size_t count = 0;
        std::tie(code, count) = co_await asio::async_write(socket, asio::buffer(repeated), asio::as_tuple(asio::use_awaitable));
        sent += count;
    }
}

/// How a server ends an answer that is incomplete.
enum class AnswerEnd {
    /// The server reads no more, and closes in order.
    Close,
    Reset,
    /// The connection stays open until the caller's time limit.
    Open,
};

/// Answers one connection with \p bytes after the head of the request, without reading its body.
asio::awaitable<void> answerAndEnd(std::shared_ptr<tcp::acceptor> acceptor, std::string bytes, AnswerEnd end)
{
    auto socket = co_await acceptor->async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    if (end == AnswerEnd::Reset) {
        // Only an explicit close resets the connection. The destructor of a socket ignores the option.
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        co_return;
    }
    if (end == AnswerEnd::Close)
        socket.shutdown(tcp::socket::shutdown_send);
    co_await sleepFor(2 * timeout);
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

// Guards against reading an answer without end until the memory is used up. The time limit of a
// body grows with the bytes received, so that it alone never ends a fast one.
TEST_CASE("a call ends in bounded time and memory if the answer has no end", "[http]")
{
    struct Row {
        const char* name_;
        std::string beginning_;
        std::string repeated_;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    auto row = GENERATE_COPY(values<Row>({
        { "no HTTP", "", "garbage " },
        { "fields", ok, "X-Filler: x\r\n" },
        { "one field", ok + "X-Filler: ", "x" },
        { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "stated length", ok + "Content-Length: 800800800800800800\r\n\r\n", "x" },
        { "body", ok + "\r\n", "x" },
        { "chunks", chunked, "8\r\nxxxxxxxx\r\n" },
        { "extension of a chunk", chunked + "8;", "x" },
        { "trailers", chunked + "0\r\n", "X-Filler: x\r\n" },
    }));
    CAPTURE(row.name_);
    constexpr ByteCount maxAnswerSize { 1024UL * 1024 };
    asio::io_context io;
    auto acceptor = std::make_shared<tcp::acceptor>(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Endpoint server { "127.0.0.1", acceptor->local_endpoint().port() };
    std::size_t sent = 0;
    asio::co_spawn(io, answerWithoutEnd(acceptor, row.beginning_, row.repeated_, sent), asio::detached);
    std::optional<Result<HttpResponse>> response;
    milliseconds elapsed {};
    auto call = [&]() -> asio::awaitable<void> {
        SteadyTime startedAt = steadyNow();
        HttpRequest request { "GET", "/", {}, {} };
        response = co_await callHttp(server, std::move(request), timeout, maxAnswerSize);
        elapsed = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
    };
    asio::co_spawn(io, call, asio::detached);
    io.run_for(std::chrono::seconds(10));
    REQUIRE(response);
    CHECK_FALSE(response->has_value());
    CHECK(elapsed <= timeout + slack);
    CHECK(sent <= maxAnswerSize.value_ + socketBuffers);
}

// Guards against a call that takes effect after it was given up, because the kernel goes on sending
// what a broken link has delayed.
TEST_CASE("a call that is given up closes its connection in order", "[http]")
{
    bool isAnswered = GENERATE(true, false);
    CAPTURE(isAnswered);
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Endpoint server { "127.0.0.1", acceptor.local_endpoint().port() };
    boost::system::error_code end;
    auto serve = [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string input;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", asio::use_awaitable);
        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        if (isAnswered)
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        std::array<char, 1> byte {};
        auto [code, count] = co_await socket.async_read_some(asio::buffer(byte), asio::as_tuple(asio::use_awaitable));
        end = code;
    };
    asio::co_spawn(io, serve(), asio::detached);
    std::optional<Result<HttpResponse>> response;
    HttpRequest request { "POST", "/x", {}, {} };
    auto call = [&]() -> asio::awaitable<void> { response = co_await callHttp(server, std::move(request), timeout); };
    asio::co_spawn(io, call(), asio::detached);
    io.run_for(10 * timeout);
    REQUIRE(response);
    CHECK(response->has_value() == isAnswered);
    CHECK(end == (isAnswered ? boost::system::error_code(asio::error::eof) : boost::system::error_code(asio::error::connection_reset)));
}

// Guards against a call that succeeds, or states that it has not run, because the bytes of the server
// are no answer in the protocol.
TEST_CASE("a call fails if its answer has an invalid head", "[http]")
{
    struct Row {
        const char* name_;
        std::string answer_;
        bool isValid_;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 4\r\n\r\nbody";
    auto row = GENERATE_COPY(values<Row>({
        { "sound answer", ok + body, true },
        { "interim answer", "HTTP/1.1 100 Continue\r\n\r\n" + ok + body, true },
        { "status 000", "HTTP/1.1 000 X\r\n" + body, false },
        { "status 600", "HTTP/1.1 600 X\r\n" + body, false },
        { "status 999", "HTTP/1.1 999 X\r\n" + body, false },
        { "an answer after status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + body, false },
        { "blank in a name", ok + "X Odd: b\r\n" + body, false },
        { "control byte in a name", ok + "X\x01: b\r\n" + body, false },
        { "byte of 0x80 in a name", ok + "X\x80: b\r\n" + body, false },
        { "blank before the colon", ok + "X-Odd : b\r\n" + body, false },
        { "blank before a name", ok + "X-A: b\r\n X-Odd: b\r\n" + body, false },
        { "control byte in a value", ok + "X-Odd: b\x01\r\n" + body, false },
        { "different lengths", ok + "Content-Length: 3\r\n" + body, false },
        { "length after another encoding", ok + "Transfer-Encoding: gzip\r\n" + body, false },
        { "another encoding", ok + "Transfer-Encoding: gzip\r\n\r\nbody", false },
        { "invalid trailer", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Odd: b\r\n\r\n", false },
        { "blank before a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-A: b\r\n X-Odd: b\r\n\r\n", false },
        { "no reason", "HTTP/1.1 200\r\n" + body, false },
        { "another version", "HTTP/2.0 200 OK\r\n" + body, false },
    }));
    CAPTURE(row.name_);
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Endpoint server { "127.0.0.1", acceptor.local_endpoint().port() };
    auto serve = [&]() -> asio::awaitable<void> {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string input;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(row.answer_), asio::use_awaitable);
    };
    asio::co_spawn(io, serve(), asio::detached);
    std::optional<Result<HttpResponse>> response;
    HttpRequest request { "GET", "/", {}, {} };
    auto call = [&]() -> asio::awaitable<void> { response = co_await callHttp(server, std::move(request), timeout); };
    asio::co_spawn(io, call(), asio::detached);
    io.run_for(10 * timeout);
    REQUIRE(response);
    REQUIRE(response->has_value() == row.isValid_);
    if (row.isValid_) {
        CHECK(response->value().status_ == 200);
        CHECK(response->value().body_ == "body");
        return;
    }
    CHECK(response->error().code_ == Errc::Reset);
    CHECK(response->error().ran_ == Ran::Unknown);
}

// Guards against a part of an answer that is taken as the whole one. Only an orderly close ends an answer
// without a length. A call that cannot write its whole request fails.
TEST_CASE("a call takes a part of an answer as the whole one", "[http]")
{
    struct Row {
        const char* name_;
        std::string bytes_;
        bool endsWithConnection_;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    auto row = GENERATE_COPY(values<Row>({
        { "length, after the head", ok + "Content-Length: 8\r\n\r\n", false },
        { "length, within the body", ok + "Content-Length: 8\r\n\r\npart", false },
        { "chunks, after the head", chunked, false },
        { "chunks, within a chunk", chunked + "8\r\npart", false },
        { "chunks, after a chunk", chunked + "4\r\npart\r\n", false },
        { "no length, within the head", ok, false },
        { "no length, after the head", ok + "\r\n", true },
        { "no length, within the body", ok + "\r\npart", true },
    }));
    auto end = GENERATE(AnswerEnd::Close, AnswerEnd::Reset, AnswerEnd::Open);
    // A request of 16 MB is still being written when the connection ends.
    std::size_t uploadSize = GENERATE(0UL, 16UL * 1024 * 1024);
    if (uploadSize && end == AnswerEnd::Open)
        return;
    CAPTURE(row.name_, end, uploadSize);
    asio::io_context io;
    auto acceptor = std::make_shared<tcp::acceptor>(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Endpoint server { "127.0.0.1", acceptor->local_endpoint().port() };
    asio::co_spawn(io, answerAndEnd(acceptor, row.bytes_, end), asio::detached);
    std::optional<Result<HttpResponse>> response;
    auto call = [&]() -> asio::awaitable<void> {
        HttpRequest request { "POST", "/", {}, std::string(uploadSize, 'u') };
        response = co_await callHttp(server, std::move(request), timeout);
    };
    asio::co_spawn(io, call, [&](const std::exception_ptr&) { io.stop(); });
    io.run_for(10 * timeout);
    REQUIRE(response);
    CHECK(response->has_value() == (row.endsWithConnection_ && end == AnswerEnd::Close && !uploadSize));
}
