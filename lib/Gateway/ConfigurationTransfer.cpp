//===- lib/Gateway/ConfigurationTransfer.cpp - configurations from peers --===//
///
/// \file
/// Implements the part of PlatformFeed that fetches a newer configuration from a peer,
/// and that sends one to peers. The part that reads from the platform, and the registry,
/// are in PlatformFeed.cpp.
//===----------------------------------------------------------------------===//
#include "PlatformFeed.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    // Assumed duration of a transfer to a peer of an older version, which does not
    // acknowledge a configuration: two transfers of 100 KB take 160 ms at 10 Mbit/s.
    constexpr milliseconds assumedTransferTime { 200 };
    // Processing a configuration of 780 KB occupies the thread of the peer links for
    // tenths of a second on a small VM. This pause lets the acknowledgement leave before
    // the processing starts.
    constexpr milliseconds acknowledgementDelay { 2 };
    // A node that has known of a newer version for this time logs it, and again after each
    // behindLogPeriod.
    constexpr milliseconds behindWarningTime { 1000 };
    constexpr milliseconds behindLogPeriod { 1000 };

} // namespace

std::optional<KnownPeer> PlatformFeed::peerWithNewerConfiguration() const
{
    auto table = context_.table();
    std::uint64_t own = table ? table->version() : 0;
    std::vector<KnownPeer> local;
    std::vector<KnownPeer> remote;
    for (const KnownPeer& known : peerReports_.live()) {
        if (known.second.configurationVersion_ > own && !busyPeers_.isBusy(known.first, steadyNow()))
            (known.second.dataCentre_ == context_.settings_.dataCentre_ ? local : remote).push_back(known);
    }
    const std::vector<KnownPeer>& candidates = local.empty() ? remote : local;
    if (candidates.empty())
        return std::nullopt;
    return candidates[randomBits() % candidates.size()];
}

asio::awaitable<void> PlatformFeed::fetchConfigurationFromPeers()
{
    for (;;) {
        co_await sleepFor(peerCheckPeriod);
        warnIfBehind();
        auto source = peerWithNewerConfiguration();
        if (source)
            co_await fetchConfiguration(source->first, source->second);
    }
}

asio::awaitable<Result<wire::Frame>> PlatformFeed::requestConfiguration(Peer peer, wire::Frame request)
{
    auto opened = co_await peers_.open(peer.peerEndpoint_, request, peerTimeout);
    if (!opened)
        co_return opened.error();
    auto stream = opened.value();
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

asio::awaitable<void> PlatformFeed::fetchConfiguration(VmId vm, Peer peer)
{
    auto table = context_.table();
    wire::Frame request;
    request.mutable_configuration_fetch()->set_known_version(table ? table->version() : 0);
    request.mutable_configuration_fetch()->set_wants_configuration(true);
    SteadyTime startedAt = steadyNow();
    auto reply = co_await requestConfiguration(peer, request);
    noteAttempt(vm, reply, startedAt);
    if (reply && reply.value().has_configuration_update()) {
        std::string bytes = reply.value().configuration_update().compressed_source();
        co_await applyConfiguration(std::move(bytes), vm);
        co_return;
    }
    bool isBusy = !reply && reply.error().code_ == Errc::Overloaded;
    busyPeers_.markBusy(vm, steadyNow() + (isBusy ? reply.error().retryAfter_ : busyRetryDelay));
    // A busy peer logs the rejection itself.
    if (!isBusy)
        logger_.warn("Peer " + vm.value_ + " sent no configuration: " + (reply ? "unexpected frame" : describe(reply.error())));
}

void PlatformFeed::noteAttempt(const VmId& vm, const Result<wire::Frame>& reply, SteadyTime startedAt)
{
    std::string outcome = reply ? "sent" : std::string(toString(reply.error().code_)) + " at " + reply.error().step_;
    if (reply && (!reply.value().has_configuration_update() || reply.value().configuration_update().compressed_source().empty()))
        outcome = "sent nothing";
    context_.configurationProgress_.noteAttempt(vm.value_, outcome, std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt));
}

void PlatformFeed::warnIfBehind()
{
    SteadyTime now = steadyNow();
    ConfigurationProgress::Summary pending = context_.configurationProgress_.pending(now);
    if (pending.reportedFor_.value_or(milliseconds(0)) < behindWarningTime || now - behindLoggedAt_ < behindLogPeriod)
        return;
    behindLoggedAt_ = now;
    auto table = context_.table();
    LogLine line("A newer configuration is not in force yet.");
    line.add("configuration", table ? static_cast<std::int64_t>(table->version()) : 0).add("known", static_cast<std::int64_t>(context_.configurationProgress_.newestKnown()));
    line.add("reported_by", pending.reportedBy_.value_).add("reported_for_ms", pending.reportedFor_->count()).add("attempts", static_cast<std::int64_t>(pending.attempts_)).add("attempts_made", pending.attemptsText_);
    logger_.warn(line);
}

asio::awaitable<void> PlatformFeed::applyConfiguration(std::string bytes, VmId vm)
{
    if (bytes.empty())
        co_return;
    std::function<void()> work = [&context = context_, bytes = std::move(bytes), vm] { context.applyCompressed(bytes, vm.value_); };
    co_await background_.run(std::move(work));
}

bool PlatformFeed::hasNewerConfiguration(const wire::ConfigurationFetch& fetch) const
{
    auto table = context_.table();
    return table && fetch.wants_configuration() && table->version() > fetch.known_version();
}

/// Returns a wire::Failure, which nodes of all versions understand.
wire::Frame PlatformFeed::busyAnswer()
{
    SteadyTime now = steadyNow();
    if (transfers_.isBusyLogDue(now))
        logger_.info(LogLine("Configuration requests are rejected while other transfers run.").add("busy_answers", static_cast<std::int64_t>(transfers_.takeBusyAnswerCount(now))).add("under_way", static_cast<std::int64_t>(transfers_.activeTransfers())));
    wire::Frame frame;
    *frame.mutable_failure() = toWire({ Errc::Overloaded, "give configuration", context_.settings_.vm_.value_, "other peers are being given it", Ran::No, busyRetryDelay });
    return frame;
}

asio::awaitable<void> PlatformFeed::serve(std::shared_ptr<PeerStream> stream, wire::Frame request)
{
    if (!hasNewerConfiguration(request.configuration_fetch())) {
        (void)co_await stream->send(answer(request));
        co_return;
    }
    auto transfer = transfers_.begin(steadyNow());
    if (!transfer) {
        (void)co_await stream->send(busyAnswer());
        co_return;
    }
    co_await sendConfiguration(stream, request);
    transfers_.end(*transfer);
}

/// Waits for the acknowledgement of the peer, since the end of send() does not mean that
/// the frame has arrived: the kernel buffers 100 KB immediately, and the link is busy
/// until the peer has received them.
asio::awaitable<void> PlatformFeed::sendConfiguration(std::shared_ptr<PeerStream> stream, wire::Frame request)
{
    SteadyTime startedAt = steadyNow();
    auto activeTransfers = static_cast<std::int64_t>(transfers_.activeTransfers());
    wire::Frame frame = answer(request);
    (void)co_await stream->send(frame);
    auto acknowledged = co_await stream->receiveWithin(transferTimeout);
    bool isOfOlderVersion = !acknowledged && acknowledged.error().code_ == Errc::NotFound;
    if (isOfOlderVersion)
        co_await sleepFor(assumedTransferTime);
    SteadyTime now = steadyNow();
    const wire::ConfigurationUpdate& update = frame.configuration_update();
    LogLine line(acknowledged || isOfOlderVersion ? "Configuration was sent to a peer." : "Configuration was not sent to a peer.");
    line.add("peer", stream->peer()).add("configuration", static_cast<std::int64_t>(update.version())).add("bytes", static_cast<std::int64_t>(update.compressed_source().size()));
    line.add("took_ms", std::chrono::duration_cast<milliseconds>(now - startedAt).count()).add("under_way", activeTransfers);
    line.add("busy_answers", static_cast<std::int64_t>(transfers_.takeBusyAnswerCount(now)));
    if (!acknowledged && !isOfOlderVersion)
        line.add("why", describe(acknowledged.error()));
    logger_.info(line);
}

} // namespace pistachioloom
