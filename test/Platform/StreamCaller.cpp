//===- test/Platform/StreamCaller.cpp - callers that resume streams --------===//
///
/// \file
/// See StreamCaller.h.
//===----------------------------------------------------------------------===//
#include "StreamCaller.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace pistachioloom::test {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr milliseconds streamTimeout { 12000 };
    // Attempts after which a caller gives a stream up.
    constexpr int maxResumptions = 8;
    constexpr int triesPerResumption = 6;
    constexpr milliseconds retryPause { 60 };
    constexpr milliseconds maxRetryAfter { 700 };

    /// Adds the complete events of \p text to \p attempt. \returns false if their ids have a gap.
    bool readEvents(std::string& text, StreamAttempt& attempt)
    {
        for (std::size_t end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
            std::string event = text.substr(0, end + 1);
            text.erase(0, end + 2);
            std::uint64_t id = std::stoull(event.substr(event.find("id: ") + 4));
            if (id != attempt.lastEventId_ + 1)
                return false;
            attempt.lastEventId_ = id;
            std::size_t from = event.find("from ");
            if (from != std::string::npos)
                attempt.senders_.push_back(event.substr(from + 5, event.find('\n', from) - from - 5));
        }
        return true;
    }

    asio::awaitable<void> read(asio::ip::tcp::socket& socket, const Endpoint& gateway, const HttpRequest& request, StreamAttempt& attempt, bool& isOrdered)
    {
        constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
        SteadyTime startedAt = steadyNow();
        auto [connectCode] = co_await socket.async_connect({ asio::ip::make_address(gateway.host_), gateway.port_ }, asTuple);
        if (connectCode)
            co_return;
        std::string head = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
        for (const auto& [name, value] : request.headers_)
            head += name + ": " + value + "\r\n";
        head += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n\r\n" + request.body_;
        auto [writeCode, written] = co_await asio::async_write(socket, asio::buffer(head), asTuple);
        if (writeCode)
            co_return;
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        auto [headCode, headSize] = co_await http::async_read_header(socket, buffer, parser, asTuple);
        if (headCode)
            co_return;
        attempt.status_ = static_cast<int>(parser.get().result_int());
        attempt.timeToHead_ = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
        if (auto field = parser.get().find(http::field::retry_after); field != parser.get().end())
            attempt.retryAfter_ = milliseconds(static_cast<std::int64_t>(std::stod(std::string(field->value())) * 1000));
        std::string text;
        parser.eager(true);
        while (!parser.is_done()) {
            beast::error_code code;
            if (buffer.size())
                buffer.consume(parser.put(buffer.data(), code));
            if (code && code != http::error::need_more)
                co_return;
            text += std::exchange(parser.get().body(), {});
            if (attempt.status_ == 200)
                isOrdered = readEvents(text, attempt) && isOrdered;
            if (parser.is_done())
                break;
            auto [readCode, count] = co_await socket.async_read_some(buffer.prepare(4096), asTuple);
            if (readCode)
                co_return;
            buffer.commit(count);
        }
        attempt.isComplete_ = true;
        attempt.body_ = std::move(text);
    }

    StreamAttempt readStreamFrom(const Endpoint& gateway, const HttpRequest& request, std::uint64_t lastEventId, milliseconds timeout, bool& isOrdered)
    {
        StreamAttempt attempt;
        attempt.lastEventId_ = lastEventId;
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        asio::co_spawn(io, read(socket, gateway, request, attempt, isOrdered), asio::detached);
        io.run_for(timeout);
        return attempt;
    }

} // namespace

StreamAttempt readStream(const Endpoint& gateway, const HttpRequest& request, milliseconds timeout)
{
    bool isOrdered = true;
    auto last = request.headers_.find("Last-Event-Id");
    return readStreamFrom(gateway, request, last == request.headers_.end() ? 0 : std::stoull(last->second), timeout, isOrdered);
}

StreamCallers::StreamCallers(const GatewayDeployment& deployment, std::string path, int count, std::function<std::string(const std::string&)> versionOf)
    : deployment_(deployment)
    , path_(std::move(path))
    , versionOf_(std::move(versionOf))
{
    for (int caller = 0; caller < count; ++caller)
        threads_.emplace_back([this, caller] { run(caller); });
}

StreamCallers::~StreamCallers()
{
    isStopped_ = true;
    for (std::thread& thread : threads_)
        thread.join();
}

void StreamCallers::run(int caller)
{
    for (int i = 0; !isStopped_; ++i)
        follow("s" + std::to_string(caller) + "-" + std::to_string(i));
}

void StreamCallers::judge(const std::vector<std::string>& senders)
{
    std::set<std::string> versions;
    for (const std::string& sender : senders)
        versions.insert(versionOf_(sender));
    results_.mixed_ += versions.size() > 1;
}

StreamAttempt StreamCallers::resume(const std::string& begin, std::uint64_t lastEventId, int resumption)
{
    StreamAttempt attempt;
    for (int i = 0; i < triesPerResumption && !isStopped_; ++i) {
        const auto& gateways = deployment_.gateways();
        HttpRequest request = gatewayRequest("POST", path_, begin + "-r" + std::to_string(resumption) + "-" + std::to_string(i));
        request.headers_["X-Pistachioloom-Deadline-Ms"] = std::to_string(streamTimeout.count());
        request.headers_["Last-Event-Id"] = std::to_string(lastEventId);
        request.headers_["Resumes"] = begin;
        bool isOrdered = true;
        attempt = readStreamFrom(gateways[randomBits() % gateways.size()].callers_, request, lastEventId, streamTimeout, isOrdered);
        results_.wrong_ += !isOrdered;
        if (attempt.lastEventId_ > lastEventId || (attempt.status_ == 200 && attempt.isComplete_))
            break;
        std::this_thread::sleep_for(std::min(attempt.retryAfter_.value_or(retryPause), maxRetryAfter));
    }
    return attempt;
}

void StreamCallers::follow(const std::string& id)
{
    HttpRequest request = gatewayRequest("POST", path_, id);
    request.headers_["X-Pistachioloom-Deadline-Ms"] = std::to_string(streamTimeout.count());
    const auto& gateways = deployment_.gateways();
    bool isOrdered = true;
    StreamAttempt attempt = readStreamFrom(gateways[randomBits() % gateways.size()].callers_, request, 0, streamTimeout, isOrdered);
    results_.wrong_ += !isOrdered;
    ++results_.started_;
    if (!attempt.lastEventId_) {
        std::this_thread::sleep_for(retryPause);
        return;
    }
    ++results_.begun_;
    std::vector<std::string> senders = attempt.senders_;
    bool hasResumed = false;
    bool hasGoneOn = false;
    for (int i = 0; i < maxResumptions && !(attempt.status_ == 200 && attempt.isComplete_) && !isStopped_; ++i) {
        hasResumed = true;
        std::uint64_t last = attempt.lastEventId_;
        attempt = resume(id, last, i);
        hasGoneOn |= attempt.lastEventId_ > last || (attempt.status_ == 200 && attempt.isComplete_);
        senders.insert(senders.end(), attempt.senders_.begin(), attempt.senders_.end());
        if (attempt.lastEventId_ == last)
            break;
    }
    results_.complete_ += attempt.status_ == 200 && attempt.isComplete_;
    results_.resumed_ += hasResumed;
    results_.wentOn_ += hasGoneOn;
    judge(senders);
}

} // namespace pistachioloom::test
