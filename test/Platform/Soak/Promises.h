//===- test/Platform/Soak/Promises.h - what must hold through every fault -===//
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
class Disturbances {
public:
    void note(const std::string& what, SteadyTime from, SteadyTime until) { spans_[what].emplace_back(from, until); }
    /// Whether \p what was disturbed at any time from \p from to \p until.
    bool overlap(const std::string& what, SteadyTime from, SteadyTime until) const;

private:
    std::map<std::string, std::vector<std::pair<SteadyTime, SteadyTime>>> spans_;
};

struct PromiseBounds {
    /// Events of a whole stream.
    int events_ = 5;
    /// Answers come so long after the request at the latest.
    milliseconds latest_ { 4500 };
    /// Calls of duties that a fault held back count as the fault's for so long.
    milliseconds afterFault_ { 2000 };
    milliseconds lease_ { 3000 };
    /// The small organisation's quota.
    double limitedRate_ = 0.5;
    double limitedBurst_ = 1;
    /// Requests that all nodes may admit between two reports, over the quota.
    double limitedSlack_ = 8;
    /// What one gateway has seen is known to all after it.
    milliseconds contact_ { 3000 };
    /// Engines that a request crashes before it is held.
    std::size_t crashesTolerated_ = 3;
    /// Attempts at a held request that still reach engines later than the contact time.
    std::size_t crashesAfter_ = 3;
    /// Share of requests served once all faults are over.
    double servedAfter_ = 0.95;
};

class Promises {
public:
    explicit Promises(PromiseBounds bounds)
        : bounds_(bounds)
    {
    }

    Disturbances& disturbances() { return disturbances_; }
    /// Takes a call, and checks what its caller saw.
    void take(Call call);
    /// Ids of requests in the order in which one backend server ran them; \p isGone
    /// if it was taken away.
    void takeRuns(const boost::json::array& ids, bool isGone);
    /// Calls of duties as they reached the platform.
    void checkDuties(const boost::json::array& duties);
    /// Engines that the crashing request ended, as the stand-in tells.
    void checkCrashes(const boost::json::array& crashes);
    /// Runs at backend server \p id later than the contact time after \p saidAt, when it
    /// had said in an answer that it leaves.
    void takeLateRuns(const std::string& id, const std::vector<std::string>& ids, SteadyTime saidAt);
    /// Everything that needs the whole run; \p calmFrom is when faults were over
    /// and the system had had time to recover.
    void checkWhole(SteadyTime startedAt, SteadyTime calmFrom);
    void broken(const std::string& promise, const std::string& detail);

    std::size_t calls() const { return calls_.size(); }
    std::size_t served() const;
    const std::vector<std::string>& findings() const { return findings_; }

private:
    void checkAnswer(const Call& call);
    void checkRuns(const Call& call);
    void checkLateRuns();
    void checkToken(const boost::json::object& duty, std::uint64_t& newest);

    PromiseBounds bounds_;
    Disturbances disturbances_;
    std::vector<Call> calls_;
    std::map<std::string, int> runs_;
    /// Those of them at backend servers that were taken away.
    std::map<std::string, int> runsAtGone_;
    struct LateRun {
        std::string server_;
        std::string id_;
        SteadyTime saidAt_ {};
    };
    std::vector<LateRun> lateRuns_;
    std::vector<std::string> findings_;
};

} // namespace pistachioloom::test
