//===- lib/Forward/StreamVersion.cpp - keeps streams at their software ----===//
///
/// \file
/// What different software versions write into one stream does not fit together. From its
/// first event on a stream goes on only at the software that sent this event, within one
/// answer and in later attempts of its caller, which name the attempt that began it.
//===----------------------------------------------------------------------===//
#include "RequestForwarder.h"

namespace pistachioloom {

namespace {

    // The nodes that know the software may be unreachable from here, and reachable from the
    // node that the caller tries next.
    constexpr milliseconds unknownSoftwareRetryAfter { 500 };
    // Interval at which a stream that has begun tries again to find a server that takes it.
    constexpr milliseconds serverCheckPeriod { 150 };

    const Logger& logger()
    {
        static const Logger logger("streams");
        return logger;
    }

} // namespace

OrganisationId RequestForwarder::organisationName() const
{
    return organisation_ ? organisation_->name_ : OrganisationId {};
}

/// Finds out which software began the stream that the request resumes, if it resumes one. Sets
/// heldAnswer_ if the stream cannot go on here.
asio::awaitable<void> RequestForwarder::findSoftware()
{
    std::string begin(request_.field(context_.names_.resumes_));
    if (!route_->isStream_ || (!eventSplitter_.last() && begin.empty()))
        co_return;
    auto found = co_await resultUntilStopped(findOrigin(std::move(begin)));
    if (!found && isStoppedForGood())
        co_return;
    heldAnswer_ = applyOrigin(found.value_or(FoundOrigin { std::nullopt, "unknown" }));
    if (heldAnswer_)
        logRejection(*heldAnswer_);
}

asio::awaitable<FoundOrigin> RequestForwarder::findOrigin(std::string begin)
{
    auto self = shared_from_this();
    if (!begin.empty()) {
        FoundOrigin found = co_await context_.hooks_.findOrigin_(streamKeyOf(organisationName(), begin));
        if (found.origin_)
            co_return found;
    }
    co_return co_await soleOrigin();
}

/// Restricts the request to the software that \p found names. \returns the rejection of a
/// stream that cannot go on here.
std::optional<RequestForwarder::HeldAnswer> RequestForwarder::applyOrigin(const FoundOrigin& found)
{
    bool isKnown = found.origin_ && !found.origin_->isAmbiguous_;
    LogLine line(isKnown ? "Stream is resumed." : "Stream is not resumed, since the software that began it is unknown.");
    line.add("id", attemptId_).add("resumes", request_.field(context_.names_.resumes_)).add("source", found.source_).add("after_event", static_cast<std::int64_t>(eventSplitter_.last().value_or(0)));
    line.add("took_ms", std::chrono::duration_cast<milliseconds>(steadyNow() - request_.receivedAt_).count());
    logger().info(line);
    context_.metrics_.add(isKnown ? Counter::StreamsResumed : Counter::ResumptionsUnknown);
    if (!isKnown)
        return rejection(503, "the software that began the stream is unknown", unknownSoftwareRetryAfter);
    shape_.software_ = found.origin_->software_;
    auto service = context_.backends_.serviceServing(*shape_.software_);
    bool isRouted = service && std::any_of(route_->split_.begin(), route_->split_.end(), [&](const SplitShare& share) { return share.service_ == *service && share.weight_ > 0; });
    if (!isRouted)
        return rejectUnserved();
    shape_.service_ = *service;
    const ServicePolicy* policy = table_->findService(*service);
    shape_.isForEngine_ = policy && policy->engine_;
    return std::nullopt;
}

/// The only software that servers of the route's service have had for as long as a stream that may still
/// be resumed may have run, as far as this node knows.
std::optional<SoftwareKey> RequestForwarder::soleSoftware() const
{
    SteadyTime now = steadyNow();
    auto currentSince = context_.hooks_.registryCurrentSince_();
    SteadyTime since = now - route_->timeout_;
    if (route_->split_.size() != 1 || !currentSince || *currentSince > since)
        return std::nullopt;
    return context_.backends_.soleSoftware(route_->split_.front().service_, since, now);
}

/// The origin of any stream of the route that may still be resumed, if all servers have the same software.
/// The stream may have begun at a server that this node does not know yet, since it was cut off or stood
/// still; a list of servers that is newer than the resumption contains that server.
asio::awaitable<FoundOrigin> RequestForwarder::soleOrigin()
{
    FoundOrigin unknown { std::nullopt, "unknown" };
    if (!soleSoftware())
        co_return unknown;
    bool isConfirmed = co_await context_.hooks_.confirmRegistry_(request_.receivedAt_);
    auto software = soleSoftware();
    if (!isConfirmed || !software)
        co_return unknown;
    co_return FoundOrigin { StreamOrigin { *software, false }, "only software" };
}

RequestForwarder::HeldAnswer RequestForwarder::rejectUnserved() const
{
    context_.metrics_.add(Counter::StreamsUnserved);
    // Without a Retry-After: the caller has to begin anew.
    return rejection(503, "no backend server with the software that began the stream is left", {});
}

/// Whether the stream has begun at a software that no server of its service has any more.
bool RequestForwarder::isUnserved() const
{
    if (!shape_.software_)
        return false;
    bool hasEnded = context_.rollouts_.continuationAt(shape_.service_, *shape_.software_, steadyNow()) == RolloutTracker::Continuation::Ended;
    return hasEnded || !context_.backends_.serviceServing(*shape_.software_);
}

/// Chooses a backend server for the next attempt of a request, or for the move of a stream.
std::optional<BackendChoice> RequestForwarder::chooseBackend(RequestShape& shape, RolloutTracker::SendKind kind)
{
    SteadyTime now = steadyNow();
    // A stream that has begun may use all servers with its software, also during a trial.
    shape.version_ = shape.software_ ? std::nullopt : context_.rollouts_.assign(shape.service_, routeKeyOf(route_->name_), kind, now);
    bool isAllowed = !shape.software_ || context_.rollouts_.continuationAt(shape.service_, *shape.software_, now) == RolloutTracker::Continuation::Allowed;
    return isAllowed ? context_.backends_.choose(shape, excludedBackends_, now) : std::nullopt;
}

/// Called with each group of events before the caller gets them.
void RequestForwarder::noteStreamBegun(const Attempt& attempt)
{
    if (std::exchange(hasToldOrigin_, true))
        return;
    const BackendRecord& backend = attempt.choice_.backend_;
    if (!shape_.software_)
        shape_.software_ = softwareKeyOf(backend.service_, backend.version_);
    StreamOrigin origin { *shape_.software_, false };
    OriginStorage storage = route_->mayRepeat() ? OriginStorage::NodesAndLog : OriginStorage::Nodes;
    // A resumed stream is told anew under the name of its first attempt too, since nodes that
    // hold it may have stopped.
    for (const std::string& id : { attemptId_, std::string(request_.field(context_.names_.resumes_)) }) {
        if (!id.empty())
            context_.hooks_.tellOrigin_(streamKeyOf(organisationName(), id), origin, storage);
    }
}

/// Waits until the servers with the stream's software may take it, which were full, paused, or
/// broke off. \returns false if there are none, or the caller has waited for too long.
asio::awaitable<bool> RequestForwarder::waitForServer()
{
    if (!mustGoOn() || isStoppedForGood() || isUnserved() || timeLeft() <= serverCheckPeriod || waitedForServer_ >= context_.settings_.streamStallTimeout_)
        co_return false;
    waitedForServer_ += serverCheckPeriod;
    SteadyTimer timer(pool_.executor(), serverCheckPeriod);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    excludedBackends_.clear();
    co_return !caller_->isDisconnected();
}

} // namespace pistachioloom
