//===- tools/standins/EngineStandin.cpp - a model engine -------------------===//
///
/// \file
/// Generates tokens at a set pace, several streams at once. Each token tells
/// its prompt, position and sampling run, so a test sees a token that is
/// missing, doubled or of another request. Streams can be attached, cancelled,
/// exported and imported; a newer attempt supersedes an older one.
//===----------------------------------------------------------------------===//
#include "Standin.h"

#include <CLI/CLI.hpp>
#include <list>
#include <set>

using namespace pistachioloom;
using namespace pistachioloom::standin;
namespace json = boost::json;

namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t tagLength = 6;
constexpr milliseconds dialTimeout { 2000 };

struct Stream {
    explicit Stream(const asio::any_io_executor& executor)
        : changed_(executor, asio::steady_timer::time_point::max())
    {
    }

    enum class State {
        Running,
        Done,
        Exported,
        Superseded,
        Cancelled,
    };

    void change() { changed_.cancel(); }

    std::uint32_t attempt_ = 0;
    std::string tag_;
    std::string run_;
    std::vector<std::string> tokens_;
    std::uint64_t maxTokens_ = 0;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t recomputed_ = 0;
    std::uint64_t writer_ = 0;
    bool hasWriter_ = false;
    State state_ = State::Running;
    std::string handle_;
    asio::steady_timer changed_;
};
using StreamPtr = std::shared_ptr<Stream>;

/// Prompts whose prefill is remembered, up to a count of tokens.
class PrefixCache {
public:
    explicit PrefixCache(std::uint64_t capacity)
        : capacity_(capacity)
    {
    }

    /// Tokens of \p prompt to compute; the prompt is cached afterwards.
    std::uint64_t compute(const std::string& prompt)
    {
        std::uint64_t tokens = 1 + prompt.size() / bytesPerToken;
        if (known_.contains(prompt))
            return 0;
        known_.insert(prompt);
        order_.push_back(prompt);
        held_ += tokens;
        while (held_ > capacity_ && order_.size() > 1) {
            held_ -= 1 + order_.front().size() / bytesPerToken;
            known_.erase(order_.front());
            order_.pop_front();
        }
        return tokens;
    }

private:
    std::uint64_t capacity_;
    std::uint64_t held_ = 0;
    std::set<std::string> known_;
    std::list<std::string> order_;
};

class Engine {
public:
    Engine(asio::io_context& io, std::string name, std::map<std::string, std::int64_t> values)
        : io_(io)
        , name_(std::move(name))
        , controls_(std::move(values))
        , cache_(static_cast<std::uint64_t>(controls_["cache_tokens"]))
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange);

private:
    asio::awaitable<void> generate(HttpExchange& exchange);
    asio::awaitable<void> decode(StreamPtr stream, std::string requestId, std::uint64_t prefill);
    asio::awaitable<void> write(HttpExchange& exchange, StreamPtr stream, std::size_t from);
    asio::awaitable<void> control(HttpExchange& exchange);
    asio::awaitable<void> exportCache(HttpExchange& exchange, std::string requestId);
    asio::awaitable<void> order(HttpExchange& exchange, json::object body);
    asio::awaitable<void> state(HttpExchange& exchange);
    asio::awaitable<void> load(json::object configuration);
    asio::awaitable<void> importCache(HttpExchange& exchange, std::string handle);
    StreamPtr attachable(const json::object& body, const std::vector<std::string>& prefix);
    static std::string lastLine(const Stream& stream);
    static std::string tokenLine(std::size_t position, const std::string& text);

    asio::io_context& io_;
    std::string name_;
    Controls controls_;
    PrefixCache cache_;
    std::map<std::string, StreamPtr> streams_;
    std::map<std::string, std::string> imported_;
    std::uint64_t runs_ = 0;
    std::int64_t started_ = 0;
    std::int64_t startedWhileLeaving_ = 0;
    std::int64_t tokens_ = 0;
    std::int64_t prefilled_ = 0;
    std::int64_t active_ = 0;
    std::int64_t mostActive_ = 0;
    std::int64_t cancelled_ = 0;
    json::object configuration_ { { "version", "v1" }, { "role", "" }, { "adapters", json::array {} } };
    std::uint64_t loads_ = 0;
    bool isLoading_ = false;
    std::uint64_t newestToken_ = 0;
    std::int64_t ordersReceived_ = 0;
    std::int64_t ordersObeyed_ = 0;
    std::int64_t staleRefused_ = 0;
    std::int64_t staleObeyed_ = 0;
    std::int64_t obeyedWhileActive_ = 0;
    std::int64_t startedWhileLoading_ = 0;
};

std::string Engine::tokenLine(std::size_t position, const std::string& text)
{
    return R"({"type":"token","position":)" + std::to_string(position) + R"(,"text":")" + text + "\"}\n";
}

std::string Engine::lastLine(const Stream& stream)
{
    json::object line;
    line["recomputed"] = stream.recomputed_;
    switch (stream.state_) {
    case Stream::State::Running:
    case Stream::State::Cancelled:
        line["type"] = "interrupted";
        break;
    case Stream::State::Done:
        line["type"] = "done";
        break;
    case Stream::State::Exported:
        line["type"] = "exported";
        line["handle"] = stream.handle_;
        break;
    case Stream::State::Superseded:
        line["type"] = "superseded";
        break;
    }
    return json::serialize(line) + "\n";
}

StreamPtr Engine::attachable(const json::object& body, const std::vector<std::string>& prefix)
{
    auto found = streams_.find(textField(body, "request"));
    if (found == streams_.end() || !flagField(body, "attach"))
        return nullptr;
    const Stream& stream = *found->second;
    bool isAlive = stream.state_ == Stream::State::Running || stream.state_ == Stream::State::Done;
    bool isSameText = prefix.size() <= stream.tokens_.size() && std::equal(prefix.begin(), prefix.end(), stream.tokens_.begin());
    return isAlive && isSameText ? found->second : nullptr;
}

asio::awaitable<void> Engine::generate(HttpExchange& exchange)
{
    auto body = parseJsonObject(exchange.request().body_).value_or(json::object {});
    std::string requestId = textField(body, "request");
    std::string prompt = textField(body, "prompt");
    auto attempt = static_cast<std::uint32_t>(numberField(body, "attempt"));
    std::vector<std::string> prefix;
    if (const json::array* tokens = arrayField(body, "prefix")) {
        for (const json::value& token : *tokens)
            prefix.emplace_back(token.as_string());
    }
    if (flagField(body, "attach") && controls_["attach_delay_ms"])
        co_await pause(milliseconds(controls_["attach_delay_ms"]));
    if (isLoading_) {
        ++startedWhileLoading_;
        Error refusal { Errc::Unavailable, "start generation", name_, "this engine is loading", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(refusal));
        co_return;
    }
    if (controls_["leaving"]) {
        ++startedWhileLeaving_;
        Error refusal { Errc::Leaving, "start generation", name_, "this engine is leaving", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(refusal));
        co_return;
    }
    auto old = streams_.find(requestId);
    if (old != streams_.end() && attempt < old->second->attempt_) {
        Error refusal { Errc::Conflict, "start generation", name_, "a newer attempt is known", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(refusal));
        co_return;
    }
    StreamPtr stream = attachable(body, prefix);
    if (!stream) {
        if (old != streams_.end() && old->second->state_ == Stream::State::Running) {
            old->second->state_ = Stream::State::Superseded;
            old->second->change();
        }
        stream = std::make_shared<Stream>(io_.get_executor());
        streams_[requestId] = stream;
        auto cached = imported_.find(requestId);
        bool hasCache = cached != imported_.end() && !textField(body, "kv_handle").empty();
        stream->tag_ = sha256Hex(prompt).substr(0, tagLength);
        stream->run_ = hasCache ? cached->second : name_ + "r" + std::to_string(++runs_);
        stream->tokens_ = prefix;
        stream->maxTokens_ = numberField(body, "max_tokens");
        stream->promptTokens_ = 1 + prompt.size() / bytesPerToken;
        std::uint64_t prefill = hasCache ? 0 : cache_.compute(prompt) + prefix.size();
        stream->recomputed_ = prefix.empty() ? 0 : prefill;
        ++started_;
        asio::co_spawn(io_, decode(stream, requestId, prefill), asio::detached);
    }
    stream->attempt_ = attempt;
    co_await write(exchange, stream, prefix.size());
}

asio::awaitable<void> Engine::decode(StreamPtr stream, std::string requestId, std::uint64_t prefill)
{
    while (active_ >= controls_["slots"])
        co_await pause(milliseconds(1));
    mostActive_ = std::max(mostActive_, ++active_);
    prefilled_ += static_cast<std::int64_t>(prefill);
    std::int64_t prefillMicros = static_cast<std::int64_t>(prefill) * controls_["prefill_us"];
    if (prefillMicros)
        co_await pause(milliseconds(prefillMicros / 1000 + 1));
    asio::steady_timer pace(io_);
    auto next = std::chrono::steady_clock::now();
    auto abandonedAt = std::chrono::steady_clock::time_point::max();
    while (stream->state_ == Stream::State::Running && stream->tokens_.size() < stream->maxTokens_) {
        next += std::chrono::microseconds(controls_["decode_us"]);
        pace.expires_at(next);
        co_await pace.async_wait(asio::as_tuple(asio::use_awaitable));
        if (stream->state_ != Stream::State::Running)
            break;
        stream->tokens_.push_back(stream->tag_ + ":" + std::to_string(stream->tokens_.size()) + ":" + stream->run_ + " ");
        ++tokens_;
        stream->change();
        auto now = std::chrono::steady_clock::now();
        if (stream->hasWriter_)
            abandonedAt = std::chrono::steady_clock::time_point::max();
        else if (abandonedAt == std::chrono::steady_clock::time_point::max())
            abandonedAt = now;
        else if (now - abandonedAt > milliseconds(controls_["detach_grace_ms"]))
            stream->state_ = Stream::State::Cancelled;
    }
    --active_;
    if (stream->state_ == Stream::State::Running)
        stream->state_ = Stream::State::Done;
    stream->change();
    co_await pause(milliseconds(controls_["detach_grace_ms"]));
    auto found = streams_.find(requestId);
    if (found != streams_.end() && found->second == stream)
        streams_.erase(found);
}

asio::awaitable<void> Engine::write(HttpExchange& exchange, StreamPtr stream, std::size_t from)
{
    std::uint64_t writer = ++stream->writer_;
    stream->hasWriter_ = true;
    stream->change();
    HttpResponse head { 200, { { "content-type", "application/x-ndjson" } }, {} };
    auto sent = co_await exchange.beginStream(std::move(head));
    while (sent) {
        if (stream->writer_ != writer) {
            (void)co_await exchange.writeChunk("{\"type\":\"superseded\"}\n");
            (void)co_await exchange.endStream();
            co_return;
        }
        std::string lines;
        for (; from < stream->tokens_.size(); ++from)
            lines += tokenLine(from, stream->tokens_[from]);
        bool isOver = stream->state_ != Stream::State::Running;
        if (isOver)
            lines += lastLine(*stream);
        if (!lines.empty())
            sent = co_await exchange.writeChunk(std::move(lines));
        if (isOver && sent) {
            (void)co_await exchange.endStream();
            co_return;
        }
        bool isNewer = from < stream->tokens_.size() || stream->state_ != Stream::State::Running || stream->writer_ != writer;
        if (sent && !isNewer)
            co_await stream->changed_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (stream->writer_ == writer)
        stream->hasWriter_ = false;
}

asio::awaitable<void> Engine::exportCache(HttpExchange& exchange, std::string requestId)
{
    auto found = streams_.find(requestId);
    bool isRunning = found != streams_.end() && found->second->state_ == Stream::State::Running;
    if (!isRunning || controls_["refuse_export"]) {
        Error refusal { Errc::NotFound, "export cache", name_, "no such stream to export", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(refusal));
        co_return;
    }
    StreamPtr stream = found->second;
    std::uint64_t held = stream->promptTokens_ + stream->tokens_.size();
    co_await pause(milliseconds(static_cast<std::int64_t>(held) * controls_["export_us"] / 1000));
    if (stream->state_ != Stream::State::Running) {
        Error refusal { Errc::Conflict, "export cache", name_, "the stream ended meanwhile", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(refusal));
        co_return;
    }
    stream->handle_ = exchange.request().header("host") + "/" + requestId + "/" + stream->run_;
    stream->state_ = Stream::State::Exported;
    stream->change();
    json::object answer;
    answer["handle"] = stream->handle_;
    co_await reply(exchange, 200, answer);
}

// The handle is "host:port/request/run"; the bytes would come from there.
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
    if (!isReachable) {
        Error refusal { Errc::Unavailable, "import cache", name_, "the cache cannot be imported", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(refusal));
        co_return;
    }
    imported_[handle.substr(slash + 1, last - slash - 1)] = handle.substr(last + 1);
    co_await reply(exchange, 200, json::object {});
}

asio::awaitable<void> Engine::order(HttpExchange& exchange, json::object body)
{
    ++ordersReceived_;
    // As if the order had been on its way for so long.
    if (controls_["order_delay_ms"])
        co_await pause(milliseconds(controls_["order_delay_ms"]));
    std::uint64_t token = numberField(body, "token");
    bool isStale = token < newestToken_;
    if (isStale && controls_["honours_fencing"]) {
        ++staleRefused_;
        Error refusal { Errc::Conflict, "take order", name_, "a newer token is known", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(refusal));
        co_return;
    }
    newestToken_ = std::max(newestToken_, token);
    staleObeyed_ += isStale ? 1 : 0;
    obeyedWhileActive_ += active_ ? 1 : 0;
    ++ordersObeyed_;
    body.erase("token");
    asio::co_spawn(io_, load(std::move(body)), asio::detached);
    co_await reply(exchange, 200, json::object {});
}

asio::awaitable<void> Engine::load(json::object configuration)
{
    std::uint64_t number = ++loads_;
    isLoading_ = true;
    co_await pause(milliseconds(controls_["load_ms"]));
    if (number != loads_)
        co_return;
    configuration_ = std::move(configuration);
    isLoading_ = false;
}

asio::awaitable<void> Engine::state(HttpExchange& exchange)
{
    json::object answer = configuration_;
    answer["loading"] = isLoading_;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Engine::control(HttpExchange& exchange)
{
    auto body = parseJsonObject(exchange.request().body_).value_or(json::object {});
    controls_.update(body);
    if (std::uint64_t left = numberField(body, "stop_in_ms")) {
        auto timer = std::make_shared<asio::steady_timer>(io_, milliseconds(left));
        timer->async_wait([timer](boost::system::error_code) { std::_Exit(0); });
    }
    json::object answer;
    answer["started"] = started_;
    answer["started_while_leaving"] = startedWhileLeaving_;
    answer["tokens"] = tokens_;
    answer["prefilled"] = prefilled_;
    answer["active"] = active_;
    answer["most_active"] = mostActive_;
    answer["cancelled"] = cancelled_;
    answer["version"] = configuration_["version"];
    answer["loading"] = isLoading_ ? 1 : 0;
    answer["orders_received"] = ordersReceived_;
    answer["orders_obeyed"] = ordersObeyed_;
    answer["stale_refused"] = staleRefused_;
    answer["stale_obeyed"] = staleObeyed_;
    answer["obeyed_while_active"] = obeyedWhileActive_;
    answer["started_while_loading"] = startedWhileLoading_;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Engine::handle(HttpExchange& exchange)
{
    std::string path = exchange.request().path();
    if (path == "/control") {
        co_await control(exchange);
        co_return;
    }
    if (path == "/v1/generate") {
        co_await generate(exchange);
        co_return;
    }
    auto body = parseJsonObject(exchange.request().body_).value_or(json::object {});
    if (path == "/v1/state") {
        co_await state(exchange);
        co_return;
    }
    if (path == "/v1/order") {
        co_await order(exchange, std::move(body));
        co_return;
    }
    if (path == "/v1/cache/export") {
        co_await exportCache(exchange, textField(body, "request"));
        co_return;
    }
    if (path == "/v1/cache/import") {
        co_await importCache(exchange, textField(body, "handle"));
        co_return;
    }
    if (path == "/v1/cancel") {
        if (controls_["cancel_delay_ms"])
            co_await pause(milliseconds(controls_["cancel_delay_ms"]));
        auto found = streams_.find(textField(body, "request"));
        bool isStale = found != streams_.end() && body.contains("attempt") && numberField(body, "attempt") < found->second->attempt_;
        if (found != streams_.end() && found->second->state_ == Stream::State::Running && !isStale) {
            ++cancelled_;
            found->second->state_ = Stream::State::Cancelled;
            found->second->change();
        }
    }
    json::object load;
    load["active"] = active_;
    co_await reply(exchange, 200, load);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for a model engine." };
    std::uint16_t port = 0;
    std::string name = "engine";
    std::map<std::string, std::int64_t> values {
        { "slots", 8 },
        { "decode_us", 5000 },
        { "prefill_us", 100 },
        { "export_us", 20 },
        { "cache_tokens", 100000 },
        { "detach_grace_ms", 5000 },
        { "leaving", 0 },
        { "refuse_import", 0 },
        { "refuse_export", 0 },
        { "attach_delay_ms", 0 },
        { "honours_fencing", 1 },
        { "load_ms", 300 },
        { "order_delay_ms", 0 },
        { "cancel_delay_ms", 0 },
    };
    app.add_option("--port", port, "Port, 0 for any");
    app.add_option("--name", name, "Part of each sampling run's name");
    for (auto& [key, value] : values)
        app.add_option("--" + key, value, "Initial value of the control");
    CLI11_PARSE(app, argc, argv);
    asio::io_context io;
    Engine engine(io, name, values);
    return serve(io, port, [&](HttpExchange& exchange) { return engine.handle(exchange); });
}
