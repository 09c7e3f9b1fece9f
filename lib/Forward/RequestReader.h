//===- lib/Forward/RequestReader.h - callers' bytes into requests ----------===//
///
/// \file
/// Turns bytes into whole requests. What two readers could understand
/// differently is refused: it may hide a second request.
//===----------------------------------------------------------------------===//
#pragma once

#include "Headers.h"

#include <boost/beast/http.hpp>

namespace pistachioloom {

/// A whole request of a caller.
struct CallerRequest {
    std::string method_;
    std::string target_;
    HeaderFields fields_;
    std::string body_;
    bool isKeepAlive_ = true;
    /// Version 1.0: answers are ended by closing.
    bool isHttp10_ = false;
    SteadyTime receivedAt_ {};

    std::string_view path() const { return std::string_view(target_).substr(0, target_.find('?')); }
    std::string_view field(std::string_view name) const;
};

/// Why bytes are no request: the status to answer with, and the reason.
struct BadRequest {
    int status_ = 400;
    std::string reason_;
};

/// Checks what the library's parser lets pass: line ends, folded lines, and
/// more than one way to tell the body's length. \p head ends with the blank line.
std::optional<BadRequest> checkRequestHead(std::string_view head);

/// Reads one request from bytes that arrive in pieces.
class RequestReader {
public:
    RequestReader(const CallerBounds& bounds, SteadyTime now);

    enum class Progress {
        NeedsMore,
        Done,
        Bad,
    };

    /// Takes what it can from the front of \p input.
    Progress feed(std::string& input);
    /// Whether the head is whole and the body is awaited.
    bool hasHead() const { return hasHead_; }
    /// Whether the caller waits for leave to send the body; true once.
    bool takeContinueExpectation();
    const BadRequest& problem() const { return problem_; }
    CallerRequest take();

private:
    Progress fail(int status, std::string reason);
    Progress feedHead(std::string& input);

    CallerBounds bounds_;
    SteadyTime startedAt_;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
    bool hasHead_ = false;
    bool expectsContinue_ = false;
    BadRequest problem_;
};

} // namespace pistachioloom
