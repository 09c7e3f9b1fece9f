//===- unittests/Quarantine/FingerprintTest.cpp - identities of requests ---===//
///
/// \file
/// Tests which attempts count as the same request.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Quarantine.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

static const RequestIdentity reference { "north", "POST", "h.example", "/draft/1", "body" };

TEST_CASE("attempts at one request have the same fingerprint", "[quarantine]")
{
    std::string body = "body";
    CHECK(fingerprintOf({ "north", "POST", "h.example", "/draft/1", body }, "secret") == fingerprintOf(reference, "secret"));
}

TEST_CASE("requests that differ in any part have different fingerprints", "[quarantine]")
{
    struct Row {
        const char* name_;
        RequestIdentity identity_;
        const char* secret_;
    };
    auto row = GENERATE(values<Row>({
        { "organisation", { "south", "POST", "h.example", "/draft/1", "body" }, "secret" },
        { "method", { "north", "PUT", "h.example", "/draft/1", "body" }, "secret" },
        { "host", { "north", "POST", "i.example", "/draft/1", "body" }, "secret" },
        { "target", { "north", "POST", "h.example", "/draft/2", "body" }, "secret" },
        { "body", { "north", "POST", "h.example", "/draft/1", "bodz" }, "secret" },
        { "a byte moved from one part to the next", { "north", "POST", "h.example", "/draft/1b", "ody" }, "secret" },
        { "secret", reference, "other" },
    }));
    CAPTURE(row.name_);
    CHECK(fingerprintOf(row.identity_, row.secret_) != fingerprintOf(reference, "secret"));
}

TEST_CASE("fingerprints are formatted and parsed as sixteen digits", "[quarantine]")
{
    auto value = GENERATE(std::uint64_t { 0 }, std::uint64_t { 0x1f }, ~std::uint64_t { 0 });
    std::string text = toString(Fingerprint { value });
    CHECK(text.size() == 16);
    REQUIRE(parseFingerprint(text));
    CHECK(parseFingerprint(text)->value_ == value);
    auto bad = GENERATE("", "1f", "00000000000000zz", "0000000000000000f", "-000000000000001");
    CHECK_FALSE(parseFingerprint(bad));
}
