//===- test/Platform/Soak/InvariantChecker.h - what must hold through every fault -===//
///
/// \file
/// Checks what callers, backend servers and the platform saw against what the
/// system promises. Each broken promise is noted with what shows it.
//===----------------------------------------------------------------------===//
#pragma once

#include "SoakCaller.h"
#include "pistachioloom/Json.h"

#include <map>

namespace pistachioloom::test {

/// Times at which a process or link was not as usual.
class FaultIntervals {
public:
    void add(const std::string& component, SteadyTime from, SteadyTime until) { intervals_[component].emplace_back(from, until); }
    /// Whether \p component was disturbed at any time from \p from to \p until.
    bool overlaps(const std::string& component, SteadyTime from, SteadyTime until) const;

private:
    std::map<std::string, std::vector<std::pair<SteadyTime, SteadyTime>>> intervals_;
};

struct InvariantBounds {
    /// Events of a whole stream.
    int eventsPerStream_ = 5;
    /// Answers come so long after the request at the latest.
    milliseconds maxAnswerTime_ { 4500 };
    /// Calls of duties that a fault held back count as the fault's for so long.
    milliseconds faultGrace_ { 2000 };
    milliseconds lease_ { 3000 };
    /// The small organisation's quota.
    double limitedRate_ = 0.5;
    double limitedBurst_ = 1;
    /// Requests that all nodes may admit between two reports, over the quota.
    double limitedSlack_ = 8;
    /// What one gateway has seen is known to all after it.
    milliseconds contactTime_ { 3000 };
    /// Engines that a request crashes before it is held.
    std::size_t crashesBeforeQuarantine_ = 3;
    /// Attempts at a held request that still reach engines later than the contact time.
    std::size_t maxLateCrashes_ = 3;
    /// Share of requests served once all faults are over.
    double minServedShare_ = 0.95;
};

class InvariantChecker {
public:
    explicit InvariantChecker(InvariantBounds bounds)
        : bounds_(bounds)
    {
    }

    FaultIntervals& faultIntervals() { return faultIntervals_; }
    /// Takes a call, and checks what its caller saw.
    void addCall(Call call);
    /// Ids of requests in the order in which one backend server ran them; \p isRemoved
    /// if it was taken away.
    void addRuns(const boost::json::array& ids, bool isRemoved);
    /// Calls of duties as they reached the platform.
    void checkDuties(const boost::json::array& duties);
    /// Engines that the crashing request ended, as the stand-in tells.
    void checkCrashes(const boost::json::array& crashes);
    /// Runs at backend server \p id later than the contact time after \p announcedAt, when it
    /// had said in an answer that it leaves.
    void addLateRuns(const std::string& id, const std::vector<std::string>& ids, SteadyTime announcedAt);
    /// Everything that needs the whole run; \p recoveredAt is when faults were over
    /// and the system had had time to recover.
    void checkEntireRun(SteadyTime startedAt, SteadyTime recoveredAt);
    void reportViolation(const std::string& invariant, const std::string& detail);

    std::size_t calls() const { return calls_.size(); }
    std::size_t served() const;
    const std::vector<std::string>& violations() const { return violations_; }

private:
    void checkAnswer(const Call& call);
    void checkRuns(const Call& call);
    void checkLateRuns();
    void checkToken(const boost::json::object& duty, std::uint64_t& newest);

    InvariantBounds bounds_;
    FaultIntervals faultIntervals_;
    std::vector<Call> calls_;
    std::map<std::string, int> runs_;
    /// Those of them at backend servers that were taken away.
    std::map<std::string, int> runsAtRemoved_;
    struct LateRun {
        std::string server_;
        std::string id_;
        SteadyTime announcedAt_ {};
    };
    std::vector<LateRun> lateRuns_;
    std::vector<std::string> violations_;
};

} // namespace pistachioloom::test
