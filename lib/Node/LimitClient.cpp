//===- lib/Node/LimitClient.cpp - admission of requests on a node ---------===//
///
/// \file
/// See LimitClient.h.
//===----------------------------------------------------------------------===//
#include "LimitClient.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // Includes the time in which a coordinator may borrow from other data
    // centres.
    constexpr milliseconds grantTimeout { 1500 };
    constexpr milliseconds limitRetryAfter { 500 };
    constexpr int maxGrantRequests = 4;

} // namespace

LimitClient::LimitClient(NodeContext& context, LimitCoordinator& coordinator)
    : context_(context)
    , coordinator_(coordinator)
    , logger_("limits")
{
}

void LimitClient::start()
{
    context_.spawn(renewLoop());
}

asio::awaitable<Result<void>> LimitClient::admit(std::shared_ptr<const CatalogueEntry> entry, std::uint64_t tokens)
{
    auto decision = EntryAdmission::Decision::Admitted;
    {
        std::lock_guard lock(mutex_);
        decision = admission_.tryStart(*entry, tokens, steadyNow());
        if (decision == EntryAdmission::Decision::Admitted)
            co_return boost::outcome_v2::success();
        admission_.beginWait(entry->name_, tokens);
    }
    // Concurrent requests may use up what the coordinator granted for this one,
    // so the grant is requested again before this request is rejected.
    for (int requestCount = 0; requestCount < maxGrantRequests && decision != EntryAdmission::Decision::Admitted; ++requestCount) {
        co_await requestOrJoin(entry);
        std::lock_guard lock(mutex_);
        decision = admission_.tryStart(*entry, tokens, steadyNow());
    }
    std::lock_guard lock(mutex_);
    admission_.endWait(entry->name_, tokens);
    if (decision == EntryAdmission::Decision::Admitted)
        co_return boost::outcome_v2::success();
    co_return rejection(*entry, decision);
}

Error LimitClient::rejection(const CatalogueEntry& entry, EntryAdmission::Decision decision) const
{
    bool isForTokens = decision == EntryAdmission::Decision::NeedsTokens;
    milliseconds wait = isForTokens ? std::max(admission_.tokenWait(entry.name_), limitRetryAfter) : limitRetryAfter;
    std::string reason = isForTokens ? "tokens a second are used up" : "requests in progress are at the limit";
    return { Errc::LimitReached, "admit", entry.name_.value_, std::move(reason), Ran::No, jitter(wait, randomBits()) };
}

void LimitClient::finish(const EntryName& entry, std::uint64_t unusedTokens)
{
    std::lock_guard lock(mutex_);
    admission_.finish(entry, unusedTokens);
}

asio::awaitable<void> LimitClient::requestOrJoin(EntryPtr entry)
{
    std::shared_ptr<CompletionEvent> pending;
    {
        std::lock_guard lock(mutex_);
        auto found = pendingRequests_.find(entry->name_);
        if (found != pendingRequests_.end())
            pending = found->second;
    }
    if (pending) {
        co_await pending->wait();
        co_return;
    }
    VmId coordinator = coordinator_.coordinatorOf(entry->name_);
    std::vector<EntryPtr> entries { entry };
    co_await requestGrants(std::move(coordinator), std::move(entries));
}

asio::awaitable<void> LimitClient::requestGrants(VmId coordinator, std::vector<EntryPtr> entries)
{
    wire::Frame frame;
    wire::GrantRequest& request = *frame.mutable_grant_request();
    request.set_node(context_.self().value_);
    auto completion = std::make_shared<CompletionEvent>(context_.executor_);
    {
        std::lock_guard lock(mutex_);
        std::erase_if(entries, [&](const EntryPtr& entry) { return !pendingRequests_.emplace(entry->name_, completion).second; });
        for (const EntryPtr& entry : entries) {
            auto demand = admission_.makeDemand(*entry, context_.settings_.limits_.grantReserve_);
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
    SteadyTime sentAt = steadyNow();
    context_.metrics_.add(Counter::GrantMessages);
    auto reply = co_await context_.call(coordinator, frame, grantTimeout);
    bool isGrant = reply && reply.value().has_grant_reply();
    if (!isGrant)
        logger_.warn("Limit coordinator " + coordinator.value_ + " did not reply.");
    std::lock_guard lock(mutex_);
    if (isGrant) {
        // The validity counts from the time of sending, so that the grant
        // expires on this node before it expires at the coordinator.
        SteadyTime expires = sentAt + milliseconds(reply.value().grant_reply().valid_ms());
        for (const wire::EntryGrant& grant : reply.value().grant_reply().grants())
            admission_.applyGrant({ grant.entry() }, { grant.slots(), grant.tokens(), expires, milliseconds(grant.token_wait_ms()) });
    }
    for (const EntryPtr& entry : entries)
        pendingRequests_.erase(entry->name_);
    completion->complete();
}

asio::awaitable<void> LimitClient::renewLoop()
{
    for (;;) {
        co_await sleepFor(context_.settings_.limits_.grantValidity_ / 2);
        std::vector<EntryName> active;
        {
            std::lock_guard lock(mutex_);
            active = admission_.activeEntries();
        }
        // One message for all entries of a coordinator.
        std::map<VmId, std::vector<EntryPtr>> byCoordinator;
        for (const EntryName& name : active) {
            auto entry = context_.catalogue()->findEntry(name);
            if (entry && entry->workload_)
                byCoordinator[coordinator_.coordinatorOf(name)].push_back(entry);
        }
        for (auto& [coordinator, entries] : byCoordinator)
            context_.spawn(requestGrants(coordinator, std::move(entries)));
    }
}

std::vector<LimitClient::EntryUse> LimitClient::uses() const
{
    std::vector<EntryUse> uses;
    auto catalogue = context_.catalogue();
    for (const auto& [name, entry] : catalogue->entries_) {
        if (!entry->workload_)
            continue;
        std::lock_guard lock(mutex_);
        uses.push_back({ name, admission_.inProgress(name), admission_.held(name, steadyNow()), coordinator_.shareOf(*entry), coordinator_.coordinatorOf(name) });
    }
    return uses;
}

} // namespace pistachioloom
