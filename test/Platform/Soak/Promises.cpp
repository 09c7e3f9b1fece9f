//===- test/Platform/Soak/Promises.cpp - what must hold through every fault ===//
///
/// \file
/// See Promises.h.
//===----------------------------------------------------------------------===//
#include "Promises.h"

#include <algorithm>
#include <set>

namespace pistachioloom::test {

namespace json = boost::json;

namespace {

    // The platform, as a thing that is disturbed.
    const std::string platform = "platform";
    // Backend servers that one request may run at, for the kinds that may repeat.
    constexpr int mostAttempts = 2;

    bool mayRepeat(RequestKind kind)
    {
        return kind == RequestKind::Safe || kind == RequestKind::Draft || kind == RequestKind::Limited;
    }

    /// Statuses that say that a request has not run and never will.
    bool isRefusal(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    std::string describe(const Call& call)
    {
        return call.id_ + " at " + call.gateway_ + ", status " + std::to_string(call.status_) + (call.isWhole_ ? ", whole" : ", cut") + ", body '" + call.body_.substr(0, 80) + "'";
    }

} // namespace

bool Disturbances::overlap(const std::string& what, SteadyTime from, SteadyTime until) const
{
    auto found = spans_.find(what);
    if (found == spans_.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto& span) { return span.first <= until && span.second >= from; });
}

void Promises::broken(const std::string& promise, const std::string& detail)
{
    findings_.push_back(promise + ": " + detail);
}

std::size_t Promises::served() const
{
    return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [](const Call& call) { return call.status_ == 200 && call.isWhole_; }));
}

void Promises::take(Call call)
{
    // Each answer to it is a failure.
    if (call.kind_ != RequestKind::Crashing)
        checkAnswer(call);
    calls_.push_back(std::move(call));
}

void Promises::checkAnswer(const Call& call)
{
    std::string expected = expectedBody(call, bounds_.events_);
    if (call.status_ == 200 && call.isWhole_ && call.body_ != expected)
        broken("a whole answer is the backend server's", describe(call));
    if (call.status_ == 200 && !call.isWhole_ && !expected.starts_with(call.body_))
        broken("events come in order, once each", describe(call));
    if (call.status_ >= 400 && call.status_ < 500 && !isRefusal(call.status_))
        broken("allowed requests are not denied", describe(call));
    if (call.status_ == 429 && call.kind_ != RequestKind::Limited)
        broken("nobody is refused below his quota", describe(call));
    if ((call.status_ == 429 || call.status_ == 503) && !call.hasRetryAfter_)
        broken("a refusal says when to return", describe(call));
    auto took = call.endedAt_ - call.sentAt_;
    if (!call.hasLeft_ && took > bounds_.latest_ && !disturbances_.overlap(call.gateway_, call.sentAt_, call.endedAt_))
        broken("answers come in time", describe(call) + " after " + std::to_string(std::chrono::duration_cast<milliseconds>(took).count()) + " ms");
}

void Promises::takeRuns(const json::array& ids, bool isGone)
{
    for (const json::value& id : ids) {
        ++runs_[std::string(id.as_string())];
        if (isGone)
            ++runsAtGone_[std::string(id.as_string())];
    }
}

void Promises::checkRuns(const Call& call)
{
    auto found = runs_.find(call.id_);
    int runs = found == runs_.end() ? 0 : found->second;
    if (!mayRepeat(call.kind_) && runs > 1)
        broken("what may run once runs once", describe(call) + " ran " + std::to_string(runs) + " times");
    // Backend servers that were taken away do not count.
    auto atGone = runsAtGone_.find(call.id_);
    if (mayRepeat(call.kind_) && runs - (atGone == runsAtGone_.end() ? 0 : atGone->second) > mostAttempts)
        broken("attempts are bounded", describe(call) + " ran " + std::to_string(runs) + " times");
    if (!mayRepeat(call.kind_) && isRefusal(call.status_) && runs)
        broken("a refused request has not run", describe(call) + " ran");
    if (call.status_ == 200 && call.isWhole_ && !runs)
        broken("a served request has run", describe(call));
}

void Promises::checkToken(const json::object& duty, std::uint64_t& newest)
{
    auto token = static_cast<std::uint64_t>(numberField(duty, "token"));
    SteadyTime at { milliseconds(numberField(duty, "at_ms")) };
    std::string holder = textField(duty, "holder");
    SteadyTime from = at - bounds_.afterFault_;
    if (token < newest && !disturbances_.overlap(holder, from, at) && !disturbances_.overlap(platform, from, at))
        broken("fencing tokens only rise", holder + " called with " + std::to_string(token) + " after " + std::to_string(newest));
    newest = std::max(newest, token);
}

void Promises::checkDuties(const json::array& duties)
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
            broken("one holder at a time", "token " + std::to_string(token) + " of " + holder->second + " and " + textField(duty, "holder"));
        if (textField(duty, "call") != "/usage")
            continue;
        const json::object& body = duty.at("body").as_object();
        auto window = static_cast<std::int64_t>(numberField(body, "window_no"));
        auto [report, isFirst] = reports.try_emplace(window, body);
        if (!isFirst && report->second != value.at("body"))
            broken("one usage report for a window", json::serialize(report->second) + " and " + json::serialize(body));
    }
}

/// A gateway that was down or frozen, or a platform that was away when all had to begin
/// anew, excuses what was sent within the contact time after it.
void Promises::checkCrashes(const json::array& crashes)
{
    std::map<std::string, std::string> gatewayOf;
    for (const Call& call : calls_)
        gatewayOf[call.id_] = call.gateway_;
    std::size_t late = 0;
    SteadyTime heldAt {};
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        const json::object& crash = crashes[i].as_object();
        SteadyTime at { milliseconds(numberField(crash, "at_ms")) };
        if (i + 1 == bounds_.crashesTolerated_)
            heldAt = at;
        if (i < bounds_.crashesTolerated_ || at - heldAt <= bounds_.contact_)
            continue;
        const std::string& gateway = gatewayOf[textField(crash, "request")];
        SteadyTime from = at - bounds_.contact_;
        if (!disturbances_.overlap(gateway, from, at) && !disturbances_.overlap(platform, from, at))
            ++late;
    }
    if (late > bounds_.crashesAfter_)
        broken("a request that crashes engines is held", std::to_string(late) + " engines crashed later than the contact time, " + std::to_string(crashes.size()) + " in all");
}

void Promises::takeLateRuns(const std::string& id, const std::vector<std::string>& ids, SteadyTime saidAt)
{
    for (const std::string& run : ids)
        lateRuns_.push_back({ id, run, saidAt });
}

void Promises::checkLateRuns()
{
    std::map<std::string, const Call*> callOf;
    for (const Call& call : calls_)
        callOf[call.id_] = &call;
    for (const LateRun& run : lateRuns_) {
        auto call = callOf.find(run.id_);
        // A request may wait for long before it is sent on; a restart forgets the word.
        bool isExcused = call == callOf.end() || call->second->sentAt_ < run.saidAt_ + bounds_.contact_ || disturbances_.overlap(call->second->gateway_, run.saidAt_, call->second->endedAt_);
        if (!isExcused)
            broken("a backend server that says that it leaves gets no new requests", run.server_ + " ran " + describe(*call->second));
    }
}

void Promises::checkWhole(SteadyTime startedAt, SteadyTime calmFrom)
{
    std::set<std::string> sent;
    double limited = 0;
    std::size_t late = 0;
    std::size_t lateServed = 0;
    for (const Call& call : calls_) {
        sent.insert(call.id_);
        if (call.kind_ != RequestKind::Crashing)
            checkRuns(call);
        auto runs = runs_.find(call.id_);
        if (call.kind_ == RequestKind::Limited && runs != runs_.end())
            limited += 1;
        bool isServedAlways = call.kind_ != RequestKind::Limited && call.kind_ != RequestKind::Crashing;
        if (call.sentAt_ < calmFrom || call.hasLeft_ || !isServedAlways)
            continue;
        ++late;
        lateServed += call.status_ == 200 && call.isWhole_;
    }
    for (const auto& [id, runs] : runs_) {
        if (!sent.contains(id))
            broken("only what callers sent runs", id);
    }
    checkLateRuns();
    double seconds = std::chrono::duration<double>(steadyNow() - startedAt).count();
    double allowed = bounds_.limitedRate_ * seconds + bounds_.limitedBurst_ + bounds_.limitedSlack_;
    if (limited > allowed)
        broken("a quota holds over all nodes", std::to_string(limited) + " of " + std::to_string(allowed));
    if (!late || static_cast<double>(lateServed) < bounds_.servedAfter_ * static_cast<double>(late))
        broken("all is served again after the faults", std::to_string(lateServed) + " of " + std::to_string(late));
}

} // namespace pistachioloom::test
