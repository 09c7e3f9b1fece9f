//===- lib/Node/Node.cpp - the node's daemon ------------------------------===//
///
/// \file
/// Constructs and connects the parts of a node, dispatches the requests of peers
/// to them, and drains them in order.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Node.h"

#include "CallerApi.h"
#include "OperatorApi.h"
#include "generated/Peer.pb.h"
#include <thread>

namespace pistachioloom {

namespace {

    constexpr milliseconds pollPeriod { 50 };
    // Lets frames in flight leave the sockets before they close.
    constexpr milliseconds closingDelay { 200 };

} // namespace

struct Node::State {
    explicit State(Settings settings);

    std::map<std::string, double> gauges() const;
    asio::awaitable<void> servePeer(std::shared_ptr<PeerStream> stream);
    asio::awaitable<void> answerPeer(PeerStream& stream, const wire::Frame& frame);
    asio::awaitable<void> watchOwnNotice();
    asio::awaitable<void> drain(std::optional<milliseconds> remaining);
    asio::awaitable<void> waitUntilIdle(SteadyTime until);
    void requestDrain(std::optional<milliseconds> remaining);
    bool isIdle() const;

    asio::io_context io_;
    NodeContext context_;
    ControlPlane control_;
    BackendDispatcher dispatcher_;
    EngineOrders orders_;
    EngineRouter router_;
    LimitCoordinator limitCoordinator_;
    LimitClient limits_;
    GenerationOwner owner_;
    ReplicaStore replicas_;
    AnswerFinder finder_;
    ServiceRouter services_;
    RunOnceCoordinator runOnceCoordinator_;
    CallerApi callerApi_;
    OperatorApi operatorApi_;
    PeerServer peerServer_;
    HttpServer callerServer_;
    HttpServer operatorServer_;
    asio::signal_set signals_;
    std::atomic<bool> isDrainRequested_ { false };
    Logger logger_ { "node" };
};

Node::State::State(Settings settings)
    : io_(static_cast<int>(settings.threads_))
    , context_(std::move(settings), io_.get_executor())
    , control_(context_, [this] { return dispatcher_.loads(); })
    , dispatcher_(context_, control_)
    , orders_(context_, dispatcher_)
    , router_(context_)
    , limitCoordinator_(context_)
    , limits_(context_, limitCoordinator_)
    , owner_(context_, router_, [this](const std::string& entry, std::uint64_t unused) { limits_.finish({ entry }, unused); })
    , replicas_(context_, owner_)
    , finder_(context_, owner_)
    , services_(context_, router_)
    , runOnceCoordinator_(context_, [this](wire::ServiceCall call) { return services_.dispatch(std::move(call)); })
    , callerApi_(context_, owner_, finder_, limits_, services_, [this] { return gauges(); })
    , operatorApi_(
          context_, control_, dispatcher_, orders_, owner_, limits_, router_, [this](std::optional<milliseconds> remaining) { requestDrain(remaining); }, [this] { return gauges(); })
    , peerServer_(
          io_.get_executor(), context_.settings_.peerCredential_, [this](std::shared_ptr<PeerStream> stream) { return servePeer(std::move(stream)); },
          [this](const Error& error) {
              context_.metrics_.add(Counter::PeerErrors);
              logger_.warn("Incoming peer connection failed: " + describe(error) + ".");
          },
          context_.keepAlive_)
    , callerServer_(
          io_.get_executor(), context_.settings_.caller_.bounds_, [this](HttpExchange& exchange) { return callerApi_.handle(exchange); }, errorResponse)
    , operatorServer_(
          io_.get_executor(), HttpBounds {}, [this](HttpExchange& exchange) { return operatorApi_.handle(exchange); }, errorResponse)
    , signals_(io_, SIGTERM, SIGINT)
{
}

std::map<std::string, double> Node::State::gauges() const
{
    return {
        { "generations_running", static_cast<double>(owner_.running()) },
        { "streams_homed", static_cast<double>(dispatcher_.running()) },
        { "replicas_held", static_cast<double>(replicas_.size()) },
        { "ledger_keys", static_cast<double>(runOnceCoordinator_.keyCount()) },
        { "peer_bytes_sent", static_cast<double>(context_.peers_.bytesSent().value_ + peerServer_.bytesSent().value_) },
        { "peer_bytes_received", static_cast<double>(context_.peers_.bytesReceived().value_ + peerServer_.bytesReceived().value_) },
        { "catalogue_offset", static_cast<double>(context_.catalogue()->nextOffset_.value_) },
        { "vm_list_version", static_cast<double>(context_.membership()->index_->version_) },
        { "spans_dropped", static_cast<double>(context_.tracer_.dropped()) },
    };
}

asio::awaitable<void> Node::State::servePeer(std::shared_ptr<PeerStream> stream)
{
    auto frame = co_await stream->receive();
    if (frame)
        co_await answerPeer(*stream, frame.value());
    stream->finish();
}

asio::awaitable<void> Node::State::answerPeer(PeerStream& stream, const wire::Frame& frame)
{
    auto shared = stream.shared();
    bool isWork = frame.has_generate() || frame.has_call() || frame.has_run_once() || frame.has_record_copy() || frame.has_record_handover();
    if (isWork && context_.isDraining_) {
        wire::Frame rejection;
        *rejection.mutable_failure() = toWire({ Errc::Leaving, "take work", context_.self().value_, "this node is leaving", Ran::No, {} });
        (void)co_await stream.send(rejection);
        co_return;
    }
    switch (frame.body_case()) {
    case wire::Frame::kGenerate:
        co_await dispatcher_.serveGeneration(shared, frame.generate());
        co_return;
    case wire::Frame::kCall:
        (void)co_await stream.send(co_await dispatcher_.callService(frame.call()));
        co_return;
    case wire::Frame::kRunOnce:
        (void)co_await stream.send(co_await runOnceCoordinator_.runOnce(frame.run_once()));
        co_return;
    case wire::Frame::kGossip:
        (void)co_await stream.send(control_.answerGossip(frame.gossip()));
        co_return;
    case wire::Frame::kCatalogueFetch:
        (void)co_await stream.send(control_.answerCatalogueFetch(frame.catalogue_fetch()));
        co_return;
    case wire::Frame::kVmListFetch:
        (void)co_await stream.send(control_.answerVmListFetch(frame.vm_list_fetch()));
        co_return;
    case wire::Frame::kVmListUpdate:
        (void)co_await stream.send(control_.applyVmList(frame.vm_list_update()));
        co_return;
    case wire::Frame::kRecordCopy:
        co_await replicas_.serveCopy(shared, frame.record_copy());
        co_return;
    case wire::Frame::kRecordFetch:
        co_await replicas_.serveFetch(shared, frame.record_fetch());
        co_return;
    case wire::Frame::kRecordHandover:
        (void)co_await stream.send(replicas_.acceptHandover(frame.record_handover()));
        co_return;
    case wire::Frame::kGrantRequest:
        (void)co_await stream.send(co_await limitCoordinator_.answerGrants(frame.grant_request()));
        co_return;
    case wire::Frame::kLoanRequest:
        (void)co_await stream.send(limitCoordinator_.answerLoan(frame.loan_request()));
        co_return;
    case wire::Frame::kFailure:
    case wire::Frame::kStarted:
    case wire::Frame::kTokens:
    case wire::Frame::kEnd:
    case wire::Frame::kAnswer:
    case wire::Frame::kCatalogueUpdate:
    case wire::Frame::kRecordProgress:
    case wire::Frame::kRecord:
    case wire::Frame::kGrantReply:
    case wire::Frame::kLoanReply:
    case wire::Frame::kConfigurationFetch:
    case wire::Frame::kConfigurationUpdate:
    case wire::Frame::kRelayOpen:
    case wire::Frame::kRelayData:
    case wire::Frame::kAck:
    case wire::Frame::BODY_NOT_SET:
        break;
    }
    logger_.warn("Peer " + stream.peer() + " opened a stream with a frame that is not a request.");
    stream.cancel();
}

void Node::State::requestDrain(std::optional<milliseconds> remaining)
{
    if (!isDrainRequested_.exchange(true))
        context_.spawn(drain(remaining));
}

asio::awaitable<void> Node::State::watchOwnNotice()
{
    while (!isDrainRequested_) {
        co_await sleepFor(pollPeriod);
        auto remaining = control_.remainingNotice(context_.self());
        if (remaining)
            requestDrain(remaining);
    }
}

bool Node::State::isIdle() const
{
    return !callerApi_.running() && !owner_.running() && !dispatcher_.running() && !runOnceCoordinator_.running();
}

asio::awaitable<void> Node::State::waitUntilIdle(SteadyTime until)
{
    while (!isIdle() && steadyNow() < until)
        co_await sleepFor(pollPeriod);
}

asio::awaitable<void> Node::State::drain(std::optional<milliseconds> remaining)
{
    const DrainSettings& settings = context_.settings_.drain_;
    SteadyTime until = steadyNow() + remaining.value_or(settings.timeout_);
    SteadyTime handoverAt = until - std::min(settings.handoverMargin_, remaining.value_or(settings.timeout_));
    logger_.info("Draining.");
    context_.isDraining_ = true;
    control_.announceLeaving();
    // The load balancer continues to send requests for a while; they are served.
    co_await sleepFor(std::min(settings.balancerGrace_, std::chrono::duration_cast<milliseconds>(std::max(SteadyTime::duration {}, handoverAt - steadyNow()))));
    callerServer_.stopAccepting();
    co_await waitUntilIdle(handoverAt);
    if (!isIdle()) {
        dispatcher_.handOverStreams();
        co_await owner_.handOver();
        co_await waitUntilIdle(until);
    }
    peerServer_.refuseNewStreams();
    co_await sleepFor(closingDelay);
    logger_.info(isIdle() ? "Drained." : "Stopped with unfinished work.");
    io_.stop();
}

Node::Node(Settings settings)
    : state_(std::make_unique<State>(std::move(settings)))
{
}

Node::~Node() = default;

Result<NodePorts> Node::start()
{
    RcuThread registered;
    const Settings& settings = state_->context_.settings_;
    auto callers = state_->callerServer_.listen(settings.callers_);
    if (!callers)
        return callers.error();
    auto peers = state_->peerServer_.listen(settings.peers_);
    if (!peers)
        return peers.error();
    auto operators = state_->operatorServer_.listen(settings.operators_);
    if (!operators)
        return operators.error();
    state_->control_.start();
    state_->dispatcher_.start();
    state_->orders_.start();
    state_->limitCoordinator_.start();
    state_->limits_.start();
    state_->owner_.start();
    state_->replicas_.start();
    state_->context_.spawn(state_->watchOwnNotice());
    state_->signals_.async_wait([this](boost::system::error_code code, int) {
        if (!code)
            state_->requestDrain(std::nullopt);
    });
    state_->logger_.info("Started in " + settings.dataCentre_.value_ + ".");
    return NodePorts { callers.value(), peers.value(), operators.value() };
}

void Node::run()
{
    std::vector<std::thread> threads;
    for (std::uint64_t i = 0; i < state_->context_.settings_.threads_; ++i) {
        threads.emplace_back([this] {
            RcuThread registered;
            state_->io_.run();
        });
    }
    for (std::thread& thread : threads)
        thread.join();
}

} // namespace pistachioloom
