//===- pistachioloom/Platform.h - the outside world, as hooks --------------===//
///
/// \file
/// One struct of hooks for each outside interface, and one adapter that fills
/// it by HTTP. Another test bench is attached by writing adapters only.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Orders.h"

namespace pistachioloom {

/// Records of one stream, from the offset asked for.
struct LogRead {
    /// The oldest record still kept.
    LogOffset first_;
    /// Where to read on.
    LogOffset next_;
    std::vector<std::pair<LogOffset, std::string>> records_;
};

/// The platform's append-only log.
struct LogService {
    /// An error whose `ran_` is Unknown means that the record may yet appear.
    std::function<asio::awaitable<Result<LogOffset>>(std::string stream, std::string record, milliseconds timeout)> append_;
    /// Waits up to \p wait for a record at \p from or later.
    std::function<asio::awaitable<Result<LogRead>>(std::string stream, LogOffset from, milliseconds wait)> read_;
};

/// A notice that a VM will be reclaimed.
struct ReclaimNotice {
    std::string vm_;
    milliseconds remaining_ {};
};

struct NoticeRead {
    std::uint64_t next_ = 0;
    std::vector<ReclaimNotice> notices_;
};

/// The platform's VM list and notices.
struct VmListService {
    /// JSON of the list, or nullopt if it is still at \p knownVersion.
    std::function<asio::awaitable<Result<std::optional<std::string>>>(std::uint64_t knownVersion)> list_;
    std::function<asio::awaitable<Result<NoticeRead>>(std::uint64_t since, milliseconds wait)> notices_;
};

/// What an engine is asked to generate.
struct EngineRequest {
    std::string requestId_;
    std::uint32_t attempt_ = 0;
    std::string prompt_;
    /// Tokens that were delivered already; the engine goes on after them.
    std::vector<std::string> prefix_;
    std::uint64_t maxTokens_ = 0;
    std::uint64_t priority_ = 0;
    /// Continue the stream that the engine already runs for this request.
    bool attachesToStream_ = false;
    /// A cache exported by another engine.
    std::string kvHandle_;
};

/// One line of an engine's stream.
struct EngineEvent {
    enum class Type {
        Token,
        /// The answer is whole.
        Done,
        /// The cache was exported; the stream goes on elsewhere.
        Exported,
        /// A newer attempt took the stream.
        Superseded,
        /// The engine gives the stream up.
        Interrupted,
    };
    Type type_ = Type::Token;
    std::uint64_t position_ = 0;
    /// The token's text, or the handle of an exported cache.
    std::string text_;
    /// Tokens this engine had to compute that were computed before.
    std::uint64_t recomputedTokens_ = 0;
};

/// A stream being read; cancel() closes the connection only.
struct EngineStream {
    std::function<asio::awaitable<Result<EngineEvent>>()> next_;
    std::function<void()> close_;
};

/// A model engine, by its address.
struct EngineService {
    std::function<asio::awaitable<Result<EngineStream>>(Endpoint engine, EngineRequest request)> generate_;
    /// The engine ignores it if it knows a newer attempt.
    std::function<asio::awaitable<Result<void>>(Endpoint engine, std::string requestId, std::uint32_t attempt)> cancel_;
    /// \returns the handle for an import.
    std::function<asio::awaitable<Result<std::string>>(Endpoint engine, std::string requestId)> exportCache_;
    std::function<asio::awaitable<Result<void>>(Endpoint engine, std::string handle)> importCache_;
    /// Conflict means that the engine has obeyed a newer token.
    std::function<asio::awaitable<Result<void>>(Endpoint engine, FencingToken token, EngineConfiguration wanted)> order_;
    std::function<asio::awaitable<Result<EngineState>>(Endpoint engine)> state_;
};

/// \p dataCentre is told to the platform with each call.
LogService makeHttpLogService(const Endpoint& endpoint, const std::string& dataCentre);
VmListService makeHttpVmListService(const Endpoint& endpoint, const std::string& dataCentre);
EngineService makeHttpEngineService();

} // namespace pistachioloom
