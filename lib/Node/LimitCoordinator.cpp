//===- lib/Node/LimitCoordinator.cpp - limits of a data centre ------------===//
///
/// \file
/// Implements the tables of entries and the grants; Lending.cpp implements the
/// loans.
//===----------------------------------------------------------------------===//
#include "LimitCoordinator.h"

#include "LimitTable.h"
#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // Validity of a loan as a multiple of the grant validity. A loan lasts
    // longer than a grant, so that grants can be made on it while it is renewed.
    constexpr int loanValidityFactor = 3;

} // namespace

LimitCoordinator::LimitCoordinator(NodeContext& context)
    : context_(context)
    , logger_("limits")
    , loanSequence_(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1)))
{
}

LimitCoordinator::~LimitCoordinator() = default;

void LimitCoordinator::start()
{
    context_.spawn(renewLoop());
}

VmId LimitCoordinator::coordinatorOf(const EntryName& entry) const
{
    return pickByRendezvous("limits/" + entry.value_, context_.membership()->localNodes_);
}

milliseconds LimitCoordinator::loanValidity() const
{
    return grantValidity() * loanValidityFactor;
}

std::pair<std::size_t, std::size_t> LimitCoordinator::rankOfDataCentre() const
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

std::uint64_t LimitCoordinator::shareOf(const CatalogueEntry& entry) const
{
    auto [rank, count] = rankOfDataCentre();
    return guaranteedShare(entry.workload_->limits_.requestsInProgress_, rank, count);
}

// After a change of nodes, grants of the previous coordinator may still be
// valid. A table that existed before the change contains all valid grants.
bool LimitCoordinator::isNewCoordinator(const LimitTable& table, SteadyTime now) const
{
    return table.createdAt_ >= nodesChangedAt_ && now - nodesChangedAt_ < grantValidity();
}

void LimitCoordinator::updateNodes()
{
    auto view = context_.membership();
    // While this process was frozen, another node may have coordinated its
    // entries, without a change of nodes that is visible here.
    bool wasFrozen = steadyNow() - nodesCheckedAt_ > grantValidity();
    nodesCheckedAt_ = steadyNow();
    if (view->localNodes_ == nodes_ && !wasFrozen)
        return;
    nodes_ = view->localNodes_;
    nodesChangedAt_ = steadyNow();
    std::erase_if(tables_, [&](const auto& item) { return (wasFrozen || coordinatorOf(item.first) != context_.self()) && !item.second->borrowing_; });
}

LimitCoordinator::LimitTablePtr LimitCoordinator::tableOf(const EntryPtr& entry)
{
    updateNodes();
    LimitTablePtr& table = tables_[entry->name_];
    if (!table)
        table = std::make_shared<LimitTable>();
    const EntryLimits& limits = entry->workload_->limits_;
    if (!limits.hasTokenLimit())
        return table;
    auto [rank, count] = rankOfDataCentre();
    std::uint64_t rate = std::max<std::uint64_t>(1, guaranteedShare(limits.tokensPerSecond_, rank, count));
    std::uint64_t burst = std::max<std::uint64_t>(1, guaranteedShare(limits.burst_, rank, count));
    // The previous coordinator may already have granted the burst, so a new
    // table starts with at most the tokens of one second.
    if (!table->tokens_)
        table->tokens_.emplace(rate, std::min(rate, burst), steadyNow());
    table->tokens_->setRate(rate, burst);
    return table;
}

std::uint64_t LimitCoordinator::usableSlots(const CatalogueEntry& entry, const LimitTable& table, const VmId& node, SteadyTime now) const
{
    std::uint64_t share = shareOf(entry);
    if (!isNewCoordinator(table, now)) {
        std::uint64_t lent = table.loans_.lent(now);
        return (share > lent ? share - lent : 0) + table.loans_.borrowed(now + grantValidity());
    }
    // Until the previous coordinator's grants have expired, every node gets an
    // equal part of the share.
    auto view = context_.membership();
    auto rank = std::find(view->localNodes_.begin(), view->localNodes_.end(), node) - view->localNodes_.begin();
    std::uint64_t part = guaranteedShare(share, static_cast<std::size_t>(rank), view->localNodes_.size());
    // GrantTable::request() subtracts what the other nodes hold.
    return part + table.grants_.grantedToOthers(entry.name_, node, now);
}

LimitCoordinator::Shortage LimitCoordinator::fillGrant(const EntryPtr& entry, const VmId& node, const wire::EntryDemand& demand, wire::EntryGrant& grant)
{
    std::lock_guard lock(mutex_);
    LimitTablePtr table = tableOf(entry);
    SteadyTime now = steadyNow();
    Shortage shortage;
    std::uint64_t usable = usableSlots(*entry, *table, node, now);
    std::uint64_t slots = table->grants_.request(entry->name_, node, usable, demand.in_use(), demand.wanted(), grantValidity(), now);
    if (slots < demand.needed()) {
        shortage.slots_ = demand.wanted() - slots;
        table->shortageAt_ = now;
    }
    grant.set_entry(entry->name_.value_);
    grant.set_slots(static_cast<std::uint32_t>(slots));
    if (entry->workload_->limits_.hasTokenLimit())
        fillTokenGrant(*entry, *table, demand, grant, shortage);
    return shortage;
}

// May be called twice for one demand, the second time after borrowing. Tokens
// of the first call remain in the grant.
void LimitCoordinator::fillTokenGrant(const CatalogueEntry& entry, LimitTable& table, const wire::EntryDemand& demand, wire::EntryGrant& grant, Shortage& shortage)
{
    SteadyTime now = steadyNow();
    std::uint64_t before = grant.tokens();
    std::uint64_t first = demand.tokens_first() > before ? demand.tokens_first() - before : 0;
    std::uint64_t wanted = demand.tokens_wanted() > before ? demand.tokens_wanted() - before : 0;
    std::uint64_t taken = wanted ? table.tokens_->takeForRequests(first, wanted, now) : 0;
    grant.set_tokens(before + taken);
    grant.set_token_wait_ms(taken < first ? static_cast<std::uint64_t>(table.tokens_->wait(now).count()) : 0);
    // Borrows at least the tokens of a quarter of a second, not only the missing
    // tokens, so that further requests can be admitted until the next loan.
    constexpr std::uint64_t transfersPerSecond = 4;
    if (taken < wanted)
        shortage.tokens_ = std::max(wanted - taken, entry.workload_->limits_.tokensPerSecond_ / transfersPerSecond);
}

asio::awaitable<wire::Frame> LimitCoordinator::answerGrants(const wire::GrantRequest& request)
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
        LimitTablePtr table;
        {
            std::lock_guard lock(mutex_);
            table = tableOf(entry);
            if (table->tokens_)
                table->tokens_->giveBack(demand.tokens_returned());
        }
        Shortage shortage = fillGrant(entry, node, demand, grant);
        if (!shortage.slots_ && !shortage.tokens_)
            continue;
        co_await borrow(entry, table, shortage);
        (void)fillGrant(entry, node, demand, grant);
    }
    co_return frame;
}

asio::awaitable<void> LimitCoordinator::renewLoop()
{
    for (;;) {
        co_await sleepFor(grantValidity() / 2);
        auto catalogue = context_.catalogue();
        std::lock_guard lock(mutex_);
        updateNodes();
        for (const auto& [name, table] : tables_) {
            auto entry = catalogue->findEntry(name);
            bool hasLoans = !table->loans_.borrowedFrom(steadyNow()).empty();
            if (entry && entry->workload_ && hasLoans && beginBorrowing(*table))
                context_.spawn(renewLoans(entry, table));
        }
    }
}

} // namespace pistachioloom
