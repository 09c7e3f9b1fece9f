//===- lib/Node/EngineOrders.cpp - configuration of engines ---------------===//
///
/// \file
/// See EngineOrders.h.
//===----------------------------------------------------------------------===//
#include "EngineOrders.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    const std::string claimsStream = "claims";
    constexpr milliseconds appendTimeout { 1000 };
    // An engine that has the wanted configuration and no open claim is checked once in
    // this number of periods.
    constexpr int settledCheckPeriods = 20;

} // namespace

EngineOrders::EngineOrders(NodeContext& context, BackendDispatcher& dispatcher)
    : context_(context)
    , dispatcher_(dispatcher)
    , logger_("orders")
{
}

void EngineOrders::start()
{
    context_.spawn(loop());
}

std::optional<EngineOrders::Status> EngineOrders::statusOf(const VmId& engine) const
{
    std::lock_guard lock(mutex_);
    auto found = managed_.find(engine);
    return found == managed_.end() || !found->second.wasReconciled_ ? std::nullopt : std::optional(found->second.status_);
}

std::shared_ptr<const CatalogueEntry> EngineOrders::entryOf(const VmId& engine) const
{
    auto view = context_.membership();
    auto catalogue = context_.catalogue();
    const Vm* vm = view->find(engine);
    if (!vm)
        return nullptr;
    for (const std::string& model : vm->serves_) {
        auto entry = catalogue->findEntry({ model });
        if (entry && entry->backend_ && entry->backend_->configuration_)
            return entry;
    }
    return nullptr;
}

std::vector<VmId> EngineOrders::takeDueEngines()
{
    std::map<VmId, EngineConfiguration> wantedByEngine;
    for (const VmId& engine : dispatcher_.ownEngines()) {
        if (auto entry = entryOf(engine))
            wantedByEngine[engine] = *entry->backend_->configuration_;
    }
    std::vector<VmId> due;
    std::lock_guard lock(mutex_);
    // Only the new dispatcher of an engine may close its admission, so this node
    // opens the admission of engines that it no longer dispatches to.
    std::erase_if(managed_, [&](const auto& item) {
        bool isNoLongerOwn = !wantedByEngine.contains(item.first) && !item.second.isReconciling_;
        if (isNoLongerOwn)
            dispatcher_.setAdmission(item.first, BackendDispatcher::Admission::Open);
        return isNoLongerOwn;
    });
    milliseconds period = context_.settings_.orders_.period_;
    for (const auto& [engine, wanted] : wantedByEngine) {
        ManagedEngine& managed = managed_[engine];
        bool isChanged = managed.wanted_ != wanted;
        bool isSettled = managed.wasReconciled_ && managed.status_.step_ == OrderStep::Settled && !isChanged;
        bool isDue = !isSettled || steadyNow() - managed.reconciledAt_ > period * settledCheckPeriods;
        if (managed.isReconciling_ || !isDue)
            continue;
        if (isChanged)
            managed.orderedAt_.reset();
        managed.wanted_ = wanted;
        managed.isReconciling_ = true;
        due.push_back(engine);
    }
    return due;
}

asio::awaitable<void> EngineOrders::loop()
{
    for (;;) {
        for (const VmId& engine : takeDueEngines())
            context_.spawn(reconcile(engine));
        co_await sleepFor(context_.settings_.orders_.period_);
    }
}

asio::awaitable<void> EngineOrders::reconcile(VmId engine)
{
    auto endpoint = context_.backendEndpoint(engine);
    auto entry = entryOf(engine);
    if (endpoint && entry)
        co_await advance(engine, *endpoint, entry);
    std::lock_guard lock(mutex_);
    ManagedEngine& managed = managed_[engine];
    managed.isReconciling_ = false;
    managed.reconciledAt_ = steadyNow();
}

asio::awaitable<void> EngineOrders::advance(VmId engine, Endpoint endpoint, std::shared_ptr<const CatalogueEntry> entry)
{
    auto state = co_await context_.engines_.state_(endpoint);
    if (!state) {
        logger_.debug("State of engine " + engine.value_ + " is unknown: " + describe(state.error()) + ".");
        co_return;
    }
    bool isDifferent = state.value().configuration_ != *entry->backend_->configuration_ || state.value().isLoading_;
    bool needsClaims = isDifferent;
    {
        // Claims are also read on the first reconciliation, since a previous dispatcher
        // may have left one open.
        std::lock_guard lock(mutex_);
        needsClaims |= !managed_[engine].wasReconciled_ || claims_.find(engine);
    }
    if (needsClaims) {
        bool isRead = co_await readClaims();
        if (!isRead)
            co_return;
    }
    FencingToken token;
    OrderStep step = decideStep(engine, *entry, state.value(), token);
    co_await performStep(engine, endpoint, step, token, *entry);
}

OrderStep EngineOrders::decideStep(const VmId& engine, const CatalogueEntry& entry, const EngineState& state, FencingToken& token)
{
    auto view = context_.membership();
    const OrderTiming& timing = context_.settings_.orders_.timing_;
    std::lock_guard lock(mutex_);
    ManagedEngine& managed = managed_[engine];
    claims_.removeOlderThan(timing.loadWaitLimit_, steadyNow());
    OrderContext orderContext;
    orderContext.self_ = context_.self();
    orderContext.wanted_ = *entry.backend_->configuration_;
    orderContext.state_ = state;
    orderContext.holder_ = claims_.find(engine);
    orderContext.claimsAhead_ = claims_.ahead(engine, [&](const VmId& other) { return view->find(other) && !view->isLeaving(other); });
    orderContext.maxLoading_ = entry.backend_->maxLoading_;
    orderContext.claimedAt_ = managed.claimedAt_;
    orderContext.orderedAt_ = managed.orderedAt_;
    orderContext.activeRequests_ = dispatcher_.active(engine);
    orderContext.honoursFencing_ = entry.backend_->honoursFencing_;
    OrderStep step = nextOrderStep(orderContext, timing, steadyNow());
    if (orderContext.holder_)
        token = orderContext.holder_->token_;
    managed.wasReconciled_ = true;
    managed.status_ = { state.configuration_.version_, orderContext.wanted_.version_, step };
    bool isUnavailable = state.isLoading_ || step == OrderStep::Drain || step == OrderStep::Order || managed.orderedAt_;
    bool canAdmit = step == OrderStep::Settled || step == OrderStep::End || !isUnavailable;
    dispatcher_.setAdmission(engine, canAdmit ? BackendDispatcher::Admission::Open : BackendDispatcher::Admission::Closed);
    return step;
}

asio::awaitable<void> EngineOrders::performStep(VmId engine, Endpoint endpoint, OrderStep step, FencingToken token, const CatalogueEntry& entry)
{
    switch (step) {
    case OrderStep::Settled:
    case OrderStep::Wait:
    case OrderStep::Drain:
        co_return;
    case OrderStep::Claim:
        co_await appendClaim(engine, entry.name_.value_, false);
        co_return;
    case OrderStep::End:
        logger_.info("Engine " + engine.value_ + " runs version " + entry.backend_->configuration_->version_ + ".");
        co_await appendClaim(engine, entry.name_.value_, true);
        co_return;
    case OrderStep::Order:
        co_await order(engine, std::move(endpoint), token, *entry.backend_->configuration_);
        co_return;
    }
}

asio::awaitable<void> EngineOrders::appendClaim(VmId engine, std::string model, bool isEnd)
{
    EngineClaim claim;
    claim.id_ = { makeUuid() };
    claim.engine_ = engine;
    claim.node_ = context_.self();
    claim.queue_ = model + "/" + context_.settings_.dataCentre_.value_;
    claim.isEnd_ = isEnd;
    {
        std::lock_guard lock(mutex_);
        if (!isEnd)
            managed_[engine].claimedAt_ = steadyNow();
        else
            managed_[engine].orderedAt_.reset();
    }
    context_.metrics_.add(Counter::LogAppends);
    // If the append is not confirmed, the claim may have been written nevertheless,
    // which the next read of the log shows. A second claim of this node has no effect.
    auto appended = co_await context_.log_.append_(claimsStream, encodeClaim(claim), appendTimeout);
    if (!appended)
        logger_.warn("Claim on engine " + engine.value_ + " may not have been written: " + describe(appended.error()) + ".");
}

asio::awaitable<void> EngineOrders::order(VmId engine, Endpoint endpoint, FencingToken token, EngineConfiguration wanted)
{
    logger_.info("Ordering engine " + engine.value_ + " to run version " + wanted.version_ + " with token " + std::to_string(token.value_) + ".");
    context_.metrics_.add(Counter::EngineOrders);
    auto ordered = co_await context_.engines_.order_(std::move(endpoint), token, std::move(wanted));
    std::lock_guard lock(mutex_);
    ManagedEngine& managed = managed_[engine];
    if (ordered || ordered.error().ran_ == Ran::Unknown) {
        managed.orderedAt_ = steadyNow();
        co_return;
    }
    logger_.warn("Engine " + engine.value_ + " rejected an order: " + describe(ordered.error()) + ".");
    // If the engine rejects the claim's token as stale, a new claim replaces it.
    managed.claimedAt_ = {};
}

asio::awaitable<bool> EngineOrders::readClaims()
{
    LogOffset from;
    for (;;) {
        {
            std::lock_guard lock(mutex_);
            from = claims_.nextOffset();
        }
        context_.metrics_.add(Counter::LogReads);
        auto read = co_await context_.log_.read_(claimsStream, from, milliseconds(0));
        if (!read) {
            logger_.debug("Claims cannot be read: " + describe(read.error()) + ".");
            co_return false;
        }
        if (read.value().records_.empty())
            co_return true;
        std::lock_guard lock(mutex_);
        for (const auto& [offset, record] : read.value().records_)
            claims_.apply(offset, record, steadyNow());
    }
}

} // namespace pistachioloom
