//===- lib/Node/Lending.cpp - limits lent between data centres ------------===//
///
/// \file
/// Implements the loans between the limit coordinators of different data
/// centres: a coordinator borrows what the nodes of its data centre lack, and
/// lends what they do not use.
//===----------------------------------------------------------------------===//
#include "LimitTable.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    constexpr milliseconds loanTimeout { 400 };
    // Time for which no loan is requested from a data centre that did not reply.
    constexpr milliseconds unreachableBackoff { 5000 };
    // Minimum time between two rounds of loan requests for an entry. It limits
    // the rate of loan requests when no data centre lends anything, and the rate
    // of token transfers.
    constexpr milliseconds minBorrowInterval { 50 };
    constexpr std::size_t maxLendersAsked = 4;
    // A data centre that uses its share keeps one part in this many of its slots
    // and of its token burst, and lends only the rest.
    constexpr std::uint64_t reserveDivisor = 4;

    std::uint64_t slotReserve(std::uint64_t share, std::uint64_t granted)
    {
        return granted ? share / reserveDivisor : 0;
    }

    std::uint64_t borrowedFrom(const LoanTable& loans, const DataCentreId& lender)
    {
        auto all = loans.borrowedFrom(steadyNow());
        auto found = all.find(lender);
        return found == all.end() ? 0 : found->second;
    }

} // namespace

bool LimitCoordinator::beginBorrowing(LimitTable& table)
{
    if (table.borrowing_)
        return false;
    table.borrowing_ = std::make_shared<CompletionEvent>(context_.executor_);
    return true;
}

void LimitCoordinator::endBorrowing(LimitTable& table)
{
    table.borrowing_->complete();
    table.borrowing_.reset();
}

std::vector<DataCentreId> LimitCoordinator::lendersFor(const LimitTable& table) const
{
    auto view = context_.membership();
    std::vector<DataCentreId> lenders;
    for (const auto& [dataCentre, nodes] : view->index_->entryVms_) {
        auto unreachable = table.unreachableUntil_.find(dataCentre);
        bool isUnreachable = unreachable != table.unreachableUntil_.end() && unreachable->second > steadyNow();
        if (dataCentre != view->dataCentre_ && !isUnreachable)
            lenders.push_back(dataCentre);
    }
    for (std::size_t i = lenders.size(); i > 1; --i)
        std::swap(lenders[i - 1], lenders[randomBits() % i]);
    if (lenders.size() > maxLendersAsked)
        lenders.resize(maxLendersAsked);
    return lenders;
}

asio::awaitable<void> LimitCoordinator::borrow(EntryPtr entry, LimitTablePtr table, Shortage shortage)
{
    std::shared_ptr<CompletionEvent> pending;
    std::vector<DataCentreId> lenders;
    {
        std::lock_guard lock(mutex_);
        pending = table->borrowing_;
        if (!pending && steadyNow() < table->nextBorrowAt_)
            co_return;
        if (!pending && beginBorrowing(*table))
            lenders = lendersFor(*table);
    }
    if (pending) {
        co_await pending->wait();
        co_return;
    }
    for (const DataCentreId& lender : lenders) {
        std::uint64_t before = 0;
        {
            std::lock_guard lock(mutex_);
            before = borrowedFrom(table->loans_, lender);
        }
        Shortage requested { before + shortage.slots_, shortage.tokens_ };
        co_await borrowFrom(entry, table, lender, before, requested);
        std::lock_guard lock(mutex_);
        std::uint64_t after = borrowedFrom(table->loans_, lender);
        shortage.slots_ -= std::min(shortage.slots_, after > before ? after - before : 0);
        if (table->tokens_ && !table->tokens_->wait(steadyNow()).count())
            shortage.tokens_ = 0;
        if (!shortage.slots_ && !shortage.tokens_)
            break;
    }
    std::lock_guard lock(mutex_);
    table->nextBorrowAt_ = steadyNow() + minBorrowInterval;
    endBorrowing(*table);
}

asio::awaitable<void> LimitCoordinator::borrowFrom(EntryPtr entry, LimitTablePtr table, DataCentreId lender, std::uint64_t inUse, Shortage wanted)
{
    wire::Frame frame;
    wire::LoanRequest& request = *frame.mutable_loan_request();
    request.set_entry(entry->name_.value_);
    request.set_node(context_.self().value_);
    request.set_data_centre(context_.settings_.dataCentre_.value_);
    request.set_in_use(static_cast<std::uint32_t>(inUse));
    request.set_wanted(static_cast<std::uint32_t>(wanted.slots_));
    request.set_tokens_wanted(wanted.tokens_);
    {
        std::lock_guard lock(mutex_);
        request.set_sequence(++loanSequence_);
        table->loans_.capBorrowed(lender, std::max(inUse, wanted.slots_));
    }
    VmId coordinator = pickByRendezvous("limits/" + entry->name_.value_, context_.membership()->nodesOf(lender));
    SteadyTime sentAt = steadyNow();
    context_.metrics_.add(Counter::LoanMessages);
    auto reply = co_await context_.call(coordinator, frame, loanTimeout);
    std::lock_guard lock(mutex_);
    if (!reply || !reply.value().has_loan_reply()) {
        table->unreachableUntil_[lender] = steadyNow() + unreachableBackoff;
        co_return;
    }
    const wire::LoanReply& loan = reply.value().loan_reply();
    // The validity counts from the time of sending, so that the loan expires at
    // this borrower before it expires at the lender.
    table->loans_.setBorrowed(lender, loan.slots(), sentAt + milliseconds(loan.valid_ms()));
    if (table->tokens_)
        table->tokens_->giveBack(loan.tokens());
}

// A request that arrives after a newer one of the same coordinator is ignored,
// because the borrower no longer keeps to the slots that the older request
// states.
bool LimitCoordinator::isNewest(LimitTable& table, const wire::LoanRequest& request)
{
    std::uint64_t& last = table.lastSequence_[{ request.node() }];
    if (request.sequence() <= last)
        return false;
    last = request.sequence();
    return true;
}

wire::Frame LimitCoordinator::answerLoan(const wire::LoanRequest& request)
{
    wire::Frame frame;
    wire::LoanReply& reply = *frame.mutable_loan_reply();
    reply.set_valid_ms(static_cast<std::uint64_t>(loanValidity().count()));
    auto entry = context_.catalogue()->findEntry({ request.entry() });
    bool isCoordinator = coordinatorOf({ request.entry() }) == context_.self();
    if (!entry || !entry->workload_ || !isCoordinator)
        return frame;
    DataCentreId borrower { request.data_centre() };
    SteadyTime now = steadyNow();
    std::lock_guard lock(mutex_);
    LimitTablePtr table = tableOf(entry);
    if (!isNewest(*table, request))
        return frame;
    std::uint64_t share = shareOf(*entry);
    std::uint64_t granted = table->grants_.granted(entry->name_, now);
    std::uint64_t used = granted + table->loans_.lent(now) + slotReserve(share, granted);
    std::uint64_t free = share > used ? share - used : 0;
    // A new coordinator does not yet know all grants and loans, so it lends
    // nothing new. During a shortage of this data centre's nodes, loans shrink
    // to the slots that are in use.
    bool mayLend = !isNewCoordinator(*table, now);
    bool hasShortage = table->shortageAt_ && now - *table->shortageAt_ < 2 * grantValidity();
    LoanTable::Request loanRequest { request.in_use(), mayLend && !hasShortage ? request.wanted() : request.in_use() };
    reply.set_slots(static_cast<std::uint32_t>(table->loans_.lend(borrower, free, loanRequest, loanValidity(), grantValidity(), now)));
    if (!table->tokens_ || !request.tokens_wanted())
        return frame;
    auto [rank, count] = rankOfDataCentre();
    std::uint64_t tokenReserve = granted ? guaranteedShare(entry->workload_->limits_.burst_, rank, count) / reserveDivisor : 0;
    reply.set_tokens(table->tokens_->takeUpTo(request.tokens_wanted(), tokenReserve, now));
    return frame;
}

asio::awaitable<void> LimitCoordinator::renewLoans(EntryPtr entry, LimitTablePtr table)
{
    struct Renewal {
        DataCentreId lender_;
        std::uint64_t inUse_;
        std::uint64_t wanted_;
    };
    std::vector<Renewal> renewals;
    {
        std::lock_guard lock(mutex_);
        SteadyTime now = steadyNow();
        std::uint64_t share = shareOf(*entry);
        std::uint64_t lent = table->loans_.lent(now);
        std::uint64_t unlentShare = share > lent ? share - lent : 0;
        auto excessOf = [unlentShare](std::uint64_t slots) { return slots > unlentShare ? slots - unlentShare : 0; };
        std::uint64_t running = excessOf(table->grants_.inUse(entry->name_, now));
        std::uint64_t granted = excessOf(table->grants_.granted(entry->name_, now));
        for (const auto& [lender, slots] : table->loans_.borrowedFrom(now)) {
            Renewal renewal { lender, std::min(running, slots), std::min(granted, slots) };
            running -= renewal.inUse_;
            granted -= renewal.wanted_;
            renewals.push_back(std::move(renewal));
        }
    }
    for (const Renewal& renewal : renewals) {
        Shortage wanted { renewal.wanted_, 0 };
        co_await borrowFrom(entry, table, renewal.lender_, renewal.inUse_, wanted);
    }
    std::lock_guard lock(mutex_);
    endBorrowing(*table);
}

} // namespace pistachioloom
