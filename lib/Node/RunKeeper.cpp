//===- lib/Node/RunKeeper.cpp - keeper of calls that run at most once ------===//
///
/// \file
/// See RunKeeper.h.
//===----------------------------------------------------------------------===//
#include "RunKeeper.h"

#include "generated/Peer.pb.h"
#include "pistachioloom/Limits.h"
#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

namespace pistachioloom {

namespace {

    constexpr auto tokenOf = asio::as_tuple(asio::use_awaitable);
    constexpr milliseconds appendRetry { 100 };
    constexpr milliseconds unavailableRetry { 2000 };
    constexpr milliseconds startedRetry { 1000 };
    constexpr std::uint64_t appendBurst = 8;
    // A closing record that cannot be written holds its caller no longer than this.
    constexpr milliseconds closingPatience { 1500 };
    // Larger answers are remembered by their fate only.
    constexpr std::size_t largestStoredBody = 64UL * 1024;

    std::string streamOf(std::uint32_t shard)
    {
        return "ledger-" + std::to_string(shard);
    }

} // namespace

struct RunKeeper::Append {
    Append(const asio::any_io_executor& executor, LedgerItem item, bool needsRead)
        : item_(std::move(item))
        , needsRead_(needsRead)
        , done_(executor, 1)
    {
    }

    LedgerItem item_;
    bool needsRead_;
    // Written before done_ is signalled.
    Result<LogOffset> offset_ = Error {};
    Result<void> read_ = Error {};
    asio::experimental::concurrent_channel<void(boost::system::error_code)> done_;
};

struct RunKeeper::Shard {
    LogOffset nextOffset()
    {
        std::lock_guard lock(mutex_);
        return state_.nextOffset();
    }

    void apply(const LogRead& read)
    {
        std::lock_guard lock(mutex_);
        // What was trimmed is older than the window in which a key counts.
        state_.trim(read.first_);
        for (const auto& [position, record] : read.records_)
            state_.apply(position, decodeLedgerRecord(record));
    }

    // How long the next append has to wait for its share of the log's rate.
    milliseconds appendPause(std::uint64_t rate)
    {
        std::lock_guard lock(mutex_);
        if (!appends_)
            appends_.emplace(rate, appendBurst, steadyNow());
        appends_->setRate(rate, appendBurst);
        return appends_->tryTake(1, steadyNow()) ? milliseconds {} : appends_->wait(steadyNow());
    }

    // Nothing waiting ends the flush; the next item starts another.
    std::vector<std::shared_ptr<Append>> takeBatch()
    {
        std::lock_guard lock(mutex_);
        auto batch = std::exchange(waiting_, {});
        isFlushing_ = !batch.empty();
        return batch;
    }

    std::mutex mutex_;
    LedgerShard state_;
    std::vector<std::shared_ptr<Append>> waiting_;
    bool isFlushing_ = false;
    std::optional<TokenBucket> appends_;
};

RunKeeper::RunKeeper(NodeContext& context, DispatchHook dispatch)
    : context_(context)
    , dispatch_(std::move(dispatch))
    , logger_("keeper")
{
    for (std::uint64_t i = 0; i < context_.settings_.ledger_.shards_; ++i)
        shards_.push_back(std::make_unique<Shard>());
}

RunKeeper::~RunKeeper() = default;

std::size_t RunKeeper::keys() const
{
    std::size_t count = 0;
    for (const auto& shard : shards_) {
        std::lock_guard lock(shard->mutex_);
        count += shard->state_.size();
    }
    return count;
}

std::shared_ptr<RunKeeper::Append> RunKeeper::enqueue(std::uint32_t index, const LedgerItem& item, bool needsRead)
{
    auto append = std::make_shared<Append>(context_.executor_, item, needsRead);
    Shard& shard = *shards_[index];
    std::lock_guard lock(shard.mutex_);
    shard.waiting_.push_back(append);
    if (!std::exchange(shard.isFlushing_, true))
        context_.spawn(flushLoop(index));
    return append;
}

asio::awaitable<Result<LogOffset>> RunKeeper::appendRecord(const std::string& stream, const std::string& record)
{
    const LedgerSettings& settings = context_.settings_.ledger_;
    SteadyTime until = steadyNow() + settings.appendWaitLimit_;
    for (;;) {
        SteadyTime began = steadyNow();
        context_.metrics_.add(Counter::LogAppends);
        auto appended = co_await context_.log_.append_(stream, record, settings.appendTimeout_);
        if (appended) {
            context_.metrics_.observe(Histogram::LogAppend, steadyNow() - began);
            co_return appended;
        }
        if (steadyNow() >= until)
            co_return appended;
        // Items are told by key and attempt, so a record that arrives twice
        // counts once.
        co_await sleepFor(jitter(appendRetry, randomBits()));
    }
}

asio::awaitable<Result<void>> RunKeeper::readUpTo(Shard& shard, const std::string& stream, LogOffset offset)
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

asio::awaitable<void> RunKeeper::flushLoop(std::uint32_t index)
{
    Shard& shard = *shards_[index];
    std::string stream = streamOf(index);
    for (;;) {
        std::size_t keepers = std::max<std::size_t>(1, context_.membership()->index_->entryVms_.size()) * shards_.size();
        std::uint64_t rate = std::max<std::uint64_t>(1, context_.settings_.ledger_.appendsPerSecond_ / keepers);
        milliseconds pause = shard.appendPause(rate);
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
            append->read_ = read;
            append->done_.try_send(boost::system::error_code {});
        }
    }
}

asio::awaitable<wire::Frame> RunKeeper::runOnce(const wire::ServiceCall& call)
{
    SpanScope scope(context_.tracer_, parseTraceparent(call.traceparent()), "keeper", call.request_id());
    CountGuard counted(running_);
    CallKey key = makeCallKey({ call.organisation() }, { call.service() }, { call.idempotency_key() });
    std::uint32_t shard = shardOf(key, static_cast<std::uint32_t>(shards_.size()));
    RunOnceCall run(key, { makeUuid() }, call.body_hash());
    SteadyTime asked = steadyNow();
    while (run.step() != RunOnceCall::Step::Done) {
        switch (run.step()) {
        case RunOnceCall::Step::AppendIntent:
        case RunOnceCall::Step::ReadLog:
            co_await writeIntent(run, shard);
            break;
        case RunOnceCall::Step::Dispatch:
            co_await dispatch(run, call, asked);
            break;
        case RunOnceCall::Step::AppendOutcome:
        case RunOnceCall::Step::AppendRelease:
            co_await writeClosing(run, shard);
            break;
        case RunOnceCall::Step::Done:
            break;
        }
    }
    scope.span().outcome_ = toString(run.answer());
    co_return makeAnswer(run);
}

// The flush that appends an intent reads the log up to it as well.
asio::awaitable<void> RunKeeper::writeIntent(RunOnceCall& run, std::uint32_t shard)
{
    auto append = enqueue(shard, run.item(), true);
    co_await append->done_.async_receive(tokenOf);
    if (!append->offset_) {
        run.intentFailed(append->offset_.error());
        co_return;
    }
    run.intentAppended(append->offset_.value());
    if (!append->read_) {
        run.logReadFailed(append->read_.error());
        co_return;
    }
    std::lock_guard lock(shards_[shard]->mutex_);
    run.logRead(shards_[shard]->state_);
}

asio::awaitable<void> RunKeeper::dispatch(RunOnceCall& run, const wire::ServiceCall& call, SteadyTime asked)
{
    if (steadyNow() - asked > context_.settings_.ledger_.dispatchGuard_) {
        run.intentExpired();
        co_return;
    }
    auto reply = co_await dispatch_(call);
    if (reply.has_answer()) {
        CallOutcome outcome { reply.answer().status(), reply.answer().content_type(), reply.answer().body() };
        run.dispatched(std::move(outcome));
        co_return;
    }
    Error failure = reply.has_failure() ? fromWire(reply.failure()) : Error { Errc::Protocol, "dispatch", {}, "unexpected frame", Ran::Unknown, {} };
    run.dispatchFailed(std::move(failure));
}

asio::awaitable<void> RunKeeper::writeClosing(RunOnceCall& run, std::uint32_t shard)
{
    LedgerItem item = run.item();
    if (item.outcome_.body_.size() > largestStoredBody)
        item.outcome_.body_ = "{\"note\":\"the answer was too large to be kept\"}";
    // The record goes on being written after the caller has its answer.
    auto append = enqueue(shard, item, false);
    SteadyTimer timer(co_await asio::this_coro::executor, closingPatience);
    timer.async_wait([append](boost::system::error_code code) {
        if (!code)
            append->done_.try_send(boost::system::error_code {});
    });
    co_await append->done_.async_receive(tokenOf);
    run.recordWritten();
}

wire::Frame RunKeeper::makeAnswer(const RunOnceCall& run) const
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
        fail(Errc::OutcomeUnknown, "started before, outcome unknown, not repeated", Ran::Unknown, startedRetry);
        break;
    case RunOnceCall::Answer::KeyReused:
        fail(Errc::KeyReused, "the idempotency key was used with another body", Ran::No, {});
        break;
    case RunOnceCall::Answer::NotRun:
        fail(Errc::Unavailable, describe(run.failure()), Ran::No, jitter(std::max(unavailableRetry, run.failure().retryAfter_), randomBits()));
        break;
    case RunOnceCall::Answer::OutcomeUnknown:
        fail(Errc::OutcomeUnknown, "started, answer lost: " + describe(run.failure()), Ran::Unknown, startedRetry);
        break;
    case RunOnceCall::Answer::None:
        fail(Errc::Internal, "no answer", Ran::Unknown, {});
        break;
    }
    return frame;
}

} // namespace pistachioloom
