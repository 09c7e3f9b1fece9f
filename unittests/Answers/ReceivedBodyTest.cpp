//===- unittests/Answers/ReceivedBodyTest.cpp - memory of bodies ----------===//
///
/// \file
/// Tests that a body takes memory for the bytes received only.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Answers.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;

// Guards against memory that is allocated for a length before its bytes arrive.
TEST_CASE("a stated length allocates no memory", "[answers]")
{
    auto length = GENERATE(std::string("800800800800800800"), std::string("18446744073709551615"), std::string("100000000"));
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nbytes";
    boost::beast::http::response_parser<ReceivedBody> parser;
    parser.eager(true);
    parser.body_limit(boost::none);
    boost::beast::error_code code;
    parser.put(boost::asio::buffer(bytes), code);
    REQUIRE_FALSE(code);
    CHECK(parser.get().body() == "bytes");
    CHECK(parser.get().body().capacity() < 4096);
}
