//===- lib/Node/CallerApi.cpp - HTTP interface for callers ----------------===//
///
/// \file
/// Routing and authentication of requests, generations and service calls.
//===----------------------------------------------------------------------===//
#include "CallerApi.h"

#include "EventStream.h"
#include "generated/Peer.pb.h"
#include "pistachioloom/Json.h"

namespace pistachioloom {

namespace {

    constexpr std::uint64_t defaultMaxTokens = 256;
    constexpr std::string_view requestsPath = "/v1/requests/";
    constexpr std::string_view servicesPath = "/services/";
    constexpr std::size_t maxIdempotencyKeySize = 256;
    constexpr milliseconds notReadyRetryAfter { 1000 };
    constexpr milliseconds minDeadline { 1 };

    Error invalidInput(const std::string& message)
    {
        return { Errc::InvalidInput, "read request", {}, message, Ran::No, {} };
    }

    Result<std::string> chatPrompt(const boost::json::object& body)
    {
        const boost::json::array* messages = arrayField(body, "messages");
        if (!messages || messages->empty())
            return invalidInput("messages: expected a list with at least one message");
        std::string prompt;
        for (const boost::json::value& value : *messages) {
            if (!value.is_object())
                return invalidInput("messages: expected objects with role and content");
            std::string role = textField(value.as_object(), "role");
            std::string content = textField(value.as_object(), "content");
            if (role.empty() || content.empty())
                return invalidInput("messages: expected a role and a content in each");
            prompt.append(role).append(": ").append(content).append("\n");
        }
        return prompt;
    }

} // namespace

struct CallerApi::CompletionRequest {
    std::string model_;
    std::string prompt_;
    std::uint64_t maxTokens_ = 0;
    bool isStream_ = false;
};

CallerApi::CallerApi(NodeContext& context, GenerationOwner& owner, AnswerFinder& finder, LimitClient& limits, ServiceRouter& services, GaugesHook gauges)
    : context_(context)
    , owner_(owner)
    , finder_(finder)
    , limits_(limits)
    , services_(services)
    , gauges_(std::move(gauges))
    , logger_("callers")
{
}

asio::awaitable<void> CallerApi::handle(HttpExchange& exchange)
{
    CountGuard counted(running_);
    auto handled = co_await route(exchange);
    if (handled)
        co_return;
    if (exchange.hasStartedAnswer()) {
        logger_.debug("Answer was interrupted: " + describe(handled.error()) + ".");
        exchange.abort();
        co_return;
    }
    context_.metrics_.add(Counter::RequestsRefused);
    (void)co_await exchange.respond(errorResponse(handled.error()));
}

Result<CallerApi::EntryPtr> CallerApi::authenticate(const HttpRequest& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    std::string authorization = request.header("authorization");
    if (!std::string_view(authorization).starts_with(scheme))
        return Error { Errc::Unauthorised, "authenticate", {}, "expected 'Authorization: Bearer KEY'", Ran::No, {} };
    auto catalogue = context_.catalogue();
    if (!catalogue->nextOffset_.value_)
        return Error { Errc::Unavailable, "authenticate", context_.self().value_, "the catalogue is not known here yet", Ran::No, notReadyRetryAfter };
    auto entry = catalogue->findByApiKey(std::string_view(authorization).substr(scheme.size()));
    if (!entry)
        return Error { Errc::Unauthorised, "authenticate", {}, "unknown API key", Ran::No, {} };
    return entry;
}

asio::awaitable<Result<void>> CallerApi::route(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    std::string path = request.path();
    bool isGet = request.method_ == "GET";
    if (path == "/healthz" && isGet)
        co_return co_await exchange.respond(jsonResponse(200, "{\"status\":\"up\"}"));
    if (path == "/readyz" && isGet) {
        bool isReady = !context_.isDraining_ && context_.catalogue()->nextOffset_.value_;
        if (isReady)
            co_return co_await exchange.respond(jsonResponse(200, "{\"status\":\"ready\"}"));
        co_return Error { context_.isDraining_ ? Errc::Leaving : Errc::Unavailable, "readiness", context_.self().value_, "takes no new callers", Ran::No, notReadyRetryAfter };
    }
    if (path == "/metrics" && isGet) {
        HttpResponse response { 200, { { "content-type", "text/plain; version=0.0.4" } }, context_.metrics_.render(gauges_()) };
        co_return co_await exchange.respond(std::move(response));
    }
    bool isChat = path == "/v1/chat/completions";
    bool isCompletion = isChat || path == "/v1/completions";
    bool isFetch = path.starts_with(requestsPath);
    bool isService = path.starts_with(servicesPath);
    if (!isCompletion && !isFetch && !isService && path != "/v1/models")
        co_return Error { Errc::NotFound, "route", {}, "no such resource", Ran::No, {} };
    if (isCompletion ? request.method_ != "POST" : !isService && !isGet)
        co_return Error { Errc::MethodNotAllowed, "route", {}, "wrong method for this resource", Ran::No, {} };
    auto entry = authenticate(request);
    if (!entry)
        co_return entry.error();
    if (isCompletion)
        co_return co_await complete(exchange, entry.value(), isChat);
    if (isFetch)
        co_return co_await fetchAnswer(exchange, entry.value());
    if (isService)
        co_return co_await callService(exchange, entry.value());
    co_return co_await exchange.respond(listModels(*entry.value()));
}

HttpResponse CallerApi::listModels(const CatalogueEntry& entry) const
{
    boost::json::array models;
    for (const std::string& model : entry.workload_->models_)
        models.push_back(boost::json::object { { "id", model }, { "object", "model" } });
    return jsonResponse(200, boost::json::serialize(boost::json::object { { "object", "list" }, { "data", std::move(models) } }));
}

milliseconds CallerApi::deadlineOf(const HttpRequest& request, const CatalogueEntry& entry) const
{
    milliseconds limit = entry.workload_->limits_.deadline_;
    std::string text = request.header("x-deadline-ms");
    if (text.empty() || text.size() > 9 || text.find_first_not_of("0123456789") != std::string::npos)
        return limit;
    return std::clamp(milliseconds(std::stoll(text)), minDeadline, limit);
}

Result<CallerApi::CompletionRequest> CallerApi::parseCompletion(const HttpRequest& request, const CatalogueEntry& entry, bool isChat) const
{
    auto body = parseJsonObject(request.body_);
    if (!body)
        return invalidInput("body: expected a JSON object");
    CompletionRequest completion;
    completion.model_ = textField(*body, "model");
    if (completion.model_.empty())
        return invalidInput("model: expected a text");
    const auto& allowed = entry.workload_->models_;
    if (std::find(allowed.begin(), allowed.end(), completion.model_) == allowed.end())
        return Error { Errc::NotFound, "find model", completion.model_, "this entry has no such model", Ran::No, {} };
    if (isChat) {
        auto prompt = chatPrompt(*body);
        if (!prompt)
            return prompt.error();
        completion.prompt_ = prompt.value();
    } else {
        completion.prompt_ = textField(*body, "prompt");
        if (completion.prompt_.empty())
            return invalidInput("prompt: expected a text");
    }
    completion.maxTokens_ = body->contains("max_tokens") ? numberField(*body, "max_tokens") : defaultMaxTokens;
    std::uint64_t maxTokensAllowed = context_.settings_.caller_.maxTokens_;
    if (!completion.maxTokens_ || completion.maxTokens_ > maxTokensAllowed)
        return invalidInput("max_tokens: expected a whole number from 1 to " + std::to_string(maxTokensAllowed));
    completion.isStream_ = flagField(*body, "stream");
    return completion;
}

asio::awaitable<Result<void>> CallerApi::complete(HttpExchange& exchange, EntryPtr entry, bool isChat)
{
    auto parsed = parseCompletion(exchange.request(), *entry, isChat);
    if (!parsed)
        co_return parsed.error();
    const CompletionRequest& completion = parsed.value();
    TraceContext trace = parseTraceparent(exchange.request().header("traceparent"));
    auto admitted = co_await limits_.admit(entry, completion.maxTokens_);
    if (!admitted)
        co_return admitted.error();
    const Workload& workload = *entry->workload_;
    wire::GenerationRecord record;
    record.set_organisation(workload.owner_.value_);
    record.set_entry(entry->name_.value_);
    record.set_model(completion.model_);
    record.set_prompt(completion.prompt_);
    record.set_max_tokens(completion.maxTokens_);
    record.set_is_paid(workload.class_ == ServiceClass::Paid);
    record.set_priority(static_cast<std::int32_t>(workload.priority_));
    record.set_weight(workload.weight_);
    record.set_queue_bound(workload.limits_.queueBound_);
    record.set_latency_target_ms(static_cast<std::uint64_t>(workload.limits_.latencyTarget_.count()));
    record.set_deadline_ms(static_cast<std::uint64_t>(deadlineOf(exchange.request(), *entry).count()));
    record.set_traceparent(trace.toHeader());
    GenerationPtr generation = owner_.begin(std::move(record));
    SpanScope scope(context_.tracer_, trace, "entry", generation->id());
    auto source = readGeneration(generation);
    auto rejection = co_await generation->waitAccepted(generation->addReader());
    if (rejection) {
        scope.span().outcome_ = describe(*rejection);
        co_return *rejection;
    }
    context_.metrics_.add(Counter::RequestsAccepted);
    source.engine_ = generation->engine();
    if (completion.isStream_)
        co_return co_await sendEvents(exchange, std::move(source));
    co_return co_await sendFullAnswer(exchange, std::move(source));
}

asio::awaitable<Result<void>> CallerApi::sendEvents(HttpExchange& exchange, AnswerSource source)
{
    auto resume = parseEventId(exchange.request().header("last-event-id"));
    EventWriter writer(source.requestId_, resume);
    HttpResponse head { 200, { { "content-type", "text/event-stream" }, { "cache-control", "no-store" }, { "x-request-id", source.requestId_ } }, {} };
    auto sent = co_await exchange.beginStream(std::move(head));
    if (sent)
        sent = co_await exchange.writeChunk(writer.accepted(source.engine_));
    while (sent) {
        AnswerPart part = co_await source.next_();
        std::string events = writer.tokens(part.tokens_);
        bool isLast = part.isFinished_ || part.isMoved_ || part.failure_;
        if (part.isFinished_)
            events += writer.done();
        else if (part.isMoved_)
            events += writer.moved();
        else if (part.failure_)
            events += writer.failed(*part.failure_);
        if (!events.empty())
            sent = co_await exchange.writeChunk(std::move(events));
        if (isLast && sent)
            co_return co_await exchange.endStream();
    }
    co_return sent;
}

asio::awaitable<Result<void>> CallerApi::sendFullAnswer(HttpExchange& exchange, AnswerSource source)
{
    std::string text;
    std::size_t count = 0;
    for (;;) {
        AnswerPart part = co_await source.next_();
        count += part.tokens_.size();
        for (const std::string& token : part.tokens_)
            text += token;
        if (part.isMoved_) {
            HttpResponse response = jsonResponse(303, "{\"request\":\"" + source.requestId_ + "\"}");
            response.headers_["location"] = std::string(requestsPath) + source.requestId_;
            response.headers_["x-request-id"] = source.requestId_;
            response.headers_["retry-after"] = "1";
            co_return co_await exchange.respond(std::move(response));
        }
        if (part.failure_)
            co_return *part.failure_;
        if (part.isFinished_)
            break;
    }
    boost::json::object answer {
        { "id", source.requestId_ },
        { "object", "text_completion" },
        { "model", source.model_ },
        { "choices", boost::json::array { boost::json::object { { "index", 0 }, { "text", text }, { "finish_reason", "stop" } } } },
        { "usage", boost::json::object { { "completion_tokens", count } } },
    };
    HttpResponse response = jsonResponse(200, boost::json::serialize(answer));
    response.headers_["x-request-id"] = source.requestId_;
    response.headers_["x-engine"] = source.engine_;
    co_return co_await exchange.respond(std::move(response));
}

asio::awaitable<Result<void>> CallerApi::fetchAnswer(HttpExchange& exchange, EntryPtr entry)
{
    std::string requestId = exchange.request().path().substr(requestsPath.size());
    auto source = co_await finder_.find(requestId);
    if (!source)
        co_return source.error();
    // A request of another organisation is treated as nonexistent.
    if (source.value().organisation_ != entry->workload_->owner_.value_)
        co_return Error { Errc::NotFound, "find request", requestId, "no node knows this request", Ran::Unknown, {} };
    bool wantsEvents = exchange.request().header("accept").find("text/event-stream") != std::string::npos;
    if (wantsEvents || !exchange.request().header("last-event-id").empty())
        co_return co_await sendEvents(exchange, std::move(source.value()));
    co_return co_await sendFullAnswer(exchange, std::move(source.value()));
}

asio::awaitable<Result<void>> CallerApi::callService(HttpExchange& exchange, EntryPtr entry)
{
    const HttpRequest& request = exchange.request();
    std::string rest = request.target_.substr(servicesPath.size());
    std::size_t end = rest.find_first_of("/?");
    std::string name = rest.substr(0, end);
    std::string path = end == std::string::npos ? "/" : rest.substr(end);
    if (path.front() == '?')
        path.insert(0, "/");
    const auto& allowed = entry->workload_->services_;
    auto backend = context_.catalogue()->findEntry({ name });
    bool isKnown = backend && backend->backend_ && backend->backend_->kind_ == Backend::Kind::Service;
    if (!isKnown || std::find(allowed.begin(), allowed.end(), name) == allowed.end())
        co_return Error { Errc::NotFound, "find service", name, "this entry has no such service", Ran::No, {} };
    std::string key = request.header("idempotency-key");
    if (!backend->backend_->isRepeatable_ && (key.empty() || key.size() > maxIdempotencyKeySize))
        co_return invalidInput("Idempotency-Key: expected 1 to 256 characters, since this service's calls may not be repeated");
    auto admitted = co_await limits_.admit(entry, 0);
    if (!admitted)
        co_return admitted.error();
    TraceContext trace = parseTraceparent(request.header("traceparent"));
    std::string requestId = makeUuid();
    SpanScope scope(context_.tracer_, trace, "entry", requestId);
    wire::ServiceCall call;
    call.set_organisation(entry->workload_->owner_.value_);
    call.set_entry(entry->name_.value_);
    call.set_service(name);
    call.set_method(request.method_);
    call.set_path(path);
    call.set_body(request.body_);
    call.set_content_type(request.header("content-type"));
    call.set_idempotency_key(key);
    call.set_body_hash(sha256Hex(request.method_ + " " + path + "\n" + request.body_));
    call.set_request_id(requestId);
    call.set_deadline_ms(static_cast<std::uint64_t>(deadlineOf(request, *entry).count()));
    call.set_traceparent(scope.context().toHeader());
    bool isRepeatable = backend->backend_->isRepeatable_;
    wire::Frame reply;
    if (isRepeatable)
        reply = co_await services_.callRepeatable(std::move(call));
    else
        reply = co_await services_.callOnce(std::move(call));
    limits_.finish(entry->name_, 0);
    if (reply.has_failure()) {
        Error failure = fromWire(reply.failure());
        scope.span().outcome_ = describe(failure);
        co_return failure;
    }
    context_.metrics_.add(Counter::RequestsAccepted);
    const wire::ServiceAnswer& answer = reply.answer();
    HttpResponse response { static_cast<int>(answer.status()), { { "content-type", answer.content_type() }, { "x-request-id", requestId } }, answer.body() };
    if (answer.is_replayed())
        response.headers_["x-replayed"] = "true";
    co_return co_await exchange.respond(std::move(response));
}

} // namespace pistachioloom
