//===- test/Platform/Soak/Soak.cpp - faults at random, promises checked ---===//
///
/// \file
/// Runs gateways as processes before a stand-in of the users' platform, with
/// proxies between them, and callers that keep their connections. Faults come
/// from outside, drawn from a seed. Prints what was found, and fails if any
/// promise was broken.
//===----------------------------------------------------------------------===//
#include "Platform/GatewayDeployment.h"
#include "Promises.h"
#include "Schedule.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds monitorPeriod { 200 };
constexpr milliseconds metricPatience { 2000 };
// After the last fault: the platform's contact time, and a holder's succession.
constexpr milliseconds recovery { 6000 };
// How long requests are counted after that.
constexpr milliseconds calm { 3000 };
// Grace of the gateways' settings, and what the machine may take beside.
constexpr milliseconds longestStop { 3000 + 2500 };
constexpr std::size_t serversOfEachKind = 3;
// The clock of one gateway is wrong by this much in every third run.
constexpr const char* wrongClock = "  clock_offset: 7s\n";

struct Options {
    std::uint64_t seed_ = 1;
    double seconds_ = 10;
    std::size_t gateways_ = 4;
    std::size_t callers_ = 12;
    bool isVerbose_ = false;
};

class Soak {
public:
    explicit Soak(Options options);

    /// \returns whether every promise was kept.
    bool run();

private:
    struct Server {
        std::string id_;
        std::string service_;
        std::unique_ptr<FaultProxy> proxy_;
        bool isLeaving_ = false;
        /// It was taken away.
        bool isGone_ = false;
    };
    struct Node {
        std::unique_ptr<FaultProxy> platformLink_;
        /// It was told to end, or is not started again yet.
        bool isDown_ = false;
        /// Freezes under way; they may overlap.
        int frozen_ = 0;
        std::uint64_t starts_ = 1;
        double version_ = 0;
    };

    GatewayDeploymentOptions deploymentOptions();
    void startServer(const std::string& service);
    void announce(const Server& server, const char* phase, bool isReclaimed = false) const;
    void waitUntilServing();
    asio::awaitable<void> inject();
    asio::awaitable<void> apply(Fault fault);
    asio::awaitable<void> bringDown(std::size_t index, int signal, milliseconds pause);
    asio::awaitable<void> freeze(std::size_t index, milliseconds length);
    asio::awaitable<void> disturbLink(FaultProxy& proxy, const std::string& what, Fault fault);
    asio::awaitable<void> control(std::string key, Fault fault);
    asio::awaitable<void> replace(std::size_t index);
    asio::awaitable<void> reclaim(std::size_t index, milliseconds notice);
    asio::awaitable<void> configure(std::int64_t versions);
    asio::awaitable<void> monitor(std::size_t index);
    std::pair<std::string, Endpoint> pickGateway(std::mt19937_64& random);
    GatewayDeployment::Gateway& gateway(std::size_t index) { return deployment_->gateways()[index]; }
    void collect();

    Options options_;
    asio::io_context io_;
    std::vector<Node> nodes_;
    std::unique_ptr<GatewayDeployment> deployment_;
    std::vector<std::unique_ptr<Server>> servers_;
    Promises promises_ { {} };
    SteadyTime startedAt_ {};
    SteadyTime calmFrom_ {};
    bool isOver_ = false;
    int serversMade_ = 0;
    std::uint64_t version_ = 1;
};

asio::awaitable<void> sleepFor(milliseconds length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Soak::Soak(Options options)
    : options_(options)
    , nodes_(options.gateways_)
{
}

GatewayDeploymentOptions Soak::deploymentOptions()
{
    GatewayDeploymentOptions options;
    options.count_ = options_.gateways_;
    options.dataCentres_ = 2;
    auto next = std::make_shared<std::size_t>(0);
    options.platformFor_ = [this, next](const std::string&, const Endpoint& platform) {
        nodes_[*next].platformLink_ = std::make_unique<FaultProxy>(io_, platform);
        return nodes_[(*next)++].platformLink_->endpoint();
    };
    // Odd seeds run with relays, as a large fleet does.
    bool hasRelays = options_.seed_ % 2;
    bool hasWrongClock = options_.seed_ % 3 == 0;
    options.moreSettings_ = [hasRelays, hasWrongClock](const std::string& vm) {
        std::string text = hasRelays ? "  gossip:\n    fanout: 1\n" : "";
        return text + (hasWrongClock && vm == "node-2" ? wrongClock : "");
    };
    return options;
}

void Soak::announce(const Server& server, const char* phase, bool isReclaimed) const
{
    json::object value { { "service", server.service_ }, { "address", server.proxy_->endpoint().toString() }, { "zone", "a" }, { "version", "v1" }, { "slot_count", 8 }, { "phase", phase }, { "cold_left_ms", 0 }, { "call_seq", 0 }, { "spot", isReclaimed } };
    json::object entry { { "topic", "keyed.servers" }, { "key", server.id_ }, { "value", json::serialize(value) } };
    deployment_->control({ { "put", json::array { entry } } });
}

void Soak::startServer(const std::string& service)
{
    auto server = std::make_unique<Server>();
    server->id_ = service + "-" + std::to_string(++serversMade_);
    server->service_ = service;
    json::object wanted { { "id", server->id_ }, { "service", service }, { "unregistered", 1 } };
    json::object answer = deployment_->control({ { "backends", json::array { wanted } } });
    auto port = static_cast<std::uint16_t>(numberField(answer.at("ports").as_object(), server->id_.c_str()));
    server->proxy_ = std::make_unique<FaultProxy>(io_, Endpoint { "127.0.0.1", port });
    announce(*server, "up");
    servers_.push_back(std::move(server));
}

std::pair<std::string, Endpoint> Soak::pickGateway(std::mt19937_64& random)
{
    const GatewayDeployment::Gateway& chosen = gateway(random() % options_.gateways_);
    return { chosen.vm_, chosen.callers_ };
}

asio::awaitable<void> Soak::bringDown(std::size_t index, int signal, milliseconds pause)
{
    Node& node = nodes_[index];
    if (node.isDown_)
        co_return;
    node.isDown_ = true;
    SteadyTime at = steadyNow();
    Process& process = *gateway(index).process_;
    process.signal(signal);
    SteadyTime until = at + longestStop;
    while (process.isRunning() && (steadyNow() < until || node.frozen_))
        co_await sleepFor(milliseconds(10));
    if (process.isRunning() && !promises_.disturbances().overlap(gateway(index).vm_, at, steadyNow()))
        promises_.broken("a node stops within its grace time", gateway(index).vm_);
    process.kill();
    (void)process.wait(metricPatience);
    co_await sleepFor(pause);
    promises_.disturbances().note(gateway(index).vm_, at, steadyNow());
    deployment_->restart(gateway(index));
    ++node.starts_;
    node.version_ = 0;
    node.frozen_ = 0;
    node.isDown_ = false;
}

asio::awaitable<void> Soak::freeze(std::size_t index, milliseconds length)
{
    Node& node = nodes_[index];
    if (node.isDown_)
        co_return;
    std::uint64_t start = node.starts_;
    SteadyTime at = steadyNow();
    ++node.frozen_;
    gateway(index).process_->freeze();
    co_await sleepFor(length);
    promises_.disturbances().note(gateway(index).vm_, at, steadyNow());
    if (node.starts_ != start)
        co_return;
    if (--node.frozen_ == 0)
        gateway(index).process_->resume();
}

asio::awaitable<void> Soak::disturbLink(FaultProxy& proxy, const std::string& what, Fault fault)
{
    SteadyTime at = steadyNow();
    proxy.set(fault.link_, milliseconds(fault.strength_));
    co_await sleepFor(fault.for_);
    proxy.set(LinkFault::None);
    promises_.disturbances().note(what, at, steadyNow());
}

asio::awaitable<void> Soak::control(std::string key, Fault fault)
{
    bool isPlatform = fault.kind_ != FaultKind::BackendFault;
    Server& server = *servers_[fault.target_ % servers_.size()];
    json::object body { { key, isPlatform ? 1 : fault.strength_ } };
    json::object undo { { key, 0 } };
    if (!isPlatform)
        body["backend"] = undo["backend"] = server.id_;
    if (key == "gap_ms")
        undo[key] = 5;
    SteadyTime at = steadyNow();
    deployment_->control(body);
    co_await sleepFor(fault.for_);
    deployment_->control(undo);
    promises_.disturbances().note(isPlatform ? "platform" : server.id_, at, steadyNow());
}

asio::awaitable<void> Soak::replace(std::size_t index)
{
    Server& server = *servers_[index % servers_.size()];
    if (server.isLeaving_)
        co_return;
    server.isLeaving_ = true;
    startServer(server.service_);
    announce(server, "draining");
}

/// The first engine from \p index on that stays so far is taken away.
asio::awaitable<void> Soak::reclaim(std::size_t index, milliseconds notice)
{
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        Server& server = *servers_[(index + i) % servers_.size()];
        if (server.isLeaving_ || server.service_ != "engines")
            continue;
        server.isLeaving_ = true;
        startServer(server.service_);
        announce(server, "draining", true);
        SteadyTime at = steadyNow();
        co_await sleepFor(notice);
        server.proxy_->set(LinkFault::Reset);
        co_await sleepFor(monitorPeriod);
        server.proxy_->set(LinkFault::Refused);
        server.isGone_ = true;
        promises_.disturbances().note(server.id_, at, steadyNow());
        co_return;
    }
}

asio::awaitable<void> Soak::configure(std::int64_t versions)
{
    for (std::int64_t i = 0; i < versions; ++i) {
        deployment_->putConfiguration(++version_);
        co_await sleepFor(monitorPeriod);
    }
}

asio::awaitable<void> Soak::apply(Fault fault)
{
    std::size_t node = fault.target_ % options_.gateways_;
    switch (fault.kind_) {
    case FaultKind::Kill:
        co_return co_await bringDown(node, SIGKILL, fault.for_);
    case FaultKind::Stop:
        co_return co_await bringDown(node, SIGTERM, fault.for_);
    case FaultKind::Freeze:
        co_return co_await freeze(node, fault.for_);
    case FaultKind::Reload:
        if (!nodes_[node].isDown_)
            gateway(node).process_->signal(SIGHUP);
        co_return;
    case FaultKind::KillAll:
        for (std::size_t i = 0; i < options_.gateways_; ++i)
            asio::co_spawn(io_, bringDown(i, SIGKILL, fault.for_), asio::detached);
        co_return;
    case FaultKind::PlatformLink:
        co_return co_await disturbLink(*nodes_[node].platformLink_, gateway(node).vm_, fault);
    case FaultKind::BackendLink: {
        Server& server = *servers_[fault.target_ % servers_.size()];
        co_return co_await disturbLink(*server.proxy_, server.id_, fault);
    }
    case FaultKind::PlatformDown:
        co_return co_await control("down", fault);
    case FaultKind::LoseAppends:
        co_return co_await control("lose_appends", fault);
    case FaultKind::BackendFault:
        co_return co_await control(fault.control_, fault);
    case FaultKind::Replace:
        co_return co_await replace(fault.target_);
    case FaultKind::Reclaim:
        co_return co_await reclaim(fault.target_, fault.for_);
    case FaultKind::Configure:
        co_return co_await configure(fault.strength_);
    }
}

/// Brings about the faults, lets the system recover, and ends the run.
asio::awaitable<void> Soak::inject()
{
    milliseconds length(static_cast<std::int64_t>(options_.seconds_ * 1000));
    for (const Fault& fault : drawFaults(options_.seed_, length)) {
        milliseconds wait = std::chrono::duration_cast<milliseconds>(startedAt_ + fault.at_ - steadyNow());
        co_await sleepFor(std::max(milliseconds(0), wait));
        if (options_.isVerbose_)
            std::cerr << describe(fault) << "\n";
        asio::co_spawn(io_, apply(fault), asio::detached);
    }
    milliseconds rest = std::chrono::duration_cast<milliseconds>(startedAt_ + length - steadyNow());
    co_await sleepFor(std::max(milliseconds(0), rest));
    // Stops that began last may take their grace time.
    while (std::any_of(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.isDown_ || node.frozen_; }))
        co_await sleepFor(monitorPeriod);
    co_await sleepFor(recovery);
    calmFrom_ = steadyNow();
    co_await sleepFor(calm);
    isOver_ = true;
}

/// Watches one gateway: it runs on, and its configuration never goes back.
asio::awaitable<void> Soak::monitor(std::size_t index)
{
    Node& node = nodes_[index];
    while (!isOver_) {
        co_await sleepFor(monitorPeriod);
        if (!node.isDown_ && !gateway(index).process_->isRunning()) {
            promises_.broken("processes do not end by themselves", gateway(index).vm_);
            isOver_ = true;
            co_return;
        }
        std::uint64_t start = node.starts_;
        HttpRequest request { "GET", "/metrics", {}, {} };
        auto answer = co_await callHttp(gateway(index).metrics_, request, metricPatience);
        constexpr std::string_view key = "\npistachioloom_configuration_version ";
        if (!answer || node.isDown_ || node.starts_ != start)
            continue;
        std::size_t at = answer.value().body_.find(key);
        double version = at == std::string::npos ? 0 : std::stod(answer.value().body_.substr(at + key.size()));
        if (version < node.version_)
            promises_.broken("configurations only go forward", gateway(index).vm_ + " went from " + std::to_string(node.version_) + " to " + std::to_string(version));
        node.version_ = std::max(node.version_, version);
        bool shouldHaveNewest = calmFrom_ != SteadyTime {} && steadyNow() > calmFrom_;
        if (shouldHaveNewest && version != static_cast<double>(version_))
            promises_.broken("the newest configuration is in force after the faults", gateway(index).vm_ + " has " + std::to_string(version) + " of " + std::to_string(version_));
    }
}

void Soak::collect()
{
    for (const auto& server : servers_)
        promises_.takeRuns(deployment_->backend(server->id_).at("runs").as_array(), server->isGone_);
    promises_.checkDuties(deployment_->control().at("duties").as_array());
    promises_.checkWhole(startedAt_, calmFrom_);
}

/// Proxies work on this thread, so waiting means running them.
void Soak::waitUntilServing()
{
    SteadyTime until = steadyNow() + milliseconds(20000);
    auto guard = asio::make_work_guard(io_);
    for (std::size_t i = 0; i < options_.gateways_; ++i) {
        while (!deployment_->isReady(gateway(i)) || deployment_->metric(gateway(i), "backend_servers") < 2 * serversOfEachKind) {
            if (steadyNow() > until)
                throw std::runtime_error("gateways do not become ready; see " + deployment_->directory());
            io_.run_for(milliseconds(50));
        }
    }
}

bool Soak::run()
{
    deployment_ = std::make_unique<GatewayDeployment>(deploymentOptions());
    deployment_->putConfiguration(version_);
    for (std::size_t i = 0; i < serversOfEachKind; ++i) {
        startServer("plain");
        startServer("engines");
    }
    waitUntilServing();
    startedAt_ = steadyNow();
    for (std::size_t i = 0; i < options_.callers_; ++i) {
        CallerHooks hooks;
        hooks.pickGateway_ = [this](std::mt19937_64& random) { return pickGateway(random); };
        hooks.onCall_ = [this](Call call) { promises_.take(std::move(call)); };
        hooks.isOver_ = [this] { return isOver_; };
        asio::co_spawn(io_, runCaller(i, options_.seed_ * 1000 + i, hooks), asio::detached);
    }
    for (std::size_t i = 0; i < options_.gateways_; ++i)
        asio::co_spawn(io_, monitor(i), asio::detached);
    asio::co_spawn(io_, inject(), asio::detached);
    while (!isOver_)
        io_.run_for(monitorPeriod);
    // What callers still wait for; answers come within their time.
    io_.run_for(milliseconds(4000));
    collect();
    json::object summary { { "seed", options_.seed_ }, { "calls", promises_.calls() }, { "served", promises_.served() }, { "broken", promises_.findings().size() } };
    std::cout << json::serialize(summary) << std::endl;
    for (const std::string& finding : promises_.findings())
        std::cout << "  " << finding << "\n";
    if (promises_.findings().empty())
        std::filesystem::remove_all(deployment_->directory());
    else
        std::cout << "  logs are in " << deployment_->directory() << "\n";
    return promises_.findings().empty();
}

} // namespace

/// The seeds of a file: one a line, followed by its cause.
static std::vector<std::uint64_t> readSeeds(const std::string& file)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream input(file);
    for (std::string line; std::getline(input, line);) {
        if (!line.empty() && line.front() != '#')
            seeds.push_back(std::stoull(line));
    }
    return seeds;
}

int main(int argc, char** argv)
{
    CLI::App app { "Plays random faults on gateways and checks what callers, backend servers and the platform see." };
    Options options;
    std::uint64_t runs = 1;
    std::string seedsFile;
    app.add_option("--seed", options.seed_, "Seed of the first run");
    app.add_option("--runs", runs, "Runs, with seeds one after the other")->check(CLI::Range(1, 100000));
    app.add_option("--seeds", seedsFile, "File of seeds that are run first")->check(CLI::ExistingFile);
    app.add_option("--seconds", options.seconds_, "How long faults come in each run")->check(CLI::Range(1.0, 86400.0));
    app.add_option("--gateways", options.gateways_, "Gateways")->check(CLI::Range(2, 60));
    app.add_option("--callers", options.callers_, "Callers")->check(CLI::Range(1, 1000));
    app.add_flag("--verbose", options.isVerbose_, "Print the faults as they come");
    CLI11_PARSE(app, argc, argv);
    signal(SIGPIPE, SIG_IGN);
    std::vector<std::uint64_t> seeds = readSeeds(seedsFile);
    for (std::uint64_t i = 0; i < runs; ++i)
        seeds.push_back(options.seed_ + i);
    bool isGood = true;
    for (std::uint64_t seed : std::set<std::uint64_t>(seeds.begin(), seeds.end())) {
        options.seed_ = seed;
        isGood &= Soak(options).run();
    }
    return isGood ? 0 : 1;
}
