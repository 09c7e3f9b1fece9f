//===- unittests/Forward/BodyMemoryTest.cpp - bodies of many requests ------===//
///
/// \file
/// Bodies that are each within their limit must not exceed the memory of the node together.
//===----------------------------------------------------------------------===//
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t largeBody = 60000;

std::string requestWithLength(std::size_t length, std::size_t sent)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
}

std::string requestInChunks(std::size_t length)
{
    std::array<char, 32> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", length);
    return "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + (size.data() + std::string(length, 'x')) + "\r\n0\r\n\r\n";
}

ServerScript answersOk()
{
    return [](tcp::socket& socket, const ReceivedRequest&) -> asio::awaitable<bool> {
        std::string answer = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
        co_await send(socket, std::move(answer));
        co_return false;
    };
}

} // namespace

// Guards against a node that is killed, with all that it serves, because it holds the bodies of many
// requests.
TEST_CASE("bodies within the limits exceed the memory of the node together", "[forward]")
{
    ScriptedWorker worker(routeOfTests(), 1, answersOk());
    worker.context().settings_.maxBodyMemory_ = { largeBody + largeBody / 2 };
    CHECK(worker.call(requestWithLength(largeBody, largeBody)).bytes_.starts_with("HTTP/1.1 200"));
    CHECK(worker.context().bodyMemory_ == 0);
    // A caller that is still sending holds the memory.
    CHECK(worker.call(requestWithLength(largeBody, 10), {}, milliseconds(100)).bytes_.empty());
    CHECK(worker.context().bodyMemory_ == largeBody);
    int requests = worker.requests();
    for (const std::string& request : { requestWithLength(largeBody, 10), requestWithLength(largeBody, largeBody), requestInChunks(largeBody) }) {
        ScriptedWorker::CallerAnswer answer = worker.call(request);
        CHECK(answer.bytes_.starts_with("HTTP/1.1 503"));
        CHECK(answer.bytes_.find("Retry-After: ") != std::string::npos);
    }
    CHECK(worker.requests() == requests);
    CHECK(worker.context().bodyMemory_ == largeBody);
    CHECK(worker.call(requestWithLength(100, 100)).bytes_.starts_with("HTTP/1.1 200"));
}

// Guards against callers that state long bodies, send little of them, and so take the memory for the
// bodies of others.
TEST_CASE("bodies that arrive slowly take the memory for others", "[forward]")
{
    ScriptedWorker worker(routeOfTests(), 1, answersOk());
    worker.context().settings_.maxBodyMemory_ = { 2 * largeBody - 1 };
    CHECK(worker.call(requestWithLength(largeBody, 10), {}, milliseconds(1300)).bytes_.empty());
    CHECK(worker.context().bodyMemory_ < largeBody / 2);
    CHECK(worker.call(requestWithLength(largeBody, largeBody)).bytes_.starts_with("HTTP/1.1 200"));
}

// Guards against a request that is held after its deadline, since its body does not arrive.
TEST_CASE("a body that does not arrive is awaited after the deadline of its request", "[forward]")
{
    ScriptedWorker worker(routeOfTests(), 1, answersOk());
    worker.context().names_.deadline_ = "Deadline";
    std::string request = requestWithLength(largeBody, 10);
    milliseconds deadline { 2000 };
    SECTION("the timeout of the route") { }
    SECTION("the deadline of the caller")
    {
        request.insert(request.find("Content-Length"), "Deadline: 500\r\n");
        deadline = milliseconds(500);
    }
    ScriptedWorker::CallerAnswer answer = worker.call(request, {}, milliseconds(4000));
    CHECK(answer.bytes_.starts_with("HTTP/1.1 408"));
    CHECK(answer.took_ >= deadline);
    CHECK(answer.took_ < deadline + milliseconds(500) + milliseconds(500));
    CHECK(worker.requests() == 0);
    CHECK(worker.context().bodyMemory_ == 0);
}

// Guards against large bodies that take all the memory, so that smaller ones are refused with them.
TEST_CASE("large bodies leave no memory for small ones", "[forward]")
{
    constexpr std::size_t large = 160000;
    constexpr std::size_t small = 40000;
    ScriptedWorker worker(routeOfTests(), 1, answersOk());
    worker.context().settings_.maxBodyMemory_ = { 3 * large };
    for (int i = 0; i < 2; ++i)
        CHECK(worker.call(requestWithLength(large, large / 2), {}, milliseconds(100)).bytes_.empty());
    CHECK(worker.call(requestWithLength(large, 10), {}, milliseconds(100)).bytes_.starts_with("HTTP/1.1 503"));
    CHECK(worker.call(requestWithLength(small, small)).bytes_.starts_with("HTTP/1.1 200"));
}
