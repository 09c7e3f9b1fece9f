//===- test/Platform/Soak/InvariantChecker.h - invariant checks -----------===//
///
/// \file
/// Checks what callers, backend servers and the platform observed against the
/// invariants of the system. Each violation is recorded with its evidence.
//===----------------------------------------------------------------------===//
#pragma once

#include "SoakCaller.h"
#include "pistachioloom/Json.h"

#include <map>

namespace pistachioloom::test {

/// The times at which each component had an injected fault. A component is a gateway, a
/// backend server or the platform; a fault of its link counts as its own.
class FaultIntervals {
public:
    void add(const std::string& component, SteadyTime from, SteadyTime until) { intervals_[component].emplace_back(from, until); }
    /// Whether \p component had a fault at any time from \p from to \p until.
    bool overlaps(const std::string& component, SteadyTime from, SteadyTime until) const;

private:
    std::map<std::string, std::vector<std::pair<SteadyTime, SteadyTime>>> intervals_;
};

/// Bounds of the invariants, and the properties of the deployment on which they depend.
struct InvariantBounds {
    /// Number of events in a complete stream.
    int eventsPerStream_ = 5;
    /// Maximum time from a request to the end of its answer.
    milliseconds maxAnswerTime_ { 4500 };
    /// A duty call that arrives within this time after a fault of its sender or of the platform
    /// may have been delayed by the fault, and is excused.
    milliseconds faultGrace_ { 2000 };
    milliseconds lease_ { 3000 };
    /// Quota of the small organisation: its rate in requests per second, and its burst in
    /// requests.
    double limitedRate_ = 0.5;
    double limitedBurst_ = 1;
    /// Requests that all nodes together may admit above the quota between two reports.
    double limitedSlack_ = 8;
    /// Time after which all gateways know what one of them has observed.
    milliseconds contactTime_ { 3000 };
    /// Number of engine crashes after which the crashing request is quarantined.
    std::size_t crashesBeforeQuarantine_ = 3;
    /// Number of engines that may still crash later than the contact time after the request
    /// was quarantined.
    std::size_t maxLateCrashes_ = 3;
    /// Minimum share of requests that are served after the recovery.
    double minServedShare_ = 0.95;
};

/// Collects the observations of one run and the violations of the invariants.
class InvariantChecker {
public:
    explicit InvariantChecker(InvariantBounds bounds)
        : bounds_(bounds)
    {
    }

    FaultIntervals& faultIntervals() { return faultIntervals_; }
    /// Adds a finished call and checks its answer.
    void addCall(Call call);
    /// Adds the ids of requests that one backend server ran, in order of their runs.
    /// \p isRemoved: a reclaim or a crash has removed the backend server.
    void addRuns(const boost::json::array& ids, bool isRemoved);
    /// Checks the duty calls that reached the platform, in order of arrival.
    void checkDuties(const boost::json::array& duties);
    /// Checks the engine crashes that the stand-in reports for the crashing request.
    void checkCrashes(const boost::json::array& crashes);
    /// Adds late runs at backend server \p id, which had reported in an answer by
    /// \p reportedAt that it is leaving. Requests sent within the contact time after that
    /// are excused.
    void addLateRuns(const std::string& id, const std::vector<std::string>& ids, SteadyTime reportedAt);
    /// Checks the invariants that need the entire run. \p recoveredAt is when the faults
    /// had ended and the system had had time to recover.
    void checkEntireRun(SteadyTime startedAt, SteadyTime recoveredAt);
    /// Records a violation of \p invariant.
    void reportViolation(const std::string& invariant, const std::string& detail);

    std::size_t callCount() const { return calls_.size(); }
    std::size_t servedCount() const;
    const std::vector<std::string>& violations() const { return violations_; }

private:
    void checkAnswer(const Call& call);
    void checkRuns(const Call& call);
    void checkLateRuns();
    void checkToken(const boost::json::object& duty, std::uint64_t& newest);

    InvariantBounds bounds_;
    FaultIntervals faultIntervals_;
    std::vector<Call> calls_;
    /// The number of runs of each request, by id.
    std::map<std::string, int> runCounts_;
    /// The number of runs of each request at backend servers that a reclaim or a crash has
    /// removed. `runCounts_` includes them.
    std::map<std::string, int> runCountsAtRemoved_;
    /// A run at a backend server after gateways should have known that it is leaving.
    struct LateRun {
        std::string server_;
        std::string requestId_;
        SteadyTime reportedAt_ {};
    };
    std::vector<LateRun> lateRuns_;
    std::vector<std::string> violations_;
};

} // namespace pistachioloom::test
