//===- unittests/Gateway/ConfigurationSourcesTest.cpp - failing sources ---===//
///
/// \file
/// Simulates the decisions of a node that is behind, beside sources of which some fail. The
/// time until it has the configuration is bounded, and so are the calls to the platform of a
/// fleet in which all nodes are behind.
//===----------------------------------------------------------------------===//
#include "ConfigurationSources.h"
#include "Readers.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };
constexpr milliseconds step { 50 };
constexpr milliseconds reportPeriod { 200 };
constexpr milliseconds answerTime { 20 };
// The bound of 2 s, less one reporting period, and half a second in which two nodes decode
// the configuration one after the other.
constexpr milliseconds maxFetchDelay { 1300 };
const DataCentreId ownDataCentre { "a" };

enum class Behaviour {
    Healthy,
    /// Refuses connections.
    Refuses,
    /// Accepts streams and sends nothing until the timeout.
    Silent,
    /// Does not answer attempts to connect, and then sends nothing.
    Unreachable,
    /// Sends a few bytes at a time until the timeout of the transfer.
    Slow,
    /// Sends to other nodes, and asks to be asked again.
    Busy,
};

struct SimulatedSource {
    ConfigurationSource source_;
    Behaviour behaviour_;
    /// When the node first hears that this source has the version.
    milliseconds reportedAt_;
};

struct RunningAttempt {
    const SimulatedSource* source_;
    SteadyTime endsAt_;
};

struct SimulationResult {
    /// Time from the first report until the configuration has arrived.
    std::optional<milliseconds> fetchedAfter_;
    /// When the node read from the platform.
    std::vector<milliseconds> platformReads_;
    std::size_t maxAttempts_ = 0;
};

milliseconds durationOf(Behaviour behaviour)
{
    switch (behaviour) {
    case Behaviour::Healthy:
    case Behaviour::Refuses:
    case Behaviour::Busy:
        return answerTime;
    case Behaviour::Silent:
        return milliseconds(500);
    case Behaviour::Unreachable:
        return milliseconds(1000);
    case Behaviour::Slow:
        return milliseconds(2000);
    }
    return {};
}

FetchOutcome outcomeOf(Behaviour behaviour)
{
    if (behaviour == Behaviour::Healthy)
        return FetchOutcome::Received;
    return behaviour == Behaviour::Busy ? FetchOutcome::Busy : FetchOutcome::Failed;
}

/// One node that is behind.
class Simulation {
public:
    Simulation(std::size_t nodes, bool isPlatformAvailable, std::vector<SimulatedSource> sources, std::uint64_t seed)
        : nodes_(nodes)
        , isPlatformAvailable_(isPlatformAvailable)
        , simulated_(std::move(sources))
        , random_(seed)
        , sources_(ownDataCentre, std::uniform_real_distribution<double>(0, 1)(random_), health_)
    {
    }

    SimulationResult run(milliseconds duration)
    {
        for (milliseconds elapsed {}; elapsed <= duration && !result_.fetchedAfter_; elapsed += step)
            advance(elapsed);
        return result_;
    }

private:
    void advance(milliseconds elapsed)
    {
        SteadyTime now = start + elapsed;
        endAttempts(now, elapsed);
        if (platformReadEndsAt_ && *platformReadEndsAt_ <= now) {
            platformReadEndsAt_.reset();
            if (isPlatformAvailable_)
                result_.fetchedAfter_ = elapsed;
            sources_.notePlatformReadEnded(milliseconds(500), nodes_, now);
        }
        if (result_.fetchedAfter_)
            return;
        std::vector<ConfigurationSource> newer;
        for (const SimulatedSource& source : simulated_) {
            if (source.reportedAt_ <= elapsed)
                newer.push_back(source.source_);
        }
        FetchDecision decision = sources_.next(newer, elapsed, nodes_, now, random_());
        if (decision.source_)
            startAttempt(*decision.source_, now);
        if (decision.readsPlatform_) {
            sources_.notePlatformReadStarted();
            platformReadEndsAt_ = now + (isPlatformAvailable_ ? answerTime : milliseconds(800));
            result_.platformReads_.push_back(elapsed);
        }
    }

    void startAttempt(const VmId& vm, SteadyTime now)
    {
        auto found = std::find_if(simulated_.begin(), simulated_.end(), [&](const SimulatedSource& source) { return source.source_.vm_ == vm; });
        REQUIRE(found != simulated_.end());
        running_.push_back({ &*found, now + durationOf(found->behaviour_) });
        result_.maxAttempts_ = std::max(result_.maxAttempts_, running_.size());
        sources_.noteStarted(found->source_, now);
    }

    void endAttempts(SteadyTime now, milliseconds elapsed)
    {
        for (const RunningAttempt& attempt : std::exchange(running_, {})) {
            if (attempt.endsAt_ > now) {
                running_.push_back(attempt);
                if (attempt.source_->behaviour_ == Behaviour::Slow)
                    sources_.noteProgress(attempt.source_->source_.vm_, 500);
                continue;
            }
            sources_.noteEnded(attempt.source_->source_.vm_, outcomeOf(attempt.source_->behaviour_), milliseconds(250), now);
            if (attempt.source_->behaviour_ == Behaviour::Healthy)
                result_.fetchedAfter_ = elapsed;
        }
    }

    std::size_t nodes_;
    bool isPlatformAvailable_;
    std::vector<SimulatedSource> simulated_;
    std::mt19937_64 random_;
    SourceHealth health_;
    ConfigurationSources sources_;
    std::vector<RunningAttempt> running_;
    std::optional<SteadyTime> platformReadEndsAt_;
    SimulationResult result_;
};

struct Fault {
    std::string name_;
    Behaviour behaviour_;
    /// Number of sources that fail in this node's data centre and in others.
    std::size_t local_;
    std::size_t remote_;
    /// Number of healthy sources.
    std::size_t healthyLocal_;
    std::size_t healthyRemote_;
};

std::vector<SimulatedSource> sourcesOf(const Fault& fault, std::mt19937_64& random)
{
    std::vector<SimulatedSource> sources;
    auto add = [&](std::size_t count, const char* dataCentre, Behaviour behaviour) {
        for (std::size_t i = 0; i < count; ++i) {
            // Nodes that fail report first, which is worst.
            auto reportedAt = behaviour == Behaviour::Healthy ? milliseconds(random() % static_cast<std::uint64_t>(reportPeriod.count())) : milliseconds(0);
            sources.push_back({ { { "node-" + std::to_string(sources.size()) }, { dataCentre } }, behaviour, reportedAt });
        }
    };
    add(fault.local_, "a", fault.behaviour_);
    add(fault.remote_, "b", fault.behaviour_);
    add(fault.healthyLocal_, "a", Behaviour::Healthy);
    add(fault.healthyRemote_, "c", Behaviour::Healthy);
    return sources;
}

} // namespace

TEST_CASE("a node has the configuration in time, whichever sources fail and how", "[sources]")
{
    auto nodes = GENERATE(9U, 63U, 195U, 985U);
    auto behaviour = GENERATE(Behaviour::Refuses, Behaviour::Silent, Behaviour::Unreachable, Behaviour::Slow);
    auto fault = GENERATE_COPY(values<Fault>({
        { "one of another data centre", behaviour, 0, 1, 1, 1 },
        { "the own reader", behaviour, 1, 0, 0, 2 },
        { "three of another data centre", behaviour, 0, 3, 1, 1 },
        { "the own reader and one elsewhere", behaviour, 1, 1, 0, 1 },
        { "most of the first sources", behaviour, 2, 2, 1, 1 },
    }));
    INFO(nodes << " nodes, behaviour " << static_cast<int>(behaviour) << ", " << fault.name_);
    std::mt19937_64 random(1);
    milliseconds worst {};
    std::size_t attempts = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        auto result = Simulation(nodes, true, sourcesOf(fault, random), seed).run(milliseconds(10000));
        REQUIRE(result.fetchedAfter_);
        worst = std::max(worst, *result.fetchedAfter_);
        attempts = std::max(attempts, result.maxAttempts_);
    }
    CHECK(worst <= maxFetchDelay);
    CHECK(attempts <= maxFetchAttempts);
}

TEST_CASE("a small fleet reads the platform in time if all peers that report a version fail", "[sources]")
{
    auto behaviour = GENERATE(Behaviour::Refuses, Behaviour::Silent, Behaviour::Unreachable, Behaviour::Slow);
    auto peers = GENERATE(1U, 2U, 4U);
    Fault fault { "all", behaviour, 1, peers - 1, 0, 0 };
    std::mt19937_64 random(1);
    auto result = Simulation(9, true, sourcesOf(fault, random), 1).run(milliseconds(10000));
    REQUIRE(result.fetchedAfter_);
    CHECK(*result.fetchedAfter_ <= maxFetchDelay);
    CHECK(result.platformReads_.size() == 1);
}

TEST_CASE("nodes whose sources are busy do not read the platform", "[sources]")
{
    auto nodes = GENERATE(9U, 195U, 985U);
    Fault fault { "all", Behaviour::Busy, 3, 3, 0, 0 };
    std::mt19937_64 random(1);
    auto result = Simulation(nodes, true, sourcesOf(fault, random), 1).run(milliseconds(3000));
    CHECK(result.platformReads_.empty());
    CHECK_FALSE(result.fetchedAfter_);
}

TEST_CASE("the calls of a fleet in which all nodes are behind do not grow with its size", "[sources]")
{
    auto nodes = GENERATE(100U, 985U, 2000U);
    constexpr int seconds = 30;
    Fault fault { "all", Behaviour::Silent, 2, 2, 0, 0 };
    std::mt19937_64 random(1);
    std::map<std::int64_t, std::size_t> readsOfSecond;
    for (std::uint64_t node = 0; node < nodes; ++node) {
        auto result = Simulation(nodes, false, sourcesOf(fault, random), node).run(milliseconds(1000 * seconds));
        for (milliseconds at : result.platformReads_)
            ++readsOfSecond[at.count() / 1000];
    }
    // One call in each firstReadInterval, with a margin for chance.
    auto expected = static_cast<std::size_t>(milliseconds(1000) / firstReadInterval);
    for (const auto& [second, reads] : readsOfSecond) {
        INFO(nodes << " nodes, second " << second);
        CHECK(reads <= expected + expected / 2);
    }
}

TEST_CASE("an attempt that receives the configuration at a sufficient rate has no other beside it", "[sources]")
{
    SourceHealth health;
    ConfigurationSources sources(ownDataCentre, 0, health);
    std::vector<ConfigurationSource> newer { { { "a" }, ownDataCentre }, { { "b" }, ownDataCentre } };
    auto first = sources.next(newer, milliseconds(0), 9, start, 0).source_;
    REQUIRE(first);
    sources.noteStarted({ *first, ownDataCentre }, start);
    for (milliseconds elapsed {}; elapsed < maxFetchTime; elapsed += step) {
        sources.noteProgress(*first, minFetchRate * static_cast<std::uint64_t>(elapsed.count()));
        CHECK_FALSE(sources.next(newer, elapsed, 9, start + elapsed, 0).source_);
    }
    CHECK(sources.next(newer, maxFetchTime, 9, start + maxFetchTime, 0).source_);
}

TEST_CASE("the first attempt prefers the own data centre, and one beside it another data centre", "[sources]")
{
    SourceHealth health;
    ConfigurationSources sources(ownDataCentre, 0, health);
    std::vector<ConfigurationSource> newer { { { "near-1" }, ownDataCentre }, { { "near-2" }, ownDataCentre }, { { "far" }, { "b" } } };
    auto draw = GENERATE(0U, 1U, 2U);
    auto first = sources.next(newer, milliseconds(0), 9, start, draw).source_;
    REQUIRE(first);
    CHECK(first->value_.starts_with("near"));
    sources.noteStarted({ *first, ownDataCentre }, start);
    auto second = sources.next(newer, slowFetchTime, 9, start + slowFetchTime, draw).source_;
    REQUIRE(second);
    CHECK(second->value_ == "far");
}
