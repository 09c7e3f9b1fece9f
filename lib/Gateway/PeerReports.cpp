//===- lib/Gateway/PeerReports.cpp - what nodes tell each other ------------===//
///
/// \file
/// See PeerReports.h.
//===----------------------------------------------------------------------===//
#include "PeerReports.h"

#include "generated/Peer.pb.h"
#include "pistachioloom/Settings.h"

namespace pistachioloom {

using udp = asio::ip::udp;

namespace {

    constexpr std::size_t longestDatagram = 60UL * 1024;
    // Peers hear of a leaving backend server for this long.
    constexpr milliseconds leavingTold { 10000 };
    // Other nodes named in one datagram.
    constexpr std::size_t nodesNamed = 24;

} // namespace

PeerReports::PeerReports(asio::io_context& io, GatewayContext& context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , socket_(io)
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

std::vector<std::pair<VmId, PeerReports::Peer>> PeerReports::live() const
{
    return heardWithin(context_.settings_.gossiping_.silence_);
}

std::vector<std::pair<VmId, PeerReports::Peer>> PeerReports::heardWithin(milliseconds silence) const
{
    std::lock_guard lock(mutex_);
    std::vector<std::pair<VmId, Peer>> live;
    SteadyTime now = steadyNow();
    for (const auto& [vm, peer] : peers_) {
        if (peer.heardAt_ != SteadyTime {} && now - peer.heardAt_ <= silence)
            live.emplace_back(vm, peer);
    }
    return live;
}

void PeerReports::addKnown(const VmId& vm, const Endpoint& gossip)
{
    if (vm == context_.settings_.vm_ || gossip == context_.settings_.gossip_)
        return;
    std::lock_guard lock(mutex_);
    auto [found, isNew] = peers_.try_emplace(vm);
    // What a node says of itself goes before what others say of it.
    if (isNew || found->second.heardAt_ == SteadyTime {})
        found->second.gossip_ = gossip;
}

void PeerReports::noteLeaving(const BackendId& id)
{
    std::lock_guard lock(mutex_);
    leaving_.emplace_back(steadyNow(), id);
}

std::size_t PeerReports::rankFor(const std::string& key) const
{
    std::vector<VmId> candidates { context_.settings_.vm_ };
    for (const auto& [vm, peer] : live()) {
        if (!peer.isStopping_)
            candidates.push_back(vm);
    }
    std::vector<VmId> ranked = rankByRendezvous(key, candidates);
    return static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), context_.settings_.vm_) - ranked.begin());
}

std::vector<Endpoint> PeerReports::targets()
{
    std::vector<Endpoint> all;
    std::set<std::string> hosts;
    for (const auto& [vm, peer] : peers_) {
        all.push_back(peer.gossip_);
        hosts.insert(peer.gossip_.host_);
    }
    for (const Endpoint& seed : context_.settings_.seeds_) {
        Endpoint gossip { seed.host_, context_.settings_.gossip_.port_ };
        if (seed.host_ != context_.settings_.gossip_.host_ && !hosts.contains(seed.host_))
            all.push_back(gossip);
    }
    std::size_t fanout = context_.settings_.gossiping_.fanout_;
    if (all.size() <= fanout)
        return all;
    std::vector<Endpoint> chosen;
    for (std::size_t i = 0; i < fanout; ++i)
        chosen.push_back(all[(turn_ + i) % all.size()]);
    turn_ += fanout;
    return chosen;
}

std::string PeerReports::compose(bool isReader)
{
    const GatewaySettings& settings = context_.settings_;
    SteadyTime now = steadyNow();
    wire::NodeReport report;
    report.set_vm(settings.vm_.value_);
    report.set_data_centre(settings.dataCentre_.value_);
    report.set_incarnation(context_.incarnation_);
    report.set_sequence(++sequence_);
    report.set_address(settings.gossip_.toString());
    report.set_peers_address(settings.peers_.toString());
    auto table = context_.table();
    report.set_configuration_version(table ? table->version() : 0);
    report.set_wall_ms(ownWallMs());
    report.set_duty_token(hooks_.ownToken_().value_);
    report.set_is_stopping(context_.isStopping_);
    report.set_is_platform_lost(hooks_.isPlatformLost_());
    report.set_is_reader(isReader);
    report.set_registry_fingerprint(context_.backends_.fingerprint());
    for (const auto& [id, load] : context_.backends_.ownLoads()) {
        wire::BackendLoadReport& told = *report.add_loads();
        told.set_backend(id.value_);
        told.set_running(load.running_);
        told.set_queued_tokens(load.queuedTokens_);
    }
    auto levels = context_.quotas_.levels();
    for (const auto& [organisation, admitted] : context_.quotas_.admitted()) {
        wire::QuotaReport& told = *report.add_quotas();
        told.set_organisation(organisation.value_);
        told.set_admitted(admitted);
        told.set_level(levels[organisation]);
    }
    for (const auto& [window, counts] : context_.usage_.recent()) {
        wire::UsageWindow& told = *report.add_usage();
        told.set_number(window.value_);
        for (const auto& [organisation, count] : counts)
            (*told.mutable_counts())[organisation.value_] = count;
    }
    for (const auto& [service, view] : context_.backends_.services()) {
        wire::DemandReport& told = *report.add_demand();
        told.set_service(service.value_);
        told.set_prompt_tokens(view.tokensSent_);
        told.set_prefill_per_ms(view.prefillPerMs_);
        told.set_observations(view.observations_);
    }
    while (!leaving_.empty() && now - leaving_.front().first > leavingTold)
        leaving_.pop_front();
    for (const auto& [at, id] : leaving_)
        report.add_leaving(id.value_);
    std::size_t named = 0;
    for (const auto& [vm, peer] : peers_) {
        if (now - peer.heardAt_ > settings.gossiping_.silence_ || ++named > nodesNamed)
            continue;
        wire::KnownNode& known = *report.add_nodes();
        known.set_vm(vm.value_);
        known.set_address(peer.gossip_.toString());
    }
    return report.SerializeAsString();
}

asio::awaitable<void> PeerReports::tell()
{
    for (;;) {
        std::string datagram;
        std::vector<Endpoint> receivers;
        // Asked before the lock is taken: the answer needs the list of peers.
        bool isReader = hooks_.isReader_();
        {
            std::lock_guard lock(mutex_);
            forgetSilent(steadyNow());
            datagram = compose(isReader);
            receivers = targets();
        }
        for (const Endpoint& receiver : receivers) {
            boost::system::error_code code;
            udp::endpoint address(asio::ip::make_address(receiver.host_, code), receiver.port_);
            // A full socket or a missing route loses this one; the next replaces it.
            if (!code)
                socket_.send_to(asio::buffer(datagram), address, 0, code);
            context_.metrics_.add(code ? Counter::PeerErrors : Counter::GossipMessages);
        }
        co_await sleepFor(context_.settings_.gossiping_.period_);
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
        wire::NodeReport report;
        if (!report.ParseFromArray(buffer.data(), static_cast<int>(count)) || report.vm().empty()) {
            context_.metrics_.add(Counter::PeerErrors);
            logger_.warn("Datagram from " + sender.address().to_string() + " is no report.");
            continue;
        }
        take(report, steadyNow());
    }
}

void PeerReports::forgetSilent(SteadyTime now)
{
    std::erase_if(peers_, [&](const auto& entry) {
        const Peer& peer = entry.second;
        bool isGone = peer.heardAt_ != SteadyTime {} && now - peer.heardAt_ > context_.settings_.gossiping_.forget_;
        if (isGone)
            logger_.info(LogLine("Peer is forgotten.").add("peer", entry.first.value_).add("silent_ms", context_.settings_.gossiping_.forget_.count()));
        return isGone;
    });
}

void PeerReports::takeUsage(const wire::NodeReport& report)
{
    std::map<WindowNumber, UsageCounts> windows;
    for (const wire::UsageWindow& told : report.usage()) {
        UsageCounts& counts = windows[{ told.number() }];
        for (const auto& [organisation, count] : told.counts())
            counts[{ organisation }] = count;
    }
    context_.usage_.setPeer({ report.vm() }, report.incarnation(), windows);
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
    {
        std::lock_guard lock(mutex_);
        Peer& peer = peers_[vm];
        bool isSame = peer.incarnation_ == report.incarnation();
        if (isSame && report.sequence() <= peer.sequence_)
            return;
        bool wasSilent = now - peer.heardAt_ > context_.settings_.gossiping_.silence_;
        if (!isSame || wasSilent)
            logger_.info(LogLine(isSame ? "Peer is heard again." : "Peer is heard.").add("peer", vm.value_).add("address", report.address()).add("configuration", static_cast<std::int64_t>(report.configuration_version())));
        peer = { *gossip, *peers, { report.data_centre() }, report.incarnation(), report.sequence(), report.configuration_version(), report.is_stopping(), report.is_platform_lost(), report.is_reader(), report.registry_fingerprint(), now };
    }
    for (const wire::KnownNode& known : report.nodes()) {
        if (auto address = parseEndpoint(known.address()))
            addKnown({ known.vm() }, *address);
    }
    std::map<BackendId, BackendLoad> loads;
    for (const wire::BackendLoadReport& told : report.loads())
        loads[{ told.backend() }] = { told.running(), told.queued_tokens() };
    context_.backends_.setPeerLoads(vm, std::move(loads), now);
    AdmittedCounts admitted;
    std::map<OrganisationId, double> levels;
    for (const wire::QuotaReport& told : report.quotas()) {
        admitted[{ told.organisation() }] = told.admitted();
        levels[{ told.organisation() }] = told.level();
    }
    for (const wire::DemandReport& told : report.demand())
        context_.demand_.setSource(vm, report.incarnation(), { told.service() }, { { told.prompt_tokens() }, told.prefill_per_ms(), told.observations() });
    context_.quotas_.setPeer(vm, report.incarnation(), admitted, levels, now);
    takeUsage(report);
    context_.clocks_.setPeer(vm, report.wall_ms() - ownWallMs(), now);
    for (const std::string& id : report.leaving()) {
        if (context_.backends_.setLeaving({ id }))
            logger_.info(LogLine("Backend server is leaving.").add("backend", id).add("from", vm.value_));
    }
    if (report.duty_token())
        hooks_.onHolder_(vm, { report.duty_token() });
}

} // namespace pistachioloom
