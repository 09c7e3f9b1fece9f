//===- lib/Forward/Forwarding.cpp - the course of one request --------------===//
///
/// \file
/// Admission, the loop over attempts, and time. Sending is in Sending.cpp,
/// answers to the caller in Answering.cpp.
//===----------------------------------------------------------------------===//
#include "Forwarding.h"
#include "EndProbe.h"

namespace pistachioloom {

namespace {

    // A node without a configuration expects one within a poll of its source.
    constexpr milliseconds retryUnconfigured { 300 };
    // Another node takes a request at once that a stopping one refuses.
    constexpr milliseconds retryStopping { 10 };
    // Backend servers that are full have room again after a few answers.
    constexpr milliseconds retryFull { 150 };
    // Connections that may fail for one request before it is given up.
    constexpr unsigned mostUnreachable = 4;
    // A request with so many crashes is kept apart from others: one more of them is
    // hardly chance.
    constexpr std::size_t crashesToIsolate = 2;
    // Weight versions and the like begin at this urgency if nothing is said.
    constexpr unsigned mostUrgency = 9;

    const Logger& logger()
    {
        static const Logger logger("forward");
        return logger;
    }

} // namespace

Forwarding::Forwarding(ForwardContext& context, BackendPool& pool, std::shared_ptr<CallerConnection> caller, CallerRequest request)
    : context_(context)
    , pool_(pool)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , id_(request_.field(context.names_.attempt_))
    , timer_(pool.executor())
{
    keepsConnection_ = request_.isKeepAlive_;
}

std::optional<Forwarding::HeldAnswer> Forwarding::authorise()
{
    const RouteConfiguration& configuration = table_->configuration();
    if (!configuration.needsCredentials_ || route_->isPublic_)
        return std::nullopt;
    constexpr std::string_view scheme = "Bearer ";
    std::string_view credential = request_.field("Authorization");
    if (credential.size() > scheme.size() && equalWithoutCase(credential.substr(0, scheme.size()), scheme))
        organisation_ = table_->findOrganisation(std::string(credential.substr(scheme.size())));
    if (!organisation_)
        return refusal(401, "unknown credential", {});
    return std::nullopt;
}

RequestShape Forwarding::shapeOf() const
{
    RequestShape shape;
    shape.service_ = pickService(*route_, randomBits());
    if (auto counts = parseTokenCounts(request_.field(context_.names_.tokenCount_))) {
        shape.promptTokens_ = counts->first;
        shape.mostOutputTokens_ = counts->second;
    }
    shape.parts_ = parsePromptParts(request_.field(context_.names_.promptParts_));
    const ServicePolicy* service = table_->findService(shape.service_);
    shape.isForEngine_ = service && service->engine_;
    shape.urgency_ = urgency_;
    return shape;
}

std::optional<Forwarding::HeldAnswer> Forwarding::takeQuota()
{
    if (!organisation_)
        return std::nullopt;
    std::uint64_t tokens = shape_.promptTokens_.value_ + shape_.mostOutputTokens_.value_;
    cost_ = 1;
    if (organisation_->countsTokens_)
        cost_ = static_cast<double>(tokens ? tokens : organisation_->plainTokens_);
    auto wait = context_.quotas_.take(organisation_->name_, { organisation_->ratePerSecond_, organisation_->burst_ }, cost_, steadyNow());
    if (wait) {
        context_.metrics_.add(Counter::RequestsRefused);
        return refusal(429, "quota of " + organisation_->name_.value_ + " used up", *wait);
    }
    hasQuota_ = true;
    return std::nullopt;
}

std::optional<Forwarding::HeldAnswer> Forwarding::admit()
{
    table_ = context_.hooks_.table_();
    if (!table_)
        return refusal(503, "no configuration known yet", retryUnconfigured);
    if (context_.refusesNew_)
        return refusal(503, "this node is stopping", retryStopping);
    route_ = table_->findRoute(request_.field("Host"), request_.path());
    if (!route_)
        return refusal(404, "no route", {});
    if (auto refused = authorise())
        return refused;
    urgency_ = std::min(mostUrgency, organisation_ && organisation_->priority_ ? *organisation_->priority_ : route_->priority_);
    shape_ = shapeOf();
    events_ = EventSplitter(parseNumber(request_.field(context_.names_.lastEvent_)));
    deadline_ = request_.receivedAt_ + route_->timeout_;
    if (auto told = parseNumber(request_.field(context_.names_.deadline_)))
        deadline_ = std::min(deadline_, request_.receivedAt_ + milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(*told, 3600000))));
    return takeQuota();
}

milliseconds Forwarding::timeLeft() const
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(deadline_ - steadyNow()));
}

void Forwarding::armTimer()
{
    timer_.expires_at(std::min(deadline_, patienceUntil_));
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& code) {
        if (!code)
            self->onTimer();
    });
}

void Forwarding::onTimer()
{
    if (isFinished_)
        return;
    SteadyTime now = steadyNow();
    if (now >= deadline_)
        return stop(StopReason::TimeOver);
    if (now >= patienceUntil_) {
        patienceUntil_ = SteadyTime::max();
        stop(StopReason::Silence);
    }
    armTimer();
}

void Forwarding::stop(StopReason reason)
{
    stopped_ = reason;
    if (current_)
        current_->abort();
    // A slow reader must not keep a request beyond its time.
    if (reason == StopReason::TimeOver && hasBegunAnswer_)
        caller_->abort();
}

bool Forwarding::mayTryAgain(SendEnd end)
{
    if (stopped_ == StopReason::CallerGone || stopped_ == StopReason::TimeOver || timeLeft() <= milliseconds(0))
        return false;
    if (end == SendEnd::Unreachable || end == SendEnd::NoConnection || end == SendEnd::Withdrawn)
        return ++unreachable_ < mostUnreachable;
    if (sends_ >= route_->mostAttempts_)
        return false;
    if (end != SendEnd::NotRun && !route_->mayRepeat())
        return false;
    // It may just have crashed one more, which is not known yet.
    if (end == SendEnd::Lost && shape_.isSuspect_)
        return false;
    return context_.retries_.take(shape_.service_, steadyNow());
}

std::optional<Forwarding::HeldAnswer> Forwarding::refuseWait(const BackendChoice& choice) const
{
    AdmissionView view { shape_.isForEngine_ && route_->isStream_, sends_ || events_.last(), choice.ahead_, route_->admittedWait_ };
    auto returnIn = refuseForWait(view, context_.settings_.admission_);
    if (!returnIn)
        return std::nullopt;
    return refusal(503, "engines are busy for " + std::to_string(choice.ahead_.count()) + " ms", *returnIn);
}

/// Every send passes here: first ones, repeats, and streams that move.
std::optional<Forwarding::HeldAnswer> Forwarding::refuseQuarantined()
{
    if (context_.quarantine_.isEmpty())
        return std::nullopt;
    auto quarantine = context_.quarantine_.check(fingerprint(), steadyNow());
    if (!quarantine) {
        shape_.isSuspect_ = context_.quarantine_.crashesOf(fingerprint()) >= crashesToIsolate;
        return std::nullopt;
    }
    context_.metrics_.add(Counter::RequestsQuarantined);
    logQuarantined(*quarantine);
    // Neither 503, whose promise that a request never runs invites its caller back, nor
    // 4xx: that the request itself is at fault is likely, not certain.
    return refusal(502, "quarantined: " + std::to_string(quarantine->crashes_) + " backend servers crashed under this request", {});
}

void Forwarding::logQuarantined(const Quarantine& quarantine)
{
    LogLine line("Request is in quarantine.");
    line.add("id", id_).add("request", toString(fingerprint())).add("crashes", static_cast<std::int64_t>(quarantine.crashes_));
    line.add("last_crash_ms", quarantine.sinceLastCrash_.count()).add("left_ms", quarantine.left_.count());
    line.add("target", request_.target_).add("organisation", organisation_ ? organisation_->name_.value_ : "");
    logger().info(line);
}

/// A whole answer, a failure too, shows that the request does not crash its server.
void Forwarding::noteServed()
{
    if (context_.crashes_.isIdle())
        return;
    if (context_.crashes_.clear(fingerprint(), steadyNow()))
        logger().info(LogLine("Request is no longer suspected.").add("id", id_).add("request", toString(fingerprint())));
}

asio::awaitable<void> Forwarding::serve()
{
    for (;;) {
        if (auto refused = refuseQuarantined()) {
            if (!held_)
                held_ = std::move(refused);
            break;
        }
        auto choice = takeMoveTarget();
        shape_.version_ = context_.rollouts_.assign(shape_.service_, routeKeyOf(route_->name_), sends_ ? RolloutTracker::SendKind::Subsequent : RolloutTracker::SendKind::First, steadyNow());
        if (!choice)
            choice = context_.backends_.choose(shape_, excluded_, steadyNow());
        if (!choice) {
            context_.backends_.refuseWithout(shape_);
            break;
        }
        if (auto refused = refuseWait(*choice)) {
            context_.backends_.refuse(*choice);
            context_.metrics_.add(Counter::RequestsRefused);
            held_ = std::move(refused);
            logRefusal(*held_);
            break;
        }
        context_.backends_.accept(*choice);
        Attempt attempt;
        attempt.choice_ = std::move(*choice);
        attempt.startedAt_ = steadyNow();
        excluded_.insert(attempt.choice_.backend_.id_);
        stopped_ = StopReason::None;
        SendEnd end = co_await send(attempt);
        finishAttempt(attempt, end);
        if (end == SendEnd::Delivered || caller_->isGone())
            co_return;
        if (end == SendEnd::Moved)
            continue;
        if (end == SendEnd::Lost || end == SendEnd::Held)
            mayHaveRun_ = true;
        if (!mayTryAgain(end))
            break;
        context_.metrics_.add(Counter::Retries);
        logger().info(LogLine("Try again.").add("id", id_).add("after", attempt.choice_.backend_.id_.value_).add("sends", sends_).add("why", attempt.detail_).add("left_ms", timeLeft().count()));
        // A stopped engine has noticed its closed connection long before another
        // has begun: the close is sent first, on a path no longer than the send's.
    }
    if (caller_->isGone())
        co_return;
    if (hasBegunAnswer_) {
        caller_->abort();
        co_return;
    }
    if (!held_) {
        held_ = finalFailure();
        logRefusal(*held_);
    }
    (void)co_await deliver(std::move(*held_));
}

asio::awaitable<bool> Forwarding::run()
{
    auto self = shared_from_this();
    context_.metrics_.add(Counter::RequestsAccepted);
    if (auto refused = admit()) {
        logRefusal(*refused);
        bool isTaken = co_await deliver(std::move(*refused));
        co_return isTaken&& keepsConnection_;
    }
    context_.retries_.countRequest(shape_.service_, steadyNow());
    patienceUntil_ = SteadyTime::max();
    armTimer();
    caller_->setGoneHook([this] { stop(StopReason::CallerGone); });
    co_await serve();
    caller_->setGoneHook(nullptr);
    isFinished_ = true;
    dropMove();
    timer_.cancel();
    if (!hasCountedBegin_ && hasQuota_ && !mayHaveRun_)
        context_.quotas_.giveBack(organisation_->name_, cost_);
    co_return keepsConnection_ && !caller_->isGone();
}

void Forwarding::finishAttempt(Attempt& attempt, SendEnd end)
{
    BackendOutcome outcome = BackendOutcome::Served;
    switch (end) {
    case SendEnd::Delivered:
        outcome = BackendOutcome::Served;
        break;
    case SendEnd::Held:
        outcome = BackendOutcome::Failed;
        break;
    case SendEnd::NotRun:
        outcome = attempt.detail_ == "wrong_instance" ? BackendOutcome::WrongInstance : BackendOutcome::Full;
        break;
    case SendEnd::Unreachable:
        outcome = BackendOutcome::Unreachable;
        break;
    case SendEnd::Lost:
        outcome = BackendOutcome::Broken;
        break;
    case SendEnd::Stopped:
    case SendEnd::Withdrawn:
    case SendEnd::Moved:
        outcome = BackendOutcome::Abandoned;
        break;
    case SendEnd::NoConnection:
        outcome = BackendOutcome::Full;
        break;
    }
    current_ = nullptr;
    SteadyTime now = steadyNow();
    auto streamed = attempt.hasBegun_ ? std::chrono::duration_cast<milliseconds>(now - attempt.begunAt_) : milliseconds(0);
    context_.backends_.end(attempt.choice_.backend_.id_, { outcome, attempt.choice_.uncached_, attempt.hasBegun_, streamed }, now);
    auto took = std::chrono::duration_cast<milliseconds>(now - request_.receivedAt_);
    context_.metrics_.observe(Histogram::WholeAnswer, now - request_.receivedAt_);
    noteVersion(attempt, outcome);
    logAttempt(attempt, outcome, took);
    if (outcome == BackendOutcome::Broken && attempt.isCutOff_)
        noteCutOff(attempt);
    if (end == SendEnd::Delivered || end == SendEnd::Held)
        noteServed();
    lastDetail_ = attempt.detail_;
}

void Forwarding::noteVersion(const Attempt& attempt, BackendOutcome outcome)
{
    if (context_.rollouts_.isEmpty() || !attempt.startedAt_.time_since_epoch().count())
        return;
    SteadyTime now = steadyNow();
    AttemptOutcome shown;
    shown.outcome_ = outcome;
    shown.isFailure_ = finalStatus_ >= 500;
    shown.isCutOff_ = attempt.isCutOff_;
    shown.hasBegun_ = attempt.hasBegun_;
    shown.waitRatio_ = attempt.waitRatio_;
    shown.waited_ = std::chrono::duration_cast<milliseconds>((attempt.hasBegun_ ? attempt.begunAt_ : now) - attempt.startedAt_);
    shown.estimate_ = attempt.choice_.estimate_;
    std::uint64_t events = events_.last().value_or(0) - std::min(events_.last().value_or(0), attempt.eventBefore_);
    if (attempt.hasBegun_ && events > 1)
        shown.eventGapMs_ = std::chrono::duration<double, std::milli>(now - attempt.begunAt_).count() / static_cast<double>(events - 1);
    const BackendRecord& backend = attempt.choice_.backend_;
    context_.rollouts_.noteAnswer(shape_.service_, { backend.version_, keyOf(backend.id_), routeKeyOf(route_->name_), shown });
}

RequestFingerprint Forwarding::fingerprint()
{
    if (!fingerprint_) {
        std::string_view organisation = organisation_ ? std::string_view(organisation_->name_.value_) : std::string_view();
        fingerprint_ = fingerprintOf({ organisation, request_.method_, request_.field("Host"), request_.target_, request_.body_ }, context_.fingerprintSecret_);
    }
    return *fingerprint_;
}

void Forwarding::noteCutOff(const Attempt& attempt)
{
    const BackendRecord& backend = attempt.choice_.backend_;
    auto known = context_.backends_.find(backend.id_);
    // Its end was announced, and is no crash.
    if (known && known->isLeaving_)
        return;
    CutOff cutOff { fingerprint(), organisation_ ? organisation_->name_ : OrganisationId {}, { keyOf(backend.id_) } };
    CrashWatch::Verdict verdict = context_.crashes_.noteCutOff(cutOff, steadyNow());
    if (verdict.counted_)
        logCrash(context_, backend.id_, *verdict.counted_);
    if (verdict.needsProbe_)
        asio::co_spawn(pool_.executor(), probeEnd(context_, backend), asio::detached);
}

void Forwarding::logAttempt(const Attempt& attempt, BackendOutcome outcome, milliseconds took)
{
    const BackendChoice& choice = attempt.choice_;
    LogLine line("Attempt ended.");
    line.add("id", id_).add("outcome", toString(outcome)).add("why", attempt.detail_).add("status", finalStatus_).add("attempt", sends_);
    line.add("route", route_->name_).add("organisation", organisation_ ? organisation_->name_.value_ : "").add("configuration", static_cast<std::int64_t>(table_->version()));
    line.add("backend", choice.backend_.id_.value_).add("service", shape_.service_.value_).add("data_centre", choice.backend_.dataCentre_.value_).add("candidates", static_cast<std::int64_t>(choice.candidates_));
    line.add("estimate_ms", choice.estimate_.count()).add("running", static_cast<std::int64_t>(choice.running_)).add("queued_tokens", static_cast<std::int64_t>(choice.queuedAhead_.value_)).add("uncached_tokens", static_cast<std::int64_t>(choice.uncached_.value_));
    line.add("charged", static_cast<std::int64_t>(cost_)).add("shared_part", shape_.parts_.size() < 2 ? "" : shape_.parts_[shape_.parts_.size() - 2].id_);
    if (route_->isStream_)
        line.add("last_event", events_.last() ? static_cast<std::int64_t>(*events_.last()) : 0);
    if (attempt.saysLeaving_)
        line.add("leaving", true);
    if (attempt.pause_.count())
        line.add("pause_ms", attempt.pause_.count());
    if (outcome == BackendOutcome::Broken)
        line.add("request", toString(fingerprint()));
    line.add("first_byte_ms", firstByte_.count()).add("took_ms", took.count()).add("left_ms", timeLeft().count());
    logger().info(line);
}

void Forwarding::logRefusal(const HeldAnswer& answer) const
{
    LogLine line("Refused.");
    line.add("id", id_).add("status", answer.status_).add("why", std::string_view(answer.body_).substr(0, answer.body_.find('\n')));
    line.add("target", request_.target_).add("host", request_.field("Host")).add("route", route_ ? route_->name_ : "").add("organisation", organisation_ ? organisation_->name_.value_ : "");
    line.add("configuration", table_ ? static_cast<std::int64_t>(table_->version()) : 0).add("peer", caller_->peer());
    logger().info(line);
}

Forwarding::HeldAnswer Forwarding::finalFailure() const
{
    // 503 promises that the request has not run and never will.
    if (!mayHaveRun_ && stopped_ != StopReason::TimeOver) {
        auto pause = context_.backends_.pauseOf(shape_.service_, steadyNow());
        std::string reason = pause ? "all backend servers asked for a pause" : "no backend server";
        return refusal(503, lastDetail_.empty() ? reason : lastDetail_, std::max(retryFull, pause.value_or(retryFull)));
    }
    int status = stopped_ == StopReason::TimeOver ? 504 : 502;
    return refusal(status, lastDetail_.empty() ? "the backend server broke off" : lastDetail_, {});
}

} // namespace pistachioloom
