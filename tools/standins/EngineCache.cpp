//===- tools/standins/EngineCache.cpp - KV cache transfer of the engine ---===//
///
/// \file
/// Exports the KV cache of a stream, and imports one from another engine.
//===----------------------------------------------------------------------===//
#include "Engine.h"

namespace json = boost::json;

namespace pistachioloom::standin {

static constexpr milliseconds dialTimeout { 2000 };

asio::awaitable<void> Engine::exportCache(HttpExchange& exchange, std::string requestId)
{
    auto found = streams_.find(requestId);
    bool isRunning = found != streams_.end() && found->second->state_ == Stream::State::Running;
    if (!isRunning || controls_["refuse_export"])
        co_return co_await reject(exchange, Errc::NotFound, "export cache", "no such stream to export");
    StreamPtr stream = found->second;
    std::uint64_t cachedTokens = stream->promptTokens_ + stream->tokens_.size();
    co_await pause(milliseconds(static_cast<std::int64_t>(cachedTokens) * controls_["export_us"] / 1000));
    if (stream->state_ != Stream::State::Running)
        co_return co_await reject(exchange, Errc::Conflict, "export cache", "the stream ended meanwhile");
    stream->cacheHandle_ = exchange.request().header("host") + "/" + requestId + "/" + stream->samplingRun_;
    stream->state_ = Stream::State::Exported;
    stream->notifyWriter();
    json::object answer;
    answer["handle"] = stream->cacheHandle_;
    co_await reply(exchange, 200, answer);
}

// The handle is "host:port/request/run". A real engine fetches the bytes of the cache from
// there; the stand-in only checks that the host is reachable.
asio::awaitable<void> Engine::importCache(HttpExchange& exchange, std::string handle)
{
    std::size_t slash = handle.find('/');
    std::size_t last = handle.rfind('/');
    std::size_t colon = handle.find(':');
    bool isReadable = slash != std::string::npos && last != slash && colon < slash;
    bool isReachable = false;
    if (isReadable && !controls_["refuse_import"]) {
        Endpoint source { handle.substr(0, colon), static_cast<std::uint16_t>(std::strtoul(handle.substr(colon + 1, slash - colon - 1).c_str(), nullptr, 10)) };
        HttpRequest request { "GET", "/load", {}, {} };
        auto dialled = co_await callHttp(source, std::move(request), dialTimeout);
        isReachable = static_cast<bool>(dialled);
    }
    if (!isReachable)
        co_return co_await reject(exchange, Errc::Unavailable, "import cache", "the cache cannot be imported");
    importedRuns_[handle.substr(slash + 1, last - slash - 1)] = handle.substr(last + 1);
    co_await reply(exchange, 200, json::object {});
}

} // namespace pistachioloom::standin
