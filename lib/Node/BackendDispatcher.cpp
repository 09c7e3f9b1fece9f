//===- lib/Node/BackendDispatcher.cpp - dispatching to backend servers ----===//
///
/// \file
/// Dispatches generations and service calls to backend servers.
//===----------------------------------------------------------------------===//
#include "BackendDispatcher.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    constexpr std::uint64_t bytesPerToken = 4;
    constexpr std::uint64_t defaultConcurrency = 8;
    constexpr int statusUnavailable = 503;
    constexpr std::uint32_t maxYields = 8;
    constexpr milliseconds closedRetryAfter { 1000 };
    // Reported as the wait of an engine that is being reconfigured, so that entry
    // VMs prefer other engines.
    constexpr milliseconds closedEngineWait { 10000 };

    EngineRequest makeEngineRequest(const wire::GenerateRequest& request)
    {
        const wire::GenerationRecord& record = request.record();
        EngineRequest engineRequest;
        engineRequest.requestId_ = record.request_id();
        engineRequest.attempt_ = record.attempt();
        engineRequest.prompt_ = record.prompt();
        engineRequest.maxTokens_ = record.max_tokens();
        engineRequest.priority_ = static_cast<std::uint64_t>(record.priority());
        engineRequest.attachesToStream_ = request.attach();
        engineRequest.kvHandle_ = request.kv_handle();
        for (const wire::Token& token : record.tokens())
            engineRequest.prefix_.push_back(token.text());
        return engineRequest;
    }

    // A trial request that has yielded maxYields times is scheduled as paid, so that
    // every accepted trial request completes.
    ServiceClass schedulingClassOf(const wire::GenerationRecord& record)
    {
        return record.is_paid() || record.yields() >= maxYields ? ServiceClass::Paid : ServiceClass::Trial;
    }

    wire::Frame failureFrame(const Error& error)
    {
        wire::Frame frame;
        *frame.mutable_failure() = toWire(error);
        return frame;
    }

} // namespace

std::uint64_t promptTokens(std::string_view prompt)
{
    return 1 + prompt.size() / bytesPerToken;
}

BackendDispatcher::BackendDispatcher(NodeContext& context, ControlPlane& control)
    : context_(context)
    , control_(control)
    , logger_("home")
    , slots_([this](const VmId& engine) { preemptTrial(engine); })
{
}

std::uint64_t BackendDispatcher::concurrencyOf(std::string_view backend) const
{
    auto entry = context_.catalogue()->findEntry({ std::string(backend) });
    return entry && entry->backend_ ? entry->backend_->concurrency_ : defaultConcurrency;
}

std::uint64_t BackendDispatcher::paidReserveOf(std::string_view backend) const
{
    auto entry = context_.catalogue()->findEntry({ std::string(backend) });
    return entry && entry->backend_ ? entry->backend_->paidReserve_ : 0;
}

bool BackendDispatcher::isDispatcherOf(const VmId& server) const
{
    return pickByRendezvous(server.value_, context_.membership()->localNodes_) == context_.self();
}

asio::awaitable<Result<Slot>> BackendDispatcher::acquireSlot(const wire::GenerateRequest& request)
{
    const wire::GenerationRecord& record = request.record();
    SlotRequest slot;
    slot.server_ = { request.engine() };
    slot.capacity_ = concurrencyOf(record.model());
    slot.paidReserve_ = paidReserveOf(record.model());
    slot.entry_ = { record.entry() };
    slot.class_ = schedulingClassOf(record);
    slot.weight_ = record.weight();
    slot.cost_ = promptTokens(record.prompt()) + record.max_tokens();
    slot.mayQueue_ = request.may_queue();
    slot.queueBound_ = record.queue_bound();
    slot.waitLimit_ = milliseconds(record.deadline_ms());
    co_return co_await slots_.acquire(std::move(slot));
}

BackendDispatcher::RunningStreamPtr BackendDispatcher::makeRunningStream(const wire::GenerateRequest& request)
{
    const wire::GenerationRecord& record = request.record();
    auto running = std::make_shared<RunningStream>();
    running->requestId_ = record.request_id();
    running->engine_ = { request.engine() };
    running->class_ = schedulingClassOf(record);
    running->yields_ = record.yields();
    running->promptTokens_ = promptTokens(record.prompt());
    running->maxTokens_ = record.max_tokens();
    running->generatedTokens_ = static_cast<std::uint64_t>(record.tokens_size());
    running->startedAt_ = steadyNow();
    return running;
}

asio::awaitable<Result<EngineStream>> BackendDispatcher::openAtEngine(Endpoint endpoint, EngineRequest request)
{
    if (!request.kvHandle_.empty()) {
        auto imported = co_await context_.engines_.importCache_(endpoint, request.kvHandle_);
        if (!imported) {
            logger_.warn("KV cache import failed: " + describe(imported.error()) + ".");
            request.kvHandle_.clear();
        }
    }
    co_return co_await context_.engines_.generate_(std::move(endpoint), std::move(request));
}

asio::awaitable<void> BackendDispatcher::serveGeneration(std::shared_ptr<PeerStream> owner, const wire::GenerateRequest& request)
{
    const wire::GenerationRecord& record = request.record();
    SpanScope scope(context_.tracer_, parseTraceparent(request.traceparent()), "home", record.request_id());
    scope.span().attempt_ = record.attempt();
    scope.span().peer_ = request.engine();
    VmId engine { request.engine() };
    auto endpoint = context_.backendEndpoint(engine);
    if (!endpoint) {
        (void)co_await owner->send(failureFrame(unavailable("find engine", engine.value_, "not in the VM list")));
        co_return;
    }
    SteadyTime requestedAt = steadyNow();
    auto slot = co_await acquireSlot(request);
    scope.span().queued_ = std::chrono::duration_cast<milliseconds>(steadyNow() - requestedAt);
    if (!slot) {
        scope.span().outcome_ = describe(slot.error());
        (void)co_await owner->send(failureFrame(slot.error()));
        co_return;
    }
    // The owner aborted the attempt or crashed while the request was queued, so
    // nothing would read the stream.
    if (owner->isClosed())
        co_return;
    // Checked after the wait, so that requests that were queued when the engine's
    // admission closed retry on another engine.
    if (auto rejection = checkAdmission(engine)) {
        scope.span().outcome_ = describe(*rejection);
        (void)co_await owner->send(failureFrame(*rejection));
        co_return;
    }
    auto opened = co_await openAtEngine(*endpoint, makeEngineRequest(request));
    if (!opened) {
        if (opened.error().code_ == Errc::Leaving)
            control_.markLeaving({ { engine, std::nullopt } });
        scope.span().outcome_ = describe(opened.error());
        (void)co_await owner->send(failureFrame(opened.error()));
        co_return;
    }
    RunningStreamPtr running = makeRunningStream(request);
    running->close_ = opened.value().close_;
    {
        std::lock_guard lock(mutex_);
        running_.push_back(running);
    }
    wire::Frame started;
    started.mutable_started()->set_engine(engine.value_);
    started.mutable_started()->set_attempt(record.attempt());
    started.mutable_started()->set_queue_ms(static_cast<std::uint64_t>(scope.span().queued_.count()));
    (void)co_await owner->send(started);
    co_await forward(owner, request, std::move(opened.value()), running);
    std::lock_guard lock(mutex_);
    std::erase(running_, running);
}

asio::awaitable<void> BackendDispatcher::forward(std::shared_ptr<PeerStream> owner, const wire::GenerateRequest& request, EngineStream stream, RunningStreamPtr running)
{
    const wire::GenerationRecord& record = request.record();
    wire::Frame last;
    wire::AttemptEnd& end = *last.mutable_end();
    end.set_request_id(record.request_id());
    end.set_attempt(record.attempt());
    for (;;) {
        auto event = co_await stream.next_();
        if (!event) {
            if (running->endReason_ != EndReason::None)
                describeEnd(*running, end);
            else
                *end.mutable_failure() = toWire(event.error());
            break;
        }
        if (event.value().type_ != EngineEvent::Type::Token) {
            end.set_computed_tokens(event.value().recomputedTokens_);
            end.set_is_complete(event.value().type_ == EngineEvent::Type::Done);
            end.set_is_interrupted(event.value().type_ == EngineEvent::Type::Interrupted);
            if (event.value().type_ == EngineEvent::Type::Exported) {
                end.set_is_interrupted(true);
                end.set_kv_handle(event.value().text_);
            }
            if (event.value().type_ == EngineEvent::Type::Superseded)
                *end.mutable_failure() = toWire({ Errc::Conflict, "read engine stream", running->engine_.value_, "a newer attempt took the stream", Ran::Unknown, {} });
            break;
        }
        running->generatedTokens_ = event.value().position_ + 1;
        wire::Frame chunk;
        chunk.mutable_tokens()->set_request_id(record.request_id());
        chunk.mutable_tokens()->set_attempt(record.attempt());
        wire::Token& token = *chunk.mutable_tokens()->add_tokens();
        token.set_position(event.value().position_);
        token.set_text(std::move(event.value().text_));
        auto sent = co_await owner->send(chunk);
        if (sent)
            continue;
        stream.close_();
        // If the owner crashed, the engine continues, since the node that takes over
        // attaches to the stream. If the owner cancelled, the engine stops.
        if (sent.error().code_ == Errc::Cancelled)
            co_await cancelAtEngine(running->engine_, record.request_id(), record.attempt());
        co_return;
    }
    stream.close_();
    bool isAborted = running->endReason_ == EndReason::Recompute || running->endReason_ == EndReason::Preempted;
    if (isAborted)
        co_await cancelAtEngine(running->engine_, record.request_id(), record.attempt());
    (void)co_await owner->send(last);
}

asio::awaitable<void> BackendDispatcher::cancelAtEngine(VmId engine, std::string requestId, std::uint32_t attempt)
{
    auto endpoint = context_.backendEndpoint(engine);
    if (!endpoint)
        co_return;
    auto cancelled = co_await context_.engines_.cancel_(*endpoint, std::move(requestId), attempt);
    if (!cancelled)
        logger_.debug("Cancellation at the engine failed: " + describe(cancelled.error()) + ".");
}

void BackendDispatcher::describeEnd(const RunningStream& running, wire::AttemptEnd& end)
{
    end.set_is_interrupted(true);
    end.set_has_yielded(running.endReason_ == EndReason::Preempted);
    if (running.endReason_ != EndReason::HandOver)
        return;
    end.set_is_attachable(true);
    end.set_target_engine(running.engine_.value_);
}

asio::awaitable<wire::Frame> BackendDispatcher::callService(const wire::ServiceCall& call)
{
    SpanScope scope(context_.tracer_, parseTraceparent(call.traceparent()), "service home", call.request_id());
    scope.span().peer_ = call.backend();
    context_.metrics_.add(Counter::ServiceCalls);
    VmId backend { call.backend() };
    auto endpoint = context_.backendEndpoint(backend);
    if (!endpoint)
        co_return failureFrame(unavailable("find service", backend.value_, "not in the VM list"));
    SlotRequest slotRequest;
    slotRequest.server_ = backend;
    slotRequest.capacity_ = concurrencyOf(call.service());
    slotRequest.entry_ = { call.entry() };
    slotRequest.mayQueue_ = true;
    slotRequest.queueBound_ = slotRequest.capacity_ * 4;
    slotRequest.waitLimit_ = milliseconds(call.deadline_ms());
    auto slot = co_await slots_.acquire(std::move(slotRequest));
    if (!slot)
        co_return failureFrame(slot.error());
    if (context_.membership()->isLeaving(backend))
        co_return failureFrame({ Errc::Leaving, "dispatch", backend.value_, "the backend server is leaving", Ran::No, {} });
    HttpRequest request { call.method(), call.path(), {}, call.body() };
    request.headers_["content-type"] = call.content_type();
    request.headers_["traceparent"] = scope.context().toHeader();
    if (!call.idempotency_key().empty())
        request.headers_["idempotency-key"] = call.idempotency_key();
    auto response = co_await callHttp(*endpoint, std::move(request), milliseconds(call.deadline_ms()));
    if (!response) {
        scope.span().outcome_ = describe(response.error());
        co_return failureFrame(response.error());
    }
    bool isRejected = response.value().status_ == statusUnavailable && response.value().headers_.contains("x-leaving");
    if (isRejected) {
        control_.markLeaving({ { backend, std::nullopt } });
        co_return failureFrame({ Errc::Leaving, "dispatch", backend.value_, "the backend server refused: it is leaving", Ran::No, {} });
    }
    wire::Frame frame;
    wire::ServiceAnswer& answer = *frame.mutable_answer();
    answer.set_status(static_cast<std::uint32_t>(response.value().status_));
    answer.set_content_type(response.value().headers_["content-type"]);
    answer.set_body(std::move(response.value().body_));
    answer.set_backend(backend.value_);
    co_return frame;
}

std::optional<Error> BackendDispatcher::checkAdmission(const VmId& engine) const
{
    if (context_.membership()->isLeaving(engine))
        return Error { Errc::Leaving, "dispatch", engine.value_, "the engine is leaving", Ran::No, {} };
    if (isAdmissionClosed(engine))
        return Error { Errc::Unavailable, "dispatch", engine.value_, "the engine is being changed", Ran::No, closedRetryAfter };
    return std::nullopt;
}

bool BackendDispatcher::isAdmissionClosed(const VmId& engine) const
{
    std::lock_guard lock(mutex_);
    return closedEngines_.contains(engine);
}

void BackendDispatcher::setAdmission(const VmId& engine, Admission admission)
{
    std::lock_guard lock(mutex_);
    if (admission == Admission::Closed)
        closedEngines_.insert(engine);
    else
        closedEngines_.erase(engine);
}

std::vector<VmId> BackendDispatcher::ownEngines() const
{
    std::vector<VmId> engines;
    auto view = context_.membership();
    for (const auto& [name, servers] : view->index_->serversByName_) {
        for (const VmId& server : view->serversOf(name, context_.settings_.dataCentre_)) {
            if (view->find(server)->kind_ == Vm::Kind::ModelEngine && isDispatcherOf(server))
                engines.push_back(server);
        }
    }
    return engines;
}

std::map<std::string, ModelLoad> BackendDispatcher::loads() const
{
    std::map<std::string, ModelLoad> loads;
    auto view = context_.membership();
    for (const auto& [name, servers] : view->index_->serversByName_) {
        std::uint64_t capacity = concurrencyOf(name);
        for (const VmId& server : view->serversOf(name, context_.settings_.dataCentre_)) {
            if (view->find(server)->kind_ != Vm::Kind::ModelEngine || !isDispatcherOf(server))
                continue;
            ModelLoad load = slots_.load(server, capacity);
            if (isAdmissionClosed(server))
                load = { 0, load.queued_, closedEngineWait, 0 };
            auto [position, isFirst] = loads.emplace(name, load);
            if (isFirst)
                continue;
            position->second.freeSlots_ += load.freeSlots_;
            position->second.queued_ += load.queued_;
            position->second.trialSlots_ += load.trialSlots_;
            position->second.wait_ = std::min(position->second.wait_, load.wait_);
        }
    }
    return loads;
}

std::vector<BackendDispatcher::EngineLoad> BackendDispatcher::engineLoads() const
{
    std::vector<EngineLoad> loads;
    auto view = context_.membership();
    for (const auto& [name, servers] : view->index_->serversByName_) {
        for (const VmId& server : view->serversOf(name, context_.settings_.dataCentre_)) {
            if (isDispatcherOf(server))
                loads.push_back({ server, slots_.active(server), slots_.load(server, concurrencyOf(name)) });
        }
    }
    return loads;
}

std::size_t BackendDispatcher::running() const
{
    std::lock_guard lock(mutex_);
    return running_.size();
}

} // namespace pistachioloom
