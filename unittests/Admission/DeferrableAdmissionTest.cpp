//===- unittests/Admission/DeferrableAdmissionTest.cpp - deferrable streams ===//
///
/// \file
/// Tests the admission of streams that leave room in an engine's queue to more urgent ones.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Admission.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

static constexpr milliseconds ample { 60000 };
static constexpr milliseconds bound { 1000 };

// Guards against deferrable streams that fill the queue up to the bound of the urgent ones, and
// against streams that are rejected after they have started.
TEST_CASE("a deferrable stream is rejected at half of its bound", "[admission]")
{
    struct Row {
        const char* name_;
        AdmissionView view_;
        /// The range of retry delays; nullopt if the stream is admitted.
        std::optional<milliseconds> earliest_;
        std::optional<milliseconds> latest_;
    };
    auto row = GENERATE(values<Row>({
        { "no wait", { true, false, milliseconds(0), bound, true, ample }, std::nullopt, std::nullopt },
        { "wait equal to half of the bound", { true, false, milliseconds(500), bound, true, ample }, std::nullopt, std::nullopt },
        { "wait above half of the bound", { true, false, milliseconds(501), bound, true, ample }, milliseconds(150), milliseconds(300) },
        { "the same wait of an urgent stream", { true, false, milliseconds(501), bound, false, ample }, std::nullopt, std::nullopt },
        { "minimum retry delay", { true, false, milliseconds(51), milliseconds(100), true, ample }, milliseconds(150), milliseconds(300) },
        { "long wait", { true, false, milliseconds(3250), bound, true, ample }, milliseconds(1500), milliseconds(3000) },
        { "maximum retry delay", { true, false, milliseconds(60000), bound, true, ample }, milliseconds(2500), milliseconds(5000) },
        { "a third of the time left", { true, false, milliseconds(60000), bound, true, milliseconds(9000) }, milliseconds(2500), milliseconds(3000) },
        { "no deadline", { true, false, milliseconds(60000), bound, true }, milliseconds(2500), milliseconds(5000) },
        { "a stream that was sent before", { true, true, milliseconds(60000), bound, true, ample }, std::nullopt, std::nullopt },
        { "a request to a plain service", { false, false, milliseconds(60000), bound, true, ample }, std::nullopt, std::nullopt },
    }));
    CAPTURE(row.name_);
    row.view_.draw_ = 0;
    CHECK(retryAfterIfRejected(row.view_, {}) == row.earliest_);
    row.view_.draw_ = 1;
    CHECK(retryAfterIfRejected(row.view_, {}) == row.latest_);
}

// Guards against decisions on streams that are not deferrable which depend on a deadline or a draw.
TEST_CASE("streams that are not deferrable are decided as before", "[admission]")
{
    for (milliseconds wait {}; wait <= milliseconds(4000); wait += milliseconds(7)) {
        const AdmissionView view { true, false, wait, milliseconds(800) };
        const AdmissionView drawn { true, false, wait, milliseconds(800), false, milliseconds(30), 0.7 };
        CAPTURE(wait.count());
        REQUIRE(retryAfterIfRejected(drawn, {}) == retryAfterIfRejected(view, {}));
    }
}

namespace {

constexpr milliseconds urgentBound { 400 };

/// Replays an overload of one engine that takes 100 ms to read a request. In the mean it gets 20
/// deferrable requests a second, twice as many as it can read, and 5 urgent ones. \returns the share
/// of the urgent ones that are rejected.
double rejectedUrgentShare(milliseconds deferrableBound, bool isDeferrable)
{
    constexpr milliseconds readTime { 100 };
    std::mt19937_64 random(1);
    milliseconds freeAt {};
    int requests = 0;
    int rejected = 0;
    for (milliseconds now {}; now < milliseconds(200000); now += milliseconds(1)) {
        double draw = std::uniform_real_distribution<>(0, 1000)(random);
        bool isUrgent = draw < 5;
        if (draw >= 25)
            continue;
        milliseconds ahead = std::max(milliseconds(0), freeAt - now);
        bool isRejected = retryAfterIfRejected({ true, false, ahead, isUrgent ? urgentBound : deferrableBound, !isUrgent && isDeferrable }, {}).has_value();
        requests += isUrgent;
        rejected += isUrgent && isRejected;
        if (!isRejected)
            freeAt = std::max(now, freeAt) + readTime;
    }
    return static_cast<double>(rejected) / requests;
}

} // namespace

// Guards against urgent streams that are rejected because deferrable ones fill the queue. If the
// deferrable bound is twice the urgent one, which Route::maxQueueWait_ allows, half of it leaves both
// the same queue; below that, room is left to the urgent ones.
TEST_CASE("in an overload by deferrable streams, more urgent ones are admitted", "[admission]")
{
    struct Row {
        milliseconds deferrableBound_;
        double minRejectedBefore_;
        double maxRejected_;
    };
    auto row = GENERATE(values<Row>({
        { milliseconds(400), 0.5, 0.1 },
        { milliseconds(600), 0.9, 0.2 },
        { milliseconds(800), 0.9, 0.65 },
    }));
    double before = rejectedUrgentShare(row.deferrableBound_, false);
    double after = rejectedUrgentShare(row.deferrableBound_, true);
    CAPTURE(row.deferrableBound_.count(), before, after);
    CHECK(before >= row.minRejectedBefore_);
    CHECK(after <= row.maxRejected_);
}
