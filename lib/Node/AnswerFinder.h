//===- lib/Node/AnswerFinder.h - answers wherever they are -----------------===//
///
/// \file
/// Lets any entry VM serve any answer: our own generations directly, others by
/// a stream from the node that owns the record or holds its finished copy.
//===----------------------------------------------------------------------===//
#pragma once

#include "ReplicaStore.h"

namespace pistachioloom {

/// Reads one answer from its first token on.
struct AnswerSource {
    std::string requestId_;
    std::string organisation_;
    std::string model_;
    std::string engine_;
    bool isFinished_ = false;
    /// The next part, after those read before.
    std::function<asio::awaitable<AnswerPart>()> next_;
};

/// Reads \p generation, which counts as connected while the source lives.
AnswerSource readGeneration(const GenerationPtr& generation);

class AnswerFinder {
public:
    AnswerFinder(NodeContext& context, GenerationOwner& owner);

    /// Finds the answer of \p requestId. Errors: NotFound when no node that
    /// answered knows it; Unavailable when some did not answer.
    asio::awaitable<Result<AnswerSource>> find(std::string requestId);

private:
    asio::awaitable<Result<AnswerSource>> queryNode(VmId node, std::string requestId);

    NodeContext& context_;
    GenerationOwner& owner_;
};

} // namespace pistachioloom
