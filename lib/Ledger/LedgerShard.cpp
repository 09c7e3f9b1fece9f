//===- lib/Ledger/LedgerShard.cpp - one shard in log order -----------------===//
///
/// \file
/// Determines which attempt holds a key, with the same result for every reader
/// of the shard.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Ledger.h"

#include <algorithm>

namespace pistachioloom {

static void applyItem(CallState& state, const LedgerItem& item)
{
    switch (item.type_) {
    case LedgerItem::Type::Intent:
        if (!state.holder_.isEmpty() || std::count(state.released_.begin(), state.released_.end(), item.attempt_))
            return;
        state.holder_ = item.attempt_;
        state.bodyHash_ = item.bodyHash_;
        return;
    case LedgerItem::Type::Outcome:
        // The intent may have been trimmed from the log; the outcome alone
        // proves that its attempt held the key.
        if (!state.holder_.isEmpty() && state.holder_ != item.attempt_)
            return;
        state.holder_ = item.attempt_;
        state.bodyHash_ = item.bodyHash_;
        state.outcome_ = item.outcome_;
        return;
    case LedgerItem::Type::Release:
        state.released_.push_back(item.attempt_);
        if (state.holder_ != item.attempt_ || state.outcome_)
            return;
        state.holder_ = {};
        state.bodyHash_.clear();
        return;
    }
}

void LedgerShard::apply(LogOffset offset, const std::vector<LedgerItem>& items)
{
    if (offset < nextOffset_)
        return;
    nextOffset_ = { offset.value_ + 1 };
    for (const LedgerItem& item : items) {
        CallState& state = calls_[item.key_];
        applyItem(state, item);
        state.lastOffset_ = offset;
        byOffset_[offset.value_].push_back(item.key_);
    }
}

void LedgerShard::trim(LogOffset first)
{
    while (!byOffset_.empty() && byOffset_.begin()->first < first.value_) {
        for (const CallKey& key : byOffset_.begin()->second) {
            auto found = calls_.find(key);
            if (found != calls_.end() && found->second.lastOffset_ < first)
                calls_.erase(found);
        }
        byOffset_.erase(byOffset_.begin());
    }
    nextOffset_ = std::max(nextOffset_, first);
}

const CallState* LedgerShard::find(const CallKey& key) const
{
    auto found = calls_.find(key);
    if (found == calls_.end() || found->second.holder_.isEmpty())
        return nullptr;
    return &found->second;
}

} // namespace pistachioloom
