//===- lib/Gateway/QuarantineKeeper.cpp - quarantines that outlive all nodes ===//
///
/// \file
/// See QuarantineKeeper.h.
//===----------------------------------------------------------------------===//
#include "QuarantineKeeper.h"

#include "SuspectMessages.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    constexpr milliseconds keepPeriod { 500 };
    // Writes of one period: many requests at once must not crowd out other calls.
    constexpr std::size_t mostWrites = 4;
    const std::string keyPrefix = "quarantine/";

    std::string keyOf(RequestFingerprint request)
    {
        return keyPrefix + toString(request);
    }

} // namespace

QuarantineKeeper::QuarantineKeeper(GatewayContext& context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , record_(context.settings_.quarantine_.crashes_)
{
}

asio::awaitable<void> QuarantineKeeper::run()
{
    for (;;) {
        co_await sleepFor(keepPeriod);
        bool isWriter = hooks_.isWriter_();
        if (!hasRead_ && (isWriter || hooks_.isReader_()))
            co_await readNotes();
        if (hasRead_ && isWriter)
            co_await writeNotes();
    }
}

asio::awaitable<void> QuarantineKeeper::readNotes()
{
    auto notes = co_await context_.platform_.readNotes_();
    if (!notes) {
        logger_.warn("Notes cannot be read: " + describe(notes.error()));
        co_return;
    }
    hasRead_ = true;
    for (const KeptNote& note : notes.value()) {
        if (note.key_.starts_with(keyPrefix))
            takeNote(note);
    }
}

void QuarantineKeeper::takeNote(const KeptNote& note)
{
    wire::QuarantineNote kept;
    if (!kept.ParseFromString(note.value_) || !kept.has_suspect()) {
        logger_.warn("Note " + note.key_ + " cannot be read.");
        return;
    }
    // A clock that is behind must not make crashes younger than when they were told.
    std::int64_t age = std::max<std::int64_t>(0, context_.agreedWallMs() - kept.written_ms());
    google::protobuf::RepeatedPtrField<wire::SuspectReport> told;
    *told.Add() = kept.suspect();
    SteadyTime now = steadyNow();
    std::vector<Suspect> suspects = suspectsOf(told, now - milliseconds(age));
    context_.quarantine_.take(suspects, now);
    for (const Suspect& suspect : suspects) {
        record_.noteRecorded({ suspect, false });
        logger_.info(LogLine("Quarantine is read.").add("request", toString(suspect.request_)).add("crashes", static_cast<std::int64_t>(suspect.activeCrashes())).add("note_age_ms", age));
    }
}

asio::awaitable<void> QuarantineKeeper::writeNotes()
{
    std::vector<QuarantineRecordTracker::Change> changes = record_.due(context_.quarantine_.suspects(steadyNow()));
    changes.resize(std::min(changes.size(), mostWrites));
    for (QuarantineRecordTracker::Change& change : changes) {
        if (!co_await write(std::move(change)))
            co_return;
    }
}

/// \returns whether the platform took it.
asio::awaitable<bool> QuarantineKeeper::write(QuarantineRecordTracker::Change change)
{
    KeptNote note { keyOf(change.suspect_.request_), {} };
    if (!change.isDropped_) {
        wire::QuarantineNote kept;
        google::protobuf::RepeatedPtrField<wire::SuspectReport> told;
        putSuspects({ change.suspect_ }, told, steadyNow());
        *kept.mutable_suspect() = told.Get(0);
        kept.set_written_ms(context_.agreedWallMs());
        note.value_ = kept.SerializeAsString();
    }
    auto written = co_await context_.platform_.writeNote_(std::move(note));
    LogLine line(change.isDropped_ ? "Quarantine is dropped." : "Quarantine is written.");
    line.add("request", toString(change.suspect_.request_)).add("crashes", static_cast<std::int64_t>(change.suspect_.activeCrashes())).add("error", written ? "" : describe(written.error()));
    logger_.info(line);
    if (written)
        record_.noteRecorded(change);
    co_return written.has_value();
}

} // namespace pistachioloom
