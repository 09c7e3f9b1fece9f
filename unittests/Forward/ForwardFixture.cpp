//===- unittests/Forward/ForwardFixture.cpp - a worker with scripted servers -===//
///
/// \file
/// See ForwardFixture.h.
//===----------------------------------------------------------------------===//
#include "ForwardFixture.h"

namespace pistachioloom::test {

using tcp = asio::ip::tcp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    const ServiceName service { "s" };
    constexpr int extraRetries = 1000;

    RetrySettings manyRetries()
    {
        RetrySettings settings;
        settings.ratio_ = 0;
        settings.usableShare_ = 1;
        settings.extraRetries_ = extraRetries;
        return settings;
    }

    asio::awaitable<void> callOnce(std::uint16_t port, std::string request, std::string until, std::shared_ptr<ScriptedWorker::CallerAnswer> answer)
    {
        SteadyTime startedAt = steadyNow();
        tcp::socket socket(co_await asio::this_coro::executor);
        co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        std::array<char, 4096> bytes {};
        while (until.empty() || !answer->bytes_.ends_with(until)) {
            auto [code, count] = co_await socket.async_read_some(asio::buffer(bytes), asTuple);
            answer->bytes_.append(bytes.data(), count);
            answer->took_ = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
            if (code) {
                answer->end_ = code == asio::error::eof ? ScriptedWorker::End::Closed : ScriptedWorker::End::Reset;
                co_return;
            }
        }
    }

} // namespace

std::string ReceivedRequest::field(const std::string& name) const
{
    std::size_t at = head_.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    at += name.size() + 4;
    return head_.substr(at, head_.find('\r', at) - at);
}

asio::awaitable<void> send(tcp::socket& socket, std::string bytes)
{
    (void)co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
}

void resetSocket(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

std::string eventChunk(int id)
{
    std::string event = "id: " + std::to_string(id) + "\ndata: e\n\n";
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return size.data() + event + "\r\n";
}

Route routeOfTests()
{
    Route route;
    route.name_ = "r";
    route.host_ = "h";
    route.pathPrefix_ = "/";
    route.timeout_ = milliseconds(2000);
    route.split_ = { { service, 1 } };
    return route;
}

ScriptedWorker::ScriptedWorker(Route route, int serverCount, ServerScript script, std::optional<EngineTraits> engine)
    : script_(std::move(script))
    , retries_(manyRetries())
{
    ServicePolicy policy;
    policy.name_ = service;
    policy.maxConnections_ = 100;
    policy.engine_ = engine;
    RouteConfiguration configuration;
    configuration.routes_ = { std::move(route) };
    configuration.services_ = { policy };
    context_.names_.attempt_ = "Attempt";
    context_.names_.seal_ = "Seal";
    context_.names_.notRun_ = "Not-Run";
    context_.names_.leaving_ = "Leaving";
    context_.names_.lastEvent_ = "Last-Event";
    context_.hooks_.table_ = [table = RouteTable::build(std::move(configuration))] { return table; };
    context_.hooks_.onStatement_ = [](const BackendStatement&) {};
    for (int i = 0; i < serverCount; ++i) {
        tcp::acceptor& acceptor = acceptors_.emplace_back(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        BackendRecord backend;
        backend.id_ = { "b" + std::to_string(i) };
        backend.name_ = { backend.id_.value_ };
        backend.service_ = service;
        backend.dataCentre_ = { "a" };
        backend.endpoint_ = { "127.0.0.1", acceptor.local_endpoint().port() };
        (void)backends_.put(backend);
        asio::co_spawn(io_, accept(acceptor, i), asio::detached);
    }
    port_ = worker_.listen({ "127.0.0.1", 0 }).value();
}

void ScriptedWorker::reclaim(int server)
{
    auto backend = backends_.find({ "b" + std::to_string(server) });
    backend->isLeaving_ = true;
    backend->isReclaimable_ = true;
    (void)backends_.put(*backend);
}

void ScriptedWorker::stopAccepting(const Endpoint& endpoint)
{
    for (tcp::acceptor& acceptor : acceptors_) {
        if (acceptor.is_open() && acceptor.local_endpoint().port() == endpoint.port_)
            acceptor.close();
    }
}

void ScriptedWorker::leaveRetries(int count)
{
    for (int i = count; i < extraRetries; ++i)
        (void)retries_.tryRetry(service, steadyNow());
}

asio::awaitable<void> ScriptedWorker::accept(tcp::acceptor& acceptor, int server)
{
    for (;;) {
        auto [code, socket] = co_await acceptor.async_accept(asTuple);
        if (code)
            co_return;
        asio::co_spawn(io_, serve(std::move(socket), server), asio::detached);
    }
}

asio::awaitable<void> ScriptedWorker::serve(tcp::socket socket, int server)
{
    std::string input;
    for (int number = 1;; ++number) {
        auto [code, size] = co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", asTuple);
        // Probes connect and send nothing.
        if (code)
            co_return;
        ReceivedRequest request { server, number, ++requests_, input.substr(0, size) };
        input.erase(0, size);
        bool isKept = co_await script_(socket, request);
        if (!isKept)
            co_return;
    }
}

void ScriptedWorker::runFor(milliseconds time)
{
    io_.restart();
    io_.run_for(time);
}

ScriptedWorker::CallerAnswer ScriptedWorker::call(std::string request, std::string until, milliseconds limit)
{
    auto answer = std::make_shared<CallerAnswer>();
    io_.restart();
    asio::co_spawn(io_, callOnce(port_, std::move(request), std::move(until), answer), [&](const std::exception_ptr&) { io_.stop(); });
    io_.run_for(limit);
    return *answer;
}

} // namespace pistachioloom::test
