//===- unittests/Answers/InvalidHeadTest.cpp - heads that are no answer -----===//
///
/// \file
/// Tests that bytes which are no answer by RFC 9110 and RFC 9112 are refused, wherever they stand, and
/// that valid answers of an unusual form are not.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Answers.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>

using namespace pistachioloom;
namespace asio = boost::asio;
using Progress = AnswerReader::Progress;

namespace {

/// Parses \p bytes, which arrive \p step at a time, and the end of the connection. \returns whether
/// they are a complete answer.
bool isAnswer(AnswerReader& reader, const std::string& bytes, std::size_t step)
{
    AnswerReader::Input input;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        std::string_view piece = std::string_view(bytes).substr(at, step);
        input.commit(asio::buffer_copy(input.prepare(piece.size()), asio::buffer(piece)));
        Progress progress = Progress::Advanced;
        while (progress == Progress::Advanced && !reader.isComplete())
            progress = reader.parse(input);
        if (progress == Progress::Bad)
            return false;
    }
    return reader.isComplete() || !reader.finish();
}

std::size_t readSize()
{
    return GENERATE(std::size_t(1), std::size_t(7), std::size_t(1000));
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string body = "Content-Length: 4\r\n\r\nbody";

} // namespace

// Guards against an answer with a status that does not exist, and against bytes of another protocol
// after 101: the gateway never asks to switch.
TEST_CASE("a status line is one of HTTP/1.0 or 1.1 with a status from 100 to 599", "[answers]")
{
    struct Row {
        std::string line_;
        bool isValid_;
    };
    auto row = GENERATE(values<Row>({
        { "HTTP/1.1 200 OK", true },
        { "HTTP/1.0 200 OK", true },
        { "HTTP/1.1 200 ", true },
        { "HTTP/1.1 200 \x80\xff", true },
        { "HTTP/1.1 299 X", true },
        { "HTTP/1.1 599 X", true },
        { "HTTP/1.1 000 X", false },
        { "HTTP/1.1 001 X", false },
        { "HTTP/1.1 099 X", false },
        { "HTTP/1.1 600 X", false },
        { "HTTP/1.1 999 X", false },
        { "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK", false },
        { "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\nHTTP/1.1 200 OK", false },
        { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X", false },
        { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", true },
        { "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 OK", true },
        { "HTTP/1.1 0 X", false },
        { "HTTP/1.1 20 X", false },
        { "HTTP/1.1 0200 X", false },
        { "HTTP/1.1 2000 X", false },
        { "HTTP/1.1 -20 X", false },
        { "HTTP/1.1 2x0 X", false },
        { "HTTP/1.1  200 X", false },
        { "HTTP/1.1 200", false },
        { "HTTP/1.1 200 O\x01K", false },
        { "HTTP/1.1 200 O\x7fK", false },
        { "HTTP/0.9 200 OK", false },
        { "HTTP/1.2 200 OK", false },
        { "HTTP/2.0 200 OK", false },
        { "HTTP/2 200 OK", false },
        { "http/1.1 200 OK", false },
        { " HTTP/1.1 200 OK", false },
        { "\r\nHTTP/1.1 200 OK", false },
        { "200 OK", false },
    }));
    std::size_t step = readSize();
    CAPTURE(row.line_, step);
    AnswerReader reader(AnswerBounds {});
    CHECK(isAnswer(reader, row.line_ + "\r\n" + body, step) == row.isValid_);
}

// Guards against a line that is passed on although it is no field, or is taken for a part of another.
TEST_CASE("fields of an answer are tokens with values on one line", "[answers]")
{
    struct Row {
        const char* name_;
        std::string lines_;
        bool isValid_;
    };
    auto row = GENERATE(values<Row>({
        { "field", "X-A: b\r\n", true },
        { "empty value", "X-A:\r\n", true },
        { "tab in a value", "X-A:\tb\tc\t\r\n", true },
        { "bytes of 0x80 and above in a value", "X-A: \x80\xff\r\n", true },
        { "all marks of a token", "!#$%&'*+-.^_`|~: b\r\n", true },
        { "blank in a name", "X A: b\r\n", false },
        { "tab in a name", "X\tA: b\r\n", false },
        { "control byte in a name", "X\x01: b\r\n", false },
        { "zero byte in a name", std::string("X\0A: b\r\n", 8), false },
        { "delete byte in a name", "X\x7f: b\r\n", false },
        { "delimiter in a name", "X(A): b\r\n", false },
        { "byte of 0x80 in a name", "X\x80: b\r\n", false },
        { "byte of 0xff in a name", "X\xff: b\r\n", false },
        { "no name", ": b\r\n", false },
        { "no colon", "X-A b\r\n", false },
        { "blank before the colon", "X-A : b\r\n", false },
        { "tab before the colon", "X-A\t: b\r\n", false },
        { "blank before the first name", " X-A: b\r\n", false },
        { "tab before the first name", "\tX-A: b\r\n", false },
        { "blank before a later name", "X-A: b\r\n X-B: c\r\n", false },
        { "tab before a later name", "X-A: b\r\n\tX-B: c\r\n", false },
        { "blank before a name after an empty value", "X-A:\r\n X-B: c\r\n", false },
        { "blank before a length", "X-A: b\r\n Content-Length: 2\r\n", false },
        { "line of blanks", "X-A: b\r\n \t\r\n", false },
        { "line of blanks after an empty value", "X-A:\r\n \r\n", false },
        { "two continuation lines", "X-A: b\r\n c\r\n d\r\n", false },
        { "control byte in a value", "X-A: b\x01\r\n", false },
        { "zero byte in a value", std::string("X-A: b\0c\r\n", 10), false },
        { "delete byte in a value", "X-A: b\x7f\r\n", false },
        { "carriage return in a value", "X-A: b\rX-B: c\r\n", false },
        { "line feed alone", "X-A: b\nX-B: c\r\n", false },
    }));
    std::size_t step = readSize();
    CAPTURE(row.name_, step);
    SECTION("in the head")
    {
        AnswerReader reader(AnswerBounds {});
        CHECK(isAnswer(reader, ok + row.lines_ + body, step) == row.isValid_);
    }
    SECTION("at the end of the head")
    {
        AnswerReader reader(AnswerBounds {});
        CHECK(isAnswer(reader, ok + "Content-Length: 4\r\n" + row.lines_ + "\r\nbody", step) == row.isValid_);
    }
    SECTION("in an interim answer")
    {
        AnswerReader reader(AnswerBounds {});
        CHECK(isAnswer(reader, "HTTP/1.1 103 Early Hints\r\n" + row.lines_ + "\r\n" + ok + body, step) == row.isValid_);
    }
    SECTION("in the trailers")
    {
        AnswerReader reader(AnswerBounds {});
        CHECK(isAnswer(reader, ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + row.lines_ + "\r\n", step) == row.isValid_);
    }
}
