//===- pistachioloom/Limits.h - admission and shares of limits -------------===//
///
/// \file
/// Pure decisions of whether a request may start. An entry's limit of requests
/// in progress is split into guaranteed shares of the data centres; inside one
/// a keeper grants slots to the nodes for a short time. Nothing here knows
/// sockets or clocks: time is passed in.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"

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

private:
    struct Grant {
        std::uint64_t slots_ = 0;
        SteadyTime expires_;
    };
    std::map<EntryName, std::map<VmId, Grant>> grants_;
};

/// Tokens an entry may still generate, refilled at its rate up to its burst.
class TokenBucket {
public:
    TokenBucket(std::uint64_t perSecond, std::uint64_t burst, SteadyTime now);
    /// Takes \p tokens if the bucket is not in debt; a long answer may drive it
    /// into debt, which later answers wait out.
    bool tryTake(std::uint64_t tokens, SteadyTime now);
    /// Returns what was taken and not used.
    void giveBack(std::uint64_t tokens);
    /// How long until tryTake() may succeed.
    milliseconds wait(SteadyTime now) const;
    void setRate(std::uint64_t perSecond, std::uint64_t burst);

private:
    double levelAt(SteadyTime now) const;

    double perSecond_;
    double burst_;
    double level_;
    SteadyTime at_;
};

/// Admission of one node: what it holds of every entry's limits.
class Admission {
public:
    enum class Verdict {
        Admitted,
        /// A slot must be asked of the keeper first.
        NeedsGrant,
        TokensExhausted,
    };

    Verdict tryStart(const CatalogueEntry& entry, std::uint64_t tokens, SteadyTime now);
    /// Ends a request that was admitted; \p unusedTokens go back.
    void finish(const EntryName& entry, std::uint64_t unusedTokens);
    void setGrant(const EntryName& entry, std::uint64_t slots, SteadyTime expires);
    std::uint64_t inProgress(const EntryName& entry) const;
    std::uint64_t held(const EntryName& entry, SteadyTime now) const;
    milliseconds tokenWait(const EntryName& entry, SteadyTime now) const;
    std::vector<EntryName> activeEntries() const;

private:
    struct EntryState {
        std::uint64_t inProgress_ = 0;
        std::uint64_t slots_ = 0;
        SteadyTime expires_;
        std::optional<TokenBucket> bucket_;
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
