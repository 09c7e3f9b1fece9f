//===- lib/Forward/RequestForwarder.cpp - processing of one request -------===//
///
/// \file
/// Admission, the loop over attempts, and time limits. Sending.cpp contains sends to
/// backend servers, Answering.cpp answers to the caller, CrashAccounting.cpp what attempts
/// tell of crashes.
//===----------------------------------------------------------------------===//
#include "RequestForwarder.h"

#include <cmath>

namespace pistachioloom {

namespace {

    // A node without a configuration receives one within a polling period of its source.
    constexpr milliseconds unconfiguredRetryAfter { 300 };
    // Another node immediately accepts a request that a stopping node rejects.
    constexpr milliseconds stoppingRetryAfter { 10 };
    // Full backend servers have capacity again after a few answers.
    constexpr milliseconds fullRetryAfter { 150 };
    // The number of attempts after which a request fails if they sent nothing, for
    // example because the connection failed.
    constexpr unsigned maxUnsentAttempts = 4;
    // Interval at which a waiting attempt that can be replaced checks its paths.
    constexpr milliseconds pathCheckPeriod { 250 };
    // Interval at which a silent attempt for which there was no replacement tries again.
    constexpr milliseconds replacementCheckPeriod { 250 };
    // The largest urgency value, which is the least urgent.
    constexpr unsigned maxUrgency = 9;

    const Logger& logger()
    {
        static const Logger logger("forward");
        return logger;
    }

    /// Returns a random number from 0 to 1.
    double uniformDraw()
    {
        // The upper 53 bits give a double in [0, 1).
        return static_cast<double>(randomBits() >> 11) * 0x1p-53;
    }

    /// Rounds to a whole request or token.
    std::int64_t rounded(double amount)
    {
        return std::llround(amount);
    }

    const char* toString(AnswerIdentity identity)
    {
        switch (identity) {
        case AnswerIdentity::NoAnswer:
            return "no_answer";
        case AnswerIdentity::Own:
            return "own";
        case AnswerIdentity::Other:
            return "other";
        case AnswerIdentity::None:
            return "none";
        }
        return "";
    }

    /// Adds what the refusal follows from.
    void addQuotaInputs(LogLine& line, const QuotaRefusal& refusal)
    {
        line.add("class", refusal.class_ == QuotaClass::Deferrable ? "deferrable" : "normal").add("cost", rounded(refusal.cost_));
        line.add("level", rounded(refusal.level_)).add("burst", rounded(refusal.limit_.burst_)).add("rate", rounded(refusal.limit_.ratePerSecond_));
        if (refusal.shareBalance_)
            line.add("share_balance", rounded(*refusal.shareBalance_));
        line.add("share_rate", rounded(refusal.shareRate_)).add("refused_cost", rounded(refusal.refusedCost_));
        line.add("shortage_ms", refusal.shortage_.count()).add("nodes", static_cast<std::int64_t>(refusal.nodes_));
        if (refusal.peersAge_)
            line.add("peers_age_ms", refusal.peersAge_->count());
    }

} // namespace

milliseconds timeLimitOf(const Route& route, std::string_view callerDeadline)
{
    std::uint64_t limit = parseNumber(callerDeadline).value_or(std::numeric_limits<std::uint64_t>::max());
    return milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(limit, static_cast<std::uint64_t>(std::max<std::int64_t>(0, route.timeout_.count())))));
}

RequestForwarder::RequestForwarder(ForwardContext& context, ConnectionPool& pool, std::shared_ptr<CallerConnection> caller, CallerRequest request)
    : context_(context)
    , pool_(pool)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , attemptId_(request_.field(context.names_.attempt_))
    , timer_(pool.executor())
{
    keepsConnection_ = request_.isKeepAlive_;
}

std::optional<RequestForwarder::HeldAnswer> RequestForwarder::authorise()
{
    const RouteConfiguration& configuration = table_->configuration();
    if (!configuration.needsCredentials_ || route_->isPublic_)
        return std::nullopt;
    constexpr std::string_view scheme = "Bearer ";
    std::string_view credential = request_.field("Authorization");
    if (credential.size() > scheme.size() && equalWithoutCase(credential.substr(0, scheme.size()), scheme))
        organisation_ = table_->findOrganisation(std::string(credential.substr(scheme.size())));
    if (!organisation_)
        return rejection(401, "unknown credential", {});
    return std::nullopt;
}

RequestShape RequestForwarder::shapeOf() const
{
    RequestShape shape;
    shape.service_ = pickService(*route_, randomBits());
    if (auto counts = parseTokenCounts(request_.field(context_.names_.tokenCount_))) {
        shape.promptTokens_ = counts->first;
        shape.maxOutputTokens_ = counts->second;
    }
    shape.parts_ = parsePromptParts(request_.field(context_.names_.promptParts_));
    const ServicePolicy* service = table_->findService(shape.service_);
    shape.isForEngine_ = service && service->engine_;
    shape.urgency_ = urgency_;
    shape.objective_ = route_->objective_;
    return shape;
}

/// An organisation whose own priority is more urgent than the route's is not deferred.
bool RequestForwarder::isDeferrable() const
{
    bool isRaised = organisation_ && organisation_->priority_ && *organisation_->priority_ < route_->priority_;
    return route_->isDeferrable_ && !isRaised;
}

std::optional<RequestForwarder::HeldAnswer> RequestForwarder::takeQuota()
{
    if (!organisation_)
        return std::nullopt;
    std::uint64_t tokens = shape_.promptTokens_.value_ + shape_.maxOutputTokens_.value_;
    quotaCost_ = 1;
    if (organisation_->countsTokens_)
        quotaCost_ = static_cast<double>(tokens ? tokens : organisation_->defaultTokens_);
    // The organisation's own priority does not matter here, since it applies equally to all
    // requests that share the quota.
    QuotaClass quotaClass = route_->isDeferrable_ ? QuotaClass::Deferrable : QuotaClass::Normal;
    quotaRefusal_ = context_.quotas_.take(organisation_->name_, { organisation_->ratePerSecond_, organisation_->burst_ }, quotaCost_, steadyNow(), quotaClass);
    if (quotaRefusal_) {
        context_.metrics_.add(Counter::RequestsRefused);
        milliseconds retryAfter = returnDelay(*quotaRefusal_, timeLeft(), uniformDraw());
        return rejection(429, "quota of " + organisation_->name_.value_ + " used up", retryAfter);
    }
    hasQuota_ = true;
    return std::nullopt;
}

std::optional<RequestForwarder::HeldAnswer> RequestForwarder::admit()
{
    table_ = context_.hooks_.table_();
    if (!table_)
        return rejection(503, "no configuration known yet", unconfiguredRetryAfter);
    if (context_.rejectsNew_)
        return rejection(503, "this node is stopping", stoppingRetryAfter);
    route_ = table_->findRoute(request_.field("Host"), request_.path());
    if (!route_)
        return rejection(404, "no route", {});
    if (auto rejected = authorise())
        return rejected;
    urgency_ = std::min(maxUrgency, organisation_ && organisation_->priority_ ? *organisation_->priority_ : route_->priority_);
    shape_ = shapeOf();
    eventSplitter_ = EventSplitter(parseNumber(request_.field(context_.names_.lastEvent_)));
    deadline_ = request_.receivedAt_ + timeLimitOf(*route_, request_.field(context_.names_.deadline_));
    return takeQuota();
}

milliseconds RequestForwarder::timeLeft() const
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(deadline_ - steadyNow()));
}

void RequestForwarder::armTimer()
{
    timer_.expires_at(std::min({ deadline_, waitDeadline_, pathCheckAt_ }));
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& code) {
        if (!code)
            self->onTimer();
    });
}

void RequestForwarder::onTimer()
{
    if (isFinished_)
        return;
    SteadyTime now = steadyNow();
    if (now >= deadline_)
        return stop(StopReason::DeadlineExceeded);
    if (now >= waitDeadline_)
        checkSilence(now);
    if (now >= pathCheckAt_)
        checkPaths(now);
    armTimer();
}

/// Gives up an attempt that was silent for too long, if it can be replaced.
void RequestForwarder::checkSilence(SteadyTime now)
{
    // Bytes that wait to be read, because the event loop or the caller is slow, are no silence.
    bool hasInput = isAttemptSent_ && currentConnection_ && !currentConnection_->isReceiveBufferEmpty();
    bool mayGiveUp = !isAttemptSent_ || (!hasInput && reserveReplacement());
    waitDeadline_ = mayGiveUp ? SteadyTime::max() : now + replacementCheckPeriod;
    if (mayGiveUp)
        stop(StopReason::WaitLimitExceeded);
}

/// Gives up an attempt whose paths were lost after it was sent, if it can be replaced: its
/// connection may hang.
void RequestForwarder::checkPaths(SteadyTime now)
{
    bool isLost = context_.paths_.lossCount(shape_.service_) != lossCount_;
    bool isReplaced = isLost && reserveReplacement();
    pathCheckAt_ = isReplaced ? SteadyTime::max() : now + pathCheckPeriod;
    if (isReplaced)
        stop(StopReason::WaitLimitExceeded);
}

bool RequestForwarder::reserveReplacement()
{
    SteadyTime now = steadyNow();
    if (replacement_)
        return true;
    if (!route_->mayRepeat() || sendCount_ >= route_->maxAttempts_ || timeLeft() <= milliseconds(0) || caller_->isDisconnected())
        return false;
    // A request that may have crashed its server is not sent again before that is known.
    if (!context_.quarantine_.isEmpty() && context_.quarantine_.isSuspected(attributes()))
        return false;
    if (!context_.retries_.allowsRetry(shape_.service_, now))
        return false;
    // While the paths to all servers of the service are lost, a peer opens the connection.
    bool isLost = context_.paths_.isLost(shape_.service_);
    if (isLost && !context_.hooks_.hasPeerReaching_(shape_.service_))
        return false;
    RequestShape shape = shape_;
    shape.needsRoom_ = !isLost;
    auto choice = chooseBackend(shape, RolloutTracker::SendKind::Subsequent);
    if (!choice)
        return false;
    if (!context_.retries_.tryRetry(shape_.service_, now)) {
        context_.backends_.withdraw(*choice);
        return false;
    }
    shape_.version_ = shape.version_;
    replacement_ = std::move(choice);
    return true;
}

void RequestForwarder::dropReplacement()
{
    if (auto choice = std::exchange(replacement_, std::nullopt))
        context_.backends_.withdraw(*choice);
}

void RequestForwarder::stop(StopReason reason)
{
    stopReason_ = reason;
    if (onStop_)
        onStop_();
    if (currentConnection_)
        currentConnection_->abort();
    // A caller that reads slowly must not prolong a request beyond its deadline.
    if (reason == StopReason::DeadlineExceeded && hasStartedAnswer_)
        caller_->abort();
}

bool RequestForwarder::endByNode()
{
    if (hasStartedAnswer_)
        return isWritingAnswer_;
    stop(StopReason::NodeStopping);
    return true;
}

bool RequestForwarder::isStoppedForGood() const
{
    return stopReason_ == StopReason::CallerDisconnected || stopReason_ == StopReason::DeadlineExceeded || stopReason_ == StopReason::NodeStopping;
}

bool RequestForwarder::mayRetry(SendOutcome end)
{
    if (isStoppedForGood() || caller_->isAbortedByNode() || timeLeft() <= milliseconds(0))
        return false;
    if (end == SendOutcome::NoPath && isRejectedByPeers_)
        return false;
    if (end == SendOutcome::Unreachable || end == SendOutcome::NoConnection || end == SendOutcome::NotAccepting || end == SendOutcome::NoPath)
        return ++unsentAttempts_ < maxUnsentAttempts;
    // A server that refuses what another one may have run has not run it.
    bool isRefusedRest = end == SendOutcome::NotRun && mustGoOn();
    if (isRefusedRest && ++unsentAttempts_ >= maxUnsentAttempts)
        return false;
    if (!isRefusedRest && sendCount_ >= route_->maxAttempts_)
        return false;
    if (end != SendOutcome::NotRun && !route_->mayRepeat())
        return false;
    // The request may have crashed this backend server as well, which is not known yet.
    if (end == SendOutcome::Lost && shape_.isSuspect_)
        return false;
    return context_.retries_.tryRetry(shape_.service_, steadyNow());
}

std::optional<RequestForwarder::HeldAnswer> RequestForwarder::rejectLongWait(const BackendChoice& choice)
{
    AdmissionView view { shape_.isForEngine_ && route_->isStream_, sendCount_ || eventSplitter_.last(), choice.queueWait_, route_->maxQueueWait_, isDeferrable(), timeLeft(), uniformDraw() };
    auto retryAfter = retryAfterIfRejected(view, context_.settings_.admission_);
    if (!retryAfter)
        return std::nullopt;
    capacityRefusal_ = CapacityRefusal { choice.queueWait_, admissionBound(view, context_.settings_.admission_) };
    milliseconds told = delayUntilEngines(choice.uncachedTokens_, *retryAfter);
    return rejection(503, "engines are busy for " + std::to_string(choice.queueWait_.count()) + " ms", told);
}

/// Returns the retry delay of a request that is refused because engines are lacking or busy, which is
/// \p retryAfter unless its caller can wait for engines that boot. Completes
/// `capacityRefusal_`.
milliseconds RequestForwarder::delayUntilEngines(TokenCount tokens, milliseconds retryAfter)
{
    SteadyTime now = steadyNow();
    EngineForecast& forecast = context_.engineForecast_;
    forecast.noteRefused(shape_.service_, tokens.value_);
    capacityRefusal_->expected_ = forecast.expected(shape_.service_, context_.nodes_, now);
    capacityRefusal_->retryAfter_ = retryAfter;
    if (!capacityRefusal_->expected_)
        return retryAfter;
    ReturnView view { retryAfter, isDeferrable(), route_->objective_, timeLeft(), uniformDraw() };
    if (auto delay = returnWithEngines(*capacityRefusal_->expected_, view, context_.settings_.admission_)) {
        context_.metrics_.add(Counter::RefusedUntilEngines);
        capacityRefusal_->retryAfter_ = *delay;
    }
    return capacityRefusal_->retryAfter_;
}

asio::awaitable<void> RequestForwarder::tryBackends()
{
    while (!caller_->isAbortedByNode()) {
        if (auto rejected = rejectQuarantined()) {
            if (!heldAnswer_)
                heldAnswer_ = std::move(rejected);
            break;
        }
        auto choice = takeMoveTarget();
        if (choice)
            dropReplacement();
        else
            choice = std::exchange(replacement_, std::nullopt);
        if (!choice)
            choice = chooseBackend(shape_, sendCount_ ? RolloutTracker::SendKind::Subsequent : RolloutTracker::SendKind::First);
        if (!choice) {
            bool mayTryAgain = co_await waitForServer();
            if (mayTryAgain)
                continue;
            context_.backends_.noteNoBackend(shape_);
            hasNoBackend_ = true;
            break;
        }
        if (auto rejected = rejectLongWait(*choice)) {
            context_.backends_.noteRejected(*choice);
            context_.metrics_.add(Counter::RequestsRefused);
            heldAnswer_ = std::move(rejected);
            logRejection(*heldAnswer_);
            break;
        }
        context_.backends_.noteAdmitted(*choice);
        Attempt attempt;
        attempt.choice_ = std::move(*choice);
        attempt.resumeFrom_ = std::exchange(resumeFrom_, {});
        attempt.startedAt_ = steadyNow();
        excludedBackends_.insert(attempt.choice_.backend_.id_);
        stopReason_ = StopReason::None;
        SendOutcome end = co_await send(attempt);
        finishAttempt(attempt, end);
        isDelivered_ = end == SendOutcome::Delivered;
        if (isDelivered_ || caller_->isDisconnected())
            co_return;
        bool isStopped = end == SendOutcome::Moved;
        if (isStopped && move_->target_)
            continue;
        if (end == SendOutcome::Lost || end == SendOutcome::Held)
            mayHaveRun_ = true;
        // The retry of a replacement was taken when the attempt was given up, that of a move when it began.
        bool isReplaced = replacement_ && end == SendOutcome::Lost;
        if (!isStopped && !isReplaced && !mayRetry(end))
            break;
        context_.metrics_.add(Counter::Retries);
        logger().info(LogLine("Retrying.").add("id", attemptId_).add("after", attempt.choice_.backend_.id_.value_).add("sends", sendCount_).add("why", attempt.detail_).add("left_ms", timeLeft().count()));
        // No pause is needed: the previous engine detects its closed connection long before
        // the next one starts, because the close is sent before the retry, and its
        // network path is no longer than that of the retry.
    }
}

asio::awaitable<void> RequestForwarder::serve()
{
    co_await findSoftware();
    if (!heldAnswer_ && !isStoppedForGood() && !caller_->isDisconnected())
        co_await tryBackends();
    if (isDelivered_ || caller_->isDisconnected())
        co_return;
    if (hasStartedAnswer_) {
        if (isUnserved())
            context_.metrics_.add(Counter::StreamsUnserved);
        caller_->abort();
        co_return;
    }
    if (!heldAnswer_) {
        heldAnswer_ = finalFailure();
        logRejection(*heldAnswer_);
    }
    (void)co_await deliver(std::move(*heldAnswer_));
}

asio::awaitable<bool> RequestForwarder::run()
{
    auto self = shared_from_this();
    context_.metrics_.add(Counter::RequestsAccepted);
    if (auto rejected = admit()) {
        logRejection(*rejected);
        bool isWritten = co_await deliver(std::move(*rejected));
        co_return isWritten&& keepsConnection_;
    }
    context_.retries_.countRequest(shape_.service_, steadyNow());
    waitDeadline_ = SteadyTime::max();
    armTimer();
    caller_->setDisconnectHook([weak = weak_from_this()] {
        if (auto forwarder = weak.lock())
            forwarder->stop(StopReason::CallerDisconnected);
    });
    caller_->setEndHook([weak = weak_from_this()] {
        auto forwarder = weak.lock();
        return forwarder && forwarder->endByNode();
    });
    co_await serve();
    caller_->setDisconnectHook(nullptr);
    caller_->setEndHook(nullptr);
    noteEndedEarly();
    isFinished_ = true;
    cancelMove();
    dropReplacement();
    timer_.cancel();
    if (!hasCountedStart_ && hasQuota_ && !mayHaveRun_)
        context_.quotas_.giveBack(organisation_->name_, quotaCost_);
    co_return keepsConnection_ && !caller_->isDisconnected();
}

void RequestForwarder::finishAttempt(Attempt& attempt, SendOutcome end)
{
    BackendOutcome outcome = BackendOutcome::Served;
    switch (end) {
    case SendOutcome::Delivered:
        outcome = BackendOutcome::Served;
        break;
    case SendOutcome::Held:
        outcome = BackendOutcome::Failed;
        break;
    case SendOutcome::NotRun:
        outcome = attempt.detail_ == "wrong_instance" ? BackendOutcome::WrongInstance : BackendOutcome::Full;
        break;
    case SendOutcome::Unreachable:
        outcome = BackendOutcome::Unreachable;
        break;
    case SendOutcome::Lost:
        // The peer or the link to it may have failed instead of the server.
        outcome = attempt.isRelayed_ ? BackendOutcome::Abandoned : BackendOutcome::Broken;
        break;
    case SendOutcome::Stopped:
    case SendOutcome::NotAccepting:
    case SendOutcome::NoPath:
    case SendOutcome::Moved:
        outcome = BackendOutcome::Abandoned;
        break;
    case SendOutcome::NoConnection:
        outcome = BackendOutcome::Full;
        break;
    }
    currentConnection_ = nullptr;
    SteadyTime now = steadyNow();
    bool hasEndedByNode = stopReason_ == StopReason::WaitLimitExceeded || caller_->isAbortedByNode();
    hasEndedAttempt_ |= attempt.sentAt_ != SteadyTime {} && !attempt.isCutOff_ && end != SendOutcome::Delivered && end != SendOutcome::Held && hasEndedByNode;
    auto streamed = attempt.hasFirstByte_ ? std::chrono::duration_cast<milliseconds>(now - attempt.firstByteAt_) : milliseconds(0);
    context_.backends_.end(attempt.choice_.backend_.id_, { outcome, attempt.choice_.uncachedTokens_, attempt.hasFirstByte_, streamed }, now);
    auto took = std::chrono::duration_cast<milliseconds>(now - request_.receivedAt_);
    context_.metrics_.observe(Histogram::CompleteAnswer, now - request_.receivedAt_);
    noteVersionOutcome(attempt, outcome);
    logAttempt(attempt, outcome, took);
    noteEvidence(attempt, end);
    lastDetail_ = attempt.detail_;
}

void RequestForwarder::noteVersionOutcome(const Attempt& attempt, BackendOutcome outcome)
{
    // Failures on lost paths say nothing of a version.
    bool isPathFailure = outcome == BackendOutcome::Unreachable && context_.paths_.isLost(shape_.service_);
    if (context_.rollouts_.isEmpty() || isPathFailure || !attempt.startedAt_.time_since_epoch().count())
        return;
    SteadyTime now = steadyNow();
    AttemptOutcome observed;
    observed.outcome_ = outcome;
    observed.isFailure_ = latestStatus_ >= 500;
    observed.isCutOff_ = attempt.isCutOff_;
    observed.hasFirstByte_ = attempt.hasFirstByte_;
    observed.waitRatio_ = attempt.waitRatio_;
    observed.waited_ = std::chrono::duration_cast<milliseconds>((attempt.hasFirstByte_ ? attempt.firstByteAt_ : now) - attempt.startedAt_);
    observed.estimate_ = attempt.choice_.estimate_;
    std::uint64_t events = eventSplitter_.last().value_or(0) - std::min(eventSplitter_.last().value_or(0), attempt.lastEventBefore_);
    if (attempt.hasFirstByte_ && events > 1)
        observed.eventGapMs_ = std::chrono::duration<double, std::milli>(now - attempt.firstByteAt_).count() / static_cast<double>(events - 1);
    const BackendRecord& backend = attempt.choice_.backend_;
    context_.rollouts_.noteAnswer(shape_.service_, { backend.version_, keyOf(backend.id_), routeKeyOf(route_->name_), observed });
}

void RequestForwarder::logAttempt(const Attempt& attempt, BackendOutcome outcome, milliseconds took)
{
    const BackendChoice& choice = attempt.choice_;
    LogLine line("Attempt ended.");
    line.add("id", attemptId_).add("outcome", toString(outcome)).add("why", attempt.detail_).add("status", latestStatus_).add("attempt", sendCount_);
    line.add("route", route_->name_).add("organisation", organisation_ ? organisation_->name_.value_ : "").add("configuration", static_cast<std::int64_t>(table_->version()));
    line.add("backend", choice.backend_.id_.value_).add("service", shape_.service_.value_).add("version", choice.backend_.version_.value_).add("data_centre", choice.backend_.dataCentre_.value_).add("candidates", static_cast<std::int64_t>(choice.candidateCount_));
    line.add("estimate_ms", choice.estimate_.count()).add("running", static_cast<std::int64_t>(choice.running_)).add("queued_tokens", static_cast<std::int64_t>(choice.queuedTokensAhead_.value_)).add("uncached_tokens", static_cast<std::int64_t>(choice.uncachedTokens_.value_));
    line.add("charged", static_cast<std::int64_t>(quotaCost_)).add("shared_part", shape_.parts_.size() < 2 ? "" : shape_.parts_[shape_.parts_.size() - 2].id_);
    if (route_->isStream_) {
        line.add("after_event", static_cast<std::int64_t>(attempt.lastEventBefore_)).add("last_event", static_cast<std::int64_t>(eventSplitter_.last().value_or(0)));
        line.add("resumes", request_.field(context_.names_.resumes_));
    }
    if (attempt.reportsLeaving_)
        line.add("leaving", true);
    if (attempt.pause_.count())
        line.add("pause_ms", attempt.pause_.count());
    if (attempt.isRelayed_)
        line.add("via", attempt.via_.value_);
    if (!attempt.limit_.empty())
        line.add("limit", attempt.limit_);
    if (attempt.sentAt_ != SteadyTime {})
        line.add("reused", attempt.isReused_).add("answer_id", toString(attempt.answerIdentity_));
    if (attempt.answeredAt_ != SteadyTime {})
        line.add("answer_status", attempt.answerStatus_).add("answered_after_ms", std::chrono::duration_cast<milliseconds>(attempt.answeredAt_ - attempt.sentAt_).count()).add("framing", attempt.framing_);
    if (move_ && move_->stopOrderedAt_ != SteadyTime {})
        line.add("stop_ordered_ms", std::chrono::duration_cast<milliseconds>(steadyNow() - move_->stopOrderedAt_).count()).add("stop", toString(move_->stop_));
    if (attempt.sentAt_ != SteadyTime {})
        line.add("sent_after_ms", std::chrono::duration_cast<milliseconds>(attempt.sentAt_ - request_.receivedAt_).count());
    if (outcome == BackendOutcome::Broken)
        line.add("request", toString(fingerprint())).add("prompt_parts", promptFingerprints());
    line.add("first_byte_ms", firstByteLatency_.count()).add("took_ms", took.count()).add("left_ms", timeLeft().count());
    logger().info(line);
}

void RequestForwarder::logRejection(const HeldAnswer& answer) const
{
    LogLine line("Refused.");
    line.add("id", attemptId_).add("status", answer.status_).add("why", std::string_view(answer.body_).substr(0, answer.body_.find('\n')));
    line.add("target", request_.target_).add("host", request_.field("Host")).add("route", route_ ? route_->name_ : "").add("organisation", organisation_ ? organisation_->name_.value_ : "");
    line.add("configuration", table_ ? static_cast<std::int64_t>(table_->version()) : 0).add("peer", caller_->peer());
    if (quotaRefusal_)
        addQuotaInputs(line, *quotaRefusal_);
    if (capacityRefusal_)
        addCapacityInputs(line);
    logger().info(line);
}

/// Adds what a refusal because of lacking or busy engines follows from.
void RequestForwarder::addCapacityInputs(LogLine& line) const
{
    BackendTable::Occupancy occupancy = context_.backends_.occupancy(shape_.service_);
    line.add("class", isDeferrable() ? "deferrable" : "normal").add("engines", static_cast<std::int64_t>(occupancy.backends_)).add("engines_loaded_by_peers", static_cast<std::int64_t>(occupancy.loadedByPeers_));
    if (occupancy.peersReportedAt_)
        line.add("peers_age_ms", std::chrono::duration_cast<milliseconds>(steadyNow() - *occupancy.peersReportedAt_).count());
    if (capacityRefusal_->queueWait_)
        line.add("wait_ms", capacityRefusal_->queueWait_->count()).add("bound_ms", capacityRefusal_->maxQueueWait_.count());
    if (capacityRefusal_->expected_)
        line.add("engines_in_ms", capacityRefusal_->expected_->until_.count());
    line.add("retry_after_ms", capacityRefusal_->retryAfter_.count());
}

void RequestForwarder::noteEndedEarly() const
{
    bool hasCallerLeft = stopReason_ == StopReason::CallerDisconnected && !caller_->isAbortedByNode();
    if (!hasEndedAttempt_ || isDelivered_ || hasCallerLeft || timeLeft() <= milliseconds(0))
        return;
    context_.metrics_.add(Counter::AnswersEndedEarly);
    LogLine line("An answer is ended while its server is at work.");
    line.add("id", attemptId_).add("why", caller_->isAbortedByNode() ? "the grace time is over" : lastDetail_).add("route", route_->name_).add("sends", sendCount_);
    line.add("last_event", static_cast<std::int64_t>(eventSplitter_.last().value_or(0))).add("stopping", context_.isStopping_ ? "1" : "0").add("left_ms", timeLeft().count());
    logger().warn(line);
}

RequestForwarder::HeldAnswer RequestForwarder::finalFailure()
{
    if (!mayHaveRun_ && stopReason_ == StopReason::NodeStopping)
        return rejection(503, "this node is stopping", stoppingRetryAfter);
    // 503 promises that the request has not run and never will run.
    if (!mayHaveRun_ && isUnserved())
        return rejectUnserved();
    if (!mayHaveRun_ && stopReason_ != StopReason::DeadlineExceeded) {
        auto wait = context_.backends_.timeUntilUsable(shape_.service_, shape_.software_, steadyNow());
        std::string reason = wait ? "all backend servers asked for a pause or for fewer requests" : "no backend server";
        milliseconds retryAfter = std::max(fullRetryAfter, wait.value_or(fullRetryAfter));
        // Servers that asked for a pause are there, so that no others are awaited.
        if (hasNoBackend_ && !wait) {
            capacityRefusal_ = CapacityRefusal {};
            retryAfter = delayUntilEngines(shape_.promptTokens_, retryAfter);
        }
        return rejection(503, lastDetail_.empty() ? reason : lastDetail_, retryAfter);
    }
    int status = stopReason_ == StopReason::DeadlineExceeded ? 504 : 502;
    return rejection(status, lastDetail_.empty() ? "the backend server broke off" : lastDetail_, {});
}

} // namespace pistachioloom
