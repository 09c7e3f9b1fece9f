//===- unittests/Forward/ResumptionTest.cpp - streams cut at every byte ---===//
///
/// \file
/// Cuts a stream at each of its bytes. It continues on an engine that resumes, starts
/// over or skips an event, is cut again, and resumes. The caller must receive every event once and
/// in order, and a gap must be detected.
//===----------------------------------------------------------------------===//
#include "EventSplitter.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr std::uint64_t events = 4;

enum class Engine {
    /// Resumes after the last event that the caller has.
    Resumes,
    /// Sends all events again.
    StartsOver,
    /// Skips the event after the last one.
    SkipsEvent,
};

std::string eventsFrom(std::uint64_t first)
{
    std::string text;
    for (std::uint64_t id = first; id <= events; ++id)
        text += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    return text;
}

std::string streamOf(Engine engine, std::uint64_t last)
{
    switch (engine) {
    case Engine::Resumes:
        return eventsFrom(last + 1);
    case Engine::StartsOver:
        return eventsFrom(1);
    case Engine::SkipsEvent:
        // A stream's first event may have any id, so a gap before it is not detectable.
        return eventsFrom(last ? last + 2 : 1);
    }
    return {};
}

} // namespace

TEST_CASE("a stream that is cut at any byte and resumed is complete, after a gap too", "[forward]")
{
    constexpr Engine engines[] = { Engine::Resumes, Engine::StartsOver, Engine::SkipsEvent };
    const std::string fullStream = eventsFrom(1);
    std::size_t finished = 0;
    std::size_t afterGap = 0;
    for (std::size_t firstCut = 0; firstCut <= fullStream.size(); ++firstCut) {
        for (Engine second : engines) {
            for (std::size_t secondCut = 0; secondCut <= fullStream.size(); ++secondCut) {
                EventSplitter splitter(std::nullopt);
                std::string received = splitter.feed(fullStream.substr(0, firstCut));
                splitter.dropPartial();
                std::string rest = streamOf(second, splitter.last().value_or(0));
                received += splitter.feed(rest.substr(0, std::min(secondCut, rest.size())));
                bool hadGap = splitter.hasGap();
                splitter.dropPartial();
                received += splitter.feed(streamOf(Engine::Resumes, splitter.last().value_or(0)));
                if (received != fullStream) {
                    CAPTURE(firstCut, secondCut, static_cast<int>(second), received);
                    FAIL("unexpected events");
                }
                ++(hadGap ? afterGap : finished);
            }
        }
    }
    CHECK(finished > 0);
    CHECK(afterGap > 0);
}
