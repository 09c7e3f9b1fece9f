//===- unittests/UsersPlatform/DutyLogTest.cpp - log of duties that expired ===//
///
/// \file
/// Tests reads of the log of duties from a store that has deleted its oldest records.
//===----------------------------------------------------------------------===//
#include "platform/Platform.h"
#include "platform/Records.h"

#include <boost/asio.hpp>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::platform;

namespace {

/// A stand-in of the store with one log, whose records are their offsets in text.
struct Store {
    /// Whether a record was ever appended.
    bool exists_ = true;
    std::uint64_t first_ = 0;
    std::uint64_t end_ = 0;

    HttpResponse answer(const HttpRequest& request)
    {
        if (request.path() == "/log-append") {
            if (request.query("at") != std::to_string(end_))
                return { 412, {}, {} };
            ++end_;
            return { 200, {}, {} };
        }
        std::uint64_t from = std::stoull(request.query("from"));
        if (!exists_)
            return { 404, {}, {} };
        if (from < first_)
            return { 410, {}, "{\"first\":" + std::to_string(first_) + "}" };
        std::string body(16, '\0');
        boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(body.data()), end_);
        boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(body.data()) + 8, first_);
        for (; from < end_; ++from)
            body += frameRecord(std::to_string(from));
        return { 200, {}, body };
    }
};

} // namespace

// Guards against a log whose expired records are taken for a log without records: no node could
// claim the duties any more.
TEST_CASE("the log of duties is read from its oldest stored record, and appended to at its end", "[platform]")
{
    struct Row {
        const char* name_;
        Store store_;
        std::uint64_t from_;
        std::vector<std::string> records_;
    };
    auto row = GENERATE(values<Row>({
        { "no record yet", { false, 0, 0 }, 0, {} },
        { "all records", { true, 0, 2 }, 0, { "0", "1" } },
        { "the oldest have expired", { true, 7, 9 }, 0, { "7", "8" } },
        { "all have expired", { true, 9, 9 }, 0, {} },
        { "expired since an earlier read", { true, 7, 9 }, 5, { "7", "8" } },
        { "new since an earlier read", { true, 7, 9 }, 8, { "8" } },
    }));
    CAPTURE(row.name_);
    asio::io_context io;
    Store store = row.store_;
    auto handler = [&store](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponse response = store.answer(exchange.request());
        (void)co_await exchange.respond(std::move(response));
    };
    HttpServer server(io.get_executor(), {}, handler, errorResponse);
    GatewaySettings settings;
    settings.store_ = { "127.0.0.1", server.listen({ "127.0.0.1", 0 }).value() };
    GatewayPlatform platform = makePlatform(settings);
    std::vector<std::string> records;
    bool isAppended = false;
    auto readAndAppend = [&]() -> asio::awaitable<void> {
        auto read = co_await platform.readDutyLog_({ row.from_ });
        if (!read)
            co_return;
        for (const auto& [offset, bytes] : read.value().records_) {
            CHECK(std::to_string(offset.value_) == bytes);
            records.push_back(bytes);
        }
        auto appended = co_await platform.appendDutyRecord_(read.value().next_, "claim");
        isAppended = appended.has_value();
    };
    asio::co_spawn(io, readAndAppend, [&](const std::exception_ptr&) { io.stop(); });
    io.run_for(std::chrono::seconds(10));
    CHECK(records == row.records_);
    CHECK(isAppended);
}
