//===- unittests/Ledger/LedgerTest.cpp - at-most-once execution ------------===//
///
/// \file
/// Table-driven tests of the shard's rules, a random exploration of 120,000
/// seeded runs, and an exhaustive exploration of a small model.
//===----------------------------------------------------------------------===//
#include "RunOnceModel.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;
using namespace pistachioloom::test;

namespace {

const CallKey key { "k" };

LedgerItem item(LedgerItem::Type type, const std::string& attempt)
{
    return { type, key, { attempt }, "body", { 200, "text", "by " + attempt } };
}

struct ShardCase {
    std::string name_;
    std::vector<LedgerItem> items_;
    std::string holder_;
    bool hasOutcome_;
};

} // namespace

TEST_CASE("the log order determines which attempt holds a key")
{
    using Type = LedgerItem::Type;
    auto shardCase = GENERATE(values<ShardCase>({
        { "the first intent", { item(Type::Intent, "a"), item(Type::Intent, "b") }, "a", false },
        { "an outcome of the holder", { item(Type::Intent, "a"), item(Type::Outcome, "a") }, "a", true },
        { "an outcome of another attempt", { item(Type::Intent, "a"), item(Type::Outcome, "b") }, "a", false },
        { "an outcome whose intent was trimmed", { item(Type::Outcome, "a") }, "a", true },
        { "a release", { item(Type::Intent, "a"), item(Type::Release, "a") }, "", false },
        { "the next intent after a release", { item(Type::Intent, "a"), item(Type::Release, "a"), item(Type::Intent, "b") }, "b", false },
        { "a release by another attempt", { item(Type::Intent, "a"), item(Type::Release, "b") }, "a", false },
        { "an intent after its own release", { item(Type::Release, "a"), item(Type::Intent, "a"), item(Type::Intent, "b") }, "b", false },
        { "a release after the outcome", { item(Type::Intent, "a"), item(Type::Outcome, "a"), item(Type::Release, "a") }, "a", true },
        { "an intent that was appended twice", { item(Type::Intent, "a"), item(Type::Intent, "a"), item(Type::Intent, "b") }, "a", false },
    }));
    INFO(shardCase.name_);
    LedgerShard shard;
    for (std::size_t i = 0; i < shardCase.items_.size(); ++i)
        shard.apply({ i }, { shardCase.items_[i] });
    const CallState* state = shard.find(key);
    CHECK((state ? state->holder_.value_ : "") == shardCase.holder_);
    CHECK((state && state->outcome_.has_value()) == shardCase.hasOutcome_);
}

TEST_CASE("records are decoded as they were encoded")
{
    std::vector<LedgerItem> items { item(LedgerItem::Type::Intent, "a"), item(LedgerItem::Type::Outcome, "b"), item(LedgerItem::Type::Release, "c") };
    auto decoded = decodeLedgerRecord(encodeLedgerRecord(items));
    REQUIRE(decoded.size() == items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
        CHECK(decoded[i].type_ == items[i].type_);
        CHECK(decoded[i].attempt_ == items[i].attempt_);
    }
    CHECK(decoded[1].outcome_.body_ == "by b");
    CHECK(decodeLedgerRecord("no record").empty());
}

TEST_CASE("a key is removed when its last record is trimmed")
{
    LedgerShard shard;
    shard.apply({ 0 }, { item(LedgerItem::Type::Intent, "a") });
    shard.apply({ 1 }, { item(LedgerItem::Type::Outcome, "a") });
    shard.trim({ 1 });
    CHECK(shard.find(key));
    shard.trim({ 2 });
    CHECK_FALSE(shard.find(key));
    CHECK(shard.size() == 0);
}

TEST_CASE("calls of different organisations or services have different keys")
{
    CHECK(makeCallKey({ "a" }, { "bc" }, { "k" }) != makeCallKey({ "ab" }, { "c" }, { "k" }));
    CHECK(makeCallKey({ "a" }, { "b" }, { "ck" }) != makeCallKey({ "a" }, { "bc" }, { "k" }));
}

TEST_CASE("a used key with a different body is rejected")
{
    LedgerShard shard;
    shard.apply({ 0 }, { item(LedgerItem::Type::Intent, "a") });
    RunOnceCall call(key, { "b" }, "another body");
    shard.apply({ 1 }, { call.item() });
    call.noteIntentAppended({ 1 });
    call.noteLogRead(shard);
    CHECK(call.answer() == RunOnceCall::Answer::KeyReused);
}

TEST_CASE("no interleaving of faults executes a call twice: random")
{
    constexpr std::uint64_t runs = 120000;
    std::size_t executed = 0;
    for (std::uint64_t seed = 0; seed < runs; ++seed) {
        std::mt19937_64 generator(seed);
        FaultBudget faults { static_cast<int>(generator() % 8 == 0), static_cast<int>(generator() % 3), static_cast<int>(generator() % 4 == 0), static_cast<int>(generator() % 3) };
        RunOnceModel model(1 + generator() % 3, 1 + generator() % 2, faults);
        for (auto choices = model.choices(); !choices.empty(); choices = model.choices()) {
            model.apply(choices[generator() % choices.size()]);
            if (!model.violation().empty())
                FAIL("seed " << seed << ": " << model.violation());
        }
        executed += model.executions();
    }
    // The exploration is meaningful only if calls are executed in it.
    CHECK(executed > runs / 2);
}

namespace {

struct ExplorationResult {
    std::size_t statesVisited_ = 0;
    std::size_t finalStates_ = 0;
    std::string violation_;
};

void explore(const RunOnceModel& model, ExplorationResult& result)
{
    ++result.statesVisited_;
    auto choices = model.choices();
    result.finalStates_ += choices.empty() ? 1 : 0;
    for (const Choice& choice : choices) {
        RunOnceModel next = model;
        next.apply(choice);
        if (!next.violation().empty()) {
            result.violation_ = next.violation();
            return;
        }
        explore(next, result);
        if (!result.violation_.empty())
            return;
    }
}

} // namespace

TEST_CASE("no interleaving of faults executes a call twice: exhaustive")
{
    auto faults = GENERATE(values<FaultBudget>({ { 1, 1, 0, 0 }, { 0, 1, 0, 1 }, { 1, 0, 1, 1 } }));
    ExplorationResult result;
    explore(RunOnceModel(2, 1, faults), result);
    INFO(result.statesVisited_ << " states, " << result.finalStates_ << " final states");
    CHECK(result.violation_.empty());
    CHECK(result.finalStates_ > 100);
}

TEST_CASE("a new call may use the key of a released call")
{
    RunOnceModel model(1, 1, { 0, 1, 0, 0 });
    model.apply({ Choice::Kind::AppendDelayed, 0 });
    model.apply({ Choice::Kind::AppendTakesEffect, 0 });
    model.apply({ Choice::Kind::DelayedArrives, 0 });
    REQUIRE(model.isFinished());
    CHECK(model.canRunNewCall());
}
