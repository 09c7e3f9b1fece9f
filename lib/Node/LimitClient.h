//===- lib/Node/LimitClient.h - admission of requests on a node -----------===//
///
/// \file
/// The node's side of the limits: requests slots and tokens from the limit
/// coordinators of entries, a few in advance, and admits requests within what
/// it holds. At most one request for an entry is pending at a time. Requests
/// of callers that need more slots or tokens meanwhile wait for the reply.
//===----------------------------------------------------------------------===//
#pragma once

#include "CompletionEvent.h"
#include "LimitCoordinator.h"

namespace pistachioloom {

/// Admits requests on a node within the slots and tokens that coordinators
/// grant.
class LimitClient {
public:
    LimitClient(NodeContext& context, LimitCoordinator& coordinator);

    void start();
    /// Admits a request of \p entry that may use \p tokens. Errors:
    /// LimitReached with the time after which to retry.
    asio::awaitable<Result<void>> admit(std::shared_ptr<const CatalogueEntry> entry, std::uint64_t tokens);
    /// Ends an admitted request and returns the tokens that it did not use.
    void finish(const EntryName& entry, std::uint64_t unusedTokens);

    struct EntryUse {
        EntryName entry_;
        std::uint64_t inProgress_ = 0;
        /// Slots that this node holds.
        std::uint64_t held_ = 0;
        /// Guaranteed share of this data centre.
        std::uint64_t share_ = 0;
        VmId coordinator_;
    };
    /// Returns this node's use of the limits of each workload entry.
    std::vector<EntryUse> uses() const;

private:
    using EntryPtr = std::shared_ptr<const CatalogueEntry>;

    Error rejection(const CatalogueEntry& entry, EntryAdmission::Decision decision) const;
    /// Requests a grant from the coordinator of \p entry, or waits for the
    /// reply to a pending request.
    asio::awaitable<void> requestOrJoin(EntryPtr entry);
    asio::awaitable<void> requestGrants(VmId coordinator, std::vector<EntryPtr> entries);
    /// Renews the grants of active entries.
    asio::awaitable<void> renewLoop();

    NodeContext& context_;
    LimitCoordinator& coordinator_;
    Logger logger_;
    mutable std::mutex mutex_;
    EntryAdmission admission_;
    std::map<EntryName, std::shared_ptr<CompletionEvent>> pendingRequests_;
};

} // namespace pistachioloom
