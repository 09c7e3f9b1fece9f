//===- lib/Gateway/ConfigurationTransfer.cpp - configurations for peers ---===//
///
/// \file
/// Implements the part of PlatformFeed that sends the configuration to peers.
/// ConfigurationFetcher.cpp is the receiving side.
//===----------------------------------------------------------------------===//
#include "PlatformFeed.h"

#include "generated/Peer.pb.h"

namespace pistachioloom {

namespace {

    // Assumed duration of a transfer to a peer of an older version, which does not
    // acknowledge a configuration: two transfers of 100 KB take 160 ms at 10 Mbit/s.
    constexpr milliseconds assumedTransferTime { 200 };

} // namespace

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
    ByteCount size { context_.table()->configuration().compressedSource_.size() };
    auto transfer = transfers_.begin(size, steadyNow());
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
