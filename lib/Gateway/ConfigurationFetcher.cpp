//===- lib/Gateway/ConfigurationFetcher.cpp - newer configurations --------===//
///
/// \file
/// See ConfigurationFetcher.h. ConfigurationTransfer.cpp is the sending side.
//===----------------------------------------------------------------------===//
#include "ConfigurationFetcher.h"

#include "TransferLimiter.h"
#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    // How often a node that is behind decides anew.
    constexpr milliseconds decisionPeriod { 50 };
    // Processing a configuration of 780 KB occupies the thread of the peer links for
    // tenths of a second on a small VM. This pause lets the acknowledgement leave before
    // the processing starts.
    constexpr milliseconds acknowledgementDelay { 2 };
    // A node that has known of a newer version for this time logs it, and again after a
    // pause that doubles.
    constexpr milliseconds behindWarningTime { 1000 };
    constexpr milliseconds maxWarningPause { 60000 };
    // Pause after a read of the platform that returned no newer configuration. The version
    // that a node reported may not be stored there any more.
    constexpr milliseconds fruitlessReadPause { 5000 };

    std::string outcomeText(const Result<wire::Frame>& reply)
    {
        if (!reply)
            return std::string(toString(reply.error().code_)) + " at " + reply.error().step_;
        if (!reply.value().has_configuration_update())
            return "sent an unexpected frame";
        return reply.value().configuration_update().compressed_source().empty() ? "sent nothing" : "sent";
    }

    FetchOutcome outcomeOf(const Result<wire::Frame>& reply)
    {
        if (!reply)
            return reply.error().code_ == Errc::Overloaded ? FetchOutcome::Busy : FetchOutcome::Failed;
        if (!reply.value().has_configuration_update())
            return FetchOutcome::Failed;
        return reply.value().configuration_update().compressed_source().empty() ? FetchOutcome::NothingNewer : FetchOutcome::Received;
    }

    milliseconds elapsedSince(SteadyTime startedAt)
    {
        return std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
    }

} // namespace

ConfigurationFetcher::ConfigurationFetcher(asio::io_context& io, GatewayContext& context, PeerReports& reports, PeerPool& peers, BackgroundExecutor& background, SourceHealth& health, double phase)
    : io_(io)
    , context_(context)
    , peerReports_(reports)
    , peers_(peers)
    , background_(background)
    , sources_(context.settings_.dataCentre_, phase, health)
    , platformBackoff_(context.settings_.feed_.retryPause_)
{
}

void ConfigurationFetcher::start()
{
    asio::co_spawn(io_, run(), asio::detached);
}

std::uint64_t ConfigurationFetcher::ownVersion() const
{
    auto table = context_.table();
    return std::max(applyingVersion_, table ? table->version() : 0);
}

std::vector<KnownPeer> ConfigurationFetcher::newerPeers() const
{
    std::uint64_t own = ownVersion();
    std::vector<KnownPeer> newer = peerReports_.live();
    std::erase_if(newer, [&](const KnownPeer& known) { return known.second.configurationVersion_ <= own; });
    return newer;
}

asio::awaitable<void> ConfigurationFetcher::run()
{
    for (;;) {
        co_await sleepFor(decisionPeriod);
        if (context_.configurationProgress_.newestKnown() <= ownVersion()) {
            abandonAttempts();
            sources_.noteCaughtUp();
            warningPause_ = {};
            continue;
        }
        warnIfBehind();
        // What was read from the platform is probably the version that is missing.
        if (!platformReadsApplied_)
            startAttempts();
    }
}

void ConfigurationFetcher::startAttempts()
{
    SteadyTime now = steadyNow();
    for (const auto& attempt : attempts_) {
        if (attempt->stream_)
            sources_.noteProgress(attempt->vm_, attempt->stream_->bytesReceived().value_);
    }
    std::vector<KnownPeer> newer = newerPeers();
    std::vector<ConfigurationSource> candidates;
    for (const auto& [vm, peer] : newer)
        candidates.push_back({ vm, peer.dataCentre_ });
    FetchDecision decision = sources_.next(candidates, context_.configurationProgress_.behindFor(now), peerReports_.nodesKnown(), now, randomBits());
    for (const auto& [vm, peer] : newer) {
        if (decision.source_ != vm)
            continue;
        auto attempt = std::make_shared<Attempt>(Attempt { vm, peer, nullptr });
        attempts_.push_back(attempt);
        sources_.noteStarted({ vm, peer.dataCentre_ }, now);
        asio::co_spawn(io_, fetch(attempt), asio::detached);
    }
    if (!decision.readsPlatform_ || isPlatformUnavailable())
        return;
    sources_.notePlatformReadStarted();
    asio::co_spawn(io_, readPlatform(), asio::detached);
}

bool ConfigurationFetcher::isPlatformUnavailable() const
{
    std::vector<ReaderState> states;
    for (const auto& [vm, peer] : peerReports_.live())
        states.push_back({ vm, peer.dataCentre_, peer.isStopping_, peer.isPlatformUnavailable_, peer.isReader_, peer.cores_ });
    return haveAllReadersFailed(states);
}

asio::awaitable<Result<wire::Frame>> ConfigurationFetcher::request(std::shared_ptr<Attempt> attempt)
{
    wire::Frame frame;
    frame.mutable_configuration_fetch()->set_known_version(ownVersion());
    frame.mutable_configuration_fetch()->set_wants_configuration(true);
    auto opened = co_await peers_.open(attempt->peer_.peerEndpoint_, frame, peerTimeout);
    if (!opened)
        co_return opened.error();
    auto stream = opened.value();
    attempt->stream_ = stream;
    if (attempt->isAbandoned_)
        stream->cancel();
    auto reply = co_await stream->receiveWithin(peerTimeout, transferTimeout);
    // The peer may start another transfer once it has the acknowledgement.
    wire::Frame acknowledgement;
    acknowledgement.mutable_ack();
    if (reply)
        (void)co_await stream->send(acknowledgement);
    stream->finish();
    co_await sleepFor(acknowledgementDelay);
    if (reply && reply.value().has_failure())
        co_return fromWire(reply.value().failure());
    co_return reply;
}

asio::awaitable<void> ConfigurationFetcher::fetch(std::shared_ptr<Attempt> attempt)
{
    SteadyTime startedAt = steadyNow();
    auto reply = co_await request(attempt);
    noteEnded(*attempt, reply, startedAt);
    std::erase(attempts_, attempt);
    if (outcomeOf(reply) != FetchOutcome::Received)
        co_return;
    const wire::ConfigurationUpdate& update = reply.value().configuration_update();
    if (update.version() <= ownVersion())
        co_return;
    std::string bytes = update.compressed_source();
    co_await applyCompressed(std::move(bytes), update.version(), attempt->vm_);
}

void ConfigurationFetcher::noteEnded(const Attempt& attempt, const Result<wire::Frame>& reply, SteadyTime startedAt)
{
    FetchOutcome outcome = outcomeOf(reply);
    if (outcome == FetchOutcome::Failed && attempt.isAbandoned_)
        outcome = FetchOutcome::Abandoned;
    bool isBusy = outcome == FetchOutcome::Busy;
    sources_.noteEnded(attempt.vm_, outcome, isBusy ? reply.error().retryAfter_ : busyRetryDelay, steadyNow());
    context_.configurationProgress_.noteAttempt(attempt.vm_.value_, outcomeText(reply), elapsedSince(startedAt));
    // A busy peer logs the rejection itself.
    if (outcome == FetchOutcome::Failed)
        logger_.warn("Peer " + attempt.vm_.value_ + " sent no configuration: " + (reply ? "unexpected frame" : describe(reply.error())));
}

asio::awaitable<void> ConfigurationFetcher::readPlatform()
{
    SteadyTime startedAt = steadyNow();
    std::uint64_t before = ownVersion();
    std::optional<LogOffset> newest;
    auto read = co_await context_.platform_.readConfiguration_(newest, milliseconds(0));
    context_.configurationProgress_.noteAttempt(platformSource, read ? "was read" : std::string(toString(read.error().code_)) + " at " + read.error().step_, elapsedSince(startedAt));
    milliseconds pause = read ? milliseconds(0) : platformBackoff_.nextPause(randomBits());
    if (read) {
        platformBackoff_.noteSuccess();
        std::vector<std::string> sources = std::move(read.value().sources_);
        co_await applySources(std::move(sources));
        pause = ownVersion() > before ? milliseconds(0) : fruitlessReadPause;
    } else
        logger_.warn("The configuration that peers report cannot be read from the platform: " + describe(read.error()));
    sources_.notePlatformReadEnded(pause, peerReports_.nodesKnown(), steadyNow());
}

asio::awaitable<void> ConfigurationFetcher::applyCompressed(std::string bytes, std::uint64_t version, VmId vm)
{
    applyingVersion_ = version;
    abandonAttempts();
    std::function<void()> work = [&context = context_, bytes = std::move(bytes), vm] { context.applyCompressed(bytes, vm.value_); };
    co_await background_.run(std::move(work));
    if (applyingVersion_ == version)
        applyingVersion_ = 0;
}

asio::awaitable<void> ConfigurationFetcher::applySources(std::vector<std::string> sources)
{
    ++platformReadsApplied_;
    std::function<void()> work = [&context = context_, sources = std::move(sources)] { context.applyConfiguration(sources, platformSource); };
    co_await background_.run(std::move(work));
    --platformReadsApplied_;
}

void ConfigurationFetcher::abandonAttempts()
{
    for (const auto& attempt : attempts_) {
        attempt->isAbandoned_ = true;
        if (attempt->stream_)
            attempt->stream_->cancel();
    }
}

void ConfigurationFetcher::warnIfBehind()
{
    SteadyTime now = steadyNow();
    ConfigurationProgress::Summary pending = context_.configurationProgress_.pending(now);
    if (pending.reportedFor_.value_or(milliseconds(0)) < behindWarningTime || now - warnedAt_ < warningPause_)
        return;
    warnedAt_ = now;
    warningPause_ = std::clamp(2 * warningPause_, behindWarningTime, maxWarningPause);
    auto table = context_.table();
    LogLine line("A newer configuration is not in force yet.");
    line.add("configuration", table ? static_cast<std::int64_t>(table->version()) : 0).add("known", static_cast<std::int64_t>(context_.configurationProgress_.newestKnown()));
    line.add("reported_by", pending.reportedBy_.value_).add("reported_for_ms", pending.reportedFor_->count()).add("attempts", static_cast<std::int64_t>(pending.attempts_)).add("attempts_made", pending.attemptsText_);
    logger_.warn(line);
}

} // namespace pistachioloom
