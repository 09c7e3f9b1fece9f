//===- lib/Orders/Claims.cpp - claims in log order -------------------------===//
///
/// \file
/// Encodes and decodes records of the claims' stream, and implements the table
/// that readers build from them.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Orders.h"

#include "pistachioloom/Json.h"
#include <algorithm>

namespace pistachioloom {

namespace json = boost::json;

std::string encodeClaim(const EngineClaim& claim)
{
    return json::serialize(json::object {
        { "type", claim.isEnd_ ? "end" : "claim" },
        { "claim", claim.id_.value_ },
        { "engine", claim.engine_.value_ },
        { "node", claim.node_.value_ },
        { "queue", claim.queue_ },
    });
}

std::optional<EngineClaim> decodeClaim(const std::string& record)
{
    auto object = parseJsonObject(record);
    if (!object)
        return std::nullopt;
    std::string type = textField(*object, "type");
    EngineClaim claim { { textField(*object, "claim") }, { textField(*object, "engine") }, { textField(*object, "node") }, textField(*object, "queue"), type == "end" };
    bool isKnown = type == "claim" || type == "end";
    if (!isKnown || claim.engine_.isEmpty() || claim.node_.isEmpty())
        return std::nullopt;
    return claim;
}

void ClaimTable::apply(LogOffset offset, const std::string& record, SteadyTime now)
{
    if (offset < nextOffset_)
        return;
    nextOffset_ = { offset.value_ + 1 };
    auto claim = decodeClaim(record);
    if (!claim)
        return;
    if (claim->isEnd_)
        applyEnd(*claim);
    else
        applyClaim(offset, std::move(*claim), now);
}

void ClaimTable::applyClaim(LogOffset offset, EngineClaim claim, SteadyTime now)
{
    // Tokens start at one, so that zero denotes an engine that was never ordered.
    Holder holder { std::move(claim), { offset.value_ + 1 }, now, offset, std::nullopt };
    auto found = openClaims_.find(holder.claim_.engine_);
    if (found != openClaims_.end()) {
        const Holder& before = found->second;
        bool isSameNode = before.claim_.node_ == holder.claim_.node_;
        holder.otherReadAt_ = isSameNode ? before.otherReadAt_ : std::optional(before.readAt_);
        // A new dispatcher also keeps the queue position of its predecessor, since
        // the engine may already be loading.
        if (before.claim_.queue_ == holder.claim_.queue_)
            holder.queuedAt_ = before.queuedAt_;
    }
    VmId engine = holder.claim_.engine_;
    openClaims_.insert_or_assign(engine, std::move(holder));
}

void ClaimTable::applyEnd(const EngineClaim& claim)
{
    auto found = openClaims_.find(claim.engine_);
    if (found == openClaims_.end())
        return;
    if (found->second.claim_.node_ == claim.node_)
        openClaims_.erase(found);
}

const ClaimTable::Holder* ClaimTable::find(const VmId& engine) const
{
    auto found = openClaims_.find(engine);
    return found == openClaims_.end() ? nullptr : &found->second;
}

std::size_t ClaimTable::ahead(const VmId& engine, const std::function<bool(const VmId&)>& isPresent) const
{
    const Holder* own = find(engine);
    if (!own)
        return 0;
    return static_cast<std::size_t>(std::count_if(openClaims_.begin(), openClaims_.end(), [&](const auto& item) {
        const Holder& other = item.second;
        return other.claim_.queue_ == own->claim_.queue_ && other.queuedAt_ < own->queuedAt_ && isPresent(item.first);
    }));
}

void ClaimTable::removeOlderThan(milliseconds maxAge, SteadyTime now)
{
    std::erase_if(openClaims_, [&](const auto& item) { return now - item.second.readAt_ > maxAge; });
}

} // namespace pistachioloom
