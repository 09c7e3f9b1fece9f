//===- test/CrashingPromptPartsTest.cpp - prompt parts that crash servers --===//
///
/// \file
/// Requests that share one part of their prompts, and are otherwise different, crash each
/// backend server that begins to answer them. Sound requests share all their other parts.
//===----------------------------------------------------------------------===//
#include "Platform/StreamCaller.h"

#include <catch2/catch.hpp>
#include <mutex>

using namespace pistachioloom;
using namespace pistachioloom::test;
namespace json = boost::json;

namespace {

// The platform's contact time: within it, all gateways learn what one has observed.
constexpr milliseconds propagationTime { 3000 };
// Servers that a part may have crashed before its requests have to be stopped, and requests
// that may reach servers later than the propagation time after that.
constexpr std::size_t maxCrashes = 5;
constexpr std::size_t maxLateArrivals = 3;
// The rule's bound is half of the share outside disruption.
constexpr double minSoundShare = 0.9;
constexpr milliseconds calmTime { 3000 };
constexpr milliseconds observationTime { 3000 };
constexpr milliseconds maxSeriesTime { 20000 };
constexpr milliseconds crashInterval { 300 };
constexpr milliseconds soundInterval { 25 };
constexpr milliseconds callTimeout { 4000 };
constexpr std::size_t firstParts = 4;
constexpr std::size_t ownParts = 40;
const std::string crashingPart = "dead01";
const std::string otherCrashingPart = "dead02";

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(steadyNow().time_since_epoch()).count();
}

/// The number of sound requests, and of those that began at their first attempt.
struct SoundCount {
    std::size_t sent_ = 0;
    std::size_t begun_ = 0;

    double share() const { return sent_ ? static_cast<double>(begun_) / static_cast<double>(sent_) : 0; }
};

/// Sends requests at random gateways until it is destroyed.
class PartCallers {
public:
    explicit PartCallers(const GatewayDeployment& deployment)
        : deployment_(deployment)
    {
        for (int caller = 0; caller < 6; ++caller)
            threads_.emplace_back([this] { sendSound(); });
    }
    ~PartCallers()
    {
        isStopped_ = true;
        for (std::thread& thread : threads_)
            thread.join();
    }
    PartCallers(const PartCallers&) = delete;
    PartCallers& operator=(const PartCallers&) = delete;

    /// Starts to send requests with \p part to \p path, one every crashInterval.
    void startCrashing(const std::string& part, const std::string& path = "/ask/stream/")
    {
        threads_.emplace_back([this, part, path] { sendCrashing(part, path); });
    }

    /// Counts the sound requests that were sent in a period of steadyNow() in ms; only those
    /// with the first part of the crashing requests if \p withFirstPart.
    SoundCount soundBetween(std::int64_t fromMs, std::int64_t toMs, bool withFirstPart) const
    {
        std::lock_guard lock(mutex_);
        SoundCount count;
        for (const Sent& sent : sent_) {
            if (sent.atMs_ < fromMs || sent.atMs_ > toMs || (withFirstPart && sent.firstPart_))
                continue;
            ++count.sent_;
            count.begun_ += sent.hasBegun_;
        }
        return count;
    }

private:
    struct Sent {
        std::int64_t atMs_ = 0;
        std::size_t firstPart_ = 0;
        bool hasBegun_ = false;
    };

    StreamAttempt call(const std::string& path, const std::string& parts)
    {
        std::string id = "call-" + std::to_string(++lastId_);
        HttpRequest request = gatewayRequest("POST", path + id, id);
        request.headers_["X-Pistachioloom-Prompt-Prefix"] = parts + "," + std::to_string(100000 + lastId_) + ":50";
        request.headers_["X-Pistachioloom-Token-Count"] = "550,20";
        const auto& gateways = deployment_.gateways();
        return readStream(gateways[randomBits() % gateways.size()].callers_, request, callTimeout);
    }

    void sendSound()
    {
        while (!isStopped_) {
            std::size_t first = randomBits() % firstParts;
            std::int64_t atMs = nowMs();
            StreamAttempt attempt = call("/ask/stream/", "f" + std::to_string(first) + ":300,c" + std::to_string(randomBits() % ownParts) + ":200");
            {
                std::lock_guard lock(mutex_);
                sent_.push_back({ atMs, first, attempt.status_ == 200 });
            }
            std::this_thread::sleep_for(soundInterval);
        }
    }

    void sendCrashing(const std::string& part, const std::string& path)
    {
        while (!isStopped_) {
            (void)call(path, "f0:300," + part + ":200");
            std::this_thread::sleep_for(crashInterval);
        }
    }

    const GatewayDeployment& deployment_;
    std::atomic<std::uint64_t> lastId_ { 0 };
    std::atomic<bool> isStopped_ { false };
    mutable std::mutex mutex_;
    std::vector<Sent> sent_;
    std::vector<std::thread> threads_;
};

GatewayDeploymentOptions fleetOptions(const char* fanout)
{
    GatewayDeploymentOptions options;
    options.gatewayCount_ = 4;
    options.dataCentreCount_ = 2;
    options.extraSettings_ = [fanout](const std::string&) { return std::string("  gossip:\n    fanout: ") + fanout + "\n"; };
    return options;
}

/// Starts twelve engines, more than can crash in the time in which a replacement starts.
void startEngines(GatewayDeployment& deployment, json::object crash)
{
    deployment.startStandardServices();
    for (int i = 3; i <= 12; ++i)
        deployment.startBackend("e-" + std::to_string(i), "engines");
    crash["restart_ms"] = 1000;
    if (!crash.contains("crash_parts"))
        crash["crash_parts"] = json::array { crashingPart };
    deployment.control(crash);
    if (!deployment.waitForBackends(14))
        throw std::runtime_error("gateways do not know all backend servers");
}

/// The times of the entries of \p list that concern \p part.
std::vector<std::int64_t> timesOf(const GatewayDeployment& deployment, const char* list, const std::string& part = crashingPart)
{
    std::vector<std::int64_t> times;
    json::object state = deployment.control();
    for (const json::value& entry : state.at(list).as_array()) {
        if (textField(entry.as_object(), "part") == part)
            times.push_back(static_cast<std::int64_t>(numberField(entry.as_object(), "at_ms")));
    }
    return times;
}

/// The time from which crashing requests count as late: the propagation time after the fifth
/// crash, or the last one if there are fewer.
std::int64_t lateFrom(const std::vector<std::int64_t>& crashes)
{
    return crashes.empty() ? 0 : crashes[std::min(crashes.size(), maxCrashes) - 1] + propagationTime.count();
}

/// Waits until requests with each of \p parts have come for long enough to judge them.
void waitForJudgement(const GatewayDeployment& deployment, const std::vector<std::string>& parts = { crashingPart })
{
    auto isLongEnough = [&](const std::string& part) {
        auto crashes = timesOf(deployment, "crashes", part);
        return !crashes.empty() && nowMs() > lateFrom(crashes) + (propagationTime + observationTime).count();
    };
    (void)waitUntil(
        [&] {
            std::this_thread::sleep_for(milliseconds(100));
            return std::all_of(parts.begin(), parts.end(), isLongEnough);
        },
        maxSeriesTime);
}

std::size_t lateArrivals(const GatewayDeployment& deployment, const std::string& part = crashingPart)
{
    std::int64_t from = lateFrom(timesOf(deployment, "crashes", part));
    auto arrivals = timesOf(deployment, "part_arrivals", part);
    return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](std::int64_t at) { return at > from; }));
}

/// Checks that sound requests begin as often as in the period until \p calmUntil.
void checkSound(const GatewayDeployment& deployment, const PartCallers& callers, std::int64_t calmUntil)
{
    std::int64_t from = lateFrom(timesOf(deployment, "crashes")) + propagationTime.count();
    for (bool withFirstPart : { false, true }) {
        SoundCount before = callers.soundBetween(0, calmUntil, withFirstPart);
        SoundCount after = callers.soundBetween(from, nowMs(), withFirstPart);
        CAPTURE(withFirstPart, before.sent_, before.begun_, after.sent_, after.begun_);
        CHECK(before.sent_ >= 20);
        CHECK(after.sent_ >= 20);
        CHECK(after.share() >= minSoundShare * before.share());
    }
}

double quarantinedRequests(const GatewayDeployment& deployment)
{
    double sum = 0;
    for (const auto& gateway : deployment.gateways())
        sum += deployment.metric(gateway, "requests_quarantined_total");
    return sum;
}

} // namespace

TEST_CASE("requests with one prompt part crash one backend server after the other", "[gateway]")
{
    struct Row {
        const char* name_;
        const char* point_;
        bool resets_;
        bool isUnframed_;
        const char* fanout_;
        const char* path_;
    };
    auto row = GENERATE(values<Row>({
        { "connections are reset after the head", "after_head", true, false, "24", "/ask/stream/" },
        { "connections close inside an event, relays", "inside_event", false, false, "1", "/ask/stream/" },
        { "streams without framing close inside an event", "inside_event", false, true, "24", "/ask/stream/" },
        { "streams without framing close between events", "after_event", false, true, "24", "/ask/stream/" },
        { "resumable streams with a second attempt, relays", "after_head", true, false, "1", "/draft/stream/" },
    }));
    CAPTURE(row.name_);
    GatewayDeployment deployment(fleetOptions(row.fanout_));
    startEngines(deployment, { { "crash_point", row.point_ }, { "crash_resets", row.resets_ ? 1 : 0 }, { "unframed", row.isUnframed_ ? 1 : 0 } });
    PartCallers callers(deployment);
    std::this_thread::sleep_for(calmTime);
    std::int64_t calmUntil = nowMs();
    callers.startCrashing(crashingPart, row.path_);
    waitForJudgement(deployment);
    CAPTURE(timesOf(deployment, "crashes").size(), timesOf(deployment, "part_arrivals").size());
    REQUIRE_FALSE(timesOf(deployment, "crashes").empty());
    CHECK(lateArrivals(deployment) <= maxLateArrivals);
    checkSound(deployment, callers, calmUntil);
}

TEST_CASE("several prompt parts, or one that crashes one server in three, crash one backend server after the other", "[gateway]")
{
    struct Row {
        const char* name_;
        std::vector<std::string> parts_;
        int oneIn_;
    };
    auto row = GENERATE(values<Row>({
        { "two parts that always crash", { crashingPart, otherCrashingPart }, 1 },
        { "one part that crashes one server in three", { crashingPart }, 3 },
    }));
    CAPTURE(row.name_);
    GatewayDeployment deployment(fleetOptions("24"));
    startEngines(deployment, { { "crash_parts", json::value_from(row.parts_) }, { "crash_one_in", row.oneIn_ } });
    PartCallers callers(deployment);
    std::this_thread::sleep_for(calmTime);
    std::int64_t calmUntil = nowMs();
    for (const std::string& part : row.parts_)
        callers.startCrashing(part);
    waitForJudgement(deployment, row.parts_);
    for (const std::string& part : row.parts_) {
        CAPTURE(part, timesOf(deployment, "crashes", part).size(), timesOf(deployment, "part_arrivals", part).size());
        CHECK(lateArrivals(deployment, part) <= maxLateArrivals);
    }
    checkSound(deployment, callers, calmUntil);
}

TEST_CASE("a gateway that starts after the crashes dispatches requests with the prompt part", "[gateway]")
{
    GatewayDeployment deployment(fleetOptions("24"));
    startEngines(deployment, {});
    PartCallers callers(deployment);
    std::this_thread::sleep_for(calmTime);
    std::int64_t calmUntil = nowMs();
    callers.startCrashing(crashingPart);
    REQUIRE(waitUntil([&] { return timesOf(deployment, "crashes").size() >= 3; }, maxSeriesTime));
    auto& restarted = deployment.gateways()[3];
    restarted.process_->kill();
    (void)restarted.process_->wait(propagationTime);
    std::this_thread::sleep_for(propagationTime);
    deployment.restart(restarted);
    REQUIRE(waitUntil([&] { return deployment.isReady(restarted); }, milliseconds(10000)));
    waitForJudgement(deployment);
    CHECK(lateArrivals(deployment) <= maxLateArrivals);
    checkSound(deployment, callers, calmUntil);
}

TEST_CASE("sound requests are rejected when many backend servers crash by themselves", "[gateway]")
{
    GatewayDeployment deployment(fleetOptions("24"));
    startEngines(deployment, { { "crash_parts", json::array {} } });
    PartCallers callers(deployment);
    std::this_thread::sleep_for(calmTime);
    std::int64_t calmUntil = nowMs();
    for (int i = 0; i < 4; ++i) {
        deployment.control({ { "crash_some", 3 }, { "crash_service", "engines" } });
        std::this_thread::sleep_for(milliseconds(1500));
    }
    std::int64_t crashesEnded = nowMs();
    std::this_thread::sleep_for(observationTime);
    CHECK(quarantinedRequests(deployment) == 0);
    SoundCount before = callers.soundBetween(0, calmUntil, false);
    SoundCount after = callers.soundBetween(crashesEnded, nowMs(), false);
    CAPTURE(before.sent_, before.begun_, after.sent_, after.begun_);
    CHECK(after.share() >= minSoundShare * before.share());
}

TEST_CASE("an operator quarantines a prompt part at all gateways, and lifts it", "[gateway]")
{
    GatewayDeployment deployment(fleetOptions("24"));
    deployment.startStandardServices();
    auto callOperator = [&](std::vector<std::string> command) {
        std::vector<std::string> arguments { "--node", deployment.gateways()[1].metrics_.toString(), "--credential", "credential-of-tests", "quarantine" };
        arguments.insert(arguments.end(), command.begin(), command.end());
        return runToEnd(programPath("pistachioloomctl"), arguments);
    };
    auto callWith = [&](const GatewayDeployment::Gateway& gateway, const std::string& part) {
        HttpRequest request = gatewayRequest("POST", "/ask/stream/ordered", "ordered-" + std::to_string(randomBits()));
        request.headers_["X-Pistachioloom-Prompt-Prefix"] = "f1:300," + part + ":200,99:50";
        return readStream(gateway.callers_, request, callTimeout);
    };
    auto [code, output] = callOperator({ "add", "--service", "engines", "--prompt-part", "c1", "--for", "60s" });
    REQUIRE(code == 0);
    for (const auto& gateway : deployment.gateways()) {
        REQUIRE(waitUntil([&] { return callWith(gateway, "c1").status_ == 503; }, propagationTime));
        // The caller learns when the quarantine ends.
        auto retryAfter = callWith(gateway, "c1").retryAfter_;
        REQUIRE(retryAfter);
        CHECK(*retryAfter > milliseconds(50'000));
        CHECK(callWith(gateway, "c2").status_ == 200);
    }
    CHECK(callOperator({ "list" }).second.find("prompt_part") != std::string::npos);
    CHECK(callOperator({ "add", "--service", "engines" }).first == 1);
    CHECK(callOperator({ "lift", output.substr(0, output.find(':')) }).first == 0);
    for (const auto& gateway : deployment.gateways())
        CHECK(waitUntil([&] { return callWith(gateway, "c1").status_ == 200; }, propagationTime));
}
