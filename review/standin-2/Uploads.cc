// Clients confirm orders on kept connections, over three gateways. Beside them many clients come at once, with long
// bodies that stay within `max_body_bytes`. The platform kills a process that exceeds its memory, and starts it again.
#include "World.hh"

using namespace standin;

namespace {

constexpr std::int64_t memoryLimitBytes = 260LL * 1024 * 1024;
constexpr std::size_t longBody = 4194304;
constexpr std::size_t usualBody = 72000;
constexpr int uploadsPerGateway = 87;
constexpr std::int64_t burstMs = 3000;
constexpr std::int64_t uploadMs = 9000;
constexpr int keptClientsPerGateway = 16;

std::int64_t residentBytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

struct Ledger {
    std::mutex mutex_;
    std::set<std::string> runs_;
    /// Requests on connections that had served one before, which ended without an answer.
    std::vector<std::string> unanswered_;
    int served_ = 0;
    int uploadsServed_ = 0;
    int uploadsRefused_ = 0;
    int uploadsEnded_ = 0;
};

std::string headOf(const std::string& id, const std::string& path, std::size_t length, int deadlineMs)
{
    return "POST " + path + " HTTP/1.1\r\nHost: loja.example\r\nX-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer key-one\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

void confirmOrders(World& world, Ledger& ledger, const Gateway& gateway, const std::string& name, std::int64_t endMs)
{
    Connection connection;
    bool hasServed = false;
    const std::string body(600, '.');
    for (int number = 0; nowMs() < endMs; ++number, sleepMs(60)) {
        if (!connection.isOpen() || connection.isClosedByPeer()) {
            hasServed = false;
            if (!connection.connect(gateway.callers_))
                continue;
        }
        std::string id = name + "." + std::to_string(number);
        Message answered;
        bool isSent = connection.write(headOf(id, "/orders/confirm", body.size(), 1500) + body);
        bool isAnswered = isSent && readMessage(connection, answered, nowMs() + 2500, true) == ReadResult::Done;
        if (!isAnswered || answered.field("connection") == "close")
            connection.close();
        std::lock_guard lock(ledger.mutex_);
        ledger.served_ += isAnswered && answered.status() == 200;
        if (!isAnswered && hasServed)
            ledger.unanswered_.push_back(id);
        if (!isAnswered)
            world.record_.add("no answer to " + id + " from " + gateway.name_ + (hasServed ? ", on a kept connection" : ""));
        hasServed |= isAnswered;
    }
}

void upload(World& world, Ledger& ledger, const Gateway& gateway, const std::string& id, std::size_t size)
{
    Connection connection;
    int status = 0;
    if (connection.connect(gateway.callers_) && connection.write(headOf(id, "/plans/upload", size, 15000))) {
        const std::string part(8192, 'p');
        const std::int64_t startMs = nowMs();
        std::size_t sent = 0;
        bool isOpen = true;
        while (sent < size && isOpen && !connection.isClosedByPeer()) {
            std::size_t due = std::min(size, size * static_cast<std::size_t>(nowMs() - startMs + 20) / uploadMs);
            while (sent < due && isOpen) {
                std::size_t count = std::min(part.size(), due - sent);
                isOpen = connection.write(std::string_view(part).substr(0, count));
                sent += count;
            }
            sleepMs(20);
        }
        Message answered;
        if (readMessage(connection, answered, nowMs() + 6000, true) == ReadResult::Done)
            status = answered.status();
    }
    std::lock_guard lock(ledger.mutex_);
    ledger.uploadsServed_ += status == 200;
    ledger.uploadsRefused_ += status != 200 && status != 0;
    ledger.uploadsEnded_ += status == 0;
    world.record_.add("upload " + id + " " + std::to_string(size) + " bytes to " + gateway.name_ + " answered " + std::to_string(status));
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const bool hasTrouble = std::string(argv[3]) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    World world(argv[1], argv[2]);
    world.startPlatform();
    Ledger ledger;
    std::vector<std::unique_ptr<Engine>> engines;
    const std::vector<std::string> zones { "a", "b", "c" };
    for (const std::string& zone : zones) {
        Engine::Hooks hooks;
        hooks.onRun_ = [&](const Message& request) {
            std::lock_guard lock(ledger.mutex_);
            ledger.runs_.insert(request.field("x-pistachioloom-attempt-id"));
        };
        hooks.workMs_ = [](const Message&) { return 60; };
        engines.push_back(std::make_unique<Engine>(world, "desk", "i-" + zone, zone, 32, hooks));
        engines.back()->start();
    }
    world.store_.put("keyed.op", "config", R"({"version":3,"routes":[{"name":"confirm","hostname":"loja.example","path_prefix":"/orders/","type":"unsafe","timeout_ms":1500,"goal_ms":300,"priority":2,"service":"desk","attempts":1,"public":false},{"name":"upload","hostname":"loja.example","path_prefix":"/plans/","type":"unsafe","timeout_ms":15000,"goal_ms":15000,"priority":2,"service":"desk","attempts":1,"public":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":370,"protocol":"h1","tls_cfg":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"stores","api_keys":["key-one"],"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst_max":0}]})");
    for (const std::string& zone : zones)
        world.addGateway(zone);
    world.launchGateways();
    if (!world.waitUntilReady(15000))
        return 2;
    sleepMs(2000);

    std::atomic<bool> isOver { false };
    std::atomic<int> kills { 0 };
    std::int64_t peak = 0;
    // The platform: kills a process that exceeds its memory, and starts it again.
    std::thread platform([&] {
        while (!isOver) {
            for (auto& gateway : world.gateways_) {
                if (!gateway->isRunning()) {
                    sleepMs(300);
                    gateway->launch();
                    continue;
                }
                std::int64_t resident = residentBytes(gateway->pid_);
                peak = std::max(peak, resident);
                if (resident <= memoryLimitBytes)
                    continue;
                world.record_.add("platform kills " + gateway->name_ + ": it holds " + std::to_string(resident / 1024 / 1024) + " MB of 260");
                gateway->signal(SIGKILL);
                ++kills;
            }
            sleepMs(20);
        }
    });

    const std::int64_t endMs = nowMs() + 18000;
    std::vector<std::thread> threads;
    for (std::size_t g = 0; g < world.gateways_.size(); ++g) {
        for (int client = 0; client < keptClientsPerGateway; ++client)
            threads.emplace_back([&, g, client] { confirmOrders(world, ledger, *world.gateways_[g], "c" + std::to_string(g) + "." + std::to_string(client), endMs); });
    }
    sleepMs(2000);
    world.record_.add("many clients come at once: " + std::to_string(uploadsPerGateway) + " at each gateway in 3 s, " + std::to_string(hasTrouble ? longBody : usualBody) + " bytes each");
    for (int number = 0; number < uploadsPerGateway; ++number) {
        for (std::size_t g = 0; g < world.gateways_.size(); ++g)
            threads.emplace_back([&, g, number] { upload(world, ledger, *world.gateways_[g], "u" + std::to_string(g) + "." + std::to_string(number), hasTrouble ? longBody : usualBody); });
        sleepMs(burstMs / uploadsPerGateway);
    }
    for (std::thread& thread : threads)
        thread.join();
    isOver = true;
    platform.join();
    world.end();

    std::lock_guard lock(ledger.mutex_);
    int lost = 0;
    for (const std::string& id : ledger.unanswered_) {
        if (!ledger.runs_.count(id))
            continue;
        ++lost;
        world.record_.add("BROKEN   LOST: " + id + " came on a kept connection, ran at an engine, and its connection ended without an answer");
    }
    world.record_.add("summary: " + std::to_string(ledger.served_) + " orders served, uploads " + std::to_string(ledger.uploadsServed_) + " served " + std::to_string(ledger.uploadsRefused_) + " refused " + std::to_string(ledger.uploadsEnded_) + " ended, peak " + std::to_string(peak / 1024 / 1024) + " MB, " + std::to_string(kills) + " processes over their memory, " + std::to_string(lost) + " requests lost");
    if (ledger.served_ < 500)
        std::_Exit(2);
    std::_Exit(lost > 3 ? 1 : 0);
}
