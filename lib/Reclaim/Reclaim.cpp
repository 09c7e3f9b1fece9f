//===- lib/Reclaim/Reclaim.cpp - planning of an announced reclaim ----------===//
///
/// \file
/// Implements a greedy plan. Streams that finish in time stay. The export
/// bandwidth goes to paid streams first, and within a class to those with the
/// most cached tokens. The others recompute.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Reclaim.h"

#include <algorithm>

namespace pistachioloom {

std::string_view toString(ReclaimAction action)
{
    switch (action) {
    case ReclaimAction::FinishInPlace:
        return "finish_in_place";
    case ReclaimAction::MoveCache:
        return "move_cache";
    case ReclaimAction::Recompute:
        return "recompute";
    }
    return "recompute";
}

static std::uint64_t cachedTokens(const LeavingStream& stream)
{
    return stream.promptTokens_ + stream.generatedTokens_;
}

static milliseconds exportTime(const LeavingStream& stream, const ReclaimCost& cost)
{
    double bytes = static_cast<double>(cachedTokens(stream)) * static_cast<double>(cost.kvPerToken_.value_);
    return milliseconds(1 + static_cast<std::int64_t>(bytes / static_cast<double>(cost.exportPerSecond_.value_) * 1000));
}

std::vector<ReclaimStep> planReclaim(const std::vector<LeavingStream>& streams, const ReclaimCost& cost)
{
    milliseconds available = std::max(milliseconds {}, cost.notice_ - cost.margin_);
    std::vector<const LeavingStream*> leaving;
    std::vector<ReclaimStep> finishing;
    for (const LeavingStream& stream : streams) {
        bool finishesInTime = cost.timePerToken_ * static_cast<std::int64_t>(stream.remainingTokens_) <= available;
        if (finishesInTime)
            finishing.push_back({ stream.request_, ReclaimAction::FinishInPlace, 0 });
        else
            leaving.push_back(&stream);
    }
    std::stable_sort(leaving.begin(), leaving.end(), [](const LeavingStream* left, const LeavingStream* right) {
        if (left->class_ != right->class_)
            return left->class_ == ServiceClass::Paid;
        return cachedTokens(*left) > cachedTokens(*right);
    });
    std::vector<ReclaimStep> plan;
    std::size_t imports = cost.importSlots_;
    milliseconds exporting {};
    for (const LeavingStream* stream : leaving) {
        milliseconds needed = exportTime(*stream, cost);
        if (!imports || exporting + needed > available) {
            plan.push_back({ stream->request_, ReclaimAction::Recompute, cachedTokens(*stream) });
            continue;
        }
        --imports;
        exporting += needed;
        plan.push_back({ stream->request_, ReclaimAction::MoveCache, 0 });
    }
    plan.insert(plan.end(), finishing.begin(), finishing.end());
    return plan;
}

std::uint64_t recomputedTokens(const std::vector<ReclaimStep>& plan)
{
    std::uint64_t sum = 0;
    for (const ReclaimStep& step : plan)
        sum += step.recomputedTokens_;
    return sum;
}

} // namespace pistachioloom
