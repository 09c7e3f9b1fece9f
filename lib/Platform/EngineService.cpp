//===- lib/Platform/EngineService.cpp - model engines over HTTP -----------===//
///
/// \file
/// Implements the EngineService hooks. An engine streams one line of JSON per event.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Platform.h"

#include "pistachioloom/Json.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    constexpr milliseconds openTimeout { 10000 };
    // Maximum time between two tokens. A stream that exceeds it fails.
    constexpr milliseconds tokenTimeout { 30000 };
    constexpr milliseconds callTimeout { 2000 };

    std::string encode(const EngineRequest& request)
    {
        boost::json::array prefix;
        for (const std::string& token : request.prefix_)
            prefix.emplace_back(token);
        return boost::json::serialize(boost::json::object {
            { "request", request.requestId_ },
            { "attempt", request.attempt_ },
            { "prompt", request.prompt_ },
            { "prefix", std::move(prefix) },
            { "max_tokens", request.maxTokens_ },
            { "priority", request.priority_ },
            { "attach", request.attachesToStream_ },
            { "kv_handle", request.kvHandle_ },
        });
    }

    std::optional<EngineEvent> decode(const std::string& line)
    {
        auto object = parseJsonObject(line);
        if (!object)
            return std::nullopt;
        EngineEvent event;
        event.recomputedTokens_ = numberField(*object, "recomputed");
        std::string type = textField(*object, "type");
        if (type == "token") {
            event.position_ = numberField(*object, "position");
            event.text_ = textField(*object, "text");
            return event;
        }
        if (type == "exported") {
            event.type_ = EngineEvent::Type::Exported;
            event.text_ = textField(*object, "handle");
            return event;
        }
        if (type == "done")
            event.type_ = EngineEvent::Type::Done;
        else if (type == "superseded")
            event.type_ = EngineEvent::Type::Superseded;
        else if (type == "interrupted")
            event.type_ = EngineEvent::Type::Interrupted;
        else
            return std::nullopt;
        return event;
    }

    asio::awaitable<Result<EngineEvent>> nextEvent(std::shared_ptr<HttpBodyReader> reader, std::string peer)
    {
        auto line = co_await reader->readLine(tokenTimeout);
        if (!line)
            co_return line.error();
        if (!line.value())
            co_return Error { Errc::Reset, "read engine stream", peer, "the stream ended early", Ran::Unknown, {} };
        auto event = decode(*line.value());
        if (!event)
            co_return Error { Errc::Protocol, "read engine stream", peer, "not an event", Ran::Unknown, {} };
        co_return *event;
    }

    asio::awaitable<Result<EngineStream>> generate(Endpoint engine, EngineRequest request)
    {
        std::string peer = engine.toString();
        HttpRequest call { "POST", "/v1/generate", {}, encode(request) };
        auto opened = co_await openHttp(engine, std::move(call), openTimeout);
        if (!opened)
            co_return opened.error();
        auto reader = opened.value();
        if (reader->status() != 200) {
            auto body = co_await reader->readAll(callTimeout);
            HttpResponse response { reader->status(), reader->headers(), body ? body.value() : std::string() };
            co_return errorFromResponse(response, "start generation", peer);
        }
        EngineStream stream;
        stream.next_ = [reader, peer] { return nextEvent(reader, peer); };
        stream.close_ = [reader] { reader->cancel(); };
        co_return stream;
    }

    asio::awaitable<Result<std::string>> postJson(Endpoint engine, std::string target, boost::json::object fields)
    {
        HttpRequest request { "POST", target, {}, boost::json::serialize(fields) };
        auto response = co_await callHttp(engine, std::move(request), callTimeout);
        if (!response)
            co_return response.error();
        if (response.value().status_ != 200)
            co_return errorFromResponse(response.value(), "order " + target, engine.toString());
        co_return std::move(response.value().body_);
    }

    asio::awaitable<Result<void>> postCommand(Endpoint engine, std::string target, boost::json::object fields)
    {
        auto done = co_await postJson(std::move(engine), std::move(target), std::move(fields));
        if (!done)
            co_return done.error();
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<Result<std::string>> exportCache(Endpoint engine, std::string requestId)
    {
        boost::json::object fields { { "request", requestId } };
        auto body = co_await postJson(engine, "/v1/cache/export", std::move(fields));
        if (!body)
            co_return body.error();
        auto object = parseJsonObject(body.value());
        std::string handle = object ? textField(*object, "handle") : std::string();
        if (handle.empty())
            co_return Error { Errc::Protocol, "export cache", engine.toString(), "answer without handle", Ran::Unknown, {} };
        co_return handle;
    }

    asio::awaitable<Result<void>> orderConfiguration(Endpoint engine, FencingToken token, EngineConfiguration wanted)
    {
        boost::json::array adapters(wanted.adapters_.begin(), wanted.adapters_.end());
        boost::json::object fields { { "token", token.value_ }, { "version", wanted.version_ }, { "role", wanted.role_ }, { "adapters", std::move(adapters) } };
        co_return co_await postCommand(std::move(engine), "/v1/order", std::move(fields));
    }

    asio::awaitable<Result<EngineState>> readState(Endpoint engine)
    {
        HttpRequest request { "GET", "/v1/state", {}, {} };
        auto response = co_await callHttp(engine, std::move(request), callTimeout);
        if (!response)
            co_return response.error();
        auto object = parseJsonObject(response.value().body_);
        if (response.value().status_ != 200 || !object)
            co_return Error { Errc::Protocol, "read engine state", engine.toString(), "not a state", Ran::No, {} };
        EngineState state;
        state.configuration_.version_ = textField(*object, "version");
        state.configuration_.role_ = textField(*object, "role");
        state.isLoading_ = flagField(*object, "loading");
        if (const boost::json::array* adapters = arrayField(*object, "adapters")) {
            for (const boost::json::value& adapter : *adapters) {
                if (adapter.is_string())
                    state.configuration_.adapters_.emplace_back(adapter.as_string());
            }
        }
        co_return state;
    }

} // namespace

EngineService makeHttpEngineService()
{
    EngineService service;
    service.generate_ = generate;
    service.cancel_ = [](Endpoint engine, std::string requestId, std::uint32_t attempt) {
        return postCommand(std::move(engine), "/v1/cancel", { { "request", requestId }, { "attempt", attempt } });
    };
    service.exportCache_ = exportCache;
    service.importCache_ = [](Endpoint engine, std::string handle) { return postCommand(std::move(engine), "/v1/cache/import", { { "handle", handle } }); };
    service.order_ = orderConfiguration;
    service.state_ = readState;
    return service;
}

} // namespace pistachioloom
