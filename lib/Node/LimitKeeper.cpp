//===- lib/Node/LimitKeeper.cpp - the keeper of entries' limits ------------===//
///
/// \file
/// See LimitKeeper.h.
//===----------------------------------------------------------------------===//
#include "LimitKeeper.h"

#include "SharedWait.h"
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
    // A loan outlasts so many grants, so that grants can be made on it while
    // it is renewed.
    constexpr int grantsPerLoan = 3;
    // A data centre that uses its share keeps one part in so many free of loans.
    constexpr std::uint64_t keptPart = 4;

    std::uint64_t slotsKept(std::uint64_t share, std::uint64_t granted)
    {
        return granted ? share / keptPart : 0;
    }

} // namespace

struct LimitKeeper::Book {
    // Guarded by the keeper's mutex.
    SteadyTime since_ = steadyNow();
    GrantTable grants_;
    LoanTable loans_;
    std::optional<TokenBucket> tokens_;
    /// Our own nodes wanted more than there was.
    std::optional<SteadyTime> shortAt_;
    SteadyTime borrowAgainAt_;
    std::map<DataCentreId, SteadyTime> unreachableUntil_;
    std::shared_ptr<SharedWait> borrowing_;
    /// Of each keeper that borrows from us.
    std::map<VmId, std::uint64_t> lastSequence_;
};

LimitKeeper::LimitKeeper(NodeContext& context)
    : context_(context)
    , logger_("limits")
    , loanSequence_(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1)))
{
}

LimitKeeper::~LimitKeeper() = default;

void LimitKeeper::start()
{
    context_.spawn(renewLoop());
}

VmId LimitKeeper::keeperOf(const EntryName& entry) const
{
    return pickByRendezvous("limits/" + entry.value_, context_.membership()->localNodes_);
}

milliseconds LimitKeeper::loanValidity() const
{
    return grantValidity() * grantsPerLoan;
}

std::pair<std::size_t, std::size_t> LimitKeeper::rankOfDataCentre() const
{
    auto view = context_.membership();
    std::size_t rank = 0;
    for (const auto& [dataCentre, nodes] : view->index_->entryVms_) {
        if (dataCentre == view->dataCentre_)
            break;
        ++rank;
    }
    return { rank, view->index_->entryVms_.size() };
}

std::uint64_t LimitKeeper::shareOf(const CatalogueEntry& entry) const
{
    auto [rank, count] = rankOfDataCentre();
    return guaranteedShare(entry.workload_->limits_.requestsInProgress_, rank, count);
}

// The keeper before us may have grants out when we became keeper by a change of
// nodes; a book that we kept through the change knows all of them.
bool LimitKeeper::isNewKeeper(const Book& book, SteadyTime now) const
{
    return book.since_ >= nodesSince_ && now - nodesSince_ < grantValidity();
}

void LimitKeeper::noteNodes()
{
    auto view = context_.membership();
    // After a freeze we may have been replaced and be back without a change of
    // nodes that we saw.
    bool wasFrozen = steadyNow() - notedAt_ > grantValidity();
    notedAt_ = steadyNow();
    if (view->localNodes_ == nodes_ && !wasFrozen)
        return;
    nodes_ = view->localNodes_;
    nodesSince_ = steadyNow();
    std::erase_if(books_, [&](const auto& item) { return (wasFrozen || keeperOf(item.first) != context_.self()) && !item.second->borrowing_; });
}

LimitKeeper::BookPtr LimitKeeper::bookOf(const EntryPtr& entry)
{
    noteNodes();
    BookPtr& book = books_[entry->name_];
    if (!book)
        book = std::make_shared<Book>();
    const EntryLimits& limits = entry->workload_->limits_;
    if (!limits.hasTokenLimit())
        return book;
    auto [rank, count] = rankOfDataCentre();
    std::uint64_t rate = std::max<std::uint64_t>(1, guaranteedShare(limits.tokensPerSecond_, rank, count));
    std::uint64_t burst = std::max<std::uint64_t>(1, guaranteedShare(limits.burst_, rank, count));
    // The keeper before us may have given out the burst already.
    if (!book->tokens_)
        book->tokens_.emplace(rate, std::min(rate, burst), steadyNow());
    book->tokens_->setRate(rate, burst);
    return book;
}

std::uint64_t LimitKeeper::usableSlots(const CatalogueEntry& entry, const Book& book, const VmId& node, SteadyTime now) const
{
    std::uint64_t share = shareOf(entry);
    if (!isNewKeeper(book, now)) {
        std::uint64_t lent = book.loans_.lent(now);
        return (share > lent ? share - lent : 0) + book.loans_.borrowed(now + grantValidity());
    }
    // Every node gets an equal part until the grants before us have ended.
    auto view = context_.membership();
    auto rank = std::find(view->localNodes_.begin(), view->localNodes_.end(), node) - view->localNodes_.begin();
    std::uint64_t part = guaranteedShare(share, static_cast<std::size_t>(rank), view->localNodes_.size());
    // The table takes off what the other nodes hold.
    return part + book.grants_.grantedToOthers(entry.name_, node, now);
}

LimitKeeper::Shortage LimitKeeper::settle(const EntryPtr& entry, const VmId& node, const wire::EntryDemand& demand, wire::EntryGrant& grant)
{
    std::lock_guard lock(mutex_);
    BookPtr book = bookOf(entry);
    SteadyTime now = steadyNow();
    Shortage shortage;
    std::uint64_t usable = usableSlots(*entry, *book, node, now);
    std::uint64_t slots = book->grants_.request(entry->name_, node, usable, demand.in_use(), demand.wanted(), grantValidity(), now);
    if (slots < demand.needed()) {
        shortage.slots_ = demand.wanted() - slots;
        book->shortAt_ = now;
    }
    grant.set_entry(entry->name_.value_);
    grant.set_slots(static_cast<std::uint32_t>(slots));
    if (entry->workload_->limits_.hasTokenLimit())
        settleTokens(*entry, *book, demand, grant, shortage);
    return shortage;
}

// May be called twice for one demand, the second time after borrowing; tokens
// granted before are kept in the grant.
void LimitKeeper::settleTokens(const CatalogueEntry& entry, Book& book, const wire::EntryDemand& demand, wire::EntryGrant& grant, Shortage& shortage)
{
    SteadyTime now = steadyNow();
    std::uint64_t before = grant.tokens();
    std::uint64_t first = demand.tokens_first() > before ? demand.tokens_first() - before : 0;
    std::uint64_t wanted = demand.tokens_wanted() > before ? demand.tokens_wanted() - before : 0;
    std::uint64_t taken = wanted ? book.tokens_->takeForRequests(first, wanted, now) : 0;
    grant.set_tokens(before + taken);
    grant.set_token_wait_ms(taken < first ? static_cast<std::uint64_t>(book.tokens_->wait(now).count()) : 0);
    // Others give as much as would go on for a moment, not only what is missing.
    constexpr std::uint64_t transfersPerSecond = 4;
    if (taken < wanted)
        shortage.tokens_ = std::max(wanted - taken, entry.workload_->limits_.tokensPerSecond_ / transfersPerSecond);
}

asio::awaitable<wire::Frame> LimitKeeper::answerGrants(const wire::GrantRequest& request)
{
    wire::Frame frame;
    wire::GrantReply& reply = *frame.mutable_grant_reply();
    reply.set_valid_ms(static_cast<std::uint64_t>(grantValidity().count()));
    VmId node { request.node() };
    auto catalogue = context_.catalogue();
    for (const wire::EntryDemand& demand : request.demands()) {
        auto entry = catalogue->findEntry({ demand.entry() });
        if (!entry || !entry->workload_)
            continue;
        wire::EntryGrant& grant = *reply.add_grants();
        BookPtr book;
        {
            std::lock_guard lock(mutex_);
            book = bookOf(entry);
            if (book->tokens_)
                book->tokens_->giveBack(demand.tokens_returned());
        }
        Shortage shortage = settle(entry, node, demand, grant);
        if (!shortage.slots_ && !shortage.tokens_)
            continue;
        co_await borrow(entry, book, shortage);
        (void)settle(entry, node, demand, grant);
    }
    co_return frame;
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
    std::shared_ptr<SharedWait> other;
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
        std::uint64_t held = 0;
        {
            std::lock_guard lock(mutex_);
            auto loans = book->loans_.borrowedFrom(steadyNow());
            held = loans.contains(lender) ? loans[lender] : 0;
        }
        std::uint64_t before = held;
        Shortage asked { held + shortage.slots_, shortage.tokens_ };
        co_await borrowFrom(entry, book, lender, held, asked);
        std::lock_guard lock(mutex_);
        auto loans = book->loans_.borrowedFrom(steadyNow());
        std::uint64_t gained = loans.contains(lender) && loans[lender] > before ? loans[lender] - before : 0;
        shortage.slots_ -= std::min(shortage.slots_, gained);
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
        book->loans_.promise(lender, std::max(inUse, wanted.slots_));
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
    LoanTable::Ask ask { request.in_use(), mayLend && !isShort ? request.wanted() : request.in_use() };
    reply.set_slots(static_cast<std::uint32_t>(book->loans_.lend(borrower, free, ask, loanValidity(), grantValidity(), now)));
    if (!book->tokens_ || !request.tokens_wanted())
        return frame;
    auto [rank, count] = rankOfDataCentre();
    std::uint64_t kept = granted ? guaranteedShare(entry->workload_->limits_.burst_, rank, count) / keptPart : 0;
    reply.set_tokens(book->tokens_->takeUpTo(request.tokens_wanted(), kept, now));
    return frame;
}

bool LimitKeeper::beginBorrowing(Book& book)
{
    if (book.borrowing_)
        return false;
    book.borrowing_ = std::make_shared<SharedWait>(context_.executor_);
    return true;
}

void LimitKeeper::endBorrowing(Book& book)
{
    book.borrowing_->open();
    book.borrowing_.reset();
}

asio::awaitable<void> LimitKeeper::renewLoop()
{
    for (;;) {
        co_await sleepFor(grantValidity() / 2);
        auto catalogue = context_.catalogue();
        std::lock_guard lock(mutex_);
        noteNodes();
        for (const auto& [name, book] : books_) {
            auto entry = catalogue->findEntry(name);
            bool hasLoans = !book->loans_.borrowedFrom(steadyNow()).empty();
            if (entry && entry->workload_ && hasLoans && beginBorrowing(*book))
                context_.spawn(renewLoans(entry, book));
        }
    }
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
