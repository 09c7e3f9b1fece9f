//===- unittests/Admission/AdmissionTest.cpp - admission decisions ---------===//
///
/// \file
/// Tests single decisions, and an overload of one engine with and without admission
/// control.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Admission.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

TEST_CASE("a stream whose wait exceeds the bound is rejected with a retry delay", "[admission]")
{
    struct Row {
        const char* name_;
        AdmissionView view_;
        std::optional<milliseconds> retryAfter_;
    };
    auto row = GENERATE(values<Row>({
        { "no wait", { true, false, milliseconds(0), milliseconds(800) }, std::nullopt },
        { "wait equal to the bound", { true, false, milliseconds(800), milliseconds(800) }, std::nullopt },
        { "wait above the bound", { true, false, milliseconds(900), milliseconds(800) }, milliseconds(500) },
        { "wait just above the bound: minimum retry delay", { true, false, milliseconds(101), milliseconds(100) }, milliseconds(150) },
        { "wait far above the bound: maximum retry delay", { true, false, milliseconds(60000), milliseconds(800) }, milliseconds(800) },
        { "a request that was sent before", { true, true, milliseconds(60000), milliseconds(800) }, std::nullopt },
        { "a request to a plain service", { false, false, milliseconds(60000), milliseconds(800) }, std::nullopt },
    }));
    CAPTURE(row.name_);
    CHECK(retryAfterIfRejected(row.view_, {}) == row.retryAfter_);
}

TEST_CASE("in an overload, rejections keep admitted requests within their objective", "[admission]")
{
    // One engine takes 200 ms to read a request and gets three times as many requests as
    // it can read.
    constexpr milliseconds readTime { 200 };
    constexpr milliseconds interval { 67 };
    constexpr milliseconds objective { 800 };
    auto countOnTime = [&](const AdmissionSettings& settings) {
        milliseconds freeAt {};
        int count = 0;
        for (milliseconds now {}; now < milliseconds(20000); now += interval) {
            milliseconds ahead = std::max(milliseconds(0), freeAt - now);
            if (retryAfterIfRejected({ true, false, ahead, objective - readTime }, settings))
                continue;
            freeAt = std::max(now, freeAt) + readTime;
            count += freeAt - now <= objective;
        }
        return count;
    };
    AdmissionSettings admitAll;
    admitAll.queueWaitFactor_ = 1000;
    CHECK(countOnTime({}) >= 95);
    CHECK(countOnTime(admitAll) <= 10);
}

TEST_CASE("connections are closed unread only while they keep waiting for too long", "[admission]")
{
    struct Step {
        int atMs_;
        int delayMs_;
        bool isAdmitted_;
    };
    const SteadyTime start = SteadyTime {} + std::chrono::hours(1);
    AcceptGate gate({ milliseconds(50), milliseconds(150) });
    CHECK(gate.admits(start));
    for (const Step& step : std::vector<Step> { { 0, 0, true }, { 100, 60, true }, { 200, 80, true }, { 260, 80, false }, { 400, 51, false }, { 450, 50, true }, { 500, 2000, true }, { 510, 1, true }, { 700, 60, true }, { 849, 60, true }, { 850, 60, false } }) {
        CAPTURE(step.atMs_);
        SteadyTime now = start + milliseconds(step.atMs_);
        gate.noteDelay(milliseconds(step.delayMs_), now);
        CHECK(gate.admits(now) == step.isAdmitted_);
    }
}
