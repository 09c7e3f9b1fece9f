//===- test/PlannedStopTest.cpp - requests around a planned stop -----------===//
///
/// \file
/// A gateway gets SIGTERM in calm. A request that a backend server has received is answered
/// completely, or with a failure that promises nothing. An answer that promises that the request has
/// not run is true. No connection whose request was read ends without an answer.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"
#include "Platform/ScriptedServer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <set>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Times after the signal, from the settings of GatewayDeployment: new requests are rejected, running ones
// are ended, and the process must have ended.
constexpr milliseconds rejectsAfter { 500 };
constexpr milliseconds graceEnd { 2300 };
constexpr milliseconds killTime { 3000 };
// A request may be read later by this than it was sent.
constexpr milliseconds sendMargin { 200 };
// Longer than any grace time.
constexpr milliseconds hold { 7000 };
// An address that refuses connections.
constexpr const char* closedAddress = "127.0.0.1:1";
const std::string frozen = "frozen";
const std::string full = "full";
const std::string large = "large";
// More than the sockets between a gateway and a caller with a small receive buffer hold.
constexpr std::size_t largeSize = 7'500'000;
constexpr int smallReceiveBuffer = 32 * 1024;
const std::string longRoutes = R"(,
{"name":"long","hostname":"h.example","path_prefix":"/long/","type":"unsafe","timeout_ms":6000,"goal_ms":100,"priority":2,"service":"plain","attempts":1},
{"name":"longsafe","hostname":"h.example","path_prefix":"/longsafe/","type":"safe","timeout_ms":6000,"goal_ms":100,"priority":2,"service":"plain","attempts":2})";

struct CallerResult {
    /// 0 if there is no complete answer.
    int status_ = 0;
    bool isConnected_ = false;
    /// How the connection ended, if there is no complete answer.
    boost::system::error_code end_;
    /// When the answer or the end arrived, after the signal.
    milliseconds endedAt_ {};
};

/// One caller attempt. The text of `work_` tells the backend server how to handle the request: a
/// number of milliseconds, `frozen`, `full`
/// or `large`.
struct CallerAttempt {
    std::string id_;
    std::string path_;
    std::string work_;
    /// After the signal; may be negative.
    milliseconds sentAt_ {};
    std::string body_ = {};
    /// The second half of the body is sent at this time after the signal.
    std::optional<milliseconds> restAt_ = {};
    /// The answer is read from this time after the signal.
    std::optional<milliseconds> readAt_ = {};
};

std::string renderHead(const CallerAttempt& attempt)
{
    std::string head = "POST " + attempt.path_ + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-north\r\nX-Pistachioloom-Deadline-Ms: 4000\r\n";
    return head + "X-Pistachioloom-Attempt-Id: " + attempt.id_ + "\r\nX-Work: " + attempt.work_ + "\r\nContent-Length: " + std::to_string(attempt.body_.size()) + "\r\n\r\n";
}

milliseconds timeSince(SteadyTime time)
{
    return std::chrono::duration_cast<milliseconds>(steadyNow() - time);
}

/// Sends \p attempt on a new connection to \p gateway and reads the answer.
CallerResult runAttempt(const Endpoint& gateway, const CallerAttempt& attempt, SteadyTime signalAt)
{
    std::this_thread::sleep_until(signalAt + attempt.sentAt_);
    CallerResult result;
    asio::io_context io;
    tcp::socket socket(io);
    socket.open(tcp::v4());
    if (attempt.readAt_)
        socket.set_option(asio::socket_base::receive_buffer_size(smallReceiveBuffer));
    socket.connect({ asio::ip::make_address(gateway.host_), gateway.port_ }, result.end_);
    result.isConnected_ = !result.end_;
    std::size_t firstSize = attempt.restAt_ ? attempt.body_.size() / 2 : attempt.body_.size();
    if (!result.end_)
        asio::write(socket, asio::buffer(renderHead(attempt) + attempt.body_.substr(0, firstSize)), result.end_);
    if (!result.end_ && attempt.restAt_ && *attempt.restAt_ < hold) {
        std::this_thread::sleep_until(signalAt + *attempt.restAt_);
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(attempt.body_.substr(firstSize)), ignored);
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> answer;
    if (attempt.readAt_)
        std::this_thread::sleep_until(signalAt + *attempt.readAt_);
    if (!result.end_)
        http::read(socket, buffer, answer, result.end_);
    result.status_ = result.end_ ? 0 : static_cast<int>(answer.get().result_int());
    result.endedAt_ = timeSince(signalAt);
    return result;
}

/// Gateways in front of two backend servers of the plain service.
class PlannedStop {
public:
    /// With \p relayed the first gateway reaches the servers through the others only.
    explicit PlannedStop(std::size_t gatewayCount, bool relayed = false)
        : server_([this](tcp::socket& socket, const std::string& head) { return serve(socket, head); })
        , deployment_(gatewayCount == 1 ? GatewayDeploymentOptions {} : optionsWithViews(gatewayCount))
    {
        if (relayed)
            deployment_.setView(deployment_.gateways()[0], { { "b-1", closedAddress }, { "b-2", closedAddress } });
        deployment_.putConfiguration(1, longRoutes);
        for (const char* id : { "b-1", "b-2" })
            deployment_.registerBackend(id, "plain", server_.endpoint().toString(), "up");
        REQUIRE(deployment_.waitForVersion(1, milliseconds(20000)));
        REQUIRE(deployment_.waitForBackends(2));
    }

    GatewayDeployment::Gateway& gateway(std::size_t i) { return deployment_.gateways()[i]; }
    GatewayDeployment& deployment() { return deployment_; }

    /// How often the servers received the request \p id and did not refuse it.
    int received(const std::string& id)
    {
        std::lock_guard lock(mutex_);
        return received_[id];
    }

    /// Calls the first gateway until it reaches the servers through others.
    void waitForRelay()
    {
        REQUIRE(waitUntil([&] {
            (void)runAttempt(gateway(0).callers_, { "probe", "/longsafe/x", "0", {} }, steadyNow());
            return deployment_.metric(gateway(0), "connections_relayed_total") > 0;
        }));
    }

    /// Sends \p attempts to gateway \p entry, and calls \p stop at the time of the signal.
    std::vector<CallerResult> run(const std::vector<CallerAttempt>& attempts, std::size_t entry, const std::function<void()>& stop)
    {
        constexpr milliseconds lead { 500 };
        SteadyTime signalAt = steadyNow() + lead;
        std::vector<std::future<CallerResult>> calls;
        for (const CallerAttempt& attempt : attempts)
            calls.push_back(std::async(std::launch::async, [&, signalAt] { return runAttempt(gateway(entry).callers_, attempt, signalAt); }));
        std::this_thread::sleep_until(signalAt);
        stop();
        std::vector<CallerResult> results;
        for (auto& call : calls)
            results.push_back(call.get());
        return results;
    }

    /// Checks that the caller of \p attempt knows the truth.
    void check(const CallerAttempt& attempt, const CallerResult& result)
    {
        int count = received(attempt.id_);
        CAPTURE(attempt.id_, attempt.path_, attempt.work_, attempt.sentAt_.count(), result.status_, result.end_.message(), result.endedAt_.count(), count);
        std::set<int> allowed { 503, 429, 408 };
        if (count)
            allowed = { 200, 502, 504 };
        // A connection that is refused or reset tells that the request was not read.
        bool isUnread = !count && (!result.isConnected_ || result.end_ == asio::error::connection_reset);
        CHECK((isUnread || allowed.contains(result.status_)));
        CHECK(count <= (attempt.path_.starts_with("/longsafe/") ? 2 : 1));
    }

private:
    asio::awaitable<void> serve(tcp::socket& socket, const std::string& head)
    {
        std::string work = headerIn(head, "X-Work");
        std::string id = headerIn(head, "X-Pistachioloom-Attempt-Id");
        std::string answer = "HTTP/1.1 200 OK\r\nX-Pistachioloom-Engine-Seal: s\r\n";
        if (work == full)
            answer = "HTTP/1.1 503 Service Unavailable\r\nX-Pistachioloom-Not-Executed: 1\r\n";
        else {
            std::lock_guard lock(mutex_);
            ++received_[id];
        }
        if (work == frozen)
            co_await sleepFor(hold);
        else if (work != full && work != large)
            co_await sleepFor(milliseconds(std::stoi(work)));
        std::string body(work == large ? largeSize : 2, 'x');
        answer += "X-Pistachioloom-Attempt-Id: " + id + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        (void)co_await asio::async_write(socket, asio::buffer(answer), asTuple);
    }

    std::mutex mutex_;
    std::map<std::string, int> received_;
    ScriptedServer server_;
    GatewayDeployment deployment_;
};

/// One attempt for each route, kind of work and time.
std::vector<CallerAttempt> attemptsOf(const std::vector<std::string>& works, const std::vector<int>& times)
{
    std::vector<CallerAttempt> attempts;
    for (const char* path : { "/long/x", "/longsafe/x" }) {
        for (const std::string& work : works) {
            for (int time : times)
                attempts.push_back({ "a" + std::to_string(attempts.size()), path, work, milliseconds(time), {}, {} });
        }
    }
    return attempts;
}

} // namespace

// Guards against requests that are taken during the grace time and end without an answer, because their
// server is frozen, slow or full, or because a second signal ends the grace time early.
TEST_CASE("a request that waits for its server during a planned stop is cut", "[gateway]")
{
    struct Row {
        const char* name_;
        int secondSignal_;
        std::vector<std::string> works_;
    };
    auto row = GENERATE(values<Row>({
        { "one signal", 0, { frozen, "600", "1500" } },
        { "SIGTERM twice", SIGTERM, { frozen, "600", "1500" } },
        { "SIGTERM and SIGINT", SIGINT, { frozen, "1500" } },
        { "SIGTERM and SIGHUP", SIGHUP, { frozen, "1500" } },
        { "full servers", 0, { full } },
    }));
    CAPTURE(row.name_);
    PlannedStop stop(1);
    std::vector<CallerAttempt> attempts = attemptsOf(row.works_, { -300, 100, 300, 700, 1200, 1800, 2200, 2400 });
    auto results = stop.run(attempts, 0, [&] {
        const Process& process = *stop.gateway(0).process_;
        process.signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(1000));
        if (row.secondSignal_)
            process.signal(row.secondSignal_);
    });
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        const CallerAttempt& attempt = attempts[i];
        stop.check(attempt, results[i]);
        CAPTURE(attempt.work_, attempt.sentAt_.count(), results[i].status_, results[i].endedAt_.count());
        if (attempt.sentAt_ >= rejectsAfter + sendMargin)
            CHECK(stop.received(attempt.id_) == 0);
        else if (attempt.work_ != full && attempt.sentAt_ <= rejectsAfter - sendMargin)
            CHECK(results[i].status_ == (attempt.work_ == frozen ? 502 : 200));
        CHECK(results[i].endedAt_ < killTime);
    }
    CHECK(stop.gateway(0).process_->wait(killTime) == 0);
}

// Guards against a request whose connection to its server is carried by another gateway, where the carrying
// gateway or the caller's one stops.
TEST_CASE("a request that a peer carries during a planned stop is cut", "[gateway]")
{
    struct Row {
        const char* name_;
        std::size_t gateways_;
        std::size_t stopped_;
    };
    auto row = GENERATE(values<Row>({
        { "the only carrying gateway stops", 2, 1 },
        { "one of two carrying gateways stops", 3, 1 },
        { "the caller's gateway stops", 2, 0 },
    }));
    CAPTURE(row.name_);
    PlannedStop stop(row.gateways_, true);
    stop.waitForRelay();
    std::vector<CallerAttempt> attempts = attemptsOf({ frozen, "600", "1500" }, { -300, 100, 300, 700, 1200, 1800, 2200, 2400 });
    auto results = stop.run(attempts, 0, [&] { stop.gateway(row.stopped_).process_->signal(SIGTERM); });
    int answered = 0;
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        const CallerAttempt& attempt = attempts[i];
        stop.check(attempt, results[i]);
        answered += results[i].status_ == 200;
        CAPTURE(attempt.path_, attempt.work_, attempt.sentAt_.count(), results[i].status_, results[i].end_.message(), results[i].endedAt_.count());
        // A gateway that stops carries no further connections.
        milliseconds lastSent = row.stopped_ ? sendMargin : rejectsAfter + sendMargin;
        if (row.gateways_ == 2 && attempt.sentAt_ >= lastSent)
            CHECK(stop.received(attempt.id_) == 0);
        // What is under way at the signal is served.
        if (attempt.sentAt_ < milliseconds(0) && attempt.work_ != frozen)
            CHECK(results[i].status_ == 200);
        if (row.gateways_ == 3 && attempt.work_ != frozen)
            CHECK(results[i].status_ == 200);
    }
    CHECK(answered >= 4);
    CHECK(stop.gateway(row.stopped_).process_->wait(killTime) == 0);
}

// Guards against a request whose body is still arriving when the signal comes, when the node begins to reject,
// or at the end of the grace time.
TEST_CASE("a request that is still arriving during a planned stop is cut", "[gateway]")
{
    PlannedStop stop(1);
    std::vector<CallerAttempt> attempts;
    for (const char* path : { "/long/x", "/longsafe/x" }) {
        for (int sent : { -200, 200, 900, 2000 }) {
            for (int rest : { 300, 1000, 1900, 2250, 2290, 2320, 2400, 9000 }) {
                if (rest > sent)
                    attempts.push_back({ "a" + std::to_string(attempts.size()), path, "100", milliseconds(sent), std::string(2000, 'x'), milliseconds(rest) });
            }
        }
    }
    auto results = stop.run(attempts, 0, [&] { stop.gateway(0).process_->signal(SIGTERM); });
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        const CallerAttempt& attempt = attempts[i];
        stop.check(attempt, results[i]);
        CAPTURE(attempt.path_, attempt.sentAt_.count(), attempt.restAt_->count(), results[i].status_, results[i].end_.message(), results[i].endedAt_.count());
        if (*attempt.restAt_ >= rejectsAfter + sendMargin)
            CHECK(stop.received(attempt.id_) == 0);
        else
            CHECK(results[i].status_ == 200);
        // Half a request is not lost without a word either.
        CHECK(results[i].status_ != 0);
    }
    CHECK(stop.gateway(0).process_->wait(killTime) == 0);
}

// Guards against an answer of which the caller has read a part only at the end of the grace time, and that is cut
// although the process goes on.
TEST_CASE("an answer that is being written at the end of the grace time is cut", "[gateway]")
{
    PlannedStop stop(1);
    std::vector<CallerAttempt> attempts;
    for (int sent : { -300, 200 })
        attempts.push_back({ "a" + std::to_string(attempts.size()), "/long/x", large, milliseconds(sent), {}, {}, graceEnd + milliseconds(50) });
    auto results = stop.run(attempts, 0, [&] { stop.gateway(0).process_->signal(SIGTERM); });
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        CAPTURE(attempts[i].sentAt_.count(), results[i].end_.message(), results[i].endedAt_.count());
        CHECK(stop.received(attempts[i].id_) == 1);
        CHECK(results[i].status_ == 200);
    }
    CHECK(stop.gateway(0).process_->wait(killTime) == 0);
}

// Guards against a request on a kept connection that the node reads and does not answer, since it closes the
// connection as idle before it handles what it has read.
TEST_CASE("a request that crosses the close of an idle connection is read and not answered", "[gateway]")
{
    constexpr int rounds = 2;
    constexpr int connectionCount = 400;
    // Idle connections are closed at the second check after the node has begun to reject.
    constexpr milliseconds firstSent = rejectsAfter + milliseconds(45);
    constexpr std::chrono::microseconds sendGap { 25 };
    int answered = 0;
    int unanswered = 0;
    int readAndUnanswered = 0;
    for (int round = 0; round < rounds; ++round) {
        PlannedStop stop(1);
        const Endpoint& gateway = stop.gateway(0).callers_;
        asio::io_context io;
        std::vector<tcp::socket> sockets;
        for (int i = 0; i < connectionCount; ++i) {
            sockets.emplace_back(io);
            sockets.back().connect({ asio::ip::make_address(gateway.host_), gateway.port_ });
        }
        REQUIRE(waitUntil([&] { return stop.deployment().metric(stop.gateway(0), "caller_connections") >= connectionCount; }));
        SteadyTime signalAt = steadyNow();
        stop.gateway(0).process_->signal(SIGTERM);
        for (int i = 0; i < connectionCount; ++i) {
            std::this_thread::sleep_until(signalAt + firstSent + i * sendGap);
            boost::system::error_code ignored;
            asio::write(sockets[static_cast<std::size_t>(i)], asio::buffer(renderHead({ "kept" + std::to_string(i) + "-", "/long/x", "0" })), ignored);
        }
        std::vector<std::string> withoutAnswer;
        std::string lastAnswered;
        for (int i = 0; i < connectionCount; ++i) {
            boost::system::error_code code;
            boost::beast::flat_buffer buffer;
            http::response<http::string_body> answer;
            http::read(sockets[static_cast<std::size_t>(i)], buffer, answer, code);
            if (code)
                withoutAnswer.push_back("kept" + std::to_string(i) + "-");
            else {
                ++answered;
                lastAnswered = "kept" + std::to_string(i) + "-";
            }
        }
        unanswered += static_cast<int>(withoutAnswer.size());
        (void)stop.gateway(0).process_->wait(killTime);
        std::ifstream file(stop.deployment().logFile(stop.gateway(0)));
        std::string log((std::istreambuf_iterator<char>(file)), {});
        // The log names each request that was read.
        CHECK(log.find(lastAnswered) != std::string::npos);
        for (const std::string& id : withoutAnswer)
            readAndUnanswered += log.find(id) != std::string::npos;
    }
    CAPTURE(answered, unanswered, readAndUnanswered);
    CHECK(answered + unanswered == rounds * connectionCount);
    CHECK(readAndUnanswered == 0);
}

// Guards against requests that are lost where one gateway after the other stops: callers return to another
// gateway where they have been told that the request has not run.
TEST_CASE("a request is lost while gateways stop in series", "[gateway]")
{
    constexpr std::size_t gatewayCount = 3;
    constexpr int callerCount = 8;
    constexpr milliseconds seriesTime { 4500 };
    PlannedStop stop(gatewayCount);
    SteadyTime startedAt = steadyNow();
    std::atomic<int> served { 0 };
    std::atomic<int> returned { 0 };
    std::mutex mutex;
    std::vector<std::string> unserved;
    std::vector<std::string> ids;
    auto callUntilServed = [&](const std::string& id, std::size_t first) {
        std::string seen;
        for (std::size_t tries = 0; tries < 2 * gatewayCount; ++tries) {
            CallerAttempt attempt { id + "-" + std::to_string(tries), "/long/x", "50", {}, {}, {} };
            {
                std::lock_guard lock(mutex);
                ids.push_back(attempt.id_);
            }
            CallerResult result = runAttempt(stop.gateway((first + tries) % gatewayCount).callers_, attempt, steadyNow());
            if (result.status_ == 200) {
                ++served;
                return;
            }
            ++returned;
            bool isUnread = !result.isConnected_ || result.end_ == asio::error::connection_reset;
            seen += " " + (result.status_ ? std::to_string(result.status_) : result.end_.message());
            if (!isUnread && result.status_ != 503)
                break;
        }
        std::lock_guard lock(mutex);
        unserved.push_back(id + ":" + seen);
    };
    std::vector<std::thread> callers;
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; timeSince(startedAt) < seriesTime; ++i)
                callUntilServed("c" + std::to_string(caller) + "-" + std::to_string(i), static_cast<std::size_t>(caller) + static_cast<std::size_t>(i));
        });
    }
    for (std::size_t i = 0; i + 1 < gatewayCount; ++i) {
        std::this_thread::sleep_until(startedAt + milliseconds(300 + 1200 * static_cast<int>(i)));
        stop.gateway(i).process_->signal(SIGTERM);
    }
    for (std::thread& caller : callers)
        caller.join();
    CAPTURE(served.load(), returned.load(), unserved);
    CHECK(unserved.empty());
    CHECK(served > 100);
    CHECK(returned > 0);
    int runs = 0;
    for (const std::string& id : ids)
        runs += stop.received(id);
    CHECK(runs == served);
}

// Guards against a request that the node reads and does not answer, since the process ends in between. Its
// caller cannot tell that it has not run.
TEST_CASE("a request that arrives while the process ends is read and not answered", "[gateway]")
{
    constexpr int rounds = 3;
    constexpr int callerCount = 24;
    std::map<std::string, int> ends;
    for (int round = 0; round < rounds; ++round) {
        PlannedStop stop(1);
        std::vector<std::future<std::map<std::string, int>>> callers;
        SteadyTime signalAt = steadyNow() + milliseconds(200);
        for (int caller = 0; caller < callerCount; ++caller) {
            callers.push_back(std::async(std::launch::async, [&, caller, signalAt] {
                std::map<std::string, int> seen;
                std::this_thread::sleep_until(signalAt + graceEnd - milliseconds(100));
                while (timeSince(signalAt) < killTime) {
                    CallerResult result = runAttempt(stop.gateway(0).callers_, { "c" + std::to_string(caller), "/long/x", "0", {}, {}, {} }, steadyNow());
                    ++seen[result.status_ ? std::to_string(result.status_) : result.end_.message()];
                    if (!result.isConnected_)
                        break;
                }
                return seen;
            }));
        }
        // A node without connections would end before.
        auto waiting = std::async(std::launch::async, [&, signalAt] { return runAttempt(stop.gateway(0).callers_, { "waits", "/long/x", frozen, {}, {}, {} }, signalAt - milliseconds(100)); });
        std::this_thread::sleep_until(signalAt);
        stop.gateway(0).process_->signal(SIGTERM);
        CHECK(waiting.get().status_ == 502);
        for (auto& caller : callers) {
            for (const auto& [end, count] : caller.get())
                ends[end] += count;
        }
        CHECK(stop.gateway(0).process_->wait(killTime) == 0);
    }
    std::string seen;
    for (const auto& [end, count] : ends)
        seen += end + ": " + std::to_string(count) + "; ";
    CAPTURE(seen);
    CHECK(ends["503"] > 100);
    CHECK(ends["200"] == 0);
    CHECK(ends["end of stream"] == 0);
}
