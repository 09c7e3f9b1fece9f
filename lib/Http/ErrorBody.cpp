//===- lib/Http/ErrorBody.cpp - error bodies and request accessors ---------===//
///
/// \file
/// The error body that all HTTP interfaces share, and the accessors for path, query
/// and headers of a request.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Http.h"

#include "pistachioloom/Json.h"

namespace pistachioloom {

std::string HttpRequest::path() const
{
    return target_.substr(0, target_.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    std::size_t position = target_.find('?');
    while (position != std::string::npos) {
        std::size_t begin = position + 1;
        position = target_.find('&', begin);
        std::string pair = target_.substr(begin, position == std::string::npos ? position : position - begin);
        std::size_t equals = pair.find('=');
        if (equals != std::string::npos && std::string_view(pair).substr(0, equals) == name)
            return pair.substr(equals + 1);
    }
    return {};
}

std::string HttpRequest::header(const std::string& name) const
{
    auto found = headers_.find(name);
    return found == headers_.end() ? std::string() : found->second;
}

static int statusOf(Errc code)
{
    switch (code) {
    case Errc::InvalidInput:
        return 400;
    case Errc::Unauthorised:
        return 401;
    case Errc::Forbidden:
        return 403;
    case Errc::NotFound:
        return 404;
    case Errc::MethodNotAllowed:
        return 405;
    case Errc::TooLarge:
        return 413;
    case Errc::Conflict:
    case Errc::OutcomeUnknown:
        return 409;
    case Errc::KeyReused:
        return 422;
    case Errc::LimitReached:
        return 429;
    case Errc::Overloaded:
    case Errc::Leaving:
    case Errc::Unavailable:
        return 503;
    case Errc::Timeout:
        return 504;
    case Errc::Reset:
    case Errc::Protocol:
        return 502;
    case Errc::Cancelled:
        return 499;
    case Errc::Internal:
        return 500;
    }
    return 500;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return { status, { { "content-type", "application/json" } }, std::move(body) };
}

HttpResponse errorResponse(const Error& error)
{
    boost::json::object body {
        { "code", std::string(toString(error.code_)) },
        { "message", error.message_ },
        { "step", error.step_ },
        { "peer", error.peer_ },
        { "ran", std::string(toString(error.ran_)) },
        { "retry_after_ms", error.retryAfter_.count() },
    };
    HttpResponse response = jsonResponse(statusOf(error.code_), boost::json::serialize(boost::json::object { { "error", body } }));
    if (error.retryAfter_.count() > 0)
        response.headers_["retry-after"] = std::to_string((error.retryAfter_.count() + 999) / 1000);
    return response;
}

Error errorFromResponse(const HttpResponse& response, std::string step, std::string peer)
{
    Error error { Errc::Internal, std::move(step), std::move(peer), "status " + std::to_string(response.status_), Ran::Unknown, {} };
    auto parsed = parseJsonObject(response.body_);
    const boost::json::value* inner = parsed ? parsed->if_contains("error") : nullptr;
    if (!inner || !inner->is_object())
        return error;
    const boost::json::object& body = inner->as_object();
    error.code_ = errcFromString(textField(body, "code"));
    error.message_ = textField(body, "message");
    error.ran_ = textField(body, "ran") == "no" ? Ran::No : Ran::Unknown;
    error.retryAfter_ = milliseconds(numberField(body, "retry_after_ms"));
    return error;
}

} // namespace pistachioloom
