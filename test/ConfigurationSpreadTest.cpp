//===- test/ConfigurationSpreadTest.cpp - spread of a large configuration -===//
///
/// \file
/// Runs gateways as processes. A configuration of thousands of routes reaches all of them
/// quickly although each sends it to only a few peers at a time.
//===----------------------------------------------------------------------===//
#include "Platform/ConfigurationTiming.h"
#include "generated/Peer.pb.h"
#include "pistachioloom/Wire.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

// Maximum number of concurrent transfers from one gateway that are not slow.
constexpr std::size_t maxTransfers = 2;
// Tolerance of the time bounds: a gateway may take this long to detect a lost connection
// or a reset stream.
constexpr milliseconds slack { 1000 };
constexpr milliseconds replyTimeout { 1500 };

enum class FetchResult {
    Received,
    Busy,
    Other,
};

/// A peer that fetches the configuration of a gateway.
class ConfigurationFetcher {
public:
    explicit ConfigurationFetcher(Endpoint gateway)
        : gateway_(std::move(gateway))
        , work_(asio::make_work_guard(io_))
        , pool_(std::make_unique<PeerPool>(io_.get_executor(), "credential-of-tests", nullptr))
        , thread_([this] { io_.run(); })
    {
    }

    ~ConfigurationFetcher()
    {
        io_.stop();
        thread_.join();
    }

    ConfigurationFetcher(const ConfigurationFetcher&) = delete;
    ConfigurationFetcher& operator=(const ConfigurationFetcher&) = delete;

    /// Fetches the configuration. When it is received, the stream stays open and is not
    /// acknowledged until acknowledgeAll(), cancelAll() or dropLink() is called.
    FetchResult fetch()
    {
        return run([this]() -> asio::awaitable<FetchResult> {
            auto opened = co_await pool_->open(gateway_, request(), replyTimeout);
            if (!opened)
                co_return FetchResult::Other;
            auto stream = opened.value();
            auto reply = co_await stream->receiveWithin(replyTimeout);
            FetchResult result = reply ? resultOf(reply.value()) : FetchResult::Other;
            if (result == FetchResult::Received)
                openTransfers_.push_back(stream);
            else
                stream->finish();
            co_return result;
        });
    }

    /// Fetches as older versions do: the stream ends immediately, without an
    /// acknowledgement.
    FetchResult fetchWithoutAck()
    {
        return run([this]() -> asio::awaitable<FetchResult> {
            auto reply = co_await pool_->call(gateway_, request(), replyTimeout);
            if (!reply)
                co_return reply.error().code_ == Errc::Overloaded ? FetchResult::Busy : FetchResult::Other;
            co_return resultOf(reply.value());
        });
    }

    void acknowledgeAll()
    {
        run([this]() -> asio::awaitable<FetchResult> {
            wire::Frame frame;
            frame.mutable_ack();
            for (const auto& stream : std::exchange(openTransfers_, {})) {
                (void)co_await stream->send(frame);
                stream->finish();
            }
            co_return FetchResult::Other;
        });
    }

    void cancelAll()
    {
        for (const auto& stream : std::exchange(openTransfers_, {}))
            stream->cancel();
    }

    /// Closes the connection under all open transfers.
    void dropLink()
    {
        openTransfers_.clear();
        pool_->stop();
    }

private:
    FetchResult run(std::function<asio::awaitable<FetchResult>()> task)
    {
        return asio::co_spawn(asio::make_strand(io_), std::move(task), asio::use_future).get();
    }

    static wire::Frame request()
    {
        wire::Frame frame;
        frame.mutable_configuration_fetch()->set_wants_configuration(true);
        return frame;
    }

    static FetchResult resultOf(const wire::Frame& frame)
    {
        if (frame.has_failure())
            return frame.failure().code() == toString(Errc::Overloaded) && frame.failure().retry_after_ms() ? FetchResult::Busy : FetchResult::Other;
        return frame.configuration_update().compressed_source().empty() ? FetchResult::Other : FetchResult::Received;
    }

    Endpoint gateway_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::unique_ptr<PeerPool> pool_;
    std::vector<std::shared_ptr<PeerStream>> openTransfers_;
    std::thread thread_;
};

/// A way in which a peer ends its transfers.
struct TransferEnd {
    std::string name_;
    std::function<void(ConfigurationFetcher&)> end_;
};

const std::vector<TransferEnd> transferEnds {
    { "acknowledged", [](ConfigurationFetcher& fetcher) { fetcher.acknowledgeAll(); } },
    { "cancelled", [](ConfigurationFetcher& fetcher) { fetcher.cancelAll(); } },
    { "link lost", [](ConfigurationFetcher& fetcher) { fetcher.dropLink(); } },
    { "never ended", [](ConfigurationFetcher&) {} },
};

} // namespace

TEST_CASE("a gateway sends its configuration to few peers at a time, and to others when those transfers end", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    Endpoint gateway { deployment.gateways()[0].callers_.host_, 7003 };
    for (const TransferEnd& transferEnd : transferEnds) {
        INFO(transferEnd.name_);
        ConfigurationFetcher first(gateway);
        ConfigurationFetcher second(gateway);
        for (std::size_t i = 0; i < maxTransfers; ++i)
            CHECK(first.fetch() == FetchResult::Received);
        for (int i = 0; i < 5; ++i)
            CHECK(second.fetch() == FetchResult::Busy);
        transferEnd.end_(first);
        CHECK(waitUntil([&] { return second.fetch() == FetchResult::Received; }, slack));
        second.cancelAll();
        first.cancelAll();
        REQUIRE(waitUntil([&] { return !logLinesWith(deployment, deployment.gateways()[0], "sent to a peer").empty(); }));
        std::this_thread::sleep_for(milliseconds(100));
    }
    // Rejections are logged in groups with their count, not one by one.
    auto busyLines = logLinesWith(deployment, deployment.gateways()[0], "rejected while other transfers run");
    CHECK_FALSE(busyLines.empty());
    CHECK(busyLines.size() <= 2 * transferEnds.size() + 2);
}

TEST_CASE("peers of older versions receive the configuration, or a rejection while other transfers run", "[gateway]")
{
    GatewayDeployment deployment(1);
    deployment.startStandardServices();
    ConfigurationFetcher oldPeer({ deployment.gateways()[0].callers_.host_, 7003 });
    std::size_t received = 0;
    std::size_t busy = 0;
    for (std::size_t i = 0; i < maxTransfers + 1; ++i) {
        FetchResult result = oldPeer.fetchWithoutAck();
        received += result == FetchResult::Received;
        busy += result == FetchResult::Busy;
    }
    CHECK(received == maxTransfers);
    CHECK(busy == 1);
    CHECK(waitUntil([&] { return oldPeer.fetchWithoutAck() == FetchResult::Received; }, slack));
}

TEST_CASE("a configuration of 4,000 routes is in force on twelve gateways within three seconds", "[gateway]")
{
    constexpr std::size_t count = 12;
    constexpr std::size_t routes = 4000;
    constexpr milliseconds maxSpreadTime { 3000 };
    GatewayDeployment deployment(count);
    deployment.startStandardServices();
    std::string text = manyRoutes(routes);
    auto startedAt = steadyNow();
    deployment.putConfiguration(2, text);
    CHECK(deployment.waitForVersion(2, maxSpreadTime));
    INFO("in force on all after " << std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt).count() << " ms");

    std::size_t receivedFromPlatform = 0;
    std::size_t sentByPeers = 0;
    std::uint64_t maxConcurrent = 0;
    for (const auto& gateway : deployment.gateways()) {
        for (const auto& line : logLinesWith(deployment, gateway, "Configuration is in force"))
            receivedFromPlatform += textField(line, "configuration") == "2" && textField(line, "from") == "platform";
        for (const auto& line : logLinesWith(deployment, gateway, "was sent to a peer")) {
            if (textField(line, "configuration") != "2")
                continue;
            ++sentByPeers;
            maxConcurrent = std::max<std::uint64_t>(maxConcurrent, std::stoull(textField(line, "under_way")));
            CHECK(std::stoull(textField(line, "bytes")) > 64UL * 1024);
        }
    }
    CHECK(receivedFromPlatform + sentByPeers >= count);
    CHECK(sentByPeers > 0);
    CHECK(maxConcurrent <= maxTransfers);
}
