//===- tools/pistachioloomctl/Client.h - HTTP client of operator ports ----===//
///
/// \file
/// Calls the operator port of one node, and lists the other nodes through it.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"
#include "pistachioloom/Http.h"

#include <boost/json.hpp>

namespace pistachioloom {

/// Sends requests with the operator credential to the operator port of one node.
class OperatorClient {
public:
    OperatorClient(Endpoint node, std::string credential, milliseconds timeout);

    const Endpoint& node() const { return node_; }
    /// Sends one request and returns the response, whatever its status. Errors: the node
    /// is unreachable or does not answer within the timeout.
    Result<HttpResponse> call(const std::string& method, const std::string& target, const std::string& body = {}) const;
    /// Returns the JSON body of a GET. Errors: those of call(), a status other than 200,
    /// or a body that is not JSON.
    Result<boost::json::value> getJson(const std::string& target) const;
    /// Returns a client for each node that this node lists, including itself.
    Result<std::vector<OperatorClient>> allNodes() const;

private:
    Endpoint node_;
    std::string credential_;
    milliseconds timeout_;
};

/// The node's decision on a catalogue edit.
struct ApplyResult {
    bool isAccepted_ = false;
    /// The new version if the edit is accepted, else the version that it conflicts with.
    std::uint64_t version_ = 0;
};

/// Sends one edit, based on \p base or else on the current version. If the outcome is
/// unknown, retries with the same edit id, so that it takes effect at most once.
Result<ApplyResult> applyEntry(const OperatorClient& client, const std::string& name, const std::string& body, std::optional<std::uint64_t> base);

} // namespace pistachioloom
