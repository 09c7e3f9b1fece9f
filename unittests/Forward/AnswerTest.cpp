//===- unittests/Forward/AnswerTest.cpp - framing of answers --------------===//
///
/// \file
/// Tests the framing of answers. Fields that apply to one connection must not be
/// forwarded. An answer to HEAD must have no body, because the caller would take it
/// for the next answer.
//===----------------------------------------------------------------------===//
#include "RequestForwarder.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

TEST_CASE("answers contain only the fields for the caller", "[forward]")
{
    struct Row {
        const char* name_;
        HeaderFields fields_;
        std::string body_;
        BodySent sent_;
        std::vector<std::string> present_;
        std::vector<std::string> absent_;
        std::string end_;
    };
    auto row = GENERATE(values<Row>({
        { "plain answer", { { "X-Seal", "s" } }, "text", BodySent::Yes, { "X-Seal: s\r\n", "Content-Length: 4\r\n" }, {}, "\r\n\r\ntext" },
        { "fields of a single connection", { { "Connection", "close, X-Hop" }, { "x-hop", "1" }, { "X-Seal", "s" } }, "text", BodySent::Yes, { "X-Seal: s\r\n" }, { "x-hop" }, "\r\n\r\ntext" },
        { "rejection of a HEAD request", {}, "no route\n", BodySent::No, { "Content-Length: 9\r\n" }, { "no route" }, "\r\n\r\n" },
        { "answer of a backend server to HEAD", { { "content-length", "812" } }, "", BodySent::No, { "Content-Length: 812\r\n" }, { "Content-Length: 0" }, "\r\n\r\n" },
        { "answer without a length", { { "Transfer-Encoding", "chunked" } }, "", BodySent::No, {}, { "Content-Length", "chunked" }, "\r\n\r\n" },
    }));
    CAPTURE(row.name_);
    std::string answer = renderAnswer(200, row.fields_, row.body_, std::nullopt, row.sent_);
    for (const std::string& text : row.present_)
        CHECK(answer.find(text) != std::string::npos);
    for (const std::string& text : row.absent_)
        CHECK(answer.find(text) == std::string::npos);
    CHECK(answer.substr(answer.size() - row.end_.size()) == row.end_);
}
