//===- tools/pistachioloomctl/Client.cpp - HTTP client of operator ports --===//
///
/// \file
/// Implements OperatorClient and catalogue edits.
//===----------------------------------------------------------------------===//
#include "Client.h"

#include "pistachioloom/Json.h"

namespace pistachioloom {

namespace {

    constexpr int maxApplyAttempts = 4;
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;

} // namespace

OperatorClient::OperatorClient(Endpoint node, std::string credential, milliseconds timeout)
    : node_(std::move(node))
    , credential_(std::move(credential))
    , timeout_(timeout)
{
}

Result<HttpResponse> OperatorClient::call(const std::string& method, const std::string& target, const std::string& body) const
{
    HttpRequest request { method, target, { { "authorization", "Bearer " + credential_ } }, body };
    return callHttpBlocking(node_, request, timeout_);
}

Result<boost::json::value> OperatorClient::getJson(const std::string& target) const
{
    auto response = call("GET", target);
    if (!response)
        return response.error();
    if (response.value().status_ != statusOk)
        return errorFromResponse(response.value(), "GET " + target, node_.toString());
    boost::json::error_code code;
    boost::json::value value = boost::json::parse(response.value().body_, code);
    if (code)
        return Error { Errc::Protocol, "GET " + target, node_.toString(), "the response body is not valid JSON", Ran::No, {} };
    return value;
}

Result<std::vector<OperatorClient>> OperatorClient::allNodes() const
{
    auto listed = getJson("/nodes");
    if (!listed)
        return listed.error();
    std::vector<OperatorClient> clients;
    for (const boost::json::object& node : objectsField(listed.value().as_object(), "nodes")) {
        std::string address = textField(node, "operator");
        std::size_t colon = address.rfind(':');
        if (colon == std::string::npos)
            continue;
        Endpoint endpoint { address.substr(0, colon), static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)) };
        clients.emplace_back(endpoint, credential_, timeout_);
    }
    return clients;
}

static Result<std::uint64_t> currentVersion(const OperatorClient& client, const std::string& name)
{
    auto entry = client.getJson("/catalogue/" + name);
    if (entry)
        return numberField(entry.value().as_object(), "version");
    if (entry.error().code_ == Errc::NotFound)
        return std::uint64_t { 0 };
    return entry.error();
}

Result<ApplyResult> applyEntry(const OperatorClient& client, const std::string& name, const std::string& body, std::optional<std::uint64_t> base)
{
    if (!base) {
        auto current = currentVersion(client, name);
        if (!current)
            return current.error();
        base = current.value();
    }
    boost::json::object edit;
    edit["edit"] = makeUuid();
    edit["base"] = *base;
    edit["body"] = body;
    std::string text = boost::json::serialize(edit);
    Error last;
    for (int i = 0; i < maxApplyAttempts; ++i) {
        auto response = client.call("PUT", "/catalogue/" + name, text);
        if (!response) {
            last = response.error();
            continue;
        }
        auto answer = parseJsonObject(response.value().body_);
        int status = response.value().status_;
        bool hasDecision = answer && answer->contains("accepted") && (status == statusOk || status == statusConflict);
        if (hasDecision)
            return ApplyResult { flagField(*answer, "accepted"), numberField(*answer, "version") };
        last = errorFromResponse(response.value(), "apply " + name, client.node().toString());
        if (last.code_ != Errc::OutcomeUnknown)
            return last;
    }
    return last;
}

} // namespace pistachioloom
