//===- test/Platform/GatewayDeployment.h - gateways with a stand-in -------===//
///
/// \file
/// Starts gateways as processes that use one stand-in of the users' platform.
//===----------------------------------------------------------------------===//
#pragma once

#include "Harness/Process.h"
#include "pistachioloom/Http.h"

#include <memory>

namespace pistachioloom::test {

/// Number, placement and settings of the gateways.
struct GatewayDeploymentOptions {
    std::size_t gatewayCount_ = 1;
    /// Number of data centres, to which the gateways are assigned in turn.
    std::size_t dataCentreCount_ = 1;
    /// Endpoint at which the gateway of \p vm reaches \p platform; a test can put a
    /// proxy in between.
    std::function<Endpoint(const std::string& vm, const Endpoint& platform)> platformEndpointFor_;
    /// Additional lines of a gateway's settings, indented by two spaces.
    std::function<std::string(const std::string& vm)> extraSettings_;
};

/// Options for gateways in data centres of their own. Each reads the list of backend servers
/// through a view of its own, in which GatewayDeployment::setView() replaces addresses.
GatewayDeploymentOptions optionsWithViews(std::size_t gatewayCount);

/// Gateways and the stand-in of the users' platform, as child processes.
class GatewayDeployment {
public:
    struct Gateway {
        std::string vm_;
        std::unique_ptr<Process> process_;
        Endpoint callers_;
        Endpoint readiness_;
        Endpoint metrics_;
    };

    /// Starts the stand-in and \p count gateways, without a configuration.
    explicit GatewayDeployment(std::size_t count);
    explicit GatewayDeployment(GatewayDeploymentOptions options);
    ~GatewayDeployment();

    std::vector<Gateway>& gateways() { return gateways_; }
    const std::vector<Gateway>& gateways() const { return gateways_; }
    /// Starts a stopped gateway again, with the same addresses.
    void restart(Gateway& gateway);
    std::string settingsFile(const Gateway& gateway) const;
    std::string logFile(const Gateway& gateway) const;

    /// Sends \p body to the control endpoint of the stand-in and returns its answer.
    boost::json::object control(const boost::json::object& body = {}) const;
    /// Sets faults of one backend server and returns what it received so far.
    boost::json::object backend(const std::string& id, boost::json::object faults = {}) const;
    /// Sets faults of all four backend servers of startStandardServices().
    void setBackendFaults(const boost::json::object& faults) const;
    /// Starts a backend server of \p service in data centre `a` and registers it.
    void startBackend(const std::string& id, const std::string& service);
    /// Registers backend server \p id as leaving.
    void setLeaving(const std::string& id, const std::string& service, const std::string& address) const;
    /// Sets the addresses of backend servers, by id, that \p gateway reads. Needs the options of
    /// optionsWithViews().
    void setView(const Gateway& gateway, const boost::json::object& addresses) const;
    /// Registers \p id at \p address on behalf of the backend server, with the start time
    /// of its running process if there is one.
    void registerBackend(const std::string& id, const std::string& service, const std::string& address, const char* phase) const;
    /// Publishes a configuration with the routes of the tests. \p extraRoutes is empty, or a
    /// comma and further routes in JSON. \p connections is the number of connections that each
    /// backend server accepts from all nodes, \p idle the idle timeout of a caller's
    /// connection.
    void putConfiguration(std::uint64_t version, const std::string& extraRoutes = {}, std::uint64_t connections = 2000, milliseconds idle = milliseconds(5000)) const;
    /// Puts version 1 of the configuration, starts two backend servers of each service,
    /// and waits until every gateway knows them. \throws std::runtime_error.
    void startStandardServices();
    /// Waits until every gateway reports configuration \p version or a newer one.
    bool waitForVersion(std::uint64_t version, milliseconds timeout) const;
    /// Waits until every gateway reports \p count backend servers.
    bool waitForBackends(std::size_t count) const;

    /// Sends one request on a new connection. \returns status 0 if the connection fails.
    HttpResponse call(const Gateway& gateway, const HttpRequest& request) const;
    bool isReady(const Gateway& gateway) const;
    /// \returns the value of metric \p name, or -1 if it is unavailable.
    double metric(const Gateway& gateway, const std::string& name) const;
    const std::string& directory() const { return directory_; }

private:
    void writeSettings(const Gateway& gateway, const std::string& dataCentre) const;
    void launch(Gateway& gateway);

    GatewayDeploymentOptions options_;
    std::string directory_;
    std::unique_ptr<Process> platform_;
    Endpoint platformAddress_;
    std::vector<Gateway> gateways_;
};

/// A request with the headers that callers send: host, credential of `north`, id and
/// deadline.
HttpRequest gatewayRequest(const std::string& method, const std::string& path, const std::string& id);

} // namespace pistachioloom::test
