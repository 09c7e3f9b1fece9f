//===- lib/Origins/Origins.cpp - software that began streams ---------------===//
///
/// \file
/// See Origins.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Origins.h"

#include <algorithm>
#include <set>

namespace pistachioloom {

// Nodes in the order of the hash among which those of different data centres are found. Of more
// nodes only the best are sorted.
static constexpr std::size_t maxRanked = 64;

StreamKey streamKeyOf(const OrganisationId& organisation, std::string_view attemptId)
{
    return { digest64({ organisation.value_, attemptId }) };
}

void OriginTable::add(StreamKey stream, const StreamOrigin& origin, SteadyTime now)
{
    std::lock_guard lock(mutex_);
    auto [found, isNew] = entries_.try_emplace(stream.value_, Entry { origin, now });
    Entry& entry = found->second;
    if (!isNew) {
        entry.origin_.isAmbiguous_ |= origin.isAmbiguous_ || entry.origin_.software_ != origin.software_;
        entry.addedAt_ = now;
    }
    additions_.emplace_back(now, stream.value_);
    dropOldest(now);
}

void OriginTable::dropOldest(SteadyTime now)
{
    while (!additions_.empty()) {
        auto [addedAt, stream] = additions_.front();
        if (now - addedAt <= settings_.lifetime_ && additions_.size() <= settings_.maxOrigins_)
            return;
        additions_.pop_front();
        auto found = entries_.find(stream);
        if (found != entries_.end() && found->second.addedAt_ == addedAt)
            entries_.erase(found);
    }
}

std::optional<StreamOrigin> OriginTable::find(StreamKey stream, SteadyTime now) const
{
    std::lock_guard lock(mutex_);
    auto found = entries_.find(stream.value_);
    if (found == entries_.end() || now - found->second.addedAt_ > settings_.lifetime_)
        return std::nullopt;
    return found->second.origin_;
}

std::size_t OriginTable::size() const
{
    std::lock_guard lock(mutex_);
    return entries_.size();
}

std::uint32_t originPartOf(StreamKey stream, std::size_t nodes, const OriginSettings& settings)
{
    std::size_t parts = std::clamp<std::size_t>((nodes + settings.nodesPerPart_ - 1) / settings.nodesPerPart_, 1, settings.logParts_);
    return static_cast<std::uint32_t>(mixBits(stream.value_) % parts);
}

std::size_t recorderOf(std::uint32_t part, const std::vector<OriginNode>& nodes)
{
    auto rankOf = [part](const OriginNode& node) { return mixBits(stableHash(node.vm_.value_, part)); };
    auto best = std::max_element(nodes.begin(), nodes.end(), [&](const OriginNode& left, const OriginNode& right) { return rankOf(left) < rankOf(right); });
    return static_cast<std::size_t>(best - nodes.begin());
}

std::vector<OriginNode> rankOriginNodes(StreamKey stream, const std::vector<OriginNode>& nodes, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const OriginNode*>> ranked;
    ranked.reserve(nodes.size());
    for (const OriginNode& node : nodes)
        ranked.emplace_back(mixBits(stream.value_ ^ stableHash(node.vm_.value_)), &node);
    std::size_t sorted = std::min(ranked.size(), std::max(maxRanked, count));
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(sorted), ranked.end(), std::greater<> {});
    ranked.resize(sorted);
    std::set<DataCentreId> dataCentres;
    std::vector<const OriginNode*> ordered;
    std::vector<const OriginNode*> others;
    for (const auto& [hash, node] : ranked)
        (dataCentres.insert(node->dataCentre_).second ? ordered : others).push_back(node);
    ordered.insert(ordered.end(), others.begin(), others.end());
    std::vector<OriginNode> chosen;
    for (std::size_t i = 0; i < std::min(count, ordered.size()); ++i)
        chosen.push_back(*ordered[i]);
    return chosen;
}

} // namespace pistachioloom
