//===- unittests/Admission/AdmissionTest.cpp - who is turned away ----------===//
///
/// \file
/// Single decisions, and an overload of one engine with and without them.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Admission.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

TEST_CASE("a stream that would be late is refused with the time to return", "[admission]")
{
    struct Row {
        const char* name_;
        AdmissionView view_;
        std::optional<milliseconds> retryAfter_;
    };
    auto row = GENERATE(values<Row>({
        { "nothing ahead", { true, false, milliseconds(0), milliseconds(800) }, std::nullopt },
        { "as long as admitted", { true, false, milliseconds(800), milliseconds(800) }, std::nullopt },
        { "longer", { true, false, milliseconds(900), milliseconds(800) }, milliseconds(500) },
        { "a little longer", { true, false, milliseconds(101), milliseconds(100) }, milliseconds(150) },
        { "much longer", { true, false, milliseconds(60000), milliseconds(800) }, milliseconds(800) },
        { "begun before", { true, true, milliseconds(60000), milliseconds(800) }, std::nullopt },
        { "a plain service", { false, false, milliseconds(60000), milliseconds(800) }, std::nullopt },
    }));
    CAPTURE(row.name_);
    CHECK(retryAfterIfRejected(row.view_, {}) == row.retryAfter_);
}

TEST_CASE("in an overload, refusals keep those that are admitted on time", "[admission]")
{
    // One engine reads a request in 200 ms and is asked for three times as much.
    constexpr milliseconds reading { 200 };
    constexpr milliseconds every { 67 };
    constexpr milliseconds objective { 800 };
    auto inTime = [&](const AdmissionSettings& settings) {
        milliseconds freeAt {};
        int count = 0;
        for (milliseconds now {}; now < milliseconds(20000); now += every) {
            milliseconds ahead = std::max(milliseconds(0), freeAt - now);
            if (retryAfterIfRejected({ true, false, ahead, objective - reading }, settings))
                continue;
            freeAt = std::max(now, freeAt) + reading;
            count += freeAt - now <= objective;
        }
        return count;
    };
    AdmissionSettings all;
    all.admittedShare_ = 1000;
    CHECK(inTime({}) >= 95);
    CHECK(inTime(all) <= 10);
}
