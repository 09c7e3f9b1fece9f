//===- lib/Forward/EventSplitter.cpp - splits event streams into events ---===//
///
/// \file
/// See EventSplitter.h. An event ends with a blank line, and its id is on a line of
/// its own (WHATWG HTML, 9.2.6).
//===----------------------------------------------------------------------===//
#include "EventSplitter.h"

#include "Headers.h"

namespace pistachioloom {

/// The numeric id of \p event, or nullopt.
static std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view prefix = "id:";
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with(prefix))
            continue;
        line.remove_prefix(prefix.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return parseNumber(line);
    }
    return std::nullopt;
}

// The blank line that ends an event, in both kinds of line ends.
static constexpr std::string_view lfEnd = "\n\n";
static constexpr std::string_view crlfEnd = "\r\n\r\n";

/// The position after the end of the first event of \p text, or npos. The first \p scanned bytes
/// do not contain this end.
static std::size_t eventEnd(std::string_view text, std::size_t scanned)
{
    // An end may begin within the bytes that were searched.
    std::size_t from = scanned - std::min(scanned, crlfEnd.size() - 1);
    std::size_t lf = text.find(lfEnd, from);
    // Of the other kind, only an end that begins earlier is searched for.
    std::size_t limit = lf == std::string_view::npos ? lf : lf + crlfEnd.size() - 1;
    std::size_t crlf = text.substr(0, limit).find(crlfEnd, from);
    if (crlf != std::string_view::npos)
        return crlf + crlfEnd.size();
    return lf == std::string_view::npos ? lf : lf + lfEnd.size();
}

void EventSplitter::dropPartial()
{
    partial_.clear();
    scanned_ = 0;
    hasGap_ = false;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    partial_.append(bytes);
    std::string complete;
    std::size_t at = 0;
    while (!hasGap_) {
        std::string_view rest = std::string_view(partial_).substr(at);
        std::size_t length = eventEnd(rest, std::exchange(scanned_, 0));
        if (length == std::string_view::npos)
            break;
        std::string_view event = rest.substr(0, length);
        at += length;
        auto id = eventId(event);
        if (id && lastId_ && *id <= *lastId_)
            continue;
        if (id && lastId_ && *id != *lastId_ + 1) {
            hasGap_ = true;
            break;
        }
        if (id)
            lastId_ = id;
        complete.append(event);
    }
    partial_.erase(0, at);
    scanned_ = partial_.size();
    return complete;
}

} // namespace pistachioloom
