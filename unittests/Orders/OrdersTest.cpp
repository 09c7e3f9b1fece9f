//===- unittests/Orders/OrdersTest.cpp - claims and steps ------------------===//
///
/// \file
/// Tests the steps of a dispatcher by a table of cases, the queue of loads, and
/// random races of two dispatchers for an engine that ignores fencing tokens. The
/// dispatchers freeze at times.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Orders.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

const SteadyTime start {};
const OrderTiming timing { milliseconds(100), milliseconds(200), milliseconds(5000) };

EngineClaim claimOf(const std::string& node, const std::string& engine = "e", bool isEnd = false)
{
    return { { node + "/" + engine }, { engine }, { node }, "planogram/caxias-a", isEnd };
}

SteadyTime at(std::int64_t ms)
{
    return start + milliseconds(ms);
}

/// Simulates two dispatchers that race to order one engine. The engine obeys each
/// order and never reaches the wanted configuration.
class Race {
public:
    explicit Race(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// \returns the number of orders that arrive after one with a newer token.
    int run()
    {
        for (now_ = 0; now_ < length; now_ += step) {
            for (Dispatcher& dispatcher : dispatchers_)
                act(dispatcher);
        }
        return staleOrders_;
    }
    int orders() const { return orders_; }

private:
    struct Dispatcher {
        std::string name_;
        ClaimTable table_;
        SteadyTime claimedAt_;
        std::optional<SteadyTime> orderedAt_;
        std::optional<OrderStep> pendingStep_;
        FencingToken token_;
        std::int64_t dueAt_ = 0;
    };
    static constexpr std::int64_t length = 4000;
    static constexpr std::int64_t step = 5;

    /// \returns the delay from a decision to its effect: mostly short, in a quarter
    /// of the cases up to the longest freeze.
    std::int64_t delay()
    {
        bool isFrozen = random_() % 4 == 0;
        return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(isFrozen ? timing.maxPause_.count() : 10));
    }

    void act(Dispatcher& dispatcher)
    {
        if (dispatcher.pendingStep_) {
            if (now_ < dispatcher.dueAt_)
                return;
            finish(dispatcher, *std::exchange(dispatcher.pendingStep_, std::nullopt));
            return;
        }
        for (std::size_t i = dispatcher.table_.nextOffset().value_; i < log_.size(); ++i)
            dispatcher.table_.apply({ i }, log_[i], at(now_));
        OrderContext context;
        context.self_ = { dispatcher.name_ };
        context.wanted_.version_ = "wanted";
        context.holder_ = dispatcher.table_.find({ "e" });
        context.claimedAt_ = dispatcher.claimedAt_;
        context.orderedAt_ = dispatcher.orderedAt_;
        OrderStep next = nextOrderStep(context, timing, at(now_));
        if (next == OrderStep::Claim)
            dispatcher.claimedAt_ = at(now_);
        if (context.holder_)
            dispatcher.token_ = context.holder_->token_;
        dispatcher.pendingStep_ = next;
        dispatcher.dueAt_ = now_ + delay();
    }

    void finish(Dispatcher& dispatcher, OrderStep done)
    {
        if (done == OrderStep::Claim)
            log_.push_back(encodeClaim(claimOf(dispatcher.name_)));
        if (done != OrderStep::Order)
            return;
        ++orders_;
        staleOrders_ += dispatcher.token_ < newest_ ? 1 : 0;
        newest_ = std::max(newest_, dispatcher.token_);
        dispatcher.orderedAt_ = random_() % 2 ? std::optional(at(now_)) : std::nullopt;
    }

    std::mt19937_64 random_;
    std::vector<std::string> log_;
    std::vector<Dispatcher> dispatchers_ { { "a", {}, start - milliseconds(9999), {}, {}, {}, 0 }, { "b", {}, start - milliseconds(9999), {}, {}, {}, 0 } };
    std::int64_t now_ = 0;
    FencingToken newest_;
    int staleOrders_ = 0;
    int orders_ = 0;
};

} // namespace

TEST_CASE("a dispatcher takes one step at a time")
{
    struct StepCase {
        std::string name_;
        std::string holder_;
        std::int64_t claimAge_;
        bool isReached_;
        bool isOrdered_;
        std::size_t claimsAhead_;
        std::uint64_t activeRequests_;
        OrderStep expected_;
    };
    auto stepCase = GENERATE(values<StepCase>({
        { "the engine has the wanted configuration, and no claim is open", "", 0, true, false, 0, 0, OrderStep::Settled },
        { "the engine has the wanted configuration, and this node's claim is open", "a", 10, true, true, 0, 0, OrderStep::End },
        { "the engine has the wanted configuration, but a stopped node's claim is open", "b", 150, true, false, 0, 0, OrderStep::Claim },
        { "the engine has another configuration, and no claim is open", "", 0, false, false, 0, 0, OrderStep::Claim },
        { "another node claimed just now", "b", 10, false, false, 0, 0, OrderStep::Wait },
        { "another node's claim is old", "b", 150, false, false, 0, 0, OrderStep::Claim },
        { "another engine loads first", "a", 10, false, false, 1, 0, OrderStep::Wait },
        { "requests are in progress on the engine", "a", 10, false, false, 0, 3, OrderStep::Drain },
        { "nothing delays the order", "a", 10, false, false, 0, 0, OrderStep::Order },
        { "nothing delays the order, but the claim has expired", "a", 150, false, false, 0, 0, OrderStep::Claim },
        { "the order was sent just now", "a", 50, false, true, 0, 0, OrderStep::Wait },
        { "the order had no effect in time", "a", 150, false, true, 0, 0, OrderStep::Claim },
    }));
    INFO(stepCase.name_);
    ClaimTable table;
    if (!stepCase.holder_.empty())
        table.apply({ 7 }, encodeClaim(claimOf(stepCase.holder_)), start);
    OrderContext context;
    context.self_ = { "a" };
    context.wanted_.version_ = "v2";
    context.state_.configuration_.version_ = stepCase.isReached_ ? "v2" : "v1";
    context.holder_ = table.find({ "e" });
    context.claimedAt_ = start;
    if (stepCase.isOrdered_)
        context.orderedAt_ = start;
    context.claimsAhead_ = stepCase.claimsAhead_;
    context.activeRequests_ = stepCase.activeRequests_;
    CHECK(nextOrderStep(context, timing, at(stepCase.claimAge_)) == stepCase.expected_);
}

TEST_CASE("a new dispatcher waits for its predecessor's claim to expire, unless the engine honours fencing")
{
    bool honoursFencing = GENERATE(true, false);
    ClaimTable table;
    table.apply({ 1 }, encodeClaim(claimOf("b")), at(0));
    table.apply({ 2 }, encodeClaim(claimOf("a")), at(150));
    OrderContext context;
    context.self_ = { "a" };
    context.wanted_.version_ = "v2";
    context.holder_ = table.find({ "e" });
    context.claimedAt_ = at(150);
    context.honoursFencing_ = honoursFencing;
    CHECK(context.holder_->token_.value_ == 3);
    CHECK(nextOrderStep(context, timing, at(160)) == (honoursFencing ? OrderStep::Order : OrderStep::Drain));
    CHECK(nextOrderStep(context, timing, at(299)) == (honoursFencing ? OrderStep::Claim : OrderStep::Drain));
    // The validity of the other node's claim and the longest freeze have passed, and
    // this node's claim has expired. A new claim of this node waits for no other node.
    CHECK(nextOrderStep(context, timing, at(301)) == OrderStep::Claim);
    table.apply({ 3 }, encodeClaim(claimOf("a")), at(310));
    context.holder_ = table.find({ "e" });
    context.claimedAt_ = at(305);
    CHECK(nextOrderStep(context, timing, at(311)) == OrderStep::Order);
}

TEST_CASE("loads of one data centre queue in log order")
{
    ClaimTable table;
    auto isPresent = [](const VmId& engine) { return engine.value_ != "gone"; };
    table.apply({ 0 }, encodeClaim(claimOf("a", "gone")), at(0));
    table.apply({ 1 }, encodeClaim(claimOf("a", "e1")), at(0));
    table.apply({ 2 }, encodeClaim(claimOf("b", "e2")), at(0));
    table.apply({ 3 }, "not a claim", at(0));
    EngineClaim elsewhere = claimOf("c", "e3");
    elsewhere.queue_ = "planogram/bento-c";
    table.apply({ 4 }, encodeClaim(elsewhere), at(0));
    CHECK(table.ahead({ "e1" }, isPresent) == 0);
    CHECK(table.ahead({ "e2" }, isPresent) == 1);
    CHECK(table.ahead({ "e3" }, isPresent) == 0);
    // A new claim on an engine, by the same node or a new dispatcher, keeps the engine's
    // position in the queue.
    table.apply({ 5 }, encodeClaim(claimOf("a", "e1")), at(0));
    CHECK(table.ahead({ "e1" }, isPresent) == 0);
    table.apply({ 6 }, encodeClaim(claimOf("b", "e1")), at(0));
    CHECK(table.ahead({ "e1" }, isPresent) == 0);
    // Only the holder of a claim can end it.
    table.apply({ 7 }, encodeClaim(claimOf("a", "e1", true)), at(0));
    CHECK(table.ahead({ "e2" }, isPresent) == 1);
    table.apply({ 8 }, encodeClaim(claimOf("b", "e1", true)), at(0));
    CHECK(table.ahead({ "e2" }, isPresent) == 0);
    // Applying a record again changes nothing.
    table.apply({ 5 }, encodeClaim(claimOf("a", "e1")), at(0));
    CHECK_FALSE(table.find({ "e1" }));
    table.removeOlderThan(milliseconds(100), at(200));
    CHECK_FALSE(table.find({ "e2" }));
}

TEST_CASE("no order arrives after one with a newer token, even if a dispatcher freezes")
{
    int orders = 0;
    int stale = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        Race race(seed);
        stale += race.run();
        orders += race.orders();
    }
    INFO(orders << " orders");
    CHECK(orders > 2000);
    CHECK(stale == 0);
}
