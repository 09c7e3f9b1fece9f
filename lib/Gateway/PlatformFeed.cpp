//===- lib/Gateway/PlatformFeed.cpp - configuration and registry feed -----===//
///
/// \file
/// See PlatformFeed.h.
//===----------------------------------------------------------------------===//
#include "PlatformFeed.h"

#include "RegistryBuckets.h"
#include "generated/Peer.pb.h"
#include "pistachioloom/Settings.h"

namespace pistachioloom {

namespace {

    // How often a node that does not read from the platform checks whether it has become
    // a reader.
    constexpr milliseconds readerCheckPeriod { 150 };
    // Maximum age of a peer's list of backend servers that is still used.
    constexpr std::uint64_t maxListAgeMs = 1500;
    // A list counts as current if it was found to be so within this time.
    constexpr milliseconds maxListLag { 3000 };
    // Time for which a resumption waits until the list is confirmed, which takes a reading period.
    constexpr milliseconds confirmationPatience { 900 };
    // Interval at which a reader is asked for a newer list meanwhile.
    constexpr milliseconds confirmationPeriod { 100 };
    // Changes of one list that the log names; the others are counted. A node that starts
    // receives a list of thousands of backend servers.
    constexpr std::size_t maxNamedChanges = 32;

} // namespace

PlatformFeed::PlatformFeed(asio::io_context& io, GatewayContext& context, PeerReports& reports, PeerPool& peers, BackgroundExecutor& background)
    : io_(io)
    , context_(context)
    , peerReports_(reports)
    , peers_(peers)
    , startPhase_(static_cast<double>(randomBits() >> 11) * 0x1p-53)
    , fetcher_(io, context, reports, peers, background, sourceHealth_, startPhase_)
{
}

void PlatformFeed::start()
{
    asio::co_spawn(io_, followConfiguration(), asio::detached);
    asio::co_spawn(io_, followRegistry(), asio::detached);
    // Fetching from peers runs in separate coroutines, since it may take seconds.
    asio::co_spawn(io_, fetchBackendsFromPeers(), asio::detached);
    fetcher_.start();
}

std::vector<ReaderState> PlatformFeed::readerStates() const
{
    std::vector<ReaderState> states;
    for (const auto& [vm, peer] : peerReports_.reportedWithin(context_.settings_.feed_.readerTimeout_))
        states.push_back({ vm, peer.dataCentre_, peer.isStopping_, peer.isPlatformUnavailable_, peer.isReader_, peer.cores_ });
    return states;
}

bool PlatformFeed::isReader() const
{
    const GatewaySettings& settings = context_.settings_;
    if (!context_.table() && !isStartTurn(coldStart(), firstReadInterval))
        return false;
    ReaderState self { settings.vm_, settings.dataCentre_, false, false, false, settings.cores_ };
    return shouldRead(self, readerStates(), settings.feed_.readers_);
}

ColdStart PlatformFeed::coldStart() const
{
    const GatewaySettings& settings = context_.settings_;
    bool isSeed = std::any_of(settings.seeds_.begin(), settings.seeds_.end(), [&](const Endpoint& seed) { return seed.host_ == settings.gossip_.host_; });
    auto uptime = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt_);
    return { uptime, isSeed || settings.seeds_.empty(), !peerReports_.live().empty(), peerReports_.nodesKnown(), startPhase_ };
}

asio::awaitable<void> PlatformFeed::waitUntilReader(std::string resource, std::optional<LogOffset>& from, std::atomic<bool>& isUnavailable)
{
    if (isReader())
        co_return;
    isUnavailable = false;
    logger_.info(LogLine("Other nodes read from the platform.").add("reading", resource));
    while (!isReader())
        co_await sleepFor(readerCheckPeriod);
    from.reset();
    logger_.info(LogLine("This node reads from the platform.").add("reading", resource));
}

asio::awaitable<void> PlatformFeed::followConfiguration()
{
    std::optional<LogOffset> from;
    const std::string resource = "configuration";
    ReadBackoff backoff(context_.settings_.feed_.retryPause_);
    for (;;) {
        co_await waitUntilReader(resource, from, isConfigurationUnavailable_);
        auto read = co_await context_.platform_.readConfiguration_(from, context_.settings_.feed_.configurationWait_);
        if (isConfigurationUnavailable_.exchange(!read) == read.has_value())
            logAvailability("configuration", read ? nullptr : &read.error());
        if (!read) {
            if (read.error().code_ == Errc::NotFound)
                from.reset();
            co_await sleepFor(backoff.nextPause(randomBits()));
            continue;
        }
        backoff.noteSuccess();
        from = read.value().next_;
        for (const RolloutOrder& order : read.value().rollouts_) {
            if (context_.rollouts_.applyOrder(order, steadyNow()))
                logger_.info(LogLine("Roll-out was ordered.").add("service", order.service_.value_).add("target", order.target_.value_).add("number", static_cast<std::int64_t>(order.number_.value_)).add("period_ms", order.period_.count()));
        }
        if (!read.value().sources_.empty()) {
            std::vector<std::string> sources = std::move(read.value().sources_);
            co_await fetcher_.applySources(std::move(sources));
        }
        if (!context_.table())
            co_await sleepFor(context_.settings_.feed_.retryPause_);
    }
}

void PlatformFeed::logAvailability(const std::string& resource, const Error* error) const
{
    LogLine line(error ? "Platform is unavailable." : "Platform is available again.");
    line.add("reading", resource);
    if (error)
        line.add("error", describe(*error));
    logger_.info(line);
}

void PlatformFeed::removeBackend(const BackendName& name, const std::string& source)
{
    auto known = context_.backends_.findNewest(name);
    if (!known)
        return;
    if (steadyNow() < removalGraceEnd_) {
        pendingRemovals_.insert(name);
        context_.backends_.setUnlisted(known->id_);
        return;
    }
    // A backend server that disappears without an announcement that it leaves has
    // crashed.
    if (!known->isLeaving_) {
        noteBackendTerminated(context_.forward_, known->id_);
        // Peers would take the report below for an announcement that it leaves.
        if (source == platformSource)
            peerReports_.noteTerminated(known->id_);
    }
    logChange(LogLine("Backend server was removed.").add("backend", known->id_.value_).add("from", source));
    // A removal that was found in a peer's list is not reported: other nodes fetch that
    // list themselves. A server that did not announce that it leaves may register again.
    if (source == platformSource && known->isLeaving_)
        peerReports_.noteLeaving(known->id_);
    else if (source == platformSource)
        peerReports_.noteStatement({ known->id_, ConditionKind::Removed, 0, steadyNow() });
    context_.backends_.remove(known->id_, steadyNow());
}

/// Heartbeats repeat an invalid registration, so its error is logged and counted only
/// when it changes. The backend server that had the name is removed, but is not reported
/// as leaving, since its next heartbeat may restore it.
void PlatformFeed::rejectRegistration(const RegistryChange& change, const std::string& source)
{
    std::string& before = registrationErrors_[change.name_];
    if (before != change.invalidReason_) {
        context_.metrics_.add(Counter::RegistrationsRefused);
        logger_.warn(LogLine("Registration is invalid.").add("backend", change.name_.value_).add("why", change.invalidReason_).add("from", source));
    }
    before = change.invalidReason_;
    pendingRemovals_.erase(change.name_);
    if (auto known = context_.backends_.findNewest(change.name_))
        context_.backends_.remove(known->id_, steadyNow());
}

void PlatformFeed::applyChange(const RegistryChange& change, const std::string& source)
{
    if (!change.invalidReason_.empty())
        return rejectRegistration(change, source);
    if (source == platformSource)
        registrationErrors_.erase(change.name_);
    if (!change.record_)
        return removeBackend(change.name_, source);
    pendingRemovals_.erase(change.name_);
    const BackendRecord& record = *change.record_;
    auto before = context_.backends_.find(record.id_);
    auto newest = context_.backends_.findNewest(record.name_);
    BackendTable::PutResult result = context_.backends_.put(record);
    if (result == BackendTable::PutResult::Outdated)
        return;
    if (result == BackendTable::PutResult::Restarted && newest && !newest->isLeaving_)
        noteBackendTerminated(context_.forward_, newest->id_);
    if (!before)
        logChange(LogLine(result == BackendTable::PutResult::Restarted ? "Backend server restarted." : "Backend server is registered.").add("backend", record.id_.value_).add("service", record.service_.value_).add("address", record.endpoint_.toString()).add("data_centre", record.dataCentre_.value_).add("version", record.version_.value_).add("reclaimable", record.isReclaimable_).add("leaving", record.isLeaving_));
    if (record.isLeaving_ && (!before || !before->isLeaving_)) {
        logChange(LogLine("Backend server is leaving.").add("backend", record.id_.value_).add("from", source));
        // Other nodes fetch a peer's list themselves.
        if (source == platformSource)
            peerReports_.noteLeaving(record.id_);
    }
}

void PlatformFeed::removeUnlisted(const RegistryRead& read, const std::vector<BackendRecord>& known, const std::string& source)
{
    std::set<BackendName> present;
    for (const RegistryChange& change : read.changes_)
        present.insert(change.name_);
    for (const BackendRecord& record : known) {
        if (!present.contains(record.name_))
            removeBackend(record.name_, source);
    }
    if (source == platformSource)
        std::erase_if(registrationErrors_, [&](const auto& entry) { return !present.contains(entry.first); });
}

void PlatformFeed::applyDueRemovals()
{
    if (pendingRemovals_.empty() || steadyNow() < removalGraceEnd_)
        return;
    for (const BackendName& name : std::exchange(pendingRemovals_, {}))
        removeBackend(name, platformSource);
}

/// Logs one change of a list, unless the log names enough changes of this list already.
void PlatformFeed::logChange(const LogLine& line)
{
    if (++loggedChanges_ <= maxNamedChanges)
        logger_.info(line);
}

void PlatformFeed::apply(const RegistryRead& read, const std::vector<BackendRecord>& covered, const std::string& source)
{
    loggedChanges_ = 0;
    for (const RegistryChange& change : read.changes_)
        applyChange(change, source);
    if (!covered.empty())
        removeUnlisted(read, covered, source);
    applyDueRemovals();
    if (loggedChanges_ > maxNamedChanges)
        logger_.info(LogLine("More backend servers have changed.").add("count", static_cast<std::int64_t>(loggedChanges_ - maxNamedChanges)).add("from", source));
}

asio::awaitable<void> PlatformFeed::followRegistry()
{
    const FeedSettings& settings = context_.settings_.feed_;
    std::optional<LogOffset> from;
    const std::string resource = "registry";
    ReadBackoff backoff(settings.retryPause_);
    for (;;) {
        co_await waitUntilReader(resource, from, isRegistryUnavailable_);
        SteadyTime startedAt = steadyNow();
        auto read = co_await context_.platform_.readRegistry_(from);
        bool wasUnavailable = isRegistryUnavailable_.exchange(!read);
        if (wasUnavailable == read.has_value())
            logAvailability("registry", read ? nullptr : &read.error());
        // Backend servers whose registrations expired during an outage renew them
        // soon after.
        bool endsOutage = wasUnavailable || (isRegistryStale() && haveAllReadersFailed(readerStates()));
        if (read && endsOutage && !context_.backends_.records().empty())
            removalGraceEnd_ = steadyNow() + settings.registrationGrace_;
        if (!read && read.error().code_ == Errc::NotFound)
            from.reset();
        if (read) {
            from = read.value().next_;
            registryReadAt_ = startedAt;
            listReadAt_ = startedAt;
            listConfirmedAt_ = startedAt;
            apply(read.value(), read.value().isComplete_ ? context_.backends_.records() : std::vector<BackendRecord> {}, platformSource);
            context_.backends_.noteListRead(startedAt);
            noteIfListIsCurrent();
            backoff.noteSuccess();
        }
        co_await sleepFor(read ? settings.registryPeriod_ : backoff.nextPause(randomBits()));
    }
}

bool PlatformFeed::isRegistryStale() const
{
    return steadyNow() - registryReadAt_.load() > context_.settings_.feed_.askPeersAfter_;
}

bool PlatformFeed::isListCurrent() const
{
    if (isReader())
        return registryReadAt_.load() != SteadyTime {} && !isRegistryStale();
    std::vector<KnownPeer> peers = peerReports_.reportedWithin(context_.settings_.feed_.readerTimeout_);
    return std::any_of(peers.begin(), peers.end(), [&](const KnownPeer& known) {
        return known.second.isReader_ && !known.second.isPlatformUnavailable_ && known.second.registryFingerprint_ == context_.backends_.fingerprint();
    });
}

void PlatformFeed::noteIfListIsCurrent()
{
    if (!isListCurrent())
        return;
    SteadyTime now = steadyNow();
    if (now - listCurrentAt_.load() > maxListLag)
        listCurrentSince_ = now;
    listCurrentAt_ = now;
}

std::optional<SteadyTime> PlatformFeed::registryCurrentSince() const
{
    SteadyTime since = listCurrentSince_.load();
    bool isCurrent = steadyNow() - listCurrentAt_.load() <= maxListLag;
    return isCurrent && since != SteadyTime {} ? std::optional(since) : std::nullopt;
}

asio::awaitable<bool> PlatformFeed::confirmList(SteadyTime time)
{
    co_return co_await asio::co_spawn(io_, waitForConfirmation(time), asio::use_awaitable);
}

/// Only a read that began after \p time shows what was registered by then: how old a report of a peer is
/// cannot be told on a node that was cut off or stood still.
asio::awaitable<bool> PlatformFeed::waitForConfirmation(SteadyTime time)
{
    SteadyTime until = steadyNow() + confirmationPatience;
    while (listConfirmedAt_ < time && steadyNow() < until) {
        std::optional<KnownPeer> reader = isReader() || isConfirming_ ? std::nullopt : randomReader();
        if (reader) {
            isConfirming_ = true;
            co_await fetchBackends(reader->first, reader->second);
            isConfirming_ = false;
        }
        if (listConfirmedAt_ < time)
            co_await sleepFor(confirmationPeriod);
    }
    co_return listConfirmedAt_ >= time;
}

std::optional<KnownPeer> PlatformFeed::randomReader() const
{
    std::vector<KnownPeer> readers = peerReports_.reportedWithin(context_.settings_.feed_.readerTimeout_);
    std::erase_if(readers, [](const KnownPeer& known) { return !known.second.isReader_ || known.second.isPlatformUnavailable_; });
    return readers.empty() ? std::nullopt : std::optional(readers[randomBits() % readers.size()]);
}

std::optional<KnownPeer> PlatformFeed::readerWithDifferentList() const
{
    // Prefers readers whose streams have not failed lately, then that of this data centre.
    SteadyTime now = steadyNow();
    auto rankOf = [&](const KnownPeer& known) {
        SteadyTime avoidedUntil = std::max(now, sourceHealth_.avoidedUntil(known.first));
        return std::make_pair(avoidedUntil, known.second.dataCentre_ != context_.settings_.dataCentre_);
    };
    std::optional<KnownPeer> chosen;
    for (const KnownPeer& known : peerReports_.reportedWithin(context_.settings_.feed_.readerTimeout_)) {
        if (!known.second.isReader_ || known.second.isPlatformUnavailable_)
            continue;
        if (!chosen || rankOf(known) < rankOf(*chosen))
            chosen = known;
    }
    if (chosen && chosen->second.registryFingerprint_ == context_.backends_.fingerprint())
        return std::nullopt;
    return chosen;
}

asio::awaitable<void> PlatformFeed::fetchBackendsFromPeers()
{
    for (;;) {
        co_await sleepFor(jitter(listCheckPeriod(peerReports_.nodesKnown()), randomBits()));
        noteIfListIsCurrent();
        auto source = backendsSource();
        if (source)
            co_await fetchBackends(source->first, source->second);
    }
}

std::optional<KnownPeer> PlatformFeed::backendsSource() const
{
    if (!isRegistryStale() && isReader())
        return std::nullopt;
    auto reader = readerWithDifferentList();
    bool hasList = listReadAt_ != SteadyTime {};
    if (reader || hasList)
        return reader;
    // A node that starts during an outage of the platform has no backend servers and
    // would reject all requests until the platform is back. A list of any age is better
    // than none, since registrations that expire during the outage are kept until the
    // platform is available again.
    std::vector<KnownPeer> live = peerReports_.live();
    if (live.empty())
        return std::nullopt;
    return live[randomBits() % live.size()];
}

asio::awaitable<std::optional<wire::ConfigurationUpdate>> PlatformFeed::callPeer(VmId vm, Peer peer, wire::Frame request)
{
    auto reply = co_await peers_.call(peer.peerEndpoint_, request, peerTimeout);
    if (reply && reply.value().has_configuration_update()) {
        sourceHealth_.noteAnswered(vm);
        co_return reply.value().configuration_update();
    }
    sourceHealth_.noteFailed(vm, steadyNow());
    logger_.warn("Peer " + vm.value_ + " sent no update: " + (reply ? "unexpected frame" : describe(reply.error())));
    co_return std::nullopt;
}

asio::awaitable<void> PlatformFeed::fetchBackends(VmId vm, Peer peer)
{
    wire::Frame request;
    wire::ConfigurationFetch& fetch = *request.mutable_configuration_fetch();
    fetch.set_wants_backends(true);
    std::size_t bucketCount = bucketCountFor(context_.backends_.size());
    for (std::uint64_t fingerprint : context_.backends_.bucketFingerprints(bucketCount))
        fetch.add_backend_buckets(fingerprint);
    SteadyTime requestedAt = steadyNow();
    auto answered = co_await callPeer(vm, peer, request);
    if (!answered)
        co_return;
    const wire::ConfigurationUpdate& update = *answered;
    // Nodes that are not readers use the list of a peer, and so do readers that cannot
    // read from the platform.
    bool mayUse = !isReader() || isRegistryStale();
    bool isStale = update.backends_age_ms() > maxListAgeMs;
    bool isFirst = listReadAt_ == SteadyTime {};
    if (!mayUse || (isStale && !isFirst))
        co_return;
    // The peer computes the age after the request was sent, so that the list was read no
    // earlier than this. A list that is older than this node's list may lack newer
    // registrations.
    SteadyTime readAt = requestedAt - milliseconds(update.backends_age_ms());
    if (readAt <= listReadAt_)
        co_return;
    RegistryRead read;
    for (const wire::BackendEntry& entry : update.backends()) {
        auto endpoint = parseEndpoint(entry.address());
        if (endpoint && !entry.name().empty())
            read.changes_.push_back({ { entry.name() }, BackendRecord { backendId({ entry.name() }, { entry.started_ms() }), { entry.service() }, *endpoint, { entry.data_centre() }, entry.slots(), entry.is_leaving(), entry.is_reclaimable(), { entry.name() }, { entry.started_ms() }, { entry.version() } }, {} });
    }
    // A peer of an older version sends the complete list.
    std::vector<bool> covered = update.bucket_count() ? includedBuckets(update, bucketCount) : std::vector<bool>(1, true);
    // An old list does not show that the servers which it lacks are gone.
    apply(read, isStale ? std::vector<BackendRecord> {} : context_.backends_.recordsIn(covered), vm.value_);
    for (const wire::BackendEntry& entry : update.backends()) {
        if (entry.is_unlisted())
            context_.backends_.setUnlisted(backendId({ entry.name() }, { entry.started_ms() }));
    }
    if (!isStale && !update.has_more()) {
        listConfirmedAt_ = std::max(listConfirmedAt_, readAt);
        context_.backends_.noteListRead(readAt);
    }
    // The first list is complete only when its last part has arrived. Until then parts of any
    // age are used.
    if (!isFirst || (!update.has_more() && context_.backends_.size()))
        listReadAt_ = std::max(readAt, SteadyTime { milliseconds(1) });
}

wire::Frame PlatformFeed::answer(const wire::Frame& request)
{
    const wire::ConfigurationFetch& fetch = request.configuration_fetch();
    wire::Frame frame;
    wire::ConfigurationUpdate& update = *frame.mutable_configuration_update();
    auto table = context_.table();
    if (table) {
        update.set_version(table->version());
        // Version and source are taken from the same table, since another table may be
        // published meanwhile.
        if (fetch.wants_configuration() && table->version() > fetch.known_version())
            update.set_compressed_source(table->configuration().compressedSource_);
    }
    auto age = std::chrono::duration_cast<milliseconds>(steadyNow() - registryReadAt_.load());
    update.set_backends_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())));
    if (!fetch.wants_backends())
        return frame;
    std::vector<bool> included { true };
    if (isValidBucketCount(fetch.backend_buckets_size())) {
        std::vector<std::uint64_t> wanted(fetch.backend_buckets().begin(), fetch.backend_buckets().end());
        std::vector<std::uint64_t> own = context_.backends_.bucketFingerprints(wanted.size());
        included = selectBuckets(own, wanted, context_.backends_.size(), randomBits());
        putBuckets(included, update);
        update.set_has_more(hasMoreDifferences(own, wanted, included));
    }
    update.set_has_more(update.has_more() || listReadAt_ == SteadyTime {});
    for (const BackendRecord& record : context_.backends_.recordsIn(included)) {
        if (context_.backends_.isRemoved(record.id_))
            continue;
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
        entry.set_is_unlisted(context_.backends_.isUnlisted(record.id_));
    }
    return frame;
}

} // namespace pistachioloom
