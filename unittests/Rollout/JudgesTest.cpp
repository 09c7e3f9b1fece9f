//===- unittests/Rollout/JudgesTest.cpp - seeded orders, good and bad ------===//
///
/// \file
/// Leads orders to their verdicts beside troubles that strike all versions alike: single
/// backend servers that fail, spells in which many answers are late, a load that swings.
/// `RolloutTests [figures]` prints what both judges make of them.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <iomanip>
#include <iostream>
#include <random>

using namespace pistachioloom;

namespace {

constexpr double period = 14;
constexpr double tick = 0.15;
// What nodes count reaches the holder so late, and its share the nodes.
constexpr double reportDelay = 0.6;
constexpr double requestsPerSecond = 600;
// Of the requests, on the first of two routes.
constexpr double firstRoute = 0.86;
constexpr std::size_t targetServers = 5;
constexpr std::size_t stableServersCount = 60;
// The contract's bounds.
constexpr double exposedShare = 0.1;
constexpr double exposedExtra = 50;
constexpr std::uint64_t badTolerated = 50;
constexpr double rollback = 5;

enum class Fault {
    None,
    AtOnce,
    Later,
    UnderLoad,
    OneRoute,
    Slow,
    WrongBytes,
};

struct FaultRow {
    Fault fault_;
    const char* name_;
};

constexpr FaultRow faults[] = { { Fault::AtOnce, "at once" }, { Fault::Later, "later" }, { Fault::UnderLoad, "under load" }, { Fault::OneRoute, "one route" }, { Fault::Slow, "slow" }, { Fault::WrongBytes, "wrong bytes" } };

/// One order and the troubles beside it.
class World {
public:
    World(Fault fault, std::uint64_t seed)
        : random_(seed)
        , fault_(fault)
    {
        badPart_ = draw(0.3, 0.6);
        badFrom_ = fault == Fault::Later ? draw(1, 0.6 * period) : 0;
        badRoute_ = draw(0, 1) < 0.5 ? 0 : 1;
        if (draw(0, 1) < 0.4) {
            lateFrom_ = draw(0, period);
            lateUntil_ = lateFrom_ + draw(1, 4);
            latePart_ = draw(0.2, 0.6);
        }
        failFrom_ = draw(0, 1) < 0.4 ? draw(0, period) : period;
        for (bool& isFailing : targetFails_)
            isFailing = draw(0, 1) < 0.15;
        phase_ = draw(0, 6.3);
    }

    double load(double now) const { return 1 + 0.4 * std::sin(phase_ + now * 6.28 / 8); }

    /// Requests of a step by \p share, added to \p tally.
    void step(double now, double share, RolloutTally& tally)
    {
        for (RouteKey route = 0; route < 2; ++route) {
            double rate = requestsPerSecond * load(now) * tick * (route ? 1 - firstRoute : firstRoute);
            std::uint64_t all = poisson(rate);
            requests_[route] += all;
            double onRoute = share < 0.1 ? shareOnRoute(share, route, requests_) : share;
            std::uint64_t toTarget = std::binomial_distribution<std::uint64_t>(all, onRoute)(random_);
            tally.requests_ += all;
            tally.exposed_ += toTarget;
            // 15 in 100 of the stable ones fail, too.
            double stableBad = usualBad(now) + (isFailTime(now) ? 0.15 * failPart : 0);
            count(tally.cells_[{ stableServers, route }], all - toTarget, stableBad);
            std::uint64_t left = toTarget;
            for (BackendKey server = 1; server <= targetServers; ++server) {
                std::uint64_t here = server == targetServers ? left : std::binomial_distribution<std::uint64_t>(left, 1.0 / static_cast<double>(targetServers + 1 - server))(random_);
                left -= here;
                double part = usualBad(now) + (isFailTime(now) && targetFails_[server - 1] ? failPart : 0);
                double own = versionBad(now, route, share);
                std::uint64_t bad = count(tally.cells_[{ server, route }], here, 1 - (1 - std::min(1.0, part)) * (1 - own));
                if (own > 0)
                    badAnswers_ += bad;
            }
        }
    }

    std::uint64_t badAnswers() const { return badAnswers_; }

private:
    static constexpr double failPart = 0.4;

    double draw(double least, double most) { return std::uniform_real_distribution<double>(least, most)(random_); }
    std::uint64_t poisson(double mean) { return std::poisson_distribution<std::uint64_t>(mean)(random_); }
    bool isFailTime(double now) const { return now >= failFrom_ && now < failFrom_ + 6; }
    double usualBad(double now) const { return 0.02 + (now >= lateFrom_ && now < lateUntil_ ? latePart_ : 0); }

    double versionBad(double now, RouteKey route, double share) const
    {
        switch (fault_) {
        case Fault::None:
            return 0;
        case Fault::AtOnce:
        case Fault::Slow:
        case Fault::WrongBytes:
            return badPart_;
        case Fault::Later:
            return now >= badFrom_ ? badPart_ : 0;
        case Fault::UnderLoad:
            return load(now) > 1.15 || share > 0.5 ? badPart_ : 0;
        case Fault::OneRoute:
            return route == badRoute_ ? badPart_ : 0;
        }
        return 0;
    }

    std::uint64_t count(AnswerTally& tally, std::uint64_t answers, double badPart)
    {
        std::uint64_t bad = std::binomial_distribution<std::uint64_t>(answers, std::min(1.0, badPart))(random_);
        tally.answers_ += answers;
        tally.bad_ += bad;
        return bad;
    }

    std::mt19937_64 random_;
    RouteRequests requests_;
    Fault fault_;
    double badPart_ = 0;
    double badFrom_ = 0;
    RouteKey badRoute_ = 0;
    double lateFrom_ = period + 1;
    double lateUntil_ = period + 1;
    double latePart_ = 0;
    double failFrom_ = 0;
    double phase_ = 0;
    bool targetFails_[targetServers] {};
    std::uint64_t badAnswers_ = 0;
};

struct Verdict {
    bool isReverted_ = false;
    double at_ = 0;
    double exposedOverBound_ = 0;
    /// Requests later than the roll-back time after the 50th bad answer.
    std::uint64_t late_ = 0;
};

Verdict play(Fault fault, std::uint64_t seed, RolloutJudge judge)
{
    World world(fault, seed);
    const SteadyTime start { milliseconds(1000000) };
    auto at = [&](double seconds) { return start + milliseconds(static_cast<std::int64_t>(seconds * 1000)); };
    RolloutOrder order { { 1 }, { "s" }, { "v2" }, milliseconds(static_cast<std::int64_t>(period * 1000)) };
    RolloutPilot pilot({}, { order, RolloutPhase::Trial, 0, 0, 0 }, start, 1, std::move(judge));
    std::deque<RolloutTally> tallies;
    std::deque<double> shares;
    RolloutTally tally { { 1 }, 0, 0, {} };
    Verdict verdict;
    double fiftiethAt = 1000;
    const auto delay = static_cast<std::size_t>(reportDelay / tick);
    for (double now = 0; now < period; now += tick) {
        shares.push_back(pilot.state().share_);
        double share = shares.size() > delay ? shares[shares.size() - 1 - delay] : 0;
        std::uint64_t exposedBefore = tally.exposed_;
        world.step(now, share, tally);
        if (now > fiftiethAt + rollback)
            verdict.late_ += tally.exposed_ - exposedBefore;
        if (world.badAnswers() >= badTolerated)
            fiftiethAt = std::min(fiftiethAt, now);
        tallies.push_back(tally);
        if (tallies.size() > delay + 1)
            tallies.pop_front();
        pilot.steer({ tallies.front(), targetServers, stableServersCount, share >= 1 ? 0U : 50U }, at(now));
        bool isOver = isFinal(pilot.state().phase_);
        verdict.isReverted_ |= pilot.state().phase_ == RolloutPhase::Reverted;
        if (pilot.isReadyToComplete() && !isOver) {
            pilot.complete();
            isOver = true;
        }
        if (isOver && verdict.at_ == 0)
            verdict.at_ = now;
    }
    verdict.exposedOverBound_ = static_cast<double>(tally.exposed_) - exposedShare * static_cast<double>(tally.requests_) - exposedExtra;
    return verdict;
}

struct Summary {
    int reverted_ = 0;
    int overBound_ = 0;
    int late_ = 0;
    double meanAt_ = 0;
};

Summary playAll(Fault fault, int orders, const std::function<RolloutJudge()>& makeJudge)
{
    Summary summary;
    for (int i = 0; i < orders; ++i) {
        Verdict verdict = play(fault, static_cast<std::uint64_t>(i) + 1, makeJudge());
        summary.reverted_ += verdict.isReverted_;
        summary.overBound_ += verdict.exposedOverBound_ > 0;
        summary.late_ += verdict.late_ > 0;
        summary.meanAt_ += verdict.at_ / orders;
    }
    return summary;
}

constexpr int orders = 1000;

} // namespace

TEST_CASE("good versions are reverted for troubles that strike all alike", "[rollout]")
{
    Summary good = playAll(Fault::None, orders, makeSequentialJudge);
    CHECK(good.reverted_ < orders / 100);
    CHECK(good.meanAt_ < period);
}

TEST_CASE("bad versions get more than the bound, or something after the roll-back time", "[rollout]")
{
    for (const FaultRow& row : faults) {
        CAPTURE(row.name_);
        Summary bad = playAll(row.fault_, orders, makeSequentialJudge);
        CHECK(bad.reverted_ == orders);
        CHECK(bad.overBound_ == 0);
        CHECK(bad.late_ == 0);
    }
}

TEST_CASE("figures of both judges", "[.figures]")
{
    struct Way {
        const char* name_;
        RolloutJudge (*make_)();
    };
    const Way ways[] = { { "sequential", makeSequentialJudge }, { "threshold", makeThresholdJudge } };
    std::cout << "judge       version      reverted  over the bound  after roll-back  mean time of the verdict\n";
    for (const Way& way : ways) {
        auto show = [&](const char* name, Fault fault) {
            Summary summary = playAll(fault, orders, way.make_);
            std::cout << std::left << std::setw(12) << way.name_ << std::setw(13) << name << std::setw(10) << summary.reverted_ << std::setw(16) << summary.overBound_ << std::setw(17) << summary.late_ << std::setprecision(3) << summary.meanAt_ << " s\n";
        };
        show("good", Fault::None);
        for (const FaultRow& row : faults)
            show(row.name_, row.fault_);
    }
}
