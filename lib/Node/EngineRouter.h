//===- lib/Node/EngineRouter.h - candidates for a generation ---------------===//
///
/// \file
/// Feeds the Routing library from the picture of membership, and remembers
/// for operators why an engine was chosen.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"
#include "pistachioloom/Routing.h"

#include <deque>
#include <mutex>
#include <set>

namespace pistachioloom {

struct RoutingQuery {
    std::string requestId_;
    std::string model_;
    std::string prompt_;
    milliseconds latencyTarget_ {};
    bool isPaid_ = true;
    /// Engines and homes that failed this request.
    std::set<VmId> excluded_;
};

class EngineRouter {
public:
    explicit EngineRouter(NodeContext& context);

    /// The engines to try, best first; none if no engine serves the model.
    std::vector<EngineCandidate> choose(const RoutingQuery& query);
    /// Counts a request sent to \p dispatcher, until its next digest.
    void countSent(const VmId& dispatcher, const std::string& model);
    /// JSON of the candidates looked at for \p requestId, or an empty string.
    std::string explain(const std::string& requestId) const;
    /// The node that takes the role of home for \p server, outside \p excluded.
    VmId dispatcherOf(const MembershipView& view, const VmId& server, const std::set<VmId>& excluded) const;

private:
    struct SentCount {
        std::uint64_t heartbeat_ = 0;
        std::uint32_t count_ = 0;
    };

    EngineCandidate makeCandidate(const MembershipView& view, const RoutingQuery& query, const VmId& engine, std::size_t rank);
    void recordExplanation(const std::string& requestId, const std::vector<EngineCandidate>& candidates);

    NodeContext& context_;
    mutable std::mutex mutex_;
    std::map<std::pair<VmId, std::string>, SentCount> sent_;
    std::map<std::string, std::string> explanations_;
    std::deque<std::string> explanationOrder_;
};

} // namespace pistachioloom
