//===- unittests/UsersPlatform/DecodingTest.cpp - decoding of entries -----===//
///
/// \file
/// Tests decoding of configurations, registrations and orders of roll-outs in the
/// platform's JSON.
//===----------------------------------------------------------------------===//
#include "platform/Platform.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::platform;

static const std::string configuration = R"({"version":7,"routes":[
{"name":"q","hostname":"H.example","path_prefix":"/q/","type":"stream","timeout_ms":3000,"goal_ms":500,"priority":0,"service":"e","attempts":1,"public":false,"affinity":true,"resumable":false,"gap_aim_ms":400},
{"name":"p","hostname":"h.example","path_prefix":"/p/","type":"stream","timeout_ms":15000,"goal_ms":1200,"priority":1,"split":[{"service":"e","wt":90},{"service":"f","wt":10},{"service":"g","wt":0}],"attempts":2,"public":true,"resumable":true},
{"name":"s","hostname":"h.example","path_prefix":"/s/","type":"safe","timeout_ms":800,"goal_ms":100,"priority":2,"service":"f","attempts":2}],
"services":[{"name":"e","health_path":"/healthz","max_conns":370,"engine":{"slot_count":64,"kv_tokens":617645,"stride":5},"scale":{"min_count":1,"max_count":12,"boot_s":4.0,"spot_price":0.18,"zone_prices":{"a":0.85,"b":1.2}}},{"name":"f","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"n","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":275637,"burst_max":275637}],"new_field":{"x":1}})";

TEST_CASE("a configuration is decoded into routes, services and organisations", "[platform]")
{
    auto decoded = decodeConfiguration(configuration);
    REQUIRE(decoded);
    const RouteConfiguration& value = decoded.value();
    CHECK(value.version_ == 7);
    REQUIRE(value.routes_.size() == 3);
    CHECK(value.routes_[0].host_ == "h.example");
    CHECK(value.routes_[0].isStream_);
    CHECK_FALSE(value.routes_[0].mayRepeat());
    CHECK(value.routes_[1].isPublic_);
    CHECK(value.routes_[1].split_.size() == 2);
    CHECK(value.routes_[1].mayRepeat());
    CHECK(value.routes_[2].isIdempotent_);
    CHECK(value.routes_[2].objective_ == milliseconds(100));
    REQUIRE(value.services_[0].engine_);
    CHECK(value.services_[0].engine_->tokensPerEvent_ == 5);
    REQUIRE(value.services_[0].fleet_);
    CHECK(value.services_[0].fleet_->prices_.at({ "b" }) == Approx(1.2));
    CHECK_FALSE(value.services_[1].engine_);
    CHECK(value.needsCredentials_);
    CHECK(value.organisations_[0].countsTokens_);
    CHECK(value.bounds_.idleTimeout_ == milliseconds(15000));
}

TEST_CASE("an invalid configuration is rejected, and the error names the invalid part", "[platform]")
{
    struct Row {
        const char* original_;
        const char* replacement_;
        const char* expectedError_;
    };
    auto row = GENERATE(values<Row>({
        { "{\"version\":7", "[7", "configuration" },
        { "\"version\":7", "\"version\":\"x\"", "configuration" },
        { "\"type\":\"safe\"", "\"type\":\"odd\"", "route s" },
        { "\"hostname\":\"H.example\"", "\"hostname\":7", "route q" },
        { "\"name\":\"f\",\"max", "\"max", "service" },
    }));
    std::string text = configuration;
    text.replace(text.find(row.original_), std::string(row.original_).size(), row.replacement_);
    auto decoded = decodeConfiguration(text);
    REQUIRE_FALSE(decoded);
    CAPTURE(describe(decoded.error()));
    CHECK(decoded.error().step_.find(row.expectedError_) != std::string::npos);
}

static const std::string registration = R"({"service":"e","address":"10.128.0.9:8080","zone":"a","version":"v1","slot_count":64,"phase":"draining","cold_left_ms":0,"call_seq":4,"born":1764720000123,"spot":true,"new_field":[1]})";

TEST_CASE("a registration is decoded", "[platform]")
{
    auto decoded = decodeRegistration({ "i-1" }, registration);
    REQUIRE(decoded);
    CHECK(decoded.value().endpoint_.toString() == "10.128.0.9:8080");
    CHECK(decoded.value().isLeaving_);
    CHECK(decoded.value().isReclaimable_);
    CHECK(decoded.value().name_.value_ == "i-1");
    CHECK(decoded.value().startTime_.value_ == 1764720000123);
    CHECK(decoded.value().id_ == backendId({ "i-1" }, { 1764720000123 }));
}

TEST_CASE("an invalid registration is rejected, and the error names the invalid field", "[platform]")
{
    struct Row {
        const char* original_;
        const char* replacement_;
        const char* expectedError_;
    };
    auto row = GENERATE(values<Row>({
        { "{\"service\"", "[\"service\"", "JSON" },
        { "\"service\":\"e\",", "", "service" },
        { "\"service\":\"e\"", "\"service\":null", "service" },
        { "\"address\":\"10.128.0.9:8080\"", "\"address\":8080", "address" },
        { "10.128.0.9:8080", "somewhere", "address" },
        { "\"zone\":\"a\"", "\"zone\":{}", "zone" },
        { "\"version\":\"v1\"", "\"version\":1", "version" },
        { "\"slot_count\":64,", "", "slot_count" },
        { "\"slot_count\":64", "\"slot_count\":\"64\"", "slot_count" },
        { "\"slot_count\":64", "\"slot_count\":-3", "slot_count" },
        { "\"phase\":\"draining\"", "\"phase\":\"asleep\"", "phase" },
        { "\"phase\":\"draining\"", "\"phase\":true", "phase" },
        { "\"cold_left_ms\":0", "\"cold_left_ms\":\"0\"", "cold_left_ms" },
        { "\"call_seq\":4", "\"call_seq\":[4]", "call_seq" },
        { "\"born\":1764720000123", "\"born\":1764720000123.5", "born" },
        { "\"born\":1764720000123", "\"born\":\"1764720000123\"", "born" },
        { "\"born\":1764720000123", "\"born\":-1", "born" },
        { "\"spot\":true", "\"spot\":\"yes\"", "spot" },
    }));
    std::string text = registration;
    text.replace(text.find(row.original_), std::string(row.original_).size(), row.replacement_);
    auto decoded = decodeRegistration({ "i-1" }, text);
    CAPTURE(text);
    REQUIRE_FALSE(decoded);
    CHECK(describe(decoded.error()).find(row.expectedError_) != std::string::npos);
}

TEST_CASE("an order of a roll-out is decoded, or rejected with an error that names the field", "[platform]")
{
    struct Row {
        const char* text_;
        const char* expectedError_;
    };
    const Row rows[] = {
        { R"({"service":"s","target":"v2","period_s":12.5})", "" },
        { R"({"service":"s","target":"v2","period_s":0})", "period_s" },
        { R"({"service":"s","target":"v2"})", "period_s" },
        { R"({"service":"s","target":"","period_s":12})", "target" },
        { R"({"service":"t","target":"v2","period_s":12})", "found 't'" },
        { "[]", "JSON object" },
    };
    for (const Row& row : rows) {
        CAPTURE(row.text_);
        auto order = decodeRollout("s", row.text_, { 41 });
        REQUIRE(order.has_value() == std::string(row.expectedError_).empty());
        if (!order) {
            CHECK(describe(order.error()).find(row.expectedError_) != std::string::npos);
            continue;
        }
        CHECK(order.value().number_.value_ == 42);
        CHECK(order.value().target_.value_ == "v2");
        CHECK(order.value().period_ == milliseconds(12500));
    }
}
