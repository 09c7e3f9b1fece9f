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

static const Logger& logger()
{
    static const Logger logger("quarantine");
    return logger;
}

static json::object rowOf(GatewayContext& context, const Suspect& suspect, SteadyTime now)
{
    auto quarantine = context.quarantine_.check(suspect.request_, now);
    SteadyTime last {};
    for (const Crash& crash : suspect.crashes_)
        last = std::max(last, crash.at_);
    json::object row { { "request", toString(suspect.request_) }, { "crashes", suspect.activeCrashes() } };
    row["last_crash_ms"] = std::chrono::duration_cast<milliseconds>(now - last).count();
    row["left_ms"] = quarantine ? quarantine->timeLeft_.count() : 0;
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

static HttpResponse lift(GatewayContext& context, const HttpRequest& request)
{
    const std::string step = "lift quarantine";
    if (!equalInConstantTime(request.header("authorization"), "Bearer " + context.settings_.peerCredential_))
        return errorResponse(Error { Errc::Unauthorised, step, {}, "expected the nodes' credential", Ran::No, {} });
    auto fingerprint = parseFingerprint(std::string_view(request.path()).substr(std::min(request.path().size(), endpointPath.size() + 1)));
    if (!fingerprint)
        return errorResponse(Error { Errc::InvalidInput, step, {}, "expected sixteen hexadecimal digits after " + std::string(endpointPath) + "/", Ran::No, {} });
    if (!context.crashes_.clear(*fingerprint, steadyNow()))
        return errorResponse(Error { Errc::NotFound, step, {}, "nothing is held against request " + toString(*fingerprint), Ran::No, {} });
    logger().info(LogLine("Quarantine is lifted by an operator.").add("request", toString(*fingerprint)));
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
    if (request.method_ == "DELETE")
        return lift(context, request);
    return errorResponse(Error { Errc::MethodNotAllowed, "quarantine page", {}, "expected GET or DELETE, found " + request.method_, Ran::No, {} });
}

} // namespace pistachioloom
