//===- lib/Gateway/DutyRunner.cpp - performs the holder's duties ----------===//
///
/// \file
/// See DutyRunner.h.
//===----------------------------------------------------------------------===//
#include "DutyRunner.h"

#include "Readers.h"
#include "generated/Peer.pb.h"

#include <boost/algorithm/string/join.hpp>

namespace pistachioloom {

namespace {

    // Interval at which the node checks whether to claim the duties or to act.
    constexpr milliseconds runPeriod { 250 };
    // Number of candidates that read the log of duties before they may claim. In a large fleet
    // the others would read it for nothing.
    constexpr std::size_t candidatesReading = 12;
    // Bound on attempts of an append whose outcome is unknown. All attempts require the same
    // end of the log, so that the record is appended at most once.
    constexpr int maxAppendAttempts = 4;
    // Usage windows that are kept before the one that was reported last. The usage of older
    // windows is not reported to the platform any more.
    constexpr std::uint64_t retainedWindows = 8;

    DutyTiming timingFor(milliseconds lease)
    {
        DutyTiming timing;
        // The timeout and the wait after a claim together exceed the lease, so that a
        // holder that reappears later never acts within one lease of its earlier acts.
        timing.holderTimeout_ = lease * 85 / 100;
        timing.actAfterClaim_ = lease / 2 + milliseconds(100);
        timing.recordValidity_ = lease / 3;
        return timing;
    }

    std::map<WindowNumber, UsageCounts> usageOf(const wire::DutyRecord& record)
    {
        UsageCounts counts;
        for (const auto& [organisation, count] : record.usage().counts())
            counts[{ organisation }] = count;
        return { { { record.usage().number() }, counts } };
    }

    /// Returns whether engines of \p version may serve the service's requests, apart from
    /// requests of a trial.
    bool mayServe(const RolloutState& rollout, const BackendVersion& version)
    {
        bool isTarget = version == rollout.order_.target_;
        switch (rollout.phase_) {
        case RolloutPhase::Trial:
            // After a stop of all nodes the outcome of an older order is not known until a
            // holder has decided on it.
            return !isTarget || !rollout.term_;
        case RolloutPhase::Reverted:
            return !isTarget;
        case RolloutPhase::Shifting:
            return true;
        case RolloutPhase::Complete:
            return isTarget;
        }
        return true;
    }

    /// Returns what the forecast of engines follows from. Engines of a version that may not serve
    /// count, since the end of a roll-out is no loss.
    EngineObservation observationOf(const FleetView& view, milliseconds reviewInterval)
    {
        std::uint64_t engines = view.engines();
        for (const DataCentreFleet& fleet : view.dataCentres_)
            engines += fleet.onDemandExcluded_ + fleet.reclaimableExcluded_;
        return { engines, view.bounds_.bootTime_, reviewInterval, view.prefillPerMs_, view.isPlatformAvailable_ };
    }

    std::set<ServiceName> servicesIn(const std::vector<FleetOrder>& orders)
    {
        std::set<ServiceName> services;
        for (const FleetOrder& order : orders)
            services.insert(order.service_);
        return services;
    }

} // namespace

DutyRunner::DutyRunner(asio::io_context& io, GatewayContext& context)
    : io_(io)
    , context_(context)
    , lease_(context.settings_.vm_, timingFor(context.settings_.dutyLease_), steadyNow())
    , fleetTracker_(context.settings_.fleet_)
    , rollouts_(context, { [this] { return actingToken(); }, [this](wire::DutyRecord record) { return recordOrRelease(std::move(record)); } })
{
}

void DutyRunner::start(const PeerReports& reports)
{
    peerReports_ = &reports;
    if (!context_.settings_.duties_.port_) {
        logger_.info("No duties are configured for this deployment.");
        return;
    }
    asio::co_spawn(io_, run(), asio::detached);
    asio::co_spawn(io_, rollouts_.adjust(), asio::detached);
}

DutyToken DutyRunner::heldToken() const
{
    std::lock_guard lock(mutex_);
    return lease_.isHolder() ? lease_.token() : DutyToken {};
}

bool DutyRunner::hasShortage() const
{
    return isAnyShort_ && heldToken().value_;
}

DutyToken DutyRunner::reportedToken() const
{
    return context_.isStopping_ ? DutyToken {} : heldToken();
}

DutyToken DutyRunner::actingToken() const
{
    std::lock_guard lock(mutex_);
    bool mayAct = !context_.isStopping_ && lease_.mayStartActs(steadyNow());
    return mayAct ? lease_.token() : DutyToken {};
}

asio::awaitable<bool> DutyRunner::recordOrRelease(wire::DutyRecord record)
{
    bool isRecorded = co_await this->appendRecord(record) == AppendResult::Appended;
    if (!isRecorded)
        releaseDuties("a decision could not be recorded");
    co_return isRecorded;
}

void DutyRunner::noteStopping(const VmId& peer)
{
    std::lock_guard lock(mutex_);
    lease_.noteStopping(peer, steadyNow());
}

DutyToken DutyRunner::releasedToken() const
{
    std::lock_guard lock(mutex_);
    return releasedToken_;
}

void DutyRunner::noteReleased(DutyToken token)
{
    std::lock_guard lock(mutex_);
    lease_.noteReleased(token, steadyNow());
}

void DutyRunner::noteHolder(const VmId& holder, DutyToken token, SteadyTime reportedAt)
{
    std::lock_guard lock(mutex_);
    bool wasHolder = lease_.isHolder();
    lease_.noteHolder(holder, token, reportedAt);
    if (wasHolder && !lease_.isHolder())
        logger_.info(LogLine("Another node holds the duties.").add("holder", holder.value_).add("token", static_cast<std::int64_t>(token.value_)));
}

void DutyRunner::releaseDuties(const std::string& why)
{
    std::lock_guard lock(mutex_);
    if (lease_.isHolder())
        releasedToken_ = lease_.token();
    lease_.release(steadyNow());
    logger_.info(LogLine("This node releases the duties.").add("why", why).add("token", static_cast<std::int64_t>(releasedToken_.value_)));
}

asio::awaitable<void> DutyRunner::run()
{
    bool hasReadLog = false;
    for (;;) {
        co_await sleepFor(runPeriod);
        sampleDemand();
        // A node that is stopping leaves the duties to the other nodes.
        if (context_.isStopping_)
            continue;
        bool shouldClaim = false;
        bool mayStartActs = false;
        std::size_t rank = peerReports_->rankFor("duties");
        // Claims from before this node's start must not count as new ones later. If this read
        // fails, or the node is not among the first candidates, they count as new, and this
        // node's own claim is delayed by the holder's timeout.
        if (!hasReadLog && context_.table() && rank < candidatesReading) {
            hasReadLog = true;
            (void)co_await readLog();
        }
        {
            std::lock_guard lock(mutex_);
            shouldClaim = context_.table() && lease_.shouldClaim(rank, steadyNow());
            mayStartActs = lease_.mayStartActs(steadyNow());
        }
        if (shouldClaim)
            co_await claim();
        else if (mayStartActs)
            co_await act();
    }
}

void DutyRunner::sampleDemand()
{
    SteadyTime now = steadyNow();
    for (const auto& [service, view] : context_.backends_.services()) {
        context_.demand_.recordLocalTokens(service, { view.tokensRequested_ }, now);
        // The observed waits are added to those of the peers. The token rate is passed as 0,
        // since the tokens are recorded above.
        context_.demand_.setSource(context_.settings_.vm_, service, { 0, view.prefillPerMs_, view.observations_, view.moments_ }, now);
    }
    context_.demand_.sample(now);
    bool isAnyShort = false;
    for (const FleetView& view : fleetViews(now)) {
        CapacityShortage before = fleetTracker_.shortage(view.service_);
        fleetTracker_.observe(view, now);
        context_.forward_.engineForecast_.observe(view.service_, observationOf(view, context_.settings_.fleet_.period_), now);
        logShortage(view, before);
        isAnyShort |= fleetTracker_.shortage(view.service_).isActive();
    }
    isAnyShort_ = isAnyShort;
}

/// Reads the log of duties up to its end. \returns whether this succeeded.
asio::awaitable<bool> DutyRunner::readLog()
{
    for (;;) {
        auto read = co_await context_.platform_.readDutyLog_(logEnd_);
        if (!read) {
            logger_.warn("The log of duties cannot be read: " + describe(read.error()));
            co_return false;
        }
        for (const auto& [offset, bytes] : read.value().records_) {
            wire::DutyRecord record;
            if (!record.ParseFromString(bytes)) {
                logger_.warn("Record " + std::to_string(offset.value_) + " of the log of duties cannot be parsed.");
                continue;
            }
            for (const wire::FleetNeed& need : record.needs())
                recordedNeeds_[{ need.service() }] = need.engines();
            if (record.has_rollout())
                rollouts_.applyRecord(record.rollout());
            if (record.has_usage())
                recordedUsage_.merge(usageOf(record));
            else if (!record.orders_size() && !record.has_rollout())
                newestClaim_ = { { record.vm() }, { offset.value_ + 1 } };
        }
        bool isAtEnd = read.value().records_.empty();
        logEnd_ = read.value().next_;
        if (isAtEnd)
            co_return true;
    }
}

asio::awaitable<DutyRunner::AppendResult> DutyRunner::appendRecord(const wire::DutyRecord& record)
{
    std::string bytes = record.SerializeAsString();
    // A record that is appended after its validity does not cover its act any more, and a
    // holder that gets no answers from the platform must release the duties for another node.
    SteadyTime until = steadyNow() + timingFor(context_.settings_.dutyLease_).recordValidity_;
    for (int i = 0; i < maxAppendAttempts && steadyNow() < until; ++i) {
        auto appended = co_await context_.platform_.appendDutyRecord_(logEnd_, bytes);
        if (appended) {
            ++logEnd_.value_;
            co_return AppendResult::Appended;
        }
        if (appended.error().code_ != Errc::Conflict) {
            logger_.warn("A record may not have been appended to the log of duties: " + describe(appended.error()));
            continue;
        }
        // The record at this offset may be the same record, appended by an earlier attempt.
        LogOffset ownOffset = logEnd_;
        auto read = co_await context_.platform_.readDutyLog_(ownOffset);
        if (read && !read.value().records_.empty() && read.value().records_.front().second == bytes) {
            ++logEnd_.value_;
            co_return AppendResult::Appended;
        }
        co_return AppendResult::Superseded;
    }
    co_return AppendResult::Unknown;
}

asio::awaitable<void> DutyRunner::claim()
{
    Claim before = newestClaim_;
    if (!co_await readLog())
        co_return;
    // The log may contain a claim of another node whose report has not arrived yet.
    // Without this check many nodes would claim one after the other after a start.
    bool isNewClaim = newestClaim_.token_ > before.token_ && newestClaim_.vm_ != context_.settings_.vm_;
    // A node that is already stopping does not report that it holds the duties.
    isNewClaim &= !peerReports_->isStopping(newestClaim_.vm_);
    if (isNewClaim) {
        std::lock_guard lock(mutex_);
        if (newestClaim_.token_ > lease_.token()) {
            lease_.noteHolder(newestClaim_.vm_, newestClaim_.token_, steadyNow());
            co_return;
        }
    }
    wire::DutyRecord claim;
    claim.set_vm(context_.settings_.vm_.value_);
    claim.set_incarnation(context_.incarnation_);
    AppendResult recorded = co_await appendRecord(claim);
    if (recorded != AppendResult::Appended)
        co_return releaseDuties(recorded == AppendResult::Superseded ? "another record was appended first" : "the outcome of the claim is unknown");
    for (const auto& [service, engines] : recordedNeeds_)
        fleetTracker_.inheritNeed(service, engines, steadyNow());
    std::lock_guard lock(mutex_);
    // The token is the claim's offset plus one. appendRecord() has advanced logEnd_ to this
    // value.
    lease_.becomeHolder({ logEnd_.value_ }, steadyNow());
    logger_.info(LogLine("This node holds the duties.").add("token", static_cast<std::int64_t>(logEnd_.value_)));
}

asio::awaitable<void> DutyRunner::act()
{
    bool isStillHolder = co_await rollouts_.act();
    if (!isStillHolder)
        co_return;
    co_await reportUsage();
    if (steadyNow() - fleetCheckedAt_ < context_.settings_.fleet_.period_)
        co_return;
    fleetCheckedAt_ = steadyNow();
    co_await orderFleet();
}

asio::awaitable<void> DutyRunner::reportUsage()
{
    const UsageTiming& timing = context_.settings_.usageTiming_;
    auto allReportedWithin = [&](milliseconds time) { return peerReports_->haveAllReportedWithin(time, timing.maxDelay_); };
    auto newest = dueWindow(context_.agreedWallMs(), context_.settings_.usageWindow_, timing, allReportedWithin);
    if (!newest || reportedWindows_.contains(*newest))
        co_return;
    WindowNumber due = *newest;
    UsageCounts counts = context_.usage_.sum(due);
    auto earlier = recordedUsage_.find(due);
    if (earlier != recordedUsage_.end())
        counts = earlier->second;
    if (counts.empty()) {
        reportedWindows_.insert(due);
        co_return;
    }
    SteadyTime recordedAt = steadyNow();
    wire::DutyRecord intent;
    intent.set_vm(context_.settings_.vm_.value_);
    intent.set_incarnation(context_.incarnation_);
    intent.mutable_usage()->set_number(due.value_);
    for (const auto& [organisation, count] : counts)
        (*intent.mutable_usage()->mutable_counts())[organisation.value_] = count;
    AppendResult recorded = co_await appendRecord(intent);
    if (recorded != AppendResult::Appended)
        co_return releaseDuties("usage of window " + std::to_string(due.value_) + " could not be recorded");
    recordedUsage_[due] = counts;
    DutyToken token = heldToken();
    if (!lease_.mayAct(recordedAt, steadyNow()))
        co_return;
    auto sent = co_await context_.platform_.reportUsage_(context_.settings_.vm_, token, due, counts);
    std::uint64_t sum = 0;
    for (const auto& [organisation, count] : counts)
        sum += count;
    LogLine line("Usage is reported.");
    line.add("window", static_cast<std::int64_t>(due.value_)).add("requests", static_cast<std::int64_t>(sum)).add("token", static_cast<std::int64_t>(token.value_)).add("error", sent ? "" : describe(sent.error()));
    logger_.info(line);
    if (!sent)
        co_return;
    reportedWindows_.insert(due);
    context_.usage_.forget({ due.value_ - std::min(due.value_, retainedWindows) });
    recordedUsage_.erase(recordedUsage_.begin(), recordedUsage_.lower_bound({ due.value_ - std::min(due.value_, retainedWindows) }));
}

/// Returns the engines and the demand of \p service, as this node knows them at \p now.
FleetView DutyRunner::viewOf(const ServicePolicy& service, SteadyTime now) const
{
    auto rollout = context_.rollouts_.find(service.name_);
    std::map<DataCentreId, DataCentreFleet> fleets;
    for (const auto& [dataCentre, price] : service.fleet_->prices_)
        fleets[dataCentre] = { dataCentre, price, 0, 0 };
    for (const BackendRecord& record : context_.backends_.records()) {
        auto found = fleets.find(record.dataCentre_);
        if (record.service_ != service.name_ || record.isLeaving_ || found == fleets.end())
            continue;
        if (!rollout || mayServe(*rollout, record.version_))
            ++(record.isReclaimable_ ? found->second.reclaimable_ : found->second.onDemand_);
        else
            ++(record.isReclaimable_ ? found->second.reclaimableExcluded_ : found->second.onDemandExcluded_);
    }
    FleetView view { service.name_, *service.fleet_, {}, {}, 0, 0, 0, true, false };
    for (auto& [dataCentre, fleet] : fleets)
        view.dataCentres_.push_back(std::move(fleet));
    view.tokensPerSecond_ = context_.demand_.peakRate(service.name_, now);
    PrefillRate rate = context_.demand_.prefillRate(service.name_, context_.settings_.choice_.prefillPerMs_);
    view.prefillPerMs_ = rate.bounded();
    view.meanPrefillPerMs_ = rate.mean_;
    view.fittedPrefillPerMs_ = rate.fitted_.value_or(0);
    BackendTable::Occupancy occupancy = context_.backends_.occupancy(service.name_);
    view.slots_ = occupancy.slots_;
    view.slotsTaken_ = occupancy.takenSlots_;
    view.isComplete_ = peerReports_->coverage(now).isComplete();
    bool hasExcluded = std::any_of(view.dataCentres_.begin(), view.dataCentres_.end(), [](const DataCentreFleet& fleet) { return fleet.onDemandExcluded_ > 0; });
    view.isRollingOut_ = rollout && (!isFinal(rollout->phase_) || (rollout->phase_ == RolloutPhase::Reverted && hasExcluded));
    return view;
}

/// Returns whether no peer that reads from the platform reaches it.
bool DutyRunner::isPlatformUnavailable() const
{
    std::vector<ReaderState> states;
    for (const auto& [vm, peer] : peerReports_->live())
        states.push_back({ vm, peer.dataCentre_, peer.isStopping_, peer.isPlatformUnavailable_, peer.isReader_, peer.cores_ });
    return haveAllReadersFailed(states);
}

/// Logs that a shortage of the service's engines has begun or ended since \p before, if
/// this node holds the duties.
void DutyRunner::logShortage(const FleetView& view, const CapacityShortage& before) const
{
    CapacityShortage after = fleetTracker_.shortage(view.service_);
    if (before.isActive() == after.isActive() || !heldToken().value_)
        return;
    LogLine line(after.isActive() ? "A shortage of reclaimable engines begins." : "A shortage of reclaimable engines ends.");
    std::vector<std::string> dataCentres;
    std::uint64_t lost = 0;
    for (const auto& [dataCentre, loss] : (after.isActive() ? after : before).losses()) {
        dataCentres.push_back(dataCentre.value_);
        lost += loss.lost_;
    }
    line.add("service", view.service_.value_).add("data_centre", boost::algorithm::join(dataCentres, ",")).add("lost", static_cast<std::int64_t>(lost));
    line.add("needed", static_cast<std::int64_t>(fleetTracker_.needed(view.service_))).add("lasting", static_cast<std::int64_t>(view.onDemand())).add("reclaimable", static_cast<std::int64_t>(view.reclaimable()));
    if (!after.isActive())
        line.add("why", after.returned() ? "reclaimable engines returned to " + after.returned()->value_ : "the time since the last loss has passed");
    logger_.info(line);
}

std::vector<FleetView> DutyRunner::fleetViews(SteadyTime now) const
{
    std::vector<FleetView> views;
    auto table = context_.table();
    if (!table)
        return views;
    for (const ServicePolicy& service : table->configuration().services_) {
        if (service.fleet_)
            views.push_back(viewOf(service, now));
    }
    bool isAvailable = !isPlatformUnavailable();
    for (FleetView& view : views)
        view.isPlatformAvailable_ = isAvailable;
    return views;
}

std::vector<FleetOrder> DutyRunner::dueOrders(SteadyTime now)
{
    std::vector<FleetOrder> due;
    for (const FleetView& view : fleetViews(now)) {
        std::uint64_t before = fleetTracker_.needed(view.service_);
        CapacityShortage shortage = fleetTracker_.shortage(view.service_);
        std::vector<FleetOrder> orders = fleetTracker_.dueOrders(view, now);
        logShortage(view, shortage);
        due.insert(due.end(), orders.begin(), orders.end());
        std::uint64_t needed = fleetTracker_.needed(view.service_);
        if (needed == before)
            continue;
        LogLine line("The number of engines needed has changed.");
        line.add("service", view.service_.value_).add("needed", static_cast<std::int64_t>(needed)).add("lasting", static_cast<std::int64_t>(view.onDemand())).add("reclaimable", static_cast<std::int64_t>(view.reclaimable()));
        line.add("tokens_per_s", view.tokensPerSecond_ ? std::to_string(static_cast<std::int64_t>(*view.tokensPerSecond_)) : "").add("prefill_per_ms", std::to_string(view.prefillPerMs_));
        line.add("mean_prefill_per_ms", std::to_string(view.meanPrefillPerMs_)).add("fitted_prefill_per_ms", std::to_string(view.fittedPrefillPerMs_));
        line.add("is_whole", view.isComplete_ ? "yes" : "no");
        line.add("slots", static_cast<std::int64_t>(view.slots_)).add("slots_taken", static_cast<std::int64_t>(view.slotsTaken_));
        logger_.info(line);
    }
    return due;
}

asio::awaitable<void> DutyRunner::orderFleet()
{
    SteadyTime now = steadyNow();
    std::vector<FleetOrder> due = dueOrders(now);
    if (due.empty())
        co_return;
    wire::DutyRecord intent;
    intent.set_vm(context_.settings_.vm_.value_);
    intent.set_incarnation(context_.incarnation_);
    for (const FleetOrder& order : due)
        intent.add_orders(order.service_.value_ + "/" + order.dataCentre_.value_ + "/" + std::to_string(order.wanted_));
    for (const ServiceName& service : servicesIn(due)) {
        wire::FleetNeed& need = *intent.add_needs();
        need.set_service(service.value_);
        need.set_engines(fleetTracker_.needed(service));
    }
    if (co_await appendRecord(intent) != AppendResult::Appended)
        co_return releaseDuties("orders could not be recorded");
    for (const wire::FleetNeed& need : intent.needs())
        recordedNeeds_[{ need.service() }] = need.engines();
    for (const FleetOrder& order : due) {
        if (!lease_.mayAct(now, steadyNow()))
            co_return;
        auto sent = co_await context_.platform_.orderFleet_(context_.settings_.vm_, heldToken(), order);
        fleetTracker_.noteOrdered(order, sent.has_value(), steadyNow());
        LogLine line("Engines are ordered.");
        line.add("service", order.service_.value_).add("data_centre", order.dataCentre_.value_).add("kind", order.isReclaimable_ ? "reclaimable" : "lasting").add("wanted", static_cast<std::int64_t>(order.wanted_));
        line.add("token", static_cast<std::int64_t>(heldToken().value_)).add("error", sent ? "" : describe(sent.error()));
        logger_.info(line);
    }
}

} // namespace pistachioloom
