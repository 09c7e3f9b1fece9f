//===- lib/Gateway/QuarantineEndpoint.cpp - quarantines for operators -----===//
///
/// \file
/// See QuarantineEndpoint.h.
//===----------------------------------------------------------------------===//
#include "QuarantineEndpoint.h"

#include "pistachioloom/Json.h"

namespace pistachioloom {

namespace json = boost::json;

static constexpr std::string_view endpointPath = "/quarantine";
static constexpr milliseconds maxOrderLength = std::chrono::hours(24 * 30);

static const Logger& logger()
{
    static const Logger logger("quarantine");
    return logger;
}

static json::object rowOf(GatewayContext& context, const Suspect& suspect, SteadyTime now)
{
    auto quarantine = context.quarantine_.check(suspect.attribute_, now);
    SteadyTime last {};
    json::array servers;
    for (const Crash& crash : suspect.crashes_) {
        last = std::max(last, crash.at_);
        servers.push_back(json::object { { "backend", crash.backend_.value_ }, { "age_ms", std::chrono::duration_cast<milliseconds>(now - crash.at_).count() }, { "cleared", crash.isCleared_ } });
    }
    json::object row { { "request", toString(suspect.attribute_.key_) }, { "kind", toString(suspect.attribute_.kind_) }, { "crashes", suspect.activeCrashes() }, { "sound", suspect.soundAnswers() } };
    row["last_crash_ms"] = suspect.crashes_.empty() ? 0 : std::chrono::duration_cast<milliseconds>(now - last).count();
    row["left_ms"] = quarantine ? quarantine->timeLeft_.count() : 0;
    row["by_order"] = suspect.order_.has_value();
    row["on_trial"] = quarantine && quarantine->isOnTrial_;
    row["servers"] = std::move(servers);
    return row;
}

static HttpResponse list(GatewayContext& context)
{
    SteadyTime now = steadyNow();
    json::array rows;
    for (const Suspect& suspect : context.quarantine_.suspects(now))
        rows.push_back(rowOf(context, suspect, now));
    json::object body { { "requests", rows } };
    return jsonResponse(200, json::serialize(body));
}

/// \returns the answer to a caller without the nodes' credential.
static std::optional<HttpResponse> rejectUnauthorised(GatewayContext& context, const HttpRequest& request, const std::string& step)
{
    if (equalInConstantTime(request.header("authorization"), "Bearer " + context.settings_.peerCredential_))
        return std::nullopt;
    return errorResponse(Error { Errc::Unauthorised, step, {}, "expected the nodes' credential", Ran::No, {} });
}

/// Returns the attribute that \p body names: a request by its fingerprint, or a prompt part by
/// its service and id.
static std::optional<Attribute> attributeOf(GatewayContext& context, const json::object& body)
{
    std::string service = textField(body, "service");
    std::string part = textField(body, "prompt_part");
    if (!service.empty() && !part.empty())
        return Attribute { AttributeKind::PromptPart, fingerprintOf(ServiceName { service }, part, context.settings_.peerCredential_) };
    auto fingerprint = parseFingerprint(textField(body, "request"));
    return fingerprint ? std::optional(Attribute { AttributeKind::Request, *fingerprint }) : std::nullopt;
}

static HttpResponse order(GatewayContext& context, const HttpRequest& request)
{
    const std::string step = "order quarantine";
    if (auto rejected = rejectUnauthorised(context, request, step))
        return *rejected;
    auto body = parseJsonObject(request.body_);
    auto attribute = body ? attributeOf(context, *body) : std::nullopt;
    if (!attribute)
        return errorResponse(Error { Errc::InvalidInput, step, {}, "expected a JSON object with service and prompt_part, or with request as sixteen hexadecimal digits", Ran::No, {} });
    std::uint64_t length = numberField(*body, "for_ms");
    if (!length || length > static_cast<std::uint64_t>(maxOrderLength.count()))
        return errorResponse(Error { Errc::InvalidInput, step, {}, "expected for_ms from 1 to " + std::to_string(maxOrderLength.count()), Ran::No, {} });
    context.quarantine_.order(*attribute, milliseconds(static_cast<std::int64_t>(length)), steadyNow());
    logger().info(LogLine("Quarantine is ordered by an operator.").add("kind", toString(attribute->kind_)).add("request", toString(attribute->key_)).add("for_ms", static_cast<std::int64_t>(length)));
    json::object answer { { "request", toString(attribute->key_) }, { "kind", toString(attribute->kind_) } };
    return jsonResponse(200, json::serialize(answer));
}

static HttpResponse lift(GatewayContext& context, const HttpRequest& request)
{
    const std::string step = "lift quarantine";
    if (auto rejected = rejectUnauthorised(context, request, step))
        return *rejected;
    auto fingerprint = parseFingerprint(std::string_view(request.path()).substr(std::min(request.path().size(), endpointPath.size() + 1)));
    if (!fingerprint)
        return errorResponse(Error { Errc::InvalidInput, step, {}, "expected sixteen hexadecimal digits after " + std::string(endpointPath) + "/", Ran::No, {} });
    auto kind = context.quarantine_.kindOf(*fingerprint);
    if (!kind || !context.crashes_.clear({ *kind, *fingerprint }, steadyNow()))
        return errorResponse(Error { Errc::NotFound, step, {}, "nothing is held against " + toString(*fingerprint), Ran::No, {} });
    logger().info(LogLine("Quarantine is lifted by an operator.").add("kind", toString(*kind)).add("request", toString(*fingerprint)));
    return jsonResponse(200, "{}");
}

bool isForQuarantineEndpoint(const HttpRequest& request)
{
    return request.path() == endpointPath || request.path().starts_with(std::string(endpointPath) + "/");
}

HttpResponse quarantineEndpoint(GatewayContext& context, const HttpRequest& request)
{
    if (request.method_ == "GET" && request.path() == endpointPath)
        return list(context);
    if (request.method_ == "POST" && request.path() == endpointPath)
        return order(context, request);
    if (request.method_ == "DELETE")
        return lift(context, request);
    return errorResponse(Error { Errc::MethodNotAllowed, "quarantine page", {}, "expected GET, POST or DELETE, found " + request.method_, Ran::No, {} });
}

} // namespace pistachioloom
