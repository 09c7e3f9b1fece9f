//===- test/Platform/GatewayDeployment.cpp - gateways with a stand-in -----===//
///
/// \file
/// See GatewayDeployment.h. Each gateway has its own loopback address, so that all can
/// use the same port for datagrams.
//===----------------------------------------------------------------------===//
#include "GatewayDeployment.h"

#include <cstdlib>
#include <fstream>

namespace pistachioloom::test {

namespace json = boost::json;

namespace {

    constexpr milliseconds callTimeout { 8000 };
    constexpr milliseconds startTimeout { 20000 };

    std::string quotedAddress(const Endpoint& endpoint)
    {
        return "\"" + endpoint.toString() + "\"";
    }

    std::string routesText(const std::string& extra)
    {
        return R"([{"name":"once","hostname":"h.example","path_prefix":"/once/","type":"unsafe","timeout_ms":2000,"goal_ms":100,"priority":2,"service":"plain","attempts":1},
{"name":"safe","hostname":"h.example","path_prefix":"/safe/","type":"safe","timeout_ms":2000,"goal_ms":100,"priority":2,"service":"plain","attempts":2},
{"name":"draft","hostname":"h.example","path_prefix":"/draft/","type":"stream","timeout_ms":5000,"goal_ms":500,"priority":1,"service":"engines","attempts":2,"resumable":true,"affinity":true},
{"name":"ask","hostname":"h.example","path_prefix":"/ask/","type":"stream","timeout_ms":5000,"goal_ms":500,"priority":0,"service":"engines","attempts":1},
{"name":"open","hostname":"h.example","path_prefix":"/open/","type":"safe","timeout_ms":2000,"goal_ms":100,"priority":2,"service":"plain","attempts":2,"public":true})"
            + extra + "]";
    }

} // namespace

GatewayDeploymentOptions optionsWithViews(std::size_t gatewayCount)
{
    GatewayDeploymentOptions options;
    options.gatewayCount_ = gatewayCount;
    options.dataCentreCount_ = gatewayCount;
    options.platformEndpointFor_ = [](const std::string& vm, const Endpoint& platform) {
        HttpRequest request { "POST", "/control", {}, json::serialize(json::object { { "view", vm } }) };
        auto answer = callHttpBlocking(platform, request, callTimeout);
        if (!answer)
            throw std::runtime_error(describe(answer.error()));
        json::object body = parseJsonObject(answer.value().body_).value_or(json::object {});
        return Endpoint { "127.0.0.1", static_cast<std::uint16_t>(numberField(body, "view_port")) };
    };
    return options;
}

GatewayDeployment::GatewayDeployment(std::size_t count)
    : GatewayDeployment(GatewayDeploymentOptions { count, 1, {}, {} })
{
}

GatewayDeployment::GatewayDeployment(GatewayDeploymentOptions options)
    : options_(std::move(options))
{
    char name[] = "/tmp/gateways-XXXXXX";
    if (!mkdtemp(name))
        throw std::runtime_error("cannot create a directory for settings and logs");
    directory_ = name;
    platform_ = std::make_unique<Process>(programPath("standin-fleet"), std::vector<std::string> {}, directory_ + "/platform.log");
    platformAddress_ = { "127.0.0.1", static_cast<std::uint16_t>(numberField(platform_->boundPorts(), "port")) };
    // A random loopback network keeps this deployment apart from other tests on the machine.
    std::string network = "127." + std::to_string(1 + randomBits() % 250) + "." + std::to_string(randomBits() % 250) + ".";
    for (std::size_t i = 0; i < options_.gatewayCount_; ++i) {
        std::string host = network + std::to_string(i + 1);
        gateways_.push_back({ "node-" + std::to_string(i + 1), nullptr, { host, 7001 }, { host, 7002 }, { host, 7005 } });
        writeSettings(gateways_.back(), std::string(1, static_cast<char>('a' + i % options_.dataCentreCount_)));
        launch(gateways_.back());
    }
}

GatewayDeployment::~GatewayDeployment() = default;

std::string GatewayDeployment::settingsFile(const Gateway& gateway) const
{
    return directory_ + "/" + gateway.vm_ + ".yaml";
}

std::string GatewayDeployment::logFile(const Gateway& gateway) const
{
    return directory_ + "/" + gateway.vm_ + ".log";
}

void GatewayDeployment::writeSettings(const Gateway& gateway, const std::string& dataCentre) const
{
    const std::string& host = gateway.callers_.host_;
    Endpoint platform = options_.platformEndpointFor_ ? options_.platformEndpointFor_(gateway.vm_, platformAddress_) : platformAddress_;
    std::ofstream file(settingsFile(gateway));
    file << "gateway:\n  vm: " << gateway.vm_ << "\n  data_centre: " << dataCentre << "\n  threads: 2\n  peer_credential: credential-of-tests\n  store: " << quotedAddress(platform)
         << "\n  seeds: [\"" << gateways_.front().callers_.host_ << ":7003\"]\n  listen:\n    callers: " << quotedAddress(gateway.callers_) << "\n    readiness: " << quotedAddress(gateway.readiness_)
         << "\n    peers: " << quotedAddress({ host, 7003 }) << "\n    gossip: " << quotedAddress({ host, 7004 }) << "\n    metrics: " << quotedAddress(gateway.metrics_)
         << "\n  duties:\n    address: " << quotedAddress(platform) << "\n    usage_window: 1s\n    usage_delay: 1s\n  stopping:\n    grace: 3s\n    balancer_grace: 500ms\n"
         << "  retries:\n    extra: 200\n"
         << (options_.extraSettings_ ? options_.extraSettings_(gateway.vm_) : "") << "logs:\n  level: info\n  json: true\n";
}

void GatewayDeployment::launch(Gateway& gateway)
{
    gateway.process_ = std::make_unique<Process>(programPath("pistachioloomd"), std::vector<std::string> { "--settings", settingsFile(gateway) }, logFile(gateway));
}

void GatewayDeployment::restart(Gateway& gateway)
{
    launch(gateway);
}

json::object GatewayDeployment::control(const json::object& body) const
{
    auto answer = callHttpBlocking(platformAddress_, { "POST", "/control", {}, json::serialize(body) }, callTimeout);
    if (!answer)
        throw std::runtime_error(describe(answer.error()));
    return parseJsonObject(answer.value().body_).value_or(json::object {});
}

json::object GatewayDeployment::backend(const std::string& id, json::object faults) const
{
    faults["backend"] = id;
    return control(faults);
}

void GatewayDeployment::setBackendFaults(const json::object& faults) const
{
    for (const char* id : { "p-1", "p-2", "e-1", "e-2" })
        backend(id, faults);
}

void GatewayDeployment::startBackend(const std::string& id, const std::string& service)
{
    json::object entry { { "id", id }, { "service", service }, { "zone", "a" }, { "slot_count", 8 }, { "phase", "up" } };
    control({ { "backends", json::array { entry } } });
}

void GatewayDeployment::setLeaving(const std::string& id, const std::string& service, const std::string& address) const
{
    registerBackend(id, service, address, "draining");
}

void GatewayDeployment::setView(const Gateway& gateway, const json::object& addresses) const
{
    control({ { "view", gateway.vm_ }, { "view_addresses", addresses } });
}

void GatewayDeployment::registerBackend(const std::string& id, const std::string& service, const std::string& address, const char* phase) const
{
    json::object value { { "service", service }, { "address", address }, { "zone", "a" }, { "version", "v1" }, { "slot_count", 8 }, { "phase", phase }, { "cold_left_ms", 0 }, { "call_seq", 1 } };
    if (const json::value* startTime = control({ { "born", id } }).if_contains("born"))
        value["born"] = *startTime;
    json::object entry { { "topic", "keyed.servers" }, { "key", id }, { "value", json::serialize(value) } };
    control({ { "put", json::array { entry } } });
}

void GatewayDeployment::putConfiguration(std::uint64_t version, const std::string& extraRoutes, std::uint64_t connections, milliseconds idle) const
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":" + routesText(extraRoutes)
        + R"(,"services":[{"name":"plain","max_conns":)" + std::to_string(connections) + R"(},{"name":"engines","max_conns":)" + std::to_string(connections) + R"(,"engine":{"slot_count":8,"kv_tokens":100000,"stride":1,"moves":true},"scale":{"min_count":1,"max_count":4,"boot_s":1,"spot_price":0.2,"zone_prices":{"a":1.0}}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":2000,"idle_timeout_ms":)"
        + std::to_string(idle.count()) + R"(},
"tenants":[{"name":"north","api_keys":["key-north"],"rate_per_s":100000,"burst_max":100000},{"name":"small","api_keys":["key-small"],"rate_per_s":0.5,"burst_max":1}]})";
    json::object entry { { "topic", "keyed.op" }, { "key", "config" }, { "value", text } };
    control({ { "put", json::array { entry } } });
}

void GatewayDeployment::startStandardServices()
{
    putConfiguration(1);
    for (const char* id : { "p-1", "p-2" })
        startBackend(id, "plain");
    for (const char* id : { "e-1", "e-2" })
        startBackend(id, "engines");
    if (!waitForVersion(1, startTimeout) || !waitForBackends(4))
        throw std::runtime_error("gateways did not receive the configuration and the backend servers in time; see " + directory_);
}

bool GatewayDeployment::waitForVersion(std::uint64_t version, milliseconds timeout) const
{
    return waitUntil([&] { return std::all_of(gateways_.begin(), gateways_.end(), [&](const Gateway& gateway) { return metric(gateway, "configuration_version") >= static_cast<double>(version); }); }, timeout);
}

bool GatewayDeployment::waitForBackends(std::size_t count) const
{
    return waitUntil([&] { return std::all_of(gateways_.begin(), gateways_.end(), [&](const Gateway& gateway) { return metric(gateway, "backend_servers") == static_cast<double>(count); }); }, startTimeout);
}

HttpResponse GatewayDeployment::call(const Gateway& gateway, const HttpRequest& request) const
{
    auto answer = callHttpBlocking(gateway.callers_, request, callTimeout);
    return answer ? answer.value() : HttpResponse { 0, {}, describe(answer.error()) };
}

bool GatewayDeployment::isReady(const Gateway& gateway) const
{
    auto answer = callHttpBlocking(gateway.readiness_, { "GET", "/readyz", {}, {} }, callTimeout);
    return answer && answer.value().status_ == 200;
}

double GatewayDeployment::metric(const Gateway& gateway, const std::string& name) const
{
    auto answer = callHttpBlocking(gateway.metrics_, { "GET", "/metrics", {}, {} }, callTimeout);
    if (!answer)
        return -1;
    std::string key = "\npistachioloom_" + name + " ";
    std::size_t position = answer.value().body_.find(key);
    return position == std::string::npos ? -1 : std::stod(answer.value().body_.substr(position + key.size()));
}

HttpRequest gatewayRequest(const std::string& method, const std::string& path, const std::string& id)
{
    HttpRequest request { method, path, {}, {} };
    request.headers_["Host"] = "h.example";
    request.headers_["Authorization"] = "Bearer key-north";
    request.headers_["X-Pistachioloom-Attempt-Id"] = id;
    request.headers_["X-Pistachioloom-Deadline-Ms"] = "3000";
    if (method == "POST")
        request.body_ = "body of " + id;
    return request;
}

} // namespace pistachioloom::test
