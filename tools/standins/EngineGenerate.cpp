//===- tools/standins/EngineGenerate.cpp - token generation of the engine -===//
///
/// \file
/// Starts streams, attaches callers to them, generates tokens and writes them out.
//===----------------------------------------------------------------------===//
#include "Engine.h"

namespace pistachioloom::standin {

static constexpr std::size_t tagLength = 6;

std::optional<Error> Engine::startRejection(const GenerateRequest& request)
{
    if (isLoading_) {
        ++rejectedWhileLoading_;
        return rejection(Errc::Unavailable, "start generation", "this engine is loading");
    }
    if (controls_["leaving"]) {
        ++rejectedWhileLeaving_;
        return rejection(Errc::Leaving, "start generation", "this engine is leaving");
    }
    auto old = streams_.find(request.requestId_);
    if (old != streams_.end() && request.attempt_ < old->second->attempt_)
        return rejection(Errc::Conflict, "start generation", "a newer attempt is known");
    return std::nullopt;
}

StreamPtr Engine::attach(const GenerateRequest& request) const
{
    auto found = streams_.find(request.requestId_);
    if (found == streams_.end() || !request.wantsAttach_)
        return nullptr;
    return isAttachable(*found->second, request.prefix_) ? found->second : nullptr;
}

/// Starts a stream. It supersedes a running stream of the same request.
StreamPtr Engine::start(const GenerateRequest& request)
{
    auto old = streams_.find(request.requestId_);
    if (old != streams_.end() && old->second->state_ == Stream::State::Running) {
        old->second->state_ = Stream::State::Superseded;
        old->second->notifyWriter();
    }
    auto stream = std::make_shared<Stream>(io_.get_executor());
    streams_[request.requestId_] = stream;
    auto cached = importedRuns_.find(request.requestId_);
    bool hasCache = cached != importedRuns_.end() && request.hasCacheHandle_;
    stream->promptTag_ = sha256Hex(request.prompt_).substr(0, tagLength);
    stream->samplingRun_ = hasCache ? cached->second : name_ + "r" + std::to_string(++samplingRunCount_);
    stream->tokens_ = request.prefix_;
    stream->maxTokens_ = request.maxTokens_;
    stream->promptTokens_ = promptTokens(request.prompt_);
    std::uint64_t prefill = hasCache ? 0 : cache_.addPrompt(request.prompt_) + request.prefix_.size();
    stream->recomputedTokens_ = request.prefix_.empty() ? 0 : prefill;
    ++startedStreams_;
    asio::co_spawn(io_, decode(stream, request.requestId_, prefill), asio::detached);
    return stream;
}

asio::awaitable<void> Engine::generate(HttpExchange& exchange)
{
    auto body = parseJsonObject(exchange.request().body_).value_or(boost::json::object {});
    GenerateRequest request = parseGenerateRequest(body);
    if (request.wantsAttach_ && controls_["attach_delay_ms"])
        co_await pause(milliseconds(controls_["attach_delay_ms"]));
    if (auto error = startRejection(request)) {
        (void)co_await exchange.respond(errorResponse(*error));
        co_return;
    }
    StreamPtr stream = attach(request);
    if (!stream)
        stream = start(request);
    stream->attempt_ = request.attempt_;
    co_await writeAnswer(exchange, stream, request.prefix_.size());
}

asio::awaitable<void> Engine::decode(StreamPtr stream, std::string requestId, std::uint64_t prefill)
{
    while (activeStreams_ >= controls_["slots"])
        co_await pause(milliseconds(1));
    maxActiveStreams_ = std::max(maxActiveStreams_, ++activeStreams_);
    co_await computePrompt(prefill);
    co_await produceTokens(stream);
    --activeStreams_;
    if (stream->state_ == Stream::State::Running)
        stream->state_ = Stream::State::Done;
    stream->notifyWriter();
    co_await pause(milliseconds(controls_["detach_grace_ms"]));
    auto found = streams_.find(requestId);
    if (found != streams_.end() && found->second == stream)
        streams_.erase(found);
}

asio::awaitable<void> Engine::computePrompt(std::uint64_t prefill)
{
    prefilledTokens_ += static_cast<std::int64_t>(prefill);
    std::int64_t prefillMicros = static_cast<std::int64_t>(prefill) * controls_["prefill_us"];
    if (prefillMicros)
        co_await pause(milliseconds(prefillMicros / 1000 + 1));
}

/// Appends a token every `decode_us`. Cancels a stream that has had no reader for longer
/// than `detach_grace_ms`.
asio::awaitable<void> Engine::produceTokens(StreamPtr stream)
{
    SteadyTimer timer(io_);
    auto nextTokenAt = steadyNow();
    auto abandonedAt = SteadyTime::max();
    while (stream->state_ == Stream::State::Running && stream->tokens_.size() < stream->maxTokens_) {
        nextTokenAt += std::chrono::microseconds(controls_["decode_us"]);
        timer.expires_at(nextTokenAt);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (stream->state_ != Stream::State::Running)
            break;
        stream->tokens_.push_back(stream->promptTag_ + ":" + std::to_string(stream->tokens_.size()) + ":" + stream->samplingRun_ + " ");
        ++generatedTokens_;
        stream->notifyWriter();
        auto now = steadyNow();
        if (stream->hasWriter_)
            abandonedAt = SteadyTime::max();
        else if (abandonedAt == SteadyTime::max())
            abandonedAt = now;
        else if (now - abandonedAt > milliseconds(controls_["detach_grace_ms"]))
            stream->state_ = Stream::State::Cancelled;
    }
}

asio::awaitable<void> Engine::writeAnswer(HttpExchange& exchange, StreamPtr stream, std::size_t from)
{
    std::uint64_t writerId = ++stream->writerId_;
    stream->hasWriter_ = true;
    stream->notifyWriter();
    HttpResponse head { 200, { { "content-type", "application/x-ndjson" } }, {} };
    auto sent = co_await exchange.beginStream(std::move(head));
    while (sent) {
        if (stream->writerId_ != writerId) {
            (void)co_await exchange.writeChunk("{\"type\":\"superseded\"}\n");
            (void)co_await exchange.endStream();
            co_return;
        }
        std::string lines;
        for (; from < stream->tokens_.size(); ++from)
            lines += tokenLine(from, stream->tokens_[from]);
        bool isOver = stream->state_ != Stream::State::Running;
        if (isOver)
            lines += finalLine(*stream);
        if (!lines.empty())
            sent = co_await exchange.writeChunk(std::move(lines));
        if (isOver && sent) {
            (void)co_await exchange.endStream();
            co_return;
        }
        bool hasUpdate = from < stream->tokens_.size() || stream->state_ != Stream::State::Running || stream->writerId_ != writerId;
        if (sent && !hasUpdate)
            co_await stream->changeTimer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (stream->writerId_ == writerId)
        stream->hasWriter_ = false;
}

/// Cancels the stream of a request, unless the call names an older attempt than the
/// stream's.
asio::awaitable<void> Engine::cancel(boost::json::object body)
{
    if (controls_["cancel_delay_ms"])
        co_await pause(milliseconds(controls_["cancel_delay_ms"]));
    auto found = streams_.find(textField(body, "request"));
    bool isStale = found != streams_.end() && body.contains("attempt") && numberField(body, "attempt") < found->second->attempt_;
    if (found != streams_.end() && found->second->state_ == Stream::State::Running && !isStale) {
        ++cancelledStreams_;
        found->second->state_ = Stream::State::Cancelled;
        found->second->notifyWriter();
    }
}

} // namespace pistachioloom::standin
