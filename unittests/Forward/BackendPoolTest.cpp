//===- unittests/Forward/BackendPoolTest.cpp - connections that are counted ===//
///
/// \file
/// Connections count from their making to their end, also while they are kept.
//===----------------------------------------------------------------------===//
#include "BackendPool.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

TEST_CASE("connections to a backend server count until they end", "[forward]")
{
    asio::io_context io;
    BackendPool pool(io.get_executor());
    const BackendId backend { "b" };
    CHECK(pool.openTo(backend) == 0);
    BackendConnectionPtr first = pool.make(backend);
    BackendConnectionPtr second = pool.make(backend);
    CHECK(pool.openTo(backend) == 2);
    CHECK(pool.openTo({ "other" }) == 0);
    pool.put(std::move(first));
    CHECK(pool.openTo(backend) == 2);
    // A kept one that is past its time is closed and counts no more.
    pool.expire(steadyNow());
    CHECK(pool.openTo(backend) == 1);
    second.reset();
    CHECK(pool.openTo(backend) == 0);
    pool.expire(steadyNow());
    BackendConnectionPtr third = pool.make(backend);
    CHECK(pool.openTo(backend) == 1);
}
