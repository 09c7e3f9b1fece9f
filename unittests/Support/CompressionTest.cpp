//===- unittests/Support/CompressionTest.cpp - smaller messages ------------===//
///
/// \file
/// Texts come back whole, and what is no compressed text is refused.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Support.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr ByteCount maxSize { 1024UL * 1024 };

/// A configuration's text: 1,100 routes that differ in a few letters.
std::string manyRoutes()
{
    std::string text;
    for (int i = 0; i < 1100; ++i)
        text += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","hostname":"h.example","path_prefix":"/p)" + std::to_string(i) + R"(/","type":"safe","timeout_ms":800,"goal_ms":100,"attempts":2},)";
    return text;
}

} // namespace

TEST_CASE("a compressed text comes back whole", "[support]")
{
    auto text = GENERATE(std::string(), std::string("a"), std::string(300000, 'x'), manyRoutes());
    std::string bytes = compress(text);
    auto back = decompress(bytes, maxSize);
    REQUIRE(back);
    CHECK(back.value() == text);
}

TEST_CASE("many routes take less than a fifth of their text", "[support]")
{
    std::string text = manyRoutes();
    CHECK(compress(text).size() * 5 < text.size());
}

TEST_CASE("what is no whole stream, or too large, is refused with the reason", "[support]")
{
    struct Row {
        std::string bytes_;
        const char* reason_;
    };
    std::string whole = compress(manyRoutes());
    auto row = GENERATE_COPY(values<Row>({
        { "", "whole" },
        { "no stream", "whole" },
        { whole.substr(0, whole.size() / 2), "whole" },
        { compress(std::string(2 * maxSize.value_, 'x')), "more than" },
    }));
    auto back = decompress(row.bytes_, maxSize);
    REQUIRE_FALSE(back);
    CHECK(back.error().message_.find(row.reason_) != std::string::npos);
}
