//===- unittests/Support/CompressionTest.cpp - compression with zlib -------===//
///
/// \file
/// Tests that decompress() restores compressed texts and rejects invalid input.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Support.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr ByteCount maxSize { 1024UL * 1024 };

/// Creates a configuration of 1,100 routes that differ in a few characters.
std::string manyRoutes()
{
    std::string text;
    for (int i = 0; i < 1100; ++i)
        text += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","hostname":"h.example","path_prefix":"/p)" + std::to_string(i) + R"(/","type":"safe","timeout_ms":800,"goal_ms":100,"attempts":2},)";
    return text;
}

} // namespace

TEST_CASE("decompression restores the text", "[support]")
{
    auto text = GENERATE(std::string(), std::string("a"), std::string(300000, 'x'), manyRoutes());
    std::string bytes = compress(text);
    auto back = decompress(bytes, maxSize);
    REQUIRE(back);
    CHECK(back.value() == text);
}

TEST_CASE("a configuration of many routes compresses to less than a fifth", "[support]")
{
    std::string text = manyRoutes();
    CHECK(compress(text).size() * 5 < text.size());
}

TEST_CASE("an incomplete or invalid stream and a text above the maximum size are rejected with the reason", "[support]")
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
