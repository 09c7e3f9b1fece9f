//===- tools/pistachioloomctl/Client.h - talking to operator ports ---------===//
///
/// \file
/// One node's operator port, and through it the ports of all the others.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Catalogue.h"
#include "pistachioloom/Http.h"

#include <boost/json.hpp>

namespace pistachioloom {

class OperatorClient {
public:
    OperatorClient(Endpoint node, std::string credential, milliseconds timeout);

    const Endpoint& node() const { return node_; }
    /// Errors: whatever the node answers, or that it does not answer.
    Result<HttpResponse> call(const std::string& method, const std::string& target, const std::string& body = {}) const;
    Result<boost::json::value> getJson(const std::string& target) const;
    /// Clients of every node that this one lists, itself included.
    Result<std::vector<OperatorClient>> allNodes() const;

private:
    Endpoint node_;
    std::string credential_;
    milliseconds timeout_;
};

/// What `catalogue apply` came to.
struct ApplyResult {
    bool isAccepted_ = false;
    std::uint64_t version_ = 0;
};

/// Sends one edit, based on \p base or on the version that is current; an
/// unknown outcome is asked for again with the same edit id.
Result<ApplyResult> applyEntry(const OperatorClient& client, const std::string& name, const std::string& body, std::optional<std::uint64_t> base);

} // namespace pistachioloom
