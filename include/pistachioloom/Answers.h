//===- pistachioloom/Answers.h - parsing of answers in bounded memory ------===//
///
/// \file
/// Parses HTTP/1.1 answers without input or output. A faulty server may send any bytes and
/// never stop, so what is kept of them is bounded, and no memory is allocated for a length
/// that is only stated.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace pistachioloom {

/// A body whose memory grows with the bytes received. Beast's string_body allocates the stated
/// length before the first byte, which throws if the length is larger than the memory.
struct ReceivedBody {
    // NOLINTBEGIN(readability-identifier-naming): Beast requires these names of a body.
    using value_type = std::string;

    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& code) { code = {}; }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& code)
        {
            code = {};
            std::size_t before = body_.size();
            for (auto buffer : boost::beast::buffers_range_ref(buffers))
                body_.append(static_cast<const char*>(buffer.data()), buffer.size());
            return body_.size() - before;
        }

        void finish(boost::beast::error_code& code) { code = {}; }

    private:
        value_type& body_;
    };
    // NOLINTEND(readability-identifier-naming)
};

/// Parses the bytes of one answer. In addition to what Beast refuses, it fails if
/// - the status is not one from 100 to 599, or is 101 (RFC 9110, section 15),
/// - a field goes on over several lines (RFC 9112, section 5.2),
/// - the body has an encoding other than chunks, or HTTP/1.0 states one (RFC 9112, section 6.1).
/// Trailers are checked and discarded. A length that is stated repeatedly is kept as one number.
class AnswerParser : public boost::beast::http::response_parser<ReceivedBody> {
private:
    void on_field_impl(boost::beast::http::field field, boost::beast::string_view name, boost::beast::string_view value, boost::beast::error_code& code) override;
    void on_header_impl(boost::beast::error_code& code) override;
};

/// Limits of one answer, in bytes.
struct AnswerBounds {
    /// The head, together with the interim answers before it.
    ByteCount head_ { 16UL * 1024 };
    /// The line before a chunk, or the last chunk with the trailers.
    ByteCount framing_ { 16UL * 1024 };
};

/// Whether a body follows the head. It does not in answers to HEAD.
enum class BodyFollows {
    Yes,
    No,
};

/// Parses one answer. Interim answers (1xx, but not 101) before it are skipped.
class AnswerReader {
public:
    using Input = boost::beast::flat_buffer;
    using Parser = AnswerParser;

    enum class Progress {
        /// More bytes are needed.
        NeedsMore,
        /// A head, a part of the body or the end of the answer has been parsed.
        Advanced,
        /// The bytes are no answer, or exceed a bound; see error().
        Bad,
    };

    explicit AnswerReader(AnswerBounds bounds, BodyFollows bodyFollows = BodyFollows::Yes);

    /// Parses bytes of \p input and removes them. Bytes after the answer stay there.
    Progress parse(Input& input);
    /// Ends the answer because the server has closed the connection in order. \returns an error
    /// if the answer is incomplete.
    boost::beast::error_code finish();
    /// Limits the rest of the body to \p limit. Call this after the head has been parsed.
    /// \returns Progress::Bad if the stated length is larger, or else Progress::Advanced.
    Progress limitBody(ByteCount limit);

    /// Whether the head has been parsed. That of an interim answer does not count.
    bool hasHead() const { return parser_->is_header_done(); }
    bool isComplete() const { return parser_->is_done(); }
    /// Whether the end of the connection ends the answer, since it states no length.
    bool endsWithConnection() const { return parser_->need_eof(); }
    const boost::beast::error_code& error() const { return error_; }
    /// The head and the body received so far, which may be moved from.
    Parser::value_type& message() { return parser_->get(); }
    const Parser::value_type& message() const { return parser_->get(); }

private:
    void startHead();
    Progress endHead();
    Progress checkUnparsed(const Input& input);
    Progress fail(const boost::beast::error_code& code);

    AnswerBounds bounds_;
    BodyFollows bodyFollows_;
    /// Replaced after an interim answer.
    std::optional<Parser> parser_;
    /// Bytes of heads that were parsed, of interim answers too.
    std::size_t headSize_ = 0;
    boost::beast::error_code error_;
};

} // namespace pistachioloom
