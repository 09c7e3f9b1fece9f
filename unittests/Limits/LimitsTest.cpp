//===- unittests/Limits/LimitsTest.cpp - admission and shares --------------===//
///
/// \file
/// Shares, grants, buckets, fair queues and retry budgets with injected time.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Limits.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

const SteadyTime start {};
const EntryName entry { "e" };
constexpr milliseconds validity { 2000 };

CatalogueEntry workload(std::uint64_t tokensPerSecond, std::uint64_t burst)
{
    CatalogueEntry result;
    result.name_ = entry;
    result.workload_.emplace();
    result.workload_->limits_.tokensPerSecond_ = tokensPerSecond;
    result.workload_->limits_.burst_ = burst;
    return result;
}

} // namespace

TEST_CASE("guaranteed shares sum to the limit")
{
    for (std::uint64_t limit = 0; limit < 50; ++limit) {
        for (std::size_t count = 1; count < 15; ++count) {
            std::uint64_t sum = 0;
            for (std::size_t rank = 0; rank < count; ++rank)
                sum += guaranteedShare(limit, rank, count);
            REQUIRE(sum == limit);
        }
    }
}

TEST_CASE("grants never exceed the share, but for work that is running")
{
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        std::mt19937_64 generator(seed);
        GrantTable table;
        SteadyTime now = start;
        std::uint64_t share = 1 + generator() % 20;
        std::map<std::uint64_t, std::uint64_t> inUse;
        for (int i = 0; i < 100; ++i) {
            now += milliseconds(generator() % 500);
            std::uint64_t node = generator() % 4;
            std::uint64_t wanted = generator() % 12;
            std::uint64_t granted = table.request(entry, { std::to_string(node) }, share, inUse[node], wanted, validity, now);
            REQUIRE(granted >= inUse[node]);
            std::uint64_t before = inUse[node];
            inUse[node] = granted ? generator() % (granted + 1) : 0;
            // Beyond the share only what the node was running already.
            std::uint64_t others = table.granted(entry, now) - granted;
            REQUIRE((granted + others <= share || granted == before));
        }
    }
    GrantTable table;
    CHECK(table.request(entry, { "a" }, 10, 0, 8, validity, start) == 8);
    CHECK(table.request(entry, { "b" }, 10, 0, 8, validity, start) == 2);
    CHECK(table.request(entry, { "b" }, 10, 0, 8, validity, start + validity) == 8);
}

TEST_CASE("a token bucket admits up to its burst, then at its rate, and tells the wait")
{
    TokenBucket bucket(100, 200, start);
    CHECK(bucket.tryTake(200, start));
    CHECK_FALSE(bucket.tryTake(1, start));
    milliseconds wait = bucket.wait(start);
    CHECK(wait.count() > 0);
    CHECK(bucket.tryTake(300, start + wait));
    // In debt by 300 tokens: three seconds.
    CHECK(bucket.wait(start + wait) >= milliseconds(2900));
    CHECK(bucket.wait(start + wait) <= milliseconds(3100));
    bucket.giveBack(300);
    CHECK(bucket.tryTake(1, start + wait + milliseconds(20)));
}

TEST_CASE("admission needs a grant that has not expired")
{
    Admission admission;
    CatalogueEntry e = workload(1000000, 1000000);
    CHECK(admission.tryStart(e, 1, start) == Admission::Verdict::NeedsGrant);
    admission.setGrant(entry, 2, start + validity);
    CHECK(admission.tryStart(e, 1, start) == Admission::Verdict::Admitted);
    CHECK(admission.tryStart(e, 1, start) == Admission::Verdict::Admitted);
    CHECK(admission.tryStart(e, 1, start) == Admission::Verdict::NeedsGrant);
    admission.finish(entry, 0);
    CHECK(admission.tryStart(e, 1, start + validity) == Admission::Verdict::NeedsGrant);
    CHECK(admission.inProgress(entry) == 1);
}

TEST_CASE("paid work goes before trial work, and weights share inside a class")
{
    FairQueue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 30; ++i) {
        queue.push({ ++id, { "trial" }, ServiceClass::Trial, 100, 1 });
        queue.push({ ++id, { "heavy" }, ServiceClass::Paid, 3, 10 });
        queue.push({ ++id, { "light" }, ServiceClass::Paid, 1, 10 });
    }
    CHECK(queue.ahead(ServiceClass::Paid) == 60);
    CHECK(queue.ahead(ServiceClass::Trial) == 90);
    std::map<EntryName, int> served;
    for (int i = 0; i < 40; ++i)
        ++served[queue.pop()->entry_];
    CHECK(served[{ "trial" }] == 0);
    CHECK(served[{ "heavy" }] >= 28);
    CHECK(served[{ "light" }] >= 9);
    for (int i = 0; i < 20; ++i)
        queue.pop();
    CHECK(queue.pop()->entry_ == EntryName { "trial" });
}

TEST_CASE("retries stay within their share of the requests")
{
    RetryBudget budget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.countRequest();
        // Every request fails and wants to be tried again, twice.
        retries += budget.tryRetry() ? 1 : 0;
        retries += budget.tryRetry() ? 1 : 0;
    }
    CHECK(retries <= 1000 + 10);
    CHECK(retries >= 990);
}
