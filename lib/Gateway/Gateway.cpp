//===- lib/Gateway/Gateway.cpp - transparent forwarding gateway node ------===//
///
/// \file
/// Connects the parts of a gateway, and starts, reloads and drains them.
//===----------------------------------------------------------------------===//
#include "BackendRelay.h"
#include "DutyRunner.h"
#include "LoopLag.h"
#include "OriginExchange.h"
#include "PlatformFeed.h"
#include "QuarantineEndpoint.h"
#include "QuarantineStore.h"
#include "ReachabilityProbe.h"
#include "RolloutEndpoint.h"
#include "generated/Peer.pb.h"

#include <thread>

namespace pistachioloom {

namespace {

    // Interval at which a node repeats a failed announcement of itself, and at which a node
    // without live peers reads the announcements of others.
    constexpr milliseconds announcePeriod { 3000 };
    // Interval at which a node that starts checks whether it may announce itself.
    constexpr milliseconds startCheckPeriod { 50 };
    // Interval at which a draining node checks whether all connections have ended.
    constexpr milliseconds drainPeriod { 50 };
    // Requests that are still running are aborted this long before the forced termination,
    // so that callers can resume at another node.
    constexpr milliseconds drainMargin { 700 };

} // namespace

struct Gateway::State {
    State(GatewaySettings settings, GatewayPlatform platform, std::string file);

    asio::awaitable<void> servePeer(std::shared_ptr<PeerStream> stream);
    asio::awaitable<void> findPeers();
    asio::awaitable<void> drain();
    asio::awaitable<void> watchSignals();
    HttpResponse readiness() const;
    HttpResponse metricsEndpoint() const;
    HttpResponse operatorEndpoint(const HttpRequest& request);
    void reload();
    bool isReady() const;

    std::string file_;
    GatewayContext context_;
    std::vector<std::unique_ptr<asio::io_context>> ios_;
    // Destroyed before the event loops on which it resumes coroutines, and before the
    // context that its tasks use.
    BackgroundExecutor background_;
    PeerPool peerPool_;
    PeerReports peerReports_;
    OriginExchange origins_;
    DutyRunner duties_;
    ReachabilityProbe probe_;
    BackendRelay relay_;
    PlatformFeed feed_;
    QuarantineStore quarantineStore_;
    PeerServer peerServer_;
    HttpServer readinessServer_;
    HttpServer metricsServer_;
    std::vector<std::unique_ptr<ForwardWorker>> workers_;
    asio::signal_set signals_;
    Logger logger_ { "node" };
};

static std::vector<std::unique_ptr<asio::io_context>> makeContexts(std::uint64_t count)
{
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    for (std::uint64_t i = 0; i < count; ++i)
        contexts.push_back(std::make_unique<asio::io_context>(1));
    return contexts;
}

Gateway::State::State(GatewaySettings settings, GatewayPlatform platform, std::string file)
    : file_(std::move(file))
    , context_(std::move(settings), std::move(platform))
    , ios_(makeContexts(context_.settings_.threads_))
    , peerPool_(ios_[0]->get_executor(), context_.settings_.peerCredential_, [this](const Error& error) { logger_.warn("Peer link failed: " + describe(error)); })
    , peerReports_(*ios_[0], context_, { [this] { return duties_.reportedToken(); }, [this] { return duties_.releasedToken(); }, [this](const VmId& vm, DutyToken token, SteadyTime reportedAt) { duties_.noteHolder(vm, token, reportedAt); }, [this](DutyToken token) { duties_.noteReleased(token); }, [this](const VmId& vm) { duties_.noteStopping(vm); }, [this] { return feed_.isReader(); }, [this] { return feed_.isPlatformUnavailable(); }, [this](const wire::Datagram& message, const Endpoint& sender) { origins_.handle(message, sender); } })
    , origins_(*ios_[0], context_, peerReports_)
    , duties_(*ios_[0], context_)
    , probe_(context_)
    , relay_(context_, peerPool_, [this](const ServiceName& service) { return peerReports_.peersReaching(service); })
    , feed_(*ios_[0], context_, peerReports_, peerPool_, background_)
    , quarantineStore_(context_, { [this] { return feed_.isReader(); }, [this] { return peerReports_.rankFor("quarantines") == 0; } })
    , peerServer_(
          ios_[0]->get_executor(), context_.settings_.peerCredential_, [this](std::shared_ptr<PeerStream> stream) { return servePeer(std::move(stream)); },
          [this](const Error& error) { logger_.warn("Incoming peer connection failed: " + describe(error)); })
    , readinessServer_(
          ios_[0]->get_executor(), HttpBounds {}, [this](HttpExchange& exchange) -> asio::awaitable<void> { (void)co_await exchange.respond(readiness()); }, errorResponse)
    , metricsServer_(
          ios_[0]->get_executor(), HttpBounds {}, [this](HttpExchange& exchange) -> asio::awaitable<void> { (void)co_await exchange.respond(operatorEndpoint(exchange.request())); }, errorResponse)
    , signals_(*ios_[0], SIGTERM, SIGINT, SIGHUP)
{
    context_.forward_.hooks_.onStatement_ = [this](const BackendStatement& statement) {
        if (statement.kind_ == ConditionKind::Leaving)
            logger_.info(LogLine("Backend server is leaving.").add("backend", statement.backend_.value_).add("from", "its answer"));
        peerReports_.noteStatement(statement);
    };
    context_.forward_.hooks_.openRelayed_ = [this](BackendRecord backend, milliseconds timeout) { return relay_.open(std::move(backend), timeout); };
    context_.forward_.hooks_.hasPeerReaching_ = [this](const ServiceName& service) { return relay_.hasCarrier(service); };
    context_.forward_.hooks_.tellOrigin_ = [this](StreamKey stream, const StreamOrigin& origin, OriginStorage storage) { origins_.tell(stream, origin, storage); };
    context_.forward_.hooks_.findOrigin_ = [this](StreamKey stream) { return origins_.find(stream); };
    context_.forward_.hooks_.registryCurrentSince_ = [this] { return feed_.registryCurrentSince(); };
    context_.forward_.hooks_.confirmRegistry_ = [this](SteadyTime time) { return feed_.confirmList(time); };
    context_.forward_.hooks_.onTerminated_ = [this](const BackendId& backend) { peerReports_.noteTerminated(backend); };
    for (const auto& io : ios_)
        workers_.push_back(std::make_unique<ForwardWorker>(*io, context_.forward_));
}

bool Gateway::State::isReady() const
{
    return !context_.isStopping_ && context_.table();
}

HttpResponse Gateway::State::readiness() const
{
    if (isReady())
        return { 200, {}, "ready\n" };
    return { 503, {}, context_.isStopping_ ? "stopping\n" : "no configuration yet\n" };
}

HttpResponse Gateway::State::metricsEndpoint() const
{
    auto table = context_.table();
    std::map<std::string, double> gauges {
        { "caller_connections", static_cast<double>(context_.forward_.connections_) },
        { "requests_running", static_cast<double>(context_.forward_.running_) },
        { "configuration_version", table ? static_cast<double>(table->version()) : 0 },
        { "configuration_version_known", static_cast<double>(context_.configurationProgress_.newestKnown()) },
        { "configuration_behind_ms", static_cast<double>(context_.configurationProgress_.behindFor(steadyNow()).count()) },
        { "backend_servers", static_cast<double>(context_.backends_.records().size()) },
        { "peers_live", static_cast<double>(peerReports_.live().size()) },
        { "nodes_known_of", static_cast<double>(peerReports_.nodesCovered()) },
        { "log_lines_dropped", static_cast<double>(droppedLogLines()) },
        { "requests_suspected", static_cast<double>(context_.quarantine_.suspects(steadyNow()).size()) },
        { "connections_carried_now", static_cast<double>(relay_.carriedConnections()) },
        { "services_unreachable", static_cast<double>(context_.paths_.lostServices().size()) },
        { "backend_servers_limited", static_cast<double>(context_.backends_.requestLimits().size()) },
        { "requests_in_quarantine", static_cast<double>(context_.quarantine_.quarantined(steadyNow())) },
        { "prompt_parts_in_quarantine", static_cast<double>(context_.quarantine_.quarantined(AttributeKind::PromptPart, steadyNow())) },
        { "stream_origins", static_cast<double>(origins_.size()) },
        { "fleet_shortage", duties_.hasShortage() ? 1 : 0 },
        { "duty_token_held", static_cast<double>(duties_.heldToken().value_) },
    };
    return { 200, { { "content-type", "text/plain; version=0.0.4" } }, context_.metrics_.render(gauges) };
}

HttpResponse Gateway::State::operatorEndpoint(const HttpRequest& request)
{
    if (isForRolloutEndpoint(request))
        return rolloutEndpoint(context_, duties_.rollouts(), request);
    return isForQuarantineEndpoint(request) ? quarantineEndpoint(context_, request) : metricsEndpoint();
}

asio::awaitable<void> Gateway::State::servePeer(std::shared_ptr<PeerStream> stream)
{
    auto frame = co_await stream->receive();
    if (frame && frame.value().has_configuration_fetch())
        co_await feed_.serve(stream, frame.value());
    else if (frame && frame.value().has_relay_open())
        co_await relay_.serve(stream, frame.value());
    else if (frame)
        logger_.warn("Peer " + stream->peer() + " opened a stream with a frame that is not a request.");
    stream->finish();
}

/// Announces this node, and reads the announcements of others while no peer is live.
asio::awaitable<void> Gateway::State::findPeers()
{
    bool isAnnounced = false;
    bool hasRead = false;
    AnnouncedNode self { context_.settings_.vm_, context_.settings_.gossip_ };
    while (!isStartTurn(feed_.coldStart(), announcementInterval))
        co_await sleepFor(startCheckPeriod);
    for (;;) {
        if (!isAnnounced) {
            auto announced = co_await context_.platform_.announce_(self);
            isAnnounced = announced.has_value();
            if (!announced)
                logger_.warn("Announcement failed: " + describe(announced.error()));
        }
        if (!hasRead || peerReports_.live().empty()) {
            auto nodes = co_await context_.platform_.listAnnounced_();
            if (nodes) {
                for (const AnnouncedNode& node : nodes.value())
                    peerReports_.addKnownPeer(node.vm_, node.gossip_);
                hasRead = true;
                peerReports_.noteFleetKnown();
            } else
                logger_.warn("Announcements cannot be read: " + describe(nodes.error()));
        }
        // Nodes whose calls failed at the same time must not repeat them at the same time.
        co_await sleepFor(jitter(announcePeriod, randomBits()));
    }
}

void Gateway::State::reload()
{
    InputErrors errors;
    auto settings = loadGatewaySettings(file_, errors);
    if (!settings) {
        for (const InputError& error : errors)
            logger_.error("Settings are invalid, the previous ones stay in force: " + error.toString());
        return;
    }
    initialiseLogging(settings->logs_, settings->vm_.value_);
    logger_.info("Settings were read again: log levels apply now, all other settings at the next start.");
}

asio::awaitable<void> Gateway::State::watchSignals()
{
    for (;;) {
        auto [code, signal] = co_await signals_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (code)
            co_return;
        if (signal == SIGHUP) {
            reload();
            continue;
        }
        if (!context_.isStopping_.exchange(true))
            asio::co_spawn(*ios_[0], drain(), asio::detached);
    }
}

asio::awaitable<void> Gateway::State::drain()
{
    const GatewaySettings& settings = context_.settings_;
    SteadyTime stopAt = steadyNow() + settings.grace_ - drainMargin;
    context_.forward_.isStopping_ = true;
    logger_.info(LogLine("Stopping.").add("running", static_cast<std::int64_t>(context_.forward_.running_)).add("connections", static_cast<std::int64_t>(context_.forward_.connections_)));
    co_await sleepFor(std::min(settings.balancerGrace_, settings.grace_ - drainMargin));
    // New requests are rejected from now on: a stream that started later might not end
    // within the grace time.
    context_.forward_.rejectsNew_ = true;
    while (steadyNow() < stopAt && (context_.forward_.connections_ || relay_.carriedConnections())) {
        for (const auto& worker : workers_)
            worker->closeIdle();
        co_await sleepFor(drainPeriod);
    }
    if (context_.forward_.running_ || context_.forward_.arriving_)
        logger_.warn(LogLine("Requests that still run at the end of the grace time are aborted.").add("running", static_cast<std::int64_t>(context_.forward_.running_)).add("arriving", static_cast<std::int64_t>(context_.forward_.arriving_)));
    // Also without a request: one that has been read when the process ends would get no answer.
    for (const auto& worker : workers_)
        worker->abortAll();
    SteadyTime answeredBy = steadyNow() + drainMargin / 2;
    do
        co_await sleepFor(drainPeriod);
    while ((context_.forward_.acceptors_ || context_.forward_.serving_) && steadyNow() < answeredBy);
    logger_.info("Stopped.");
    for (const auto& io : ios_)
        io->stop();
}

Gateway::Gateway(GatewaySettings settings, GatewayPlatform platform, std::string file)
    : state_(std::make_unique<State>(std::move(settings), std::move(platform), std::move(file)))
{
}

Gateway::~Gateway() = default;

Result<std::uint16_t> Gateway::start()
{
    RcuThread registered;
    const GatewaySettings& settings = state_->context_.settings_;
    std::uint16_t port = 0;
    for (const auto& worker : state_->workers_) {
        auto bound = worker->listen({ settings.callers_.host_, port ? port : settings.callers_.port_ });
        if (!bound)
            return bound.error();
        port = bound.value();
    }
    auto readiness = state_->readinessServer_.listen(settings.readiness_);
    if (!readiness)
        return readiness.error();
    auto metrics = state_->metricsServer_.listen(settings.metrics_);
    if (!metrics)
        return metrics.error();
    auto peers = state_->peerServer_.listen(settings.peers_);
    if (!peers)
        return peers.error();
    auto reports = state_->peerReports_.start();
    if (!reports)
        return reports.error();
    state_->feed_.start();
    state_->duties_.start(state_->peerReports_);
    for (const auto& io : state_->ios_)
        asio::co_spawn(*io, watchLoopLag(state_->context_.metrics_), asio::detached);
    asio::co_spawn(*state_->ios_[0], state_->findPeers(), asio::detached);
    asio::co_spawn(*state_->ios_[0], state_->probe_.run(), asio::detached);
    asio::co_spawn(*state_->ios_[0], state_->probe_.watchServices(), asio::detached);
    asio::co_spawn(*state_->ios_[0], state_->quarantineStore_.run(), asio::detached);
    asio::co_spawn(*state_->ios_[0], state_->origins_.log().run(), asio::detached);
    asio::co_spawn(*state_->ios_[0], state_->watchSignals(), asio::detached);
    state_->logger_.info(LogLine("Started.").add("data_centre", settings.dataCentre_.value_).add("callers", settings.callers_.toString()).add("incarnation", std::to_string(state_->context_.incarnation_)));
    return port;
}

void Gateway::run()
{
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < state_->ios_.size(); ++i) {
        threads.emplace_back([this, i] {
            RcuThread registered;
            state_->ios_[i]->run();
        });
    }
    RcuThread registered;
    state_->ios_[0]->run();
    for (std::thread& thread : threads)
        thread.join();
}

} // namespace pistachioloom
