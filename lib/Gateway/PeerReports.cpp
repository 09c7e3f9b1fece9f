//===- lib/Gateway/PeerReports.cpp - reports between nodes ----------------===//
///
/// \file
/// Sends and receives the datagrams; ReportMessages.cpp composes them.
//===----------------------------------------------------------------------===//
#include "PeerReports.h"

#include "RolloutMessages.h"
#include "SuspectMessages.h"

#include "pistachioloom/Settings.h"

namespace pistachioloom {

using udp = asio::ip::udp;

namespace {

    // Size of the buffer for a received datagram.
    constexpr std::size_t receiveBufferSize = 64UL * 1024;
    // Minimum time between two log lines on datagrams that are too large.
    constexpr milliseconds tooLargeLogPeriod { 10000 };
    // Added to the rank of a node that receives reports of at most half of the fleet. The
    // duties may be held by another node whose reports do not arrive at this one. With
    // the added rank this node waits longer than a lease before it claims the duties.
    constexpr std::size_t rankPenalty = 8;
    // Time for which a leaving backend server is reported to peers.
    constexpr milliseconds leavingReportDuration { 10000 };
    // Time for which a terminated backend server is reported to peers. Its registration
    // expires soon after.
    constexpr milliseconds terminatedReportDuration { 3000 };
    // Backend servers that the log lines on one message name; the others are counted.
    constexpr std::size_t maxNamedBackends = 8;

    /// Identifies the peer that represents all other nodes in the tables of a large
    /// fleet.
    const VmId& allOthers()
    {
        static const VmId vm { "(all others)" };
        return vm;
    }

    std::set<ServiceName> servicesOf(const google::protobuf::RepeatedPtrField<std::string>& names)
    {
        std::set<ServiceName> services;
        for (const std::string& name : names)
            services.insert({ name });
        return services;
    }

    ServiceDemand demandOf(const wire::DemandReport& reported)
    {
        return { reported.tokens_per_second(), reported.prefill_per_ms(), reported.observations(), momentsOf(reported) };
    }

    Endpoint endpointOr(const std::string& text, const Endpoint& fallback)
    {
        auto parsed = parseEndpoint(text);
        return parsed ? *parsed : fallback;
    }

} // namespace

PeerReports::PeerReports(asio::io_context& io, GatewayContext& context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , socket_(io)
    , table_(context.settings_.vm_, context.settings_.dataCentre_, context.settings_.cores_, context.settings_.gossipSettings_)
    , discovery_(table_, context.settings_.vm_, context.settings_.dataCentre_, context.settings_.gossipSettings_)
    , aggregator_(context.settings_.usageWindow_)
    , leaving_(leavingReportDuration)
    , terminated_(terminatedReportDuration)
{
}

Result<void> PeerReports::start()
{
    const Endpoint& own = context_.settings_.gossip_;
    boost::system::error_code code;
    udp::endpoint address(asio::ip::make_address(own.host_, code), own.port_);
    if (!code)
        socket_.open(address.protocol(), code);
    if (!code)
        socket_.bind(address, code);
    if (code)
        return Error { Errc::Unavailable, "bind datagrams", own.toString(), code.message(), Ran::No, {} };
    asio::co_spawn(socket_.get_executor(), receiveDatagrams(), asio::detached);
    asio::co_spawn(socket_.get_executor(), sendReports(), asio::detached);
    return boost::outcome_v2::success();
}

std::vector<KnownPeer> PeerReports::live() const
{
    return reportedWithin(context_.settings_.gossipSettings_.unresponsiveAfter_);
}

std::vector<KnownPeer> PeerReports::peersReaching(const ServiceName& service) const
{
    std::vector<KnownPeer> peers = live();
    std::erase_if(peers, [&](const KnownPeer& peer) { return peer.second.isStopping_ || peer.second.unreachableServices_.contains(service); });
    return peers;
}

std::uint64_t PeerReports::nodesCovered() const
{
    return usesRelays_ ? relayedNodes_.load() : live().size();
}

Coverage PeerReports::coverage(SteadyTime now) const
{
    PeerTable::PeerCounts peerCounts = table_.peerCounts();
    // Nodes that were advertised and have never reported may have stopped long ago. They
    // count as known only until forgetAfter_ has passed since the start of this node,
    // since their first reports may arrive until then.
    bool hasJustStarted = now - startedAt_ < context_.settings_.gossipSettings_.forgetAfter_;
    std::uint64_t known = peerCounts.reportedNodes_ + (hasJustStarted ? peerCounts.advertisedNodes_ : 0);
    const wire::NodeSums* sums = others_.current(now);
    std::uint64_t reported = usesRelays_ ? (sums ? sums->nodes() : 0) : live().size();
    return { reported + 1, std::max(known, reported) + 1 };
}

std::size_t PeerReports::rankFor(const std::string& key) const
{
    SteadyTime now = steadyNow();
    return table_.rankFor(key, now) + (coverage(now).hasMajority() ? 0 : rankPenalty);
}

bool PeerReports::haveAllReportedWithin(milliseconds time, milliseconds maxAge) const
{
    if (usesRelays_)
        return !unresponsiveNodes_ && coverage(steadyNow()).isComplete();
    // Nodes that have been unresponsive for longer than \p maxAge are not waited for:
    // their counts have arrived already or never will.
    return reportedWithin(time).size() >= reportedWithin(maxAge).size();
}

void PeerReports::addKnownPeer(const VmId& vm, const Endpoint& gossip)
{
    if (gossip != context_.settings_.gossip_)
        table_.addKnownPeer(vm, gossip);
}

void PeerReports::noteFleetKnown()
{
    isFleetKnown_ = true;
    setNodeCount(table_.size() + 1, steadyNow());
}

void PeerReports::setNodeCount(std::uint64_t known, SteadyTime now)
{
    // Retry budgets and quotas are divided among all known nodes, including those that
    // are cut off.
    std::uint64_t assumed = std::max(minNodesAssumed, known);
    context_.retries_.setNodes(assumed);
    context_.forward_.nodes_ = assumed;
    // If the platform does not answer, the number of nodes assumed at the start restricts
    // the quotas for the startup time at most.
    bool isWaiting = !isFleetKnown_ && now - startedAt_ < QuotaSettings {}.startupTime_;
    context_.quotas_.setNodes(isWaiting ? std::max(nodesAssumedAtStart, known) : known);
}

void PeerReports::noteLeaving(const BackendId& id)
{
    std::lock_guard lock(leavingMutex_);
    leaving_.add(id, steadyNow());
}

void PeerReports::noteStatement(const BackendStatement& statement)
{
    if (statement.kind_ == ConditionKind::Leaving)
        return noteLeaving(statement.backend_);
    bool isNew = false;
    {
        std::lock_guard lock(leavingMutex_);
        isNew = statements_.add(statement);
    }
    if (isNew)
        logStatement(statement, statement.kind_ == ConditionKind::Removed ? "the platform" : "its answer");
}

void PeerReports::logStatement(const BackendStatement& statement, const std::string& from) const
{
    logger_.info(LogLine("Backend server stated a condition.").add("backend", statement.backend_.value_).add("condition", toString(statement.kind_)).add("value", std::to_string(statement.value_)).add("from", from));
}

void PeerReports::noteTerminated(const BackendId& id)
{
    std::lock_guard lock(leavingMutex_);
    terminated_.add(id, steadyNow());
}

void PeerReports::send(const wire::Datagram& datagram, const std::vector<Endpoint>& receivers)
{
    sendBytes(datagram.SerializeAsString(), receivers);
}

void PeerReports::sendRelayed(wire::Datagram& datagram, const std::vector<Endpoint>& receivers)
{
    std::vector<wire::Datagram> separate = separateUsage(datagram);
    send(datagram, receivers);
    for (const wire::Datagram& part : separate)
        send(part, receivers);
}

void PeerReports::sendBytes(const std::string& bytes, const std::vector<Endpoint>& receivers)
{
    if (bytes.size() > maxDatagramSize) {
        context_.metrics_.add(Counter::DatagramsTooLarge);
        SteadyTime now = steadyNow();
        if (now - tooLargeLoggedAt_ < tooLargeLogPeriod)
            return;
        tooLargeLoggedAt_ = now;
        logger_.error(LogLine("Report is too large for a datagram and was not sent.").add("bytes", static_cast<std::int64_t>(bytes.size())).add("receivers", static_cast<std::int64_t>(receivers.size())));
        return;
    }
    for (const Endpoint& receiver : receivers) {
        boost::system::error_code code;
        udp::endpoint address(asio::ip::make_address(receiver.host_, code), receiver.port_);
        // If the socket buffer is full or a route is missing, this datagram is lost, and
        // the next one replaces it.
        if (!code)
            socket_.send_to(asio::buffer(bytes), address, 0, code);
        context_.metrics_.add(code ? Counter::PeerErrors : Counter::GossipMessages);
    }
}

asio::awaitable<void> PeerReports::sendReports()
{
    for (;;) {
        SteadyTime now = steadyNow();
        removeUnresponsive(now);
        // The relays' sums cover all live nodes also while this node knows only a part of
        // them.
        std::uint64_t known = std::max<std::uint64_t>(table_.size(), usesRelays_ ? relayedNodes_ + unresponsiveNodes_ : 0) + 1;
        setNodeCount(known, now);
        bool isLarge = table_.isLarge();
        if (isLarge != usesRelays_)
            logger_.info(LogLine(isLarge ? "Fleet is large: relays aggregate the reports." : "Fleet is small: every node reports to every other.").add("nodes", static_cast<std::int64_t>(known)));
        if (!isLarge && usesRelays_) {
            forgetCounts(allOthers());
            context_.quotas_.setUnresponsiveNodes(0, 0, now);
        }
        if (isLarge && !usesRelays_) {
            // From now on the relays' sums contain what the nodes reported individually.
            for (const auto& [vm, peer] : table_.all())
                forgetCounts(vm);
        }
        usesRelays_ = isLarge;
        shareRequestLimits(now);
        context_.quarantine_.selectTrials([this](const Attribute& attribute) { return rankFor("trial of " + toString(attribute.key_)) == 0; });
        if (isLarge)
            reportToRelays(now);
        else
            reportToAll();
        co_await sleepFor(context_.settings_.gossipSettings_.period_);
    }
}

void PeerReports::shareRequestLimits(SteadyTime now)
{
    auto limits = context_.backends_.requestLimits();
    auto brittle = context_.backends_.brittleSlots();
    if (limits.empty() && brittle.empty())
        return;
    SharingNodes nodes = table_.sharingNodes(context_.isStopping_, now);
    for (const auto& [backend, limit] : limits)
        context_.backends_.setRequestShare(backend, requestShare(limit, backend, context_.settings_.vm_, nodes), now);
    for (const auto& [backend, slots] : brittle)
        context_.backends_.setSlotShare(backend, slotShare(slots, backend, context_.settings_.vm_, nodes));
}

void PeerReports::reportToAll()
{
    wire::Datagram datagram;
    composeIntroduction(*datagram.mutable_report(), AdvertisedPeers::Many);
    composeNotices(*datagram.mutable_report());
    composeState(*datagram.mutable_report());
    send(datagram, knownAddresses());
}

void PeerReports::reportToRelays(SteadyTime now)
{
    sendIntroductions(now);
    wire::Datagram datagram;
    wire::NodeReport& report = *datagram.mutable_report();
    composeIntroduction(report, AdvertisedPeers::Few);
    composeNotices(report);
    composeState(report);
    report.set_wants_digest(true);
    report.set_takes_common_sums(true);
    std::vector<Endpoint> relays;
    isRelay_ = false;
    std::vector<VmId> chosen = table_.chooseRelays(now);
    others_.keepOnly(chosen, now);
    for (const VmId& vm : chosen) {
        auto address = table_.gossipEndpointOf(vm);
        if (vm == context_.settings_.vm_) {
            isRelay_ = true;
            aggregator_.applyReport(report, now);
        } else if (address)
            relays.push_back(*address);
    }
    send(datagram, relays);
    sendSums(now);
}

void PeerReports::sendIntroductions(SteadyTime now)
{
    Discovery::Receivers receivers = discovery_.receivers(unseenSeeds());
    wire::Datagram datagram;
    wire::NodeReport& report = *datagram.mutable_report();
    composeIntroduction(report, AdvertisedPeers::Few);
    report.set_is_brief(true);
    send(datagram, receivers.introduced_);
    if (receivers.answered_.empty())
        return;
    report.Clear();
    composeIntroduction(report, AdvertisedPeers::Many);
    report.set_is_brief(true);
    composeMembers(*report.mutable_relays(), discovery_.relaysToAdvertise(now), now);
    send(datagram, receivers.answered_);
    for (const Discovery::Referral& referral : receivers.referrals_) {
        report.Clear();
        addKnownNodes(report, referral.answered_);
        send(datagram, referral.receivers_);
    }
}

std::uint64_t PeerReports::countedMs(SteadyTime now) const
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(now - startedAt_).count()));
}

/// Sends each node that reports to this one the sums of all other nodes, and the relays
/// of other data centres the sums of this one's nodes.
void PeerReports::sendSums(SteadyTime now)
{
    std::vector<VmId> receivers = aggregator_.receivers(now);
    if (receivers.empty())
        return;
    wire::Datagram datagram;
    wire::RelayReport& report = *datagram.mutable_relayed();
    report.set_vm(context_.settings_.vm_.value_);
    report.set_data_centre(context_.settings_.dataCentre_.value_);
    report.set_incarnation(context_.incarnation_);
    report.set_is_digest(true);
    composeMembers(*report.mutable_members(), discovery_.membersToAdvertise(now), now);
    std::vector<Suspect> suspects = context_.quarantine_.suspectsToReport(now, randomBits());
    sendDigests(datagram, receivers, suspects, now);
    if (!isRelay_)
        return;
    report.set_is_digest(false);
    for (const DataCentreId& dataCentre : table_.otherDataCentres()) {
        *report.mutable_sums() = aggregator_.summaryFor(dataCentre, now);
        putSuspects(suspects, *report.mutable_sums()->mutable_suspects(), now);
        report.mutable_sums()->set_counted_ms(countedMs(now));
        std::vector<Endpoint> summaryReceivers;
        for (const VmId& vm : discovery_.summaryReceivers(dataCentre, aggregator_.relaysOf(dataCentre, now), now)) {
            if (auto address = table_.gossipEndpointOf(vm))
                summaryReceivers.push_back(*address);
        }
        sendRelayed(datagram, summaryReceivers);
    }
}

/// Sends each of \p receivers the sums of all other nodes. \p datagram contains the other
/// parts.
void PeerReports::sendDigests(wire::Datagram& datagram, const std::vector<VmId>& receivers, const std::vector<Suspect>& suspects, SteadyTime now)
{
    ReportTotals totals = aggregator_.totals(now);
    wire::RelayReport& report = *datagram.mutable_relayed();
    auto complete = [&](wire::NodeSums sums) {
        putSuspects(suspects, *sums.mutable_suspects(), now);
        sums.set_counted_ms(countedMs(now));
        *report.mutable_sums() = std::move(sums);
    };
    wire::NodeSums common = totals.toMessage();
    // Roll-out counts are included only for the holder of the duties.
    common.clear_rollout_counts();
    complete(std::move(common));
    // The parts of a message may be encoded separately and joined.
    std::string commonBytes = datagram.SerializeAsString();
    for (const VmId& vm : receivers) {
        bool isSelf = vm == context_.settings_.vm_;
        auto own = aggregator_.ownPartOf(vm, now);
        auto address = table_.gossipEndpointOf(vm);
        if (!isSelf && !address)
            continue;
        if (!isSelf && own) {
            wire::Datagram part;
            *part.mutable_relayed()->mutable_own() = std::move(*own);
            sendBytes(commonBytes + part.SerializeAsString(), { *address });
            continue;
        }
        complete(aggregator_.digestFor(vm, totals, now));
        if (isSelf)
            applyDigest(vm, context_.incarnation_, report.sums(), now);
        else
            sendRelayed(datagram, { *address });
    }
}

asio::awaitable<void> PeerReports::receiveDatagrams()
{
    std::string buffer(receiveBufferSize, '\0');
    for (;;) {
        udp::endpoint sender;
        auto [code, count] = co_await socket_.async_receive_from(asio::buffer(buffer), sender, asio::as_tuple(asio::use_awaitable));
        if (code == asio::error::operation_aborted)
            co_return;
        if (code)
            continue;
        wire::Datagram datagram;
        bool isParsed = datagram.ParseFromArray(buffer.data(), static_cast<int>(count));
        if (isParsed && datagram.has_report() && !datagram.report().vm().empty())
            applyReport(datagram.report(), steadyNow());
        else if (isParsed && datagram.has_report() && datagram.report().nodes_size() > 0)
            applyKnownNodes(datagram.report());
        else if (isParsed && datagram.has_relayed() && !datagram.relayed().vm().empty())
            applyRelayReport(*datagram.mutable_relayed(), { sender.address().to_string(), sender.port() }, steadyNow());
        else if (isParsed && (datagram.has_origin() || datagram.has_origin_query() || datagram.has_origin_answer()))
            hooks_.onMessage_(datagram, { sender.address().to_string(), sender.port() });
        else {
            context_.metrics_.add(Counter::PeerErrors);
            logger_.warn("Datagram from " + sender.address().to_string() + " is not a valid report.");
        }
    }
}

void PeerReports::forgetCounts(const VmId& vm)
{
    context_.backends_.forgetPeer(vm);
    context_.quotas_.forgetPeer(vm);
    context_.demand_.forgetSource(vm);
    context_.usage_.forgetPeer(vm);
    context_.rollouts_.forgetPeer(vm);
}

void PeerReports::removeUnresponsive(SteadyTime now)
{
    for (const VmId& vm : table_.removeUnresponsive(now)) {
        forgetCounts(vm);
        logger_.info(LogLine("Peer is unresponsive and was removed.").add("peer", vm.value_).add("silent_ms", table_.forgetAfter().count()));
    }
}

void PeerReports::applySuspects(const google::protobuf::RepeatedPtrField<wire::SuspectReport>& suspects, SteadyTime now)
{
    if (!suspects.empty())
        context_.quarantine_.mergeSuspects(suspectsOf(suspects, now), now);
}

void PeerReports::applyRollouts(const google::protobuf::RepeatedPtrField<wire::RolloutReport>& reports, const VmId& from, SteadyTime now)
{
    for (const wire::RolloutReport& report : reports) {
        auto state = fromWire(report);
        if (!state) {
            logger_.warn("Report of a roll-out by " + from.value_ + " is invalid.");
            continue;
        }
        if (context_.rollouts_.applyState(*state, now - milliseconds(static_cast<std::int64_t>(report.age_ms())), now))
            logger_.info(LogLine("Roll-out state was received.").add("service", report.service()).add("target", report.target()).add("phase", report.phase()).add("share", std::to_string(report.share())).add("from", from.value_));
    }
}

void PeerReports::applyTerminated(const google::protobuf::RepeatedPtrField<std::string>& terminated, const VmId& from, SteadyTime now)
{
    for (const std::string& id : terminated) {
        {
            std::lock_guard lock(leavingMutex_);
            if (!terminated_.add({ id }, now))
                continue;
        }
        logger_.info(LogLine("Backend server has terminated.").add("backend", id).add("from", from.value_));
        context_.backends_.setTerminated({ id }, now);
        noteBackendTerminated(context_.forward_, { id });
    }
}

void PeerReports::applyStatements(const google::protobuf::RepeatedPtrField<wire::BackendStatement>& statements, const VmId& from, SteadyTime now)
{
    std::size_t changed = 0;
    for (const BackendStatement& statement : statementsOf(statements, now)) {
        // In a small fleet every node repeats it, for nodes that the sender does not reach.
        if (!usesRelays_) {
            std::lock_guard lock(leavingMutex_);
            statements_.add(statement);
        }
        if (context_.backends_.applyStatement(statement, now) && ++changed <= maxNamedBackends)
            logStatement(statement, from.value_);
    }
    if (changed > maxNamedBackends)
        logger_.info(LogLine("More backend servers stated conditions.").add("count", static_cast<std::int64_t>(changed - maxNamedBackends)).add("from", from.value_));
}

void PeerReports::applyLeaving(const google::protobuf::RepeatedPtrField<std::string>& leaving, const VmId& from)
{
    std::size_t marked = 0;
    for (const std::string& id : leaving) {
        if (!context_.backends_.setLeaving({ id }, steadyNow()))
            continue;
        if (++marked <= maxNamedBackends)
            logger_.info(LogLine("Backend server is leaving.").add("backend", id).add("from", from.value_));
        // In a large fleet the relays report to all nodes what the node that detected it
        // reports. If every node repeated it, the messages would grow with the number of
        // nodes and of leaving servers.
        if (!usesRelays_)
            noteLeaving({ id });
    }
    if (marked > maxNamedBackends)
        logger_.info(LogLine("More backend servers are leaving.").add("count", static_cast<std::int64_t>(marked - maxNamedBackends)).add("from", from.value_));
}

void PeerReports::applyReport(const wire::NodeReport& report, SteadyTime now)
{
    VmId vm { report.vm() };
    if (vm == context_.settings_.vm_)
        return;
    auto gossip = parseEndpoint(report.address());
    auto peers = parseEndpoint(report.peers_address());
    if (!gossip || !peers) {
        logger_.warn("Report of " + vm.value_ + " has no valid address.");
        return;
    }
    bool hasStartedStopping = report.is_stopping() && !table_.isStopping(vm);
    Peer peer { *gossip, *peers, { report.data_centre() }, report.incarnation(), report.sequence(), report.configuration_version(), report.is_stopping(), report.is_platform_lost(), report.is_reader(), report.registry_fingerprint(), report.cores(), now, servicesOf(report.unreachable_services()) };
    PeerTable::ReportKind kind = table_.applyReport(vm, std::move(peer));
    if (kind == PeerTable::ReportKind::Outdated)
        return;
    context_.configurationProgress_.noteReported(vm, report.configuration_version(), now);
    if (kind == PeerTable::ReportKind::Restarted)
        discovery_.queueAnswer(vm);
    // In a large fleet a node introduces itself to every other node in rotation, once in
    // some seconds, so that a gap between its reports is normal.
    bool shouldLog = kind != PeerTable::ReportKind::Regular && !(usesRelays_ && kind == PeerTable::ReportKind::Resumed);
    if (shouldLog)
        logger_.info(LogLine(kind == PeerTable::ReportKind::Resumed ? "Peer sends reports again." : "Peer sent its first report.").add("peer", vm.value_).add("address", report.address()).add("configuration", static_cast<std::int64_t>(report.configuration_version())));
    applyMembers(report.relays(), now);
    applyKnownNodes(report);
    context_.clocks_.setPeer(vm, report.wall_ms() - context_.localWallMs(), now);
    applyLeaving(report.leaving(), vm);
    applyTerminated(report.ended(), vm, now);
    applyStatements(report.statements(), vm, now);
    applyRollouts(report.rollouts(), vm, now);
    applySuspects(report.suspects(), now);
    if (report.duty_token())
        hooks_.onHolder_(vm, { report.duty_token() }, now);
    if (report.released_token())
        hooks_.onReleased_({ report.released_token() });
    if (hasStartedStopping)
        hooks_.onStopping_(vm);
    if (report.wants_digest())
        aggregator_.applyReport(report, now);
    // In a large fleet the relays' sums contain what each node reports.
    if (!report.is_brief() && !usesRelays_)
        applyState(report, now);
}

void PeerReports::applyKnownNodes(const wire::NodeReport& report)
{
    for (const wire::KnownNode& known : report.nodes()) {
        if (auto address = parseEndpoint(known.address()))
            addKnownPeer({ known.vm() }, *address);
    }
}

void PeerReports::applyState(const wire::NodeReport& report, SteadyTime now)
{
    VmId vm { report.vm() };
    context_.backends_.setPeerLoads(vm, loadsOf(report.loads()), now);
    AdmittedCounts admitted;
    std::map<OrganisationId, double> levels;
    for (const wire::QuotaReport& reported : report.quotas()) {
        admitted[{ reported.organisation() }] = reported.admitted();
        levels[{ reported.organisation() }] = reported.level();
    }
    context_.quotas_.setPeer(vm, report.incarnation(), admitted, levels, now, 1, areCountsFresh(report.counted_ms()));
    for (const wire::DemandReport& reported : report.demand())
        context_.demand_.setSource(vm, { reported.service() }, demandOf(reported), now);
    context_.usage_.setPeer(vm, report.incarnation(), usageOf(report.usage()));
    context_.rollouts_.setPeer(vm, talliesOf(report.rollout_counts()));
}

void PeerReports::applyMembers(const google::protobuf::RepeatedPtrField<wire::MemberEntry>& members, SteadyTime now)
{
    for (const wire::MemberEntry& member : members) {
        auto gossip = parseEndpoint(member.address());
        if (!gossip)
            continue;
        Peer peer { *gossip, endpointOr(member.peers_address(), {}), { member.data_centre() }, member.incarnation(), 0, member.configuration_version(), member.is_stopping(), member.is_platform_lost(), member.is_reader(), member.registry_fingerprint(), member.cores(), now - milliseconds(member.age_ms()), servicesOf(member.unreachable_services()) };
        table_.applyRelayedState({ member.vm() }, peer);
        context_.configurationProgress_.noteReported({ member.vm() }, member.configuration_version(), now);
    }
}

void PeerReports::applyRelayReport(wire::RelayReport& report, const Endpoint& sender, SteadyTime now)
{
    VmId relay { report.vm() };
    if (relay == context_.settings_.vm_)
        return;
    if (report.usage_size())
        return applyUsage(report);
    applyMembers(report.members(), now);
    addKnownPeer(relay, sender);
    if (report.is_digest()) {
        table_.noteDigest(relay, now);
        if (report.has_own())
            subtract(*report.mutable_sums(), report.own());
        applyDigest(relay, report.incarnation(), report.sums(), now);
        return;
    }
    // A relay of another data centre sent its sums to this node, which is no relay. The
    // answer reports the relays of this data centre to it.
    if (!isRelay_)
        discovery_.queueAnswer(relay);
    applyLeaving(report.sums().leaving(), relay);
    applyTerminated(report.sums().ended(), relay, now);
    applyStatements(report.sums().statements(), relay, now);
    applyRollouts(report.sums().rollouts(), relay, now);
    applySuspects(report.sums().suspects(), now);
    aggregator_.applySummary(report, now);
}

/// Applies usage windows that arrived apart from the sums that they belong to.
void PeerReports::applyUsage(const wire::RelayReport& report)
{
    if (report.is_digest())
        context_.usage_.setPeer(allOthers(), 0, usageOf(report.usage()));
    else
        aggregator_.applyUsage({ report.data_centre() }, usageOf(report.usage()));
}

void PeerReports::applyDigest(const VmId& relay, std::uint64_t incarnation, const wire::NodeSums& sums, SteadyTime now)
{
    applyLeaving(sums.leaving(), relay);
    applyTerminated(sums.ended(), relay, now);
    applyStatements(sums.statements(), relay, now);
    applyRollouts(sums.rollouts(), relay, now);
    applySuspects(sums.suspects(), now);
    if (sums.duty_token() && VmId { sums.holder() } != context_.settings_.vm_)
        hooks_.onHolder_({ sums.holder() }, { sums.duty_token() }, now - milliseconds(sums.holder_age_ms()));
    if (sums.released_token())
        hooks_.onReleased_({ sums.released_token() });
    context_.usage_.setPeer(allOthers(), 0, usageOf(sums.usage()));
    if (!usesRelays_ || !others_.applySums(relay, incarnation, sums, now))
        return;
    if (relay != activeRelay_ || sums.nodes() != relayedNodes_)
        logger_.info(LogLine("Relay reports the sums of other nodes.").add("relay", relay.value_).add("before", activeRelay_.value_).add("nodes", static_cast<std::int64_t>(sums.nodes())).add("nodes_before", static_cast<std::int64_t>(relayedNodes_.load())));
    activeRelay_ = relay;
    relayedNodes_ = sums.nodes();
    unresponsiveNodes_ = sums.silent_nodes();
    context_.backends_.setPeerLoads(allOthers(), loadsOf(sums.loads()), now);
    context_.rollouts_.setPeer(allOthers(), talliesOf(sums.rollout_counts()));
    AdmittedCounts admitted;
    for (const auto& [organisation, count] : others_.admitted())
        admitted[{ organisation }] = count;
    std::map<OrganisationId, double> levels;
    for (const wire::QuotaReport& reported : sums.quotas())
        levels[{ reported.organisation() }] = reported.level();
    context_.quotas_.setPeer(allOthers(), context_.incarnation_, admitted, levels, now, sums.nodes(), areCountsFresh(sums.counted_ms()));
    context_.quotas_.setUnresponsiveNodes(sums.silent_nodes(), sums.nodes(), now);
    for (const wire::DemandReport& reported : sums.demand())
        context_.demand_.setSource(allOthers(), { reported.service() }, demandOf(reported), now);
}

} // namespace pistachioloom
