//===- unittests/Gateway/SuspectMessagesTest.cpp - suspect messages -------===//
///
/// \file
/// Tests that a node reads the same crashes that another node sent.
//===----------------------------------------------------------------------===//
#include "SuspectMessages.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

using Message = google::protobuf::RepeatedPtrField<wire::SuspectReport>;

static const SteadyTime now { std::chrono::hours(1) };

TEST_CASE("crashes of a request are read as they were sent, on the reader's clock", "[gateway]")
{
    Message message;
    putSuspects({ { { AttributeKind::Request, { 7 } }, 9, { { { 1 }, now - milliseconds(300), false }, { { 2 }, now - milliseconds(200), true }, { { 3 }, now, false } } } }, message, now);
    SteadyTime readerNow { std::chrono::hours(40) };
    auto read = suspectsOf(message, readerNow);
    REQUIRE(read.size() == 1);
    CHECK(read[0].attribute_ == Attribute { AttributeKind::Request, { 7 } });
    CHECK(read[0].organisation_ == 9);
    REQUIRE(read[0].crashes_.size() == 3);
    CHECK(read[0].crashes_[0].backend_.value_ == 1);
    CHECK(read[0].crashes_[0].at_ == readerNow - milliseconds(300));
    CHECK(read[0].crashes_[1].isCleared_);
    CHECK(read[0].activeCrashes() == 2);
}

TEST_CASE("suspects with arrays of unequal length or implausible ages are read within bounds", "[gateway]")
{
    Message message;
    wire::SuspectReport& report = *message.Add();
    report.set_request(1);
    report.add_backends(1);
    report.add_backends(2);
    report.add_ages_ms(~std::uint64_t { 0 });
    message.Add()->set_request(2);
    auto read = suspectsOf(message, now);
    REQUIRE(read.size() == 1);
    REQUIRE(read[0].crashes_.size() == 1);
    CHECK(read[0].crashes_[0].at_ < now);
    QuarantineTable table({});
    table.mergeSuspects(read, now);
    CHECK(table.isEmpty());
}

TEST_CASE("sound answers, verdicts and orders are read as they were sent, and unknown kinds are left out", "[gateway]")
{
    Suspect suspect { { AttributeKind::PromptPart, { 7 } }, 9, { { { 1 }, now - milliseconds(300) } }, { { { 5 }, 40 }, { { 6 }, 2 } } };
    suspect.condemnedAt_ = now - milliseconds(200);
    suspect.releasedAt_ = now - milliseconds(100);
    suspect.order_ = QuarantineOrder { now - milliseconds(50), milliseconds(60'000) };
    Message message;
    putSuspects({ suspect }, message, now);
    message.Add()->CopyFrom(message.Get(0));
    message.Mutable(1)->set_kind(99);
    SteadyTime readerNow { std::chrono::hours(40) };
    auto read = suspectsOf(message, readerNow);
    REQUIRE(read.size() == 1);
    CHECK(read[0].attribute_ == suspect.attribute_);
    CHECK(read[0].sound_ == suspect.sound_);
    CHECK(read[0].condemnedAt_ == readerNow - milliseconds(200));
    CHECK(read[0].releasedAt_ == readerNow - milliseconds(100));
    REQUIRE(read[0].order_);
    CHECK(read[0].order_->at_ == readerNow - milliseconds(50));
    CHECK(read[0].order_->length_ == milliseconds(60'000));
}
