//===- test/Harness/Deployment.h - a small deployment on loopback ---------===//
///
/// \file
/// Starts the stand-ins and a few daemons as processes with kernel-chosen
/// ports. Stand-ins and proxies simulate partitions, outages and leaving VMs;
/// signals kill or freeze the processes.
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
    /// Number of engines in each data centre, by the model they serve.
    std::map<std::string, std::size_t> enginesPerDataCentre_ { { "planogram", 1 } };
    std::size_t servicesPerDataCentre_ = 0;
    std::vector<std::string> engineArguments_;
    /// Whether nodes reach peers in other data centres through proxies that can simulate
    /// a network partition.
    bool hasProxies_ = false;
    /// YAML sections that are added to the settings file of every node.
    std::string nodeSettings_;
};

/// Nodes, engines, services and the stand-in of the platform, as child processes.
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
    /// The node that dispatches to \p engine, or nullptr if there is none.
    NodeProcess* dispatcherOf(const std::string& engine);
    const Endpoint& platform() const { return platform_; }
    Process& platformProcess() { return *platformProcess_; }
    std::vector<Endpoint> callerEndpoints() const;

    /// Starts one more node and adds its VM to the VM list.
    NodeProcess& startNode(const std::string& id, const std::string& dataCentre);
    /// Starts a node again under the same id, with new ports.
    void restartNode(NodeProcess& node);
    Backend& startEngine(const std::string& id, const std::string& dataCentre, const std::string& model);

    /// Partitions \p dataCentre from the other data centres in both directions, or
    /// heals the partition. Has an effect only with `hasProxies_`.
    void partitionDataCentre(const std::string& dataCentre, bool isPartitioned);

    /// Sends \p body to the control endpoint of \p standin. \returns the counters and state that
    /// the stand-in answers with.
    static boost::json::object control(const Endpoint& standin, const boost::json::object& body = {});
    boost::json::object controlPlatform(const boost::json::object& body = {}) { return control(platform_, body); }
    /// Makes the platform announce a reclaim of \p vm.
    void announceReclaim(const std::string& vm, milliseconds notice);
    /// Removes \p vm from the VM list.
    void removeVm(const std::string& vm);

    /// Runs pistachioloomctl against \p node. \returns its exit code and output.
    std::pair<int, std::string> runTool(const NodeProcess& node, const std::vector<std::string>& arguments) const;
    /// Applies \p yaml with pistachioloomctl and waits until every node has it.
    void applyCatalogue(const std::string& yaml);
    /// Waits until every running node has the catalogue's newest record.
    bool waitForCatalogue(milliseconds timeout);
    /// Fetches \p target from the operator port of \p node. \returns null on failure.
    boost::json::value query(const NodeProcess& node, const std::string& target) const;
    /// The value of \p metric at \p node, or -1 if it is unavailable.
    double metric(const NodeProcess& node, const std::string& metric) const;
    /// The sum of \p metric over all running nodes.
    double metricOfAll(const std::string& metric) const;
    const std::string& directory() const { return directory_; }

    /// The catalogue that most tests use: the workloads `rede` (paid) and `visitante`
    /// (trial) with the keys that apiKey() returns, every model, and the services
    /// `labels` (not repeatable) and `records` (repeatable).
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
    /// Proxies by pair of data centres: source and destination.
    std::map<std::pair<std::string, std::string>, std::unique_ptr<TcpProxySet>> proxies_;
};

} // namespace pistachioloom::test
