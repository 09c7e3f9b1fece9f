//===- pistachioloom/Limits.h - admission and shares of limits -------------===//
///
/// \file
/// Decides whether a request may start. An entry's limits are split into
/// guaranteed shares of the data centres. In each data centre a coordinator
/// grants slots to the nodes for a short time and distributes tokens.
/// Coordinators lend each other the slots that their own data centre does not
/// use, so that any data centre can use the complete limit; loans expire during
/// a network partition. The code uses neither sockets nor clocks: the caller
/// passes the time in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"

#include <deque>
#include <map>

namespace pistachioloom {

/// \returns the share of \p limit that the data centre with rank \p rank among
/// \p count may use without asking another one. The shares of all ranks sum to
/// \p limit.
std::uint64_t guaranteedShare(std::uint64_t limit, std::size_t rank, std::size_t count);

/// The coordinator's record of the slots that are granted to the nodes of its
/// data centre, by entry. A grant that is not renewed before it expires is free
/// again.
class GrantTable {
public:
    /// Grants slots to \p node out of \p share, the slots that the data centre may grant
    /// to all of its nodes. \p inUse counts the slots of its requests in progress, which
    /// it cannot return; \p wanted is the total it asks for.
    /// \returns the slots that it may hold until \p now + \p validity.
    std::uint64_t request(const EntryName& entry, const VmId& node, std::uint64_t share, std::uint64_t inUse, std::uint64_t wanted, milliseconds validity, SteadyTime now);
    std::uint64_t granted(const EntryName& entry, SteadyTime now) const;
    std::uint64_t grantedToOthers(const EntryName& entry, const VmId& node, SteadyTime now) const;
    /// Slots that the nodes reported as in use.
    std::uint64_t inUse(const EntryName& entry, SteadyTime now) const;

private:
    struct Grant {
        std::uint64_t slots_ = 0;
        std::uint64_t inUse_ = 0;
        SteadyTime expires_;
    };
    std::map<EntryName, std::map<VmId, Grant>> grants_;
};

/// Slots of one entry that one data centre lends to and borrows from others.
///
/// The lender counts a loan as its own use until the loan expires. The borrower
/// uses a loan only for grants that expire before the loan does, so the sum of
/// the slots that all data centres grant stays within the limit.
class LoanTable {
public:
    struct Request {
        /// Borrowed slots of requests in progress; they stay lent.
        std::uint64_t inUse_ = 0;
        std::uint64_t wanted_ = 0;
    };

    /// Lends slots to \p borrower. \p free excludes the slots that this borrower already
    /// has. When a loan shrinks, the difference stays reserved until the grants made on
    /// the larger loan have expired and the borrower, which may not receive this reply,
    /// no longer assumes the larger loan.
    /// \returns the slots of the new loan.
    std::uint64_t lend(const DataCentreId& borrower, std::uint64_t free, const Request& request, milliseconds loanValidity, milliseconds grantValidity, SteadyTime now);
    /// Slots lent to others.
    std::uint64_t lent(SteadyTime now) const;
    std::uint64_t lentTo(const DataCentreId& borrower, SteadyTime now) const;

    /// Limits the use of the loan from \p lender to \p maxSlots until the lender
    /// replies. Must be called before each loan request.
    void capBorrowed(const DataCentreId& lender, std::uint64_t maxSlots);
    void setBorrowed(const DataCentreId& lender, std::uint64_t slots, SteadyTime expires);
    /// Borrowed slots of loans that do not expire before \p until.
    std::uint64_t borrowed(SteadyTime until) const;
    /// Loans that have not expired, by lender.
    std::map<DataCentreId, std::uint64_t> borrowedFrom(SteadyTime now) const;

private:
    struct OutgoingLoan {
        std::uint64_t slots_ = 0;
        SteadyTime expires_;
        /// Slots that the borrower may still assume to be lent, and until when.
        std::uint64_t assumedSlots_ = 0;
        SteadyTime assumedUntil_;
        /// Slots that the borrower may have granted to its nodes, and when these grants
        /// expire.
        std::uint64_t outstandingSlots_ = 0;
        SteadyTime outstandingUntil_;
    };
    struct IncomingLoan {
        std::uint64_t slots_ = 0;
        SteadyTime expires_;
    };

    /// \returns the slots that the lender must not use because of the loan \p lent.
    static std::uint64_t reservedSlots(const OutgoingLoan& lent, SteadyTime now);

    std::map<DataCentreId, OutgoingLoan> outgoingLoans_;
    std::map<DataCentreId, IncomingLoan> incomingLoans_;
};

/// Token bucket of an entry's generated tokens, refilled at the entry's rate up
/// to its burst.
class TokenBucket {
public:
    TokenBucket(std::uint64_t perSecond, std::uint64_t burst, SteadyTime now);
    /// Takes \p tokens if the bucket's level is above zero. A long answer may make
    /// the level negative; later requests wait until it is above zero again.
    bool tryTake(std::uint64_t tokens, SteadyTime now);
    /// Takes up to \p tokens, but leaves at least \p minLevel in the bucket.
    /// \returns the tokens taken.
    std::uint64_t takeUpTo(std::uint64_t tokens, std::uint64_t minLevel, SteadyTime now);
    /// Takes tokens for several waiting requests: up to \p wanted as far as
    /// available. If the level is above zero, takes at least \p first, the tokens of
    /// the first request, even if the level becomes negative.
    /// \returns the tokens taken.
    std::uint64_t takeForRequests(std::uint64_t first, std::uint64_t wanted, SteadyTime now);
    /// Returns unused tokens to the bucket, or adds tokens that were taken from
    /// another bucket.
    void giveBack(std::uint64_t tokens);
    /// \returns the time until tryTake() may succeed.
    milliseconds wait(SteadyTime now) const;
    void setRate(std::uint64_t perSecond, std::uint64_t burst);

private:
    double levelAt(SteadyTime now) const;

    double perSecond_;
    double burst_;
    double level_;
    SteadyTime filledAt_;
};

/// Admits requests on one node, within the slots and tokens that the node holds
/// of each entry's limits.
class EntryAdmission {
public:
    enum class Decision {
        Admitted,
        /// The node must first request a slot from the coordinator.
        NeedsSlot,
        /// The node must first request tokens from the coordinator.
        NeedsTokens,
    };
    /// Slots and tokens to request from the coordinator.
    struct Demand {
        /// Slots of requests in progress.
        std::uint64_t inUse_ = 0;
        /// Slots of requests in progress and of waiting requests.
        std::uint64_t needed_ = 0;
        /// `needed_` and the slots requested ahead.
        std::uint64_t wanted_ = 0;
        /// Tokens that the first waiting request lacks.
        std::uint64_t tokensFirst_ = 0;
        /// All tokens that the node requests, including tokensFirst_.
        std::uint64_t tokensWanted_ = 0;
        /// Unused tokens that the node returns to the coordinator.
        std::uint64_t tokensReturned_ = 0;
    };
    struct Grant {
        std::uint64_t slots_ = 0;
        std::uint64_t tokens_ = 0;
        SteadyTime expires_;
        /// Time until tokens may be available again, if there were none.
        milliseconds tokenWait_ {};
    };

    Decision tryStart(const CatalogueEntry& entry, std::uint64_t tokens, SteadyTime now);
    /// Ends an admitted request and keeps its \p unusedTokens for other requests.
    void finish(const EntryName& entry, std::uint64_t unusedTokens);
    /// Adds a request that waits for slots or tokens. endWait() removes it when
    /// it starts or is cancelled.
    void beginWait(const EntryName& entry, std::uint64_t tokens);
    void endWait(const EntryName& entry, std::uint64_t tokens);
    /// \returns the demand for \p entry with \p slotsAhead spare slots. Releases
    /// the slots beyond this demand immediately, so that the coordinator can grant
    /// them to other nodes, and removes the tokens that the demand returns.
    Demand makeDemand(const CatalogueEntry& entry, std::uint64_t slotsAhead);
    void applyGrant(const EntryName& entry, const Grant& grant);
    std::uint64_t inProgress(const EntryName& entry) const;
    /// \returns the slots that the node holds, used or not.
    std::uint64_t held(const EntryName& entry, SteadyTime now) const;
    milliseconds tokenWait(const EntryName& entry) const;
    /// Entries with requests in progress or with unused tokens to return to the
    /// coordinator.
    std::vector<EntryName> activeEntries() const;

private:
    struct EntryState {
        std::uint64_t inProgress_ = 0;
        std::uint64_t slots_ = 0;
        SteadyTime expires_;
        std::uint64_t tokens_ = 0;
        /// Tokens spent since the last demand; the next demand requests as many in
        /// advance.
        std::uint64_t tokensSpent_ = 0;
        milliseconds tokenWait_ {};
        /// Tokens of each waiting request.
        std::deque<std::uint64_t> waiting_;
    };
    std::map<EntryName, EntryState> entries_;
};

/// Queue of the requests that wait at an engine's dispatcher for a slot. Paid
/// requests start before trial requests; inside a class, entries share by
/// weighted fair queueing, and ties start in order of arrival.
class FairQueue {
public:
    struct Waiter {
        std::uint64_t id_ = 0;
        EntryName entry_;
        ServiceClass class_ = ServiceClass::Paid;
        std::uint64_t weight_ = 1;
        /// Work in tokens, the unit of the fair shares.
        std::uint64_t cost_ = 1;
    };

    void push(Waiter waiter);
    /// Removes and returns the next request to start.
    std::optional<Waiter> pop();
    bool remove(std::uint64_t id);
    std::size_t size() const { return waiting_.size(); }
    /// \returns the number of waiting requests that would start before a new
    /// request of class \p serviceClass.
    std::size_t ahead(ServiceClass serviceClass) const;

private:
    struct Queued {
        Waiter waiter_;
        double virtualFinish_ = 0;
        std::uint64_t sequence_ = 0;
    };
    std::vector<Queued> waiting_;
    std::map<EntryName, double> lastVirtualFinish_;
    double virtualTime_ = 0;
    std::uint64_t sequence_ = 0;
};

/// Limits retries to a share of the requests, so that a failing engine does not
/// multiply the load.
class RetryBudget {
public:
    /// \p ratio is the number of retries per request; \p reserve is the number of
    /// retries available at the start, and the maximum that can accumulate.
    RetryBudget(double ratio, double reserve);
    void countRequest();
    bool tryRetry();

private:
    double ratio_;
    double reserve_;
    double balance_;
};

} // namespace pistachioloom
