//===- test/Platform/Soak/SoakRun.cpp - one run of the soak test ----------===//
///
/// \file
/// Starts the deployment and its callers, waits for the end, and reports violations.
//===----------------------------------------------------------------------===//
#include "SoakRun.h"

#include <filesystem>
#include <iostream>

namespace json = boost::json;

namespace pistachioloom::test {

static constexpr std::size_t serversPerService = 3;
// Clock offset of one gateway, in runs whose seed is a multiple of three.
static constexpr const char* clockOffsetSetting = "  clock_offset: 7s\n";

asio::awaitable<void> sleepFor(milliseconds duration)
{
    SteadyTimer timer(co_await asio::this_coro::executor, duration);
    (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

SoakRun::SoakRun(SoakOptions options)
    : options_(options)
    , nodes_(options.gatewayCount_)
{
}

GatewayDeploymentOptions SoakRun::deploymentOptions()
{
    GatewayDeploymentOptions options;
    options.gatewayCount_ = options_.gatewayCount_;
    options.dataCentreCount_ = 2;
    auto next = std::make_shared<std::size_t>(0);
    options.platformEndpointFor_ = [this, next](const std::string&, const Endpoint& platform) {
        nodes_[*next].platformLink_ = std::make_unique<FaultProxy>(io_, platform);
        return nodes_[(*next)++].platformLink_->endpoint();
    };
    // A small fanout makes gateways use relays, as a large fleet does; odd seeds have it.
    bool hasRelays = options_.seed_ % 2;
    bool hasClockOffset = options_.seed_ % 3 == 0;
    options.extraSettings_ = [hasRelays, hasClockOffset](const std::string& vm) {
        std::string text = hasRelays ? "  gossip:\n    fanout: 1\n" : "";
        return text + (hasClockOffset && vm == "node-2" ? clockOffsetSetting : "");
    };
    return options;
}

void SoakRun::registerServer(const Server& server, const char* phase, bool isReclaimed) const
{
    json::object value { { "service", server.service_ }, { "address", server.proxy_->endpoint().toString() }, { "zone", "a" }, { "version", "v1" }, { "slot_count", 8 }, { "phase", phase }, { "cold_left_ms", 0 }, { "call_seq", 0 }, { "spot", isReclaimed } };
    json::object entry { { "topic", "keyed.servers" }, { "key", server.id_ }, { "value", json::serialize(value) } };
    deployment_->control({ { "put", json::array { entry } } });
}

void SoakRun::startServer(const std::string& service)
{
    auto server = std::make_unique<Server>();
    server->id_ = service + "-" + std::to_string(++lastServerNumber_);
    server->service_ = service;
    json::object spec { { "id", server->id_ }, { "service", service }, { "unregistered", 1 } };
    json::object answer = deployment_->control({ { "backends", json::array { spec } } });
    auto port = static_cast<std::uint16_t>(numberField(answer.at("ports").as_object(), server->id_.c_str()));
    server->proxy_ = std::make_unique<FaultProxy>(io_, Endpoint { "127.0.0.1", port });
    registerServer(*server, "up");
    servers_.push_back(std::move(server));
}

std::pair<std::string, Endpoint> SoakRun::pickGateway(std::mt19937_64& random)
{
    const GatewayDeployment::Gateway& chosen = gateway(random() % options_.gatewayCount_);
    return { chosen.vm_, chosen.callers_ };
}

void SoakRun::putConfiguration()
{
    // Two priorities behind the most urgent route of the service; see Route::isDeferrable_.
    constexpr const char* deferrableRoute = R"(,
{"name":"batch","hostname":"h.example","path_prefix":"/batch/","type":"stream","timeout_ms":5000,"goal_ms":2500,"priority":2,"service":"engines","attempts":2})";
    deployment_->putConfiguration(publishedVersion_, deferrableRoute);
}

void SoakRun::startDeployment()
{
    deployment_ = std::make_unique<GatewayDeployment>(deploymentOptions());
    putConfiguration();
    for (std::size_t i = 0; i < serversPerService; ++i) {
        startServer("plain");
        startServer("engines");
    }
}

/// The proxies run on this thread, so the wait runs the io_context.
void SoakRun::waitUntilServing()
{
    SteadyTime deadline = steadyNow() + milliseconds(20000);
    auto guard = asio::make_work_guard(io_);
    for (std::size_t i = 0; i < options_.gatewayCount_; ++i) {
        while (!deployment_->isReady(gateway(i)) || deployment_->metric(gateway(i), "backend_servers") < 2 * serversPerService) {
            if (steadyNow() > deadline)
                throw std::runtime_error("gateways did not become ready in time; see " + deployment_->directory());
            io_.run_for(milliseconds(50));
        }
    }
}

void SoakRun::startCallers()
{
    for (std::size_t i = 0; i < options_.callerCount_; ++i) {
        CallerHooks hooks;
        hooks.pickGateway_ = [this](std::mt19937_64& random) { return pickGateway(random); };
        hooks.onCall_ = [this](Call call) { checker_.addCall(std::move(call)); };
        hooks.isOver_ = [this] { return isOver_; };
        asio::co_spawn(io_, runCaller(i, options_.seed_ * 1000 + i, hooks), asio::detached);
    }
}

bool SoakRun::run()
{
    startDeployment();
    waitUntilServing();
    startedAt_ = steadyNow();
    startCallers();
    for (std::size_t i = 0; i < options_.gatewayCount_; ++i)
        asio::co_spawn(io_, monitor(i), asio::detached);
    asio::co_spawn(io_, injectFaults(), asio::detached);
    while (!isOver_)
        io_.run_for(monitorPeriod);
    // Some callers still wait for their last answers, which arrive within the deadline of the
    // requests.
    io_.run_for(milliseconds(4000));
    checkResults();
    return report();
}

void SoakRun::checkResults()
{
    for (const auto& server : servers_)
        checker_.addRuns(deployment_->backend(server->id_).at("runs").as_array(), server->isRemoved_);
    json::object state = deployment_->control();
    checker_.checkDuties(state.at("duties").as_array());
    checker_.checkCrashes(state.at("crashes").as_array());
    checker_.checkEntireRun(startedAt_, recoveredAt_);
}

/// Prints a summary and the violations. \returns whether every invariant held.
bool SoakRun::report() const
{
    json::object summary { { "seed", options_.seed_ }, { "calls", checker_.callCount() }, { "served", checker_.servedCount() }, { "broken", checker_.violations().size() } };
    std::cout << json::serialize(summary) << std::endl;
    for (const std::string& violation : checker_.violations())
        std::cout << "  " << violation << "\n";
    if (checker_.violations().empty())
        std::filesystem::remove_all(deployment_->directory());
    else
        std::cout << "  logs are in " << deployment_->directory() << "\n";
    return checker_.violations().empty();
}

} // namespace pistachioloom::test
