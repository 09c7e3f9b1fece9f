//===- lib/Node/EventStream.cpp - answers as server-sent events -----------===//
///
/// \file
/// See EventStream.h.
//===----------------------------------------------------------------------===//
#include "EventStream.h"

#include "pistachioloom/Json.h"
#include <charconv>

namespace pistachioloom {

namespace {

    constexpr int hexBase = 16;

    std::string event(const std::string& name, const std::string& id, const std::string& data)
    {
        std::string text;
        if (!name.empty())
            text += "event: " + name + "\n";
        if (!id.empty())
            text += "id: " + id + "\n";
        return text + "data: " + data + "\n\n";
    }

    std::string tokenEvent(const EventId& id, const std::string& text)
    {
        boost::json::object choice { { "index", 0 }, { "text", text } };
        return event({}, id.toString(), boost::json::serialize(boost::json::object { { "choices", boost::json::array { choice } } }));
    }

    EventId idAfter(const EventId& id, const std::string& text)
    {
        return { id.tokens_ + 1, stableHash(text, id.textHash_) };
    }

} // namespace

std::string EventId::toString() const
{
    char hash[16 + 1] = {};
    auto end = std::to_chars(hash, hash + 16, textHash_, hexBase).ptr;
    return std::to_string(tokens_) + "-" + std::string(hash, end);
}

std::optional<EventId> parseEventId(std::string_view text)
{
    std::size_t dash = text.find('-');
    if (dash == std::string_view::npos)
        return std::nullopt;
    EventId id;
    const char* middle = text.data() + dash;
    const char* last = text.data() + text.size();
    auto count = std::from_chars(text.data(), middle, id.tokens_);
    auto hash = std::from_chars(middle + 1, last, id.textHash_, hexBase);
    bool isValid = count.ec == std::errc {} && count.ptr == middle && hash.ec == std::errc {} && hash.ptr == last;
    return isValid ? std::optional(id) : std::nullopt;
}

EventWriter::EventWriter(std::string requestId, std::optional<EventId> resume)
    : requestId_(std::move(requestId))
    , resume_(resume)
{
}

std::string EventWriter::accepted(const std::string& engine)
{
    boost::json::object data { { "request", requestId_ }, { "engine", engine } };
    return event("accepted", {}, boost::json::serialize(data));
}

std::string EventWriter::tokens(const std::vector<std::string>& texts)
{
    std::string events;
    for (const std::string& text : texts) {
        position_ = idAfter(position_, text);
        if (!resume_) {
            events += tokenEvent(position_, text);
            continue;
        }
        skipped_.push_back(text);
        if (position_.tokens_ < resume_->tokens_)
            continue;
        bool isSameText = position_.tokens_ == resume_->tokens_ && position_.textHash_ == resume_->textHash_;
        if (isSameText)
            skipped_.clear();
        events += finishResume();
    }
    return events;
}

std::string EventWriter::finishResume()
{
    resume_.reset();
    if (skipped_.empty())
        return {};
    // The caller has a different text, which it has to discard to read this one from
    // the start.
    std::string events = event("restart", "0-0", "{}");
    EventId id;
    for (const std::string& text : skipped_) {
        id = idAfter(id, text);
        events += tokenEvent(id, text);
    }
    skipped_.clear();
    return events;
}

std::string EventWriter::done()
{
    // An answer with fewer tokens than the caller's event id states is a different
    // text.
    bool callerHasNothing = resume_ && !resume_->tokens_;
    std::string events = resume_ && !callerHasNothing ? finishResume() : std::string();
    return events + event({}, {}, "[DONE]");
}

std::string EventWriter::moved()
{
    return event("moved", {}, boost::json::serialize(boost::json::object { { "request", requestId_ } }));
}

std::string EventWriter::failed(const Error& error)
{
    boost::json::object data {
        { "code", std::string(toString(error.code_)) },
        { "message", error.message_ },
        { "step", error.step_ },
        { "peer", error.peer_ },
    };
    return event("error", {}, boost::json::serialize(data));
}

} // namespace pistachioloom
