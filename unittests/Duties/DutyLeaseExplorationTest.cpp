//===- unittests/Duties/DutyLeaseExplorationTest.cpp - all schedules ------===//
///
/// \file
/// Explores all schedules of two nodes that share a log, for five steps. In each step each
/// node runs, runs without receiving the other's reports, is frozen, or freezes between a
/// record and its act.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Duties.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

const SteadyTime start { std::chrono::hours(1) };
constexpr milliseconds lease { 3000 };
constexpr milliseconds step { 900 };
constexpr int steps = 5;

enum class Choice {
    Runs,
    Partitioned,
    Frozen,
    FreezesBeforeActing,
};
constexpr int choices = 4;

struct Act {
    int node_ = 0;
    DutyToken token_;
    SteadyTime at_ {};
};

struct Participant {
    DutyLease lease_;
    /// The log's end as this node knows it.
    std::uint64_t knownEnd_ = 0;
    /// When the node started to append a record whose act is still pending.
    std::optional<SteadyTime> recordedAt_;
};

struct SystemState {
    std::vector<Participant> nodes_;
    std::uint64_t logEnd_ = 0;
    std::vector<Act> acts_;
};

SystemState initialState()
{
    DutyTiming timing;
    timing.holderTimeout_ = lease * 85 / 100;
    timing.actAfterClaim_ = lease / 2 + milliseconds(100);
    timing.recordValidity_ = lease / 3;
    SystemState system;
    for (const char* name : { "0", "1" })
        system.nodes_.push_back({ DutyLease({ name }, timing, start), 0, std::nullopt });
    return system;
}

void act(SystemState& system, int index, SteadyTime now)
{
    Participant& node = system.nodes_[static_cast<std::size_t>(index)];
    if (node.recordedAt_ && node.lease_.mayAct(*node.recordedAt_, now))
        system.acts_.push_back({ index, node.lease_.token(), now });
    node.recordedAt_.reset();
}

void run(SystemState& system, int index, Choice choice, SteadyTime now)
{
    if (choice == Choice::Frozen)
        return;
    Participant& node = system.nodes_[static_cast<std::size_t>(index)];
    const Participant& peer = system.nodes_[static_cast<std::size_t>(1 - index)];
    // An act that was pending when the node froze is the first thing that it does.
    act(system, index, now);
    if (choice != Choice::Partitioned && peer.lease_.isHolder())
        node.lease_.noteHolder({ std::to_string(1 - index) }, peer.lease_.token(), now);
    if (node.lease_.shouldClaim(static_cast<std::size_t>(index), now)) {
        node.knownEnd_ = ++system.logEnd_;
        return node.lease_.becomeHolder({ node.knownEnd_ }, now);
    }
    if (!node.lease_.mayStartActs(now))
        return;
    if (node.knownEnd_ != system.logEnd_)
        return node.lease_.release(now);
    node.knownEnd_ = ++system.logEnd_;
    node.recordedAt_ = now;
    if (choice != Choice::FreezesBeforeActing)
        act(system, index, now);
}

/// Returns what is wrong with the order of acts, or an empty text.
std::string problemOf(const std::vector<Act>& acts)
{
    std::map<int, SteadyTime> lastActAt;
    for (std::size_t i = 1; i < acts.size(); ++i) {
        const Act& previous = acts[i - 1];
        const Act& current = acts[i];
        lastActAt[previous.node_] = previous.at_;
        if (current.token_ < previous.token_)
            return "the token decreases";
        if (current.node_ == previous.node_)
            continue;
        if (current.token_ == previous.token_)
            return "two nodes act with one token";
        if (lastActAt.contains(current.node_) && current.at_ - lastActAt[current.node_] <= lease)
            return "a node acts after another node, within a lease of its own last act";
    }
    return {};
}

} // namespace

TEST_CASE("no schedule of two nodes lets their acts overlap", "[duties]")
{
    SystemState settled = initialState();
    SteadyTime now = start;
    for (int i = 0; i < 5; ++i, now += step) {
        run(settled, 0, Choice::Runs, now);
        run(settled, 1, Choice::Runs, now);
    }
    REQUIRE_FALSE(settled.acts_.empty());
    int schedules = 1;
    for (int i = 0; i < steps; ++i)
        schedules *= choices * choices;
    int holderChanges = 0;
    for (int schedule = 0; schedule < schedules; ++schedule) {
        SystemState system = settled;
        SteadyTime at = now;
        int rest = schedule;
        for (int i = 0; i < steps; ++i, at += step) {
            run(system, 0, static_cast<Choice>(rest % choices), at);
            rest /= choices;
            run(system, 1, static_cast<Choice>(rest % choices), at);
            rest /= choices;
        }
        // Afterwards both nodes run without faults for 7 steps, more than two leases.
        for (int i = 0; i < 7; ++i, at += step) {
            run(system, 0, Choice::Runs, at);
            run(system, 1, Choice::Runs, at);
        }
        std::string problem = problemOf(system.acts_);
        if (!problem.empty()) {
            CAPTURE(schedule);
            FAIL(problem);
        }
        holderChanges += system.acts_.back().node_ != settled.acts_.front().node_;
        // One of the nodes holds the duties at the end.
        if (at - system.acts_.back().at_ > 2 * step) {
            CAPTURE(schedule);
            FAIL("no node acts after both run again");
        }
    }
    // The check is vacuous unless the holder holderChanges in enough schedules.
    CHECK(holderChanges > schedules / 50);
}
