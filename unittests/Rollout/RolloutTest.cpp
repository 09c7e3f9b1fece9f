//===- unittests/Rollout/RolloutTest.cpp - shares, states and decisions ---===//
///
/// \file
/// Tests how a node assigns requests and merges states, and how an order is decided.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Rollout.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const ServiceName service { "s" };
const SteadyTime start { milliseconds(1000000) };
constexpr RouteKey route = 7;

RolloutOrder orderOf(std::uint64_t number)
{
    return { { number }, service, { "v2" }, milliseconds(10000) };
}

SteadyTime after(std::int64_t ms)
{
    return start + milliseconds(ms);
}

AttemptOutcome served(std::int64_t waitedMs, std::int64_t estimateMs)
{
    AttemptOutcome outcome;
    outcome.hasFirstByte_ = true;
    outcome.waited_ = milliseconds(waitedMs);
    outcome.estimate_ = milliseconds(estimateMs);
    outcome.waitRatio_ = static_cast<double>(waitedMs) / static_cast<double>(estimateMs);
    return outcome;
}

/// Assigns 100 requests. \returns how many of them go to the target.
int countToTarget(RolloutTracker& tracker, SteadyTime now, RolloutTracker::SendKind send = RolloutTracker::SendKind::First)
{
    int count = 0;
    for (int i = 0; i < 100; ++i) {
        auto rule = tracker.assign(service, route, send, now);
        count += rule && rule->usesTarget_;
    }
    return count;
}

RolloutTally tallyOf(std::uint64_t requests, std::uint64_t exposed, std::uint64_t bad = 0)
{
    RolloutTally tally { { 1 }, requests, exposed, {} };
    tally.cells_[{ stableBackendKey, route }] = { requests - exposed, 0 };
    for (BackendKey backend = 1; backend <= 4; ++backend)
        tally.cells_[{ backend, route }] = { exposed / 4, bad / 4 };
    return tally;
}

} // namespace

TEST_CASE("requests reach a target before its share is known", "[rollout]")
{
    RolloutTracker tracker({});
    CHECK_FALSE(tracker.assign(service, route, RolloutTracker::SendKind::First, start));
    CHECK(tracker.applyOrder(orderOf(1), start));
    CHECK_FALSE(tracker.applyOrder(orderOf(1), start));
    CHECK(tracker.assign(service, route, RolloutTracker::SendKind::First, start));
    CHECK(countToTarget(tracker, start) == 0);
    CHECK_FALSE(tracker.assign({ "other" }, route, RolloutTracker::SendKind::First, start));
}

TEST_CASE("each phase sends its share to the target, and retries only once all requests go there", "[rollout]")
{
    struct Row {
        RolloutPhase phase_;
        double share_;
        /// Time since the holder reported the state.
        std::int64_t ageMs_;
        /// Requests to the target of 100 first attempts, and of 100 subsequent ones.
        int firstToTarget_;
        int subsequentToTarget_;
    };
    const Row rows[] = {
        { RolloutPhase::Trial, 0.08, 0, 8, 0 },
        // The holder has not reported the share for longer than its validity of 2.5 s.
        { RolloutPhase::Trial, 0.08, 3000, 0, 0 },
        { RolloutPhase::Shifting, 0.5, 0, 50, 0 },
        { RolloutPhase::Shifting, 1, 9000, 100, 100 },
        { RolloutPhase::Reverted, 0, 0, 0, 0 },
        { RolloutPhase::Complete, 1, 9000, 100, 100 },
    };
    for (const Row& row : rows) {
        CAPTURE(toString(row.phase_), row.share_, row.ageMs_);
        RolloutTracker tracker({});
        CHECK(tracker.applyState({ orderOf(1), row.phase_, row.share_, 1, 1 }, start, start));
        CHECK(countToTarget(tracker, after(row.ageMs_)) == row.firstToTarget_);
        CHECK(countToTarget(tracker, after(row.ageMs_), RolloutTracker::SendKind::Subsequent) == row.subsequentToTarget_);
    }
}

TEST_CASE("a version that is bad only on a route with few requests is detected late", "[rollout]")
{
    const RouteRequests requests { { 1, 8600 }, { 2, 1400 } };
    double dense = shareOnRoute(0.08, 1, requests);
    double sparse = shareOnRoute(0.08, 2, requests);
    CHECK(sparse > 0.16);
    CHECK(0.86 * dense + 0.14 * sparse == Approx(0.08));
    CHECK(shareOnRoute(0.08, 3, requests) == 0.08);
    CHECK(shareOnRoute(0.08, 1, { { 1, 100 } }) == Approx(0.08));
    RolloutTracker tracker({});
    tracker.applyState({ orderOf(1), RolloutPhase::Trial, 0.08, 1, 1 }, start, start);
    int toTargetOf[2] {};
    for (int i = 0; i < 10000; ++i) {
        bool isSparse = i % 7 == 0;
        toTargetOf[isSparse] += tracker.assign(service, isSparse ? 2 : 1, RolloutTracker::SendKind::First, start)->usesTarget_;
    }
    CHECK(toTargetOf[1] > 200);
    CHECK(toTargetOf[0] + toTargetOf[1] < 850);
}

TEST_CASE("a state that arrives late reactivates a reverted version", "[rollout]")
{
    const RolloutState trial { orderOf(1), RolloutPhase::Trial, 0.08, 5, 1 };
    const RolloutState reverted { orderOf(1), RolloutPhase::Reverted, 0, 4, 9 };
    const RolloutState complete { orderOf(1), RolloutPhase::Complete, 1, 5, 3 };
    const RolloutState next { orderOf(2), RolloutPhase::Trial, 0, 0, 0 };
    CHECK(supersedes(reverted, trial));
    CHECK_FALSE(supersedes(trial, reverted));
    CHECK(supersedes(complete, reverted));
    CHECK(supersedes(next, complete));
    // The result is the same in whatever order the states arrive.
    std::vector<RolloutState> reported { trial, reverted, next };
    std::sort(reported.begin(), reported.end());
    do {
        RolloutTracker tracker({});
        for (const RolloutState& state : reported)
            tracker.applyState(state, start, start);
        CHECK(tracker.find(service) == next);
    } while (std::next_permutation(reported.begin(), reported.end()));
}

TEST_CASE("which outcomes are evidence against a version", "[rollout]")
{
    struct Row {
        const char* name_;
        AttemptOutcome outcome_;
        std::optional<bool> isBad_;
    };
    auto with = [](BackendOutcome backendOutcome, auto change) {
        AttemptOutcome outcome = served(100, 100);
        outcome.outcome_ = backendOutcome;
        change(outcome);
        return outcome;
    };
    auto nothing = [](AttemptOutcome&) {};
    const Row rows[] = {
        { "as fast as estimated", served(100, 100), false },
        { "twice as slow", served(200, 100), false },
        { "four times as slow", served(400, 100), true },
        { "noise on a short wait", served(30, 5), false },
        { "a failure", with(BackendOutcome::Served, [](AttemptOutcome& o) { o.isFailure_ = true; }), true },
        { "a failure that is withheld from the caller", with(BackendOutcome::Failed, nothing), true },
        { "a corrupt answer", with(BackendOutcome::Broken, nothing), true },
        { "a connection that was cut, for example by a crash", with(BackendOutcome::Broken, [](AttemptOutcome& o) { o.isCutOff_ = true; }), std::nullopt },
        { "a backend server without capacity", with(BackendOutcome::Full, nothing), std::nullopt },
        { "another server at the backend server's address", with(BackendOutcome::WrongInstance, nothing), std::nullopt },
        { "no connection", with(BackendOutcome::Unreachable, nothing), std::nullopt },
        { "a caller that left", with(BackendOutcome::Abandoned, nothing), std::nullopt },
        { "a caller that left after a long wait", with(BackendOutcome::Abandoned, [](AttemptOutcome& o) { o.hasFirstByte_ = false; o.waited_ = milliseconds(2000); }), true },
        { "four times the usual gap between events", with(BackendOutcome::Served, [](AttemptOutcome& o) { o.eventGapMs_ = 200; }), true },
        { "about the usual gap between events", with(BackendOutcome::Served, [](AttemptOutcome& o) { o.eventGapMs_ = 55; }), false },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name_);
        CHECK(isBadAnswer(row.outcome_, 50) == row.isBad_);
    }
}

TEST_CASE("counts of nodes add up, and decreases count as 0 when a node leaves", "[rollout]")
{
    RolloutTally total = tallyOf(1000, 80, 8);
    total.add(tallyOf(500, 40));
    CHECK(total.requests_ == 1500);
    CHECK(total.exposed_ == 120);
    CHECK(total.cells_[{ 1, route }] == AnswerTally { 30, 2 });
    RolloutTally older = tallyOf(9, 9);
    older.number_ = { 0 };
    total.add(older);
    CHECK(total.requests_ == 1500);
    RolloutTally grown = total;
    grown.add(tallyOf(100, 8));
    CHECK(grown.since(total).requests_ == 100);
    CHECK(total.since(grown).requests_ == 0);
    total.remove(tallyOf(500, 40));
    CHECK(total.cells_[{ 1, route }] == AnswerTally { 20, 2 });
}

TEST_CASE("a good version is complete within the period", "[rollout]")
{
    RolloutController controller({}, { orderOf(1), RolloutPhase::Trial, 0, 0, 0 }, start, 3, makeSequentialEvaluator());
    std::uint64_t requests = 0;
    double exposed = 0;
    std::optional<std::int64_t> readyAt;
    for (std::int64_t ms = 0; ms <= 10000 && !readyAt; ms += 200) {
        requests += 120;
        exposed += 120 * controller.state().share_;
        RolloutView view { tallyOf(requests, static_cast<std::uint64_t>(exposed)), 4, 40, ms < 8500 ? 10U : 0U };
        RolloutState state = controller.adjust(view, after(ms));
        if (ms < 6900)
            CHECK(state.share_ <= 0.08);
        if (controller.isReadyToComplete())
            readyAt = ms;
    }
    REQUIRE(readyAt);
    CHECK(*readyAt <= 9200);
    CHECK(controller.state().share_ == 1);
    CHECK_FALSE(isFinal(controller.state().phase_));
    controller.complete();
    CHECK(controller.state().phase_ == RolloutPhase::Complete);
}

TEST_CASE("an order that is not decided by the end of its period is reverted", "[rollout]")
{
    struct Row {
        const char* name_;
        std::size_t targetServers_;
        RolloutTally tally_;
    };
    const Row rows[] = {
        { "no backend server of the target registered", 0, tallyOf(1000, 0) },
        { "the target got hardly any requests", 4, tallyOf(1000, 4) },
        { "no requests at all", 4, tallyOf(0, 0) },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name_);
        RolloutController controller({}, { orderOf(1), RolloutPhase::Trial, 0, 0, 0 }, start, 3, makeSequentialEvaluator());
        for (std::int64_t ms = 0; ms < 9000; ms += 500)
            CHECK(controller.adjust({ row.tally_, row.targetServers_, 40, 9 }, after(ms)).phase_ == RolloutPhase::Trial);
        CHECK(controller.adjust({ row.tally_, row.targetServers_, 40, 9 }, after(9000)).phase_ == RolloutPhase::Reverted);
    }
}

TEST_CASE("a target gets requests beyond the bound while the service has few requests", "[rollout]")
{
    RolloutController controller({}, { orderOf(1), RolloutPhase::Trial, 0, 0, 0 }, start, 3, makeSequentialEvaluator());
    CHECK(controller.adjust({ tallyOf(100, 8), 4, 40, 9 }, after(200)).share_ == 0.08);
    CHECK(controller.adjust({ tallyOf(100, 36), 4, 40, 9 }, after(400)).share_ == 0);
    CHECK(controller.adjust({ tallyOf(400, 36), 4, 40, 9 }, after(600)).share_ == 0.08);
}

TEST_CASE("an order for the version that already runs alone is complete", "[rollout]")
{
    RolloutController controller({}, { orderOf(1), RolloutPhase::Trial, 0, 0, 0 }, start, 3, makeSequentialEvaluator());
    controller.adjust({ tallyOf(100, 0), 40, 0, 0 }, after(0));
    CHECK_FALSE(controller.isReadyToComplete());
    controller.adjust({ tallyOf(100, 0), 40, 0, 0 }, after(3000));
    CHECK(controller.isReadyToComplete());
}

TEST_CASE("a new holder restarts an order that another has reverted", "[rollout]")
{
    RolloutController controller({}, { orderOf(1), RolloutPhase::Reverted, 0, 3, 5 }, start, 4, makeSequentialEvaluator());
    CHECK(controller.adjust({ tallyOf(1000, 0), 4, 40, 9 }, after(200)).phase_ == RolloutPhase::Reverted);
    controller.revert("again");
    CHECK(controller.state().step_ == 5);
    RolloutController shifting({}, { orderOf(1), RolloutPhase::Shifting, 0.64, 3, 8 }, start, 4, makeSequentialEvaluator());
    CHECK(shifting.adjust({ tallyOf(1000, 640), 40, 40, 9 }, after(8000)).share_ == 1);
    CHECK(shifting.state().term_ == 4);
}

TEST_CASE("a stream goes on at a target that gets no requests", "[rollout]")
{
    using Continuation = RolloutTracker::Continuation;
    struct Row {
        RolloutPhase phase_;
        double share_;
        std::int64_t ageMs_;
        Continuation atTarget_;
    };
    auto row = GENERATE(values<Row>({
        { RolloutPhase::Trial, 0, 0, Continuation::Paused },
        { RolloutPhase::Trial, 0.08, 0, Continuation::Allowed },
        { RolloutPhase::Trial, 0.08, 5000, Continuation::Paused },
        { RolloutPhase::Shifting, 0.5, 5000, Continuation::Allowed },
        { RolloutPhase::Complete, 1, 5000, Continuation::Allowed },
        { RolloutPhase::Reverted, 0, 0, Continuation::Ended },
    }));
    CAPTURE(toString(row.phase_), row.share_, row.ageMs_);
    RolloutTracker tracker({});
    const SoftwareKey target = softwareKeyOf(service, { "v2" });
    CHECK(tracker.continuationAt(service, target, start) == Continuation::Allowed);
    tracker.applyState({ orderOf(1), row.phase_, row.share_, 1, 1 }, start, start);
    CHECK(tracker.continuationAt(service, target, after(row.ageMs_)) == row.atTarget_);
    // Servers of the other versions serve until they have gone.
    CHECK(tracker.continuationAt(service, softwareKeyOf(service, { "v1" }), after(row.ageMs_)) == Continuation::Allowed);
    CHECK(tracker.continuationAt({ "other" }, target, after(row.ageMs_)) == Continuation::Allowed);
}

namespace {

/// A controller on trial whose evaluator returns \p evaluation.
RolloutController controllerOnTrial(const RolloutEvaluation& evaluation)
{
    return RolloutController({}, { orderOf(1), RolloutPhase::Trial, 0, 0, 0 }, start, 3, [&evaluation](const RolloutTally&, SteadyTime) { return evaluation; });
}

} // namespace

TEST_CASE("the share of a suspect target grows", "[rollout]")
{
    RolloutEvaluation evaluation { std::nullopt, true, true };
    RolloutController controller = controllerOnTrial(evaluation);
    RolloutView view { tallyOf(4000, 200), 4, 20, 10 };
    for (std::int64_t ms = 0; ms < 8000; ms += 100)
        CHECK(controller.adjust(view, after(ms)).phase_ == RolloutPhase::Trial);
    // A suspicion that is neither dispelled nor borne out holds the target up for a time only.
    CHECK(controller.adjust(view, after(8000)).phase_ == RolloutPhase::Shifting);
}

TEST_CASE("a target that is not sound gets requests after its tolerated bad answers", "[rollout]")
{
    RolloutEvaluation evaluation { std::nullopt, false, false };
    RolloutController controller = controllerOnTrial(evaluation);
    RolloutSettings settings;
    std::int64_t allowedMs = (settings.rollbackTime_ - settings.rollbackMargin_).count();
    for (std::int64_t ms = 0; ms <= 1000; ms += 100)
        CHECK(controller.adjust({ tallyOf(2000, 200, 48), 4, 20, 10 }, after(ms)).phase_ == RolloutPhase::Trial);
    RolloutView view { tallyOf(2000, 200, 52), 4, 20, 10 };
    CHECK(controller.adjust(view, after(1100)).phase_ == RolloutPhase::Trial);
    CHECK(controller.adjust(view, after(1000 + allowedMs)).phase_ == RolloutPhase::Trial);
    evaluation.isSound_ = true;
    CHECK(controller.adjust(view, after(1100 + allowedMs)).phase_ == RolloutPhase::Trial);
    evaluation.isSound_ = false;
    CHECK(controller.adjust(view, after(1200 + allowedMs)).phase_ == RolloutPhase::Reverted);
}
