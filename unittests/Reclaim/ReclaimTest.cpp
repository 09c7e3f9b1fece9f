//===- unittests/Reclaim/ReclaimTest.cpp - plans for leaving engines -------===//
///
/// \file
/// Tests plans by a table of cases, and compares the greedy plan with the optimum
/// of an exhaustive search.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Reclaim.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

LeavingStream stream(const std::string& id, ServiceClass serviceClass, std::uint64_t cached, std::uint64_t remaining)
{
    return { { id }, serviceClass, cached, 0, remaining };
}

/// \returns costs with which the export of a token takes one millisecond.
ReclaimCost cost(int noticeMs, std::size_t imports)
{
    ReclaimCost result;
    result.notice_ = milliseconds(noticeMs);
    result.margin_ = {};
    result.timePerToken_ = milliseconds(10);
    result.kvPerToken_ = { 1000 };
    result.exportPerSecond_ = { 1000UL * 1000 };
    result.importSlots_ = imports;
    return result;
}

std::map<std::string, ReclaimAction> actions(const std::vector<ReclaimStep>& plan)
{
    std::map<std::string, ReclaimAction> result;
    for (const ReclaimStep& step : plan)
        result[step.request_.value_] = step.action_;
    return result;
}

/// \returns the lowest number of recomputed tokens over all choices of streams to
/// export.
std::uint64_t bestRecomputed(const std::vector<LeavingStream>& streams, const ReclaimCost& cost)
{
    std::uint64_t best = std::numeric_limits<std::uint64_t>::max();
    for (std::uint32_t chosen = 0; chosen < 1U << streams.size(); ++chosen) {
        std::uint64_t recomputed = 0;
        std::uint64_t exported = 0;
        std::size_t imports = 0;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            std::uint64_t cached = streams[i].promptTokens_ + streams[i].generatedTokens_;
            if (chosen >> i & 1U) {
                exported += cached + 1;
                ++imports;
            } else if (cost.timePerToken_ * static_cast<std::int64_t>(streams[i].remainingTokens_) > cost.notice_) {
                recomputed += cached;
            }
        }
        if (imports <= cost.importSlots_ && static_cast<std::int64_t>(exported) <= cost.notice_.count())
            best = std::min(best, recomputed);
    }
    return best;
}

} // namespace

TEST_CASE("streams finish in place, move or recompute, paid ones first")
{
    struct PlanCase {
        std::string name_;
        std::vector<LeavingStream> streams_;
        ReclaimCost cost_;
        std::map<std::string, ReclaimAction> expected_;
    };
    using Action = ReclaimAction;
    auto planCase = GENERATE(values<PlanCase>({
        { "the stream finishes in time", { stream("a", ServiceClass::Paid, 500, 10) }, cost(100, 9), { { "a", Action::FinishInPlace } } },
        { "the cache can be exported in time", { stream("a", ServiceClass::Paid, 50, 100) }, cost(100, 9), { { "a", Action::MoveCache } } },
        { "no import slot", { stream("a", ServiceClass::Paid, 50, 100) }, cost(100, 0), { { "a", Action::Recompute } } },
        { "not enough time to export", { stream("a", ServiceClass::Paid, 500, 100) }, cost(100, 9), { { "a", Action::Recompute } } },
        { "a paid stream before a larger trial stream", { stream("t", ServiceClass::Trial, 90, 100), stream("p", ServiceClass::Paid, 50, 100) }, cost(100, 9), { { "t", Action::Recompute }, { "p", Action::MoveCache } } },
        { "the only import slot goes to the larger stream", { stream("a", ServiceClass::Paid, 20, 100), stream("b", ServiceClass::Paid, 40, 100) }, cost(100, 1), { { "a", Action::Recompute }, { "b", Action::MoveCache } } },
        { "no notice", { stream("a", ServiceClass::Paid, 1, 1) }, cost(0, 9), { { "a", Action::Recompute } } },
    }));
    INFO(planCase.name_);
    CHECK(actions(planReclaim(planCase.streams_, planCase.cost_)) == planCase.expected_);
}

TEST_CASE("the greedy plan stays near the exhaustive optimum")
{
    std::uint64_t greedy = 0;
    std::uint64_t optimum = 0;
    std::uint64_t recomputeAll = 0;
    for (std::uint64_t seed = 0; seed < 400; ++seed) {
        std::mt19937_64 generator(seed);
        std::vector<LeavingStream> streams;
        for (std::size_t i = 0; i < 2 + generator() % 9; ++i)
            streams.push_back(stream(std::to_string(i), ServiceClass::Paid, 50 + generator() % 2000, 1 + generator() % 300));
        ReclaimCost costs = cost(static_cast<int>(500 + generator() % 6000), generator() % 9);
        greedy += recomputedTokens(planReclaim(streams, costs));
        optimum += bestRecomputed(streams, costs);
        for (const LeavingStream& each : streams)
            recomputeAll += each.promptTokens_;
    }
    WARN("tokens recomputed: greedy " << greedy << ", optimum " << optimum << ", all " << recomputeAll);
    CHECK(static_cast<double>(greedy) <= 1.05 * static_cast<double>(optimum));
}
