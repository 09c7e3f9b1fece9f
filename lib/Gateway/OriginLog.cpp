//===- lib/Gateway/OriginLog.cpp - origins of streams on the platform ------===//
///
/// \file
/// See OriginLog.h.
//===----------------------------------------------------------------------===//
#include "OriginLog.h"

#include "generated/Peer.pb.h"

#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // Origins of one append, which take about 20 bytes each.
    constexpr std::size_t maxAppended = 8192;
    // Origins of a part that wait while the platform is unavailable.
    constexpr std::size_t maxPending = 16384;

} // namespace

OriginLog::OriginLog(asio::io_context& io, GatewayContext& context, const OriginSettings& settings, OriginTable& table)
    : io_(io)
    , context_(context)
    , settings_(settings)
    , table_(table)
    , parts_(settings_.logParts_)
    , loaded_(io)
{
}

void OriginLog::record(StreamKey stream, const StreamOrigin& origin, std::size_t nodes)
{
    Part& part = parts_[originPartOf(stream, nodes, settings_)];
    part.pending_.emplace_back(stream, origin);
    if (part.pending_.size() <= maxPending)
        return;
    part.pending_.pop_front();
    ++part.dropped_;
    context_.metrics_.add(Counter::OriginsUnrecorded);
}

asio::awaitable<void> OriginLog::run()
{
    for (;;) {
        co_await sleepFor(settings_.appendPeriod_);
        for (std::uint32_t i = 0; i < parts_.size(); ++i) {
            if (!parts_[i].pending_.empty())
                co_await append(i, parts_[i]);
        }
    }
}

/// A record that is appended twice, since the answer to the first append was lost, does no harm.
asio::awaitable<void> OriginLog::append(std::uint32_t number, Part& part)
{
    wire::OriginRecord record;
    std::size_t count = std::min(part.pending_.size(), maxAppended);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& [stream, origin] = part.pending_[i];
        wire::StreamOrigin& message = *record.add_origins();
        message.set_stream(stream.value_);
        message.set_software(origin.software_.value_);
        message.set_is_ambiguous(origin.isAmbiguous_);
    }
    std::string bytes = record.SerializeAsString();
    part.dropped_ = 0;
    auto appended = co_await context_.platform_.appendOrigins_(number, std::move(bytes));
    if (!appended) {
        logger_.info(LogLine("Origins of streams were not recorded.").add("part", static_cast<std::int64_t>(number)).add("pending", static_cast<std::int64_t>(part.pending_.size())).add("error", describe(appended.error())));
        co_return;
    }
    std::size_t left = count - std::min(count, part.dropped_);
    part.pending_.erase(part.pending_.begin(), part.pending_.begin() + static_cast<std::ptrdiff_t>(left));
    context_.metrics_.add(Counter::OriginsRecorded, count);
}

asio::awaitable<void> OriginLog::load()
{
    if (!isLoading_) {
        if (steadyNow() - loadedAt_ < settings_.readPeriod_)
            co_return;
        isLoading_ = true;
        loaded_.expires_after(settings_.patience_);
        asio::co_spawn(io_, readParts(), asio::detached);
    }
    (void)co_await loaded_.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Reads all parts, since the number of those that are used changes with the fleet.
asio::awaitable<void> OriginLog::readParts()
{
    for (std::uint32_t number = 0; number < parts_.size(); ++number) {
        SteadyTime startedAt = steadyNow();
        context_.metrics_.add(Counter::OriginLogReads);
        auto read = co_await context_.platform_.readOrigins_(number, parts_[number].next_, settings_.recordsRead_);
        apply(number, parts_[number], read, startedAt);
    }
    isLoading_ = false;
    loadedAt_ = steadyNow();
    loaded_.cancel();
}

void OriginLog::apply(std::uint32_t number, Part& part, const Result<LogRead>& read, SteadyTime startedAt)
{
    LogLine line("Origins of streams are read.");
    line.add("part", static_cast<std::int64_t>(number)).add("from", static_cast<std::int64_t>(part.next_.value_)).add("took_ms", std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt).count());
    if (!read) {
        logger_.info(line.add("error", describe(read.error())));
        return;
    }
    part.next_ = read.value().next_;
    if (read.value().records_.empty())
        return;
    std::size_t count = 0;
    for (const auto& [offset, bytes] : read.value().records_) {
        wire::OriginRecord record;
        if (!record.ParseFromString(bytes)) {
            logger_.warn(LogLine("Record of origins cannot be parsed.").add("part", static_cast<std::int64_t>(number)).add("offset", static_cast<std::int64_t>(offset.value_)));
            continue;
        }
        for (const wire::StreamOrigin& message : record.origins())
            table_.add({ message.stream() }, { { message.software() }, message.is_ambiguous() }, steadyNow());
        count += static_cast<std::size_t>(record.origins_size());
    }
    logger_.info(line.add("records", static_cast<std::int64_t>(read.value().records_.size())).add("origins", static_cast<std::int64_t>(count)));
}

} // namespace pistachioloom
