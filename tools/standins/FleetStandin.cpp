//===- tools/standins/FleetStandin.cpp - a small users' platform ----------===//
///
/// \file
/// Simulates in one process a store that is a log of topics, the interface for duties,
/// and backend servers on their own ports. `POST /control` sets faults and returns
/// the calls and records that arrived. The stand-in records only what the tests query.
//===----------------------------------------------------------------------===//
#include "Standin.h"

#include <CLI/CLI.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/endian/conversion.hpp>
#include <deque>
#include <iostream>
#include <set>

using namespace pistachioloom;
using namespace pistachioloom::standin;
namespace json = boost::json;

namespace {

constexpr milliseconds pollPeriod { 10 };
constexpr milliseconds defaultIdleTimeout { 60000 };
// Time after which a brittle backend server that fell over serves again.
constexpr milliseconds fallDuration { 2000 };
constexpr const char* sealHeader = "X-Pistachioloom-Engine-Seal";
constexpr const char* attemptIdHeader = "X-Pistachioloom-Attempt-Id";

struct KeyedEntry {
    std::string value_;
    std::uint64_t offset_ = 0;
};

/// A log of records for each topic. For keyed topics it also stores the newest value of
/// each key.
class Log {
public:
    std::uint64_t append(const std::string& topic, std::string record)
    {
        std::vector<std::string>& records = topics_[topic];
        if (topic.starts_with("keyed.")) {
            auto length = static_cast<unsigned char>(record.at(0));
            std::string key = record.substr(1, length);
            std::string value = record.substr(1 + length);
            if (value.empty())
                keyed_[topic].erase(key);
            else
                keyed_[topic][key] = { value, records.size() };
        }
        records.push_back(std::move(record));
        return records.size() - 1;
    }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    }

    std::uint64_t end(const std::string& topic) { return topics_[topic].size(); }
    const std::vector<std::string>& records(const std::string& topic) { return topics_[topic]; }
    const std::map<std::string, KeyedEntry>& keyed(const std::string& topic) { return keyed_[topic]; }

private:
    std::map<std::string, std::vector<std::string>> topics_;
    std::map<std::string, std::map<std::string, KeyedEntry>> keyed_;
};

std::string keyOf(const json::object& entry)
{
    const json::array* bytes = arrayField(entry, "key_bytes");
    if (!bytes)
        return textField(entry, "key");
    std::string key;
    for (const json::value& byte : *bytes)
        key += static_cast<char>(byte.to_number<int>());
    return key;
}

void appendBigEndian64(std::string& bytes, std::uint64_t number)
{
    unsigned char big[8];
    boost::endian::store_big_u64(big, number);
    bytes.append(reinterpret_cast<char*>(big), sizeof big);
}

std::string encodeBase64(const std::string& bytes)
{
    std::string text(boost::beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(boost::beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// Where in its answer a backend server crashes.
enum class CrashPoint {
    None,
    BeforeHead,
    AfterHead,
    InsideEvent,
    AfterEvent,
};

CrashPoint parseCrashPoint(const std::string& text)
{
    static const std::map<std::string, CrashPoint> points { { "before_head", CrashPoint::BeforeHead }, { "after_head", CrashPoint::AfterHead }, { "inside_event", CrashPoint::InsideEvent }, { "after_event", CrashPoint::AfterEvent } };
    auto found = points.find(text);
    return found == points.end() ? CrashPoint::None : found->second;
}

/// Hooks of a backend server into the fleet.
struct BackendHooks {
    /// Called when a request starts to run. It may crash the server.
    std::function<void(const HttpRequest&)> onRun_;
    /// Returns where in the answer to a request the server crashes. Called once per request.
    std::function<CrashPoint(const HttpRequest&)> crashPointOf_;
    /// Crashes the server.
    std::function<void()> onCrash_;
    /// Returns whether event streams have neither a length nor chunks.
    std::function<bool()> isUnframed_;
};

/// One backend server. It answers with an event stream if the path contains /stream, else
/// with a plain body.
class Backend {
public:
    /// Closes idle connections after \p idleTimeout and advertises this in `Keep-Alive`. If
    /// \p idleTimeout is 0, uses a default that is not advertised.
    Backend(asio::io_context& io, std::string id, std::chrono::seconds idleTimeout)
        : id_(std::move(id))
        , announcedIdleTimeout_(idleTimeout)
        , reservation_(io)
        , server_(
              io.get_executor(), HttpBounds { { 64UL * 1024 }, { 64UL * 1024 * 1024 }, idleTimeout.count() ? milliseconds(idleTimeout) : defaultIdleTimeout }, [this](HttpExchange& exchange) { return handle(exchange); }, errorResponse)
    {
    }

    std::uint16_t listen() { return port_ = server_.listen({ "127.0.0.1", 0 }).value(); }
    const std::string& id() const { return id_; }
    /// How the connections of running requests end in a crash.
    enum class CrashKind {
        Close,
        Reset,
    };
    /// Simulates a crash: accepts no more connections and aborts running and new requests.
    void crash(CrashKind kind = CrashKind::Close)
    {
        isCrashed_ = true;
        server_.stopAccepting();
        asio::post(reservation_.get_executor(), [this] { reservePort(); });
        for (HttpExchange* exchange : runningExchanges_)
            kind == CrashKind::Reset ? exchange->reset() : exchange->abort();
    }
    void setHooks(BackendHooks hooks) { hooks_ = std::move(hooks); }

    json::object control(const json::object& body)
    {
        controls_.update(body);
        return { { "runs", runAttemptIds_ }, { "gone", abandonedRuns_ }, { "turned_away", rejected_ }, { "headers", headers_ }, { "moved", movedRuns_ }, { "port", port_ }, { "falls", falls_ }, { "limited_arrivals", limitedArrivals_ }, { "resumed", resumeSources_ }, { "dropped", releasedHandles_ } };
    }

private:
    asio::awaitable<void> handle(HttpExchange& exchange)
    {
        const HttpRequest& request = exchange.request();
        if (isCrashed_) {
            exchange.abort();
            co_return;
        }
        if (request.path() == "/kv-move")
            co_return co_await move(exchange);
        if (request.path().starts_with("/kv-handle/")) {
            releasedHandles_.emplace_back(request.path());
            co_return co_await reply(exchange, 200, json::object {});
        }
        HttpResponse answer { 200, { { sealHeader, "seal-" + id_ }, { attemptIdHeader, request.header("x-pistachioloom-attempt-id") } }, {} };
        if (announcedIdleTimeout_.count())
            answer.headers_["Keep-Alive"] = "timeout=" + std::to_string(announcedIdleTimeout_.count());
        if (request.header("x-pistachioloom-expect-instance") != id_) {
            answer.status_ = 421;
            (void)co_await exchange.respond(std::move(answer));
            co_return;
        }
        if (controls_["limit_per_1000_s"]) {
            answer.headers_["Server-Limit"] = std::to_string(static_cast<double>(controls_["limit_per_1000_s"]) / 1000);
            limitedArrivals_.emplace_back(std::chrono::duration_cast<milliseconds>(steadyNow().time_since_epoch()).count());
        }
        if (controls_["brittle"] && !admitWhileBrittle(answer)) {
            if (isDown())
                exchange.abort();
            else
                (void)co_await exchange.respond(std::move(answer));
            co_return;
        }
        if (controls_["says_leaving"])
            answer.headers_["Server-Leaving"] = "1";
        if (controls_["full"]) {
            ++rejected_;
            answer.status_ = 503;
            answer.headers_["X-Pistachioloom-Not-Executed"] = "1";
            if (controls_["retry_after_ms"])
                answer.headers_["Retry-After"] = std::to_string(static_cast<double>(controls_["retry_after_ms"]) / 1000);
            (void)co_await exchange.respond(std::move(answer));
            co_return;
        }
        std::string from = request.header("kv-from");
        if (!from.empty() && controls_["lose_copies"]) {
            answer.status_ = 503;
            answer.headers_["X-Pistachioloom-Not-Executed"] = "1";
            (void)co_await exchange.respond(std::move(answer));
            co_return;
        }
        if (!from.empty())
            resumeSources_.emplace_back(from);
        recordRun(request);
        runningExchanges_.insert(&exchange);
        co_await answerRun(exchange, std::move(answer));
        runningExchanges_.erase(&exchange);
    }

    /// Keeps the port of a crashed server bound without listening, so that no other process gets it and
    /// answers in its place.
    void reservePort()
    {
        boost::system::error_code ignored;
        asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"), port_);
        reservation_.open(address.protocol(), ignored);
        reservation_.set_option(asio::socket_base::reuse_address(true), ignored);
        reservation_.bind(address, ignored);
    }

    bool isDown() const { return steadyNow() < downUntil_; }

    /// Whether a brittle server takes one more request. It rejects those beyond `brittle_slots`
    /// and falls over when it has rejected more than `brittle` requests in a second.
    bool admitWhileBrittle(HttpResponse& answer)
    {
        if (isDown())
            return false;
        answer.headers_["Server-Brittle"] = std::to_string(controls_["brittle"]);
        if (runningExchanges_.size() < static_cast<std::size_t>(controls_["brittle_slots"]))
            return true;
        SteadyTime now = steadyNow();
        answer.status_ = 503;
        answer.headers_["X-Pistachioloom-Not-Executed"] = "1";
        recentRejections_.push_back(now);
        while (now - recentRejections_.front() > std::chrono::seconds(1))
            recentRejections_.pop_front();
        if (recentRejections_.size() <= static_cast<std::size_t>(controls_["brittle"]))
            return false;
        ++falls_;
        recentRejections_.clear();
        downUntil_ = now + fallDuration;
        for (HttpExchange* exchange : runningExchanges_)
            exchange->abort();
        return false;
    }

    asio::awaitable<void> answerRun(HttpExchange& exchange, HttpResponse answer)
    {
        const HttpRequest& request = exchange.request();
        if (hooks_.onRun_)
            hooks_.onRun_(request);
        if (isCrashed_)
            co_return;
        if (controls_["no_seal"])
            answer.headers_.erase(sealHeader);
        if (request.path().find("/stream") != std::string::npos)
            co_return co_await stream(exchange, std::move(answer));
        co_await pause(milliseconds(controls_["delay_ms"]));
        if (controls_["lose_answers"]) {
            exchange.abort();
            co_return;
        }
        if (shouldFail())
            answer.status_ = 500;
        if (controls_["other_id"])
            answer.headers_[attemptIdHeader] = "somebody-else";
        answer.body_ = request.method_ + " " + request.target_ + " " + request.body_;
        (void)co_await exchange.respond(std::move(answer));
    }

    /// Returns whether the current request fails, as every `fails_one_in`-th one does.
    bool shouldFail() { return controls_["fails_one_in"] && runAttemptIds_.size() % static_cast<std::size_t>(controls_["fails_one_in"]) == 0; }

    void recordRun(const HttpRequest& request)
    {
        runAttemptIds_.emplace_back(request.header("x-pistachioloom-attempt-id"));
        headers_.clear();
        for (const auto& [name, value] : request.headers_)
            headers_[name] = value;
    }

    /// Copies the KV cache of a run, and stops the run if the body sets `last`.
    asio::awaitable<void> move(HttpExchange& exchange)
    {
        json::object body = parseJsonObject(exchange.request().body_).value_or(json::object {});
        std::string id = textField(body, "id");
        bool isLast = flagField(body, "last");
        co_await pause(milliseconds(controls_["move_ms"]));
        if (controls_["refuse_moves"])
            co_return co_await reply(exchange, 503, json::object {});
        auto found = streams_.find(id);
        if (found == streams_.end() || (isLast && controls_["refuse_stops"]))
            co_return co_await reply(exchange, 404, json::object {});
        if (isLast) {
            found->second.isStopped_ = true;
            movedRuns_.emplace_back(id);
        }
        json::object copied { { "handle", "copy-of-" + id }, { "create_revision", found->second.lastEventId_ } };
        if (isLast)
            co_await pause(milliseconds(controls_["stop_ms"]));
        if (isLast && controls_["lose_stops"]) {
            exchange.abort();
            co_return;
        }
        co_await reply(exchange, isLast && controls_["stop_finds_no_room"] ? 503 : 200, copied);
    }

    asio::awaitable<void> stream(HttpExchange& exchange, HttpResponse head)
    {
        std::string id = exchange.request().header("x-pistachioloom-attempt-id");
        streams_[id] = {};
        co_await writeEvents(exchange, std::move(head), streams_[id]);
        streams_.erase(id);
    }

    /// A running event stream.
    struct Stream {
        std::int64_t lastEventId_ = 0;
        bool isStopped_ = false;
    };

    asio::awaitable<void> writeEvents(HttpExchange& exchange, HttpResponse head, Stream& stream)
    {
        head.headers_["Content-Type"] = "text/event-stream";
        std::string last = exchange.request().header("last-event-id");
        std::int64_t next = last.empty() ? 1 : std::stoll(last) + 1;
        co_await pause(milliseconds(controls_["delay_ms"]));
        if (shouldFail()) {
            head.status_ = 500;
            (void)co_await exchange.respond(std::move(head));
            co_return;
        }
        const CrashPoint crashPoint = hooks_.crashPointOf_(exchange.request());
        if (crashPoint == CrashPoint::BeforeHead)
            co_return hooks_.onCrash_();
        const bool isUnframed = hooks_.isUnframed_() || controls_["unframed"];
        auto begun = co_await begin(exchange, std::move(head), isUnframed);
        if (!begun)
            co_return;
        if (crashPoint == CrashPoint::AfterHead)
            co_return hooks_.onCrash_();
        for (std::int64_t id = next; id <= controls_["events"]; ++id) {
            if (id == controls_["cut_at"]) {
                if (controls_["cut_once"])
                    controls_.update({ { "cut_at", 0 } });
                // The connection is closed in the middle of an event.
                std::string part = "id: " + std::to_string(id) + "\nda";
                (void)co_await writeBytes(exchange, std::move(part), isUnframed);
                exchange.abort();
                co_return;
            }
            if (crashPoint == CrashPoint::InsideEvent) {
                std::string part = "id: " + std::to_string(id) + "\nda";
                (void)co_await writeBytes(exchange, std::move(part), isUnframed);
                co_return hooks_.onCrash_();
            }
            std::string sender = controls_["names_sender"] ? " from " + id_ : "";
            std::string event = "id: " + std::to_string(id) + "\ndata: event " + std::to_string(id) + sender + "\n\n";
            auto written = co_await writeBytes(exchange, std::move(event), isUnframed);
            if (!written) {
                abandonedRuns_.emplace_back(exchange.request().header("x-pistachioloom-attempt-id"));
                co_return;
            }
            if (crashPoint == CrashPoint::AfterEvent)
                co_return hooks_.onCrash_();
            stream.lastEventId_ = id;
            if (stream.isStopped_ || isCrashed_) {
                exchange.abort();
                co_return;
            }
            co_await pause(milliseconds(controls_["gap_ms"]));
        }
        // A stream without framing ends with its connection.
        if (!isUnframed)
            (void)co_await exchange.endStream();
    }

    static asio::awaitable<Result<void>> begin(HttpExchange& exchange, HttpResponse head, bool isUnframed)
    {
        if (!isUnframed)
            co_return co_await exchange.beginStream(std::move(head));
        std::string bytes = "HTTP/1.1 " + std::to_string(head.status_) + " OK\r\n";
        for (const auto& [name, value] : head.headers_)
            bytes += name + ": " + value + "\r\n";
        bytes += "\r\n";
        co_return co_await exchange.writeRaw(std::move(bytes));
    }

    static asio::awaitable<Result<void>> writeBytes(HttpExchange& exchange, std::string bytes, bool isUnframed)
    {
        if (isUnframed)
            co_return co_await exchange.writeRaw(std::move(bytes));
        co_return co_await exchange.writeChunk(std::move(bytes));
    }

    std::string id_;
    std::chrono::seconds announcedIdleTimeout_;
    asio::ip::tcp::socket reservation_;
    bool isCrashed_ = false;
    BackendHooks hooks_;
    std::set<HttpExchange*> runningExchanges_;
    HttpServer server_;
    std::uint16_t port_ = 0;
    Controls controls_ { { { "delay_ms", 0 }, { "full", 0 }, { "retry_after_ms", 0 }, { "says_leaving", 0 }, { "limit_per_1000_s", 0 }, { "brittle", 0 }, { "brittle_slots", 8 }, { "lose_answers", 0 }, { "fails_one_in", 0 }, { "other_id", 0 }, { "no_seal", 0 }, { "events", 5 }, { "gap_ms", 5 }, { "cut_at", 0 }, { "cut_once", 0 }, { "names_sender", 0 }, { "refuse_moves", 0 }, { "refuse_stops", 0 }, { "unframed", 0 }, { "stop_finds_no_room", 0 }, { "lose_stops", 0 }, { "stop_ms", 0 }, { "move_ms", 0 }, { "lose_copies", 0 } } };
    /// Attempt ids of the requests that started to run, in order.
    json::array runAttemptIds_;
    /// Number of requests answered 503 without execution.
    std::int64_t rejected_ = 0;
    std::deque<SteadyTime> recentRejections_;
    SteadyTime downUntil_ {};
    /// How often the server fell over.
    std::int64_t falls_ = 0;
    /// Arrival times, in ms of steadyNow(), of the requests that came while a limit was stated.
    json::array limitedArrivals_;
    /// Attempt ids of event streams whose caller disconnected.
    json::array abandonedRuns_;
    /// Headers of the request that started to run last.
    json::object headers_;
    std::map<std::string, Stream> streams_;
    /// Attempt ids of runs that were stopped to resume on another backend server.
    json::array movedRuns_;
    /// Sources of the KV caches from which requests resumed.
    json::array resumeSources_;
    /// Paths of the calls that released a KV cache copy from which no request will resume.
    json::array releasedHandles_;
};

/// The users' platform: a store, the interface for duties, and backend servers.
class Fleet {
public:
    explicit Fleet(asio::io_context& io)
        : io_(io)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) { return handle(exchange, {}); }

private:
    /// Handles a request that arrived through \p view; see control().
    asio::awaitable<void> handle(HttpExchange& exchange, std::string view)
    {
        const std::string path = exchange.request().path();
        if (path == "/control")
            co_return co_await control(exchange);
        if (controls_["down"]) {
            exchange.abort();
            co_return;
        }
        if (path == "/log-append")
            co_return co_await append(exchange);
        if (path == "/log-read")
            co_return co_await read(exchange, view);
        if (path == "/log-newest")
            co_return co_await readNewest(exchange, view);
        recordDutyCall(exchange.request(), path);
        co_await reply(exchange, 200, json::object {});
    }

    /// Applies the keys of the body. Returns the duty calls, crashes and statuses so far, and
    /// the ports of the backend servers that it started.
    /// `backends`: starts backend servers. They are not registered in the store if they
    /// have `unregistered`. With `idle_s`, they close idle connections after that many
    /// seconds and advertise it.
    /// `put`: appends entries to keyed topics, under `key`, or the bytes whose numbers are in
    /// `key_bytes`.
    /// `reclaim`: marks a backend server as about to be reclaimed.
    /// `restart`: crashes a backend server and starts another under the same id.
    /// `crash_text`: a request whose body contains it crashes each backend server that
    /// starts to run it. A replacement starts `restart_ms` later.
    /// `crash_parts`: prompt parts. A request with one of them, other than as its last part,
    /// crashes each backend server at `crash_point` of its answer: `before_head`,
    /// `after_head`, `inside_event` or `after_event`; with `crash_one_in`, only every n-th such
    /// request does. The server's connections are reset with `crash_resets`, else closed. With
    /// `keeps_id`, replacements have the id of the crashed server.
    /// `unframed`: event streams have neither a length nor chunks.
    /// `crash_some`: crashes this many backend servers of the service `crash_service` at once.
    /// `backend`: sets faults of one backend server and returns what that one recorded.
    /// `born`: returns the start time of a backend server.
    /// `view`: returns in `view_port` a port at which the registered addresses of backend
    /// servers are replaced by those in `view_addresses`, by id, as they are set for this view.
    asio::awaitable<void> control(HttpExchange& exchange)
    {
        json::object body = parseJsonObject(exchange.request().body_).value_or(json::object {});
        controls_.update(body);
        json::object answer;
        json::object ports;
        for (const json::object& spec : objectsField(body, "backends"))
            ports[textField(spec, "id")] = startBackend(spec);
        for (const json::object& entry : objectsField(body, "put"))
            log_.put(textField(entry, "topic"), keyOf(entry), textField(entry, "value"));
        auto reclaimed = registrations_.find(textField(body, "reclaim"));
        if (reclaimed != registrations_.end()) {
            reclaimed->second["phase"] = "draining";
            reclaimed->second["spot"] = true;
            log_.put("keyed.servers", reclaimed->first, json::serialize(reclaimed->second));
        }
        if (registrations_.contains(textField(body, "restart")))
            restart(textField(body, "restart"));
        if (body.contains("crash_text"))
            crashText_ = textField(body, "crash_text");
        if (const json::value* parts = body.if_contains("crash_parts"))
            crashParts_ = json::value_to<std::set<std::string>>(*parts);
        if (body.contains("crash_point"))
            crashPoint_ = parseCrashPoint(textField(body, "crash_point"));
        if (body.contains("crash_some"))
            crashSome(textField(body, "crash_service"), static_cast<std::size_t>(numberField(body, "crash_some")));
        if (Backend* chosen = find(textField(body, "backend")))
            answer = chosen->control(body);
        if (std::string view = textField(body, "view"); !view.empty())
            answer["view_port"] = openView(view, body);
        auto queried = registrations_.find(textField(body, "born"));
        if (queried != registrations_.end())
            answer["born"] = queried->second.at("born");
        answer["duties"] = recordedDutyCalls_;
        answer["crashes"] = crashes_;
        answer["part_arrivals"] = partArrivals_;
        answer["statuses"] = statuses_;
        answer["ports"] = ports;
        co_await reply(exchange, 200, answer);
    }

    /// Sets addresses of \p view, and starts its server if it does not exist.
    /// \returns its port.
    std::uint16_t openView(const std::string& view, const json::object& body)
    {
        View& opened = views_[view];
        if (const json::value* addresses = body.if_contains("view_addresses"))
            opened.addresses_ = addresses->as_object();
        if (!opened.server_) {
            HttpBounds bounds;
            bounds.body_ = { 64UL * 1024 * 1024 };
            opened.server_ = std::make_unique<HttpServer>(
                io_.get_executor(), bounds, [this, view](HttpExchange& exchange) { return handle(exchange, view); }, errorResponse);
            opened.port_ = opened.server_->listen({ "127.0.0.1", 0 }).value();
        }
        return opened.port_;
    }

    /// Returns the registration \p value of \p id as \p view shows it.
    std::string seenThrough(const std::string& view, const std::string& topic, const std::string& id, const std::string& value)
    {
        auto found = views_.find(view);
        if (found == views_.end() || topic != "keyed.servers" || !found->second.addresses_.contains(id))
            return value;
        auto entry = parseJsonObject(value);
        if (!entry)
            return value;
        (*entry)["address"] = found->second.addresses_.at(id);
        return json::serialize(*entry);
    }

    /// Returns a record of \p topic as \p view shows it.
    std::string recordThrough(const std::string& view, const std::string& topic, const std::string& record)
    {
        if (view.empty() || topic != "keyed.servers")
            return record;
        auto length = static_cast<unsigned char>(record.at(0));
        std::string key = record.substr(1, length);
        return record.substr(0, 1 + length) + seenThrough(view, topic, key, record.substr(1 + length));
    }

    /// Returns the running backend server of \p id, else the one of this id that crashed
    /// last, else nullptr.
    Backend* find(const std::string& id)
    {
        auto running = backends_.find(id);
        if (running != backends_.end())
            return running->second.get();
        auto crashed = std::find_if(crashedBackends_.rbegin(), crashedBackends_.rend(), [&](const auto& backend) { return backend->id() == id; });
        return crashed == crashedBackends_.rend() ? nullptr : crashed->get();
    }

    /// Crashes the backend server of \p id and starts another with the same id on another
    /// port.
    void restart(const std::string& id)
    {
        json::object spec = registrations_[id];
        spec["id"] = id;
        spec["phase"] = "up";
        // The crashed server is kept because its handlers may still be suspended. It receives
        // no more requests.
        crashedBackends_.push_back(std::move(backends_[id]));
        crashedBackends_.back()->crash();
        startBackend(spec);
    }

    std::uint16_t startBackend(const json::object& spec)
    {
        std::string id = textField(spec, "id");
        std::chrono::seconds idleTimeout(spec.contains("idle_s") ? numberField(spec, "idle_s") : 0);
        auto backend = std::make_unique<Backend>(io_, id, idleTimeout);
        json::object entry { { "version", "v1" }, { "cold_left_ms", 0 }, { "call_seq", 0 } };
        for (const auto& field : spec)
            entry[field.key()] = field.value();
        entry.erase("id");
        std::uint16_t port = backend->listen();
        entry["address"] = "127.0.0.1:" + std::to_string(port);
        entry["born"] = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        if (!entry.contains("unregistered"))
            log_.put("keyed.servers", id, json::serialize(entry));
        registrations_[id] = std::move(entry);
        BackendHooks hooks;
        hooks.onRun_ = [this, id](const HttpRequest& request) { crashIfMatching(id, request); };
        hooks.crashPointOf_ = [this, id](const HttpRequest& request) { return crashPointOf(id, request); };
        hooks.onCrash_ = [this, id, raw = backend.get()] { crashBackend(id, *raw); };
        hooks.isUnframed_ = [this] { return controls_["unframed"] != 0; };
        backend->setHooks(std::move(hooks));
        backends_[id] = std::move(backend);
        return port;
    }

    /// Crashes the backend server of \p id if the body of \p request contains `crash_text`.
    void crashIfMatching(const std::string& id, const HttpRequest& request)
    {
        if (crashText_.empty() || request.body_.find(crashText_) == std::string::npos)
            return;
        crashes_.push_back(json::object { { "backend", id }, { "at_ms", nowMs() }, { "request", request.header("x-pistachioloom-attempt-id") } });
        crashBackend(id, *backends_[id]);
    }

    static std::int64_t nowMs() { return std::chrono::duration_cast<milliseconds>(steadyNow().time_since_epoch()).count(); }

    /// Returns the part of the prompt of \p request, other than the last one, that is one of
    /// `crash_parts`; empty if there is none.
    std::string crashPartOf(const HttpRequest& request) const
    {
        std::string header = request.header("x-pistachioloom-prompt-prefix");
        std::string_view rest = header;
        for (std::size_t comma = rest.find(','); comma != std::string_view::npos; comma = rest.find(',')) {
            std::string part(rest.substr(0, rest.find(':')));
            if (crashParts_.contains(part))
                return part;
            rest.remove_prefix(comma + 1);
        }
        return {};
    }

    CrashPoint crashPointOf(const std::string& id, const HttpRequest& request)
    {
        std::string part = crashParts_.empty() ? std::string() : crashPartOf(request);
        if (part.empty())
            return CrashPoint::None;
        partArrivals_.push_back(json::object { { "backend", id }, { "at_ms", nowMs() }, { "part", part }, { "request", request.header("x-pistachioloom-attempt-id") } });
        bool crashes = partArrivals_.size() % static_cast<std::size_t>(controls_["crash_one_in"]) == 0;
        if (!crashes)
            return CrashPoint::None;
        crashes_.push_back(partArrivals_.back());
        return crashPoint_;
    }

    /// Crashes \p backend, which has \p id, unless that has happened already.
    void crashBackend(const std::string& id, Backend& backend)
    {
        auto running = backends_.find(id);
        if (running == backends_.end() || running->second.get() != &backend)
            return;
        crashedBackends_.push_back(std::move(running->second));
        backends_.erase(running);
        crashedBackends_.back()->crash(controls_["crash_resets"] ? Backend::CrashKind::Reset : Backend::CrashKind::Close);
        asio::co_spawn(io_, replaceCrashed(id), asio::detached);
    }

    void crashSome(const std::string& service, std::size_t count)
    {
        std::vector<std::string> ids;
        for (const auto& [id, backend] : backends_) {
            if (textField(registrations_[id], "service") == service)
                ids.push_back(id);
        }
        for (std::size_t i = 0; i < std::min(count, ids.size()); ++i) {
            std::swap(ids[i], ids[i + randomBits() % (ids.size() - i)]);
            crashBackend(ids[i], *backends_[ids[i]]);
        }
    }

    /// Starts a replacement for the crashed backend server of \p id. It has a new id, and the
    /// registration of \p id is deleted, unless `keeps_id` is set.
    asio::awaitable<void> replaceCrashed(std::string id)
    {
        co_await pause(milliseconds(controls_["restart_ms"]));
        json::object spec = registrations_[id];
        spec["id"] = controls_["keeps_id"] ? id : id + "'";
        registrations_.erase(id);
        if (!controls_["keeps_id"])
            log_.put("keyed.servers", id, "");
        startBackend(spec);
    }

    asio::awaitable<void> append(HttpExchange& exchange)
    {
        const HttpRequest& request = exchange.request();
        std::string topic = request.query("topic");
        std::string at = request.query("at");
        if (!at.empty() && std::stoull(at) != log_.end(topic)) {
            json::object conflict { { "end", log_.end(topic) } };
            co_return co_await reply(exchange, 412, conflict);
        }
        std::string producer = request.query("producer");
        if (!producer.empty()) {
            std::uint64_t epoch = std::stoull(request.query("epoch"));
            std::uint64_t sequence = std::stoull(request.query("call_seq"));
            ProducerState& producerState = producerStates_[topic + "/" + producer];
            bool isRepeat = epoch == producerState.epoch_ && sequence == producerState.sequence_;
            bool isNext = epoch > producerState.epoch_ || (epoch == producerState.epoch_ && sequence == producerState.sequence_ + 1);
            if (!isRepeat && !isNext) {
                json::object conflict { { "reason", epoch < producerState.epoch_ ? "fenced" : "seq" } };
                co_return co_await reply(exchange, 409, conflict);
            }
            if (isRepeat) {
                json::object done { { "offset", producerState.offset_ }, { "end", log_.end(topic) } };
                co_return co_await reply(exchange, 200, done);
            }
            producerState = { epoch, sequence, log_.end(topic) };
        }
        if (topic == "keyed.status") {
            auto length = static_cast<unsigned char>(request.body_.at(4));
            statuses_.push_back(json::object { { "key", request.body_.substr(5, length) }, { "value", request.body_.substr(5U + length) } });
        }
        std::uint64_t offset = log_.append(topic, request.body_.substr(4));
        if (controls_["lose_appends"]) {
            exchange.abort();
            co_return;
        }
        json::object done { { "offset", offset }, { "end", log_.end(topic) } };
        co_await reply(exchange, 200, done);
    }

    asio::awaitable<void> read(HttpExchange& exchange, std::string view)
    {
        const HttpRequest& request = exchange.request();
        std::string topic = request.query("topic");
        std::uint64_t from = std::stoull(request.query("from"));
        std::string wait = request.query("wait_ms");
        SteadyTime deadline = steadyNow() + milliseconds(wait.empty() ? 0 : std::stoll(wait));
        while (from >= log_.end(topic) && steadyNow() < deadline && !controls_["down"])
            co_await pause(pollPeriod);
        std::string body;
        appendBigEndian64(body, log_.end(topic));
        appendBigEndian64(body, 0);
        for (std::uint64_t offset = from; offset < log_.end(topic); ++offset) {
            const std::string record = recordThrough(view, topic, log_.records(topic)[offset]);
            unsigned char length[4];
            boost::endian::store_big_u32(length, static_cast<std::uint32_t>(record.size()));
            body.append(reinterpret_cast<char*>(length), sizeof length).append(record);
        }
        HttpResponse answer { 200, {}, std::move(body) };
        (void)co_await exchange.respond(std::move(answer));
    }

    asio::awaitable<void> readNewest(HttpExchange& exchange, std::string view)
    {
        std::string topic = exchange.request().query("topic");
        json::array entries;
        for (const auto& [key, entry] : log_.keyed(topic))
            entries.push_back(json::object { { "key", key }, { "value", encodeBase64(seenThrough(view, topic, key, entry.value_)) }, { "offset", entry.offset_ } });
        json::object answer { { "entries", entries }, { "has_more", false }, { "end", log_.end(topic) } };
        co_await reply(exchange, 200, answer);
    }

    void recordDutyCall(const HttpRequest& request, const std::string& path)
    {
        json::object duty { { "call", path }, { "holder", request.header("x-pistachioloom-duty-holder") }, { "token", std::stoll("0" + request.header("x-pistachioloom-fence-token")) } };
        duty["at_ms"] = std::chrono::duration_cast<milliseconds>(steadyNow().time_since_epoch()).count();
        duty["body"] = parseJsonObject(request.body_).value_or(json::object {});
        recordedDutyCalls_.push_back(std::move(duty));
    }

    /// See control().
    struct View {
        std::uint16_t port_ = 0;
        json::object addresses_;
        std::unique_ptr<HttpServer> server_;
    };

    asio::io_context& io_;
    Log log_;
    std::map<std::string, View> views_;
    Controls controls_ { { { "down", 0 }, { "lose_appends", 0 }, { "restart_ms", 1000 }, { "crash_resets", 0 }, { "crash_one_in", 1 }, { "keeps_id", 0 }, { "unframed", 0 } } };
    std::map<std::string, std::unique_ptr<Backend>> backends_;
    /// Crashed backend servers, oldest first.
    std::vector<std::unique_ptr<Backend>> crashedBackends_;
    /// The registration of each backend server, by id.
    std::map<std::string, json::object> registrations_;
    json::array recordedDutyCalls_;
    std::string crashText_;
    std::set<std::string> crashParts_;
    CrashPoint crashPoint_ = CrashPoint::AfterHead;
    json::array crashes_;
    /// The requests with one of crashParts_ that reached a backend server.
    json::array partArrivals_;
    struct ProducerState {
        std::uint64_t epoch_ = 0;
        std::uint64_t sequence_ = 0;
        std::uint64_t offset_ = 0;
    };
    /// The last append of each producer to each topic.
    std::map<std::string, ProducerState> producerStates_;
    /// Records of the `keyed.status` topic in order.
    json::array statuses_;
};

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for the users' platform: store, duties and backend servers." };
    std::uint16_t port = 0;
    app.add_option("--port", port, "Port to listen on; 0 lets the kernel choose");
    CLI11_PARSE(app, argc, argv);
    asio::io_context io;
    Fleet fleet(io);
    return serve(io, port, [&](HttpExchange& exchange) { return fleet.handle(exchange); });
}
