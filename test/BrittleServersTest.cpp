//===- test/BrittleServersTest.cpp - servers that fall over when full ------===//
///
/// \file
/// A backend server can state in its answers that it is brittle: it falls over if it has to
/// reject more than a number of requests in a second for want of capacity. Runs gateways as
/// processes that get more requests than such servers have slots for.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

// Brittleness binds from this time after it was first stated.
constexpr milliseconds noticeTime { 3000 };
constexpr milliseconds loadTime { 8000 };
// Slots that the servers register, which are as many as they take.
constexpr int slots = 8;
constexpr int serverCount = 2;
constexpr int maxRejectionsPerSecond = 5;

/// Callers that send a request after the other, until they are destroyed.
class Callers {
public:
    Callers(const GatewayDeployment& deployment, std::string path, int count, milliseconds pause)
        : deployment_(deployment)
        , path_(std::move(path))
        , pause_(pause)
    {
        for (int caller = 0; caller < count; ++caller)
            threads_.emplace_back([this, caller] { run(caller); });
    }
    ~Callers()
    {
        isStopped_ = true;
        for (std::thread& thread : threads_)
            thread.join();
    }

    int servedCount() const { return servedCount_; }

private:
    void run(int caller)
    {
        for (int i = 0; !isStopped_; ++i) {
            const auto& gateways = deployment_.gateways();
            auto& gateway = gateways[static_cast<std::size_t>(i + caller) % gateways.size()];
            servedCount_ += deployment_.call(gateway, gatewayRequest("GET", path_, "c" + std::to_string(caller) + "-" + std::to_string(i))).status_ == 200;
            std::this_thread::sleep_for(pause_);
        }
    }

    const GatewayDeployment& deployment_;
    const std::string path_;
    const milliseconds pause_;
    std::atomic<int> servedCount_ { 0 };
    std::atomic<bool> isStopped_ { false };
    std::vector<std::thread> threads_;
};

struct Row {
    const char* path_;
    std::array<const char*, serverCount> servers_;
    int callers_;
};

} // namespace

TEST_CASE("brittle servers are filled until they fall over", "[gateway]")
{
    auto row = GENERATE(values<Row>({ { "/safe/x", { "p-1", "p-2" }, 60 }, { "/ask/stream/x", { "e-1", "e-2" }, 60 } }));
    CAPTURE(row.path_, row.callers_);
    GatewayDeploymentOptions options;
    options.gatewayCount_ = 6;
    options.dataCentreCount_ = 2;
    GatewayDeployment deployment(options);
    deployment.startStandardServices();
    for (const char* server : row.servers_)
        deployment.backend(server, { { "brittle", maxRejectionsPerSecond }, { "brittle_slots", slots }, { "delay_ms", 150 } });
    auto falls = [&] {
        std::uint64_t sum = 0;
        for (const char* server : row.servers_)
            sum += numberField(deployment.backend(server), "falls");
        return sum;
    };
    std::uint64_t fallsBefore = 0;
    int servedBefore = 0;
    {
        Callers few(deployment, row.path_, 4, milliseconds(50));
        std::this_thread::sleep_for(noticeTime);
        fallsBefore = falls();
    }
    Callers callers(deployment, row.path_, row.callers_, milliseconds(20));
    servedBefore = callers.servedCount();
    std::this_thread::sleep_for(loadTime);
    CHECK(falls() - fallsBefore <= 2 + serverCount / 10);
    // At least half of what the servers could serve.
    double capacity = serverCount * slots * (static_cast<double>(loadTime.count()) / 200);
    CHECK(callers.servedCount() - servedBefore >= capacity / 2);
}
