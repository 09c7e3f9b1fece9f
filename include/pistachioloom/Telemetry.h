//===- pistachioloom/Telemetry.h - logs, metrics and traces ----------------===//
///
/// \file
/// What a node tells about itself: log lines with a prefix per part, counters
/// and histograms in Prometheus' text format, and a span for each hop. Nothing
/// here blocks the path of a request.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <map>
#include <memory>

namespace pistachioloom {

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

enum class LogOutput {
    StandardOutput,
    StandardError,
};

struct LogSettings {
    LogLevel level_ = LogLevel::Info;
    LogOutput output_ = LogOutput::StandardOutput;
    /// Lines written in a second; more are counted and left out. At 300 bytes a
    /// line this bounds the volume to 150 KB/s.
    std::uint64_t linesPerSecond_ = 500;
    /// Levels of single parts, by prefix.
    std::map<std::string, LogLevel> parts_;
    bool isJson_ = false;
};

/// Sets up log4cplus; call it first, and again to apply changed settings. A
/// reader that does not read costs lines, never time.
void initialiseLogging(const LogSettings& settings, const std::string& node);

/// Lines left out since the start, for want of a reader or over the bound.
std::uint64_t droppedLogLines();

/// A sentence with named values, which become fields of their own in JSON.
class LogLine {
public:
    explicit LogLine(std::string sentence);
    LogLine& add(std::string_view name, std::string_view value);
    LogLine& add(std::string_view name, std::int64_t value);
    /// As the layouts expect it.
    const std::string& encoded() const { return encoded_; }

private:
    std::string encoded_;
};

/// Writes short sentences under one fixed prefix.
class Logger {
public:
    explicit Logger(std::string part);
    void debug(const std::string& sentence) const;
    void info(const std::string& sentence) const;
    void info(const LogLine& line) const { info(line.encoded()); }
    void warn(const std::string& sentence) const;
    void warn(const LogLine& line) const { warn(line.encoded()); }
    void error(const std::string& sentence) const;

private:
    std::string part_;
};

enum class Counter {
    RequestsAccepted,
    RequestsRefused,
    RequestsFinished,
    RequestsFailed,
    TokensDelivered,
    TokensRecomputed,
    Attempts,
    Retries,
    Takeovers,
    Handovers,
    ServiceCalls,
    RunOnceExecuted,
    RunOnceReplayed,
    RunOnceRefused,
    LogAppends,
    LogReads,
    CatalogueRecords,
    GossipMessages,
    PeerErrors,
    SpansDropped,
    GrantMessages,
    EngineOrders,
    LoanMessages,
    TrialsYielded,
    RegistrationsRefused,
    RequestsQuarantined,
    BackendCrashes,
    Last,
};

enum class Histogram {
    FirstToken,
    BetweenTokens,
    WholeAnswer,
    CopyAcknowledged,
    LogAppend,
    LoopLag,
    Last,
};

/// The counters and histograms of one node; all members are thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void add(Counter counter, std::uint64_t count = 1);
    std::uint64_t value(Counter counter) const;
    void observe(Histogram histogram, std::chrono::nanoseconds duration);
    /// Prometheus' text format; \p gauges are appended as they are.
    std::string render(const std::map<std::string, double>& gauges) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// The parts of a W3C `traceparent`.
struct TraceContext {
    std::string traceId_;
    std::string spanId_;

    std::string toHeader() const;
};

/// Reads a `traceparent`; anything malformed starts a new trace.
TraceContext parseTraceparent(std::string_view header);
/// A context for a hop below \p parent.
TraceContext childOf(const TraceContext& parent);

/// One hop of one request.
struct Span {
    TraceContext context_;
    std::string parentSpanId_;
    std::string step_;
    std::string peer_;
    std::string requestId_;
    std::uint32_t attempt_ = 0;
    milliseconds queued_ {};
    std::chrono::microseconds start_ {};
    std::chrono::microseconds duration_ {};
    std::string outcome_ = "ok";
};

/// Keeps the newest spans in memory and counts those it had to drop.
class Tracer {
public:
    explicit Tracer(std::size_t capacity);
    ~Tracer();
    Tracer(const Tracer&) = delete;
    Tracer& operator=(const Tracer&) = delete;

    void record(Span span);
    /// OTLP/JSON spans of \p requestId, one a line.
    std::string spansOf(const std::string& requestId) const;
    std::uint64_t dropped() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// Measures a hop and records it when it ends.
class SpanScope {
public:
    SpanScope(Tracer& tracer, const TraceContext& parent, std::string step, std::string requestId);
    ~SpanScope();
    SpanScope(const SpanScope&) = delete;
    SpanScope& operator=(const SpanScope&) = delete;

    Span& span() { return span_; }
    const TraceContext& context() const { return span_.context_; }

private:
    Tracer& tracer_;
    Span span_;
    SteadyTime startedAt_;
};

} // namespace pistachioloom
