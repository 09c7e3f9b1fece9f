//===- pistachioloom/Limits.h - admission and shares of limits -------------===//
///
/// \file
/// Pure decisions of whether a request may start. An entry's limits are split
/// into guaranteed shares of the data centres; inside one a keeper grants slots
/// to the nodes for a short time and hands out tokens. Keepers lend each other
/// what their own data centre does not use, so that all of a limit can be used
/// from anywhere; a cut ends the loans. Nothing here knows sockets or clocks:
/// time is passed in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"

#include <deque>
#include <map>

namespace pistachioloom {

/// The part of \p limit that the data centre of rank \p rank among \p count may
/// use without asking any other. The parts of all ranks sum to \p limit.
std::uint64_t guaranteedShare(std::uint64_t limit, std::size_t rank, std::size_t count);

/// Slots of one entry that this data centre's nodes hold, at its keeper. A
/// grant not renewed before it expires is free again.
class GrantTable {
public:
    /// \p inUse is what the node works on and cannot give back; \p wanted what
    /// it would like to hold in all. \returns what it may hold until
    /// \p now + \p validity.
    std::uint64_t request(const EntryName& entry, const VmId& node, std::uint64_t share, std::uint64_t inUse, std::uint64_t wanted, milliseconds validity, SteadyTime now);
    std::uint64_t granted(const EntryName& entry, SteadyTime now) const;
    std::uint64_t grantedToOthers(const EntryName& entry, const VmId& node, SteadyTime now) const;
    /// What the nodes told to work on.
    std::uint64_t inUse(const EntryName& entry, SteadyTime now) const;

private:
    struct Grant {
        std::uint64_t slots_ = 0;
        std::uint64_t inUse_ = 0;
        SteadyTime expires_;
    };
    std::map<EntryName, std::map<VmId, Grant>> grants_;
};

/// Slots of one entry lent between data centres, seen from one of them.
///
/// The lender counts a loan as its own use until it expires. The borrower
/// counts it only while grants made on it end before the loan does, so the sum
/// of what all data centres admit stays within the limit.
class LoanTable {
public:
    struct Request {
        /// Lent slots that requests run on; they stay lent.
        std::uint64_t inUse_ = 0;
        std::uint64_t wanted_ = 0;
    };

    /// Lends to \p borrower out of \p free slots, those lent to it already not
    /// among them. A smaller loan than before is free again only once grants
    /// made on the larger one have ended, and the borrower, who may not get this
    /// answer, believes in it no more.
    std::uint64_t lend(const DataCentreId& borrower, std::uint64_t free, const Request& request, milliseconds loanValidity, milliseconds grantValidity, SteadyTime now);
    /// Slots lent to others.
    std::uint64_t lent(SteadyTime now) const;
    std::uint64_t lentTo(const DataCentreId& borrower, SteadyTime now) const;

    /// To be called before asking \p lender: no more than \p maxSlots of its slots
    /// are used until it answers.
    void capBorrowed(const DataCentreId& lender, std::uint64_t maxSlots);
    void setBorrowed(const DataCentreId& lender, std::uint64_t slots, SteadyTime expires);
    /// Borrowed slots whose loans last until \p until.
    std::uint64_t borrowed(SteadyTime until) const;
    /// Loans that have not expired, by lender.
    std::map<DataCentreId, std::uint64_t> borrowedFrom(SteadyTime now) const;

private:
    struct OutgoingLoan {
        std::uint64_t slots_ = 0;
        SteadyTime expires_;
        /// What the borrower may still take for lent, and until when.
        std::uint64_t assumedSlots_ = 0;
        SteadyTime assumedUntil_;
        /// What grants may have been made on, and until when they stand.
        std::uint64_t outstandingSlots_ = 0;
        SteadyTime outstandingUntil_;
    };
    struct IncomingLoan {
        std::uint64_t slots_ = 0;
        SteadyTime expires_;
    };

    static std::uint64_t reservedSlots(const OutgoingLoan& lent, SteadyTime now);

    std::map<DataCentreId, OutgoingLoan> lent_;
    std::map<DataCentreId, IncomingLoan> borrowed_;
};

/// Tokens an entry may still generate, refilled at its rate up to its burst.
class TokenBucket {
public:
    TokenBucket(std::uint64_t perSecond, std::uint64_t burst, SteadyTime now);
    /// Takes \p tokens if the bucket is not in debt; a long answer may drive it
    /// into debt, which later answers wait out.
    bool tryTake(std::uint64_t tokens, SteadyTime now);
    /// Takes up to \p tokens, but leaves \p minLevel in the bucket.
    std::uint64_t takeUpTo(std::uint64_t tokens, std::uint64_t minLevel, SteadyTime now);
    /// Takes for a row of requests: as many of \p wanted tokens as there are,
    /// but at least \p first of them if there is any, into debt.
    std::uint64_t takeForRequests(std::uint64_t first, std::uint64_t wanted, SteadyTime now);
    /// Returns what was taken and not used, or adds what another bucket gave.
    void giveBack(std::uint64_t tokens);
    /// How long until tryTake() may succeed.
    milliseconds wait(SteadyTime now) const;
    void setRate(std::uint64_t perSecond, std::uint64_t burst);

private:
    double levelAt(SteadyTime now) const;

    double perSecond_;
    double burst_;
    double level_;
    SteadyTime filledAt_;
};

/// Admission of one node: what it holds of every entry's limits.
class Admission {
public:
    enum class Decision {
        Admitted,
        /// A slot must be asked of the keeper first.
        NeedsSlot,
        /// Tokens must be asked of the keeper first.
        NeedsTokens,
    };
    /// What to ask the keeper for.
    struct Demand {
        std::uint64_t inUse_ = 0;
        std::uint64_t needed_ = 0;
        std::uint64_t wanted_ = 0;
        std::uint64_t tokensFirst_ = 0;
        std::uint64_t tokensWanted_ = 0;
        std::uint64_t tokensReturned_ = 0;
    };
    struct Grant {
        std::uint64_t slots_ = 0;
        std::uint64_t tokens_ = 0;
        SteadyTime expires_;
        /// When tokens may be had again, if there were none.
        milliseconds tokenWait_ {};
    };

    Decision tryStart(const CatalogueEntry& entry, std::uint64_t tokens, SteadyTime now);
    /// Ends a request that was admitted; \p unusedTokens go back.
    void finish(const EntryName& entry, std::uint64_t unusedTokens);
    /// A request that waits for slots or tokens, until it starts or gives up.
    void beginWait(const EntryName& entry, std::uint64_t tokens);
    void endWait(const EntryName& entry, std::uint64_t tokens);
    /// Holds no more slots than asked for from now on, so that the keeper may
    /// give the rest to others; what is returned is taken out.
    Demand makeDemand(const CatalogueEntry& entry, std::uint64_t slotsAhead);
    void applyGrant(const EntryName& entry, const Grant& grant);
    std::uint64_t inProgress(const EntryName& entry) const;
    std::uint64_t held(const EntryName& entry, SteadyTime now) const;
    milliseconds tokenWait(const EntryName& entry) const;
    /// Entries with requests in progress or tokens to return.
    std::vector<EntryName> activeEntries() const;

private:
    struct EntryState {
        std::uint64_t inProgress_ = 0;
        std::uint64_t slots_ = 0;
        SteadyTime expires_;
        std::uint64_t tokens_ = 0;
        /// Since the last demand; so many are asked for ahead.
        std::uint64_t tokensSpent_ = 0;
        milliseconds tokenWait_ {};
        /// Tokens of each request that waits.
        std::deque<std::uint64_t> waiting_;
    };
    std::map<EntryName, EntryState> entries_;
};

/// Waits for an engine's slots at its home: paid before trial, then by
/// weighted fair shares among entries, then in order of arrival.
class FairQueue {
public:
    struct Waiter {
        std::uint64_t id_ = 0;
        EntryName entry_;
        ServiceClass class_ = ServiceClass::Paid;
        std::uint64_t weight_ = 1;
        /// Work in tokens, the unit that is shared fairly.
        std::uint64_t cost_ = 1;
    };

    void push(Waiter waiter);
    /// The next to start.
    std::optional<Waiter> pop();
    bool remove(std::uint64_t id);
    std::size_t size() const { return waiting_.size(); }
    /// Waiters that would start before one of class \p serviceClass.
    std::size_t ahead(ServiceClass serviceClass) const;

private:
    struct Queued {
        Waiter waiter_;
        double finish_ = 0;
        std::uint64_t sequence_ = 0;
    };
    std::vector<Queued> waiting_;
    std::map<EntryName, double> lastFinish_;
    double virtualTime_ = 0;
    std::uint64_t sequence_ = 0;
};

/// Allows retries up to a share of the requests seen, so that a failing engine
/// does not multiply the load.
class RetryBudget {
public:
    /// \p ratio is retries per request; \p reserve is allowed at once.
    RetryBudget(double ratio, double reserve);
    void countRequest();
    bool tryRetry();

private:
    double ratio_;
    double reserve_;
    double balance_;
};

} // namespace pistachioloom
