//===- lib/Forward/Answering.cpp - answers to the caller ------------------===//
///
/// \file
/// Writes answers to the caller with the framing of the caller's connection.
//===----------------------------------------------------------------------===//
#include "RequestForwarder.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/beast/http/status.hpp>
#include <cassert>

namespace pistachioloom {

namespace http = boost::beast::http;

static std::string statusLine(int status)
{
    assert(status >= 100 && status <= 599 && "AnswerReader accepts no other status");
    auto reason = http::obsolete_reason(static_cast<http::status>(status));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason.data(), reason.size()) + "\r\n";
}

static void appendFields(std::string& head, const HeaderFields& fields)
{
    std::vector<std::string> options = connectionOptions(fields);
    for (const HeaderField& field : fields) {
        bool isNamed = std::find(options.begin(), options.end(), boost::to_lower_copy(field.name_)) != options.end();
        if (!isNamed && !isHopByHop(field.name_))
            appendField(head, field.name_, field.value_);
    }
}

static void appendLength(std::string& head, const HeaderFields& fields, std::string_view body, BodySent sent)
{
    const std::string* stated = sent == BodySent::No ? findField(fields, "Content-Length") : nullptr;
    if (stated)
        appendField(head, "Content-Length", *stated);
    else if (sent == BodySent::Yes || !body.empty())
        appendField(head, "Content-Length", std::to_string(body.size()));
}

std::string renderAnswer(int status, const HeaderFields& fields, std::string_view body, std::optional<milliseconds> idle, BodySent sent)
{
    std::string bytes = statusLine(status);
    appendFields(bytes, fields);
    appendLength(bytes, fields, body, sent);
    bytes.append(connectionFields(idle)).append("\r\n");
    return sent == BodySent::Yes ? bytes.append(body) : bytes;
}

std::optional<milliseconds> RequestForwarder::announcedIdle()
{
    if (!keepsConnection_)
        return std::nullopt;
    milliseconds idle = table_ ? table_->configuration().bounds_.idleTimeout_ : CallerBounds {}.idleTimeout_;
    caller_->setAnnouncedIdle(idle);
    return idle;
}

RequestForwarder::HeldAnswer RequestForwarder::rejection(int status, std::string reason, milliseconds retryAfter) const
{
    HeldAnswer answer { status, {}, {} };
    if (!attemptId_.empty())
        answer.fields_.push_back({ context_.names_.attempt_, attemptId_ });
    answer.fields_.push_back({ "Content-Type", "text/plain" });
    if (retryAfter.count())
        answer.fields_.push_back({ "Retry-After", renderRetryAfter(retryAfter) });
    answer.body_ = std::move(reason) + "\n";
    return answer;
}

/// Writes a complete answer. If another one has been started, closes the caller's connection instead,
/// since the caller would take this one for the rest of it.
asio::awaitable<bool> RequestForwarder::deliver(HeldAnswer answer)
{
    if (hasStartedAnswer_) {
        caller_->abort();
        co_return false;
    }
    keepsConnection_ = keepsConnection_ && !context_.isStopping_;
    latestStatus_ = answer.status_;
    startedStatus_ = answer.status_;
    hasStartedAnswer_ = true;
    BodySent sent = isHead() ? BodySent::No : BodySent::Yes;
    std::string bytes = renderAnswer(answer.status_, answer.fields_, answer.body_, announcedIdle(), sent);
    isWritingAnswer_ = true;
    bool isWritten = co_await caller_->write(std::move(bytes));
    isWritingAnswer_ = false;
    context_.metrics_.add(isWritten && answer.status_ < 400 ? Counter::RequestsFinished : Counter::RequestsFailed);
    co_return isWritten;
}

asio::awaitable<bool> RequestForwarder::startEvents(const HeaderFields& fields)
{
    keepsConnection_ = keepsConnection_ && !context_.isStopping_ && !request_.isHttp10_;
    std::string head = statusLine(latestStatus_);
    appendFields(head, fields);
    if (!request_.isHttp10_)
        appendField(head, "Transfer-Encoding", "chunked");
    head += connectionFields(announcedIdle()) + "\r\n";
    startedStatus_ = latestStatus_;
    hasStartedAnswer_ = true;
    // The end of the connection ends the answer, so a close before its last event must differ.
    if (request_.isHttp10_)
        caller_->setResetOnClose(true);
    co_return co_await caller_->write(std::move(head));
}

asio::awaitable<bool> RequestForwarder::writeEvents(std::string events)
{
    if (request_.isHttp10_)
        co_return co_await caller_->write(std::move(events));
    char size[20];
    int length = std::snprintf(size, sizeof size, "%zx\r\n", events.size());
    std::string chunk(size, static_cast<std::size_t>(length));
    co_return co_await caller_->write(chunk.append(events).append("\r\n"));
}

} // namespace pistachioloom
