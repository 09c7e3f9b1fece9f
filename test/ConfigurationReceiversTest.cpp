//===- test/ConfigurationReceiversTest.cpp - receivers that hang ----------===//
///
/// \file
/// Runs gateways as processes, beside peers that ask for a new configuration and never
/// take it. Every gateway has it in force in time all the same.
//===----------------------------------------------------------------------===//
#include "Platform/ConfigurationTiming.h"

#include "generated/Peer.pb.h"
#include "pistachioloom/Wire.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr std::uint64_t firstVersion = 2;
constexpr std::uint64_t versionCount = 4;
// Number of transfers that a gateway makes at the same time.
constexpr std::size_t concurrentTransfers = 2;
// Time within which a gateway notices that a stream was reset.
constexpr milliseconds resetTime { 300 };

/// A peer that asks a gateway for its configuration and never acknowledges it.
class HangingReceiver {
public:
    explicit HangingReceiver(Endpoint gateway)
        : gateway_(std::move(gateway))
        , work_(asio::make_work_guard(io_))
        , pool_(io_.get_executor(), "credential-of-tests", nullptr)
        , thread_([this] { io_.run(); })
    {
    }

    ~HangingReceiver()
    {
        io_.stop();
        thread_.join();
    }

    HangingReceiver(const HangingReceiver&) = delete;
    HangingReceiver& operator=(const HangingReceiver&) = delete;

    /// Opens \p count transfers. \returns how many were opened.
    std::size_t open(std::size_t count)
    {
        auto task = [this, count]() -> asio::awaitable<void> {
            wire::Frame request;
            request.mutable_configuration_fetch()->set_wants_configuration(true);
            for (std::size_t i = 0; i < count; ++i) {
                auto opened = co_await pool_.open(gateway_, request, maxTimeToForce);
                if (opened)
                    transfers_.push_back(opened.value());
            }
        };
        asio::co_spawn(asio::make_strand(io_), task, asio::use_future).get();
        return transfers_.size();
    }

    void cancelAll()
    {
        for (const auto& transfer : std::exchange(transfers_, {}))
            transfer->cancel();
    }

private:
    Endpoint gateway_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    PeerPool pool_;
    std::vector<std::shared_ptr<PeerStream>> transfers_;
    std::thread thread_;
};

} // namespace

TEST_CASE("a configuration is in force in time beside peers that never take what they asked for", "[receivers]")
{
    GatewayDeploymentOptions options;
    options.gatewayCount_ = 5;
    options.extraSettings_ = [](const std::string&) { return "  feed:\n    readers: 1\n"; };
    GatewayDeployment deployment(options);
    deployment.startStandardServices();
    HangingReceiver receiver(peerEndpointOfReader(deployment));
    for (std::uint64_t version = firstVersion; version < firstVersion + versionCount; ++version) {
        deployment.putConfiguration(version, manyRoutes(300));
        std::int64_t acknowledgedMs = wallMs();
        CHECK(receiver.open(concurrentTransfers) == concurrentTransfers);
        checkInForce(deployment, version, acknowledgedMs);
        receiver.cancelAll();
        std::this_thread::sleep_for(resetTime);
    }
}
