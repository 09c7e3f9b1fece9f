//===- lib/Gateway/OriginExchange.cpp - origins of streams between nodes ---===//
///
/// \file
/// See OriginExchange.h.
//===----------------------------------------------------------------------===//
#include "OriginExchange.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // Time for which the list of the other nodes is used before it is read again: in a fleet of
    // a thousand nodes that takes longer than to choose among them.
    constexpr milliseconds nodesValidity { 250 };

    wire::StreamOrigin toWire(StreamKey stream, const StreamOrigin& origin)
    {
        wire::StreamOrigin message;
        message.set_stream(stream.value_);
        message.set_software(origin.software_.value_);
        message.set_is_ambiguous(origin.isAmbiguous_);
        return message;
    }

    StreamOrigin fromWire(const wire::StreamOrigin& message)
    {
        return { { message.software() }, message.is_ambiguous() };
    }

} // namespace

OriginExchange::OriginExchange(asio::io_context& io, GatewayContext& context, PeerReports& reports)
    : io_(io)
    , context_(context)
    , reports_(reports)
    , table_(settings_)
    , log_(io, context, settings_, table_)
{
}

const std::vector<OriginNode>& OriginExchange::nodes(SteadyTime now)
{
    if (now - nodesReadAt_ > nodesValidity) {
        nodes_ = reports_.originNodes();
        nodesReadAt_ = now;
    }
    return nodes_;
}

void OriginExchange::tell(StreamKey stream, const StreamOrigin& origin, OriginStorage storage)
{
    table_.add(stream, origin, steadyNow());
    asio::dispatch(io_, [this, stream, origin, storage] { sendToHolders(stream, origin, storage); });
}

void OriginExchange::sendToHolders(StreamKey stream, const StreamOrigin& origin, OriginStorage storage)
{
    wire::Datagram datagram;
    *datagram.mutable_origin() = toWire(stream, origin);
    std::vector<Endpoint> receivers;
    for (const OriginNode& node : rankOriginNodes(stream, nodes(steadyNow()), settings_.holders_))
        receivers.push_back(node.gossip_);
    reports_.send(datagram, receivers);
    if (storage == OriginStorage::NodesAndLog)
        sendToRecorder(stream, datagram);
}

void OriginExchange::sendToRecorder(StreamKey stream, const wire::Datagram& datagram)
{
    std::vector<OriginNode> candidates = nodes(steadyNow());
    const GatewaySettings& settings = context_.settings_;
    candidates.push_back({ settings.vm_, settings.dataCentre_, settings.gossip_ });
    std::size_t recorder = recorderOf(originPartOf(stream, candidates.size(), settings_), candidates);
    if (recorder + 1 == candidates.size())
        return log_.record(stream, fromWire(datagram.origin()), candidates.size());
    wire::Datagram recorded = datagram;
    recorded.mutable_origin()->set_is_recorded(true);
    reports_.send(recorded, { candidates[recorder].gossip_ });
}

asio::awaitable<FoundOrigin> OriginExchange::find(StreamKey stream)
{
    if (auto own = table_.find(stream, steadyNow()))
        co_return FoundOrigin { own, "own" };
    // The questions are asked on the event loop of the datagrams.
    co_return co_await asio::co_spawn(io_, look(stream), asio::use_awaitable);
}

asio::awaitable<FoundOrigin> OriginExchange::look(StreamKey stream)
{
    FoundOrigin found = co_await ask(stream);
    if (found.origin_)
        co_return found;
    co_await log_.load();
    if (auto recorded = table_.find(stream, steadyNow()))
        co_return FoundOrigin { recorded, "log" };
    co_return found;
}

asio::awaitable<FoundOrigin> OriginExchange::ask(StreamKey stream)
{
    auto query = std::make_shared<Query>(io_);
    for (const OriginNode& node : rankOriginNodes(stream, nodes(steadyNow()), settings_.asked_)) {
        query->waiting_[++lastNumber_] = node;
        queries_[lastNumber_] = query;
    }
    context_.metrics_.add(Counter::OriginQueries);
    SteadyTime deadline = steadyNow() + settings_.patience_;
    SteadyTime askAt = steadyNow();
    while (!query->found_.origin_ && !query->waiting_.empty() && steadyNow() < deadline) {
        if (steadyNow() >= askAt) {
            sendQuestions(stream, *query);
            askAt = steadyNow() + settings_.askAgainAfter_;
        }
        query->wake_.expires_at(std::min(askAt, deadline));
        co_await query->wake_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!query->found_.origin_)
        context_.metrics_.add(Counter::OriginQueriesUnanswered, query->waiting_.size());
    for (const auto& [number, node] : query->waiting_)
        queries_.erase(number);
    // The origin may have been told to this node meanwhile.
    if (!query->found_.origin_) {
        if (auto own = table_.find(stream, steadyNow()))
            co_return FoundOrigin { own, "own" };
    }
    co_return query->found_;
}

void OriginExchange::sendQuestions(StreamKey stream, const Query& query)
{
    wire::Datagram datagram;
    datagram.mutable_origin_query()->set_stream(stream.value_);
    for (const auto& [number, node] : query.waiting_) {
        datagram.mutable_origin_query()->set_number(number);
        reports_.send(datagram, { node.gossip_ });
    }
}

void OriginExchange::handle(const wire::Datagram& message, const Endpoint& sender)
{
    if (message.has_origin())
        add(message.origin());
    else if (message.has_origin_query())
        answer(message.origin_query(), sender);
    else if (message.has_origin_answer())
        applyAnswer(message.origin_answer());
}

void OriginExchange::add(const wire::StreamOrigin& message)
{
    StreamKey stream { message.stream() };
    StreamOrigin origin = fromWire(message);
    table_.add(stream, origin, steadyNow());
    if (message.is_recorded())
        log_.record(stream, origin, nodes(steadyNow()).size() + 1);
}

void OriginExchange::answer(const wire::OriginQuery& query, const Endpoint& sender)
{
    wire::Datagram datagram;
    datagram.mutable_origin_answer()->set_number(query.number());
    if (auto known = table_.find({ query.stream() }, steadyNow()))
        *datagram.mutable_origin_answer()->mutable_origin() = toWire({ query.stream() }, *known);
    reports_.send(datagram, { sender });
}

void OriginExchange::applyAnswer(const wire::OriginAnswer& answer)
{
    auto found = queries_.find(answer.number());
    // An answer may come twice, or after the question was given up.
    if (found == queries_.end())
        return;
    std::shared_ptr<Query> query = found->second;
    queries_.erase(found);
    auto asked = query->waiting_.find(answer.number());
    if (answer.has_origin())
        query->found_ = { fromWire(answer.origin()), asked->second.vm_.value_ };
    query->waiting_.erase(asked);
    query->wake_.cancel();
}

} // namespace pistachioloom
