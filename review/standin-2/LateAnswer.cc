// Clients confirm orders on kept connections, over three gateways. For five seconds one engine of three sends a
// second answer after a part of its answers. It arrives late, where the next answer on that connection is expected.
#include "World.hh"

using namespace standin;

namespace {

constexpr std::int64_t quietMs = 3000;
constexpr std::int64_t troubleMs = 5000;
constexpr double garbledShare = 0.03;
constexpr int clients = 24;

struct Outcome {
    int status_ = 0;
    std::int64_t answeredMs_ = 0;
};

struct Ledger {
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::map<std::string, Outcome> outcomes_;
    std::map<std::string, std::set<std::string>> orderRuns_;
    int extras_ = 0;
};

std::string bodyOf(const std::string& order) { return "order=" + order + "\n" + std::string(600, '.'); }

/// Sends one confirmation. Returns its status, or 0 if the connection ended without an answer.
int confirm(World& world, Ledger& ledger, Connection& connection, const Gateway& gateway, const std::string& id, const std::string& order)
{
    bool isNew = !connection.isOpen() || connection.isClosedByPeer();
    if (isNew && !connection.connect(gateway.callers_))
        return 0;
    std::string body = bodyOf(order);
    std::string request = "POST /orders/confirm HTTP/1.1\r\nHost: loja.example\r\nX-Pistachioloom-Attempt-Id: " + id + "\r\nX-Pistachioloom-Deadline-Ms: 1500\r\nAuthorization: Bearer key-one\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    world.record_.add("sent     " + id + " " + order + " to " + gateway.name_);
    Message answered;
    int status = 0;
    if (connection.write(request) && readMessage(connection, answered, nowMs() + 2500, true) == ReadResult::Done)
        status = answered.status();
    if (!status || answered.field("connection") == "close")
        connection.close();
    world.record_.add("answered " + id + " " + std::to_string(status) + " seal=" + answered.field("x-pistachioloom-engine-seal"));
    std::lock_guard lock(ledger.mutex_);
    ledger.outcomes_[id] = { status, nowMs() };
    return status;
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
    std::atomic<bool> isGarbling { false };
    std::mt19937 random(std::random_device {}());
    std::mutex randomMutex;
    auto draw = [&] {
        std::lock_guard lock(randomMutex);
        return std::uniform_real_distribution<>(0, 1)(random);
    };
    std::vector<std::unique_ptr<Engine>> engines;
    const std::vector<std::string> zones { "a", "b", "c" };
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const std::string engineId = "i-" + zones[i];
        Engine::Hooks hooks;
        hooks.onRun_ = [&, engineId](const Message& request) {
            std::string id = request.field("x-pistachioloom-attempt-id");
            std::string order = request.body_.substr(6, request.body_.find('\n') - 6);
            world.record_.add("runs     " + id + " " + order + " at " + engineId);
            std::lock_guard lock(ledger.mutex_);
            ++ledger.runs_[id];
            ledger.orderRuns_[order].insert(id);
        };
        hooks.workMs_ = [&](const Message&) { return 10 + static_cast<std::int64_t>(10 * draw()); };
        if (i == 0) {
            // Connections are served by one thread each, so that this is the previous request of the connection.
            hooks.bytesBeforeAnswer_ = [&](const Message& request) -> std::string {
                thread_local std::string previous;
                thread_local bool owesExtra = false;
                std::string id = request.field("x-pistachioloom-attempt-id");
                std::string extra;
                if (owesExtra && isGarbling) {
                    // The form in which an engine sheds a request.
                    extra = "HTTP/1.1 503 Service Unavailable\r\nX-Pistachioloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                    world.record_.add("extra    a second answer to " + previous + " arrives where the answer to " + id + " is expected");
                    std::lock_guard lock(ledger.mutex_);
                    ++ledger.extras_;
                }
                owesExtra = isGarbling && draw() < garbledShare;
                previous = id;
                return extra;
            };
        }
        engines.push_back(std::make_unique<Engine>(world, "desk", engineId, zones[i], 6, hooks));
        engines.back()->start();
    }
    world.store_.put("keyed.op", "config", R"({"version":3,"routes":[{"name":"confirm","hostname":"loja.example","path_prefix":"/orders/","type":"unsafe","timeout_ms":800,"goal_ms":100,"priority":2,"service":"desk","attempts":1,"public":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls_cfg":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"stores","api_keys":["key-one"],"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst_max":0}]})");
    for (const std::string& zone : zones)
        world.addGateway(zone);
    world.launchGateways();
    if (!world.waitUntilReady(15000))
        return 2;
    sleepMs(2000);

    const std::int64_t startMs = nowMs();
    const std::int64_t endMs = startMs + 2 * quietMs + troubleMs;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            const Gateway& gateway = *world.gateways_[static_cast<std::size_t>(client) % world.gateways_.size()];
            const Gateway& other = *world.gateways_[static_cast<std::size_t>(client + 1) % world.gateways_.size()];
            Connection kept;
            for (int number = 0; nowMs() < endMs; ++number) {
                std::string order = "o" + std::to_string(client) + "." + std::to_string(number);
                int status = confirm(world, ledger, kept, gateway, order + ".1", order);
                // 503 and 429 promise that the request has not run, so that the client comes again, on a new connection.
                if (status == 503 || status == 429) {
                    Connection fresh;
                    sleepMs(200);
                    confirm(world, ledger, fresh, other, order + ".2", order);
                }
                sleepMs(100 + client);
            }
        });
    }
    if (hasTrouble) {
        sleepMs(quietMs);
        world.record_.add("trouble  one engine of three sends extra answers, share " + std::to_string(garbledShare));
        isGarbling = true;
        sleepMs(troubleMs);
        isGarbling = false;
        world.record_.add("trouble  ends");
    }
    for (std::thread& thread : threads)
        thread.join();
    sleepMs(1500);
    world.end();

    std::lock_guard lock(ledger.mutex_);
    int refusedAndRun = 0;
    int served = 0;
    int doubled = 0;
    for (const auto& [id, outcome] : ledger.outcomes_) {
        served += outcome.status_ == 200;
        bool isPromise = outcome.status_ == 503 || outcome.status_ == 429 || outcome.status_ == 408 || outcome.status_ == 421;
        if (isPromise && ledger.runs_.count(id)) {
            ++refusedAndRun;
            world.record_.add("BROKEN   REFUSED: " + id + " was answered " + std::to_string(outcome.status_) + " and has run");
        }
    }
    for (const auto& [order, ids] : ledger.orderRuns_)
        doubled += ids.size() > 1;
    world.record_.add("summary: " + std::to_string(ledger.outcomes_.size()) + " requests, " + std::to_string(served) + " served, " + std::to_string(ledger.extras_) + " extra answers, " + std::to_string(refusedAndRun) + " refused and run, " + std::to_string(doubled) + " orders confirmed twice");
    if (served < 500 || (hasTrouble && !ledger.extras_))
        std::_Exit(2);
    std::_Exit(refusedAndRun ? 1 : 0);
}
