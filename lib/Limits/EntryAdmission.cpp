//===- lib/Limits/EntryAdmission.cpp - the node's side of limits -----------===//
///
/// \file
/// Tracks the slots and tokens that a node holds of each entry's limits, and
/// computes the demand that it sends to its coordinators.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Limits.h"

#include <algorithm>
#include <numeric>

namespace pistachioloom {

EntryAdmission::Decision EntryAdmission::tryStart(const CatalogueEntry& entry, std::uint64_t tokens, SteadyTime now)
{
    EntryState& state = entries_[entry.name_];
    std::uint64_t slots = state.expires_ > now ? state.slots_ : 0;
    if (state.inProgress_ >= slots)
        return Decision::NeedsSlot;
    bool isCounted = entry.workload_->limits_.hasTokenLimit();
    if (isCounted && state.tokens_ < tokens)
        return Decision::NeedsTokens;
    if (isCounted) {
        state.tokens_ -= tokens;
        state.tokensSpent_ += tokens;
    }
    ++state.inProgress_;
    return Decision::Admitted;
}

void EntryAdmission::finish(const EntryName& entry, std::uint64_t unusedTokens)
{
    auto found = entries_.find(entry);
    if (found == entries_.end() || !found->second.inProgress_)
        return;
    --found->second.inProgress_;
    found->second.tokens_ += unusedTokens;
}

void EntryAdmission::beginWait(const EntryName& entry, std::uint64_t tokens)
{
    entries_[entry].waiting_.push_back(tokens);
}

void EntryAdmission::endWait(const EntryName& entry, std::uint64_t tokens)
{
    auto& waiting = entries_[entry].waiting_;
    auto found = std::find(waiting.begin(), waiting.end(), tokens);
    if (found != waiting.end())
        waiting.erase(found);
}

EntryAdmission::Demand EntryAdmission::makeDemand(const CatalogueEntry& entry, std::uint64_t slotsAhead)
{
    EntryState& state = entries_[entry.name_];
    Demand demand;
    demand.inUse_ = state.inProgress_;
    demand.needed_ = state.inProgress_ + state.waiting_.size();
    demand.wanted_ = demand.needed_ + slotsAhead;
    state.slots_ = std::min(state.slots_, demand.wanted_);
    if (!entry.workload_->limits_.hasTokenLimit()) {
        state.tokens_ = 0;
        return demand;
    }
    std::uint64_t waiting = std::accumulate(state.waiting_.begin(), state.waiting_.end(), std::uint64_t { 0 });
    std::uint64_t wanted = waiting + std::exchange(state.tokensSpent_, 0);
    if (wanted > state.tokens_) {
        demand.tokensWanted_ = wanted - state.tokens_;
        std::uint64_t first = state.waiting_.empty() ? 0 : state.waiting_.front();
        demand.tokensFirst_ = first > state.tokens_ ? first - state.tokens_ : 0;
        return demand;
    }
    demand.tokensReturned_ = state.tokens_ - wanted;
    state.tokens_ = wanted;
    return demand;
}

void EntryAdmission::applyGrant(const EntryName& entry, const Grant& grant)
{
    EntryState& state = entries_[entry];
    state.slots_ = grant.slots_;
    state.expires_ = grant.expires_;
    state.tokens_ += grant.tokens_;
    state.tokenWait_ = grant.tokenWait_;
}

std::uint64_t EntryAdmission::inProgress(const EntryName& entry) const
{
    auto found = entries_.find(entry);
    return found == entries_.end() ? 0 : found->second.inProgress_;
}

std::uint64_t EntryAdmission::held(const EntryName& entry, SteadyTime now) const
{
    auto found = entries_.find(entry);
    return found == entries_.end() || found->second.expires_ <= now ? 0 : found->second.slots_;
}

milliseconds EntryAdmission::tokenWait(const EntryName& entry) const
{
    auto found = entries_.find(entry);
    return found == entries_.end() ? milliseconds {} : found->second.tokenWait_;
}

std::vector<EntryName> EntryAdmission::activeEntries() const
{
    std::vector<EntryName> names;
    for (const auto& [name, state] : entries_) {
        if (state.inProgress_ || state.tokens_)
            names.push_back(name);
    }
    return names;
}

} // namespace pistachioloom
