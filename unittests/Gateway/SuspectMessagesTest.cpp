//===- unittests/Gateway/SuspectMessagesTest.cpp - suspects in messages ----===//
///
/// \file
/// What one node tells of crashes is what another one reads.
//===----------------------------------------------------------------------===//
#include "SuspectMessages.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

using Message = google::protobuf::RepeatedPtrField<wire::SuspectReport>;

static const SteadyTime now { std::chrono::hours(1) };

TEST_CASE("crashes by request are read as they were told, on the reader's clock", "[gateway]")
{
    Message message;
    putSuspects({ { { 7 }, 9, { { { 1 }, now - milliseconds(300), false }, { { 2 }, now - milliseconds(200), true }, { { 3 }, now, false } } } }, message, now);
    SteadyTime elsewhere { std::chrono::hours(40) };
    auto read = suspectsOf(message, elsewhere);
    REQUIRE(read.size() == 1);
    CHECK(read[0].request_.value_ == 7);
    CHECK(read[0].organisation_ == 9);
    REQUIRE(read[0].crashes_.size() == 3);
    CHECK(read[0].crashes_[0].backend_.value_ == 1);
    CHECK(read[0].crashes_[0].at_ == elsewhere - milliseconds(300));
    CHECK(read[0].crashes_[1].isCleared_);
    CHECK(read[0].activeCrashes() == 2);
}

TEST_CASE("suspects of unequal arrays or absurd ages are read within bounds", "[gateway]")
{
    Message message;
    wire::SuspectReport& told = *message.Add();
    told.set_request(1);
    told.add_backends(1);
    told.add_backends(2);
    told.add_ages_ms(~std::uint64_t { 0 });
    message.Add()->set_request(2);
    auto read = suspectsOf(message, now);
    REQUIRE(read.size() == 1);
    REQUIRE(read[0].crashes_.size() == 1);
    CHECK(read[0].crashes_[0].at_ < now);
    QuarantineTable book({});
    book.take(read, now);
    CHECK(book.isEmpty());
}
