//===- lib/Limits/Grants.cpp - shares, grants, loans and budgets -----------===//
///
/// \file
/// The coordinator's side of limits: grants to nodes, loans to other data
/// centres, and token buckets. The retry budget is also here.
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
    std::uint64_t others = grantedToOthers(entry, node, now);
    std::uint64_t available = share > others ? share - others : 0;
    // Slots in use are granted even beyond the share, since their requests are already
    // running.
    std::uint64_t slots = std::max(inUse, std::min(available, std::max(wanted, inUse)));
    nodes[node] = { slots, inUse, now + validity };
    return slots;
}

std::uint64_t GrantTable::grantedToOthers(const EntryName& entry, const VmId& node, SteadyTime now) const
{
    auto found = grants_.find(entry);
    if (found == grants_.end())
        return 0;
    auto own = found->second.find(node);
    bool isCounted = own != found->second.end() && own->second.expires_ > now;
    return granted(entry, now) - (isCounted ? own->second.slots_ : 0);
}

std::uint64_t GrantTable::inUse(const EntryName& entry, SteadyTime now) const
{
    auto found = grants_.find(entry);
    std::uint64_t sum = 0;
    if (found == grants_.end())
        return sum;
    for (const auto& [node, grant] : found->second)
        sum += grant.expires_ > now ? grant.inUse_ : 0;
    return sum;
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

std::uint64_t LoanTable::reservedSlots(const OutgoingLoan& lent, SteadyTime now)
{
    std::uint64_t slots = lent.expires_ > now ? lent.slots_ : 0;
    if (lent.assumedUntil_ > now)
        slots = std::max(slots, lent.assumedSlots_);
    if (lent.outstandingSlots_ > slots && lent.outstandingUntil_ > now)
        slots = lent.outstandingSlots_;
    return slots;
}

std::uint64_t LoanTable::lend(const DataCentreId& borrower, std::uint64_t free, const Request& request, milliseconds loanValidity, milliseconds grantValidity, SteadyTime now)
{
    OutgoingLoan& lent = outgoingLoans_[borrower];
    std::uint64_t before = reservedSlots(lent, now);
    std::uint64_t slots = std::max(request.inUse_, std::min(request.wanted_, free + before));
    // Grants that the borrower made before this request may be valid for the full grant
    // validity from now on.
    lent.outstandingSlots_ = before;
    lent.outstandingUntil_ = now + grantValidity;
    // If the reply is lost, the borrower still assumes its previous loan, capped at
    // what it requested.
    std::uint64_t known = std::max(lent.expires_ > now ? lent.slots_ : 0, lent.assumedUntil_ > now ? lent.assumedSlots_ : 0);
    lent.assumedSlots_ = std::min(known, std::max(request.wanted_, request.inUse_));
    lent.assumedUntil_ = std::max(lent.expires_, lent.assumedUntil_);
    lent.slots_ = slots;
    lent.expires_ = now + loanValidity;
    return slots;
}

std::uint64_t LoanTable::lent(SteadyTime now) const
{
    std::uint64_t sum = 0;
    for (const auto& [borrower, lent] : outgoingLoans_)
        sum += reservedSlots(lent, now);
    return sum;
}

std::uint64_t LoanTable::lentTo(const DataCentreId& borrower, SteadyTime now) const
{
    auto found = outgoingLoans_.find(borrower);
    return found == outgoingLoans_.end() ? 0 : reservedSlots(found->second, now);
}

void LoanTable::capBorrowed(const DataCentreId& lender, std::uint64_t maxSlots)
{
    auto found = incomingLoans_.find(lender);
    if (found != incomingLoans_.end())
        found->second.slots_ = std::min(found->second.slots_, maxSlots);
}

void LoanTable::setBorrowed(const DataCentreId& lender, std::uint64_t slots, SteadyTime expires)
{
    if (slots)
        incomingLoans_[lender] = { slots, expires };
    else
        incomingLoans_.erase(lender);
}

std::uint64_t LoanTable::borrowed(SteadyTime until) const
{
    std::uint64_t sum = 0;
    for (const auto& [lender, loan] : incomingLoans_)
        sum += loan.expires_ >= until ? loan.slots_ : 0;
    return sum;
}

std::map<DataCentreId, std::uint64_t> LoanTable::borrowedFrom(SteadyTime now) const
{
    std::map<DataCentreId, std::uint64_t> loans;
    for (const auto& [lender, loan] : incomingLoans_) {
        if (loan.expires_ > now)
            loans[lender] = loan.slots_;
    }
    return loans;
}

TokenBucket::TokenBucket(std::uint64_t perSecond, std::uint64_t burst, SteadyTime now)
    : perSecond_(static_cast<double>(perSecond))
    , burst_(static_cast<double>(burst))
    , level_(burst_)
    , filledAt_(now)
{
}

double TokenBucket::levelAt(SteadyTime now) const
{
    double elapsed = std::chrono::duration<double>(now - filledAt_).count();
    return std::min(burst_, level_ + std::max(0.0, elapsed) * perSecond_);
}

bool TokenBucket::tryTake(std::uint64_t tokens, SteadyTime now)
{
    level_ = levelAt(now);
    filledAt_ = std::max(filledAt_, now);
    if (level_ <= 0)
        return false;
    level_ -= static_cast<double>(tokens);
    return true;
}

std::uint64_t TokenBucket::takeUpTo(std::uint64_t tokens, std::uint64_t minLevel, SteadyTime now)
{
    level_ = levelAt(now);
    filledAt_ = std::max(filledAt_, now);
    double spare = std::max(0.0, level_ - static_cast<double>(minLevel));
    std::uint64_t taken = std::min(tokens, static_cast<std::uint64_t>(spare));
    level_ -= static_cast<double>(taken);
    return taken;
}

std::uint64_t TokenBucket::takeForRequests(std::uint64_t first, std::uint64_t wanted, SteadyTime now)
{
    if (levelAt(now) <= 0)
        return 0;
    std::uint64_t taken = takeUpTo(wanted, 0, now);
    if (taken >= first)
        return taken;
    level_ -= static_cast<double>(first - taken);
    return first;
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
