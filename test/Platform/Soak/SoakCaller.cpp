//===- test/Platform/Soak/SoakCaller.cpp - callers of the soak test -------===//
///
/// \file
/// See SoakCaller.h.
//===----------------------------------------------------------------------===//
#include "SoakCaller.h"

#include <boost/beast/http.hpp>

namespace pistachioloom::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Longer than the maximum timeout of a route, 5 s, because a frozen gateway answers
    // later.
    constexpr milliseconds ioTimeout { 12000 };
    constexpr milliseconds maxPause { 60 };
    constexpr milliseconds pauseAfterFailure { 30 };
    constexpr milliseconds crashingRequestPause { 200 };
    // The caller abandons one request in this many before its end.
    constexpr int abandonOneIn = 25;
    constexpr int maxRequestsPerConnection = 60;
    constexpr const char* deadlineMs = "3000";

    struct Connection {
        explicit Connection(const asio::any_io_executor& executor)
            : socket_(executor)
            , timer_(executor)
        {
        }

        tcp::socket socket_;
        SteadyTimer timer_;
        beast::flat_buffer buffer_;
        std::string gateway_;
        bool isOpen_ = false;
    };

    const char* pathOf(RequestKind kind)
    {
        switch (kind) {
        case RequestKind::Unsafe:
            return "/once/";
        case RequestKind::Safe:
        case RequestKind::Limited:
            return "/safe/";
        case RequestKind::ResumableStream:
            return "/draft/stream/";
        case RequestKind::UnresumableStream:
            return "/ask/stream/";
        case RequestKind::Deferrable:
            return "/batch/stream/";
        case RequestKind::Crashing:
            return "/draft/stream/crash";
        }
        return "/";
    }

    http::request<http::string_body> requestFor(const Call& call)
    {
        bool isCrashing = call.kind_ == RequestKind::Crashing;
        bool isLimited = call.kind_ == RequestKind::Limited || call.kind_ == RequestKind::Deferrable;
        http::request<http::string_body> request(http::verb::post, pathOf(call.kind_) + (isCrashing ? "" : call.id_), 11);
        request.set(http::field::host, "h.example");
        request.set(http::field::authorization, isLimited ? "Bearer key-small" : "Bearer key-north");
        request.set("X-Pistachioloom-Attempt-Id", call.id_);
        request.set("X-Pistachioloom-Deadline-Ms", deadlineMs);
        request.body() = isCrashing ? crashText : "body of " + call.id_;
        request.prepare_payload();
        return request;
    }

    /// Closes the connection after \p timeout unless the timer is cancelled before.
    void armTimeout(const std::shared_ptr<Connection>& connection, milliseconds timeout)
    {
        connection->timer_.expires_after(timeout);
        connection->timer_.async_wait([connection](const boost::system::error_code& code) {
            boost::system::error_code ignored;
            if (!code)
                connection->socket_.close(ignored);
        });
    }

    asio::awaitable<void> readAnswer(std::shared_ptr<Connection> connection, Call& call)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        auto [headCode, headCount] = co_await http::async_read_header(connection->socket_, connection->buffer_, parser, asTuple);
        if (headCode) {
            connection->isOpen_ = false;
            co_return;
        }
        call.status_ = static_cast<int>(parser.get().result_int());
        call.hasRetryAfter_ = parser.get().find(http::field::retry_after) != parser.get().end();
        auto [bodyCode, bodyCount] = co_await http::async_read(connection->socket_, connection->buffer_, parser, asTuple);
        call.isComplete_ = !bodyCode;
        call.body_ = parser.get().body();
        connection->isOpen_ = call.isComplete_ && parser.get().keep_alive();
    }

    asio::awaitable<void> exchange(std::shared_ptr<Connection> connection, Call& call, milliseconds abandonAfter)
    {
        armTimeout(connection, abandonAfter.count() ? abandonAfter : ioTimeout);
        call.hasCallerLeft_ = abandonAfter.count() > 0;
        http::request<http::string_body> request = requestFor(call);
        auto [code, count] = co_await http::async_write(connection->socket_, request, asTuple);
        // An answer may arrive although the request was not written completely.
        co_await readAnswer(connection, call);
        connection->timer_.cancel();
        call.endedAt_ = steadyNow();
        connection->isOpen_ &= !code && !call.hasCallerLeft_;
    }

    asio::awaitable<bool> connect(std::shared_ptr<Connection> connection, Endpoint address)
    {
        armTimeout(connection, ioTimeout);
        tcp::endpoint endpoint(asio::ip::make_address(address.host_), address.port_);
        auto [code] = co_await connection->socket_.async_connect(endpoint, asTuple);
        connection->timer_.cancel();
        connection->isOpen_ = !code;
        co_return !code;
    }

    asio::awaitable<void> pause(milliseconds duration)
    {
        SteadyTimer timer(co_await asio::this_coro::executor, duration);
        (void)co_await timer.async_wait(asTuple);
    }

} // namespace

std::string expectedBody(const Call& call, int events)
{
    bool isStream = call.kind_ == RequestKind::ResumableStream || call.kind_ == RequestKind::UnresumableStream || call.kind_ == RequestKind::Deferrable;
    if (!isStream)
        return std::string("POST ") + pathOf(call.kind_) + call.id_ + " body of " + call.id_;
    std::string body;
    for (int id = 1; id <= events; ++id)
        body += "id: " + std::to_string(id) + "\ndata: event " + std::to_string(id) + "\n\n";
    return body;
}

asio::awaitable<void> runCrashingCaller(std::uint64_t seed, CallerHooks hooks)
{
    std::mt19937_64 random(seed);
    auto executor = co_await asio::this_coro::executor;
    for (int sent = 0; !hooks.isOver_(); ++sent) {
        co_await pause(crashingRequestPause);
        auto connection = std::make_shared<Connection>(executor);
        auto [name, address] = hooks.pickGateway_(random);
        if (!co_await connect(connection, address))
            continue;
        Call call;
        call.id_ = "crash-" + std::to_string(sent);
        call.kind_ = RequestKind::Crashing;
        call.gateway_ = name;
        call.sentAt_ = steadyNow();
        co_await exchange(connection, call, milliseconds(0));
        hooks.onCall_(std::move(call));
    }
}

asio::awaitable<void> runCaller(std::size_t number, std::uint64_t seed, CallerHooks hooks)
{
    std::mt19937_64 random(seed);
    auto executor = co_await asio::this_coro::executor;
    std::shared_ptr<Connection> connection;
    constexpr RequestKind kinds[] = { RequestKind::Unsafe, RequestKind::Safe, RequestKind::ResumableStream, RequestKind::UnresumableStream, RequestKind::Limited, RequestKind::Deferrable };
    int requestsOnConnection = 0;
    for (int sent = 0; !hooks.isOver_(); ++sent) {
        if (!connection || !connection->isOpen_ || requestsOnConnection >= maxRequestsPerConnection) {
            connection = std::make_shared<Connection>(executor);
            requestsOnConnection = 0;
            auto [name, address] = hooks.pickGateway_(random);
            connection->gateway_ = name;
            if (!co_await connect(connection, address)) {
                co_await pause(pauseAfterFailure);
                continue;
            }
        }
        ++requestsOnConnection;
        Call call;
        call.id_ = "c" + std::to_string(number) + "-" + std::to_string(sent);
        call.kind_ = kinds[random() % std::size(kinds)];
        call.gateway_ = connection->gateway_;
        call.sentAt_ = steadyNow();
        milliseconds abandonAfter(random() % abandonOneIn ? 0 : 1 + random() % 50);
        co_await exchange(connection, call, abandonAfter);
        bool isClosed = !connection->isOpen_;
        hooks.onCall_(std::move(call));
        co_await pause(isClosed ? pauseAfterFailure : milliseconds(random() % maxPause.count()));
    }
}

} // namespace pistachioloom::test
