//===- pistachioloom/Telemetry.h - logs, metrics and traces ----------------===//
///
/// \file
/// Observability of a node: log lines with a prefix for each component, counters
/// and histograms in Prometheus' text format, and a span for each hop. None of
/// these functions blocks a request.
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
    /// Maximum rate of lines; lines above it are dropped and counted. With 300 bytes
    /// per line, 500 lines per second limit the volume to 150 KB/s.
    std::uint64_t linesPerSecond_ = 500;
    /// Levels that override `level_` for single components, by the prefix of their lines.
    std::map<std::string, LogLevel> levelByPart_;
    bool isJson_ = false;
};

/// Configures log4cplus. Must be called before the first log line, and again to apply
/// changed settings. If the process that reads the output stalls, lines are dropped and
/// no thread waits.
void initialiseLogging(const LogSettings& settings, const std::string& node);

/// Makes the process write a line with its stack to standard error when a fault such as SIGSEGV
/// or an abort ends it. The signal then has its usual effect, so that exit code and core file
/// stay the same. Must be called once, from the main thread.
void installCrashReporter(const std::string& node);

/// Returns the number of lines dropped since the start, because the output was not
/// writable or the rate limit was exceeded.
std::uint64_t droppedLogLines();

/// A log message with named values, which become separate fields in JSON.
class LogLine {
public:
    explicit LogLine(std::string sentence);
    LogLine& add(std::string_view name, std::string_view value);
    LogLine& add(std::string_view name, std::int64_t value);
    /// Returns the message and the values in the encoding that the layouts decode.
    const std::string& encoded() const { return encoded_; }

private:
    std::string encoded_;
};

/// Writes log messages with a fixed prefix.
class Logger {
public:
    explicit Logger(std::string part);
    void debug(const std::string& sentence) const;
    void info(const std::string& sentence) const;
    void info(const LogLine& line) const { info(line.encoded()); }
    void warn(const std::string& sentence) const;
    void warn(const LogLine& line) const { warn(line.encoded()); }
    void error(const std::string& sentence) const;
    void error(const LogLine& line) const { error(line.encoded()); }

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
    /// Reports to peers that exceeded the size of a datagram and were not sent.
    DatagramsTooLarge,
    /// Connections to backend servers that a peer opened for this node.
    ConnectionsRelayed,
    /// Connections to backend servers that this node opened for peers.
    ConnectionsCarried,
    /// Streams that callers resumed and whose software is known.
    StreamsResumed,
    /// Streams that callers resumed and whose software is not known.
    ResumptionsUnknown,
    /// Streams that callers resumed, or that broke off, and whose software serves no more.
    StreamsUnserved,
    /// Streams whose origin was asked for, and nodes that did not answer.
    OriginQueries,
    OriginQueriesUnanswered,
    /// Callers' connections that were closed unread because the node was overloaded.
    ConnectionsUnread,
    /// Requests refused whose callers were told to return when booting engines are expected.
    RefusedUntilEngines,
    /// Answers that this node ended before their deadline, while the server neither broke off
    /// nor was done.
    AnswersEndedEarly,
    /// Answers with the id of another request.
    AnswersToOthers,
    /// Answers without an id on connections that have served other requests.
    AnswersUnidentified,
    /// Origins of streams that were appended to the platform's log.
    OriginsRecorded,
    /// Origins that could not be recorded, since the platform was unavailable for too long.
    OriginsUnrecorded,
    /// Reads of the log of origins.
    OriginLogReads,
    /// Engines that were told to stop a stream, to move it.
    StreamStopsOrdered,
    /// Streams that moved to another engine with their KV cache.
    StreamsMoved,
    Last,
};

enum class Histogram {
    FirstToken,
    BetweenTokens,
    CompleteAnswer,
    CopyAcknowledged,
    LogAppend,
    LoopLag,
    Last,
};

/// The counters and histograms of one node. All members are thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void add(Counter counter, std::uint64_t count = 1);
    std::uint64_t value(Counter counter) const;
    void observe(Histogram histogram, std::chrono::nanoseconds duration);
    /// Renders all metrics in Prometheus' text format, followed by \p gauges.
    std::string render(const std::map<std::string, double>& gauges) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// The ids in a W3C `traceparent` header.
struct TraceContext {
    std::string traceId_;
    std::string spanId_;

    std::string toHeader() const;
};

/// Parses a `traceparent` header. A malformed header starts a new trace.
TraceContext parseTraceparent(std::string_view header);
/// Creates the context of a child span of \p parent.
TraceContext childOf(const TraceContext& parent);

/// The record of one hop of a request: what was done, at which peer, when, and its outcome.
struct Span {
    TraceContext context_;
    std::string parentSpanId_;
    std::string step_;
    std::string peer_;
    std::string requestId_;
    std::uint32_t attempt_ = 0;
    milliseconds queued_ {};
    /// Wall-clock time since the Unix epoch.
    std::chrono::microseconds start_ {};
    std::chrono::microseconds duration_ {};
    std::string outcome_ = "ok";
};

/// Keeps the newest spans in memory and counts the dropped ones.
class Tracer {
public:
    explicit Tracer(std::size_t capacity);
    ~Tracer();
    Tracer(const Tracer&) = delete;
    Tracer& operator=(const Tracer&) = delete;

    void record(Span span);
    /// Returns the spans of \p requestId in OTLP/JSON, one per line.
    std::string spansOf(const std::string& requestId) const;
    std::uint64_t dropped() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// Measures the duration of a hop and records its span on destruction.
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
