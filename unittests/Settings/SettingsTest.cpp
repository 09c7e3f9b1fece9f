//===- unittests/Settings/SettingsTest.cpp - validation of settings -------===//
///
/// \file
/// Checks that the documented example is valid, and that each kind of mistake is
/// reported with its line, its key and the expected value.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace pistachioloom;

namespace {

std::string exampleText()
{
    std::ifstream file(PISTACHIOLOOM_EXAMPLE);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

struct InvalidSetting {
    std::string original_;
    std::string replacement_;
    std::string key_;
    std::string expected_;
};

} // namespace

TEST_CASE("the documented example is valid and yields the documented values")
{
    InputErrors errors;
    auto settings = loadSettings(PISTACHIOLOOM_EXAMPLE, errors);
    for (const InputError& error : errors)
        FAIL_CHECK(error.toString());
    REQUIRE(settings);
    CHECK(settings->vm_.value_ == "caxias-a-1");
    CHECK(settings->membership_.heartbeat_ == milliseconds(500));
    CHECK(settings->caller_.bounds_.body_ == ByteCount { 1024UL * 1024 });
    CHECK(settings->logs_.levelByPart_.at("wire") == LogLevel::Warn);
}

TEST_CASE("each mistake is reported with its line, its key and the expected value")
{
    auto mistake = GENERATE(values<InvalidSetting>({
        { "data_centre: caxias-a", "data_center: caxias-a", "node.data_centre", "missing; expected text" },
        { "threads: 2", "threads: many", "node.threads", "expected a whole number from 1 to 256, found 'many'" },
        { "threads: 2", "threads: 0", "node.threads", "expected a whole number from 1 to 256, found '0'" },
        { "heartbeat: 500ms", "heartbeat: 500", "membership.heartbeat", "expected a duration such as" },
        { "heartbeat: 500ms", "heartbeat: 5 ms", "membership.heartbeat", "expected a duration such as" },
        { "body: 1MiB", "body: 1MB", "callers.body", "expected a size such as" },
        { "body: 1MiB", "body: 99999999999999999999GiB", "callers.body", "expected a size such as" },
        { "callers: 0.0.0.0:7001", "callers: entry.example:7001", "listen.callers", "expected IP:PORT, found 'entry.example:7001'" },
        { "callers: 0.0.0.0:7001", "callers: 0.0.0.0:99999", "listen.callers", "expected IP:PORT" },
        { "level: info", "level: loud", "logs.level", "expected one of debug info warn error, found 'loud'" },
        { "wire: warn", "wire: loud", "logs.parts", "expected one of debug info warn error for part 'wire'" },
        { "peers: a-long-shared-secret", "peers: short", "credentials.peers", "expected at least 16 characters" },
        { "suspect_after: 1500ms", "suspect_after: 600ms", "membership.suspect_after", "expected at least twice the heartbeat" },
        { "dead_after: 3s", "dead_after: 1s", "peers.dead_after", "expected at least twice keep_alive" },
        { "pause_bound: 10s", "pause_bound: 10", "orders.pause_bound", "expected a duration such as 500ms, 2s, 10min or 1h, from 100ms to 3600000ms, found '10'" },
        { "region: rs-serra", "region: rs-serra\n  colour: green", "node.colour", "unknown key" },
        { "platform:", "platfrom:", "platform", "missing; expected a map" },
    }));
    std::string text = exampleText();
    std::size_t position = text.find(mistake.original_);
    REQUIRE(position != std::string::npos);
    text.replace(position, mistake.original_.size(), mistake.replacement_);
    InputErrors errors;
    CHECK_FALSE(parseSettings(text, "entry.yaml", errors));
    bool isFound = false;
    std::string allErrors;
    for (const InputError& error : errors) {
        isFound |= error.key_ == mistake.key_ && error.message_.starts_with(mistake.expected_) && error.line_ > 0;
        allErrors += error.toString() + "\n";
    }
    INFO(allErrors);
    CHECK(isFound);
}

TEST_CASE("a file that cannot be read or is not a map is an error")
{
    InputErrors errors;
    CHECK_FALSE(loadSettings("/nowhere/at/all.yaml", errors));
    CHECK_FALSE(parseSettings("- a\n- b\n", "list.yaml", errors));
    CHECK_FALSE(parseSettings("a: [", "broken.yaml", errors));
    CHECK(errors.size() == 3);
}
