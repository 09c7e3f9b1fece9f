//===- lib/Node/LimitCoordinator.h - the keeper of entries' limits --------------===//
///
/// \file
/// The keeper of an entry in a data centre grants slots and tokens to the nodes
/// there, out of the data centre's share of the entry's limits and of what the
/// keepers of other data centres lend. A limit is exceeded at most by
/// - a data centre's share for one grant validity after a change of its keeper,
/// - what the keeper before had lent, until those loans have expired,
/// - requests that run on borrowed slots when a cut ends the loan,
/// - tokens worth one second of the share after a change of keeper.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"
#include "pistachioloom/Limits.h"

#include <mutex>

namespace pistachioloom::wire {
class EntryDemand;
class EntryGrant;
class GrantRequest;
class LoanReply;
class LoanRequest;
}

namespace pistachioloom {

class LimitCoordinator {
public:
    using EntryPtr = std::shared_ptr<const CatalogueEntry>;

    explicit LimitCoordinator(NodeContext& context);
    ~LimitCoordinator();

    void start();
    /// Answers a node of our data centre; borrows first if that helps.
    asio::awaitable<wire::Frame> answerGrants(const wire::GrantRequest& request);
    /// Answers the keeper of another data centre.
    wire::Frame answerLoan(const wire::LoanRequest& request);

    VmId coordinatorOf(const EntryName& entry) const;
    /// This data centre's guaranteed share of requests in progress.
    std::uint64_t shareOf(const CatalogueEntry& entry) const;

private:
    struct LimitTable;
    using LimitTablePtr = std::shared_ptr<LimitTable>;
    /// What a demand is short of.
    struct Shortage {
        std::uint64_t slots_ = 0;
        std::uint64_t tokens_ = 0;
    };

    LimitTablePtr tableOf(const EntryPtr& entry);
    bool isNewCoordinator(const LimitTable& table, SteadyTime now) const;
    /// Notices a change of nodes, and drops the books that are not ours any more.
    void updateNodes();
    std::uint64_t usableSlots(const CatalogueEntry& entry, const LimitTable& table, const VmId& node, SteadyTime now) const;
    Shortage fillGrant(const EntryPtr& entry, const VmId& node, const wire::EntryDemand& demand, wire::EntryGrant& grant);
    void fillTokenGrant(const CatalogueEntry& entry, LimitTable& table, const wire::EntryDemand& demand, wire::EntryGrant& grant, Shortage& shortage);
    asio::awaitable<void> borrow(EntryPtr entry, LimitTablePtr table, Shortage shortage);
    asio::awaitable<void> borrowFrom(EntryPtr entry, LimitTablePtr table, DataCentreId lender, std::uint64_t inUse, Shortage wanted);
    static bool isNewest(LimitTable& table, const wire::LoanRequest& request);
    asio::awaitable<void> renewLoop();
    /// Our loans, renewed one after the other unless somebody borrows just now.
    asio::awaitable<void> renewLoans(EntryPtr entry, LimitTablePtr table);
    /// Marks that we are asking others; \returns false if we are already.
    bool beginBorrowing(LimitTable& table);
    void endBorrowing(LimitTable& table);
    std::vector<DataCentreId> lendersFor(const LimitTable& table) const;
    std::pair<std::size_t, std::size_t> rankOfDataCentre() const;
    milliseconds grantValidity() const { return context_.settings_.limits_.grantValidity_; }
    milliseconds loanValidity() const;

    NodeContext& context_;
    Logger logger_;
    mutable std::mutex mutex_;
    std::map<EntryName, LimitTablePtr> tables_;
    /// The nodes that share the keepers' role, and since when.
    std::vector<VmId> nodes_;
    SteadyTime nodesChangedAt_;
    /// updateNodes() is called twice in each grant validity at least.
    SteadyTime nodesCheckedAt_;
    /// Grows with each question; begins at the wall clock, so that it also grows
    /// over a restart. A wrong clock only keeps us from borrowing.
    std::uint64_t loanSequence_;
};

} // namespace pistachioloom
