//===- lib/Limits/Grants.cpp - shares, grants and admission ----------------===//
///
/// \file
/// Requests in progress and tokens a second, per entry.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Limits.h"

#include <algorithm>

namespace pistachioloom {

std::uint64_t guaranteedShare(std::uint64_t limit, std::size_t rank, std::size_t count)
{
    if (!count)
        return limit;
    return limit / count + (rank < limit % count ? 1 : 0);
}

std::uint64_t GrantTable::request(const EntryName& entry, const VmId& node, std::uint64_t share, std::uint64_t inUse, std::uint64_t wanted, milliseconds validity, SteadyTime now)
{
    auto& nodes = grants_[entry];
    std::erase_if(nodes, [&](const auto& item) { return item.second.expires_ <= now; });
    std::uint64_t others = 0;
    for (const auto& [holder, grant] : nodes) {
        if (holder != node)
            others += grant.slots_;
    }
    std::uint64_t available = share > others ? share - others : 0;
    // Work in progress is counted even beyond the share: it is running.
    std::uint64_t slots = std::max(inUse, std::min(available, std::max(wanted, inUse)));
    nodes[node] = { slots, now + validity };
    return slots;
}

std::uint64_t GrantTable::granted(const EntryName& entry, SteadyTime now) const
{
    auto found = grants_.find(entry);
    std::uint64_t sum = 0;
    if (found == grants_.end())
        return sum;
    for (const auto& [node, grant] : found->second) {
        if (grant.expires_ > now)
            sum += grant.slots_;
    }
    return sum;
}

TokenBucket::TokenBucket(std::uint64_t perSecond, std::uint64_t burst, SteadyTime now)
    : perSecond_(static_cast<double>(perSecond))
    , burst_(static_cast<double>(burst))
    , level_(burst_)
    , at_(now)
{
}

double TokenBucket::levelAt(SteadyTime now) const
{
    double elapsed = std::chrono::duration<double>(now - at_).count();
    return std::min(burst_, level_ + std::max(0.0, elapsed) * perSecond_);
}

bool TokenBucket::tryTake(std::uint64_t tokens, SteadyTime now)
{
    level_ = levelAt(now);
    at_ = std::max(at_, now);
    if (level_ <= 0)
        return false;
    level_ -= static_cast<double>(tokens);
    return true;
}

void TokenBucket::giveBack(std::uint64_t tokens)
{
    level_ = std::min(burst_, level_ + static_cast<double>(tokens));
}

milliseconds TokenBucket::wait(SteadyTime now) const
{
    double level = levelAt(now);
    if (level > 0)
        return {};
    return milliseconds(1 + static_cast<std::int64_t>(-level / perSecond_ * 1000));
}

void TokenBucket::setRate(std::uint64_t perSecond, std::uint64_t burst)
{
    perSecond_ = static_cast<double>(perSecond);
    burst_ = static_cast<double>(burst);
}

Admission::Verdict Admission::tryStart(const CatalogueEntry& entry, std::uint64_t tokens, SteadyTime now)
{
    const EntryLimits& limits = entry.workload_->limits_;
    EntryState& state = entries_[entry.name_];
    if (!state.bucket_)
        state.bucket_.emplace(limits.tokensPerSecond_, limits.burst_, now);
    state.bucket_->setRate(limits.tokensPerSecond_, limits.burst_);
    std::uint64_t slots = state.expires_ > now ? state.slots_ : 0;
    if (state.inProgress_ >= slots)
        return Verdict::NeedsGrant;
    if (!state.bucket_->tryTake(tokens, now))
        return Verdict::TokensExhausted;
    ++state.inProgress_;
    return Verdict::Admitted;
}

void Admission::finish(const EntryName& entry, std::uint64_t unusedTokens)
{
    auto found = entries_.find(entry);
    if (found == entries_.end() || !found->second.inProgress_)
        return;
    --found->second.inProgress_;
    if (found->second.bucket_)
        found->second.bucket_->giveBack(unusedTokens);
}

void Admission::setGrant(const EntryName& entry, std::uint64_t slots, SteadyTime expires)
{
    EntryState& state = entries_[entry];
    state.slots_ = slots;
    state.expires_ = expires;
}

std::uint64_t Admission::inProgress(const EntryName& entry) const
{
    auto found = entries_.find(entry);
    return found == entries_.end() ? 0 : found->second.inProgress_;
}

std::uint64_t Admission::held(const EntryName& entry, SteadyTime now) const
{
    auto found = entries_.find(entry);
    return found == entries_.end() || found->second.expires_ <= now ? 0 : found->second.slots_;
}

milliseconds Admission::tokenWait(const EntryName& entry, SteadyTime now) const
{
    auto found = entries_.find(entry);
    return found == entries_.end() || !found->second.bucket_ ? milliseconds {} : found->second.bucket_->wait(now);
}

std::vector<EntryName> Admission::activeEntries() const
{
    std::vector<EntryName> names;
    for (const auto& [name, state] : entries_) {
        if (state.inProgress_)
            names.push_back(name);
    }
    return names;
}

RetryBudget::RetryBudget(double ratio, double reserve)
    : ratio_(ratio)
    , reserve_(reserve)
    , balance_(reserve)
{
}

void RetryBudget::countRequest()
{
    balance_ = std::min(reserve_, balance_ + ratio_);
}

bool RetryBudget::tryRetry()
{
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

} // namespace pistachioloom
