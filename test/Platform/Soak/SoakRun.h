//===- test/Platform/Soak/SoakRun.h - one run of the soak -----------------===//
///
/// \file
/// Gateways as processes before a stand-in of the users' platform, with proxies
/// between them, callers that keep their connections, and faults from outside.
/// All of it but the processes is on one thread.
//===----------------------------------------------------------------------===//
#pragma once

#include "Platform/GatewayDeployment.h"
#include "InvariantChecker.h"
#include "Schedule.h"

namespace pistachioloom::test {

/// Between two looks at a gateway.
inline constexpr milliseconds monitorPeriod { 200 };
/// How long a gateway may take to tell its metrics, or to be gone after a kill.
inline constexpr milliseconds gatewayTimeout { 2000 };

struct SoakOptions {
    std::uint64_t seed_ = 1;
    double seconds_ = 10;
    std::size_t gateways_ = 4;
    std::size_t callers_ = 12;
    bool isVerbose_ = false;
};

/// One run, with the faults of one seed.
class SoakRun {
public:
    explicit SoakRun(SoakOptions options);

    /// \returns whether every promise was kept.
    bool run();

private:
    struct Server {
        std::string id_;
        std::string service_;
        std::unique_ptr<FaultProxy> proxy_;
        bool isLeaving_ = false;
        /// It was taken away.
        bool isRemoved_ = false;
        bool hasCrashed_ = false;
    };
    struct Node {
        std::unique_ptr<FaultProxy> platformLink_;
        /// It was told to end, or is not started again yet.
        bool isDown_ = false;
        /// Freezes under way; they may overlap.
        int freezeCount_ = 0;
        std::uint64_t startCount_ = 1;
        double version_ = 0;
    };

    // The deployment, and what calls it.
    GatewayDeploymentOptions deploymentOptions();
    void startDeployment();
    void startServer(const std::string& service);
    void registerServer(const Server& server, const char* phase, bool isReclaimed = false) const;
    void waitUntilServing();
    void startCallers();
    std::pair<std::string, Endpoint> pickGateway(std::mt19937_64& random);
    GatewayDeployment::Gateway& gateway(std::size_t index) { return deployment_->gateways()[index]; }
    // Faults.
    asio::awaitable<void> injectFaults();
    asio::awaitable<void> applyFault(Fault fault);
    asio::awaitable<void> stopAndRestart(std::size_t index, int signal, milliseconds pause);
    asio::awaitable<void> freeze(std::size_t index, milliseconds duration);
    asio::awaitable<void> injectLinkFault(FaultProxy& proxy, const std::string& component, Fault fault);
    asio::awaitable<void> control(std::string key, Fault fault);
    asio::awaitable<void> replace(std::size_t index);
    asio::awaitable<void> reclaim(std::size_t index, milliseconds notice);
    asio::awaitable<void> reportLeaving(std::size_t index);
    asio::awaitable<void> requestPause(std::size_t index, milliseconds duration, milliseconds pause);
    /// Starts the caller whose request crashes engines.
    void startCrashingCaller();
    /// Replaces engines that crashed.
    asio::awaitable<void> replaceCrashedEngines();
    asio::awaitable<void> configure(std::int64_t versions);
    // What is watched, and what comes of it.
    asio::awaitable<void> monitor(std::size_t index);
    void checkVersion(std::size_t index, double version);
    void checkResults();
    bool report() const;

    SoakOptions options_;
    asio::io_context io_;
    std::vector<Node> nodes_;
    std::unique_ptr<GatewayDeployment> deployment_;
    std::vector<std::unique_ptr<Server>> servers_;
    InvariantChecker checker_ { {} };
    SteadyTime startedAt_ {};
    SteadyTime recoveredAt_ {};
    bool isOver_ = false;
    int lastServerNumber_ = 0;
    std::uint64_t version_ = 1;
};

asio::awaitable<void> sleepFor(milliseconds duration);

} // namespace pistachioloom::test
