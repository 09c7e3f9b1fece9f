//===- unittests/Gateway/RequestSharesTest.cpp - divided request limits ----===//
///
/// \file
/// Simulates fleets whose nodes divide the request limit of one backend server by what each
/// of them knows of the others: reports are late or lost, nodes stop, freeze, restart and are
/// cut off from each other. The server must not get more than its limit allows, and must get
/// most of it where there is demand.
//===----------------------------------------------------------------------===//
#include "RequestShares.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

constexpr std::int64_t stepMs = 20;
constexpr std::int64_t tickMs = 200;
constexpr std::int64_t lengthMs = 30000;
constexpr std::int64_t windowMs = 4000;
// A limit binds from this time after it was first stated.
constexpr std::int64_t noticeMs = 3000;
// Time after which a node that does not report counts as not live.
constexpr std::int64_t silenceMs = 5000;
// Requests that each node has for the server in a second.
constexpr double demandPerNode = 40;
const BackendId backend { "limited" };

enum class Disturbance {
    None,
    /// Nodes say that they stop, and start again some seconds later.
    Restarts,
    /// Nodes stop without a word and go on some seconds later.
    Freezes,
    /// The fleet falls in two parts that do not hear each other.
    Partition,
};

/// What one node thinks of another one.
struct View {
    bool isLive_ = true;
    bool isKnown_ = true;
};

class FleetModel {
public:
    FleetModel(std::size_t nodes, double limit, std::uint64_t seed)
        : limit_(limit)
        , random_(seed)
        , nodes_(nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            names_.push_back({ "node-" + std::to_string(i) });
            nodes_[i].views_.resize(nodes);
            // Most nodes hear of the limit with the next report; some reports are lost.
            nodes_[i].knowsAt_ = between(0, 400) + (between(0, 9) ? 0 : 1200);
        }
    }

    void disturb(Disturbance disturbance)
    {
        std::size_t count = std::max<std::size_t>(1, nodes_.size() / 6);
        for (std::size_t k = 0; k < count && (disturbance == Disturbance::Restarts || disturbance == Disturbance::Freezes); ++k) {
            auto node = static_cast<std::size_t>(between(0, static_cast<std::int64_t>(nodes_.size()) - 1));
            std::int64_t from = between(3000, 15000);
            std::int64_t until = from + between(3000, 9000);
            nodes_[node].awayFrom_ = from;
            nodes_[node].awayUntil_ = until;
            bool isAnnounced = disturbance == Disturbance::Restarts;
            for (std::size_t observer = 0; observer < nodes_.size(); ++observer) {
                change(observer, from + (isAnnounced ? reportDelay() : silenceMs + reportDelay()), node, { false, !isAnnounced });
                change(observer, until + reportDelay(), node, {});
            }
        }
        if (disturbance != Disturbance::Partition)
            return;
        std::int64_t from = between(3000, 8000);
        std::int64_t until = from + between(6000, 15000);
        std::size_t half = nodes_.size() / 2;
        for (std::size_t observer = 0; observer < nodes_.size(); ++observer) {
            for (std::size_t node = 0; node < nodes_.size(); ++node) {
                if ((observer < half) == (node < half))
                    continue;
                change(observer, from + silenceMs + reportDelay(), node, { false, true });
                change(observer, until + reportDelay(), node, {});
            }
        }
    }

    /// Returns the times of all requests.
    std::vector<std::int64_t> run()
    {
        std::vector<std::int64_t> sent;
        for (Node& node : nodes_)
            std::sort(node.changes_.begin(), node.changes_.end(), [](const Change& left, const Change& right) { return left.atMs_ < right.atMs_; });
        for (std::int64_t now = 0; now < lengthMs; now += stepMs) {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                Node& node = nodes_[i];
                bool isAway = now >= node.awayFrom_ && now < node.awayUntil_;
                if (isAway || now < node.knowsAt_)
                    continue;
                if ((now + static_cast<std::int64_t>(i) * stepMs) % tickMs == 0)
                    updateShare(i, now);
                if (node.bucket_.canTake(at(now)) && uniform() < demandPerNode * stepMs / 1000) {
                    node.bucket_.take(at(now));
                    sent.push_back(now);
                }
            }
        }
        return sent;
    }

private:
    struct Change {
        std::int64_t atMs_;
        std::size_t node_;
        View view_;
    };
    struct Node {
        std::int64_t knowsAt_ = 0;
        std::int64_t awayFrom_ = lengthMs;
        std::int64_t awayUntil_ = lengthMs;
        std::vector<View> views_;
        std::vector<Change> changes_;
        std::size_t applied_ = 0;
        bool hasShare_ = false;
        RequestBucket bucket_;
    };

    static SteadyTime at(std::int64_t ms) { return SteadyTime { milliseconds(1000000 + ms) }; }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    std::int64_t between(std::int64_t low, std::int64_t high) { return std::uniform_int_distribution<std::int64_t>(low, high)(random_); }
    std::int64_t reportDelay() { return between(0, 400) + (between(0, 9) ? 0 : 400); }
    void change(std::size_t observer, std::int64_t atMs, std::size_t node, View view)
    {
        if (observer != node)
            nodes_[observer].changes_.push_back({ atMs, node, view });
    }

    void updateShare(std::size_t index, std::int64_t now)
    {
        Node& node = nodes_[index];
        bool isChanged = !std::exchange(node.hasShare_, true);
        for (; node.applied_ < node.changes_.size() && node.changes_[node.applied_].atMs_ <= now; ++node.applied_) {
            const Change& change = node.changes_[node.applied_];
            node.views_[change.node_] = change.view_;
            isChanged = true;
        }
        if (!isChanged)
            return;
        SharingNodes sharing { {}, 0 };
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            sharing.known_ += other == index || node.views_[other].isKnown_;
            if (other == index || node.views_[other].isLive_)
                sharing.live_.push_back(names_[other]);
        }
        node.bucket_.setShare(requestShare(limit_, backend, names_[index], sharing), at(now));
    }

    const double limit_;
    std::mt19937_64 random_;
    std::vector<VmId> names_;
    std::vector<Node> nodes_;
};

std::size_t mostInWindow(const std::vector<std::int64_t>& sent)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (first < last && (sent[last] - sent[first] > windowMs || sent[first] < noticeMs))
            ++first;
        if (sent[last] >= noticeMs)
            most = std::max(most, last + 1 - first);
    }
    return most;
}

} // namespace

TEST_CASE("the nodes of a fleet together exceed a server's request limit", "[shares]")
{
    auto nodes = GENERATE(std::size_t { 9 }, std::size_t { 63 }, std::size_t { 195 }, std::size_t { 985 });
    auto limit = GENERATE(0.25, 1.0, 10.0, 300.0);
    auto disturbance = GENERATE(Disturbance::None, Disturbance::Restarts, Disturbance::Freezes, Disturbance::Partition);
    std::uint64_t seeds = nodes > 63 ? 1 : 6;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(nodes, limit, static_cast<int>(disturbance), seed);
        FleetModel fleet(nodes, limit, seed);
        fleet.disturb(disturbance);
        std::vector<std::int64_t> sent = fleet.run();
        CHECK(static_cast<double>(mostInWindow(sent)) <= 1.5 * limit * 4 + 5);
        if (disturbance != Disturbance::None)
            continue;
        // A share of less than one request in the run shows no rate.
        std::int64_t fromMs = 8000;
        double seconds = static_cast<double>(lengthMs - fromMs) / 1000;
        auto used = static_cast<double>(std::count_if(sent.begin(), sent.end(), [&](std::int64_t atMs) { return atMs >= fromMs; }));
        CHECK(used >= 0.9 * limit * seconds - 1);
    }
}

TEST_CASE("a limit is divided among the first nodes of the rendezvous order", "[shares]")
{
    SharingNodes nodes;
    for (int i = 0; i < 30; ++i)
        nodes.live_.push_back({ "node-" + std::to_string(i) });
    nodes.known_ = 40;
    std::vector<VmId> ranked = rankByRendezvous("request limit/" + backend.value_, nodes.live_);
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        CHECK(rendezvousRankOf(ranked[i], "request limit/" + backend.value_, nodes.live_) == i);
        RequestShare share = requestShare(2.5, backend, ranked[i], nodes);
        CHECK(share.rate_ == Approx(i < 5 ? 2.5 * 30 / 40 / 5 : 0));
    }
    // A node that is stopping is not among them.
    CHECK(requestShare(2.5, backend, { "stopping" }, nodes) == RequestShare {});
}

TEST_CASE("the shares of a brittle server's slots add up to them", "[shares]")
{
    struct Row {
        std::size_t nodes_;
        std::uint64_t slots_;
    };
    auto row = GENERATE(values<Row>({ { 1, 7 }, { 9, 57 }, { 9, 5 }, { 63, 57 }, { 985, 57 } }));
    CAPTURE(row.nodes_, row.slots_);
    SharingNodes nodes;
    for (std::size_t i = 0; i < row.nodes_; ++i)
        nodes.live_.push_back({ "node-" + std::to_string(i) });
    nodes.known_ = row.nodes_;
    std::uint64_t sum = 0;
    for (const VmId& vm : nodes.live_) {
        std::uint64_t share = slotShare(row.slots_, backend, vm, nodes);
        CHECK(share >= row.slots_ / row.nodes_);
        CHECK(share <= row.slots_ / row.nodes_ + 1);
        sum += share;
    }
    CHECK(sum == row.slots_);
    CHECK(slotShare(row.slots_, backend, { "stopping" }, nodes) == 0);
}

TEST_CASE("a share that passes to another node starts without credit", "[shares]")
{
    SteadyTime start { milliseconds(1000000) };
    RequestBucket bucket;
    CHECK_FALSE(bucket.timeUntilNext(start));
    bucket.setShare({ 0.5, 1 }, start);
    CHECK_FALSE(bucket.canTake(start));
    CHECK(bucket.timeUntilNext(start) == milliseconds(2000));
    CHECK(bucket.canTake(start + milliseconds(2000)));
    // Credit does not grow beyond the burst.
    SteadyTime later = start + milliseconds(60000);
    bucket.take(later);
    CHECK_FALSE(bucket.canTake(later));
    bucket.giveBack();
    CHECK(bucket.canTake(later));
    bucket.setShare({}, later);
    CHECK_FALSE(bucket.canTake(later + milliseconds(60000)));
}
