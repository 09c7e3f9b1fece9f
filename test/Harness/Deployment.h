//===- test/Harness/Deployment.h - a small deployment on loopback ----------===//
///
/// \file
/// Starts the stand-ins and a few daemons as processes with kernel-chosen
/// ports. It fakes nothing itself: cuts, outages and leaving are caused at the
/// stand-ins, kills and freezes at the processes.
//===----------------------------------------------------------------------===//
#pragma once

#include "CallerClient.h"
#include "Process.h"
#include "TcpProxySet.h"

#include <functional>
#include <memory>
#include <optional>

namespace pistachioloom::test {

struct DeploymentOptions {
    std::vector<std::string> dataCentres_ { "caxias-a", "caxias-b", "bento-c" };
    std::size_t nodesPerDataCentre_ = 3;
    /// Engines of each data centre, by the model they serve.
    std::map<std::string, std::size_t> enginesPerDataCentre_ { { "planogram", 1 } };
    std::size_t servicesPerDataCentre_ = 0;
    std::vector<std::string> engineArguments_;
    /// Peers of other data centres are reached through relays that can be cut.
    bool hasProxies_ = false;
    /// YAML sections added to every node's settings.
    std::string settings_;
};

class Deployment {
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();

    struct NodeProcess {
        std::string id_;
        std::string dataCentre_;
        std::unique_ptr<Process> process_;
        Endpoint callers_;
        Endpoint peers_;
        Endpoint operators_;
    };
    struct Backend {
        std::string id_;
        std::string dataCentre_;
        std::string serves_;
        std::unique_ptr<Process> process_;
        Endpoint endpoint_;
    };

    std::vector<NodeProcess>& nodes() { return nodes_; }
    NodeProcess& node(const std::string& id);
    std::vector<Backend>& engines() { return engines_; }
    std::vector<Backend>& services() { return services_; }
    Backend& engine(const std::string& id);
    /// The node that lists \p engine among its own, or nullptr.
    NodeProcess* dispatcherOf(const std::string& engine);
    const Endpoint& platform() const { return platform_; }
    Process& platformProcess() { return *platformProcess_; }
    std::vector<Endpoint> callerEndpoints() const;

    /// Starts one more node (its VM is put on the list).
    NodeProcess& startNode(const std::string& id, const std::string& dataCentre);
    /// Starts a node anew under its old id, with new ports.
    void restartNode(NodeProcess& node);
    Backend& startEngine(const std::string& id, const std::string& dataCentre, const std::string& model);

    /// Cuts or heals \p dataCentre from the other data centres, both ways. Only
    /// with `hasProxies_`.
    void partitionDataCentre(const std::string& dataCentre, bool isPartitioned);

    /// Sends \p body to a stand-in's control and returns what it tells.
    static boost::json::object control(const Endpoint& standin, const boost::json::object& body = {});
    boost::json::object controlPlatform(const boost::json::object& body = {}) { return control(platform_, body); }
    /// Tells the platform to announce a reclaim of \p vm.
    void announceReclaim(const std::string& vm, milliseconds notice);
    /// Takes \p vm off the VM list.
    void removeVm(const std::string& vm);

    /// Runs the tool against \p node. \returns exit code and output.
    std::pair<int, std::string> runTool(const NodeProcess& node, const std::vector<std::string>& arguments) const;
    /// Applies \p yaml by the tool and waits until every node has it.
    void applyCatalogue(const std::string& yaml);
    /// Waits until every running node has the catalogue's newest record.
    bool waitForCatalogue(milliseconds timeout);
    /// GET \p target at the operator port of \p node; null if it fails.
    boost::json::value query(const NodeProcess& node, const std::string& target) const;
    /// One sample of \p metric at \p node, or -1.
    double metric(const NodeProcess& node, const std::string& metric) const;
    double metricOfAll(const std::string& metric) const;
    const std::string& directory() const { return directory_; }

    /// The catalogue most tests use: `rede` (paid) and `visitante` (trial) with
    /// keys of those names, every model and the services `labels` (may not be
    /// repeated) and `records` (may be).
    static std::string standardCatalogue();
    static std::string apiKey(const std::string& entry) { return "key-of-" + entry; }

private:
    void writeSettings(const std::string& id, const std::string& dataCentre);
    void launch(NodeProcess& node);
    void putVm(const boost::json::object& vm);
    void addProxies(const NodeProcess& node);

    DeploymentOptions options_;
    std::string directory_;
    std::unique_ptr<Process> platformProcess_;
    Endpoint platform_;
    std::vector<NodeProcess> nodes_;
    std::vector<Backend> engines_;
    std::vector<Backend> services_;
    /// By the pair of data centres, from and to.
    std::map<std::pair<std::string, std::string>, std::unique_ptr<TcpProxySet>> proxies_;
};

} // namespace pistachioloom::test
