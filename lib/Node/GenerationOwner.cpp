//===- lib/Node/GenerationOwner.cpp - attempts at engines ------------------===//
///
/// \file
/// Runs generations to their end: attempts, one at a time, each continuing from
/// the tokens that are there.
//===----------------------------------------------------------------------===//
#include "Generation.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    constexpr std::size_t mostEnginesTried = 3;
    constexpr milliseconds openTimeout { 1000 };
    constexpr milliseconds startTimeout { 10000 };
    // Silence of a home that forwards tokens; the engine's own timeout is shorter.
    constexpr milliseconds tokenTimeout { 40000 };
    constexpr milliseconds attemptPause { 100 };
    constexpr milliseconds reapPeriod { 250 };
    // A new owner's attempts come after any that the old one may have made without
    // telling its replica.
    constexpr std::uint32_t takeoverAttempts = 1000;

    milliseconds timeLeft(const Generation& generation)
    {
        auto left = std::chrono::duration_cast<milliseconds>(generation.deadline() - steadyNow());
        return std::max(milliseconds {}, left);
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
        count += generation->isOver() ? 0 : 1;
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
    context_.spawn(run(generation, {}, Origin::Begun));
    return generation;
}

GenerationPtr GenerationOwner::adopt(wire::GenerationRecord record)
{
    if (auto known = find(record.request_id()); known && !known->isOver())
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
    // The copy and the first attempt start together; the caller is told
    // "accepted" only when both have succeeded.
    context_.spawn(copyLoop(generation));
    while (!generation->isOver()) {
        AttemptOutcome outcome = co_await attempt(generation, preference);
        if (outcome == AttemptOutcome::Pause && !generation->isOver())
            co_await sleepFor(jitter(attemptPause, randomBits()));
        if (!timeLeft(*generation).count() && !generation->isOver())
            generation->fail({ Errc::Timeout, "generate", generation->engine(), "the deadline passed", Ran::Unknown, {} });
    }
    auto progress = generation->progressSince(0);
    scope.span().attempt_ = progress.attempt_;
    scope.span().peer_ = progress.engine_;
    if (progress.failure_)
        scope.span().outcome_ = describe(*progress.failure_);
    context_.metrics_.add(progress.failure_ ? Counter::RequestsFailed : Counter::RequestsFinished);
    context_.metrics_.observe(Histogram::WholeAnswer, steadyNow() - generation->began());
    if (origin == Origin::Adopted)
        co_return;
    std::uint64_t unused = generation->maxTokens() - std::min(generation->maxTokens(), static_cast<std::uint64_t>(progress.tokens_.size()));
    onFinished_(generation->entry(), unused);
}

asio::awaitable<GenerationOwner::AttemptOutcome> GenerationOwner::attempt(GenerationPtr generation, Preference& preference)
{
    if (!preference.engine_.isEmpty()) {
        VmId engine = std::exchange(preference.engine_, {});
        VmId home = router_.homeOf(*context_.membership(), engine, preference.excluded_);
        if (!home.isEmpty() && !context_.membership()->isLeaving(engine)) {
            Error refusal;
            auto outcome = co_await tryEngine(generation, engine, home, true, preference, refusal);
            // The home fell silent: the engine may still run the stream.
            if (outcome == AttemptOutcome::Pause && preference.excluded_.size() < mostEnginesTried)
                preference.engine_ = engine;
            if (outcome != AttemptOutcome::TryNext)
                co_return outcome;
            logger_.info("Request " + generation->id() + " could not go on at engine " + engine.value_ + ": " + describe(refusal) + ".");
        }
        preference.attachesToStream_ = false;
    }
    wire::GenerationRecord record = generation->record();
    RoutingQuestion question { generation->id(), generation->model(), record.prompt(), milliseconds(record.latency_target_ms()), record.is_paid(), preference.excluded_ };
    auto candidates = router_.choose(question);
    if (candidates.size() > mostEnginesTried)
        candidates.resize(mostEnginesTried);
    preference.excluded_.clear();
    Error refusal { Errc::Unavailable, "choose engine", {}, "no engine serves the model", Ran::No, milliseconds(1000) };
    // First whoever has a free slot; then the best one's queue.
    for (bool mayQueue : { false, true }) {
        for (const EngineCandidate& candidate : candidates) {
            router_.countSent(candidate.dispatcher_, generation->model());
            auto outcome = co_await tryEngine(generation, candidate.engine_, candidate.dispatcher_, mayQueue, preference, refusal);
            if (outcome != AttemptOutcome::TryNext)
                co_return outcome;
        }
    }
    if (!generation->isAccepted()) {
        refusal.retryAfter_ = jitter(std::max(refusal.retryAfter_, attemptPause), randomBits());
        generation->fail(refusal);
        co_return AttemptOutcome::Over;
    }
    co_return AttemptOutcome::Pause;
}

asio::awaitable<GenerationOwner::AttemptOutcome> GenerationOwner::tryEngine(GenerationPtr generation, VmId engine, VmId home, bool mayQueue, Preference& preference, Error& refusal)
{
    context_.metrics_.add(Counter::Attempts);
    std::uint32_t attemptNumber = generation->startAttempt();
    SpanScope scope(context_.tracer_, parseTraceparent(generation->record().traceparent()), "attempt", generation->id());
    scope.span().attempt_ = attemptNumber;
    scope.span().peer_ = home.value_;
    wire::Frame frame;
    wire::GenerateRequest& request = *frame.mutable_generate();
    *request.mutable_record() = generation->record();
    request.set_engine(engine.value_);
    request.set_kv_handle(std::exchange(preference.kvHandle_, {}));
    request.set_attach(preference.attachesToStream_);
    request.set_may_queue(mayQueue);
    request.set_traceparent(scope.context().toHeader());
    auto opened = co_await context_.open(home, frame, openTimeout);
    if (!opened) {
        scope.span().outcome_ = describe(opened.error());
        preference.excluded_.insert(home);
        refusal = opened.error();
        co_return AttemptOutcome::TryNext;
    }
    auto stream = opened.value();
    milliseconds patience = mayQueue ? std::max(startTimeout, timeLeft(*generation)) : startTimeout;
    auto reply = co_await stream->receiveWithin(patience);
    if (reply && reply.value().has_started()) {
        generation->setEngine(engine.value_);
        generation->markAccepted();
        auto outcome = co_await takeTokens(generation, stream, engine, home, preference);
        // Whoever owns the generation now attaches to what the engine runs.
        if (generation->isMoved())
            stream->release();
        else
            stream->cancel();
        co_return outcome;
    }
    stream->cancel();
    if (!reply)
        refusal = reply.error();
    else if (reply.value().has_failure())
        refusal = fromWire(reply.value().failure());
    if (refusal.code_ == Errc::Conflict) {
        generation->markMoved();
        co_return AttemptOutcome::Over;
    }
    scope.span().outcome_ = describe(refusal);
    if (refusal.ran_ == Ran::No)
        co_return AttemptOutcome::TryNext;
    // A generation may be computed again, so what is unknown is tried again too;
    // the engine drops the older attempt when it sees the newer one. The engine stays
    // a candidate: it may be as good as before behind another home.
    preference.excluded_.insert(home);
    co_return AttemptOutcome::Pause;
}

asio::awaitable<GenerationOwner::AttemptOutcome> GenerationOwner::takeTokens(GenerationPtr generation, std::shared_ptr<PeerStream> stream, VmId engine, VmId home, Preference& preference)
{
    SteadyTime last = steadyNow();
    for (;;) {
        auto frame = co_await stream->receiveWithin(tokenTimeout);
        if (generation->isOver())
            co_return AttemptOutcome::Over;
        if (!frame) {
            // The home is gone; the engine may still run the stream.
            logger_.warn("Request " + generation->id() + " lost its home: " + describe(frame.error()) + ".");
            preference.excluded_.insert(home);
            preference.engine_ = engine;
            preference.attachesToStream_ = true;
            co_return AttemptOutcome::Continue;
        }
        if (frame.value().has_end())
            co_return endAttempt(generation, frame.value().end(), engine, preference);
        if (!frame.value().has_tokens())
            continue;
        bool isFirst = !generation->tokenCount();
        auto added = generation->append(frame.value().tokens());
        if (!added) {
            logger_.warn("Request " + generation->id() + " refused tokens: " + describe(added.error()) + ".");
            co_return AttemptOutcome::Continue;
        }
        context_.metrics_.add(Counter::TokensDelivered, added.value());
        if (isFirst)
            context_.metrics_.observe(Histogram::FirstToken, steadyNow() - generation->began());
        else
            context_.metrics_.observe(Histogram::BetweenTokens, steadyNow() - last);
        last = steadyNow();
    }
}

GenerationOwner::AttemptOutcome GenerationOwner::endAttempt(const GenerationPtr& generation, const wire::AttemptEnd& end, const VmId& engine, Preference& preference)
{
    context_.metrics_.add(Counter::TokensRecomputed, end.computed_tokens());
    if (end.is_complete()) {
        generation->finish();
        return AttemptOutcome::Over;
    }
    if (end.has_yielded())
        generation->countYield();
    if (end.is_interrupted()) {
        preference.kvHandle_ = end.kv_handle();
        preference.engine_ = { end.target_engine() };
        preference.attachesToStream_ = end.is_attachable();
        return AttemptOutcome::Continue;
    }
    Error failure = fromWire(end.failure());
    logger_.warn("Request " + generation->id() + " lost engine " + engine.value_ + ": " + describe(failure) + ".");
    if (failure.code_ == Errc::Conflict) {
        // A newer owner took the stream over while we were frozen or cut off.
        generation->markMoved();
        return AttemptOutcome::Over;
    }
    preference.excluded_.insert(engine);
    return AttemptOutcome::Continue;
}

asio::awaitable<void> GenerationOwner::reapLoop()
{
    const CallerSettings& settings = context_.settings_.caller_;
    for (;;) {
        for (const GenerationPtr& generation : all()) {
            if (generation->isOver() && steadyNow() - generation->changedAt() > settings.answerRetention_ && !generation->hasReaders()) {
                std::lock_guard lock(mutex_);
                generations_.erase(generation->id());
                continue;
            }
            bool isForgotten = !generation->isOver() && !generation->hasReaders() && steadyNow() - generation->lastRead() > settings.reconnectGrace_;
            if (isForgotten && generation->isAccepted())
                generation->fail({ Errc::Cancelled, "wait for caller", {}, "the caller went away and did not come back", Ran::Unknown, {} });
        }
        co_await sleepFor(reapPeriod);
    }
}

} // namespace pistachioloom
