//===- tools/standins/Engine.h - a model engine ---------------------------===//
///
/// \file
/// Declares the engine stand-in: its streams, prefix cache, configuration and counters.
//===----------------------------------------------------------------------===//
#pragma once

#include "EngineStream.h"

namespace pistachioloom::standin {

/// Simulates a model engine and handles its HTTP calls.
class Engine {
public:
    /// \p values are the initial values of its controls.
    Engine(asio::io_context& io, std::string name, std::map<std::string, std::int64_t> values)
        : io_(io)
        , name_(std::move(name))
        , controls_(std::move(values))
        , cache_(static_cast<std::uint64_t>(controls_["cache_tokens"]))
    {
    }

    /// Handles one call.
    asio::awaitable<void> handle(HttpExchange& exchange);

private:
    // Generation.
    asio::awaitable<void> generate(HttpExchange& exchange);
    std::optional<Error> startRejection(const GenerateRequest& request);
    StreamPtr attach(const GenerateRequest& request) const;
    StreamPtr start(const GenerateRequest& request);
    asio::awaitable<void> decode(StreamPtr stream, std::string requestId, std::uint64_t prefill);
    asio::awaitable<void> computePrompt(std::uint64_t prefill);
    asio::awaitable<void> produceTokens(StreamPtr stream);
    asio::awaitable<void> writeAnswer(HttpExchange& exchange, StreamPtr stream, std::size_t from);
    asio::awaitable<void> cancel(boost::json::object body);
    // KV cache transfer between engines.
    asio::awaitable<void> exportCache(HttpExchange& exchange, std::string requestId);
    asio::awaitable<void> importCache(HttpExchange& exchange, std::string handle);
    // Configuration orders, state and test controls.
    asio::awaitable<void> order(HttpExchange& exchange, boost::json::object body);
    asio::awaitable<void> load(boost::json::object configuration);
    asio::awaitable<void> state(HttpExchange& exchange);
    asio::awaitable<void> control(HttpExchange& exchange);
    boost::json::object counts();

    asio::awaitable<void> reject(HttpExchange& exchange, Errc code, std::string step, std::string reason);
    Error rejection(Errc code, std::string step, std::string reason) const;

    asio::io_context& io_;
    std::string name_;
    Controls controls_;
    PrefixCache cache_;
    std::map<std::string, StreamPtr> streams_;
    /// The sampling run of each imported KV cache, by request id.
    std::map<std::string, std::string> importedRuns_;
    std::uint64_t samplingRunCount_ = 0;

    // Counters and state. counts() reports most of them.
    std::int64_t startedStreams_ = 0;
    /// Number of requests to generate that were rejected because the engine was leaving.
    std::int64_t rejectedWhileLeaving_ = 0;
    std::int64_t generatedTokens_ = 0;
    std::int64_t prefilledTokens_ = 0;
    std::int64_t activeStreams_ = 0;
    std::int64_t maxActiveStreams_ = 0;
    std::int64_t cancelledStreams_ = 0;
    boost::json::object configuration_ { { "version", "v1" }, { "role", "" }, { "adapters", boost::json::array {} } };
    std::uint64_t loadCount_ = 0;
    bool isLoading_ = false;
    /// The newest fencing token of an accepted order.
    std::uint64_t newestFencingToken_ = 0;
    std::int64_t ordersReceived_ = 0;
    std::int64_t ordersApplied_ = 0;
    std::int64_t staleOrdersRejected_ = 0;
    std::int64_t staleOrdersApplied_ = 0;
    /// Number of orders that were accepted while streams were active.
    std::int64_t ordersAppliedWhileActive_ = 0;
    /// Number of requests to generate that were rejected because the engine was loading.
    std::int64_t rejectedWhileLoading_ = 0;
};

} // namespace pistachioloom::standin
