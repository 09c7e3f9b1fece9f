//===- unittests/Gateway/DiscoveryTest.cpp - simultaneous start of a fleet ===//
///
/// \file
/// All nodes start at the same time, as after a power failure, and must find the relays
/// of their data centre. A node that does not yet receive the sums of all others treats
/// the demand of a few nodes as that of all: it orders engines for this demand only, and
/// claims duties that another node holds.
//===----------------------------------------------------------------------===//
#include "Discovery.h"
#include "ReportAggregator.h"

#include "pistachioloom/Duties.h"
#include "pistachioloom/Quota.h"
#include "pistachioloom/Settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };
constexpr milliseconds period { 200 };
/// Number of nodes of each data centre with more CPU cores than the others.
constexpr std::size_t largeVms = 3;
/// Minimum share of the other nodes whose sums an informed node receives.
constexpr double informedShare = 0.9;

struct Shape {
    const char* name_;
    std::size_t nodes_;
    std::size_t dataCentres_;
    /// Number of seeds in the settings.
    std::size_t seeds_;
    /// Whether all nodes are announced on the platform and know each other; otherwise
    /// they know the seeds only.
    bool areAnnounced_;
    /// Maximum time until all nodes are informed.
    milliseconds maxTime_;
};

struct Node {
    Node(VmId vm, DataCentreId dataCentre, double cores, Endpoint address)
        : vm_(std::move(vm))
        , dataCentre_(std::move(dataCentre))
        , cores_(cores)
        , address_(std::move(address))
        , table_(vm_, dataCentre_, cores_, GossipSettings {})
        , discovery_(table_, vm_, dataCentre_, GossipSettings {})
        , aggregator_(milliseconds(5000))
    {
    }

    VmId vm_;
    DataCentreId dataCentre_;
    double cores_ = 0;
    Endpoint address_;
    PeerTable table_;
    Discovery discovery_;
    ReportAggregator aggregator_;
    NodeGroupSums others_;
    std::uint64_t sequence_ = 0;
    bool isRelay_ = false;
};

struct Message {
    Endpoint from_;
    Endpoint to_;
    wire::Datagram datagram_;
    /// Nodes that the message advertises with their state.
    std::vector<KnownPeer> members_;
};

/// Simulates nodes that exchange datagrams in each period, as PeerReports does.
class StartingFleet {
public:
    explicit StartingFleet(const Shape& shape)
        : shape_(shape)
    {
        for (std::size_t i = 0; i < shape.nodes_; ++i) {
            std::size_t dataCentreIndex = i % shape.dataCentres_;
            std::size_t number = i / shape.dataCentres_;
            DataCentreId dataCentre { "dc-" + std::to_string(dataCentreIndex) };
            Endpoint address { "10.0." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200), 7500 };
            nodes_.push_back(std::make_unique<Node>(VmId { dataCentre.value_ + "-" + std::to_string(number) }, dataCentre, number < largeVms ? 0.5 : 0.12, address));
            nodesByAddress_[address.host_] = nodes_.back().get();
        }
        for (auto& node : nodes_) {
            for (std::size_t i = 0; shape.areAnnounced_ && i < nodes_.size(); ++i)
                node->table_.addKnownPeer(nodes_[i]->vm_, nodes_[i]->address_);
        }
    }

    /// Simulates periods until all nodes are informed. \returns the simulated time.
    milliseconds run(milliseconds limit)
    {
        for (milliseconds elapsed {}; elapsed < limit; elapsed += period) {
            step(start + elapsed);
            if (informedNodes(start + elapsed) == nodes_.size())
                return elapsed + period;
        }
        return limit;
    }

    /// Returns the number of nodes that receive the sums of nearly all others, and count
    /// none twice.
    std::size_t informedNodes(SteadyTime now) const
    {
        auto others = static_cast<double>(nodes_.size() - 1);
        return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
            const wire::NodeSums* sums = node->others_.current(now);
            double covered = sums ? static_cast<double>(sums->nodes()) : 0;
            return covered >= informedShare * others && covered <= others;
        }));
    }

    /// Returns the maximum number of datagrams that a node received in one period.
    std::size_t maxReceived() const { return maxReceived_; }

private:
    void step(SteadyTime now)
    {
        std::vector<Message> messages;
        for (auto& node : nodes_)
            sendReports(*node, messages, now);
        std::map<std::string, std::size_t> received;
        for (const Message& message : messages) {
            maxReceived_ = std::max(maxReceived_, ++received[message.to_.host_]);
            receive(*nodesByAddress_.at(message.to_.host_), message, now);
        }
    }

    std::vector<Endpoint> unseenSeeds(const Node& node) const
    {
        std::vector<Endpoint> unseen;
        for (std::size_t i = 0; i < shape_.seeds_; ++i) {
            if (nodes_[i].get() != &node && !node.table_.gossipEndpointOf(nodes_[i]->vm_))
                unseen.push_back(nodes_[i]->address_);
        }
        return unseen;
    }

    static void composeIntroduction(wire::NodeReport& report, Node& node, AdvertisedPeers amount, SteadyTime now)
    {
        report.set_vm(node.vm_.value_);
        report.set_data_centre(node.dataCentre_.value_);
        report.set_incarnation(1);
        report.set_sequence(++node.sequence_);
        report.set_address(node.address_.toString());
        report.set_cores(node.cores_);
        addKnownNodes(report, node.discovery_.peersToAdvertise(amount, node.sequence_, now));
    }

    static void addKnownNodes(wire::NodeReport& report, const std::vector<KnownPeer>& peers)
    {
        for (const auto& [vm, peer] : peers) {
            wire::KnownNode& entry = *report.add_nodes();
            entry.set_vm(vm.value_);
            entry.set_address(peer.gossipEndpoint_.toString());
        }
    }

    void sendReports(Node& node, std::vector<Message>& messages, SteadyTime now)
    {
        wire::Datagram introduction;
        composeIntroduction(*introduction.mutable_report(), node, AdvertisedPeers::Few, now);
        wire::Datagram answer;
        composeIntroduction(*answer.mutable_report(), node, AdvertisedPeers::Many, now);
        Discovery::Receivers receivers = node.discovery_.receivers(unseenSeeds(node));
        for (const Endpoint& receiver : receivers.introduced_)
            messages.push_back({ node.address_, receiver, introduction, {} });
        std::vector<KnownPeer> relays;
        if (!receivers.answered_.empty())
            relays = node.discovery_.relaysToAdvertise(now);
        for (const Endpoint& receiver : receivers.answered_)
            messages.push_back({ node.address_, receiver, answer, relays });
        for (const Discovery::Referral& referral : receivers.referrals_) {
            wire::Datagram referring;
            addKnownNodes(*referring.mutable_report(), referral.answered_);
            for (const Endpoint& receiver : referral.receivers_)
                messages.push_back({ node.address_, receiver, referring, {} });
        }
        wire::Datagram report;
        composeIntroduction(*report.mutable_report(), node, AdvertisedPeers::Few, now);
        report.mutable_report()->set_wants_digest(true);
        report.mutable_report()->set_takes_common_sums(true);
        node.isRelay_ = false;
        std::vector<VmId> chosen = node.table_.chooseRelays(now);
        node.others_.keepOnly(chosen, now);
        for (const VmId& relay : chosen) {
            if (relay == node.vm_) {
                node.isRelay_ = true;
                node.aggregator_.applyReport(report.report(), now);
            } else
                messages.push_back({ node.address_, *node.table_.gossipEndpointOf(relay), report, {} });
        }
        sendSums(node, messages, now);
    }

    void sendSums(Node& node, std::vector<Message>& messages, SteadyTime now)
    {
        std::vector<VmId> receivers = node.aggregator_.receivers(now);
        if (receivers.empty())
            return;
        wire::Datagram datagram;
        wire::RelayReport& relayed = *datagram.mutable_relayed();
        relayed.set_vm(node.vm_.value_);
        relayed.set_data_centre(node.dataCentre_.value_);
        relayed.set_incarnation(1);
        relayed.set_is_digest(true);
        std::vector<KnownPeer> members = node.discovery_.membersToAdvertise(now);
        ReportTotals totals = node.aggregator_.totals(now);
        wire::NodeSums common = totals.toMessage();
        for (const VmId& vm : receivers) {
            auto own = node.aggregator_.ownPartOf(vm, now);
            *relayed.mutable_sums() = own ? common : node.aggregator_.digestFor(vm, totals, now);
            if (own)
                subtract(*relayed.mutable_sums(), *own);
            if (vm == node.vm_)
                (void)node.others_.applySums(vm, 1, relayed.sums(), now);
            else if (auto address = node.table_.gossipEndpointOf(vm))
                messages.push_back({ node.address_, *address, datagram, members });
        }
        if (!node.isRelay_)
            return;
        relayed.set_is_digest(false);
        for (const DataCentreId& dataCentre : node.table_.otherDataCentres()) {
            *relayed.mutable_sums() = node.aggregator_.summaryFor(dataCentre, now);
            for (const VmId& vm : node.discovery_.summaryReceivers(dataCentre, node.aggregator_.relaysOf(dataCentre, now), now)) {
                if (auto address = node.table_.gossipEndpointOf(vm))
                    messages.push_back({ node.address_, *address, datagram, members });
            }
        }
    }

    void receive(Node& node, const Message& message, SteadyTime now)
    {
        for (const auto& [vm, peer] : message.members_)
            node.table_.applyRelayedState(vm, peer);
        if (message.datagram_.has_report())
            return receiveReport(node, message.datagram_.report(), now);
        const wire::RelayReport& relayed = message.datagram_.relayed();
        node.table_.addKnownPeer({ relayed.vm() }, message.from_);
        if (!relayed.is_digest()) {
            if (!node.isRelay_)
                node.discovery_.queueAnswer({ relayed.vm() });
            return node.aggregator_.applySummary(relayed, now);
        }
        node.table_.noteDigest({ relayed.vm() }, now);
        (void)node.others_.applySums({ relayed.vm() }, 1, relayed.sums(), now);
    }

    static void receiveReport(Node& node, const wire::NodeReport& report, SteadyTime now)
    {
        if (report.vm().empty())
            return addAdvertisedPeers(node, report);
        Peer peer;
        peer.gossipEndpoint_ = *parseEndpoint(report.address());
        peer.dataCentre_ = { report.data_centre() };
        peer.incarnation_ = report.incarnation();
        peer.sequence_ = report.sequence();
        peer.cores_ = report.cores();
        peer.receivedAt_ = now;
        PeerTable::ReportKind kind = node.table_.applyReport({ report.vm() }, peer);
        if (kind == PeerTable::ReportKind::Outdated)
            return;
        if (kind == PeerTable::ReportKind::Restarted)
            node.discovery_.queueAnswer({ report.vm() });
        addAdvertisedPeers(node, report);
        if (report.wants_digest())
            node.aggregator_.applyReport(report, now);
    }

    static void addAdvertisedPeers(Node& node, const wire::NodeReport& report)
    {
        for (const wire::KnownNode& known : report.nodes())
            node.table_.addKnownPeer({ known.vm() }, *parseEndpoint(known.address()));
    }

    Shape shape_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<std::string, Node*> nodesByAddress_;
    std::size_t maxReceived_ = 0;
};

void checkStart(const Shape& shape)
{
    CAPTURE(shape.name_);
    StartingFleet fleet(shape);
    CHECK(fleet.run(milliseconds(6000)).count() <= shape.maxTime_.count());
    // Every other node contacts a seed once per period at most; the other datagrams are
    // spread over all nodes.
    CHECK(fleet.maxReceived() <= shape.nodes_ + 64);
}

} // namespace

TEST_CASE("nodes that start at the same time receive the sums of all others in time", "[peers]")
{
    // Nodes claim duties from firstClaim on. While the platform is unavailable, no node
    // claims duties, but quotas are divided equally until equalDivision at most.
    milliseconds firstClaim = DutyTiming {}.firstClaimAfter_;
    milliseconds equalDivision = QuotaSettings {}.startupTime_;
    auto shape = GENERATE_COPY(values<Shape>({
        { "small fleet, announced on the platform", 30, 2, 3, true, firstClaim },
        { "hundreds of nodes, announced on the platform", 195, 5, 3, true, firstClaim },
        { "hundreds of nodes, platform unavailable", 195, 5, 3, false, equalDivision },
        { "hundreds of nodes in many data centres, announced on the platform", 370, 14, 3, true, firstClaim },
        { "hundreds of nodes in many data centres, platform unavailable", 370, 14, 3, false, equalDivision },
    }));
    checkStart(shape);
}

// Guards against a node that sends as many messages in a period as nodes contact it, which
// would fill its link at the start of a large fleet.
TEST_CASE("a node answers and refers a bounded number of nodes in a period", "[peers]")
{
    // 48 answers of 4 KB and 160 referrals of 150 bytes take 8.6 Mbit/s; a link has 10 Mbit/s.
    constexpr std::size_t maxAnswers = 48;
    constexpr std::size_t maxReferred = 160;
    auto waiting = GENERATE(values<std::size_t>({ 1, 48, 49, 208, 1000 }));
    CAPTURE(waiting);
    PeerTable table({ "seed" }, { "dc-0" }, 1, GossipSettings {});
    Discovery discovery(table, { "seed" }, { "dc-0" }, GossipSettings {});
    for (std::size_t i = 0; i < waiting; ++i) {
        Peer peer;
        peer.gossipEndpoint_ = { "10.0." + std::to_string(i / 200) + "." + std::to_string(1 + i % 200), 7500 };
        peer.dataCentre_ = { "dc-0" };
        peer.incarnation_ = 1;
        peer.receivedAt_ = start;
        VmId vm { "node-" + std::to_string(i) };
        (void)table.applyReport(vm, peer);
        discovery.queueAnswer(vm);
        discovery.queueAnswer(vm);
    }
    std::map<std::string, std::size_t> answered;
    std::map<std::string, std::size_t> referred;
    for (std::size_t sent = 0; sent < waiting; sent += maxAnswers) {
        Discovery::Receivers receivers = discovery.receivers({});
        CHECK(receivers.answered_.size() == std::min(maxAnswers, waiting - sent));
        std::set<std::string> answeredNow;
        for (const Endpoint& endpoint : receivers.answered_) {
            ++answered[endpoint.toString()];
            answeredNow.insert(endpoint.toString());
        }
        std::size_t referredNow = 0;
        std::set<std::string> advertised;
        for (const Discovery::Referral& referral : receivers.referrals_) {
            CHECK_FALSE(referral.answered_.empty());
            referredNow += referral.receivers_.size();
            for (const Endpoint& endpoint : referral.receivers_) {
                ++referred[endpoint.toString()];
                CHECK(answered.count(endpoint.toString()) == 0);
            }
            for (const auto& [vm, peer] : referral.answered_) {
                // A node that has no answer yet cannot advertise the relays.
                CHECK(answeredNow.count(peer.gossipEndpoint_.toString()) == 1);
                // One node would receive the introductions of all that wait.
                CHECK(advertised.insert(vm.value_).second);
            }
        }
        CHECK(referredNow <= maxReferred);
    }
    Discovery::Receivers receivers = discovery.receivers({});
    CHECK(receivers.answered_.empty());
    CHECK(receivers.referrals_.empty());
    CHECK(answered.size() == waiting);
    auto isOnce = [](const auto& entry) { return entry.second == 1; };
    CHECK(std::all_of(answered.begin(), answered.end(), isOnce));
    CHECK(std::all_of(referred.begin(), referred.end(), isOnce));
    // Every node that is not answered in the first period is referred before its answer.
    CHECK(referred.size() == waiting - std::min(waiting, maxAnswers));
}

// Hidden, since it takes half a minute; run as LargeFleetStartTests.
TEST_CASE("a thousand nodes that start at the same time receive the sums of all others in time", "[.][thousand]")
{
    auto shape = GENERATE_COPY(values<Shape>({
        { "announced on the platform", 1000, 5, 3, true, DutyTiming {}.firstClaimAfter_ },
        { "platform unavailable", 1000, 5, 3, false, QuotaSettings {}.startupTime_ },
    }));
    checkStart(shape);
}
