//===- test/Platform/Soak/InvariantChecker.cpp - invariant checks ---------===//
///
/// \file
/// See InvariantChecker.h.
//===----------------------------------------------------------------------===//
#include "InvariantChecker.h"

#include <algorithm>
#include <set>

namespace pistachioloom::test {

namespace json = boost::json;

namespace {

    // Name of the platform in FaultIntervals.
    const std::string platform = "platform";
    // Maximum number of backend servers at which a repeatable request may run.
    constexpr int maxAttempts = 2;

    bool mayRepeat(RequestKind kind)
    {
        return kind == RequestKind::Safe || kind == RequestKind::ResumableStream || kind == RequestKind::Limited;
    }

    /// Whether requests of this kind count towards the small quota.
    bool isLimited(RequestKind kind)
    {
        return kind == RequestKind::Limited || kind == RequestKind::Deferrable;
    }

    /// Whether \p status states that the request has not run and never will.
    bool isRejection(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    std::string describe(const Call& call)
    {
        return call.id_ + " at " + call.gateway_ + ", status " + std::to_string(call.status_) + (call.isComplete_ ? ", complete" : ", incomplete") + ", body '" + call.body_.substr(0, 80) + "'";
    }

} // namespace

bool FaultIntervals::overlaps(const std::string& component, SteadyTime from, SteadyTime until) const
{
    auto found = intervals_.find(component);
    if (found == intervals_.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto& interval) { return interval.first <= until && interval.second >= from; });
}

void InvariantChecker::reportViolation(const std::string& invariant, const std::string& detail)
{
    violations_.push_back(invariant + ": " + detail);
}

std::size_t InvariantChecker::servedCount() const
{
    return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [](const Call& call) { return call.status_ == 200 && call.isComplete_; }));
}

void InvariantChecker::addCall(Call call)
{
    // Answers to crashing requests are not checked, since all of them are failures.
    if (call.kind_ != RequestKind::Crashing)
        checkAnswer(call);
    calls_.push_back(std::move(call));
}

void InvariantChecker::checkAnswer(const Call& call)
{
    std::string expected = expectedBody(call, bounds_.eventsPerStream_);
    if (call.status_ == 200 && call.isComplete_ && call.body_ != expected)
        reportViolation("a complete answer equals the answer that the backend server sent", describe(call));
    if (call.status_ == 200 && !call.isComplete_ && !expected.starts_with(call.body_))
        reportViolation("events arrive in order and exactly once", describe(call));
    if (call.status_ >= 400 && call.status_ < 500 && !isRejection(call.status_))
        reportViolation("permitted requests are not denied", describe(call));
    if (call.status_ == 429 && !isLimited(call.kind_))
        reportViolation("no organisation is rejected below its quota", describe(call));
    if ((call.status_ == 429 || call.status_ == 503) && !call.hasRetryAfter_)
        reportViolation("a rejection has a Retry-After header", describe(call));
    auto elapsed = call.endedAt_ - call.sentAt_;
    if (!call.hasCallerLeft_ && elapsed > bounds_.maxAnswerTime_ && !faultIntervals_.overlaps(call.gateway_, call.sentAt_, call.endedAt_))
        reportViolation("answers end within the maximum time", describe(call) + " after " + std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count()) + " ms");
}

void InvariantChecker::addRuns(const json::array& ids, bool isRemoved)
{
    for (const json::value& id : ids) {
        ++runCounts_[std::string(id.as_string())];
        if (isRemoved)
            ++runCountsAtRemoved_[std::string(id.as_string())];
    }
}

void InvariantChecker::checkRuns(const Call& call)
{
    auto found = runCounts_.find(call.id_);
    int runs = found == runCounts_.end() ? 0 : found->second;
    if (!mayRepeat(call.kind_) && runs > 1)
        reportViolation("an unrepeatable request runs at most once", describe(call) + " ran " + std::to_string(runs) + " times");
    // Runs at backend servers that a reclaim or a crash has removed do not count.
    auto atRemoved = runCountsAtRemoved_.find(call.id_);
    if (mayRepeat(call.kind_) && runs - (atRemoved == runCountsAtRemoved_.end() ? 0 : atRemoved->second) > maxAttempts)
        reportViolation("the number of attempts is bounded", describe(call) + " ran " + std::to_string(runs) + " times");
    if (!mayRepeat(call.kind_) && isRejection(call.status_) && runs)
        reportViolation("a rejected request has not run", describe(call) + " ran");
    if (call.status_ == 200 && call.isComplete_ && !runs)
        reportViolation("a served request has run", describe(call));
}

void InvariantChecker::checkToken(const json::object& duty, std::uint64_t& newest)
{
    auto token = static_cast<std::uint64_t>(numberField(duty, "token"));
    SteadyTime at { milliseconds(numberField(duty, "at_ms")) };
    std::string holder = textField(duty, "holder");
    SteadyTime from = at - bounds_.faultGrace_;
    if (token < newest && !faultIntervals_.overlaps(holder, from, at) && !faultIntervals_.overlaps(platform, from, at))
        reportViolation("fencing tokens never decrease", holder + " called with " + std::to_string(token) + " after " + std::to_string(newest));
    newest = std::max(newest, token);
}

void InvariantChecker::checkDuties(const json::array& duties)
{
    std::uint64_t newest = 0;
    std::map<std::uint64_t, std::string> holderOf;
    std::map<std::int64_t, json::value> reports;
    for (const json::value& value : duties) {
        const json::object& duty = value.as_object();
        checkToken(duty, newest);
        auto token = static_cast<std::uint64_t>(numberField(duty, "token"));
        auto [holder, isNew] = holderOf.try_emplace(token, textField(duty, "holder"));
        if (holder->second != textField(duty, "holder"))
            reportViolation("each fencing token has one holder", "token " + std::to_string(token) + " of " + holder->second + " and " + textField(duty, "holder"));
        if (textField(duty, "call") != "/usage")
            continue;
        const json::object& body = duty.at("body").as_object();
        auto window = static_cast<std::int64_t>(numberField(body, "window_no"));
        auto [report, isFirst] = reports.try_emplace(window, body);
        if (!isFirst && report->second != value.at("body"))
            reportViolation("each usage window has one report", json::serialize(report->second) + " and " + json::serialize(body));
    }
}

/// A late crash is excused if its gateway or the platform had a fault within the contact
/// time before it. A gateway that was down or frozen may not know of the quarantine, nor do
/// gateways that all restart while the platform is unavailable.
void InvariantChecker::checkCrashes(const json::array& crashes)
{
    std::map<std::string, std::string> gatewayOf;
    for (const Call& call : calls_)
        gatewayOf[call.id_] = call.gateway_;
    std::size_t lateCrashes = 0;
    SteadyTime quarantinedAt {};
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        const json::object& crash = crashes[i].as_object();
        SteadyTime at { milliseconds(numberField(crash, "at_ms")) };
        if (i + 1 == bounds_.crashesBeforeQuarantine_)
            quarantinedAt = at;
        if (i < bounds_.crashesBeforeQuarantine_ || at - quarantinedAt <= bounds_.contactTime_)
            continue;
        const std::string& gateway = gatewayOf[textField(crash, "request")];
        SteadyTime from = at - bounds_.contactTime_;
        if (!faultIntervals_.overlaps(gateway, from, at) && !faultIntervals_.overlaps(platform, from, at))
            ++lateCrashes;
    }
    if (lateCrashes > bounds_.maxLateCrashes_)
        reportViolation("a request that crashes engines is quarantined", std::to_string(lateCrashes) + " engines crashed later than the contact time, " + std::to_string(crashes.size()) + " in all");
}

void InvariantChecker::addLateRuns(const std::string& id, const std::vector<std::string>& ids, SteadyTime reportedAt)
{
    for (const std::string& run : ids)
        lateRuns_.push_back({ id, run, reportedAt });
}

void InvariantChecker::checkLateRuns()
{
    std::map<std::string, const Call*> callOf;
    for (const Call& call : calls_)
        callOf[call.id_] = &call;
    for (const LateRun& run : lateRuns_) {
        auto call = callOf.find(run.requestId_);
        // A request may wait long before it is forwarded, so only requests sent after the
        // contact time count. A gateway that restarts forgets that the server is leaving.
        bool isExcused = call == callOf.end() || call->second->sentAt_ < run.reportedAt_ + bounds_.contactTime_ || faultIntervals_.overlaps(call->second->gateway_, run.reportedAt_, call->second->endedAt_);
        if (!isExcused)
            reportViolation("a backend server that reports that it is leaving gets no new requests", run.server_ + " ran " + describe(*call->second));
    }
}

void InvariantChecker::checkEntireRun(SteadyTime startedAt, SteadyTime recoveredAt)
{
    std::set<std::string> sentIds;
    double limitedRuns = 0;
    std::size_t sentAfterRecovery = 0;
    std::size_t servedAfterRecovery = 0;
    for (const Call& call : calls_) {
        sentIds.insert(call.id_);
        if (call.kind_ != RequestKind::Crashing)
            checkRuns(call);
        auto runs = runCounts_.find(call.id_);
        if (isLimited(call.kind_) && runs != runCounts_.end())
            limitedRuns += 1;
        bool mustBeServed = !isLimited(call.kind_) && call.kind_ != RequestKind::Crashing;
        if (call.sentAt_ < recoveredAt || call.hasCallerLeft_ || !mustBeServed)
            continue;
        ++sentAfterRecovery;
        servedAfterRecovery += call.status_ == 200 && call.isComplete_;
    }
    for (const auto& [id, runs] : runCounts_) {
        if (!sentIds.contains(id))
            reportViolation("only requests that callers sent run", id);
    }
    checkLateRuns();
    double seconds = std::chrono::duration<double>(steadyNow() - startedAt).count();
    double allowed = bounds_.limitedRate_ * seconds + bounds_.limitedBurst_ + bounds_.limitedSlack_;
    if (limitedRuns > allowed)
        reportViolation("a quota holds across all nodes", std::to_string(limitedRuns) + " of " + std::to_string(allowed));
    if (!sentAfterRecovery || static_cast<double>(servedAfterRecovery) < bounds_.minServedShare_ * static_cast<double>(sentAfterRecovery))
        reportViolation("requests are served again after the recovery", std::to_string(servedAfterRecovery) + " of " + std::to_string(sentAfterRecovery));
}

} // namespace pistachioloom::test
