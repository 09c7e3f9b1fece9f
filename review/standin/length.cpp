// One of three servers spoils one in twenty of its answers in four spans of 5.5 s: the digits of the
// length are repeated, and the answer breaks off. Counts what the clients of three gateways see.
// See claim.txt beside run.sh.
#include "standin.h"

#include <cmath>

using namespace review;

namespace {

constexpr double trafficS = 40;
constexpr int timeoutMs = 800;
constexpr int deadlineMs = 1500;
constexpr int clientsPerGateway = 8;
constexpr double pauseMs = 100;
constexpr unsigned spoiltOneIn = 20;
constexpr double spanS = 5.5;
constexpr double spanPeriodS = 10;

struct Outcome {
    std::string id_;
    std::string gateway_;
    bool isKept_ = false;
    double lastedS_ = 0;
    ReadEnd end_ = ReadEnd::Complete;
    int status_ = 0;
};

std::mutex outcomesMutex;
std::vector<Outcome> outcomes;
std::mutex soundMutex;
std::set<std::string> ranAtSound;

void runClient(const Gateway& gateway, int number, double until, Record& record)
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
        record.line("client sends %s to %s", id, gateway.name_.c_str());
        sendAll(fd, "POST /confirm/" + std::string(id) + " HTTP/1.1\r\nHost: h.example\r\nX-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        Message answer;
        ReadEnd end = readMessage(fd, buffer, answer, sentAt + deadlineMs / 1000.0);
        Outcome outcome { id, gateway.name_, isKept, now() - sentAt, end, end == ReadEnd::Complete ? answer.status() : 0 };
        record.line("client gets %s: %s %d after %.0f ms", id, end == ReadEnd::Complete ? "answer" : end == ReadEnd::Closed ? "connection closed" : "nothing until its deadline", outcome.status_, outcome.lastedS_ * 1000);
        {
            std::lock_guard lock(outcomesMutex);
            outcomes.push_back(outcome);
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

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    const std::string folder = argv[1];
    Record record(argv[2]);
    const char* variable = std::getenv("TROUBLE");
    const bool isTroubled = !variable || std::string(variable) != "0";
    const std::string network = freeNetwork(8361);
    Platform platform;
    const std::string store = network + "200";
    if (network.empty() || !platform.listen(store, 8361))
        return 2;
    const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };

    std::vector<Server> servers(3);
    std::atomic<unsigned> answers { 0 };
    std::atomic<unsigned> spoilt { 0 };
    std::atomic<double> trafficAt { 1e9 };
    for (std::size_t i = 0; i < servers.size(); ++i) {
        Server& server = servers[i];
        server.id_ = "i-" + std::to_string(i + 1);
        server.service_ = "desk";
        server.zone_ = zones[i];
        server.host_ = network + std::to_string(101 + i);
        server.port_ = 8320;
        server.workMs_ = 60;
        if (i) {
            server.onRun_ = [](const std::string& id) {
                std::lock_guard lock(soundMutex);
                ranAtSound.insert(id);
            };
        } else if (isTroubled) {
            server.fault_ = [&](int fd, const Message& request, const std::string& head, const std::string& body) {
                double since = now() - trafficAt;
                if (since < 0 || std::fmod(since, spanPeriodS) > spanS || ++answers % spoiltOneIn)
                    return false;
                ++spoilt;
                record.line("server %s spoils the length in the answer to %s", servers[0].id_.c_str(), request.field("X-Pistachioloom-Attempt-Id").c_str());
                sendAll(fd, head + "Content-Length: 800800800800800800\r\n\r\n" + body);
                return true;
            };
        }
        if (!server.start(platform, record))
            return 2;
    }
    platform.put("keyed.op", "config", R"({"version":1,"routes":[{"name":"confirm","hostname":"h.example","path_prefix":"/confirm/","type":"unsafe","timeout_ms":)" + std::to_string(timeoutMs) + R"(,"goal_ms":300,"priority":2,"service":"desk","attempts":1,"public":true,"affinity":false,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls_cfg":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})");

    std::vector<Gateway> gateways(3);
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways[i].name_ = "edge-" + zones[i] + "-1";
        gateways[i].zone_ = zones[i];
        gateways[i].host_ = network + std::to_string(i + 1);
        gateways[i].settings_ = folder + "/" + gateways[i].name_ + ".conf";
        gateways[i].log_ = folder + "/" + gateways[i].name_ + ".log";
        seeds.push_back(gateways[i].host_ + ":" + std::to_string(Gateway::controlPort));
    }
    for (Gateway& gateway : gateways) {
        std::ofstream(gateway.settings_) << renderSettings(gateway, seeds, store + ":8361");
        gateway.start();
    }
    while (now() < 20 && !std::all_of(gateways.begin(), gateways.end(), [](const Gateway& gateway) { return gateway.isReady(); }))
        sleepMs(100);
    if (now() >= 20) {
        for (Gateway& gateway : gateways)
            gateway.stop();
        return 2;
    }
    sleepMs(3000);

    std::vector<std::thread> clients;
    trafficAt = now();
    const double until = trafficAt + trafficS;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        for (int j = 0; j < clientsPerGateway; ++j)
            clients.emplace_back([&, i, j] { runClient(gateways[i], static_cast<int>(i) * clientsPerGateway + j, until, record); });
    }
    int ownEnds = 0;
    while (now() < until + 2) {
        sleepMs(50);
        for (Gateway& gateway : gateways) {
            std::string end = gateway.reap();
            if (end.empty())
                continue;
            ++ownEnds;
            record.line("process %s ended by itself: %s; it is started again", gateway.name_.c_str(), end.c_str());
            sleepMs(300);
            gateway.start();
        }
    }
    for (std::thread& client : clients)
        client.join();
    for (Gateway& gateway : gateways)
        gateway.stop();

    int longer = 0;
    int unanswered = 0;
    int lost = 0;
    int served = 0;
    for (const Outcome& outcome : outcomes) {
        served += outcome.status_ == 200;
        bool isLonger = outcome.lastedS_ * 1000 > timeoutMs;
        longer += isLonger;
        unanswered += isLonger && (outcome.end_ != ReadEnd::Complete || outcome.lastedS_ * 1000 > timeoutMs + 500);
        lost += outcome.isKept_ && outcome.end_ == ReadEnd::Closed && ranAtSound.contains(outcome.id_);
    }
    bool isConfigBroken = unanswered >= 8 && 4 * unanswered > longer;
    bool isLostBroken = lost > 3;
    record.line("requests %zu, served %d, answers spoilt %u", outcomes.size(), served, spoilt.load());
    record.line("CONFIG: %d requests lasted longer than timeout_ms, %d of them had no final answer 0.5 s after it: %s", longer, unanswered, isConfigBroken ? "BROKEN" : "held");
    record.line("LOST: %d requests passed on to a sound server, whose kept connection was closed without an answer: %s", lost, isLostBroken ? "BROKEN" : "held");
    record.line("processes that ended by themselves: %d", ownEnds);
    std::fflush(nullptr);
    _exit(isLostBroken ? 1 : 0);
}
