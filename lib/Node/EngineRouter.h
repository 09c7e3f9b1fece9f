//===- lib/Node/EngineRouter.h - candidates for a generation --------------===//
///
/// \file
/// Passes the membership view to the Routing library, and keeps the estimates of
/// recent choices for operators.
//===----------------------------------------------------------------------===//
#pragma once

#include "NodeContext.h"
#include "pistachioloom/Routing.h"

#include <deque>
#include <mutex>
#include <set>

namespace pistachioloom {

/// The request for which an engine is chosen.
struct RoutingQuery {
    std::string requestId_;
    std::string model_;
    std::string prompt_;
    milliseconds latencyTarget_ {};
    bool isPaid_ = true;
    /// Engines and dispatchers that failed this request.
    std::set<VmId> excluded_;
};

/// Chooses engines for generations.
class EngineRouter {
public:
    explicit EngineRouter(NodeContext& context);

    /// \returns the engines to try, best first; empty if no engine serves the model.
    std::vector<EngineCandidate> choose(const RoutingQuery& query);
    /// Counts a request sent to \p dispatcher. The count lasts until the
    /// dispatcher's next digest.
    void countSent(const VmId& dispatcher, const std::string& model);
    /// \returns the candidates considered for \p requestId as JSON, or an empty string
    /// if they are not known.
    std::string explain(const std::string& requestId) const;
    /// \returns the dispatcher of \p server among the nodes that are not in
    /// \p excluded; empty if there is none.
    VmId dispatcherOf(const MembershipView& view, const VmId& server, const std::set<VmId>& excluded) const;

private:
    /// Number of requests sent to a dispatcher since its digest with this heartbeat.
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
    /// Requests in explanations_, the oldest first.
    std::deque<std::string> explanationOrder_;
};

} // namespace pistachioloom
