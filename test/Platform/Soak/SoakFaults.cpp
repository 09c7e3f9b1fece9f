//===- test/Platform/Soak/SoakFaults.cpp - faults, brought about ------------===//
///
/// \file
/// Applies what the schedule drew to processes, links, the platform and backend servers.
//===----------------------------------------------------------------------===//
#include "SoakRun.h"

#include <csignal>
#include <iostream>

namespace json = boost::json;

namespace pistachioloom::test {

// After the last fault: the platform's contact time, and a holder's succession.
static constexpr milliseconds recovery { 6000 };
// How long requests are counted after that.
static constexpr milliseconds calm { 3000 };
// Grace of the gateways' settings, and what the machine may take beside.
static constexpr milliseconds longestStop { 3000 + 2500 };
// When requests are counted that reach a backend server which says that it leaves.
static constexpr milliseconds leavingKnown { 2500 };

asio::awaitable<void> SoakRun::bringDown(std::size_t index, int signal, milliseconds pause)
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

asio::awaitable<void> SoakRun::freeze(std::size_t index, milliseconds length)
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

asio::awaitable<void> SoakRun::disturbLink(FaultProxy& proxy, const std::string& what, Fault fault)
{
    SteadyTime at = steadyNow();
    proxy.set(fault.link_, milliseconds(fault.strength_));
    co_await sleepFor(fault.for_);
    proxy.set(LinkFault::None);
    promises_.disturbances().note(what, at, steadyNow());
}

asio::awaitable<void> SoakRun::control(std::string key, Fault fault)
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

asio::awaitable<void> SoakRun::replace(std::size_t index)
{
    Server& server = *servers_[index % servers_.size()];
    if (server.isLeaving_)
        co_return;
    server.isLeaving_ = true;
    startServer(server.service_);
    announce(server, "draining");
}

/// The first engine from \p index on that stays so far is taken away.
asio::awaitable<void> SoakRun::reclaim(std::size_t index, milliseconds notice)
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

/// It is registered as before: only its answers tell that it leaves.
asio::awaitable<void> SoakRun::sayLeaving(std::size_t index)
{
    Server& server = *servers_[index % servers_.size()];
    if (server.isLeaving_)
        co_return;
    server.isLeaving_ = true;
    startServer(server.service_);
    json::object runs = deployment_->backend(server.id_, { { "says_leaving", 1 } });
    // Nobody knows before an answer tells.
    std::size_t before = runs.at("runs").as_array().size();
    std::size_t served = before;
    while (!isOver_ && served == before) {
        co_await sleepFor(monitorPeriod);
        served = deployment_->backend(server.id_).at("runs").as_array().size();
    }
    SteadyTime saidAt = steadyNow();
    co_await sleepFor(leavingKnown);
    std::size_t counted = deployment_->backend(server.id_).at("runs").as_array().size();
    while (!isOver_)
        co_await sleepFor(monitorPeriod);
    std::vector<std::string> late;
    json::object told = deployment_->backend(server.id_);
    const json::array& all = told.at("runs").as_array();
    for (std::size_t i = counted; i < all.size(); ++i)
        late.emplace_back(all[i].as_string());
    promises_.takeLateRuns(server.id_, late, saidAt);
}

asio::awaitable<void> SoakRun::askPause(std::size_t index, milliseconds length, milliseconds pause)
{
    Server& server = *servers_[index % servers_.size()];
    if (server.isLeaving_)
        co_return;
    SteadyTime at = steadyNow();
    std::string id = server.id_;
    deployment_->backend(id, { { "full", 1 }, { "retry_after_ms", pause.count() } });
    co_await sleepFor(length);
    json::object told = deployment_->backend(id, { { "full", 0 }, { "retry_after_ms", 0 } });
    promises_.disturbances().note(id, at, steadyNow());
    // In each pause a gateway may send two requests, and so may each start of one.
    auto pauses = static_cast<std::uint64_t>(length / pause + 1);
    std::uint64_t starts = 0;
    for (const Node& node : nodes_)
        starts += node.starts_;
    std::uint64_t turnedAway = numberField(told, "turned_away");
    // Requests of the half second in which the first answers come are not counted.
    if (turnedAway > 2 * pauses * starts + options_.callers_)
        promises_.broken("a pause that a backend server asks for is kept", id + " turned away " + std::to_string(turnedAway) + " in " + std::to_string(length.count()) + " ms");
}

void SoakRun::crashEngines()
{
    deployment_->control({ { "crash_text", crashText }, { "restart_ms", 600000 } });
    CallerHooks hooks;
    hooks.pickGateway_ = [this](std::mt19937_64& random) { return pickGateway(random); };
    hooks.onCall_ = [this](Call call) { promises_.take(std::move(call)); };
    hooks.isOver_ = [this] { return isOver_; };
    asio::co_spawn(io_, runCrashingCaller(options_.seed_, hooks), asio::detached);
    asio::co_spawn(io_, replaceCrashed(), asio::detached);
}

asio::awaitable<void> SoakRun::replaceCrashed()
{
    while (!isOver_) {
        co_await sleepFor(monitorPeriod);
        json::object told = deployment_->control();
        for (const json::value& crash : told.at("crashes").as_array()) {
            std::string id = textField(crash.as_object(), "backend");
            auto found = std::find_if(servers_.begin(), servers_.end(), [&](const auto& server) { return server->id_ == id; });
            if (found == servers_.end() || (*found)->hasCrashed_)
                continue;
            Server& server = **found;
            server.hasCrashed_ = true;
            server.isLeaving_ = true;
            server.isGone_ = true;
            SteadyTime at { milliseconds(numberField(crash.as_object(), "at_ms")) };
            promises_.disturbances().note(id, at, steadyNow());
            startServer(server.service_);
        }
    }
}

asio::awaitable<void> SoakRun::configure(std::int64_t versions)
{
    for (std::int64_t i = 0; i < versions; ++i) {
        deployment_->putConfiguration(++version_);
        co_await sleepFor(monitorPeriod);
    }
}

asio::awaitable<void> SoakRun::apply(Fault fault)
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
    case FaultKind::SayLeaving:
        co_return co_await sayLeaving(fault.target_);
    case FaultKind::AskPause:
        co_return co_await askPause(fault.target_, fault.for_, milliseconds(fault.strength_));
    case FaultKind::CrashEngines:
        co_return crashEngines();
    }
}

/// Brings about the faults, lets the system recover, and ends the run.
asio::awaitable<void> SoakRun::inject()
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

} // namespace pistachioloom::test
