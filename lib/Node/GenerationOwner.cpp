//===- lib/Node/GenerationOwner.cpp - attempts at engines -----------------===//
///
/// \file
/// Runs the attempts of a generation one after the other until it ends. Each attempt
/// continues from the tokens of the record.
//===----------------------------------------------------------------------===//
#include "Generation.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr std::size_t maxEnginesTried = 3;
    constexpr milliseconds openTimeout { 1000 };
    constexpr milliseconds startTimeout { 10000 };
    // Timeout for the next token from a dispatcher. The dispatcher's timeout for the
    // engine is shorter.
    constexpr milliseconds tokenTimeout { 40000 };
    constexpr milliseconds retryDelay { 100 };
    constexpr milliseconds reapPeriod { 250 };
    // Added to the attempt number on a takeover. The old owner may have started
    // attempts that it did not report to its replica; the numbers of the new owner's
    // attempts are greater than those.
    constexpr std::uint32_t takeoverAttempts = 1000;

    milliseconds timeLeft(const Generation& generation)
    {
        auto remaining = std::chrono::duration_cast<milliseconds>(generation.deadline() - steadyNow());
        return std::max(milliseconds {}, remaining);
    }

} // namespace

GenerationOwner::GenerationOwner(NodeContext& context, EngineRouter& router, FinishedHook onFinished)
    : context_(context)
    , router_(router)
    , onFinished_(std::move(onFinished))
    , logger_("owner")
{
}

void GenerationOwner::start()
{
    context_.spawn(reapLoop());
}

GenerationPtr GenerationOwner::find(const std::string& requestId) const
{
    std::lock_guard lock(mutex_);
    auto found = generations_.find(requestId);
    return found == generations_.end() ? nullptr : found->second;
}

std::vector<GenerationPtr> GenerationOwner::all() const
{
    std::lock_guard lock(mutex_);
    std::vector<GenerationPtr> list;
    for (const auto& [id, generation] : generations_)
        list.push_back(generation);
    return list;
}

std::size_t GenerationOwner::running() const
{
    std::size_t count = 0;
    for (const GenerationPtr& generation : all())
        count += generation->hasEnded() ? 0 : 1;
    return count;
}

void GenerationOwner::insert(const GenerationPtr& generation)
{
    std::lock_guard lock(mutex_);
    generations_[generation->id()] = generation;
}

GenerationPtr GenerationOwner::begin(wire::GenerationRecord record)
{
    std::string uuid = makeUuid();
    std::vector<VmId> replicas = replicaCandidates(uuid, {});
    VmId replica = replicas.empty() ? VmId {} : replicas.front();
    record.set_request_id(makeRequestId(uuid, context_.self(), replica));
    record.set_owner(context_.self().value_);
    auto generation = std::make_shared<Generation>(record, context_.executor_);
    insert(generation);
    context_.spawn(run(generation, {}, Origin::Admitted));
    return generation;
}

GenerationPtr GenerationOwner::adopt(wire::GenerationRecord record)
{
    if (auto known = find(record.request_id()); known && !known->hasEnded())
        return known;
    Preference preference;
    preference.engine_ = { record.engine() };
    preference.attachesToStream_ = !record.engine().empty();
    record.set_owner(context_.self().value_);
    record.set_attempt(record.attempt() + takeoverAttempts);
    auto generation = std::make_shared<Generation>(record, context_.executor_);
    generation->markAccepted();
    insert(generation);
    context_.spawn(run(generation, preference, Origin::Adopted));
    return generation;
}

asio::awaitable<void> GenerationOwner::run(GenerationPtr generation, Preference preference, Origin origin)
{
    SpanScope scope(context_.tracer_, parseTraceparent(generation->record().traceparent()), "owner", generation->id());
    // The copy and the first attempt start concurrently. The caller receives the
    // "accepted" event only after both have succeeded.
    context_.spawn(copyLoop(generation));
    while (!generation->hasEnded()) {
        AttemptOutcome outcome = co_await attempt(generation, preference);
        if (outcome == AttemptOutcome::RetryLater && !generation->hasEnded())
            co_await sleepFor(jitter(retryDelay, randomBits()));
        if (!timeLeft(*generation).count() && !generation->hasEnded())
            generation->fail({ Errc::Timeout, "generate", generation->engine(), "the deadline passed", Ran::Unknown, {} });
    }
    auto progress = generation->progressSince(0);
    scope.span().attempt_ = progress.attempt_;
    scope.span().peer_ = progress.engine_;
    if (progress.failure_)
        scope.span().outcome_ = describe(*progress.failure_);
    context_.metrics_.add(progress.failure_ ? Counter::RequestsFailed : Counter::RequestsFinished);
    context_.metrics_.observe(Histogram::CompleteAnswer, steadyNow() - generation->startedAt());
    if (origin == Origin::Adopted)
        co_return;
    std::uint64_t unused = generation->maxTokens() - std::min(generation->maxTokens(), static_cast<std::uint64_t>(progress.tokens_.size()));
    onFinished_(generation->entry(), unused);
}

asio::awaitable<GenerationOwner::AttemptOutcome> GenerationOwner::attempt(GenerationPtr generation, Preference& preference)
{
    if (!preference.engine_.isEmpty()) {
        VmId engine = std::exchange(preference.engine_, {});
        VmId dispatcher = router_.dispatcherOf(*context_.membership(), engine, preference.excluded_);
        if (!dispatcher.isEmpty() && !context_.membership()->isLeaving(engine)) {
            Error rejection;
            auto outcome = co_await tryEngine(generation, engine, dispatcher, true, preference, rejection);
            // The dispatcher did not reply, but the engine may still run the stream.
            if (outcome == AttemptOutcome::RetryLater && preference.excluded_.size() < maxEnginesTried)
                preference.engine_ = engine;
            if (outcome != AttemptOutcome::TryNext)
                co_return outcome;
            logger_.info("Request " + generation->id() + " could not continue on engine " + engine.value_ + ": " + describe(rejection) + ".");
        }
        preference.attachesToStream_ = false;
    }
    wire::GenerationRecord record = generation->record();
    RoutingQuery query { generation->id(), generation->model(), record.prompt(), milliseconds(record.latency_target_ms()), record.is_paid(), preference.excluded_ };
    auto candidates = router_.choose(query);
    if (candidates.size() > maxEnginesTried)
        candidates.resize(maxEnginesTried);
    preference.excluded_.clear();
    Error rejection { Errc::Unavailable, "choose engine", {}, "no engine serves the model", Ran::No, milliseconds(1000) };
    // The first pass over the candidates accepts only free slots. The second pass
    // allows queueing; both start with the best candidate.
    for (bool mayQueue : { false, true }) {
        for (const EngineCandidate& candidate : candidates) {
            router_.countSent(candidate.dispatcher_, generation->model());
            auto outcome = co_await tryEngine(generation, candidate.engine_, candidate.dispatcher_, mayQueue, preference, rejection);
            if (outcome != AttemptOutcome::TryNext)
                co_return outcome;
        }
    }
    if (!generation->isAccepted()) {
        rejection.retryAfter_ = jitter(std::max(rejection.retryAfter_, retryDelay), randomBits());
        generation->fail(rejection);
        co_return AttemptOutcome::Ended;
    }
    co_return AttemptOutcome::RetryLater;
}

asio::awaitable<GenerationOwner::AttemptOutcome> GenerationOwner::tryEngine(GenerationPtr generation, VmId engine, VmId dispatcher, bool mayQueue, Preference& preference, Error& rejection)
{
    context_.metrics_.add(Counter::Attempts);
    std::uint32_t attemptNumber = generation->startAttempt();
    SpanScope scope(context_.tracer_, parseTraceparent(generation->record().traceparent()), "attempt", generation->id());
    scope.span().attempt_ = attemptNumber;
    scope.span().peer_ = dispatcher.value_;
    wire::Frame frame;
    wire::GenerateRequest& request = *frame.mutable_generate();
    *request.mutable_record() = generation->record();
    request.set_engine(engine.value_);
    request.set_kv_handle(preference.kvHandle_);
    request.set_attach(preference.attachesToStream_);
    request.set_may_queue(mayQueue);
    request.set_traceparent(scope.context().toHeader());
    auto opened = co_await context_.open(dispatcher, frame, openTimeout);
    if (!opened) {
        scope.span().outcome_ = describe(opened.error());
        preference.excluded_.insert(dispatcher);
        rejection = opened.error();
        co_return AttemptOutcome::TryNext;
    }
    auto stream = opened.value();
    milliseconds waitLimit = mayQueue ? std::max(startTimeout, timeLeft(*generation)) : startTimeout;
    auto reply = co_await stream->receiveWithin(waitLimit);
    if (reply && reply.value().has_started()) {
        // The cache lacks the tokens of this attempt. A candidate that rejects the attempt
        // leaves the cache to the next one.
        preference.kvHandle_.clear();
        generation->setEngine(engine.value_);
        generation->markAccepted();
        auto outcome = co_await receiveTokens(generation, stream, engine, dispatcher, preference);
        // The new owner of a generation that moved attaches to the engine's stream.
        if (generation->isMoved())
            stream->release();
        else
            stream->cancel();
        co_return outcome;
    }
    stream->cancel();
    if (!reply)
        rejection = reply.error();
    else if (reply.value().has_failure())
        rejection = fromWire(reply.value().failure());
    if (rejection.code_ == Errc::Conflict) {
        generation->markMoved();
        co_return AttemptOutcome::Ended;
    }
    scope.span().outcome_ = describe(rejection);
    if (rejection.ran_ == Ran::No)
        co_return AttemptOutcome::TryNext;
    // A generation may be computed twice, so an attempt with an unknown outcome is
    // retried; the engine cancels the older attempt when it receives the newer one. The
    // engine stays a candidate, since another dispatcher may still reach it.
    preference.excluded_.insert(dispatcher);
    co_return AttemptOutcome::RetryLater;
}

asio::awaitable<GenerationOwner::AttemptOutcome> GenerationOwner::receiveTokens(GenerationPtr generation, std::shared_ptr<PeerStream> stream, VmId engine, VmId dispatcher, Preference& preference)
{
    SteadyTime lastTokenAt = steadyNow();
    for (;;) {
        auto frame = co_await stream->receiveWithin(tokenTimeout);
        if (generation->hasEnded())
            co_return AttemptOutcome::Ended;
        if (!frame) {
            // The dispatcher is unreachable, but the engine may still run the stream.
            logger_.warn("Request " + generation->id() + " lost its dispatcher: " + describe(frame.error()) + ".");
            preference.excluded_.insert(dispatcher);
            preference.engine_ = engine;
            preference.attachesToStream_ = true;
            co_return AttemptOutcome::RetryNow;
        }
        if (frame.value().has_end())
            co_return endAttempt(generation, frame.value().end(), engine, preference);
        if (!frame.value().has_tokens())
            continue;
        bool isFirst = !generation->tokenCount();
        auto added = generation->append(frame.value().tokens());
        if (!added) {
            logger_.warn("Request " + generation->id() + " received tokens that were rejected: " + describe(added.error()) + ".");
            co_return AttemptOutcome::RetryNow;
        }
        context_.metrics_.add(Counter::TokensDelivered, added.value());
        if (isFirst)
            context_.metrics_.observe(Histogram::FirstToken, steadyNow() - generation->startedAt());
        else
            context_.metrics_.observe(Histogram::BetweenTokens, steadyNow() - lastTokenAt);
        lastTokenAt = steadyNow();
    }
}

GenerationOwner::AttemptOutcome GenerationOwner::endAttempt(const GenerationPtr& generation, const wire::AttemptEnd& end, const VmId& engine, Preference& preference)
{
    context_.metrics_.add(Counter::TokensRecomputed, end.computed_tokens());
    if (end.is_complete()) {
        generation->finish();
        return AttemptOutcome::Ended;
    }
    if (end.has_yielded())
        generation->countYield();
    if (end.is_interrupted()) {
        preference.kvHandle_ = end.kv_handle();
        preference.engine_ = { end.target_engine() };
        preference.attachesToStream_ = end.is_attachable();
        return AttemptOutcome::RetryNow;
    }
    Error failure = fromWire(end.failure());
    logger_.warn("Request " + generation->id() + " lost engine " + engine.value_ + ": " + describe(failure) + ".");
    if (failure.code_ == Errc::Conflict) {
        // A newer owner took over the stream while this node was frozen or partitioned.
        generation->markMoved();
        return AttemptOutcome::Ended;
    }
    preference.excluded_.insert(engine);
    return AttemptOutcome::RetryNow;
}

asio::awaitable<void> GenerationOwner::reapLoop()
{
    const CallerSettings& settings = context_.settings_.caller_;
    for (;;) {
        for (const GenerationPtr& generation : all()) {
            if (generation->hasEnded() && steadyNow() - generation->changedAt() > settings.answerRetention_ && !generation->hasReaders()) {
                std::lock_guard lock(mutex_);
                generations_.erase(generation->id());
                continue;
            }
            bool isAbandoned = !generation->hasEnded() && !generation->hasReaders() && steadyNow() - generation->lastReadAt() > settings.reconnectGrace_;
            if (isAbandoned && generation->isAccepted())
                generation->fail({ Errc::Cancelled, "wait for caller", {}, "the caller went away and did not come back", Ran::Unknown, {} });
        }
        co_await sleepFor(reapPeriod);
    }
}

} // namespace pistachioloom
