//===- test/Platform/GatewayDeployment.h - gateways before a stand-in ------===//
///
/// \file
/// Starts gateways as processes before one stand-in of the users' platform.
//===----------------------------------------------------------------------===//
#pragma once

#include "Harness/Process.h"
#include "pistachioloom/Http.h"

#include <memory>

namespace pistachioloom::test {

/// How gateways are set up.
struct GatewayDeploymentOptions {
    std::size_t count_ = 1;
    /// Data centres that the gateways are spread over in turn.
    std::size_t dataCentres_ = 1;
    /// Where a gateway finds the platform, given where it is; for proxies between.
    std::function<Endpoint(const std::string& vm, const Endpoint& platform)> platformEndpointFor_;
    /// More lines of a gateway's settings, indented by two spaces.
    std::function<std::string(const std::string& vm)> extraSettings_;
};

class GatewayDeployment {
public:
    struct Gateway {
        std::string vm_;
        std::unique_ptr<Process> process_;
        Endpoint callers_;
        Endpoint readiness_;
        Endpoint metrics_;
    };

    /// Starts the stand-in and \p count gateways; no configuration yet.
    explicit GatewayDeployment(std::size_t count);
    explicit GatewayDeployment(GatewayDeploymentOptions options);
    ~GatewayDeployment();

    std::vector<Gateway>& gateways() { return gateways_; }
    /// Starts a gateway that has stopped anew, with the same addresses.
    void restart(Gateway& gateway);
    std::string settingsFile(const Gateway& gateway) const;
    std::string logFile(const Gateway& gateway) const;

    /// Sends \p body to the stand-in's control and returns what it tells.
    boost::json::object control(const boost::json::object& body = {}) const;
    /// Faults of one backend server, and what arrived there.
    boost::json::object backend(const std::string& id, boost::json::object faults = {}) const;
    /// Faults of all four backend servers of standard().
    void setBackendFaults(const boost::json::object& faults) const;
    void startBackend(const std::string& id, const std::string& service);
    void setLeaving(const std::string& id, const std::string& service, const std::string& address) const;
    /// Registers the start of \p id that is there, at \p address, without its own word.
    void registerBackend(const std::string& id, const std::string& service, const std::string& address, const char* phase) const;
    /// \p connections is what each backend server accepts from all nodes, \p idle how long
    /// a caller's connection may be idle.
    void putConfiguration(std::uint64_t version, const std::string& extraRoutes = {}, std::uint64_t connections = 2000, milliseconds idle = milliseconds(5000)) const;
    /// Puts version 1 and two backend servers of each service, and waits until
    /// every gateway knows them.
    void startStandardServices();
    bool waitForVersion(std::uint64_t version, milliseconds timeout) const;
    /// Waits until every gateway counts \p count backend servers.
    bool waitForBackends(std::size_t count) const;

    /// One request on a connection of its own; status 0 if it broke.
    HttpResponse call(const Gateway& gateway, const HttpRequest& request) const;
    bool isReady(const Gateway& gateway) const;
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

/// A request as callers send it: host, credential of `north`, id and deadline.
HttpRequest gatewayRequest(const std::string& method, const std::string& path, const std::string& id);

} // namespace pistachioloom::test
