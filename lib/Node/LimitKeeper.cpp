//===- lib/Node/LimitKeeper.cpp - the keeper of entries' limits ------------===//
///
/// \file
/// Books and grants; see Lending.cpp for the loans.
//===----------------------------------------------------------------------===//
#include "LimitKeeper.h"

#include "LimitBook.h"
#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // A loan outlasts so many grants, so that grants can be made on it while
    // it is renewed.
    constexpr int grantsPerLoan = 3;

} // namespace

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

} // namespace pistachioloom
