//===- unittests/Forward/ResetDuringUploadTest.cpp - resets while writing --===//
///
/// \file
/// A backend server answers while its request is still being written, and then ends the connection. The write
/// may receive the error of a reset, after which a read sees an orderly end.
//===----------------------------------------------------------------------===//
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = asio::ip::tcp;
using End = ScriptedWorker::End;

namespace {

// The default limit of a body, and more than the sockets of both ends hold, so that the write is in progress
// when the answer arrives.
constexpr std::size_t uploadSize = 4UL * 1024 * 1024;
constexpr std::size_t readSize = 64UL * 1024;
constexpr int repetitions = 30;
const std::string event = "id: 1\ndata: e\n\n";

/// How a server ends its connection after a part of the request and a part of the answer.
enum class ServerEnd {
    Reset,
    /// A reset after a pause in which the answer is read.
    ResetLater,
    /// The rest of the request is read.
    CloseAfterRequest,
    /// The rest of the request is answered by a reset, which arrives after the end of the answer.
    CloseWithoutReading,
    /// As above, after a pause in which the end of the answer is read.
    CloseWithoutReadingLater,
};

bool isOrderly(ServerEnd end)
{
    return end != ServerEnd::Reset && end != ServerEnd::ResetLater;
}

asio::awaitable<void> endConnection(tcp::socket& socket, ServerEnd end)
{
    bool hasPause = end == ServerEnd::ResetLater || end == ServerEnd::CloseWithoutReadingLater;
    if (isOrderly(end))
        socket.shutdown(tcp::socket::shutdown_send);
    if (hasPause)
        co_await sleepFor(milliseconds(5));
    std::string rest(readSize, '\0');
    for (bool isOpen = end == ServerEnd::CloseAfterRequest; isOpen;) {
        auto [code, count] = co_await socket.async_read_some(asio::buffer(rest), asio::as_tuple(asio::use_awaitable));
        isOpen = !code;
    }
    resetSocket(socket);
}

} // namespace

// Guards against a part of an answer that is delivered as the whole one, since the write of the request
// received the error of the reset.
TEST_CASE("an answer that is reset during the upload is whole", "[forward]")
{
    bool isStream = GENERATE(false, true);
    auto version = GENERATE(values<std::string>({ "HTTP/1.1", "HTTP/1.0" }));
    auto end = GENERATE(ServerEnd::Reset, ServerEnd::ResetLater, ServerEnd::CloseAfterRequest, ServerEnd::CloseWithoutReading, ServerEnd::CloseWithoutReadingLater);
    CAPTURE(isStream, version, end);
    Route route = routeOfTests();
    route.isStream_ = isStream;
    ScriptedWorker worker(route, 1, [&](tcp::socket& socket, const ReceivedRequest&) -> asio::awaitable<bool> {
        co_await send(socket, "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n\r\n" + event);
        co_await endConnection(socket, end);
        co_return false;
    });
    std::string request = "POST /x " + version + "\r\nHost: h\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: " + std::to_string(uploadSize) + "\r\n\r\n" + std::string(uploadSize, 'u');
    int complete = 0;
    for (int i = 0; i < repetitions; ++i) {
        ScriptedWorker::CallerAnswer answer = worker.call(request);
        bool isSuccess = answer.bytes_.find("200 OK") != std::string::npos;
        bool isChunked = isStream && version == "HTTP/1.1";
        complete += isSuccess && answer.end_ == End::Closed && answer.bytes_.ends_with(isChunked ? event + "\r\n0\r\n\r\n" : event);
    }
    CHECK(worker.requests() == repetitions);
    CHECK(complete == (isOrderly(end) ? repetitions : 0));
}

// Guards against a part of a caller's body that is sent as the whole one.
TEST_CASE("a request whose upload its caller ends early is sent to a server", "[forward]")
{
    auto part = GENERATE(values<std::string>({ "Content-Length: 8\r\n\r\n", "Content-Length: 8\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n8\r\npart",
        "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "Expect: 100-continue\r\nContent-Length: 8\r\n\r\npart" }));
    bool isReset = GENERATE(false, true);
    CAPTURE(part, isReset);
    ScriptedWorker worker(routeOfTests(), 1, [](tcp::socket&, const ReceivedRequest&) -> asio::awaitable<bool> { co_return false; });
    asio::io_context io;
    tcp::socket caller(io);
    caller.connect({ asio::ip::make_address("127.0.0.1"), worker.port() });
    asio::write(caller, asio::buffer("POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\n" + part));
    worker.runFor(milliseconds(20));
    if (isReset)
        resetSocket(caller);
    else
        caller.shutdown(tcp::socket::shutdown_send);
    worker.runFor(milliseconds(50));
    CHECK(worker.requests() == 0);
    CHECK(worker.count(Counter::Attempts) == 0);
}
