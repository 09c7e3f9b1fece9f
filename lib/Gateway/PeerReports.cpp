//===- lib/Gateway/PeerReports.cpp - what nodes tell each other ------------===//
///
/// \file
/// Sends and takes the datagrams; ReportMessages.cpp composes them.
//===----------------------------------------------------------------------===//
#include "PeerReports.h"

#include "RolloutMessages.h"
#include "SuspectMessages.h"

#include "pistachioloom/Settings.h"

namespace pistachioloom {

using udp = asio::ip::udp;

namespace {

    // The largest datagram that UDP carries.
    constexpr std::size_t longestDatagram = 64UL * 1024;
    // A node that hears few others waits for so many places more before it claims
    // duties, longer than a lease: they may be held by one that it does not hear.
    constexpr std::size_t ranksBehind = 8;

    /// The peer that stands for all others in the books of a large fleet.
    const VmId& allOthers()
    {
        static const VmId vm { "(all others)" };
        return vm;
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
    , table_(context.settings_.vm_, context.settings_.dataCentre_, context.settings_.cores_, context.settings_.gossiping_)
    , discovery_(table_, context.settings_.vm_, context.settings_.dataCentre_, context.settings_.gossiping_)
    , relayBook_(context.settings_.usageWindow_)
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
    asio::co_spawn(socket_.get_executor(), hear(), asio::detached);
    asio::co_spawn(socket_.get_executor(), tell(), asio::detached);
    return boost::outcome_v2::success();
}

std::vector<KnownPeer> PeerReports::live() const
{
    return heardWithin(context_.settings_.gossiping_.unresponsiveAfter_);
}

std::uint64_t PeerReports::nodesKnownOf() const
{
    return wasLarge_ ? nodesSummed_.load() : live().size();
}

Coverage PeerReports::coverage(SteadyTime now) const
{
    PeerTable::Census census = table_.census();
    // What was named and never heard may be long gone, but for a while after a start.
    bool hasJustStarted = now - startedAt_ < context_.settings_.gossiping_.forgetAfter_;
    std::uint64_t known = census.heard_ + (hasJustStarted ? census.named_ : 0);
    const wire::NodeSums* sums = others_.current(now);
    std::uint64_t heard = wasLarge_ ? (sums ? sums->nodes() : 0) : live().size();
    return { heard + 1, std::max(known, heard) + 1 };
}

std::size_t PeerReports::rankFor(const std::string& key) const
{
    SteadyTime now = steadyNow();
    return table_.rankFor(key, now) + (coverage(now).hasMost() ? 0 : ranksBehind);
}

bool PeerReports::haveAllToldWithin(milliseconds time, milliseconds longest) const
{
    if (wasLarge_)
        return !nodesMissed_ && coverage(steadyNow()).isWhole();
    // One that is gone for longer is not waited for: its counts came or never come.
    return heardWithin(time).size() >= heardWithin(longest).size();
}

void PeerReports::addKnown(const VmId& vm, const Endpoint& gossip)
{
    if (gossip != context_.settings_.gossip_)
        table_.addKnown(vm, gossip);
}

void PeerReports::noteFleetKnown()
{
    isFleetKnown_ = true;
    shareAmong(table_.size() + 1, steadyNow());
}

void PeerReports::shareAmong(std::uint64_t known, SteadyTime now)
{
    // All nodes known share, also those cut off.
    std::uint64_t assumed = std::max(minNodesAssumed, known);
    context_.retries_.setNodes(assumed);
    context_.forward_.nodes_ = assumed;
    // A platform that does not answer must not hold back quotas for longer.
    bool isWaiting = !isFleetKnown_ && now - startedAt_ < QuotaSettings {}.startup_;
    context_.quotas_.setNodes(isWaiting ? std::max(nodesAssumedAtStart, known) : known);
}

void PeerReports::noteLeaving(const BackendId& id)
{
    std::lock_guard lock(leavingMutex_);
    leaving_.emplace_back(steadyNow(), id);
}

void PeerReports::noteEnded(const BackendId& id)
{
    std::lock_guard lock(leavingMutex_);
    bool isKnown = std::any_of(ended_.begin(), ended_.end(), [&](const auto& entry) { return entry.second == id; });
    if (!isKnown)
        ended_.emplace_back(steadyNow(), id);
}

void PeerReports::send(const wire::Datagram& datagram, const std::vector<Endpoint>& receivers)
{
    std::string bytes = datagram.SerializeAsString();
    for (const Endpoint& receiver : receivers) {
        boost::system::error_code code;
        udp::endpoint address(asio::ip::make_address(receiver.host_, code), receiver.port_);
        // A full socket or a missing route loses this one; the next replaces it.
        if (!code)
            socket_.send_to(asio::buffer(bytes), address, 0, code);
        context_.metrics_.add(code ? Counter::PeerErrors : Counter::GossipMessages);
    }
}

asio::awaitable<void> PeerReports::tell()
{
    for (;;) {
        SteadyTime now = steadyNow();
        forgetSilent(now);
        std::uint64_t known = table_.size() + 1;
        shareAmong(known, now);
        bool isLarge = table_.isLarge();
        if (isLarge != wasLarge_)
            logger_.info(LogLine(isLarge ? "Fleet is large: relays sum the reports." : "Fleet is small: every node hears every other.").add("nodes", static_cast<std::int64_t>(known)));
        if (!isLarge && wasLarge_) {
            forgetCounts(allOthers());
            context_.quotas_.setUnresponsiveNodes(0, 0, now);
        }
        if (isLarge && !wasLarge_) {
            // What single nodes told is in the relays' sums from now on.
            for (const auto& [vm, peer] : table_.all())
                forgetCounts(vm);
        }
        wasLarge_ = isLarge;
        if (isLarge)
            tellRelays(now);
        else
            tellAll();
        co_await sleepFor(context_.settings_.gossiping_.period_);
    }
}

void PeerReports::tellAll()
{
    wire::Datagram datagram;
    composeIntroduction(*datagram.mutable_report(), NamesTold::Many);
    composeState(*datagram.mutable_report());
    send(datagram, addressesKnown());
}

void PeerReports::tellRelays(SteadyTime now)
{
    introduce(now);
    wire::Datagram datagram;
    wire::NodeReport& report = *datagram.mutable_report();
    composeIntroduction(report, NamesTold::Few);
    composeState(report);
    report.set_wants_digest(true);
    std::vector<Endpoint> relays;
    isRelay_ = false;
    std::vector<VmId> chosen = table_.chooseRelays(now);
    others_.keepOnly(chosen, now);
    for (const VmId& vm : chosen) {
        auto address = table_.gossipOf(vm);
        if (vm == context_.settings_.vm_) {
            isRelay_ = true;
            relayBook_.takeReport(report, now);
        } else if (address)
            relays.push_back(*address);
    }
    send(datagram, relays);
    tellSums(now);
}

void PeerReports::introduce(SteadyTime now)
{
    Discovery::Receivers receivers = discovery_.receivers(unheardSeeds());
    wire::Datagram datagram;
    wire::NodeReport& report = *datagram.mutable_report();
    composeIntroduction(report, NamesTold::Few);
    report.set_is_brief(true);
    send(datagram, receivers.introduced_);
    if (receivers.answered_.empty())
        return;
    report.Clear();
    composeIntroduction(report, NamesTold::Many);
    report.set_is_brief(true);
    composeMembers(*report.mutable_relays(), discovery_.relaysToName(now), now);
    send(datagram, receivers.answered_);
}

std::uint64_t PeerReports::countedMs(SteadyTime now) const
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(now - startedAt_).count()));
}

/// Tells each node that reports here what all others told, and the relays of
/// other data centres what this one's nodes told.
void PeerReports::tellSums(SteadyTime now)
{
    std::vector<VmId> receivers = relayBook_.receivers(now);
    if (receivers.empty())
        return;
    wire::Datagram datagram;
    wire::RelayReport& report = *datagram.mutable_relayed();
    report.set_vm(context_.settings_.vm_.value_);
    report.set_data_centre(context_.settings_.dataCentre_.value_);
    report.set_incarnation(context_.incarnation_);
    report.set_is_digest(true);
    composeMembers(*report.mutable_members(), discovery_.membersToName(now), now);
    ReportTotals totals = relayBook_.totals(now);
    std::vector<Suspect> suspects = context_.quarantine_.told(now, randomBits());
    for (const VmId& vm : receivers) {
        *report.mutable_sums() = relayBook_.digestFor(vm, totals, now);
        putSuspects(suspects, *report.mutable_sums()->mutable_suspects(), now);
        report.mutable_sums()->set_counted_ms(countedMs(now));
        if (vm == context_.settings_.vm_)
            takeDigest(vm, context_.incarnation_, report.sums(), now);
        else if (auto address = table_.gossipOf(vm)) {
            std::vector<Endpoint> receiver { *address };
            send(datagram, receiver);
        }
    }
    if (!isRelay_)
        return;
    report.set_is_digest(false);
    for (const DataCentreId& dataCentre : table_.otherDataCentres()) {
        *report.mutable_sums() = relayBook_.summaryFor(dataCentre, now);
        putSuspects(suspects, *report.mutable_sums()->mutable_suspects(), now);
        report.mutable_sums()->set_counted_ms(countedMs(now));
        for (const VmId& vm : discovery_.summaryReceivers(dataCentre, relayBook_.relaysOf(dataCentre, now), now)) {
            if (auto address = table_.gossipOf(vm))
                send(datagram, { *address });
        }
    }
}

asio::awaitable<void> PeerReports::hear()
{
    std::string buffer(longestDatagram, '\0');
    for (;;) {
        udp::endpoint sender;
        auto [code, count] = co_await socket_.async_receive_from(asio::buffer(buffer), sender, asio::as_tuple(asio::use_awaitable));
        if (code == asio::error::operation_aborted)
            co_return;
        if (code)
            continue;
        wire::Datagram datagram;
        bool isGood = datagram.ParseFromArray(buffer.data(), static_cast<int>(count));
        if (isGood && datagram.has_report() && !datagram.report().vm().empty())
            take(datagram.report(), steadyNow());
        else if (isGood && datagram.has_relayed() && !datagram.relayed().vm().empty())
            takeRelayed(datagram.relayed(), { sender.address().to_string(), sender.port() }, steadyNow());
        else {
            context_.metrics_.add(Counter::PeerErrors);
            logger_.warn("Datagram from " + sender.address().to_string() + " is no report.");
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

void PeerReports::forgetSilent(SteadyTime now)
{
    for (const VmId& vm : table_.forgetSilent(now)) {
        forgetCounts(vm);
        logger_.info(LogLine("Peer is forgotten.").add("peer", vm.value_).add("silent_ms", context_.settings_.gossiping_.forgetAfter_.count()));
    }
}

void PeerReports::takeSuspects(const google::protobuf::RepeatedPtrField<wire::SuspectReport>& suspects, SteadyTime now)
{
    if (!suspects.empty())
        context_.quarantine_.take(suspectsOf(suspects, now), now);
}

void PeerReports::takeRollouts(const google::protobuf::RepeatedPtrField<wire::RolloutReport>& reports, const VmId& from, SteadyTime now)
{
    for (const wire::RolloutReport& report : reports) {
        auto state = fromWire(report);
        if (!state) {
            logger_.warn("Report of a roll-out by " + from.value_ + " cannot be read.");
            continue;
        }
        if (context_.rollouts_.take(*state, now - milliseconds(static_cast<std::int64_t>(report.age_ms())), now))
            logger_.info(LogLine("Roll-out is heard.").add("service", report.service()).add("target", report.target()).add("phase", report.phase()).add("share", std::to_string(report.share())).add("from", from.value_));
    }
}

void PeerReports::takeEnded(const google::protobuf::RepeatedPtrField<std::string>& ended, const VmId& from, SteadyTime now)
{
    for (const std::string& id : ended) {
        {
            std::lock_guard lock(leavingMutex_);
            if (std::any_of(ended_.begin(), ended_.end(), [&](const auto& entry) { return entry.second.value_ == id; }))
                continue;
        }
        noteEnded({ id });
        logger_.info(LogLine("Backend server has ended.").add("backend", id).add("from", from.value_));
        context_.backends_.setEnded({ id }, now);
        noteBackendEnded(context_.forward_, { id });
    }
}

void PeerReports::takeLeaving(const google::protobuf::RepeatedPtrField<std::string>& leaving, const VmId& from)
{
    for (const std::string& id : leaving) {
        if (!context_.backends_.setLeaving({ id }, steadyNow()))
            continue;
        logger_.info(LogLine("Backend server is leaving.").add("backend", id).add("from", from.value_));
        noteLeaving({ id });
    }
}

void PeerReports::take(const wire::NodeReport& report, SteadyTime now)
{
    VmId vm { report.vm() };
    if (vm == context_.settings_.vm_)
        return;
    auto gossip = parseEndpoint(report.address());
    auto peers = parseEndpoint(report.peers_address());
    if (!gossip || !peers) {
        logger_.warn("Report of " + vm.value_ + " has no address.");
        return;
    }
    bool beginsToStop = report.is_stopping() && !table_.isStopping(vm);
    Peer peer { *gossip, *peers, { report.data_centre() }, report.incarnation(), report.sequence(), report.configuration_version(), report.is_stopping(), report.is_platform_lost(), report.is_reader(), report.registry_fingerprint(), report.cores(), now };
    PeerTable::Heard heard = table_.take(vm, std::move(peer));
    if (heard == PeerTable::Heard::Old)
        return;
    if (heard == PeerTable::Heard::Restarted)
        discovery_.noteNew(vm);
    // In a large fleet a node introduces itself to each other one in turn, once in
    // some seconds, which is no news.
    bool isNews = heard != PeerTable::Heard::Again && !(wasLarge_ && heard == PeerTable::Heard::AfterSilence);
    if (isNews)
        logger_.info(LogLine(heard == PeerTable::Heard::AfterSilence ? "Peer is heard again." : "Peer is heard.").add("peer", vm.value_).add("address", report.address()).add("configuration", static_cast<std::int64_t>(report.configuration_version())));
    takeMembers(report.relays(), now);
    for (const wire::KnownNode& known : report.nodes()) {
        if (auto address = parseEndpoint(known.address()))
            addKnown({ known.vm() }, *address);
    }
    context_.clocks_.setPeer(vm, report.wall_ms() - context_.localWallMs(), now);
    takeLeaving(report.leaving(), vm);
    takeEnded(report.ended(), vm, now);
    takeRollouts(report.rollouts(), vm, now);
    takeSuspects(report.suspects(), now);
    if (report.duty_token())
        hooks_.onHolder_(vm, { report.duty_token() }, now);
    if (report.released_token())
        hooks_.onReleased_({ report.released_token() });
    if (beginsToStop)
        hooks_.onStopping_(vm);
    if (report.wants_digest())
        relayBook_.takeReport(report, now);
    // In a large fleet the relays' sums hold what each node told.
    if (!report.is_brief() && !wasLarge_)
        takeState(report, now);
}

void PeerReports::takeState(const wire::NodeReport& report, SteadyTime now)
{
    VmId vm { report.vm() };
    context_.backends_.setPeerLoads(vm, loadsOf(report.loads()), now);
    AdmittedCounts admitted;
    std::map<OrganisationId, double> levels;
    for (const wire::QuotaReport& told : report.quotas()) {
        admitted[{ told.organisation() }] = told.admitted();
        levels[{ told.organisation() }] = told.level();
    }
    context_.quotas_.setPeer(vm, report.incarnation(), admitted, levels, now, 1, isFresh(report.counted_ms()));
    for (const wire::DemandReport& told : report.demand())
        context_.demand_.setSource(vm, { told.service() }, { told.tokens_per_second(), told.prefill_per_ms(), told.observations() }, now);
    context_.usage_.setPeer(vm, report.incarnation(), usageOf(report.usage()));
    context_.rollouts_.setPeer(vm, talliesOf(report.rollout_counts()));
}

void PeerReports::takeMembers(const google::protobuf::RepeatedPtrField<wire::MemberEntry>& members, SteadyTime now)
{
    for (const wire::MemberEntry& member : members) {
        auto gossip = parseEndpoint(member.address());
        if (!gossip)
            continue;
        Peer peer { *gossip, endpointOr(member.peers_address(), {}), { member.data_centre() }, member.incarnation(), 0, member.configuration_version(), member.is_stopping(), member.is_platform_lost(), member.is_reader(), member.registry_fingerprint(), member.cores(), now - milliseconds(member.age_ms()) };
        table_.takeHearsay({ member.vm() }, peer);
    }
}

void PeerReports::takeRelayed(const wire::RelayReport& report, const Endpoint& sender, SteadyTime now)
{
    VmId relay { report.vm() };
    if (relay == context_.settings_.vm_)
        return;
    takeMembers(report.members(), now);
    addKnown(relay, sender);
    if (report.is_digest()) {
        table_.noteDigest(relay, now);
        takeDigest(relay, report.incarnation(), report.sums(), now);
        return;
    }
    // Its sender does not know the relays of this data centre yet.
    if (!isRelay_)
        discovery_.noteNew(relay);
    takeLeaving(report.sums().leaving(), relay);
    takeEnded(report.sums().ended(), relay, now);
    takeRollouts(report.sums().rollouts(), relay, now);
    takeSuspects(report.sums().suspects(), now);
    relayBook_.takeSummary(report, now);
}

void PeerReports::takeDigest(const VmId& relay, std::uint64_t incarnation, const wire::NodeSums& sums, SteadyTime now)
{
    takeLeaving(sums.leaving(), relay);
    takeEnded(sums.ended(), relay, now);
    takeRollouts(sums.rollouts(), relay, now);
    takeSuspects(sums.suspects(), now);
    if (sums.duty_token() && VmId { sums.holder() } != context_.settings_.vm_)
        hooks_.onHolder_({ sums.holder() }, { sums.duty_token() }, now - milliseconds(sums.holder_age_ms()));
    if (sums.released_token())
        hooks_.onReleased_({ sums.released_token() });
    context_.usage_.setPeer(allOthers(), 0, usageOf(sums.usage()));
    if (!wasLarge_ || !others_.take(relay, incarnation, sums, now))
        return;
    if (relay != countingRelay_ || sums.nodes() != nodesSummed_)
        logger_.info(LogLine("Relay sums other nodes.").add("relay", relay.value_).add("before", countingRelay_.value_).add("nodes", static_cast<std::int64_t>(sums.nodes())).add("nodes_before", static_cast<std::int64_t>(nodesSummed_.load())));
    countingRelay_ = relay;
    nodesSummed_ = sums.nodes();
    nodesMissed_ = sums.silent_nodes();
    context_.backends_.setPeerLoads(allOthers(), loadsOf(sums.loads()), now);
    context_.rollouts_.setPeer(allOthers(), talliesOf(sums.rollout_counts()));
    AdmittedCounts admitted;
    for (const auto& [organisation, count] : others_.admitted())
        admitted[{ organisation }] = count;
    std::map<OrganisationId, double> levels;
    for (const wire::QuotaReport& told : sums.quotas())
        levels[{ told.organisation() }] = told.level();
    context_.quotas_.setPeer(allOthers(), context_.incarnation_, admitted, levels, now, sums.nodes(), isFresh(sums.counted_ms()));
    context_.quotas_.setUnresponsiveNodes(sums.silent_nodes(), sums.nodes(), now);
    for (const wire::DemandReport& told : sums.demand())
        context_.demand_.setSource(allOthers(), { told.service() }, { told.tokens_per_second(), told.prefill_per_ms(), told.observations() }, now);
}

} // namespace pistachioloom
