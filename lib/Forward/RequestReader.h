//===- lib/Forward/RequestReader.h - parses callers' requests -------------===//
///
/// \file
/// Parses bytes into complete requests. Input that two parsers could interpret
/// differently is rejected, because it may smuggle a second request.
//===----------------------------------------------------------------------===//
#pragma once

#include "Headers.h"
#include "MemoryShare.h"

#include <boost/beast/http.hpp>

namespace pistachioloom {

/// A complete request of a caller.
struct CallerRequest {
    std::string method_;
    std::string target_;
    HeaderFields fields_;
    std::string body_;
    bool isKeepAlive_ = true;
    /// Whether the version is 1.0. Event streams then end with the connection.
    bool isHttp10_ = false;
    SteadyTime receivedAt_ {};
    /// The memory that the body takes.
    std::unique_ptr<MemoryShare> memory_ {};

    /// The target without its query.
    std::string_view path() const { return std::string_view(target_).substr(0, target_.find('?')); }
    /// The first value of \p name, or an empty string.
    std::string_view field(std::string_view name) const;
};

/// Why bytes are not a valid request: the status to answer with, and the reason.
struct BadRequest {
    int status_ = 400;
    std::string reason_;
};

/// Checks for errors that the parser of Boost.Beast accepts: bad line endings, folded
/// lines, and more than one statement of the body's length. \p head ends with the blank
/// line.
std::optional<BadRequest> checkRequestHead(std::string_view head);

/// Incremental parser for one request.
class RequestReader {
public:
    RequestReader(const CallerBounds& bounds, SteadyTime now);

    enum class Progress {
        NeedsMore,
        Done,
        Bad,
    };

    /// Consumes as much as possible from the front of \p input.
    Progress feed(std::string& input);
    /// Whether the head is complete.
    bool hasHead() const { return hasHead_; }
    /// The value of a header, after the head is complete.
    std::string_view field(std::string_view name) const;
    /// The target without its query, after the head is complete.
    std::string_view path() const;
    /// The length of the body, if the head states one.
    std::optional<ByteCount> statedLength() const;
    /// The memory of what has arrived of the body: its size, or the allocated size if it has no stated
    /// length.
    ByteCount arrivedBody() const;
    /// \returns true once if the caller waits for "100 Continue" before it sends the body.
    bool takeContinueExpectation();
    /// Gives the request up, since the node cannot hold its body.
    void rejectBody();
    /// The reason for Progress::Bad.
    const BadRequest& problem() const { return problem_; }
    /// Moves the request out of the reader after Progress::Done.
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
