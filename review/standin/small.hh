// A small deployment: three gateways in three zones, a service with three servers, one unsafe route,
// and clients on kept connections. A case adds the fault of the first server.
#pragma once

#include "standin.hh"

#include <cmath>

namespace review {

constexpr double trafficS = 40;
constexpr int timeoutMs = 800;
constexpr int deadlineMs = 1500;
constexpr int clientsPerGateway = 8;
constexpr double pauseMs = 100;
/// The dose of the fault: one in twenty answers of one server of three, in spans of 5.5 s.
constexpr unsigned faultyOneIn = 20;
constexpr double spanS = 5.5;
constexpr double spanPeriodS = 10;

struct Outcome {
    std::string id_;
    bool isKept_ = false;
    double lastedS_ = 0;
    ReadEnd end_ = ReadEnd::Complete;
    int status_ = 0;
};

class SmallDeployment {
public:
    SmallDeployment(std::string folder, const std::string& recordFile)
        : folder_(std::move(folder))
        , record_(recordFile)
    {
        const char* variable = std::getenv("TROUBLE");
        isTroubled_ = !variable || std::string(variable) != "0";
    }

    /// Whether the answer that the first server is about to send is to be harmed.
    bool isFaultDue()
    {
        double since = now() - trafficAt_;
        return isTroubled_ && since >= 0 && std::fmod(since, spanPeriodS) <= spanS && ++answers_ % faultyOneIn == 0;
    }

    /// Starts everything. \returns whether all gateways became ready.
    bool start()
    {
        const std::string network = freeNetwork(8361);
        const std::string store = network + "200";
        if (network.empty() || !platform_.listen(store, 8361))
            return false;
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            Server& server = servers_[i];
            server.id_ = "i-" + std::to_string(i + 1);
            server.service_ = "desk";
            server.zone_ = zones_[i];
            server.host_ = network + std::to_string(101 + i);
            server.port_ = 8320;
            server.workMs_ = 60;
            server.onRun_ = [this, i](const std::string& id) {
                std::lock_guard lock(mutex_);
                ++runs_[id];
                if (i)
                    ranAtSound_.insert(id);
            };
            if (!server.start(platform_, record_))
                return false;
        }
        platform_.put("keyed.op", "config", R"({"version":1,"routes":[{"name":"confirm","hostname":"h.example","path_prefix":"/confirm/","type":"unsafe","timeout_ms":)" + std::to_string(timeoutMs) + R"(,"goal_ms":300,"priority":2,"service":"desk","attempts":1,"public":true,"affinity":false,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls_cfg":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})");
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            Gateway& gateway = gateways_[i];
            gateway.name_ = "edge-" + zones_[i] + "-1";
            gateway.zone_ = zones_[i];
            gateway.host_ = network + std::to_string(i + 1);
            gateway.settings_ = folder_ + "/" + gateway.name_ + ".conf";
            gateway.log_ = folder_ + "/" + gateway.name_ + ".log";
            seeds.push_back(gateway.host_ + ":" + std::to_string(Gateway::controlPort));
        }
        for (Gateway& gateway : gateways_) {
            std::ofstream(gateway.settings_) << renderSettings(gateway, seeds, store + ":8361");
            gateway.start();
        }
        while (now() < 20) {
            if (std::all_of(gateways_.begin(), gateways_.end(), [](const Gateway& gateway) { return gateway.isReady(); })) {
                sleepMs(3000);
                return true;
            }
            sleepMs(100);
        }
        stop();
        return false;
    }

    /// Runs the traffic. Processes that end are started again, as the platform does.
    void run()
    {
        trafficAt_ = now();
        const double until = trafficAt_ + trafficS;
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            for (int j = 0; j < clientsPerGateway; ++j)
                clients.emplace_back([this, i, j, until] { runClient(gateways_[i], static_cast<int>(i) * clientsPerGateway + j, until); });
        }
        while (now() < until + 2) {
            sleepMs(50);
            for (Gateway& gateway : gateways_) {
                std::string end = gateway.reap();
                if (end.empty())
                    continue;
                ++ownEnds_;
                record_.line("process %s ended by itself: %s; it is started again", gateway.name_.c_str(), end.c_str());
                sleepMs(300);
                gateway.start();
            }
        }
        for (std::thread& client : clients)
            client.join();
        stop();
    }

    void stop()
    {
        for (Gateway& gateway : gateways_)
            gateway.stop();
    }

    std::string folder_;
    Record record_;
    bool isTroubled_ = true;
    const std::vector<std::string> zones_ { "zone-a", "zone-b", "zone-c" };
    Platform platform_;
    std::vector<Server> servers_ { 3 };
    std::vector<Gateway> gateways_ { 3 };
    int ownEnds_ = 0;

    std::mutex mutex_;
    std::vector<Outcome> outcomes_;
    /// How often each request began to run.
    std::map<std::string, int> runs_;
    std::set<std::string> ranAtSound_;

private:
    void runClient(const Gateway& gateway, int number, double until)
    {
        std::mt19937 random(static_cast<unsigned>(number));
        std::string buffer;
        int fd = -1;
        bool isKept = false;
        for (int i = 0; now() < until; ++i) {
            sleepMs(pauseMs * (0.5 + static_cast<double>(random() % 1000) / 1000));
            if (fd < 0) {
                fd = connectTo(gateway.host_, Gateway::callersPort);
                buffer.clear();
                isKept = false;
                if (fd < 0)
                    continue;
            }
            char id[40];
            std::snprintf(id, sizeof id, "c%02d-%05d", number, i);
            std::string body(600, 'r');
            double sentAt = now();
            record_.line("client sends %s to %s", id, gateway.name_.c_str());
            sendAll(fd, "POST /confirm/" + std::string(id) + " HTTP/1.1\r\nHost: h.example\r\nX-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            Message answer;
            ReadEnd end = readMessage(fd, buffer, answer, sentAt + deadlineMs / 1000.0);
            Outcome outcome { id, isKept, now() - sentAt, end, end == ReadEnd::Complete ? answer.status() : 0 };
            record_.line("client gets %s: %s %d after %.0f ms", id, end == ReadEnd::Complete ? "answer" : end == ReadEnd::Closed ? "connection closed"
                                                                                                                                 : "nothing until its deadline",
                outcome.status_, outcome.lastedS_ * 1000);
            {
                std::lock_guard lock(mutex_);
                outcomes_.push_back(outcome);
            }
            isKept = end == ReadEnd::Complete;
            if (end != ReadEnd::Complete || lower(answer.field("connection")) == "close") {
                close(fd);
                fd = -1;
            }
        }
        if (fd >= 0)
            close(fd);
    }

    std::atomic<unsigned> answers_ { 0 };
    std::atomic<double> trafficAt_ { 1e9 };
};

} // namespace review
