//===- lib/Node/LimitClient.h - admission of a node --------------------------===//
///
/// \file
/// A node's side of the limits: it asks the keepers of entries for slots and
/// tokens, a few ahead, and admits requests on what it holds. One question at a
/// time is under way for an entry; whoever needs more meanwhile waits for it.
//===----------------------------------------------------------------------===//
#pragma once

#include "LimitCoordinator.h"
#include "SharedWait.h"

namespace pistachioloom {

class LimitClient {
public:
    LimitClient(NodeContext& context, LimitCoordinator& coordinator);

    void start();
    /// Admits a request of \p entry that may use \p tokens. Errors:
    /// LimitReached with the time after which to come back.
    asio::awaitable<Result<void>> admit(std::shared_ptr<const CatalogueEntry> entry, std::uint64_t tokens);
    void finish(const EntryName& entry, std::uint64_t unusedTokens);

    struct EntryUse {
        EntryName entry_;
        std::uint64_t inProgress_ = 0;
        std::uint64_t held_ = 0;
        std::uint64_t share_ = 0;
        VmId coordinator_;
    };
    std::vector<EntryUse> uses() const;

private:
    using EntryPtr = std::shared_ptr<const CatalogueEntry>;

    Error rejection(const CatalogueEntry& entry, Admission::Decision decision) const;
    /// Asks the keeper of \p entry, or waits for the answer to who did already.
    asio::awaitable<void> requestOrJoin(EntryPtr entry);
    asio::awaitable<void> requestGrants(VmId coordinator, std::vector<EntryPtr> entries);
    asio::awaitable<void> renewLoop();

    NodeContext& context_;
    LimitCoordinator& coordinator_;
    Logger logger_;
    mutable std::mutex mutex_;
    Admission admission_;
    std::map<EntryName, std::shared_ptr<SharedWait>> pendingRequests_;
};

} // namespace pistachioloom
