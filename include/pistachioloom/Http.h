//===- pistachioloom/Http.h - small HTTP/1.1 server and client -------------===//
///
/// \file
/// A thin layer over Boost.Beast for the connections with callers, backend
/// servers, the platform and operators. The server limits the size of requests
/// and writes complete or streamed responses.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/result.hpp>
#include <map>
#include <memory>
#include <optional>

namespace pistachioloom {

namespace asio = boost::asio;

/// A network address: IP address and port.
struct Endpoint {
    std::string host_;
    std::uint16_t port_ = 0;

    auto operator<=>(const Endpoint&) const = default;
    std::string toString() const { return host_ + ":" + std::to_string(port_); }
};

/// Creates a listening acceptor on its own strand. With port 0 the kernel chooses
/// the port. \p step becomes the step of a returned error.
Result<std::unique_ptr<asio::ip::tcp::acceptor>> bindAcceptor(const asio::any_io_executor& executor, const Endpoint& endpoint, const std::string& step);

/// A timer on the clock of steadyNow(). A timer that expired while the VM was suspended
/// fires with the next event of its io_context after the suspension, at the latest when
/// the remaining wait for the nearest timer there has passed.
using SteadyTimer = asio::basic_waitable_timer<BootClock>;

/// Suspends the calling coroutine for \p duration.
asio::awaitable<void> sleepFor(milliseconds duration);

/// Header fields by name; names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method_;
    std::string target_;
    HttpHeaders headers_;
    std::string body_;

    /// Returns the target without its query.
    std::string path() const;
    /// Returns the value of query parameter \p name, or an empty string.
    std::string query(std::string_view name) const;
    /// Returns the value of header \p name (in lower case), or an empty string.
    std::string header(const std::string& name) const;
};

struct HttpResponse {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
};

/// Limits that a server applies to each connection.
struct HttpBounds {
    /// Maximum size of a request's head.
    ByteCount header_ { 16UL * 1024 };
    /// Maximum size of a request's body.
    ByteCount body_ { 1024UL * 1024 };
    /// Time without a request after which the server closes the connection. Responses
    /// announce it, see keepAliveValue(). A write that takes longer fails.
    milliseconds idleTimeout_ { 60000 };
};

/// A request and the response to it. Only the handler's coroutine may use it.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    const HttpRequest& request() const { return request_; }
    /// Whether the handler has started to write a response.
    bool hasStartedAnswer() const { return hasStartedAnswer_; }

    /// Writes a complete response.
    virtual asio::awaitable<Result<void>> respond(HttpResponse response) = 0;
    /// Writes the status line and headers of a chunked response.
    virtual asio::awaitable<Result<void>> beginStream(HttpResponse head) = 0;
    /// Writes one chunk and completes when the socket has accepted it, so that a slow
    /// reader exerts backpressure on the handler.
    virtual asio::awaitable<Result<void>> writeChunk(std::string chunk) = 0;
    /// Writes the last chunk, which ends the response.
    virtual asio::awaitable<Result<void>> endStream() = 0;
    /// Closes the connection without completing the response.
    virtual void abort() = 0;
    /// Writes \p bytes as they are, for a response whose head and framing the handler writes
    /// itself. The connection closes after it.
    virtual asio::awaitable<Result<void>> writeRaw(std::string bytes) = 0;
    /// Resets the connection, which discards what has not been sent yet.
    virtual void reset() = 0;

protected:
    HttpRequest request_;
    bool hasStartedAnswer_ = false;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange&)>;
/// Creates the response to input that is not a valid request.
using HttpErrorHook = std::function<HttpResponse(const Error&)>;

/// Accepts connections and runs a handler for each request. Each connection has
/// its own strand.
class HttpServer {
public:
    struct State;

    HttpServer(asio::any_io_executor executor, HttpBounds bounds, HttpHandler handler, HttpErrorHook onBadRequest);

    /// Binds \p endpoint and starts to accept connections. With port 0 the kernel chooses
    /// the port.
    /// \returns the bound port.
    Result<std::uint16_t> listen(const Endpoint& endpoint);
    /// Stops accepting connections. Requests in progress complete, and each connection
    /// closes after its current response. An idle connection closes after the response to
    /// its next request, or at its idle timeout.
    void stopAccepting();
    /// Returns the number of open connections.
    std::size_t connections() const;

private:
    std::shared_ptr<State> state_;
};

/// The maximum size of a response's body that is read as a whole.
inline constexpr ByteCount defaultMaxAnswerSize { 8UL * 1024 * 1024 };

/// Reads the body of a response incrementally.
class HttpBodyReader {
public:
    virtual ~HttpBodyReader() = default;
    int status() const { return status_; }
    const HttpHeaders& headers() const { return headers_; }
    /// Returns the next line without its newline, or nullopt at the regular end of the
    /// body. An error means that the body is incomplete. \p timeout limits each read from
    /// the connection.
    virtual asio::awaitable<Result<std::optional<std::string>>> readLine(milliseconds timeout) = 0;
    /// Reads the rest of the body. Fails if nothing arrives for \p timeout, if the body
    /// takes longer than \p timeout and the time of the bytes received at minBodyRate, or if
    /// it is larger than \p maxSize (Errc::TooLarge).
    virtual asio::awaitable<Result<std::string>> readAll(milliseconds timeout, ByteCount maxSize = defaultMaxAnswerSize) = 0;
    /// Closes the connection. May be called from any thread.
    virtual void cancel() = 0;

protected:
    int status_ = 0;
    HttpHeaders headers_;
};

/// Connects, sends \p request and reads the status line and headers of the response, all
/// within \p timeout.
/// The calling coroutine must run on a strand (or a single thread); the connection uses
/// the same executor. The error's `ran_` is No if no connection was made, and Unknown
/// once writing has started.
asio::awaitable<Result<std::shared_ptr<HttpBodyReader>>> openHttp(Endpoint endpoint, HttpRequest request, milliseconds timeout);

/// The lowest mean rate of a body that readAll() accepts, in bytes per millisecond. 1 MB may
/// take 16 s.
inline constexpr std::uint64_t minBodyRate = 64;

/// Combines openHttp() and readAll(). \p timeout applies to each of them.
asio::awaitable<Result<HttpResponse>> callHttp(Endpoint endpoint, HttpRequest request, milliseconds timeout, ByteCount maxAnswerSize = defaultMaxAnswerSize);

/// Runs callHttp() to completion on the calling thread, for tools and tests.
Result<HttpResponse> callHttpBlocking(const Endpoint& endpoint, const HttpRequest& request, milliseconds timeout);

/// Connects to \p endpoint.
/// \returns the connected socket or the error of the attempt: invalid_argument if the host is not
/// an IP number, timed_out after \p timeout.
asio::awaitable<boost::system::result<std::shared_ptr<asio::ip::tcp::socket>>> connectWithin(Endpoint endpoint, milliseconds timeout);

/// Connects to \p endpoint and closes the connection.
/// \returns the error of the attempt as connectWithin() does.
asio::awaitable<boost::system::error_code> tryConnection(Endpoint endpoint, milliseconds timeout);

/// The write on a connection whose other end may answer before it has read everything.
struct WriteState {
    bool isInProgress_ = false;
    /// Why the write failed, if it did.
    boost::system::error_code error_;
};

/// Returns the error that ended the connection of \p socket when a read reports the end, or no error if
/// the other end closed it in order. The kernel reports a reset once: if a write receives it, the reads that
/// follow report an orderly end. Waits for the write if it is about to fail.
asio::awaitable<boost::system::error_code> errorAtEnd(asio::ip::tcp::socket& socket, const WriteState& write);

/// Returns the `Keep-Alive` header of a connection that closes after \p idle without a
/// request: four fifths of \p idle in whole seconds, or an empty string below 1 s. A request
/// that is sent within this time still arrives before the close if the network and queues
/// delay it by up to a fifth of \p idle.
std::string keepAliveValue(milliseconds idle);

/// Creates a JSON response with the given status.
HttpResponse jsonResponse(int status, std::string body);

/// Creates the response for \p error: a JSON body with code, message, step, peer, ran and
/// retry_after_ms, the HTTP status that belongs to the code, and `Retry-After` in seconds.
HttpResponse errorResponse(const Error& error);

/// Parses the error body of \p response. Without a valid error body the code is
/// Errc::Internal and the message names the HTTP status.
Error errorFromResponse(const HttpResponse& response, std::string step, std::string peer);

} // namespace pistachioloom
