//===- lib/Node/RunOnceCoordinator.cpp - at-most-once calls ---------------===//
///
/// \file
/// See RunOnceCoordinator.h.
//===----------------------------------------------------------------------===//
#include "RunOnceCoordinator.h"

#include "generated/Peer.pb.h"
#include "pistachioloom/Limits.h"
#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace pistachioloom {

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr milliseconds appendRetryDelay { 100 };
    constexpr milliseconds unavailableRetryAfter { 2000 };
    constexpr milliseconds startedRetryAfter { 1000 };
    constexpr std::uint64_t appendBurst = 8;
    // Maximum time for which the caller's answer waits until its outcome or
    // release has been appended to the log.
    constexpr milliseconds finalRecordWaitLimit { 1500 };
    // The body of a larger answer is not stored, only status and content type.
    constexpr std::size_t maxStoredBodySize = 64UL * 1024;

    std::string streamOf(std::uint32_t shard)
    {
        return "ledger-" + std::to_string(shard);
    }

} // namespace

struct RunOnceCoordinator::Append {
    Append(const asio::any_io_executor& executor, LedgerItem item, bool needsRead)
        : item_(std::move(item))
        , needsRead_(needsRead)
        , done_(executor, 1)
    {
    }

    LedgerItem item_;
    bool needsRead_;
    // Set before done_ is signalled.
    Result<LogOffset> offset_ = Error {};
    Result<void> readResult_ = Error {};
    asio::experimental::concurrent_channel<void(boost::system::error_code)> done_;
};

struct RunOnceCoordinator::Shard {
    LogOffset nextOffset()
    {
        std::lock_guard lock(mutex_);
        return state_.nextOffset();
    }

    void apply(const LogRead& read)
    {
        std::lock_guard lock(mutex_);
        // The log has trimmed the records before read.firstOffset_; they are older
        // than the retention window of keys.
        state_.trim(read.firstOffset_);
        for (const auto& [position, record] : read.records_)
            state_.apply(position, decodeLedgerRecord(record));
    }

    // Time until the next append may start within this shard's share of the
    // log's append rate.
    milliseconds appendDelay(std::uint64_t rate)
    {
        std::lock_guard lock(mutex_);
        if (!appendLimiter_)
            appendLimiter_.emplace(rate, appendBurst, steadyNow());
        appendLimiter_->setRate(rate, appendBurst);
        return appendLimiter_->tryTake(1, steadyNow()) ? milliseconds {} : appendLimiter_->wait(steadyNow());
    }

    // An empty batch ends the flush loop; the next item starts a new one.
    std::vector<std::shared_ptr<Append>> takeBatch()
    {
        std::lock_guard lock(mutex_);
        auto batch = std::exchange(pendingAppends_, {});
        isFlushing_ = !batch.empty();
        return batch;
    }

    std::mutex mutex_;
    LedgerShard state_;
    std::vector<std::shared_ptr<Append>> pendingAppends_;
    bool isFlushing_ = false;
    std::optional<TokenBucket> appendLimiter_;
};

RunOnceCoordinator::RunOnceCoordinator(NodeContext& context, DispatchHook dispatch)
    : context_(context)
    , dispatch_(std::move(dispatch))
    , logger_("keeper")
{
    for (std::uint64_t i = 0; i < context_.settings_.ledger_.shards_; ++i)
        shards_.push_back(std::make_unique<Shard>());
}

RunOnceCoordinator::~RunOnceCoordinator() = default;

std::size_t RunOnceCoordinator::keyCount() const
{
    std::size_t count = 0;
    for (const auto& shard : shards_) {
        std::lock_guard lock(shard->mutex_);
        count += shard->state_.size();
    }
    return count;
}

std::shared_ptr<RunOnceCoordinator::Append> RunOnceCoordinator::enqueue(std::uint32_t index, const LedgerItem& item, bool needsRead)
{
    auto append = std::make_shared<Append>(context_.executor_, item, needsRead);
    Shard& shard = *shards_[index];
    std::lock_guard lock(shard.mutex_);
    shard.pendingAppends_.push_back(append);
    if (!std::exchange(shard.isFlushing_, true))
        context_.spawn(flushLoop(index));
    return append;
}

asio::awaitable<Result<LogOffset>> RunOnceCoordinator::appendRecord(const std::string& stream, const std::string& record)
{
    const LedgerSettings& settings = context_.settings_.ledger_;
    SteadyTime until = steadyNow() + settings.appendWaitLimit_;
    for (;;) {
        SteadyTime startedAt = steadyNow();
        context_.metrics_.add(Counter::LogAppends);
        auto appended = co_await context_.log_.append_(stream, record, settings.appendTimeout_);
        if (appended) {
            context_.metrics_.observe(Histogram::LogAppend, steadyNow() - startedAt);
            co_return appended;
        }
        if (steadyNow() >= until)
            co_return appended;
        // A retry is safe: items are identified by key and attempt, so a record
        // that is appended twice counts once.
        co_await sleepFor(jitter(appendRetryDelay, randomBits()));
    }
}

asio::awaitable<Result<void>> RunOnceCoordinator::readUpTo(Shard& shard, const std::string& stream, LogOffset offset)
{
    for (;;) {
        LogOffset from = shard.nextOffset();
        if (from > offset)
            co_return boost::outcome_v2::success();
        context_.metrics_.add(Counter::LogReads);
        auto read = co_await context_.log_.read_(stream, from, milliseconds(0));
        if (!read)
            co_return read.error();
        shard.apply(read.value());
        if (read.value().records_.empty() && shard.nextOffset() <= offset)
            co_return unavailable("read ledger", context_.settings_.log_.toString(), "the log does not show our record");
    }
}

asio::awaitable<void> RunOnceCoordinator::flushLoop(std::uint32_t index)
{
    Shard& shard = *shards_[index];
    std::string stream = streamOf(index);
    for (;;) {
        std::size_t coordinators = std::max<std::size_t>(1, context_.membership()->index_->entryVms_.size()) * shards_.size();
        std::uint64_t rate = std::max<std::uint64_t>(1, context_.settings_.ledger_.appendsPerSecond_ / coordinators);
        milliseconds pause = shard.appendDelay(rate);
        if (pause.count()) {
            co_await sleepFor(pause);
            continue;
        }
        std::vector<std::shared_ptr<Append>> batch = shard.takeBatch();
        if (batch.empty())
            co_return;
        std::vector<LedgerItem> items;
        bool needsRead = false;
        for (const auto& append : batch) {
            items.push_back(append->item_);
            needsRead |= append->needsRead_;
        }
        auto offset = co_await appendRecord(stream, encodeLedgerRecord(items));
        Result<void> read = boost::outcome_v2::success();
        if (offset && needsRead)
            read = co_await readUpTo(shard, stream, offset.value());
        for (const auto& append : batch) {
            append->offset_ = offset;
            append->readResult_ = read;
            append->done_.try_send(boost::system::error_code {});
        }
    }
}

asio::awaitable<wire::Frame> RunOnceCoordinator::runOnce(const wire::ServiceCall& call)
{
    SpanScope scope(context_.tracer_, parseTraceparent(call.traceparent()), "keeper", call.request_id());
    CountGuard counted(running_);
    CallKey key = makeCallKey({ call.organisation() }, { call.service() }, { call.idempotency_key() });
    std::uint32_t shard = shardOf(key, static_cast<std::uint32_t>(shards_.size()));
    RunOnceCall run(key, { makeUuid() }, call.body_hash());
    SteadyTime receivedAt = steadyNow();
    while (run.step() != RunOnceCall::Step::Done) {
        switch (run.step()) {
        case RunOnceCall::Step::AppendIntent:
        case RunOnceCall::Step::ReadLog:
            co_await writeIntent(run, shard);
            break;
        case RunOnceCall::Step::Dispatch:
            co_await dispatch(run, call, receivedAt);
            break;
        case RunOnceCall::Step::AppendOutcome:
        case RunOnceCall::Step::AppendRelease:
            co_await writeFinalRecord(run, shard);
            break;
        case RunOnceCall::Step::Done:
            break;
        }
    }
    scope.span().outcome_ = toString(run.answer());
    co_return makeAnswer(run);
}

// The flush loop that appends an intent also reads the log up to it.
asio::awaitable<void> RunOnceCoordinator::writeIntent(RunOnceCall& run, std::uint32_t shard)
{
    auto append = enqueue(shard, run.item(), true);
    co_await append->done_.async_receive(asTuple);
    if (!append->offset_) {
        run.noteIntentFailed(append->offset_.error());
        co_return;
    }
    run.noteIntentAppended(append->offset_.value());
    if (!append->readResult_) {
        run.noteLogReadFailed(append->readResult_.error());
        co_return;
    }
    std::lock_guard lock(shards_[shard]->mutex_);
    run.noteLogRead(shards_[shard]->state_);
}

asio::awaitable<void> RunOnceCoordinator::dispatch(RunOnceCall& run, const wire::ServiceCall& call, SteadyTime receivedAt)
{
    if (steadyNow() - receivedAt > context_.settings_.ledger_.maxDispatchDelay_) {
        run.noteIntentExpired();
        co_return;
    }
    auto reply = co_await dispatch_(call);
    if (reply.has_answer()) {
        CallOutcome outcome { reply.answer().status(), reply.answer().content_type(), reply.answer().body() };
        run.noteDispatched(std::move(outcome));
        co_return;
    }
    Error failure = reply.has_failure() ? fromWire(reply.failure()) : Error { Errc::Protocol, "dispatch", {}, "unexpected frame", Ran::Unknown, {} };
    run.noteDispatchFailed(std::move(failure));
}

asio::awaitable<void> RunOnceCoordinator::writeFinalRecord(RunOnceCall& run, std::uint32_t shard)
{
    LedgerItem item = run.item();
    if (item.outcome_.body_.size() > maxStoredBodySize)
        item.outcome_.body_ = "{\"note\":\"the answer was too large to be kept\"}";
    // If the timer expires, the caller gets its answer and the append
    // continues.
    auto append = enqueue(shard, item, false);
    SteadyTimer timer(co_await asio::this_coro::executor, finalRecordWaitLimit);
    timer.async_wait([append](boost::system::error_code code) {
        if (!code)
            append->done_.try_send(boost::system::error_code {});
    });
    co_await append->done_.async_receive(asTuple);
    run.noteRecordWritten();
}

wire::Frame RunOnceCoordinator::makeAnswer(const RunOnceCall& run) const
{
    wire::Frame frame;
    auto fail = [&](Errc code, const std::string& message, Ran ran, milliseconds retryAfter) {
        context_.metrics_.add(Counter::RunOnceRefused);
        *frame.mutable_failure() = toWire({ code, std::string(runOnceStep), context_.self().value_, message, ran, retryAfter });
    };
    switch (run.answer()) {
    case RunOnceCall::Answer::Executed:
    case RunOnceCall::Answer::Replayed: {
        bool isReplayed = run.answer() == RunOnceCall::Answer::Replayed;
        context_.metrics_.add(isReplayed ? Counter::RunOnceReplayed : Counter::RunOnceExecuted);
        wire::ServiceAnswer& answer = *frame.mutable_answer();
        answer.set_status(run.outcome().status_);
        answer.set_content_type(run.outcome().contentType_);
        answer.set_body(run.outcome().body_);
        answer.set_is_replayed(isReplayed);
        break;
    }
    case RunOnceCall::Answer::StartedElsewhere:
        fail(Errc::OutcomeUnknown, "started before, outcome unknown, not repeated", Ran::Unknown, startedRetryAfter);
        break;
    case RunOnceCall::Answer::KeyReused:
        fail(Errc::KeyReused, "the idempotency key was used with another body", Ran::No, {});
        break;
    case RunOnceCall::Answer::NotRun:
        fail(Errc::Unavailable, describe(run.failure()), Ran::No, jitter(std::max(unavailableRetryAfter, run.failure().retryAfter_), randomBits()));
        break;
    case RunOnceCall::Answer::OutcomeUnknown:
        fail(Errc::OutcomeUnknown, "started, answer lost: " + describe(run.failure()), Ran::Unknown, startedRetryAfter);
        break;
    case RunOnceCall::Answer::None:
        fail(Errc::Internal, "no answer", Ran::Unknown, {});
        break;
    }
    return frame;
}

} // namespace pistachioloom
