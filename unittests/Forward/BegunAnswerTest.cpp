//===- unittests/Forward/BegunAnswerTest.cpp - answers that have begun -----===//
///
/// \file
/// A caller has a part of its answer. What follows must be the rest of it, or its connection must
/// end in a way that shows that the rest is missing.
//===----------------------------------------------------------------------===//
#include "ForwardFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = asio::ip::tcp;
using End = ScriptedWorker::End;

namespace {

constexpr milliseconds timeout { 400 };
const std::string ok = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n";
const std::string lastChunk = "0\r\n\r\n";

Route streamRoute(unsigned attempts)
{
    Route route = routeOfTests();
    route.isStream_ = true;
    route.isResumable_ = true;
    route.maxAttempts_ = attempts;
    return route;
}

std::string request(const std::string& version = "HTTP/1.1")
{
    return "POST /x " + version + "\r\nHost: h\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

/// Sends two events, breaks off, answers the next request with \p second, and those after it
/// with the rest of the stream.
ServerScript interruptedServer(const std::string& second)
{
    return [second](tcp::socket& socket, const ReceivedRequest& received) -> asio::awaitable<bool> {
        std::string bytes = ok + "Transfer-Encoding: chunked\r\n\r\n";
        if (received.total_ == 1)
            bytes += eventChunk(1) + eventChunk(2);
        else if (received.total_ == 2)
            bytes = second;
        else
            bytes += eventChunk(3) + lastChunk;
        co_await send(socket, std::move(bytes));
        if (received.total_ > 1)
            co_return true;
        co_await sleepFor(milliseconds(20));
        resetSocket(socket);
        co_return false;
    };
}

} // namespace

// Guards against a second status line in an answer: events of a stream are followed by the answer of
// the server at which it was resumed.
TEST_CASE("a resumed stream that is answered with a failure does not begin a second answer", "[forward]")
{
    auto status = GENERATE(values<std::string>({ "HTTP/1.1 204 No Content", "HTTP/1.1 302 Found", "HTTP/1.1 400 Bad Request", "HTTP/1.1 404 Not Found", "HTTP/1.1 410 Gone", "HTTP/1.1 500 Internal Server Error" }));
    bool hasId = GENERATE(true, false);
    CAPTURE(status, hasId);
    std::string body = status.find("204") == std::string::npos ? "Content-Length: 4\r\n\r\nbody" : "\r\n";
    ServerScript script = interruptedServer(status + "\r\nSeal: s\r\n" + (hasId ? "Attempt: a1\r\n" : "") + body);
    SECTION("no attempt is left")
    {
        ScriptedWorker worker(streamRoute(2), 3, script);
        ScriptedWorker::CallerAnswer answer = worker.call(request());
        CAPTURE(answer.bytes_);
        CHECK(worker.requests() == 2);
        CHECK(countOf(answer.bytes_, "HTTP/1.1") == 1);
        CHECK(countOf(answer.bytes_, "id: 1\ndata: e\n\nid: 2\ndata: e\n\n") == 1);
        CHECK(answer.bytes_.ends_with("id: 2\ndata: e\n\n\r\n"));
    }
    SECTION("another server resumes it")
    {
        ScriptedWorker worker(streamRoute(3), 3, script);
        ScriptedWorker::CallerAnswer answer = worker.call(request(), lastChunk);
        CAPTURE(answer.bytes_);
        CHECK(countOf(answer.bytes_, "HTTP/1.1") == 1);
        CHECK(countOf(answer.bytes_, "id: 1\ndata: e\n\nid: 2\ndata: e\n\n") == 1);
        CHECK(answer.bytes_.ends_with("id: 2\ndata: e\n\n\r\n" + eventChunk(3) + lastChunk));
    }
}

// Guards against a stream that ends because the server at which it was resumed refused it, which used up
// its last attempt.
TEST_CASE("a stream ends since a full server refuses its rest", "[forward]")
{
    ScriptedWorker worker(streamRoute(2), 3, interruptedServer("HTTP/1.1 503 Service Unavailable\r\nAttempt: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"));
    ScriptedWorker::CallerAnswer answer = worker.call(request(), lastChunk);
    CAPTURE(answer.bytes_);
    CHECK(countOf(answer.bytes_, "HTTP/1.1") == 1);
    CHECK(answer.bytes_.ends_with("id: 2\ndata: e\n\n\r\n" + eventChunk(3) + lastChunk));
}

// Guards against a request whose connection is closed without an answer at the end of the grace time,
// while it waits at its server.
TEST_CASE("a request that waits at the end of the grace time gets no answer", "[forward]")
{
    bool isStream = GENERATE(true, false);
    CAPTURE(isStream);
    Route route = routeOfTests();
    route.isStream_ = isStream;
    std::function<void()> onRequest = [] {};
    ScriptedWorker worker(route, 1, [&](tcp::socket&, const ReceivedRequest&) -> asio::awaitable<bool> {
        onRequest();
        co_await sleepFor(2 * timeout);
        co_return false;
    });
    onRequest = [&worker] { worker.worker().abortAll(); };
    ScriptedWorker::CallerAnswer answer = worker.call(request());
    // The server may run it.
    CHECK(answer.bytes_.starts_with("HTTP/1.1 502"));
    CHECK(answer.took_ < timeout);
}

// Guards against a request whose connection is closed without an answer at the end of the grace time,
// while this node waits for something other than its server.
TEST_CASE("a request that has not been sent at the end of the grace time gets no answer in time", "[forward]")
{
    enum class Waits {
        ForBody,
        ForOrigin,
        ForPeer,
    };
    auto waits = GENERATE(Waits::ForBody, Waits::ForOrigin, Waits::ForPeer);
    CAPTURE(waits);
    constexpr milliseconds wait { 3000 };
    constexpr milliseconds graceEnd { 300 };
    // Half of the time from the end of the grace time to that of the process.
    constexpr milliseconds answerTime { 350 };
    ScriptedWorker worker(streamRoute(2), 1, [](tcp::socket&, const ReceivedRequest&) -> asio::awaitable<bool> { co_return false; });
    ForwardContext& context = worker.context();
    context.names_.resumes_ = "Resumes";
    std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nConnection: close\r\n";
    if (waits == Waits::ForBody)
        head += "Content-Length: 10\r\n";
    if (waits == Waits::ForOrigin)
        head += "Resumes: a0\r\nLast-Event: 3\r\n";
    context.hooks_.findOrigin_ = [wait](StreamKey) -> asio::awaitable<FoundOrigin> {
        co_await sleepFor(wait);
        co_return FoundOrigin { std::nullopt, "unknown" };
    };
    if (waits == Waits::ForPeer) {
        for (int i = 0; i < 2; ++i)
            (void)context.paths_.noteProbed({ "s" }, 1, 0, steadyNow());
        REQUIRE(context.paths_.isLost({ "s" }));
    }
    context.hooks_.openRelayed_ = [wait](const BackendRecord&, milliseconds) -> asio::awaitable<Result<RelayedConnection>> {
        co_await sleepFor(wait);
        co_return Error { Errc::Timeout, "open", "peer", "no answer", Ran::No, {} };
    };
    std::thread stopping([&] {
        std::this_thread::sleep_for(graceEnd);
        worker.worker().abortAll();
    });
    ScriptedWorker::CallerAnswer answer = worker.call(head + "\r\n");
    stopping.join();
    CHECK(answer.bytes_.starts_with("HTTP/1.1 503"));
    CHECK(answer.bytes_.find("Retry-After: ") != std::string::npos);
    CHECK(answer.bytes_.find("stopping") != std::string::npos);
    CHECK(answer.took_ >= graceEnd);
    CHECK(answer.took_ < graceEnd + answerTime);
    CHECK(worker.requests() == 0);
}

// Guards against a stream that looks whole to a caller of HTTP/1.0, for whom the end of the connection
// ends it.
TEST_CASE("a stream that is cut short for a caller of HTTP 1.0 ends with a reset", "[forward]")
{
    enum class Cut {
        None,
        ByServer,
        AtDeadline,
        AtGraceEnd,
    };
    auto cut = GENERATE(Cut::None, Cut::ByServer, Cut::AtDeadline, Cut::AtGraceEnd);
    CAPTURE(cut);
    Route route = streamRoute(1);
    route.timeout_ = timeout;
    std::function<void()> onEvents = [] {};
    ScriptedWorker worker(route, 1, [&](tcp::socket& socket, const ReceivedRequest&) -> asio::awaitable<bool> {
        std::string bytes = ok + "Transfer-Encoding: chunked\r\n\r\n" + eventChunk(1);
        co_await send(socket, std::move(bytes));
        co_await sleepFor(milliseconds(50));
        if (cut == Cut::AtGraceEnd)
            onEvents();
        if (cut == Cut::AtDeadline || cut == Cut::AtGraceEnd)
            co_await sleepFor(2 * timeout);
        std::string rest = eventChunk(2) + lastChunk;
        if (cut == Cut::None)
            co_await send(socket, std::move(rest));
        co_return false;
    });
    onEvents = [&worker] { worker.worker().abortAll(); };
    ScriptedWorker::CallerAnswer answer = worker.call(request("HTTP/1.0"));
    CAPTURE(answer.bytes_);
    CHECK(answer.end_ == (cut == Cut::None ? End::Closed : End::Reset));
    if (cut == Cut::None)
        CHECK(answer.bytes_.ends_with("id: 1\ndata: e\n\nid: 2\ndata: e\n\n"));
}

// Guards against an answer that is taken for whole although its server closed the connection within the
// head, the framing or the body.
TEST_CASE("an answer that its server cuts short is not delivered as whole", "[forward]")
{
    struct Row {
        const char* name_;
        bool isStream_;
        std::string bytes_;
    };
    auto row = GENERATE(values<Row>({
        { "with a length", false, ok + "Content-Length: 4\r\n\r\nbody" },
        { "in chunks", false, ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n" + lastChunk },
        { "after an interim answer", false, "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody" },
        { "a failure", false, "HTTP/1.1 500 Error\r\nAttempt: a1\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody" },
        { "a stream", true, ok + "Transfer-Encoding: chunked\r\n\r\n" + eventChunk(1) + lastChunk },
        { "a stream with a length", true, ok + "Content-Length: 15\r\n\r\nid: 1\ndata: e\n\n" },
    }));
    bool isReset = GENERATE(false, true);
    CAPTURE(row.name_, isReset);
    Route route = routeOfTests();
    route.isStream_ = row.isStream_;
    std::size_t size = 0;
    ScriptedWorker worker(route, 1, [&](tcp::socket& socket, const ReceivedRequest&) -> asio::awaitable<bool> {
        std::string bytes = row.bytes_.substr(0, size);
        co_await send(socket, std::move(bytes));
        if (isReset)
            resetSocket(socket);
        co_return false;
    });
    for (; size < row.bytes_.size(); ++size) {
        ScriptedWorker::CallerAnswer answer = worker.call(request());
        CAPTURE(size, answer.bytes_);
        if (answer.bytes_.starts_with("HTTP/1.1 200")) {
            CHECK(row.isStream_);
            CHECK(!answer.bytes_.ends_with(lastChunk));
        } else
            CHECK((answer.bytes_.starts_with("HTTP/1.1 502") || answer.bytes_.starts_with("HTTP/1.1 503")));
    }
    CHECK(worker.requests() == static_cast<int>(row.bytes_.size()));
}

// Guards against an answer without a length that its server stopped at the deadline that it was given, and that is
// taken for whole since this node was late to notice the deadline.
TEST_CASE("an answer without a length that ends at the deadline is delivered as whole", "[forward]")
{
    bool isStream = GENERATE(false, true);
    bool isFramed = GENERATE(false, true);
    bool isLate = GENERATE(false, true);
    CAPTURE(isStream, isFramed, isLate);
    Route route = routeOfTests();
    route.isStream_ = isStream;
    route.timeout_ = timeout;
    ScriptedWorker worker(route, 1, [&](tcp::socket& socket, const ReceivedRequest& received) -> asio::awaitable<bool> {
        milliseconds left(std::stoi(received.field("Deadline")));
        SteadyTime stopsAt = steadyNow() + left;
        std::string bytes = ok + (isFramed ? "Transfer-Encoding: chunked\r\n\r\n" + eventChunk(1) : "\r\nid: 1\ndata: e\n\n");
        co_await send(socket, std::move(bytes));
        co_await sleepFor(left / 2);
        // The worker runs on this thread, and sees the end and the deadline at once.
        if (isLate)
            std::this_thread::sleep_until(stopsAt);
        boost::system::error_code ignored;
        if (isFramed)
            (void)socket.write_some(asio::buffer(lastChunk), ignored);
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        co_return false;
    });
    worker.context().names_.deadline_ = "Deadline";
    ScriptedWorker::CallerAnswer answer = worker.call(request());
    CAPTURE(answer.bytes_);
    bool isWhole = isFramed || !isLate;
    if (isStream)
        CHECK(answer.bytes_.ends_with(lastChunk) == isWhole);
    else
        CHECK(answer.bytes_.starts_with(isWhole ? "HTTP/1.1 200" : "HTTP/1.1 504"));
}
