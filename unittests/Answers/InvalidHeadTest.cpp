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

// Guards against a body of another length than the server's, and one in an encoding that is not
// removed (RFC 9112, section 6).
TEST_CASE("an answer states the length of its body in one way", "[answers]")
{
    struct Row {
        const char* name_;
        std::string head_;
        std::string rest_;
        bool isValid_;
    };
    const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";
    const std::string both = "4\r\nbody";
    auto row = GENERATE_COPY(values<Row>({
        { "length", ok + "Content-Length: 4", "body", true },
        { "equal lengths", ok + "Content-Length: 4\r\nContent-Length: 4", "body", true },
        { "list of equal lengths", ok + "Content-Length: 4, 4", "body", true },
        { "length with leading zeros", ok + "Content-Length: 0004", "body", true },
        { "chunks", ok + "Transfer-Encoding: Chunked", chunks, true },
        { "end of the connection", ok + "X-A: b", "body", true },
        { "different lengths", ok + "Content-Length: 4\r\nContent-Length: 3", "body", false },
        { "list of different lengths", ok + "Content-Length: 4, 3", "body", false },
        { "empty length", ok + "Content-Length: ", "body", false },
        { "length with a sign", ok + "Content-Length: +4", "body", false },
        { "negative length", ok + "Content-Length: -4", "body", false },
        { "hexadecimal length", ok + "Content-Length: 0x4", "body", false },
        { "length and a word", ok + "Content-Length: 4 b", "body", false },
        { "length beyond 64 bits", ok + "Content-Length: 18446744073709551620", "body", false },
        { "length before chunks", ok + "Content-Length: 4\r\nTransfer-Encoding: chunked", both, false },
        { "length after chunks", ok + "Transfer-Encoding: chunked\r\nContent-Length: 4", both, false },
        { "length before another encoding", ok + "Content-Length: 4\r\nTransfer-Encoding: gzip", "body", false },
        { "length after another encoding", ok + "Transfer-Encoding: gzip\r\nContent-Length: 4", "body", false },
        { "length after an unknown encoding", ok + "Transfer-Encoding: xchunked\r\nContent-Length: 4", "body", false },
        { "length after an empty encoding", ok + "Transfer-Encoding: \r\nContent-Length: 4", "body", false },
        { "another encoding", ok + "Transfer-Encoding: gzip", "body", false },
        { "another encoding in chunks", ok + "Transfer-Encoding: gzip, chunked", chunks, false },
        { "another encoding in chunks, two fields", ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", chunks, false },
        { "chunks in another encoding", ok + "Transfer-Encoding: chunked, gzip", chunks, false },
        { "chunks twice", ok + "Transfer-Encoding: chunked, chunked", chunks, false },
        { "chunks twice, two fields", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunks, false },
        { "chunks with a parameter", ok + "Transfer-Encoding: chunked;q=1", chunks, false },
        { "chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", chunks, false },
        { "blank before the size of a chunk", ok + "Transfer-Encoding: chunked", " 4\r\nbody\r\n0\r\n\r\n", false },
        { "sign before the size of a chunk", ok + "Transfer-Encoding: chunked", "+4\r\nbody\r\n0\r\n\r\n", false },
        { "prefix before the size of a chunk", ok + "Transfer-Encoding: chunked", "0x4\r\nbody\r\n0\r\n\r\n", false },
        { "size of a chunk beyond 64 bits", ok + "Transfer-Encoding: chunked", "10000000000000004\r\nbody\r\n0\r\n\r\n", false },
        { "chunk longer than its size", ok + "Transfer-Encoding: chunked", "3\r\nbody\r\n0\r\n\r\n", false },
        { "line feed alone after the size of a chunk", ok + "Transfer-Encoding: chunked", "4\nbody\r\n0\r\n\r\n", false },
        { "length in the trailers", ok + "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n", false },
    }));
    std::size_t step = readSize();
    CAPTURE(row.name_, step);
    AnswerReader reader(AnswerBounds {});
    CHECK(isAnswer(reader, row.head_ + "\r\n\r\n" + row.rest_, step) == row.isValid_);
    if (row.isValid_)
        CHECK(reader.message().body() == "body");
}

// Guards against a length that the caller may read differently. An answer to HEAD passes it on.
TEST_CASE("a length that is stated repeatedly is kept as one number", "[answers]")
{
    auto fields = GENERATE(values<std::string>({ "Content-Length: 4", "Content-Length: 4, 4", "Content-Length: 4\r\nContent-Length: 4", "Content-Length: 0004" }));
    auto bodyFollows = GENERATE(BodyFollows::Yes, BodyFollows::No);
    CAPTURE(fields, bodyFollows);
    AnswerReader reader(AnswerBounds {}, bodyFollows);
    REQUIRE(isAnswer(reader, ok + fields + "\r\n\r\n" + (bodyFollows == BodyFollows::Yes ? "body" : ""), 1000));
    CHECK(reader.message().count("Content-Length") == 1);
    CHECK(reader.message()["Content-Length"] == "4");
}

// Guards against fields after the body that are taken for those of the head (RFC 9110, section 6.5.1):
// a server would say of a request that has run that it has not.
TEST_CASE("trailers of an answer are not fields of its head", "[answers]")
{
    std::size_t step = readSize();
    CAPTURE(step);
    AnswerReader reader(AnswerBounds {});
    REQUIRE(isAnswer(reader, ok + "X-A: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-A: c\r\nNot-Run: 1\r\nConnection: close\r\n\r\n", step));
    CHECK(reader.message().body() == "body");
    CHECK(reader.message().count("X-A") == 1);
    CHECK(reader.message().count("Not-Run") == 0);
    CHECK(reader.message().keep_alive());
}
