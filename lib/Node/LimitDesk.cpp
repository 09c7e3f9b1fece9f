//===- lib/Node/LimitDesk.cpp - admission of a node, and the limit keeper --===//
///
/// \file
/// See LimitDesk.h.
//===----------------------------------------------------------------------===//
#include "LimitDesk.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    constexpr milliseconds grantTimeout { 500 };
    constexpr milliseconds limitRetry { 500 };
    constexpr int mostAsked = 3;

} // namespace

LimitDesk::LimitDesk(NodeContext& context)
    : context_(context)
    , logger_("limits")
{
}

void LimitDesk::start()
{
    context_.spawn(renewLoop());
}

VmId LimitDesk::keeperOf(const EntryName& entry) const
{
    return pickByRendezvous("limits/" + entry.value_, context_.membership()->localNodes_);
}

std::uint64_t LimitDesk::shareOf(const CatalogueEntry& entry) const
{
    auto view = context_.membership();
    std::size_t rank = 0;
    for (const auto& [dataCentre, nodes] : view->index_->entryVms_) {
        if (dataCentre == view->dataCentre_)
            break;
        ++rank;
    }
    return guaranteedShare(entry.workload_->limits_.requestsInProgress_, rank, view->index_->entryVms_.size());
}

asio::awaitable<Result<void>> LimitDesk::admit(std::shared_ptr<const CatalogueEntry> entry, std::uint64_t tokens)
{
    // Others that arrive at the same time may take what the keeper granted on
    // our word, so it is asked again before the request is refused.
    for (int asked = 0; asked <= mostAsked; ++asked) {
        milliseconds tokenWait {};
        switch (tryStart(*entry, tokens, tokenWait)) {
        case Admission::Verdict::Admitted:
            co_return boost::outcome_v2::success();
        case Admission::Verdict::TokensExhausted:
            co_return Error { Errc::LimitReached, "admit", entry->name_.value_, "tokens a second are used up", Ran::No, jitter(std::max(tokenWait, limitRetry), randomBits()) };
        case Admission::Verdict::NeedsGrant:
            break;
        }
        if (asked < mostAsked)
            co_await askKeeper(entry);
    }
    co_return Error { Errc::LimitReached, "admit", entry->name_.value_, "requests in progress are at the limit", Ran::No, jitter(limitRetry, randomBits()) };
}

Admission::Verdict LimitDesk::tryStart(const CatalogueEntry& entry, std::uint64_t tokens, milliseconds& tokenWait)
{
    std::lock_guard lock(mutex_);
    auto verdict = admission_.tryStart(entry, tokens, steadyNow());
    tokenWait = admission_.tokenWait(entry.name_, steadyNow());
    return verdict;
}

void LimitDesk::finish(const EntryName& entry, std::uint64_t unusedTokens)
{
    std::lock_guard lock(mutex_);
    admission_.finish(entry, unusedTokens);
}

asio::awaitable<void> LimitDesk::askKeeper(std::shared_ptr<const CatalogueEntry> entry)
{
    wire::Frame frame = makeRequest(entry->name_);
    SteadyTime askedAt = steadyNow();
    context_.metrics_.add(Counter::GrantMessages);
    auto reply = co_await context_.call(keeperOf(entry->name_), frame, grantTimeout);
    bool isGrant = reply && reply.value().has_grant_reply();
    if (!isGrant)
        logger_.warn("Keeper of " + entry->name_.value_ + " does not answer.");
    std::lock_guard lock(mutex_);
    --waiting_[entry->name_];
    if (!isGrant)
        co_return;
    const wire::GrantReply& grant = reply.value().grant_reply();
    // Counted from before the question, so that we end before the keeper does.
    admission_.setGrant(entry->name_, grant.granted(), askedAt + milliseconds(grant.valid_ms()));
}

wire::Frame LimitDesk::makeRequest(const EntryName& entry)
{
    std::lock_guard lock(mutex_);
    std::uint64_t inUse = admission_.inProgress(entry);
    std::uint64_t waiting = ++waiting_[entry];
    wire::Frame frame;
    wire::GrantRequest& request = *frame.mutable_grant_request();
    request.set_entry(entry.value_);
    request.set_node(context_.self().value_);
    request.set_in_use(static_cast<std::uint32_t>(inUse));
    request.set_wanted(static_cast<std::uint32_t>(inUse + waiting + context_.settings_.limits_.grantAhead_));
    return frame;
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
        for (const EntryName& name : active) {
            auto entry = context_.catalogue()->findEntry(name);
            if (entry && entry->workload_)
                co_await askKeeper(entry);
        }
    }
}

wire::Frame LimitDesk::answerGrant(const wire::GrantRequest& request)
{
    wire::Frame frame;
    wire::GrantReply& reply = *frame.mutable_grant_reply();
    milliseconds validity = context_.settings_.limits_.grantValidity_;
    reply.set_valid_ms(static_cast<std::uint64_t>(validity.count()));
    EntryName name { request.entry() };
    auto entry = context_.catalogue()->findEntry(name);
    if (!entry || !entry->workload_)
        return frame;
    std::uint64_t share = shareOf(*entry);
    auto view = context_.membership();
    std::lock_guard lock(mutex_);
    auto since = keeperSince_.emplace(name, steadyNow()).first->second;
    bool isNewKeeper = steadyNow() - since < validity;
    if (isNewKeeper) {
        // Every node gets an equal part until the grants before us have ended.
        auto rank = std::find(view->localNodes_.begin(), view->localNodes_.end(), VmId { request.node() }) - view->localNodes_.begin();
        share = guaranteedShare(share, static_cast<std::size_t>(rank), view->localNodes_.size());
        reply.set_granted(static_cast<std::uint32_t>(std::max<std::uint64_t>(request.in_use(), std::min<std::uint64_t>(share, request.wanted()))));
        grants_.request(name, { request.node() }, reply.granted(), request.in_use(), reply.granted(), validity, steadyNow());
        return frame;
    }
    reply.set_granted(static_cast<std::uint32_t>(grants_.request(name, { request.node() }, share, request.in_use(), request.wanted(), validity, steadyNow())));
    return frame;
}

std::vector<LimitDesk::EntryUse> LimitDesk::uses() const
{
    std::vector<EntryUse> uses;
    auto catalogue = context_.catalogue();
    for (const auto& [name, entry] : catalogue->entries_) {
        if (!entry->workload_)
            continue;
        std::lock_guard lock(mutex_);
        uses.push_back({ name, admission_.inProgress(name), admission_.held(name, steadyNow()), shareOf(*entry), keeperOf(name) });
    }
    return uses;
}

} // namespace pistachioloom
