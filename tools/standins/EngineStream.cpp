//===- tools/standins/EngineStream.cpp - streams of the engine stand-in ---===//
///
/// \file
/// Parses calls to `/v1/generate`, and formats the lines of their answers.
//===----------------------------------------------------------------------===//
#include "EngineStream.h"

namespace json = boost::json;

namespace pistachioloom::standin {

static constexpr std::size_t bytesPerToken = 4;

GenerateRequest parseGenerateRequest(const json::object& body)
{
    GenerateRequest request;
    request.requestId_ = textField(body, "request");
    request.prompt_ = textField(body, "prompt");
    request.attempt_ = static_cast<std::uint32_t>(numberField(body, "attempt"));
    if (const json::array* tokens = arrayField(body, "prefix")) {
        for (const json::value& token : *tokens)
            request.prefix_.emplace_back(token.as_string());
    }
    request.maxTokens_ = numberField(body, "max_tokens");
    request.wantsAttach_ = flagField(body, "attach");
    request.hasCacheHandle_ = !textField(body, "kv_handle").empty();
    return request;
}

std::uint64_t promptTokens(const std::string& prompt)
{
    return 1 + prompt.size() / bytesPerToken;
}

bool isAttachable(const Stream& stream, const std::vector<std::string>& prefix)
{
    bool isAlive = stream.state_ == Stream::State::Running || stream.state_ == Stream::State::Done;
    bool isSameText = prefix.size() <= stream.tokens_.size() && std::equal(prefix.begin(), prefix.end(), stream.tokens_.begin());
    return isAlive && isSameText;
}

std::string tokenLine(std::size_t position, const std::string& text)
{
    return R"({"type":"token","position":)" + std::to_string(position) + R"(,"text":")" + text + "\"}\n";
}

std::string finalLine(const Stream& stream)
{
    json::object line;
    line["recomputed"] = stream.recomputedTokens_;
    switch (stream.state_) {
    case Stream::State::Running:
    case Stream::State::Cancelled:
        line["type"] = "interrupted";
        break;
    case Stream::State::Done:
        line["type"] = "done";
        break;
    case Stream::State::Exported:
        line["type"] = "exported";
        line["handle"] = stream.cacheHandle_;
        break;
    case Stream::State::Superseded:
        line["type"] = "superseded";
        break;
    }
    return json::serialize(line) + "\n";
}

std::uint64_t PrefixCache::addPrompt(const std::string& prompt)
{
    std::uint64_t tokens = promptTokens(prompt);
    if (prompts_.contains(prompt))
        return 0;
    prompts_.insert(prompt);
    insertionOrder_.push_back(prompt);
    heldTokens_ += tokens;
    while (heldTokens_ > capacity_ && insertionOrder_.size() > 1) {
        heldTokens_ -= promptTokens(insertionOrder_.front());
        prompts_.erase(insertionOrder_.front());
        insertionOrder_.pop_front();
    }
    return tokens;
}

} // namespace pistachioloom::standin
