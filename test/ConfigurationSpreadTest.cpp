//===- test/ConfigurationSpreadTest.cpp - a long configuration, passed on --===//
///
/// \file
/// Whole gateways: a configuration of thousands of routes comes to all soon, while
/// each gives it to a few peers at a time.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"
#include "generated/Peer.pb.h"
#include "pistachioloom/Wire.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <future>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

// How many a gateway gives the configuration at once, and how long one may take.
constexpr std::size_t mostTransfers = 2;
constexpr milliseconds transferTimeout { 2000 };
// A connection lost or a stream reset is noticed within this time.
constexpr milliseconds slack { 1000 };
constexpr milliseconds askPatience { 1500 };

/// Routes whose names differ by hashes, so that they are long when compressed too.
std::string manyRoutes(std::size_t count)
{
    std::string routes;
    for (std::size_t i = 0; i < count; ++i) {
        std::string name = sha256Hex(std::to_string(i)).substr(0, 32);
        routes += ",\n{\"name\":\"" + name + R"(","hostname":"h.example","path_prefix":"/)" + name
            + R"(/","type":"safe","timeout_ms":2000,"goal_ms":100,"priority":2,"service":"plain","attempts":2})";
    }
    return routes;
}

/// The lines of \p gateway's log that say \p sentence.
std::vector<boost::json::object> linesOf(const GatewayDeployment& deployment, const GatewayDeployment::Gateway& gateway, const std::string& sentence)
{
    std::vector<boost::json::object> lines;
    std::ifstream file(deployment.logFile(gateway));
    for (std::string line; std::getline(file, line);) {
        auto object = parseJsonObject(line);
        if (object && line.find(sentence) != std::string::npos)
            lines.push_back(std::move(*object));
    }
    return lines;
}

enum class Answer {
    Given,
    Busy,
    Other,
};

/// A peer of a gateway that asks for its configuration.
class Asker {
public:
    explicit Asker(Endpoint gateway)
        : gateway_(std::move(gateway))
        , work_(asio::make_work_guard(io_))
        , pool_(std::make_unique<PeerPool>(io_.get_executor(), "credential-of-tests", nullptr))
        , thread_([this] { io_.run(); })
    {
    }

    ~Asker()
    {
        io_.stop();
        thread_.join();
    }

    Asker(const Asker&) = delete;
    Asker& operator=(const Asker&) = delete;

    /// Asks, and says nothing more until told: the stream is kept if it was given.
    Answer ask()
    {
        return run([this]() -> asio::awaitable<Answer> {
            auto opened = co_await pool_->open(gateway_, request(), askPatience);
            if (!opened)
                co_return Answer::Other;
            auto stream = opened.value();
            auto reply = co_await stream->receiveWithin(askPatience);
            Answer answer = reply ? answerIn(reply.value()) : Answer::Other;
            if (answer == Answer::Given)
                given_.push_back(stream);
            else
                stream->finish();
            co_return answer;
        });
    }

    /// Asks as older versions do: the stream is ended at once, and nothing acknowledged.
    Answer call()
    {
        return run([this]() -> asio::awaitable<Answer> {
            auto reply = co_await pool_->call(gateway_, request(), askPatience);
            if (!reply)
                co_return reply.error().code_ == Errc::Overloaded ? Answer::Busy : Answer::Other;
            co_return answerIn(reply.value());
        });
    }

    void acknowledgeAll()
    {
        run([this]() -> asio::awaitable<Answer> {
            wire::Frame frame;
            frame.mutable_ack();
            for (const auto& stream : std::exchange(given_, {})) {
                (void)co_await stream->send(frame);
                stream->finish();
            }
            co_return Answer::Other;
        });
    }

    void cancelAll()
    {
        for (const auto& stream : std::exchange(given_, {}))
            stream->cancel();
    }

    void loseLink()
    {
        given_.clear();
        pool_->stop();
    }

private:
    Answer run(std::function<asio::awaitable<Answer>()> task)
    {
        return asio::co_spawn(asio::make_strand(io_), std::move(task), asio::use_future).get();
    }

    static wire::Frame request()
    {
        wire::Frame frame;
        frame.mutable_configuration_fetch()->set_wants_configuration(true);
        return frame;
    }

    static Answer answerIn(const wire::Frame& frame)
    {
        if (frame.has_failure())
            return frame.failure().code() == toString(Errc::Overloaded) && frame.failure().retry_after_ms() ? Answer::Busy : Answer::Other;
        return frame.configuration_update().compressed_source().empty() ? Answer::Other : Answer::Given;
    }

    Endpoint gateway_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::unique_ptr<PeerPool> pool_;
    std::vector<std::shared_ptr<PeerStream>> given_;
    std::thread thread_;
};

/// How askers end what they were given.
struct Ending {
    std::string name_;
    std::function<void(Asker&)> end_;
    /// Until others are given it.
    milliseconds within_;
};

const std::vector<Ending> endings {
    { "acknowledged", [](Asker& asker) { asker.acknowledgeAll(); }, slack },
    { "cancelled", [](Asker& asker) { asker.cancelAll(); }, slack },
    { "link lost", [](Asker& asker) { asker.loseLink(); }, slack },
    { "never", [](Asker&) {}, transferTimeout + slack },
};

} // namespace

TEST_CASE("a gateway gives its configuration to few peers at a time, and to others once those have it", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    Endpoint gateway { deployment.gateways()[0].callers_.host_, 7003 };
    for (const Ending& ending : endings) {
        INFO(ending.name_);
        Asker first(gateway);
        Asker second(gateway);
        for (std::size_t i = 0; i < mostTransfers; ++i)
            CHECK(first.ask() == Answer::Given);
        auto begunAt = steadyNow();
        for (int i = 0; i < 5; ++i)
            CHECK(second.ask() == Answer::Busy);
        ending.end_(first);
        CHECK(waitUntil([&] { return second.ask() == Answer::Given; }, ending.within_));
        // Not before the end, nor before the timeout if there is none.
        if (ending.within_ > transferTimeout)
            CHECK(steadyNow() - begunAt > transferTimeout - slack);
        second.cancelAll();
        first.cancelAll();
        REQUIRE(waitUntil([&] { return !linesOf(deployment, deployment.gateways()[0], "handed on").empty(); }));
        std::this_thread::sleep_for(milliseconds(100));
    }
    // Refusals are logged with their count, not one by one.
    auto busyLines = linesOf(deployment, deployment.gateways()[0], "told to ask others");
    CHECK_FALSE(busyLines.empty());
    CHECK(busyLines.size() <= 2 * endings.size() + 2);
}

TEST_CASE("peers of older versions are given the configuration, and understand that others come first", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    Asker old({ deployment.gateways()[0].callers_.host_, 7003 });
    std::size_t given = 0;
    std::size_t busy = 0;
    for (std::size_t i = 0; i < mostTransfers + 1; ++i) {
        Answer answer = old.call();
        given += answer == Answer::Given;
        busy += answer == Answer::Busy;
    }
    CHECK(given == mostTransfers);
    CHECK(busy == 1);
    CHECK(waitUntil([&] { return old.call() == Answer::Given; }, slack));
}

TEST_CASE("a configuration of 4,000 routes is in force on twelve gateways within three seconds", "[gateway]")
{
    constexpr std::size_t count = 12;
    constexpr std::size_t routes = 4000;
    constexpr milliseconds spreadWithin { 3000 };
    GatewayDeployment deployment(count);
    deployment.startStandardServices();
    std::string text = manyRoutes(routes);
    auto begunAt = steadyNow();
    deployment.putConfiguration(2, text);
    CHECK(deployment.waitForVersion(2, spreadWithin));
    INFO("in force on all after " << std::chrono::duration_cast<milliseconds>(steadyNow() - begunAt).count() << " ms");

    std::size_t fromPlatform = 0;
    std::size_t handedOn = 0;
    std::uint64_t mostUnderWay = 0;
    for (const auto& gateway : deployment.gateways()) {
        for (const auto& line : linesOf(deployment, gateway, "Configuration is in force"))
            fromPlatform += textField(line, "configuration") == "2" && textField(line, "from") == "platform";
        for (const auto& line : linesOf(deployment, gateway, "was handed on")) {
            if (textField(line, "configuration") != "2")
                continue;
            ++handedOn;
            mostUnderWay = std::max<std::uint64_t>(mostUnderWay, std::stoull(textField(line, "under_way")));
            CHECK(std::stoull(textField(line, "bytes")) > 64UL * 1024);
        }
    }
    CHECK(fromPlatform + handedOn >= count);
    CHECK(handedOn > 0);
    CHECK(mostUnderWay <= mostTransfers);
}
