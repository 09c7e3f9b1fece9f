// Three gateways before model engines of which nearly all are reclaimable. The store keeps the records
// of its topics for 20 s. All gateway processes are killed, and the platform reclaims the engines of
// one zone after the other. See claim.txt beside run.sh.
#include "standin.hh"

#include <memory>

using namespace review;

namespace {

constexpr int slots = 4;
constexpr int queueLength = 8;
constexpr double bootS = 4;
constexpr double drainS = 2;
constexpr double noticeS = 2.5;
constexpr double dryS = 12;
constexpr double reclaimGapS = 6;
constexpr double killAtS = 45;
constexpr double downS = 1.3;
constexpr double recoverS = 12;
constexpr double endAtS = 100;
constexpr double deadlineS = 3;
constexpr int clientsPerGateway = 10;

/// A model engine. A request streams three events.
class Engine : public std::enable_shared_from_this<Engine> {
public:
    std::string id_;
    std::string zone_;
    std::string host_;
    int port_ = 0;
    bool isSpot_ = false;
    std::atomic<bool> isLeaving_ { false };
    std::atomic<bool> isGone_ { false };

    bool start(Platform& platform, Record& record)
    {
        platform_ = &platform;
        record_ = &record;
        listener_ = listenOn(host_, port_);
        if (listener_ < 0)
            return false;
        acceptLoop(listener_, [self = shared_from_this()](int fd) { self->serve(fd); });
        std::thread([self = shared_from_this()] {
            while (!self->isGone_) {
                self->beat();
                sleepMs(1200);
            }
        }).detach();
        return true;
    }
    void beat()
    {
        std::lock_guard lock(beatMutex_);
        if (isGone_)
            return;
        std::string leaves = isLeaving_ && isSpot_ ? ",\"leaves_ms\":2500" : "";
        platform_->put("keyed.servers", id_, "{\"service\":\"model\",\"address\":\"" + host_ + ":" + std::to_string(port_) + "\",\"zone\":\"" + zone_ + "\",\"version\":\"v1\",\"slot_count\":" + std::to_string(slots) + ",\"phase\":\"" + (isLeaving_ ? "draining" : "up") + "\",\"cold_left_ms\":0,\"call_seq\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"spot\":" + (isSpot_ ? "true" : "false") + leaves + ",\"beat\":" + std::to_string(++beats_) + "}");
    }
    /// Reports that it leaves, and ends after \p seconds.
    void leave(double seconds)
    {
        if (isLeaving_.exchange(true))
            return;
        record_->line("engine %s (%s, %s) leaves in %.1f s", id_.c_str(), zone_.c_str(), isSpot_ ? "reclaimable" : "lasting", seconds);
        beat();
        std::thread([self = shared_from_this(), seconds] {
            sleepMs(seconds * 1000);
            self->end();
        }).detach();
    }

private:
    void end()
    {
        std::lock_guard lock(beatMutex_);
        isGone_ = true;
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
        platform_->put("keyed.servers", id_, "");
        std::lock_guard connections(mutex_);
        for (int fd : connections_)
            shutdown(fd, SHUT_RDWR);
    }

    void serve(int fd)
    {
        {
            std::lock_guard lock(mutex_);
            connections_.insert(fd);
        }
        std::string buffer;
        Message request;
        while (!isGone_ && readMessage(fd, buffer, request, now() + 10) == ReadEnd::Complete && answer(fd, request)) { }
        std::lock_guard lock(mutex_);
        connections_.erase(fd);
    }

    bool answer(int fd, const Message& request)
    {
        std::string id = request.field("X-Pistachioloom-Attempt-Id");
        std::string echo = "X-Pistachioloom-Attempt-Id: " + id + "\r\n";
        if (request.field("X-Pistachioloom-Expect-Instance") != id_)
            return sendAll(fd, "HTTP/1.1 421 X\r\n" + echo + "X-Pistachioloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        {
            std::unique_lock lock(mutex_);
            if (waiting_ >= queueLength) {
                lock.unlock();
                return sendAll(fd, "HTTP/1.1 503 X\r\n" + echo + "X-Pistachioloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            }
            ++waiting_;
            free_.wait_for(lock, std::chrono::seconds(3), [&] { return running_ < slots; });
            --waiting_;
            ++running_;
        }
        record_->line("engine %s runs %s", id_.c_str(), id.c_str());
        bool isSent = stream(fd, echo);
        std::lock_guard lock(mutex_);
        --running_;
        free_.notify_one();
        return isSent;
    }

    bool stream(int fd, const std::string& echo)
    {
        pollfd closed { fd, POLLIN, 0 };
        if (poll(&closed, 1, 300) > 0)
            return false;
        std::string head = "HTTP/1.1 200 OK\r\n" + echo + "X-Pistachioloom-Engine-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 1; i <= 3; ++i) {
            std::string event = "id: " + std::to_string(i) + "\ndata: text\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!sendAll(fd, (i == 1 ? head : "") + size + event + "\r\n") || poll(&closed, 1, 100) > 0)
                return false;
        }
        return sendAll(fd, "0\r\n\r\n");
    }

    Platform* platform_ = nullptr;
    Record* record_ = nullptr;
    int listener_ = -1;
    std::mutex beatMutex_;
    std::mutex mutex_;
    std::condition_variable free_;
    std::set<int> connections_;
    int waiting_ = 0;
    int running_ = 0;
    long beats_ = 0;
};

/// Starts and ends engines as the platform is told by `POST /scale`.
class Fleet {
public:
    Fleet(Platform& platform, Record& record, std::string host, std::vector<std::string> zones)
        : platform_(platform)
        , record_(record)
        , host_(std::move(host))
        , zones_(std::move(zones))
    {
    }

    void add(const std::string& zone, bool isSpot)
    {
        auto engine = std::make_shared<Engine>();
        std::lock_guard lock(mutex_);
        engine->id_ = "i-" + std::to_string(++last_);
        engine->zone_ = zone;
        engine->host_ = host_;
        engine->port_ = 9000 + last_;
        engine->isSpot_ = isSpot;
        if (engine->start(platform_, record_))
            engines_.push_back(engine);
    }

    int onDuty(const Message& request)
    {
        record_.line("duty %s by %s, token %s: %s", request.word(1).c_str(), request.field("X-Pistachioloom-Duty-Holder").c_str(), request.field("X-Pistachioloom-Fence-Token").c_str(), request.body_.c_str());
        if (request.word(1) != "/scale")
            return 200;
        auto after = [&](const std::string& key) {
            std::size_t at = request.body_.find("\"" + key + "\":");
            return at == std::string::npos ? "" : request.body_.substr(at + key.size() + 3);
        };
        std::string zone = after("zone").substr(1);
        zone = zone.substr(0, zone.find('"'));
        bool isSpot = after("spot").starts_with("true");
        int desired = std::atoi(after("desired").c_str());
        std::lock_guard lock(mutex_);
        std::vector<std::shared_ptr<Engine>> present;
        for (const auto& engine : engines_) {
            if (engine->zone_ == zone && engine->isSpot_ == isSpot && !engine->isLeaving_)
                present.push_back(engine);
        }
        int& booting = booting_[{ zone, isSpot }];
        int missing = desired - static_cast<int>(present.size()) - booting;
        if (missing > 0 && isSpot && now() < dryUntil_)
            return 409;
        for (int i = 0; i < missing; ++i) {
            ++booting;
            std::thread([this, zone, isSpot] {
                sleepMs(bootS * 1000);
                {
                    std::lock_guard lock(mutex_);
                    --booting_[{ zone, isSpot }];
                    if (isSpot && now() < dryUntil_)
                        return;
                }
                add(zone, isSpot);
            }).detach();
        }
        for (int i = 0; i < -missing && i < static_cast<int>(present.size()); ++i)
            present[static_cast<std::size_t>(i)]->leave(drainS + 1);
        return 200;
    }

    /// Takes away all reclaimable engines of a zone; for a while no others are to be had.
    void reclaim(const std::string& zone)
    {
        std::lock_guard lock(mutex_);
        record_.line("the platform reclaims the engines of %s", zone.c_str());
        dryUntil_ = now() + dryS;
        for (const auto& engine : engines_) {
            if (engine->zone_ == zone && engine->isSpot_)
                engine->leave(noticeS);
        }
    }

    std::string summary()
    {
        std::lock_guard lock(mutex_);
        int spot = 0;
        int lasting = 0;
        for (const auto& engine : engines_) {
            if (!engine->isLeaving_)
                ++(engine->isSpot_ ? spot : lasting);
        }
        return std::to_string(spot) + " reclaimable, " + std::to_string(lasting) + " lasting";
    }

private:
    Platform& platform_;
    Record& record_;
    const std::string host_;
    const std::vector<std::string> zones_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<Engine>> engines_;
    std::map<std::pair<std::string, bool>, int> booting_;
    double dryUntil_ = 0;
    int last_ = 0;
};

struct Outcome {
    double sentAt_ = 0;
    bool isServed_ = false;
};

std::mutex outcomesMutex;
std::vector<Outcome> outcomes;

/// Reads an answer: a stream up to its last chunk, or an answer with a length. \returns whether it is
/// a success and complete.
bool readAnswer(int fd, double until, int& status)
{
    std::string bytes;
    while (bytes.find("\r\n0\r\n\r\n") == std::string::npos) {
        pollfd ready { fd, POLLIN, 0 };
        double left = until - now();
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left * 1000) + 1) == 0)
            return false;
        char chunk[4096];
        ssize_t count = recv(fd, chunk, sizeof chunk, 0);
        if (count <= 0)
            return false;
        bytes.append(chunk, static_cast<std::size_t>(count));
        status = std::atoi(bytes.substr(std::min<std::size_t>(bytes.size(), 9), 3).c_str());
        if (bytes.find("\r\n\r\n") != std::string::npos && status != 200)
            return false;
    }
    return status == 200;
}

void runClient(const Gateway& gateway, int number, Record& record)
{
    std::mt19937 random(static_cast<unsigned>(number));
    for (int i = 0; now() < endAtS; ++i) {
        sleepMs(150 + static_cast<double>(random() % 300));
        double sentAt = now();
        int fd = connectTo(gateway.host_, Gateway::callersPort);
        char id[40];
        std::snprintf(id, sizeof id, "c%02d-%05d", number, i);
        int status = 0;
        bool isServed = fd >= 0 && sendAll(fd, "POST /ask/" + std::string(id) + " HTTP/1.1\r\nHost: h.example\r\nX-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Deadline-Ms: 3000\r\nX-Pistachioloom-Model: m\r\nX-Pistachioloom-Token-Count: 1200,20\r\nConnection: close\r\nContent-Length: 4\r\n\r\ntext") && readAnswer(fd, sentAt + deadlineS, status);
        if (fd >= 0)
            close(fd);
        record.line("client %s at %s: %s %d", id, gateway.name_.c_str(), isServed ? "served" : "not served", status);
        std::lock_guard lock(outcomesMutex);
        outcomes.push_back({ sentAt, isServed });
    }
}

double servedShare(double from, double to, Record& record, const char* name)
{
    int all = 0;
    int served = 0;
    for (const Outcome& outcome : outcomes) {
        bool isInside = outcome.sentAt_ >= from && outcome.sentAt_ < to;
        all += isInside;
        served += isInside && outcome.isServed_;
    }
    record.line("%s: %d of %d requests served", name, served, all);
    return all ? static_cast<double>(served) / all : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    const std::string folder = argv[1];
    Record record(argv[2]);
    const char* trouble = std::getenv("TROUBLE");
    const bool isTroubled = !trouble || std::string(trouble) != "0";
    const std::string network = freeNetwork(8361);
    const std::string store = network + "200";
    Platform platform;
    const char* keep = std::getenv("KEEP_S");
    platform.keepS_ = keep ? std::atof(keep) : 20;
    const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    Fleet fleet(platform, record, network + "150", zones);
    platform.onDuty_ = [&](const Message& request) { return fleet.onDuty(request); };
    if (network.empty() || !platform.listen(store, 8361))
        return 2;
    platform.put("keyed.op", "config", R"({"version":1,"routes":[{"name":"ask","hostname":"h.example","path_prefix":"/ask/","type":"stream","timeout_ms":3000,"goal_ms":500,"priority":0,"service":"model","attempts":1,"public":true,"affinity":true,"resumable":false,"gap_aim_ms":400}],"services":[{"name":"model","health_path":"/healthz","max_conns":370,"protocol":"h1","tls_cfg":false,"engine":{"slot_count":4,"kv_tokens":617645,"kv_bytes":18432,"link_mbps":280000.0,"moves":false,"backups":false,"stride":5,"models":[{"name":"m"}]},"scale":{"min_count":1,"max_count":12,"boot_s":4.0,"spot_price":0.18,"zone_prices":{"zone-a":0.85,"zone-b":1.2,"zone-c":1.0}}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})");
    for (const std::string& zone : zones) {
        for (int i = 0; i < 3; ++i)
            fleet.add(zone, false);
    }

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
    while (now() < 10 && !std::all_of(gateways.begin(), gateways.end(), [](const Gateway& gateway) { return gateway.isReady(); }))
        sleepMs(100);
    if (now() >= 10) {
        for (Gateway& gateway : gateways)
            gateway.stop();
        _exit(2);
    }
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        for (int j = 0; j < clientsPerGateway; ++j)
            clients.emplace_back([&, i, j] { runClient(gateways[i], static_cast<int>(i) * clientsPerGateway + j, record); });
    }
    auto waitUntil = [](double at) { sleepMs(std::max(0.0, at - now()) * 1000); };
    waitUntil(killAtS);
    record.line("engines: %s", fleet.summary().c_str());
    if (isTroubled) {
        record.line("all gateway processes are killed");
        for (Gateway& gateway : gateways)
            gateway.stop();
        waitUntil(killAtS + downS);
        for (Gateway& gateway : gateways)
            gateway.start();
        record.line("all gateway processes are started again");
    }
    const double backAt = killAtS + downS;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        waitUntil(backAt + 1 + reclaimGapS * static_cast<double>(i));
        fleet.reclaim(zones[i]);
    }
    waitUntil(endAtS - 5);
    record.line("engines: %s", fleet.summary().c_str());
    for (std::thread& client : clients)
        client.join();
    for (Gateway& gateway : gateways)
        gateway.stop();
    double before = servedShare(killAtS - 20, killAtS, record, "before the final fault");
    double after = servedShare(backAt + recoverS, endAtS, record, "later than recover_s after the machines are back");
    bool isBroken = before >= 0.25 && after < 0.25;
    record.line("RECOVER: %s", isBroken ? "BROKEN" : "held");
    _exit(isBroken ? 1 : 0);
}
