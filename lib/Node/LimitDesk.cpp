//===- lib/Node/LimitDesk.cpp - admission of a node ------------------------===//
///
/// \file
/// See LimitDesk.h.
//===----------------------------------------------------------------------===//
#include "LimitDesk.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // A keeper may have to borrow from another data centre first.
    constexpr milliseconds grantTimeout { 1500 };
    constexpr milliseconds limitRetry { 500 };
    constexpr int mostAsked = 4;

} // namespace

LimitDesk::LimitDesk(NodeContext& context, LimitKeeper& keeper)
    : context_(context)
    , keeper_(keeper)
    , logger_("limits")
{
}

void LimitDesk::start()
{
    context_.spawn(renewLoop());
}

asio::awaitable<Result<void>> LimitDesk::admit(std::shared_ptr<const CatalogueEntry> entry, std::uint64_t tokens)
{
    auto verdict = Admission::Decision::Admitted;
    {
        std::lock_guard lock(mutex_);
        verdict = admission_.tryStart(*entry, tokens, steadyNow());
        if (verdict == Admission::Decision::Admitted)
            co_return boost::outcome_v2::success();
        admission_.beginWait(entry->name_, tokens);
    }
    // Others that arrive at the same time may take what the keeper granted on
    // our word, so it is asked again before the request is refused.
    for (int asked = 0; asked < mostAsked && verdict != Admission::Decision::Admitted; ++asked) {
        co_await askOrJoin(entry);
        std::lock_guard lock(mutex_);
        verdict = admission_.tryStart(*entry, tokens, steadyNow());
    }
    std::lock_guard lock(mutex_);
    admission_.endWait(entry->name_, tokens);
    if (verdict == Admission::Decision::Admitted)
        co_return boost::outcome_v2::success();
    co_return refusal(*entry, verdict);
}

Error LimitDesk::refusal(const CatalogueEntry& entry, Admission::Decision verdict) const
{
    bool isForTokens = verdict == Admission::Decision::NeedsTokens;
    milliseconds wait = isForTokens ? std::max(admission_.tokenWait(entry.name_), limitRetry) : limitRetry;
    std::string reason = isForTokens ? "tokens a second are used up" : "requests in progress are at the limit";
    return { Errc::LimitReached, "admit", entry.name_.value_, std::move(reason), Ran::No, jitter(wait, randomBits()) };
}

void LimitDesk::finish(const EntryName& entry, std::uint64_t unusedTokens)
{
    std::lock_guard lock(mutex_);
    admission_.finish(entry, unusedTokens);
}

asio::awaitable<void> LimitDesk::askOrJoin(EntryPtr entry)
{
    std::shared_ptr<CompletionEvent> other;
    {
        std::lock_guard lock(mutex_);
        auto found = asking_.find(entry->name_);
        if (found != asking_.end())
            other = found->second;
    }
    if (other) {
        co_await other->wait();
        co_return;
    }
    VmId keeper = keeper_.keeperOf(entry->name_);
    std::vector<EntryPtr> entries { entry };
    co_await askKeeper(std::move(keeper), std::move(entries));
}

asio::awaitable<void> LimitDesk::askKeeper(VmId keeper, std::vector<EntryPtr> entries)
{
    wire::Frame frame;
    wire::GrantRequest& request = *frame.mutable_grant_request();
    request.set_node(context_.self().value_);
    auto asking = std::make_shared<CompletionEvent>(context_.executor_);
    {
        std::lock_guard lock(mutex_);
        std::erase_if(entries, [&](const EntryPtr& entry) { return !asking_.emplace(entry->name_, asking).second; });
        for (const EntryPtr& entry : entries) {
            auto demand = admission_.makeDemand(*entry, context_.settings_.limits_.grantAhead_);
            wire::EntryDemand& encoded = *request.add_demands();
            encoded.set_entry(entry->name_.value_);
            encoded.set_in_use(static_cast<std::uint32_t>(demand.inUse_));
            encoded.set_needed(static_cast<std::uint32_t>(demand.needed_));
            encoded.set_wanted(static_cast<std::uint32_t>(demand.wanted_));
            encoded.set_tokens_first(demand.tokensFirst_);
            encoded.set_tokens_wanted(demand.tokensWanted_);
            encoded.set_tokens_returned(demand.tokensReturned_);
        }
    }
    if (entries.empty())
        co_return;
    SteadyTime askedAt = steadyNow();
    context_.metrics_.add(Counter::GrantMessages);
    auto reply = co_await context_.call(keeper, frame, grantTimeout);
    bool isGrant = reply && reply.value().has_grant_reply();
    if (!isGrant)
        logger_.warn("Limit keeper " + keeper.value_ + " does not answer.");
    std::lock_guard lock(mutex_);
    if (isGrant) {
        // Counted from before the question, so that we end before the keeper does.
        SteadyTime expires = askedAt + milliseconds(reply.value().grant_reply().valid_ms());
        for (const wire::EntryGrant& grant : reply.value().grant_reply().grants())
            admission_.applyGrant({ grant.entry() }, { grant.slots(), grant.tokens(), expires, milliseconds(grant.token_wait_ms()) });
    }
    for (const EntryPtr& entry : entries)
        asking_.erase(entry->name_);
    asking->complete();
}

asio::awaitable<void> LimitDesk::renewLoop()
{
    for (;;) {
        co_await sleepFor(context_.settings_.limits_.grantValidity_ / 2);
        std::vector<EntryName> active;
        {
            std::lock_guard lock(mutex_);
            active = admission_.activeEntries();
        }
        // One message for all entries of a keeper.
        std::map<VmId, std::vector<EntryPtr>> byKeeper;
        for (const EntryName& name : active) {
            auto entry = context_.catalogue()->findEntry(name);
            if (entry && entry->workload_)
                byKeeper[keeper_.keeperOf(name)].push_back(entry);
        }
        for (auto& [keeper, entries] : byKeeper)
            context_.spawn(askKeeper(keeper, std::move(entries)));
    }
}

std::vector<LimitDesk::EntryUse> LimitDesk::uses() const
{
    std::vector<EntryUse> uses;
    auto catalogue = context_.catalogue();
    for (const auto& [name, entry] : catalogue->entries_) {
        if (!entry->workload_)
            continue;
        std::lock_guard lock(mutex_);
        uses.push_back({ name, admission_.inProgress(name), admission_.held(name, steadyNow()), keeper_.shareOf(*entry), keeper_.keeperOf(name) });
    }
    return uses;
}

} // namespace pistachioloom
