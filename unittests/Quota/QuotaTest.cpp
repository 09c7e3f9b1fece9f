//===- unittests/Quota/QuotaTest.cpp - quotas and repeats over all nodes ---===//
///
/// \file
/// Several books stand for several nodes; time is passed in.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quota.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>

using namespace pistachioloom;

namespace {

const OrganisationId north { "north" };
const QuotaLimit limit { 1000, 1000 };
const SteadyTime start { milliseconds(1000000) };

/// Nodes that tell each other their counts every \p gossip.
struct Nodes {
    Nodes(std::size_t count, milliseconds gossip)
        : gossip_(gossip)
    {
        for (std::size_t i = 0; i < count; ++i)
            books_.push_back(std::make_unique<QuotaBook>(start));
    }

    void exchange(SteadyTime now)
    {
        for (std::size_t from = 0; from < books_.size(); ++from) {
            for (std::size_t to = 0; to < books_.size(); ++to) {
                if (from != to && !silent_.contains(from) && !silent_.contains(to))
                    books_[to]->setPeer({ std::to_string(from) }, incarnations_[from], books_[from]->admitted(), books_[from]->levels(), now);
            }
        }
    }

    /// Every node is asked for \p cost each ms. \returns what was admitted.
    double flood(SteadyTime from, milliseconds duration, double cost)
    {
        double admitted = 0;
        for (milliseconds t {}; t < duration; t += milliseconds(1)) {
            if (t.count() % gossip_.count() == 0)
                exchange(from + t);
            for (const auto& book : books_)
                admitted += book->take(north, limit, cost, from + t) ? 0 : cost;
        }
        return admitted;
    }

    milliseconds gossip_;
    std::vector<std::unique_ptr<QuotaBook>> books_;
    std::map<std::size_t, std::uint64_t> incarnations_;
    std::set<std::size_t> silent_;
};

} // namespace

TEST_CASE("nodes together admit the rate and little more", "[quota]")
{
    auto count = GENERATE(1U, 3U, 9U);
    Nodes nodes(count, milliseconds(200));
    double admitted = nodes.flood(start + milliseconds(5000), milliseconds(8000), 1);
    // The burst, eight seconds of the rate, and one exchange by which all nodes
    // may overshoot.
    CHECK(admitted >= 8000);
    CHECK(admitted <= 9000 + 200.0 * count);
}

TEST_CASE("a node cut off from its peers uses no more than its share", "[quota]")
{
    Nodes nodes(4, milliseconds(200));
    nodes.flood(start + milliseconds(5000), milliseconds(4000), 1);
    nodes.silent_ = { 0 };
    double admitted = 0;
    SteadyTime cut = start + milliseconds(9000);
    for (milliseconds t {}; t < milliseconds(8000); t += milliseconds(1))
        admitted += nodes.books_[0]->take(north, limit, 1, cut + t) ? 0 : 1;
    // A quarter of eight seconds; the first second of silence is not yet charged.
    CHECK(admitted <= 2000 + 1000 * 0.75 + 200);
    CHECK(admitted >= 1500);
}

TEST_CASE("restarting nodes do not hand out full bursts again", "[quota]")
{
    Nodes nodes(9, milliseconds(200));
    nodes.flood(start + milliseconds(5000), milliseconds(4000), 1);
    SteadyTime restart = start + milliseconds(9000);
    for (std::size_t i = 0; i < nodes.books_.size(); ++i) {
        nodes.books_[i] = std::make_unique<QuotaBook>(restart);
        nodes.incarnations_[i] = 2;
    }
    double admitted = nodes.flood(restart + milliseconds(100), milliseconds(2000), 1);
    CHECK(admitted <= 2.1 * 1000 + 1000 + 200.0 * 9);
}

TEST_CASE("what did not run is given back", "[quota]")
{
    QuotaBook book(start);
    SteadyTime now = start + milliseconds(1000);
    REQUIRE_FALSE(book.take(north, limit, 1000, now));
    REQUIRE(book.take(north, limit, 1, now));
    book.giveBack(north, 1000);
    CHECK_FALSE(book.take(north, limit, 1, now));
    CHECK(book.admitted()[north] == Approx(1));
}

TEST_CASE("a refusal says when to come back", "[quota]")
{
    QuotaBook book(start);
    SteadyTime now = start + milliseconds(1000);
    REQUIRE_FALSE(book.take(north, limit, 1500, now));
    auto wait = book.take(north, limit, 1, now);
    REQUIRE(wait);
    CHECK(*wait >= milliseconds(500));
    CHECK(*wait <= milliseconds(510));
    CHECK_FALSE(book.take(north, limit, 1, now + *wait));
}

TEST_CASE("repeats stay within their share of requests", "[quota]")
{
    RetrySettings settings;
    settings.ratio_ = 0.2;
    settings.extra_ = 10;
    settings.used_ = 1;
    RetryBudget budget(settings);
    const ServiceName service { "s" };
    for (int i = 0; i < 100; ++i)
        budget.countRequest(service, start);
    int taken = 0;
    while (budget.take(service, start))
        ++taken;
    CHECK(taken == 30);
    CHECK_FALSE(budget.take({ "other" }, start + milliseconds(20000)) == false);
    // The window has passed: only the extra ones are left.
    taken = 0;
    while (budget.take(service, start + milliseconds(10001)))
        ++taken;
    CHECK(taken == 10);
}
