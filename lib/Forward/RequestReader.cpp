//===- lib/Forward/RequestReader.cpp - parses callers' requests -----------===//
///
/// \file
/// See RequestReader.h.
//===----------------------------------------------------------------------===//
#include "RequestReader.h"

#include <boost/asio/buffer.hpp>

namespace pistachioloom {

namespace http = boost::beast::http;
namespace asio = boost::asio;

static constexpr std::string_view headEnd = "\r\n\r\n";

std::string_view CallerRequest::field(std::string_view name) const
{
    const std::string* value = findField(fields_, name);
    return value ? std::string_view(*value) : std::string_view();
}

static std::optional<BadRequest> checkLineEnds(std::string_view head)
{
    for (std::size_t i = 0; i < head.size(); ++i) {
        if (head[i] == '\0')
            return BadRequest { 400, "a zero byte in the head" };
        if (head[i] == '\n' && (i == 0 || head[i - 1] != '\r'))
            return BadRequest { 400, "a line that ends without a carriage return" };
        if (head[i] == '\r' && (i + 1 == head.size() || head[i + 1] != '\n'))
            return BadRequest { 400, "a carriage return within a line" };
        bool startsLine = i > 0 && head[i - 1] == '\n';
        if (startsLine && (head[i] == ' ' || head[i] == '\t'))
            return BadRequest { 400, "a folded header line" };
    }
    return std::nullopt;
}

std::optional<BadRequest> checkRequestHead(std::string_view head)
{
    if (auto bad = checkLineEnds(head))
        return bad;
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    std::size_t at = head.find("\r\n");
    bool isHttp10 = head.substr(0, at).ends_with("HTTP/1.0");
    for (at += 2; at + 2 < head.size();) {
        std::size_t end = head.find("\r\n", at);
        std::string_view line = head.substr(at, end - at);
        at = end + 2;
        std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            return BadRequest { 400, "a header line without a colon" };
        std::string_view name = line.substr(0, colon);
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
            value.remove_prefix(1);
        while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
            value.remove_suffix(1);
        hosts += equalWithoutCase(name, "host");
        if (equalWithoutCase(name, "content-length")) {
            ++lengths;
            if (!parseNumber(value))
                return BadRequest { 400, "a content length that is no number" };
        }
        if (equalWithoutCase(name, "transfer-encoding")) {
            ++encodings;
            if (!equalWithoutCase(value, "chunked"))
                return BadRequest { 400, "a transfer encoding other than chunked" };
        }
    }
    if (lengths + encodings > 1 || (encodings && isHttp10))
        return BadRequest { 400, "more than one way to tell the body's length" };
    if (hosts > 1 || (!hosts && !isHttp10))
        return BadRequest { 400, "not exactly one host" };
    return std::nullopt;
}

RequestReader::RequestReader(const CallerBounds& bounds, SteadyTime now)
    : bounds_(bounds)
    , startedAt_(now)
{
    parser_.eager(true);
    // The parser's limit is off, because this class checks the size of the head itself and
    // rejects a larger one with status 431.
    parser_.header_limit(std::numeric_limits<std::uint32_t>::max());
    parser_.body_limit(bounds.body_.value_);
}

RequestReader::Progress RequestReader::fail(int status, std::string reason)
{
    problem_ = { status, std::move(reason) };
    return Progress::Bad;
}

RequestReader::Progress RequestReader::feedHead(std::string& input)
{
    // Blank lines before a request may be left over from a body (RFC 9112, 2.2).
    while (input.starts_with("\r\n"))
        input.erase(0, 2);
    std::size_t end = input.find(headEnd);
    std::size_t length = end == std::string::npos ? input.size() : end + headEnd.size();
    if (length > bounds_.header_.value_)
        return fail(431, "head larger than " + std::to_string(bounds_.header_.value_) + " bytes");
    if (end == std::string::npos) {
        // A head with bare line feeds never contains headEnd, so it is rejected here
        // instead of waiting for more bytes.
        if (auto bad = checkLineEnds(std::string_view(input).substr(0, input.find_last_of('\r'))))
            return fail(bad->status_, bad->reason_);
        return Progress::NeedsMore;
    }
    if (auto bad = checkRequestHead(std::string_view(input).substr(0, length)))
        return fail(bad->status_, bad->reason_);
    return Progress::Done;
}

RequestReader::Progress RequestReader::feed(std::string& input)
{
    if (!hasHead_) {
        Progress head = feedHead(input);
        if (head != Progress::Done)
            return head;
    }
    while (!input.empty() && !parser_.is_done()) {
        boost::beast::error_code code;
        std::size_t taken = parser_.put(asio::buffer(input), code);
        input.erase(0, taken);
        if (parser_.is_header_done() && !hasHead_) {
            hasHead_ = true;
            expectsContinue_ = equalWithoutCase(std::string_view(parser_.get()[http::field::expect].data(), parser_.get()[http::field::expect].size()), "100-continue");
        }
        if (code == http::error::need_more)
            break;
        if (code == http::error::body_limit)
            return fail(413, "body larger than " + std::to_string(bounds_.body_.value_) + " bytes");
        if (code)
            return fail(400, code.message());
        if (!taken)
            break;
    }
    return parser_.is_done() ? Progress::Done : Progress::NeedsMore;
}

std::string_view RequestReader::field(std::string_view name) const
{
    auto value = parser_.get()[boost::beast::string_view(name.data(), name.size())];
    return { value.data(), value.size() };
}

std::string_view RequestReader::path() const
{
    auto target = parser_.get().target();
    std::string_view text(target.data(), target.size());
    return text.substr(0, text.find('?'));
}

std::optional<ByteCount> RequestReader::statedLength() const
{
    auto length = parser_.content_length();
    return length ? std::optional(ByteCount { static_cast<std::size_t>(*length) }) : std::nullopt;
}

ByteCount RequestReader::arrivedBody() const
{
    const std::string& body = parser_.get().body();
    return { parser_.content_length() ? body.size() : body.capacity() };
}

void RequestReader::rejectBody()
{
    problem_ = { 503, "the bodies of all requests together are too large" };
}

bool RequestReader::takeContinueExpectation()
{
    return std::exchange(expectsContinue_, false);
}

CallerRequest RequestReader::take()
{
    CallerRequest request;
    auto message = parser_.release();
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    request.isKeepAlive_ = message.keep_alive();
    request.isHttp10_ = message.version() < 11;
    request.receivedAt_ = startedAt_;
    for (const auto& field : message)
        request.fields_.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body_ = std::move(message.body());
    return request;
}

} // namespace pistachioloom
