//===- test/LostPathsTest.cpp - gateways without paths to servers ----------===//
///
/// \file
/// Runs gateways as processes, each with paths of its own to the backend servers, and cuts the
/// paths of some of them. Callers, the platform and the other gateways still reach these.
//===----------------------------------------------------------------------===//
#include "Harness/PathProxy.h"
#include "Platform/GatewayDeployment.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <map>
#include <thread>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

constexpr std::array backends { "p-1", "p-2", "e-1", "e-2" };
constexpr std::array paths { "/safe/x", "/once/x", "/draft/stream/x", "/ask/stream/x" };
constexpr milliseconds contactTime { 3000 };
constexpr milliseconds judgedTime { 4000 };
constexpr milliseconds healTime { 1000 };
constexpr int callersPerGateway = 4;
constexpr milliseconds callerPause { 40 };

/// Gateways that each reach the backend servers through proxies of their own. All of them read
/// the list of backend servers from the platform, through a view that contains the proxies.
class DeploymentWithPaths {
public:
    explicit DeploymentWithPaths(std::size_t gateways)
        : paths_(gateways)
        , deployment_(optionsWithViews(gateways))
    {
        for (std::size_t i = 0; i < gateways; ++i) {
            json::object addresses;
            for (const char* backend : backends)
                addresses[backend] = paths_[i].endpoint(paths_[i].add()).toString();
            deployment_.setView(deployment_.gateways()[i], addresses);
        }
        deployment_.startStandardServices();
        for (PathProxies& paths : paths_) {
            for (std::size_t i = 0; i < backends.size(); ++i)
                paths.setTarget(i, { "127.0.0.1", static_cast<std::uint16_t>(numberField(deployment_.backend(backends[i]), "port")) });
        }
    }

    GatewayDeployment& deployment() { return deployment_; }
    PathProxies& pathsOf(std::size_t gateway) { return paths_[gateway]; }

private:
    std::vector<PathProxies> paths_;
    GatewayDeployment deployment_;
};

/// Results of first tries at one gateway.
struct Tries {
    std::atomic<int> served_ { 0 };
    std::atomic<int> failed_ { 0 };
    /// Answers with success and a body that is not the server's whole body.
    std::atomic<int> wrong_ { 0 };
};

constexpr int eventCount = 5;

std::string expectedBody(const std::string& path)
{
    if (path.find("/stream") == std::string::npos)
        return "GET " + path + " ";
    std::string events;
    for (int id = 1; id <= eventCount; ++id)
        events += "id: " + std::to_string(id) + "\ndata: event " + std::to_string(id) + "\n\n";
    return events;
}

/// Sends requests of all kinds to every gateway until it is destroyed.
class Callers {
public:
    explicit Callers(GatewayDeployment& deployment)
        : deployment_(deployment)
        , tries_(deployment.gateways().size())
    {
        for (std::size_t gateway = 0; gateway < tries_.size(); ++gateway) {
            for (int caller = 0; caller < callersPerGateway; ++caller)
                threads_.emplace_back([this, gateway, caller] { run(gateway, caller); });
        }
    }
    ~Callers()
    {
        isStopped_ = true;
        for (std::thread& thread : threads_)
            thread.join();
    }

    /// Counts only requests that are sent from now on.
    void startJudging() { isJudging_ = true; }
    const Tries& triesAt(std::size_t gateway) const { return tries_[gateway]; }

private:
    void run(std::size_t gateway, int caller)
    {
        for (int i = 0; !isStopped_; ++i) {
            const char* path = paths[static_cast<std::size_t>(i + caller) % paths.size()];
            std::string id = (std::string(path) == "/once/x" ? "once-" : "any-") + std::to_string(gateway) + "-" + std::to_string(caller) + "-" + std::to_string(i);
            bool isJudged = isJudging_;
            HttpResponse answer = deployment_.call(deployment_.gateways()[gateway], gatewayRequest("GET", path, id));
            tries_[gateway].wrong_ += answer.status_ == 200 && answer.body_ != expectedBody(path);
            if (isJudged)
                ++(answer.status_ == 200 ? tries_[gateway].served_ : tries_[gateway].failed_);
            std::this_thread::sleep_for(callerPause);
        }
    }

    GatewayDeployment& deployment_;
    std::vector<Tries> tries_;
    std::atomic<bool> isJudging_ { false };
    std::atomic<bool> isStopped_ { false };
    std::vector<std::thread> threads_;
};

/// Returns how often \p text is in the log of \p gateway.
std::size_t countInLog(const GatewayDeployment& deployment, std::size_t gateway, const std::string& text)
{
    std::ifstream file(deployment.logFile(deployment.gateways()[gateway]));
    std::size_t count = 0;
    for (std::string line; std::getline(file, line);)
        count += line.find(text) != std::string::npos;
    return count;
}

/// Returns the highest number of runs of one attempt id that may run at most once.
std::size_t mostRunsOfOnce(const GatewayDeployment& deployment)
{
    std::map<std::string, std::size_t> runs;
    for (const char* backend : backends) {
        json::object received = deployment.backend(backend);
        for (const json::value& run : received.at("runs").as_array())
            ++runs[std::string(run.as_string())];
    }
    std::size_t most = 0;
    for (const auto& [id, count] : runs)
        most = std::max(most, id.starts_with("once") ? count : 0);
    return most;
}

struct Row {
    PathFault fault_;
    std::size_t cutGateways_;
};

} // namespace

TEST_CASE("a gateway that lost its paths to all backend servers fails requests that its peers could serve", "[gateway]")
{
    auto row = GENERATE(values<Row>({ { PathFault::Hang, 1 }, { PathFault::Reset, 2 }, { PathFault::RefuseNew, 1 }, { PathFault::Hang, 2 } }));
    INFO(row.cutGateways_ << " of 3 gateways, " << toString(row.fault_));
    DeploymentWithPaths withPaths(3);
    GatewayDeployment& deployment = withPaths.deployment();
    Callers callers(deployment);
    std::this_thread::sleep_for(contactTime / 2);
    for (std::size_t i = 0; i < row.cutGateways_; ++i)
        withPaths.pathsOf(i).set(row.fault_);
    std::this_thread::sleep_for(contactTime);
    callers.startJudging();
    std::this_thread::sleep_for(judgedTime);
    for (std::size_t i = 0; i < row.cutGateways_; ++i) {
        int served = callers.triesAt(i).served_;
        int failed = callers.triesAt(i).failed_;
        CAPTURE(i, served, failed);
        CHECK(failed <= 10 + (served + failed) / 50);
        CHECK(served > callers.triesAt(2).served_ * 2 / 3);
        // What a gateway sees of its own paths says nothing of the servers.
        CHECK(countInLog(deployment, i, "Backend server has terminated") == 0);
        CHECK(callers.triesAt(i).wrong_ == 0);
    }
    CHECK(mostRunsOfOnce(deployment) == 1);
    for (std::size_t i = 0; i < row.cutGateways_; ++i)
        withPaths.pathsOf(i).set(PathFault::None);
    std::this_thread::sleep_for(healTime);
    for (std::size_t i = 0; i < row.cutGateways_; ++i) {
        double relayed = deployment.metric(deployment.gateways()[i], "connections_relayed_total");
        std::this_thread::sleep_for(healTime);
        CHECK(deployment.metric(deployment.gateways()[i], "connections_relayed_total") == relayed);
    }
}

TEST_CASE("requests of a gateway without paths fail after a peer that carries them is gone", "[gateway]")
{
    struct CarrierRow {
        const char* name_;
        int signal_;
    };
    auto row = GENERATE(values<CarrierRow>({ { "stops", SIGTERM }, { "is killed", SIGKILL }, { "freezes", SIGSTOP } }));
    INFO("the peer " << row.name_);
    DeploymentWithPaths withPaths(3);
    GatewayDeployment& deployment = withPaths.deployment();
    withPaths.pathsOf(0).set(PathFault::Reset);
    Callers callers(deployment);
    REQUIRE(waitUntil([&] { return deployment.metric(deployment.gateways()[0], "connections_relayed_total") > 20; }));
    deployment.gateways()[1].process_->signal(row.signal_);
    std::this_thread::sleep_for(contactTime);
    callers.startJudging();
    std::this_thread::sleep_for(judgedTime);
    int served = callers.triesAt(0).served_;
    int failed = callers.triesAt(0).failed_;
    CAPTURE(served, failed);
    CHECK(failed <= 10 + (served + failed) / 50);
    CHECK(served > callers.triesAt(2).served_ * 2 / 3);
    CHECK(callers.triesAt(0).wrong_ == 0);
    CHECK(mostRunsOfOnce(deployment) == 1);
    if (row.signal_ == SIGSTOP)
        deployment.gateways()[1].process_->resume();
}

TEST_CASE("a server goes on with a relayed stream whose caller has left", "[gateway]")
{
    DeploymentWithPaths withPaths(3);
    GatewayDeployment& deployment = withPaths.deployment();
    for (const char* engine : { "e-1", "e-2" })
        deployment.backend(engine, { { "events", 1000 }, { "gap_ms", 20 } });
    withPaths.pathsOf(0).set(PathFault::Reset);
    auto& gateway = deployment.gateways()[0];
    REQUIRE(waitUntil([&] {
        (void)deployment.call(gateway, gatewayRequest("GET", "/ask/x", "first"));
        return deployment.metric(gateway, "services_unreachable") > 0;
    }));
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller(io);
    caller.connect({ boost::asio::ip::make_address(gateway.callers_.host_), gateway.callers_.port_ });
    std::string request = "GET /ask/stream/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-north\r\nX-Pistachioloom-Attempt-Id: left\r\nX-Pistachioloom-Deadline-Ms: 4000\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    std::string received;
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(received), "id: 3");
    caller.close();
    auto isAbandoned = [&] {
        std::size_t count = 0;
        for (const char* engine : { "e-1", "e-2" }) {
            json::object state = deployment.backend(engine);
            for (const json::value& id : state.at("gone").as_array())
                count += id.as_string() == "left";
        }
        return count == 1;
    };
    CHECK(waitUntil(isAbandoned, milliseconds(500)));
}
