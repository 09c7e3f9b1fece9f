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
