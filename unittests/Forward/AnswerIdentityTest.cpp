//===- unittests/Forward/AnswerIdentityTest.cpp - answers to other requests -===//
///
/// \file
/// A server sends a second answer to a request where the answer to the next one on that
/// connection is expected. The caller of the next request must not get it, nor what it states.
//===----------------------------------------------------------------------===//
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = asio::ip::tcp;

namespace {

constexpr milliseconds workTime { 30 };

std::string requestOf(const std::string& id)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + (id.empty() ? id : "Attempt: " + id + "\r\n") + "Connection: close\r\nContent-Length: 0\r\n\r\n";
}

/// Returns the answer \p line with the seal of the request \p id.
std::string answerOf(const std::string& line, const std::string& id)
{
    std::string body = "body of " + id;
    return "HTTP/1.1 " + line + "\r\nSeal: seal-" + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ownAnswer(const ReceivedRequest& request, const std::string& status = "200 OK")
{
    std::string id = request.field("Attempt");
    return answerOf(status + "\r\nAttempt: " + id, id);
}

/// How the second answer arrives.
enum class Arrival {
    /// Before the answer to the next request.
    First,
    /// In one write with the first part of the answer to the next request.
    Together,
};

/// Answers each request. The second one on a connection to the first server gets \p late before
/// its own answer.
ServerScript stutteringServer(const std::string& late, Arrival arrival)
{
    return [late, arrival](tcp::socket& socket, const ReceivedRequest& request) -> asio::awaitable<bool> {
        std::string own = ownAnswer(request);
        if (request.number_ == 2 && !request.server_) {
            std::string bytes = late;
            if (arrival == Arrival::Together)
                bytes += own.substr(0, 20);
            own.erase(0, bytes.size() - late.size());
            co_await send(socket, std::move(bytes));
        }
        co_await sleepFor(workTime);
        co_await send(socket, std::move(own));
        co_return true;
    };
}

Route repeatableRoute()
{
    Route route = routeOfTests();
    route.isIdempotent_ = true;
    route.maxAttempts_ = 2;
    return route;
}

} // namespace

// Guards against an answer to an earlier request that is delivered since it lacks an id.
TEST_CASE("a late answer without an id is not taken for that of the next request", "[forward]")
{
    auto status = GENERATE(values<std::string>({ "400 Bad Request", "404 Not Found", "409 Conflict", "421 Misdirected Request\r\nNot-Run: 1", "429 Too Many Requests\r\nNot-Run: 1", "500 Internal Server Error",
        "503 Service Unavailable", "503 Service Unavailable\r\nNot-Run: 1", "503 Service Unavailable\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 60" }));
    auto arrival = GENERATE(Arrival::First, Arrival::Together);
    CAPTURE(status, arrival);
    SECTION("the request may not be repeated")
    {
        ScriptedWorker worker(routeOfTests(), 1, stutteringServer(answerOf(status, "a1"), arrival));
        CHECK(worker.call(requestOf("a1")).bytes_.ends_with("body of a1"));
        std::string answer = worker.call(requestOf("a2")).bytes_;
        CAPTURE(answer);
        // The server runs the request, so that nothing may be promised.
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find("a1") == std::string::npos);
        CHECK(worker.backends().mayReceive({ "b0" }, steadyNow()));
        CHECK(worker.count(Counter::AnswersUnidentified) == 1);
        // A new connection is used, on which answers are not ambiguous.
        CHECK(worker.call(requestOf("a3")).bytes_.ends_with("body of a3"));
        CHECK(worker.call(requestOf("a4")).bytes_.ends_with("body of a4"));
    }
    SECTION("the request may be repeated")
    {
        ScriptedWorker worker(repeatableRoute(), 2, stutteringServer(answerOf(status, "a1"), arrival));
        for (int i = 1; i <= 8; ++i) {
            std::string id = "a" + std::to_string(i);
            std::string answer = worker.call(requestOf(id)).bytes_;
            CAPTURE(answer);
            CHECK(answer.starts_with("HTTP/1.1 200"));
            CHECK(answer.ends_with("body of " + id));
        }
    }
}

// Guards against a server's first answer on a connection, which can only be that to the request, that
// is not believed: its caller would be told nothing of when to return.
TEST_CASE("an answer without an id on a new connection is believed", "[forward]")
{
    struct Row {
        const char* answer_;
        const char* expected_;
    };
    auto row = GENERATE(values<Row>({
        { "503 Service Unavailable\r\nNot-Run: 1", "HTTP/1.1 503" },
        { "421 Misdirected Request", "HTTP/1.1 503" },
        { "404 Not Found", "HTTP/1.1 404" },
        { "500 Internal Server Error", "HTTP/1.1 500" },
        // A success without an id proves nothing.
        { "200 OK", "HTTP/1.1 502" },
    }));
    CAPTURE(row.answer_);
    ScriptedWorker worker(routeOfTests(), 1, [&row](tcp::socket& socket, const ReceivedRequest&) -> asio::awaitable<bool> {
        std::string bytes = answerOf(row.answer_, "a1");
        co_await send(socket, std::move(bytes));
        co_return true;
    });
    CHECK(worker.call(requestOf("a1")).bytes_.starts_with(row.expected_));
}

// Guards against answers that nothing tells apart, since the caller's request has no id.
TEST_CASE("a request without an id does not get the answer to an earlier one", "[forward]")
{
    ScriptedWorker worker(routeOfTests(), 1, stutteringServer(answerOf("400 Bad Request", "a1"), Arrival::First));
    CHECK(worker.call(requestOf("a1")).bytes_.ends_with("body of a1"));
    std::string answer = worker.call(requestOf("")).bytes_;
    CAPTURE(answer);
    CHECK(answer.find("a1") == std::string::npos);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}
