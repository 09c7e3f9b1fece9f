//===- lib/Answers/AnswerReader.cpp - parsing of answers -------------------===//
///
/// \file
/// See Answers.h.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Answers.h"

namespace pistachioloom {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Whether a server may send \p status here. What follows 101 is no HTTP/1.1, and no request asks for it.
static bool isAnswerStatus(unsigned status)
{
    return status >= 100 && status <= 599 && status != static_cast<unsigned>(http::status::switching_protocols);
}

/// Whether the line after that of a field belongs to its value. \p name lies in the input, and the
/// parser calls on_field_impl() only after it has looked at the byte after the end of the line.
static bool hasContinuationLine(beast::string_view name)
{
    const char* at = name.data() + name.size();
    while (*at != '\n')
        ++at;
    return at[1] == ' ' || at[1] == '\t';
}

/// Whether the body is in chunks or has no transfer encoding. No other one is decoded, so the caller
/// would get a body that is not the server's, or one that ends elsewhere.
static bool isEncodingKnown(const AnswerParser::value_type& message)
{
    auto [first, last] = message.equal_range(http::field::transfer_encoding);
    if (first == last)
        return true;
    return message.version() == 11 && std::next(first) == last && beast::iequals(first->value(), "chunked");
}

void AnswerParser::on_field_impl(http::field field, beast::string_view name, beast::string_view value, beast::error_code& code)
{
    code = {};
    if (hasContinuationLine(name))
        code = http::error::bad_obs_fold;
    else if (!is_header_done())
        get().insert(field, name, value);
}

void AnswerParser::on_header_impl(beast::error_code& code)
{
    code = {};
    if (!isAnswerStatus(get().result_int()))
        code = http::error::bad_status;
    else if (!isEncodingKnown(get()))
        code = http::error::bad_transfer_encoding;
    else if (auto length = content_length())
        get().set(http::field::content_length, std::to_string(*length));
}

AnswerReader::AnswerReader(AnswerBounds bounds, BodyFollows bodyFollows)
    : bounds_(bounds)
    , bodyFollows_(bodyFollows)
{
    startHead();
}

void AnswerReader::startHead()
{
    parser_.emplace();
    // The parser's limit would start anew after an interim answer, and that of the body depends
    // on the head.
    parser_->header_limit(static_cast<std::uint32_t>(bounds_.head_.value_) + 1);
    parser_->body_limit(boost::none);
    parser_->skip(bodyFollows_ == BodyFollows::No);
}

AnswerReader::Progress AnswerReader::fail(const beast::error_code& code)
{
    error_ = code;
    return Progress::Bad;
}

AnswerReader::Progress AnswerReader::endHead()
{
    if (parser_->get().result_int() / 100 == 1)
        startHead();
    else
        parser_->eager(true);
    return Progress::Advanced;
}

/// Checks the size of what the parser cannot use before more bytes arrive.
AnswerReader::Progress AnswerReader::checkUnparsed(const Input& input)
{
    if (!hasHead() && headSize_ + input.size() > bounds_.head_.value_)
        return fail(http::error::header_limit);
    if (hasHead() && input.size() > bounds_.framing_.value_)
        return fail(http::error::buffer_overflow);
    return Progress::NeedsMore;
}

AnswerReader::Progress AnswerReader::parse(Input& input)
{
    while (input.size() && !isComplete()) {
        const bool hadHead = hasHead();
        const std::size_t bodySize = parser_->get().body().size();
        beast::error_code code;
        std::size_t taken = parser_->put(input.data(), code);
        input.consume(taken);
        if (!hadHead)
            headSize_ += taken;
        if (code && code != http::error::need_more)
            return fail(code);
        if (headSize_ > bounds_.head_.value_)
            return fail(http::error::header_limit);
        if (!hadHead && hasHead())
            return endHead();
        if (isComplete() || parser_->get().body().size() > bodySize)
            return Progress::Advanced;
        if (code == http::error::need_more || !taken)
            break;
    }
    return isComplete() ? Progress::Advanced : checkUnparsed(input);
}

beast::error_code AnswerReader::finish()
{
    if (!parser_->got_some())
        return http::error::end_of_stream;
    beast::error_code code;
    parser_->put_eof(code);
    return code;
}

AnswerReader::Progress AnswerReader::limitBody(ByteCount limit)
{
    parser_->body_limit(limit.value_);
    auto length = parser_->content_length();
    // An answer without a body may state the length of the body that GET would return.
    if (length && *length > limit.value_ && !isComplete())
        return fail(http::error::body_limit);
    return Progress::Advanced;
}

} // namespace pistachioloom
