//===- lib/Node/ControlPlane.cpp - membership and catalogue of a node -----===//
///
/// \file
/// Reads from the platform while this node is the relay, publishes membership
/// and catalogue, marks leaving VMs and appends catalogue edits.
//===----------------------------------------------------------------------===//
#include "ControlPlane.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    const std::string catalogueStream = "catalogue";
    constexpr milliseconds logWait { 2000 };
    constexpr milliseconds noticeWait { 2000 };
    constexpr milliseconds platformRetryDelay { 300 };
    constexpr milliseconds appendTimeout { 1000 };
    constexpr milliseconds leavingRetention { 900000 };

    // Increases with each start, because the wall clock orders the incarnations
    // of a VM. A wrong clock only delays the acceptance of the first
    // heartbeats.
    std::uint64_t makeIncarnation()
    {
        return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / milliseconds(1));
    }

} // namespace

ControlPlane::ControlPlane(NodeContext& context, LoadsHook loads)
    : context_(context)
    , loads_(std::move(loads))
    , logger_("control")
    , gossip_(context.self(), makeIncarnation(), context.settings_.membership_.suspectAfter_)
    , lastSnapshotAt_(steadyNow())
    , catalogueCurrentAt_(steadyNow())
{
}

void ControlPlane::start()
{
    publishMembership();
    context_.spawn(heartbeatLoop());
    context_.spawn(vmListLoop());
    context_.spawn(noticeLoop());
    context_.spawn(catalogueLoop());
}

bool ControlPlane::isRelay() const
{
    auto view = context_.membership();
    VmId relay = pickByRendezvous("relay/" + context_.settings_.dataCentre_.value_, view->localNodes_);
    return relay.isEmpty() || relay == context_.self();
}

asio::awaitable<void> ControlPlane::vmListLoop()
{
    for (;;) {
        // A node without a list reads it itself, even if it is not the relay.
        std::uint64_t known = context_.membership()->index_->version_;
        if (isRelay() || !known) {
            auto list = co_await context_.vmList_.list_(known);
            if (list && list.value())
                adoptVmList([&](VmListStore& store) { return store.adoptList(*list.value()); });
            bool wasReachable = false;
            {
                std::lock_guard lock(mutex_);
                wasReachable = std::exchange(isVmListReachable_, static_cast<bool>(list));
            }
            if (static_cast<bool>(list) != wasReachable)
                logger_.warn(list ? std::string("VM list is reachable again.") : "VM list is unreachable: " + describe(list.error()) + ".");
        }
        co_await sleepFor(context_.settings_.membership_.vmListPollInterval_);
    }
}

asio::awaitable<void> ControlPlane::noticeLoop()
{
    std::uint64_t since = 0;
    for (;;) {
        if (!isRelay()) {
            co_await sleepFor(context_.settings_.membership_.heartbeat_);
            continue;
        }
        auto read = co_await context_.vmList_.notices_(since, noticeWait);
        if (!read) {
            co_await sleepFor(platformRetryDelay);
            continue;
        }
        since = read.value().next_;
        std::vector<LeavingVm> vms;
        for (const ReclaimNotice& notice : read.value().notices_)
            vms.push_back({ { notice.vm_ }, notice.remaining_ });
        markLeaving(vms);
    }
}

void ControlPlane::markLeaving(const std::vector<LeavingVm>& vms)
{
    bool isUpdate = false;
    {
        std::lock_guard lock(mutex_);
        for (const LeavingVm& leaving : vms) {
            auto stopsAt = leaving.remaining_ ? std::optional(steadyNow() + *leaving.remaining_) : std::nullopt;
            bool isNewVm = leaving_.markLeaving(leaving.vm_, stopsAt, steadyNow());
            isUpdate |= isNewVm;
            if (isNewVm)
                logger_.info("VM " + leaving.vm_.value_ + " is leaving.");
        }
    }
    if (!isUpdate)
        return;
    publishMembership();
    broadcastGossip();
}

std::optional<milliseconds> ControlPlane::remainingNotice(const VmId& vm) const
{
    std::lock_guard lock(mutex_);
    auto markedAt = leaving_.markedAt(vm);
    if (!markedAt)
        return std::nullopt;
    SteadyTime stopsAt = leaving_.stopsAt(vm).value_or(*markedAt + context_.settings_.membership_.defaultNotice_);
    return std::max(milliseconds {}, std::chrono::duration_cast<milliseconds>(stopsAt - steadyNow()));
}

void ControlPlane::announceLeaving()
{
    {
        std::lock_guard lock(mutex_);
        gossip_.self().isLeaving_ = true;
        gossip_.advanceHeartbeat();
    }
    publishMembership();
    broadcastGossip();
}

void ControlPlane::adoptVmList(const std::function<bool(VmListStore&)>& adopt)
{
    {
        std::lock_guard lock(mutex_);
        if (!adopt(vmList_))
            return;
        VmList list = vmList_.list();
        vmIndex_ = indexVmList(list);
        gossip_.self().vmListVersion_ = list.version_;
        auto local = vmIndex_->entryVms_.find(context_.settings_.dataCentre_);
        if (local != vmIndex_->entryVms_.end()) {
            const MembershipSettings& settings = context_.settings_.membership_;
            gossip_.setSuspicionTime(suspicionTime(settings.suspectAfter_, settings.heartbeat_, local->second.size()));
            gossip_.expect(local->second, steadyNow());
        }
        for (const Vm& vm : list.vms_) {
            if (vm.state_ == Vm::State::Leaving)
                leaving_.markLeaving(vm.id_, std::nullopt, steadyNow());
        }
    }
    publishMembership();
    // Only the relay gossips a new list, since other nodes would repeat it.
    if (isRelay())
        gossipTo(localPeers());
}

void ControlPlane::publishMembership()
{
    std::lock_guard order(publishMutex_);
    MembershipView view;
    {
        std::lock_guard lock(mutex_);
        leaving_.forgetOld(leavingRetention, steadyNow());
        view = buildView(vmIndex_, gossip_, leaving_, context_.settings_.dataCentre_, steadyNow());
    }
    context_.publish(std::move(view));
}

void ControlPlane::publishCatalogue()
{
    std::lock_guard order(publishMutex_);
    CatalogueView view;
    {
        std::lock_guard lock(mutex_);
        view = catalogue_.view();
        gossip_.self().catalogueOffset_ = view.nextOffset_;
    }
    context_.publish(std::move(view));
}

void ControlPlane::applyRecords(const std::vector<std::pair<LogOffset, std::string>>& records)
{
    bool hasAdvanced = false;
    {
        std::lock_guard lock(mutex_);
        LogOffset before = catalogue_.nextOffset();
        for (const auto& [offset, record] : records)
            catalogue_.apply(offset, record);
        hasAdvanced = catalogue_.nextOffset() > before;
        if (catalogue_.lastSnapshot() != lastSnapshotOffset_) {
            lastSnapshotOffset_ = catalogue_.lastSnapshot();
            lastSnapshotAt_ = steadyNow();
        }
        if (!catalogue_.hasGap())
            catalogueCurrentAt_ = steadyNow();
    }
    if (!hasAdvanced)
        return;
    context_.metrics_.add(Counter::CatalogueRecords, records.size());
    publishCatalogue();
    // Only the relay gossips a new offset, since other nodes would repeat it.
    if (isRelay())
        broadcastGossip();
}

asio::awaitable<Result<void>> ControlPlane::readCatalogue(milliseconds wait)
{
    LogOffset from;
    {
        std::lock_guard lock(mutex_);
        from = catalogue_.nextReadOffset();
    }
    context_.metrics_.add(Counter::LogReads);
    auto read = co_await context_.log_.read_(catalogueStream, from, wait);
    if (!read)
        co_return read.error();
    applyRecords(read.value().records_);
    co_return boost::outcome_v2::success();
}

asio::awaitable<void> ControlPlane::catalogueLoop()
{
    bool isReachable = true;
    for (;;) {
        if (!isRelay()) {
            co_await sleepFor(context_.settings_.membership_.heartbeat_);
            continue;
        }
        auto read = co_await readCatalogue(logWait);
        if (static_cast<bool>(read) != isReachable)
            logger_.warn(read ? std::string("Log is reachable again.") : "Log is unreachable: " + describe(read.error()) + ".");
        isReachable = static_cast<bool>(read);
        if (!read)
            co_await sleepFor(jitter(platformRetryDelay, randomBits()));
        else
            co_await appendSnapshotIfDue();
    }
}

asio::awaitable<void> ControlPlane::appendSnapshotIfDue()
{
    std::string snapshot;
    {
        std::lock_guard lock(mutex_);
        // The relays of other data centres append snapshots too. With jitter,
        // one relay usually appends first, and the others read its snapshot
        // before their own is due.
        auto interval = context_.settings_.catalogue_.snapshotInterval_;
        bool isDue = steadyNow() - lastSnapshotAt_ > jitter(interval, randomBits()) + interval / 2;
        if (!isDue || catalogue_.hasGap() || !catalogue_.nextOffset().value_)
            co_return;
        snapshot = catalogue_.encodeSnapshot();
        lastSnapshotAt_ = steadyNow();
    }
    context_.metrics_.add(Counter::LogAppends);
    auto appended = co_await context_.log_.append_(catalogueStream, snapshot, appendTimeout);
    if (appended)
        logger_.info("Catalogue snapshot was appended at offset " + std::to_string(appended.value().value_) + ".");
}

asio::awaitable<Result<LogOffset>> ControlPlane::appendEdit(const CatalogueEdit& edit, SteadyTime until)
{
    std::string record = encodeEdit(edit);
    bool mayHaveRun = false;
    for (;;) {
        context_.metrics_.add(Counter::LogAppends);
        auto appended = co_await context_.log_.append_(catalogueStream, record, appendTimeout);
        if (appended)
            co_return appended;
        mayHaveRun |= appended.error().ran_ == Ran::Unknown;
        if (steadyNow() > until) {
            Error error = appended.error();
            error.ran_ = mayHaveRun ? Ran::Unknown : Ran::No;
            co_return error;
        }
        // The retry has the same edit id; only the first copy in the log
        // counts.
        co_await sleepFor(jitter(platformRetryDelay, randomBits()));
    }
}

asio::awaitable<Result<EditOutcome>> ControlPlane::edit(CatalogueEdit edit)
{
    SteadyTime until = steadyNow() + context_.settings_.catalogue_.editWaitLimit_;
    auto appended = co_await appendEdit(edit, until);
    if (!appended && appended.error().ran_ == Ran::No)
        co_return appended.error();
    do {
        auto read = co_await readCatalogue(milliseconds(0));
        {
            std::lock_guard lock(mutex_);
            if (auto outcome = catalogue_.outcomeOf(edit.id_))
                co_return *outcome;
        }
        if (!read || !appended)
            co_await sleepFor(platformRetryDelay);
    } while (steadyNow() < until);
    co_return Error { Errc::OutcomeUnknown, "read back edit", context_.settings_.log_.toString(), "edit " + edit.id_.value_ + " was sent; ask again with the same edit id", Ran::Unknown, platformRetryDelay };
}

std::vector<CatalogueChange> ControlPlane::history() const
{
    std::lock_guard lock(mutex_);
    return { catalogue_.history().begin(), catalogue_.history().end() };
}

milliseconds ControlPlane::catalogueAge() const
{
    std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<milliseconds>(steadyNow() - catalogueCurrentAt_);
}

} // namespace pistachioloom
