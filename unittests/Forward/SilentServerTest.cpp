//===- unittests/Forward/SilentServerTest.cpp - servers that fall silent ---===//
///
/// \file
/// Guards against an answer that ends because its server was silent for a while: an attempt may be
/// given up only if another one is certain to take its place.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Forward.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds timeout { 5000 };
constexpr milliseconds stallTimeout { 150 };
// The wait limit for the first event is a multiple of it.
constexpr milliseconds objective { 50 };
constexpr milliseconds silence { 700 };
constexpr int events = 4;
const ServiceName service { "s" };
const std::array servers { BackendId { "b1" }, BackendId { "b2" } };

std::shared_ptr<const RouteTable> makeTable()
{
    Route route;
    route.name_ = "r";
    route.host_ = "h";
    route.pathPrefix_ = "/";
    route.isStream_ = true;
    route.isResumable_ = true;
    route.maxAttempts_ = 2;
    route.timeout_ = timeout;
    route.objective_ = objective;
    route.split_ = { { service, 1 } };
    ServicePolicy policy;
    policy.name_ = service;
    policy.maxConnections_ = 100;
    RouteConfiguration configuration;
    configuration.routes_ = { route };
    configuration.services_ = { policy };
    return RouteTable::build(std::move(configuration));
}

std::string chunk(const std::string& bytes)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string event(int id)
{
    return chunk("id: " + std::to_string(id) + "\ndata: e\n\n");
}

/// Streams the events after the last one that the request names. On the first request of all
/// servers it is silent before the event \p silentBefore.
asio::awaitable<void> stream(tcp::socket socket, int silentBefore, std::shared_ptr<int> requests)
{
    std::string request;
    (void)co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
    // Probes connect and send nothing.
    if (request.empty())
        co_return;
    bool fallsSilent = !(*requests)++;
    std::size_t named = request.find("Last-Event: ");
    int last = named == std::string::npos ? 0 : std::stoi(request.substr(named + 12));
    std::string head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    (void)co_await asio::async_write(socket, asio::buffer(head), asTuple);
    for (int id = last + 1; id <= events; ++id) {
        if (fallsSilent && id == silentBefore)
            co_await sleepFor(silence);
        std::string bytes = event(id);
        auto [code, count] = co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        if (code)
            co_return;
    }
    std::string lastChunk = "0\r\n\r\n";
    (void)co_await asio::async_write(socket, asio::buffer(lastChunk), asTuple);
}

asio::awaitable<void> serve(tcp::acceptor& acceptor, int silentBefore, std::shared_ptr<int> requests)
{
    for (;;) {
        auto [code, socket] = co_await acceptor.async_accept(asTuple);
        if (code)
            co_return;
        asio::co_spawn(acceptor.get_executor(), stream(std::move(socket), silentBefore, requests), asio::detached);
    }
}

/// Sends a request and reads its answer up to its end or the end of the connection.
asio::awaitable<void> sendRequest(std::uint16_t port, std::string& answer)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asio::use_awaitable);
    const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    (void)co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "0\r\n\r\n", asTuple);
}

/// A worker with two backend servers.
class WorkerWithServers {
public:
    WorkerWithServers(RetrySettings retries, int silentBefore)
        : retries_(retries)
    {
        for (std::size_t i = 0; i < servers.size(); ++i) {
            acceptors_.emplace_back(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            BackendRecord backend;
            backend.id_ = servers[i];
            backend.name_ = { servers[i].value_ };
            backend.service_ = service;
            backend.dataCentre_ = { "a" };
            backend.endpoint_ = { "127.0.0.1", acceptors_.back().local_endpoint().port() };
            (void)backends_.put(backend);
        }
        context_.names_.attempt_ = "Attempt";
        context_.names_.seal_ = "Seal";
        context_.names_.lastEvent_ = "Last-Event";
        context_.names_.notRun_ = "Not-Run";
        context_.names_.leaving_ = "Leaving";
        context_.settings_.streamStallTimeout_ = stallTimeout;
        context_.hooks_.table_ = [table = makeTable()] { return table; };
        context_.hooks_.onStatement_ = [](const BackendStatement&) {};
        for (tcp::acceptor& acceptor : acceptors_)
            asio::co_spawn(io_, serve(acceptor, silentBefore, requests_), asio::detached);
    }

    BackendTable& backends() { return backends_; }
    int requests() const { return *requests_; }
    std::uint64_t endedEarly() const { return metrics_.value(Counter::AnswersEndedEarly); }

    /// Sends a request, and calls \p change soon after. \returns its answer.
    std::string call(const std::function<void(BackendTable&)>& change)
    {
        ForwardWorker worker(io_, context_);
        std::uint16_t port = worker.listen({ "127.0.0.1", 0 }).value();
        std::string answer;
        asio::co_spawn(io_, sendRequest(port, answer), [&](const std::exception_ptr&) { io_.stop(); });
        asio::steady_timer timer(io_, stallTimeout / 3);
        timer.async_wait([&](const boost::system::error_code&) { change(backends_); });
        io_.run_for(2 * timeout);
        return answer;
    }

private:
    asio::io_context io_;
    std::deque<tcp::acceptor> acceptors_;
    std::shared_ptr<int> requests_ = std::make_shared<int>(0);
    BackendTable backends_ { { "a" }, {} };
    ServicePaths paths_;
    QuotaLimiter quotas_ { steadyNow(), {} };
    ServiceRetryBudget retries_;
    QuarantineTable quarantine_ { {} };
    CrashDetector crashes_ { quarantine_ };
    RolloutTracker rollouts_ { {} };
    Metrics metrics_;
    ForwardContext context_ { {}, {}, {}, "secret", backends_, paths_, quotas_, retries_, quarantine_, crashes_, rollouts_, metrics_, {}, {}, {}, {} };
};

int countOf(const std::string& text, const std::string& part)
{
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("a server's silence does not end a stream", "[forward]")
{
    struct Row {
        const char* name_;
        double retries_;
        std::function<void(BackendTable&)> change_;
        /// Requests that the servers get.
        int requests_;
    };
    auto nothing = [](BackendTable&) {};
    auto bothLeave = [](BackendTable& backends) {
        for (const BackendId& id : servers)
            backends.setLeaving(id, steadyNow());
    };
    auto bothPause = [](BackendTable& backends) {
        for (const BackendId& id : servers)
            backends.setPause(id, timeout, steadyNow());
    };
    auto bothAreFull = [](BackendTable& backends) {
        for (const BackendId& id : servers)
            backends.end(id, { BackendOutcome::Full }, steadyNow());
    };
    auto bothFail = [](BackendTable& backends) {
        for (int i = 0; i < 4; ++i) {
            for (const BackendId& id : servers)
                backends.end(id, { BackendOutcome::Unreachable }, steadyNow());
        }
    };
    auto row = GENERATE_COPY(values<Row>({
        { "another server takes over", 100, nothing, 2 },
        { "no retry is left", 0, nothing, 1 },
        { "the servers leave", 100, bothLeave, 1 },
        { "the servers asked for a pause", 100, bothPause, 1 },
        { "the servers fail", 100, bothFail, 1 },
        { "the servers are full", 100, bothAreFull, 1 },
    }));
    auto silentBefore = GENERATE(1, 3);
    CAPTURE(row.name_, silentBefore);
    RetrySettings retries;
    retries.ratio_ = 0;
    retries.extraRetries_ = row.retries_;
    WorkerWithServers worker(retries, silentBefore);
    std::string answer = worker.call(row.change_);
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("0\r\n\r\n"));
    for (int id = 1; id <= events; ++id)
        CHECK(countOf(answer, "id: " + std::to_string(id) + "\n") == 1);
    CHECK(worker.requests() == row.requests_);
    CHECK(worker.endedEarly() == 0);
}
