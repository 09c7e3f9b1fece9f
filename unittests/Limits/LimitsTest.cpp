//===- unittests/Limits/LimitsTest.cpp - admission and shares --------------===//
///
/// \file
/// Tests shares, grants, token buckets, fair queues and retry budgets with
/// injected time.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Limits.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

const SteadyTime start {};
const EntryName entryName { "e" };
constexpr milliseconds grantValidity { 2000 };

CatalogueEntry workload(std::uint64_t tokensPerSecond, std::uint64_t burst)
{
    CatalogueEntry result;
    result.name_ = entryName;
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

TEST_CASE("grants exceed the share only for requests in progress")
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
            std::uint64_t granted = table.request(entryName, { std::to_string(node) }, share, inUse[node], wanted, grantValidity, now);
            REQUIRE(granted >= inUse[node]);
            std::uint64_t before = inUse[node];
            inUse[node] = granted ? generator() % (granted + 1) : 0;
            // Only requests that were already in progress may exceed the share.
            std::uint64_t others = table.granted(entryName, now) - granted;
            REQUIRE((granted + others <= share || granted == before));
        }
    }
    GrantTable table;
    CHECK(table.request(entryName, { "a" }, 10, 0, 8, grantValidity, start) == 8);
    CHECK(table.request(entryName, { "b" }, 10, 0, 8, grantValidity, start) == 2);
    CHECK(table.request(entryName, { "b" }, 10, 0, 8, grantValidity, start + grantValidity) == 8);
}

TEST_CASE("a token bucket admits up to its burst, then at its rate, and returns the wait time")
{
    TokenBucket bucket(100, 200, start);
    CHECK(bucket.tryTake(200, start));
    CHECK_FALSE(bucket.tryTake(1, start));
    milliseconds wait = bucket.wait(start);
    CHECK(wait.count() > 0);
    CHECK(bucket.tryTake(300, start + wait));
    // The level is about -300 tokens, which takes three seconds to refill.
    CHECK(bucket.wait(start + wait) >= milliseconds(2900));
    CHECK(bucket.wait(start + wait) <= milliseconds(3100));
    bucket.giveBack(300);
    CHECK(bucket.tryTake(1, start + wait + milliseconds(20)));
}

TEST_CASE("tokens taken from a bucket lower its level, whichever way they are taken")
{
    TokenBucket bucket(100, 200, start);
    CHECK(bucket.takeUpTo(500, 50, start) == 150);
    CHECK(bucket.takeUpTo(500, 50, start) == 0);
    // A first request that exceeds the level gets all of its tokens; the other
    // requests get none.
    CHECK(bucket.takeForRequests(80, 1000, start) == 80);
    CHECK(bucket.takeForRequests(1, 1000, start) == 0);
    CHECK(bucket.wait(start) >= milliseconds(290));
    bucket.giveBack(100);
    CHECK(bucket.takeForRequests(0, 40, start) == 40);
}

TEST_CASE("admission needs a grant that has not expired")
{
    EntryAdmission admission;
    CatalogueEntry catalogueEntry = workload(0, 0);
    CHECK(admission.tryStart(catalogueEntry, 1, start) == EntryAdmission::Decision::NeedsSlot);
    admission.applyGrant(entryName, { 2, 0, start + grantValidity, {} });
    CHECK(admission.tryStart(catalogueEntry, 1, start) == EntryAdmission::Decision::Admitted);
    CHECK(admission.tryStart(catalogueEntry, 1, start) == EntryAdmission::Decision::Admitted);
    CHECK(admission.tryStart(catalogueEntry, 1, start) == EntryAdmission::Decision::NeedsSlot);
    admission.finish(entryName, 0);
    CHECK(admission.tryStart(catalogueEntry, 1, start + grantValidity) == EntryAdmission::Decision::NeedsSlot);
    CHECK(admission.inProgress(entryName) == 1);
}

TEST_CASE("a node requests the tokens that it needs and returns the others")
{
    EntryAdmission admission;
    CatalogueEntry catalogueEntry = workload(1000, 1000);
    admission.applyGrant(entryName, { 9, 0, start + grantValidity, milliseconds(70) });
    CHECK(admission.tryStart(catalogueEntry, 100, start) == EntryAdmission::Decision::NeedsTokens);
    CHECK(admission.tokenWait(entryName) == milliseconds(70));
    admission.beginWait(entryName, 100);
    admission.beginWait(entryName, 30);
    auto demand = admission.makeDemand(catalogueEntry, 4);
    CHECK(demand.needed_ == 2);
    CHECK(demand.wanted_ == 6);
    CHECK(demand.tokensFirst_ == 100);
    CHECK(demand.tokensWanted_ == 130);
    admission.applyGrant(entryName, { 6, 130, start + grantValidity, {} });
    CHECK(admission.tryStart(catalogueEntry, 100, start) == EntryAdmission::Decision::Admitted);
    CHECK(admission.tryStart(catalogueEntry, 30, start) == EntryAdmission::Decision::Admitted);
    CHECK(admission.tryStart(catalogueEntry, 1, start) == EntryAdmission::Decision::NeedsTokens);
    admission.endWait(entryName, 100);
    admission.endWait(entryName, 30);
    // The demand requests ahead what was spent since the last demand, less the
    // unused tokens of finished requests.
    admission.finish(entryName, 90);
    demand = admission.makeDemand(catalogueEntry, 4);
    CHECK(demand.tokensWanted_ == 40);
    CHECK(demand.tokensReturned_ == 0);
    demand = admission.makeDemand(catalogueEntry, 4);
    CHECK(demand.tokensReturned_ == 90);
    CHECK(admission.makeDemand(catalogueEntry, 4).tokensReturned_ == 0);
}

TEST_CASE("a node releases the slots beyond its demand when it makes the demand")
{
    EntryAdmission admission;
    CatalogueEntry catalogueEntry = workload(0, 0);
    admission.applyGrant(entryName, { 10, 0, start + grantValidity, {} });
    CHECK(admission.makeDemand(catalogueEntry, 2).wanted_ == 2);
    CHECK(admission.held(entryName, start) == 2);
}

TEST_CASE("a loan shrinks only after the grants made on it have expired")
{
    constexpr milliseconds loanValidity { 6000 };
    LoanTable lender;
    DataCentreId borrower { "b" };
    CHECK(lender.lend(borrower, 10, { 0, 6 }, loanValidity, grantValidity, start) == 6);
    CHECK(lender.lend(borrower, 4, { 0, 20 }, loanValidity, grantValidity, start) == 10);
    bool wantsLess = GENERATE(true, false);
    CHECK(lender.lend(borrower, 0, { 3, wantsLess ? 0U : 10U }, loanValidity, grantValidity, start) == (wantsLess ? 3 : 10));
    if (!wantsLess)
        return;
    CHECK(lender.lent(start + grantValidity - milliseconds(1)) == 10);
    CHECK(lender.lent(start + grantValidity) == 3);
    CHECK(lender.lent(start + loanValidity) == 0);
    // Slots in use stay lent, even by a new lender that has no record of the loan.
    LoanTable successor;
    CHECK(successor.lend(borrower, 0, { 3, 8 }, loanValidity, grantValidity, start) == 3);
    LoanTable borrowerTable;
    borrowerTable.setBorrowed({ "a" }, 5, start + loanValidity);
    CHECK(borrowerTable.borrowed(start + grantValidity) == 5);
    CHECK(borrowerTable.borrowed(start + loanValidity + milliseconds(1)) == 0);
}

namespace {

/// Simulates three data centres whose coordinators lend each other slots over a
/// network that loses messages and is partitioned at times. Requests finish
/// within the validity of a grant.
class LoanSimulation {
public:
    LoanSimulation(std::uint64_t seed, std::uint64_t limit)
        : random_(seed)
        , limit_(limit)
    {
    }

    /// \returns the highest number of slots that all data centres together granted
    /// at one time.
    std::uint64_t run()
    {
        std::uint64_t maxGranted = 0;
        for (int i = 0; i < 300; ++i) {
            now_ += milliseconds(random_() % 300);
            isPartitioned_ = random_() % 20 ? isPartitioned_ : !isPartitioned_;
            std::size_t dataCentre = random_() % dataCentres_.size();
            borrow(dataCentre, (dataCentre + 1 + random_() % 2) % dataCentres_.size());
            request(dataCentre);
            std::uint64_t sum = 0;
            for (DataCentre& each : dataCentres_)
                sum += each.grants_.granted(entryName, now_);
            maxGranted = std::max(maxGranted, sum);
        }
        return maxGranted;
    }
    std::uint64_t totalBorrowed() const { return totalBorrowed_; }

private:
    static constexpr milliseconds loanValidity { 6000 };
    struct DataCentre {
        GrantTable grants_;
        LoanTable loans_;
    };

    std::uint64_t shareOf(std::size_t dataCentre) const { return guaranteedShare(limit_, dataCentre, dataCentres_.size()); }

    std::uint64_t usable(std::size_t dataCentre) const
    {
        const LoanTable& loans = dataCentres_[dataCentre].loans_;
        std::uint64_t lent = loans.lent(now_);
        return (shareOf(dataCentre) > lent ? shareOf(dataCentre) - lent : 0) + loans.borrowed(now_ + grantValidity);
    }

    void request(std::size_t dataCentre)
    {
        std::uint64_t wanted = random_() % (limit_ + 1);
        dataCentres_[dataCentre].grants_.request(entryName, { "node" }, usable(dataCentre), 0, wanted, grantValidity, now_);
    }

    void borrow(std::size_t borrower, std::size_t lender)
    {
        std::uint64_t wanted = random_() % (limit_ + 1);
        dataCentres_[borrower].loans_.capBorrowed({ std::to_string(lender) }, wanted);
        bool isRequestLost = isPartitioned_ || random_() % 10 == 0;
        bool isReplyLost = random_() % 10 == 0;
        if (isRequestLost)
            return;
        DataCentre& other = dataCentres_[lender];
        std::uint64_t used = other.grants_.granted(entryName, now_) + other.loans_.lent(now_);
        std::uint64_t free = shareOf(lender) > used ? shareOf(lender) - used : 0;
        std::uint64_t slots = other.loans_.lend({ std::to_string(borrower) }, free, { 0, wanted }, loanValidity, grantValidity, now_);
        totalBorrowed_ += slots;
        if (!isReplyLost)
            dataCentres_[borrower].loans_.setBorrowed({ std::to_string(lender) }, slots, now_ + loanValidity);
    }

    std::mt19937_64 random_;
    std::uint64_t limit_;
    std::vector<DataCentre> dataCentres_ { 3 };
    SteadyTime now_ = start;
    bool isPartitioned_ = false;
    std::uint64_t totalBorrowed_ = 0;
};

} // namespace

TEST_CASE("data centres that lend to each other never grant more than the limit in total")
{
    std::uint64_t borrowed = 0;
    for (std::uint64_t seed = 0; seed < 3000; ++seed) {
        std::uint64_t limit = 3 + seed % 40;
        LoanSimulation simulation(seed, limit);
        REQUIRE(simulation.run() <= limit);
        borrowed += simulation.totalBorrowed();
    }
    CHECK(borrowed > 0);
}

TEST_CASE("paid requests start before trial requests, and entries of a class share by weight")
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

TEST_CASE("retries stay within their ratio to the requests")
{
    RetryBudget budget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.countRequest();
        // Every request fails and asks for two retries.
        retries += budget.tryRetry() ? 1 : 0;
        retries += budget.tryRetry() ? 1 : 0;
    }
    CHECK(retries <= 1000 + 10);
    CHECK(retries >= 990);
}
