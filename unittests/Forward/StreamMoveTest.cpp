//===- unittests/Forward/StreamMoveTest.cpp - streams that engines stop ----===//
///
/// \file
/// A running stream is moved off an engine that is being reclaimed. The engine is told to stop it, and
/// closes its connection without the stream's end, which the caller must not take for its end.
//===----------------------------------------------------------------------===//
#include "ForwardFixture.h"

#include <catch2/catch.hpp>

using namespace pistachioloom;
using namespace pistachioloom::test;
using tcp = asio::ip::tcp;
using End = ScriptedWorker::End;

namespace {

constexpr int eventCount = 12;
// The first engine registers as leaving after this event.
constexpr int reclaimedAfter = 3;
constexpr milliseconds eventGap { 10 };
const std::string lastChunk = "0\r\n\r\n";

enum class Framing {
    Connection,
    Chunks,
};

/// How the engine answers the call that tells it to stop a run.
enum class StopAnswer {
    /// The run is stopped, and its KV cache is at the target.
    Copied,
    /// The same, after the connection of the stream has closed.
    CopiedAfterClose,
    /// The run is stopped. The target has no room.
    NoRoom,
    /// The run is stopped. No answer arrives.
    None,
    /// The run is stopped. The answer does not name the copy.
    NoHandle,
    /// The run ended by itself before, and no answer arrives.
    NoneAfterEnd,
    /// The run is stopped. No answer arrives within the time limit of the call.
    TooLate,
    /// The run ended by itself before.
    NoRun,
    /// Another copy is in progress, and the run goes on.
    Busy,
    /// The call does not reach the engine.
    NotSent,
};

bool stopsRun(StopAnswer answer)
{
    return answer != StopAnswer::NoRun && answer != StopAnswer::Busy && answer != StopAnswer::NotSent;
}

Route streamRoute(unsigned attempts)
{
    Route route = routeOfTests();
    route.isStream_ = true;
    route.isResumable_ = true;
    route.maxAttempts_ = attempts;
    route.timeout_ = milliseconds(5000);
    return route;
}

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e\n\n";
}

/// The events that the caller received, without framing.
std::string eventsOf(const std::string& bytes)
{
    std::string events;
    for (std::size_t at = bytes.find("id: "); at != std::string::npos; at = bytes.find("id: ", at + 1))
        events += bytes.substr(at, bytes.find("\n\n", at) + 2 - at);
    return events;
}

std::string eventsUpTo(int last)
{
    std::string events;
    for (int id = 1; id <= last; ++id)
        events += eventText(id);
    return events;
}

/// A worker whose first engine is reclaimed while it serves a stream.
class Reclaim {
public:
    Reclaim(Framing framing, StopAnswer stopAnswer, int engineCount = 3, unsigned attempts = 2)
        : framing_(framing)
        , stopAnswer_(stopAnswer)
        , worker_(
              streamRoute(attempts), engineCount, [this](tcp::socket& socket, const ReceivedRequest& request) { return serve(socket, request); }, EngineTraits { 8, { 100000 }, 1, true })
    {
        ForwardContext& context = worker_.context();
        context.names_.resumeFrom_ = "From";
        context.hooks_.copyStream_ = [this](const StreamCopy& copy) { return copyStream(copy); };
        context.hooks_.dropCopy_ = [this](const StreamCopy&, const std::string&) -> asio::awaitable<Result<void>> {
            ++dropped_;
            co_return boost::outcome_v2::success();
        };
    }

    /// Sends a request whose caller leaves when \p until arrives.
    ScriptedWorker::CallerAnswer callUntil(const std::string& until)
    {
        return worker_.call("POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 0\r\n\r\n", until);
    }

    ScriptedWorker::CallerAnswer call(const std::string& version = "HTTP/1.1")
    {
        return worker_.call("POST /x " + version + "\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 0\r\n\r\n", version == "HTTP/1.1" ? lastChunk : "", milliseconds(4000));
    }

    ScriptedWorker& worker() { return worker_; }
    bool isStopped() const { return isStopped_; }
    int stopCalls() const { return stopCalls_; }
    int dropped() const { return dropped_; }
    const std::string& resumedFrom() const { return resumedFrom_; }
    /// Requests in progress at the engines, as the worker counts them.
    std::uint64_t placesInUse()
    {
        std::uint64_t places = 0;
        for (const auto& [key, load] : worker_.backends().ownLoads(steadyNow()))
            places += static_cast<std::uint64_t>(load.running_);
        return places;
    }
    /// The head of the latest request.
    const ReceivedRequest& latest() const { return latest_; }
    /// The engine that receives the copy ends when the copy is complete.
    void endTarget() { endsTarget_ = true; }
    /// The first engine leaves out an event after it was told to stop the run, or after its reclaim.
    void skipEventAfterReclaim() { skipsEvent_ = true; }
    /// The time that the first copy of a stream takes.
    void setCopyTime(milliseconds time) { copyTime_ = time; }
    /// The time from the stop of a run to the end of its connection.
    void setCloseDelay(milliseconds delay) { closeDelay_ = delay; }

private:
    asio::awaitable<bool> serve(tcp::socket& socket, const ReceivedRequest& request)
    {
        latest_ = request;
        if (!request.field("From").empty())
            resumedFrom_ = request.field("From");
        std::string head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\n" + std::string(framing_ == Framing::Chunks ? "Transfer-Encoding: chunked\r\n" : "") + "\r\n";
        co_await send(socket, std::move(head));
        std::string last = request.field("Last-Event");
        for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= eventCount; ++id) {
            std::string event = framing_ == Framing::Chunks ? eventChunk(id) : eventText(id);
            co_await send(socket, std::move(event));
            if (request.total_ == 1 && id == reclaimedAfter)
                worker_.reclaim(request.server_);
            co_await sleepFor(eventGap);
            if (request.total_ == 1 && id == reclaimedAfter && skipsEvent_) {
                std::string skipped = eventChunk(id + 2);
                co_await send(socket, std::move(skipped));
            }
            if (request.total_ == 1 && isStopped_) {
                co_await sleepFor(closeDelay_);
                co_return false;
            }
        }
        hasEnded_ = true;
        if (framing_ == Framing::Connection)
            co_return false;
        std::string end = lastChunk;
        co_await send(socket, std::move(end));
        co_return true;
    }

    asio::awaitable<Result<std::string>> copyStream(StreamCopy copy)
    {
        const std::string handle = copy.from_.toString() + "/h1";
        if (!copy.stopsRun_) {
            co_await sleepFor(copyTime_);
            co_return handle;
        }
        ++stopCalls_;
        while ((stopAnswer_ == StopAnswer::NoRun || stopAnswer_ == StopAnswer::NoneAfterEnd) && !hasEnded_)
            co_await sleepFor(milliseconds(1));
        isStopped_ = stopsRun(stopAnswer_) && !hasEnded_;
        if (endsTarget_)
            worker_.stopAccepting(copy.to_);
        const std::string peer = copy.from_.toString();
        switch (stopAnswer_) {
        case StopAnswer::Copied:
            co_return handle;
        case StopAnswer::CopiedAfterClose:
            co_await sleepFor(milliseconds(200));
            co_return handle;
        case StopAnswer::NoRoom:
            co_return Error { Errc::Unavailable, "stop", peer, "status 503", Ran::Unknown, {} };
        case StopAnswer::NoHandle:
            co_return Error { Errc::InvalidInput, "stop", peer, "no handle", Ran::Unknown, {} };
        case StopAnswer::None:
        case StopAnswer::NoneAfterEnd:
            co_return Error { Errc::Reset, "stop", peer, "end of stream", Ran::Unknown, {} };
        case StopAnswer::TooLate:
            co_await sleepFor(milliseconds(500));
            co_return Error { Errc::Timeout, "stop", peer, "timeout", Ran::Unknown, {} };
        case StopAnswer::NoRun:
            co_return Error { Errc::NotFound, "stop", peer, "status 404", Ran::No, {} };
        case StopAnswer::Busy:
            co_return Error { Errc::Conflict, "stop", peer, "status 409", Ran::No, {} };
        case StopAnswer::NotSent:
            co_return Error { Errc::Unavailable, "connect", peer, "connection refused", Ran::No, {} };
        }
        co_return handle;
    }

    Framing framing_;
    StopAnswer stopAnswer_;
    bool isStopped_ = false;
    bool hasEnded_ = false;
    bool endsTarget_ = false;
    bool skipsEvent_ = false;
    milliseconds copyTime_ {};
    milliseconds closeDelay_ {};
    int stopCalls_ = 0;
    int dropped_ = 0;
    std::string resumedFrom_;
    ReceivedRequest latest_;
    ScriptedWorker worker_;
};

} // namespace

// Guards against a stream that its engine was told to stop, and that ends for its caller as if it were whole.
TEST_CASE("a stream whose engine was told to stop it ends as complete", "[forward]")
{
    auto framing = GENERATE(Framing::Connection, Framing::Chunks);
    auto answer = GENERATE(StopAnswer::Copied, StopAnswer::CopiedAfterClose, StopAnswer::NoRoom, StopAnswer::None, StopAnswer::NoHandle, StopAnswer::NoneAfterEnd, StopAnswer::TooLate, StopAnswer::NoRun, StopAnswer::Busy, StopAnswer::NotSent);
    const char* version = GENERATE("HTTP/1.1", "HTTP/1.0");
    CAPTURE(static_cast<int>(framing), static_cast<int>(answer), version);
    Reclaim reclaim(framing, answer);
    ScriptedWorker::CallerAnswer received = reclaim.call(version);
    CAPTURE(received.bytes_);
    CHECK(reclaim.stopCalls() == 1);
    CHECK(eventsOf(received.bytes_) == eventsUpTo(eventCount));
    CHECK(received.end_ == (std::string(version) == "HTTP/1.0" ? End::Closed : End::Open));
    // A stream with a last chunk has ended, whether its engine says so or not.
    bool isResumed = stopsRun(answer) && (answer != StopAnswer::NoneAfterEnd || framing == Framing::Connection);
    CHECK(reclaim.worker().requests() == (isResumed ? 2 : 1));
    bool isMoved = answer == StopAnswer::Copied || answer == StopAnswer::CopiedAfterClose;
    CHECK(reclaim.resumedFrom().empty() != isMoved);
    reclaim.worker().runFor(milliseconds(20));
    CHECK(reclaim.dropped() == (isMoved ? 0 : 1));
    CHECK(reclaim.placesInUse() == 0);
}

// Guards against a stream that breaks off because its move failed after its engine was told to stop it: the retry
// that was taken for the move was asked for once more.
TEST_CASE("a stream breaks off when its last move fails and no further retry is left", "[forward]")
{
    auto framing = GENERATE(Framing::Connection, Framing::Chunks);
    auto answer = GENERATE(StopAnswer::Copied, StopAnswer::NoRoom, StopAnswer::None, StopAnswer::TooLate);
    CAPTURE(static_cast<int>(framing), static_cast<int>(answer));
    Reclaim reclaim(framing, answer);
    reclaim.worker().leaveRetries(1);
    ScriptedWorker::CallerAnswer received = reclaim.call();
    CAPTURE(received.bytes_);
    CHECK(eventsOf(received.bytes_) == eventsUpTo(eventCount));
    CHECK(received.bytes_.ends_with(lastChunk));
    CHECK(reclaim.worker().requests() == 2);
    CHECK_FALSE(reclaim.worker().context().retries_.allowsRetry({ "s" }, steadyNow()));
    CHECK(reclaim.placesInUse() == 0);
}

// Guards against a request that names a copy to an engine that does not hold it, and is refused.
TEST_CASE("a moved stream whose target has ended names the copy to another engine", "[forward]")
{
    Reclaim reclaim(Framing::Chunks, StopAnswer::Copied);
    reclaim.endTarget();
    ScriptedWorker::CallerAnswer received = reclaim.call();
    CAPTURE(received.bytes_);
    CHECK(reclaim.worker().requests() == 2);
    CHECK(reclaim.latest().field("From").empty());
    CHECK(eventsOf(received.bytes_) == eventsUpTo(eventCount));
    CHECK(received.bytes_.ends_with(lastChunk));
}

// Guards against a copy that takes a place and memory at an engine, although its stream does not resume there.
TEST_CASE("the copy of a stream whose caller leaves before the stop is not freed", "[forward]")
{
    Reclaim reclaim(Framing::Chunks, StopAnswer::Copied);
    reclaim.setCloseDelay(milliseconds(200));
    (void)reclaim.callUntil(eventChunk(reclaimedAfter));
    reclaim.worker().runFor(milliseconds(100));
    CHECK(reclaim.stopCalls() == 1);
    CHECK(reclaim.isStopped());
    CHECK(reclaim.worker().requests() == 1);
    CHECK(reclaim.dropped() == 1);
    CHECK(reclaim.placesInUse() == 0);
}

// Guards against a place that stays taken, and a copy that stays, after an attempt that fails while its stream is copied.
TEST_CASE("the move of an attempt that fails is not cancelled", "[forward]")
{
    bool isCopyPending = GENERATE(true, false);
    CAPTURE(isCopyPending);
    Reclaim reclaim(Framing::Chunks, StopAnswer::Copied);
    reclaim.setCloseDelay(milliseconds(30));
    reclaim.skipEventAfterReclaim();
    if (isCopyPending)
        reclaim.setCopyTime(milliseconds(100));
    ScriptedWorker::CallerAnswer received = reclaim.call();
    reclaim.worker().runFor(milliseconds(200));
    CAPTURE(received.bytes_);
    CHECK(eventsOf(received.bytes_) == eventsUpTo(eventCount));
    CHECK(reclaim.stopCalls() == (isCopyPending ? 0 : 1));
    CHECK(reclaim.dropped() == 1);
    CHECK(reclaim.placesInUse() == 0);
}

// Guards against a request that runs on more engines than its route allows, since its move failed.
TEST_CASE("a stream that was stopped for a move that failed exceeds the attempts of its route", "[forward]")
{
    auto answer = GENERATE(StopAnswer::NoRoom, StopAnswer::None, StopAnswer::Copied);
    CAPTURE(static_cast<int>(answer));
    Reclaim reclaim(Framing::Connection, answer, 3, 1);
    ScriptedWorker::CallerAnswer received = reclaim.call();
    CAPTURE(received.bytes_);
    bool isMoved = answer == StopAnswer::Copied;
    CHECK(reclaim.worker().requests() == (isMoved ? 2 : 1));
    CHECK(received.bytes_.ends_with(lastChunk) == isMoved);
}
