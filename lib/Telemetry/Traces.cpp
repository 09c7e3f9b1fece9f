//===- lib/Telemetry/Traces.cpp - trace contexts and spans -----------------===//
///
/// \file
/// W3C trace contexts, and a ring buffer of the newest spans with OTLP/JSON output.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Telemetry.h"

#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <mutex>

namespace pistachioloom {

namespace {

    constexpr std::size_t traceIdLength = 32;
    constexpr std::size_t spanIdLength = 16;
    // Layout of the header: version "-" trace id "-" span id "-" flags.
    constexpr std::size_t traceIdStart = 3;
    constexpr std::size_t spanIdStart = traceIdStart + traceIdLength + 1;
    constexpr std::size_t headerLength = spanIdStart + spanIdLength + 3;

    std::string toHex(std::uint64_t bits)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text(spanIdLength, '0');
        for (std::size_t i = spanIdLength; i > 0; --i) {
            text[i - 1] = digits[bits & 15U];
            bits >>= 4U;
        }
        return text;
    }

    bool isHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    std::string toJson(const Span& span)
    {
        boost::json::object line {
            { "traceId", span.context_.traceId_ },
            { "spanId", span.context_.spanId_ },
            { "parentSpanId", span.parentSpanId_ },
            { "name", span.step_ },
            { "startTimeUnixNano", std::to_string(std::chrono::nanoseconds(span.start_).count()) },
            { "endTimeUnixNano", std::to_string(std::chrono::nanoseconds(span.start_ + span.duration_).count()) },
            { "attributes", boost::json::object {
                                { "peer", span.peer_ },
                                { "request", span.requestId_ },
                                { "attempt", span.attempt_ },
                                { "queued_ms", span.queued_.count() },
                                { "outcome", span.outcome_ },
                            } },
        };
        return boost::json::serialize(line);
    }

} // namespace

std::string TraceContext::toHeader() const
{
    return "00-" + traceId_ + "-" + spanId_ + "-01";
}

TraceContext parseTraceparent(std::string_view header)
{
    bool isValid = header.size() == headerLength && header.starts_with("00-");
    if (isValid) {
        TraceContext context { std::string(header.substr(traceIdStart, traceIdLength)), std::string(header.substr(spanIdStart, spanIdLength)) };
        if (isHex(context.traceId_) && isHex(context.spanId_))
            return context;
    }
    return { toHex(randomBits()) + toHex(randomBits()), "" };
}

TraceContext childOf(const TraceContext& parent)
{
    return { parent.traceId_, toHex(randomBits()) };
}

struct Tracer::State {
    std::size_t capacity_ = 0;
    mutable std::mutex mutex_;
    std::deque<Span> spans_;
    std::uint64_t dropped_ = 0;
};

Tracer::Tracer(std::size_t capacity)
    : state_(std::make_unique<State>())
{
    state_->capacity_ = capacity;
}

Tracer::~Tracer() = default;

void Tracer::record(Span span)
{
    std::lock_guard lock(state_->mutex_);
    state_->spans_.push_back(std::move(span));
    if (state_->spans_.size() <= state_->capacity_)
        return;
    state_->spans_.pop_front();
    ++state_->dropped_;
}

std::string Tracer::spansOf(const std::string& requestId) const
{
    std::lock_guard lock(state_->mutex_);
    std::string lines;
    for (const Span& span : state_->spans_) {
        if (span.requestId_ == requestId)
            lines += toJson(span) + "\n";
    }
    return lines;
}

std::uint64_t Tracer::dropped() const
{
    std::lock_guard lock(state_->mutex_);
    return state_->dropped_;
}

SpanScope::SpanScope(Tracer& tracer, const TraceContext& parent, std::string step, std::string requestId)
    : tracer_(tracer)
    , startedAt_(steadyNow())
{
    span_.context_ = childOf(parent);
    span_.parentSpanId_ = parent.spanId_;
    span_.step_ = std::move(step);
    span_.requestId_ = std::move(requestId);
    // The wall clock serves only as the span's timestamp; no decision depends on it.
    span_.start_ = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch());
}

SpanScope::~SpanScope()
{
    span_.duration_ = std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - startedAt_);
    tracer_.record(std::move(span_));
}

} // namespace pistachioloom
