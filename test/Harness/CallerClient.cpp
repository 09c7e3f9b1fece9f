//===- test/Harness/CallerClient.cpp - client of the entry VMs ------------===//
///
/// \file
/// See CallerClient.h.
//===----------------------------------------------------------------------===//
#include "CallerClient.h"

#include "pistachioloom/Json.h"
#include <boost/asio.hpp>
#include <set>

namespace pistachioloom::test {

namespace {

    constexpr milliseconds headTimeout { 20000 };
    constexpr milliseconds lineTimeout { 30000 };
    constexpr milliseconds reconnectPause { 50 };
    constexpr std::size_t tagLength = 6;

    struct Event {
        std::string name_;
        std::string id_;
        std::string data_;
    };

    Error errorFromEvent(const std::string& data)
    {
        auto object = parseJsonObject(data).value_or(boost::json::object {});
        return { errcFromString(textField(object, "code")), textField(object, "step"), textField(object, "peer"), textField(object, "message"), Ran::Unknown, {} };
    }

    void applyEvent(Answer& answer, const Event& event)
    {
        if (!event.id_.empty())
            answer.lastEventId_ = event.id_;
        if (event.name_ == "accepted") {
            auto object = parseJsonObject(event.data_).value_or(boost::json::object {});
            answer.requestId_ = textField(object, "request");
            answer.engine_ = textField(object, "engine");
        } else if (event.name_ == "restart") {
            ++answer.restarts_;
            answer.tokens_.clear();
        } else if (event.name_ == "moved") {
            answer.isMoved_ = true;
        } else if (event.name_ == "error") {
            answer.error_ = errorFromEvent(event.data_);
        } else if (event.data_ == "[DONE]") {
            answer.isDone_ = true;
        } else if (event.name_.empty()) {
            auto object = parseJsonObject(event.data_).value_or(boost::json::object {});
            for (const boost::json::object& choice : objectsField(object, "choices"))
                answer.tokens_.push_back(textField(choice, "text"));
        }
    }

    asio::awaitable<Answer> readEvents(Endpoint entry, HttpRequest request, Answer answer)
    {
        answer.isBroken_ = false;
        answer.isMoved_ = false;
        answer.error_.reset();
        SteadyTime startedAt = steadyNow();
        auto opened = co_await openHttp(entry, std::move(request), headTimeout);
        if (!opened) {
            answer.isBroken_ = true;
            answer.error_ = opened.error();
            co_return answer;
        }
        auto reader = opened.value();
        answer.status_ = reader->status();
        if (answer.status_ != 200) {
            auto body = co_await reader->readAll(headTimeout);
            HttpResponse response { answer.status_, reader->headers(), body ? body.value() : std::string() };
            answer.error_ = errorFromResponse(response, "caller", entry.toString());
            co_return answer;
        }
        Event event;
        SteadyTime last = startedAt;
        for (;;) {
            auto line = co_await reader->readLine(lineTimeout);
            if (!line || !line.value()) {
                answer.isBroken_ = !answer.isDone_ && !answer.isMoved_ && !answer.error_;
                break;
            }
            const std::string& text = *line.value();
            if (text.starts_with("event: "))
                event.name_ = text.substr(7);
            else if (text.starts_with("id: "))
                event.id_ = text.substr(4);
            else if (text.starts_with("data: "))
                event.data_ = text.substr(6);
            if (!text.empty())
                continue;
            std::size_t before = answer.tokens_.size();
            applyEvent(answer, event);
            event = {};
            if (answer.tokens_.size() <= before)
                continue;
            if (!before)
                answer.timeToFirstToken_ = std::chrono::duration_cast<milliseconds>(steadyNow() - startedAt);
            else
                answer.tokenGaps_.push_back(std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - last));
            last = steadyNow();
        }
        reader->cancel();
        co_return answer;
    }

    template <typename T>
    T runBlocking(asio::awaitable<T> task)
    {
        asio::io_context io;
        auto future = asio::co_spawn(io, std::move(task), asio::use_future);
        io.run();
        return future.get();
    }

} // namespace

std::string Answer::text() const
{
    std::string all;
    for (const std::string& token : tokens_)
        all += token;
    return all;
}

std::string completionBody(const Completion& completion, bool isStream)
{
    boost::json::object body;
    body["model"] = completion.model_;
    body["prompt"] = completion.prompt_;
    body["max_tokens"] = completion.maxTokens_;
    body["stream"] = isStream;
    return boost::json::serialize(body);
}

asio::awaitable<Answer> streamCompletion(Endpoint entry, Completion completion)
{
    HttpRequest request { "POST", "/v1/completions", {}, completionBody(completion, true) };
    request.headers_["authorization"] = "Bearer " + completion.apiKey_;
    request.headers_["content-type"] = "application/json";
    Answer answer;
    co_return co_await readEvents(entry, std::move(request), std::move(answer));
}

asio::awaitable<Answer> resumeAnswer(Endpoint entry, std::string apiKey, Answer answer)
{
    HttpRequest request { "GET", "/v1/requests/" + answer.requestId_, {}, {} };
    request.headers_["authorization"] = "Bearer " + apiKey;
    request.headers_["accept"] = "text/event-stream";
    if (!answer.lastEventId_.empty())
        request.headers_["last-event-id"] = answer.lastEventId_;
    co_return co_await readEvents(entry, std::move(request), std::move(answer));
}

asio::awaitable<Answer> streamToEnd(std::vector<Endpoint> entries, Completion completion, milliseconds timeout)
{
    SteadyTime deadline = steadyNow() + timeout;
    Answer answer = co_await streamCompletion(entries.front(), completion);
    std::size_t next = 1;
    while (!answer.isDone_ && !answer.requestId_.empty() && steadyNow() < deadline) {
        SteadyTimer timer(co_await asio::this_coro::executor, reconnectPause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        Endpoint entry = entries[next++ % entries.size()];
        answer = co_await resumeAnswer(entry, completion.apiKey_, std::move(answer));
    }
    co_return answer;
}

Answer streamCompletionBlocking(const Endpoint& entry, const Completion& completion)
{
    return runBlocking(streamCompletion(entry, completion));
}

Answer streamToEndBlocking(const std::vector<Endpoint>& entries, const Completion& completion, milliseconds timeout)
{
    return runBlocking(streamToEnd(entries, completion, timeout));
}

ServiceCallResult callService(const Endpoint& entry, const std::string& apiKey, const std::string& path, const std::string& key, const std::string& body, milliseconds timeout)
{
    HttpRequest request { "POST", "/services/" + path, {}, body };
    request.headers_["authorization"] = "Bearer " + apiKey;
    request.headers_["content-type"] = "application/json";
    if (!key.empty())
        request.headers_["idempotency-key"] = key;
    ServiceCallResult result;
    auto response = callHttpBlocking(entry, request, timeout);
    if (!response) {
        result.error_ = response.error();
        return result;
    }
    result.isAnswered_ = true;
    result.status_ = response.value().status_;
    result.body_ = response.value().body_;
    result.isReplayed_ = response.value().headers_.contains("x-replayed");
    if (result.status_ != 200)
        result.error_ = errorFromResponse(response.value(), "caller", entry.toString());
    return result;
}

std::string checkAnswer(const Answer& answer, const Completion& completion)
{
    std::string tag = sha256Hex(completion.prompt_).substr(0, tagLength);
    if (answer.tokens_.size() != completion.maxTokens_)
        return "expected " + std::to_string(completion.maxTokens_) + " tokens, found " + std::to_string(answer.tokens_.size());
    std::set<std::string> endedRuns;
    std::string run;
    for (std::size_t i = 0; i < answer.tokens_.size(); ++i) {
        std::string expected = tag + ":" + std::to_string(i) + ":";
        if (!answer.tokens_[i].starts_with(expected))
            return "expected token " + expected + ", found " + answer.tokens_[i];
        std::string tokenRun = answer.tokens_[i].substr(expected.size());
        if (tokenRun == run)
            continue;
        if (endedRuns.contains(tokenRun))
            return "run " + tokenRun + " recurs at token " + std::to_string(i);
        endedRuns.insert(run);
        run = tokenRun;
    }
    return {};
}

} // namespace pistachioloom::test
