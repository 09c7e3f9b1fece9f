//===- lib/Http/Client.cpp - HTTP/1.1 client over Beast --------------------===//
///
/// \file
/// Uses a new connection for each request. A stream from an engine occupies its
/// connection anyway, and other requests are too few to need a connection pool.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Answers.h"
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
        if (code == http::error::header_limit || code == http::error::body_limit || code == http::error::buffer_overflow)
            return Errc::TooLarge;
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
            , reader_(AnswerBounds {})
        {
        }

        beast::tcp_stream& stream() { return stream_; }

        asio::awaitable<beast::error_code> readHead()
        {
            while (!reader_.hasHead()) {
                if (auto code = co_await readSome())
                    co_return code;
            }
            status_ = static_cast<int>(reader_.message().result_int());
            for (const auto& field : reader_.message()) {
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
                if (reader_.isComplete())
                    co_return std::optional<std::string>();
                if (auto code = co_await readMore(timeout))
                    co_return failed(code);
            }
        }

        asio::awaitable<Result<std::string>> readAll(milliseconds timeout, ByteCount maxSize) override
        {
            if (reader_.limitBody(maxSize) == AnswerReader::Progress::Bad)
                co_return failed(reader_.error());
            SteadyTime startedAt = steadyNow();
            std::size_t before = pending_.size();
            while (!reader_.isComplete()) {
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
            asio::post(stream_.get_executor(), [self = shared_from_this()] {
                if (self->reader_.isComplete())
                    self->setResetOnClose(false);
                self->stream_.close();
            });
        }

        /// Sets whether a close discards what has not been sent. After an orderly close the kernel
        /// goes on sending what a broken link has delayed, so that a call takes effect that was given
        /// up seconds ago.
        void setResetOnClose(bool isReset)
        {
            beast::error_code ignored;
            stream_.socket().set_option(asio::socket_base::linger(isReset, 0), ignored);
        }

    private:
        asio::awaitable<beast::error_code> readMore(milliseconds timeout)
        {
            stream_.expires_after(timeout);
            auto code = co_await readSome();
            pending_.append(std::exchange(reader_.message().body(), {}));
            co_return code;
        }

        /// Reads until a head, a part of the body or the end of the answer has been parsed.
        asio::awaitable<beast::error_code> readSome()
        {
            for (;;) {
                AnswerReader::Progress progress = reader_.parse(input_);
                if (progress == AnswerReader::Progress::Bad)
                    co_return reader_.error();
                if (progress == AnswerReader::Progress::Advanced)
                    co_return beast::error_code {};
                auto [code, count] = co_await stream_.async_read_some(input_.prepare(readChunk), asTuple);
                if (code == asio::error::eof)
                    co_return reader_.finish();
                if (code)
                    co_return code;
                input_.commit(count);
            }
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
        beast::flat_buffer input_;
        AnswerReader reader_;
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
    reader->setResetOnClose(true);

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

asio::awaitable<Result<HttpResponse>> callHttp(Endpoint endpoint, HttpRequest request, milliseconds timeout, ByteCount maxAnswerSize)
{
    auto opened = co_await openHttp(std::move(endpoint), std::move(request), timeout);
    if (!opened)
        co_return opened.error();
    auto body = co_await opened.value()->readAll(timeout, maxAnswerSize);
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
