//===- lib/Node/EngineRouter.cpp - candidates for a generation ------------===//
///
/// \file
/// See EngineRouter.h.
//===----------------------------------------------------------------------===//
#include "EngineRouter.h"

#include <boost/json.hpp>

namespace pistachioloom {

namespace {

    // Numbers of engines that sampleEngines() picks by their rank for the prefix, and
    // at random among the others.
    constexpr std::size_t topRanked = 2;
    constexpr std::size_t randomCandidates = 2;
    constexpr std::size_t maxExplanations = 512;
    // Network latency between the data centres of one region. A remote engine is
    // preferred only if it saves more than this.
    constexpr milliseconds remoteNetworkLatency { 5 };
    constexpr milliseconds prefillPerBlock { 10 };
    constexpr ModelLoad unknownLoad { 1, 0, {}, 0 };

} // namespace

EngineRouter::EngineRouter(NodeContext& context)
    : context_(context)
{
}

VmId EngineRouter::dispatcherOf(const MembershipView& view, const VmId& server, const std::set<VmId>& excluded) const
{
    const Vm* vm = view.find(server);
    if (!vm)
        return {};
    std::vector<VmId> nodes = view.nodesOf(vm->dataCentre_);
    std::erase_if(nodes, [&](const VmId& node) { return excluded.contains(node); });
    return pickByRendezvous(server.value_, nodes);
}

EngineCandidate EngineRouter::makeCandidate(const MembershipView& view, const RoutingQuery& query, const VmId& engine, std::size_t rank)
{
    EngineCandidate candidate;
    candidate.engine_ = engine;
    candidate.dispatcher_ = dispatcherOf(view, engine, query.excluded_);
    candidate.prefixRank_ = rank;
    const Vm* vm = view.find(engine);
    candidate.pricePerHour_ = vm->pricePerHour_;
    candidate.isLocal_ = vm->dataCentre_ == view.dataCentre_;
    candidate.networkLatency_ = candidate.isLocal_ ? milliseconds {} : remoteNetworkLatency;
    candidate.load_ = unknownLoad;
    auto digest = view.digests_.find(candidate.dispatcher_);
    if (digest == view.digests_.end())
        return candidate;
    auto load = digest->second.loads_.find(query.model_);
    if (load != digest->second.loads_.end())
        candidate.load_ = load->second;
    std::lock_guard lock(mutex_);
    auto sent = sent_.find({ candidate.dispatcher_, query.model_ });
    if (sent != sent_.end() && sent->second.heartbeat_ == digest->second.heartbeat_)
        candidate.sentSinceReport_ = sent->second.count_;
    return candidate;
}

std::vector<EngineCandidate> EngineRouter::choose(const RoutingQuery& query)
{
    auto view = context_.membership();
    std::vector<std::uint64_t> blocks = prefixBlocks(query.prompt_);
    std::uint64_t prefix = blocks.empty() ? 0 : blocks.front();
    RoutingParameters parameters;
    parameters.prefillTime_ = prefillPerBlock * static_cast<std::int64_t>(blocks.size());
    parameters.latencyTarget_ = query.latencyTarget_;
    parameters.isPaid_ = query.isPaid_;
    std::vector<EngineCandidate> candidates;
    auto add = [&](std::vector<VmId> engines) {
        std::erase_if(engines, [&](const VmId& engine) { return query.excluded_.contains(engine); });
        std::size_t rank = 0;
        for (const VmId& engine : sampleEngines(prefix, engines, topRanked, randomCandidates, randomBits)) {
            EngineCandidate candidate = makeCandidate(*view, query, engine, rank++);
            if (!candidate.dispatcher_.isEmpty())
                candidates.push_back(std::move(candidate));
        }
    };
    std::vector<VmId> local = view->serversOf(query.model_, view->dataCentre_);
    add(local);
    std::vector<VmId> remote = view->serversOf(query.model_, {});
    std::erase_if(remote, [&](const VmId& engine) { return view->find(engine)->dataCentre_ == view->dataCentre_; });
    add(std::move(remote));
    candidates = rankEngines(std::move(candidates), parameters);
    recordExplanation(query.requestId_, candidates);
    return candidates;
}

void EngineRouter::countSent(const VmId& dispatcher, const std::string& model)
{
    auto view = context_.membership();
    auto digest = view->digests_.find(dispatcher);
    if (digest == view->digests_.end())
        return;
    std::lock_guard lock(mutex_);
    SentCount& sent = sent_[{ dispatcher, model }];
    if (sent.heartbeat_ != digest->second.heartbeat_)
        sent = { digest->second.heartbeat_, 0 };
    ++sent.count_;
}

void EngineRouter::recordExplanation(const std::string& requestId, const std::vector<EngineCandidate>& candidates)
{
    boost::json::array list;
    for (const EngineCandidate& candidate : candidates) {
        list.push_back(boost::json::object {
            { "engine", candidate.engine_.value_ },
            { "home", candidate.dispatcher_.value_ },
            { "estimate_ms", candidate.estimate_.count() },
            { "free_slots", candidate.load_.freeSlots_ },
            { "queued", candidate.load_.queued_ },
            { "sent_since", candidate.sentSinceReport_ },
            { "prefix_rank", candidate.prefixRank_ },
            { "local", candidate.isLocal_ },
            { "price_per_hour", candidate.pricePerHour_ },
        });
    }
    std::lock_guard lock(mutex_);
    if (explanations_.insert_or_assign(requestId, boost::json::serialize(list)).second)
        explanationOrder_.push_back(requestId);
    if (explanationOrder_.size() <= maxExplanations)
        return;
    explanations_.erase(explanationOrder_.front());
    explanationOrder_.pop_front();
}

std::string EngineRouter::explain(const std::string& requestId) const
{
    std::lock_guard lock(mutex_);
    auto found = explanations_.find(requestId);
    return found == explanations_.end() ? std::string() : found->second;
}

} // namespace pistachioloom
