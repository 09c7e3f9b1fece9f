//===- lib/Gateway/QuarantineStore.cpp - durable quarantines --------------===//
///
/// \file
/// See QuarantineStore.h.
//===----------------------------------------------------------------------===//
#include "QuarantineStore.h"

#include "SuspectMessages.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    // Interval at which quarantines are read or written.
    constexpr milliseconds syncPeriod { 500 };
    // Bound on the writes of one period: many requests that are quarantined simultaneously
    // must not delay other calls.
    constexpr std::size_t maxWritesPerPeriod = 4;
    const std::string keyPrefix = "quarantine/";

    std::string keyOf(const Attribute& attribute)
    {
        return keyPrefix + toString(attribute.key_);
    }

    LogLine& addSuspect(LogLine& line, const Suspect& suspect)
    {
        line.add("kind", toString(suspect.attribute_.kind_)).add("request", toString(suspect.attribute_.key_));
        return line.add("crashes", static_cast<std::int64_t>(suspect.activeCrashes()));
    }

} // namespace

QuarantineStore::QuarantineStore(GatewayContext& context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , tracker_([&context](const Suspect& suspect) { return context.quarantine_.isCondemned(suspect); })
{
}

asio::awaitable<void> QuarantineStore::run()
{
    for (;;) {
        co_await sleepFor(syncPeriod);
        bool isWriter = hooks_.isWriter_();
        if (!hasRead_ && (isWriter || hooks_.isReader_()))
            co_await readNotes();
        if (hasRead_ && isWriter)
            co_await writeNotes();
    }
}

asio::awaitable<void> QuarantineStore::readNotes()
{
    auto notes = co_await context_.platform_.readNotes_();
    if (!notes) {
        logger_.warn("Notes of quarantines cannot be read: " + describe(notes.error()));
        co_return;
    }
    hasRead_ = true;
    for (const StoredNote& note : notes.value()) {
        if (note.key_.starts_with(keyPrefix))
            applyNote(note);
    }
}

void QuarantineStore::applyNote(const StoredNote& note)
{
    wire::QuarantineNote stored;
    if (!stored.ParseFromString(note.value_) || !stored.has_suspect()) {
        logger_.warn("Note " + note.key_ + " cannot be parsed.");
        return;
    }
    // If this node's clock is behind that of the writer, the age is limited to 0, so that
    // crashes are not younger than they were when they were written.
    std::int64_t age = std::max<std::int64_t>(0, context_.agreedWallMs() - stored.written_ms());
    google::protobuf::RepeatedPtrField<wire::SuspectReport> reports;
    *reports.Add() = stored.suspect();
    SteadyTime now = steadyNow();
    std::vector<Suspect> suspects = suspectsOf(reports, now - milliseconds(age));
    context_.quarantine_.mergeSuspects(suspects, now);
    for (const Suspect& suspect : suspects) {
        tracker_.noteRecorded({ suspect, false });
        LogLine line("Quarantine is read.");
        logger_.info(addSuspect(line, suspect).add("note_age_ms", age));
    }
}

asio::awaitable<void> QuarantineStore::writeNotes()
{
    std::vector<QuarantineRecordTracker::Change> changes = tracker_.pendingChanges(context_.quarantine_.suspects(steadyNow()));
    changes.resize(std::min(changes.size(), maxWritesPerPeriod));
    for (QuarantineRecordTracker::Change& change : changes) {
        if (!co_await write(std::move(change)))
            co_return;
    }
}

/// \returns whether the platform stored \p change.
asio::awaitable<bool> QuarantineStore::write(QuarantineRecordTracker::Change change)
{
    StoredNote note { keyOf(change.suspect_.attribute_), {} };
    if (!change.isDropped_) {
        wire::QuarantineNote stored;
        google::protobuf::RepeatedPtrField<wire::SuspectReport> reports;
        putSuspects({ change.suspect_ }, reports, steadyNow());
        *stored.mutable_suspect() = reports.Get(0);
        stored.set_written_ms(context_.agreedWallMs());
        note.value_ = stored.SerializeAsString();
    }
    auto written = co_await context_.platform_.writeNote_(std::move(note));
    LogLine line(change.isDropped_ ? "Quarantine is removed." : "Quarantine is written.");
    logger_.info(addSuspect(line, change.suspect_).add("error", written ? "" : describe(written.error())));
    if (written)
        tracker_.noteRecorded(change);
    co_return written.has_value();
}

} // namespace pistachioloom
