//===- unittests/Gateway/ConfigurationProgressTest.cpp - late versions ----===//
///
/// \file
/// How late a version came into force is counted from the first report of it or of a newer
/// one.
//===----------------------------------------------------------------------===//
#include "ConfigurationProgress.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };

SteadyTime at(int ms) { return start + milliseconds(ms); }

} // namespace

TEST_CASE("a version is late since the first report of it or of a newer one", "[progress]")
{
    struct Row {
        std::string name_;
        /// Node, version and time in ms of each report.
        std::vector<std::tuple<std::string, std::uint64_t, int>> reports_;
        std::uint64_t inForce_;
        std::optional<milliseconds> reportedFor_;
        std::string reportedBy_;
        std::uint64_t newestKnown_;
        milliseconds behindFor_;
    };
    auto row = GENERATE(values<Row>({
        { "never reported", {}, 6, std::nullopt, "", 6, milliseconds(0) },
        { "reported as in force", { { "a", 5, 10 } }, 6, std::nullopt, "", 6, milliseconds(0) },
        { "reported by two", { { "a", 6, 10 }, { "b", 6, 50 } }, 6, milliseconds(990), "a", 6, milliseconds(0) },
        { "skipped by others", { { "a", 8, 10 } }, 6, milliseconds(990), "a", 8, milliseconds(990) },
        { "followed by another", { { "a", 6, 10 }, { "b", 8, 300 } }, 6, milliseconds(990), "a", 8, milliseconds(700) },
        { "older one heard later", { { "a", 8, 10 }, { "b", 6, 300 } }, 8, milliseconds(990), "a", 8, milliseconds(0) },
    }));
    INFO(row.name_);
    ConfigurationProgress progress;
    progress.noteInForce(5, start);
    for (const auto& [vm, version, ms] : row.reports_)
        progress.noteReported({ vm }, version, at(ms));
    auto summary = progress.noteInForce(row.inForce_, at(1000));
    CHECK(summary.reportedFor_ == row.reportedFor_);
    CHECK(summary.reportedBy_.value_ == row.reportedBy_);
    CHECK(progress.newestKnown() == row.newestKnown_);
    CHECK(progress.behindFor(at(1000)) == row.behindFor_);
}

TEST_CASE("the attempts since the version before are named, the latest ones if there were many", "[progress]")
{
    ConfigurationProgress progress;
    progress.noteAttempt("a", "timeout", milliseconds(500));
    CHECK(progress.noteInForce(5, start).attemptsText_ == "a timeout after 500 ms");
    for (int i = 0; i < 100; ++i)
        progress.noteAttempt("b", "busy", milliseconds(i));
    auto summary = progress.noteInForce(6, start);
    CHECK(summary.attempts_ == 100);
    CHECK(summary.attemptsText_.ends_with("b busy after 99 ms"));
    CHECK(summary.attemptsText_.size() < 500);
    CHECK(progress.noteInForce(7, start).attempts_ == 0);
}

TEST_CASE("a flood of versions keeps the oldest report and the newest version", "[progress]")
{
    ConfigurationProgress progress;
    for (std::uint64_t version = 1; version <= 1000; ++version)
        progress.noteReported({ "a" }, version, at(static_cast<int>(version)));
    CHECK(progress.newestKnown() == 1000);
    CHECK(progress.behindFor(at(2000)) == milliseconds(1999));
}
