//===- unittests/Gateway/GatewaySettingsTest.cpp - settings of a gateway --===//
///
/// \file
/// Tests that valid settings are read completely, and that errors in invalid settings name
/// the line and the key.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Gateway.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

static const std::string validSettings = R"(gateway:
  vm: "node-1"
  data_centre: "a"
  peer_credential: "sixteen characters"
  store: "10.0.0.9:80"
  seeds: ["10.0.0.1:70", "10.0.0.2:70"]
  listen:
    callers: "10.0.0.1:60"
    readiness: "10.0.0.1:61"
    peers: "10.0.0.1:70"
    gossip: "10.0.0.1:71"
    metrics: "10.0.0.1:72"
  duties:
    address: "10.0.0.9:81"
    usage_window: 2.5s
  stopping:
    grace: 8s
  quarantine:
    crashes: 4
    first: 20s
    organisation_capacity: 64
    evidence: 8
  forward:
    accept_delay: 70ms
  rollout:
    exposed_share: 0.1
    exposed_extra: 50
    trial_part: 0.6
    tolerated_bad: 40
    rollback_time: 4s
  choice:
    shared_engine_speeds: true
)";

TEST_CASE("valid settings of a gateway are read", "[gateway]")
{
    InputErrors errors;
    auto settings = parseGatewaySettings(validSettings, "f", errors);
    for (const InputError& error : errors)
        UNSCOPED_INFO(error.toString());
    REQUIRE(settings);
    CHECK(settings->vm_.value_ == "node-1");
    CHECK(settings->seeds_.size() == 2);
    CHECK(settings->usageWindow_ == milliseconds(2500));
    CHECK(settings->quarantine_.crashesToQuarantine_ == 4);
    CHECK(settings->quarantine_.initialDuration_ == milliseconds(20000));
    CHECK(settings->quarantine_.organisationCapacity_ == 64);
    CHECK(settings->quarantine_.evidenceToQuarantine_ == 8);
    CHECK(settings->choice_.sharesEngineSpeeds_);
    CHECK(settings->forward_.accept_.targetDelay_ == milliseconds(70));
    CHECK(settings->rollout_.exposedExtra_ == 50);
    CHECK(settings->rollout_.trialFraction_ == 0.6);
    CHECK(settings->rollout_.toleratedBad_ == 40);
    CHECK(settings->rollout_.rollbackTime_ == milliseconds(4000));
    CHECK(settings->logs_.output_ == LogOutput::StandardOutput);
}

TEST_CASE("errors in settings name the line and the key", "[gateway]")
{
    struct Row {
        const char* original_;
        const char* replacement_;
        const char* expectedError_;
    };
    auto row = GENERATE(values<Row>({
        { "store: \"10.0.0.9:80\"", "store: \"nowhere\"", "f:5: gateway.store" },
        { "grace: 8s", "grace: 8", "f:17: gateway.stopping.grace" },
        { "grace: 8s", "grace: 5ms", "f:17: gateway.stopping.grace" },
        { "usage_window: 2.5s", "usage_window: 2.5.1s", "f:15: gateway.duties.usage_window" },
        { "usage_window: 2.5s", "usage_window: 0.0001s", "f:15: gateway.duties.usage_window" },
        { "  vm: \"node-1\"\n", "", "gateway.vm" },
        { "  stopping:", "  stoping:", "stoping" },
        { "crashes: 4", "crashes: 0", "f:19: gateway.quarantine.crashes" },
        { "first: 20s", "first: 20", "f:20: gateway.quarantine.first" },
        { "evidence: 8", "evidence: 0", "f:22: gateway.quarantine.evidence" },
        { "accept_delay: 70ms", "accept_delay: 0ms", "f:24: gateway.forward.accept_delay" },
        { "exposed_share: 0.1", "exposed_share: 1.1", "f:26: gateway.rollout.exposed_share" },
        { "trial_part: 0.6", "trial_part: 0.97", "f:28: gateway.rollout.trial_part" },
        { "tolerated_bad: 40", "tolerated_bad: 0", "f:29: gateway.rollout.tolerated_bad" },
        { "rollback_time: 4s", "rollback_time: 4", "f:30: gateway.rollout.rollback_time" },
        { "\"10.0.0.2:70\"", "\"here\"", "gateway.seeds" },
    }));
    std::string text = validSettings;
    text.replace(text.find(row.original_), std::string(row.original_).size(), row.replacement_);
    InputErrors errors;
    CHECK_FALSE(parseGatewaySettings(text, "f", errors));
    REQUIRE_FALSE(errors.empty());
    CAPTURE(row.replacement_, errors.front().toString());
    CHECK(errors.front().toString().find(row.expectedError_) != std::string::npos);
}
