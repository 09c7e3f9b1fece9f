//===- test/Harness/Deployment.cpp - a small deployment on loopback -------===//
///
/// \file
/// See Deployment.h.
//===----------------------------------------------------------------------===//
#include "Deployment.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace pistachioloom::test {

namespace json = boost::json;

namespace {

    constexpr milliseconds callTimeout { 5000 };
    constexpr milliseconds startTimeout { 30000 };
    constexpr milliseconds pollPeriod { 10 };
    const std::string operatorCredential = "operators-secret-of-tests";
    const std::string peerCredential = "peers-secret-of-tests-only";

    std::string makeDirectory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "pistachioloom-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            throw std::runtime_error("cannot create a temporary directory");
        return pattern;
    }

    std::uint16_t portOf(const Process& process, const char* name)
    {
        return static_cast<std::uint16_t>(numberField(process.boundPorts(), name));
    }

} // namespace

bool waitUntil(const std::function<bool()>& condition, milliseconds timeout)
{
    auto deadline = steadyNow() + timeout;
    while (!condition()) {
        if (steadyNow() > deadline)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

std::string Deployment::standardCatalogue()
{
    auto workload = [](const std::string& name, const std::string& serviceClass) {
        return "name: " + name + "\nkind: workload\nowner: " + name + "\nclass: " + serviceClass
            + "\napi_key_sha256: " + sha256Hex(apiKey(name))
            + "\nmodels: [planogram, store]\nservices: [labels, records]\nlimits:\n  requests_in_progress: 6000\n  queue_bound: 2000\n  deadline: 60s\n";
    };
    return workload("rede", "paid") + "---\n" + workload("visitante", "trial") + "---\n"
        + "name: planogram\nkind: engine\nconcurrency: 64\n---\n"
        + "name: store\nkind: engine\nconcurrency: 64\n---\n"
        + "name: labels\nkind: service\nconcurrency: 16\nrepeatable: false\n---\n"
        + "name: records\nkind: service\nconcurrency: 16\nrepeatable: true\n";
}

Deployment::Deployment(DeploymentOptions options)
    : options_(std::move(options))
    , directory_(makeDirectory())
{
    platformProcess_ = std::make_unique<Process>(programPath("standin-platform"), std::vector<std::string> {}, directory_ + "/platform.log");
    platform_ = { "127.0.0.1", portOf(*platformProcess_, "port") };
    for (const std::string& dataCentre : options_.dataCentres_) {
        for (const auto& [model, count] : options_.enginesPerDataCentre_) {
            for (std::size_t i = 1; i <= count; ++i)
                startEngine(model + "-" + dataCentre + "-" + std::to_string(i), dataCentre, model);
        }
        for (std::size_t i = 1; i <= options_.servicesPerDataCentre_; ++i) {
            Backend service { "service-" + dataCentre + "-" + std::to_string(i), dataCentre, "labels", nullptr, {} };
            service.process_ = std::make_unique<Process>(programPath("standin-service"), std::vector<std::string> {}, directory_ + "/" + service.id_ + ".log");
            service.endpoint_ = { "127.0.0.1", portOf(*service.process_, "port") };
            putVm({ { "id", service.id_ }, { "kind", "service" }, { "data_centre", dataCentre }, { "host", "127.0.0.1" }, { "port", service.endpoint_.port_ }, { "serves", json::array { "labels", "records" } } });
            services_.push_back(std::move(service));
        }
    }
    for (const std::string& dataCentre : options_.dataCentres_) {
        for (std::size_t i = 1; i <= options_.nodesPerDataCentre_; ++i)
            startNode(dataCentre + "-" + std::to_string(i), dataCentre);
    }
    std::size_t expected = nodes_.size();
    for (const NodeProcess& node : nodes_) {
        bool isComplete = waitUntil([&] {
            auto listed = query(node, "/nodes");
            if (!listed.is_object())
                return false;
            auto seen = objectsField(listed.as_object(), "nodes");
            // The node must know every node of the VM list, and have live digests
            // of all nodes of its own data centre.
            std::size_t digests = 0;
            for (const json::object& line : seen)
                digests += line.contains("catalogue_offset") ? 1 : 0;
            return seen.size() == expected && digests == options_.nodesPerDataCentre_;
        },
            startTimeout);
        if (!isComplete)
            throw std::runtime_error(node.id_ + " did not find its peers; see " + directory_);
    }
}

Deployment::~Deployment()
{
    for (NodeProcess& node : nodes_) {
        if (node.process_)
            node.process_->signal(SIGKILL);
    }
    nodes_.clear();
    engines_.clear();
    services_.clear();
    platformProcess_.reset();
    if (!std::getenv("PISTACHIOLOOM_KEEP_LOGS"))
        std::filesystem::remove_all(directory_);
}

void Deployment::putVm(const json::object& vm)
{
    json::object body;
    body["put_vms"] = json::array { vm };
    controlPlatform(body);
}

void Deployment::removeVm(const std::string& vm)
{
    json::object body;
    body["remove_vms"] = json::array { json::value(vm) };
    controlPlatform(body);
}

void Deployment::announceReclaim(const std::string& vm, milliseconds notice)
{
    json::object line;
    line["vm"] = vm;
    line["remaining_ms"] = notice.count();
    json::object body;
    body["notices"] = json::array { line };
    controlPlatform(body);
}

Deployment::Backend& Deployment::startEngine(const std::string& id, const std::string& dataCentre, const std::string& model)
{
    Backend engine { id, dataCentre, model, nullptr, {} };
    std::vector<std::string> arguments = options_.engineArguments_;
    arguments.insert(arguments.end(), { "--name", id });
    engine.process_ = std::make_unique<Process>(programPath("standin-engine"), arguments, directory_ + "/" + id + ".log");
    engine.endpoint_ = { "127.0.0.1", portOf(*engine.process_, "port") };
    putVm({ { "id", id }, { "kind", "engine" }, { "data_centre", dataCentre }, { "host", "127.0.0.1" }, { "port", engine.endpoint_.port_ }, { "serves", json::array { json::value(model) } }, { "price_class", "reclaimable" }, { "price_per_hour", 400 } });
    engines_.push_back(std::move(engine));
    return engines_.back();
}

void Deployment::writeSettings(const std::string& id, const std::string& dataCentre)
{
    std::ofstream file(directory_ + "/" + id + ".yaml");
    file << "node:\n  vm: " << id << "\n  data_centre: " << dataCentre << "\n  threads: 2\n"
         << "listen:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n"
         << "platform:\n  log: " << platform_.toString() << "\n  vm_list: " << platform_.toString() << "\n"
         << "credentials:\n  peers: " << peerCredential << "\n  operators: " << operatorCredential << "\n"
         << options_.nodeSettings_;
}

void Deployment::launch(NodeProcess& node)
{
    writeSettings(node.id_, node.dataCentre_);
    node.process_ = std::make_unique<Process>(programPath("pistachioloomd"), std::vector<std::string> { "--settings", directory_ + "/" + node.id_ + ".yaml" }, directory_ + "/" + node.id_ + ".log");
    node.callers_ = { "127.0.0.1", portOf(*node.process_, "callers") };
    node.peers_ = { "127.0.0.1", portOf(*node.process_, "peers") };
    node.operators_ = { "127.0.0.1", portOf(*node.process_, "operators") };
    if (options_.hasProxies_)
        addProxies(node);
    putVm({ { "id", node.id_ }, { "kind", "entry" }, { "data_centre", node.dataCentre_ }, { "host", "127.0.0.1" }, { "port", node.peers_.port_ }, { "operator_port", node.operators_.port_ }, { "caller_port", node.callers_.port_ } });
}

Deployment::NodeProcess& Deployment::startNode(const std::string& id, const std::string& dataCentre)
{
    nodes_.push_back({ id, dataCentre, nullptr, {}, {}, {} });
    launch(nodes_.back());
    return nodes_.back();
}

void Deployment::addProxies(const NodeProcess& node)
{
    json::array views;
    for (const std::string& from : options_.dataCentres_) {
        if (from == node.dataCentre_)
            continue;
        auto& proxies = proxies_[{ from, node.dataCentre_ }];
        if (!proxies)
            proxies = std::make_unique<TcpProxySet>();
        json::object view;
        view["from"] = from;
        view["vm"] = node.id_;
        view["port"] = proxies->add(node.peers_);
        views.push_back(view);
    }
    json::object body;
    body["port_views"] = views;
    controlPlatform(body);
}

void Deployment::partitionDataCentre(const std::string& dataCentre, bool isPartitioned)
{
    for (auto& [ends, proxies] : proxies_) {
        if (ends.first == dataCentre || ends.second == dataCentre)
            proxies->setPartitioned(isPartitioned);
    }
}

void Deployment::restartNode(NodeProcess& node)
{
    launch(node);
}

Deployment::NodeProcess& Deployment::node(const std::string& id)
{
    for (NodeProcess& candidate : nodes_) {
        if (candidate.id_ == id)
            return candidate;
    }
    throw std::runtime_error("unknown node " + id);
}

Deployment::Backend& Deployment::engine(const std::string& id)
{
    for (Backend& candidate : engines_) {
        if (candidate.id_ == id)
            return candidate;
    }
    throw std::runtime_error("unknown engine " + id);
}

std::vector<Endpoint> Deployment::callerEndpoints() const
{
    std::vector<Endpoint> endpoints;
    for (const NodeProcess& node : nodes_)
        endpoints.push_back(node.callers_);
    return endpoints;
}

json::object Deployment::control(const Endpoint& standin, const json::object& body)
{
    HttpRequest request { "POST", "/control", {}, json::serialize(body) };
    auto response = callHttpBlocking(standin, request, callTimeout);
    if (!response)
        throw std::runtime_error("stand-in does not answer: " + describe(response.error()));
    return parseJsonObject(response.value().body_).value_or(json::object {});
}

std::pair<int, std::string> Deployment::runTool(const NodeProcess& node, const std::vector<std::string>& arguments) const
{
    std::vector<std::string> all { "--node", node.operators_.toString(), "--credential", operatorCredential };
    all.insert(all.end(), arguments.begin(), arguments.end());
    return runToEnd(programPath("pistachioloomctl"), all);
}

void Deployment::applyCatalogue(const std::string& yaml)
{
    std::string file = directory_ + "/catalogue.yaml";
    std::ofstream(file) << yaml;
    auto [code, output] = runTool(nodes_.front(), { "catalogue", "apply", file });
    if (code)
        throw std::runtime_error("catalogue was not applied: " + output);
    if (!waitForCatalogue(startTimeout))
        throw std::runtime_error("catalogue did not reach every node; see " + directory_);
}

bool Deployment::waitForCatalogue(milliseconds timeout)
{
    json::object state = controlPlatform();
    std::uint64_t next = numberField(state.at("next").as_object(), "catalogue");
    return waitUntil([&] {
        for (NodeProcess& node : nodes_) {
            if (node.process_->isRunning() && metric(node, "catalogue_offset") < static_cast<double>(next))
                return false;
        }
        return true;
    },
        timeout);
}

json::value Deployment::query(const NodeProcess& node, const std::string& target) const
{
    HttpRequest request { "GET", target, { { "authorization", "Bearer " + operatorCredential } }, {} };
    auto response = callHttpBlocking(node.operators_, request, callTimeout);
    if (!response || response.value().status_ != 200)
        return nullptr;
    json::error_code code;
    json::value value = json::parse(response.value().body_, code);
    return code ? json::value(nullptr) : value;
}

double Deployment::metric(const NodeProcess& node, const std::string& name) const
{
    HttpRequest request { "GET", "/metrics", {}, {} };
    request.headers_["authorization"] = "Bearer " + operatorCredential;
    auto response = callHttpBlocking(node.operators_, request, callTimeout);
    if (!response)
        return -1;
    std::istringstream lines(response.value().body_);
    std::string wanted = "pistachioloom_" + name + " ";
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(wanted))
            return std::strtod(line.c_str() + wanted.size(), nullptr);
    }
    return -1;
}

Deployment::NodeProcess* Deployment::dispatcherOf(const std::string& engine)
{
    for (NodeProcess& node : nodes_) {
        json::value listed = query(node, "/engines");
        if (!listed.is_object())
            continue;
        for (const json::object& line : objectsField(listed.as_object(), "engines")) {
            if (textField(line, "engine") == engine)
                return &node;
        }
    }
    return nullptr;
}

double Deployment::metricOfAll(const std::string& name) const
{
    double sum = 0;
    for (const NodeProcess& node : nodes_) {
        if (node.process_->isRunning())
            sum += std::max(0.0, metric(node, name));
    }
    return sum;
}

} // namespace pistachioloom::test
