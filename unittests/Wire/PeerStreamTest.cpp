//===- unittests/Wire/PeerStreamTest.cpp - streams between peers -----------===//
///
/// \file
/// Tests calls, large frames, refused streams, wrong credentials, cancellation and
/// timeouts between a pool and a server on loopback.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Wire.h"

#include "generated/Peer.pb.h"
#include <array>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <iostream>
#include <thread>

using namespace pistachioloom;

namespace {

const std::string credential = "a-credential-of-tests";
constexpr milliseconds callTimeout { 10000 };

wire::Frame makeUpdate(std::size_t size)
{
    wire::Frame frame;
    frame.mutable_catalogue_update()->set_snapshot(std::string(size, 'x'));
    return frame;
}

/// A server that sends back each frame of a stream. It refuses the stream of a
/// vm_list_fetch, and answers a catalogue_fetch with frames until the stream is reset.
class EchoServer {
public:
    EchoServer()
        : work_(asio::make_work_guard(io_))
        , server_(
              io_.get_executor(), credential, [this](std::shared_ptr<PeerStream> stream) { return echo(std::move(stream)); },
              [this](const Error& error) { errors_.push_back(describe(error)); std::cerr << describe(error) << std::endl; })
    {
        endpoint_ = { "127.0.0.1", server_.listen({ "127.0.0.1", 0 }).value() };
        thread_ = std::thread([this] { io_.run(); });
    }

    ~EchoServer()
    {
        io_.stop();
        thread_.join();
    }

    PeerServer& server() { return server_; }
    const Endpoint& endpoint() const { return endpoint_; }

    Result<wire::Frame> call(PeerPool& pool, const Endpoint& peer, const wire::Frame& frame)
    {
        std::promise<Result<wire::Frame>> replied;
        auto task = [&]() -> asio::awaitable<void> {
            auto reply = co_await pool.call(peer, frame, callTimeout);
            replied.set_value(std::move(reply));
        };
        asio::co_spawn(asio::make_strand(io_), task, asio::detached);
        return replied.get_future().get();
    }

    asio::io_context io_;
    /// The error of send() that ended the stream of a catalogue_fetch.
    std::promise<Errc> sendError_;

private:
    asio::awaitable<void> sendUntilReset(std::shared_ptr<PeerStream> stream)
    {
        for (;;) {
            auto sent = co_await stream->send(makeUpdate(1));
            if (sent)
                continue;
            sendError_.set_value(sent.error().code_);
            co_return;
        }
    }

    asio::awaitable<void> echo(std::shared_ptr<PeerStream> stream)
    {
        for (;;) {
            auto frame = co_await stream->receive();
            if (!frame)
                break;
            if (frame.value().has_vm_list_fetch()) {
                stream->refuse();
                co_return;
            }
            if (frame.value().has_catalogue_fetch()) {
                co_await sendUntilReset(std::move(stream));
                co_return;
            }
            (void)co_await stream->send(frame.value());
        }
        stream->finish();
    }

    asio::executor_work_guard<asio::io_context::executor_type> work_;
    PeerServer server_;
    std::vector<std::string> errors_;
    Endpoint endpoint_;
    std::thread thread_;
};

} // namespace

TEST_CASE("a call gets back the frame that it sent, whatever its size")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    auto size = GENERATE(std::size_t { 0 }, std::size_t { 100 }, std::size_t { 70000 }, std::size_t { 300000 }, std::size_t { 3000000 });
    auto reply = echo.call(pool, echo.endpoint(), makeUpdate(size));
    INFO((reply ? std::string("good") : describe(reply.error())));
    REQUIRE(reply);
    CHECK(reply.value().catalogue_update().snapshot().size() == size);
}

TEST_CASE("the error of a wrong credential states that the request has not run")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), "another-credential", {});
    auto reply = echo.call(pool, echo.endpoint(), makeUpdate(1));
    REQUIRE(!reply);
    CHECK(reply.error().ran_ == Ran::No);
}

TEST_CASE("the errors of a refused stream and a draining server state that the request has not run")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    wire::Frame refused;
    refused.mutable_vm_list_fetch();
    auto reply = echo.call(pool, echo.endpoint(), refused);
    REQUIRE(!reply);
    CHECK(reply.error().ran_ == Ran::No);
    echo.server().refuseNewStreams();
    reply = echo.call(pool, echo.endpoint(), makeUpdate(1));
    REQUIRE(!reply);
    CHECK(reply.error().ran_ == Ran::No);
}

TEST_CASE("the error of an unreachable peer states that the request has not run")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    Endpoint closedPort { "127.0.0.1", 1 };
    auto reply = echo.call(pool, closedPort, makeUpdate(1));
    REQUIRE(!reply);
    CHECK(reply.error().ran_ == Ran::No);
}

TEST_CASE("a peer can distinguish a cancelled stream from a released one")
{
    auto isCancelled = GENERATE(true, false);
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    auto task = [&]() -> asio::awaitable<void> {
        wire::Frame frame;
        frame.mutable_catalogue_fetch();
        auto opened = co_await pool.open(echo.endpoint(), frame, callTimeout);
        auto first = co_await opened.value()->receive();
        if (isCancelled)
            opened.value()->cancel();
        else
            opened.value()->release();
    };
    asio::co_spawn(asio::make_strand(echo.io_), task, asio::detached);
    CHECK(echo.sendError_.get_future().get() == (isCancelled ? Errc::Cancelled : Errc::Reset));
}

TEST_CASE("a stream to a frozen peer is reset before its deadline")
{
    EchoServer echo;
    asio::io_context io;
    KeepAlive keepAlive { milliseconds(20), 3 };
    PeerPool pool(io.get_executor(), credential, {}, keepAlive);
    std::optional<Errc> ended;
    auto task = [&]() -> asio::awaitable<void> {
        auto opened = co_await pool.open(echo.endpoint(), makeUpdate(1), callTimeout);
        auto first = co_await opened.value()->receive();
        // An idle stream of a responsive peer stays open.
        SteadyTimer timer(io, milliseconds(300));
        co_await timer.async_wait(asio::use_awaitable);
        auto sent = co_await opened.value()->send(makeUpdate(2));
        auto second = co_await opened.value()->receive();
        REQUIRE(second);
        echo.io_.stop();
        auto third = co_await opened.value()->receiveWithin(callTimeout);
        ended = third.error().code_;
        pool.stop();
    };
    asio::co_spawn(asio::make_strand(io), task, asio::detached);
    io.run();
    CHECK(ended == Errc::Reset);
}

namespace {

/// The longest of several waits, including one that has not ended.
class WaitMeter {
public:
    void begin()
    {
        end();
        begunAt_ = steadyNow();
    }

    void end()
    {
        longest_ = longest();
        begunAt_.reset();
    }

    milliseconds longest() const
    {
        return begunAt_ ? std::max(longest_, std::chrono::duration_cast<milliseconds>(steadyNow() - *begunAt_)) : longest_;
    }

private:
    std::optional<SteadyTime> begunAt_;
    milliseconds longest_ {};
};

/// Limits on the traffic from the server to the pool.
struct ThrottledLink {
    /// Delay before each chunk of up to 16 KiB is forwarded. Smaller chunks than maxControl
    /// are not delayed, so that the number of control frames has no influence on the delays.
    milliseconds pause_;
    /// Bytes after which the forwarding stops.
    std::size_t maxBytes_;
    /// Called when the forwarding stops because of maxBytes_.
    std::function<void()> onStop_ = [] {};

    static constexpr std::size_t maxControl = 1024;
};

asio::awaitable<void> forward(std::shared_ptr<asio::ip::tcp::socket> from, std::shared_ptr<asio::ip::tcp::socket> to, ThrottledLink speed)
{
    std::vector<char> buffer(16UL * 1024);
    SteadyTimer timer(from->get_executor());
    for (std::size_t sent = 0; sent < speed.maxBytes_;) {
        auto [code, count] = co_await from->async_read_some(asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        if (code)
            co_return;
        timer.expires_after(count < ThrottledLink::maxControl ? milliseconds {} : speed.pause_);
        co_await timer.async_wait(asio::use_awaitable);
        auto [writeCode, written] = co_await asio::async_write(*to, asio::buffer(buffer, count), asio::as_tuple(asio::use_awaitable));
        if (writeCode)
            co_return;
        sent += written;
    }
    speed.onStop_();
}

/// Accepts one connection and forwards it to \p server.
asio::awaitable<void> proxyOneConnection(std::shared_ptr<asio::ip::tcp::acceptor> acceptor, Endpoint server, ThrottledLink speed)
{
    auto near = std::make_shared<asio::ip::tcp::socket>(co_await acceptor->async_accept(asio::use_awaitable));
    auto far = std::make_shared<asio::ip::tcp::socket>(acceptor->get_executor());
    asio::ip::tcp::endpoint address(asio::ip::make_address(server.host_), server.port_);
    co_await far->async_connect(address, asio::use_awaitable);
    ThrottledLink fast { milliseconds(0), SIZE_MAX };
    asio::co_spawn(acceptor->get_executor(), forward(near, far, fast), asio::detached);
    asio::co_spawn(acceptor->get_executor(), forward(far, near, speed), asio::detached);
}

/// A receive() with timeouts over a throttled link, and whether and when it ends.
struct TimeoutCase {
    std::string name_;
    ThrottledLink link_;
    milliseconds idleTimeout_;
    milliseconds totalTimeout_;
    bool isReceived_;
    milliseconds minElapsed_;
    milliseconds maxElapsed_;
};

const std::vector<TimeoutCase> timeoutCases {
    { "a slow frame that keeps arriving", { milliseconds(20), SIZE_MAX }, milliseconds(200), callTimeout, true, milliseconds(300), callTimeout },
    { "a frame that exceeds the total timeout", { milliseconds(20), SIZE_MAX }, milliseconds(200), milliseconds(250), false, milliseconds(250), milliseconds(2000) },
    { "a peer that sends nothing", { milliseconds(0), 1 }, milliseconds(200), callTimeout, false, milliseconds(200), milliseconds(2000) },
    { "a frame that stops arriving", { milliseconds(20), 100UL * 1024 }, milliseconds(200), callTimeout, false, milliseconds(300), milliseconds(2000) },
};

} // namespace

namespace {

/// How the receive() of a TimeoutCase ended.
struct TimeoutRun {
    std::optional<Errc> failed_;
    milliseconds elapsed_ {};
    /// The longest time for which the load of the machine delayed the frame's bytes or the
    /// thread of the test.
    milliseconds longestDelay_ {};
};

/// Measures the delays of one receive().
struct DelayMeter {
    WaitMeter thread_;
    /// Runs until the link stops forwarding.
    WaitMeter arrival_;
    bool hasStopped_ = false;
    std::shared_ptr<PeerStream> stream_;

    milliseconds longest() const { return std::max(thread_.longest(), arrival_.longest()); }

    void stop()
    {
        arrival_.end();
        hasStopped_ = true;
    }

    asio::awaitable<void> run()
    {
        SteadyTimer timer(co_await asio::this_coro::executor);
        std::uint64_t known = 0;
        arrival_.begin();
        for (;;) {
            thread_.begin();
            timer.expires_after(milliseconds(5));
            co_await timer.async_wait(asio::use_awaitable);
            std::uint64_t received = stream_ ? stream_->bytesReceived().value_ : 0;
            if (!hasStopped_ && received != known)
                arrival_.begin();
            known = received;
        }
    }
};

/// Runs \p row with its times multiplied by \p scale.
TimeoutRun runTimeoutCase(const TimeoutCase& row, int scale)
{
    EchoServer echo;
    DelayMeter delays;
    TimeoutRun run;
    asio::io_context io;
    ThrottledLink link { row.link_.pause_ * scale, row.link_.maxBytes_, [&] { delays.stop(); } };
    auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(io, proxyOneConnection(acceptor, echo.endpoint(), link), asio::detached);
    asio::co_spawn(io, delays.run(), asio::detached);
    Endpoint proxy { "127.0.0.1", acceptor->local_endpoint().port() };
    // The keep-alive must not close the link before the idle timeout.
    PeerPool pool(io.get_executor(), credential, {}, KeepAlive { milliseconds(1000) * scale, 3 });
    SteadyTime startedAt = steadyNow();
    auto task = [&]() -> asio::awaitable<void> {
        auto opened = co_await pool.open(proxy, makeUpdate(300000), callTimeout);
        delays.stream_ = opened.value();
        auto reply = co_await opened.value()->receiveWithin(row.idleTimeout_ * scale, row.totalTimeout_ * scale);
        run.elapsed_ = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
        run.longestDelay_ = delays.longest();
        if (!reply)
            run.failed_ = reply.error().code_;
        delays.stream_.reset();
        io.stop();
    };
    asio::co_spawn(asio::make_strand(io), task, asio::detached);
    io.run();
    return run;
}

} // namespace

TEST_CASE("a large frame is awaited while it arrives, and an idle stream is cancelled")
{
    auto index = GENERATE(range(std::size_t { 0 }, timeoutCases.size()));
    const TimeoutCase& row = timeoutCases[index];
    INFO(row.name_);
    // On a busy machine the bytes may be late by the idle timeout, so that the stream is
    // rightly cancelled. A run with such a delay is repeated with longer times; the last
    // run counts in any case.
    constexpr int maxScale = 16;
    int scale = 1;
    TimeoutRun run = runTimeoutCase(row, scale);
    while (scale < maxScale && run.longestDelay_ > row.idleTimeout_ * scale / 2) {
        scale *= 2;
        run = runTimeoutCase(row, scale);
    }
    INFO("times multiplied by " << scale << ", longest delay " << run.longestDelay_.count() << " ms");
    CHECK(run.failed_.has_value() != row.isReceived_);
    if (run.failed_)
        CHECK(run.failed_ == Errc::Timeout);
    CHECK(run.elapsed_ >= row.minElapsed_ * scale);
    CHECK(run.elapsed_ <= row.maxElapsed_ * scale);
}

namespace {

// Tolerance of the time bounds below.
constexpr milliseconds slack { 200 };

/// Listens, and does not answer further attempts to connect once two connections wait.
class DroppingListener {
public:
    DroppingListener()
        : acceptor_(io_)
    {
        asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(address.protocol());
        acceptor_.bind(address);
        acceptor_.listen(0);
        for (auto& socket : waiting_) {
            auto ignore = [](boost::system::error_code) {};
            socket.async_connect(acceptor_.local_endpoint(), ignore);
        }
        io_.poll();
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::array<asio::ip::tcp::socket, 2> waiting_ { asio::ip::tcp::socket(io_), asio::ip::tcp::socket(io_) };
};

/// Runs \p task on \p io and returns how long it took.
milliseconds timeOf(asio::io_context& io, std::function<asio::awaitable<void>()> task)
{
    SteadyTime startedAt = steadyNow();
    milliseconds elapsed {};
    auto timed = [&]() -> asio::awaitable<void> {
        co_await task();
        elapsed = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
    };
    asio::co_spawn(asio::make_strand(io), timed, asio::detached);
    io.run();
    io.restart();
    return elapsed;
}

} // namespace

TEST_CASE("opening a stream to a peer that does not answer connection attempts ends at the timeout")
{
    auto timeout = GENERATE(milliseconds(100), milliseconds(300), milliseconds(500));
    DroppingListener peer;
    asio::io_context io;
    PeerPool pool(io.get_executor(), credential, {});
    std::optional<Error> error;
    milliseconds elapsed = timeOf(io, [&]() -> asio::awaitable<void> {
        auto opened = co_await pool.open(peer.endpoint(), makeUpdate(1), timeout);
        if (!opened)
            error = opened.error();
    });
    REQUIRE(error);
    CHECK(error->code_ == Errc::Unavailable);
    CHECK(error->ran_ == Ran::No);
    CHECK(elapsed >= timeout);
    CHECK(elapsed <= timeout + slack);
}

TEST_CASE("a call ends at its timeout, whether the peer connects late or not at all")
{
    constexpr milliseconds timeout { 400 };
    DroppingListener peer;
    asio::io_context io;
    PeerPool pool(io.get_executor(), credential, {});
    bool isAnswered = true;
    milliseconds elapsed = timeOf(io, [&]() -> asio::awaitable<void> {
        auto reply = co_await pool.call(peer.endpoint(), makeUpdate(1), timeout);
        isAnswered = reply.has_value();
    });
    CHECK_FALSE(isAnswered);
    CHECK(elapsed <= timeout + slack);
}

TEST_CASE("a call after one that timed out on a dead link uses a new connection")
{
    constexpr milliseconds timeout { 200 };
    EchoServer echo;
    asio::io_context io;
    auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Endpoint proxy { "127.0.0.1", acceptor->local_endpoint().port() };
    // The first connection forwards nothing to the pool.
    ThrottledLink dead { milliseconds(0), 0 };
    ThrottledLink working { milliseconds(0), SIZE_MAX };
    auto proxies = [&]() -> asio::awaitable<void> {
        co_await proxyOneConnection(acceptor, echo.endpoint(), dead);
        co_await proxyOneConnection(acceptor, echo.endpoint(), working);
    };
    asio::co_spawn(io, proxies, asio::detached);
    PeerPool pool(io.get_executor(), credential, {});
    std::vector<bool> answered;
    auto task = [&]() -> asio::awaitable<void> {
        for (int i = 0; i < 2; ++i) {
            auto reply = co_await pool.call(proxy, makeUpdate(1), timeout);
            answered.push_back(reply.has_value());
        }
        pool.stop();
        io.stop();
    };
    asio::co_spawn(asio::make_strand(io), task, asio::detached);
    io.run();
    CHECK(answered == std::vector<bool> { false, true });
}

namespace {

/// Accepts one connection, forwards it to \p server, and ends it after some bytes of the server while bytes of
/// the pool are not read.
asio::awaitable<void> endConnectionWhileWriting(std::shared_ptr<asio::ip::tcp::acceptor> acceptor, Endpoint server, bool isReset)
{
    constexpr std::size_t maxFromPool = 64UL * 1024;
    constexpr std::size_t maxFromServer = 16UL * 1024;
    auto near = std::make_shared<asio::ip::tcp::socket>(co_await acceptor->async_accept(asio::use_awaitable));
    auto far = std::make_shared<asio::ip::tcp::socket>(acceptor->get_executor());
    asio::ip::tcp::endpoint address(asio::ip::make_address(server.host_), server.port_);
    co_await far->async_connect(address, asio::use_awaitable);
    asio::co_spawn(acceptor->get_executor(), forward(near, far, { milliseconds(0), maxFromPool }), asio::detached);
    co_await forward(far, near, { milliseconds(0), maxFromServer });
    co_await sleepFor(milliseconds(20));
    boost::system::error_code ignored;
    if (isReset)
        near->set_option(asio::socket_base::linger(true, 0), ignored);
    else
        near->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    near->close(ignored);
}

/// Sends frames until the stream ends.
asio::awaitable<void> sendUntilEnd(std::shared_ptr<PeerStream> stream)
{
    wire::Frame frame = makeUpdate(64UL * 1024);
    while (co_await stream->send(frame)) { }
}

} // namespace

// Guards against a stream that passes for one that the peer has ended, because the link's write received
// the error of the reset and its read saw an orderly end.
TEST_CASE("a stream looks ended if its link ends while it is being written")
{
    bool isReset = GENERATE(true, false);
    for (int i = 0; i < 20; ++i) {
        CAPTURE(isReset, i);
        EchoServer echo;
        PeerPool pool(echo.io_.get_executor(), credential, {});
        auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(echo.io_, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        Endpoint proxy { "127.0.0.1", acceptor->local_endpoint().port() };
        asio::co_spawn(echo.io_, endConnectionWhileWriting(acceptor, echo.endpoint(), isReset), asio::detached);
        std::promise<Errc> end;
        auto task = [&]() -> asio::awaitable<void> {
            wire::Frame frame;
            frame.mutable_catalogue_fetch();
            auto opened = co_await pool.open(proxy, frame, callTimeout);
            asio::co_spawn(co_await asio::this_coro::executor, sendUntilEnd(opened.value()), asio::detached);
            for (;;) {
                auto received = co_await opened.value()->receive();
                if (received)
                    continue;
                end.set_value(received.error().code_);
                co_return;
            }
        };
        asio::co_spawn(asio::make_strand(echo.io_), task, asio::detached);
        CHECK(end.get_future().get() == Errc::Reset);
    }
}

// Guards against a sender that waits for ever, with all that it holds, because its stream ended while the
// flow control window was full.
TEST_CASE("sending on a stream does not return when the stream ends")
{
    EchoServer echo;
    PeerPool pool(echo.io_.get_executor(), credential, {});
    std::promise<void> end;
    auto task = [&]() -> asio::awaitable<void> {
        // The server does not read from this stream.
        wire::Frame frame;
        frame.mutable_catalogue_fetch();
        auto opened = co_await pool.open(echo.endpoint(), frame, callTimeout);
        auto stream = opened.value();
        asio::co_spawn(co_await asio::this_coro::executor, sendUntilEnd(stream), [&](const std::exception_ptr&) { end.set_value(); });
        co_await sleepFor(milliseconds(100));
        stream->cancel();
    };
    asio::co_spawn(asio::make_strand(echo.io_), task, asio::detached);
    CHECK(end.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
}
