//===- unittests/Quota/QuotaPriorityTest.cpp - classes of a quota ----------===//
///
/// \file
/// Replays an organisation that requests several times its quota for seconds, half of it in long
/// and deferrable requests, over 60 nodes whose counts are 0.3 s late.
//===----------------------------------------------------------------------===//
#include "QuotaNodes.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

constexpr std::size_t nodeCount = 60;
constexpr milliseconds countsLag { 300 };
constexpr milliseconds reportInterval { 200 };
constexpr milliseconds minPause { 20 };
const QuotaLimit tokens { 1000000, 1000000 };

/// One of the two kinds of requests, and how long callers retry them.
struct Kind {
    double cost_;
    QuotaClass class_;
    milliseconds timeout_;
};
constexpr Kind longKind { 12000, QuotaClass::Deferrable, milliseconds(15000) };
constexpr Kind shortKind { 2400, QuotaClass::Normal, milliseconds(4000) };

/// What became of the requests that arrived in the burst.
struct Tally {
    int requests_ = 0;
    int admitted_ = 0;
    int retries_ = 0;
    int refusedRetries_ = 0;

    double admittedShare() const { return static_cast<double>(admitted_) / requests_; }
    double refusedShare() const { return static_cast<double>(refusedRetries_) / retries_; }
};

std::ostream& operator<<(std::ostream& out, const Tally& tally)
{
    return out << tally.requests_ << " requests, " << tally.admittedShare() << " admitted; " << tally.retries_ << " retries, " << tally.refusedShare() << " refused";
}

struct Attempt {
    const Kind* kind_;
    SteadyTime arrivedAt_;
    bool isInBurst_;
    bool isRetry_;
};

/// All decisions of a replay.
struct Decisions {
    int admitted_ = 0;
    int refused_ = 0;
    /// The sum of the delays after which callers were told to return.
    milliseconds delays_ {};

    bool operator==(const Decisions&) const = default;
};

struct ReplayOptions {
    /// Whether long requests are deferrable.
    bool hasClasses_ = false;
    /// Whether callers retry what was refused.
    bool hasRetries_ = false;
    /// Whether returnDelay() tells callers when to retry.
    bool hasReturnDelay_ = false;
};

/// The requests of one organisation over all nodes.
class Replay {
public:
    explicit Replay(ReplayOptions options, unsigned seed = 1)
        : options_(options)
        , random_(seed)
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            QuotaSettings settings;
            settings.phase_ = static_cast<double>(i) / nodeCount;
            limiters_.push_back(std::make_unique<QuotaLimiter>(start, settings));
        }
    }

    /// Sends \p perSecond tokens, \p longShare of them in long requests.
    void run(SteadyTime from, milliseconds duration, double perSecond, bool isBurst = false, double longShare = 0.5)
    {
        for (SteadyTime now = from; now < from + duration; now += milliseconds(1)) {
            if ((now - start) % reportInterval == milliseconds(0))
                exchange(now);
            arrive(longKind, perSecond * longShare, isBurst, now);
            arrive(shortKind, perSecond * (1 - longShare), isBurst, now);
            while (!retries_.empty() && retries_.begin()->first <= now) {
                Attempt attempt = retries_.begin()->second;
                retries_.erase(retries_.begin());
                send(attempt, now);
            }
        }
    }

    const Tally& tally(const Kind& kind) { return tallies_[&kind]; }
    const Decisions& decisions() const { return decisions_; }

    double maxAdmitted(milliseconds length) const
    {
        double sum = 0;
        double most = 0;
        auto oldest = admitted_.begin();
        for (const auto& [at, cost] : admitted_) {
            sum += cost;
            for (; at - oldest->first > length; ++oldest)
                sum -= oldest->second;
            most = std::max(most, sum);
        }
        return most;
    }

    double admittedSince(SteadyTime from) const
    {
        double sum = 0;
        for (const auto& [at, cost] : admitted_)
            sum += at >= from ? cost : 0;
        return sum;
    }

private:
    double draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

    void arrive(const Kind& kind, double tokensPerSecond, bool isBurst, SteadyTime now)
    {
        if (draw() >= tokensPerSecond / kind.cost_ / 1000)
            return;
        tallies_[&kind].requests_ += isBurst;
        send({ &kind, now, isBurst, false }, now);
    }

    void send(Attempt attempt, SteadyTime now)
    {
        const Kind& kind = *attempt.kind_;
        QuotaLimiter& limiter = *limiters_[random_() % nodeCount];
        auto refusal = limiter.take(north, tokens, kind.cost_, now, options_.hasClasses_ ? kind.class_ : QuotaClass::Normal);
        Tally& tally = tallies_[&kind];
        tally.retries_ += attempt.isRetry_ && attempt.isInBurst_;
        if (!refusal) {
            tally.admitted_ += attempt.isInBurst_;
            ++decisions_.admitted_;
            admitted_.emplace_back(now, kind.cost_);
            return;
        }
        tally.refusedRetries_ += attempt.isRetry_ && attempt.isInBurst_;
        auto left = std::chrono::duration_cast<milliseconds>(attempt.arrivedAt_ + kind.timeout_ - now);
        milliseconds wait = options_.hasReturnDelay_ ? returnDelay(*refusal, left, draw()) : refusal->retryAfter_;
        ++decisions_.refused_;
        decisions_.delays_ += wait;
        // Callers wait for at most a third of their time, and do not retry at once.
        wait = std::max(std::min(wait, left / 3), minPause);
        attempt.isRetry_ = true;
        if (options_.hasRetries_ && wait < left)
            retries_.emplace(now + wait, attempt);
    }

    void exchange(SteadyTime now)
    {
        std::vector<double> counts;
        double all = 0;
        for (const auto& limiter : limiters_)
            counts.push_back(limiter->admitted()[north]);
        reports_.emplace_back(now, counts);
        while (reports_.size() > 1 && reports_[1].first + countsLag <= now)
            reports_.pop_front();
        for (double count : reports_.front().second)
            all += count;
        for (std::size_t i = 0; i < nodeCount; ++i)
            limiters_[i]->setPeer({ "others" }, 1, { { north, all - reports_.front().second[i] } }, {}, now, nodeCount - 1, now - start < milliseconds(3000));
    }

    const ReplayOptions options_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<QuotaLimiter>> limiters_;
    std::deque<std::pair<SteadyTime, std::vector<double>>> reports_;
    std::multimap<SteadyTime, Attempt> retries_;
    std::deque<std::pair<SteadyTime, double>> admitted_;
    std::map<const Kind*, Tally> tallies_;
    Decisions decisions_;
};

constexpr double usualPerSecond = 420000;
constexpr double excess = 6.9;
const SteadyTime burstAt = start + milliseconds(18000);
constexpr milliseconds burstLength { 5500 };

/// Usual load, the burst, and usual load until all callers have given up.
void replayBurst(Replay& replay)
{
    replay.run(start + milliseconds(10000), milliseconds(8000), usualPerSecond);
    replay.run(burstAt, burstLength, usualPerSecond * excess, true);
    replay.run(burstAt + burstLength, milliseconds(16000), usualPerSecond);
}

/// The bound of QuotaTests: a tenth plus 140,000 tokens in 8 s.
double maxInWindow()
{
    return (8 * tokens.ratePerSecond_ + tokens.burst_) * 1.1 + 140000;
}

} // namespace

// Guards against long requests that use up a quota which serves five short ones each.
TEST_CASE("in a burst, the rest of a quota serves requests that are not deferrable", "[quota]")
{
    auto seed = GENERATE(range(1U, 4U));
    Replay before({ false }, seed);
    Replay after({ true }, seed);
    replayBurst(before);
    replayBurst(after);
    UNSCOPED_INFO("short requests admitted: " << before.tally(shortKind).admittedShare() << " before, " << after.tally(shortKind).admittedShare() << " after");
    UNSCOPED_INFO("long requests admitted: " << before.tally(longKind).admittedShare() << " before, " << after.tally(longKind).admittedShare() << " after");
    CHECK(before.tally(shortKind).admittedShare() < 0.5);
    CHECK(after.tally(shortKind).admittedShare() >= 0.6);
    CHECK(after.maxAdmitted(milliseconds(8000)) <= maxInWindow());
}

// Guards against decisions that differ where no route is deferrable. The expected ones are those of
// the limiter before it knew classes (5d07d18).
TEST_CASE("without deferrable routes, decisions are the same as without classes", "[quota]")
{
    struct Row {
        unsigned seed_;
        bool hasRetries_;
        Decisions decisions_;
    };
    auto row = GENERATE(values<Row>({
        { 1, false, { 4025, 2390, milliseconds(350696) } },
        { 2, false, { 3980, 2466, milliseconds(426766) } },
        { 1, true, { 5095, 94213, milliseconds(15034771) } },
        { 2, true, { 5057, 89238, milliseconds(14187964) } },
    }));
    Replay replay({ false, row.hasRetries_, false }, row.seed_);
    replayBurst(replay);
    CAPTURE(row.seed_, row.hasRetries_, replay.decisions().admitted_, replay.decisions().refused_, replay.decisions().delays_.count());
    CHECK(replay.decisions() == row.decisions_);
}

// Guards against callers that return while the quota still cannot admit them.
TEST_CASE("deferrable requests that return when the quota can admit them are refused less often", "[quota]")
{
    auto seed = GENERATE(range(1U, 4U));
    auto replayOf = [&](ReplayOptions options) {
        Replay replay(options, seed);
        replayBurst(replay);
        return replay;
    };
    Replay earlier = replayOf({ false, true, false });
    Replay before = replayOf({ true, true, false });
    Replay after = replayOf({ true, true, true });
    for (const Kind* kind : { &longKind, &shortKind }) {
        UNSCOPED_INFO("without both decisions: " << earlier.tally(*kind));
        UNSCOPED_INFO("with classes only: " << before.tally(*kind));
        UNSCOPED_INFO("with classes and return delays: " << after.tally(*kind));
    }
    CHECK(after.tally(longKind).refusedShare() < 0.9 * before.tally(longKind).refusedShare());
    // Short requests return early, within their objective, and must not lose by the returns of others.
    CHECK(after.tally(shortKind).admittedShare() >= before.tally(shortKind).admittedShare() - 0.01);
    CHECK(after.maxAdmitted(milliseconds(8000)) <= maxInWindow());
}

// Guards against a quota that is left unused because all of its requests are deferrable, and against
// one that is exceeded when its level rises above the reserve at all nodes at once.
TEST_CASE("an organisation with deferrable requests only gets its quota and little more", "[quota]")
{
    auto load = GENERATE(2.0, 4.0, 7.5);
    CAPTURE(load);
    Replay replay({ true });
    SteadyTime from = start + milliseconds(10000);
    replay.run(from, milliseconds(20000), load * tokens.ratePerSecond_, false, 1);
    CHECK(replay.maxAdmitted(milliseconds(8000)) <= maxInWindow());
    CHECK(replay.admittedSince(from) >= 0.9 * 20 * tokens.ratePerSecond_);
}

TEST_CASE("deferrable requests leave a reserve of the quota", "[quota]")
{
    struct Row {
        const char* name_;
        QuotaLimit limit_;
        double cost_;
        /// What is left when the next deferrable request is refused.
        double left_;
    };
    auto row = GENERATE(values<Row>({
        { "0.3 s of the rate", { 1000, 1000 }, 1, 300 },
        { "0.3 of a small burst", { 1000, 100 }, 1, 30 },
        { "a large burst", { 1000, 10000 }, 1, 300 },
    }));
    CAPTURE(row.name_);
    QuotaLimiter limiter(start);
    SteadyTime now = start + milliseconds(60000);
    double left = row.limit_.burst_;
    while (!limiter.take(north, row.limit_, row.cost_, now, QuotaClass::Deferrable))
        left -= row.cost_;
    CHECK(left == Approx(row.left_));
    auto refusal = limiter.take(north, row.limit_, row.cost_, now, QuotaClass::Deferrable);
    REQUIRE(refusal);
    CHECK(refusal->class_ == QuotaClass::Deferrable);
    CHECK(refusal->level_ == Approx(row.left_));
    CHECK(refusal->refusedCost_ == Approx(2 * row.cost_));
    CHECK_FALSE(limiter.take(north, row.limit_, row.cost_, now, QuotaClass::Normal));
}

// Guards against a start at which deferrable requests wait for a reserve that no node has yet.
TEST_CASE("a node that has just started divides a quota among both classes", "[quota]")
{
    auto quotaClass = GENERATE(QuotaClass::Normal, QuotaClass::Deferrable);
    QuotaLimiter limiter(start);
    limiter.setNodes(10);
    double admitted = 0;
    for (milliseconds t {}; t < milliseconds(1000); t += milliseconds(1))
        admitted += limiter.take(north, limit, 1, start + t, quotaClass) ? 0 : 1;
    CHECK(admitted == Approx(140).margin(2));
}
