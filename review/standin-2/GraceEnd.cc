// A model engine is well used, so that requests wait in its queue. Meanwhile a gateway that has passed such requests
// on gets SIGTERM.
#include "ModelEngine.hh"
#include "StreamClient.hh"

using namespace standin;

namespace {

constexpr std::int64_t graceMs = 8000;
constexpr int waitingRequests = 2;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const bool hasTrouble = std::string(argv[3]) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    World world(argv[1], argv[2]);
    world.startPlatform();
    ModelEngine engine(world, "planos", "i-one", "a", {});
    engine.start();
    world.store_.put("keyed.op", "config", R"({"version":3,"routes":[{"name":"ask","hostname":"loja.example","path_prefix":"/asks/","type":"stream","timeout_ms":20000,"goal_ms":2500,"priority":1,"service":"planos","attempts":1,"public":false,"affinity":true,"resumable":false,"gap_aim_ms":400}],"services":[{"name":"planos","health_path":"/healthz","max_conns":370,"protocol":"h1","tls_cfg":false,"engine":{"slot_count":4,"kv_tokens":100000,"kv_bytes":18432,"link_mbps":280000.0,"moves":true,"backups":true,"stride":50,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"stores","api_keys":["key-one"],"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst_max":0}]})");
    for (int i = 0; i < 3; ++i)
        world.addGateway("a");
    world.launchGateways();
    if (!world.waitUntilReady(15000))
        return 2;
    sleepMs(2500);
    Gateway& stopping = *world.gateways_[0];

    // Four streams through the other gateways take the slots for 10 s.
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i)
        threads.emplace_back([&world, i] { (void)readStream(world, *world.gateways_[1 + static_cast<std::size_t>(i) % 2], "b" + std::to_string(i), "/asks/", 100, 200, 20000, patienceOf(2500, 400)); });
    sleepMs(1000);
    std::vector<Outcome> outcomes(waitingRequests);
    std::vector<std::thread> readers;
    for (int i = 0; i < waitingRequests; ++i)
        readers.emplace_back([&, i] { outcomes[static_cast<std::size_t>(i)] = readStream(world, stopping, "w" + std::to_string(i), "/asks/", 100, 20, 20000, patienceOf(2500, 400)); });
    sleepMs(1000);
    std::int64_t stoppedMs = nowMs();
    if (hasTrouble) {
        world.record_.add("trouble  SIGTERM to " + stopping.name_);
        stopping.signal(SIGTERM);
    }
    // The platform kills a stopping process after `grace_s`.
    std::thread platform([&] {
        while (hasTrouble && nowMs() < stoppedMs + graceMs && stopping.isRunning())
            sleepMs(20);
        if (hasTrouble && stopping.isRunning()) {
            world.record_.add("platform kills " + stopping.name_ + " at the end of its grace time");
            stopping.signal(SIGKILL);
        }
    });
    for (std::thread& reader : readers)
        reader.join();
    for (std::thread& thread : threads)
        thread.join();
    platform.join();
    world.end();

    int lost = 0;
    for (int i = 0; i < waitingRequests; ++i) {
        const Outcome& outcome = outcomes[static_cast<std::size_t>(i)];
        const std::string id = "w" + std::to_string(i);
        // Any whole answer will do, also a refusal. A request on which its engine was at work doesn't count.
        const bool isAround = hasTrouble && outcome.endMs_ >= stoppedMs && outcome.endMs_ <= stoppedMs + graceMs + 1000;
        const bool hasAnswer = outcome.isComplete_ || (outcome.status_ && outcome.status_ != 200);
        if (!isAround || hasAnswer || outcome.hasLeft_ || engine.hasStarted(id))
            continue;
        ++lost;
        world.record_.add("BROKEN   LOST: " + id + " was read and passed on, waited at its engine, and its connection ended without an answer " + std::to_string(outcome.endMs_ - stoppedMs) + " ms after SIGTERM, " + std::to_string(outcome.sentMs_ + 20000 - outcome.endMs_) + " ms before its deadline");
    }
    world.record_.add("summary: " + std::to_string(lost) + " of " + std::to_string(waitingRequests) + " waiting requests lost");
    if (!engine.hasStarted("b0"))
        std::_Exit(2);
    std::_Exit(lost ? 1 : 0);
}
