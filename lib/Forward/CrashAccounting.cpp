//===- lib/Forward/CrashAccounting.cpp - what attempts tell of crashes -----===//
///
/// \file
/// Counts crashes and sound answers by the attributes of the request, and rejects requests
/// whose attributes are quarantined; see Quarantine.h.
//===----------------------------------------------------------------------===//
#include "LivenessProbe.h"
#include "RequestForwarder.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    // Parts of a prompt by which crashes are counted.
    constexpr std::size_t maxPromptAttributes = 8;
    // Time after the first event of a stream in which a prompt that crashes its server has done
    // so.
    constexpr milliseconds goingOnTime { 1000 };

    const Logger& logger()
    {
        static const Logger logger("forward");
        return logger;
    }

} // namespace

/// Called before every send: first sends, retries and moved streams.
std::optional<RequestForwarder::HeldAnswer> RequestForwarder::rejectQuarantined()
{
    if (context_.quarantine_.isEmpty())
        return std::nullopt;
    std::vector<Attribute> suspected = attributes();
    auto quarantine = context_.quarantine_.admit(suspected, steadyNow());
    if (!quarantine) {
        shape_.isSuspect_ = context_.quarantine_.isSuspected(suspected);
        return std::nullopt;
    }
    context_.metrics_.add(Counter::RequestsQuarantined);
    logQuarantined(*quarantine);
    std::string reason = "quarantined: " + std::to_string(quarantine->crashes_) + " backend servers crashed under ";
    // 4xx would blame the request, whose fault is likely but not certain. 503 promises that the
    // request has not run and never will, which may be untrue of a repeated request. A new
    // request with a quarantined prompt part has not run, and its caller learns when to return.
    bool hasNotRun = quarantine->attribute_.kind_ == AttributeKind::PromptPart && !mayHaveRun_ && !sendCount_;
    if (hasNotRun)
        return rejection(503, reason + "a part of this prompt", quarantine->timeLeft_);
    return rejection(502, reason + "this request", {});
}

void RequestForwarder::logQuarantined(const Quarantine& quarantine)
{
    LogLine line("Request is quarantined.");
    line.add("id", attemptId_).add("kind", toString(quarantine.attribute_.kind_)).add("request", toString(quarantine.attribute_.key_));
    line.add("crashes", static_cast<std::int64_t>(quarantine.crashes_)).add("sound", static_cast<std::int64_t>(quarantine.soundAnswers_)).add("on_trial", quarantine.isOnTrial_);
    line.add("last_crash_ms", quarantine.sinceLastCrash_.count()).add("left_ms", quarantine.timeLeft_.count());
    line.add("target", request_.target_).add("organisation", organisation_ ? organisation_->name_.value_ : "");
    logger().info(line);
}

/// A complete answer, even a failure, shows that the request does not crash its backend
/// server. A failure may come before the server has looked at the prompt.
void RequestForwarder::noteSound(const Attempt& attempt)
{
    std::vector<Attribute> sound;
    if (!context_.crashes_.isIdle())
        sound.push_back({ AttributeKind::Request, fingerprint() });
    if (!attempt.hasGoneOn_ && latestStatus_ / 100 == 2) {
        std::vector<Attribute> parts = promptAttributes();
        sound.insert(sound.end(), parts.begin(), parts.end());
    }
    if (context_.crashes_.noteSound(sound, steadyNow()))
        logger().info(LogLine("Request is no longer suspected.").add("id", attemptId_).add("request", toString(fingerprint())));
}

/// Counts a stream as sound before its end. A crash after that has another cause than its prompt.
void RequestForwarder::noteGoingOn(Attempt& attempt)
{
    if (attempt.hasGoneOn_ || steadyNow() - attempt.firstByteAt_ < goingOnTime)
        return;
    attempt.hasGoneOn_ = true;
    (void)context_.crashes_.noteSound(promptAttributes(), steadyNow());
}

void RequestForwarder::noteEvidence(const Attempt& attempt, SendOutcome end)
{
    if (attempt.sentAt_ == SteadyTime {})
        return;
    if (end == SendOutcome::Delivered || end == SendOutcome::Held) {
        if (attempt.endsWithConnection_)
            return noteCutOff(attempt, AttemptEnd::ConnectionClosed);
        return noteSound(attempt);
    }
    if (end == SendOutcome::Lost && (attempt.isCutOff_ || stopReason_ == StopReason::WaitLimitExceeded))
        return noteCutOff(attempt, AttemptEnd::CutOff);
    if (end == SendOutcome::Stopped || end == SendOutcome::Moved)
        noteCutOff(attempt, AttemptEnd::GivenUp);
}

Fingerprint RequestForwarder::fingerprint()
{
    if (!fingerprint_) {
        std::string_view organisation = organisation_ ? std::string_view(organisation_->name_.value_) : std::string_view();
        fingerprint_ = fingerprintOf({ organisation, request_.method_, request_.field("Host"), request_.target_, request_.body_ }, context_.fingerprintSecret_);
    }
    return *fingerprint_;
}

std::vector<Attribute> RequestForwarder::promptAttributes() const
{
    std::vector<Attribute> attributes;
    for (const PromptPart& part : shape_.parts_) {
        Attribute attribute { AttributeKind::PromptPart, fingerprintOf(shape_.service_, part.id_, context_.fingerprintSecret_) };
        bool isNew = std::find(attributes.begin(), attributes.end(), attribute) == attributes.end();
        if (isNew && attributes.size() < maxPromptAttributes)
            attributes.push_back(attribute);
    }
    return attributes;
}

std::vector<Attribute> RequestForwarder::attributes()
{
    std::vector<Attribute> attributes { { AttributeKind::Request, fingerprint() } };
    std::vector<Attribute> parts = promptAttributes();
    attributes.insert(attributes.end(), parts.begin(), parts.end());
    return attributes;
}

/// Returns the fingerprints of the prompt's parts in order, for logs.
std::string RequestForwarder::promptFingerprints() const
{
    std::string text;
    for (const Attribute& attribute : promptAttributes())
        text += (text.empty() ? "" : " ") + toString(attribute.key_);
    return text;
}

void RequestForwarder::noteCutOff(const Attempt& attempt, AttemptEnd end)
{
    const BackendRecord& backend = attempt.choice_.backend_;
    auto known = context_.backends_.find(backend.id_);
    // The termination of a leaving backend server was announced and is not a crash.
    if (known && known->isLeaving_)
        return;
    CutOff cutOff { attributes(), organisation_ ? organisation_->name_ : OrganisationId {}, { keyOf(backend.id_) } };
    if (attempt.hasGoneOn_)
        cutOff.attributes_.resize(1);
    // This node does not reach a server that it reaches through a peer only.
    cutOff.mayProbe_ = !attempt.isRelayed_;
    CrashDetector::CutOffResult result = context_.crashes_.noteCutOff(cutOff, steadyNow(), end);
    if (result.counted_)
        logCrash(context_, backend.id_, *result.counted_);
    if (result.needsProbe_)
        asio::co_spawn(pool_.executor(), probeLiveness(context_, backend, end), asio::detached);
}

} // namespace pistachioloom
