//===- pistachioloom/Http.h - small HTTP/1.1 server and client -------------===//
///
/// \file
/// A thin layer over Boost.Beast used towards callers, backend servers, the
/// platform and operators: bounded requests in, whole or streamed answers out.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>

namespace pistachioloom {

namespace asio = boost::asio;

/// An address to connect to: IP number and port.
struct Endpoint {
    std::string host_;
    std::uint16_t port_ = 0;

    auto operator<=>(const Endpoint&) const = default;
    std::string toString() const { return host_ + ":" + std::to_string(port_); }
};

/// A listening acceptor on a strand of its own; port 0 lets the kernel choose.
/// Errors name \p step.
Result<std::unique_ptr<asio::ip::tcp::acceptor>> bindAcceptor(const asio::any_io_executor& executor, const Endpoint& endpoint, const std::string& step);

/// A timer on the clock of steadyNow(). After a suspension of the VM it fires with the
/// next event of its io_context, or when the nearest timer there would have fired.
using SteadyTimer = asio::basic_waitable_timer<BootClock>;

/// Suspends the calling coroutine.
asio::awaitable<void> sleepFor(milliseconds duration);

/// Header names are lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method_;
    std::string target_;
    HttpHeaders headers_;
    std::string body_;

    /// The target without its query.
    std::string path() const;
    /// The value of query parameter \p name, or an empty string.
    std::string query(std::string_view name) const;
    /// The value of header \p name (lower case), or an empty string.
    std::string header(const std::string& name) const;
};

struct HttpResponse {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
};

/// Bounds on what a server reads from one connection.
struct HttpBounds {
    ByteCount header_ { 16UL * 1024 };
    ByteCount body_ { 1024UL * 1024 };
    /// Answers announce it, see keepAliveValue().
    milliseconds idle_ { 60000 };
};

/// One request being answered. Use it from the coroutine that was given it.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    const HttpRequest& request() const { return request_; }
    /// Whether any part of an answer was written.
    bool hasStartedAnswer() const { return hasStartedAnswer_; }

    /// Writes a whole answer.
    virtual asio::awaitable<Result<void>> respond(HttpResponse response) = 0;
    /// Writes the status line and headers of a chunked answer.
    virtual asio::awaitable<Result<void>> beginStream(HttpResponse head) = 0;
    /// Writes one chunk; completes when the socket has taken it, which is the
    /// backpressure a slow reader exerts.
    virtual asio::awaitable<Result<void>> writeChunk(std::string chunk) = 0;
    virtual asio::awaitable<Result<void>> endStream() = 0;
    /// Drops the connection without finishing the answer.
    virtual void abort() = 0;

protected:
    HttpRequest request_;
    bool hasStartedAnswer_ = false;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange&)>;
/// Answers what cannot be read as a request.
using HttpErrorHook = std::function<HttpResponse(const Error&)>;

/// Accepts connections and runs a handler for each request, a strand per
/// connection.
class HttpServer {
public:
    struct State;

    HttpServer(asio::any_io_executor executor, HttpBounds bounds, HttpHandler handler, HttpErrorHook onBadRequest);

    /// Binds and starts accepting; port 0 lets the kernel choose.
    /// \returns the port bound.
    Result<std::uint16_t> listen(const Endpoint& endpoint);
    /// Stops accepting; requests in progress go on, and connections close
    /// after the answer they are writing.
    void stopAccepting();
    /// Connections still open.
    std::size_t connections() const;

private:
    std::shared_ptr<State> state_;
};

/// A response being read piece by piece.
class HttpBodyReader {
public:
    virtual ~HttpBodyReader() = default;
    int status() const { return status_; }
    const HttpHeaders& headers() const { return headers_; }
    /// The next line without its newline; nullopt at the body's regular end.
    /// An error means that the body is incomplete.
    virtual asio::awaitable<Result<std::optional<std::string>>> readLine(milliseconds timeout) = 0;
    /// Reads to the end.
    virtual asio::awaitable<Result<std::string>> readAll(milliseconds timeout) = 0;
    /// Closes the connection; safe from any thread.
    virtual void cancel() = 0;

protected:
    int status_ = 0;
    HttpHeaders headers_;
};

/// Connects, sends \p request and reads the response's head.
/// The calling coroutine must run on a strand (or a single thread), which the
/// connection then shares.
/// The error's `ran_` is No if the request was not wholly written.
asio::awaitable<Result<std::shared_ptr<HttpBodyReader>>> openHttp(Endpoint endpoint, HttpRequest request, milliseconds timeout);

/// openHttp() and readAll() in one.
asio::awaitable<Result<HttpResponse>> callHttp(Endpoint endpoint, HttpRequest request, milliseconds timeout);

/// Runs callHttp() to its end on a thread of its own, for tools and tests.
Result<HttpResponse> callHttpBlocking(const Endpoint& endpoint, const HttpRequest& request, milliseconds timeout);

/// Connects to \p endpoint and closes again. \returns why that failed, or no error;
/// operation_aborted after \p timeout.
asio::awaitable<boost::system::error_code> tryConnection(Endpoint endpoint, milliseconds timeout);

/// The `Keep-Alive` header of a connection that closes after \p idle without a request:
/// four fifths of it in whole seconds. A request sent until then arrives before the close
/// though links and queues hold it up for a fifth. Empty if that is below 1 s.
std::string keepAliveValue(milliseconds idle);

/// A JSON response of the given status.
HttpResponse jsonResponse(int status, std::string body);

/// The one error body: code, message, step, peer, ran, retry_after_ms; with
/// the HTTP status that belongs to the code, and `Retry-After` in seconds.
HttpResponse errorResponse(const Error& error);

/// Reads an error body back; falls back to the status when it is not one.
Error errorFromResponse(const HttpResponse& response, std::string step, std::string peer);

} // namespace pistachioloom
