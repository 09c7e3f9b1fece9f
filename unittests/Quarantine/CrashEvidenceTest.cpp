//===- unittests/Quarantine/CrashEvidenceTest.cpp - what crashes servers ---===//
///
/// \file
/// Simulates fleets in which requests share parts of their prompts and backend servers crash,
/// under some part or by themselves. Tests that the nodes find the part together, that its
/// requests are stopped at all of them, and that sound requests go on.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>

using namespace pistachioloom;

namespace {

constexpr milliseconds tick { 20 };
constexpr milliseconds reportPeriod { 200 };
constexpr milliseconds runTime { 400 };
constexpr milliseconds timeToCrash { 60 };
constexpr milliseconds detectionDelay { 250 };
constexpr milliseconds restartTime { 3000 };
constexpr milliseconds propagationTime { 3000 };
constexpr std::size_t maxCrashes = 5;
constexpr std::size_t maxLateArrivals = 3;
constexpr std::uint64_t firstPartKey = 1;
constexpr std::uint64_t ownPartKey = 1000;
constexpr std::uint64_t crashingPartKey = 500'000;
constexpr std::uint64_t uniqueKey = 1'000'000;

struct Scenario {
    const char* name_;
    std::size_t nodes_ = 9;
    std::size_t servers_ = 18;
    double soundPerSecond_ = 66;
    double crashingPerSecond_ = 1;
    std::size_t crashingParts_ = 1;
    /// The share of the requests with a crashing part that crash their server.
    double crashShare_ = 1;
    std::uint64_t firstParts_ = 8;
    std::uint64_t ownParts_ = 400;
    /// Servers that crash by themselves at once, and the time between two such events.
    std::size_t ownCrashes_ = 0;
    milliseconds ownCrashPeriod_ { 5000 };
    double lostReports_ = 0;
    /// The share of sound requests that may be rejected.
    double maxRejected_ = 0.02;
    milliseconds length_ { 20000 };
};

/// One request in progress.
struct Run {
    std::size_t node_ = 0;
    std::vector<Attribute> attributes_;
    SteadyTime endsAt_ {};
};

struct Server {
    std::uint32_t key_ = 0;
    SteadyTime downUntil_ {};
    std::optional<SteadyTime> crashesAt_;
    std::vector<Run> runs_;
};

/// A crash that a node learns of some time later.
struct Detection {
    SteadyTime at_ {};
    SteadyTime crashedAt_ {};
    std::uint32_t server_ = 0;
    Run run_;
};

Attribute part(std::uint64_t key)
{
    return { AttributeKind::PromptPart, { key } };
}

class Simulation {
public:
    Simulation(const Scenario& scenario, std::uint64_t seed)
        : scenario_(scenario)
        , random_(seed)
        , servers_(scenario.servers_)
    {
        for (std::size_t i = 0; i < scenario.nodes_; ++i) {
            nodes_.push_back(std::make_unique<QuarantineTable>(QuarantineSettings {}, NodeIncarnationKey { static_cast<std::uint32_t>(i + 1) }));
            nodes_.back()->setCondemnedHook([this](const Condemnation& condemnation) { condemned_.insert(condemnation.suspect_.attribute_); });
        }
        for (Server& server : servers_)
            server.key_ = ++lastServerKey_;
        crashTimes_.resize(scenario.crashingParts_);
        arrivalTimes_.resize(scenario.crashingParts_);
    }

    void run()
    {
        const SteadyTime start = now_;
        SteadyTime nextOwnCrash = start + scenario_.ownCrashPeriod_;
        while (now_ < start + scenario_.length_) {
            now_ += tick;
            detect();
            serve();
            sendRequests(scenario_.soundPerSecond_, std::nullopt);
            // Traffic is calm for some seconds first.
            for (std::size_t i = 0; i < scenario_.crashingParts_ && now_ > start + milliseconds(4000); ++i)
                sendRequests(scenario_.crashingPerSecond_, i);
            if (scenario_.ownCrashes_ && now_ >= nextOwnCrash) {
                crashSome(scenario_.ownCrashes_);
                nextOwnCrash += scenario_.ownCrashPeriod_;
            }
            if ((now_ - start) % reportPeriod < tick)
                exchangeReports();
        }
    }

    /// The requests with crashing part \p index that reached servers later than the propagation
    /// time after its fifth crash.
    std::size_t lateArrivals(std::size_t index) const
    {
        const auto& crashes = crashTimes_[index];
        if (crashes.empty())
            return 0;
        SteadyTime from = crashes[std::min(crashes.size(), maxCrashes) - 1] + propagationTime;
        return static_cast<std::size_t>(std::count_if(arrivalTimes_[index].begin(), arrivalTimes_[index].end(), [&](SteadyTime at) { return at > from; }));
    }

    double rejectedShare() const { return static_cast<double>(soundRejected_) / static_cast<double>(std::max<std::size_t>(1, soundSent_)); }
    bool hasCondemnedShared() const
    {
        return std::any_of(condemned_.begin(), condemned_.end(), [](const Attribute& attribute) { return attribute.key_.value_ < ownPartKey; });
    }
    std::size_t condemnedSound() const
    {
        return static_cast<std::size_t>(std::count_if(condemned_.begin(), condemned_.end(), [](const Attribute& attribute) { return attribute.key_.value_ < crashingPartKey || attribute.key_.value_ >= uniqueKey; }));
    }
    const std::vector<std::vector<SteadyTime>>& crashTimes() const { return crashTimes_; }
    std::vector<std::unique_ptr<QuarantineTable>>& nodes() { return nodes_; }
    SteadyTime now() const { return now_; }

private:
    double draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

    void sendRequests(double perSecond, std::optional<std::size_t> crashingPart)
    {
        auto count = std::poisson_distribution<>(perSecond * std::chrono::duration<double>(tick).count())(random_);
        for (int i = 0; i < count; ++i)
            send(crashingPart);
    }

    void send(std::optional<std::size_t> crashingPart)
    {
        Run run { random_() % nodes_.size(), { { AttributeKind::Request, { ++lastUnique_ } } }, now_ + runTime };
        run.attributes_.push_back(part(firstPartKey + (crashingPart ? 0 : random_() % scenario_.firstParts_)));
        run.attributes_.push_back(part(crashingPart ? crashingPartKey + *crashingPart : ownPartKey + random_() % scenario_.ownParts_));
        run.attributes_.push_back(part(uniqueKey + ++lastUnique_));
        QuarantineTable& node = *nodes_[run.node_];
        bool isRejected = node.admit(run.attributes_, now_).has_value();
        if (!crashingPart) {
            ++soundSent_;
            soundRejected_ += isRejected;
        }
        Server* server = isRejected ? nullptr : choose(node.isSuspected(run.attributes_));
        if (!server)
            return;
        if (crashingPart) {
            arrivalTimes_[*crashingPart].push_back(now_);
            if (draw() < scenario_.crashShare_ && !server->crashesAt_) {
                server->crashesAt_ = now_ + timeToCrash;
                crashTimes_[*crashingPart].push_back(now_ + timeToCrash);
            }
        }
        server->runs_.push_back(std::move(run));
    }

    Server* choose(bool isApart)
    {
        std::vector<Server*> up;
        for (Server& server : servers_) {
            if (now_ >= server.downUntil_)
                up.push_back(&server);
        }
        if (up.empty())
            return nullptr;
        if (isApart)
            return *std::min_element(up.begin(), up.end(), [](const Server* left, const Server* right) { return left->runs_.size() < right->runs_.size(); });
        return up[random_() % up.size()];
    }

    void crash(Server& server)
    {
        for (Run& run : server.runs_)
            detections_.push_back({ now_ + detectionDelay, now_, server.key_, std::move(run) });
        server.runs_.clear();
        server.crashesAt_.reset();
        server.downUntil_ = now_ + restartTime;
        server.key_ = ++lastServerKey_;
    }

    void crashSome(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            crash(servers_[random_() % servers_.size()]);
    }

    void serve()
    {
        for (Server& server : servers_) {
            if (server.crashesAt_ && now_ >= *server.crashesAt_) {
                crash(server);
                continue;
            }
            for (Run& run : server.runs_) {
                if (now_ >= run.endsAt_)
                    (void)nodes_[run.node_]->noteSound(run.attributes_, now_);
            }
            std::erase_if(server.runs_, [&](const Run& run) { return now_ >= run.endsAt_; });
        }
    }

    void detect()
    {
        for (const Detection& detection : detections_) {
            if (now_ >= detection.at_)
                (void)nodes_[detection.run_.node_]->noteCrash(detection.run_.attributes_, { "north" }, { detection.server_ }, detection.crashedAt_, now_);
        }
        std::erase_if(detections_, [&](const Detection& detection) { return now_ >= detection.at_; });
    }

    void report(const QuarantineTable& from, QuarantineTable& to)
    {
        if (&from != &to && draw() >= scenario_.lostReports_)
            to.mergeSuspects(from.suspectsToReport(now_, random_()), now_);
    }

    /// In a large fleet every node reports to two relays, which report to all nodes.
    void exchangeReports()
    {
        const std::size_t relays = nodes_.size() > 24 ? 2 : nodes_.size();
        for (auto& node : nodes_) {
            for (std::size_t relay = 0; relay < relays; ++relay)
                report(*node, *nodes_[relay]);
        }
        if (relays == nodes_.size())
            return;
        for (auto& node : nodes_)
            report(*nodes_[random_() % relays], *node);
    }

    const Scenario scenario_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<QuarantineTable>> nodes_;
    std::vector<Server> servers_;
    std::vector<Detection> detections_;
    std::set<Attribute> condemned_;
    SteadyTime now_ = SteadyTime {} + std::chrono::hours(1);
    std::uint32_t lastServerKey_ = 0;
    std::uint64_t lastUnique_ = 0;
    std::size_t soundSent_ = 0;
    std::size_t soundRejected_ = 0;
    std::vector<std::vector<SteadyTime>> crashTimes_;
    std::vector<std::vector<SteadyTime>> arrivalTimes_;
};

std::vector<Scenario> scenarios()
{
    std::vector<Scenario> all;
    auto add = [&](const char* name, const std::function<void(Scenario&)>& change) {
        Scenario scenario { name };
        change(scenario);
        all.push_back(scenario);
    };
    add("one part among 400 crashes servers", [](Scenario&) {});
    add("two parts crash servers", [](Scenario& scenario) { scenario.crashingParts_ = 2; });
    add("a part crashes one server in three", [](Scenario& scenario) { scenario.crashShare_ = 1.0 / 3; });
    add("a fifth of the servers crashes by itself again and again", [](Scenario& scenario) {
        scenario.crashingParts_ = 0;
        scenario.ownCrashes_ = 4;
    });
    add("single servers crash by themselves twice a second", [](Scenario& scenario) {
        scenario.crashingParts_ = 0;
        scenario.ownCrashes_ = 1;
        scenario.ownCrashPeriod_ = milliseconds(500);
    });
    add("a part crashes servers, and a fifth of them crashes by itself", [](Scenario& scenario) { scenario.ownCrashes_ = 4; });
    add("requests that crash servers are as many as sound ones with their first part", [](Scenario& scenario) {
        scenario.servers_ = 60;
        scenario.crashingPerSecond_ = 8;
    });
    add("an organisation sends parts of its own only", [](Scenario& scenario) { scenario.ownParts_ = 100'000; });
    add("few requests", [](Scenario& scenario) {
        scenario.soundPerSecond_ = 8;
        scenario.crashingPerSecond_ = 0.7;
    });
    add("a third of the reports is lost", [](Scenario& scenario) { scenario.lostReports_ = 0.34; });
    add("63 nodes", [](Scenario& scenario) {
        scenario.nodes_ = 63;
        scenario.servers_ = 120;
        scenario.soundPerSecond_ = 400;
        scenario.crashingPerSecond_ = 2;
        scenario.length_ = milliseconds(14000);
    });
    return all;
}

} // namespace

TEST_CASE("nodes find the prompt part that crashes servers, and sound requests go on", "[quarantine]")
{
    auto scenario = GENERATE(from_range(scenarios()));
    auto seed = GENERATE(range(1, 6));
    CAPTURE(scenario.name_, seed);
    Simulation simulation(scenario, static_cast<std::uint64_t>(seed));
    simulation.run();
    for (std::size_t i = 0; i < scenario.crashingParts_; ++i) {
        CAPTURE(i, simulation.crashTimes()[i].size());
        // As many requests as crash three servers.
        CHECK(static_cast<double>(simulation.lateArrivals(i)) * scenario.crashShare_ <= maxLateArrivals);
    }
    CHECK_FALSE(simulation.hasCondemnedShared());
    CAPTURE(simulation.condemnedSound());
    CHECK(simulation.rejectedShare() <= scenario.maxRejected_);
}

TEST_CASE("each of 985 nodes sees a crash at the most, and all find the prompt part", "[quarantine][large]")
{
    Scenario scenario { "985 nodes" };
    scenario.nodes_ = 985;
    scenario.servers_ = 300;
    scenario.soundPerSecond_ = 985;
    scenario.crashingPerSecond_ = 2;
    scenario.length_ = milliseconds(12000);
    Simulation simulation(scenario, 1);
    simulation.run();
    CAPTURE(simulation.crashTimes()[0].size());
    CHECK(simulation.lateArrivals(0) <= maxLateArrivals);
    CHECK_FALSE(simulation.hasCondemnedShared());
    CHECK(simulation.rejectedShare() <= scenario.maxRejected_);
}

TEST_CASE("sound answers of a part count beside those of more parts than are kept", "[quarantine]")
{
    QuarantineSettings settings;
    settings.capacity_ = 4;
    QuarantineTable table(settings);
    SteadyTime now = SteadyTime {} + std::chrono::hours(1);
    for (std::uint64_t i = 0; i < 300; ++i) {
        std::vector<Attribute> answered { part(1), part(1000 + i) };
        (void)table.noteSound(answered, now);
    }
    for (std::uint32_t server = 0; server < 5; ++server)
        table.noteCrash(part(1), { "north" }, { server }, now + std::chrono::seconds(server));
    CHECK_FALSE(table.check(part(1), now + std::chrono::seconds(5)));
}

TEST_CASE("a prompt part is tried by one node at a time after its quarantine, and released if it is sound", "[quarantine]")
{
    std::vector<std::unique_ptr<QuarantineTable>> nodes;
    for (std::uint32_t i = 0; i < 4; ++i)
        nodes.push_back(std::make_unique<QuarantineTable>(QuarantineSettings {}, NodeIncarnationKey { i + 1 }));
    SteadyTime now = SteadyTime {} + std::chrono::hours(1);
    const Attribute suspected = part(7);
    for (std::uint32_t server = 0; server < 4; ++server)
        nodes[0]->noteCrash(suspected, { "north" }, { server }, now + std::chrono::seconds(server));
    now += std::chrono::seconds(4);
    auto exchange = [&] {
        for (auto& from : nodes) {
            for (auto& to : nodes)
                to->mergeSuspects(from->suspectsToReport(now, 0), now);
        }
    };
    exchange();
    for (std::size_t i = 0; i < nodes.size(); ++i)
        nodes[i]->selectTrials([i](const Attribute&) { return i == 2; });
    for (auto& node : nodes)
        REQUIRE(node->check(suspected, now));
    now += milliseconds(600'000);
    for (int round = 0; round < 3; ++round) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            bool isTrial = i == 2;
            CHECK(nodes[i]->admit(std::span(&suspected, 1), now).has_value() != isTrial);
            // The second request within a second waits for the outcome of the first.
            CHECK(nodes[i]->admit(std::span(&suspected, 1), now).has_value());
        }
        (void)nodes[2]->noteSound(std::span(&suspected, 1), now);
        now += std::chrono::seconds(2);
    }
    exchange();
    for (auto& node : nodes)
        CHECK_FALSE(node->admit(std::span(&suspected, 1), now));
}

TEST_CASE("a trial that crashes a server doubles the quarantine on all nodes", "[quarantine]")
{
    QuarantineTable table({});
    QuarantineTable other({});
    SteadyTime now = SteadyTime {} + std::chrono::hours(1);
    const Attribute suspected = part(7);
    for (std::uint32_t server = 0; server < 4; ++server)
        table.noteCrash(suspected, { "north" }, { server }, now + std::chrono::seconds(server));
    now += milliseconds(604'000);
    CHECK_FALSE(table.admit(std::span(&suspected, 1), now));
    table.noteCrash(suspected, { "north" }, { 99 }, now);
    other.mergeSuspects(table.suspects(now), now);
    for (const QuarantineTable* each : { &table, &other }) {
        CHECK(each->check(suspected, now + milliseconds(1'199'000)));
        CHECK_FALSE(each->check(suspected, now + milliseconds(1'201'000)));
    }
}

TEST_CASE("an operator quarantines an attribute for a time, and lifts it, on all nodes", "[quarantine]")
{
    QuarantineTable table({});
    QuarantineTable other({});
    SteadyTime now = SteadyTime {} + std::chrono::hours(1);
    const Attribute ordered = part(7);
    table.order(ordered, milliseconds(60'000), now);
    other.mergeSuspects(table.suspectsToReport(now, 0), now);
    for (const QuarantineTable* each : { &table, &other }) {
        CHECK(each->check(ordered, now + milliseconds(59'999)));
        CHECK_FALSE(each->check(ordered, now + milliseconds(60'000)));
    }
    now += milliseconds(1000);
    CHECK(other.clear(ordered, now));
    table.mergeSuspects(other.suspectsToReport(now, 0), now);
    CHECK_FALSE(table.check(ordered, now));
}
