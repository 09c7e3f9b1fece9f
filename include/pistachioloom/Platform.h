//===- pistachioloom/Platform.h - hooks of external services --------------===//
///
/// \file
/// Declares one struct of hooks for each external service, and one adapter that
/// implements it over HTTP. Another test environment needs only its own adapters.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Orders.h"

namespace pistachioloom {

/// Records of one stream, starting at the requested offset.
struct LogRead {
    /// The offset of the oldest record that is still stored.
    LogOffset firstOffset_;
    /// The offset at which the next read starts.
    LogOffset next_;
    std::vector<std::pair<LogOffset, std::string>> records_;
    /// The offset of the next record that is appended, if it is known.
    LogOffset end_ {};
};

/// The platform's append-only log.
struct LogService {
    /// After an error whose `ran_` is Unknown, the record may still appear.
    std::function<asio::awaitable<Result<LogOffset>>(std::string stream, std::string record, milliseconds timeout)> append_;
    /// Reads the records from \p from on. Waits up to \p wait for the first one.
    std::function<asio::awaitable<Result<LogRead>>(std::string stream, LogOffset from, milliseconds wait)> read_;
};

/// A notice that a VM will be reclaimed.
struct ReclaimNotice {
    std::string vm_;
    /// The time until the VM stops.
    milliseconds remaining_ {};
};

/// Reclaim notices, starting at the requested position.
struct NoticeRead {
    /// The value of `since` for the next read.
    std::uint64_t next_ = 0;
    std::vector<ReclaimNotice> notices_;
};

/// The platform's list of VMs and its reclaim notices.
struct VmListService {
    /// \returns the list as JSON, or nullopt if its version is still \p knownVersion.
    std::function<asio::awaitable<Result<std::optional<std::string>>>(std::uint64_t knownVersion)> list_;
    /// Reads the notices from \p since on. Waits up to \p wait for the first one.
    std::function<asio::awaitable<Result<NoticeRead>>(std::uint64_t since, milliseconds wait)> notices_;
};

/// A request to an engine to generate tokens.
struct EngineRequest {
    std::string requestId_;
    std::uint32_t attempt_ = 0;
    std::string prompt_;
    /// Tokens that were already delivered. The engine continues after them.
    std::vector<std::string> prefix_;
    std::uint64_t maxTokens_ = 0;
    std::uint64_t priority_ = 0;
    /// Whether to continue the stream that the engine already runs for this request.
    bool attachesToStream_ = false;
    /// The handle of a KV cache that another engine exported.
    std::string kvHandle_;
};

/// One line of an engine's stream.
struct EngineEvent {
    enum class Type {
        Token,
        /// The answer is complete.
        Done,
        /// The KV cache was exported. The stream continues on another engine.
        Exported,
        /// A newer attempt has taken over the stream.
        Superseded,
        /// The engine aborted the stream.
        Interrupted,
    };
    Type type_ = Type::Token;
    std::uint64_t position_ = 0;
    /// The token's text, or the handle of the exported KV cache.
    std::string text_;
    /// The number of tokens that this engine computed although they had been computed
    /// before.
    std::uint64_t recomputedTokens_ = 0;
};

/// The open answer to a request to generate.
struct EngineStream {
    /// Waits for the next event and returns it.
    std::function<asio::awaitable<Result<EngineEvent>>()> next_;
    /// Closes the connection. This does not cancel the request at the engine.
    std::function<void()> close_;
};

/// Calls to a model engine, which is identified by its address.
struct EngineService {
    std::function<asio::awaitable<Result<EngineStream>>(Endpoint engine, EngineRequest request)> generate_;
    /// Cancels an attempt. The engine ignores the call if it knows a newer attempt.
    std::function<asio::awaitable<Result<void>>(Endpoint engine, std::string requestId, std::uint32_t attempt)> cancel_;
    /// Exports a request's KV cache. \returns the handle for importCache_.
    std::function<asio::awaitable<Result<std::string>>(Endpoint engine, std::string requestId)> exportCache_;
    /// Imports the KV cache that exportCache_ returned \p handle for.
    std::function<asio::awaitable<Result<void>>(Endpoint engine, std::string handle)> importCache_;
    /// Orders the engine to load the configuration \p wanted. Errc::Conflict: the engine
    /// has already accepted an order with a newer fencing token.
    std::function<asio::awaitable<Result<void>>(Endpoint engine, FencingToken token, EngineConfiguration wanted)> order_;
    /// Reads the configuration that the engine reports, and whether it is loading.
    std::function<asio::awaitable<Result<EngineState>>(Endpoint engine)> state_;
};

/// The hooks send \p dataCentre to the platform with each call.
LogService makeHttpLogService(const Endpoint& endpoint, const std::string& dataCentre);
VmListService makeHttpVmListService(const Endpoint& endpoint, const std::string& dataCentre);
EngineService makeHttpEngineService();

} // namespace pistachioloom
