//===- test/Platform/ReportingPeer.h - node whose streams fail ------------===//
///
/// \file
/// A node that reports itself to gateways in datagrams as they do, while its streams fail
/// in a chosen way, as those of an overloaded node or over a lossy link do.
//===----------------------------------------------------------------------===//
#pragma once

#include "GatewayDeployment.h"

#include <boost/asio.hpp>
#include <thread>

namespace pistachioloom::test {

enum class StreamFault {
    /// Connections are refused.
    Refused,
    /// Connections are accepted and never answered.
    Silent,
    /// Attempts to connect are not answered.
    ConnectDropped,
    /// Streams lead to a gateway, whose answers arrive slowly.
    Slow,
};

std::string_view toString(StreamFault fault);

struct ReportingPeerOptions {
    std::string vm_;
    std::string dataCentre_;
    /// The last number of its loopback address.
    int hostNumber_ = 200;
    StreamFault fault_ = StreamFault::Silent;
    /// Where slow streams lead.
    Endpoint target_;
    /// Whether the node reports that it reads from the platform, and its CPU cores: nodes
    /// with most cores are expected to read.
    bool isReader_ = false;
    double cores_ = 0;
};

/// Runs on a thread of its own.
class ReportingPeer {
public:
    /// Reports to all gateways of \p deployment.
    ReportingPeer(const GatewayDeployment& deployment, ReportingPeerOptions options);
    ~ReportingPeer();
    ReportingPeer(const ReportingPeer&) = delete;
    ReportingPeer& operator=(const ReportingPeer&) = delete;

    /// Reports from now on that configuration \p version is in force here, first at once.
    void reportVersion(std::uint64_t version);

private:
    asio::awaitable<void> sendReports();
    asio::awaitable<void> acceptStreams();
    asio::awaitable<void> relaySlowly(std::shared_ptr<asio::ip::tcp::socket> client);
    void sendReport();
    void listen();

    const ReportingPeerOptions options_;
    Endpoint gossip_;
    Endpoint peers_;
    std::vector<Endpoint> receivers_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::uint64_t version_ = 1;
    asio::io_context io_;
    asio::ip::udp::socket socket_;
    asio::ip::tcp::acceptor acceptor_;
    /// Accepted connections, and those that fill the accept queue.
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> connections_;
    std::thread thread_;
};

} // namespace pistachioloom::test
