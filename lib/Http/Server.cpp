//===- lib/Http/Server.cpp - HTTP/1.1 server over Beast --------------------===//
///
/// \file
/// Runs one coroutine per connection, each on its own strand.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace pistachioloom {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct HttpServer::State {
    asio::any_io_executor executor_;
    HttpBounds bounds_;
    HttpHandler handler_;
    HttpErrorHook onBadRequest_;
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::atomic<bool> isAccepting_ { false };
    std::atomic<std::size_t> connections_ { 0 };
};

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Bytes of one connection that are received and not parsed, at most.
    constexpr std::size_t maxUnparsed = 64UL * 1024;

    Error writeError(const beast::error_code& code)
    {
        return { Errc::Reset, "write answer", {}, code.message(), Ran::Unknown, {} };
    }

    class BeastExchange : public HttpExchange {
    public:
        BeastExchange(beast::tcp_stream& stream, HttpRequest request, bool keepAlive, const HttpServer::State& state)
            : stream_(stream)
            , keepAlive_(keepAlive)
            , state_(state)
        {
            request_ = std::move(request);
        }

        bool keepAlive() const { return keepAlive_; }
        void closeAfter() { keepAlive_ = false; }

        asio::awaitable<Result<void>> respond(HttpResponse response) override
        {
            hasStartedAnswer_ = true;
            http::response<http::string_body> message(static_cast<http::status>(response.status_), 11);
            for (const auto& [name, value] : response.headers_)
                message.set(name, value);
            announceConnection(message);
            message.body() = std::move(response.body_);
            message.prepare_payload();
            stream_.expires_after(state_.bounds_.idleTimeout_);
            auto [code, count] = co_await http::async_write(stream_, message, asTuple);
            if (code)
                co_return failed(code);
            co_return boost::outcome_v2::success();
        }

        asio::awaitable<Result<void>> beginStream(HttpResponse head) override
        {
            hasStartedAnswer_ = true;
            http::response<http::empty_body> message(static_cast<http::status>(head.status_), 11);
            for (const auto& [name, value] : head.headers_)
                message.set(name, value);
            announceConnection(message);
            message.chunked(true);
            http::response_serializer<http::empty_body> serializer(message);
            stream_.expires_after(state_.bounds_.idleTimeout_);
            auto [code, count] = co_await http::async_write_header(stream_, serializer, asTuple);
            if (code)
                co_return failed(code);
            co_return boost::outcome_v2::success();
        }

        asio::awaitable<Result<void>> writeChunk(std::string chunk) override
        {
            stream_.expires_after(state_.bounds_.idleTimeout_);
            auto [code, count] = co_await asio::async_write(stream_, http::make_chunk(asio::buffer(chunk)), asTuple);
            if (code)
                co_return failed(code);
            co_return boost::outcome_v2::success();
        }

        asio::awaitable<Result<void>> endStream() override
        {
            auto [code, count] = co_await asio::async_write(stream_, http::make_chunk_last(), asTuple);
            if (code)
                co_return failed(code);
            co_return boost::outcome_v2::success();
        }

        void abort() override
        {
            keepAlive_ = false;
            stream_.close();
        }

        asio::awaitable<Result<void>> writeRaw(std::string bytes) override
        {
            hasStartedAnswer_ = true;
            keepAlive_ = false;
            stream_.expires_after(state_.bounds_.idleTimeout_);
            auto [code, count] = co_await asio::async_write(stream_, asio::buffer(bytes), asTuple);
            if (code)
                co_return failed(code);
            co_return boost::outcome_v2::success();
        }

        void reset() override
        {
            keepAlive_ = false;
            beast::error_code ignored;
            stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            stream_.close();
        }

    private:
        /// Sets the headers that announce whether the connection closes, or after which
        /// idle time. Without them the caller may send its next request while the server
        /// closes the connection, and the request is lost.
        template <typename Message>
        void announceConnection(Message& message)
        {
            keepAlive_ = keepAlive_ && state_.isAccepting_;
            message.keep_alive(keepAlive_);
            if (!keepAlive_) {
                message.erase(http::field::keep_alive);
                return;
            }
            std::string value = keepAliveValue(state_.bounds_.idleTimeout_);
            if (!value.empty() && message.find(http::field::keep_alive) == message.end())
                message.set(http::field::keep_alive, value);
            // `Keep-Alive` concerns this connection only, so `Connection` must list it
            // (RFC 9110, 7.6.1).
            if (message.find(http::field::keep_alive) != message.end())
                message.set(http::field::connection, "keep-alive");
        }

        Error failed(const beast::error_code& code)
        {
            keepAlive_ = false;
            return writeError(code);
        }

        beast::tcp_stream& stream_;
        bool keepAlive_;
        const HttpServer::State& state_;
    };

    HttpRequest toRequest(http::request<http::string_body> message)
    {
        HttpRequest request { std::string(message.method_string()), std::string(message.target()), {}, std::move(message.body()) };
        for (const auto& field : message) {
            std::string name(field.name_string());
            beast::string_view value = field.value();
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            request.headers_[name] = std::string(value);
        }
        return request;
    }

    Error readError(const beast::error_code& code)
    {
        bool isTooLarge = code == http::error::body_limit || code == http::error::header_limit;
        return { isTooLarge ? Errc::TooLarge : Errc::InvalidInput, "read request", {}, code.message(), Ran::No, {} };
    }

} // namespace

std::string keepAliveValue(milliseconds idle)
{
    // The header's resolution is one second.
    auto seconds = std::chrono::floor<std::chrono::seconds>(idle * 4 / 5);
    return seconds.count() >= 1 ? "timeout=" + std::to_string(seconds.count()) : std::string();
}

static asio::awaitable<void> serveConnection(std::shared_ptr<HttpServer::State> state, tcp::socket socket)
{
    CountGuard counted(state->connections_);
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    // Bounds what the parser must have as a whole, such as the line before a chunk.
    beast::flat_buffer buffer(maxUnparsed);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(state->bounds_.header_.value_));
        parser.body_limit(state->bounds_.body_.value_);
        stream.expires_after(state->bounds_.idleTimeout_);
        auto [code, count] = co_await http::async_read(stream, buffer, parser, asTuple);
        if (code == http::error::end_of_stream || code == beast::error::timeout || code == asio::error::operation_aborted)
            break;
        if (code && code.category() != make_error_code(http::error::bad_method).category())
            break;
        if (code) {
            BeastExchange exchange(stream, {}, false, *state);
            (void)co_await exchange.respond(state->onBadRequest_(readError(code)));
            break;
        }
        stream.expires_never();
        bool keepAlive = parser.get().keep_alive();
        BeastExchange exchange(stream, toRequest(parser.release()), keepAlive, *state);
        co_await state->handler_(exchange);
        if (!exchange.keepAlive() || !state->isAccepting_)
            break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

static asio::awaitable<void> acceptConnections(std::shared_ptr<HttpServer::State> state)
{
    while (state->isAccepting_) {
        auto strand = asio::make_strand(state->executor_);
        auto [code, socket] = co_await state->acceptor_->async_accept(strand, asTuple);
        if (code == asio::error::operation_aborted)
            co_return;
        if (code)
            continue;
        asio::co_spawn(strand, serveConnection(state, std::move(socket)), asio::detached);
    }
}

HttpServer::HttpServer(asio::any_io_executor executor, HttpBounds bounds, HttpHandler handler, HttpErrorHook onBadRequest)
    : state_(std::make_shared<State>())
{
    state_->executor_ = std::move(executor);
    state_->bounds_ = bounds;
    state_->handler_ = std::move(handler);
    state_->onBadRequest_ = std::move(onBadRequest);
}

Result<std::unique_ptr<tcp::acceptor>> bindAcceptor(const asio::any_io_executor& executor, const Endpoint& endpoint, const std::string& step)
{
    beast::error_code code;
    tcp::endpoint address(asio::ip::make_address(endpoint.host_, code), endpoint.port_);
    auto acceptor = std::make_unique<tcp::acceptor>(asio::make_strand(executor));
    if (!code)
        acceptor->open(address.protocol(), code);
    if (!code)
        acceptor->set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        acceptor->bind(address, code);
    if (!code)
        acceptor->listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return Error { Errc::Unavailable, step, endpoint.toString(), code.message(), Ran::No, {} };
    return acceptor;
}

Result<std::uint16_t> HttpServer::listen(const Endpoint& endpoint)
{
    auto bound = bindAcceptor(state_->executor_, endpoint, "listen");
    if (!bound)
        return bound.error();
    auto acceptor = std::move(bound.value());
    std::uint16_t port = acceptor->local_endpoint().port();
    state_->acceptor_ = std::move(acceptor);
    state_->isAccepting_ = true;
    asio::co_spawn(state_->acceptor_->get_executor(), acceptConnections(state_), asio::detached);
    return port;
}

void HttpServer::stopAccepting()
{
    if (!state_->isAccepting_.exchange(false))
        return;
    asio::post(state_->acceptor_->get_executor(), [state = state_] {
        beast::error_code ignored;
        state->acceptor_->close(ignored);
    });
}

std::size_t HttpServer::connections() const
{
    return state_->connections_;
}

} // namespace pistachioloom
