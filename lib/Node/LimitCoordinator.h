//===- lib/Node/LimitCoordinator.h - limits of a data centre --------------===//
///
/// \file
/// The coordinator of an entry in a data centre grants slots and tokens to the
/// nodes there, from the data centre's share of the entry's limits and from
/// loans of the coordinators of other data centres. A limit may be exceeded by
/// at most
/// - a data centre's share, for one grant validity after a change of
///   coordinator,
/// - the loans of the previous coordinator, until they have expired,
/// - requests on borrowed slots when a network partition ends the loan,
/// - tokens worth one second of the share after a change of coordinator.
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

/// Coordinates the limits of the entries that rendezvous hashing assigns to
/// this node.
class LimitCoordinator {
public:
    using EntryPtr = std::shared_ptr<const CatalogueEntry>;

    explicit LimitCoordinator(NodeContext& context);
    ~LimitCoordinator();

    void start();
    /// Answers a node of this data centre. On a shortage, borrows from other
    /// data centres first.
    asio::awaitable<wire::Frame> answerGrants(const wire::GrantRequest& request);
    /// Answers the coordinator of another data centre.
    wire::Frame answerLoan(const wire::LoanRequest& request);

    /// The node that coordinates \p entry in this data centre.
    VmId coordinatorOf(const EntryName& entry) const;
    /// This data centre's guaranteed share of requests in progress.
    std::uint64_t shareOf(const CatalogueEntry& entry) const;

private:
    struct LimitTable;
    using LimitTablePtr = std::shared_ptr<LimitTable>;
    /// The unmet part of a demand.
    struct Shortage {
        std::uint64_t slots_ = 0;
        std::uint64_t tokens_ = 0;
    };

    LimitTablePtr tableOf(const EntryPtr& entry);
    /// Whether grants of a previous coordinator may still be valid.
    bool isNewCoordinator(const LimitTable& table, SteadyTime now) const;
    /// Detects a change of nodes, and removes the tables of entries that this
    /// node no longer coordinates.
    void updateNodes();
    /// The slots of the entry that may be granted to \p node, including those
    /// that other nodes hold.
    std::uint64_t usableSlots(const CatalogueEntry& entry, const LimitTable& table, const VmId& node, SteadyTime now) const;
    /// Fills \p grant for the demand of \p node.
    Shortage fillGrant(const EntryPtr& entry, const VmId& node, const wire::EntryDemand& demand, wire::EntryGrant& grant);
    void fillTokenGrant(const CatalogueEntry& entry, LimitTable& table, const wire::EntryDemand& demand, wire::EntryGrant& grant, Shortage& shortage);
    /// Requests loans for \p shortage, or waits for the loans that are being
    /// requested.
    asio::awaitable<void> borrow(EntryPtr entry, LimitTablePtr table, Shortage shortage);
    asio::awaitable<void> borrowFrom(EntryPtr entry, LimitTablePtr table, DataCentreId lender, std::uint64_t inUse, Shortage wanted);
    /// Whether \p request is newer than all earlier ones of its sender.
    static bool isNewest(LimitTable& table, const wire::LoanRequest& request);
    asio::awaitable<void> renewLoop();
    /// Renews the loans of \p entry one after another. The caller must have
    /// called beginBorrowing().
    asio::awaitable<void> renewLoans(EntryPtr entry, LimitTablePtr table);
    /// Marks that loans are being requested. \returns false if they already
    /// are.
    bool beginBorrowing(LimitTable& table);
    void endBorrowing(LimitTable& table);
    /// The other data centres to request loans from, in random order: at most
    /// maxLendersAsked, without those that recently did not reply.
    std::vector<DataCentreId> lendersFor(const LimitTable& table) const;
    /// \returns the index of this data centre and the number of data centres.
    std::pair<std::size_t, std::size_t> rankOfDataCentre() const;
    milliseconds grantValidity() const { return context_.settings_.limits_.grantValidity_; }
    milliseconds loanValidity() const;

    NodeContext& context_;
    Logger logger_;
    mutable std::mutex mutex_;
    std::map<EntryName, LimitTablePtr> tables_;
    /// The nodes among which entries are distributed, and the time of their
    /// last change.
    std::vector<VmId> nodes_;
    SteadyTime nodesChangedAt_;
    /// When updateNodes() last ran; it runs at least twice in each grant
    /// validity.
    SteadyTime nodesCheckedAt_;
    /// Increases with each loan request. It starts at the wall clock, so that
    /// it also increases across restarts. A wrong clock only prevents
    /// borrowing.
    std::uint64_t loanSequence_;
};

} // namespace pistachioloom
