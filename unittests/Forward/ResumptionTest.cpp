//===- unittests/Forward/ResumptionTest.cpp - every cut of a stream --------===//
///
/// \file
/// A stream is cut at each of its bytes, goes on at an engine that resumes,
/// begins anew or leaves an event out, is cut again, and goes on. The caller gets
/// every event once and in order, or the answer is broken off.
//===----------------------------------------------------------------------===//
#include "EventSplitter.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;

namespace {

constexpr std::uint64_t events = 4;

enum class Engine {
    /// Goes on after the last event that the caller has.
    Resumes,
    /// Sends everything again.
    BeginsAnew,
    /// Leaves out the event after the last one.
    LeavesOut,
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
    case Engine::BeginsAnew:
        return eventsFrom(1);
    case Engine::LeavesOut:
        // A stream's first event may have any id, so a gap before it shows nothing.
        return eventsFrom(last ? last + 2 : 1);
    }
    return {};
}

} // namespace

TEST_CASE("a stream cut at any byte and resumed is whole or broken, never wrong", "[forward]")
{
    constexpr Engine engines[] = { Engine::Resumes, Engine::BeginsAnew, Engine::LeavesOut };
    const std::string whole = eventsFrom(1);
    std::size_t finished = 0;
    std::size_t broken = 0;
    for (std::size_t firstCut = 0; firstCut <= whole.size(); ++firstCut) {
        for (Engine second : engines) {
            for (std::size_t secondCut = 0; secondCut <= whole.size(); ++secondCut) {
                EventSplitter splitter(std::nullopt);
                std::string got = splitter.take(whole.substr(0, firstCut));
                splitter.dropPartial();
                std::string rest = streamOf(second, splitter.last().value_or(0));
                got += splitter.take(rest.substr(0, std::min(secondCut, rest.size())));
                splitter.dropPartial();
                if (!splitter.isBroken())
                    got += splitter.take(streamOf(Engine::Resumes, splitter.last().value_or(0)));
                bool isRight = splitter.isBroken() ? whole.starts_with(got) : got == whole;
                if (!isRight) {
                    CAPTURE(firstCut, secondCut, static_cast<int>(second), got);
                    FAIL("events are wrong");
                }
                ++(splitter.isBroken() ? broken : finished);
            }
        }
    }
    CHECK(finished > 0);
    CHECK(broken > 0);
}
