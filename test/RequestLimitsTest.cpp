//===- test/RequestLimitsTest.cpp - limits stated by backend servers -------===//
///
/// \file
/// A backend server can state in its answers how many requests a second it takes from all
/// nodes together. Runs gateways as processes and counts what such a server receives.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

// A limit binds from this time after it was first stated.
constexpr milliseconds limitNoticeTime { 3000 };
constexpr milliseconds window { 4000 };
constexpr milliseconds loadTime { 14000 };
constexpr milliseconds stopAfter { 5000 };
constexpr milliseconds restartAfter { 9000 };
constexpr int callerCount = 12;
constexpr milliseconds callerPause { 60 };

/// Callers that each send a request through the next gateway in turn until they are stopped.
class Callers {
public:
    Callers(const GatewayDeployment& deployment, std::string path)
        : deployment_(deployment)
        , path_(std::move(path))
    {
        for (int caller = 0; caller < callerCount; ++caller)
            threads_.emplace_back([this, caller] { run(caller); });
    }
    ~Callers()
    {
        isStopped_ = true;
        for (std::thread& thread : threads_)
            thread.join();
    }

private:
    void run(int caller)
    {
        for (int i = 0; !isStopped_; ++i) {
            const auto& gateways = deployment_.gateways();
            auto& gateway = gateways[static_cast<std::size_t>(i + caller) % gateways.size()];
            (void)deployment_.call(gateway, gatewayRequest("GET", path_, "c" + std::to_string(caller) + "-" + std::to_string(i)));
            std::this_thread::sleep_for(callerPause);
        }
    }

    const GatewayDeployment& deployment_;
    const std::string path_;
    std::atomic<bool> isStopped_ { false };
    std::vector<std::thread> threads_;
};

std::vector<std::int64_t> arrivalsAt(const GatewayDeployment& deployment, const std::string& backend)
{
    std::vector<std::int64_t> arrivals;
    json::object received = deployment.backend(backend);
    for (const json::value& arrival : received.at("limited_arrivals").as_array())
        arrivals.push_back(arrival.as_int64());
    return arrivals;
}

/// Returns the highest number of requests in any window after the limit binds.
std::size_t mostInWindow(const std::vector<std::int64_t>& arrivals)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] > window.count() || arrivals[first] - arrivals.front() < limitNoticeTime.count()) {
            if (++first > last)
                break;
        }
        most = std::max(most, last + 1 - std::min(first, last + 1));
    }
    return most;
}

struct Row {
    const char* path_;
    const char* backend_;
    int limitPer1000s_;
    bool restartsGateway_;
    /// The part of the limit that is used at least. The part of a gateway that stops passes to
    /// another one without credit.
    double usedShare_;
};

} // namespace

TEST_CASE("a backend server that stated a request limit gets more requests than it takes", "[gateway]")
{
    auto row = GENERATE(values<Row>({
        { "/safe/x", "p-1", 1000, true, 0.75 },
        { "/safe/x", "p-1", 250, false, 0.9 },
        { "/draft/stream/x", "e-1", 10000, true, 0.75 },
    }));
    CAPTURE(row.path_, row.limitPer1000s_, row.restartsGateway_);
    GatewayDeploymentOptions options;
    options.gatewayCount_ = 6;
    options.dataCentreCount_ = 2;
    GatewayDeployment deployment(options);
    deployment.startStandardServices();
    deployment.backend(row.backend_, { { "limit_per_1000_s", row.limitPer1000s_ } });
    Callers callers(deployment, row.path_);
    std::this_thread::sleep_for(stopAfter);
    auto& restarted = deployment.gateways()[1];
    if (row.restartsGateway_) {
        restarted.process_->signal(SIGTERM);
        std::this_thread::sleep_for(restartAfter - stopAfter);
        deployment.restart(restarted);
        std::this_thread::sleep_for(loadTime - restartAfter);
    } else
        std::this_thread::sleep_for(loadTime - stopAfter);

    std::vector<std::int64_t> arrivals = arrivalsAt(deployment, row.backend_);
    REQUIRE_FALSE(arrivals.empty());
    double perSecond = row.limitPer1000s_ / 1000.0;
    CHECK(static_cast<double>(mostInWindow(arrivals)) <= 1.5 * perSecond * 4 + 5);
    // The server still takes requests.
    auto bindingMs = static_cast<double>((loadTime - limitNoticeTime).count());
    auto later = std::count_if(arrivals.begin(), arrivals.end(), [&](std::int64_t arrival) { return arrival - arrivals.front() >= limitNoticeTime.count(); });
    CHECK(static_cast<double>(later) >= row.usedShare_ * perSecond * bindingMs / 1000 - 1);
    // The limit ends with the first answer that does not state it.
    deployment.backend(row.backend_, { { "limit_per_1000_s", 0 } });
    auto runs = [&] { return deployment.backend(row.backend_).at("runs").as_array().size(); };
    std::size_t before = runs();
    CHECK(waitUntil([&] { return static_cast<double>(runs() - before) > 10 * perSecond * 4 + 30; }, 2 * window + milliseconds(static_cast<std::int64_t>(2000 / perSecond))));
}
