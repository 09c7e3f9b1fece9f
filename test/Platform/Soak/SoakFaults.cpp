//===- test/Platform/Soak/SoakFaults.cpp - faults of the soak test --------===//
///
/// \file
/// Applies the generated faults to processes, links, the platform and backend servers.
//===----------------------------------------------------------------------===//
#include "SoakRun.h"

#include <csignal>
#include <iostream>

namespace json = boost::json;

namespace pistachioloom::test {

// Time that the system gets to recover after the last fault: the platform's contact time plus
// the time in which a new holder takes over the duties.
static constexpr milliseconds recoveryTime { 6000 };
// Time after the recovery during which requests are sent to measure the share that is
// served.
static constexpr milliseconds measuredTime { 3000 };
// The grace period in the gateways' settings plus a margin for a busy machine.
static constexpr milliseconds maxStopTime { 3000 + 2500 };
// A run at a leaving backend server counts as late if it starts more than this time after
// the server's first answer that reports that it is leaving.
static constexpr milliseconds leavingPropagation { 2500 };

asio::awaitable<void> SoakRun::stopAndRestart(std::size_t index, int signal, milliseconds pause)
{
    Node& node = nodes_[index];
    if (node.isDown_)
        co_return;
    node.isDown_ = true;
    SteadyTime at = steadyNow();
    Process& process = *gateway(index).process_;
    process.signal(signal);
    SteadyTime deadline = at + maxStopTime;
    while (process.isRunning() && (steadyNow() < deadline || node.freezeCount_))
        co_await sleepFor(milliseconds(10));
    if (process.isRunning() && !checker_.faultIntervals().overlaps(gateway(index).vm_, at, steadyNow()))
        checker_.reportViolation("a node stops within its grace period", gateway(index).vm_);
    if (!process.isRunning() && signal == SIGTERM && process.wait(gatewayTimeout))
        checker_.reportViolation("a stopping process exits with code 0", gateway(index).vm_);
    process.kill();
    (void)process.wait(gatewayTimeout);
    co_await sleepFor(pause);
    checker_.faultIntervals().add(gateway(index).vm_, at, steadyNow());
    deployment_->restart(gateway(index));
    ++node.startCount_;
    node.reportedVersion_ = 0;
    node.answersEndedEarly_ = 0;
    node.freezeCount_ = 0;
    node.isDown_ = false;
}

asio::awaitable<void> SoakRun::freeze(std::size_t index, milliseconds duration)
{
    Node& node = nodes_[index];
    if (node.isDown_)
        co_return;
    std::uint64_t start = node.startCount_;
    SteadyTime at = steadyNow();
    ++node.freezeCount_;
    gateway(index).process_->freeze();
    co_await sleepFor(duration);
    checker_.faultIntervals().add(gateway(index).vm_, at, steadyNow());
    if (node.startCount_ != start)
        co_return;
    if (--node.freezeCount_ == 0)
        gateway(index).process_->resume();
}

asio::awaitable<void> SoakRun::injectLinkFault(FaultProxy& proxy, const std::string& component, Fault fault)
{
    SteadyTime at = steadyNow();
    proxy.set(fault.linkFault_, milliseconds(fault.parameter_));
    co_await sleepFor(fault.duration_);
    proxy.set(LinkFault::None);
    checker_.faultIntervals().add(component, at, steadyNow());
}

asio::awaitable<void> SoakRun::control(std::string key, Fault fault)
{
    bool isPlatform = fault.kind_ != FaultKind::BackendFault;
    Server& server = *servers_[fault.target_ % servers_.size()];
    json::object body { { key, isPlatform ? 1 : fault.parameter_ } };
    json::object undo { { key, 0 } };
    if (!isPlatform)
        body["backend"] = undo["backend"] = server.id_;
    if (key == "gap_ms")
        undo[key] = 5;
    SteadyTime at = steadyNow();
    deployment_->control(body);
    co_await sleepFor(fault.duration_);
    deployment_->control(undo);
    checker_.faultIntervals().add(isPlatform ? "platform" : server.id_, at, steadyNow());
}

asio::awaitable<void> SoakRun::replace(std::size_t index)
{
    Server& server = *servers_[index % servers_.size()];
    if (server.isLeaving_)
        co_return;
    server.isLeaving_ = true;
    startServer(server.service_);
    registerServer(server, "draining");
}

/// Reclaims the first engine from \p index on that is not leaving yet.
asio::awaitable<void> SoakRun::reclaim(std::size_t index, milliseconds notice)
{
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        Server& server = *servers_[(index + i) % servers_.size()];
        if (server.isLeaving_ || server.service_ != "engines")
            continue;
        server.isLeaving_ = true;
        startServer(server.service_);
        registerServer(server, "draining", true);
        SteadyTime at = steadyNow();
        co_await sleepFor(notice);
        server.proxy_->set(LinkFault::Reset);
        co_await sleepFor(monitorPeriod);
        server.proxy_->set(LinkFault::Refused);
        server.isRemoved_ = true;
        checker_.faultIntervals().add(server.id_, at, steadyNow());
        co_return;
    }
}

/// The registration stays as it is: only the answers report that the server is leaving.
asio::awaitable<void> SoakRun::reportLeaving(std::size_t index)
{
    Server& server = *servers_[index % servers_.size()];
    if (server.isLeaving_)
        co_return;
    server.isLeaving_ = true;
    startServer(server.service_);
    json::object initialState = deployment_->backend(server.id_, { { "says_leaving", 1 } });
    // No gateway knows that the server is leaving before it receives an answer from it.
    std::size_t initialRunCount = initialState.at("runs").as_array().size();
    std::size_t runCount = initialRunCount;
    while (!isOver_ && runCount == initialRunCount) {
        co_await sleepFor(monitorPeriod);
        runCount = deployment_->backend(server.id_).at("runs").as_array().size();
    }
    SteadyTime reportedAt = steadyNow();
    co_await sleepFor(leavingPropagation);
    std::size_t firstLateRun = deployment_->backend(server.id_).at("runs").as_array().size();
    while (!isOver_)
        co_await sleepFor(monitorPeriod);
    std::vector<std::string> lateRuns;
    json::object state = deployment_->backend(server.id_);
    const json::array& runs = state.at("runs").as_array();
    for (std::size_t i = firstLateRun; i < runs.size(); ++i)
        lateRuns.emplace_back(runs[i].as_string());
    checker_.addLateRuns(server.id_, lateRuns, reportedAt);
}

asio::awaitable<void> SoakRun::requestPause(std::size_t index, milliseconds duration, milliseconds pause)
{
    Server& server = *servers_[index % servers_.size()];
    if (server.isLeaving_)
        co_return;
    SteadyTime at = steadyNow();
    std::string id = server.id_;
    deployment_->backend(id, { { "full", 1 }, { "retry_after_ms", pause.count() } });
    co_await sleepFor(duration);
    json::object state = deployment_->backend(id, { { "full", 0 }, { "retry_after_ms", 0 } });
    checker_.faultIntervals().add(id, at, steadyNow());
    // Each gateway may send two requests per pause, and two more per pause after each restart.
    auto pauses = static_cast<std::uint64_t>(duration / pause + 1);
    std::uint64_t starts = 0;
    for (const Node& node : nodes_)
        starts += node.startCount_;
    std::uint64_t rejectedCount = numberField(state, "turned_away");
    // In the half second in which the first answers arrive, each caller may add one more.
    if (rejectedCount > 2 * pauses * starts + options_.callerCount_)
        checker_.reportViolation("a pause that a backend server requests is observed", id + " rejected " + std::to_string(rejectedCount) + " in " + std::to_string(duration.count()) + " ms");
}

void SoakRun::startCrashingCaller()
{
    deployment_->control({ { "crash_text", crashText }, { "restart_ms", 600000 } });
    CallerHooks hooks;
    hooks.pickGateway_ = [this](std::mt19937_64& random) { return pickGateway(random); };
    hooks.onCall_ = [this](Call call) { checker_.addCall(std::move(call)); };
    hooks.isOver_ = [this] { return isOver_; };
    asio::co_spawn(io_, runCrashingCaller(options_.seed_, hooks), asio::detached);
    asio::co_spawn(io_, replaceCrashedEngines(), asio::detached);
}

asio::awaitable<void> SoakRun::replaceCrashedEngines()
{
    while (!isOver_) {
        co_await sleepFor(monitorPeriod);
        json::object state = deployment_->control();
        for (const json::value& crash : state.at("crashes").as_array()) {
            std::string id = textField(crash.as_object(), "backend");
            auto found = std::find_if(servers_.begin(), servers_.end(), [&](const auto& server) { return server->id_ == id; });
            if (found == servers_.end() || (*found)->hasCrashed_)
                continue;
            Server& server = **found;
            server.hasCrashed_ = true;
            server.isLeaving_ = true;
            server.isRemoved_ = true;
            SteadyTime at { milliseconds(numberField(crash.as_object(), "at_ms")) };
            checker_.faultIntervals().add(id, at, steadyNow());
            startServer(server.service_);
        }
    }
}

asio::awaitable<void> SoakRun::configure(std::int64_t versions)
{
    for (std::int64_t i = 0; i < versions; ++i) {
        ++publishedVersion_;
        putConfiguration();
        co_await sleepFor(monitorPeriod);
    }
}

asio::awaitable<void> SoakRun::applyFault(Fault fault)
{
    std::size_t node = fault.target_ % options_.gatewayCount_;
    switch (fault.kind_) {
    case FaultKind::Kill:
        co_return co_await stopAndRestart(node, SIGKILL, fault.duration_);
    case FaultKind::Stop:
        co_return co_await stopAndRestart(node, SIGTERM, fault.duration_);
    case FaultKind::Freeze:
        co_return co_await freeze(node, fault.duration_);
    case FaultKind::Reload:
        if (!nodes_[node].isDown_)
            gateway(node).process_->signal(SIGHUP);
        co_return;
    case FaultKind::KillAll:
        for (std::size_t i = 0; i < options_.gatewayCount_; ++i)
            asio::co_spawn(io_, stopAndRestart(i, SIGKILL, fault.duration_), asio::detached);
        co_return;
    case FaultKind::PlatformLink:
        co_return co_await injectLinkFault(*nodes_[node].platformLink_, gateway(node).vm_, fault);
    case FaultKind::BackendLink: {
        Server& server = *servers_[fault.target_ % servers_.size()];
        co_return co_await injectLinkFault(*server.proxy_, server.id_, fault);
    }
    case FaultKind::PlatformDown:
        co_return co_await control("down", fault);
    case FaultKind::LoseAppends:
        co_return co_await control("lose_appends", fault);
    case FaultKind::BackendFault:
        co_return co_await control(fault.controlKey_, fault);
    case FaultKind::Replace:
        co_return co_await replace(fault.target_);
    case FaultKind::Reclaim:
        co_return co_await reclaim(fault.target_, fault.duration_);
    case FaultKind::Configure:
        co_return co_await configure(fault.parameter_);
    case FaultKind::ReportLeaving:
        co_return co_await reportLeaving(fault.target_);
    case FaultKind::RequestPause:
        co_return co_await requestPause(fault.target_, fault.duration_, milliseconds(fault.parameter_));
    case FaultKind::CrashEngines:
        co_return startCrashingCaller();
    }
}

/// Injects the faults, lets the system recover, and ends the run.
asio::awaitable<void> SoakRun::injectFaults()
{
    milliseconds duration(static_cast<std::int64_t>(options_.faultSeconds_ * 1000));
    for (const Fault& fault : generateFaults(options_.seed_, duration)) {
        milliseconds wait = std::chrono::duration_cast<milliseconds>(startedAt_ + fault.startsAt_ - steadyNow());
        co_await sleepFor(std::max(milliseconds(0), wait));
        if (options_.isVerbose_)
            std::cerr << describe(fault) << "\n";
        asio::co_spawn(io_, applyFault(fault), asio::detached);
    }
    milliseconds rest = std::chrono::duration_cast<milliseconds>(startedAt_ + duration - steadyNow());
    co_await sleepFor(std::max(milliseconds(0), rest));
    // The last stops may take their full grace period.
    while (std::any_of(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.isDown_ || node.freezeCount_; }))
        co_await sleepFor(monitorPeriod);
    co_await sleepFor(recoveryTime);
    recoveredAt_ = steadyNow();
    co_await sleepFor(measuredTime);
    isOver_ = true;
}

} // namespace pistachioloom::test
