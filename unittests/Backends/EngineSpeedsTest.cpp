//===- unittests/Backends/EngineSpeedsTest.cpp - engines of uneven speed ---===//
///
/// \file
/// Tests how the nodes find slow engines together. The replay is of a played day: 85 nodes before
/// 60 engines, 20 of which are 2.4 times slower. Each node alone sees too little of any engine.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Backends.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <memory>
#include <queue>
#include <random>
#include <sstream>

using namespace pistachioloom;

namespace {

const SteadyTime start { milliseconds(1000000) };
const ServiceName service { "s" };
constexpr double prefillPerMs = 38;

using Loads = std::map<BackendKey, BackendLoad>;

ChoiceSettings sharedSpeeds()
{
    ChoiceSettings settings;
    settings.sharesEngineSpeeds_ = true;
    return settings;
}

BackendId engineId(std::size_t index) { return { "e" + std::to_string(index) }; }

BackendRecord record(std::size_t index)
{
    return { engineId(index), service, { "10.0.0.1", 80 }, { "a" }, 64, false, false, { engineId(index).value_ }, {} };
}

RequestShape engineRequest(std::uint64_t tokens, std::vector<PromptPart> parts = {})
{
    RequestShape shape;
    shape.service_ = service;
    shape.promptTokens_ = { tokens };
    shape.parts_ = std::move(parts);
    shape.isForEngine_ = true;
    return shape;
}

/// Returns the samples that a node learns of through a report of \p samples.
WaitSamples reported(const WaitSamples& samples)
{
    BackendLoad load;
    samples.putInto(load);
    WaitSamples received;
    received.addReported(load);
    return received;
}

/// An engine that reads prompts one after the other and keeps the shared parts it has read.
struct Engine {
    double slowdown_ = 1;
    SteadyTime freeAt_ = start;
    std::set<std::string> readParts_;
};

struct ReplaySettings {
    std::uint64_t seed_ = 1;
    std::size_t engines_ = 60;
    std::size_t slowEngines_ = 20;
    double slowFactor_ = 2.4;
    /// Whether reports contain the samples of waits.
    bool hasSamples_ = true;
    /// Whether prompts share parts. Otherwise they consist of the tokens that are not shared.
    bool hasSharedParts_ = true;
    /// Objective of the requests' route; 0 if there is none.
    milliseconds objective_ {};
};

/// Tokens of the shared part of a drawn request; a multiple of 30, see drawTokens().
constexpr std::uint64_t drawnShared = 9990;

/// The engines' loads of one draw, and the choice for a request whose part one engine has read.
struct DrawnLoads {
    std::size_t engines_ = 0;
    bool sharesSpeeds_ = true;
    Loads first_;
    Loads second_;

    DrawnLoads(std::size_t engines, std::mt19937_64& random)
        : engines_(engines)
    {
        for (std::size_t i = 0; i < engines_; ++i) {
            first_[keyOf(engineId(i))] = { 2, drawTokens(60000, i, random) };
            second_[keyOf(engineId(i))] = { 2, drawTokens(90000, i, random) };
        }
    }

    /// Draws a queue of about up to \p limit tokens. No two engines have the same, also if the shared
    /// part is added: of engines with equal estimates a random one is chosen.
    static std::uint64_t drawTokens(std::uint64_t limit, std::size_t engine, std::mt19937_64& random) { return random() % (limit / 30) * 30 + engine; }

    /// Gives a quarter of the engines samples of waits that are three times as long.
    void addSamples()
    {
        for (std::size_t i = 0; i < engines_; ++i) {
            for (Loads* loads : { &first_, &second_ }) {
                BackendLoad& load = (*loads)[keyOf(engineId(i))];
                load.waitSamples_ = 2000;
                load.waitRatios_ = 4 * i < engines_ ? 60000 : 20000;
            }
        }
    }

    BackendChoice choose(const RequestShape& shape) const
    {
        ChoiceSettings settings;
        settings.sharesEngineSpeeds_ = sharesSpeeds_;
        // All engines are compared, so that the choice does not depend on a random sample.
        settings.sampleSize_ = engines_;
        BackendTable table({ "a" }, settings);
        for (std::size_t i = 0; i < engines_; ++i)
            table.put(record(i));
        table.setPeerLoads({ "peer" }, first_, start);
        RequestShape earlier = shape;
        earlier.objective_ = {};
        auto choice = table.choose(earlier, {}, start);
        REQUIRE(choice);
        table.end(choice->backend_.id_, { BackendOutcome::Abandoned, choice->uncachedTokens_, false, {} }, start);
        table.setPeerLoads({ "peer" }, second_, start);
        choice = table.choose(shape, {}, start);
        REQUIRE(choice);
        return *choice;
    }
};

/// Plays requests at many nodes against engines. Nodes learn of each other's loads 0.2 to 0.4 s late.
class Replay {
public:
    explicit Replay(const ReplaySettings& settings)
        : settings_(settings)
        , random_(settings.seed_)
        , engines_(settings.engines_)
    {
        for (std::size_t i = 0; i < settings_.slowEngines_; ++i)
            engines_[i].slowdown_ = settings_.slowFactor_;
        // The engines know the prompt parts from earlier requests.
        restartNodes();
        run(milliseconds(settings_.hasSharedParts_ ? 30000 : 1000));
        restartNodes();
        reportsSamples_ = settings_.hasSamples_;
    }

    void run(milliseconds length)
    {
        for (SteadyTime until = now_ + length; now_ < until; now_ += milliseconds(1)) {
            if ((now_ - start) % reportInterval == milliseconds(0))
                exchangeReports();
            for (; !events_.empty() && events_.top().at_ <= now_; events_.pop())
                finish(events_.top());
            for (int count = std::poisson_distribution<int>(requestsPerSecond / 1000)(random_); count > 0; --count)
                send();
        }
    }

    /// Returns the share of pairs of a node and a slow engine in which the node's next choice takes
    /// the engine as slow.
    double knownShare() const
    {
        double known = 0;
        for (const auto& table : tables_) {
            // Slowdowns are computed at a choice, and a node has one each 0.2 s at the mean.
            auto choice = table->choose(engineRequest(1), {}, now_);
            REQUIRE(choice);
            table->end(choice->backend_.id_, { BackendOutcome::Abandoned, choice->uncachedTokens_, false, {} }, now_);
            for (std::size_t i = 0; i < settings_.slowEngines_; ++i)
                known += table->slowdownOf(engineId(i)).value_or(1) > 1;
        }
        return known / static_cast<double>(nodes * settings_.slowEngines_);
    }

    double shareAtSlow() const { return static_cast<double>(longAtSlow_) / static_cast<double>(longRequests_); }
    double shareReadAgain() const { return tokensReadAgain_ / promptTokens_; }

    std::string summary() const
    {
        std::ostringstream text;
        text << "known " << knownShare() << ", long requests at slow engines " << shareAtSlow() << ", tokens read again " << shareReadAgain()
             << ", mean wait " << waitedMs_ / static_cast<double>(requests_) << " ms, longest queue " << longestQueue_.count() << " ms, "
             << atLongQueues_ << " of " << requests_ << " requests at queues of more than " << longQueue.count() << " ms";
        return text.str();
    }

    std::size_t longRequests_ = 0;
    std::size_t longAtSlow_ = 0;
    double promptTokens_ = 0;
    /// Tokens of shared parts that an engine read although another one had them.
    double tokensReadAgain_ = 0;
    std::size_t requests_ = 0;
    double waitedMs_ = 0;
    /// Longest time for which a prompt waited for others to be read.
    milliseconds longestQueue_ {};
    /// Requests that met a queue of more than longQueue.
    std::size_t atLongQueues_ = 0;
    static constexpr milliseconds longQueue { 1250 };

private:
    static constexpr std::size_t nodes = 85;
    static constexpr double requestsPerSecond = 436;
    static constexpr milliseconds reportInterval { 200 };
    static constexpr std::size_t longPrompt = 20000;

    struct Event {
        SteadyTime at_;
        bool isEnd_ = false;
        std::size_t node_ = 0;
        RequestShape shape_;
        BackendChoice choice_;
        SteadyTime sentAt_ {};

        bool operator<(const Event& other) const { return at_ > other.at_; }
    };

    /// Replaces all nodes by new ones, which know nothing, and counts from here on.
    void restartNodes()
    {
        ChoiceSettings choice = sharedSpeeds();
        choice.prefillPerMs_ = prefillPerMs;
        tables_.clear();
        for (std::size_t node = 0; node < nodes; ++node) {
            tables_.push_back(std::make_unique<BackendTable>(DataCentreId { "a" }, choice));
            for (std::size_t i = 0; i < settings_.engines_; ++i)
                tables_.back()->put(record(i));
        }
        own_.assign(nodes, {});
        events_ = {};
        longRequests_ = longAtSlow_ = requests_ = 0;
        promptTokens_ = tokensReadAgain_ = waitedMs_ = 0;
        longestQueue_ = {};
        atLongQueues_ = 0;
    }

    /// Long prompts share most of their tokens with others about the same subject.
    RequestShape drawRequest()
    {
        struct Kind {
            std::uint64_t tokens_;
            std::uint64_t shared_;
        };
        static constexpr std::array<Kind, 3> kinds { { { 24000, 18000 }, { 12000, 10000 }, { 2400, 1500 } } };
        std::size_t kind = std::discrete_distribution<std::size_t>({ 5, 20, 75 })(random_);
        if (!settings_.hasSharedParts_)
            return engineRequest(kinds[kind].tokens_ - kinds[kind].shared_);
        auto subject = static_cast<std::size_t>(std::exponential_distribution<double>(1.0 / 20)(random_));
        std::string part = std::to_string(kind) + "/" + std::to_string(subject);
        return engineRequest(kinds[kind].tokens_, { { part, { kinds[kind].shared_ } }, { "own", { kinds[kind].tokens_ - kinds[kind].shared_ } } });
    }

    /// Returns the tokens that \p engine has to read, and notes that it has the shared part from now on.
    std::uint64_t readPrompt(Engine& engine, const RequestShape& shape)
    {
        if (shape.parts_.empty())
            return shape.promptTokens_.value_;
        const PromptPart& part = shape.parts_.front();
        if (!engine.readParts_.insert(part.id_).second)
            return shape.promptTokens_.value_ - part.tokens_.value_;
        if (!readParts_.insert(part.id_).second)
            tokensReadAgain_ += static_cast<double>(part.tokens_.value_);
        return shape.promptTokens_.value_;
    }

    void send()
    {
        std::size_t node = random_() % nodes;
        RequestShape shape = drawRequest();
        shape.objective_ = settings_.objective_;
        auto choice = tables_[node]->choose(shape, {}, now_);
        REQUIRE(choice);
        auto index = static_cast<std::size_t>(std::stoul(choice->backend_.id_.value_.substr(1)));
        Engine& engine = engines_[index];
        std::uint64_t read = readPrompt(engine, shape);
        if (shape.promptTokens_.value_ > longPrompt) {
            ++longRequests_;
            longAtSlow_ += engine.slowdown_ > 1;
        }
        promptTokens_ += static_cast<double>(shape.promptTokens_.value_);
        auto queue = std::chrono::duration_cast<milliseconds>(engine.freeAt_ - now_);
        longestQueue_ = std::max(longestQueue_, queue);
        atLongQueues_ += queue > longQueue;
        double noise = std::lognormal_distribution<double>(0, 0.3)(random_);
        double readMs = static_cast<double>(read) / prefillPerMs * engine.slowdown_;
        engine.freeAt_ = std::max(engine.freeAt_, now_) + milliseconds(std::lround(readMs));
        SteadyTime firstByteAt = engine.freeAt_ + milliseconds(std::lround(25 * engine.slowdown_ * noise));
        ++requests_;
        waitedMs_ += static_cast<double>(std::chrono::duration_cast<milliseconds>(firstByteAt - now_).count());
        events_.push({ firstByteAt, false, node, shape, *choice, now_ });
    }

    void finish(Event event)
    {
        BackendTable& table = *tables_[event.node_];
        if (event.isEnd_) {
            table.end(event.choice_.backend_.id_, { BackendOutcome::Served, event.choice_.uncachedTokens_, true, milliseconds(500) }, now_);
            return;
        }
        table.noteFirstByte(event.choice_, event.shape_, std::chrono::duration_cast<milliseconds>(event.at_ - event.sentAt_), now_);
        event.at_ += milliseconds(500);
        event.isEnd_ = true;
        events_.push(std::move(event));
    }

    /// Gives each node what the others reported one interval ago.
    void exchangeReports()
    {
        Loads total;
        for (const Loads& loads : own_) {
            for (const auto& [engine, load] : loads)
                add(total[engine], load, 1);
        }
        for (std::size_t node = 0; node < nodes; ++node) {
            Loads others = total;
            for (const auto& [engine, load] : own_[node])
                add(others[engine], load, -1);
            tables_[node]->setPeerLoads({ "relay" }, std::move(others), now_);
            own_[node] = tables_[node]->ownLoads(now_);
        }
    }

    void add(BackendLoad& sum, const BackendLoad& load, int sign) const
    {
        auto factor = static_cast<std::uint32_t>(sign);
        sum.running_ += factor * load.running_;
        sum.queuedTokens_ += static_cast<std::uint64_t>(static_cast<std::int64_t>(sign)) * load.queuedTokens_;
        if (!reportsSamples_)
            return;
        sum.waitSamples_ += factor * load.waitSamples_;
        sum.waitRatios_ += factor * load.waitRatios_;
    }

    ReplaySettings settings_;
    bool reportsSamples_ = false;
    SteadyTime now_ = start;
    std::mt19937_64 random_;
    std::vector<Engine> engines_;
    std::vector<std::unique_ptr<BackendTable>> tables_;
    /// What each node reported last.
    std::vector<Loads> own_;
    std::priority_queue<Event> events_;
    std::set<std::string> readParts_;
};

} // namespace

TEST_CASE("counts and sums of samples decay together and travel as integers", "[speeds]")
{
    WaitSamples samples;
    for (int i = 0; i < 4; ++i)
        samples.observe(2, start);
    // One stalled answer must not decide the mean.
    samples.observe(1000, start);
    CHECK(samples.count_ == Approx(5));
    CHECK(samples.ratioSum_ == Approx(16));
    WaitSamples later = samples.at(start + milliseconds(10000));
    CHECK(later.count_ == Approx(2.5));
    CHECK(later.ratioSum_ == Approx(8));
    BackendLoad load;
    later.putInto(load);
    CHECK(load.waitSamples_ == 250);
    CHECK(load.waitRatios_ == 8000);
    CHECK(reported(later).ratioSum_ == Approx(8));
    // A node must not report each engine that it used once for minutes.
    samples.at(start + milliseconds(70000)).putInto(load);
    CHECK(load.waitSamples_ == 0);
    CHECK(load.waitRatios_ == 0);
}

TEST_CASE("an engine is slow only by enough samples of enough engines", "[speeds]")
{
    struct Row {
        const char* name_;
        double samples_;
        double ratio_;
        std::size_t others_;
        std::optional<double> slowdown_;
    };
    auto row = GENERATE(values<Row>({
        { "slow", 8, 2.4, 4, 3 },
        { "at the threshold", 8, 1.28, 4, 1 },
        { "above the threshold", 8, 1.29, 4, 1.6125 },
        { "faster than others", 8, 0.4, 4, 1 },
        { "too few samples", 7.9, 2.4, 6, std::nullopt },
        { "too few engines", 100, 2.4, 3, std::nullopt },
    }));
    CAPTURE(row.name_);
    WaitSamples examined { row.samples_, row.samples_ * row.ratio_, start };
    std::vector<WaitSamples> engines(row.others_, WaitSamples { 20, 16, start });
    engines.push_back(examined);
    // An engine with too few samples does not change the median.
    engines.push_back({ 7, 700, start });
    auto slowdown = EngineSpeeds(engines).slowdownOf(examined);
    REQUIRE(slowdown.has_value() == row.slowdown_.has_value());
    CHECK(slowdown.value_or(0) == Approx(row.slowdown_.value_or(0)));
}

TEST_CASE("engines that are 1.3 times slower do not count as slow", "[speeds]")
{
    // By chance some of 60 engines get a higher mean than the others.
    std::mt19937_64 random { 2 };
    std::lognormal_distribution<double> noise(0, 0.3);
    // 436 requests a second at 60 engines, of which 10 / ln 2 = 14.4 s are remembered.
    std::poisson_distribution<int> sampleCount(436 * 14.4 / 60);
    std::size_t slow = 0;
    for (int draw = 0; draw < 1000; ++draw) {
        std::vector<WaitSamples> engines(60);
        for (std::size_t i = 0; i < engines.size(); ++i) {
            for (int sample = sampleCount(random); sample > 0; --sample)
                engines[i].observe((i < 20 ? 1.3 : 1) * noise(random), start);
        }
        EngineSpeeds speeds(engines);
        for (const WaitSamples& samples : engines)
            slow += speeds.slowdownOf(samples) != 1;
    }
    CHECK(slow == 0);
}

TEST_CASE("a slow engine gets a share of prompt parts in proportion to its speed", "[speeds]")
{
    constexpr std::size_t engines = 30;
    BackendTable table({ "a" }, sharedSpeeds());
    Loads loads;
    for (std::size_t i = 0; i < engines; ++i) {
        table.put(record(i));
        loads[keyOf(engineId(i))] = { 0, 0, 2000, i ? 20000U : 60000U };
    }
    BackendTable equal({ "a" }, sharedSpeeds());
    for (std::size_t i = 0; i < engines; ++i)
        equal.put(record(i));
    table.setPeerLoads({ "peer" }, loads, start);
    constexpr int parts = 8000;
    int atSlow = 0;
    for (int i = 0; i < parts; ++i) {
        // Without load the engine with the part is chosen, since reading takes 0.2 s elsewhere.
        RequestShape shape = engineRequest(10000, { { std::to_string(i), { 9990 } }, { "own", { 10 } } });
        auto send = [&](BackendTable& at) {
            auto choice = at.choose(shape, {}, start);
            REQUIRE(choice);
            at.end(choice->backend_.id_, { BackendOutcome::Abandoned, choice->uncachedTokens_, false, {} }, start);
            return choice->backend_.id_;
        };
        BackendId chosen = send(table);
        BackendId before = send(equal);
        // Parts leave only the slow engine.
        CHECK((chosen == before || before == engineId(0)));
        atSlow += chosen == engineId(0);
    }
    CHECK(table.slowdownOf(engineId(0)).value_or(0) == Approx(3));
    CHECK(table.slowdownOf(engineId(1)).value_or(0) == Approx(1));
    // Its share is (1 / 3) / (29 + 1 / 3) = 1 / 88; the standard deviation is 9.5.
    CHECK(atSlow == Approx(parts / 88.0).margin(48));
}

TEST_CASE("a node without reports judges engines by its own observations", "[speeds]")
{
    BackendTable table({ "a" }, sharedSpeeds());
    for (std::size_t i = 0; i < 30; ++i)
        table.put(record(i));
    Loads loads;
    for (std::size_t i = 0; i < 30; ++i)
        loads[keyOf(engineId(i))] = { 0, 0, 2000, i ? 20000U : 60000U };
    table.setPeerLoads({ "peer" }, loads, start);
    (void)table.choose(engineRequest(100), {}, start);
    CHECK(table.slowdownOf(engineId(0)).has_value());
    // The reports have ended. Speeds that nobody confirms must not stay for ever.
    SteadyTime later = start + milliseconds(2000);
    (void)table.choose(engineRequest(100), {}, later);
    CHECK_FALSE(table.slowdownOf(engineId(0)).has_value());
}

TEST_CASE("slow engines become known at all nodes within 3 s", "[.][engine-aims]")
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        CAPTURE(seed);
        // Prompts without shared parts go to all engines equally.
        Replay replay(ReplaySettings { .seed_ = seed, .hasSharedParts_ = false });
        replay.run(milliseconds(3000));
        CHECK(replay.knownShare() >= 0.9);
    }
    // Without the samples of others no node knows any.
    Replay without(ReplaySettings { .hasSamples_ = false, .hasSharedParts_ = false });
    without.run(milliseconds(3000));
    CHECK(without.knownShare() == 0);
}

TEST_CASE("slow engines get fewer long prompts", "[speeds]")
{
    Replay before(ReplaySettings { .hasSamples_ = false });
    Replay after(ReplaySettings {});
    before.run(milliseconds(30000));
    after.run(milliseconds(30000));
    INFO("without samples: " << before.summary());
    INFO("with samples: " << after.summary());
    CHECK(after.shareAtSlow() < 0.75 * before.shareAtSlow());
}

TEST_CASE("the objective changes no choice of a route with a short objective or in a small service", "[speeds]")
{
    struct Row {
        std::size_t engines_;
        milliseconds objective_;
    };
    auto row = GENERATE(values<Row>({ { 30, milliseconds(1000) }, { 30, milliseconds(500) }, { 24, milliseconds(2500) } }));
    CAPTURE(row.engines_, row.objective_.count());
    std::mt19937_64 random { 3 };
    std::size_t changed = 0;
    for (int draw = 0; draw < 10000; ++draw) {
        DrawnLoads loads(row.engines_, random);
        RequestShape shape = engineRequest(12000, { { std::to_string(draw), { drawnShared } }, { "own", { 12000 - drawnShared } } });
        BackendChoice before = loads.choose(shape);
        shape.objective_ = row.objective_;
        BackendChoice after = loads.choose(shape);
        changed += before.backend_.id_ != after.backend_.id_ || before.estimate_ != after.estimate_;
    }
    CHECK(changed == 0);
}

// Guards against samples that decide by default, or in services in which each node sees enough.
TEST_CASE("samples of other nodes change choices only if shared, and only beyond the sampling threshold", "[speeds]")
{
    struct Row {
        std::size_t engines_;
        bool sharesSpeeds_;
        bool hasChanges_;
    };
    auto row = GENERATE(values<Row>({ { 6, true, false }, { 24, true, false }, { 25, true, true }, { 25, false, false }, { 30, false, false } }));
    CAPTURE(row.engines_, row.sharesSpeeds_);
    std::mt19937_64 random { 5 };
    std::size_t changed = 0;
    for (int draw = 0; draw < 10000; ++draw) {
        DrawnLoads loads(row.engines_, random);
        loads.sharesSpeeds_ = row.sharesSpeeds_;
        RequestShape shape = engineRequest(12000, { { std::to_string(draw), { drawnShared } }, { "own", { 12000 - drawnShared } } });
        BackendChoice before = loads.choose(shape);
        loads.addSamples();
        BackendChoice after = loads.choose(shape);
        changed += before.backend_.id_ != after.backend_.id_ || before.estimate_ != after.estimate_;
    }
    CHECK((changed > 0) == row.hasChanges_);
}

TEST_CASE("an engine that has read the part is preferred within half of the objective", "[speeds]")
{
    std::mt19937_64 random { 4 };
    constexpr milliseconds objective { 2500 };
    std::size_t readBefore = 0;
    std::size_t readAfter = 0;
    for (int draw = 0; draw < 2000; ++draw) {
        DrawnLoads loads(30, random);
        RequestShape shape = engineRequest(12000, { { std::to_string(draw), { drawnShared } }, { "own", { 12000 - drawnShared } } });
        BackendChoice before = loads.choose(shape);
        shape.objective_ = objective;
        BackendChoice after = loads.choose(shape);
        readBefore += before.uncachedTokens_ == shape.promptTokens_;
        readAfter += after.uncachedTokens_ == shape.promptTokens_;
        if (before.backend_.id_ == after.backend_.id_)
            continue;
        // Reading takes 199.8 ms, and counts three times. Estimates are cut to whole milliseconds.
        CHECK(after.uncachedTokens_ != shape.promptTokens_);
        CHECK(after.estimate_ <= objective / 2);
        CHECK(after.estimate_ <= before.estimate_ + milliseconds(2 * drawnShared / 50 + 1));
    }
    CAPTURE(readBefore, readAfter);
    CHECK(4 * readAfter < 3 * readBefore);
}

TEST_CASE("prompts stay where their parts were read, and no more of them meet queues beyond half of the objective", "[speeds]")
{
    Replay before(ReplaySettings {});
    Replay after(ReplaySettings { .objective_ = 2 * Replay::longQueue });
    before.run(milliseconds(30000));
    after.run(milliseconds(30000));
    INFO("without preference: " << before.summary());
    INFO("with preference: " << after.summary());
    CHECK(after.shareReadAgain() < 0.6 * before.shareReadAgain());
    CHECK(after.atLongQueues_ <= before.atLongQueues_);
}
