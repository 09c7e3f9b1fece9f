//===- unittests/Gateway/ConfigurationApplyTest.cpp - applied sources -----===//
///
/// \file
/// Tests which of the sources read is published, and what is sent to peers.
//===----------------------------------------------------------------------===//
#include "GatewayContext.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

/// The text of a source is its version; other texts cannot be decoded.
static Result<RouteConfiguration> decodeVersion(const std::string& source)
{
    if (source.empty() || source.find_first_not_of("0123456789") != std::string::npos)
        return Error { Errc::InvalidInput, "decode", "test", "no version", Ran::No, {} };
    RouteConfiguration configuration;
    configuration.version_ = std::stoull(source);
    return configuration;
}

static GatewayPlatform decodingPlatform()
{
    GatewayPlatform platform;
    platform.decodeConfiguration_ = decodeVersion;
    return platform;
}

static std::uint64_t versionOf(const GatewayContext& context)
{
    auto table = context.table();
    return table ? table->version() : 0;
}

TEST_CASE("the last source that can be decoded is in force, if it is newer", "[takein]")
{
    struct Row {
        std::vector<std::string> sources_;
        std::uint64_t version_;
    };
    auto row = GENERATE(values<Row>({
        { {}, 5 },
        { { "6" }, 6 },
        { { "6", "7" }, 7 },
        { { "7", "x" }, 7 },
        { { "x", "" }, 5 },
        { { "5" }, 5 },
        { { "4" }, 5 },
        { { "7", "4" }, 5 },
    }));
    RcuThread registered;
    GatewayContext context(GatewaySettings {}, decodingPlatform());
    context.applyConfiguration({ "5" }, "platform");
    REQUIRE(versionOf(context) == 5);
    context.applyConfiguration(row.sources_, "platform");
    CHECK(versionOf(context) == row.version_);
    auto text = decompress(context.table()->configuration().compressedSource_, { 100 });
    REQUIRE(text);
    CHECK(text.value() == std::to_string(row.version_));
}

TEST_CASE("a configuration of a peer is applied and sent to others if it is complete and newer", "[takein]")
{
    struct Row {
        std::string payload_;
        std::uint64_t version_;
    };
    auto row = GENERATE(values<Row>({
        { compress("6"), 6 },
        { compress("5"), 5 },
        { compress("4"), 5 },
        { compress("x"), 5 },
        { compress("6").substr(0, 4), 5 },
        { "6", 5 },
        { "", 5 },
    }));
    RcuThread registered;
    GatewayContext context(GatewaySettings {}, decodingPlatform());
    context.applyCompressed(compress("5"), "peer");
    REQUIRE(versionOf(context) == 5);
    context.applyCompressed(row.payload_, "peer");
    CHECK(versionOf(context) == row.version_);
    CHECK(context.table()->configuration().compressedSource_ == compress(std::to_string(row.version_)));
}
