// Two model engines are well used. A stream through one gateway is preempted at its engine, as the newest there, and
// goes on when there is room. Meanwhile the gateway gets SIGTERM.
#include "ModelEngine.hh"
#include "StreamClient.hh"

using namespace standin;

namespace {

constexpr int callersPerBusyGateway = 3;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const bool hasTrouble = std::string(argv[3]) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    World world(argv[1], argv[2]);
    world.startPlatform();
    ModelEngine first(world, "planos", "i-one", "a", {});
    ModelEngine second(world, "planos", "i-two", "b", {});
    first.start();
    second.start();
    world.store_.put("keyed.op", "config", R"({"version":3,"routes":[{"name":"plan","hostname":"loja.example","path_prefix":"/plans/","type":"stream","timeout_ms":15000,"goal_ms":1200,"priority":1,"service":"planos","attempts":2,"public":false,"affinity":true,"resumable":true,"gap_aim_ms":400},{"name":"ask","hostname":"loja.example","path_prefix":"/asks/","type":"stream","timeout_ms":20000,"goal_ms":2500,"priority":1,"service":"planos","attempts":1,"public":false,"affinity":true,"resumable":false,"gap_aim_ms":400}],"services":[{"name":"planos","health_path":"/healthz","max_conns":370,"protocol":"h1","tls_cfg":false,"engine":{"slot_count":4,"kv_tokens":100000,"kv_bytes":18432,"link_mbps":280000.0,"moves":true,"backups":true,"stride":50,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"stores","api_keys":["key-one"],"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst_max":0}]})");
    for (const char* zone : { "a", "a", "b", "b" })
        world.addGateway(zone);
    world.launchGateways();
    if (!world.waitUntilReady(15000))
        return 2;
    sleepMs(2500);
    Gateway& stopping = *world.gateways_[0];
    Gateway& neighbour = *world.gateways_[1];

    std::vector<std::thread> threads;
    auto ask = [&](Gateway& gateway, std::string id, int promptTokens, int events) {
        threads.emplace_back([&world, &gateway, id, promptTokens, events] { (void)readStream(world, gateway, id, "/asks/", promptTokens, events, 20000, patienceOf(2500, 400)); });
    };
    // The second engine is taken: four run, two wait.
    for (int i = 0; i < callersPerBusyGateway; ++i) {
        ask(*world.gateways_[2], "c" + std::to_string(i), 100, 160);
        ask(*world.gateways_[3], "d" + std::to_string(i), 100, 160);
    }
    // The first one runs two long prompts.
    sleepMs(500);
    ask(neighbour, "b1", 30000, 140);
    sleepMs(800);
    ask(neighbour, "b2", 30000, 140);
    sleepMs(800);
    Outcome outcome;
    std::thread reader([&] { outcome = readStream(world, stopping, "s1", "/plans/", 30000, 60, 15000, patienceOf(1200, 400)); });
    sleepMs(1900);
    std::int64_t stoppedMs = 0;
    if (hasTrouble) {
        stoppedMs = nowMs();
        world.record_.add("trouble  SIGTERM to " + stopping.name_);
        stopping.signal(SIGTERM);
    }
    // The platform kills a stopping process after `grace_s`.
    std::thread platform([&] {
        while (hasTrouble && nowMs() < stoppedMs + 8000 && stopping.isRunning())
            sleepMs(20);
        if (hasTrouble && stopping.isRunning()) {
            world.record_.add("platform kills " + stopping.name_ + " at the end of its grace time");
            stopping.signal(SIGKILL);
        }
    });
    reader.join();
    for (std::thread& thread : threads)
        thread.join();
    platform.join();
    world.end();

    // Planned work lasts until 1 s after `grace_s`. What ends in the last sixth of `grace_s` doesn't count here.
    const bool isAround = hasTrouble && outcome.endMs_ >= stoppedMs && outcome.endMs_ < stoppedMs + 8000 * 5 / 6;
    const bool isLost = isAround && outcome.status_ && !outcome.isComplete_ && !outcome.hasLeft_ && outcome.endMs_ < outcome.sentMs_ + 14500;
    if (isLost)
        world.record_.add("BROKEN   LOST: s1 was read and passed on, and its connection ended after event " + std::to_string(outcome.lastEvent_) + " of 60, " + std::to_string(outcome.endMs_ - stoppedMs) + " ms after SIGTERM");
    world.record_.add(std::string("summary: s1 ") + (outcome.isComplete_ ? "complete" : "not complete") + ", events to " + std::to_string(outcome.lastEvent_));
    if (!outcome.lastEvent_)
        std::_Exit(2);
    std::_Exit(isLost ? 1 : 0);
}
