//===- unittests/UsersPlatform/OddEntriesTest.cpp - entries of other writers -===//
///
/// \file
/// Other systems write to the platform too. An entry that this system cannot use must cost nothing but
/// that entry.
//===----------------------------------------------------------------------===//
#include "platform/Platform.h"
#include "platform/Records.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::platform;

namespace {

const std::string soundEntry = R"({"service":"e","address":"127.0.0.1:80","zone":"a","version":"v1","slot_count":8,"phase":"up","cold_left_ms":0,"call_seq":1})";

std::string entryWith(const std::string& field, const std::string& value)
{
    std::size_t at = soundEntry.find("\"" + field + "\":") + field.size() + 3;
    std::size_t end = soundEntry.find_first_of(",}", soundEntry[at] == '"' ? soundEntry.find('"', at + 1) : at);
    return soundEntry.substr(0, at) + value + soundEntry.substr(end);
}

} // namespace

// Guards against a key that ends the node, or that makes the list unreadable for the peers to which
// the node sends it.
TEST_CASE("a registration under an odd key is taken for that of a server", "[platform]")
{
    struct Row {
        const char* name_;
        std::string key_;
        bool isValid_;
    };
    auto row = GENERATE(values<Row>({
        { "empty", "", false },
        { "not UTF-8", "e\xff\xfe", false },
        { "truncated UTF-8", "e\xc3", false },
        { "overlong UTF-8", "\xc0\x80", false },
        { "a surrogate", "\xed\xa0\x80", false },
        { "beyond Unicode", "\xf4\x90\x80\x80", false },
        { "UTF-8", "\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80", true },
        { "with a zero byte", std::string("e\0x", 3), true },
        { "with a line break", "e\r\nx", true },
        { "the longest", std::string(255, 'e'), true },
    }));
    CAPTURE(row.name_);
    CHECK(decodeRegistration({ row.key_ }, soundEntry).has_value() == row.isValid_);
}

// Guards against a page of the list that is refused whole, so that a node that starts knows no server.
TEST_CASE("one odd entry makes a page of the list unreadable", "[platform]")
{
    struct Row {
        const char* name_;
        std::string entry_;
        std::size_t records_;
    };
    auto row = GENERATE(values<Row>({
        { "key that is not UTF-8", "{\"key\":\"b\xff\",\"value\":\"e30=\",\"offset\":2}", 3 },
        { "value that is not base64", R"({"key":"b","value":"%%%","offset":2})", 3 },
        { "value that is no text", R"({"key":"b","value":7,"offset":2})", 3 },
        { "no key", R"({"value":"e30=","offset":2})", 3 },
        { "no object", "7", 2 },
        { "offset beyond its range", R"({"key":"b","value":"e30=","offset":1e300})", 3 },
    }));
    CAPTURE(row.name_);
    auto page = decodeNewest(R"({"entries":[{"key":"a","value":"e30=","offset":1},)" + row.entry_ + R"(,{"key":"c","value":"e30=","offset":3}],"end":4})");
    REQUIRE(page);
    REQUIRE(page.value().records_.size() == row.records_);
    CHECK(page.value().records_.front().key_ == "a");
    CHECK(page.value().records_.back().key_ == "c");
    CHECK(page.value().records_.back().value_ == "{}");
    for (const KeyedRecord& record : page.value().records_)
        CHECK((record.key_ == "a" || record.key_ == "c" || !record.value_ || !decodeRegistration({ record.key_ }, *record.value_)));
}

// Guards against numbers beyond the range of a time, whose conversion has no defined result.
TEST_CASE("a time beyond its range in an order or a configuration has no defined result", "[platform]")
{
    auto seconds = GENERATE(values<std::string>({ "1e300", "1e400", "9223372036854775807", "18446744073709551616", "1e19" }));
    CAPTURE(seconds);
    auto order = decodeRollout("e", R"({"service":"e","target":"v2","period_s":)" + seconds + "}", { 1 });
    if (order)
        CHECK((order.value().period_ > milliseconds(0) && order.value().period_ <= std::chrono::hours(24 * 366)));
    auto configuration = decodeConfiguration(R"({"version":1,"routes":[{"name":"r","hostname":"h","path_prefix":"/","type":"safe","service":"s","timeout_ms":)" + seconds + "}]}");
    if (configuration) {
        milliseconds timeout = configuration.value().routes_.front().timeout_;
        CHECK((timeout > milliseconds(0) && timeout <= std::chrono::hours(24 * 366)));
    }
}

// Guards against a value whose decoding ends the node.
TEST_CASE("a registration with an odd value ends the node", "[platform]")
{
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    const std::string longNumber(400, '9');
    for (const char* fieldName : { "service", "address", "zone", "version", "slot_count", "phase", "cold_left_ms", "call_seq" }) {
        const std::string field = fieldName;
        for (const std::string& value : { deep, longNumber, std::string("1e300"), std::string("1e400"), std::string("-1"), std::string("null"), std::string("\"\\ud800\"") }) {
            auto decoded = decodeRegistration({ "e" }, entryWith(field, value));
            CAPTURE(field, value.substr(0, 20));
            CHECK((!decoded || field == "slot_count" || field == "cold_left_ms" || field == "call_seq"));
        }
    }
    for (const char* port : { "0", "-1", "65536", "99999999999999999999", "", "x" })
        CHECK(!decodeRegistration({ "e" }, entryWith("address", "\"127.0.0.1:" + std::string(port) + "\"")));
}
