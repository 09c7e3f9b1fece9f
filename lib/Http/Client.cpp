//===- lib/Http/Client.cpp - HTTP/1.1 client over Beast --------------------===//
///
/// \file
/// Uses a new connection for each request. A stream from an engine occupies its
/// connection anyway, and other requests are too few to need a connection pool.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace pistachioloom {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t readChunk = 16UL * 1024;
    constexpr std::size_t maxLineLength = 4UL * 1024 * 1024;

    Errc errcOf(const beast::error_code& code)
    {
        if (code == beast::error::timeout)
            return Errc::Timeout;
        if (code == asio::error::operation_aborted)
            return Errc::Cancelled;
        return Errc::Reset;
    }

    class BeastBodyReader : public HttpBodyReader, public std::enable_shared_from_this<BeastBodyReader> {
    public:
        BeastBodyReader(beast::tcp_stream stream, std::string peer)
            : stream_(std::move(stream))
            , peer_(std::move(peer))
        {
            parser_.body_limit(boost::none);
        }

        beast::tcp_stream& stream() { return stream_; }

        asio::awaitable<beast::error_code> readHead()
        {
            auto [code, count] = co_await http::async_read_header(stream_, buffer_, parser_, asTuple);
            if (code)
                co_return code;
            status_ = static_cast<int>(parser_.get().result_int());
            for (const auto& field : parser_.get()) {
                std::string name(field.name_string());
                std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
                headers_[name] = std::string(field.value());
            }
            co_return beast::error_code {};
        }

        asio::awaitable<Result<std::optional<std::string>>> readLine(milliseconds timeout) override
        {
            for (;;) {
                std::size_t newline = pending_.find('\n', scanned_);
                if (newline != std::string::npos) {
                    std::string line = pending_.substr(consumed_, newline - consumed_);
                    consumed_ = newline + 1;
                    scanned_ = consumed_;
                    compact();
                    co_return std::optional(std::move(line));
                }
                scanned_ = pending_.size();
                if (pending_.size() - consumed_ > maxLineLength)
                    co_return Error { Errc::TooLarge, "read body", peer_, "line too long", Ran::Unknown, {} };
                if (parser_.is_done())
                    co_return std::optional<std::string>();
                if (auto code = co_await readMore(timeout))
                    co_return failed(code);
            }
        }

        asio::awaitable<Result<std::string>> readAll(milliseconds timeout) override
        {
            SteadyTime startedAt = steadyNow();
            std::size_t before = pending_.size();
            while (!parser_.is_done()) {
                milliseconds allowed = timeout + milliseconds((pending_.size() - before) / minBodyRate);
                auto remaining = std::chrono::duration_cast<milliseconds>(startedAt + allowed - steadyNow());
                if (remaining <= milliseconds(0))
                    co_return failed(beast::error::timeout);
                if (auto code = co_await readMore(std::min(timeout, remaining)))
                    co_return failed(code);
            }
            co_return pending_.substr(consumed_);
        }

        void cancel() override
        {
            asio::post(stream_.get_executor(), [self = shared_from_this()] { self->stream_.close(); });
        }

    private:
        asio::awaitable<beast::error_code> readMore(milliseconds timeout)
        {
            chunk_.resize(readChunk);
            parser_.get().body().data = chunk_.data();
            parser_.get().body().size = chunk_.size();
            parser_.get().body().more = true;
            stream_.expires_after(timeout);
            auto [code, count] = co_await http::async_read_some(stream_, buffer_, parser_, asTuple);
            beast::error_code outcome = code;
            if (outcome == http::error::need_buffer)
                outcome = {};
            pending_.append(chunk_.data(), readChunk - parser_.get().body().size);
            co_return outcome;
        }

        void compact()
        {
            if (consumed_ < readChunk)
                return;
            pending_.erase(0, consumed_);
            scanned_ -= consumed_;
            consumed_ = 0;
        }

        Error failed(const beast::error_code& code) const
        {
            return { errcOf(code), "read body", peer_, code.message(), Ran::Unknown, {} };
        }

        beast::tcp_stream stream_;
        std::string peer_;
        beast::flat_buffer buffer_;
        http::response_parser<http::buffer_body> parser_;
        std::string chunk_;
        // Received bytes of the body. The bytes before consumed_ have been returned, and there
        // is no newline from consumed_ to scanned_.
        std::string pending_;
        std::size_t consumed_ = 0;
        std::size_t scanned_ = 0;
    };

} // namespace

asio::awaitable<Result<std::shared_ptr<HttpBodyReader>>> openHttp(Endpoint endpoint, HttpRequest request, milliseconds timeout)
{
    auto executor = co_await asio::this_coro::executor;
    std::string peer = endpoint.toString();
    beast::error_code code;
    tcp::endpoint address(asio::ip::make_address(endpoint.host_, code), endpoint.port_);
    if (code)
        co_return Error { Errc::InvalidInput, "connect", peer, "not an IP number", Ran::No, {} };
    auto reader = std::make_shared<BeastBodyReader>(beast::tcp_stream(executor), peer);
    reader->stream().expires_after(timeout);
    auto [connectCode] = co_await reader->stream().async_connect(address, asTuple);
    if (connectCode)
        co_return Error { connectCode == beast::error::timeout ? Errc::Timeout : Errc::Unavailable, "connect", peer, connectCode.message(), Ran::No, {} };
    reader->stream().socket().set_option(tcp::no_delay(true), code);

    http::request<http::string_body> message(http::string_to_verb(request.method_), request.target_, 11);
    message.set(http::field::host, peer);
    for (const auto& [name, value] : request.headers_)
        message.set(name, value);
    message.body() = std::move(request.body_);
    message.prepare_payload();
    auto [writeCode, written] = co_await http::async_write(reader->stream(), message, asTuple);
    if (writeCode)
        co_return Error { errcOf(writeCode), "write request", peer, writeCode.message(), Ran::Unknown, {} };
    if (auto headCode = co_await reader->readHead())
        co_return Error { errcOf(headCode), "read answer", peer, headCode.message(), Ran::Unknown, {} };
    co_return std::static_pointer_cast<HttpBodyReader>(reader);
}

asio::awaitable<Result<HttpResponse>> callHttp(Endpoint endpoint, HttpRequest request, milliseconds timeout)
{
    auto opened = co_await openHttp(std::move(endpoint), std::move(request), timeout);
    if (!opened)
        co_return opened.error();
    auto body = co_await opened.value()->readAll(timeout);
    opened.value()->cancel();
    if (!body)
        co_return body.error();
    co_return HttpResponse { opened.value()->status(), opened.value()->headers(), std::move(body.value()) };
}

Result<HttpResponse> callHttpBlocking(const Endpoint& endpoint, const HttpRequest& request, milliseconds timeout)
{
    asio::io_context context;
    Result<HttpResponse> outcome = Error { Errc::Internal, "call", endpoint.toString(), "not finished", Ran::Unknown, {} };
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { outcome = co_await callHttp(endpoint, request, timeout); }, asio::detached);
    context.run();
    return outcome;
}

} // namespace pistachioloom
