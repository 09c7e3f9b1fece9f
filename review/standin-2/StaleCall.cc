// The links of one gateway to the platform are cut while its duty call is on the way. Another gateway takes the duties.
#include "World.hh"

using namespace standin;

namespace {

constexpr std::int64_t cutMs = 5000;
constexpr std::int64_t thawMs = 300;
// Of a segment that was sent at 0, TCP sends again what isn't acknowledged at these times: the timeout of 200 ms doubles.
constexpr std::int64_t sentAgainMs[] = { 200, 600, 1400, 3000, 6200, 12600 };

/// The links of one gateway.
struct Links {
    std::atomic<std::int64_t> cutAt_ { 0 };
    bool isCutAt(std::int64_t now) const { return cutAt_ && now >= cutAt_ && now < cutAt_ + cutMs; }
};

/// A link to `target_`. While it is cut, new connections get nowhere, and what was sent on others is held up.
class Link {
public:
    Address start(const std::string& host, Address target, Links& links, std::function<bool(const std::string&)> cutsAt)
    {
        target_ = target;
        links_ = &links;
        cutsAt_ = std::move(cutsAt);
        return server_.start(host, [this](Connection& near) { carry(near); });
    }

private:
    void carry(Connection& near)
    {
        if (links_->isCutAt(nowMs())) {
            // The opening packet is dropped.
            while (links_->isCutAt(nowMs()) && !near.isClosedByPeer())
                sleepMs(20);
            near.reset();
            return;
        }
        Connection far;
        if (!far.connect(target_))
            return near.reset();
        std::thread back([&] {
            char buffer[16384];
            ssize_t count;
            while ((count = ::recv(far.fd(), buffer, sizeof buffer, 0)) > 0) {
                if (links_->isCutAt(nowMs()) || !near.write({ buffer, static_cast<std::size_t>(count) }))
                    break;
            }
            ::shutdown(near.fd(), SHUT_WR);
        });
        char buffer[16384];
        ssize_t count;
        bool isReset = false;
        while ((count = ::recv(near.fd(), buffer, sizeof buffer, 0)) != 0) {
            if (count < 0) {
                isReset = true;
                break;
            }
            std::string bytes(buffer, static_cast<std::size_t>(count));
            if (!links_->cutAt_ && cutsAt_(bytes))
                links_->cutAt_ = nowMs();
            if (links_->isCutAt(nowMs())) {
                isReset = holdUp(near);
                if (isReset)
                    break;
            }
            if (!far.write(bytes))
                break;
        }
        // What is held up is lost if its sender resets the connection.
        if (isReset)
            far.reset();
        else
            ::shutdown(far.fd(), SHUT_WR);
        back.join();
    }
    /// Waits until TCP sends the bytes again after the cut. Returns whether the sender has reset the connection meanwhile.
    bool holdUp(Connection& near) const
    {
        std::int64_t sentMs = nowMs();
        for (std::int64_t again : sentAgainMs) {
            while (nowMs() < sentMs + again) {
                char byte;
                ssize_t count = ::recv(near.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
                    return true;
                sleepMs(10);
            }
            if (!links_->isCutAt(nowMs()))
                return false;
        }
        return true;
    }

    Address target_;
    Links* links_ = nullptr;
    std::function<bool(const std::string&)> cutsAt_;
    Server server_;
};

struct Call {
    std::string path_;
    std::string holder_;
    long long token_ = 0;
    std::int64_t atMs_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const bool hasTrouble = std::string(argv[3]) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    World world(argv[1], argv[2]);
    std::mutex mutex;
    std::vector<Call> calls;
    world.onDuty_ = [&](const Message& request) {
        Call call { request.target(), request.field("x-pistachioloom-duty-holder"), std::atoll(request.field("x-pistachioloom-fence-token").c_str()), nowMs() };
        world.record_.add("platform gets " + call.path_ + " from " + call.holder_ + ", token " + std::to_string(call.token_) + ", " + request.body_);
        std::lock_guard lock(mutex);
        calls.push_back(call);
    };
    world.startPlatform();
    std::vector<std::unique_ptr<Engine>> engines;
    for (const char* zone : { "a", "b" }) {
        engines.push_back(std::make_unique<Engine>(world, "desk", std::string("i-") + zone, zone, 6, Engine::Hooks {}));
        engines.back()->start();
    }
    world.store_.put("keyed.op", "config", R"({"version":3,"routes":[{"name":"confirm","hostname":"loja.example","path_prefix":"/orders/","type":"unsafe","timeout_ms":800,"goal_ms":100,"priority":2,"service":"desk","attempts":1,"public":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls_cfg":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"stores","api_keys":["key-one"],"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst_max":0}]})");
    Links links[3];
    Link storeLinks[3];
    Link cloudLinks[3];
    std::atomic<bool> mayCut { false };
    std::vector<Address> stores;
    std::vector<Address> clouds;
    for (int i = 0; i < 3; ++i) {
        stores.push_back(storeLinks[i].start(world.newHost(), world.storeAddress_, links[i], [](const std::string&) { return false; }));
        // The first duty call after some quiet time. The others' links stay whole.
        clouds.push_back(cloudLinks[i].start(world.newHost(), world.cloudAddress_, links[i], [&](const std::string& bytes) { return bytes.rfind("POST /usage", 0) == 0 && mayCut.exchange(false); }));
    }
    world.storeFor_ = [&](std::size_t i) { return stores[i]; };
    world.cloudFor_ = [&](std::size_t i) { return clouds[i]; };
    for (const char* zone : { "a", "b", "b" })
        world.addGateway(zone);
    world.launchGateways();
    if (!world.waitUntilReady(15000))
        return 2;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 3; ++i) {
        clients.emplace_back([&, i] {
            Connection connection;
            for (int number = 0; !isOver; ++number, sleepMs(100)) {
                if ((!connection.isOpen() || connection.isClosedByPeer()) && !connection.connect(world.gateways_[i]->callers_))
                    continue;
                Message answered;
                std::string request = "POST /orders/confirm HTTP/1.1\r\nHost: loja.example\r\nX-Pistachioloom-Attempt-Id: q" + std::to_string(i) + "." + std::to_string(number) + "\r\nX-Pistachioloom-Deadline-Ms: 1500\r\nAuthorization: Bearer key-one\r\nContent-Length: 0\r\n\r\n";
                if (!connection.write(request) || readMessage(connection, answered, nowMs() + 2500, true) != ReadResult::Done || answered.field("connection") == "close")
                    connection.close();
            }
        });
    }
    sleepMs(13000);
    mayCut = hasTrouble;
    sleepMs(32000);
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    world.end();

    std::lock_guard lock(mutex);
    std::map<std::string, Call> highest;
    int stale = 0;
    for (const Call& call : calls) {
        Call& before = highest[call.path_];
        if (call.token_ >= before.token_) {
            before = call;
            continue;
        }
        std::int64_t healedMs = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            if (world.gateways_[i]->name_ == call.holder_ && links[i].cutAt_)
                healedMs = links[i].cutAt_ + cutMs;
        }
        // Calls that arrive soon after the link of their sender has healed don't count.
        if (call.atMs_ <= healedMs + thawMs)
            continue;
        ++stale;
        world.record_.add("BROKEN   ONE: " + call.path_ + " from " + call.holder_ + " with token " + std::to_string(call.token_) + " came " + std::to_string(call.atMs_ - before.atMs_) + " ms after one with token " + std::to_string(before.token_) + ", " + std::to_string(call.atMs_ - healedMs) + " ms after its link had healed");
    }
    bool wasCut = links[0].cutAt_ || links[1].cutAt_ || links[2].cutAt_;
    world.record_.add("summary: " + std::to_string(calls.size()) + " duty calls, " + std::to_string(stale) + " of a former holder");
    if (calls.size() < 3 || (hasTrouble && !wasCut))
        std::_Exit(2);
    std::_Exit(stale ? 1 : 0);
}
