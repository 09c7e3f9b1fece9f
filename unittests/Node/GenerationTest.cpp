//===- unittests/Node/GenerationTest.cpp - tests of generations -----------===//
///
/// \file
/// Tests that a caller reads only tokens that a replica has acknowledged, that the
/// tokens of two attempts never mix, and that event ids resume an answer.
//===----------------------------------------------------------------------===//
#include "Generation.h"
#include "EventStream.h"

#include "generated/Peer.pb.h"
#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

wire::GenerationRecord record()
{
    wire::GenerationRecord result;
    result.set_request_id("r");
    result.set_max_tokens(10);
    result.set_deadline_ms(60000);
    return result;
}

wire::TokenChunk chunk(std::uint32_t attempt, const std::vector<std::uint64_t>& positions, const std::string& request = "r")
{
    wire::TokenChunk result;
    result.set_request_id(request);
    result.set_attempt(attempt);
    for (std::uint64_t position : positions) {
        wire::Token& token = *result.add_tokens();
        token.set_position(position);
        token.set_text("t" + std::to_string(position) + "a" + std::to_string(attempt));
    }
    return result;
}

struct Fixture {
    asio::io_context io_;
    std::shared_ptr<Generation> generation_ = std::make_shared<Generation>(record(), io_.get_executor());
};

} // namespace

TEST_CASE("readers get only tokens that a replica has acknowledged")
{
    Fixture fixture;
    Generation& generation = *fixture.generation_;
    std::uint32_t attempt = generation.startAttempt();
    REQUIRE(generation.append(chunk(attempt, { 0, 1, 2 })));
    CHECK(generation.read(0).tokens_.empty());
    generation.setReadable(2);
    CHECK(generation.read(0).tokens_.size() == 2);
    CHECK(generation.read(1).tokens_.size() == 1);
    generation.finish();
    // The generation is finished, but its end is not copied yet.
    CHECK_FALSE(generation.read(0).isFinished_);
    generation.setReadableToEnd();
    CHECK(generation.read(0).isFinished_);
    CHECK(generation.read(0).tokens_.size() == 3);
}

TEST_CASE("without a replica all tokens are readable, until a replica acknowledges again")
{
    Fixture fixture;
    Generation& generation = *fixture.generation_;
    std::uint32_t attempt = generation.startAttempt();
    REQUIRE(generation.append(chunk(attempt, { 0, 1 })));
    generation.setReadableToEnd();
    CHECK(generation.read(0).tokens_.size() == 2);
    generation.setReadable(2);
    REQUIRE(generation.append(chunk(attempt, { 2 })));
    CHECK(generation.read(0).tokens_.size() == 2);
}

TEST_CASE("duplicate tokens, tokens after a gap and tokens of another attempt or request never enter the answer")
{
    struct ChunkCase {
        std::string name_;
        wire::TokenChunk chunk_;
        bool isAccepted_;
        std::size_t tokens_;
    };
    auto chunkCase = GENERATE(values<ChunkCase>({
        { "the next token", chunk(2, { 2 }), true, 3 },
        { "a duplicate", chunk(2, { 1 }), true, 2 },
        { "an overlapping chunk", chunk(2, { 0, 1, 2, 3 }), true, 4 },
        { "a gap", chunk(2, { 3 }), false, 2 },
        { "a stale attempt", chunk(1, { 2 }), false, 2 },
        { "an attempt that has not started", chunk(3, { 2 }), false, 2 },
        { "another request", chunk(2, { 2 }, "other"), false, 2 },
    }));
    INFO(chunkCase.name_);
    Fixture fixture;
    Generation& generation = *fixture.generation_;
    generation.startAttempt();
    REQUIRE(generation.append(chunk(1, { 0 })));
    generation.startAttempt();
    REQUIRE(generation.append(chunk(2, { 1 })));
    CHECK(static_cast<bool>(generation.append(chunkCase.chunk_)) == chunkCase.isAccepted_);
    generation.setReadableToEnd();
    auto part = generation.read(0);
    REQUIRE(part.tokens_.size() == chunkCase.tokens_);
    CHECK(part.tokens_[0] == "t0a1");
    CHECK(part.tokens_[1] == "t1a2");
}

TEST_CASE("a resumed answer continues after the same text and restarts after a different one")
{
    EventWriter fullAnswer("r", std::nullopt);
    std::string events = fullAnswer.tokens({ "a", "b", "c" });
    std::size_t begin = events.find("id: 2-") + 4;
    std::string second = events.substr(begin, events.find('\n', begin) - begin);
    auto id = parseEventId(second);
    REQUIRE(id);
    CHECK(id->tokens_ == 2);
    EventWriter same("r", id);
    std::string rest = same.tokens({ "a", "b", "c" });
    CHECK(rest.find("restart") == std::string::npos);
    CHECK(rest.find("\"c\"") != std::string::npos);
    CHECK(rest.find("\"b\"") == std::string::npos);
    EventWriter other("r", id);
    rest = other.tokens({ "a", "x", "c" });
    CHECK(rest.find("restart") != std::string::npos);
    CHECK(rest.find("\"a\"") != std::string::npos);
    EventWriter shorter("r", id);
    CHECK(shorter.tokens({ "z" }).empty());
    CHECK(shorter.done().find("restart") != std::string::npos);
    for (const char* bad : { "", "-", "1", "x-1", "1-", "1-zz", "99999999999999999999999-1" })
        CHECK_FALSE(parseEventId(bad));
}

TEST_CASE("request ids have hints to the owner and the replica")
{
    std::vector<VmId> nodes { { "a" }, { "b" }, { "c" } };
    auto hinted = hintedNodes(makeRequestId("uuid", { "c" }, { "a" }), nodes);
    CHECK(hinted == std::vector<VmId> { { "c" }, { "a" } });
    CHECK(hintedNodes("no-hints", nodes).empty());
}

TEST_CASE("after the start of a handover readers get only tokens of the record that is handed over")
{
    bool isCopyOptional = GENERATE(true, false);
    Fixture fixture;
    Generation& generation = *fixture.generation_;
    std::uint32_t attempt = generation.startAttempt();
    REQUIRE(generation.append(chunk(attempt, { 0, 1, 2 })));
    if (isCopyOptional)
        generation.setReadableToEnd();
    else
        generation.setReadable(2);
    auto handedOver = static_cast<std::size_t>(generation.beginHandover().tokens_size());
    REQUIRE(generation.append(chunk(attempt, { 3, 4 })));
    if (!isCopyOptional)
        generation.setReadable(5);
    CHECK(generation.read(0).tokens_.size() == handedOver);
    generation.finish();
    generation.setReadableToEnd();
    CHECK(generation.read(0).tokens_.size() == handedOver);
    CHECK_FALSE(generation.read(0).isFinished_);
    // No node accepted the record, so the generation continues on this node.
    generation.cancelHandover();
    CHECK(generation.read(0).tokens_.size() == 5);
    CHECK(generation.read(0).isFinished_);
}
