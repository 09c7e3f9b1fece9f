//===- test/Platform/ReportingPeer.cpp - node whose streams fail ----------===//
///
/// \file
/// See ReportingPeer.h.
//===----------------------------------------------------------------------===//
#include "ReportingPeer.h"

#include "generated/Peer.pb.h"

namespace pistachioloom::test {

using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr milliseconds reportPeriod { 200 };
    // Ports of the gateways of a deployment.
    constexpr std::uint16_t peersPort = 7003;
    constexpr std::uint16_t gossipPort = 7004;
    // Connections that wait in an accept queue of length 0; further ones are not answered.
    constexpr int queuedConnections = 2;
    // A slow stream delivers this many bytes in each period.
    constexpr std::size_t slowChunk = 64;
    constexpr milliseconds slowPeriod { 100 };

} // namespace

std::string_view toString(StreamFault fault)
{
    switch (fault) {
    case StreamFault::Refused:
        return "connections refused";
    case StreamFault::Silent:
        return "streams silent";
    case StreamFault::ConnectDropped:
        return "connection attempts dropped";
    case StreamFault::Slow:
        return "streams slow";
    }
    return "unknown";
}

ReportingPeer::ReportingPeer(const GatewayDeployment& deployment, ReportingPeerOptions options)
    : options_(std::move(options))
    , incarnation_(randomBits())
    , socket_(io_)
    , acceptor_(io_)
{
    const std::string& first = deployment.gateways().front().callers_.host_;
    std::string host = first.substr(0, first.rfind('.') + 1) + std::to_string(options_.hostNumber_);
    gossip_ = { host, gossipPort };
    peers_ = { host, peersPort };
    for (const auto& gateway : deployment.gateways())
        receivers_.push_back({ gateway.callers_.host_, gossipPort });
    socket_.open(udp::v4());
    socket_.bind({ asio::ip::make_address(host), gossipPort });
    listen();
    asio::co_spawn(io_, sendReports(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
}

ReportingPeer::~ReportingPeer()
{
    io_.stop();
    thread_.join();
}

void ReportingPeer::listen()
{
    if (options_.fault_ == StreamFault::Refused)
        return;
    tcp::endpoint address(asio::ip::make_address(peers_.host_), peers_.port_);
    acceptor_.open(address.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen(options_.fault_ == StreamFault::ConnectDropped ? 0 : asio::socket_base::max_listen_connections);
    if (options_.fault_ != StreamFault::ConnectDropped) {
        asio::co_spawn(io_, acceptStreams(), asio::detached);
        return;
    }
    for (int i = 0; i < queuedConnections; ++i) {
        auto socket = std::make_shared<tcp::socket>(io_);
        socket->async_connect(address, [socket](boost::system::error_code) {});
        connections_.push_back(socket);
    }
}

void ReportingPeer::reportVersion(std::uint64_t version)
{
    asio::post(io_, [this, version] {
        version_ = version;
        sendReport();
    });
}

asio::awaitable<void> ReportingPeer::sendReports()
{
    for (;;) {
        sendReport();
        co_await sleepFor(reportPeriod);
    }
}

void ReportingPeer::sendReport()
{
    wire::Datagram datagram;
    wire::NodeReport& report = *datagram.mutable_report();
    report.set_vm(options_.vm_);
    report.set_data_centre(options_.dataCentre_);
    report.set_incarnation(incarnation_);
    report.set_sequence(++sequence_);
    report.set_address(gossip_.toString());
    report.set_peers_address(peers_.toString());
    report.set_configuration_version(version_);
    auto now = std::chrono::system_clock::now().time_since_epoch();
    report.set_wall_ms(std::chrono::duration_cast<milliseconds>(now).count());
    report.set_counted_ms(1);
    report.set_is_reader(options_.isReader_);
    report.set_cores(options_.cores_);
    std::string bytes = datagram.SerializeAsString();
    for (const Endpoint& receiver : receivers_) {
        boost::system::error_code lost;
        socket_.send_to(asio::buffer(bytes), { asio::ip::make_address(receiver.host_), receiver.port_ }, 0, lost);
    }
}

asio::awaitable<void> ReportingPeer::acceptStreams()
{
    for (;;) {
        auto [code, socket] = co_await acceptor_.async_accept(asTuple);
        if (code)
            co_return;
        connections_.push_back(std::make_shared<tcp::socket>(std::move(socket)));
        if (options_.fault_ == StreamFault::Slow)
            asio::co_spawn(io_, relaySlowly(connections_.back()), asio::detached);
    }
}

static asio::awaitable<void> relay(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to)
{
    std::vector<char> buffer(64UL * 1024);
    for (;;) {
        auto [code, count] = co_await from->async_read_some(asio::buffer(buffer), asTuple);
        if (code)
            break;
        auto [writeCode, written] = co_await asio::async_write(*to, asio::buffer(buffer, count), asTuple);
        if (writeCode)
            break;
    }
    boost::system::error_code ignored;
    to->close(ignored);
}

asio::awaitable<void> ReportingPeer::relaySlowly(std::shared_ptr<tcp::socket> client)
{
    auto server = std::make_shared<tcp::socket>(io_);
    auto [connectCode] = co_await server->async_connect({ asio::ip::make_address(options_.target_.host_), options_.target_.port_ }, asTuple);
    if (connectCode)
        co_return;
    asio::co_spawn(io_, relay(client, server), asio::detached);
    std::vector<char> buffer(slowChunk);
    for (;;) {
        auto [code, count] = co_await server->async_read_some(asio::buffer(buffer), asTuple);
        if (code)
            break;
        auto [writeCode, written] = co_await asio::async_write(*client, asio::buffer(buffer, count), asTuple);
        if (writeCode)
            break;
        co_await sleepFor(slowPeriod);
    }
    boost::system::error_code ignored;
    client->close(ignored);
}

} // namespace pistachioloom::test
