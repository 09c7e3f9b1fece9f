//===- lib/Node/AnswerFinder.h - finding answers on any node --------------===//
///
/// \file
/// Lets any entry VM serve any answer. A node reads its own generations directly
/// and others through a stream from the node that owns the record or holds a
/// finished replica of it.
//===----------------------------------------------------------------------===//
#pragma once

#include "ReplicaStore.h"

namespace pistachioloom {

/// Reads one answer from its first token.
struct AnswerSource {
    std::string requestId_;
    std::string organisation_;
    std::string model_;
    std::string engine_;
    bool isFinished_ = false;
    /// Waits for the next part and returns it.
    std::function<asio::awaitable<AnswerPart>()> next_;
};

/// \returns a source that reads \p generation. The caller counts as connected
/// while a copy of the source exists.
AnswerSource readGeneration(const GenerationPtr& generation);

/// Finds the answers of requests on this node and its peers.
class AnswerFinder {
public:
    AnswerFinder(NodeContext& context, GenerationOwner& owner);

    /// Finds the answer of \p requestId. Errors: NotFound if all nodes that were
    /// queried replied that they do not have it; Unavailable if a query failed in
    /// another way.
    asio::awaitable<Result<AnswerSource>> find(std::string requestId);

private:
    /// Errors: NotFound if \p node does not have the answer.
    asio::awaitable<Result<AnswerSource>> queryNode(VmId node, std::string requestId);

    NodeContext& context_;
    GenerationOwner& owner_;
};

} // namespace pistachioloom
