//===- unittests/Rollout/EvaluatorsTest.cpp - simulated roll-outs ---------===//
///
/// \file
/// Simulates seeded roll-outs of good and bad versions together with faults that affect all
/// versions: single backend servers that fail, periods in which many answers are slow, and
/// a varying load. `RolloutEvaluatorsTests [figures]` prints the results of both
/// evaluators.
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

// The period of an order, in seconds.
constexpr double period = 14;
// The interval of the controller's decisions, in seconds.
constexpr double tick = 0.15;
// Delay in seconds until the counts of the nodes reach the holder and its new share
// reaches the nodes.
constexpr double reportDelay = 0.6;
constexpr double requestsPerSecond = 600;
// Share of the requests on the first of two routes.
constexpr double firstRouteShare = 0.86;
constexpr std::size_t targetServers = 5;
constexpr std::size_t stableServerCount = 60;
// The bounds that the contract sets on a bad version: it may get `exposedShare` of the
// requests plus `exposedExtra` requests. After `badTolerated` bad answers, requests may reach it for
// `maxRollbackTime` seconds.
constexpr double exposedShare = 0.1;
constexpr double exposedExtra = 50;
constexpr std::uint64_t badTolerated = 50;
constexpr double maxRollbackTime = 5;

enum class Fault {
    None,
    Immediate,
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

constexpr FaultRow faults[] = { { Fault::Immediate, "immediate" }, { Fault::Later, "later" }, { Fault::UnderLoad, "under load" }, { Fault::OneRoute, "one route" }, { Fault::Slow, "slow" }, { Fault::WrongBytes, "wrong bytes" } };

/// Simulates the requests during one order, a fault of the target, and faults that affect
/// all versions.
class Simulation {
public:
    Simulation(Fault fault, std::uint64_t seed)
        : random_(seed)
        , fault_(fault)
    {
        badRate_ = draw(0.3, 0.6);
        badFrom_ = fault == Fault::Later ? draw(1, 0.6 * period) : 0;
        badRoute_ = draw(0, 1) < 0.5 ? 0 : 1;
        if (draw(0, 1) < 0.4) {
            slowFrom_ = draw(0, period);
            slowUntil_ = slowFrom_ + draw(1, 4);
            slowRate_ = draw(0.2, 0.6);
        }
        failFrom_ = draw(0, 1) < 0.4 ? draw(0, period) : period;
        for (bool& isFailing : targetFails_)
            isFailing = draw(0, 1) < 0.15;
        loadPhase_ = draw(0, 6.3);
    }

    double load(double now) const { return 1 + 0.4 * std::sin(loadPhase_ + now * 6.28 / 8); }

    /// Adds the requests of a step at the target's \p share to \p tally.
    void step(double now, double share, RolloutTally& tally)
    {
        for (RouteKey route = 0; route < 2; ++route) {
            double rate = requestsPerSecond * load(now) * tick * (route ? 1 - firstRouteShare : firstRouteShare);
            std::uint64_t all = poisson(rate);
            requests_[route] += all;
            double onRoute = share < 0.1 ? shareOnRoute(share, route, requests_) : share;
            std::uint64_t toTarget = std::binomial_distribution<std::uint64_t>(all, onRoute)(random_);
            tally.requests_ += all;
            tally.exposed_ += toTarget;
            // While some of the target's servers fail, 15% of the stable servers fail as well.
            double stableBad = baselineBad(now) + (isFailTime(now) ? 0.15 * failRate : 0);
            count(tally.cells_[{ stableBackendKey, route }], all - toTarget, stableBad);
            std::uint64_t left = toTarget;
            for (BackendKey server = 1; server <= targetServers; ++server) {
                std::uint64_t here = server == targetServers ? left : std::binomial_distribution<std::uint64_t>(left, 1.0 / static_cast<double>(targetServers + 1 - server))(random_);
                left -= here;
                double serverRate = baselineBad(now) + (isFailTime(now) && targetFails_[server - 1] ? failRate : 0);
                double versionRate = versionBad(now, route, share);
                std::uint64_t bad = count(tally.cells_[{ server, route }], here, 1 - (1 - std::min(1.0, serverRate)) * (1 - versionRate));
                if (versionRate > 0)
                    badAnswers_ += bad;
            }
        }
    }

    std::uint64_t badAnswers() const { return badAnswers_; }

private:
    static constexpr double failRate = 0.4;

    double draw(double low, double high) { return std::uniform_real_distribution<double>(low, high)(random_); }
    std::uint64_t poisson(double mean) { return std::poisson_distribution<std::uint64_t>(mean)(random_); }
    bool isFailTime(double now) const { return now >= failFrom_ && now < failFrom_ + 6; }
    double baselineBad(double now) const { return 0.02 + (now >= slowFrom_ && now < slowUntil_ ? slowRate_ : 0); }

    double versionBad(double now, RouteKey route, double share) const
    {
        switch (fault_) {
        case Fault::None:
            return 0;
        case Fault::Immediate:
        case Fault::Slow:
        case Fault::WrongBytes:
            return badRate_;
        case Fault::Later:
            return now >= badFrom_ ? badRate_ : 0;
        case Fault::UnderLoad:
            return load(now) > 1.15 || share > 0.5 ? badRate_ : 0;
        case Fault::OneRoute:
            return route == badRoute_ ? badRate_ : 0;
        }
        return 0;
    }

    std::uint64_t count(AnswerTally& tally, std::uint64_t answers, double badRate)
    {
        std::uint64_t bad = std::binomial_distribution<std::uint64_t>(answers, std::min(1.0, badRate))(random_);
        tally.answers_ += answers;
        tally.bad_ += bad;
        return bad;
    }

    std::mt19937_64 random_;
    RouteRequests requests_;
    Fault fault_;
    /// Rate of bad answers of the target while its fault lasts.
    double badRate_ = 0;
    /// When the fault starts, for Fault::Later.
    double badFrom_ = 0;
    /// The route with the fault, for Fault::OneRoute.
    RouteKey badRoute_ = 0;
    /// The period in which many answers of all versions are slow, in seconds after the order.
    double slowFrom_ = period + 1;
    double slowUntil_ = period + 1;
    double slowRate_ = 0;
    /// When single backend servers of all versions start to fail, for 6 s.
    double failFrom_ = 0;
    /// Phase of the periodic load, in radians.
    double loadPhase_ = 0;
    /// Whether each backend server of the target fails from `failFrom_` on.
    bool targetFails_[targetServers] {};
    /// Bad answers of the target while its fault lasts.
    std::uint64_t badAnswers_ = 0;
};

/// One step of a simulated order, for the printed history of an order.
struct Step {
    double now_ = 0;
    double load_ = 0;
    /// The share that the nodes apply, and the requests of the step at the target.
    double share_ = 0;
    std::uint64_t exposed_ = 0;
    /// Bad answers of the step, of the target and of the other versions.
    std::uint64_t badOfTarget_ = 0;
    std::uint64_t badOfOthers_ = 0;
    RolloutPhase phase_ = RolloutPhase::Trial;
};

struct Outcome {
    bool isReverted_ = false;
    /// Seconds from the order to its final decision; 0 if there was none.
    double decidedAt_ = 0;
    /// Requests to the target beyond the bound; negative below it.
    double exposedOverBound_ = 0;
    /// Requests to the target more than `maxRollbackTime` after the 50th bad answer.
    std::uint64_t afterRollback_ = 0;
};

Step stepOf(double now, double load, double share, const RolloutTally& counted, RolloutPhase phase)
{
    Step step { now, load, share, counted.exposed_, 0, 0, phase };
    for (const auto& [cell, answers] : counted.cells_)
        (cell.first == stableBackendKey ? step.badOfOthers_ : step.badOfTarget_) += answers.bad_;
    return step;
}

Outcome simulate(Fault fault, std::uint64_t seed, RolloutEvaluator evaluator, std::vector<Step>* history = nullptr)
{
    Simulation simulation(fault, seed);
    const SteadyTime start { milliseconds(1000000) };
    auto at = [&](double seconds) { return start + milliseconds(static_cast<std::int64_t>(seconds * 1000)); };
    RolloutOrder order { { 1 }, { "s" }, { "v2" }, milliseconds(static_cast<std::int64_t>(period * 1000)) };
    RolloutController controller({}, { order, RolloutPhase::Trial, 0, 0, 0 }, start, 1, std::move(evaluator));
    // The counts after each of the last steps, of which the holder has received only the
    // oldest, and the shares that the holder decided in all steps so far.
    std::deque<RolloutTally> tallies;
    std::deque<double> shares;
    RolloutTally tally { { 1 }, 0, 0, {} };
    Outcome outcome;
    // When the target has given `badTolerated` bad answers; later than any period before that.
    double toleranceReachedAt = 1000;
    const auto delaySteps = static_cast<std::size_t>(reportDelay / tick);
    for (double now = 0; now < period; now += tick) {
        shares.push_back(controller.state().share_);
        double share = shares.size() > delaySteps ? shares[shares.size() - 1 - delaySteps] : 0;
        std::uint64_t exposedBefore = tally.exposed_;
        RolloutTally before = tally;
        simulation.step(now, share, tally);
        if (now > toleranceReachedAt + maxRollbackTime)
            outcome.afterRollback_ += tally.exposed_ - exposedBefore;
        if (simulation.badAnswers() >= badTolerated)
            toleranceReachedAt = std::min(toleranceReachedAt, now);
        tallies.push_back(tally);
        if (tallies.size() > delaySteps + 1)
            tallies.pop_front();
        controller.adjust({ tallies.front(), targetServers, stableServerCount, share >= 1 ? 0U : 50U }, at(now));
        if (history)
            history->push_back(stepOf(now, simulation.load(now), share, tally.since(before), controller.state().phase_));
        bool isOver = isFinal(controller.state().phase_);
        outcome.isReverted_ |= controller.state().phase_ == RolloutPhase::Reverted;
        if (controller.isReadyToComplete() && !isOver) {
            controller.complete();
            isOver = true;
        }
        if (isOver && outcome.decidedAt_ == 0)
            outcome.decidedAt_ = now;
    }
    outcome.exposedOverBound_ = static_cast<double>(tally.exposed_) - exposedShare * static_cast<double>(tally.requests_) - exposedExtra;
    return outcome;
}

struct Summary {
    int reverted_ = 0;
    int overBound_ = 0;
    int afterRollback_ = 0;
    double meanDecisionTime_ = 0;
};

Summary simulateAll(Fault fault, int orders, const std::function<RolloutEvaluator()>& makeEvaluator)
{
    Summary summary;
    for (int i = 0; i < orders; ++i) {
        Outcome outcome = simulate(fault, static_cast<std::uint64_t>(i) + 1, makeEvaluator());
        summary.reverted_ += outcome.isReverted_;
        summary.overBound_ += outcome.exposedOverBound_ > 0;
        summary.afterRollback_ += outcome.afterRollback_ > 0;
        summary.meanDecisionTime_ += outcome.decidedAt_ / orders;
    }
    return summary;
}

constexpr int orders = 1000;

} // namespace

TEST_CASE("good versions are reverted for faults that affect all versions", "[rollout]")
{
    Summary good = simulateAll(Fault::None, orders, makeSequentialEvaluator);
    CHECK(good.reverted_ < orders / 100);
    CHECK(good.meanDecisionTime_ < period);
}

TEST_CASE("bad versions get more requests than the bound, or any after the roll-back time", "[rollout]")
{
    for (const FaultRow& row : faults) {
        CAPTURE(row.name_);
        Summary bad = simulateAll(row.fault_, orders, makeSequentialEvaluator);
        CHECK(bad.reverted_ == orders);
        CHECK(bad.overBound_ == 0);
        CHECK(bad.afterRollback_ == 0);
    }
}

TEST_CASE("the history of each bad version that is judged too late", "[.seeds]")
{
    for (const FaultRow& row : faults) {
        for (std::uint64_t seed = 1; seed <= orders; ++seed) {
            std::vector<Step> history;
            Outcome outcome = simulate(row.fault_, seed, makeSequentialEvaluator(), &history);
            if (outcome.isReverted_ && outcome.exposedOverBound_ <= 0 && !outcome.afterRollback_)
                continue;
            std::cout << row.name_ << ", seed " << seed << ": " << (outcome.isReverted_ ? "reverted" : "not reverted") << ", " << outcome.exposedOverBound_ << " over the bound, " << outcome.afterRollback_ << " after the roll-back time\n";
            for (std::size_t i = 0; i < history.size(); i += 2) {
                const Step& step = history[i];
                std::cout << "  " << std::fixed << std::setprecision(2) << std::setw(6) << step.now_ << " load " << step.load_ << " share " << step.share_ << " target " << step.exposed_ << " bad " << step.badOfTarget_ << ", others bad " << step.badOfOthers_ << " " << toString(step.phase_) << "\n";
            }
        }
    }
}

TEST_CASE("results of both evaluators", "[.figures]")
{
    struct Method {
        const char* name_;
        RolloutEvaluator (*make_)();
    };
    const Method methods[] = { { "sequential", makeSequentialEvaluator }, { "threshold", makeThresholdEvaluator } };
    std::cout << "evaluator   version      reverted  over the bound  after roll-back  mean time of the decision\n";
    for (const Method& method : methods) {
        auto show = [&](const char* name, Fault fault) {
            Summary summary = simulateAll(fault, orders, method.make_);
            std::cout << std::left << std::setw(12) << method.name_ << std::setw(13) << name << std::setw(10) << summary.reverted_ << std::setw(16) << summary.overBound_ << std::setw(17) << summary.afterRollback_ << std::setprecision(3) << summary.meanDecisionTime_ << " s\n";
        };
        show("good", Fault::None);
        for (const FaultRow& row : faults)
            show(row.name_, row.fault_);
    }
}
