//===- lib/Node/AnswerFinder.cpp - finding answers on any node ------------===//
///
/// \file
/// See AnswerFinder.h.
//===----------------------------------------------------------------------===//
#include "AnswerFinder.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr std::size_t maxNodesQueried = 32;
    constexpr milliseconds queryTimeout { 500 };
    // Longer than the longest gap between the frames of a running generation's owner.
    constexpr milliseconds followTimeout { 60000 };

    AnswerPart interruptedPart(const Error& error)
    {
        // Another node still has the record, so the reader should look it up again.
        AnswerPart part;
        part.isMoved_ = true;
        part.failure_ = error;
        return part;
    }

    asio::awaitable<AnswerPart> nextPartFromPeer(std::shared_ptr<PeerStream> stream, std::string requestId)
    {
        AnswerPart part;
        auto frame = co_await stream->receiveWithin(followTimeout);
        if (!frame)
            co_return interruptedPart(frame.error());
        if (frame.value().has_tokens()) {
            for (const wire::Token& token : frame.value().tokens().tokens())
                part.tokens_.push_back(token.text());
            co_return part;
        }
        if (!frame.value().has_end())
            co_return interruptedPart({ Errc::Protocol, "read answer", stream->peer(), "unexpected frame for " + requestId, Ran::Unknown, {} });
        const wire::AttemptEnd& end = frame.value().end();
        part.isFinished_ = end.is_complete();
        part.isMoved_ = end.is_interrupted();
        if (end.has_failure())
            part.failure_ = fromWire(end.failure());
        co_return part;
    }

} // namespace

AnswerSource readGeneration(const GenerationPtr& generation)
{
    struct Position {
        Generation::Reader reader_;
        std::size_t read_ = 0;
    };
    auto position = std::make_shared<Position>();
    position->reader_ = generation->addReader();
    AnswerSource source { generation->id(), generation->organisation(), generation->model(), generation->engine(), generation->hasEnded(), {} };
    source.next_ = [generation, position]() -> asio::awaitable<AnswerPart> {
        AnswerPart part = co_await generation->next(position->reader_, position->read_);
        position->read_ += part.tokens_.size();
        co_return part;
    };
    return source;
}

AnswerFinder::AnswerFinder(NodeContext& context, GenerationOwner& owner)
    : context_(context)
    , owner_(owner)
{
}

asio::awaitable<Result<AnswerSource>> AnswerFinder::queryNode(VmId node, std::string requestId)
{
    wire::Frame frame;
    frame.mutable_record_fetch()->set_request_id(requestId);
    frame.mutable_record_fetch()->set_follow(true);
    auto opened = co_await context_.open(node, frame, queryTimeout);
    if (!opened)
        co_return opened.error();
    auto stream = opened.value();
    auto head = co_await stream->receiveWithin(queryTimeout);
    if (!head)
        co_return head.error();
    if (head.value().has_failure())
        co_return fromWire(head.value().failure());
    if (!head.value().has_record())
        co_return Error { Errc::Protocol, "find request", node.value_, "unexpected frame", Ran::Unknown, {} };
    const wire::GenerationRecord& record = head.value().record();
    AnswerSource source { requestId, record.organisation(), record.model(), record.engine(), record.is_finished(), {} };
    // Resets the stream when the last copy of the source is destroyed.
    auto cancelGuard = std::shared_ptr<void>(nullptr, [stream](void*) { stream->cancel(); });
    source.next_ = [stream, cancelGuard, requestId] { return nextPartFromPeer(stream, requestId); };
    co_return source;
}

asio::awaitable<Result<AnswerSource>> AnswerFinder::find(std::string requestId)
{
    auto local = owner_.find(requestId);
    if (local && !local->read(0).isMoved_)
        co_return readGeneration(local);
    auto view = context_.membership();
    std::vector<VmId> nodes = view->allNodes();
    std::vector<VmId> order = hintedNodes(requestId, nodes);
    for (const VmId& node : nodes) {
        if (std::find(order.begin(), order.end(), node) == order.end())
            order.push_back(node);
    }
    if (order.size() > maxNodesQueried)
        order.resize(maxNodesQueried);
    Error failure { Errc::NotFound, "find request", requestId, "no node knows this request", Ran::Unknown, {} };
    for (const VmId& node : order) {
        auto source = co_await queryNode(node, requestId);
        if (source)
            co_return source;
        if (source.error().code_ != Errc::NotFound) {
            failure = source.error();
            failure.code_ = Errc::Unavailable;
            failure.ran_ = Ran::Unknown;
            failure.retryAfter_ = jitter(milliseconds(1000), randomBits());
        }
    }
    co_return failure;
}

} // namespace pistachioloom
