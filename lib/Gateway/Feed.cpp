//===- lib/Gateway/Feed.cpp - configuration and registry, kept up to date --===//
///
/// \file
/// See Feed.h.
//===----------------------------------------------------------------------===//
#include "Feed.h"

#include "generated/Peer.pb.h"
#include "pistachioloom/Settings.h"

namespace pistachioloom {

namespace {

    // How often a node looks whether it is its turn to read.
    constexpr milliseconds turnPeriod { 150 };
    // Where what the platform itself told comes from, in logs.
    const std::string platformSource = "platform";
    // A peer's list of backend servers is used only while it is this fresh.
    constexpr std::uint64_t freshEnoughMs = 1500;

} // namespace

Feed::Feed(asio::io_context& io, GatewayContext& context, PeerReports& reports, PeerPool& peers, Background& background)
    : io_(io)
    , context_(context)
    , reports_(reports)
    , peers_(peers)
    , background_(background)
{
}

void Feed::start()
{
    asio::co_spawn(io_, followConfiguration(), asio::detached);
    asio::co_spawn(io_, followRegistry(), asio::detached);
    // Apart, since a configuration may take seconds.
    asio::co_spawn(io_, askForConfiguration(), asio::detached);
    asio::co_spawn(io_, askForBackends(), asio::detached);
}

std::vector<ReaderView> Feed::readerViews() const
{
    std::vector<ReaderView> views;
    for (const auto& [vm, peer] : reports_.heardWithin(context_.settings_.feed_.readerTimeout_))
        views.push_back({ vm, peer.dataCentre_, peer.isStopping_, peer.isPlatformLost_, peer.isReader_, peer.cores_ });
    return views;
}

bool Feed::isReader() const
{
    const GatewaySettings& settings = context_.settings_;
    ReaderView self { settings.vm_, settings.dataCentre_, false, false, false, settings.cores_ };
    return isPlatformLost() || shouldRead(self, readerViews(), settings.feed_.readers_);
}

/// Suspends while other nodes read. What was read before is then too old to read
/// on from: \p from is forgotten.
asio::awaitable<void> Feed::waitForTurn(std::string reading, std::optional<LogOffset>& from)
{
    if (!context_.table() || isReader())
        co_return;
    logger_.info(LogLine("Other nodes read.").add("reading", reading));
    while (!isReader())
        co_await sleepFor(turnPeriod);
    from.reset();
    logger_.info(LogLine("This node reads.").add("reading", reading));
}

asio::awaitable<void> Feed::followConfiguration()
{
    std::optional<LogOffset> from;
    const std::string reading = "configuration";
    for (;;) {
        co_await waitForTurn(reading, from);
        auto read = co_await context_.platform_.readConfiguration_(from, context_.settings_.feed_.configurationWait_);
        if (isConfigurationLost_.exchange(!read) == read.has_value())
            logReachable("configuration", read ? nullptr : &read.error());
        if (!read) {
            if (read.error().code_ == Errc::NotFound)
                from.reset();
            co_await sleepFor(context_.settings_.feed_.retryPause_);
            continue;
        }
        from = read.value().next_;
        for (const RolloutOrder& order : read.value().rollouts_) {
            if (context_.rollouts_.applyOrder(order, steadyNow()))
                logger_.info(LogLine("Roll-out is ordered.").add("service", order.service_.value_).add("target", order.target_.value_).add("number", static_cast<std::int64_t>(order.number_.value_)).add("period_ms", order.period_.count()));
        }
        if (!read.value().sources_.empty()) {
            std::function<void()> applyConfiguration = [&context = context_, sources = std::move(read.value().sources_)] { context.applyConfiguration(sources, platformSource); };
            co_await background_.run(std::move(applyConfiguration));
        }
        if (!context_.table())
            co_await sleepFor(context_.settings_.feed_.retryPause_);
    }
}

void Feed::logReachable(const std::string& what, const Error* error) const
{
    LogLine line(error ? "Platform is lost." : "Platform is back.");
    line.add("reading", what);
    if (error)
        line.add("error", describe(*error));
    logger_.info(line);
}

void Feed::removeGone(const BackendName& name, const std::string& source)
{
    auto known = context_.backends_.findNewest(name);
    if (!known)
        return;
    if (steadyNow() < graceUntil_) {
        missing_.insert(name);
        return;
    }
    // A backend server that crashes never says that it leaves.
    if (!known->isLeaving_)
        noteBackendEnded(context_.forward_, known->id_);
    logger_.info(LogLine("Backend server is gone.").add("backend", known->id_.value_).add("from", source));
    // What a peer's list lacks is no news for others: they have theirs.
    if (source == platformSource)
        reports_.noteLeaving(known->id_);
    context_.backends_.remove(known->id_, steadyNow());
}

/// Heartbeats repeat a registration that cannot be used; it is told of once. The
/// backend server that had the name is not said to leave: its next heartbeat may
/// bring it back.
void Feed::refuse(const RegistryChange& change, const std::string& source)
{
    std::string& before = complaints_[change.name_];
    if (before != change.invalidReason_) {
        context_.metrics_.add(Counter::RegistrationsRefused);
        logger_.warn(LogLine("Registration cannot be used.").add("backend", change.name_.value_).add("why", change.invalidReason_).add("from", source));
    }
    before = change.invalidReason_;
    missing_.erase(change.name_);
    if (auto known = context_.backends_.findNewest(change.name_))
        context_.backends_.remove(known->id_, steadyNow());
}

void Feed::applyChange(const RegistryChange& change, const std::string& source)
{
    if (!change.invalidReason_.empty())
        return refuse(change, source);
    if (source == platformSource)
        complaints_.erase(change.name_);
    if (!change.record_)
        return removeGone(change.name_, source);
    missing_.erase(change.name_);
    const BackendRecord& record = *change.record_;
    auto before = context_.backends_.find(record.id_);
    auto newest = context_.backends_.findNewest(record.name_);
    BackendTable::PutResult registered = context_.backends_.put(record);
    if (registered == BackendTable::PutResult::Outdated)
        return;
    if (registered == BackendTable::PutResult::Restarted && newest && !newest->isLeaving_)
        noteBackendEnded(context_.forward_, newest->id_);
    if (!before)
        logger_.info(LogLine(registered == BackendTable::PutResult::Restarted ? "Backend server started anew." : "Backend server is there.").add("backend", record.id_.value_).add("service", record.service_.value_).add("address", record.endpoint_.toString()).add("data_centre", record.dataCentre_.value_).add("version", record.version_.value_).add("reclaimable", record.isReclaimable_).add("leaving", record.isLeaving_));
    if (record.isLeaving_ && (!before || !before->isLeaving_)) {
        logger_.info(LogLine("Backend server is leaving.").add("backend", record.id_.value_).add("from", source));
        reports_.noteLeaving(record.id_);
    }
}

void Feed::removeMissing(const RegistryRead& whole, const std::string& source)
{
    std::set<BackendName> present;
    for (const RegistryChange& change : whole.changes_)
        present.insert(change.name_);
    for (const BackendRecord& record : context_.backends_.records()) {
        if (!present.contains(record.name_))
            removeGone(record.name_, source);
    }
    if (source == platformSource)
        std::erase_if(complaints_, [&](const auto& entry) { return !present.contains(entry.first); });
}

void Feed::applyDueRemovals()
{
    if (missing_.empty() || steadyNow() < graceUntil_)
        return;
    for (const BackendName& name : std::exchange(missing_, {}))
        removeGone(name, platformSource);
}

void Feed::apply(const RegistryRead& read, const std::string& source)
{
    for (const RegistryChange& change : read.changes_)
        applyChange(change, source);
    if (read.isComplete_)
        removeMissing(read, source);
    applyDueRemovals();
}

asio::awaitable<void> Feed::followRegistry()
{
    const FeedSettings& settings = context_.settings_.feed_;
    std::optional<LogOffset> from;
    const std::string reading = "registry";
    for (;;) {
        co_await waitForTurn(reading, from);
        auto read = co_await context_.platform_.readRegistry_(from);
        bool wasLost = isRegistryLost_.exchange(!read);
        if (wasLost == read.has_value())
            logReachable("registry", read ? nullptr : &read.error());
        // Registrations that lapsed in an outage are written again soon after it.
        bool endsOutage = wasLost || (isRegistryOld() && haveAllReadersLost(readerViews()));
        if (read && endsOutage && !context_.backends_.records().empty())
            graceUntil_ = steadyNow() + settings.registrationGrace_;
        if (!read && read.error().code_ == Errc::NotFound)
            from.reset();
        if (read) {
            from = read.value().next_;
            registryReadAt_ = steadyNow();
            listReadAt_ = steadyNow();
            apply(read.value(), platformSource);
        }
        co_await sleepFor(read ? settings.registryPeriod_ : settings.retryPause_);
    }
}

bool Feed::isRegistryOld() const
{
    return steadyNow() - registryReadAt_.load() > context_.settings_.feed_.askPeersAfter_;
}

std::optional<KnownPeer> Feed::differingReader() const
{
    std::optional<KnownPeer> chosen;
    for (const auto& entry : reports_.heardWithin(context_.settings_.feed_.readerTimeout_)) {
        const Peer& peer = entry.second;
        if (!peer.isReader_ || peer.isPlatformLost_)
            continue;
        // The near one, or any if there is none.
        if (!chosen || peer.dataCentre_ == context_.settings_.dataCentre_)
            chosen = entry;
    }
    if (chosen && chosen->second.registryFingerprint_ == context_.backends_.fingerprint())
        return std::nullopt;
    return chosen;
}

asio::awaitable<void> Feed::askForBackends()
{
    for (;;) {
        co_await sleepFor(askPeriod);
        auto source = backendsSource();
        if (source)
            co_await askBackends(source->first, source->second);
    }
}

std::optional<KnownPeer> Feed::backendsSource() const
{
    if (!isRegistryOld() && isReader())
        return std::nullopt;
    auto reader = differingReader();
    bool hasList = listReadAt_ != SteadyTime {};
    if (reader || hasList)
        return reader;
    // A node that started while the platform is away has nothing to serve with: any
    // list is better, since what vanishes meanwhile stands until the platform is back.
    // Without it such a node would refuse all requests until then.
    std::vector<KnownPeer> live = reports_.live();
    if (live.empty())
        return std::nullopt;
    return live[randomBits() % live.size()];
}

asio::awaitable<std::optional<wire::ConfigurationUpdate>> Feed::ask(VmId vm, Peer peer, wire::Frame request)
{
    auto reply = co_await peers_.call(peer.peers_, request, peerPatience);
    if (reply && reply.value().has_configuration_update())
        co_return reply.value().configuration_update();
    logger_.warn("Peer " + vm.value_ + " gave nothing: " + (reply ? "other frame" : describe(reply.error())));
    co_return std::nullopt;
}

asio::awaitable<void> Feed::askBackends(VmId vm, Peer peer)
{
    wire::Frame request;
    request.mutable_configuration_fetch()->set_wants_backends(true);
    SteadyTime askedAt = steadyNow();
    auto answered = co_await ask(vm, peer, request);
    if (!answered)
        co_return;
    const wire::ConfigurationUpdate& update = *answered;
    // A reader's list is used by others; readers that cannot read use it too.
    bool mayUse = !isReader() || isRegistryOld();
    bool isFirst = listReadAt_ == SteadyTime {} && update.backends_size();
    if (!mayUse || (update.backends_age_ms() > freshEnoughMs && !isFirst))
        co_return;
    // Its age was taken after the question was sent. A list that was read before
    // this node's may lack what has registered since.
    SteadyTime readAt = askedAt - milliseconds(update.backends_age_ms());
    if (readAt <= listReadAt_ && !isFirst)
        co_return;
    listReadAt_ = std::max(readAt, SteadyTime { milliseconds(1) });
    RegistryRead read;
    read.isComplete_ = true;
    for (const wire::BackendEntry& entry : update.backends()) {
        auto endpoint = parseEndpoint(entry.address());
        if (endpoint && !entry.name().empty())
            read.changes_.push_back({ { entry.name() }, BackendRecord { backendId({ entry.name() }, { entry.started_ms() }), { entry.service() }, *endpoint, { entry.data_centre() }, entry.slots(), entry.is_leaving(), entry.is_reclaimable(), { entry.name() }, { entry.started_ms() }, { entry.version() } }, {} });
    }
    apply(read, vm.value_);
}

wire::Frame Feed::answer(const wire::Frame& request)
{
    const wire::ConfigurationFetch& fetch = request.configuration_fetch();
    wire::Frame frame;
    wire::ConfigurationUpdate& update = *frame.mutable_configuration_update();
    auto table = context_.table();
    if (table) {
        update.set_version(table->version());
        // Of this table: another may be published meanwhile.
        if (fetch.wants_configuration() && table->version() > fetch.known_version())
            update.set_compressed_source(table->configuration().compressedSource_);
    }
    auto age = std::chrono::duration_cast<milliseconds>(steadyNow() - registryReadAt_.load());
    update.set_backends_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())));
    if (!fetch.wants_backends())
        return frame;
    for (const BackendRecord& record : context_.backends_.records()) {
        wire::BackendEntry& entry = *update.add_backends();
        entry.set_name(record.name_.value_);
        entry.set_started_ms(record.startTime_.value_);
        entry.set_service(record.service_.value_);
        entry.set_address(record.endpoint_.toString());
        entry.set_data_centre(record.dataCentre_.value_);
        entry.set_slots(record.slots_);
        entry.set_is_leaving(record.isLeaving_);
        entry.set_is_reclaimable(record.isReclaimable_);
        entry.set_version(record.version_.value_);
    }
    return frame;
}

} // namespace pistachioloom
