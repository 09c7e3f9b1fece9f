//===- lib/Gateway/Transfers.cpp - configurations from node to node --------===//
///
/// \file
/// How a node that is behind gets the configuration from a peer, and how one that has
/// it gives it on. What the platform tells and the registry are in Feed.cpp.
//===----------------------------------------------------------------------===//
#include "Feed.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    // How long a peer is given that does not acknowledge a configuration, as older
    // versions do not: two transfers of 100 KB take 160 ms at 10 Mbit/s.
    constexpr milliseconds unacknowledgedTransfer { 200 };
    // Reading a configuration of 780 KB occupies the thread of the links, for tenths of a
    // second on a small VM; the acknowledgement leaves before.
    constexpr milliseconds acknowledgementPause { 2 };

} // namespace

std::optional<KnownPeer> Feed::peerAhead() const
{
    auto table = context_.table();
    std::uint64_t own = table ? table->version() : 0;
    std::vector<KnownPeer> near;
    std::vector<KnownPeer> far;
    for (const KnownPeer& known : reports_.live()) {
        if (known.second.configurationVersion_ > own && !busyPeers_.isBusy(known.first, steadyNow()))
            (known.second.dataCentre_ == context_.settings_.dataCentre_ ? near : far).push_back(known);
    }
    const std::vector<KnownPeer>& ahead = near.empty() ? far : near;
    if (ahead.empty())
        return std::nullopt;
    return ahead[randomBits() % ahead.size()];
}

asio::awaitable<void> Feed::askForConfiguration()
{
    for (;;) {
        co_await sleepFor(askPeriod);
        auto ahead = peerAhead();
        if (ahead)
            co_await askConfiguration(ahead->first, ahead->second);
    }
}

asio::awaitable<Result<wire::Frame>> Feed::fetch(Peer peer, wire::Frame request)
{
    auto opened = co_await peers_.open(peer.peers_, request, peerPatience);
    if (!opened)
        co_return opened.error();
    auto stream = opened.value();
    auto reply = co_await stream->receiveWithin(peerPatience, transferTimeout);
    // The peer may give it to another one now.
    wire::Frame acknowledgement;
    acknowledgement.mutable_ack();
    if (reply)
        (void)co_await stream->send(acknowledgement);
    stream->finish();
    co_await sleepFor(acknowledgementPause);
    if (reply && reply.value().has_failure())
        co_return fromWire(reply.value().failure());
    co_return reply;
}

asio::awaitable<void> Feed::askConfiguration(VmId vm, Peer peer)
{
    auto table = context_.table();
    wire::Frame request;
    request.mutable_configuration_fetch()->set_known_version(table ? table->version() : 0);
    request.mutable_configuration_fetch()->set_wants_configuration(true);
    auto reply = co_await fetch(peer, request);
    if (reply && reply.value().has_configuration_update()) {
        std::string bytes = reply.value().configuration_update().compressed_source();
        co_await applyConfiguration(std::move(bytes), vm);
        co_return;
    }
    bool isBusy = !reply && reply.error().code_ == Errc::Overloaded;
    busyPeers_.note(vm, steadyNow() + (isBusy ? reply.error().retryAfter_ : busyPause));
    // The busy one logs that itself.
    if (!isBusy)
        logger_.warn("Peer " + vm.value_ + " gave no configuration: " + (reply ? "other frame" : describe(reply.error())));
}

asio::awaitable<void> Feed::applyConfiguration(std::string bytes, VmId vm)
{
    if (bytes.empty())
        co_return;
    std::function<void()> work = [&context = context_, bytes = std::move(bytes), vm] { context.applyCompressed(bytes, vm.value_); };
    co_await background_.run(std::move(work));
}

bool Feed::hasNewerThan(const wire::ConfigurationFetch& fetch) const
{
    auto table = context_.table();
    return table && fetch.wants_configuration() && table->version() > fetch.known_version();
}

/// A Failure, which nodes of all versions understand.
wire::Frame Feed::busyAnswer()
{
    SteadyTime now = steadyNow();
    if (transfers_.isBusyLogDue(now))
        logger_.info(LogLine("Peers are told to ask others for the configuration.").add("busy_answers", static_cast<std::int64_t>(transfers_.takeBusyAnswers(now))).add("under_way", static_cast<std::int64_t>(transfers_.underWay())));
    wire::Frame frame;
    *frame.mutable_failure() = toWire({ Errc::Overloaded, "give configuration", context_.settings_.vm_.value_, "other peers are being given it", Ran::No, busyPause });
    return frame;
}

asio::awaitable<void> Feed::serve(std::shared_ptr<PeerStream> stream, wire::Frame request)
{
    if (!hasNewerThan(request.configuration_fetch())) {
        (void)co_await stream->send(answer(request));
        co_return;
    }
    auto transfer = transfers_.begin(steadyNow());
    if (!transfer) {
        (void)co_await stream->send(busyAnswer());
        co_return;
    }
    co_await handOver(stream, request);
    transfers_.end(*transfer);
}

/// That the frame was sent says little: the system takes 100 KB at once, and the link
/// is full until the peer has them.
asio::awaitable<void> Feed::handOver(std::shared_ptr<PeerStream> stream, wire::Frame request)
{
    SteadyTime begunAt = steadyNow();
    auto underWay = static_cast<std::int64_t>(transfers_.underWay());
    wire::Frame frame = answer(request);
    (void)co_await stream->send(frame);
    auto acknowledged = co_await stream->receiveWithin(transferTimeout);
    bool isOfOlderVersion = !acknowledged && acknowledged.error().code_ == Errc::NotFound;
    if (isOfOlderVersion)
        co_await sleepFor(unacknowledgedTransfer);
    SteadyTime now = steadyNow();
    const wire::ConfigurationUpdate& update = frame.configuration_update();
    LogLine line(acknowledged || isOfOlderVersion ? "Configuration was handed on." : "Configuration was not handed on.");
    line.add("peer", stream->peer()).add("configuration", static_cast<std::int64_t>(update.version())).add("bytes", static_cast<std::int64_t>(update.compressed_source().size()));
    line.add("took_ms", std::chrono::duration_cast<milliseconds>(now - begunAt).count()).add("under_way", underWay);
    line.add("busy_answers", static_cast<std::int64_t>(transfers_.takeBusyAnswers(now)));
    if (!acknowledged && !isOfOlderVersion)
        line.add("why", describe(acknowledged.error()));
    logger_.info(line);
}

} // namespace pistachioloom
