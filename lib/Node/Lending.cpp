//===- lib/Node/Lending.cpp - limits lent between data centres -------------===//
///
/// \file
/// The limit keeper towards the keepers of other data centres: borrowing what
/// its own nodes are short of, lending what they do not use.
//===----------------------------------------------------------------------===//
#include "LimitBook.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    constexpr milliseconds loanTimeout { 400 };
    // A data centre that did not answer is not asked again so soon.
    constexpr milliseconds unreachableFor { 5000 };
    // After nobody lent anything, and between two transfers of tokens.
    constexpr milliseconds borrowPause { 50 };
    constexpr std::size_t mostLendersAsked = 4;
    // A data centre that uses its share keeps one part in so many free of loans.
    constexpr std::uint64_t keptPart = 4;

    std::uint64_t slotsKept(std::uint64_t share, std::uint64_t granted)
    {
        return granted ? share / keptPart : 0;
    }

    std::uint64_t borrowedFrom(const LoanTable& loans, const DataCentreId& lender)
    {
        auto all = loans.borrowedFrom(steadyNow());
        auto found = all.find(lender);
        return found == all.end() ? 0 : found->second;
    }

} // namespace

bool LimitKeeper::beginBorrowing(Book& book)
{
    if (book.borrowing_)
        return false;
    book.borrowing_ = std::make_shared<CompletionEvent>(context_.executor_);
    return true;
}

void LimitKeeper::endBorrowing(Book& book)
{
    book.borrowing_->complete();
    book.borrowing_.reset();
}

std::vector<DataCentreId> LimitKeeper::lendersFor(const Book& book) const
{
    auto view = context_.membership();
    std::vector<DataCentreId> lenders;
    for (const auto& [dataCentre, nodes] : view->index_->entryVms_) {
        auto unreachable = book.unreachableUntil_.find(dataCentre);
        bool isUnreachable = unreachable != book.unreachableUntil_.end() && unreachable->second > steadyNow();
        if (dataCentre != view->dataCentre_ && !isUnreachable)
            lenders.push_back(dataCentre);
    }
    for (std::size_t i = lenders.size(); i > 1; --i)
        std::swap(lenders[i - 1], lenders[randomBits() % i]);
    if (lenders.size() > mostLendersAsked)
        lenders.resize(mostLendersAsked);
    return lenders;
}

asio::awaitable<void> LimitKeeper::borrow(EntryPtr entry, BookPtr book, Shortage shortage)
{
    std::shared_ptr<CompletionEvent> other;
    std::vector<DataCentreId> lenders;
    {
        std::lock_guard lock(mutex_);
        other = book->borrowing_;
        if (!other && steadyNow() < book->borrowAgainAt_)
            co_return;
        if (!other && beginBorrowing(*book))
            lenders = lendersFor(*book);
    }
    if (other) {
        co_await other->wait();
        co_return;
    }
    for (const DataCentreId& lender : lenders) {
        std::uint64_t before = 0;
        {
            std::lock_guard lock(mutex_);
            before = borrowedFrom(book->loans_, lender);
        }
        Shortage asked { before + shortage.slots_, shortage.tokens_ };
        co_await borrowFrom(entry, book, lender, before, asked);
        std::lock_guard lock(mutex_);
        std::uint64_t after = borrowedFrom(book->loans_, lender);
        shortage.slots_ -= std::min(shortage.slots_, after > before ? after - before : 0);
        if (book->tokens_ && !book->tokens_->wait(steadyNow()).count())
            shortage.tokens_ = 0;
        if (!shortage.slots_ && !shortage.tokens_)
            break;
    }
    std::lock_guard lock(mutex_);
    book->borrowAgainAt_ = steadyNow() + borrowPause;
    endBorrowing(*book);
}

asio::awaitable<void> LimitKeeper::borrowFrom(EntryPtr entry, BookPtr book, DataCentreId lender, std::uint64_t inUse, Shortage wanted)
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
        book->loans_.capBorrowed(lender, std::max(inUse, wanted.slots_));
    }
    VmId keeper = pickByRendezvous("limits/" + entry->name_.value_, context_.membership()->nodesOf(lender));
    SteadyTime askedAt = steadyNow();
    context_.metrics_.add(Counter::LoanMessages);
    auto reply = co_await context_.call(keeper, frame, loanTimeout);
    std::lock_guard lock(mutex_);
    if (!reply || !reply.value().has_loan_reply()) {
        book->unreachableUntil_[lender] = steadyNow() + unreachableFor;
        co_return;
    }
    const wire::LoanReply& loan = reply.value().loan_reply();
    // Counted from before the question, so that we end before the lender does.
    book->loans_.setBorrowed(lender, loan.slots(), askedAt + milliseconds(loan.valid_ms()));
    if (book->tokens_)
        book->tokens_->giveBack(loan.tokens());
}

// A question overtaken by a newer one of the same keeper promises nothing.
bool LimitKeeper::isNewest(Book& book, const wire::LoanRequest& request)
{
    std::uint64_t& last = book.lastSequence_[{ request.node() }];
    if (request.sequence() <= last)
        return false;
    last = request.sequence();
    return true;
}

wire::Frame LimitKeeper::answerLoan(const wire::LoanRequest& request)
{
    wire::Frame frame;
    wire::LoanReply& reply = *frame.mutable_loan_reply();
    reply.set_valid_ms(static_cast<std::uint64_t>(loanValidity().count()));
    auto entry = context_.catalogue()->findEntry({ request.entry() });
    bool isKeeper = keeperOf({ request.entry() }) == context_.self();
    if (!entry || !entry->workload_ || !isKeeper)
        return frame;
    DataCentreId borrower { request.data_centre() };
    SteadyTime now = steadyNow();
    std::lock_guard lock(mutex_);
    BookPtr book = bookOf(entry);
    if (!isNewest(*book, request))
        return frame;
    std::uint64_t share = shareOf(*entry);
    std::uint64_t granted = book->grants_.granted(entry->name_, now);
    std::uint64_t used = granted + book->loans_.lent(now) + slotsKept(share, granted);
    std::uint64_t free = share > used ? share - used : 0;
    // A new keeper does not know yet what is granted and lent; one whose own
    // nodes are short lets loans shrink as their requests end.
    bool mayLend = !isNewKeeper(*book, now);
    bool isShort = book->shortAt_ && now - *book->shortAt_ < 2 * grantValidity();
    LoanTable::Request ask { request.in_use(), mayLend && !isShort ? request.wanted() : request.in_use() };
    reply.set_slots(static_cast<std::uint32_t>(book->loans_.lend(borrower, free, ask, loanValidity(), grantValidity(), now)));
    if (!book->tokens_ || !request.tokens_wanted())
        return frame;
    auto [rank, count] = rankOfDataCentre();
    std::uint64_t kept = granted ? guaranteedShare(entry->workload_->limits_.burst_, rank, count) / keptPart : 0;
    reply.set_tokens(book->tokens_->takeUpTo(request.tokens_wanted(), kept, now));
    return frame;
}

asio::awaitable<void> LimitKeeper::renewLoans(EntryPtr entry, BookPtr book)
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
        std::uint64_t lent = book->loans_.lent(now);
        std::uint64_t own = share > lent ? share - lent : 0;
        auto beyond = [own](std::uint64_t slots) { return slots > own ? slots - own : 0; };
        std::uint64_t running = beyond(book->grants_.inUse(entry->name_, now));
        std::uint64_t granted = beyond(book->grants_.granted(entry->name_, now));
        for (const auto& [lender, slots] : book->loans_.borrowedFrom(now)) {
            Renewal renewal { lender, std::min(running, slots), std::min(granted, slots) };
            running -= renewal.inUse_;
            granted -= renewal.wanted_;
            renewals.push_back(std::move(renewal));
        }
    }
    for (const Renewal& renewal : renewals) {
        Shortage wanted { renewal.wanted_, 0 };
        co_await borrowFrom(entry, book, renewal.lender_, renewal.inUse_, wanted);
    }
    std::lock_guard lock(mutex_);
    endBorrowing(*book);
}

} // namespace pistachioloom
