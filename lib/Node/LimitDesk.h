//===- lib/Node/LimitDesk.h - admission of a node, and the limit keeper ----===//
///
/// \file
/// The entry's side asks the keeper of an entry for slots, a few ahead; the
/// keeper's side grants them out of the data centre's guaranteed share. Two
/// nodes that both believe to be keeper grant too much for one validity at
/// most; the share of other data centres is never touched.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"
#include "pistachioloom/Limits.h"

#include <mutex>

namespace pistachioloom::wire {
class GrantRequest;
}

namespace pistachioloom {

class LimitDesk {
public:
    explicit LimitDesk(NodeContext& context);

    void start();
    /// Admits a request of \p entry that may use \p tokens. Errors:
    /// LimitReached with the time after which to come back.
    asio::awaitable<Result<void>> admit(std::shared_ptr<const CatalogueEntry> entry, std::uint64_t tokens);
    void finish(const EntryName& entry, std::uint64_t unusedTokens);
    wire::Frame answerGrant(const wire::GrantRequest& request);

    struct EntryUse {
        EntryName entry_;
        std::uint64_t inProgress_ = 0;
        std::uint64_t held_ = 0;
        std::uint64_t share_ = 0;
        VmId keeper_;
    };
    std::vector<EntryUse> uses() const;

private:
    Admission::Verdict tryStart(const CatalogueEntry& entry, std::uint64_t tokens, milliseconds& tokenWait);
    wire::Frame makeRequest(const EntryName& entry);
    asio::awaitable<void> askKeeper(std::shared_ptr<const CatalogueEntry> entry);
    asio::awaitable<void> renewLoop();
    std::uint64_t shareOf(const CatalogueEntry& entry) const;
    VmId keeperOf(const EntryName& entry) const;

    NodeContext& context_;
    Logger logger_;
    mutable std::mutex mutex_;
    Admission admission_;
    /// Requests that wait for an answer of the keeper.
    std::map<EntryName, std::uint64_t> waiting_;
    GrantTable grants_;
    /// When we were first asked for an entry: until one validity has passed,
    /// grants of the keeper before us may be out.
    std::map<EntryName, SteadyTime> keeperSince_;
};

} // namespace pistachioloom
